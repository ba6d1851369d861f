#include "map_world.h"

#include "kernel/clock.h"

enum
{
  ENGINE_DELAY_MS = 4,
  ENGINE_TIMEOUT_MS = 20,
  ENGINE_LOAD_MS = 30,
  PAUSE_MS = 400,
  CALM_MINIMUM = 150,
  CALM_RANGE = 2500,
  SWITCH_CALM = 30
};

/* Return a number below BOUND (xorshift).  */
uint64_t
world_random (world_t *world, uint64_t bound)
{
  world->random ^= world->random << 13;
  world->random ^= world->random >> 7;
  world->random ^= world->random << 17;
  return world->random % bound;
}

static struct timespec
world_now (const world_t *world)
{
  return timespec_from_ms (world->now_ms);
}

static parcel_t *
world_parcel (world_t *world, int kind, unsigned rank, int64_t due_ms)
{
  parcel_t *parcel = talloc_zero (world, parcel_t);

  parcel->kind = kind;
  parcel->rank = rank;
  parcel->due_ms = due_ms;
  TAILQ_INSERT_TAIL (&world->parcels, parcel, link);
  return parcel;
}

/* How many copies of a message arrive: 0 for a lost one.  */
static unsigned
world_copies (world_t *world)
{
  if (world_random (world, 100) < world->loss_percent)
    return 0;
  return world->loss_percent > 0 && world_random (world, 10) == 0 ? 2 : 1;
}

static int64_t
world_arrival (world_t *world)
{
  return world->now_ms + 1 + (int64_t)world_random (world, world->delay_ms);
}

static void
coordinator_send (const group_command_t *order, void *data)
{
  world_coordinator_t *coordinator = data;
  world_t *world = coordinator->world;

  for (unsigned copies = world_copies (world); copies > 0; copies--)
    {
      parcel_t *parcel = world_parcel (world, PARCEL_ORDER, order->rank,
                                       world_arrival (world));

      parcel->coordinator = coordinator->index;
      parcel->order = *order;
    }
}

static void
coordinator_event (group_event_t event, uint64_t version, void *data)
{
  world_coordinator_t *coordinator = data;

  (void)version;
  if (event == GROUP_EVENT_COMMITTING)
    coordinator->world->committed++;
  if (event == GROUP_EVENT_ABORTING)
    coordinator->world->aborted++;
}

static const group_coordinator_ops_t coordinator_ops
    = { .send = coordinator_send, .on_event = coordinator_event };

static void
rank_reply (const group_reply_t *reply, void *data)
{
  world_rank_t *rank = data;
  world_t *world = rank->world;

  for (unsigned copies = world_copies (world); copies > 0; copies--)
    {
      parcel_t *parcel = world_parcel (world, PARCEL_REPLY, rank->index,
                                       world_arrival (world));

      parcel->coordinator
          = (unsigned)(reply->command_fence.epoch % WORLD_COORDINATORS);
      parcel->reply = *reply;
    }
}

/* Orders to an engine keep their sequence; their answers may be lost.  */
static void
rank_send_to_engine (const group_engine_command_t *order, void *data)
{
  world_rank_t *rank = data;
  world_t *world = rank->world;
  parcel_t *parcel = world_parcel (
      world, PARCEL_ENGINE_ORDER, rank->index,
      world->now_ms + 1 + (int64_t)world_random (world, ENGINE_DELAY_MS));

  parcel->agent_start = rank->agent_start;
  parcel->engine_order = *order;
  rank->answer_by_ms = world->now_ms + ENGINE_TIMEOUT_MS;
}

static const group_rank_ops_t rank_ops
    = { .send_to_engine = rank_send_to_engine, .reply = rank_reply };

/* Start the agent of RANK again; its engine and the orders that it sent live
   on.  */
void
world_restart_agent (world_t *world, unsigned index)
{
  world_rank_t *rank = &world->ranks[index];
  group_rank_options_t options = { .rank = index,
                                   .incarnation = ++world->starts << 16,
                                   .read_interval = timespec_from_ms (25),
                                   .ops = &rank_ops,
                                   .data = rank };

  if (rank->agent != NULL)
    group_rank_destroy (rank->agent);
  rank->agent_start = world->starts;
  rank->answer_by_ms = 0;
  rank->agent = group_rank_create (world, &options, world_now (world));
}

/* Start the engine of RANK again: the step under way is void for all.  */
void
world_restart_engine (world_t *world, unsigned index)
{
  rank_engine_restart (&world->ranks[index].engine, ++world->starts);
  for (unsigned i = 0; i < WORLD_RANKS; i++)
    world->ranks[i].entered_map = 0;
}

/* Create a group that has not started yet.  */
world_t *
world_create (uint64_t seed)
{
  world_t *world = talloc_zero (NULL, world_t);
  group_coordinator_options_t options = {
    .rank_count = WORLD_RANKS,
    .resend_interval = timespec_from_ms (20),
    .watch_interval = timespec_from_ms (50),
    .prepare_timeout = timespec_from_ms (400),
    .arm_timeout = timespec_from_ms (200),
    .ops = &coordinator_ops,
  };

  TAILQ_INIT (&world->parcels);
  world->random = seed * 2654435761U + 88172645463325252U;
  world->delay_ms = 5;
  world->margin = 40;
  world->step = 1;
  world->calm = CALM_MINIMUM + world_random (world, CALM_RANGE);
  for (unsigned i = 0; i < WORLD_RANKS; i++)
    {
      world->ranks[i].world = world;
      world->ranks[i].index = i;
      world->ranks[i].engine.load_ms = ENGINE_LOAD_MS;
      world->ranks[i].engine.checks_fence = i == 0;
      world_restart_engine (world, i);
      world_restart_agent (world, i);
    }
  for (unsigned i = 0; i < WORLD_COORDINATORS; i++)
    {
      world->coordinators[i].world = world;
      world->coordinators[i].index = i;
      options.data = &world->coordinators[i];
      world->coordinators[i].state
          = group_coordinator_create (world, &options);
    }
  return world;
}

/* Free WORLD.  */
void
world_destroy (world_t *world)
{
  talloc_free (world);
}

/* Let a coordinator take an epoch from the store.  */
bool
world_lead (world_t *world, unsigned index)
{
  if (world->is_store_down)
    return false;
  do
    world->epoch++;
  while (world->epoch % WORLD_COORDINATORS != index);
  group_coordinator_start_term (world->coordinators[index].state, world->epoch,
                                group_version_after (0, world->epoch),
                                world_now (world));
  return true;
}

/* Ask a coordinator for a switch to a new version.  */
bool
world_switch (world_t *world, unsigned index)
{
  world_coordinator_t *coordinator = &world->coordinators[index];
  uint64_t base = group_coordinator_base (coordinator->state);

  if (coordinator->version < base)
    coordinator->version = base;
  coordinator->version = group_version_after (
      coordinator->version, group_coordinator_epoch (coordinator->state));
  return group_coordinator_start_switch (coordinator->state,
                                         coordinator->version, world->margin,
                                         world_now (world))
         == STATUS_OK;
}

static void
world_deliver (world_t *world, const parcel_t *parcel)
{
  world_rank_t *rank = &world->ranks[parcel->rank];
  parcel_t *answer;

  switch (parcel->kind)
    {
    case PARCEL_ORDER:
      group_rank_receive (rank->agent, &parcel->order, world_now (world));
      break;
    case PARCEL_REPLY:
      group_coordinator_receive (
          world->coordinators[parcel->coordinator].state, &parcel->reply,
          world_now (world));
      break;
    case PARCEL_ENGINE_ORDER:
      rank_engine_order (&rank->engine, &parcel->engine_order, world->now_ms);
      if (world_random (world, 100) < world->loss_percent)
        break;
      answer = world_parcel (world, PARCEL_ENGINE_ANSWER, parcel->rank,
                             world->now_ms);
      answer->agent_start = parcel->agent_start;
      answer->engine_state = rank->engine.state;
      break;
    case PARCEL_ENGINE_ANSWER:
      if (parcel->agent_start != rank->agent_start || rank->answer_by_ms == 0)
        break;
      rank->answer_by_ms = 0;
      group_rank_engine_responded (rank->agent, &parcel->engine_state,
                                   world_now (world));
      break;
    }
}

/* Whether an earlier order to the same engine is still under way.  */
static bool
world_is_behind (const world_t *world, const parcel_t *parcel)
{
  const parcel_t *other;

  if (parcel->kind != PARCEL_ENGINE_ORDER)
    return false;
  TAILQ_FOREACH (other, &world->parcels, link)
    {
      if (other == parcel)
        return false;
      if (other->kind == PARCEL_ENGINE_ORDER && other->rank == parcel->rank)
        return true;
    }
  return false;
}

static bool
world_is_due (const world_t *world, const parcel_t *parcel)
{
  const world_coordinator_t *coordinator
      = &world->coordinators[parcel->coordinator];

  if (parcel->due_ms > world->now_ms || world_is_behind (world, parcel))
    return false;
  return parcel->kind != PARCEL_REPLY
         || coordinator->paused_until_ms <= world->now_ms;
}

static void
world_deliver_due (world_t *world)
{
  parcel_t *parcel = TAILQ_FIRST (&world->parcels);

  while (parcel != NULL)
    {
      parcel_t *next = TAILQ_NEXT (parcel, link);

      if (world_is_due (world, parcel))
        {
          TAILQ_REMOVE (&world->parcels, parcel, link);
          world_deliver (world, parcel);
          talloc_free (parcel);
          next = TAILQ_FIRST (&world->parcels);
        }
      parcel = next;
    }
}

/* Let every rank that can enter the step under way, and finish the step once
   all have.  */
static void
world_step (world_t *world)
{
  bool is_whole = true;
  uint64_t map;

  for (unsigned i = 0; i < WORLD_RANKS; i++)
    {
      world_rank_t *rank = &world->ranks[i];

      if (rank->entered_map == 0 && world_random (world, 2) == 0)
        rank->entered_map = rank_engine_enter (&rank->engine, world->step);
      is_whole = is_whole && rank->entered_map != 0;
    }
  if (!is_whole)
    return;
  map = world->ranks[0].entered_map;
  for (unsigned i = 0; i < WORLD_RANKS; i++)
    {
      if (world->ranks[i].entered_map != map)
        world->mixed_steps++;
      world->ranks[i].entered_map = 0;
    }
  world->last_map = map;
  world->steps_done++;
  world->step++;
}

static void
world_time_out (world_t *world, world_rank_t *rank)
{
  if (rank->answer_by_ms == 0 || rank->answer_by_ms > world->now_ms)
    return;
  rank->answer_by_ms = 0;
  group_rank_engine_failed (rank->agent, world_now (world));
}

/* One millisecond.  */
void
world_tick (world_t *world)
{
  world->now_ms++;
  world_deliver_due (world);
  for (unsigned i = 0; i < WORLD_RANKS; i++)
    {
      world_time_out (world, &world->ranks[i]);
      group_rank_tick (world->ranks[i].agent, world_now (world));
    }
  for (unsigned i = 0; i < WORLD_COORDINATORS; i++)
    {
      if (world->coordinators[i].paused_until_ms <= world->now_ms)
        group_coordinator_tick (world->coordinators[i].state,
                                world_now (world));
    }
  world_step (world);
}

/* Let MILLISECONDS pass.  */
void
world_run (world_t *world, int64_t milliseconds)
{
  while (milliseconds-- > 0)
    world_tick (world);
}

/* Perhaps cause a fault, or ask for a switch.  */
void
world_cause_faults (world_t *world)
{
  unsigned rank = (unsigned)world_random (world, WORLD_RANKS);
  unsigned index = (unsigned)world_random (world, WORLD_COORDINATORS);
  world_coordinator_t *coordinator = &world->coordinators[index];

  switch (world_random (world, world->calm))
    {
    case 0:
      world_restart_agent (world, rank);
      world->restarts++;
      break;
    case 1:
      world_restart_engine (world, rank);
      world->restarts++;
      break;
    case 2:
      world_restart_agent (world, rank);
      world_restart_engine (world, rank);
      world->restarts++;
      break;
    case 3:
      coordinator->paused_until_ms
          = world->now_ms + (int64_t)world_random (world, PAUSE_MS);
      break;
    case 4:
      if (coordinator->paused_until_ms <= world->now_ms)
        world_lead (world, index);
      break;
    case 5:
      world->is_store_down = world_random (world, 2) == 0;
      break;
    case 6:
      world->loss_percent = (unsigned)world_random (world, 30);
      world->delay_ms = 1 + (unsigned)world_random (world, 120);
      world->margin = 4 + world_random (world, 80);
      break;
    default:
      if (coordinator->paused_until_ms <= world->now_ms
          && world_random (world, SWITCH_CALM) == 0)
        world_switch (world, index);
      break;
    }
}
