#include "agent/peer.h"

#include "agent/group_route.h"
#include "agent/job.h"
#include "agent/stop.h"
#include "kernel/counter.h"
#include "kernel/log.h"

#include <string.h>

enum
{
  LOAD_FRAME_BYTES = 100,     /* on the wire, about */
  LOAD_BYTES_A_SECOND = 1000, /* for all peers together */
  LOAD_MIN_INTERVAL_MS = 200,
  LOAD_MAX_INTERVAL_MS = 2000,
  LOAD_CHANGE_DIVISOR = 8 /* news is a change by this part of the limit */
};

GAUGE_DEFINE (peers_gauge, "siskin_agent_peers", "Connections from entries");
COUNTER_DEFINE (loads_total, "siskin_agent_loads_sent_total",
                "Load reports sent to entries");

/* A connection on its way to the worker that will own it.  */
typedef struct handover
{
  task_t task;
  agent_t *agent;
  stream_t *stream;
} handover_t;

static bool
differs (uint64_t left, uint64_t right, uint64_t limit)
{
  uint64_t distance = left > right ? left - right : right - left;

  return distance > 0 && distance >= limit / LOAD_CHANGE_DIVISOR;
}

static bool
load_is_news (const frame_load_t *sent, const frame_load_t *load)
{
  return differs (sent->outstanding_requests, load->outstanding_requests,
                  load->limit_requests)
         || differs (sent->outstanding_tokens, load->outstanding_tokens,
                     load->limit_tokens)
         || differs (sent->queued_requests, load->queued_requests,
                     load->limit_requests)
         || sent->limit_requests != load->limit_requests
         || sent->limit_tokens != load->limit_tokens;
}

/* Return whether a peer that was told SENT, SINCE_MS ago, is to be told LOAD.
   A change of state goes out at once; numbers go out when they have changed
   enough, as often as the bytes allowed for PEER_COUNT peers permit.  */
bool
peer_load_is_due (const frame_load_t *sent, const frame_load_t *load,
                  int64_t since_ms, unsigned peer_count)
{
  int64_t interval
      = (int64_t)peer_count * LOAD_FRAME_BYTES * 1000 / LOAD_BYTES_A_SECOND;

  if (sent->is_leaving != load->is_leaving || sent->is_cold != load->is_cold)
    return true;
  if (interval < LOAD_MIN_INTERVAL_MS)
    interval = LOAD_MIN_INTERVAL_MS;
  if (interval > LOAD_MAX_INTERVAL_MS)
    interval = LOAD_MAX_INTERVAL_MS;
  return since_ms >= interval && load_is_news (sent, load);
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

/* Tell the entries connected to this worker how loaded the upstream is, where
   that is news to them.  */
void
peer_announce_load (agent_worker_t *share)
{
  struct timespec now = clock_monotonic (worker_clock (share->worker));
  unsigned count = atomic_load (&share->agent->peer_count);
  frame_load_t load;
  agent_peer_t *peer;

  agent_fill_load (share->agent, &load);
  LIST_FOREACH (peer, &share->peers, peer_link)
    {
      int64_t since_ms
          = timespec_to_ms (timespec_subtract (now, peer->sent_load_at));

      if (link_is_open (peer->link)
          && peer_load_is_due (&peer->sent_load, &load, since_ms, count))
        peer_send_load (peer, &load);
    }
}

/* Show the settings in force here to the processes connected to this worker
   now, rather than with the next frame that goes there anyway.  */
void
peer_announce_settings (agent_worker_t *share)
{
  frame_t ping = { .header = { .type = FRAME_PING } };
  agent_peer_t *peer;

  LIST_FOREACH (peer, &share->peers, peer_link)
    {
      if (link_is_open (peer->link))
        link_send (peer->link, &ping);
    }
}

static void
peer_run_announce (task_t *task, worker_t *worker)
{
  agent_worker_t *share = CONTAINER_OF (task, agent_worker_t, announce_task);

  (void)worker;
  atomic_store (&share->is_announce_posted, false);
  peer_announce_load (share);
}

/* Have every worker tell its entries at once.  Callable from any worker.  */
void
peer_announce_everywhere (agent_t *agent)
{
  for (unsigned i = 0; i < agent->worker_count; i++)
    {
      agent_worker_t *share = &agent->workers[i];

      if (atomic_exchange (&share->is_announce_posted, true))
        continue;
      share->announce_task.run = peer_run_announce;
      worker_post (share->worker, &share->announce_task);
    }
}

/* Note when a process of another zone was last heard by this worker.  */
void
peer_note_contact (agent_worker_t *share)
{
  agent_t *agent = share->agent;
  int64_t newest = atomic_load (&agent->other_zone_contact_ms);
  agent_peer_t *peer;

  LIST_FOREACH (peer, &share->peers, peer_link)
    {
      int64_t heard_ms;

      if (!link_is_open (peer->link) || link_peer_role (peer->link) == NODE_CTL
          || strcmp (link_peer_zone (peer->link), node_zone (agent->node))
                 == 0)
        continue;
      atomic_store (&agent->has_other_zone, true);
      heard_ms = (int64_t)link_last_contact_ms (peer->link);
      while (heard_ms > newest
             && !atomic_compare_exchange_weak (&agent->other_zone_contact_ms,
                                               &newest, heard_ms))
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
  agent_worker_t *share = agent_worker_of (peer->agent, link_worker (link));

  switch (frame->header.type)
    {
    case FRAME_SUBMIT:
      job_submit (share, link, frame);
      break;
    case FRAME_ACK:
      job_acknowledge (share, frame);
      break;
    case FRAME_CANCEL:
      job_cancel (share, frame);
      break;
    case FRAME_RESUME:
      job_resume (share, link, frame);
      break;
    case FRAME_MAP_COMMAND:
      group_route_command (share, link, frame);
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
  stop_note_progress (peer->agent);
  talloc_free (peer);
}

static const link_ops_t peer_ops = {
  .on_open = peer_on_open,
  .on_frame = peer_on_frame,
  .on_closed = peer_on_closed,
};

static void
peer_take_connection (task_t *task, worker_t *worker)
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
      atomic_fetch_add (&agent->peer_count, 1);
      counter_add (&peers_gauge, 1);
    }
  talloc_free (handover);
}

/* Hand a new connection to the next worker.  */
void
peer_accept (stream_t *stream, void *data)
{
  agent_t *agent = data;
  pool_t *pool = daemon_pool (agent->daemon);
  handover_t *handover = talloc_zero (NULL, handover_t);

  if (handover == NULL)
    {
      stream_close (stream);
      return;
    }
  handover->task.run = peer_take_connection;
  handover->agent = agent;
  handover->stream = stream;
  worker_post (pool_worker (pool, (unsigned)(agent->next_worker++
                                             % agent->worker_count)),
               &handover->task);
}
