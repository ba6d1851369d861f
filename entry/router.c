#include "entry/router_state.h"

#include "kernel/counter.h"
#include "kernel/plugin.h"
#include "kernel/rendezvous.h"

#include <string.h>
#include <xxhash.h>

enum
{
  ROUTER_MAX_WORKERS = 64,
  ROUTER_SUBSET_MAX = 24, /* links per service and model */
  ROUTER_SUBSET_MIN = 4,
  ROUTER_ENTRIES_PER_UPSTREAM = 32 /* entries that connect to each upstream */
};

GAUGE_DEFINE (upstreams_gauge, "siskin_router_upstreams",
              "Upstreams known to the entry");
GAUGE_DEFINE (linked_gauge, "siskin_router_linked_upstreams",
              "Upstreams that the entry connects to");

/* Create an empty router for an entry in ZONE, which is kept by reference.
   SEED, which differs between entries, selects the upstreams that this entry
   connects to when there are more than its subset holds.  Returns NULL if
   WORKER_COUNT exceeds ROUTER_MAX_WORKERS or memory is exhausted.  */
router_t *
router_create (TALLOC_CTX *parent, const char *zone,
               const clock_source_t *clock, uint64_t seed,
               unsigned worker_count)
{
  router_t *router;

  if (worker_count > ROUTER_MAX_WORKERS)
    return NULL;
  router = talloc_zero (parent, router_t);
  if (router == NULL)
    return NULL;
  router->zone = zone;
  router->clock = clock;
  router->seed = seed;
  router->table = table_create (router, LOCK_UPSTREAMS, "upstreams");
  STAILQ_INIT (&router->upstreams);
  STAILQ_INIT (&router->services);
  return router;
}

/* Free ROUTER.  */
void
router_destroy (router_t *router)
{
  talloc_free (router);
}

/* Return a hash of TEXT, 0 for the empty string.  */
uint64_t
router_hash_string (const char *text)
{
  return text[0] == '\0' ? 0 : XXH3_64bits (text, strlen (text));
}

/* Return the upstream NAME, or NULL.  The table must be locked.  */
router_upstream_t *
router_find (const router_t *router, const char *name)
{
  table_node_t *node = table_find (router->table, name, strlen (name));

  return node == NULL ? NULL : CONTAINER_OF (node, router_upstream_t, node);
}

/* Return the service NAME, or NULL.  The table must be locked.  */
router_service_t *
router_find_service (const router_t *router, const char *name)
{
  router_service_t *service;

  STAILQ_FOREACH (service, &router->services, link)
    {
      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

/* Replace *FIELD of UPSTREAM by a copy of TEXT unless they are equal.  */
static void
router_set_string (router_upstream_t *upstream, char **field, const char *text)
{
  if (*field != NULL && strcmp (*field, text) == 0)
    return;
  talloc_free (*field);
  *field = talloc_strdup (upstream, text);
}

static router_upstream_t *
router_add_upstream (router_t *router, const char *name)
{
  router_upstream_t *upstream = talloc_zero (router, router_upstream_t);
  char *copy = talloc_strdup (upstream, name);

  upstream->candidate.name = copy;
  upstream->candidate.name_hash = router_hash_string (copy);
  table_insert (router->table, &upstream->node, copy, strlen (copy));
  STAILQ_INSERT_TAIL (&router->upstreams, upstream, link);
  return upstream;
}

/* Add or update the upstream LISTED of the settings, if its service is
   known.  */
static void
router_update_upstream (router_t *router, const settings_t *settings,
                        const upstream_t *listed)
{
  router_upstream_t *upstream = router_find (router, listed->name);
  router_service_t *service = router_find_service (router, listed->service);

  if (service == NULL)
    return;
  if (upstream == NULL)
    upstream = router_add_upstream (router, listed->name);
  router_set_string (upstream, &upstream->address, listed->address);
  router_set_string (upstream, (char **)&upstream->candidate.zone,
                     listed->zone);
  router_set_string (upstream, &upstream->model, listed->model);
  upstream->model_hash = router_hash_string (listed->model);
  upstream->service = service;
  upstream->is_listed = true;
  upstream->is_allowed
      = settings_zone_serves (settings, listed->zone) && !listed->is_draining;
  STAILQ_INSERT_TAIL (&service->members, upstream, member_link);
}

/* Add or update the service LISTED of the settings.  A new policy starts
   without the state of the old one.  */
static status_t
router_update_service (router_t *router, const service_t *listed)
{
  router_service_t *service = router_find_service (router, listed->name);
  const pick_ops_t *ops = plugin_ops (PLUGIN_PICK, listed->pick);

  if (ops == NULL)
    return STATUS_NOT_FOUND;
  if (service == NULL)
    {
      service = talloc_zero (router, router_service_t);
      service->name = talloc_strdup (service, listed->name);
      STAILQ_INIT (&service->members);
      STAILQ_INIT (&service->pools);
      STAILQ_INSERT_TAIL (&router->services, service, link);
    }
  service->is_listed = true;
  if (service->ops == ops)
    return STATUS_OK;
  if (service->pick != NULL)
    service->ops->destroy (service->pick);
  talloc_free (service->policy);
  service->ops = ops;
  service->policy = talloc_strdup (service, listed->pick);
  service->pick = ops->create (service, router->seed);
  return STATUS_OK;
}

/* Remove and free UPSTREAM, which has no outstanding work.  The table must be
   locked.  */
void
router_drop_upstream (router_t *router, router_upstream_t *upstream)
{
  table_remove (router->table, &upstream->node);
  STAILQ_REMOVE (&router->upstreams, upstream, router_upstream, link);
  talloc_free (upstream);
}

/* Remove what the settings no longer list.  An upstream with outstanding work
   stays until router_release removes the last of it.  */
static void
router_drop_unlisted (router_t *router)
{
  router_upstream_t *upstream = STAILQ_FIRST (&router->upstreams);
  router_service_t *service = STAILQ_FIRST (&router->services);

  while (upstream != NULL)
    {
      router_upstream_t *next = STAILQ_NEXT (upstream, link);

      if (!upstream->is_listed)
        upstream->service = NULL;
      if (!upstream->is_listed
          && upstream->candidate.outstanding_requests == 0)
        router_drop_upstream (router, upstream);
      upstream = next;
    }
  while (service != NULL)
    {
      router_service_t *next = STAILQ_NEXT (service, link);

      if (!service->is_listed)
        {
          STAILQ_REMOVE (&router->services, service, router_service, link);
          service->ops->destroy (service->pick);
          talloc_free (service);
        }
      service = next;
    }
}

static uint64_t
router_weight (const router_t *router, const router_upstream_t *upstream)
{
  return rendezvous_weight (router->seed, upstream->candidate.name_hash);
}

/* How many upstreams could replace a given one, for the choice of links.  */
typedef struct router_peers
{
  unsigned total;     /* upstreams of the same service and model */
  unsigned in_zone;   /* those of TOTAL in the same zone */
  unsigned preferred; /* those of IN_ZONE with a higher weight */
} router_peers_t;

static router_peers_t
router_count_peers (const router_t *router, const router_upstream_t *upstream)
{
  uint64_t weight = router_weight (router, upstream);
  const router_upstream_t *other;
  router_peers_t peers = { 0, 0, 0 };

  STAILQ_FOREACH (other, &upstream->service->members, member_link)
    {
      if (other->model_hash != upstream->model_hash)
        continue;
      peers.total++;
      if (strcmp (other->candidate.zone, upstream->candidate.zone) != 0)
        continue;
      peers.in_zone++;
      if (router_weight (router, other) > weight)
        peers.preferred++;
    }
  return peers;
}

/* Return how many of TOTAL upstreams this entry connects to.  The more entries
   there are, the fewer links each needs to spread the load.  */
static unsigned
router_subset_size (const router_t *router, unsigned total)
{
  unsigned wanted = ROUTER_SUBSET_MAX;

  if (router->entry_count > 0)
    wanted = ROUTER_ENTRIES_PER_UPSTREAM * total / router->entry_count;
  if (wanted > ROUTER_SUBSET_MAX)
    return ROUTER_SUBSET_MAX;
  return wanted < ROUTER_SUBSET_MIN ? ROUTER_SUBSET_MIN : wanted;
}

/* Return whether this entry connects to UPSTREAM.  Rendezvous hashing selects
   the subset: each zone gets its share for each service and model, and a
   change to the set of upstreams moves only the links concerned.  A policy
   that needs every upstream gets links to all.  */
static bool
router_is_in_subset (const router_t *router, const router_upstream_t *upstream)
{
  router_peers_t peers = router_count_peers (router, upstream);
  unsigned size = router_subset_size (router, peers.total);
  unsigned quota;

  if (upstream->service->ops->needs_all_upstreams || peers.total <= size)
    return true;
  quota = (peers.in_zone * size + peers.total - 1) / peers.total;
  return peers.preferred < quota;
}

static router_pool_t *
router_find_or_add_pool (router_service_t *service, uint64_t model_hash)
{
  router_pool_t *pool;

  STAILQ_FOREACH (pool, &service->pools, link)
    {
      if (pool->model_hash == model_hash)
        return pool;
    }
  pool = talloc_zero (service, router_pool_t);
  pool->model_hash = model_hash;
  STAILQ_INIT (&pool->members);
  STAILQ_INSERT_TAIL (&service->pools, pool, link);
  return pool;
}

static void
router_clear_pools (router_service_t *service)
{
  router_pool_t *pool;

  while ((pool = STAILQ_FIRST (&service->pools)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&service->pools, link);
      talloc_free (pool);
    }
}

/* Select the upstreams to connect to and rebuild the pools.  */
static void
router_select_links (router_t *router)
{
  router_upstream_t *upstream;
  router_pool_t *pool;
  int64_t linked = 0;

  STAILQ_FOREACH (upstream, &router->upstreams, link)
    {
      upstream->is_in_subset
          = upstream->is_listed && router_is_in_subset (router, upstream);
      if (!upstream->is_in_subset)
        continue;
      pool = router_find_or_add_pool (upstream->service, upstream->model_hash);
      STAILQ_INSERT_TAIL (&pool->members, upstream, pool_link);
      linked++;
    }
  counter_set (&linked_gauge, linked);
  counter_set (&upstreams_gauge, (int64_t)table_count (router->table));
}

/* Clear what router_configure sets again from the settings.  */
static void
router_begin_configure (router_t *router)
{
  router_upstream_t *upstream;
  router_service_t *service;

  STAILQ_FOREACH (upstream, &router->upstreams, link)
    upstream->is_listed = upstream->is_allowed = false;
  STAILQ_FOREACH (service, &router->services, link)
    {
      service->is_listed = false;
      STAILQ_INIT (&service->members);
      router_clear_pools (service);
    }
}

static unsigned
router_count_entries (const settings_t *settings)
{
  const entry_vm_t *entry;
  unsigned count = 0;

  STAILQ_FOREACH (entry, &settings->entry_vms, link)
    count++;
  return count;
}

/* Apply SETTINGS.  Returns STATUS_NOT_FOUND when a policy does not exist; the
   rest of SETTINGS is applied nevertheless.  */
status_t
router_configure (router_t *router, const settings_t *settings)
{
  const upstream_t *listed;
  const service_t *service;
  status_t status = STATUS_OK;

  table_lock (router->table);
  router_begin_configure (router);
  router->entry_count = router_count_entries (settings);
  STAILQ_FOREACH (service, &settings->services, link)
    {
      if (router_update_service (router, service) != STATUS_OK)
        status = STATUS_NOT_FOUND;
    }
  STAILQ_FOREACH (listed, &settings->upstreams, link)
    router_update_upstream (router, settings, listed);
  router_drop_unlisted (router);
  router_select_links (router);
  router->retry_ratio = settings->retry.budget_ratio;
  router->candidates
      = talloc_realloc (router, router->candidates, const pick_candidate_t *,
                        table_count (router->table) + 1);
  table_unlock (router->table);
  return status;
}

/* Fill TARGETS with the upstreams that an entry keeps connections to.  The
   copies belong to PARENT.  */
void
router_list_targets (router_t *router, TALLOC_CTX *parent,
                     router_target_list_t *targets)
{
  const router_upstream_t *upstream;

  SLIST_INIT (targets);
  table_lock (router->table);
  STAILQ_FOREACH (upstream, &router->upstreams, link)
    {
      router_target_t *target;

      if (!upstream->is_in_subset)
        continue;
      target = talloc_zero (parent, router_target_t);
      if (target == NULL)
        break;
      target->upstream = talloc_strdup (target, upstream->candidate.name);
      target->address = talloc_strdup (target, upstream->address);
      SLIST_INSERT_HEAD (targets, target, link);
    }
  table_unlock (router->table);
}
