#include "agent/group.h"

#include "kernel/log.h"

#include <string.h>

/* Update the addresses of the other ranks' agents from SETTINGS.  A connection
   to a changed address is closed.  */
void
group_peers_configure (group_t *group, const settings_t *settings)
{
  const upstream_t *upstream;

  STAILQ_FOREACH (upstream, &settings->upstreams, link)
    {
      group_peer_t *peer;

      if (strcmp (upstream->group, group->name) != 0
          || (unsigned)upstream->rank >= group->rank_count)
        continue;
      peer = &group->peers[upstream->rank];
      if (peer->address_text != NULL
          && strcmp (peer->address_text, upstream->address) == 0)
        continue;
      if (peer->link != NULL)
        link_close (peer->link, "address-changed");
      talloc_free (peer->address_text);
      peer->group = group;
      peer->rank = (unsigned)upstream->rank;
      peer->address_text = talloc_strdup (group, upstream->address);
      if (net_address_parse (group, peer->address_text, &peer->address)
          != STATUS_OK)
        TALLOC_FREE (peer->address_text);
    }
}

static void
peer_on_open (link_t *link, const frame_hello_t *hello, void *data)
{
  (void)link;
  (void)hello;
  (void)data;
}

static void
peer_receive_reply (group_t *group, const frame_map_reply_t *frame)
{
  group_reply_t reply;

  if (strcmp (frame->group, group->name) != 0
      || group_reply_from_frame (frame, &reply) != STATUS_OK
      || group_maps_decode (group->maps, frame->maps) != STATUS_OK)
    {
      log_event (LOG_LEVEL_WARN, "map-reply-refused", "group=%s error=\"%s\"",
                 frame->group, status_message ());
      return;
    }
  group_leadership_receive (group->leadership, &reply);
}

static void
peer_on_frame (link_t *link, const frame_t *frame, void *data)
{
  group_peer_t *peer = data;

  switch (frame->header.type)
    {
    case FRAME_MAP_REPLY:
      peer_receive_reply (peer->group, &frame->body.map_reply);
      break;
    case FRAME_MAP_COUNTS:
      group_leadership_handle_counts (peer->group->leadership,
                                      &frame->body.map_counts);
      break;
    case FRAME_LOAD:
      break;
    default:
      link_close (link, "unexpected-frame");
      break;
    }
}

static void
peer_on_closed (link_t *link, const char *reason, void *data)
{
  group_peer_t *peer = data;

  (void)reason;
  if (peer->link == link)
    peer->link = NULL;
}

static const link_ops_t peer_ops = {
  .on_open = peer_on_open,
  .on_frame = peer_on_frame,
  .on_closed = peer_on_closed,
};

/* Connect to the agents of all other ranks that are not connected.  */
void
group_peers_open (group_t *group)
{
  for (unsigned i = 0; i < group->rank_count; i++)
    {
      group_peer_t *peer = &group->peers[i];

      if (i != group->rank && peer->link == NULL && peer->address_text != NULL)
        peer->link = link_connect (group->options.worker, group->options.node,
                                   &peer->address, &peer_ops, peer);
    }
}

/* Close all connections; only a coordinator needs them.  */
void
group_peers_close (group_t *group)
{
  for (unsigned i = 0; i < group->rank_count; i++)
    {
      if (group->peers[i].link != NULL)
        link_close (group->peers[i].link, "not-coordinator");
    }
}

/* Send COMMAND to its rank, with the maps it refers to if the rank needs them.
   A command that cannot be sent is dropped; the coordinator sends it
   again.  */
void
group_peers_send (group_t *group, const group_command_t *command,
                  bool wants_counts)
{
  frame_t frame = { .header = { .type = FRAME_MAP_COMMAND } };
  group_peer_t *peer = &group->peers[command->rank];
  TALLOC_CTX *scratch;

  if (command->rank == group->rank)
    {
      group_post_command (group, command, wants_counts);
      return;
    }
  if (peer->link == NULL)
    return;
  scratch = talloc_new (group);
  group_command_to_frame (group, command, &frame.body.map_command);
  frame.body.map_command.wants_counts = wants_counts;
  if (command->kind == GROUP_PREPARE || command->kind == GROUP_JOIN)
    frame.body.map_command.maps = group_maps_encode (
        scratch, group->maps, command->schedule.base, command->schedule.next);
  link_send (peer->link, &frame);
  talloc_free (scratch);
}
