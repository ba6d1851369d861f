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
  /* The settings allow new requests: the zone is in service and the upstream
     is not draining.  */
  bool is_allowed;
  /* The agent accepts no new requests: it or the upstream shuts down, as the
     agent itself reports, independent of the settings (IS_ALLOWED).  Also set
     by router_exclude_until_report.  */
  bool is_leaving;
  bool is_listed; /* listed in the current settings */
  /* This entry connects to it.  REACHABLE_WORKERS tells whether a connection
     is open.  */
  bool is_in_subset;
  /* What the policy sees of the upstream.  Kept up to date; its strings belong
     to the upstream.  */
  pick_candidate_t candidate;
  table_node_t node;
  STAILQ_ENTRY (router_upstream) link;
  STAILQ_ENTRY (router_upstream) member_link; /* in router_service_t.members */
  router_service_t *service;
  char *address;
  char *model; /* "" if it serves all models of the service */
  /* router_hash_string (MODEL), which is 0 for "".  Models are compared by it
     alone: 64 bits make a collision within a service negligible.  */
  uint64_t model_hash;
} router_upstream_t;

/* The upstreams of one service with the same MODEL_HASH that this entry
   connects to.  The pool with hash 0 holds those that serve all models.  */
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
  char *policy;               /* name of the pick policy */
  bool is_listed;             /* listed in the current settings */
  const pick_ops_t *ops;      /* operations of the policy */
  pick_t *pick;               /* state of the policy */
  int64_t first_byte_ewma_us; /* moving average of the time to first byte */
  STAILQ_HEAD (, router_upstream) members;
  STAILQ_HEAD (, router_pool) pools;
};

struct router
{
  const char *zone; /* zone of this entry */
  const clock_source_t *clock;
  /* Given to the choice of the subset and to the policies; differs between
     entries.  */
  uint64_t seed;
  table_t *table; /* router_upstream_t by name; guards the whole router */
  STAILQ_HEAD (, router_upstream) upstreams;
  STAILQ_HEAD (, router_service) services;
  unsigned entry_count; /* number of entry processes in the settings */
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
