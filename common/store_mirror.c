#include "common/store_mirror.h"

#include "kernel/counter.h"
#include "kernel/log.h"
#include "kernel/table.h"

#include <string.h>
#include <xxhash.h>

enum
{
  RETRY_MIN_DELAY_MS = 200,
  RETRY_MAX_DELAY_MS = 1000,
  FIRST_POLL_WAIT_MS = 1, /* of the store, in the first poll after a failure */
  POLL_MIN_GAP_MS = 150   /* minimum time from the last request to a poll
                             that store_mirror_poll_now requests */
};

COUNTER_DEFINE (full_reads, "siskin_mirror_full_reads_total",
                "Reads of all keys of the store that are followed");

/* A key that exists in the store, as far as is known.  */
typedef struct mirror_key
{
  table_node_t node;
  char *name;
  int64_t mod_revision; /* 0: of an earlier generation of the store */
  uint64_t value_hash;
  bool is_seen; /* the full read in progress has found it */
} mirror_key_t;

struct store_mirror
{
  worker_t *worker;
  store_mirror_options_t options;
  const store_mirror_ops_t *ops;
  void *data;
  table_t *keys;
  int64_t revision; /* store revision up to which all changes were received */
  int64_t read_revision; /* store revision of the first page of the full read
                            in progress */
  char *read_after;      /* last key of the previous page, or NULL */
  bool is_synced;
  bool is_reachable; /* the latest request was successful */
  bool needs_full_read;
  bool is_call_pending; /* a call to the store has not ended yet */
  /* The store was restored after the pending call was sent.  */
  bool is_call_outdated;
  bool is_destroyed; /* freed when the pending call ends */
  store_listener_t listener;
  char *failure; /* message of the latest request; NULL if it succeeded */
  int64_t retry_ms;
  struct timespec last_response_at;
  struct timespec last_request_at;
  worker_timer_t *timer;
};

static void mirror_send_request (store_mirror_t *mirror);

/* Handle the end of a call to the store.  Returns whether its result is to be
   used.  Otherwise the store was restored during the call, and all keys are
   read instead; or MIRROR was destroyed and is freed.  */
static bool
mirror_end_call (store_mirror_t *mirror)
{
  bool is_outdated = mirror->is_call_outdated;

  mirror->is_call_pending = false;
  mirror->is_call_outdated = false;
  if (mirror->is_destroyed)
    {
      talloc_free (mirror);
      return false;
    }
  if (is_outdated)
    mirror_send_request (mirror);
  return !is_outdated;
}

static struct timespec
mirror_now (const store_mirror_t *mirror)
{
  return clock_monotonic (worker_clock (mirror->worker));
}

static void
mirror_handle_timer (worker_t *worker, void *data)
{
  store_mirror_t *mirror = data;

  (void)worker;
  mirror->timer = NULL;
  mirror_send_request (mirror);
}

static void
mirror_schedule_request (store_mirror_t *mirror, struct timespec delay)
{
  static const struct timespec no_delay = { 0, 0 };

  if (timespec_compare (delay, no_delay) < 0)
    delay = no_delay;
  TALLOC_FREE (mirror->timer);
  mirror->timer = worker_timer_start (mirror->worker, mirror, delay,
                                      mirror_handle_timer, mirror);
}

/* Log the failure STATUS of the latest request, unless the one before it
   failed with the same message.  */
static void
mirror_log_failure (store_mirror_t *mirror, status_t status)
{
  const char *error = status_message ();

  if (mirror->failure != NULL && strcmp (mirror->failure, error) == 0)
    return;
  log_event (LOG_LEVEL_WARN, "store-request-failed",
             "prefix=\"%s\" request=%s after=%lld ms=%lld status=%s "
             "error=\"%s\"",
             mirror->options.prefix, mirror->needs_full_read ? "read" : "poll",
             (long long)mirror->revision,
             (long long)timespec_to_ms (timespec_subtract (
                 mirror_now (mirror), mirror->last_request_at)),
             status_name (status), error);
  talloc_free (mirror->failure);
  mirror->failure = talloc_strdup (mirror, error);
}

/* Retry with exponential backoff.  */
static void
mirror_handle_failure (store_mirror_t *mirror, status_t status)
{
  bool was_reachable = mirror->is_reachable;

  mirror_log_failure (mirror, status);
  mirror->is_reachable = false;
  mirror_schedule_request (mirror, timespec_from_ms (mirror->retry_ms));
  mirror->retry_ms *= 2;
  if (mirror->retry_ms > RETRY_MAX_DELAY_MS)
    mirror->retry_ms = RETRY_MAX_DELAY_MS;
  if (was_reachable && mirror->ops->on_lost != NULL)
    mirror->ops->on_lost (status_message (), mirror->data);
}

static void
mirror_handle_response (store_mirror_t *mirror)
{
  struct timespec now = mirror_now (mirror);
  struct timespec outage = timespec_subtract (now, mirror->last_response_at);

  mirror->last_response_at = now;
  TALLOC_FREE (mirror->failure);
  mirror->retry_ms = RETRY_MIN_DELAY_MS;
  if (mirror->is_reachable)
    return;
  mirror->is_reachable = true;
  if (mirror->ops->on_regained != NULL)
    mirror->ops->on_regained (outage, mirror->data);
}

static mirror_key_t *
mirror_find (const store_mirror_t *mirror, const char *name)
{
  table_node_t *node = table_find (mirror->keys, name, strlen (name));

  return node == NULL ? NULL : CONTAINER_OF (node, mirror_key_t, node);
}

static void
mirror_remove_key (store_mirror_t *mirror, mirror_key_t *key)
{
  table_remove (mirror->keys, &key->node);
  talloc_free (key);
}

static uint64_t
entry_hash (const store_entry_t *entry)
{
  return entry->value == NULL ? 0
                              : XXH3_64bits (entry->value, entry->value_size);
}

/* Record the revision of ENTRY; KEY is NULL for a new key.  */
static void
mirror_store_key (store_mirror_t *mirror, mirror_key_t *key,
                  const store_entry_t *entry)
{
  if (key == NULL)
    {
      key = talloc_zero (mirror, mirror_key_t);
      if (key == NULL)
        return;
      key->name = talloc_strdup (key, entry->key);
      table_insert (mirror->keys, &key->node, key->name, strlen (key->name));
    }
  key->mod_revision = entry->mod_revision;
  key->value_hash = entry_hash (entry);
  key->is_seen = true;
}

/* Return whether ENTRY changes nothing in KEY: it is known, or older than what
   is known.  Revisions of different generations of the store can't be
   compared; their values can.  */
static bool
mirror_key_is_current (const mirror_key_t *key, const store_entry_t *entry)
{
  if (key->mod_revision != 0)
    return key->mod_revision >= entry->mod_revision;
  return entry->value != NULL && entry_hash (entry) == key->value_hash;
}

/* Record and report ENTRY unless this or a newer state of its key is
   known.  */
static void
mirror_apply_entry (store_mirror_t *mirror, const store_entry_t *entry)
{
  mirror_key_t *key = mirror_find (mirror, entry->key);

  if (key != NULL && mirror_key_is_current (key, entry))
    {
      key->is_seen = true;
      if (key->mod_revision == 0)
        key->mod_revision = entry->mod_revision;
      return;
    }
  if (entry->value != NULL)
    mirror_store_key (mirror, key, entry);
  else if (key != NULL)
    mirror_remove_key (mirror, key);
  else
    return;
  mirror->ops->on_change (entry, mirror->data);
}

/* Report the keys that the full read did not find as deleted.  */
static void
mirror_remove_unseen_keys (store_mirror_t *mirror)
{
  table_node_t *node = table_next (mirror->keys, NULL);

  while (node != NULL)
    {
      mirror_key_t *key = CONTAINER_OF (node, mirror_key_t, node);

      node = table_next (mirror->keys, node);
      if (!key->is_seen)
        {
          store_entry_t gone
              = { .key = key->name, .mod_revision = mirror->read_revision };

          mirror->ops->on_change (&gone, mirror->data);
          mirror_remove_key (mirror, key);
        }
    }
}

/* The pages of a full read are not one snapshot.  Polling therefore starts
   from the revision of the first page, so that changes made during the read
   are reported too.  */
static void
mirror_finish_read (store_mirror_t *mirror)
{
  mirror_remove_unseen_keys (mirror);
  TALLOC_FREE (mirror->read_after);
  log_event (LOG_LEVEL_NOTICE, "store-read-whole",
             "prefix=\"%s\" from_revision=%lld to_revision=%lld",
             mirror->options.prefix, (long long)mirror->revision,
             (long long)mirror->read_revision);
  mirror->revision = mirror->read_revision;
  mirror->needs_full_read = false;
  mirror->is_synced = true;
  if (mirror->ops->on_synced != NULL)
    mirror->ops->on_synced (mirror->data);
}

static void
mirror_start_read (store_mirror_t *mirror)
{
  table_node_t *node;

  counter_add (&full_reads, 1);
  TABLE_FOREACH (node, mirror->keys)
    CONTAINER_OF (node, mirror_key_t, node)->is_seen = false;
}

static void
mirror_on_page (status_t status, const store_result_t *result, void *data)
{
  store_mirror_t *mirror = data;
  const store_response_t *response;
  const store_entry_t *entry;

  if (!mirror_end_call (mirror))
    return;
  if (status != STATUS_OK)
    {
      mirror_handle_failure (mirror, status);
      return;
    }
  mirror_handle_response (mirror);
  response = STAILQ_FIRST (&result->responses);
  if (mirror->read_after == NULL)
    mirror->read_revision = result->revision;
  STAILQ_FOREACH (entry, &response->entries, link)
    {
      mirror_apply_entry (mirror, entry);
      if (response->has_more && STAILQ_NEXT (entry, link) == NULL)
        {
          talloc_free (mirror->read_after);
          mirror->read_after = talloc_strdup (mirror, entry->key);
        }
    }
  if (!response->has_more || STAILQ_EMPTY (&response->entries))
    mirror_finish_read (mirror);
  mirror_send_request (mirror);
}

/* Read all keys, since the changes cannot be had, for the reason STATUS.  */
static void
mirror_replace_poll (store_mirror_t *mirror, status_t status)
{
  log_event (LOG_LEVEL_NOTICE, "store-poll-replaced",
             "prefix=\"%s\" after=%lld status=%s error=\"%s\"",
             mirror->options.prefix, (long long)mirror->revision,
             status_name (status), status_message ());
  mirror_handle_response (mirror);
  mirror->needs_full_read = true;
  mirror_send_request (mirror);
}

/* Handle the response to a poll.  */
static void
mirror_on_changes (status_t status, const store_changes_t *changes, void *data)
{
  store_mirror_t *mirror = data;
  const store_entry_t *entry;

  if (!mirror_end_call (mirror))
    return;
  if (status == STATUS_NOT_FOUND || status == STATUS_TOO_LARGE)
    {
      mirror_replace_poll (mirror, status);
      return;
    }
  if (status != STATUS_OK)
    {
      mirror_handle_failure (mirror, status);
      return;
    }
  mirror_handle_response (mirror);
  STAILQ_FOREACH (entry, &changes->entries, link)
    mirror_apply_entry (mirror, entry);
  if (changes->revision > mirror->revision)
    mirror->revision = changes->revision;
  mirror_schedule_request (
      mirror, timespec_subtract (timespec_add (mirror->last_request_at,
                                               mirror->options.poll_interval),
                                 mirror_now (mirror)));
}

static status_t
mirror_read_page (store_mirror_t *mirror)
{
  store_txn_t *txn = store_txn_create (mirror);
  store_op_t *op;
  status_t status;

  if (mirror->read_after == NULL)
    mirror_start_read (mirror);
  op = store_txn_then (txn, STORE_GET_PREFIX, mirror->options.prefix, NULL);
  op->after = mirror->read_after;
  status = mirror->options.store_ops->transact (mirror->options.store, txn,
                                                mirror_on_page, mirror);
  store_txn_destroy (txn);
  return status;
}

/* Poll for changes.  After a failure the store answers at once, so that it is
   known soon whether it was restored.  */
static status_t
mirror_poll (store_mirror_t *mirror)
{
  const store_mirror_options_t *options = &mirror->options;
  struct timespec wait = mirror->is_reachable
                             ? options->poll_interval
                             : timespec_from_ms (FIRST_POLL_WAIT_MS);

  return options->store_ops->poll (options->store, options->prefix,
                                   mirror->revision, wait, mirror_on_changes,
                                   mirror);
}

/* Read the next page, or poll for changes.  After a failure a full read goes
   on with the page that has failed: what has changed meanwhile is polled for
   when it is complete.  */
static void
mirror_send_request (store_mirror_t *mirror)
{
  status_t status;

  mirror->last_request_at = mirror_now (mirror);
  mirror->is_call_pending = true;
  if (mirror->needs_full_read)
    status = mirror_read_page (mirror);
  else
    status = mirror_poll (mirror);
  if (status == STATUS_OK)
    return;
  mirror->is_call_pending = false;
  mirror_handle_failure (mirror, status);
}

/* The store was restored from a copy.  What is known stays until all keys have
   been read; then their values tell what has changed.  */
static void
mirror_handle_restored (void *data)
{
  store_mirror_t *mirror = data;
  table_node_t *node;

  TABLE_FOREACH (node, mirror->keys)
    CONTAINER_OF (node, mirror_key_t, node)->mod_revision = 0;
  TALLOC_FREE (mirror->read_after);
  mirror->needs_full_read = true;
  mirror->is_call_outdated = mirror->is_call_pending;
  if (!mirror->is_call_pending)
    mirror_schedule_request (mirror, timespec_from_ms (0));
}

/* Start to follow the keys under the prefix of OPTIONS.  OPS is called for all
   existing keys first, and then for each change.  Returns NULL when memory is
   exhausted.  */
store_mirror_t *
store_mirror_create (TALLOC_CTX *parent, worker_t *worker,
                     const store_mirror_options_t *options,
                     const store_mirror_ops_t *ops, void *data)
{
  store_mirror_t *mirror = talloc_zero (parent, store_mirror_t);

  if (mirror == NULL)
    return NULL;
  mirror->worker = worker;
  mirror->options = *options;
  mirror->options.prefix = talloc_strdup (mirror, options->prefix);
  mirror->ops = ops;
  mirror->data = data;
  mirror->keys = table_create (mirror, LOCK_MIRROR, "mirror");
  mirror->needs_full_read = true;
  mirror->retry_ms = RETRY_MIN_DELAY_MS;
  mirror->last_response_at = mirror_now (mirror);
  mirror->listener = (store_listener_t){
    .on_restored = mirror_handle_restored,
    .data = mirror,
  };
  store_listen (options->store_ops, options->store, &mirror->listener);
  mirror_schedule_request (mirror, timespec_from_ms (0));
  return mirror;
}

/* Stop reporting changes, and free MIRROR once no call to the store is
   pending.  Must not be called from within the functions of
   store_mirror_ops_t.  */
void
store_mirror_destroy (store_mirror_t *mirror)
{
  store_unlisten (mirror->options.store_ops, &mirror->listener);
  mirror->is_destroyed = true;
  TALLOC_FREE (mirror->timer);
  if (!mirror->is_call_pending)
    talloc_free (mirror);
}

/* Poll now instead of after the poll interval, because another source of
   information has shown that the keys are out of date.  The poll starts at
   least POLL_MIN_GAP_MS after the previous request.  */
void
store_mirror_poll_now (store_mirror_t *mirror)
{
  int64_t since_ms = timespec_to_ms (
      timespec_subtract (mirror_now (mirror), mirror->last_request_at));

  if (mirror->is_call_pending || !mirror->is_reachable)
    return;
  mirror_schedule_request (mirror,
                           timespec_from_ms (POLL_MIN_GAP_MS - since_ms));
}

/* Return whether all keys were reported at least once.  */
bool
store_mirror_is_synced (const store_mirror_t *mirror)
{
  return mirror->is_synced;
}
