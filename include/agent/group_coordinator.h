#ifndef SISKIN_AGENT_GROUP_COORDINATOR_H
#define SISKIN_AGENT_GROUP_COORDINATOR_H

#include "agent/group_message.h"
#include "kernel/status.h"

#include <talloc.h>
#include <time.h>

/* The coordinator's side of the map switch.  Any agent of the group may be
   coordinator once it has an epoch of its own from the store; it needs the
   store for nothing else.  Input and output go through the caller, as in
   group_rank.h.  */
typedef struct group_coordinator group_coordinator_t;

typedef enum group_coordinator_phase
{
  GROUP_IDLE,          /* no epoch */
  GROUP_RAISING_FENCE, /* waits for every rank's promise */
  GROUP_CONFIRMING,    /* waits for every rank's confirmation of it */
  GROUP_RECONCILING,   /* brings every rank to the target schedule */
  GROUP_MONITORING,    /* every rank is there */
  GROUP_PREPARING,
  GROUP_ARMING
} group_coordinator_phase_t;

typedef enum group_event
{
  GROUP_EVENT_LEADING,    /* every rank has confirmed its promise */
  GROUP_EVENT_DEPOSED,    /* a rank has promised a higher epoch */
  GROUP_EVENT_RESTARTED,  /* a rank came back without its promise */
  GROUP_EVENT_COMMITTING, /* the outcome of a switch was decided */
  GROUP_EVENT_ABORTING,
  GROUP_EVENT_RECONCILED /* every rank follows the target schedule */
} group_event_t;

typedef struct group_coordinator_ops
{
  void (*send) (const group_command_t *order, void *data);
  /* VERSION is the map version concerned, 0 for none.  */
  void (*on_event) (group_event_t event, uint64_t version, void *data);
} group_coordinator_ops_t;

typedef struct group_coordinator_options
{
  unsigned rank_count;
  struct timespec resend_interval;
  struct timespec watch_interval;
  struct timespec prepare_timeout;
  struct timespec arm_timeout;
  const group_coordinator_ops_t *ops;
  void *data;
} group_coordinator_options_t;

/* What the coordinator knows of a rank.  */
typedef struct group_rank_view
{
  uint64_t incarnation;
  bool is_heard; /* answered in this phase */
  group_schedule_t schedule;
  uint64_t current_step;
} group_rank_view_t;

group_coordinator_t *
group_coordinator_create (TALLOC_CTX *parent,
                          const group_coordinator_options_t *options);
void group_coordinator_destroy (group_coordinator_t *coordinator);
void group_coordinator_start_term (group_coordinator_t *coordinator,
                                   uint64_t epoch, uint64_t first_version,
                                   struct timespec now);
void group_coordinator_resign (group_coordinator_t *coordinator);
status_t group_coordinator_start_switch (group_coordinator_t *coordinator,
                                         uint64_t version, uint64_t margin,
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
