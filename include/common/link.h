#ifndef SISKIN_COMMON_LINK_H
#define SISKIN_COMMON_LINK_H

#include "common/frame.h"
#include "common/net.h"
#include "common/node.h"
#include "common/transport.h"
#include "kernel/pool.h"

#include <stdbool.h>

/* A connection to another process of the system, owned by one worker.  The
   link exchanges FRAME_HELLO with the peer, serves its requests for settings
   and requests newer settings from it.  All other frames are passed to the
   link's owner.  */
typedef struct link link_t;

typedef struct link_ops
{
  /* The peer's FRAME_HELLO was received; PEER is valid during the call.  */
  void (*on_open) (link_t *link, const frame_hello_t *peer, void *data);
  /* A frame was received that the link does not handle itself.  FRAME and the
     data it refers to are valid during the call.  */
  void (*on_frame) (link_t *link, const frame_t *frame, void *data);
  /* The connection ended; the link is freed after the call.  */
  void (*on_closed) (link_t *link, const char *reason, void *data);
  /* The settings revision in the peer's frames changed; AGE_MS is the
     confirmed_age_ms of the frame header.  May be NULL.  */
  void (*on_revision) (link_t *link, uint64_t revision, uint64_t age_ms,
                       void *data);
} link_ops_t;

link_t *link_accept (worker_t *worker, node_t *node, stream_t *stream,
                     const link_ops_t *ops, void *data);
link_t *link_connect (worker_t *worker, node_t *node,
                      const net_address_t *address, const link_ops_t *ops,
                      void *data);
void link_close (link_t *link, const char *reason);
status_t link_send (link_t *link, const frame_t *frame);
bool link_is_open (const link_t *link);
const char *link_peer_name (const link_t *link);
const char *link_peer_zone (const link_t *link);
uint64_t link_peer_incarnation (const link_t *link);
node_role_t link_peer_role (const link_t *link);
worker_t *link_worker (const link_t *link);
uint64_t link_last_contact_ms (const link_t *link);

#endif
