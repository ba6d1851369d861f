#include "entry/router_state.h"

#include "kernel/counter.h"
#include "kernel/invariant.h"

#include <string.h>

enum
{
  RETRY_BUDGET_MAX = 50,    /* retries that can accumulate */
  FIRST_BYTE_EWMA_SHIFT = 4 /* each sample has a weight of 1/16 */
};

COUNTER_DEFINE (no_candidate, "siskin_router_no_candidate_total",
                "Times that no upstream could be chosen");
COUNTER_DEFINE (retries_denied, "siskin_router_retries_denied_total",
                "Retries that the budget did not allow");

/* Record whether WORKER has an open connection to the agent of the upstream
   NAME.  */
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

/* An upstream whose report changes to cold was restarted: notify the policy,
   as the upstream's cache is empty now.  */
static void
router_check_restart (router_upstream_t *upstream, bool is_cold)
{
  const router_service_t *service = upstream->service;

  if (service == NULL || service->ops->record_restart == NULL || !is_cold
      || upstream->candidate.report.is_cold)
    return;
  service->ops->record_restart (service->pick, upstream->candidate.name_hash);
}

/* Record the agent's REPORT on the upstream NAME.  */
void
router_record_report (router_t *router, const char *name,
                      const pick_report_t *report, bool is_leaving)
{
  router_upstream_t *upstream;

  table_lock (router->table);
  upstream = router_find (router, name);
  if (upstream != NULL)
    {
      pick_candidate_t *candidate = &upstream->candidate;

      router_check_restart (upstream, report->is_cold);
      candidate->report = *report;
      candidate->requests_at_report = candidate->outstanding_requests;
      candidate->tokens_at_report = candidate->outstanding_tokens;
      upstream->is_leaving = is_leaving;
    }
  table_unlock (router->table);
}

/* The agent of the upstream NAME has refused a request because it accepts no
   new ones: exclude the upstream from choices until its next report.  */
void
router_exclude_until_report (router_t *router, const char *name)
{
  router_upstream_t *upstream;

  table_lock (router->table);
  upstream = router_find (router, name);
  if (upstream != NULL)
    upstream->is_leaving = true;
  table_unlock (router->table);
}

/* Record that the cache of the upstream NAME has stored BLOCKS, or evicted
   them.  */
void
router_record_cached_blocks (router_t *router, const char *name,
                             const uint64_t *blocks, size_t count,
                             bool is_stored)
{
  router_upstream_t *upstream;

  table_lock (router->table);
  upstream = router_find (router, name);
  if (upstream != NULL && upstream->service != NULL
      && upstream->service->ops->record_blocks != NULL)
    upstream->service->ops->record_blocks (upstream->service->pick,
                                           upstream->candidate.name_hash,
                                           blocks, count, is_stored);
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

/* Append the eligible upstreams of POOL to the candidates, of which there are
   COUNT.  Returns the new count.  */
static unsigned
router_collect_pool (router_t *router, const router_pool_t *pool,
                     unsigned worker, const router_request_t *request,
                     unsigned count)
{
  const router_upstream_t *upstream;

  STAILQ_FOREACH (upstream, &pool->members, pool_link)
    {
      if (!upstream->is_allowed || upstream->is_leaving
          || (upstream->reachable_workers >> worker & 1) == 0
          || router_was_tried (request, upstream->candidate.name))
        continue;
      router->candidates[count++] = &upstream->candidate;
    }
  return count;
}

/* Collect the candidates for REQUEST and return their number.  An upstream
   without a model serves all models of its service.  */
static unsigned
router_collect (router_t *router, const router_service_t *service,
                unsigned worker, const router_request_t *request)
{
  uint64_t model_hash = router_hash_string (request->model);
  const router_pool_t *pool;
  unsigned count = 0;

  STAILQ_FOREACH (pool, &service->pools, link)
    {
      if (model_hash == 0 || pool->model_hash == 0
          || pool->model_hash == model_hash)
        count = router_collect_pool (router, pool, worker, request, count);
    }
  return count;
}

static uint64_t
router_work_tokens (const pick_request_t *work)
{
  return work->prompt_tokens + work->output_tokens;
}

/* Count WORK on the upstream CHOSEN and report its prefix blocks to the
   policy.  */
static void
router_count_work (router_service_t *service, router_upstream_t *chosen,
                   const pick_request_t *work)
{
  chosen->candidate.outstanding_requests++;
  chosen->candidate.outstanding_tokens += router_work_tokens (work);
  if (service->ops->record_blocks != NULL && work->prefix_block_count > 0)
    service->ops->record_blocks (service->pick, chosen->candidate.name_hash,
                                 work->prefix_blocks, work->prefix_block_count,
                                 true);
}

/* Let the policy choose among the COUNT candidates and count WORK on the
   chosen upstream.  */
static router_upstream_t *
router_pick (router_t *router, router_service_t *service,
             const pick_request_t *work, unsigned count, pick_choice_t *choice)
{
  router_upstream_t *chosen;

  service->ops->choose (service->pick, work, router->candidates, count,
                        clock_monotonic (router->clock), choice);
  INVARIANT (choice->index < count, "choice-in-range");
  chosen = CONTAINER_OF (router->candidates[choice->index], router_upstream_t,
                         candidate);
  INVARIANT (chosen->is_allowed, "choice-is-allowed");
  router_count_work (service, chosen, work);
  return chosen;
}

/* Choose the upstream for REQUEST among those that WORKER can reach, and count
   the work on it until router_release.  Strings of CHOICE belong to PARENT.
   Returns STATUS_UNAVAILABLE when no upstream is eligible.  */
status_t
router_choose (router_t *router, TALLOC_CTX *parent, unsigned worker,
               const router_request_t *request, router_choice_t *choice)
{
  router_service_t *service;
  const router_upstream_t *chosen = NULL;
  pick_choice_t pick_choice = { 0, "" };
  pick_request_t work = request->work;

  work.zone = router->zone;
  table_lock (router->table);
  service = router_find_service (router, request->service);
  choice->candidates = service == NULL
                           ? 0
                           : router_collect (router, service, worker, request);
  if (choice->candidates > 0)
    {
      chosen = router_pick (router, service, &work, choice->candidates,
                            &pick_choice);
      choice->upstream = talloc_strdup (parent, chosen->candidate.name);
      choice->zone = talloc_strdup (parent, chosen->candidate.zone);
      choice->policy = talloc_strdup (parent, service->policy);
      choice->reason = pick_choice.reason;
      if (request->tried_count == 0 && router->retry_budget < RETRY_BUDGET_MAX)
        router->retry_budget += router->retry_ratio;
    }
  table_unlock (router->table);
  if (chosen != NULL)
    return STATUS_OK;
  counter_add (&no_candidate, 1);
  return status_set (STATUS_UNAVAILABLE, "no eligible upstream of service %s",
                     request->service);
}

/* Stop counting WORK on the upstream NAME.  */
void
router_release (router_t *router, const char *name, const pick_request_t *work)
{
  router_upstream_t *upstream;

  table_lock (router->table);
  upstream = router_find (router, name);
  if (upstream != NULL)
    {
      INVARIANT (upstream->candidate.outstanding_requests > 0,
                 "release-was-counted");
      upstream->candidate.outstanding_requests--;
      upstream->candidate.outstanding_tokens -= router_work_tokens (work);
      if (!upstream->is_listed
          && upstream->candidate.outstanding_requests == 0)
        router_drop_upstream (router, upstream);
    }
  table_unlock (router->table);
}

/* Take one retry from the budget.  Returns false when it is used up.  */
bool
router_reserve_retry (router_t *router)
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

/* Record that a request to the service NAME got its first byte MILLISECONDS
   after it was sent to the agent.  */
void
router_record_first_byte (router_t *router, const char *name,
                          int64_t milliseconds)
{
  router_service_t *service;
  int64_t sample = timespec_to_us (timespec_from_ms (milliseconds));

  table_lock (router->table);
  service = router_find_service (router, name);
  if (service != NULL && service->first_byte_ewma_us == 0)
    service->first_byte_ewma_us = sample;
  else if (service != NULL)
    service->first_byte_ewma_us += (sample - service->first_byte_ewma_us)
                                   / (1 << FIRST_BYTE_EWMA_SHIFT);
  table_unlock (router->table);
}

/* Return the typical time to first byte of the service NAME in milliseconds, 0
   when it is not known.  */
int64_t
router_typical_first_byte_ms (router_t *router, const char *name)
{
  const router_service_t *service;
  int64_t typical = 0;

  table_lock (router->table);
  service = router_find_service (router, name);
  if (service != NULL)
    typical = timespec_to_ms (timespec_from_us (service->first_byte_ewma_us));
  table_unlock (router->table);
  return typical;
}
