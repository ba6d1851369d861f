#include "agent/group_coordinator_state.h"

#include "kernel/clock.h"
#include "kernel/invariant.h"

#include <string.h>

/* Create a coordinator, without an epoch.  Returns NULL when out of
   memory.  */
group_coordinator_t *
group_coordinator_create (TALLOC_CTX *parent,
                          const group_coordinator_options_t *options)
{
  group_coordinator_t *coordinator = talloc_zero (parent, group_coordinator_t);

  if (coordinator == NULL)
    return NULL;
  coordinator->options = *options;
  coordinator->ranks = talloc_zero_array (coordinator, group_rank_view_t,
                                          options->rank_count);
  if (coordinator->ranks == NULL)
    TALLOC_FREE (coordinator);
  return coordinator;
}

/* Free COORDINATOR.  */
void
group_coordinator_destroy (group_coordinator_t *coordinator)
{
  talloc_free (coordinator);
}

/* Return the coordinator's current phase.  */
group_coordinator_phase_t
group_coordinator_phase (const group_coordinator_t *coordinator)
{
  return coordinator->phase;
}

/* Return the epoch of the current or last term.  */
uint64_t
group_coordinator_epoch (const group_coordinator_t *coordinator)
{
  return coordinator->fence.epoch;
}

/* Return the last known state of RANK.  */
const group_rank_view_t *
group_coordinator_view (const group_coordinator_t *coordinator, unsigned rank)
{
  return &coordinator->ranks[rank];
}

static void
coordinator_event (group_coordinator_t *coordinator, group_event_t event,
                   uint64_t version)
{
  if (coordinator->options.ops->on_event != NULL)
    coordinator->options.ops->on_event (event, version,
                                        coordinator->options.data);
}

/* Send the rank the command of the current phase.  */
static void
coordinator_send (group_coordinator_t *coordinator, unsigned index)
{
  group_rank_view_t *rank = &coordinator->ranks[index];
  group_command_t command = { .rank = index,
                              .incarnation = rank->incarnation,
                              .fence = coordinator->fence };

  switch (coordinator->phase)
    {
    case GROUP_IDLE:
      return;
    case GROUP_RAISING_FENCE:
      command.kind = GROUP_RAISE_FENCE;
      command.incarnation = 0;
      break;
    case GROUP_CONFIRMING:
    case GROUP_MONITORING:
      command.kind = GROUP_CONFIRM;
      break;
    case GROUP_RECONCILING:
      coordinator_reconcile_command (coordinator, rank, &command);
      break;
    case GROUP_PREPARING:
      command.kind = GROUP_PREPARE;
      command.schedule.next = coordinator->pending_version;
      break;
    case GROUP_ARMING:
      command.kind = GROUP_ARM;
      command.schedule.next = coordinator->pending_version;
      command.schedule.step = coordinator->arm_step;
      break;
    }
  coordinator->options.ops->send (&command, coordinator->options.data);
}

/* Send the command of the current phase to all ranks that have not completed
   it.  */
static void
coordinator_send_all (group_coordinator_t *coordinator, struct timespec now)
{
  struct timespec interval = coordinator->phase == GROUP_MONITORING
                                 ? coordinator->options.monitor_interval
                                 : coordinator->options.resend_interval;

  coordinator->resend_at = timespec_add (now, interval);
  for (unsigned i = 0; i < coordinator->options.rank_count; i++)
    {
      if (!coordinator->ranks[i].has_completed_phase)
        coordinator_send (coordinator, i);
    }
}

/* Start PHASE on all ranks.  */
static void
coordinator_enter (group_coordinator_t *coordinator,
                   group_coordinator_phase_t phase, struct timespec now)
{
  coordinator->phase = phase;
  for (unsigned i = 0; i < coordinator->options.rank_count; i++)
    coordinator->ranks[i].has_completed_phase = false;
  coordinator_send_all (coordinator, now);
}

/* Start a new round: raise the fence on every rank, which invalidates all
   commands sent before.  */
static void
coordinator_start_round (group_coordinator_t *coordinator, struct timespec now)
{
  coordinator->fence.round++;
  memset (coordinator->ranks, 0,
          sizeof (group_rank_view_t) * coordinator->options.rank_count);
  coordinator_enter (coordinator, GROUP_RAISING_FENCE, now);
}

/* Become coordinator with EPOCH, which must be higher than every epoch
   allocated for the group before.  INITIAL_VERSION is the map to start with
   when no rank has one.  */
void
group_coordinator_start_term (group_coordinator_t *coordinator, uint64_t epoch,
                              uint64_t initial_version, struct timespec now)
{
  INVARIANT (epoch > coordinator->fence.epoch, "epoch-rises");
  coordinator->fence = (group_fence_t){ .epoch = epoch };
  coordinator->initial_version = initial_version;
  coordinator->pending_version = 0;
  coordinator->target_schedule = (group_schedule_t){ .phase = GROUP_NO_MAP };
  coordinator_start_round (coordinator, now);
}

/* Stop coordinating.  A switch in progress is left to the next
   coordinator.  */
void
group_coordinator_resign (group_coordinator_t *coordinator)
{
  coordinator->phase = GROUP_IDLE;
  coordinator->pending_version = 0;
}

/* Start to switch the whole group to VERSION, which must be higher than every
   earlier version.  The switch takes effect MARGIN_STEPS after the newest step
   known when the weights are loaded; ranks that have not learned the outcome
   by then hold before that step.  Returns STATUS_UNAVAILABLE unless the group
   is steady.  */
status_t
group_coordinator_start_switch (group_coordinator_t *coordinator,
                                uint64_t version, uint64_t margin_steps,
                                struct timespec now)
{
  if (!group_coordinator_is_steady (coordinator))
    return status_set (STATUS_UNAVAILABLE, "the group is not steady");
  INVARIANT (version > group_coordinator_base (coordinator),
             "map-version-rises");
  coordinator->pending_version = version;
  coordinator->margin_steps = margin_steps;
  coordinator_start_round (coordinator, now);
  return STATUS_OK;
}

static bool
coordinator_phase_is_complete (const group_coordinator_t *coordinator)
{
  for (unsigned i = 0; i < coordinator->options.rank_count; i++)
    {
      if (!coordinator->ranks[i].has_completed_phase)
        return false;
    }
  return true;
}

/* Bring the ranks that do not follow the target schedule to it.  */
static void
coordinator_reconcile (group_coordinator_t *coordinator, struct timespec now)
{
  coordinator->phase = GROUP_RECONCILING;
  for (unsigned i = 0; i < coordinator->options.rank_count; i++)
    {
      group_rank_view_t *rank = &coordinator->ranks[i];

      rank->has_completed_phase = coordinator_is_at_target (coordinator, rank);
    }
  coordinator_send_all (coordinator, now);
}

/* Decide the pending switch and bring all ranks to the outcome.  */
static void
coordinator_decide (group_coordinator_t *coordinator, bool is_commit,
                    struct timespec now)
{
  coordinator_event (coordinator,
                     is_commit ? GROUP_EVENT_COMMITTING : GROUP_EVENT_ABORTING,
                     coordinator->pending_version);
  if (is_commit)
    {
      coordinator->target_schedule.phase = GROUP_COMMITTED;
      coordinator->target_schedule.next = coordinator->pending_version;
      coordinator->target_schedule.step = coordinator->arm_step;
    }
  coordinator->pending_version = 0;
  coordinator_reconcile (coordinator, now);
}

/* All ranks follow the target schedule: prepare the pending switch if it is
   still applicable, otherwise monitor the ranks.  */
static void
coordinator_finish_reconciling (group_coordinator_t *coordinator,
                                struct timespec now)
{
  bool is_steady;

  coordinator_event (coordinator, GROUP_EVENT_RECONCILED,
                     group_coordinator_base (coordinator));
  coordinator->phase = GROUP_MONITORING;
  is_steady = group_coordinator_is_steady (coordinator);
  if (coordinator->pending_version <= group_coordinator_base (coordinator)
      || !is_steady)
    coordinator->pending_version = 0;
  if (coordinator->pending_version == 0)
    {
      coordinator_enter (coordinator, GROUP_MONITORING, now);
      return;
    }
  coordinator->deadline
      = timespec_add (now, coordinator->options.prepare_timeout);
  coordinator_enter (coordinator, GROUP_PREPARING, now);
}

/* Choose the step of the switch and arm all ranks for it.  */
static void
coordinator_start_arming (group_coordinator_t *coordinator,
                          struct timespec now)
{
  coordinator->arm_step = 0;
  for (unsigned i = 0; i < coordinator->options.rank_count; i++)
    {
      if (coordinator->ranks[i].current_step > coordinator->arm_step)
        coordinator->arm_step = coordinator->ranks[i].current_step;
    }
  coordinator->arm_step += coordinator->margin_steps;
  coordinator->deadline = timespec_add (now, coordinator->options.arm_timeout);
  coordinator_enter (coordinator, GROUP_ARMING, now);
}

/* Enter the next phase once every rank has completed the current one.  */
static void
coordinator_advance (group_coordinator_t *coordinator, struct timespec now)
{
  if (!coordinator_phase_is_complete (coordinator))
    return;
  switch (coordinator->phase)
    {
    case GROUP_RAISING_FENCE:
      coordinator_enter (coordinator, GROUP_CONFIRMING, now);
      break;
    case GROUP_CONFIRMING:
      coordinator_event (coordinator, GROUP_EVENT_LEADING, 0);
      coordinator_choose_target (coordinator);
      coordinator_check_bases (coordinator);
      coordinator_reconcile (coordinator, now);
      coordinator_advance (coordinator, now);
      break;
    case GROUP_RECONCILING:
      coordinator_finish_reconciling (coordinator, now);
      break;
    case GROUP_PREPARING:
      coordinator_start_arming (coordinator, now);
      break;
    case GROUP_ARMING:
      coordinator_decide (coordinator, true, now);
      break;
    case GROUP_IDLE:
    case GROUP_MONITORING:
      break;
    }
}

/* Return whether REPLY completes the current phase for RANK.  */
static bool
coordinator_reply_completes_phase (const group_coordinator_t *coordinator,
                                   const group_rank_view_t *rank,
                                   const group_reply_t *reply)
{
  const group_schedule_t *schedule = &reply->schedule;
  bool is_next = schedule->next == coordinator->pending_version;

  switch (coordinator->phase)
    {
    case GROUP_RAISING_FENCE:
      return reply->kind == GROUP_RAISE_FENCE;
    case GROUP_CONFIRMING:
      return reply->kind == GROUP_CONFIRM;
    case GROUP_RECONCILING:
      return coordinator_is_at_target (coordinator, rank);
    case GROUP_PREPARING:
      return schedule->phase == GROUP_PREPARED && is_next;
    case GROUP_ARMING:
      return schedule->phase == GROUP_ARMED && is_next
             && schedule->step == coordinator->arm_step;
    case GROUP_IDLE:
    case GROUP_MONITORING:
      break;
    }
  return false;
}

/* Return whether the rank rejected the command of the current phase.  */
static bool
coordinator_reply_is_refusal (const group_coordinator_t *coordinator,
                              const group_reply_t *reply)
{
  if (reply->is_accepted)
    return false;
  return (coordinator->phase == GROUP_PREPARING
          && reply->kind == GROUP_PREPARE)
         || (coordinator->phase == GROUP_ARMING && reply->kind == GROUP_ARM);
}

/* Process a reply to a command of the current round.  */
static void
coordinator_apply_reply (group_coordinator_t *coordinator,
                         const group_reply_t *reply, struct timespec now)
{
  group_rank_view_t *rank = &coordinator->ranks[reply->rank];

  rank->incarnation = reply->incarnation;
  rank->schedule = reply->schedule;
  if (reply->current_step > rank->current_step)
    rank->current_step = reply->current_step;
  if (coordinator_reply_is_refusal (coordinator, reply))
    {
      coordinator_decide (coordinator, false, now);
      coordinator_advance (coordinator, now);
      return;
    }
  if (coordinator->phase == GROUP_MONITORING
      && !coordinator_is_at_target (coordinator, rank))
    {
      coordinator_reconcile (coordinator, now);
      return;
    }
  if (!coordinator_reply_completes_phase (coordinator, rank, reply))
    return;
  rank->has_completed_phase = true;
  coordinator_advance (coordinator, now);
}

/* Handle the restart of a rank: its known state is invalid, and a switch that
   has not been decided is aborted.  */
static void
coordinator_handle_restart (group_coordinator_t *coordinator,
                            struct timespec now)
{
  coordinator_event (coordinator, GROUP_EVENT_RESTARTED, 0);
  if (coordinator->pending_version != 0)
    coordinator_event (coordinator, GROUP_EVENT_ABORTING,
                       coordinator->pending_version);
  coordinator->pending_version = 0;
  coordinator_start_round (coordinator, now);
}

/* Process a reply of a rank.  A higher epoch in it ends the coordinator's
   term; a changed incarnation of the rank starts a new round.  */
void
group_coordinator_receive (group_coordinator_t *coordinator,
                           const group_reply_t *reply, struct timespec now)
{
  group_rank_view_t *rank;

  if (coordinator->phase == GROUP_IDLE
      || reply->rank >= coordinator->options.rank_count)
    return;
  rank = &coordinator->ranks[reply->rank];
  if (reply->highest_fence.epoch > coordinator->fence.epoch)
    {
      group_coordinator_resign (coordinator);
      coordinator_event (coordinator, GROUP_EVENT_DEPOSED, 0);
      return;
    }
  if (group_fence_compare (reply->command_fence, coordinator->fence) != 0)
    return;
  if (rank->incarnation != 0 && rank->incarnation != reply->incarnation)
    {
      coordinator_handle_restart (coordinator, now);
      return;
    }
  if (group_fence_compare (reply->highest_fence, coordinator->fence) == 0)
    coordinator_apply_reply (coordinator, reply, now);
}

/* Resend commands that have not been answered, and abort a switch that has
   timed out.  */
void
group_coordinator_tick (group_coordinator_t *coordinator, struct timespec now)
{
  bool has_deadline = coordinator->phase == GROUP_PREPARING
                      || coordinator->phase == GROUP_ARMING;

  if (coordinator->phase == GROUP_IDLE)
    return;
  if (has_deadline && timespec_compare (now, coordinator->deadline) >= 0)
    {
      coordinator_decide (coordinator, false, now);
      coordinator_advance (coordinator, now);
      return;
    }
  if (timespec_compare (now, coordinator->resend_at) >= 0)
    coordinator_send_all (coordinator, now);
}
