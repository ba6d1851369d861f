#ifndef SISKIN_ENTRY_ROUTER_STATE_H
#define SISKIN_ENTRY_ROUTER_STATE_H

#include "entry/router.h"

#include <sys/queue.h>

/* State of the router that router.c and router_choice.c share.  */
typedef struct router_service router_service_t;

/* The fields that a choice reads of every pool member come first and are kept
   together, because a pool may have hundreds of members.  */
typedef struct router_upstream
{
  STAILQ_ENTRY (router_upstream) pool_link; /* in router_pool_t.members */
  uint64_t reachable_workers; /* bit N: worker N has an open link */
  bool is_allowed;   /* by the settings: zone in service, not draining */
  bool is_leaving;   /* the agent accepts no new requests */
  bool is_listed;    /* in the settings in force */
  bool is_in_subset; /* in the subset that this entry connects to */
  pick_candidate_t candidate; /* kept up to date; owns its strings */
  table_node_t node;
  STAILQ_ENTRY (router_upstream) link;
  STAILQ_ENTRY (router_upstream) member_link; /* in router_service_t.members */
  router_service_t *service;
  char *address;
  char *model;
  uint64_t model_hash; /* 0 if it serves all models */
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
  int64_t first_byte_ewma_us; /* moving average of the time to first byte */
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
  unsigned entry_count; /* entry processes in the settings */
  double retry_ratio;   /* added to the budget for each new request */
  double retry_budget;  /* retries available */
  const pick_candidate_t **candidates; /* scratch array for router_choose, with
                                          room for every upstream */
};

router_upstream_t *router_find (const router_t *router, const char *name);
router_service_t *router_find_service (const router_t *router,
                                       const char *name);
void router_drop_upstream (router_t *router, router_upstream_t *upstream);
uint64_t router_hash_string (const char *text);

#endif
