#ifndef SISKIN_RELAY_RELAY_H
#define SISKIN_RELAY_RELAY_H

#include "common/daemon.h"
#include "common/lease_key.h"
#include "common/rules.h"
#include "kernel/lock.h"
#include "plugins/catalog.h"
#include "plugins/egress.h"
#include "plugins/ingress.h"
#include "plugins/store.h"
#include "relay/fleet.h"
#include "relay/retry_budget.h"

#include <stdatomic.h>
#include <sys/queue.h>

typedef struct relay relay_t;
typedef struct directory discovery_t;
typedef struct readiness readiness_t;
typedef struct feed feed_t;

/* One worker's share of the relay.  */
struct relay_worker
{
  relay_t *relay;
  worker_t *worker;
  ingress_t *ingress;
  egress_t *egress;
  LIST_HEAD (, forward) forwards;
  TAILQ_HEAD (, forward) waiting; /* no upstream can take them yet */
  worker_timer_t *wake_timer;
  /* Under way at an upstream, and may be sent again: those that heard of it
     last come last.  */
  TAILQ_HEAD (, forward) heard;
  worker_timer_t *sweep_timer;
  task_t change_task; /* rules or fleet have changed */
  atomic_bool is_change_posted;
  task_t stop_task;
};

struct relay
{
  daemon_t *daemon;
  const clock_source_t *clock;
  fleet_t *fleet;
  retry_budget_t *budget;
  lock_t *rules_lock;
  rules_t *rules; /* in force; NULL until the first are known */
  const catalog_ops_t *catalog_ops;
  const ingress_ops_t *ingress_ops;
  const egress_ops_t *egress_ops;
  const store_ops_t *store_ops;
  store_t *store;            /* worker 0 only */
  discovery_t *directory;    /* worker 0 only */
  lease_key_t *registration; /* worker 0 only */
  readiness_t *readiness;    /* worker 0 only */
  feed_t *feed;              /* worker 0 only */
  unsigned worker_count;
  relay_worker_t *workers;
  atomic_bool is_stopping;
  atomic_uint busy_workers; /* in a planned stop */
};

rules_t *relay_rules (relay_t *relay);
bool relay_adopt_rules (relay_t *relay, rules_t *rules);
void relay_notify_workers (relay_t *relay);

#endif
