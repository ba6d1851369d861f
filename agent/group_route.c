#include "agent/group_route.h"

#include "kernel/log.h"

/* A frame that is passed between the worker that owns a connection and worker
   0, which owns the group.  */
typedef struct frame_handoff
{
  task_t task;
  agent_t *agent;
  group_route_t route;
  frame_t frame;
} frame_handoff_t;

static void
blob_copy (TALLOC_CTX *parent, blob_t *blob)
{
  blob->data = talloc_memdup (parent, blob->data, blob->size);
}

/* Create a deep copy of FRAME for another worker.  */
static frame_handoff_t *
handoff_create (agent_t *agent, const group_route_t *route,
                const frame_t *frame)
{
  frame_handoff_t *handoff = talloc_zero (NULL, frame_handoff_t);

  if (handoff == NULL)
    return NULL;
  handoff->agent = agent;
  handoff->route = *route;
  handoff->frame = *frame;
  if (frame->header.type == FRAME_MAP_COMMAND)
    {
      frame_map_command_t *order = &handoff->frame.body.map_command;

      order->group = talloc_strdup (handoff, order->group);
      blob_copy (handoff, &order->maps);
    }
  else if (frame->header.type == FRAME_MAP_REPLY)
    {
      frame_map_reply_t *reply = &handoff->frame.body.map_reply;

      reply->group = talloc_strdup (handoff, reply->group);
      blob_copy (handoff, &reply->maps);
    }
  else
    {
      frame_map_counts_t *counts = &handoff->frame.body.map_counts;

      counts->group = talloc_strdup (handoff, counts->group);
      blob_copy (handoff, &counts->tokens);
    }
  return handoff;
}

static void
handoff_deliver_command (task_t *task, worker_t *worker)
{
  frame_handoff_t *handoff = CONTAINER_OF (task, frame_handoff_t, task);
  group_t *group = handoff->agent->group;

  (void)worker;
  if (group != NULL)
    group_receive_frame (group, &handoff->route,
                         &handoff->frame.body.map_command);
  talloc_free (handoff);
}

/* Pass a command to the worker that owns the group.  */
void
group_route_command (agent_worker_t *agent_worker, const link_t *link,
                     const frame_t *frame)
{
  agent_t *agent = agent_worker->agent;
  group_route_t route = { .worker = worker_index (agent_worker->worker),
                          .peer_incarnation = link_peer_incarnation (link) };
  frame_handoff_t *handoff = handoff_create (agent, &route, frame);

  if (handoff == NULL)
    return;
  handoff->task.run = handoff_deliver_command;
  worker_post (agent->workers[0].worker, &handoff->task);
}

static void
handoff_deliver_reply (task_t *task, worker_t *worker)
{
  frame_handoff_t *handoff = CONTAINER_OF (task, frame_handoff_t, task);
  agent_worker_t *agent_worker = agent_worker_of (handoff->agent, worker);
  agent_peer_t *peer;

  LIST_FOREACH (peer, &agent_worker->peers, peer_link)
    {
      if (link_is_open (peer->link)
          && link_peer_incarnation (peer->link)
                 == handoff->route.peer_incarnation)
        {
          link_send (peer->link, &handoff->frame);
          break;
        }
    }
  talloc_free (handoff);
}

/* Send a reply over the connection on which its command arrived, if that is
   still open.  */
static void
route_reply (const group_route_t *route, const frame_t *frame, void *data)
{
  agent_t *agent = data;
  frame_handoff_t *handoff = handoff_create (agent, route, frame);

  if (handoff == NULL)
    return;
  handoff->task.run = handoff_deliver_reply;
  worker_post (agent->workers[route->worker].worker, &handoff->task);
}

static void
route_join (agent_t *agent, const settings_t *settings,
            const upstream_t *upstream)
{
  const config_t *config = daemon_config (agent->daemon);
  group_options_t options = { .worker = agent->workers[0].worker,
                              .node = agent->node,
                              .store_ops = agent->store_ops,
                              .store = agent->workers[0].store,
                              .engine = config->engine,
                              .engine_url = config->upstream,
                              .reply = route_reply,
                              .data = agent };

  agent->group = group_create (agent, &options, settings, upstream);
  if (agent->group == NULL)
    log_event (LOG_LEVEL_ERROR, "group-not-joined", "error=\"%s\"",
               status_message ());
}

/* Apply new settings, and join the group that they assign to the upstream.
   Call this on worker 0.  */
void
group_route_configure (agent_t *agent, const settings_t *settings)
{
  const upstream_t *upstream
      = settings_upstream (settings, node_name (agent->node));

  if (agent->group != NULL)
    group_configure (agent->group, settings);
  else if (upstream != NULL && upstream->group[0] != '\0')
    route_join (agent, settings, upstream);
}
