#include "relay/fleet_state.h"

#include "kernel/counter.h"
#include "kernel/plugin.h"

#include <math.h>

/* The work of this relay's requests at the upstreams: what each one is
   expected to take, less what has been received of it.  It lets the choice
   tell upstreams apart that have as many requests but of very different
   length.  */

enum
{
  /* The mean of new requests counts as this many in the mean work that is left
     of outstanding ones, which may be few.  */
  MEAN_WORK_REQUESTS = 4,
  SPREAD_INTERVAL_MS = 1000, /* between two settings of the gauge */
  PERCENT = 100
};

/* Weight of a new request or response in the means of a service.  */
static const double mean_work_weight = 0.05;

GAUGE_DEFINE (busiest_backlog, "siskin_relay_busiest_backlog_percent",
              "Most work left at an upstream, relative to the mean of its "
              "service; the highest of all services");

/* Return whether the work of requests can be derived from ENGINE.  */
static bool
engine_has_costs (const engine_profile_t *engine)
{
  return engine->request_step_ms > 0 || engine->prompt_tokens_per_ms > 0;
}

/* Apply the engine profile in RULE, if any, to SERVICE.  */
void
service_set_engine (fleet_t *fleet, fleet_service_t *service,
                    const service_rule_t *rule)
{
  const pick_ops_t *ops;

  service->has_engine = rule->has_engine && engine_has_costs (&rule->engine);
  service->engine = rule->engine;
  if (service->has_engine && service->output_ratio == NULL)
    service->output_ratio = histogram_create_ratio (
        service, "siskin_relay_output_ratio", "service", service->name,
        "Actual over expected length of a streamed answer");
  ops = plugin_ops (PLUGIN_PICK,
                    service->has_engine ? "least-work" : "least-tokens");
  if (ops != NULL && ops != service->ops)
    service_set_policy (fleet, service, ops);
}

/* Return MEAN, which is 0 before the first value, with VALUE included.  */
static double
mean_with (double mean, double value)
{
  return mean <= 0 ? value : mean + mean_work_weight * (value - mean);
}

/* Return the mean number of events of a response of SERVICE.  It is that of
   responses and not of estimates, which clients may inflate.  */
double
service_mean_events (const fleet_service_t *service)
{
  const engine_profile_t *engine = &service->engine;

  if (service->mean_events > 0)
    return service->mean_events;
  return engine->typical_response_tokens
         / fmax (engine->token_steps_per_pass, 1);
}

/* Return the mean work that is left of an outstanding request of SERVICE,
   whose new requests have MEAN_WORK_US.  */
static double
service_mean_work_left_us (const fleet_service_t *service, double mean_work_us)
{
  return ((double)service->backlog.work_us + MEAN_WORK_REQUESTS * mean_work_us)
         / (double)(service->backlog.requests + MEAN_WORK_REQUESTS);
}

/* Estimate the work of REQUEST to SERVICE.  */
work_sizing_t
work_size_request (const fleet_t *fleet, const fleet_service_t *service,
                   const fleet_request_t *request)
{
  work_request_t work
      = { .origin = work_origin (request->route->name, request->account),
          .prompt_tokens = request->work.prompt_tokens,
          .hinted_tokens = request->hinted_tokens,
          .max_tokens = request->work.output_tokens,
          .past_events = request->past_events,
          .timeout_ms = timespec_to_ms (request->route->timeout) };
  work_sizing_t sizing = { .request = request->work };
  pick_request_t *sized = &sizing.request;

  sizing.estimate = work_model_estimate (
      fleet->work, service->has_engine ? &service->engine : NULL, &work);
  sized->work_us = work_left_us (&sizing.estimate, 0);
  sizing.mean_work_us
      = mean_with (service->mean_work_us, (double)sized->work_us);
  sized->read_us = sizing.estimate.read_us;
  sized->mean_work_us
      = (uint64_t)service_mean_work_left_us (service, sizing.mean_work_us);
  sized->mean_passes = service_mean_events (service);
  sized->entries = fleet->share.relays;
  return sizing;
}

/* Record that the request of SIZING is sent to SERVICE.  */
void
work_use_sizing (fleet_t *fleet, fleet_service_t *service,
                 const work_sizing_t *sizing, struct timespec now)
{
  service->mean_work_us = sizing->mean_work_us;
  work_model_use (fleet->work, sizing->estimate.origin, now);
}

static void
backlog_add (fleet_backlog_t *backlog, const fleet_work_t *work)
{
  backlog->requests++;
  backlog->work_us += work->counted_us;
  backlog->read_us += work->counted_read_us;
}

static void
backlog_subtract (fleet_backlog_t *backlog, const fleet_work_t *work)
{
  backlog->requests--;
  backlog->work_us -= work->counted_us;
  backlog->read_us -= work->counted_read_us;
}

/* Show the policy the work that is counted at UPSTREAM.  */
static void
upstream_show_work (fleet_upstream_t *upstream)
{
  upstream->candidate.outstanding_work_us = upstream->backlog.work_us;
  upstream->candidate.outstanding_read_us = upstream->backlog.read_us;
}

static void
upstream_add_work (fleet_upstream_t *upstream, const fleet_work_t *work)
{
  backlog_add (&upstream->backlog, work);
  backlog_add (&upstream->service->backlog, work);
  upstream_show_work (upstream);
}

static void
upstream_subtract_work (fleet_upstream_t *upstream, const fleet_work_t *work)
{
  backlog_subtract (&upstream->backlog, work);
  backlog_subtract (&upstream->service->backlog, work);
  upstream_show_work (upstream);
}

/* Set what is counted of WORK after its events.  The first one shows that the
   prompt has been read.  */
static void
work_set_counted (fleet_work_t *work)
{
  work->counted_us = work_left_us (&work->estimate, work->events);
  work->counted_read_us = work->events == 0 ? work->estimate.read_us : 0;
}

/* Set how much longer UPSTREAM takes to read a prompt than its engine does
   alone: a pass reads a limited number of tokens and also generates for other
   requests.  */
void
work_set_read_stretch (fleet_upstream_t *upstream)
{
  const engine_profile_t *engine = &upstream->service->engine;
  double chunk_ms = engine_read_ms (engine, engine->prompt_chunk_tokens);

  upstream->candidate.read_stretch = 1;
  if (upstream->group != NULL && chunk_ms > 0)
    upstream->candidate.read_stretch
        = fmax (upstream->group->mean_step_ms / chunk_ms, 1);
}

/* Return the work left at UPSTREAM of this relay's requests and, by its last
   report, of others.  */
static double
upstream_work_left_us (const fleet_upstream_t *upstream)
{
  const pick_candidate_t *candidate = &upstream->candidate;
  double others = (double)(candidate->report.outstanding_requests
                           + candidate->report.queued_requests)
                  - (double)candidate->requests_at_report;

  return (double)upstream->backlog.work_us
         + fmax (others, 0)
               * service_mean_work_left_us (upstream->service,
                                            upstream->service->mean_work_us);
}

/* Return the most work that is left at an upstream of SERVICE, relative to the
   mean, or 0 if there is none.  Upstreams that get no requests don't
   count.  */
static double
service_spread (const fleet_service_t *service, struct timespec now)
{
  const fleet_upstream_t *upstream;
  double most_us = 0;
  double total_us = 0;
  unsigned count = 0;

  STAILQ_FOREACH (upstream, &service->upstreams, link)
    {
      double work_us = upstream_work_left_us (upstream);

      if (upstream->is_draining || fleet_upstream_is_replaced (upstream, now)
          || upstream->zone->is_out)
        continue;
      most_us = fmax (most_us, work_us);
      total_us += work_us;
      count++;
    }
  return total_us > 0 ? most_us * count / total_us : 0;
}

/* Set the gauge of the spread of work, at intervals.  */
void
work_show_spread (fleet_t *fleet, struct timespec now)
{
  const fleet_service_t *service;
  double spread = 0;

  if (timespec_to_ms (timespec_subtract (now, fleet->spread_shown_at))
      < SPREAD_INTERVAL_MS)
    return;
  fleet->spread_shown_at = now;
  STAILQ_FOREACH (service, &fleet->services, link)
    {
      if (service->has_engine)
        spread = fmax (spread, service_spread (service, now));
    }
  counter_set (&busiest_backlog, llround (spread * PERCENT));
}

/* Count the request with WORK at UPSTREAM.  */
void
work_add_request (fleet_upstream_t *upstream, fleet_work_t *work)
{
  work->instance = upstream->instance;
  work_set_counted (work);
  upstream_add_work (upstream, work);
}

/* Count nothing any more at UPSTREAM, which is removed.  */
void
work_drop_upstream (fleet_upstream_t *upstream)
{
  fleet_backlog_t *total = &upstream->service->backlog;

  total->requests -= upstream->backlog.requests;
  total->work_us -= upstream->backlog.work_us;
  total->read_us -= upstream->backlog.read_us;
  upstream->backlog = (fleet_backlog_t){ 0 };
  upstream_show_work (upstream);
}

/* Return the upstream of CHOICE, or NULL if it has been removed since the
   choice.  */
static fleet_upstream_t *
find_chosen (const fleet_t *fleet, const fleet_choice_t *choice)
{
  fleet_upstream_t *upstream = fleet_find (fleet, choice->upstream);

  return upstream != NULL && upstream->instance == choice->work.instance
             ? upstream
             : NULL;
}

/* Record that EVENTS events have been received from the upstream of CHOICE.
   An event may be the end of the work of reading the prompt or a part of that
   of writing; what is left may also rise, see work_left_us.  */
void
fleet_record_events (fleet_t *fleet, fleet_choice_t *choice, uint64_t events)
{
  fleet_work_t *work = &choice->work;
  fleet_upstream_t *upstream;

  if (events == work->events)
    return;
  work->events = events;
  table_lock (fleet->table);
  upstream = find_chosen (fleet, choice);
  if (upstream != NULL)
    upstream_subtract_work (upstream, work);
  work_set_counted (work);
  if (upstream != NULL)
    upstream_add_work (upstream, work);
  table_unlock (fleet->table);
}

/* Record the length of a complete response of SERVICE.  */
static void
service_record_output (fleet_service_t *service, const fleet_work_t *work)
{
  if (!work->estimate.is_partial)
    service->mean_events
        = mean_with (service->mean_events, (double)work->events);
  if (service->output_ratio != NULL)
    histogram_record_ratio (service->output_ratio,
                            (double)work->events / work->estimate.events);
}

/* The attempt of CHOICE has ended with RESULT, ELAPSED_MS milliseconds after
   the request was sent: its work is no longer outstanding.  A complete
   response shows how long responses are.  */
void
fleet_finish_work (fleet_t *fleet, fleet_choice_t *choice,
                   fleet_result_t result, int64_t elapsed_ms)
{
  fleet_work_t *work = &choice->work;
  work_response_t response
      = { .events = work->events, .elapsed_ms = elapsed_ms };
  fleet_upstream_t *upstream;

  table_lock (fleet->table);
  upstream = find_chosen (fleet, choice);
  if (upstream != NULL)
    upstream_subtract_work (upstream, work);
  if (result == FLEET_SERVED)
    work_model_record (fleet->work, &work->estimate, &response,
                       clock_monotonic (fleet->clock));
  if (result == FLEET_SERVED && upstream != NULL && work->events > 0)
    service_record_output (upstream->service, work);
  table_unlock (fleet->table);
}
