#include "rank_engine.h"

/* Start the engine again: without a map, and with no memory of orders.  */
void
rank_engine_restart (rank_engine_t *engine, uint64_t incarnation)
{
  engine->state = (group_engine_state_t){ .incarnation = incarnation };
  engine->fence = (group_fence_t){ .epoch = 0 };
}

/* Whether the weights of VERSION are there; starts to load them if not.  */
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

static void
engine_prepare (rank_engine_t *engine, uint64_t version, int64_t now_ms)
{
  group_schedule_t *have = &engine->state.schedule;

  if (have->phase != GROUP_STEADY && have->phase != GROUP_PREPARED)
    return;
  if (have->phase == GROUP_PREPARED && have->next == version)
    return;
  have->phase = GROUP_STEADY;
  have->next = 0;
  if (!engine_load (engine, version, now_ms))
    return;
  have->phase = GROUP_PREPARED;
  have->next = version;
}

static void
engine_abort (rank_engine_t *engine, uint64_t version)
{
  group_schedule_t *have = &engine->state.schedule;

  if (engine->state.loading == version)
    engine->state.loading = 0;
  if ((have->phase == GROUP_PREPARED || have->phase == GROUP_ARMED)
      && have->next == version)
    *have = (group_schedule_t){ .phase = GROUP_STEADY, .base = have->base };
}

/* Carry out ORDER if the state allows it.  Returns false when the fence is
   checked and lower than one seen before.  */
bool
rank_engine_execute (rank_engine_t *engine,
                     const group_engine_command_t *order, int64_t now_ms)
{
  group_schedule_t *have = &engine->state.schedule;
  const group_schedule_t *want = &order->schedule;
  bool is_next = have->next == want->next;

  if (engine->checks_fence
      && group_fence_compare (order->fence, engine->fence) < 0)
    return false;
  engine->fence = order->fence;
  switch (order->kind)
    {
    case GROUP_ENGINE_READ:
      break;
    case GROUP_ENGINE_PREPARE:
      engine_prepare (engine, want->next, now_ms);
      break;
    case GROUP_ENGINE_ARM:
      if (have->phase == GROUP_PREPARED && is_next
          && want->step > engine->state.current_step)
        {
          have->phase = GROUP_ARMED;
          have->step = want->step;
        }
      break;
    case GROUP_ENGINE_COMMIT:
      if (have->phase == GROUP_ARMED && is_next)
        have->phase = GROUP_COMMITTED;
      break;
    case GROUP_ENGINE_ABORT:
      engine_abort (engine, want->next);
      break;
    case GROUP_ENGINE_JOIN:
      if (have->phase == GROUP_NO_MAP
          && engine_load (engine, want->base, now_ms))
        *have = *want;
      break;
    }
  return true;
}

/* Return the map that the engine would step STEP with, 0 if it holds.  */
uint64_t
rank_engine_map_version (const rank_engine_t *engine, uint64_t step)
{
  const group_schedule_t *have = &engine->state.schedule;

  if (have->phase == GROUP_NO_MAP
      || (have->phase == GROUP_ARMED && step >= have->step))
    return 0;
  if (have->phase == GROUP_COMMITTED && step >= have->step)
    return have->next;
  return have->base;
}

/* Enter STEP; returns the map used.  The first step of a committed switch
   ends the use of the old map.  */
uint64_t
rank_engine_enter_step (rank_engine_t *engine, uint64_t step)
{
  group_schedule_t *have = &engine->state.schedule;
  uint64_t map = rank_engine_map_version (engine, step);

  if (map == 0)
    return 0;
  engine->state.current_step = step;
  if (have->phase == GROUP_COMMITTED && step >= have->step)
    *have = (group_schedule_t){ .phase = GROUP_STEADY, .base = have->next };
  return map;
}
