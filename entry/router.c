#include "entry/router.h"

#include "kernel/counter.h"
#include "kernel/invariant.h"
#include "kernel/plugin.h"

#include <string.h>
#include <xxhash.h>

enum
{
  ROUTER_MAX_CANDIDATES = 1024,
  ROUTER_MAX_WORKERS = 64,
  RETRY_BUDGET_CAP = 50 /* retries saved up at the most */
};

GAUGE_DEFINE (upstreams_gauge, "siskin_router_upstreams",
              "Upstreams known to the entry");
COUNTER_DEFINE (no_candidate, "siskin_router_no_candidate_total",
                "Requests for which no upstream could be chosen");
COUNTER_DEFINE (retries_denied, "siskin_router_retries_denied_total",
                "Retries that the budget did not allow");

typedef struct router_upstream
{
  table_node_t node;
  STAILQ_ENTRY (router_upstream) link;
  char *name;
  char *address;
  char *zone;
  char *service;
  char *model;
  uint64_t name_hash;
  uint64_t reachable_workers; /* a bit for each worker */
  bool is_listed;             /* in the settings in force */
  bool is_allowed;            /* by zone and operators */
  bool is_leaving;            /* by the agent's word */
  uint64_t outstanding_requests;
  uint64_t outstanding_tokens;
  uint64_t sent_since_report;
  pick_report_t report;
} router_upstream_t;

typedef struct router_service
{
  STAILQ_ENTRY (router_service) link;
  char *name;
  char *policy;
  const pick_ops_t *ops;
  pick_t *pick;
} router_service_t;

struct router
{
  const char *zone;
  const clock_source_t *clock;
  uint64_t seed;
  table_t *table; /* router_upstream_t by name; guards the whole router */
  STAILQ_HEAD (, router_upstream) upstreams;
  STAILQ_HEAD (, router_service) services;
  double retry_ratio;
  double retry_budget;
  pick_candidate_t candidates[ROUTER_MAX_CANDIDATES];
  router_upstream_t *candidate_upstreams[ROUTER_MAX_CANDIDATES];
};

/* Create an empty router for an entry in ZONE, which is kept by reference.
   SEED makes entries start their choices at different places.  */
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

static router_upstream_t *
router_find (const router_t *router, const char *name)
{
  table_node_t *node = table_find (router->table, name, strlen (name));

  return node == NULL ? NULL : CONTAINER_OF (node, router_upstream_t, node);
}

static router_service_t *
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

static void
router_set_text (router_upstream_t *upstream, char **place, const char *text)
{
  if (*place != NULL && strcmp (*place, text) == 0)
    return;
  talloc_free (*place);
  *place = talloc_strdup (upstream, text);
}

static void
router_update_upstream (router_t *router, const settings_t *settings,
                        const upstream_t *listed)
{
  router_upstream_t *upstream = router_find (router, listed->name);

  if (upstream == NULL)
    {
      upstream = talloc_zero (router, router_upstream_t);
      upstream->name = talloc_strdup (upstream, listed->name);
      upstream->name_hash
          = XXH3_64bits (upstream->name, strlen (upstream->name));
      table_insert (router->table, &upstream->node, upstream->name,
                    strlen (upstream->name));
      STAILQ_INSERT_TAIL (&router->upstreams, upstream, link);
    }
  router_set_text (upstream, &upstream->address, listed->address);
  router_set_text (upstream, &upstream->zone, listed->zone);
  router_set_text (upstream, &upstream->service, listed->service);
  router_set_text (upstream, &upstream->model, listed->model);
  upstream->is_listed = true;
  upstream->is_allowed
      = settings_zone_serves (settings, listed->zone) && !listed->is_draining;
}

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
      STAILQ_INSERT_TAIL (&router->services, service, link);
    }
  if (service->ops == ops)
    return STATUS_OK;
  if (service->pick != NULL)
    service->ops->destroy (service->pick);
  service->ops = ops;
  service->policy = talloc_strdup (service, listed->pick);
  service->pick = ops->create (service, router->seed);
  return STATUS_OK;
}

/* Put SETTINGS in force.  Returns STATUS_NOT_FOUND when a policy does not
   exist; the rest is in force all the same.  */
status_t
router_configure (router_t *router, const settings_t *settings)
{
  const upstream_t *listed;
  const service_t *service;
  router_upstream_t *upstream;
  status_t status = STATUS_OK;

  table_lock (router->table);
  STAILQ_FOREACH (upstream, &router->upstreams, link)
    upstream->is_listed = upstream->is_allowed = false;
  STAILQ_FOREACH (listed, &settings->upstreams, link)
    router_update_upstream (router, settings, listed);
  STAILQ_FOREACH (service, &settings->services, link)
    {
      if (router_update_service (router, service) != STATUS_OK)
        status = STATUS_NOT_FOUND;
    }
  router->retry_ratio = settings->retry.budget_ratio;
  counter_set (&upstreams_gauge, (int64_t)table_count (router->table));
  table_unlock (router->table);
  return status;
}

/* Fill TARGETS with copies, owned by PARENT, of the upstreams that an entry
   should be connected to.  */
void
router_targets (router_t *router, TALLOC_CTX *parent,
                router_targets_t *targets)
{
  const router_upstream_t *upstream;

  SLIST_INIT (targets);
  table_lock (router->table);
  STAILQ_FOREACH (upstream, &router->upstreams, link)
    {
      router_target_t *target;

      if (!upstream->is_listed)
        continue;
      target = talloc_zero (parent, router_target_t);
      if (target == NULL)
        break;
      target->upstream = talloc_strdup (target, upstream->name);
      target->address = talloc_strdup (target, upstream->address);
      SLIST_INSERT_HEAD (targets, target, link);
    }
  table_unlock (router->table);
}

/* Note whether WORKER has an open connection to the agent of UPSTREAM.  */
void
router_set_reachable (router_t *router, const char *name, unsigned worker,
                      bool is_reachable)
{
  router_upstream_t *upstream;
  uint64_t bit = (uint64_t)1 << worker;

  table_lock (router->table);
  upstream = router_find (router, name);
  if (upstream != NULL && is_reachable)
    upstream->reachable_workers |= bit;
  else if (upstream != NULL)
    upstream->reachable_workers &= ~bit;
  table_unlock (router->table);
}

/* Note the agent's REPORT on the upstream NAME.  */
void
router_note_report (router_t *router, const char *name,
                    const pick_report_t *report, bool is_leaving)
{
  router_upstream_t *upstream;

  table_lock (router->table);
  upstream = router_find (router, name);
  if (upstream != NULL)
    {
      upstream->report = *report;
      upstream->is_leaving = is_leaving;
      upstream->sent_since_report = 0;
    }
  table_unlock (router->table);
}

static bool
router_was_tried (const router_request_t *request, const char *name)
{
  for (unsigned i = 0; i < request->tried_count; i++)
    {
      if (strcmp (request->tried[i], name) == 0)
        return true;
    }
  return false;
}

static bool
router_may_choose (const router_upstream_t *upstream, unsigned worker,
                   const router_request_t *request)
{
  if (!upstream->is_allowed || upstream->is_leaving
      || (upstream->reachable_workers >> worker & 1) == 0
      || strcmp (upstream->service, request->service) != 0)
    return false;
  if (request->model[0] != '\0' && upstream->model[0] != '\0'
      && strcmp (request->model, upstream->model) != 0)
    return false;
  return !router_was_tried (request, upstream->name);
}

static unsigned
router_collect (router_t *router, unsigned worker,
                const router_request_t *request)
{
  router_upstream_t *upstream;
  unsigned count = 0;

  STAILQ_FOREACH (upstream, &router->upstreams, link)
    {
      if (count == ROUTER_MAX_CANDIDATES)
        break;
      if (!router_may_choose (upstream, worker, request))
        continue;
      router->candidate_upstreams[count] = upstream;
      router->candidates[count++] = (pick_candidate_t){
        .name = upstream->name,
        .name_hash = upstream->name_hash,
        .zone = upstream->zone,
        .outstanding_requests = upstream->outstanding_requests,
        .outstanding_tokens = upstream->outstanding_tokens,
        .sent_since_report = upstream->sent_since_report,
        .report = upstream->report,
      };
    }
  return count;
}

static uint64_t
work_tokens (const pick_work_t *work)
{
  return work->prompt_tokens + work->output_tokens;
}

/* Choose the upstream for REQUEST among those that WORKER can reach and count
   the work there until router_release.  Strings of ROUTE belong to PARENT.
   Returns STATUS_UNAVAILABLE when there is none.  */
status_t
router_choose (router_t *router, TALLOC_CTX *parent, unsigned worker,
               const router_request_t *request, router_route_t *route)
{
  router_service_t *service;
  router_upstream_t *chosen = NULL;
  pick_choice_t choice = { 0, "" };
  pick_work_t work = request->work;

  work.zone = router->zone;
  table_lock (router->table);
  service = router_find_service (router, request->service);
  route->candidates
      = service == NULL ? 0 : router_collect (router, worker, request);
  if (route->candidates > 0)
    {
      service->ops->choose (service->pick, &work, router->candidates,
                            route->candidates, clock_monotonic (router->clock),
                            &choice);
      INVARIANT (choice.index < route->candidates, "choice-in-range");
      chosen = router->candidate_upstreams[choice.index];
      INVARIANT (chosen->is_allowed, "choice-is-allowed");
      chosen->outstanding_requests++;
      chosen->outstanding_tokens += work_tokens (&work);
      chosen->sent_since_report += work_tokens (&work);
      route->upstream = talloc_strdup (parent, chosen->name);
      route->zone = talloc_strdup (parent, chosen->zone);
      route->policy = talloc_strdup (parent, service->policy);
      route->reason = choice.reason;
      if (request->tried_count == 0 && router->retry_budget < RETRY_BUDGET_CAP)
        router->retry_budget += router->retry_ratio;
    }
  table_unlock (router->table);
  if (chosen != NULL)
    return STATUS_OK;
  counter_add (&no_candidate, 1);
  return status_set (STATUS_UNAVAILABLE, "no upstream of service %s",
                     request->service);
}

/* Stop counting WORK on the upstream NAME.  */
void
router_release (router_t *router, const char *name, const pick_work_t *work)
{
  router_upstream_t *upstream;

  table_lock (router->table);
  upstream = router_find (router, name);
  if (upstream != NULL)
    {
      INVARIANT (upstream->outstanding_requests > 0, "release-was-counted");
      upstream->outstanding_requests--;
      upstream->outstanding_tokens -= work_tokens (work);
    }
  table_unlock (router->table);
}

/* Take one retry off the budget; returns false when it is used up.  */
bool
router_take_retry (router_t *router)
{
  bool is_allowed;

  table_lock (router->table);
  is_allowed = router->retry_budget >= 1.0;
  if (is_allowed)
    router->retry_budget -= 1.0;
  table_unlock (router->table);
  if (!is_allowed)
    counter_add (&retries_denied, 1);
  return is_allowed;
}
