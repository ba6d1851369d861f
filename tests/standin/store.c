/* A stand-in for the platform's key-value service: the part of etcd's JSON
   gateway that siskinspur uses, kept in memory.  POST /control?mode=ok, down,
   slow (with ms=N) or lose makes it fail; GET /control shows its account.  */

#include "standin.h"

#include "common/base64.h"
#include "kernel/clock.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

typedef struct pair
{
  TAILQ_ENTRY (pair) link;
  char *key;   /* decoded; also the order of the list */
  char *value; /* base64 as it came */
  int64_t create_revision;
  int64_t mod_revision;
  int64_t lease;
} pair_t;

typedef struct lease
{
  LIST_ENTRY (lease) link;
  int64_t id;
  int64_t ttl;
  struct timespec expires;
} lease_t;

typedef struct watcher
{
  LIST_ENTRY (watcher) link;
  http_exchange_t *exchange;
  char *key;
} watcher_t;

typedef enum failure_mode
{
  MODE_OK,
  MODE_DOWN,
  MODE_SLOW,
  MODE_LOSE
} failure_mode_t;

typedef struct store_state
{
  standin_t *standin;
  TAILQ_HEAD (, pair) pairs;
  LIST_HEAD (, lease) leases;
  LIST_HEAD (, watcher) watchers;
  int64_t revision;
  int64_t next_lease;
  failure_mode_t mode;
  int64_t slow_ms;
  int64_t lose_left; /* answers still to lose; negative: all */
  int64_t calls;
  int64_t writes;
} store_state_t;

typedef struct delayed
{
  store_state_t *state;
  http_exchange_t *exchange;
  char *text;
} delayed_t;

static char *
text_of (TALLOC_CTX *parent, const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  char *decoded = NULL;

  if (text != NULL)
    decoded = base64_decode_text (parent, text, NULL);
  return decoded == NULL ? talloc_strdup (parent, "") : decoded;
}

static int64_t
number_of (const json_t *object, const char *key)
{
  const json_t *value = json_object_get (object, key);

  if (json_is_integer (value))
    return json_integer_value (value);
  return json_is_string (value) ? strtoll (json_string_value (value), NULL, 10)
                                : 0;
}

static json_t *
json_number (int64_t value)
{
  char text[24];

  snprintf (text, sizeof text, "%lld", (long long)value);
  return json_string (text);
}

static pair_t *
pair_find (store_state_t *state, const char *key)
{
  pair_t *pair;

  TAILQ_FOREACH (pair, &state->pairs, link)
    {
      if (strcmp (pair->key, key) == 0)
        return pair;
    }
  return NULL;
}

static json_t *
pair_json (const pair_t *pair)
{
  json_t *object = json_object ();
  char *key = base64_encode_text (NULL, pair->key, strlen (pair->key));

  json_object_set_new (object, "key", json_string (key));
  json_object_set_new (object, "value", json_string (pair->value));
  json_object_set_new (object, "create_revision",
                       json_number (pair->create_revision));
  json_object_set_new (object, "mod_revision",
                       json_number (pair->mod_revision));
  json_object_set_new (object, "lease", json_number (pair->lease));
  talloc_free (key);
  return object;
}

static json_t *
header_json (const store_state_t *state)
{
  json_t *header = json_object ();

  json_object_set_new (header, "revision", json_number (state->revision));
  return header;
}

static void
watchers_notify (store_state_t *state, const pair_t *pair, const char *type)
{
  watcher_t *watcher;
  json_t *root = json_object ();
  json_t *result = json_object ();
  json_t *events = json_array ();
  json_t *event = json_object ();
  char *text;

  json_object_set_new (event, "type", json_string (type));
  json_object_set_new (event, "kv", pair_json (pair));
  json_array_append_new (events, event);
  json_object_set_new (result, "header", header_json (state));
  json_object_set_new (result, "events", events);
  json_object_set_new (root, "result", result);
  text = json_dumps (root, JSON_COMPACT);
  LIST_FOREACH (watcher, &state->watchers, link)
    {
      if (strcmp (watcher->key, pair->key) != 0)
        continue;
      http_reply_data (watcher->exchange, text, strlen (text));
      http_reply_data (watcher->exchange, "\n", 1);
    }
  free (text);
  json_decref (root);
}

static void
pair_delete (store_state_t *state, pair_t *pair)
{
  TAILQ_REMOVE (&state->pairs, pair, link);
  watchers_notify (state, pair, "DELETE");
  talloc_free (pair);
}

static void
pair_put (store_state_t *state, const json_t *request)
{
  char *key = text_of (state, request, "key");
  const char *value = json_string_value (json_object_get (request, "value"));
  pair_t *pair = pair_find (state, key);
  pair_t *after;

  state->writes++;
  if (pair == NULL)
    {
      pair = talloc_zero (state, pair_t);
      pair->key = talloc_steal (pair, key);
      pair->create_revision = state->revision;
      TAILQ_FOREACH (after, &state->pairs, link)
        {
          if (strcmp (after->key, key) > 0)
            break;
        }
      if (after == NULL)
        TAILQ_INSERT_TAIL (&state->pairs, pair, link);
      else
        TAILQ_INSERT_BEFORE (after, pair, link);
    }
  talloc_free (pair->value);
  pair->value = talloc_strdup (pair, value == NULL ? "" : value);
  pair->mod_revision = state->revision;
  pair->lease = number_of (request, "lease");
  watchers_notify (state, pair, "PUT");
}

static json_t *
range_json (store_state_t *state, const json_t *request)
{
  char *key = text_of (state, request, "key");
  char *end = text_of (state, request, "range_end");
  int64_t limit = number_of (request, "limit");
  const char *order
      = json_string_value (json_object_get (request, "sort_order"));
  bool is_descending = order != NULL && strcmp (order, "DESCEND") == 0;
  json_t *kvs = json_array ();
  json_t *range = json_object ();
  pair_t *pair;

  TAILQ_FOREACH (pair, &state->pairs, link)
    {
      bool is_match = end[0] == '\0' ? strcmp (pair->key, key) == 0
                                     : strcmp (pair->key, key) >= 0
                                           && strcmp (pair->key, end) < 0;

      if (is_match && is_descending)
        json_array_insert_new (kvs, 0, pair_json (pair));
      else if (is_match)
        json_array_append_new (kvs, pair_json (pair));
    }
  while (limit > 0 && (int64_t)json_array_size (kvs) > limit)
    json_array_remove (kvs, json_array_size (kvs) - 1);
  json_object_set_new (range, "count",
                       json_number ((int64_t)json_array_size (kvs)));
  json_object_set_new (range, "kvs", kvs);
  talloc_free (key);
  talloc_free (end);
  return range;
}

static bool
compare_holds (store_state_t *state, const json_t *compare)
{
  char *key = text_of (state, compare, "key");
  const char *target = json_string_value (json_object_get (compare, "target"));
  const pair_t *pair = pair_find (state, key);
  const char *value = json_string_value (json_object_get (compare, "value"));
  bool holds = false;

  if (target != NULL && strcmp (target, "CREATE") == 0)
    holds = (pair == NULL ? 0 : pair->create_revision)
            == number_of (compare, "create_revision");
  else if (target != NULL && strcmp (target, "MOD") == 0)
    holds = (pair == NULL ? 0 : pair->mod_revision)
            == number_of (compare, "mod_revision");
  else if (target != NULL && strcmp (target, "VALUE") == 0)
    holds = pair != NULL && value != NULL && strcmp (pair->value, value) == 0;
  talloc_free (key);
  return holds;
}

static json_t *txn_json (store_state_t *state, const json_t *request);

static json_t *
op_json (store_state_t *state, const json_t *op)
{
  json_t *response = json_object ();
  const json_t *inner;
  pair_t *pair;
  char *key;

  if ((inner = json_object_get (op, "request_range")) != NULL)
    json_object_set_new (response, "response_range",
                         range_json (state, inner));
  else if ((inner = json_object_get (op, "request_put")) != NULL)
    {
      pair_put (state, inner);
      json_object_set_new (response, "response_put", json_object ());
    }
  else if ((inner = json_object_get (op, "request_delete_range")) != NULL)
    {
      key = text_of (state, inner, "key");
      pair = pair_find (state, key);
      state->writes++;
      if (pair != NULL)
        pair_delete (state, pair);
      talloc_free (key);
      json_object_set_new (response, "response_delete_range", json_object ());
    }
  else if ((inner = json_object_get (op, "request_txn")) != NULL)
    json_object_set_new (response, "response_txn", txn_json (state, inner));
  return response;
}

static json_t *
txn_json (store_state_t *state, const json_t *request)
{
  json_t *root = json_object ();
  json_t *responses = json_array ();
  bool holds = true;
  const json_t *item;
  size_t index;

  json_array_foreach (json_object_get (request, "compare"), index, item)
    holds = holds && compare_holds (state, item);
  json_array_foreach (json_object_get (request, holds ? "success" : "failure"),
                      index, item)
    json_array_append_new (responses, op_json (state, item));
  json_object_set_new (root, "header", header_json (state));
  json_object_set_new (root, "succeeded", json_boolean (holds));
  json_object_set_new (root, "responses", responses);
  return root;
}

static void
leases_expire (store_state_t *state)
{
  struct timespec now = clock_monotonic (state->standin->clock);
  lease_t *lease;
  lease_t *next;

  for (lease = LIST_FIRST (&state->leases); lease != NULL; lease = next)
    {
      pair_t *pair;
      pair_t *after;

      next = LIST_NEXT (lease, link);
      if (timespec_compare (lease->expires, now) > 0)
        continue;
      for (pair = TAILQ_FIRST (&state->pairs); pair != NULL; pair = after)
        {
          after = TAILQ_NEXT (pair, link);
          if (pair->lease == lease->id)
            {
              state->revision++;
              pair_delete (state, pair);
            }
        }
      LIST_REMOVE (lease, link);
      talloc_free (lease);
    }
}

static json_t *
lease_grant_json (store_state_t *state, const json_t *request)
{
  lease_t *lease = talloc_zero (state, lease_t);
  json_t *root = json_object ();

  lease->id = ++state->next_lease;
  lease->ttl = number_of (request, "TTL");
  lease->expires = timespec_add (clock_monotonic (state->standin->clock),
                                 timespec_from_ms (lease->ttl * 1000));
  LIST_INSERT_HEAD (&state->leases, lease, link);
  state->writes++;
  json_object_set_new (root, "ID", json_number (lease->id));
  json_object_set_new (root, "TTL", json_number (lease->ttl));
  return root;
}

static json_t *
lease_keep_json (store_state_t *state, const json_t *request)
{
  int64_t id = number_of (request, "ID");
  json_t *root = json_object ();
  json_t *result = json_object ();
  lease_t *lease;

  json_object_set_new (result, "ID", json_number (id));
  LIST_FOREACH (lease, &state->leases, link)
    {
      if (lease->id != id)
        continue;
      lease->expires = timespec_add (clock_monotonic (state->standin->clock),
                                     timespec_from_ms (lease->ttl * 1000));
      json_object_set_new (result, "TTL", json_number (lease->ttl));
    }
  json_object_set_new (root, "result", result);
  return root;
}

static void
handle_delay (struct tevent_context *events, struct tevent_timer *timer,
              struct timeval now, void *data)
{
  delayed_t *delayed = data;

  (void)events;
  (void)timer;
  (void)now;
  http_reply_text (delayed->exchange, 200, "application/json", delayed->text);
  http_exchange_set_data (delayed->exchange, NULL);
  talloc_free (delayed);
}

static void
reply_json (store_state_t *state, http_exchange_t *exchange, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  delayed_t *delayed;

  json_decref (root);
  if (state->mode == MODE_LOSE && state->lose_left != 0)
    {
      if (state->lose_left > 0)
        state->lose_left--;
      http_reply_begin (exchange, 200, "application/json");
      http_reply_abort (exchange);
    }
  else if (state->mode == MODE_SLOW)
    {
      delayed = talloc_zero (exchange, delayed_t);
      delayed->exchange = exchange;
      delayed->text = talloc_strdup (delayed, text);
      tevent_add_timer (worker_events (state->standin->worker), delayed,
                        tevent_timeval_current_ofs (
                            (uint32_t)(state->slow_ms / 1000),
                            (uint32_t)(state->slow_ms % 1000) * 1000),
                        handle_delay, delayed);
    }
  else
    http_reply_text (exchange, 200, "application/json", text);
  free (text);
}

static void
start_watch (store_state_t *state, http_exchange_t *exchange,
             const json_t *request)
{
  watcher_t *watcher = talloc_zero (exchange, watcher_t);
  static const char created[] = "{\"result\":{\"created\":true}}\n";

  watcher->exchange = exchange;
  watcher->key
      = text_of (watcher, json_object_get (request, "create_request"), "key");
  LIST_INSERT_HEAD (&state->watchers, watcher, link);
  http_exchange_set_data (exchange, watcher);
  http_reply_begin (exchange, 200, "application/json");
  http_reply_data (exchange, created, sizeof created - 1);
}

static void
control_set (store_state_t *state, http_exchange_t *exchange)
{
  const char *mode = http_exchange_query (exchange, "mode");
  const char *ms = http_exchange_query (exchange, "ms");
  const char *count = http_exchange_query (exchange, "count");

  if (mode == NULL)
    return;
  state->mode = strcmp (mode, "down") == 0   ? MODE_DOWN
                : strcmp (mode, "slow") == 0 ? MODE_SLOW
                : strcmp (mode, "lose") == 0 ? MODE_LOSE
                                             : MODE_OK;
  state->slow_ms = ms == NULL ? 500 : strtoll (ms, NULL, 10);
  state->lose_left = count == NULL ? -1 : strtoll (count, NULL, 10);
  if (state->mode == MODE_DOWN)
    {
      watcher_t *watcher;

      LIST_FOREACH (watcher, &state->watchers, link)
        http_reply_abort (watcher->exchange);
    }
}

static void
control_reply (store_state_t *state, http_exchange_t *exchange)
{
  char *text = talloc_asprintf (
      exchange, "{\"calls\":%lld,\"writes\":%lld,\"revision\":%lld}\n",
      (long long)state->calls, (long long)state->writes,
      (long long)state->revision);

  http_reply_text (exchange, 200, "application/json", text);
}

static void
store_on_request (http_exchange_t *exchange, void *data)
{
  store_state_t *state = data;
  const char *path = http_exchange_path (exchange);
  size_t size;
  const char *body = http_exchange_body (exchange, &size);
  json_t *request;

  http_exchange_set_data (exchange, NULL);
  if (strcmp (path, "/control") == 0)
    {
      control_set (state, exchange);
      control_reply (state, exchange);
      return;
    }
  state->calls++;
  if (state->mode == MODE_DOWN)
    {
      http_reply_begin (exchange, 503, "text/plain");
      http_reply_abort (exchange);
      return;
    }
  leases_expire (state);
  request = json_loadb (body, size, 0, NULL);
  state->revision++;
  if (request == NULL)
    http_reply_text (exchange, 400, "text/plain", "not JSON\n");
  else if (strcmp (path, "/v3/kv/txn") == 0)
    reply_json (state, exchange, txn_json (state, request));
  else if (strcmp (path, "/v3/lease/grant") == 0)
    reply_json (state, exchange, lease_grant_json (state, request));
  else if (strcmp (path, "/v3/lease/keepalive") == 0)
    reply_json (state, exchange, lease_keep_json (state, request));
  else if (strcmp (path, "/v3/watch") == 0)
    start_watch (state, exchange, request);
  else
    http_reply_text (exchange, 404, "text/plain", "not found\n");
  json_decref (request);
}

static void
store_on_gone (http_exchange_t *exchange, void *data)
{
  (void)exchange;
  (void)data;
}

static void
store_on_finished (http_exchange_t *exchange, void *data)
{
  store_state_t *state = data;
  watcher_t *watcher;

  LIST_FOREACH (watcher, &state->watchers, link)
    {
      if (watcher->exchange == exchange)
        {
          LIST_REMOVE (watcher, link);
          return;
        }
    }
}

static const http_server_ops_t store_ops = {
  .on_request = store_on_request,
  .on_gone = store_on_gone,
  .on_finished = store_on_finished,
};

static void *
store_create_state (standin_t *standin, int argc, char **argv)
{
  store_state_t *state = talloc_zero (standin, store_state_t);

  (void)argc;
  (void)argv;
  state->standin = standin;
  TAILQ_INIT (&state->pairs);
  LIST_INIT (&state->leases);
  LIST_INIT (&state->watchers);
  return state;
}

int
main (int argc, char **argv)
{
  return standin_main (argc, argv, &store_ops, store_create_state);
}
