#include "common/settings_peers.h"

#include "common/link.h"
#include "kernel/log.h"

#include <sys/queue.h>

enum
{
  COLLECT_TIMEOUT_MS = 1500, /* time for the other peers to respond after
                                the first settings were received */
  RECONNECT_DELAY_MS = 500
};

typedef struct settings_peer
{
  STAILQ_ENTRY (settings_peer) entry;
  settings_peers_t *peers;
  net_address_t address;
  link_t *link;
  worker_timer_t *timer;
  bool has_reported; /* REPORTED_REVISION is set, by the current connection */
  bool has_failed;
  uint64_t reported_revision;
} settings_peer_t;

struct settings_peers
{
  worker_t *worker;
  node_t *node;
  bool is_finished;
  bool is_timed_out;
  worker_timer_t *timer;
  node_subscription_t received; /* runs peers_handle_received */
  STAILQ_HEAD (, settings_peer) list;
};

static void peers_check (settings_peers_t *peers);

static void
peer_on_open (link_t *link, const frame_hello_t *hello, void *data)
{
  (void)link;
  (void)hello;
  (void)data;
}

static void
peer_on_frame (link_t *link, const frame_t *frame, void *data)
{
  settings_peer_t *peer = data;

  (void)link;
  peer->has_reported = true;
  peer->reported_revision = frame->header.settings_revision;
  peers_check (peer->peers);
}

static void
peer_on_revision (link_t *link, uint64_t revision, uint64_t age_ms, void *data)
{
  settings_peer_t *peer = data;

  (void)link;
  (void)age_ms;
  peer->has_reported = true;
  peer->reported_revision = revision;
  peers_check (peer->peers);
}

static void peer_connect (settings_peer_t *peer);

static void
peer_handle_timer (worker_t *worker, void *data)
{
  settings_peer_t *peer = data;

  (void)worker;
  peer->timer = NULL;
  peer_connect (peer);
}

static void
peer_handle_failure (settings_peer_t *peer)
{
  peer->link = NULL;
  peer->has_reported = false;
  peer->has_failed = true;
  if (peer->peers->is_finished)
    return;
  peer->timer = worker_timer_start (peer->peers->worker, peer,
                                    timespec_from_ms (RECONNECT_DELAY_MS),
                                    peer_handle_timer, peer);
  peers_check (peer->peers);
}

static void
peer_on_closed (link_t *link, const char *reason, void *data)
{
  (void)link;
  (void)reason;
  peer_handle_failure (data);
}

static const link_ops_t peer_ops = {
  .on_open = peer_on_open,
  .on_frame = peer_on_frame,
  .on_closed = peer_on_closed,
  .on_revision = peer_on_revision,
};

static void
peer_connect (settings_peer_t *peer)
{
  settings_peers_t *peers = peer->peers;

  peer->link = link_connect (peers->worker, peers->node, &peer->address,
                             &peer_ops, peer);
  if (peer->link == NULL)
    peer_handle_failure (peer);
}

/* Stop asking the peers: close their connections and apply the newest settings
   received.  A second call has no effect.  */
void
settings_peers_finish (settings_peers_t *peers)
{
  settings_peer_t *peer;

  if (peers->is_finished)
    return;
  peers->is_finished = true;
  TALLOC_FREE (peers->timer);
  STAILQ_FOREACH (peer, &peers->list, entry)
    {
      TALLOC_FREE (peer->timer);
      if (peer->link != NULL)
        link_close (peer->link, "settings-known");
    }
  node_apply_deferred_settings (peers->node);
}

/* Return whether each peer either has reported a revision up to REVISION or
   cannot be reached.  */
static bool
peers_have_none_newer (const settings_peers_t *peers, uint64_t revision)
{
  const settings_peer_t *peer;

  STAILQ_FOREACH (peer, &peers->list, entry)
    {
      if (peer->has_reported ? peer->reported_revision > revision
                             : !peer->has_failed)
        return false;
    }
  return true;
}

static void
peers_handle_timer (worker_t *worker, void *data)
{
  settings_peers_t *peers = data;

  (void)worker;
  peers->timer = NULL;
  peers->is_timed_out = true;
  peers_check (peers);
}

/* Finish once settings were received and no reachable peer has newer ones, or
   once the peers that have not responded have timed out.  */
static void
peers_check (settings_peers_t *peers)
{
  uint64_t revision = node_settings_revision (peers->node);

  if (peers->is_finished || revision == 0)
    return;
  if (peers->is_timed_out || peers_have_none_newer (peers, revision))
    {
      log_event (LOG_LEVEL_NOTICE, "settings-from-peers", "revision=%llu",
                 (unsigned long long)revision);
      settings_peers_finish (peers);
    }
  else if (peers->timer == NULL)
    peers->timer = worker_timer_start (peers->worker, peers,
                                       timespec_from_ms (COLLECT_TIMEOUT_MS),
                                       peers_handle_timer, peers);
}

/* The frame that shows a peer's revision comes before the settings themselves,
   and after these the peer may send nothing more.  */
static void
peers_handle_received (worker_t *worker, void *data)
{
  (void)worker;
  peers_check (data);
}

/* Connect to the peers in CONFIG, on WORKER's event loop, and let NODE defer
   received settings until settings_peers_finish.  Returns NULL when there are
   no peers.  */
settings_peers_t *
settings_peers_create (worker_t *worker, node_t *node, const config_t *config)
{
  settings_peers_t *peers;
  const schema_string_t *text;

  if (STAILQ_EMPTY (&config->peers))
    return NULL;
  peers = talloc_zero (worker_events (worker), settings_peers_t);
  if (peers == NULL)
    return NULL;
  peers->worker = worker;
  peers->node = node;
  STAILQ_INIT (&peers->list);
  peers->received = (node_subscription_t){ .worker = worker,
                                           .handler = peers_handle_received,
                                           .data = peers };
  node_defer_settings (node, &peers->received);
  STAILQ_FOREACH (text, &config->peers, link)
    {
      settings_peer_t *peer = talloc_zero (peers, settings_peer_t);

      peer->peers = peers;
      if (net_address_parse (peer, text->text, &peer->address) != STATUS_OK)
        {
          log_event (LOG_LEVEL_ERROR, "bad-peer-address", "error=\"%s\"",
                     status_message ());
          talloc_free (peer);
          continue;
        }
      STAILQ_INSERT_TAIL (&peers->list, peer, entry);
      peer_connect (peer);
    }
  return peers;
}
