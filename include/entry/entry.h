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

/* One worker's share of the entry.  */
struct entry_worker
{
  entry_t *entry;
  worker_t *worker;
  store_t *store; /* worker 0 only */
  frontend_t *frontend;
  worker_timer_t *timer;
  uint64_t linked_revision;
  LIST_HEAD (, agent_link) links;
};

struct entry
{
  daemon_t *daemon;
  node_t *node;
  router_t *router;
  table_t *calls; /* call_t by request id */
  const store_ops_t *store_ops;
  const frontend_ops_t *frontend_ops;
  unsigned worker_count;
  entry_worker_t *workers;
  atomic_uint_fast64_t next_sequence;
  atomic_uint open_calls;
  atomic_bool is_stopping;
  uint64_t configured_revision; /* worker 0 only */
};

agent_link_t *agent_link_find (entry_worker_t *share, const char *upstream);
void agent_link_refresh (entry_worker_t *share);
status_t agent_link_send (agent_link_t *agent_link, const frame_t *frame);
void agent_link_close_all (entry_worker_t *share);

#endif
