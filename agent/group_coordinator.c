#include "agent/group_coordinator.h"

#include "kernel/clock.h"
#include "kernel/invariant.h"

#include <string.h>

struct group_coordinator
{
  group_coordinator_options_t options;
  group_coordinator_phase_t phase;
  group_fence_t fence;
  uint64_t first_version; /* for a group in which nobody has a map */
  uint64_t wanted;        /* version of the switch asked for, 0 for none */
  uint64_t margin;        /* steps from the newest known one to the switch */
  uint64_t arm_step;
  group_schedule_t target; /* what every rank is brought to */
  struct timespec resend_at;
  struct timespec deadline; /* of PREPARING and ARMING */
  group_rank_view_t *ranks;
};

/* The version that SCHEDULE ends up with.  */
static uint64_t
schedule_final_version (const group_schedule_t *schedule)
{
  return schedule->phase == GROUP_COMMITTED ? schedule->next : schedule->base;
}

/* Create a coordinator without an epoch.  */
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

/* Return what the coordinator is doing.  */
group_coordinator_phase_t
group_coordinator_phase (const group_coordinator_t *coordinator)
{
  return coordinator->phase;
}

/* Return the epoch last led with.  */
uint64_t
group_coordinator_epoch (const group_coordinator_t *coordinator)
{
  return coordinator->fence.epoch;
}

/* Return the version that every rank steps with or will step with once a
   committed switch is through; 0 when it is not known.  */
uint64_t
group_coordinator_base (const group_coordinator_t *coordinator)
{
  return schedule_final_version (&coordinator->target);
}

/* Return what is known of RANK.  */
const group_rank_view_t *
group_coordinator_view (const group_coordinator_t *coordinator, unsigned rank)
{
  return &coordinator->ranks[rank];
}

/* Return whether every rank is known to step with one map and no switch is
   under way.  */
bool
group_coordinator_is_steady (const group_coordinator_t *coordinator)
{
  if (coordinator->phase != GROUP_MONITORING)
    return false;
  for (unsigned i = 0; i < coordinator->options.rank_count; i++)
    {
      const group_schedule_t *schedule = &coordinator->ranks[i].schedule;

      if (schedule->phase != GROUP_STEADY
          || schedule->base != group_coordinator_base (coordinator))
        return false;
    }
  return true;
}

static void
coordinator_event (group_coordinator_t *coordinator, group_event_t event,
                   uint64_t version)
{
  if (coordinator->options.ops->on_event != NULL)
    coordinator->options.ops->on_event (event, version,
                                        coordinator->options.data);
}

/* Whether RANK follows the target schedule.  A rank that has passed the step
   of a committed switch shows the new version as its base, and a late reply
   the switch that it has passed.  */
static bool
coordinator_is_at_target (const group_coordinator_t *coordinator,
                          const group_rank_view_t *rank)
{
  const group_schedule_t *have = &rank->schedule;

  if (have->phase != GROUP_COMMITTED && have->phase != GROUP_STEADY)
    return false;
  return schedule_final_version (have)
         == schedule_final_version (&coordinator->target);
}

/* The order that brings RANK closer to the target schedule.  */
static void
coordinator_settling_order (const group_coordinator_t *coordinator,
                            const group_rank_view_t *rank,
                            group_command_t *order)
{
  const group_schedule_t *target = &coordinator->target;

  order->schedule = rank->schedule;
  if (rank->schedule.phase == GROUP_NO_MAP)
    {
      order->kind = GROUP_JOIN;
      order->schedule = *target;
    }
  else if (target->phase == GROUP_COMMITTED
           && rank->schedule.next == target->next)
    order->kind = GROUP_COMMIT;
  else
    order->kind = GROUP_ABORT;
}

/* Send RANK the order that the phase asks for.  */
static void
coordinator_send (group_coordinator_t *coordinator, unsigned index)
{
  group_rank_view_t *rank = &coordinator->ranks[index];
  group_command_t order = { .rank = index,
                            .incarnation = rank->incarnation,
                            .fence = coordinator->fence };

  switch (coordinator->phase)
    {
    case GROUP_IDLE:
      return;
    case GROUP_RAISING_FENCE:
      order.kind = GROUP_RAISE_FENCE;
      order.incarnation = 0;
      break;
    case GROUP_CONFIRMING:
    case GROUP_MONITORING:
      order.kind = GROUP_CONFIRM;
      break;
    case GROUP_RECONCILING:
      coordinator_settling_order (coordinator, rank, &order);
      break;
    case GROUP_PREPARING:
      order.kind = GROUP_PREPARE;
      order.schedule.next = coordinator->wanted;
      break;
    case GROUP_ARMING:
      order.kind = GROUP_ARM;
      order.schedule.next = coordinator->wanted;
      order.schedule.step = coordinator->arm_step;
      break;
    }
  coordinator->options.ops->send (&order, coordinator->options.data);
}

static void
coordinator_send_all (group_coordinator_t *coordinator, struct timespec now)
{
  struct timespec interval = coordinator->phase == GROUP_MONITORING
                                 ? coordinator->options.watch_interval
                                 : coordinator->options.resend_interval;

  coordinator->resend_at = timespec_add (now, interval);
  for (unsigned i = 0; i < coordinator->options.rank_count; i++)
    {
      if (!coordinator->ranks[i].is_heard)
        coordinator_send (coordinator, i);
    }
}

static void
coordinator_enter (group_coordinator_t *coordinator,
                   group_coordinator_phase_t phase, struct timespec now)
{
  coordinator->phase = phase;
  for (unsigned i = 0; i < coordinator->options.rank_count; i++)
    coordinator->ranks[i].is_heard = false;
  coordinator_send_all (coordinator, now);
}

/* Ask every rank for its promise under a new round, which voids all orders
   sent before.  */
static void
coordinator_start_round (group_coordinator_t *coordinator, struct timespec now)
{
  coordinator->fence.round++;
  memset (coordinator->ranks, 0,
          sizeof (group_rank_view_t) * coordinator->options.rank_count);
  coordinator_enter (coordinator, GROUP_RAISING_FENCE, now);
}

/* Become coordinator with EPOCH, which must be higher than every epoch handed
   out for the group before.  FIRST_VERSION is the map to start with when no
   rank has any.  */
void
group_coordinator_start_term (group_coordinator_t *coordinator, uint64_t epoch,
                              uint64_t first_version, struct timespec now)
{
  INVARIANT (epoch > coordinator->fence.epoch, "epoch-rises");
  coordinator->fence = (group_fence_t){ .epoch = epoch };
  coordinator->first_version = first_version;
  coordinator->wanted = 0;
  coordinator->target = (group_schedule_t){ .phase = GROUP_NO_MAP };
  coordinator_start_round (coordinator, now);
}

/* Stop coordinating.  A switch under way is left to the next coordinator.  */
void
group_coordinator_resign (group_coordinator_t *coordinator)
{
  coordinator->phase = GROUP_IDLE;
  coordinator->wanted = 0;
}

/* Start the switch of the whole group to VERSION, which must be higher than
   every version before.  It takes effect MARGIN steps after the newest step
   known when the weights are loaded; ranks that have not heard the outcome by
   then hold.  Returns STATUS_UNAVAILABLE unless the group is steady.  */
status_t
group_coordinator_start_switch (group_coordinator_t *coordinator,
                                uint64_t version, uint64_t margin,
                                struct timespec now)
{
  if (!group_coordinator_is_steady (coordinator))
    return status_set (STATUS_UNAVAILABLE, "the group is not steady");
  INVARIANT (version > group_coordinator_base (coordinator),
             "map-version-rises");
  coordinator->wanted = version;
  coordinator->margin = margin;
  coordinator_start_round (coordinator, now);
  return STATUS_OK;
}

static bool
coordinator_all_heard (const group_coordinator_t *coordinator)
{
  for (unsigned i = 0; i < coordinator->options.rank_count; i++)
    {
      if (!coordinator->ranks[i].is_heard)
        return false;
    }
  return true;
}

static uint64_t
coordinator_highest_base (const group_coordinator_t *coordinator)
{
  uint64_t base = 0;

  for (unsigned i = 0; i < coordinator->options.rank_count; i++)
    {
      if (coordinator->ranks[i].schedule.base > base)
        base = coordinator->ranks[i].schedule.base;
    }
  return base;
}

/* Derive the target schedule from what every rank confirmed: a switch that any
   rank has committed is committed, any other is aborted.  A rank that entered
   the first step of a switch has its version as base, though the others may
   still hold before that step.  */
static void
coordinator_choose_target (group_coordinator_t *coordinator)
{
  uint64_t base = coordinator_highest_base (coordinator);

  coordinator->target = (group_schedule_t){
    .phase = GROUP_STEADY,
    .base = base != 0 ? base : coordinator->first_version,
  };
  for (unsigned i = 0; i < coordinator->options.rank_count; i++)
    {
      const group_schedule_t *have = &coordinator->ranks[i].schedule;

      if (have->phase != GROUP_COMMITTED
          && (have->phase != GROUP_ARMED || have->next != base))
        continue;
      INVARIANT (coordinator->target.phase == GROUP_STEADY
                     || coordinator->target.next == have->next,
                 "one-committed-switch");
      coordinator->target = *have;
      coordinator->target.phase = GROUP_COMMITTED;
    }
}

/* Check that no rank that has a map is outside the target schedule's
   versions.  */
static void
coordinator_check_bases (const group_coordinator_t *coordinator)
{
  const group_schedule_t *target = &coordinator->target;

  for (unsigned i = 0; i < coordinator->options.rank_count; i++)
    {
      const group_schedule_t *schedule = &coordinator->ranks[i].schedule;

      INVARIANT (schedule->phase == GROUP_NO_MAP
                     || schedule->base == target->base
                     || (target->phase == GROUP_COMMITTED
                         && schedule->base == target->next),
                 "one-map-in-the-group");
    }
}

static void
coordinator_settle (group_coordinator_t *coordinator, struct timespec now)
{
  coordinator->phase = GROUP_RECONCILING;
  for (unsigned i = 0; i < coordinator->options.rank_count; i++)
    {
      group_rank_view_t *rank = &coordinator->ranks[i];

      rank->is_heard = coordinator_is_at_target (coordinator, rank);
    }
  coordinator_send_all (coordinator, now);
}

static void
coordinator_decide (group_coordinator_t *coordinator, bool is_commit,
                    struct timespec now)
{
  coordinator_event (coordinator,
                     is_commit ? GROUP_EVENT_COMMITTING : GROUP_EVENT_ABORTING,
                     coordinator->wanted);
  if (is_commit)
    {
      coordinator->target.phase = GROUP_COMMITTED;
      coordinator->target.next = coordinator->wanted;
      coordinator->target.step = coordinator->arm_step;
    }
  coordinator->wanted = 0;
  coordinator_settle (coordinator, now);
}

static void
coordinator_finish_settling (group_coordinator_t *coordinator,
                             struct timespec now)
{
  bool is_steady;

  coordinator_event (coordinator, GROUP_EVENT_RECONCILED,
                     group_coordinator_base (coordinator));
  coordinator->phase = GROUP_MONITORING;
  is_steady = group_coordinator_is_steady (coordinator);
  if (coordinator->wanted <= group_coordinator_base (coordinator)
      || !is_steady)
    coordinator->wanted = 0;
  if (coordinator->wanted == 0)
    {
      coordinator_enter (coordinator, GROUP_MONITORING, now);
      return;
    }
  coordinator->deadline
      = timespec_add (now, coordinator->options.prepare_timeout);
  coordinator_enter (coordinator, GROUP_PREPARING, now);
}

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
  coordinator->arm_step += coordinator->margin;
  coordinator->deadline = timespec_add (now, coordinator->options.arm_timeout);
  coordinator_enter (coordinator, GROUP_ARMING, now);
}

/* Go on once every rank has answered in this phase.  */
static void
coordinator_advance (group_coordinator_t *coordinator, struct timespec now)
{
  if (!coordinator_all_heard (coordinator))
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
      coordinator_settle (coordinator, now);
      coordinator_advance (coordinator, now);
      break;
    case GROUP_RECONCILING:
      coordinator_finish_settling (coordinator, now);
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

/* Whether a rank's reply ends its part of the phase.  */
static bool
coordinator_is_done (const group_coordinator_t *coordinator,
                     const group_rank_view_t *rank, const group_reply_t *reply)
{
  const group_schedule_t *schedule = &reply->schedule;
  bool is_next = schedule->next == coordinator->wanted;

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

/* Whether a rank refused what the phase asks of it.  */
static bool
coordinator_is_refused (const group_coordinator_t *coordinator,
                        const group_reply_t *reply)
{
  if (reply->is_accepted)
    return false;
  return (coordinator->phase == GROUP_PREPARING
          && reply->kind == GROUP_PREPARE)
         || (coordinator->phase == GROUP_ARMING && reply->kind == GROUP_ARM);
}

static void
coordinator_take (group_coordinator_t *coordinator, const group_reply_t *reply,
                  struct timespec now)
{
  group_rank_view_t *rank = &coordinator->ranks[reply->rank];

  rank->incarnation = reply->incarnation;
  rank->schedule = reply->schedule;
  if (reply->current_step > rank->current_step)
    rank->current_step = reply->current_step;
  if (coordinator_is_refused (coordinator, reply))
    {
      coordinator_decide (coordinator, false, now);
      coordinator_advance (coordinator, now);
      return;
    }
  if (coordinator->phase == GROUP_MONITORING
      && !coordinator_is_at_target (coordinator, rank))
    {
      coordinator_settle (coordinator, now);
      return;
    }
  if (!coordinator_is_done (coordinator, rank, reply))
    return;
  rank->is_heard = true;
  coordinator_advance (coordinator, now);
}

/* A rank restarted, so what was known of it is void; a switch that was not
   decided is given up.  */
static void
coordinator_note_restart (group_coordinator_t *coordinator,
                          struct timespec now)
{
  coordinator_event (coordinator, GROUP_EVENT_RESTARTED, 0);
  if (coordinator->wanted != 0)
    coordinator_event (coordinator, GROUP_EVENT_ABORTING, coordinator->wanted);
  coordinator->wanted = 0;
  coordinator_start_round (coordinator, now);
}

/* Take a rank's reply.  One that shows a higher epoch ends the coordinator's
   term; one from another incarnation of the rank starts a new round.  */
void
group_coordinator_receive (group_coordinator_t *coordinator,
                           const group_reply_t *reply, struct timespec now)
{
  group_rank_view_t *rank;

  if (coordinator->phase == GROUP_IDLE
      || reply->rank >= coordinator->options.rank_count)
    return;
  rank = &coordinator->ranks[reply->rank];
  if (reply->promised.epoch > coordinator->fence.epoch)
    {
      group_coordinator_resign (coordinator);
      coordinator_event (coordinator, GROUP_EVENT_DEPOSED, 0);
      return;
    }
  if (group_fence_compare (reply->command_fence, coordinator->fence) != 0)
    return;
  if (rank->incarnation != 0 && rank->incarnation != reply->incarnation)
    {
      coordinator_note_restart (coordinator, now);
      return;
    }
  if (group_fence_compare (reply->promised, coordinator->fence) == 0)
    coordinator_take (coordinator, reply, now);
}

/* Resend what has had no answer, and abort a switch that takes too long.  */
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
