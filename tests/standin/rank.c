/* A stand-in for a lock-step group of model engines, all in one process.
   POST RANK/group/order executes a command on a rank; the ranks step together
   every few milliseconds.  It records what the tests check: GET /control
   returns the map versions that steps used, the number of steps in which the
   ranks used different versions, and the longest time without a step.  POST
   /control?... sets step_ms, load_ms, restart=RANK, lose=N (drops the
   responses to the next N commands other than read, which are executed),
   drop_commits (ignores commit commands and drops their responses) and
   slow=RANK (runs that rank at 70 % speed).  */

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
  /* For the most popular expert of a layer.  */
  MAX_EXPERT_TOKENS_PER_STEP = 10000,
  TOKENS_PER_US = 100,
  SLOW_SPEED_PERCENT = 70,
  DEFAULT_STEP_MS = 5,
  DEFAULT_LOAD_MS = 50
};

/* A period in which the group stepped with one map version.  */
typedef struct version_use
{
  TAILQ_ENTRY (version_use) link;
  uint64_t version;
  uint64_t first_step;
} version_use_t;

typedef struct rank
{
  rank_engine_t engine;
  uint64_t entered_version; /* map of the current step, 0 before its start */
  uint64_t counted_version; /* map that the counters below belong to */
  uint64_t work;            /* tokens processed, all slots */
  uint64_t busy_us;
  uint64_t tokens[LAYERS * SLOTS];
} rank_t;

typedef struct rank_state
{
  standin_t *standin;
  unsigned rank_count;
  rank_t ranks[MAX_RANKS];
  group_maps_t *maps;
  TAILQ_HEAD (version_use_list, version_use) version_uses;
  uint64_t step;        /* the current one; the first is 1 */
  uint64_t mixed_steps; /* whose ranks used different map versions */
  uint64_t start_count;
  uint64_t command_count;
  int64_t drop_count; /* responses still to drop */
  int64_t drops_commits;
  int64_t slow_rank; /* -1 for none */
  int64_t step_ms;
  int64_t load_ms;
  int64_t last_step_at_ms;
  int64_t max_stall_ms; /* longest time between two steps */
} rank_state_t;

static const char *const command_names[]
    = { [GROUP_ENGINE_READ] = "read",     [GROUP_ENGINE_PREPARE] = "prepare",
        [GROUP_ENGINE_JOIN] = "join",     [GROUP_ENGINE_ARM] = "arm",
        [GROUP_ENGINE_COMMIT] = "commit", [GROUP_ENGINE_ABORT] = "abort" };

static int64_t
now_ms (const rank_state_t *state)
{
  return timespec_to_ms (clock_monotonic (state->standin->clock));
}

static uint64_t
json_get_number (const json_t *object, const char *key)
{
  return (uint64_t)json_integer_value (json_object_get (object, key));
}

/* Restart the engine of a rank with a new incarnation and no map.  All
   ranks start the current step again.  */
static void
rank_restart (rank_state_t *state, unsigned index)
{
  if (index >= state->rank_count)
    return;
  rank_engine_restart (&state->ranks[index].engine,
                       ((uint64_t)now_ms (state) << 8) + ++state->start_count);
  state->ranks[index].counted_version = 0;
  for (unsigned i = 0; i < state->rank_count; i++)
    state->ranks[i].entered_version = 0;
}

/* Count the tokens that a rank processes in one step, and the time it needs.
   Expert popularity follows Zipf's law.  */
static void
rank_count_step (rank_state_t *state, unsigned index, uint64_t version)
{
  const placement_map_t *map = group_maps_find (state->maps, version);
  rank_t *rank = &state->ranks[index];
  uint64_t speed
      = index == (unsigned)state->slow_rank ? SLOW_SPEED_PERCENT : 100;

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
      uint64_t tokens = (uint64_t)MAX_EXPERT_TOKENS_PER_STEP
                        / (slot->expert + 1U) * slot->share
                        / PLACEMENT_SHARE_FULL;

      rank->tokens[i] += tokens;
      rank->work += tokens;
      rank->busy_us += tokens * 100 / speed / TOKENS_PER_US;
    }
}

/* End the current step: count its tokens and record whether the ranks used
   different map versions.  */
static void
group_finish_step (rank_state_t *state)
{
  uint64_t version = state->ranks[0].entered_version;
  version_use_t *last = TAILQ_LAST (&state->version_uses, version_use_list);
  bool is_mixed = false;

  for (unsigned i = 0; i < state->rank_count; i++)
    {
      is_mixed = is_mixed || state->ranks[i].entered_version != version;
      rank_count_step (state, i, state->ranks[i].entered_version);
      state->ranks[i].entered_version = 0;
    }
  state->mixed_steps += is_mixed ? 1 : 0;
  if (last == NULL || last->version != version)
    {
      last = talloc_zero (state, version_use_t);
      last->version = version;
      last->first_step = state->step;
      TAILQ_INSERT_TAIL (&state->version_uses, last, link);
    }
  state->step++;
  state->last_step_at_ms = now_ms (state);
}

static void group_schedule_step (rank_state_t *state);

/* Let each rank start the current step as soon as its engine allows, and end
   the step once all have started it.  */
static void
group_step (worker_t *worker, void *data)
{
  rank_state_t *state = data;
  int64_t stall_ms = now_ms (state) - state->last_step_at_ms;
  bool has_all_ranks = true;

  (void)worker;
  for (unsigned i = 0; i < state->rank_count; i++)
    {
      rank_t *rank = &state->ranks[i];

      if (rank->entered_version == 0)
        rank->entered_version
            = rank_engine_enter_step (&rank->engine, state->step);
      has_all_ranks = has_all_ranks && rank->entered_version != 0;
    }
  if (state->step > 1 && stall_ms > state->max_stall_ms)
    state->max_stall_ms = stall_ms;
  if (has_all_ranks)
    group_finish_step (state);
  group_schedule_step (state);
}

static void
group_schedule_step (rank_state_t *state)
{
  worker_timer_start (state->standin->worker, state,
                      timespec_from_ms (state->step_ms), group_step, state);
}

/* Return the state of a rank as the response to a command.  INCLUDES_MAPS
   adds the maps of its schedule.  */
static json_t *
rank_state_json (rank_state_t *state, rank_t *rank, bool includes_maps)
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
  if (includes_maps)
    {
      blob_t maps = group_maps_encode (state, state->maps, schedule->base,
                                       schedule->next);
      char *text = base64_encode_text (state, maps.data, maps.size);

      json_object_set_new (root, "maps", json_string (text));
      talloc_free (text);
    }
  return root;
}

/* Store the maps that come with a command, if any.  */
static void
maps_update (rank_state_t *state, const json_t *root)
{
  const char *text = json_string_value (json_object_get (root, "maps"));
  blob_t blob = { NULL, 0 };

  if (text == NULL)
    return;
  blob.data = base64_decode_text (state, text, &blob.size);
  group_maps_decode (state->maps, blob);
}

/* Parse a command.  Returns false when its kind is unknown.  */
static bool
command_parse (const json_t *root, group_engine_command_t *command)
{
  const char *kind = json_string_value (json_object_get (root, "kind"));

  *command = (group_engine_command_t){
    .fence
    = { json_get_number (root, "epoch"), json_get_number (root, "round") },
    .schedule = { .phase = (group_phase_t)json_get_number (root, "phase"),
                  .base = json_get_number (root, "base"),
                  .next = json_get_number (root, "next"),
                  .step = json_get_number (root, "step") },
  };
  for (unsigned i = 0; kind != NULL && i <= GROUP_ENGINE_ABORT; i++)
    {
      if (strcmp (kind, command_names[i]) != 0)
        continue;
      command->kind = (group_engine_command_kind_t)i;
      return true;
    }
  return false;
}

/* Execute the command in the body of a request on the rank INDEX, and
   simulate the loss of the command or its response as configured.  */
static void
serve_command (rank_state_t *state, http_exchange_t *exchange, unsigned index)
{
  size_t size;
  const char *body = http_exchange_body (exchange, &size);
  json_t *root = json_loadb (body, size, 0, NULL);
  group_engine_command_t command;
  rank_t *rank = &state->ranks[index];
  json_t *response;
  char *text;

  if (root == NULL || !command_parse (root, &command))
    {
      http_reply_text (exchange, 400, "text/plain", "no such order\n");
      json_decref (root);
      return;
    }
  state->command_count++;
  if (state->drops_commits != 0 && command.kind == GROUP_ENGINE_COMMIT)
    {
      http_reply_abort (exchange);
      json_decref (root);
      return;
    }
  maps_update (state, root);
  rank->engine.load_ms = state->load_ms;
  rank_engine_execute (&rank->engine, &command, now_ms (state));
  if (state->drop_count > 0 && command.kind != GROUP_ENGINE_READ)
    {
      state->drop_count--;
      http_reply_abort (exchange);
      json_decref (root);
      return;
    }
  response = rank_state_json (
      state, rank, json_is_true (json_object_get (root, "wants_maps")));
  text = json_dumps (response, JSON_COMPACT);
  http_reply_text (exchange, 200, "application/json", text);
  free (text);
  json_decref (response);
  json_decref (root);
}

/* Set *NUMBER from the query parameter NAME if it is present.  */
static void
control_set_number (http_exchange_t *exchange, const char *name,
                    int64_t *number)
{
  const char *text = http_exchange_query (exchange, name);

  if (text != NULL)
    *number = strtoll (text, NULL, 10);
}

/* Apply the settings in the query and reply with the counters.  */
static void
serve_control (rank_state_t *state, http_exchange_t *exchange)
{
  json_t *versions = json_array ();
  json_t *phases = json_array ();
  int64_t restart = -1;
  version_use_t *use;
  json_t *root;
  char *text;

  control_set_number (exchange, "step_ms", &state->step_ms);
  control_set_number (exchange, "load_ms", &state->load_ms);
  control_set_number (exchange, "lose", &state->drop_count);
  control_set_number (exchange, "drop_commits", &state->drops_commits);
  control_set_number (exchange, "slow", &state->slow_rank);
  control_set_number (exchange, "restart", &restart);
  if (restart >= 0)
    rank_restart (state, (unsigned)restart);
  TAILQ_FOREACH (use, &state->version_uses, link)
    json_array_append_new (versions, json_integer ((json_int_t)use->version));
  for (unsigned i = 0; i < state->rank_count; i++)
    json_array_append_new (phases,
                           json_string (group_phase_name (
                               state->ranks[i].engine.state.schedule.phase)));
  root = json_pack ("{sI sI sI sI so so}", "step", (json_int_t)state->step,
                    "mixed", (json_int_t)state->mixed_steps,
                    "longest_stand_ms", (json_int_t)state->max_stall_ms,
                    "orders", (json_int_t)state->command_count, "versions",
                    versions, "phases", phases);
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
  char *suffix;
  unsigned long index = strtoul (path + 1, &suffix, 10);

  if (strcmp (path, "/control") == 0)
    serve_control (state, exchange);
  else if (strcmp (suffix, "/group/order") == 0 && index < state->rank_count)
    serve_command (state, exchange, (unsigned)index);
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
  state->slow_rank = -1;
  TAILQ_INIT (&state->version_uses);
  for (unsigned i = 0; i < state->rank_count; i++)
    rank_restart (state, i);
  group_schedule_step (state);
  return state;
}

int
main (int argc, char **argv)
{
  return standin_main (argc, argv, &rank_server_ops, rank_create_state);
}
