/* A stand-in for a lock-step group of model engines, all in one process:
   RANK/group/order takes the orders for a rank, and the ranks step together
   every few milliseconds.  It keeps the account that judges the system: GET
   /control shows with which map versions steps were made, how many steps were
   made with more than one, and for how long the group stood still.  POST
   /control?... sets step_ms, load_ms, restart=RANK, lose=N (answers to orders
   that are lost, the orders being carried out), drop_commits (commits that are
   lost on the way) and slow=RANK (at 70 % speed).  */

#include "rank_engine.h"
#include "standin.h"

#include "agent/group_maps.h"
#include "common/base64.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

enum
{
  MAX_RANKS = 64,
  LAYERS = 2,
  EXPERTS = 16,
  SLOTS = 6,
  STEP_TOKENS = 10000, /* of a layer */
  TOKENS_A_US = 100,
  SLOW_PERCENT = 70,
  DEFAULT_STEP_MS = 5,
  DEFAULT_LOAD_MS = 50
};

typedef struct version_use
{
  TAILQ_ENTRY (version_use) link;
  uint64_t version;
  uint64_t first_step;
} version_use_t;

typedef struct rank
{
  rank_engine_t engine;
  uint64_t entered;
  uint64_t counted_version;
  uint64_t work;
  uint64_t busy_us;
  uint64_t tokens[LAYERS * SLOTS];
} rank_t;

typedef struct rank_state
{
  standin_t *standin;
  unsigned rank_count;
  rank_t ranks[MAX_RANKS];
  group_maps_t *maps;
  TAILQ_HEAD (version_use_list, version_use) uses;
  uint64_t step; /* under way */
  uint64_t mixed;
  uint64_t starts;
  uint64_t orders;
  int64_t lose;
  int64_t drop_commits;
  int64_t slow;
  int64_t step_ms;
  int64_t load_ms;
  int64_t stood_since_ms;
  int64_t longest_stand_ms;
} rank_state_t;

static const char *const order_names[]
    = { [GROUP_ENGINE_READ] = "read",     [GROUP_ENGINE_PREPARE] = "prepare",
        [GROUP_ENGINE_JOIN] = "join",     [GROUP_ENGINE_ARM] = "arm",
        [GROUP_ENGINE_COMMIT] = "commit", [GROUP_ENGINE_ABORT] = "abort" };

static int64_t
now_ms (const rank_state_t *state)
{
  return timespec_to_ms (clock_monotonic (state->standin->clock));
}

static uint64_t
number_of (const json_t *object, const char *key)
{
  return (uint64_t)json_integer_value (json_object_get (object, key));
}

static void
rank_restart (rank_state_t *state, unsigned index)
{
  if (index >= state->rank_count)
    return;
  rank_engine_restart (&state->ranks[index].engine,
                       ((uint64_t)now_ms (state) << 8) + ++state->starts);
  state->ranks[index].counted_version = 0;
  for (unsigned i = 0; i < state->rank_count; i++)
    state->ranks[i].entered = 0;
}

/* Count the tokens of one step on a rank, popular in Zipf's way.  */
static void
rank_count_step (rank_state_t *state, unsigned index, uint64_t version)
{
  const placement_map_t *map = group_maps_find (state->maps, version);
  rank_t *rank = &state->ranks[index];
  uint64_t speed = index == (unsigned)state->slow ? SLOW_PERCENT : 100;

  if (rank->counted_version != version)
    {
      rank->counted_version = version;
      rank->work = 0;
      rank->busy_us = 0;
      memset (rank->tokens, 0, sizeof rank->tokens);
    }
  for (unsigned i = 0; map != NULL && i < LAYERS * SLOTS; i++)
    {
      const placement_slot_t *slot
          = placement_map_slot (map, i / SLOTS, index, i % SLOTS);
      uint64_t tokens = (uint64_t)STEP_TOKENS / (slot->expert + 1U)
                        * slot->share / PLACEMENT_SHARE_FULL;

      rank->tokens[i] += tokens;
      rank->work += tokens;
      rank->busy_us += tokens * 100 / speed / TOKENS_A_US;
    }
}

static void
group_finish_step (rank_state_t *state)
{
  uint64_t version = state->ranks[0].entered;
  version_use_t *last = TAILQ_LAST (&state->uses, version_use_list);
  bool is_mixed = false;

  for (unsigned i = 0; i < state->rank_count; i++)
    {
      is_mixed = is_mixed || state->ranks[i].entered != version;
      rank_count_step (state, i, state->ranks[i].entered);
      state->ranks[i].entered = 0;
    }
  state->mixed += is_mixed ? 1 : 0;
  if (last == NULL || last->version != version)
    {
      last = talloc_zero (state, version_use_t);
      last->version = version;
      last->first_step = state->step;
      TAILQ_INSERT_TAIL (&state->uses, last, link);
    }
  state->step++;
  state->stood_since_ms = now_ms (state);
}

static void group_arm (rank_state_t *state);

static void
group_step (worker_t *worker, void *data)
{
  rank_state_t *state = data;
  int64_t stood_ms = now_ms (state) - state->stood_since_ms;
  bool is_whole = true;

  (void)worker;
  for (unsigned i = 0; i < state->rank_count; i++)
    {
      rank_t *rank = &state->ranks[i];

      if (rank->entered == 0)
        rank->entered = rank_engine_enter_step (&rank->engine, state->step);
      is_whole = is_whole && rank->entered != 0;
    }
  if (state->step > 1 && stood_ms > state->longest_stand_ms)
    state->longest_stand_ms = stood_ms;
  if (is_whole)
    group_finish_step (state);
  group_arm (state);
}

static void
group_arm (rank_state_t *state)
{
  worker_timer_start (state->standin->worker, state,
                      timespec_from_ms (state->step_ms), group_step, state);
}

static json_t *
rank_json (rank_state_t *state, rank_t *rank, bool wants_maps)
{
  const group_engine_state_t *engine = &rank->engine.state;
  const group_schedule_t *schedule = &engine->schedule;
  json_t *tokens = json_array ();
  json_t *root;

  for (unsigned i = 0; i < LAYERS * SLOTS; i++)
    json_array_append_new (tokens, json_integer ((json_int_t)rank->tokens[i]));
  root = json_pack (
      "{sI si sI sI sI sI sI si si si si sI sI so}", "incarnation",
      (json_int_t)engine->incarnation, "phase", (int)schedule->phase, "base",
      (json_int_t)schedule->base, "next", (json_int_t)schedule->next, "step",
      (json_int_t)schedule->step, "loading", (json_int_t)engine->loading,
      "current_step", (json_int_t)engine->current_step, "layers", LAYERS,
      "ranks", (int)state->rank_count, "experts", EXPERTS, "slots", SLOTS,
      "work", (json_int_t)rank->work, "busy_us", (json_int_t)rank->busy_us,
      "tokens", tokens);
  if (wants_maps)
    {
      blob_t maps = group_maps_encode (state, state->maps, schedule->base,
                                       schedule->next);
      char *text = base64_encode_text (state, maps.data, maps.size);

      json_object_set_new (root, "maps", json_string (text));
      talloc_free (text);
    }
  return root;
}

static void
take_maps (rank_state_t *state, const json_t *root)
{
  const char *text = json_string_value (json_object_get (root, "maps"));
  blob_t blob = { NULL, 0 };

  if (text == NULL)
    return;
  blob.data = base64_decode_text (state, text, &blob.size);
  group_maps_decode (state->maps, blob);
}

static bool
read_order (const json_t *root, group_engine_command_t *order)
{
  const char *kind = json_string_value (json_object_get (root, "kind"));

  *order = (group_engine_command_t){
    .fence = { number_of (root, "epoch"), number_of (root, "round") },
    .schedule = { .phase = (group_phase_t)number_of (root, "phase"),
                  .base = number_of (root, "base"),
                  .next = number_of (root, "next"),
                  .step = number_of (root, "step") },
  };
  for (unsigned i = 0; kind != NULL && i <= GROUP_ENGINE_ABORT; i++)
    {
      if (strcmp (kind, order_names[i]) != 0)
        continue;
      order->kind = (group_engine_command_kind_t)i;
      return true;
    }
  return false;
}

static void
serve_order (rank_state_t *state, http_exchange_t *exchange, unsigned index)
{
  size_t size;
  const char *body = http_exchange_body (exchange, &size);
  json_t *root = json_loadb (body, size, 0, NULL);
  group_engine_command_t order;
  rank_t *rank = &state->ranks[index];
  json_t *answer;
  char *text;

  if (root == NULL || !read_order (root, &order))
    {
      http_reply_text (exchange, 400, "text/plain", "no such order\n");
      json_decref (root);
      return;
    }
  state->orders++;
  if (state->drop_commits != 0 && order.kind == GROUP_ENGINE_COMMIT)
    {
      http_reply_abort (exchange);
      json_decref (root);
      return;
    }
  take_maps (state, root);
  rank->engine.load_ms = state->load_ms;
  rank_engine_execute (&rank->engine, &order, now_ms (state));
  if (state->lose > 0 && order.kind != GROUP_ENGINE_READ)
    {
      state->lose--;
      http_reply_abort (exchange);
      json_decref (root);
      return;
    }
  answer = rank_json (state, rank,
                      json_is_true (json_object_get (root, "wants_maps")));
  text = json_dumps (answer, JSON_COMPACT);
  http_reply_text (exchange, 200, "application/json", text);
  free (text);
  json_decref (answer);
  json_decref (root);
}

static void
control_number (http_exchange_t *exchange, const char *name, int64_t *number)
{
  const char *text = http_exchange_query (exchange, name);

  if (text != NULL)
    *number = strtoll (text, NULL, 10);
}

static void
serve_control (rank_state_t *state, http_exchange_t *exchange)
{
  json_t *versions = json_array ();
  json_t *phases = json_array ();
  int64_t restart = -1;
  version_use_t *use;
  json_t *root;
  char *text;

  control_number (exchange, "step_ms", &state->step_ms);
  control_number (exchange, "load_ms", &state->load_ms);
  control_number (exchange, "lose", &state->lose);
  control_number (exchange, "drop_commits", &state->drop_commits);
  control_number (exchange, "slow", &state->slow);
  control_number (exchange, "restart", &restart);
  if (restart >= 0)
    rank_restart (state, (unsigned)restart);
  TAILQ_FOREACH (use, &state->uses, link)
    json_array_append_new (versions, json_integer ((json_int_t)use->version));
  for (unsigned i = 0; i < state->rank_count; i++)
    json_array_append_new (phases,
                           json_string (group_phase_name (
                               state->ranks[i].engine.state.schedule.phase)));
  root = json_pack ("{sI sI sI sI so so}", "step", (json_int_t)state->step,
                    "mixed", (json_int_t)state->mixed, "longest_stand_ms",
                    (json_int_t)state->longest_stand_ms, "orders",
                    (json_int_t)state->orders, "versions", versions, "phases",
                    phases);
  text = json_dumps (root, JSON_COMPACT);
  http_reply_text (exchange, 200, "application/json", text);
  free (text);
  json_decref (root);
}

static void
rank_on_request (http_exchange_t *exchange, void *data)
{
  rank_state_t *state = data;
  const char *path = http_exchange_path (exchange);
  char *rest;
  unsigned long index = strtoul (path + 1, &rest, 10);

  if (strcmp (path, "/control") == 0)
    serve_control (state, exchange);
  else if (strcmp (rest, "/group/order") == 0 && index < state->rank_count)
    serve_order (state, exchange, (unsigned)index);
  else
    http_reply_text (exchange, 404, "text/plain", "no such path\n");
}

static const http_server_ops_t rank_server_ops = {
  .on_request = rank_on_request,
};

static void *
rank_create_state (standin_t *standin, int argc, char **argv)
{
  rank_state_t *state = talloc_zero (standin, rank_state_t);

  state->standin = standin;
  state->rank_count = argc > 2 ? (unsigned)strtoul (argv[2], NULL, 10) : 3;
  state->maps = group_maps_create (state);
  state->step = 1;
  state->step_ms = DEFAULT_STEP_MS;
  state->load_ms = DEFAULT_LOAD_MS;
  state->slow = -1;
  TAILQ_INIT (&state->uses);
  for (unsigned i = 0; i < state->rank_count; i++)
    rank_restart (state, i);
  group_arm (state);
  return state;
}

int
main (int argc, char **argv)
{
  return standin_main (argc, argv, &rank_server_ops, rank_create_state);
}
