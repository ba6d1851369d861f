#include "relay/relay.h"

#include "common/lease_key.h"
#include "common/roster.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "kernel/plugin.h"
#include "kernel/table.h"
#include "relay/directory.h"
#include "relay/feed.h"
#include "relay/forward.h"
#include "relay/program.h"
#include "relay/readiness.h"

#include <string.h>
#include <xxhash.h>

enum
{
  REGISTRATION_MS = 9000, /* duration of the lease on the relay's key */
  STOP_POLL_MS = 50,
  /* The platform sends new connections until it has asked twice in vain, once
     a second; and a request may be on its way then.  */
  STOP_LISTEN_MS = 2600,
  STOP_IDLE_MS = 400 /* for clients to use connections that are to close */
};

GAUGE_DEFINE (rules_version, "siskin_rules_version",
              "Version of the rules in force");

/* Return the rules in force with a reference that the caller gives back, or
   NULL.  */
rules_t *
relay_rules (relay_t *relay)
{
  rules_t *rules;

  lock_acquire (relay->rules_lock);
  rules = relay->rules == NULL ? NULL : rules_retain (relay->rules);
  lock_release (relay->rules_lock);
  return rules;
}

/* Put RULES, whose reference is taken, in force unless those in force are as
   new.  Returns whether they were.  */
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

static void
share_take_change (task_t *task, worker_t *worker)
{
  relay_worker_t *share = CONTAINER_OF (task, relay_worker_t, change_task);
  rules_t *rules = relay_rules (share->relay);

  (void)worker;
  atomic_store (&share->is_change_posted, false);
  if (rules != NULL)
    share->relay->ingress_ops->set_limits (share->ingress, &rules->limits);
  rules_release (rules);
  forward_retry_queued (share);
}

/* Have all workers look at rules and fleet again.  */
void
relay_notify_workers (relay_t *relay)
{
  for (unsigned i = 0; i < relay->worker_count; i++)
    {
      relay_worker_t *share = &relay->workers[i];

      if (!atomic_exchange (&share->is_change_posted, true))
        worker_post (share->worker, &share->change_task);
    }
}

static status_t
share_set_up (relay_worker_t *share, uint16_t *port)
{
  relay_t *relay = share->relay;

  LIST_INIT (&share->forwards);
  TAILQ_INIT (&share->waiting);
  TAILQ_INIT (&share->heard);
  share->change_task.run = share_take_change;
  share->egress = relay->egress_ops->create (share->worker);
  share->ingress = relay->ingress_ops->create (
      share, share->worker, daemon_config (relay->daemon)->listen, port);
  return share->egress == NULL || share->ingress == NULL ? STATUS_IO
                                                         : STATUS_OK;
}

static status_t
relay_find_plugins (relay_t *relay)
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
relay_follow_store (relay_t *relay)
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
    .duration = timespec_from_ms (REGISTRATION_MS),
  };

  relay->store = relay->store_ops->create (worker, &options);
  if (relay->store == NULL)
    return STATUS_INVALID;
  registration.store = relay->store;
  relay->feed = feed_create (worker_events (worker), relay);
  relay->directory = discovery_create (worker_events (worker), relay);
  relay->registration
      = lease_key_create (worker_events (worker), worker, &registration);
  talloc_free (key);
  return relay->directory == NULL || relay->registration == NULL
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
  status_t status = relay_find_plugins (relay);

  for (unsigned i = 0; i < relay->worker_count && status == STATUS_OK; i++)
    {
      relay->workers[i].relay = relay;
      relay->workers[i].worker = pool_worker (daemon_pool (relay->daemon), i);
      status = share_set_up (&relay->workers[i], &port);
    }
  if (status != STATUS_OK)
    return status;
  log_event (LOG_LEVEL_NOTICE, "clients-listening", "port=%u", port);
  status = relay_follow_store (relay);
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
  relay->fleet
      = fleet_create (relay, config->zone, relay->clock,
                      XXH3_64bits (config->name, strlen (config->name)));
  relay_add_zones (relay, config);
  return relay_set_up (relay);
}

/* What the platform allows, and the zones, may change while the relay runs;
   addresses take a restart.  */
static void
relay_reload (void *state, const config_t *fresh)
{
  relay_t *relay = state;
  retry_limits_t limits = relay_retry_limits (fresh);

  retry_budget_set_limits (relay->budget, &limits);
  relay_add_zones (relay, fresh);
}

static void
share_check_stopped (worker_t *worker, void *data)
{
  relay_worker_t *share = data;
  relay_t *relay = share->relay;

  if (relay->ingress_ops->open_count (share->ingress) == 0)
    {
      if (atomic_fetch_sub (&relay->busy_workers, 1) == 1)
        daemon_finish (relay->daemon);
      return;
    }
  worker_timer_start (worker, worker_events (worker),
                      timespec_from_ms (STOP_POLL_MS), share_check_stopped,
                      share);
}

static void
share_close_idle (worker_t *worker, void *data)
{
  relay_worker_t *share = data;

  share->relay->ingress_ops->close_idle (share->ingress);
  share_check_stopped (worker, share);
}

static void
share_stop_listening (worker_t *worker, void *data)
{
  relay_worker_t *share = data;

  share->relay->ingress_ops->stop_listening (share->ingress);
  worker_timer_start (worker, worker_events (worker),
                      timespec_from_ms (STOP_IDLE_MS), share_close_idle,
                      share);
}

static void
share_run_stop (task_t *task, worker_t *worker)
{
  relay_worker_t *share = CONTAINER_OF (task, relay_worker_t, stop_task);

  share->relay->ingress_ops->start_closing (share->ingress);
  worker_timer_start (worker, worker_events (worker),
                      timespec_from_ms (STOP_LISTEN_MS), share_stop_listening,
                      share);
}

/* Planned stop: tell the platform at once, serve on until it sends no new
   connections, finish what is open.  */
static void
relay_stop (void *state)
{
  relay_t *relay = state;

  atomic_store (&relay->is_stopping, true);
  atomic_store (&relay->busy_workers, relay->worker_count);
  lease_key_withdraw (relay->registration);
  for (unsigned i = 0; i < relay->worker_count; i++)
    {
      relay->workers[i].stop_task.run = share_run_stop;
      worker_post (relay->workers[i].worker, &relay->workers[i].stop_task);
    }
}

static void
relay_destroy (void *state)
{
  relay_t *relay = state;
  forward_t *forward;

  for (unsigned i = 0; i < relay->worker_count; i++)
    {
      relay_worker_t *share = &relay->workers[i];

      /* What is still open ends with its client's connection.  */
      if (share->ingress != NULL)
        relay->ingress_ops->destroy (share->ingress);
      while ((forward = LIST_FIRST (&share->forwards)) != NULL)
        talloc_free (forward);
      if (share->egress != NULL)
        relay->egress_ops->destroy (share->egress);
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
  .summary = "Serves clients over HTTP and passes their requests to upstreams "
             "that the platform lists.",
  .role = NODE_ENTRY,
  .start = relay_start,
  .stop = relay_stop,
  .reload = relay_reload,
  .destroy = relay_destroy,
};
