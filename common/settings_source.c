#include "common/settings_source.h"

#include "kernel/log.h"

#include <string.h>

enum
{
  POLL_INTERVAL_MS = 1000
};

struct settings_source
{
  worker_t *worker;
  node_t *node;
  const store_ops_t *store_ops;
  store_t *store;
  struct timespec asked_at;
  worker_timer_t *timer;
};

static void source_arm (settings_source_t *source, int64_t delay_ms);

/* The read shows what was in the store at some time since it was asked for. */
static void
source_confirm (settings_source_t *source, const store_entry_t *entry)
{
  struct timespec age = timespec_subtract (
      clock_monotonic (worker_clock (source->worker)), source->asked_at);
  settings_t *settings = node_settings (source->node);

  if (settings == NULL)
    return;
  if (settings->document_size == strlen (entry->value)
      && memcmp (settings->document, entry->value, settings->document_size)
             == 0)
    node_confirm (source->node, settings->revision,
                  (uint64_t)timespec_to_ms (age));
  settings_release (settings);
}

static void
source_handle_read (status_t status, const store_result_t *result, void *data)
{
  settings_source_t *source = data;
  const store_entry_t *entry;

  entry = status == STATUS_OK ? store_result_entry (result, 0) : NULL;
  if (entry != NULL)
    {
      if (node_adopt (source->node, entry->value, strlen (entry->value))
          != STATUS_OK)
        log_event (LOG_LEVEL_ERROR, "settings-refused", "error=\"%s\"",
                   status_message ());
      source_confirm (source, entry);
    }
  source_arm (source, POLL_INTERVAL_MS);
}

static void
source_handle_timer (worker_t *worker, void *data)
{
  settings_source_t *source = data;
  store_txn_t *txn = store_txn_create (source);

  source->timer = NULL;
  source->asked_at = clock_monotonic (worker_clock (worker));
  store_txn_then (txn, STORE_GET, STORE_KEY_SETTINGS, NULL);
  if (source->store_ops->transact (source->store, txn, source_handle_read,
                                   source)
      != STATUS_OK)
    source_arm (source, POLL_INTERVAL_MS);
  store_txn_destroy (txn);
}

static void
source_arm (settings_source_t *source, int64_t delay_ms)
{
  source->timer = worker_timer_start (source->worker, source,
                                      timespec_from_ms (delay_ms),
                                      source_handle_timer, source);
}

/* Start keeping NODE's settings up to date on WORKER's loop.  */
settings_source_t *
settings_source_create (worker_t *worker, node_t *node,
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
  source_arm (source, 0);
  return source;
}

/* Stop and free SOURCE.  */
void
settings_source_destroy (settings_source_t *source)
{
  talloc_free (source);
}
