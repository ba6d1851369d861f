#include "agent/peer.h"

#include "agent/group_route.h"
#include "agent/job.h"
#include "agent/stop.h"
#include "kernel/counter.h"
#include "kernel/log.h"

#include <string.h>

enum
{
  LOAD_FRAME_BYTES = 100,      /* approximate size on the wire */
  LOAD_MAX_BYTES_PER_S = 1000, /* for all peers together */
  LOAD_MIN_INTERVAL_MS = 200,
  LOAD_MAX_INTERVAL_MS = 2000,
  /* A change of at least the limit divided by this is reported.  */
  LOAD_CHANGE_DIVISOR = 8
};

GAUGE_DEFINE (peers_gauge, "siskin_agent_peers", "Connections from entries");
COUNTER_DEFINE (loads_total, "siskin_agent_loads_sent_total",
                "Load reports sent to entries");

/* A connection that is passed to the worker that will own it.  */
typedef struct connection_handoff
{
  task_t task;
  agent_t *agent;
  stream_t *stream;
} connection_handoff_t;

static bool
is_significant_change (uint64_t left, uint64_t right, uint64_t limit)
{
  uint64_t distance = left > right ? left - right : right - left;

  return distance > 0 && distance >= limit / LOAD_CHANGE_DIVISOR;
}

static bool
load_has_changed (const frame_load_t *sent, const frame_load_t *load)
{
  return is_significant_change (sent->outstanding_requests,
                                load->outstanding_requests,
                                load->limit_requests)
         || is_significant_change (sent->outstanding_tokens,
                                   load->outstanding_tokens,
                                   load->limit_tokens)
         || is_significant_change (sent->queued_requests,
                                   load->queued_requests, load->limit_requests)
         || sent->limit_requests != load->limit_requests
         || sent->limit_tokens != load->limit_tokens;
}

/* Return whether LOAD must be sent to a peer that received SENT SINCE_MS ago.
   A change of state is sent at once.  Numbers are sent when they have changed
   enough, at a rate limited by the bandwidth allowed for PEER_COUNT peers.  */
bool
peer_load_is_due (const frame_load_t *sent, const frame_load_t *load,
                  int64_t since_ms, unsigned peer_count)
{
  int64_t interval
      = (int64_t)peer_count * LOAD_FRAME_BYTES * 1000 / LOAD_MAX_BYTES_PER_S;

  if (sent->is_leaving != load->is_leaving || sent->is_cold != load->is_cold)
    return true;
  if (interval < LOAD_MIN_INTERVAL_MS)
    interval = LOAD_MIN_INTERVAL_MS;
  if (interval > LOAD_MAX_INTERVAL_MS)
    interval = LOAD_MAX_INTERVAL_MS;
  return since_ms >= interval && load_has_changed (sent, load);
}

static void
agent_fill_load (agent_t *agent, frame_load_t *frame)
{
  gate_load_t load;

  gate_load (agent->gate, &load);
  *frame = (frame_load_t){ .outstanding_requests = load.outstanding_requests,
                           .outstanding_tokens = load.outstanding_tokens,
                           .queued_requests = load.queued_requests,
                           .limit_requests = load.limit.requests,
                           .limit_tokens = load.limit.tokens,
                           .is_cold = load.limit.is_cold,
                           .is_leaving = load.is_leaving };
}

static void
peer_send_load (agent_peer_t *peer, const frame_load_t *load)
{
  frame_t frame = { .header = { .type = FRAME_LOAD }, .body.load = *load };

  peer->sent_load = *load;
  peer->sent_load_at
      = clock_monotonic (worker_clock (link_worker (peer->link)));
  counter_add (&loads_total, 1);
  link_send (peer->link, &frame);
}

/* Send the upstream's load to the entries connected to this worker for which a
   report is due.  */
void
peer_report_load (agent_worker_t *agent_worker)
{
  struct timespec now = clock_monotonic (worker_clock (agent_worker->worker));
  unsigned count = atomic_load (&agent_worker->agent->peer_count);
  frame_load_t load;
  agent_peer_t *peer;

  agent_fill_load (agent_worker->agent, &load);
  LIST_FOREACH (peer, &agent_worker->peers, peer_link)
    {
      int64_t since_ms
          = timespec_to_ms (timespec_subtract (now, peer->sent_load_at));

      if (link_is_open (peer->link)
          && peer_load_is_due (&peer->sent_load, &load, since_ms, count))
        peer_send_load (peer, &load);
    }
}

/* Send a ping to the processes connected to this worker, so that they learn
   the revision of the current settings now and not with the next frame that is
   sent to them anyway.  */
void
peer_announce_revision (agent_worker_t *agent_worker)
{
  frame_t ping = { .header = { .type = FRAME_PING } };
  agent_peer_t *peer;

  LIST_FOREACH (peer, &agent_worker->peers, peer_link)
    {
      if (link_is_open (peer->link))
        link_send (peer->link, &ping);
    }
}

static void
peer_run_load_report (task_t *task, worker_t *worker)
{
  agent_worker_t *agent_worker
      = CONTAINER_OF (task, agent_worker_t, load_report_task);

  (void)worker;
  atomic_store (&agent_worker->is_load_report_posted, false);
  peer_report_load (agent_worker);
}

/* Make every worker send due load reports at once.  Callable from any
   worker.  */
void
peer_post_load_reports (agent_t *agent)
{
  for (unsigned i = 0; i < agent->worker_count; i++)
    {
      agent_worker_t *agent_worker = &agent->workers[i];

      if (atomic_exchange (&agent_worker->is_load_report_posted, true))
        continue;
      agent_worker->load_report_task.run = peer_run_load_report;
      worker_post (agent_worker->worker, &agent_worker->load_report_task);
    }
}

/* Record when this worker last received anything from a process of another
   zone.  */
void
peer_update_contact (agent_worker_t *agent_worker)
{
  agent_t *agent = agent_worker->agent;
  int64_t newest = atomic_load (&agent->other_zone_contact_ms);
  agent_peer_t *peer;

  LIST_FOREACH (peer, &agent_worker->peers, peer_link)
    {
      int64_t contact_ms;

      if (!link_is_open (peer->link) || link_peer_role (peer->link) == NODE_CTL
          || strcmp (link_peer_zone (peer->link), node_zone (agent->node))
                 == 0)
        continue;
      atomic_store (&agent->has_other_zone, true);
      contact_ms = (int64_t)link_last_contact_ms (peer->link);
      while (contact_ms > newest
             && !atomic_compare_exchange_weak (&agent->other_zone_contact_ms,
                                               &newest, contact_ms))
        ;
    }
}

static void
peer_on_open (link_t *link, const frame_hello_t *hello, void *data)
{
  agent_peer_t *peer = data;
  frame_load_t load;

  (void)link;
  (void)hello;
  agent_fill_load (peer->agent, &load);
  peer_send_load (peer, &load);
}

static void
peer_on_frame (link_t *link, const frame_t *frame, void *data)
{
  agent_peer_t *peer = data;
  agent_worker_t *agent_worker
      = agent_worker_of (peer->agent, link_worker (link));

  switch (frame->header.type)
    {
    case FRAME_SUBMIT:
      job_submit (agent_worker, link, frame);
      break;
    case FRAME_ACK:
      job_acknowledge (agent_worker, frame);
      break;
    case FRAME_CANCEL:
      job_cancel (agent_worker, frame);
      break;
    case FRAME_RESUME:
      job_resume (agent_worker, link, frame);
      break;
    case FRAME_MAP_COMMAND:
      group_route_command (agent_worker, link, frame);
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

  log_event (LOG_LEVEL_NOTICE, "peer-closed", "peer=%s reason=%s",
             link_peer_name (link), reason);
  job_detach_link (peer->agent, link);
  LIST_REMOVE (peer, peer_link);
  atomic_fetch_sub (&peer->agent->peer_count, 1);
  counter_add (&peers_gauge, -1);
  stop_post_check (peer->agent);
  talloc_free (peer);
}

static const link_ops_t peer_ops = {
  .on_open = peer_on_open,
  .on_frame = peer_on_frame,
  .on_closed = peer_on_closed,
};

/* Create the peer of a connection on the worker that owns it.  */
static void
peer_adopt_connection (task_t *task, worker_t *worker)
{
  connection_handoff_t *handoff
      = CONTAINER_OF (task, connection_handoff_t, task);
  agent_t *agent = handoff->agent;
  agent_worker_t *agent_worker = agent_worker_of (agent, worker);
  agent_peer_t *peer = talloc_zero (worker_events (worker), agent_peer_t);

  if (peer == NULL)
    stream_close (handoff->stream);
  else
    {
      peer->agent = agent;
      peer->link = link_accept (worker, agent->node, handoff->stream,
                                &peer_ops, peer);
    }
  if (peer == NULL || peer->link == NULL)
    talloc_free (peer);
  else
    {
      LIST_INSERT_HEAD (&agent_worker->peers, peer, peer_link);
      atomic_fetch_add (&agent->peer_count, 1);
      counter_add (&peers_gauge, 1);
    }
  talloc_free (handoff);
}

/* Pass a new connection to the next worker, round robin.  */
void
peer_accept (stream_t *stream, void *data)
{
  agent_t *agent = data;
  pool_t *pool = daemon_pool (agent->daemon);
  connection_handoff_t *handoff = talloc_zero (NULL, connection_handoff_t);

  if (handoff == NULL)
    {
      stream_close (stream);
      return;
    }
  handoff->task.run = peer_adopt_connection;
  handoff->agent = agent;
  handoff->stream = stream;
  worker_post (pool_worker (pool, (unsigned)(agent->next_worker++
                                             % agent->worker_count)),
               &handoff->task);
}
