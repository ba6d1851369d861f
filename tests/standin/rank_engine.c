#include "rank_engine.h"

/* Restart ENGINE as INCARNATION, without a map and without the highest fence
   that it has received.  */
void
rank_engine_restart (rank_engine_t *engine, uint64_t incarnation)
{
  engine->state = (group_engine_state_t){ .incarnation = incarnation };
  engine->fence = (group_fence_t){ .epoch = 0 };
}

/* Return whether the weights of VERSION are loaded; start to load them if
   not.  */
static bool
engine_load (rank_engine_t *engine, uint64_t version, int64_t now_ms)
{
  if (engine->state.loading != version)
    {
      engine->state.loading = version;
      engine->loaded_at_ms = now_ms + engine->load_ms;
    }
  if (now_ms < engine->loaded_at_ms)
    return false;
  engine->state.loading = 0;
  return true;
}

/* Load VERSION and make it the prepared map.  A command for another version
   than the prepared one replaces it; an armed or committed switch is kept.  */
static void
engine_prepare (rank_engine_t *engine, uint64_t version, int64_t now_ms)
{
  group_schedule_t *current = &engine->state.schedule;

  if (current->phase != GROUP_STEADY && current->phase != GROUP_PREPARED)
    return;
  if (current->phase == GROUP_PREPARED && current->next == version)
    return;
  current->phase = GROUP_STEADY;
  current->next = 0;
  if (!engine_load (engine, version, now_ms))
    return;
  current->phase = GROUP_PREPARED;
  current->next = version;
}

/* Stop loading VERSION and drop it if it is prepared or armed.  */
static void
engine_abort (rank_engine_t *engine, uint64_t version)
{
  group_schedule_t *current = &engine->state.schedule;

  if (engine->state.loading == version)
    engine->state.loading = 0;
  if ((current->phase == GROUP_PREPARED || current->phase == GROUP_ARMED)
      && current->next == version)
    *current
        = (group_schedule_t){ .phase = GROUP_STEADY, .base = current->base };
}

/* Execute COMMAND if the state allows it.  Returns false when the engine
   checks fences and the command's fence is lower than one received before.  */
bool
rank_engine_execute (rank_engine_t *engine,
                     const group_engine_command_t *command, int64_t now_ms)
{
  group_schedule_t *current = &engine->state.schedule;
  const group_schedule_t *target = &command->schedule;
  bool is_next = current->next == target->next;

  if (engine->checks_fence
      && group_fence_compare (command->fence, engine->fence) < 0)
    return false;
  engine->fence = command->fence;
  switch (command->kind)
    {
    case GROUP_ENGINE_READ:
      break;
    case GROUP_ENGINE_PREPARE:
      engine_prepare (engine, target->next, now_ms);
      break;
    case GROUP_ENGINE_ARM:
      if (current->phase == GROUP_PREPARED && is_next
          && target->step > engine->state.current_step)
        {
          current->phase = GROUP_ARMED;
          current->step = target->step;
        }
      break;
    case GROUP_ENGINE_COMMIT:
      if (current->phase == GROUP_ARMED && is_next)
        current->phase = GROUP_COMMITTED;
      break;
    case GROUP_ENGINE_ABORT:
      engine_abort (engine, target->next);
      break;
    case GROUP_ENGINE_JOIN:
      if (current->phase == GROUP_NO_MAP
          && engine_load (engine, target->base, now_ms))
        *current = *target;
      break;
    }
  return true;
}

/* Return the version of the map that ENGINE uses for STEP, or 0 if it must
   wait before that step.  */
uint64_t
rank_engine_map_version (const rank_engine_t *engine, uint64_t step)
{
  const group_schedule_t *current = &engine->state.schedule;

  if (current->phase == GROUP_NO_MAP
      || (current->phase == GROUP_ARMED && step >= current->step))
    return 0;
  if (current->phase == GROUP_COMMITTED && step >= current->step)
    return current->next;
  return current->base;
}

/* Start STEP and return the version of the map used, or 0 if the engine must
   wait.  The first step of a committed switch makes its map the base map.  */
uint64_t
rank_engine_enter_step (rank_engine_t *engine, uint64_t step)
{
  group_schedule_t *current = &engine->state.schedule;
  uint64_t version = rank_engine_map_version (engine, step);

  if (version == 0)
    return 0;
  engine->state.current_step = step;
  if (current->phase == GROUP_COMMITTED && step >= current->step)
    *current
        = (group_schedule_t){ .phase = GROUP_STEADY, .base = current->next };
  return version;
}
