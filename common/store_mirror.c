#include "common/store_mirror.h"

#include "kernel/counter.h"
#include "kernel/table.h"

#include <string.h>

enum
{
  RETRY_FIRST_MS = 200,
  RETRY_MOST_MS = 1000,
  HURRY_GAP_MS = 150 /* between polls in a hurry */
};

COUNTER_DEFINE (full_reads, "siskin_mirror_full_reads_total",
                "Reads of all keys of the store that are followed");

/* A key that exists, as far as is known.  */
typedef struct mirror_key
{
  table_node_t node;
  char *name;
  int64_t mod_revision;
  bool is_seen; /* in the full read under way */
} mirror_key_t;

struct store_mirror
{
  worker_t *worker;
  store_mirror_options_t options;
  const store_mirror_ops_t *ops;
  void *data;
  table_t *keys;
  int64_t revision;      /* changes up to it are known */
  int64_t read_revision; /* of the first page of the full read under way */
  char *read_after;      /* last key of the page before, or NULL */
  bool is_synced;
  bool is_in_touch;
  bool needs_read;
  bool is_asking;  /* a call is under way */
  bool is_retired; /* to be freed when it ends */
  int64_t retry_ms;
  struct timespec answered_at;
  struct timespec asked_at;
  worker_timer_t *timer;
};

static void mirror_ask (store_mirror_t *mirror);

/* A call has ended.  Returns whether the mirror lives on.  */
static bool
mirror_end_call (store_mirror_t *mirror)
{
  mirror->is_asking = false;
  if (!mirror->is_retired)
    return true;
  talloc_free (mirror);
  return false;
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
  mirror_ask (mirror);
}

static void
mirror_ask_in (store_mirror_t *mirror, struct timespec delay)
{
  static const struct timespec at_once = { 0, 0 };

  if (timespec_compare (delay, at_once) < 0)
    delay = at_once;
  TALLOC_FREE (mirror->timer);
  mirror->timer = worker_timer_start (mirror->worker, mirror, delay,
                                      mirror_handle_timer, mirror);
}

static void
mirror_fail (store_mirror_t *mirror, const char *reason)
{
  bool was_in_touch = mirror->is_in_touch;

  mirror->is_in_touch = false;
  mirror_ask_in (mirror, timespec_from_ms (mirror->retry_ms));
  mirror->retry_ms *= 2;
  if (mirror->retry_ms > RETRY_MOST_MS)
    mirror->retry_ms = RETRY_MOST_MS;
  if (was_in_touch && mirror->ops->on_lost != NULL)
    mirror->ops->on_lost (reason, mirror->data);
}

static void
mirror_note_answer (store_mirror_t *mirror)
{
  struct timespec now = mirror_now (mirror);
  struct timespec silence = timespec_subtract (now, mirror->answered_at);

  mirror->answered_at = now;
  mirror->retry_ms = RETRY_FIRST_MS;
  if (mirror->is_in_touch)
    return;
  mirror->is_in_touch = true;
  if (mirror->ops->on_regained != NULL)
    mirror->ops->on_regained (silence, mirror->data);
}

static mirror_key_t *
mirror_find (const store_mirror_t *mirror, const char *name)
{
  table_node_t *node = table_find (mirror->keys, name, strlen (name));

  return node == NULL ? NULL : CONTAINER_OF (node, mirror_key_t, node);
}

static void
mirror_forget (store_mirror_t *mirror, mirror_key_t *key)
{
  table_remove (mirror->keys, &key->node);
  talloc_free (key);
}

static void
mirror_remember (store_mirror_t *mirror, mirror_key_t *key,
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
  key->is_seen = true;
}

/* Take in ENTRY unless something as new is known of its key.  */
static void
mirror_take (store_mirror_t *mirror, const store_entry_t *entry)
{
  mirror_key_t *key = mirror_find (mirror, entry->key);

  if (key != NULL && key->mod_revision >= entry->mod_revision)
    {
      key->is_seen = true;
      return;
    }
  if (entry->value != NULL)
    mirror_remember (mirror, key, entry);
  else if (key != NULL)
    mirror_forget (mirror, key);
  else
    return;
  mirror->ops->on_change (entry, mirror->data);
}

/* Tell of the keys that the full read has not found.  */
static void
mirror_drop_unseen (store_mirror_t *mirror)
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
          mirror_forget (mirror, key);
        }
    }
}

/* The pages of a full read are no snapshot: what changes meanwhile is polled
   for afterwards, from the revision of the first page on.  */
static void
mirror_finish_read (store_mirror_t *mirror)
{
  mirror_drop_unseen (mirror);
  TALLOC_FREE (mirror->read_after);
  mirror->revision = mirror->read_revision;
  mirror->needs_read = false;
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
      TALLOC_FREE (mirror->read_after);
      mirror_fail (mirror, status_message ());
      return;
    }
  mirror_note_answer (mirror);
  response = STAILQ_FIRST (&result->responses);
  if (mirror->read_after == NULL)
    mirror->read_revision = result->revision;
  STAILQ_FOREACH (entry, &response->entries, link)
    {
      mirror_take (mirror, entry);
      if (response->has_more && STAILQ_NEXT (entry, link) == NULL)
        {
          talloc_free (mirror->read_after);
          mirror->read_after = talloc_strdup (mirror, entry->key);
        }
    }
  if (!response->has_more || STAILQ_EMPTY (&response->entries))
    mirror_finish_read (mirror);
  mirror_ask (mirror);
}

static void
mirror_on_changes (status_t status, const store_changes_t *changes, void *data)
{
  store_mirror_t *mirror = data;
  const store_entry_t *entry;

  if (!mirror_end_call (mirror))
    return;
  if (status == STATUS_NOT_FOUND)
    {
      mirror_note_answer (mirror);
      mirror->needs_read = true;
      mirror_ask (mirror);
      return;
    }
  if (status != STATUS_OK)
    {
      mirror_fail (mirror, status_message ());
      return;
    }
  mirror_note_answer (mirror);
  STAILQ_FOREACH (entry, &changes->entries, link)
    mirror_take (mirror, entry);
  if (changes->revision > mirror->revision)
    mirror->revision = changes->revision;
  mirror_ask_in (
      mirror,
      timespec_subtract (timespec_add (mirror->asked_at, mirror->options.pace),
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

static void
mirror_ask (store_mirror_t *mirror)
{
  const store_ops_t *ops = mirror->options.store_ops;
  status_t status;

  mirror->asked_at = mirror_now (mirror);
  mirror->is_asking = true;
  if (mirror->needs_read)
    status = mirror_read_page (mirror);
  else
    status = ops->poll (mirror->options.store, mirror->options.prefix,
                        mirror->revision, mirror->options.pace,
                        mirror_on_changes, mirror);
  if (status == STATUS_OK)
    return;
  mirror->is_asking = false;
  mirror_fail (mirror, status_message ());
}

/* Follow what OPTIONS say, telling OPS of all keys first.  Returns NULL when
   memory is exhausted.  */
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
  mirror->needs_read = true;
  mirror->retry_ms = RETRY_FIRST_MS;
  mirror->answered_at = mirror_now (mirror);
  mirror_ask_in (mirror, timespec_from_ms (0));
  return mirror;
}

/* Tell nothing more, and free MIRROR once no call is under way.  Not to be
   called from its own operations.  */
void
store_mirror_destroy (store_mirror_t *mirror)
{
  mirror->is_retired = true;
  TALLOC_FREE (mirror->timer);
  if (!mirror->is_asking)
    talloc_free (mirror);
}

/* Ask for changes now instead of at the usual pace: something else has shown
   that what is known is out of date.  */
void
store_mirror_poll_now (store_mirror_t *mirror)
{
  int64_t since_ms = timespec_to_ms (
      timespec_subtract (mirror_now (mirror), mirror->asked_at));

  if (mirror->is_asking || !mirror->is_in_touch)
    return;
  mirror_ask_in (mirror, timespec_from_ms (HURRY_GAP_MS - since_ms));
}

/* Return whether all keys have been told once.  */
bool
store_mirror_is_synced (const store_mirror_t *mirror)
{
  return mirror->is_synced;
}
