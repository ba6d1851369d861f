/* A stand-in for the platform's key-value service: the part of etcd's JSON
   gateway that siskinspur uses, kept in memory.  POST /control?mode=ok, down,
   slow (with ms=N) or lose (with count=N, or after_writes=N for the answers of
   later writes alone) makes it fail, and forget=KEY takes a key back to its
   first value, as a restored backup does; GET /control shows its account.  */

#include "store_keys.h"

#include <stdlib.h>
#include <string.h>

typedef struct delayed
{
  store_state_t *state;
  http_exchange_t *exchange;
  char *text;
} delayed_t;

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

/* Return whether the answer under way is a write's and to be lost.  */
static bool
lose_write (store_state_t *state)
{
  if (!state->is_write_call)
    return false;
  return state->lose_after-- <= 0;
}

static void
reply_json (store_state_t *state, http_exchange_t *exchange, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  delayed_t *delayed;

  json_decref (root);
  if (state->mode == MODE_LOSE && state->lose_left != 0
      && (!state->loses_writes_only || lose_write (state)))
    {
      if (state->lose_left > 0)
        state->lose_left--;
      state->lost++;
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
  const json_t *create = json_object_get (request, "create_request");
  int64_t start = store_number (create, "start_revision");
  watcher_t *watcher = talloc_zero (exchange, watcher_t);
  const event_t *event;
  static const char created[] = "{\"result\":{\"created\":true}}\n";
  static const char cancelled[]
      = "{\"result\":{\"canceled\":true,\"compact_revision\":\"1\"}}\n";

  watcher->exchange = exchange;
  watcher->key = store_text (watcher, create, "key");
  watcher->end = store_text (watcher, create, "range_end");
  LIST_INSERT_HEAD (&state->watchers, watcher, link);
  http_exchange_set_data (exchange, watcher);
  http_reply_begin (exchange, 200, "application/json");
  http_reply_data (exchange, created, sizeof created - 1);
  if (start == 0)
    return;
  if (start <= state->forgotten)
    {
      http_reply_data (exchange, cancelled, sizeof cancelled - 1);
      return;
    }
  STAILQ_FOREACH (event, &state->events, link)
    {
      if (event->revision >= start)
        store_watcher_send (watcher, event);
    }
}

/* Put KEY back to the oldest value that is still known.  */
static void
control_forget (store_state_t *state, const char *key)
{
  const event_t *event;
  json_t *root;

  STAILQ_FOREACH (event, &state->events, link)
    {
      if (strcmp (event->key, key) == 0)
        break;
    }
  if (event == NULL)
    return;
  root = json_loads (event->line, 0, NULL);
  state->has_written = false;
  store_put (
      state,
      json_object_get (
          json_array_get (
              json_object_get (json_object_get (root, "result"), "events"), 0),
          "kv"));
  json_decref (root);
}

static void
control_set (store_state_t *state, http_exchange_t *exchange)
{
  const char *mode = http_exchange_query (exchange, "mode");
  const char *ms = http_exchange_query (exchange, "ms");
  const char *count = http_exchange_query (exchange, "count");
  const char *after = http_exchange_query (exchange, "after_writes");
  const char *forget = http_exchange_query (exchange, "forget");

  if (forget != NULL)
    control_forget (state, forget);
  if (mode == NULL)
    return;
  state->mode = strcmp (mode, "down") == 0   ? MODE_DOWN
                : strcmp (mode, "slow") == 0 ? MODE_SLOW
                : strcmp (mode, "lose") == 0 ? MODE_LOSE
                                             : MODE_OK;
  state->slow_ms = ms == NULL ? 500 : strtoll (ms, NULL, 10);
  state->loses_writes_only = after != NULL;
  state->lose_after = after == NULL ? 0 : strtoll (after, NULL, 10);
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
  const watcher_t *watcher;
  long long watching = 0;
  int64_t calls
      = state->reads + state->writes + state->lease_calls + state->watches;
  char *text;

  LIST_FOREACH (watcher, &state->watchers, link)
    watching++;
  text = talloc_asprintf (
      exchange,
      "{\"calls\":%lld,\"reads\":%lld,\"writes\":%lld,\"leases\":%lld,"
      "\"watches\":%lld,\"watching\":%lld,\"lost\":%lld,"
      "\"revision\":%lld}\n",
      (long long)calls, (long long)state->reads, (long long)state->writes,
      (long long)state->lease_calls, (long long)state->watches, watching,
      (long long)state->lost, (long long)state->revision);
  http_reply_text (exchange, 200, "application/json", text);
}

static void
handle_txn (store_state_t *state, http_exchange_t *exchange, json_t *request)
{
  unsigned refusal = store_txn_check (state, request);

  if (refusal != 0)
    http_reply_text (exchange, refusal, "application/json",
                     "{\"error\":\"the transaction is refused\"}\n");
  else
    reply_json (state, exchange, store_txn_run (state, request));
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
  if (state->mode == MODE_DOWN)
    {
      http_reply_begin (exchange, 503, "text/plain");
      http_reply_abort (exchange);
      return;
    }
  store_leases_expire (state);
  request = json_loadb (body, size, 0, NULL);
  if (strncmp (path, "/v3/lease/", strlen ("/v3/lease/")) == 0)
    state->lease_calls++;
  if (strcmp (path, "/v3/watch") == 0)
    state->watches++;
  if (request == NULL)
    http_reply_text (exchange, 400, "text/plain", "not JSON\n");
  else if (strcmp (path, "/v3/kv/txn") == 0)
    handle_txn (state, exchange, request);
  else if (strcmp (path, "/v3/lease/grant") == 0)
    reply_json (state, exchange, store_lease_grant (state, request));
  else if (strcmp (path, "/v3/lease/keepalive") == 0)
    reply_json (state, exchange, store_lease_keep (state, request));
  else if (strcmp (path, "/v3/watch") == 0)
    start_watch (state, exchange, request);
  else
    http_reply_text (exchange, 404, "text/plain", "not found\n");
  json_decref (request);
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
  .on_finished = store_on_finished,
};

static void *
store_create_state (standin_t *standin, int argc, char **argv)
{
  store_state_t *state = talloc_zero (standin, store_state_t);

  (void)argc;
  (void)argv;
  state->standin = standin;
  store_start (state);
  return state;
}

int
main (int argc, char **argv)
{
  return standin_main (argc, argv, &store_ops, store_create_state);
}
