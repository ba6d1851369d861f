#ifndef SISKIN_COMMON_NODE_H
#define SISKIN_COMMON_NODE_H

#include "common/frame.h"
#include "common/settings.h"
#include "common/transport.h"
#include "kernel/clock.h"

#include <stdint.h>
#include <talloc.h>

/* Role of a process in its FRAME_HELLO.  */
typedef enum node_role
{
  NODE_ENTRY, /* entry or relay */
  NODE_AGENT, /* agent or pilot */
  NODE_CTL,   /* siskinctl */
  NODE_ROLE_COUNT
} node_role_t;

/* The identity of this process, as reported to its peers, and the newest
   settings that it has received.  The functions can be called from every
   worker.  */
typedef struct node node_t;

/* Runs HANDLER on WORKER after new settings were applied.  One run may cover
   several revisions in quick succession.  It is embedded in the subscribing
   object, which must live as long as the node's workers run.  */
typedef struct node_subscription
{
  STAILQ_ENTRY (node_subscription) link;
  worker_t *worker;
  worker_handler_t handler;
  void *data;
  task_t task;
  atomic_bool is_posted; /* TASK is queued and has not started */
} node_subscription_t;

node_t *node_create (TALLOC_CTX *parent, node_role_t role, const char *name,
                     const char *zone, const clock_source_t *clock);
void node_destroy (node_t *node);
const char *node_name (const node_t *node);
const char *node_zone (const node_t *node);
uint64_t node_incarnation (const node_t *node);
const clock_source_t *node_clock (const node_t *node);
void node_set_transport (node_t *node, transport_t *transport);
transport_t *node_transport (const node_t *node);

settings_t *node_settings (node_t *node);
status_t node_adopt_settings (node_t *node, const char *document, size_t size);
void node_subscribe (node_t *node, node_subscription_t *subscription);
/* Unless there are settings already, keep those received from now on without
   applying them: until node_apply_deferred_settings, node_settings returns
   NULL, no subscription runs and peers get revision 0.  Used at the start,
   when the first settings received may not be the newest.  RECEIVED's handler
   runs each time newer settings were received meanwhile.  */
void node_defer_settings (node_t *node, node_subscription_t *received);
void node_apply_deferred_settings (node_t *node);
uint64_t node_settings_revision (node_t *node);
/* Return whether there are settings, but a peer has reported a newer revision,
   which was requested and has not been received yet.  */
bool node_has_outdated_settings (node_t *node);
bool node_begin_settings_fetch (node_t *node, uint64_t revision);
void node_cancel_settings_fetch (node_t *node, uint64_t revision);
void node_confirm_settings (node_t *node, uint64_t revision, uint64_t age_ms);
uint64_t node_confirmed_age_ms (node_t *node);
void node_detect_pause (node_t *node);
void node_fill_header (node_t *node, frame_header_t *header);
void node_fill_hello (const node_t *node, frame_t *frame);

#endif
