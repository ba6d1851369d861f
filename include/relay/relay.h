#ifndef SISKIN_RELAY_RELAY_H
#define SISKIN_RELAY_RELAY_H

#include "common/daemon.h"
#include "common/gossip.h"
#include "common/lease_key.h"
#include "common/rules.h"
#include "kernel/lock.h"
#include "plugins/catalog.h"
#include "plugins/egress.h"
#include "plugins/ingress.h"
#include "plugins/store.h"
#include "relay/client_timeouts.h"
#include "relay/crashes.h"
#include "relay/fleet.h"
#include "relay/request_queue.h"
#include "relay/retry_budget.h"

#include <stdatomic.h>
#include <sys/queue.h>

typedef struct relay relay_t;
typedef struct discovery discovery_t;
typedef struct readiness readiness_t;
typedef struct feed feed_t;

/* The state of the relay that belongs to one worker.  */
struct relay_worker
{
  relay_t *relay;
  worker_t *worker;
  ingress_t *ingress;
  egress_t *egress;
  LIST_HEAD (, forward) forwards; /* all requests of this worker */
  request_queue_t *queue;         /* requests that no upstream can take yet */
  /* Next attempt to choose upstreams for the requests in QUEUE, whether or not
     they have been sent before.  */
  worker_timer_t *retry_timer;
  /* Requests with an attempt in progress that can be retried, ordered by the
     time of the last data from the upstream, oldest first.  */
  TAILQ_HEAD (, forward) watched;
  /* Next check of WATCHED for attempts without data for too long.  */
  worker_timer_t *idle_check_timer;
  task_t change_task;           /* handles changed rules or upstreams */
  atomic_bool is_change_posted; /* CHANGE_TASK is posted and has not run yet */
  task_t stop_task;
};

struct relay
{
  daemon_t *daemon;
  const clock_source_t *clock;
  fleet_t *fleet;
  retry_budget_t *budget;
  client_timeouts_t *client_timeouts;
  gossip_t *gossip;
  suspects_t *suspects;  /* owned by GOSSIP */
  rate_limits_t *limits; /* of upstreams; owned by GOSSIP */
  crashes_t *crashes;
  lock_t *rules_lock;
  rules_t *rules; /* current rules, guarded by RULES_LOCK; NULL until the first
                     are read */
  const catalog_ops_t *catalog_ops;
  const ingress_ops_t *ingress_ops;
  const egress_ops_t *egress_ops;
  const store_ops_t *store_ops;
  store_t *store;            /* worker 0 only */
  discovery_t *discovery;    /* worker 0 only */
  lease_key_t *registration; /* worker 0 only */
  readiness_t *readiness;    /* worker 0 only */
  feed_t *feed;              /* worker 0 only */
  unsigned worker_count;
  relay_worker_t *workers;
  atomic_bool is_stopping;
  /* Of a planned stop; valid if IS_STOPPING.  From STOP_ACCEPTS_UNTIL on only
     requests are accepted that have ended by STOP_ENDS_AT.  */
  struct timespec stop_accepts_until;
  struct timespec stop_ends_at;
  /* Workers with open requests during a planned stop.  */
  atomic_uint busy_workers;
};

rules_t *relay_rules (relay_t *relay);
bool relay_adopt_rules (relay_t *relay, rules_t *rules);
void relay_notify_workers (relay_t *relay);
/* Returns whether a request that may last until DEADLINE, a monotonic time, is
   too late to be accepted during a planned stop: it could be cut off.  */
bool relay_stops_before (const relay_t *relay, struct timespec deadline);

#endif
