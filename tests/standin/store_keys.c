#include "store_keys.h"

#include "common/base64.h"
#include "kernel/clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_EVENTS = 10000,
  MAX_TXN_OPERATIONS = 128,
  LEASE_CHECK_MS = 100
};

/* Return the base64-decoded member KEY of OBJECT, "" when there is none,
   allocated below PARENT.  */
char *
store_text (TALLOC_CTX *parent, const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  char *decoded = NULL;

  if (text != NULL)
    decoded = base64_decode_text (parent, text, NULL);
  return decoded == NULL ? talloc_strdup (parent, "") : decoded;
}

/* Return the member KEY of OBJECT, a number or a decimal string, or 0.  */
int64_t
store_number (const json_t *object, const char *key)
{
  const json_t *value = json_object_get (object, key);

  if (json_is_integer (value))
    return json_integer_value (value);
  return json_is_string (value) ? strtoll (json_string_value (value), NULL, 10)
                                : 0;
}

/* Return VALUE as a decimal string, as etcd encodes 64-bit integers.  */
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

/* Return whether the range contains KEY.  END is exclusive; "" means the key
   START alone.  */
static bool
range_contains (const char *start, const char *end, const char *key)
{
  if (end[0] == '\0')
    return strcmp (key, start) == 0;
  return strcmp (key, start) >= 0 && strcmp (key, end) < 0;
}

/* Send EVENT to WATCHER if its range contains the key.  */
void
store_watcher_send (const watcher_t *watcher, const event_t *event)
{
  if (range_contains (watcher->key, watcher->end, event->key))
    http_reply_data (watcher->exchange, event->line, strlen (event->line));
}

static char *
event_line (TALLOC_CTX *parent, const store_state_t *state, const pair_t *pair,
            const char *type)
{
  json_t *root = json_pack ("{s:{s:o,s:[{s:s,s:o}]}}", "result", "header",
                            header_json (state), "events", "type", type, "kv",
                            pair_json (pair));
  char *text = json_dumps (root, JSON_COMPACT);
  char *line = talloc_asprintf (parent, "%s\n", text);

  free (text);
  json_decref (root);
  return line;
}

/* Record a change of PAIR and send it to the watchers.  Discards the oldest
   event above MAX_EVENTS.  */
static void
event_add (store_state_t *state, const pair_t *pair, const char *type)
{
  event_t *event = talloc_zero (state, event_t);
  const watcher_t *watcher;

  event->key = talloc_strdup (event, pair->key);
  event->revision = state->revision;
  event->line = event_line (event, state, pair, type);
  STAILQ_INSERT_TAIL (&state->events, event, link);
  LIST_FOREACH (watcher, &state->watchers, link)
    store_watcher_send (watcher, event);
  if (++state->event_count <= MAX_EVENTS)
    return;
  event = STAILQ_FIRST (&state->events);
  STAILQ_REMOVE_HEAD (&state->events, link);
  state->event_count--;
  state->compacted_revision = event->revision;
  talloc_free (event);
}

/* Increment the revision unless the current transaction has done so: all
   changes of a transaction have one revision.  */
static void
revision_begin (store_state_t *state)
{
  if (!state->has_written)
    state->revision++;
  state->has_written = true;
}

static void
pair_delete (store_state_t *state, pair_t *pair)
{
  revision_begin (state);
  TAILQ_REMOVE (&state->pairs, pair, link);
  pair->mod_revision = state->revision;
  event_add (state, pair, "DELETE");
  talloc_free (pair);
}

/* Insert PAIR in the order of the keys.  */
static void
pair_insert (store_state_t *state, pair_t *pair)
{
  pair_t *after;

  TAILQ_FOREACH (after, &state->pairs, link)
    {
      if (strcmp (after->key, pair->key) > 0)
        break;
    }
  if (after == NULL)
    TAILQ_INSERT_TAIL (&state->pairs, pair, link);
  else
    TAILQ_INSERT_BEFORE (after, pair, link);
}

/* Execute a put request.  */
void
store_put (store_state_t *state, const json_t *request)
{
  char *key = store_text (state, request, "key");
  const char *value = json_string_value (json_object_get (request, "value"));
  pair_t *pair = pair_find (state, key);

  revision_begin (state);
  if (pair == NULL)
    {
      pair = talloc_zero (state, pair_t);
      pair->key = talloc_strdup (pair, key);
      pair->create_revision = state->revision;
      pair_insert (state, pair);
    }
  talloc_free (key);
  talloc_free (pair->value);
  pair->value = talloc_strdup (pair, value == NULL ? "" : value);
  pair->mod_revision = state->revision;
  pair->lease = store_number (request, "lease");
  event_add (state, pair, "PUT");
}

static void
range_delete (store_state_t *state, const json_t *request)
{
  char *key = store_text (state, request, "key");
  char *end = store_text (state, request, "range_end");
  pair_t *pair;
  pair_t *next;

  for (pair = TAILQ_FIRST (&state->pairs); pair != NULL; pair = next)
    {
      next = TAILQ_NEXT (pair, link);
      if (range_contains (key, end, pair->key))
        pair_delete (state, pair);
    }
  talloc_free (key);
  talloc_free (end);
}

/* Return the keys of a range request, sorted and limited as the request
   specifies.  */
static json_t *
range_read (store_state_t *state, const json_t *request)
{
  char *key = store_text (state, request, "key");
  char *end = store_text (state, request, "range_end");
  int64_t limit = store_number (request, "limit");
  const char *order
      = json_string_value (json_object_get (request, "sort_order"));
  bool is_descending = order != NULL && strcmp (order, "DESCEND") == 0;
  json_t *kvs = json_array ();
  json_t *range = json_object ();
  pair_t *pair;

  TAILQ_FOREACH (pair, &state->pairs, link)
    {
      bool is_match = range_contains (key, end, pair->key);

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
  char *key = store_text (state, compare, "key");
  const char *target = json_string_value (json_object_get (compare, "target"));
  const pair_t *pair = pair_find (state, key);
  const char *value = json_string_value (json_object_get (compare, "value"));
  bool holds = false;

  if (target != NULL && strcmp (target, "CREATE") == 0)
    holds = (pair == NULL ? 0 : pair->create_revision)
            == store_number (compare, "create_revision");
  else if (target != NULL && strcmp (target, "MOD") == 0)
    holds = (pair == NULL ? 0 : pair->mod_revision)
            == store_number (compare, "mod_revision");
  else if (target != NULL && strcmp (target, "VALUE") == 0)
    holds = pair != NULL && value != NULL && strcmp (pair->value, value) == 0;
  talloc_free (key);
  return holds;
}

static json_t *txn_apply (store_state_t *state, json_t *txn);

/* Execute one operation of a transaction and return its response.  */
static json_t *
op_execute (store_state_t *state, json_t *op)
{
  json_t *response = json_object ();
  json_t *inner;

  if ((inner = json_object_get (op, "request_range")) != NULL)
    json_object_set_new (response, "response_range",
                         range_read (state, inner));
  else if ((inner = json_object_get (op, "request_put")) != NULL)
    {
      store_put (state, inner);
      json_object_set_new (response, "response_put", json_object ());
    }
  else if ((inner = json_object_get (op, "request_delete_range")) != NULL)
    {
      range_delete (state, inner);
      json_object_set_new (response, "response_delete_range", json_object ());
    }
  else if ((inner = json_object_get (op, "request_txn")) != NULL)
    json_object_set_new (response, "response_txn", txn_apply (state, inner));
  return response;
}

/* Evaluate the comparisons of TXN and of the transactions nested in the
   chosen branch before any of them writes.  Stores the results in TXN.  */
static void
txn_evaluate (store_state_t *state, json_t *txn)
{
  bool holds = true;
  const json_t *compare;
  json_t *op;
  size_t index;

  json_array_foreach (json_object_get (txn, "compare"), index, compare)
    holds = holds && compare_holds (state, compare);
  json_object_set_new (txn, "holds", json_boolean (holds));
  json_array_foreach (json_object_get (txn, holds ? "success" : "failure"),
                      index, op)
    {
      json_t *inner = json_object_get (op, "request_txn");

      if (inner != NULL)
        txn_evaluate (state, inner);
    }
}

/* Execute the branch that was chosen by txn_evaluate.  */
static json_t *
txn_apply (store_state_t *state, json_t *txn)
{
  bool holds = json_is_true (json_object_get (txn, "holds"));
  json_t *root = json_object ();
  json_t *responses = json_array ();
  json_t *op;
  size_t index;

  json_array_foreach (json_object_get (txn, holds ? "success" : "failure"),
                      index, op)
    json_array_append_new (responses, op_execute (state, op));
  json_object_set_new (root, "header", header_json (state));
  json_object_set_new (root, "succeeded", json_boolean (holds));
  json_object_set_new (root, "responses", responses);
  return root;
}

static bool
lease_is_known (const store_state_t *state, int64_t id)
{
  const lease_t *lease;

  LIST_FOREACH (lease, &state->leases, link)
    {
      if (lease->id == id)
        return true;
    }
  return id == 0;
}

static bool txn_has_writes (const json_t *txn);

static unsigned branch_check (const store_state_t *state, const json_t *ops,
                              json_t *keys);

/* Check both branches of TXN.  Only one of them is executed, so both may put
   the same key, but not a key that KEYS already contains.  */
static unsigned
branches_check (const store_state_t *state, const json_t *txn, json_t *keys)
{
  json_t *success = json_copy (keys);
  json_t *failure = json_copy (keys);
  unsigned refusal_status
      = branch_check (state, json_object_get (txn, "success"), success);

  if (refusal_status == 0)
    refusal_status
        = branch_check (state, json_object_get (txn, "failure"), failure);
  json_object_update (keys, success);
  json_object_update (keys, failure);
  json_decref (success);
  json_decref (failure);
  return refusal_status;
}

/* Check the operations of one branch and add the keys that they put to KEYS.
   Returns the HTTP status of the refusal, or 0.  */
static unsigned
branch_check (const store_state_t *state, const json_t *ops, json_t *keys)
{
  const json_t *op;
  size_t index;

  if (json_array_size (ops) > MAX_TXN_OPERATIONS)
    return 400;
  json_array_foreach (ops, index, op)
    {
      const json_t *put = json_object_get (op, "request_put");
      const json_t *inner = json_object_get (op, "request_txn");
      const char *key = json_string_value (json_object_get (put, "key"));
      unsigned refusal_status = 0;

      if (put != NULL && (key == NULL || json_object_get (keys, key) != NULL))
        return 400;
      if (put != NULL && !lease_is_known (state, store_number (put, "lease")))
        return 404;
      if (put != NULL)
        json_object_set_new (keys, key, json_true ());
      if (inner != NULL)
        refusal_status = branches_check (state, inner, keys);
      if (refusal_status != 0)
        return refusal_status;
    }
  return 0;
}

/* Return the HTTP status with which TXN is refused, or 0.  */
unsigned
store_txn_check (const store_state_t *state, const json_t *txn)
{
  json_t *keys = json_object ();
  unsigned refusal_status = branches_check (state, txn, keys);

  json_decref (keys);
  return refusal_status;
}

static bool
ops_have_writes (const json_t *ops)
{
  const json_t *op;
  size_t index;

  json_array_foreach (ops, index, op)
    {
      const json_t *inner = json_object_get (op, "request_txn");

      if (inner == NULL ? json_object_get (op, "request_range") == NULL
                        : txn_has_writes (inner))
        return true;
    }
  return false;
}

static bool
txn_has_writes (const json_t *txn)
{
  return ops_have_writes (json_object_get (txn, "success"))
         || ops_have_writes (json_object_get (txn, "failure"));
}

/* Execute TXN, which store_txn_check has accepted, and return its response.
 */
json_t *
store_txn_run (store_state_t *state, json_t *txn)
{
  state->is_write_call = txn_has_writes (txn);
  if (state->is_write_call)
    state->writes++;
  else
    state->reads++;
  state->has_written = false;
  txn_evaluate (state, txn);
  return txn_apply (state, txn);
}

/* Remove expired leases and delete their keys.  */
void
store_leases_expire (store_state_t *state)
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
      state->has_written = false;
      for (pair = TAILQ_FIRST (&state->pairs); pair != NULL; pair = after)
        {
          after = TAILQ_NEXT (pair, link);
          if (pair->lease == lease->id)
            pair_delete (state, pair);
        }
      LIST_REMOVE (lease, link);
      talloc_free (lease);
    }
}

static void
store_check_leases (worker_t *worker, void *data)
{
  store_state_t *state = data;

  store_leases_expire (state);
  worker_timer_start (worker, state, timespec_from_ms (LEASE_CHECK_MS),
                      store_check_leases, state);
}

/* Initialize STATE as an empty store and start the periodic check for
   expired leases.  */
void
store_start (store_state_t *state)
{
  TAILQ_INIT (&state->pairs);
  LIST_INIT (&state->leases);
  LIST_INIT (&state->watchers);
  STAILQ_INIT (&state->events);
  store_check_leases (state->standin->worker, state);
}

/* Grant a lease and return the response.  */
json_t *
store_lease_grant (store_state_t *state, const json_t *request)
{
  lease_t *lease = talloc_zero (state, lease_t);
  json_t *root = json_object ();

  lease->id = ++state->next_lease;
  lease->ttl = store_number (request, "TTL");
  lease->expires = timespec_add (clock_monotonic (state->standin->clock),
                                 timespec_from_ms (lease->ttl * 1000));
  LIST_INSERT_HEAD (&state->leases, lease, link);
  json_object_set_new (root, "ID", json_number (lease->id));
  json_object_set_new (root, "TTL", json_number (lease->ttl));
  return root;
}

/* Renew a lease and return the response, without a TTL when the lease does
   not exist.  */
json_t *
store_lease_renew (store_state_t *state, const json_t *request)
{
  int64_t id = store_number (request, "ID");
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
