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
  AGE_TICKS = 5 /* ticks a second, for the jobs' age */
};

/* Return the share that WORKER has of AGENT.  */
agent_worker_t *
agent_worker_of (agent_t *agent, const worker_t *worker)
{
  return &agent->workers[worker_index (worker)];
}

/* Start the queued work for which there is room, and refuse what has waited
   too long.  Callable from every worker.  */
void
agent_start_ready (agent_t *agent)
{
  gate_work_list_t started = STAILQ_HEAD_INITIALIZER (started);
  gate_work_list_t expired = STAILQ_HEAD_INITIALIZER (expired);
  gate_work_t *work;

  gate_dequeue_ready (agent->gate, &started, &expired);
  while ((work = STAILQ_FIRST (&started)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&started, link);
      job_post_start (work);
    }
  while ((work = STAILQ_FIRST (&expired)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&expired, link);
      job_post_refusal (work);
    }
}

static status_t
agent_create_journal (agent_t *agent, const settings_t *settings,
                      const journal_limits_t *limits)
{
  const agent_worker_t *share = &agent->workers[0];
  journal_options_t options = { .worker = share->worker,
                                .store_ops = agent->store_ops,
                                .store = share->store,
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

/* The journal is chosen by the first settings seen; later ones change its
   numbers.  */
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

/* Put newly learned settings in force at the gate and the journal.  */
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
settings_have_entry_elsewhere (const settings_t *settings, const char *zone)
{
  const entry_vm_t *entry_vm;

  STAILQ_FOREACH (entry_vm, &settings->entry_vms, link)
    {
      if (strcmp (entry_vm->zone, zone) != 0)
        return true;
    }
  return false;
}

/* Tell the gate how far this process is in touch with the others.  */
static void
agent_note_contact (agent_t *agent)
{
  settings_t *settings = node_settings (agent->node);
  int64_t heard_ms = atomic_load (&agent->other_zone_contact_ms);
  int64_t now_ms = timespec_to_ms (clock_monotonic (node_clock (agent->node)));
  gate_contact_t contact
      = { .confirmed_age_ms = node_confirmed_age_ms (agent->node),
          .knows_other_zone = atomic_load (&agent->has_other_zone),
          .other_zone_age_ms = (uint64_t)(now_ms - heard_ms),
          .is_behind = node_is_behind (agent->node) };

  if (settings == NULL)
    return;
  if (settings_have_entry_elsewhere (settings, node_zone (agent->node)))
    contact.knows_other_zone = true;
  settings_release (settings);
  gate_note_contact (agent->gate, &contact);
}

/* What one worker does for all.  */
static void
agent_tick_common (agent_t *agent)
{
  agent_apply_settings (agent);
  agent_note_contact (agent);
  gate_check_timeouts (agent->gate);
  if (agent->group != NULL)
    group_tick (agent->group);
  if (++agent->ticks % AGE_TICKS == 0)
    job_age_all (agent);
}

static void agent_arm_tick (agent_worker_t *share);

static void
agent_tick (worker_t *worker, void *data)
{
  agent_worker_t *share = data;

  (void)worker;
  peer_note_contact (share);
  if (worker_index (share->worker) == 0)
    {
      node_note_tick (share->agent->node);
      agent_tick_common (share->agent);
    }
  agent_start_ready (share->agent);
  peer_announce_load (share);
  agent_arm_tick (share);
}

static void
agent_arm_tick (agent_worker_t *share)
{
  share->timer
      = worker_timer_start (share->worker, worker_events (share->worker),
                            timespec_from_ms (TICK_MS), agent_tick, share);
}

/* New settings are known: act on them and show them to the entries at
   once.  */
static void
agent_handle_settings (worker_t *worker, void *data)
{
  agent_worker_t *share = data;

  if (worker_index (worker) == 0)
    agent_apply_settings (share->agent);
  agent_start_ready (share->agent);
  peer_announce_settings (share);
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
  agent_worker_t *share = &agent->workers[index];
  store_options_t store_options = { .urls = config_store_urls (config),
                                    .timeout = config->store_timeout };

  share->agent = agent;
  share->worker = pool_worker (daemon_pool (agent->daemon), index);
  LIST_INIT (&share->peers);
  share->transport
      = agent->upstream_ops->create (share->worker, config->upstream);
  share->store = agent->store_ops->create (share->worker, &store_options);
  if (share->transport == NULL || share->store == NULL)
    return status_set (STATUS_NO_MEMORY, "cannot set up worker %u", index);
  agent_arm_tick (share);
  share->subscription.worker = share->worker;
  share->subscription.handler = agent_handle_settings;
  share->subscription.data = share;
  node_subscribe (agent->node, &share->subscription);
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

/* The agent as a program.  */
const daemon_program_t agent_program = {
  .name = "siskin-agent",
  .summary = "The one gate to the upstream beside it",
  .role = NODE_AGENT,
  .start = agent_start,
  .stop = stop_begin,
  .destroy = agent_destroy,
};
