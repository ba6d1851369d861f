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
  worker_timer_t *timer;
  node_subscription_t subscription;
  uint64_t links_revision; /* of the settings that LINKS follows */
  LIST_HEAD (, agent_link) links;
  unsigned open_calls;
  TAILQ_HEAD (, call) waiting; /* calls with no upstream available yet */
  unsigned waiting_count;
  worker_timer_t *wake_timer;
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
  atomic_uint_fast64_t next_sequence; /* of request ids */
  atomic_bool is_stopping;
  atomic_uint busy_workers; /* with open requests, while stopping */
  atomic_uint_fast64_t configured_revision; /* of the router's settings */
};

#endif
