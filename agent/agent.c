#include "agent/agent.h"

#include "agent/program.h"

#include "agent/group_route.h"
#include "agent/job.h"
#include "agent/peer.h"
#include "agent/stop.h"
#include "common/settings_source.h"
#include "kernel/log.h"
#include "kernel/plugin.h"

#include <stdlib.h>
#include <string.h>

enum
{
  TICK_MS = 200,
  TICKS_PER_SECOND = 5 /* job_tick_all runs once a second */
};

/* Return the state that AGENT has for WORKER.  */
agent_worker_t *
agent_worker_of (agent_t *agent, const worker_t *worker)
{
  return &agent->workers[worker_index (worker)];
}

/* Start queued work as far as the limits allow, and refuse queued work that
   can no longer run.  Callable from any worker.  */
void
agent_dispatch_queued (agent_t *agent)
{
  gate_work_list_t started = STAILQ_HEAD_INITIALIZER (started);
  gate_work_list_t refused = STAILQ_HEAD_INITIALIZER (refused);
  gate_work_t *work;

  gate_dequeue_ready (agent->gate, &started, &refused);
  while ((work = STAILQ_FIRST (&started)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&started, link);
      job_post_start (work);
    }
  while ((work = STAILQ_FIRST (&refused)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&refused, link);
      job_post_refusal (work);
    }
}

static status_t
agent_create_journal (agent_t *agent, const settings_t *settings,
                      const journal_limits_t *limits)
{
  const agent_worker_t *agent_worker = &agent->workers[0];
  journal_options_t options = { .worker = agent_worker->worker,
                                .store_ops = agent->store_ops,
                                .store = agent_worker->store,
                                .owner = node_name (agent->node),
                                .incarnation = node_incarnation (agent->node),
                                .limits = *limits,
                                .on_idle = stop_on_journal_idle,
                                .data = agent };

  agent->journal_ops = plugin_ops (PLUGIN_JOURNAL, settings->claims.journal);
  if (agent->journal_ops == NULL)
    return STATUS_NOT_FOUND;
  atomic_store (&agent->journal, agent->journal_ops->create (&options));
  return STATUS_OK;
}

/* The first settings choose the journal plug-in; later ones only change its
   limits.  */
static status_t
agent_configure_journal (agent_t *agent, const settings_t *settings)
{
  journal_t *journal = atomic_load (&agent->journal);
  journal_limits_t limits = { .retention = settings->claims.retention,
                              .linger = settings->claims.linger };

  if (journal == NULL)
    return agent_create_journal (agent, settings, &limits);
  agent->journal_ops->configure (journal, &limits);
  return STATUS_OK;
}

/* Apply settings that are new to the gate and the journal.  */
static void
agent_apply_settings (agent_t *agent)
{
  settings_t *settings = node_settings (agent->node);

  if (settings == NULL)
    return;
  if (settings->revision != agent->configured_revision)
    {
      if (gate_configure (agent->gate, settings) != STATUS_OK
          || agent_configure_journal (agent, settings) != STATUS_OK)
        log_event (LOG_LEVEL_ERROR, "not-configured", "error=\"%s\"",
                   status_message ());
      else
        agent->configured_revision = settings->revision;
      group_route_configure (agent, settings);
    }
  settings_release (settings);
}

static bool
settings_have_entry_in_other_zone (const settings_t *settings,
                                   const char *zone)
{
  const entry_vm_t *entry_vm;

  STAILQ_FOREACH (entry_vm, &settings->entry_vms, link)
    {
      if (strcmp (entry_vm->zone, zone) != 0)
        return true;
    }
  return false;
}

/* Pass the gate the information from which it detects that this process is
   isolated.  */
static void
agent_update_contact (agent_t *agent)
{
  settings_t *settings = node_settings (agent->node);
  int64_t contact_ms = atomic_load (&agent->other_zone_contact_ms);
  int64_t now_ms = timespec_to_ms (clock_monotonic (node_clock (agent->node)));
  gate_contact_t contact
      = { .confirmed_age_ms = node_confirmed_age_ms (agent->node),
          .has_other_zones = atomic_load (&agent->has_other_zone),
          .other_zone_age_ms = (uint64_t)(now_ms - contact_ms),
          .is_behind = node_has_outdated_settings (agent->node) };

  if (settings == NULL)
    return;
  if (settings_have_entry_in_other_zone (settings, node_zone (agent->node)))
    contact.has_other_zones = true;
  settings_release (settings);
  gate_update_contact (agent->gate, &contact);
}

/* Periodic work that is done once per process, on worker 0.  */
static void
agent_tick_process (agent_t *agent)
{
  agent_apply_settings (agent);
  agent_update_contact (agent);
  gate_check_timeouts (agent->gate);
  if (agent->group != NULL)
    group_tick (agent->group);
  if (++agent->ticks % TICKS_PER_SECOND == 0)
    job_tick_all (agent);
}

static void agent_arm_tick (agent_worker_t *agent_worker);

static void
agent_tick (worker_t *worker, void *data)
{
  agent_worker_t *agent_worker = data;

  (void)worker;
  peer_update_contact (agent_worker);
  if (worker_index (agent_worker->worker) == 0)
    {
      node_detect_pause (agent_worker->agent->node);
      agent_tick_process (agent_worker->agent);
    }
  agent_dispatch_queued (agent_worker->agent);
  peer_report_load (agent_worker);
  agent_arm_tick (agent_worker);
}

static void
agent_arm_tick (agent_worker_t *agent_worker)
{
  agent_worker->timer = worker_timer_start (
      agent_worker->worker, worker_events (agent_worker->worker),
      timespec_from_ms (TICK_MS), agent_tick, agent_worker);
}

/* Apply new settings and announce their revision to the connected processes at
   once.  */
static void
agent_handle_settings (worker_t *worker, void *data)
{
  agent_worker_t *agent_worker = data;

  if (worker_index (worker) == 0)
    agent_apply_settings (agent_worker->agent);
  agent_dispatch_queued (agent_worker->agent);
  peer_announce_revision (agent_worker);
}

static status_t
agent_listen (agent_t *agent)
{
  net_address_t address;
  uint16_t port;
  status_t status = net_address_parse (
      agent, daemon_config (agent->daemon)->listen, &address);

  if (status != STATUS_OK)
    return status;
  agent->listener
      = transport_listen (node_transport (agent->node),
                          pool_worker (daemon_pool (agent->daemon), 0),
                          &address, &port, peer_accept, agent);
  if (agent->listener == NULL)
    return STATUS_IO;
  log_event (LOG_LEVEL_NOTICE, "frames-listening", "port=%u", port);
  return STATUS_OK;
}

static status_t
agent_set_up_worker (agent_t *agent, unsigned index)
{
  const config_t *config = daemon_config (agent->daemon);
  agent_worker_t *agent_worker = &agent->workers[index];
  store_options_t store_options = { .urls = config_store_urls (config),
                                    .timeout = config->store_timeout };

  agent_worker->agent = agent;
  agent_worker->worker = pool_worker (daemon_pool (agent->daemon), index);
  LIST_INIT (&agent_worker->peers);
  agent_worker->transport
      = agent->upstream_ops->create (agent_worker->worker, config->upstream);
  agent_worker->store
      = agent->store_ops->create (agent_worker->worker, &store_options);
  if (agent_worker->transport == NULL || agent_worker->store == NULL)
    return status_set (STATUS_NO_MEMORY, "cannot set up worker %u", index);
  agent_arm_tick (agent_worker);
  agent_worker->subscription.worker = agent_worker->worker;
  agent_worker->subscription.handler = agent_handle_settings;
  agent_worker->subscription.data = agent_worker;
  node_subscribe (agent->node, &agent_worker->subscription);
  return STATUS_OK;
}

static void
agent_start_probe (agent_t *agent)
{
  probe_options_t options = { .worker = agent->workers[0].worker,
                              .upstream_ops = agent->upstream_ops,
                              .transport = agent->workers[0].transport,
                              .gate = agent->gate };

  agent->probe = probe_create (agent, &options);
}

static status_t
agent_set_up (agent_t *agent)
{
  status_t status;

  agent->upstream_ops = plugin_ops (PLUGIN_UPSTREAM, "http");
  agent->store_ops = plugin_ops (PLUGIN_STORE, "etcd");
  if (agent->upstream_ops == NULL || agent->store_ops == NULL)
    return STATUS_NOT_FOUND;
  for (unsigned i = 0; i < agent->worker_count; i++)
    {
      status = agent_set_up_worker (agent, i);
      if (status != STATUS_OK)
        return status;
    }
  settings_source_create (agent->workers[0].worker, agent->node,
                          daemon_config (agent->daemon), agent->store_ops,
                          agent->workers[0].store);
  agent_start_probe (agent);
  return agent_listen (agent);
}

static status_t
agent_start (daemon_t *daemon, void **state)
{
  agent_t *agent = talloc_zero (NULL, agent_t);
  pool_t *pool = daemon_pool (daemon);

  if (agent == NULL)
    return STATUS_NO_MEMORY;
  *state = agent;
  agent->daemon = daemon;
  agent->node = daemon_node (daemon);
  agent->worker_count = pool_worker_count (pool);
  agent->workers
      = talloc_zero_array (agent, agent_worker_t, agent->worker_count);
  agent->jobs = table_create (agent, LOCK_REQUESTS, "jobs");
  agent->gate
      = gate_create (agent, node_name (agent->node), node_zone (agent->node),
                     node_clock (agent->node));
  return agent_set_up (agent);
}

static void
agent_destroy (void *state)
{
  agent_t *agent = state;

  if (agent->listener != NULL)
    transport_stop_listening (node_transport (agent->node), agent->listener);
  for (unsigned i = 0; i < agent->worker_count; i++)
    {
      if (agent->workers[i].transport != NULL)
        agent->upstream_ops->destroy (agent->workers[i].transport);
    }
  job_free_all (agent);
  if (atomic_load (&agent->journal) != NULL)
    agent->journal_ops->destroy (atomic_load (&agent->journal));
  talloc_free (agent);
}

/* Program description for daemon_main.  */
const daemon_program_t agent_program = {
  .name = "siskin-agent",
  .summary = "The one gate to the upstream beside it",
  .role = NODE_AGENT,
  .start = agent_start,
  .stop = stop_begin,
  .destroy = agent_destroy,
};
