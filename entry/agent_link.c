#include "entry/call.h"
#include "entry/entry.h"

#include "kernel/log.h"

#include <string.h>

enum
{
  RECONNECT_FIRST_MS = 50,
  RECONNECT_MAX_MS = 1000
};

/* This worker's connection to the agent beside one upstream, made anew
   whenever it breaks.  */
struct agent_link
{
  LIST_ENTRY (agent_link) entry_link;
  entry_worker_t *share;
  char *upstream;
  char *address_text;
  net_address_t address;
  link_t *link;
  worker_timer_t *timer;
  int64_t delay_ms;
  bool is_wanted; /* still in the settings */
};

static void agent_link_arm (agent_link_t *agent_link);

static void
agent_link_on_open (link_t *link, const frame_hello_t *peer, void *data)
{
  agent_link_t *agent_link = data;
  entry_worker_t *share = agent_link->share;

  (void)peer;
  agent_link->delay_ms = RECONNECT_FIRST_MS;
  router_set_reachable (share->entry->router, agent_link->upstream,
                        worker_index (share->worker), true);
  call_handle_link_open (share, agent_link->upstream,
                         link_peer_incarnation (link));
}

static void
agent_link_note_load (agent_link_t *agent_link, const frame_load_t *load)
{
  entry_worker_t *share = agent_link->share;
  pick_report_t report = {
    .is_known = true,
    .at = clock_monotonic (worker_clock (share->worker)),
    .outstanding_requests = load->outstanding_requests,
    .outstanding_tokens = load->outstanding_tokens,
    .limit_requests = load->limit_requests,
    .limit_tokens = load->limit_tokens,
    .queued_requests = load->queued_requests,
    .is_cold = load->is_cold,
  };

  router_note_report (share->entry->router, agent_link->upstream, &report,
                      load->is_leaving);
}

static void
agent_link_on_frame (link_t *link, const frame_t *frame, void *data)
{
  agent_link_t *agent_link = data;

  switch (frame->header.type)
    {
    case FRAME_LOAD:
      agent_link_note_load (agent_link, &frame->body.load);
      break;
    case FRAME_HEAD:
    case FRAME_CHUNK:
    case FRAME_END:
    case FRAME_REFUSE:
      call_handle_frame (agent_link->share, frame);
      break;
    default:
      link_close (link, "unexpected-frame");
      break;
    }
}

static void
agent_link_on_closed (link_t *link, const char *reason, void *data)
{
  agent_link_t *agent_link = data;
  entry_worker_t *share = agent_link->share;

  (void)link;
  agent_link->link = NULL;
  log_event (LOG_LEVEL_INFO, "agent-link-closed", "upstream=%s reason=%s",
             agent_link->upstream, reason);
  router_set_reachable (share->entry->router, agent_link->upstream,
                        worker_index (share->worker), false);
  call_handle_link_lost (share, agent_link->upstream);
  if (agent_link->is_wanted)
    {
      agent_link_arm (agent_link);
      return;
    }
  LIST_REMOVE (agent_link, entry_link);
  talloc_free (agent_link);
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
      agent_link->share->worker, agent_link->share->entry->node,
      &agent_link->address, &agent_link_ops, agent_link);
  if (agent_link->link == NULL)
    agent_link_arm (agent_link);
}

static void
agent_link_handle_timer (worker_t *worker, void *data)
{
  agent_link_t *agent_link = data;

  (void)worker;
  agent_link->timer = NULL;
  agent_link_connect (agent_link);
}

/* Connect again after a while that doubles with each failure.  */
static void
agent_link_arm (agent_link_t *agent_link)
{
  int64_t delay = agent_link->delay_ms;

  agent_link->timer = worker_timer_start (agent_link->share->worker,
                                          agent_link, timespec_from_ms (delay),
                                          agent_link_handle_timer, agent_link);
  agent_link->delay_ms
      = delay * 2 > RECONNECT_MAX_MS ? RECONNECT_MAX_MS : delay * 2;
}

/* Return the worker's connection to the agent of UPSTREAM, or NULL.  */
agent_link_t *
agent_link_find (entry_worker_t *share, const char *upstream)
{
  agent_link_t *agent_link;

  LIST_FOREACH (agent_link, &share->links, entry_link)
    {
      if (strcmp (agent_link->upstream, upstream) == 0)
        return agent_link;
    }
  return NULL;
}

/* Send FRAME.  Returns STATUS_UNAVAILABLE when the connection is down; the
   frame was not sent then.  */
status_t
agent_link_send (agent_link_t *agent_link, const frame_t *frame)
{
  if (agent_link->link == NULL || !link_is_open (agent_link->link))
    return status_set (STATUS_UNAVAILABLE, "no connection to the agent of %s",
                       agent_link->upstream);
  return link_send (agent_link->link, frame);
}

static void
agent_link_add (entry_worker_t *share, const router_target_t *target)
{
  agent_link_t *agent_link
      = talloc_zero (worker_events (share->worker), agent_link_t);

  if (agent_link == NULL)
    return;
  agent_link->share = share;
  agent_link->upstream = talloc_strdup (agent_link, target->upstream);
  agent_link->address_text = talloc_strdup (agent_link, target->address);
  agent_link->delay_ms = RECONNECT_FIRST_MS;
  agent_link->is_wanted = true;
  if (net_address_parse (agent_link, target->address, &agent_link->address)
      != STATUS_OK)
    {
      log_event (LOG_LEVEL_ERROR, "bad-address", "upstream=%s error=\"%s\"",
                 target->upstream, status_message ());
      talloc_free (agent_link);
      return;
    }
  LIST_INSERT_HEAD (&share->links, agent_link, entry_link);
  agent_link_connect (agent_link);
}

static void
agent_link_drop (agent_link_t *agent_link)
{
  agent_link->is_wanted = false;
  if (agent_link->link != NULL)
    {
      link_close (agent_link->link, "not-wanted");
      return;
    }
  LIST_REMOVE (agent_link, entry_link);
  talloc_free (agent_link);
}

/* Bring the worker's connections in line with the router's targets.  */
void
agent_link_refresh (entry_worker_t *share)
{
  TALLOC_CTX *scratch = talloc_new (worker_events (share->worker));
  router_targets_t targets;
  router_target_t *target;
  agent_link_t *agent_link;
  agent_link_t *next;

  router_targets (share->entry->router, scratch, &targets);
  LIST_FOREACH (agent_link, &share->links, entry_link)
    agent_link->is_wanted = false;
  SLIST_FOREACH (target, &targets, link)
    {
      agent_link = agent_link_find (share, target->upstream);
      if (agent_link == NULL)
        agent_link_add (share, target);
      else if (strcmp (agent_link->address_text, target->address) == 0)
        agent_link->is_wanted = true;
      else
        {
          agent_link_drop (agent_link);
          agent_link_add (share, target);
        }
    }
  for (agent_link = LIST_FIRST (&share->links); agent_link != NULL;
       agent_link = next)
    {
      next = LIST_NEXT (agent_link, entry_link);
      if (!agent_link->is_wanted)
        agent_link_drop (agent_link);
    }
  talloc_free (scratch);
}

/* Close all connections; the worker is at rest.  */
void
agent_link_close_all (entry_worker_t *share)
{
  agent_link_t *agent_link;

  while ((agent_link = LIST_FIRST (&share->links)) != NULL)
    {
      LIST_REMOVE (agent_link, entry_link);
      talloc_free (agent_link);
    }
}
