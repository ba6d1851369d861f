#include "common/settings_source.h"

#include "common/settings_peers.h"
#include "common/settings_watchers.h"
#include "kernel/counter.h"
#include "kernel/log.h"

#include <string.h>

enum
{
  WATCHER_INTERVAL_MS = 1000,  /* between reads by a store watcher */
  MAX_CONFIRMED_AGE_MS = 3000, /* after this without a confirmation,
                                  processes that are not store watchers
                                  read the store too */
  INITIAL_RETRY_MS = 200,
  MAX_RETRY_MS = 4000,
  JITTER_MS = 1000 /* random delay that spreads the reads of the processes */
};

COUNTER_DEFINE (store_behind, "siskin_settings_store_behind_total",
                "Reads that found the store's settings older than, or others "
                "than, the ones in force");
GAUGE_DEFINE (is_watcher_gauge, "siskin_settings_watcher",
              "1 while this process watches the store for the others");

struct settings_source
{
  worker_t *worker;
  node_t *node;
  const store_ops_t *store_ops;
  store_t *store;
  settings_peers_t *peers; /* NULL when CONFIG lists none */
  store_watch_t *watch;
  worker_timer_t *timer;
  bool is_reading;
  bool has_pending_change; /* the store has changed since the read began */
  struct timespec read_at;
  int64_t retry_ms; /* 0 after a successful read */
  uint64_t random;
};

static void source_schedule (settings_source_t *source);

/* Return a random number of milliseconds below LIMIT_MS.  */
static int64_t
source_jitter (settings_source_t *source, int64_t limit_ms)
{
  source->random ^= source->random << 13;
  source->random ^= source->random >> 7;
  source->random ^= source->random << 17;
  return (int64_t)(source->random % (uint64_t)limit_ms);
}

static bool
source_is_watcher (const settings_source_t *source)
{
  settings_t *settings = node_settings (source->node);
  bool is_watcher;

  if (settings == NULL)
    return false;
  is_watcher = settings_is_store_watcher (settings, node_name (source->node));
  settings_release (settings);
  return is_watcher;
}

/* Report that the store was reset to an older state, which must not revert the
   current settings.  Operators must be alerted, since their next change would
   be based on the older state.  */
static void
source_report_store_behind (const settings_t *current,
                            const settings_parts_t *stored)
{
  counter_add (&store_behind, 1);
  log_event (LOG_LEVEL_ERROR, "settings-store-behind",
             "revision=%llu change=%s store_revision=%llu store_change=%s",
             (unsigned long long)current->revision, current->change_id,
             stored == NULL ? 0ULL : (unsigned long long)stored->revision,
             stored == NULL ? "none" : stored->change_id);
}

/* Return the time since the last read of the store began.  */
static uint64_t
source_read_age_ms (const settings_source_t *source)
{
  struct timespec now = clock_monotonic (node_clock (source->node));

  return (uint64_t)timespec_to_ms (timespec_subtract (now, source->read_at));
}

static void
source_log_invalid (void)
{
  log_event (LOG_LEVEL_ERROR, "settings-refused", "error=\"%s\"",
             status_message ());
}

/* Return whether STORED, the settings in the store, are older than CURRENT or
   another change with the same revision.  STORED is NULL when the store has
   none.  */
static bool
source_is_store_behind (const settings_t *current,
                        const settings_parts_t *stored)
{
  if (current == NULL)
    return false;
  return stored == NULL || stored->revision < current->revision
         || (stored->revision == current->revision
             && strcmp (stored->change_id, current->change_id) != 0);
}

static void
source_adopt (settings_source_t *source, const store_entry_t *entry,
              uint64_t revision)
{
  if (node_adopt_settings (source->node, entry->value, strlen (entry->value))
      != STATUS_OK)
    source_log_invalid ();
  else
    node_confirm_settings (source->node, revision,
                           source_read_age_ms (source));
}

/* Handle ENTRY, the settings in the store, or NULL when it has none.  */
static void
source_handle_entry (settings_source_t *source, const store_entry_t *entry)
{
  settings_t *current = node_settings (source->node);
  TALLOC_CTX *scratch = talloc_new (NULL);
  settings_parts_t *stored
      = entry == NULL ? NULL
                      : settings_parts_parse (scratch, entry->value,
                                              strlen (entry->value));

  if (entry != NULL && stored == NULL)
    source_log_invalid ();
  else if (source_is_store_behind (current, stored))
    source_report_store_behind (current, stored);
  else if (stored != NULL)
    source_adopt (source, entry, stored->revision);
  talloc_free (scratch);
  if (current != NULL)
    settings_release (current);
}

static void source_read (settings_source_t *source);

static void
watch_on_change (const store_entry_t *entry, void *data)
{
  settings_source_t *source = data;

  (void)entry;
  if (source->is_reading)
    source->has_pending_change = true;
  else
    source_read (source);
}

static void
watch_on_progress (void *data)
{
  (void)data;
}

static void
watch_on_broken (status_t status, void *data)
{
  settings_source_t *source = data;

  log_event (LOG_LEVEL_WARN, "settings-watch-failed", "status=%s",
             status_name (status));
  source->watch = NULL;
}

static const store_watch_ops_t watch_ops = {
  .on_change = watch_on_change,
  .on_progress = watch_on_progress,
  .on_broken = watch_on_broken,
};

/* Start the watch after STORE_REVISION, which the last read returned, if this
   process is a watcher.  Stop the watch if it no longer is one.  */
static void
source_update_watch (settings_source_t *source, int64_t store_revision)
{
  bool is_watcher = source_is_watcher (source);

  counter_set (&is_watcher_gauge, is_watcher);
  if (is_watcher && source->watch == NULL)
    source->watch
        = source->store_ops->watch (source->store, STORE_KEY_REVISION,
                                    store_revision + 1, &watch_ops, source);
  else if (!is_watcher && source->watch != NULL)
    {
      source->store_ops->unwatch (source->watch);
      source->watch = NULL;
    }
}

static void
source_handle_response (settings_source_t *source,
                        const store_result_t *result)
{
  settings_t *settings;

  source->retry_ms = 0;
  if (result->succeeded)
    {
      settings = node_settings (source->node);
      if (settings != NULL)
        {
          node_confirm_settings (source->node, settings->revision,
                                 source_read_age_ms (source));
          settings_release (settings);
        }
    }
  else
    source_handle_entry (source, store_result_entry (result, 0));
  if (source->peers != NULL && node_settings_revision (source->node) > 0)
    settings_peers_finish (source->peers);
  source_update_watch (source, result->revision);
}

static void
source_handle_read (status_t status, const store_result_t *result, void *data)
{
  settings_source_t *source = data;

  source->is_reading = false;
  if (status == STATUS_OK)
    source_handle_response (source, result);
  else if (source->retry_ms == 0)
    source->retry_ms = INITIAL_RETRY_MS;
  else if (source->retry_ms < MAX_RETRY_MS / 2)
    source->retry_ms *= 2;
  else
    source->retry_ms = MAX_RETRY_MS;
  if (status == STATUS_OK && source->has_pending_change)
    source_read (source);
  else
    source_schedule (source);
}

/* Ask the store whether the current settings are the newest.  The response
   contains the settings document only if they are not.  */
static void
source_read (settings_source_t *source)
{
  store_txn_t *txn = store_txn_create (source);
  settings_t *settings = node_settings (source->node);

  TALLOC_FREE (source->timer);
  source->has_pending_change = false;
  source->read_at = clock_monotonic (node_clock (source->node));
  if (settings == NULL)
    {
      /* This comparison always fails, so the document is returned.  */
      store_txn_if_value (txn, STORE_KEY_REVISION, "");
    }
  else
    {
      store_txn_if_value (txn, STORE_KEY_REVISION,
                          settings_revision_key_value (txn, settings->revision,
                                                       settings->change_id));
      settings_release (settings);
    }
  store_txn_else (txn, STORE_GET, STORE_KEY_SETTINGS, NULL);
  source->is_reading = true;
  if (source->store_ops->transact (source->store, txn, source_handle_read,
                                   source)
      != STATUS_OK)
    source_handle_read (STATUS_UNAVAILABLE, NULL, source);
  store_txn_destroy (txn);
}

static void
source_handle_timer (worker_t *worker, void *data)
{
  settings_source_t *source = data;

  (void)worker;
  source->timer = NULL;
  if (source_is_watcher (source)
      || node_confirmed_age_ms (source->node) >= MAX_CONFIRMED_AGE_MS)
    source_read (source);
  else
    source_schedule (source);
}

/* Return the delay before the next read of the store.  Frames from peers may
   confirm the settings before it has passed.  */
static int64_t
source_read_delay_ms (settings_source_t *source)
{
  uint64_t age = node_confirmed_age_ms (source->node);
  int64_t delay = 0;

  if (source->retry_ms > 0)
    return source->retry_ms / 2 + source_jitter (source, source->retry_ms);
  if (source_is_watcher (source))
    return WATCHER_INTERVAL_MS;
  if (age < MAX_CONFIRMED_AGE_MS)
    delay = MAX_CONFIRMED_AGE_MS - (int64_t)age;
  return delay + source_jitter (source, JITTER_MS);
}

static void
source_schedule (settings_source_t *source)
{
  TALLOC_FREE (source->timer);
  source->timer = worker_timer_start (
      source->worker, source, timespec_from_ms (source_read_delay_ms (source)),
      source_handle_timer, source);
}

static void
source_handle_start (worker_t *worker, void *data)
{
  settings_source_t *source = data;

  (void)worker;
  source->timer = NULL;
  source_read (source);
}

/* Start updating NODE's settings on WORKER's event loop: from the store and,
   at startup while the store does not respond, from the peers in CONFIG.
   Frames from any peer can update them too.  */
settings_source_t *
settings_source_create (worker_t *worker, node_t *node, const config_t *config,
                        const store_ops_t *store_ops, store_t *store)
{
  settings_source_t *source
      = talloc_zero (worker_events (worker), settings_source_t);

  if (source == NULL)
    return NULL;
  source->worker = worker;
  source->node = node;
  source->store_ops = store_ops;
  source->store = store;
  source->random = node_incarnation (node);
  source->peers = settings_peers_create (worker, node, config);
  source->timer = worker_timer_start (worker, source, timespec_from_ms (0),
                                      source_handle_start, source);
  return source;
}

/* Stop and free SOURCE.  */
void
settings_source_destroy (settings_source_t *source)
{
  if (source->watch != NULL)
    source->store_ops->unwatch (source->watch);
  talloc_free (source);
}
