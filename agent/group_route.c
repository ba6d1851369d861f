#include "agent/group_route.h"

#include "kernel/log.h"

/* A frame on its way between the worker of a connection and worker 0, which
   has the group.  */
typedef struct passage
{
  task_t task;
  agent_t *agent;
  group_route_t route;
  frame_t frame;
} passage_t;

static void
blob_copy (TALLOC_CTX *parent, blob_t *blob)
{
  blob->data = talloc_memdup (parent, blob->data, blob->size);
}

/* Copy FRAME with all it points to.  */
static passage_t *
passage_create (agent_t *agent, const group_route_t *route,
                const frame_t *frame)
{
  passage_t *passage = talloc_zero (NULL, passage_t);

  if (passage == NULL)
    return NULL;
  passage->agent = agent;
  passage->route = *route;
  passage->frame = *frame;
  if (frame->header.type == FRAME_MAP_COMMAND)
    {
      frame_map_command_t *order = &passage->frame.body.map_command;

      order->group = talloc_strdup (passage, order->group);
      blob_copy (passage, &order->maps);
    }
  else if (frame->header.type == FRAME_MAP_REPLY)
    {
      frame_map_reply_t *reply = &passage->frame.body.map_reply;

      reply->group = talloc_strdup (passage, reply->group);
      blob_copy (passage, &reply->maps);
    }
  else
    {
      frame_map_counts_t *counts = &passage->frame.body.map_counts;

      counts->group = talloc_strdup (passage, counts->group);
      blob_copy (passage, &counts->tokens);
    }
  return passage;
}

static void
passage_deliver_order (task_t *task, worker_t *worker)
{
  passage_t *passage = CONTAINER_OF (task, passage_t, task);
  group_t *group = passage->agent->group;

  (void)worker;
  if (group != NULL)
    group_receive_frame (group, &passage->route,
                         &passage->frame.body.map_command);
  talloc_free (passage);
}

/* Pass an order on to the worker that has the group.  */
void
group_route_command (agent_worker_t *share, const link_t *link,
                     const frame_t *frame)
{
  agent_t *agent = share->agent;
  group_route_t route = { .worker = worker_index (share->worker),
                          .peer_incarnation = link_peer_incarnation (link) };
  passage_t *passage = passage_create (agent, &route, frame);

  if (passage == NULL)
    return;
  passage->task.run = passage_deliver_order;
  worker_post (agent->workers[0].worker, &passage->task);
}

static void
passage_deliver_reply (task_t *task, worker_t *worker)
{
  passage_t *passage = CONTAINER_OF (task, passage_t, task);
  agent_worker_t *share = agent_worker_of (passage->agent, worker);
  agent_peer_t *peer;

  LIST_FOREACH (peer, &share->peers, peer_link)
    {
      if (link_is_open (peer->link)
          && link_peer_incarnation (peer->link)
                 == passage->route.peer_incarnation)
        {
          link_send (peer->link, &passage->frame);
          break;
        }
    }
  talloc_free (passage);
}

/* Send a reply over the connection its order came from, if it still stands. */
static void
route_reply (const group_route_t *route, const frame_t *frame, void *data)
{
  agent_t *agent = data;
  passage_t *passage = passage_create (agent, route, frame);

  if (passage == NULL)
    return;
  passage->task.run = passage_deliver_reply;
  worker_post (agent->workers[route->worker].worker, &passage->task);
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

/* Put new settings in force, and join the group that they name for the
   upstream.  On worker 0.  */
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
