#ifndef SISKIN_AGENT_GROUP_COORDINATOR_H
#define SISKIN_AGENT_GROUP_COORDINATOR_H

#include "agent/group_message.h"
#include "kernel/status.h"

#include <talloc.h>
#include <time.h>

/* The coordinator's side of the map switch protocol.  Any agent of the group
   can become coordinator once it has obtained its own epoch from the store;
   the store is needed for nothing else.  The caller does all input and output,
   as in group_rank.h.  */
typedef struct group_coordinator group_coordinator_t;

typedef enum group_coordinator_phase
{
  GROUP_IDLE,          /* has no epoch */
  GROUP_RAISING_FENCE, /* waits until every rank has accepted the fence */
  /* Waits until every rank has confirmed that it still has the fence.  */
  GROUP_CONFIRMING,
  GROUP_RECONCILING, /* brings every rank to the target schedule */
  GROUP_MONITORING,  /* every rank follows the target schedule */
  GROUP_PREPARING,
  GROUP_ARMING
} group_coordinator_phase_t;

typedef enum group_event
{
  GROUP_EVENT_LEADING,    /* every rank has confirmed the fence */
  GROUP_EVENT_DEPOSED,    /* a rank has accepted a higher epoch */
  GROUP_EVENT_RESTARTED,  /* a rank restarted and lost its fence */
  GROUP_EVENT_COMMITTING, /* the switch was decided: commit */
  GROUP_EVENT_ABORTING,
  GROUP_EVENT_RECONCILED /* every rank follows the target schedule */
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
  struct timespec resend_interval;
  struct timespec monitor_interval;
  struct timespec prepare_timeout;
  struct timespec arm_timeout;
  const group_coordinator_ops_t *ops;
  void *data;
} group_coordinator_options_t;

/* State of a rank as last reported to the coordinator.  */
typedef struct group_rank_view
{
  uint64_t incarnation;
  bool is_done; /* has completed the current phase */
  group_schedule_t schedule;
  uint64_t current_step;
} group_rank_view_t;

group_coordinator_t *
group_coordinator_create (TALLOC_CTX *parent,
                          const group_coordinator_options_t *options);
void group_coordinator_destroy (group_coordinator_t *coordinator);
void group_coordinator_start_term (group_coordinator_t *coordinator,
                                   uint64_t epoch, uint64_t initial_version,
                                   struct timespec now);
void group_coordinator_resign (group_coordinator_t *coordinator);
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
bool group_coordinator_is_steady (const group_coordinator_t *coordinator);
uint64_t group_coordinator_base (const group_coordinator_t *coordinator);
uint64_t group_coordinator_epoch (const group_coordinator_t *coordinator);
const group_rank_view_t *
group_coordinator_view (const group_coordinator_t *coordinator, unsigned rank);

#endif
