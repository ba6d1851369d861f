#include "pilot/pilot.h"

#include "common/roster.h"
#include "kernel/log.h"
#include "kernel/plugin.h"
#include "pilot/leader.h"
#include "pilot/pilot_server.h"
#include "pilot/program.h"
#include "pilot/reporter.h"

#include <string.h>

enum
{
  /* Duration of the lease on the pilot's key.  Clients that are connected
     stay connected after it expires.  */
  REGISTRATION_LEASE_MS = 30000,
  STOP_POLL_INTERVAL_MS = 20
};

/* Returns the time of the monotonic clock.  */
struct timespec
pilot_now (const pilot_t *pilot)
{
  return clock_monotonic (pilot->clock);
}

/* Returns the address of this pilot's engine.  */
const char *
pilot_upstream (const pilot_t *pilot)
{
  return daemon_config (pilot->daemon)->upstream;
}

/* Registers this pilot's listen address and its engine's group in the
   store, with the first report and whenever either changes.  */
void
pilot_register (pilot_t *pilot, const rank_report_t *report)
{
  const config_t *config = daemon_config (pilot->daemon);
  lease_key_options_t options
      = { .store_ops = pilot->store_ops,
          .store = pilot->store,
          .duration = timespec_from_ms (REGISTRATION_LEASE_MS) };
  const roster_pilot_t entry
      = { .address = pilot_server_address (pilot->server),
          .upstream = config->upstream,
          .group = report->group };
  char *value = roster_format_pilot (pilot, &entry);
  char *key;

  if (pilot->registered != NULL && strcmp (pilot->registered, value) == 0)
    {
      talloc_free (value);
      return;
    }
  talloc_free (pilot->registered);
  pilot->registered = value;
  if (pilot->registration != NULL)
    {
      lease_key_set_value (pilot->registration, value);
      return;
    }
  key = talloc_asprintf (pilot, "%s" ROSTER_PILOTS "%s",
                         pilot->catalog_ops->own_prefix, config->name);
  options.key = key;
  options.value = value;
  pilot->registration = lease_key_create (worker_events (pilot->worker),
                                          pilot->worker, &options);
  talloc_free (key);
}

static status_t
pilot_find_plugins (pilot_t *pilot)
{
  const config_t *config = daemon_config (pilot->daemon);

  pilot->store_ops = plugin_ops (PLUGIN_STORE, config->store_kind);
  pilot->catalog_ops = plugin_ops (PLUGIN_CATALOG, config->catalog);
  pilot->engine_ops = plugin_ops (PLUGIN_RANK_ENGINE, config->rank_engine);
  if (pilot->store_ops == NULL || pilot->catalog_ops == NULL
      || pilot->engine_ops == NULL)
    return status_set (STATUS_NOT_FOUND,
                       "the settings name an unknown plug-in");
  if (config->upstream[0] == '\0')
    return status_set (STATUS_INVALID, "the settings name no upstream");
  return STATUS_OK;
}

/* The engine has left a command unanswered.  A report shows the leader that
   this pilot works and waits.  */
static void
pilot_on_repeat (void *data)
{
  const pilot_t *pilot = data;

  reporter_poll_now (pilot->reporter);
}

static status_t
pilot_set_up (pilot_t *pilot)
{
  const config_t *config = daemon_config (pilot->daemon);
  store_options_t options = { .urls = config_store_urls (config),
                              .timeout = config->store_timeout };
  status_t status = pilot_find_plugins (pilot);

  if (status != STATUS_OK)
    return status;
  pilot->gossip = gossip_create (pilot, pilot->clock);
  if (pilot->gossip == NULL)
    return STATUS_NO_MEMORY;
  pilot->store = pilot->store_ops->create (pilot->worker, &options);
  if (pilot->store == NULL)
    return STATUS_INVALID;
  pilot->engine = pilot->engine_ops->create (worker_events (pilot->worker),
                                             pilot->worker, config->upstream);
  pilot->server = pilot_server_create (pilot, config->listen);
  if (pilot->engine == NULL || pilot->server == NULL)
    return STATUS_IO;
  pilot->commands = engine_commands_create (
      worker_events (pilot->worker), pilot->worker, pilot->engine_ops,
      pilot->engine, pilot_on_repeat, pilot);
  pilot->counts = expert_counts_create (pilot);
  pilot->maps = map_history_create (pilot);
  if (pilot->commands == NULL || pilot->counts == NULL || pilot->maps == NULL)
    return STATUS_NO_MEMORY;
  pilot->leader = leader_create (pilot);
  pilot->reporter = reporter_create (pilot);
  return pilot->leader == NULL || pilot->reporter == NULL ? STATUS_NO_MEMORY
                                                          : STATUS_OK;
}

static status_t
pilot_start (daemon_t *daemon, void **state)
{
  pilot_t *pilot = talloc_zero (NULL, pilot_t);

  if (pilot == NULL)
    return STATUS_NO_MEMORY;
  *state = pilot;
  pilot->daemon = daemon;
  pilot->node = daemon_node (daemon);
  pilot->clock = node_clock (pilot->node);
  pilot->worker = pool_worker (daemon_pool (daemon), 0);
  return pilot_set_up (pilot);
}

static void
pilot_check_stopped (worker_t *worker, void *data)
{
  pilot_t *pilot = data;

  if (leader_is_stopped (pilot->leader))
    {
      daemon_finish (pilot->daemon);
      return;
    }
  worker_timer_start (worker, worker_events (worker),
                      timespec_from_ms (STOP_POLL_INTERVAL_MS),
                      pilot_check_stopped, pilot);
}

/* Planned stop: finishes the switch in progress and releases the term
   before the process exits.  */
static void
pilot_stop (void *state)
{
  pilot_t *pilot = state;

  leader_stop (pilot->leader);
  if (pilot->registration != NULL)
    lease_key_withdraw (pilot->registration);
  pilot_server_destroy (pilot->server);
  worker_timer_start (pilot->worker, worker_events (pilot->worker),
                      timespec_from_ms (STOP_POLL_INTERVAL_MS),
                      pilot_check_stopped, pilot);
}

static void
pilot_destroy (void *state)
{
  pilot_t *pilot = state;

  if (pilot->commands != NULL)
    engine_commands_destroy (pilot->commands);
  if (pilot->engine != NULL)
    pilot->engine_ops->destroy (pilot->engine);
  if (pilot->store != NULL)
    pilot->store_ops->destroy (pilot->store);
  talloc_free (pilot);
}

const daemon_program_t pilot_program = {
  .name = "siskin-pilot",
  .summary = "Reports the load of the upstream beside it and keeps the expert "
             "maps of its group matched to the load.",
  .role = NODE_AGENT,
  .start = pilot_start,
  .stop = pilot_stop,
  .destroy = pilot_destroy,
};
