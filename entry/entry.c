#include "entry/entry.h"

#include "common/settings_source.h"
#include "entry/agent_link.h"
#include "entry/call.h"
#include "entry/program.h"
#include "kernel/log.h"
#include "kernel/plugin.h"

#include <string.h>
#include <xxhash.h>

enum
{
  TICK_INTERVAL_MS = 100,
  STOP_POLL_INTERVAL_MS = 50,
  /* Time in which callers are asked to close their connections.  */
  STOP_NOTICE_DELAY_MS = 300
};

/* Configure the router with SETTINGS unless it has them already.  */
static void
entry_apply_settings (entry_t *entry, const settings_t *settings)
{
  if (settings->revision == atomic_load (&entry->configured_revision))
    return;
  if (router_configure (entry->router, settings) != STATUS_OK)
    log_event (LOG_LEVEL_ERROR, "router-not-configured", "error=\"%s\"",
               status_message ());
  atomic_store (&entry->configured_revision, settings->revision);
}

static void entry_start_tick_timer (entry_worker_t *entry_worker);

/* Update this worker's links after worker 0 has given the router newer
   settings.  */
static void
entry_sync_links (entry_worker_t *entry_worker)
{
  uint64_t revision = atomic_load (&entry_worker->entry->configured_revision);

  if (entry_worker->links_revision == revision)
    return;
  agent_link_sync_targets (entry_worker);
  entry_worker->links_revision = revision;
  call_wake_waiting (entry_worker);
}

/* Apply the current settings: worker 0 configures the router, and each worker
   updates its links.  */
static void
entry_sync_settings (entry_worker_t *entry_worker)
{
  settings_t *settings = NULL;

  if (worker_index (entry_worker->worker) == 0)
    settings = node_settings (entry_worker->entry->node);
  if (settings != NULL)
    {
      entry_apply_settings (entry_worker->entry, settings);
      settings_release (settings);
    }
  entry_sync_links (entry_worker);
}

static void
entry_tick (worker_t *worker, void *data)
{
  entry_worker_t *entry_worker = data;

  if (worker_index (worker) == 0)
    node_detect_pause (entry_worker->entry->node);
  entry_sync_settings (entry_worker);
  entry_start_tick_timer (entry_worker);
}

/* New settings were received: apply them and announce their revision to the
   agents at once.  */
static void
entry_handle_settings (worker_t *worker, void *data)
{
  entry_worker_t *entry_worker = data;

  (void)worker;
  entry_sync_settings (entry_worker);
  agent_link_ping_all (entry_worker);
}

static void
entry_start_tick_timer (entry_worker_t *entry_worker)
{
  entry_worker->timer = worker_timer_start (
      entry_worker->worker, worker_events (entry_worker->worker),
      timespec_from_ms (TICK_INTERVAL_MS), entry_tick, entry_worker);
}

/* Create the front end and timers of each worker, and on worker 0 the store
   client, which receives the settings.  */
static status_t
entry_set_up (entry_t *entry)
{
  const config_t *config = daemon_config (entry->daemon);
  store_options_t store_options = { .urls = config_store_urls (config),
                                    .timeout = config->store_timeout };
  uint16_t port = 0;

  entry->store_ops = plugin_ops (PLUGIN_STORE, "etcd");
  entry->frontend_ops = plugin_ops (PLUGIN_FRONTEND, "http");
  if (entry->store_ops == NULL || entry->frontend_ops == NULL)
    return STATUS_NOT_FOUND;
  for (unsigned i = 0; i < entry->worker_count; i++)
    {
      entry_worker_t *entry_worker = &entry->workers[i];

      entry_worker->entry = entry;
      entry_worker->worker = pool_worker (daemon_pool (entry->daemon), i);
      LIST_INIT (&entry_worker->links);
      TAILQ_INIT (&entry_worker->waiting);
      entry_worker->frontend
          = entry->frontend_ops->create (entry_worker, config->listen, &port);
      if (entry_worker->frontend == NULL)
        return STATUS_IO;
      entry_start_tick_timer (entry_worker);
      entry_worker->subscription.worker = entry_worker->worker;
      entry_worker->subscription.handler = entry_handle_settings;
      entry_worker->subscription.data = entry_worker;
      node_subscribe (entry->node, &entry_worker->subscription);
    }
  log_event (LOG_LEVEL_NOTICE, "http-listening", "port=%u", port);
  entry->workers[0].store
      = entry->store_ops->create (entry->workers[0].worker, &store_options);
  if (entry->workers[0].store == NULL)
    return STATUS_INVALID;
  settings_source_create (entry->workers[0].worker, entry->node, config,
                          entry->store_ops, entry->workers[0].store);
  return STATUS_OK;
}

static status_t
entry_start (daemon_t *daemon, void **state)
{
  entry_t *entry = talloc_zero (NULL, entry_t);

  if (entry == NULL)
    return STATUS_NO_MEMORY;
  *state = entry;
  entry->daemon = daemon;
  entry->node = daemon_node (daemon);
  entry->worker_count = pool_worker_count (daemon_pool (daemon));
  entry->workers
      = talloc_zero_array (entry, entry_worker_t, entry->worker_count);
  entry->calls = table_create (entry, LOCK_REQUESTS, "calls");
  entry->router = router_create (
      entry, node_zone (entry->node), node_clock (entry->node),
      XXH3_64bits (node_name (entry->node), strlen (node_name (entry->node))),
      entry->worker_count);
  return entry_set_up (entry);
}

/* Finish the graceful shutdown once the last worker has no open request.  */
static void
entry_check_stopped (worker_t *worker, void *data)
{
  entry_worker_t *entry_worker = data;
  entry_t *entry = entry_worker->entry;

  if (entry_worker->open_calls == 0
      && entry->frontend_ops->open_count (entry_worker->frontend) == 0)
    {
      if (atomic_fetch_sub (&entry->busy_workers, 1) == 1)
        daemon_finish (entry->daemon);
      return;
    }
  worker_timer_start (worker, worker_events (worker),
                      timespec_from_ms (STOP_POLL_INTERVAL_MS),
                      entry_check_stopped, entry_worker);
}

static void
entry_run_stop (task_t *task, worker_t *worker)
{
  entry_worker_t *entry_worker
      = CONTAINER_OF (task, entry_worker_t, stop_task);

  entry_worker->entry->frontend_ops->stop_listening (entry_worker->frontend);
  worker_timer_start (worker, worker_events (worker),
                      timespec_from_ms (STOP_NOTICE_DELAY_MS),
                      entry_check_stopped, entry_worker);
}

/* Start a graceful shutdown: accept no new connections and finish the open
   requests.  */
static void
entry_stop (void *state)
{
  entry_t *entry = state;

  atomic_store (&entry->is_stopping, true);
  atomic_store (&entry->busy_workers, entry->worker_count);
  for (unsigned i = 0; i < entry->worker_count; i++)
    {
      entry->workers[i].stop_task.run = entry_run_stop;
      worker_post (entry->workers[i].worker, &entry->workers[i].stop_task);
    }
}

static void
entry_destroy (void *state)
{
  entry_t *entry = state;

  for (unsigned i = 0; i < entry->worker_count; i++)
    {
      if (entry->workers[i].frontend != NULL)
        entry->frontend_ops->destroy (entry->workers[i].frontend);
      if (entry->workers[i].worker != NULL)
        agent_link_close_all (&entry->workers[i]);
    }
  talloc_free (entry);
}

const daemon_program_t entry_program = {
  .name = "siskin-entry",
  .summary = "Takes callers' requests over HTTP and chooses upstreams",
  .role = NODE_ENTRY,
  .start = entry_start,
  .stop = entry_stop,
  .destroy = entry_destroy,
};
