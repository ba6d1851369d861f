#include "relay/fleet_state.h"

#include <math.h>

/* The limit of a group in work instead of requests: as many requests as keep
   its passes within the gap limit.  */

/* Return the costs by which passes of SERVICE are predicted.  */
static pass_costs_t
service_pass_costs (const fleet_service_t *service)
{
  return (pass_costs_t){ .engine = &service->engine,
                         .mean_events = service_mean_events (service) };
}

/* Return the load of the mean rank of GROUP.  */
static pass_load_t
group_mean_load (const fleet_group_t *group)
{
  double ranks = fmax (group->known_ranks, 1);

  return (pass_load_t){ .requests = (double)group->running_requests / ranks,
                        .context_tokens
                        = (double)group->cache_tokens / ranks };
}

/* Learn from a pass of GROUP that took PASS_MS.  */
void
group_record_pass (const fleet_service_t *service, fleet_group_t *group,
                   double pass_ms)
{
  pass_costs_t costs = service_pass_costs (service);
  pass_load_t mean = group_mean_load (group);

  if (service->has_engine)
    pass_model_record (&group->passes, pass_load_ms (&costs, &mean),
                       pass_ms - service->idle_step_ms);
}

/* Return how many requests UPSTREAM may have so that the passes of its group
   take LIMIT_MS at most; no more than its slots.  */
double
work_request_limit (const fleet_upstream_t *upstream, double limit_ms)
{
  const fleet_service_t *service = upstream->service;
  const pick_report_t *report = &upstream->candidate.report;
  pass_costs_t costs = service_pass_costs (service);
  pass_load_t mean = group_mean_load (upstream->group);
  pass_load_t rank = { .requests = (double)report->outstanding_requests,
                       .context_tokens = (double)report->used_cache_tokens };

  return fmin (pass_model_limit (&upstream->group->passes, &costs, &rank,
                                 &mean, limit_ms - service->idle_step_ms),
               upstream->slots);
}
