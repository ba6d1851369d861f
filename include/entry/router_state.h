#ifndef SISKIN_ENTRY_ROUTER_STATE_H
#define SISKIN_ENTRY_ROUTER_STATE_H

#include "entry/router.h"

#include <sys/queue.h>

/* What the parts of the router entry_worker.  */
typedef struct router_service router_service_t;

/* What a choice reads of every member of a pool comes first and stays
   together, since there may be hundreds.  */
typedef struct router_upstream
{
  STAILQ_ENTRY (router_upstream) pool_link; /* of a pool of SERVICE */
  uint64_t reachable_workers;               /* a bit for each worker */
  bool is_allowed;                          /* by zone and operators */
  bool is_leaving;                          /* by the agent's word */
  bool is_listed;                           /* in the settings in force */
  bool is_linked;                           /* in this entry's subset */
  pick_candidate_t candidate; /* kept current, owned by the upstream */
  table_node_t node;
  STAILQ_ENTRY (router_upstream) link;
  STAILQ_ENTRY (router_upstream) member_link; /* of SERVICE */
  router_service_t *service;
  char *address;
  char *model;
  uint64_t model_hash; /* 0 for none */
} router_upstream_t;

/* The upstreams of one service and model that the entry connects to.  */
typedef struct router_pool
{
  STAILQ_ENTRY (router_pool) link;
  uint64_t model_hash;
  STAILQ_HEAD (, router_upstream) members;
} router_pool_t;

struct router_service
{
  STAILQ_ENTRY (router_service) link;
  char *name;
  char *policy;
  bool is_listed;
  const pick_ops_t *ops;
  pick_t *pick;
  int64_t first_byte_ewma_us; /* smoothed */
  STAILQ_HEAD (, router_upstream) members;
  STAILQ_HEAD (, router_pool) pools;
};

struct router
{
  const char *zone;
  const clock_source_t *clock;
  uint64_t seed;
  table_t *table; /* router_upstream_t by name; guards the whole router */
  STAILQ_HEAD (, router_upstream) upstreams;
  STAILQ_HEAD (, router_service) services;
  unsigned entry_count; /* entries of the whole system */
  double retry_ratio;
  double retry_budget;
  const pick_candidate_t **candidates; /* room for every upstream */
};

router_upstream_t *router_find (const router_t *router, const char *name);
router_service_t *router_find_service (const router_t *router,
                                       const char *name);
void router_drop_upstream (router_t *router, router_upstream_t *upstream);
uint64_t router_hash_string (const char *text);

#endif
