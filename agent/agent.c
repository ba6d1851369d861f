#include "agent/agent.h"

#include "agent/program.h"

#include "agent/job.h"
#include "common/settings_source.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "kernel/plugin.h"

#include <stdlib.h>
#include <string.h>

enum
{
  TICK_MS = 200,
  AGE_TICKS = 5, /* ticks a second, for the jobs' age */
  STOP_POLL_MS = 50,
  LEAVING_NOTICE_MS = 300 /* time for the entries to hear of a planned stop */
};

GAUGE_DEFINE (peers_gauge, "siskin_agent_peers", "Connections from entries");

/* A connection on its way to the worker that will own it.  */
typedef struct handover
{
  task_t task;
  agent_t *agent;
  stream_t *stream;
} handover_t;

/* Return the share that WORKER has of AGENT.  */
agent_worker_t *
agent_worker_of (agent_t *agent, const worker_t *worker)
{
  return &agent->workers[worker_index (worker)];
}

static void
agent_send_load (agent_t *agent, link_t *link)
{
  frame_t frame = { .header = { .type = FRAME_LOAD } };
  gate_load_t load;

  gate_load (agent->gate, &load);
  frame.body.load.outstanding_requests = load.outstanding_requests;
  frame.body.load.outstanding_tokens = load.outstanding_tokens;
  frame.body.load.queued_requests = load.queued_requests;
  frame.body.load.limit_requests = load.limit.requests;
  frame.body.load.limit_tokens = load.limit.tokens;
  frame.body.load.is_cold = load.limit.is_cold;
  frame.body.load.is_leaving = load.is_leaving;
  link_send (link, &frame);
}

/* Tell the entries connected to this worker how loaded the upstream is.  */
void
agent_announce_load (agent_worker_t *share)
{
  agent_peer_t *peer;

  LIST_FOREACH (peer, &share->peers, peer_link)
    {
      if (link_is_open (peer->link))
        agent_send_load (share->agent, peer->link);
    }
}

/* Start the queued work for which there is room, and refuse what has waited
   too long.  Callable from every worker.  */
void
agent_start_ready (agent_t *agent)
{
  gate_work_list_t started = STAILQ_HEAD_INITIALIZER (started);
  gate_work_list_t expired = STAILQ_HEAD_INITIALIZER (expired);
  gate_work_t *work;

  gate_take_ready (agent->gate, &started, &expired);
  while ((work = STAILQ_FIRST (&started)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&started, link);
      job_post_start (work);
    }
  while ((work = STAILQ_FIRST (&expired)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&expired, link);
      job_post_expiry (work);
    }
}

static void
peer_on_open (link_t *link, const frame_hello_t *hello, void *data)
{
  agent_peer_t *peer = data;

  (void)hello;
  agent_send_load (peer->agent, link);
}

static void
peer_on_frame (link_t *link, const frame_t *frame, void *data)
{
  agent_peer_t *peer = data;
  agent_worker_t *share = agent_worker_of (peer->agent, link_worker (link));

  switch (frame->header.type)
    {
    case FRAME_SUBMIT:
      job_submit (share, link, frame);
      agent_send_load (peer->agent, link);
      break;
    case FRAME_ACK:
      job_acknowledge (share, frame);
      if (frame->body.offset.is_final)
        agent_send_load (peer->agent, link);
      break;
    case FRAME_CANCEL:
      job_cancel (share, frame);
      break;
    case FRAME_RESUME:
      job_resume (share, link, frame);
      break;
    default:
      link_close (link, "unexpected-frame");
      break;
    }
}

static void
peer_on_closed (link_t *link, const char *reason, void *data)
{
  agent_peer_t *peer = data;

  log_event (LOG_LEVEL_INFO, "peer-closed", "peer=%s reason=%s",
             link_peer_name (link), reason);
  job_detach_link (peer->agent, link);
  LIST_REMOVE (peer, peer_link);
  counter_add (&peers_gauge, -1);
  talloc_free (peer);
}

static const link_ops_t peer_ops = {
  .on_open = peer_on_open,
  .on_frame = peer_on_frame,
  .on_closed = peer_on_closed,
};

static void
agent_take_connection (task_t *task, worker_t *worker)
{
  handover_t *handover = CONTAINER_OF (task, handover_t, task);
  agent_t *agent = handover->agent;
  agent_worker_t *share = agent_worker_of (agent, worker);
  agent_peer_t *peer = talloc_zero (worker_events (worker), agent_peer_t);

  if (peer == NULL)
    stream_close (handover->stream);
  else
    {
      peer->agent = agent;
      peer->link = link_accept (worker, agent->node, handover->stream,
                                &peer_ops, peer);
    }
  if (peer == NULL || peer->link == NULL)
    talloc_free (peer);
  else
    {
      LIST_INSERT_HEAD (&share->peers, peer, peer_link);
      counter_add (&peers_gauge, 1);
    }
  talloc_free (handover);
}

static void
agent_accept (stream_t *stream, void *data)
{
  agent_t *agent = data;
  pool_t *pool = daemon_pool (agent->daemon);
  handover_t *handover = talloc_zero (NULL, handover_t);

  if (handover == NULL)
    {
      stream_close (stream);
      return;
    }
  handover->task.run = agent_take_connection;
  handover->agent = agent;
  handover->stream = stream;
  worker_post (pool_worker (pool, (unsigned)(agent->next_worker++
                                             % agent->worker_count)),
               &handover->task);
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
                                .limits = *limits };

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
    }
  settings_release (settings);
}

static void agent_arm_tick (agent_worker_t *share);

static void
agent_tick (worker_t *worker, void *data)
{
  agent_worker_t *share = data;

  (void)worker;
  if (worker_index (share->worker) == 0)
    {
      agent_apply_settings (share->agent);
      if (++share->agent->ticks % AGE_TICKS == 0)
        job_age_all (share->agent);
    }
  agent_start_ready (share->agent);
  agent_announce_load (share);
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
  agent_announce_load (share);
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
                          &address, &port, agent_accept, agent);
  if (agent->listener == NULL)
    return STATUS_IO;
  log_event (LOG_LEVEL_INFO, "frames-listening", "port=%u", port);
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
agent_check_stopped (worker_t *worker, void *data)
{
  agent_t *agent = data;

  (void)worker;
  if (atomic_load (&agent->open_jobs) == 0)
    {
      daemon_finish (agent->daemon);
      return;
    }
  worker_timer_start (agent->workers[0].worker, agent,
                      timespec_from_ms (STOP_POLL_MS), agent_check_stopped,
                      agent);
}

/* Planned stop: refuse new work, hand queued work back, tell the entries, and
   finish what runs.  */
static void
agent_stop (void *state)
{
  agent_t *agent = state;

  gate_set_leaving (agent->gate);
  agent_start_ready (agent);
  agent_announce_load (&agent->workers[0]);
  worker_timer_start (agent->workers[0].worker, agent,
                      timespec_from_ms (LEAVING_NOTICE_MS),
                      agent_check_stopped, agent);
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
  .stop = agent_stop,
  .destroy = agent_destroy,
};
