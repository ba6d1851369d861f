#ifndef SISKIN_ENTRY_ENTRY_H
#define SISKIN_ENTRY_ENTRY_H

#include "common/daemon.h"
#include "common/link.h"
#include "entry/router.h"
#include "kernel/table.h"
#include "plugins/frontend.h"
#include "plugins/store.h"

#include <stdatomic.h>
#include <sys/queue.h>

typedef struct entry entry_t;
typedef struct agent_link agent_link_t;

/* The state of the entry on one worker.  */
struct entry_worker
{
  entry_t *entry;
  worker_t *worker;
  store_t *store; /* worker 0 only */
  frontend_t *frontend;
  worker_timer_t *timer;            /* periodic check for new settings */
  node_subscription_t subscription; /* notifies of changed settings */
  /* Value of the entry's configured_revision for which LINKS was last
     updated.  */
  uint64_t links_revision;
  LIST_HEAD (, agent_link) links;
  unsigned open_calls;
  TAILQ_HEAD (, call) waiting; /* calls with no upstream available yet */
  unsigned waiting_count;
  worker_timer_t *wake_timer; /* next attempt to submit the calls in WAITING */
  task_t stop_task;
};

struct entry
{
  daemon_t *daemon;
  node_t *node;
  router_t *router;
  table_t *calls; /* call_t by attempt_id */
  const store_ops_t *store_ops;
  const frontend_ops_t *frontend_ops;
  unsigned worker_count;
  entry_worker_t *workers;
  /* Last sequence number that was used for a request or attempt id.  */
  atomic_uint_fast64_t last_sequence;
  atomic_bool is_stopping;
  atomic_uint busy_workers; /* workers with open requests, while stopping */
  /* Revision of the settings that the router was last configured with.  */
  atomic_uint_fast64_t configured_revision;
};

#endif
