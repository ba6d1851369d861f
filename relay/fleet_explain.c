#include "relay/fleet_state.h"

static const char *const obstacle_names[OBSTACLE_COUNT] = {
  [OBSTACLE_NONE] = "none",         [OBSTACLE_DRAINING] = "draining",
  [OBSTACLE_REPLACED] = "replaced", [OBSTACLE_ZONE_OUT] = "zone-out",
  [OBSTACLE_REGION] = "region",     [OBSTACLE_TRIED] = "tried",
  [OBSTACLE_NO_GROUP] = "no-group", [OBSTACLE_PAUSED] = "paused",
  [OBSTACLE_STALLED] = "stalled",   [OBSTACLE_COLD] = "cold",
  [OBSTACLE_LIMITED] = "limited",   [OBSTACLE_SHARE_USED] = "share-used",
  [OBSTACLE_FULL] = "full",
};

static const char *const preference_names[PREFERENCE_COUNT] = {
  [PREFER_WITHIN_SHARE] = "within-share",
  [PREFER_HEALTHY] = "healthy",
  [PREFER_SLOW] = "slow",
  [PREFER_SILENT] = "silent",
  [PREFER_EJECTED] = "ejected",
};

/* Return the name of OBSTACLE for operators.  */
const char *
fleet_obstacle_name (fleet_obstacle_t obstacle)
{
  return obstacle_names[obstacle];
}

/* Return the name of PREFERENCE for operators.  */
const char *
fleet_preference_name (fleet_preference_t preference)
{
  return preference_names[preference];
}

static double
units_to_requests (int64_t units)
{
  return (double)units / QUOTA_UNITS_PER_REQUEST;
}

static capacity_explanation_t
explain_share (const quota_share_t *share)
{
  return (capacity_explanation_t){
    .is_known = true,
    .free = units_to_requests (share->free),
    .share = units_to_requests (share->share + share->rounding),
    .sent = units_to_requests (share->sent),
  };
}

static capacity_explanation_t
explain_capacity (const fleet_t *fleet, const fleet_upstream_t *upstream,
                  const quota_use_t *use)
{
  quota_share_t share;

  if (!quota_is_known (fleet, upstream))
    return (capacity_explanation_t){ 0 };
  share = quota_upstream_share (fleet, upstream, use);
  return explain_share (&share);
}

/* Describe UPSTREAM as FOUND, the choice for REQUEST, has seen it.  Returns
   false when memory is exhausted.  */
static bool
explain_upstream (const fleet_t *fleet, TALLOC_CTX *parent,
                  const fleet_upstream_t *upstream,
                  const fleet_request_t *request,
                  const upstream_choice_t *found, struct timespec now,
                  upstream_explanation_t *explanation)
{
  const pick_candidate_t *candidate = &upstream->candidate;
  const char *group = upstream->group == NULL ? "" : upstream->group->name;
  upstream_verdict_t verdict
      = choice_verdict (fleet, found, upstream, request, now);

  *explanation = (upstream_explanation_t){
    .id = talloc_strdup (parent, upstream->id),
    .zone = talloc_strdup (parent, upstream->zone->name),
    .group = talloc_strdup (parent, group),
    .obstacle = verdict.obstacle,
    .preference = verdict.preference,
    .capacity = explain_capacity (fleet, upstream, &found->use),
    .outstanding_requests = candidate->outstanding_requests,
    .backlog_us = upstream->backlog.work_us,
    .running = candidate->report.outstanding_requests,
    .waiting = candidate->report.queued_requests,
    .slowdown = candidate->report.slowdown,
    .report_age_ms = fleet_upstream_report_age_ms (upstream, now),
  };
  return explanation->id != NULL && explanation->zone != NULL
         && explanation->group != NULL;
}

/* Describe the upstreams of SERVICE.  Returns false when memory is
   exhausted.  */
static bool
explain_upstreams (const fleet_t *fleet, TALLOC_CTX *parent,
                   const fleet_service_t *service,
                   const fleet_request_t *request,
                   const upstream_choice_t *found, struct timespec now,
                   fleet_explanation_t *explanation)
{
  const fleet_upstream_t *upstream;
  unsigned count = 0;

  STAILQ_FOREACH (upstream, &service->upstreams, link)
    count++;
  if (count > EXPLANATION_MAX_UPSTREAMS)
    {
      explanation->omitted_upstreams = count - EXPLANATION_MAX_UPSTREAMS;
      count = EXPLANATION_MAX_UPSTREAMS;
    }
  explanation->upstreams
      = talloc_array (parent, upstream_explanation_t, count);
  if (explanation->upstreams == NULL)
    return false;
  STAILQ_FOREACH (upstream, &service->upstreams, link)
    {
      if (explanation->upstream_count == count)
        break;
      if (!explain_upstream (
              fleet, explanation->upstreams, upstream, request, found, now,
              &explanation->upstreams[explanation->upstream_count++]))
        return false;
    }
  return true;
}

/* Implement fleet_explain for SERVICE; the table must be locked.  */
static bool
explain_service (const fleet_t *fleet, TALLOC_CTX *parent,
                 const fleet_service_t *service,
                 const fleet_request_t *request,
                 fleet_explanation_t *explanation)
{
  struct timespec now = clock_monotonic (fleet->clock);
  pick_t *pick = service->ops->copy == NULL
                     ? NULL
                     : service->ops->copy (parent, service->pick);
  upstream_choice_t found = choice_find (fleet, service, request, pick, now);
  work_sizing_t sizing = work_size_request (fleet, service, request);

  talloc_free (pick);
  explanation->shortage = found.shortage;
  explanation->reason = found.reason;
  explanation->candidates = found.count;
  explanation->estimate = sizing.estimate;
  explanation->work_us = sizing.request.work_us;
  explanation->total = explain_share (&found.share);
  explanation->reserve = units_to_requests (found.share.reserve);
  if (found.upstream != NULL)
    {
      explanation->upstream = talloc_strdup (parent, found.upstream->id);
      if (explanation->upstream == NULL)
        return false;
    }
  return explain_upstreams (fleet, parent, service, request, &found, now,
                            explanation);
}

/* Explain what fleet_choose would do with REQUEST now.  It uses the same
   functions, but on a copy of the policy, and counts nothing.  Returns false
   when memory is exhausted.  */
bool
fleet_explain (fleet_t *fleet, TALLOC_CTX *parent,
               const fleet_request_t *request,
               fleet_explanation_t *explanation)
{
  const fleet_service_t *service;
  bool is_whole = true;

  *explanation = (fleet_explanation_t){ .shortage = FLEET_NO_UPSTREAM };
  table_lock (fleet->table);
  service = fleet_find_service (fleet, request->service);
  if (service != NULL)
    is_whole = explain_service (fleet, parent, service, request, explanation);
  table_unlock (fleet->table);
  return is_whole;
}
