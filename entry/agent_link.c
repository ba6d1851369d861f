#include "entry/agent_link.h"

#include "entry/call.h"

#include "kernel/log.h"

#include <string.h>

enum
{
  RECONNECT_MIN_MS = 50,
  RECONNECT_MAX_MS = 1000
};

/* The connection LINK is opened again whenever it closes.  */
struct agent_link
{
  LIST_ENTRY (agent_link) entry_link;
  entry_worker_t *entry_worker;
  char *upstream;
  char *address_text;
  net_address_t address;
  link_t *link;
  worker_timer_t *timer;
  int64_t delay_ms;
  bool is_target; /* the router lists it; otherwise it is kept for its open
                     calls only */
  struct call_list calls;
};

static void agent_link_schedule_reconnect (agent_link_t *agent_link);

/* The handshake with the agent has succeeded: mark the upstream as reachable
   and resume the calls of this link.  */
static void
agent_link_on_open (link_t *link, const frame_hello_t *peer, void *data)
{
  agent_link_t *agent_link = data;
  entry_worker_t *entry_worker = agent_link->entry_worker;

  (void)peer;
  (void)link;
  agent_link->delay_ms = RECONNECT_MIN_MS;
  if (agent_link->is_target)
    router_set_reachable (entry_worker->entry->router, agent_link->upstream,
                          worker_index (entry_worker->worker), true);
  call_handle_link_open (agent_link);
  call_wake_waiting (entry_worker);
}

/* Pass the agent's load report to the router.  */
static void
agent_link_handle_load (agent_link_t *agent_link, const frame_load_t *load)
{
  entry_worker_t *entry_worker = agent_link->entry_worker;
  pick_report_t report = {
    .is_known = true,
    .at = clock_monotonic (worker_clock (entry_worker->worker)),
    .outstanding_requests = load->outstanding_requests,
    .outstanding_tokens = load->outstanding_tokens,
    .limit_requests = load->limit_requests,
    .limit_tokens = load->limit_tokens,
    .queued_requests = load->queued_requests,
    .is_cold = load->is_cold,
  };

  if (!agent_link->is_target)
    return;
  router_record_report (entry_worker->entry->router, agent_link->upstream,
                        &report, load->is_leaving);
  if (!load->is_leaving)
    call_wake_waiting (entry_worker);
}

static void
agent_link_on_frame (link_t *link, const frame_t *frame, void *data)
{
  agent_link_t *agent_link = data;

  switch (frame->header.type)
    {
    case FRAME_LOAD:
      agent_link_handle_load (agent_link, &frame->body.load);
      break;
    case FRAME_HEAD:
    case FRAME_CHUNK:
    case FRAME_END:
    case FRAME_REFUSE:
      call_handle_frame (agent_link, frame);
      break;
    default:
      link_close (link, "unexpected-frame");
      break;
    }
}

static void
agent_link_release (agent_link_t *agent_link)
{
  LIST_REMOVE (agent_link, entry_link);
  talloc_free (agent_link);
}

/* The connection was closed: schedule a reconnection, or free a link that is
   no longer used.  */
static void
agent_link_on_closed (link_t *link, const char *reason, void *data)
{
  agent_link_t *agent_link = data;
  entry_worker_t *entry_worker = agent_link->entry_worker;

  (void)link;
  agent_link->link = NULL;
  log_event (LOG_LEVEL_NOTICE, "agent-link-closed", "upstream=%s reason=%s",
             agent_link->upstream, reason);
  if (agent_link->is_target)
    router_set_reachable (entry_worker->entry->router, agent_link->upstream,
                          worker_index (entry_worker->worker), false);
  if (!agent_link->is_target && LIST_EMPTY (&agent_link->calls))
    {
      agent_link_release (agent_link);
      return;
    }
  agent_link_schedule_reconnect (agent_link);
  call_handle_link_lost (agent_link);
}

static const link_ops_t agent_link_ops = {
  .on_open = agent_link_on_open,
  .on_frame = agent_link_on_frame,
  .on_closed = agent_link_on_closed,
};

static void
agent_link_connect (agent_link_t *agent_link)
{
  agent_link->link = link_connect (
      agent_link->entry_worker->worker, agent_link->entry_worker->entry->node,
      &agent_link->address, &agent_link_ops, agent_link);
  if (agent_link->link == NULL)
    agent_link_schedule_reconnect (agent_link);
}

static void
agent_link_handle_timer (worker_t *worker, void *data)
{
  agent_link_t *agent_link = data;

  (void)worker;
  agent_link->timer = NULL;
  agent_link_connect (agent_link);
}

/* Schedule the next connection attempt.  The delay doubles with each attempt
   up to RECONNECT_MAX_MS.  */
static void
agent_link_schedule_reconnect (agent_link_t *agent_link)
{
  int64_t delay = agent_link->delay_ms;

  agent_link->timer = worker_timer_start (agent_link->entry_worker->worker,
                                          agent_link, timespec_from_ms (delay),
                                          agent_link_handle_timer, agent_link);
  agent_link->delay_ms
      = delay * 2 > RECONNECT_MAX_MS ? RECONNECT_MAX_MS : delay * 2;
}

/* Return the worker's link for new calls to UPSTREAM, or NULL.  */
agent_link_t *
agent_link_find (entry_worker_t *entry_worker, const char *upstream)
{
  agent_link_t *agent_link;

  LIST_FOREACH (agent_link, &entry_worker->links, entry_link)
    {
      if (agent_link->is_target
          && strcmp (agent_link->upstream, upstream) == 0)
        return agent_link;
    }
  return NULL;
}

/* Return whether the connection is up and its handshake is complete.  */
bool
agent_link_is_open (const agent_link_t *agent_link)
{
  return agent_link->link != NULL && link_is_open (agent_link->link);
}

/* Return the incarnation of the agent at the other end of an open
   connection.  */
uint64_t
agent_link_incarnation (const agent_link_t *agent_link)
{
  return link_peer_incarnation (agent_link->link);
}

/* Return the name of the upstream.  */
const char *
agent_link_upstream (const agent_link_t *agent_link)
{
  return agent_link->upstream;
}

/* Return the entry's state on the worker that owns the link.  */
entry_worker_t *
agent_link_entry_worker (const agent_link_t *agent_link)
{
  return agent_link->entry_worker;
}

/* Return the calls that are submitted to this agent.  */
struct call_list *
agent_link_calls (agent_link_t *agent_link)
{
  return &agent_link->calls;
}

/* Close the connection of an unused link, whose on_closed then frees the link,
   or free the link at once if it is not connected.  */
static void
agent_link_close_unused (worker_t *worker, void *data)
{
  agent_link_t *agent_link = data;

  (void)worker;
  agent_link->timer = NULL;
  if (agent_link->is_target || !LIST_EMPTY (&agent_link->calls))
    return;
  if (agent_link->link != NULL)
    link_close (agent_link->link, "not-wanted");
  else
    agent_link_release (agent_link);
}

/* Close a link that is no longer a target once its last call has ended.  This
   is done from the event loop, because the caller may be in a callback of the
   connection.  */
static void
agent_link_schedule_close (agent_link_t *agent_link)
{
  if (agent_link->is_target || !LIST_EMPTY (&agent_link->calls))
    return;
  TALLOC_FREE (agent_link->timer);
  agent_link->timer = worker_timer_start (agent_link->entry_worker->worker,
                                          agent_link, timespec_from_ms (0),
                                          agent_link_close_unused, agent_link);
}

/* Add CALL, which is about to be submitted to this agent.  */
void
agent_link_attach (agent_link_t *agent_link, call_t *call)
{
  LIST_INSERT_HEAD (&agent_link->calls, call, agent_entry);
}

/* Remove CALL, which has ended or leaves this agent.  */
void
agent_link_detach (agent_link_t *agent_link, call_t *call)
{
  LIST_REMOVE (call, agent_entry);
  agent_link_schedule_close (agent_link);
}

/* Send FRAME.  Returns STATUS_UNAVAILABLE when the connection is down, in
   which case the frame was not sent.  */
status_t
agent_link_send (agent_link_t *agent_link, const frame_t *frame)
{
  if (!agent_link_is_open (agent_link))
    return status_set (STATUS_UNAVAILABLE, "no connection to the agent of %s",
                       agent_link->upstream);
  return link_send (agent_link->link, frame);
}

/* Create a link to TARGET and start connecting.  */
static void
agent_link_add (entry_worker_t *entry_worker, const router_target_t *target)
{
  agent_link_t *agent_link
      = talloc_zero (worker_events (entry_worker->worker), agent_link_t);

  if (agent_link == NULL)
    return;
  agent_link->entry_worker = entry_worker;
  agent_link->upstream = talloc_strdup (agent_link, target->upstream);
  agent_link->address_text = talloc_strdup (agent_link, target->address);
  agent_link->delay_ms = RECONNECT_MIN_MS;
  agent_link->is_target = true;
  LIST_INIT (&agent_link->calls);
  if (net_address_parse (agent_link, target->address, &agent_link->address)
      != STATUS_OK)
    {
      log_event (LOG_LEVEL_ERROR, "invalid-address",
                 "upstream=%s error=\"%s\"", target->upstream,
                 status_message ());
      talloc_free (agent_link);
      return;
    }
  LIST_INSERT_HEAD (&entry_worker->links, agent_link, entry_link);
  agent_link_connect (agent_link);
}

/* Use the link for no new calls.  Its open calls continue.  */
static void
agent_link_retire (agent_link_t *agent_link)
{
  agent_link->is_target = false;
  router_set_reachable (
      agent_link->entry_worker->entry->router, agent_link->upstream,
      worker_index (agent_link->entry_worker->worker), false);
  agent_link_schedule_close (agent_link);
}

static const router_target_t *
agent_link_find_target (const agent_link_t *agent_link,
                        const router_target_list_t *targets)
{
  const router_target_t *target;

  SLIST_FOREACH (target, targets, link)
    {
      if (strcmp (target->upstream, agent_link->upstream) == 0
          && strcmp (target->address, agent_link->address_text) == 0)
        return target;
    }
  return NULL;
}

/* Send a PING to all connected agents, so that they learn this entry's
   settings revision now rather than with the next frame.  */
void
agent_link_ping_all (entry_worker_t *entry_worker)
{
  frame_t ping = { .header = { .type = FRAME_PING } };
  agent_link_t *agent_link;

  LIST_FOREACH (agent_link, &entry_worker->links, entry_link)
    {
      if (agent_link_is_open (agent_link))
        link_send (agent_link->link, &ping);
    }
}

/* Add and retire links so that they match the router's targets.  */
void
agent_link_sync_targets (entry_worker_t *entry_worker)
{
  TALLOC_CTX *scratch = talloc_new (worker_events (entry_worker->worker));
  router_target_list_t targets;
  router_target_t *target;
  agent_link_t *agent_link;

  router_list_targets (entry_worker->entry->router, scratch, &targets);
  LIST_FOREACH (agent_link, &entry_worker->links, entry_link)
    {
      if (agent_link->is_target
          && agent_link_find_target (agent_link, &targets) == NULL)
        agent_link_retire (agent_link);
    }
  SLIST_FOREACH (target, &targets, link)
    {
      if (agent_link_find (entry_worker, target->upstream) == NULL)
        agent_link_add (entry_worker, target);
    }
  talloc_free (scratch);
}

/* Close all connections.  The worker must not be running.  */
void
agent_link_close_all (entry_worker_t *entry_worker)
{
  agent_link_t *agent_link;

  while ((agent_link = LIST_FIRST (&entry_worker->links)) != NULL)
    {
      LIST_REMOVE (agent_link, entry_link);
      talloc_free (agent_link);
    }
}
