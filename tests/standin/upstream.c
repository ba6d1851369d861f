/* A stand-in for an upstream: the chat completions of a model engine, with
   streamed responses, and a plain booking service.  It records what the tests
   check: GET /control returns the number of requests received, the maximum of
   concurrent requests, and how often each idempotency key and each user ran.
   POST /control?... sets cold=N (the concurrent requests that a cold upstream
   can serve; 0 for a warm one), first_ms, token_ms and work_ms, and the
   contents of GET /load: says_cold and incarnation.  Arguments of the form
   NAME=VALUE set the same at the start.  Each part of a response contains the
   "user" of its request, so that a caller can recognise its own.  */

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

/* How often requests with one key, or of one user, ran.  */
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
  int64_t max_open;
  int64_t cold_limit; /* concurrent requests while cold; 0: warm */
  int64_t over_limit; /* requests received above cold_limit */
  int64_t first_ms;   /* before the first token */
  int64_t token_ms;   /* between tokens */
  int64_t work_ms;    /* of a plain request */
  struct timespec last_received;
  int64_t incarnation;
  int64_t reports_cold; /* in load reports */
} upstream_state_t;

typedef struct response
{
  upstream_state_t *state;
  http_exchange_t *exchange;
  struct tevent_timer *timer;
  const char *user;
  int64_t tokens_left;
  int64_t tokens_sent;
  bool is_plain;
  bool is_finished;
} response_t;

static void response_schedule (response_t *response, int64_t delay_ms);

/* Count a run under NAME in LIST.  */
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

/* Count the request as no longer open, once.  */
static void
response_finish (response_t *response)
{
  if (response->is_finished)
    return;
  response->is_finished = true;
  response->state->open--;
}

/* Send the response of the booking service.  */
static void
response_send_plain (response_t *response)
{
  char *text = talloc_asprintf (
      response,
      "{\"confirmed\":true,\"by\":\"%s\",\"user\":\"%s\",\"number\":%lld}\n",
      response->state->name, response->user,
      (long long)response->state->finished + 1);

  response->state->finished++;
  response_finish (response);
  http_reply_text (response->exchange, 201, "application/json", text);
}

/* Send the next token, and the end of the stream after the last one.  */
static void
response_send_token (response_t *response)
{
  char *text;

  if (response->tokens_sent == 0)
    http_reply_begin (response->exchange, 200, "text/event-stream");
  response->tokens_sent++;
  text = talloc_asprintf (
      response,
      "data: {\"choices\":[{\"delta\":{\"content\":\"t%lld %s\"}}]}\n\n",
      (long long)response->tokens_sent, response->user);
  http_reply_data (response->exchange, text, strlen (text));
  talloc_free (text);
  if (--response->tokens_left > 0)
    {
      response_schedule (response, response->state->token_ms);
      return;
    }
  response->state->finished++;
  response_finish (response);
  http_reply_data (response->exchange, "data: [DONE]\n\n", 14);
  http_reply_end (response->exchange);
}

static void
response_handle_timer (struct tevent_context *events,
                       struct tevent_timer *timer, struct timeval now,
                       void *data)
{
  response_t *response = data;

  (void)events;
  (void)timer;
  (void)now;
  response->timer = NULL;
  if (response->is_plain)
    response_send_plain (response);
  else
    response_send_token (response);
}

static void
response_schedule (response_t *response, int64_t delay_ms)
{
  response->timer = tevent_add_timer (
      worker_events (response->state->standin->worker), response,
      tevent_timeval_current_ofs ((uint32_t)(delay_ms / 1000),
                                  (uint32_t)(delay_ms % 1000) * 1000),
      response_handle_timer, response);
}

/* Count a request that was received.  */
static void
upstream_count_request (upstream_state_t *state, http_exchange_t *exchange,
                        const char *user)
{
  const char *key = http_exchange_header (exchange, "Idempotency-Key");

  state->received++;
  state->open++;
  state->last_received = clock_monotonic (state->standin->clock);
  if (state->open > state->max_open)
    state->max_open = state->open;
  if (state->cold_limit > 0 && state->open > state->cold_limit)
    state->over_limit++;
  if (key != NULL)
    tally_add (state, &state->keys, key);
  if (user[0] != '\0')
    tally_add (state, &state->users, user);
}

/* Start the response to a request: a stream of tokens for paths below /v1/,
   one document for all others.  */
static void
upstream_serve (upstream_state_t *state, http_exchange_t *exchange)
{
  response_t *response = talloc_zero (exchange, response_t);
  size_t size;
  const char *body = http_exchange_body (exchange, &size);
  json_t *root = json_loadb (body, size, 0, NULL);
  json_t *limit = json_object_get (root, "max_tokens");
  const char *user = json_string_value (json_object_get (root, "user"));

  response->state = state;
  response->exchange = exchange;
  response->user = talloc_strdup (response, user == NULL ? "" : user);
  upstream_count_request (state, exchange, response->user);
  response->tokens_left
      = json_is_integer (limit) ? json_integer_value (limit) : DEFAULT_TOKENS;
  response->is_plain = strncmp (http_exchange_path (exchange), "/v1/", 4) != 0;
  json_decref (root);
  http_exchange_set_data (exchange, response);
  response_schedule (response,
                     response->is_plain ? state->work_ms : state->first_ms);
}

/* Set the setting NAME to TEXT, if not NULL.  */
static void
control_set (upstream_state_t *state, const char *name, const char *text)
{
  const struct
  {
    const char *name;
    int64_t *value;
  } numbers[] = { { "cold", &state->cold_limit },
                  { "first_ms", &state->first_ms },
                  { "token_ms", &state->token_ms },
                  { "work_ms", &state->work_ms },
                  { "says_cold", &state->reports_cold },
                  { "incarnation", &state->incarnation } };

  for (size_t i = 0; i < sizeof numbers / sizeof numbers[0]; i++)
    {
      if (text != NULL && strcmp (numbers[i].name, name) == 0)
        *numbers[i].value = strtoll (text, NULL, 10);
    }
}

/* Apply the settings in the query of a control request.  */
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
  json_object_set_new (root, "most_open", json_integer (state->max_open));
  json_object_set_new (root, "over_limit", json_integer (state->over_limit));
  json_object_set_new (root, "idle_ms", json_integer (timespec_to_ms (idle)));
  json_object_set_new (root, "keys", tally_json (&state->keys));
  json_object_set_new (root, "users", tally_json (&state->users));
  text = json_dumps (root, JSON_COMPACT);
  http_reply_text (exchange, 200, "application/json", text);
  free (text);
  json_decref (root);
}

/* Send a load report, which the agent requests a few times per second.  */
static void
load_report_reply (upstream_state_t *state, http_exchange_t *exchange)
{
  char *text = talloc_asprintf (
      exchange, "{\"incarnation\":\"%lld\",\"is_cold\":%s,\"running\":%lld}\n",
      (long long)state->incarnation,
      state->reports_cold > 0 ? "true" : "false", (long long)state->open);

  http_reply_text (exchange, 200, "application/json", text);
}

static void
upstream_on_request (http_exchange_t *exchange, void *data)
{
  upstream_state_t *state = data;

  if (strcmp (http_exchange_path (exchange), "/load") == 0)
    {
      http_exchange_set_data (exchange, NULL);
      load_report_reply (state, exchange);
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

/* Cancel the response of a client that has disconnected.  */
static void
upstream_on_disconnect (http_exchange_t *exchange, void *data)
{
  upstream_state_t *state = data;
  response_t *response = http_exchange_data (exchange);

  if (response == NULL || response->is_finished)
    return;
  TALLOC_FREE (response->timer);
  state->cancelled++;
  response_finish (response);
}

static const http_server_ops_t upstream_server_ops = {
  .on_request = upstream_on_request,
  .on_disconnect = upstream_on_disconnect,
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
      char *separator = strchr (name, '=');

      if (separator == NULL)
        continue;
      *separator = '\0';
      control_set (state, name, separator + 1);
    }
  return state;
}

int
main (int argc, char **argv)
{
  return standin_main (argc, argv, &upstream_server_ops,
                       upstream_create_state);
}
