/* A stand-in for an upstream: a model engine's chat completions with a
   streamed answer, and a plain booking service.  It keeps the account that
   judges the system: GET /control shows what it received, how many requests it
   had at once and how often each idempotency key and each user ran.  POST
   /control?... sets cold=N (what it bears; 0 for warm), first_ms, token_ms and
   work_ms, and what GET /load reports: says_cold and incarnation; the same as
   arguments set them from the start.  The request's "user" stands in every
   part of the answer, so that a caller can tell its own.  */

#include "standin.h"

#include "kernel/clock.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

enum
{
  DEFAULT_TOKENS = 16
};

/* How often something ran.  */
typedef struct tally
{
  STAILQ_ENTRY (tally) link;
  char *name;
  int64_t runs;
} tally_t;

STAILQ_HEAD (tally_list, tally);

typedef struct upstream_state
{
  standin_t *standin;
  const char *name;
  struct tally_list keys;
  struct tally_list users;
  int64_t received;
  int64_t finished;
  int64_t cancelled;
  int64_t open;
  int64_t most_open;
  int64_t cold_limit; /* 0: warm */
  int64_t over_limit; /* requests received above it */
  int64_t first_ms;
  int64_t token_ms;
  int64_t work_ms;
  struct timespec last_received;
  int64_t incarnation;
  int64_t says_cold; /* in load reports */
} upstream_state_t;

typedef struct answer
{
  upstream_state_t *state;
  http_exchange_t *exchange;
  struct tevent_timer *timer;
  const char *tag;
  int64_t left;
  int64_t made;
  bool is_plain;
  bool is_over;
} answer_t;

static void answer_arm (answer_t *answer, int64_t delay_ms);

static void
tally_add (upstream_state_t *state, struct tally_list *list, const char *name)
{
  tally_t *tally;

  STAILQ_FOREACH (tally, list, link)
    {
      if (strcmp (tally->name, name) == 0)
        break;
    }
  if (tally == NULL)
    {
      tally = talloc_zero (state, tally_t);
      tally->name = talloc_strdup (tally, name);
      STAILQ_INSERT_TAIL (list, tally, link);
    }
  tally->runs++;
}

static void
answer_finish (answer_t *answer)
{
  if (answer->is_over)
    return;
  answer->is_over = true;
  answer->state->open--;
}

static void
answer_plain (answer_t *answer)
{
  char *text = talloc_asprintf (
      answer,
      "{\"confirmed\":true,\"by\":\"%s\",\"user\":\"%s\",\"number\":%lld}\n",
      answer->state->name, answer->tag,
      (long long)answer->state->finished + 1);

  answer->state->finished++;
  answer_finish (answer);
  http_reply_text (answer->exchange, 201, "application/json", text);
}

static void
answer_token (answer_t *answer)
{
  char *text;

  if (answer->made == 0)
    http_reply_begin (answer->exchange, 200, "text/event-stream");
  answer->made++;
  text = talloc_asprintf (
      answer,
      "data: {\"choices\":[{\"delta\":{\"content\":\"t%lld %s\"}}]}\n\n",
      (long long)answer->made, answer->tag);
  http_reply_data (answer->exchange, text, strlen (text));
  talloc_free (text);
  if (--answer->left > 0)
    {
      answer_arm (answer, answer->state->token_ms);
      return;
    }
  answer->state->finished++;
  answer_finish (answer);
  http_reply_data (answer->exchange, "data: [DONE]\n\n", 14);
  http_reply_end (answer->exchange);
}

static void
answer_handle_timer (struct tevent_context *events, struct tevent_timer *timer,
                     struct timeval now, void *data)
{
  answer_t *answer = data;

  (void)events;
  (void)timer;
  (void)now;
  answer->timer = NULL;
  if (answer->is_plain)
    answer_plain (answer);
  else
    answer_token (answer);
}

static void
answer_arm (answer_t *answer, int64_t delay_ms)
{
  answer->timer = tevent_add_timer (
      worker_events (answer->state->standin->worker), answer,
      tevent_timeval_current_ofs ((uint32_t)(delay_ms / 1000),
                                  (uint32_t)(delay_ms % 1000) * 1000),
      answer_handle_timer, answer);
}

static void
upstream_account (upstream_state_t *state, http_exchange_t *exchange,
                  const char *user)
{
  const char *key = http_exchange_header (exchange, "Idempotency-Key");

  state->received++;
  state->open++;
  state->last_received = clock_monotonic (state->standin->clock);
  if (state->open > state->most_open)
    state->most_open = state->open;
  if (state->cold_limit > 0 && state->open > state->cold_limit)
    state->over_limit++;
  if (key != NULL)
    tally_add (state, &state->keys, key);
  if (user[0] != '\0')
    tally_add (state, &state->users, user);
}

static void
upstream_serve (upstream_state_t *state, http_exchange_t *exchange)
{
  answer_t *answer = talloc_zero (exchange, answer_t);
  size_t size;
  const char *body = http_exchange_body (exchange, &size);
  json_t *root = json_loadb (body, size, 0, NULL);
  json_t *limit = json_object_get (root, "max_tokens");
  const char *tag = json_string_value (json_object_get (root, "user"));

  answer->state = state;
  answer->exchange = exchange;
  answer->tag = talloc_strdup (answer, tag == NULL ? "" : tag);
  upstream_account (state, exchange, answer->tag);
  answer->left
      = json_is_integer (limit) ? json_integer_value (limit) : DEFAULT_TOKENS;
  answer->is_plain = strncmp (http_exchange_path (exchange), "/v1/", 4) != 0;
  json_decref (root);
  http_exchange_set_data (exchange, answer);
  answer_arm (answer, answer->is_plain ? state->work_ms : state->first_ms);
}

/* Set what NAME stands for to TEXT.  */
static void
control_set (upstream_state_t *state, const char *name, const char *text)
{
  const struct
  {
    const char *name;
    int64_t *place;
  } numbers[] = {
    { "cold", &state->cold_limit },     { "first_ms", &state->first_ms },
    { "token_ms", &state->token_ms },   { "work_ms", &state->work_ms },
    { "says_cold", &state->says_cold }, { "incarnation", &state->incarnation }
  };

  for (size_t i = 0; i < sizeof numbers / sizeof numbers[0]; i++)
    {
      if (text != NULL && strcmp (numbers[i].name, name) == 0)
        *numbers[i].place = strtoll (text, NULL, 10);
    }
}

static void
control_set_from (upstream_state_t *state, http_exchange_t *exchange)
{
  static const char *const names[] = { "cold",    "first_ms",  "token_ms",
                                       "work_ms", "says_cold", "incarnation" };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    control_set (state, names[i], http_exchange_query (exchange, names[i]));
}

static json_t *
tally_json (const struct tally_list *list)
{
  json_t *object = json_object ();
  const tally_t *tally;

  STAILQ_FOREACH (tally, list, link)
    json_object_set_new (object, tally->name, json_integer (tally->runs));
  return object;
}

static void
control_reply (upstream_state_t *state, http_exchange_t *exchange)
{
  json_t *root = json_object ();
  char *text;
  struct timespec idle = timespec_subtract (
      clock_monotonic (state->standin->clock), state->last_received);

  json_object_set_new (root, "name", json_string (state->name));
  json_object_set_new (root, "received", json_integer (state->received));
  json_object_set_new (root, "finished", json_integer (state->finished));
  json_object_set_new (root, "cancelled", json_integer (state->cancelled));
  json_object_set_new (root, "open", json_integer (state->open));
  json_object_set_new (root, "most_open", json_integer (state->most_open));
  json_object_set_new (root, "over_limit", json_integer (state->over_limit));
  json_object_set_new (root, "idle_ms", json_integer (timespec_to_ms (idle)));
  json_object_set_new (root, "keys", tally_json (&state->keys));
  json_object_set_new (root, "users", tally_json (&state->users));
  text = json_dumps (root, JSON_COMPACT);
  http_reply_text (exchange, 200, "application/json", text);
  free (text);
  json_decref (root);
}

/* A load report, as the agent asks for a few times a second.  */
static void
load_reply (upstream_state_t *state, http_exchange_t *exchange)
{
  char *text = talloc_asprintf (
      exchange, "{\"incarnation\":\"%lld\",\"is_cold\":%s,\"running\":%lld}\n",
      (long long)state->incarnation, state->says_cold > 0 ? "true" : "false",
      (long long)state->open);

  http_reply_text (exchange, 200, "application/json", text);
}

static void
upstream_on_request (http_exchange_t *exchange, void *data)
{
  upstream_state_t *state = data;

  if (strcmp (http_exchange_path (exchange), "/load") == 0)
    {
      http_exchange_set_data (exchange, NULL);
      load_reply (state, exchange);
      return;
    }
  if (strcmp (http_exchange_path (exchange), "/group/order") == 0)
    {
      http_exchange_set_data (exchange, NULL);
      http_reply_text (exchange, 404, "text/plain", "no lock-step group\n");
      return;
    }
  if (strcmp (http_exchange_path (exchange), "/control") != 0)
    {
      upstream_serve (state, exchange);
      return;
    }
  control_set_from (state, exchange);
  control_reply (state, exchange);
}

static void
upstream_on_gone (http_exchange_t *exchange, void *data)
{
  upstream_state_t *state = data;
  answer_t *answer = http_exchange_data (exchange);

  if (answer == NULL || answer->is_over)
    return;
  TALLOC_FREE (answer->timer);
  state->cancelled++;
  answer_finish (answer);
}

static const http_server_ops_t upstream_server_ops = {
  .on_request = upstream_on_request,
  .on_disconnect = upstream_on_gone,
};

static void *
upstream_create_state (standin_t *standin, int argc, char **argv)
{
  upstream_state_t *state = talloc_zero (standin, upstream_state_t);

  state->standin = standin;
  state->name = argc > 2 ? argv[2] : "upstream";
  state->first_ms = 5;
  state->token_ms = 2;
  state->work_ms = 5;
  state->incarnation = timespec_to_us (clock_realtime (standin->clock));
  STAILQ_INIT (&state->keys);
  STAILQ_INIT (&state->users);
  for (int i = 3; i < argc; i++)
    {
      char *name = talloc_strdup (state, argv[i]);
      char *sign = strchr (name, '=');

      if (sign == NULL)
        continue;
      *sign = '\0';
      control_set (state, name, sign + 1);
    }
  return state;
}

int
main (int argc, char **argv)
{
  return standin_main (argc, argv, &upstream_server_ops,
                       upstream_create_state);
}
