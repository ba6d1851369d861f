#include "map_switch_harness.h"

#include "kernel/clock.h"

enum
{
  ENGINE_MAX_DELAY_MS = 4,
  ENGINE_TIMEOUT_MS = 20,
  ENGINE_LOAD_MS = 30,
  MAX_PAUSE_MS = 400,
  FAULT_INTERVAL_MIN_MS = 150,
  FAULT_INTERVAL_RANGE_MS = 2500,
  SWITCH_INTERVAL_MS = 30
};

/* Return a random number below BOUND (xorshift).  */
uint64_t
harness_random (harness_t *harness, uint64_t bound)
{
  harness->random ^= harness->random << 13;
  harness->random ^= harness->random >> 7;
  harness->random ^= harness->random << 17;
  return harness->random % bound;
}

static struct timespec
harness_now (const harness_t *harness)
{
  return timespec_from_ms (harness->now_ms);
}

static message_t *
harness_add_message (harness_t *harness, int kind, unsigned rank,
                     int64_t due_ms)
{
  message_t *message = talloc_zero (harness, message_t);

  message->kind = kind;
  message->rank = rank;
  message->due_ms = due_ms;
  TAILQ_INSERT_TAIL (&harness->messages, message, link);
  return message;
}

/* Return how many copies of a message arrive: 0 if it is lost, 2 if it is
   duplicated.  */
static unsigned
harness_copies (harness_t *harness)
{
  if (harness_random (harness, 100) < harness->loss_percent)
    return 0;
  return harness->loss_percent > 0 && harness_random (harness, 10) == 0 ? 2
                                                                        : 1;
}

static int64_t
harness_arrival_ms (harness_t *harness)
{
  return harness->now_ms + 1
         + (int64_t)harness_random (harness, harness->max_delay_ms);
}

static void
coordinator_send (const group_command_t *command, void *data)
{
  harness_coordinator_t *coordinator = data;
  harness_t *harness = coordinator->harness;

  for (unsigned copies = harness_copies (harness); copies > 0; copies--)
    {
      message_t *message
          = harness_add_message (harness, MESSAGE_COMMAND, command->rank,
                                 harness_arrival_ms (harness));

      message->coordinator = coordinator->index;
      message->command = *command;
    }
}

static void
coordinator_event (group_event_t event, uint64_t version, void *data)
{
  harness_coordinator_t *coordinator = data;

  (void)version;
  if (event == GROUP_EVENT_COMMITTING)
    coordinator->harness->committed++;
  if (event == GROUP_EVENT_ABORTING)
    coordinator->harness->aborted++;
}

static const group_coordinator_ops_t coordinator_ops
    = { .send = coordinator_send, .on_event = coordinator_event };

static void
rank_reply (const group_reply_t *reply, void *data)
{
  harness_rank_t *rank = data;
  harness_t *harness = rank->harness;

  for (unsigned copies = harness_copies (harness); copies > 0; copies--)
    {
      message_t *message = harness_add_message (
          harness, MESSAGE_REPLY, rank->index, harness_arrival_ms (harness));

      message->coordinator
          = (unsigned)(reply->command_fence.epoch % HARNESS_COORDINATORS);
      message->reply = *reply;
    }
}

/* Commands to an engine are delivered in order; their responses may be
   lost.  */
static void
rank_send_to_engine (const group_engine_command_t *command, void *data)
{
  harness_rank_t *rank = data;
  harness_t *harness = rank->harness;
  message_t *message = harness_add_message (
      harness, MESSAGE_ENGINE_COMMAND, rank->index,
      harness->now_ms + 1
          + (int64_t)harness_random (harness, ENGINE_MAX_DELAY_MS));

  message->agent_start = rank->agent_start;
  message->engine_command = *command;
  rank->response_due_ms = harness->now_ms + ENGINE_TIMEOUT_MS;
}

static const group_rank_ops_t rank_ops
    = { .send_to_engine = rank_send_to_engine, .reply = rank_reply };

/* Restart the agent of rank INDEX.  Its engine and the commands that it has
   sent survive.  */
void
harness_restart_agent (harness_t *harness, unsigned index)
{
  harness_rank_t *rank = &harness->ranks[index];
  group_rank_options_t options = { .rank = index,
                                   .incarnation = ++harness->starts << 16,
                                   .read_interval = timespec_from_ms (25),
                                   .ops = &rank_ops,
                                   .data = rank };

  if (rank->agent != NULL)
    group_rank_destroy (rank->agent);
  rank->agent_start = harness->starts;
  rank->response_due_ms = 0;
  rank->agent = group_rank_create (harness, &options, harness_now (harness));
}

/* Restart the engine of rank INDEX, which invalidates the current step for all
   ranks.  */
void
harness_restart_engine (harness_t *harness, unsigned index)
{
  rank_engine_restart (&harness->ranks[index].engine, ++harness->starts);
  for (unsigned i = 0; i < HARNESS_RANKS; i++)
    harness->ranks[i].entered_map = 0;
}

/* Create a group whose ranks have not started to execute steps.  */
harness_t *
harness_create (uint64_t seed)
{
  harness_t *harness = talloc_zero (NULL, harness_t);
  group_coordinator_options_t options = {
    .rank_count = HARNESS_RANKS,
    .resend_interval = timespec_from_ms (20),
    .monitor_interval = timespec_from_ms (50),
    .prepare_timeout = timespec_from_ms (400),
    .arm_timeout = timespec_from_ms (200),
    .ops = &coordinator_ops,
  };

  TAILQ_INIT (&harness->messages);
  harness->random = seed * 2654435761U + 88172645463325252U;
  harness->max_delay_ms = 5;
  harness->margin_steps = 40;
  harness->step = 1;
  harness->fault_interval_ms
      = FAULT_INTERVAL_MIN_MS
        + harness_random (harness, FAULT_INTERVAL_RANGE_MS);
  for (unsigned i = 0; i < HARNESS_RANKS; i++)
    {
      harness->ranks[i].harness = harness;
      harness->ranks[i].index = i;
      harness->ranks[i].engine.load_ms = ENGINE_LOAD_MS;
      harness->ranks[i].engine.checks_fence = i == 0;
      harness_restart_engine (harness, i);
      harness_restart_agent (harness, i);
    }
  for (unsigned i = 0; i < HARNESS_COORDINATORS; i++)
    {
      harness->coordinators[i].harness = harness;
      harness->coordinators[i].index = i;
      options.data = &harness->coordinators[i];
      harness->coordinators[i].state
          = group_coordinator_create (harness, &options);
    }
  return harness;
}

/* Free HARNESS.  */
void
harness_destroy (harness_t *harness)
{
  talloc_free (harness);
}

/* Make coordinator INDEX obtain an epoch from the store.  Returns false when
   the store is down.  */
bool
harness_start_term (harness_t *harness, unsigned index)
{
  if (harness->is_store_down)
    return false;
  do
    harness->epoch++;
  while (harness->epoch % HARNESS_COORDINATORS != index);
  group_coordinator_start_term (
      harness->coordinators[index].state, harness->epoch,
      group_version_after (0, harness->epoch), harness_now (harness));
  return true;
}

/* Ask a coordinator for a switch to a new version.  Returns false unless the
   group is steady.  */
bool
harness_start_switch (harness_t *harness, unsigned index)
{
  harness_coordinator_t *coordinator = &harness->coordinators[index];
  uint64_t base = group_coordinator_base (coordinator->state);

  if (coordinator->version < base)
    coordinator->version = base;
  coordinator->version = group_version_after (
      coordinator->version, group_coordinator_epoch (coordinator->state));
  return group_coordinator_start_switch (
             coordinator->state, coordinator->version, harness->margin_steps,
             harness_now (harness))
         == STATUS_OK;
}

static void
harness_deliver (harness_t *harness, const message_t *message)
{
  harness_rank_t *rank = &harness->ranks[message->rank];
  message_t *response;

  switch (message->kind)
    {
    case MESSAGE_COMMAND:
      group_rank_receive (rank->agent, &message->command,
                          harness_now (harness));
      break;
    case MESSAGE_REPLY:
      group_coordinator_receive (
          harness->coordinators[message->coordinator].state, &message->reply,
          harness_now (harness));
      break;
    case MESSAGE_ENGINE_COMMAND:
      rank_engine_execute (&rank->engine, &message->engine_command,
                           harness->now_ms);
      if (harness_random (harness, 100) < harness->loss_percent)
        break;
      response = harness_add_message (harness, MESSAGE_ENGINE_RESPONSE,
                                      message->rank, harness->now_ms);
      response->agent_start = message->agent_start;
      response->engine_state = rank->engine.state;
      break;
    case MESSAGE_ENGINE_RESPONSE:
      if (message->agent_start != rank->agent_start
          || rank->response_due_ms == 0)
        break;
      rank->response_due_ms = 0;
      group_rank_engine_responded (rank->agent, &message->engine_state,
                                   harness_now (harness));
      break;
    }
}

/* Return whether an earlier command to the same engine is still in
   transit.  */
static bool
harness_is_blocked (const harness_t *harness, const message_t *message)
{
  const message_t *other;

  if (message->kind != MESSAGE_ENGINE_COMMAND)
    return false;
  TAILQ_FOREACH (other, &harness->messages, link)
    {
      if (other == message)
        return false;
      if (other->kind == MESSAGE_ENGINE_COMMAND
          && other->rank == message->rank)
        return true;
    }
  return false;
}

static bool
harness_is_due (const harness_t *harness, const message_t *message)
{
  const harness_coordinator_t *coordinator
      = &harness->coordinators[message->coordinator];

  if (message->due_ms > harness->now_ms
      || harness_is_blocked (harness, message))
    return false;
  return message->kind != MESSAGE_REPLY
         || coordinator->paused_until_ms <= harness->now_ms;
}

static void
harness_deliver_due (harness_t *harness)
{
  message_t *message = TAILQ_FIRST (&harness->messages);

  while (message != NULL)
    {
      message_t *next = TAILQ_NEXT (message, link);

      if (harness_is_due (harness, message))
        {
          TAILQ_REMOVE (&harness->messages, message, link);
          harness_deliver (harness, message);
          talloc_free (message);
          next = TAILQ_FIRST (&harness->messages);
        }
      message = next;
    }
}

/* Let each rank that is able to enter the current step, and finish the step
   once all have entered it.  */
static void
harness_step (harness_t *harness)
{
  bool is_complete = true;
  uint64_t map;

  for (unsigned i = 0; i < HARNESS_RANKS; i++)
    {
      harness_rank_t *rank = &harness->ranks[i];

      if (rank->entered_map == 0 && harness_random (harness, 2) == 0)
        rank->entered_map
            = rank_engine_enter_step (&rank->engine, harness->step);
      is_complete = is_complete && rank->entered_map != 0;
    }
  if (!is_complete)
    return;
  map = harness->ranks[0].entered_map;
  for (unsigned i = 0; i < HARNESS_RANKS; i++)
    {
      if (harness->ranks[i].entered_map != map)
        harness->mixed_steps++;
      harness->ranks[i].entered_map = 0;
    }
  harness->last_map = map;
  harness->steps_done++;
  harness->step++;
}

static void
harness_time_out (harness_t *harness, harness_rank_t *rank)
{
  if (rank->response_due_ms == 0 || rank->response_due_ms > harness->now_ms)
    return;
  rank->response_due_ms = 0;
  group_rank_engine_failed (rank->agent, harness_now (harness));
}

/* Advance the clock by one millisecond.  */
void
harness_tick (harness_t *harness)
{
  harness->now_ms++;
  harness_deliver_due (harness);
  for (unsigned i = 0; i < HARNESS_RANKS; i++)
    {
      harness_time_out (harness, &harness->ranks[i]);
      group_rank_tick (harness->ranks[i].agent, harness_now (harness));
    }
  for (unsigned i = 0; i < HARNESS_COORDINATORS; i++)
    {
      if (harness->coordinators[i].paused_until_ms <= harness->now_ms)
        group_coordinator_tick (harness->coordinators[i].state,
                                harness_now (harness));
    }
  harness_step (harness);
}

/* Advance the clock by MILLISECONDS.  */
void
harness_run (harness_t *harness, int64_t milliseconds)
{
  while (milliseconds-- > 0)
    harness_tick (harness);
}

/* Inject a fault or request a switch, with a certain probability.  */
void
harness_inject_faults (harness_t *harness)
{
  unsigned rank = (unsigned)harness_random (harness, HARNESS_RANKS);
  unsigned index = (unsigned)harness_random (harness, HARNESS_COORDINATORS);
  harness_coordinator_t *coordinator = &harness->coordinators[index];

  switch (harness_random (harness, harness->fault_interval_ms))
    {
    case 0:
      harness_restart_agent (harness, rank);
      harness->restarts++;
      break;
    case 1:
      harness_restart_engine (harness, rank);
      harness->restarts++;
      break;
    case 2:
      harness_restart_agent (harness, rank);
      harness_restart_engine (harness, rank);
      harness->restarts++;
      break;
    case 3:
      coordinator->paused_until_ms
          = harness->now_ms + (int64_t)harness_random (harness, MAX_PAUSE_MS);
      break;
    case 4:
      if (coordinator->paused_until_ms <= harness->now_ms)
        harness_start_term (harness, index);
      break;
    case 5:
      harness->is_store_down = harness_random (harness, 2) == 0;
      break;
    case 6:
      harness->loss_percent = (unsigned)harness_random (harness, 30);
      harness->max_delay_ms = 1 + (unsigned)harness_random (harness, 120);
      harness->margin_steps = 4 + harness_random (harness, 80);
      break;
    default:
      if (coordinator->paused_until_ms <= harness->now_ms
          && harness_random (harness, SWITCH_INTERVAL_MS) == 0)
        harness_start_switch (harness, index);
      break;
    }
}
