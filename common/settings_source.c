#include "common/settings_source.h"

#include "common/settings_peers.h"
#include "common/settings_watchers.h"
#include "kernel/counter.h"
#include "kernel/log.h"

#include <string.h>

enum
{
  WATCHER_INTERVAL_MS = 1000, /* between a watcher's checks */
  MAX_AGE_MS = 3000,          /* of the confirmation, of all others */
  RETRY_FIRST_MS = 200,
  RETRY_MAX_MS = 4000,
  JITTER_MS = 1000
};

COUNTER_DEFINE (store_behind, "siskin_settings_store_behind_total",
                "Reads that found the store's settings older than, or others "
                "than, the ones in force");
GAUGE_DEFINE (watching, "siskin_settings_watcher",
              "1 while this process watches the store for the others");

struct settings_source
{
  worker_t *worker;
  node_t *node;
  const store_ops_t *store_ops;
  store_t *store;
  settings_peers_t *peers; /* NULL when there are none to ask */
  store_watch_t *watch;
  worker_timer_t *timer;
  bool is_reading;
  bool is_stale; /* a change came in while reading */
  struct timespec read_at;
  int64_t retry_ms; /* 0 after a read that was answered */
  uint64_t random;
};

static void source_plan (settings_source_t *source);

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

/* A store that was put back to an older state must not take the settings back
   with it; people have to see it, since what they write now builds on it.  */
static void
source_report_behind (const settings_t *ours, const settings_parts_t *theirs)
{
  counter_add (&store_behind, 1);
  log_event (LOG_LEVEL_ERROR, "settings-store-behind",
             "revision=%llu change=%s store_revision=%llu store_change=%s",
             (unsigned long long)ours->revision, ours->change_id,
             theirs == NULL ? 0ULL : (unsigned long long)theirs->revision,
             theirs == NULL ? "none" : theirs->change_id);
}

static uint64_t
source_read_age_ms (const settings_source_t *source)
{
  struct timespec now = clock_monotonic (node_clock (source->node));

  return (uint64_t)timespec_to_ms (timespec_subtract (now, source->read_at));
}

static void
source_refuse (void)
{
  log_event (LOG_LEVEL_ERROR, "settings-refused", "error=\"%s\"",
             status_message ());
}

static bool
source_is_behind (const settings_t *ours, const settings_parts_t *theirs)
{
  if (ours == NULL)
    return false;
  return theirs == NULL || theirs->revision < ours->revision
         || (theirs->revision == ours->revision
             && strcmp (theirs->change_id, ours->change_id) != 0);
}

static void
source_adopt (settings_source_t *source, const store_entry_t *entry,
              uint64_t revision)
{
  if (node_adopt_settings (source->node, entry->value, strlen (entry->value))
      != STATUS_OK)
    source_refuse ();
  else
    node_confirm_settings (source->node, revision,
                           source_read_age_ms (source));
}

/* The store holds ENTRY, or no settings at all.  */
static void
source_take_entry (settings_source_t *source, const store_entry_t *entry)
{
  settings_t *ours = node_settings (source->node);
  TALLOC_CTX *scratch = talloc_new (NULL);
  settings_parts_t *theirs
      = entry == NULL ? NULL
                      : settings_parts_parse (scratch, entry->value,
                                              strlen (entry->value));

  if (entry != NULL && theirs == NULL)
    source_refuse ();
  else if (source_is_behind (ours, theirs))
    source_report_behind (ours, theirs);
  else if (theirs != NULL)
    source_adopt (source, entry, theirs->revision);
  talloc_free (scratch);
  if (ours != NULL)
    settings_release (ours);
}

static void source_read (settings_source_t *source);

static void
watch_on_change (const store_entry_t *entry, void *data)
{
  settings_source_t *source = data;

  (void)entry;
  if (source->is_reading)
    source->is_stale = true;
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

  log_event (LOG_LEVEL_WARN, "settings-watch-broken", "status=%s",
             status_name (status));
  source->watch = NULL;
}

static const store_watch_ops_t watch_ops = {
  .on_change = watch_on_change,
  .on_progress = watch_on_progress,
  .on_broken = watch_on_broken,
};

/* Watch from the revision of the store that the last read saw.  */
static void
source_update_watch (settings_source_t *source, int64_t store_revision)
{
  bool is_watcher = source_is_watcher (source);

  counter_set (&watching, is_watcher);
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
source_handle_answer (settings_source_t *source, const store_result_t *result)
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
    source_take_entry (source, store_result_entry (result, 0));
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
    source_handle_answer (source, result);
  else if (source->retry_ms == 0)
    source->retry_ms = RETRY_FIRST_MS;
  else if (source->retry_ms < RETRY_MAX_MS)
    source->retry_ms *= 2;
  if (status == STATUS_OK && source->is_stale)
    source_read (source);
  else
    source_plan (source);
}

/* Ask the store whether what is in force here is the newest; only when it is
   not does the answer carry the document.  */
static void
source_read (settings_source_t *source)
{
  store_txn_t *txn = store_txn_create (source);
  settings_t *settings = node_settings (source->node);

  TALLOC_FREE (source->timer);
  source->is_stale = false;
  source->read_at = clock_monotonic (node_clock (source->node));
  if (settings == NULL)
    {
      /* Never holds: fetch the document.  */
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
      || node_confirmed_age_ms (source->node) >= MAX_AGE_MS)
    source_read (source);
  else
    source_plan (source);
}

/* Return how long to wait before the store is asked again.  Peers' frames may
   confirm the settings in the meantime.  */
static int64_t
source_delay_ms (settings_source_t *source)
{
  uint64_t age = node_confirmed_age_ms (source->node);
  int64_t delay = 0;

  if (source->retry_ms > 0)
    return source->retry_ms / 2 + source_jitter (source, source->retry_ms);
  if (source_is_watcher (source))
    return WATCHER_INTERVAL_MS;
  if (age < MAX_AGE_MS)
    delay = MAX_AGE_MS - (int64_t)age;
  return delay + source_jitter (source, JITTER_MS);
}

static void
source_plan (settings_source_t *source)
{
  TALLOC_FREE (source->timer);
  source->timer = worker_timer_start (
      source->worker, source, timespec_from_ms (source_delay_ms (source)),
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

/* Start keeping NODE's settings up to date on WORKER's loop: from the store,
   from the peers that CONFIG names while the store does not answer, and from
   every frame of any peer.  */
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
