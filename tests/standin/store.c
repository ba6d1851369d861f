/* A stand-in for the platform's key-value service: the part of etcd's JSON
   gateway that siskinspur uses, in memory.  POST /control?mode=MODE makes it
   fail: down aborts every response and watch, slow (with ms=N) delays each
   response, and lose drops the responses to executed requests (count=N of
   them, or with after_writes=N those to writes after the next N, and with
   reads=1 those to reads as well from then on).  Mode ok ends the failure.
   POST /control?forget=KEY restores the first value of a key, as a restored
   backup does.  GET /control returns the counters.  */

#include "store_keys.h"

#include <stdlib.h>
#include <string.h>

/* A response that is delayed in MODE_SLOW.  */
typedef struct delayed
{
  store_state_t *state;
  http_exchange_t *exchange;
  char *text;
} delayed_response_t;

/* Send a delayed response.  */
static void
handle_delay (struct tevent_context *events, struct tevent_timer *timer,
              struct timeval now, void *data)
{
  delayed_response_t *delayed = data;

  (void)events;
  (void)timer;
  (void)now;
  http_reply_text (delayed->exchange, 200, "application/json", delayed->text);
  http_exchange_set_data (delayed->exchange, NULL);
  talloc_free (delayed);
}

/* Return whether to drop the response to the current request when only those
   after some writes are dropped; count the writes that get a response before
   that.  */
static bool
drops_late_response (store_state_t *state)
{
  if (!state->is_write_call)
    return state->drops_reads && state->writes_before_drop <= 0;
  return state->writes_before_drop-- <= 0;
}

/* Send ROOT as the response, or drop or delay it as the failure mode says.
   Takes over the reference to ROOT.  */
static void
reply_or_fail (store_state_t *state, http_exchange_t *exchange, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  delayed_response_t *delayed;

  json_decref (root);
  if (state->mode == MODE_DROP_RESPONSES && state->drop_count != 0
      && (!state->drops_after_writes || drops_late_response (state)))
    {
      if (state->drop_count > 0)
        state->drop_count--;
      state->dropped_responses++;
      http_reply_begin (exchange, 200, "application/json");
      http_reply_abort (exchange);
    }
  else if (state->mode == MODE_SLOW)
    {
      delayed = talloc_zero (exchange, delayed_response_t);
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

/* Start a watch and send the retained events from its start revision on.
   Cancels the watch when events since then have been compacted.  */
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
  if (start <= state->compacted_revision)
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

/* Restore the oldest value of KEY that the events still hold.  */
static void
control_restore_key (store_state_t *state, const char *key)
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

/* Apply the settings in the query of a control request.  */
static void
control_set (store_state_t *state, http_exchange_t *exchange)
{
  const char *mode = http_exchange_query (exchange, "mode");
  const char *ms = http_exchange_query (exchange, "ms");
  const char *count = http_exchange_query (exchange, "count");
  const char *after = http_exchange_query (exchange, "after_writes");
  const char *restored_key = http_exchange_query (exchange, "forget");

  if (restored_key != NULL)
    control_restore_key (state, restored_key);
  if (mode == NULL)
    return;
  state->mode = strcmp (mode, "down") == 0   ? MODE_DOWN
                : strcmp (mode, "slow") == 0 ? MODE_SLOW
                : strcmp (mode, "lose") == 0 ? MODE_DROP_RESPONSES
                                             : MODE_OK;
  state->slow_ms = ms == NULL ? 500 : strtoll (ms, NULL, 10);
  state->drops_after_writes = after != NULL;
  state->drops_reads = http_exchange_query (exchange, "reads") != NULL;
  state->writes_before_drop = after == NULL ? 0 : strtoll (after, NULL, 10);
  state->drop_count = count == NULL ? -1 : strtoll (count, NULL, 10);
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
      (long long)state->dropped_responses, (long long)state->revision);
  http_reply_text (exchange, 200, "application/json", text);
}

static void
handle_txn (store_state_t *state, http_exchange_t *exchange, json_t *request)
{
  unsigned refusal_status = store_txn_check (state, request);

  if (refusal_status != 0)
    http_reply_text (exchange, refusal_status, "application/json",
                     "{\"error\":\"the transaction is refused\"}\n");
  else
    reply_or_fail (state, exchange, store_txn_run (state, request));
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
    reply_or_fail (state, exchange, store_lease_grant (state, request));
  else if (strcmp (path, "/v3/lease/keepalive") == 0)
    reply_or_fail (state, exchange, store_lease_renew (state, request));
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
