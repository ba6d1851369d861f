#ifndef SISKIN_AGENT_GROUP_COORDINATOR_H
#define SISKIN_AGENT_GROUP_COORDINATOR_H

#include "agent/group_message.h"
#include "kernel/status.h"

#include <talloc.h>
#include <time.h>

/* The coordinator's side of the map switch protocol.  Any agent of the group
   can become coordinator once it has obtained its own epoch from the store;
   the store is needed for nothing else.  This module does no input or output:
   messages are passed to its functions, and output goes through its operations
   table.  */
typedef struct group_coordinator group_coordinator_t;

/* The target schedule is the one that every rank must follow.  The coordinator
   derives it from the schedules that the ranks confirm at the start of a
   round: a switch that any rank has committed is committed on all of them,
   any other is aborted.  Later it changes only when the coordinator commits a
   switch.  */
typedef enum group_coordinator_phase
{
  GROUP_IDLE,          /* has no epoch */
  GROUP_RAISING_FENCE, /* waits until every rank has accepted the fence */
  /* Waits until every rank has confirmed that it still has the fence and has
     reported its schedule.  This takes a second round of messages: a schedule
     reported while the fence was being raised may be outdated, because ranks
     that did not have the fence yet still executed earlier commands.  */
  GROUP_CONFIRMING,
  GROUP_RECONCILING, /* brings every rank to the target schedule */
  GROUP_MONITORING,  /* every rank follows the target schedule */
  GROUP_PREPARING,   /* waits until every rank has loaded the new weights */
  GROUP_ARMING       /* waits until every rank is armed for the switch */
} group_coordinator_phase_t;

typedef enum group_event
{
  GROUP_EVENT_LEADING, /* every rank has confirmed the fence */
  GROUP_EVENT_DEPOSED, /* a rank has accepted a higher epoch */
  /* The incarnation of a rank has changed: its agent or engine restarted, so
     its known state is invalid and a new round starts.  */
  GROUP_EVENT_RESTARTED,
  GROUP_EVENT_COMMITTING, /* every rank is armed: the switch is committed */
  GROUP_EVENT_ABORTING,   /* the switch is aborted */
  GROUP_EVENT_RECONCILED  /* every rank follows the target schedule */
} group_event_t;

typedef struct group_coordinator_ops
{
  void (*send) (const group_command_t *command, void *data);
  /* VERSION is the map version that the event is about, or 0.  */
  void (*on_event) (group_event_t event, uint64_t version, void *data);
} group_coordinator_ops_t;

typedef struct group_coordinator_options
{
  unsigned rank_count;
  struct timespec resend_interval;  /* for commands without a reply */
  struct timespec monitor_interval; /* between checks in GROUP_MONITORING */
  struct timespec prepare_timeout;
  struct timespec arm_timeout;
  const group_coordinator_ops_t *ops;
  void *data;
} group_coordinator_options_t;

/* State of a rank as last reported to the coordinator.  */
typedef struct group_rank_view
{
  uint64_t incarnation;     /* of the rank; see group_rank_options_t */
  bool has_completed_phase; /* the coordinator's current phase */
  group_schedule_t schedule;
  uint64_t current_step;
} group_rank_view_t;

group_coordinator_t *
group_coordinator_create (TALLOC_CTX *parent,
                          const group_coordinator_options_t *options);
void group_coordinator_destroy (group_coordinator_t *coordinator);
/* INITIAL_VERSION is the map version to start with if no rank has a map.  */
void group_coordinator_start_term (group_coordinator_t *coordinator,
                                   uint64_t epoch, uint64_t initial_version,
                                   struct timespec now);
void group_coordinator_resign (group_coordinator_t *coordinator);
/* Start to switch the group to VERSION.  Once every rank has loaded the
   weights, the switch step is set to the newest step that a rank has reported
   plus MARGIN_STEPS.  The margin must be large enough for all ranks to be
   armed and told to commit before they reach that step; a rank that has not
   received the decision by then holds.  */
status_t group_coordinator_start_switch (group_coordinator_t *coordinator,
                                         uint64_t version,
                                         uint64_t margin_steps,
                                         struct timespec now);
void group_coordinator_receive (group_coordinator_t *coordinator,
                                const group_reply_t *reply,
                                struct timespec now);
void group_coordinator_tick (group_coordinator_t *coordinator,
                             struct timespec now);
group_coordinator_phase_t
group_coordinator_phase (const group_coordinator_t *coordinator);
/* Return whether every rank is known to use the same map and no switch is in
   progress.  */
bool group_coordinator_is_steady (const group_coordinator_t *coordinator);
/* Return the map version that every rank uses, or will use once a committed
   switch has taken effect; 0 if unknown.  */
uint64_t group_coordinator_base (const group_coordinator_t *coordinator);
uint64_t group_coordinator_epoch (const group_coordinator_t *coordinator);
const group_rank_view_t *
group_coordinator_view (const group_coordinator_t *coordinator, unsigned rank);

#endif
