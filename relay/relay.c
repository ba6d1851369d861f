#include "relay/relay.h"

#include "common/lease_key.h"
#include "common/roster.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "kernel/plugin.h"
#include "kernel/table.h"
#include "relay/discovery.h"
#include "relay/feed.h"
#include "relay/forward.h"
#include "relay/place_page.h"
#include "relay/program.h"
#include "relay/readiness.h"

#include <string.h>
#include <xxhash.h>

enum
{
  REGISTRATION_LEASE_MS = 9000, /* duration of the lease on the relay's key */
  STOP_POLL_MS = 50,
  /* The platform sends new connections until two readiness probes, one second
     apart, have failed, and a request may be in transit then.  */
  STOP_ACCEPT_MS = 2600,
  /* Time for clients to send a last request on connections that will be
     closed.  */
  STOP_IDLE_CLOSE_MS = 400,
  /* Requests that are still open are answered this long before the end of the
     stop.  */
  STOP_LAST_ANSWER_MS = 400
};

GAUGE_DEFINE (rules_version, "siskin_rules_version",
              "Version of the rules in force");

/* Return a new reference to the current rules, which the caller releases, or
   NULL if there are none yet.  */
rules_t *
relay_rules (relay_t *relay)
{
  rules_t *rules;

  lock_acquire (relay->rules_lock);
  rules = relay->rules == NULL ? NULL : rules_retain (relay->rules);
  lock_release (relay->rules_lock);
  return rules;
}

/* Replace the current rules by RULES if these are newer.  Takes over the
   caller's reference.  Returns whether RULES are the current ones now.  */
bool
relay_adopt_rules (relay_t *relay, rules_t *rules)
{
  rules_t *old;

  lock_acquire (relay->rules_lock);
  old = relay->rules;
  if (old != NULL && old->version >= rules->version)
    old = rules;
  else
    relay->rules = rules;
  lock_release (relay->rules_lock);
  if (old != rules)
    {
      counter_set (&rules_version, (int64_t)rules->version);
      fleet_configure (relay->fleet, rules);
    }
  rules_release (old);
  return old != rules;
}

/* Apply the limits of new rules and try the queued requests again.  */
static void
relay_worker_handle_change (task_t *task, worker_t *worker)
{
  relay_worker_t *relay_worker
      = CONTAINER_OF (task, relay_worker_t, change_task);
  rules_t *rules = relay_rules (relay_worker->relay);

  (void)worker;
  atomic_store (&relay_worker->is_change_posted, false);
  if (rules != NULL)
    relay_worker->relay->ingress_ops->set_limits (relay_worker->ingress,
                                                  &rules->limits);
  rules_release (rules);
  forward_retry_queued (relay_worker);
}

/* Notify all workers that the rules or the fleet have changed.  */
void
relay_notify_workers (relay_t *relay)
{
  for (unsigned i = 0; i < relay->worker_count; i++)
    {
      relay_worker_t *relay_worker = &relay->workers[i];

      if (!atomic_exchange (&relay_worker->is_change_posted, true))
        worker_post (relay_worker->worker, &relay_worker->change_task);
    }
}

/* Return whether a request that may last until DEADLINE is too late to be
   accepted during a planned stop.  */
bool
relay_stops_before (const relay_t *relay, struct timespec deadline)
{
  struct timespec now = clock_monotonic (relay->clock);

  return atomic_load (&relay->is_stopping)
         && timespec_compare (now, relay->stop_accepts_until) >= 0
         && timespec_compare (deadline, relay->stop_ends_at) > 0;
}

static status_t
relay_worker_set_up (relay_worker_t *relay_worker, uint16_t *port)
{
  relay_t *relay = relay_worker->relay;

  LIST_INIT (&relay_worker->forwards);
  TAILQ_INIT (&relay_worker->watched);
  relay_worker->queue
      = request_queue_create (worker_events (relay_worker->worker));
  relay_worker->change_task.run = relay_worker_handle_change;
  relay_worker->egress = relay->egress_ops->create (relay_worker->worker);
  relay_worker->ingress = relay->ingress_ops->create (
      relay_worker, relay_worker->worker,
      daemon_config (relay->daemon)->listen, port);
  return relay_worker->queue == NULL || relay_worker->egress == NULL
                 || relay_worker->ingress == NULL
             ? STATUS_IO
             : STATUS_OK;
}

static status_t
relay_resolve_plugins (relay_t *relay)
{
  const config_t *config = daemon_config (relay->daemon);

  relay->store_ops = plugin_ops (PLUGIN_STORE, config->store_kind);
  relay->catalog_ops = plugin_ops (PLUGIN_CATALOG, config->catalog);
  relay->ingress_ops = plugin_ops (PLUGIN_INGRESS, config->ingress);
  relay->egress_ops = plugin_ops (PLUGIN_EGRESS, config->egress);
  if (relay->store_ops == NULL || relay->catalog_ops == NULL
      || relay->ingress_ops == NULL || relay->egress_ops == NULL)
    return status_set (STATUS_NOT_FOUND,
                       "the settings name an unknown plug-in");
  return STATUS_OK;
}

static status_t
relay_connect_store (relay_t *relay)
{
  const config_t *config = daemon_config (relay->daemon);
  store_options_t options = { .urls = config_store_urls (config),
                              .timeout = config->store_timeout };
  worker_t *worker = relay->workers[0].worker;
  char *key = talloc_asprintf (relay, "%s" ROSTER_RELAYS "%s",
                               relay->catalog_ops->own_prefix, config->name);
  lease_key_options_t registration = {
    .store_ops = relay->store_ops,
    .key = key,
    .value = config->zone,
    .duration = timespec_from_ms (REGISTRATION_LEASE_MS),
  };

  relay->store = relay->store_ops->create (worker, &options);
  if (relay->store == NULL)
    return STATUS_INVALID;
  registration.store = relay->store;
  relay->feed = feed_create (worker_events (worker), relay);
  relay->discovery = discovery_create (worker_events (worker), relay);
  relay->registration
      = lease_key_create (worker_events (worker), worker, &registration);
  talloc_free (key);
  return relay->discovery == NULL || relay->registration == NULL
             ? STATUS_NO_MEMORY
             : STATUS_OK;
}

static void
relay_add_zones (relay_t *relay, const config_t *config)
{
  const schema_string_t *zone;

  STAILQ_FOREACH (zone, &config->zones, link)
    {
      const char *equals = strchr (zone->text, '=');
      char *name;

      if (equals == NULL)
        continue;
      name = talloc_strndup (relay, zone->text, (size_t)(equals - zone->text));
      fleet_add_zone (relay->fleet, name, equals + 1);
      talloc_free (name);
    }
}

static status_t
relay_set_up (relay_t *relay)
{
  const config_t *config = daemon_config (relay->daemon);
  uint16_t port = 0;
  status_t status = relay_resolve_plugins (relay);

  for (unsigned i = 0; i < relay->worker_count && status == STATUS_OK; i++)
    {
      relay->workers[i].relay = relay;
      relay->workers[i].worker = pool_worker (daemon_pool (relay->daemon), i);
      status = relay_worker_set_up (&relay->workers[i], &port);
    }
  if (status != STATUS_OK)
    return status;
  log_event (LOG_LEVEL_NOTICE, "clients-listening", "port=%u", port);
  status = relay_connect_store (relay);
  if (status != STATUS_OK)
    return status;
  relay->readiness = readiness_create (relay, config->ready);
  return relay->readiness == NULL ? STATUS_IO : STATUS_OK;
}

static retry_limits_t
relay_retry_limits (const config_t *config)
{
  return (retry_limits_t){ .ratio = config->bounds.retry_ratio,
                           .extra = config->bounds.retry_extra,
                           .window = config->bounds.retry_window,
                           .is_first_start = config->bounds.first_start };
}

/* Create the tables of what this relay learns and tells the others.  */
static status_t
relay_create_gossip (relay_t *relay)
{
  relay->gossip = gossip_create (relay, relay->clock);
  if (relay->gossip == NULL)
    return STATUS_NO_MEMORY;
  relay->suspects = gossip_table (relay->gossip, GOSSIP_SUSPECTS);
  relay->limits = gossip_table (relay->gossip, GOSSIP_RATE_LIMITS);
  relay->crashes = crashes_create (relay, relay->clock, relay->suspects);
  fleet_set_rate_limits (relay->fleet, relay->limits);
  return relay->crashes == NULL ? STATUS_NO_MEMORY : STATUS_OK;
}

static status_t
relay_start (daemon_t *daemon, void **state)
{
  const config_t *config = daemon_config (daemon);
  relay_t *relay = talloc_zero (NULL, relay_t);
  retry_limits_t limits = relay_retry_limits (config);

  if (relay == NULL)
    return STATUS_NO_MEMORY;
  *state = relay;
  relay->daemon = daemon;
  relay->clock = node_clock (daemon_node (daemon));
  relay->worker_count = pool_worker_count (daemon_pool (daemon));
  relay->workers
      = talloc_zero_array (relay, relay_worker_t, relay->worker_count);
  relay->rules_lock = lock_create (relay, LOCK_SETTINGS, "rules");
  relay->budget = retry_budget_create (relay, relay->clock, &limits);
  relay->client_timeouts = client_timeouts_create (relay);
  relay->fleet
      = fleet_create (relay, config->zone, relay->clock,
                      XXH3_64bits (config->name, strlen (config->name)));
  relay_add_zones (relay, config);
  if (relay_create_gossip (relay) != STATUS_OK)
    return STATUS_NO_MEMORY;
  return relay_set_up (relay);
}

/* Apply new settings.  Only the platform's limits and the zones can change
   while the relay runs; new addresses require a restart.  */
static void
relay_reload (void *state, const config_t *config)
{
  relay_t *relay = state;
  retry_limits_t limits = relay_retry_limits (config);

  retry_budget_set_limits (relay->budget, &limits);
  relay_add_zones (relay, config);
}

/* Close idle connections until the worker has no open requests and none that
   has arrived; the last worker ends the process.  */
static void
relay_worker_close_idle (worker_t *worker, void *data)
{
  relay_worker_t *relay_worker = data;
  relay_t *relay = relay_worker->relay;
  unsigned unread = relay->ingress_ops->close_idle (relay_worker->ingress);

  if (unread == 0
      && relay->ingress_ops->open_count (relay_worker->ingress) == 0)
    {
      if (atomic_fetch_sub (&relay->busy_workers, 1) == 1)
        daemon_finish (relay->daemon);
      return;
    }
  worker_timer_start (worker, worker_events (worker),
                      timespec_from_ms (STOP_POLL_MS), relay_worker_close_idle,
                      relay_worker);
}

static void
relay_worker_stop_listening (worker_t *worker, void *data)
{
  relay_worker_t *relay_worker = data;

  relay_worker->relay->ingress_ops->stop_listening (relay_worker->ingress);
  worker_timer_start (worker, worker_events (worker),
                      timespec_from_ms (STOP_IDLE_CLOSE_MS),
                      relay_worker_close_idle, relay_worker);
}

/* The process is about to end: answer the requests that are still open.  */
static void
relay_worker_end_requests (worker_t *worker, void *data)
{
  relay_worker_t *relay_worker = data;
  forward_t *forward = LIST_FIRST (&relay_worker->forwards);

  (void)worker;
  while (forward != NULL)
    {
      forward_t *next = LIST_NEXT (forward, link);

      forward_end_for_stop (forward);
      forward = next;
    }
}

static void
relay_worker_run_stop (task_t *task, worker_t *worker)
{
  relay_worker_t *relay_worker
      = CONTAINER_OF (task, relay_worker_t, stop_task);
  const relay_t *relay = relay_worker->relay;

  worker_timer_start (
      worker, worker_events (worker),
      timespec_subtract (relay->stop_ends_at, clock_monotonic (relay->clock)),
      relay_worker_end_requests, relay_worker);

  relay_worker->relay->ingress_ops->start_closing (relay_worker->ingress);
  worker_timer_start (worker, worker_events (worker),
                      timespec_from_ms (STOP_ACCEPT_MS),
                      relay_worker_stop_listening, relay_worker);
}

/* Planned stop: fail the readiness probe at once, keep serving until the
   platform sends no new connections, then finish the open requests.  */
static void
relay_stop (void *state)
{
  relay_t *relay = state;
  struct timespec now = clock_monotonic (relay->clock);
  int64_t stop_ms
      = timespec_to_ms (daemon_config (relay->daemon)->stop_timeout);

  relay->stop_accepts_until
      = timespec_add (now, timespec_from_ms (STOP_ACCEPT_MS));
  relay->stop_ends_at = timespec_add (
      now, timespec_from_ms (stop_ms > STOP_LAST_ANSWER_MS
                                 ? stop_ms - STOP_LAST_ANSWER_MS
                                 : 0));
  atomic_store (&relay->is_stopping, true);
  atomic_store (&relay->busy_workers, relay->worker_count);
  lease_key_withdraw (relay->registration);
  for (unsigned i = 0; i < relay->worker_count; i++)
    {
      relay->workers[i].stop_task.run = relay_worker_run_stop;
      worker_post (relay->workers[i].worker, &relay->workers[i].stop_task);
    }
}

static bool
relay_on_admin_request (void *state, http_exchange_t *exchange)
{
  if (strcmp (http_exchange_path (exchange), "/place") != 0)
    return false;
  place_page_reply (state, exchange);
  return true;
}

static void
relay_destroy (void *state)
{
  relay_t *relay = state;
  forward_t *forward;

  for (unsigned i = 0; i < relay->worker_count; i++)
    {
      relay_worker_t *relay_worker = &relay->workers[i];

      /* Destroying the ingress closes client connections, which ends their
         requests.  */
      if (relay_worker->ingress != NULL)
        relay->ingress_ops->destroy (relay_worker->ingress);
      while ((forward = LIST_FIRST (&relay_worker->forwards)) != NULL)
        talloc_free (forward);
      if (relay_worker->egress != NULL)
        relay->egress_ops->destroy (relay_worker->egress);
    }
  if (relay->readiness != NULL)
    readiness_destroy (relay->readiness);
  if (relay->store != NULL)
    relay->store_ops->destroy (relay->store);
  rules_release (relay->rules);
  talloc_free (relay);
}

const daemon_program_t relay_program = {
  .name = "siskin-relay",
  .summary = "Accepts HTTP requests from clients and forwards them to the "
             "upstreams that the platform lists.",
  .role = NODE_ENTRY,
  .start = relay_start,
  .stop = relay_stop,
  .reload = relay_reload,
  .on_admin_request = relay_on_admin_request,
  .destroy = relay_destroy,
};
