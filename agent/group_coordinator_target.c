#include "agent/group_coordinator_state.h"

#include "kernel/invariant.h"

/* Return the map version in use once SCHEDULE has been completed.  */
static uint64_t
schedule_final_version (const group_schedule_t *schedule)
{
  return schedule->phase == GROUP_COMMITTED ? schedule->next : schedule->base;
}

/* Return the map version that every rank uses, or will use once a committed
   switch has taken effect; 0 if unknown.  */
uint64_t
group_coordinator_base (const group_coordinator_t *coordinator)
{
  return schedule_final_version (&coordinator->target_schedule);
}

/* Return whether every rank is known to use the same map and no switch is in
   progress.  */
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

/* Return whether RANK follows the target schedule.  A rank that has passed the
   step of a committed switch reports the new version as its base, and a
   delayed reply may still report the switch itself.  */
bool
coordinator_is_at_target (const group_coordinator_t *coordinator,
                          const group_rank_view_t *rank)
{
  const group_schedule_t *actual = &rank->schedule;

  if (actual->phase != GROUP_COMMITTED && actual->phase != GROUP_STEADY)
    return false;
  return schedule_final_version (actual)
         == schedule_final_version (&coordinator->target_schedule);
}

/* Set COMMAND to the one that brings RANK closer to the target schedule.  */
void
coordinator_reconcile_command (const group_coordinator_t *coordinator,
                               const group_rank_view_t *rank,
                               group_command_t *command)
{
  const group_schedule_t *target_schedule = &coordinator->target_schedule;

  command->schedule = rank->schedule;
  if (rank->schedule.phase == GROUP_NO_MAP)
    {
      command->kind = GROUP_JOIN;
      command->schedule = *target_schedule;
    }
  else if (target_schedule->phase == GROUP_COMMITTED
           && rank->schedule.next == target_schedule->next)
    command->kind = GROUP_COMMIT;
  else
    command->kind = GROUP_ABORT;
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

/* Derive the target schedule from the schedules that all ranks confirmed: a
   switch that any rank has committed is committed, any other is aborted.  A
   rank that has entered the first step of a switch reports its version as
   base, though other ranks may still hold before that step.  */
void
coordinator_choose_target (group_coordinator_t *coordinator)
{
  uint64_t base = coordinator_highest_base (coordinator);

  coordinator->target_schedule = (group_schedule_t){
    .phase = GROUP_STEADY,
    .base = base != 0 ? base : coordinator->initial_version,
  };
  for (unsigned i = 0; i < coordinator->options.rank_count; i++)
    {
      const group_schedule_t *actual = &coordinator->ranks[i].schedule;

      if (actual->phase != GROUP_COMMITTED
          && (actual->phase != GROUP_ARMED || actual->next != base))
        continue;
      INVARIANT (coordinator->target_schedule.phase == GROUP_STEADY
                     || coordinator->target_schedule.next == actual->next,
                 "one-committed-switch");
      coordinator->target_schedule = *actual;
      coordinator->target_schedule.phase = GROUP_COMMITTED;
    }
}

/* Check that every rank that has a map uses a version of the target
   schedule.  */
void
coordinator_check_bases (const group_coordinator_t *coordinator)
{
  const group_schedule_t *target_schedule = &coordinator->target_schedule;

  for (unsigned i = 0; i < coordinator->options.rank_count; i++)
    {
      const group_schedule_t *schedule = &coordinator->ranks[i].schedule;

      INVARIANT (schedule->phase == GROUP_NO_MAP
                     || schedule->base == target_schedule->base
                     || (target_schedule->phase == GROUP_COMMITTED
                         && schedule->base == target_schedule->next),
                 "one-map-in-the-group");
    }
}
