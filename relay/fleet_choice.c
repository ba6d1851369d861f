#include "relay/fleet_state.h"

#include "kernel/counter.h"
#include "kernel/invariant.h"

#include <string.h>

/* Weight of the newest answer in a service's usual time.  */
static const double usual_weight = 0.05;

COUNTER_DEFINE (none_chosen, "siskin_fleet_no_candidate_total",
                "Times that no upstream could be chosen");

static bool
was_tried (const fleet_request_t *request, const char *id)
{
  for (unsigned i = 0; i < request->tried_count; i++)
    {
      if (strcmp (request->tried[i], id) == 0)
        return true;
    }
  return false;
}

/* Whether UPSTREAM may get REQUEST at all.  */
static bool
is_allowed (fleet_t *fleet, const fleet_upstream_t *upstream,
            const fleet_request_t *request)
{
  return !upstream->is_draining && !upstream->is_replaced
         && !fleet_find_or_add_zone (fleet, upstream->zone)->is_out
         && route_allows_region (request->route, upstream->region)
         && !was_tried (request, upstream->id);
}

/* How choosy a search is.  */
typedef enum search
{
  SEARCH_BEST,      /* no upstream that is slow or has failed lately */
  SEARCH_ANSWERING, /* none that has failed lately */
  SEARCH_ANY,
  SEARCH_COUNT
} search_t;

/* Return what keeps UPSTREAM from being chosen, or FLEET_SHORTAGE_NONE.  */
static fleet_shortage_t
find_obstacle (fleet_t *fleet, fleet_upstream_t *upstream,
               const fleet_request_t *request, search_t search)
{
  struct timespec now = clock_monotonic (fleet->clock);

  if (!is_allowed (fleet, upstream, request))
    return FLEET_NONE_ALLOWED;
  if (report_is_stalled (fleet, upstream))
    return FLEET_ALL_STALLED;
  if (report_is_full (fleet, upstream, request->is_late))
    return FLEET_ALL_FULL;
  if (search < SEARCH_ANY && health_is_ejected (upstream, now))
    return FLEET_ALL_FAILING;
  if (search < SEARCH_ANSWERING && report_is_slow (fleet, upstream))
    return FLEET_ALL_FAILING;
  if (!cold_has_token (fleet, upstream, now))
    return FLEET_ALL_COLD;
  return FLEET_SHORTAGE_NONE;
}

/* Collect the upstreams that can take REQUEST.  Sets *SHORTAGE when there is
   none.  */
static unsigned
collect (fleet_t *fleet, const fleet_service_t *service,
         const fleet_request_t *request, search_t search,
         fleet_shortage_t *shortage)
{
  fleet_upstream_t *upstream;
  unsigned count = 0;

  *shortage = FLEET_NONE_LISTED;
  STAILQ_FOREACH (upstream, &service->upstreams, link)
    {
      fleet_shortage_t obstacle
          = find_obstacle (fleet, upstream, request, search);

      if (obstacle > *shortage)
        *shortage = obstacle;
      if (obstacle != FLEET_SHORTAGE_NONE)
        continue;
      fleet->candidates[count] = &upstream->candidate;
      fleet->chosen_from[count++] = upstream;
    }
  return count;
}

static void
take (fleet_upstream_t *upstream, const pick_request_t *work)
{
  upstream->sent++;
  upstream->candidate.outstanding_requests++;
  upstream->candidate.outstanding_tokens
      += work->prompt_tokens + work->output_tokens;
}

/* Return how old what UPSTREAM told of its load is, -1 if it told nothing.  */
static int64_t
upstream_report_age_ms (const fleet_upstream_t *upstream, struct timespec now)
{
  const pick_report_t *report = &upstream->candidate.report;

  if (timespec_is_zero (report->at))
    return -1;
  return timespec_to_ms (timespec_subtract (now, report->at));
}

static fleet_shortage_t
choose_locked (fleet_t *fleet, TALLOC_CTX *parent,
               const fleet_request_t *request, fleet_choice_t *choice)
{
  struct timespec now = clock_monotonic (fleet->clock);
  fleet_service_t *service = fleet_find_service (fleet, request->service);
  fleet_shortage_t shortage;
  pick_choice_t picked = { 0 };
  fleet_upstream_t *upstream;
  unsigned count = 0;

  if (service == NULL)
    return FLEET_NONE_LISTED;
  for (search_t search = SEARCH_BEST; count == 0 && search < SEARCH_COUNT;
       search++)
    count = collect (fleet, service, request, search, &shortage);
  if (count == 0)
    return shortage;
  service->ops->choose (service->pick, &request->work, fleet->candidates,
                        count, now, &picked);
  upstream = fleet->chosen_from[picked.index];
  *choice = (fleet_choice_t){
    .upstream = talloc_strdup (parent, upstream->id),
    .address = talloc_strdup (parent, upstream->address),
    .zone = talloc_strdup (parent, upstream->zone),
    .reason = picked.reason,
    .is_cold = cold_is_cold (upstream, now),
    .candidates = count,
    .running = upstream->candidate.outstanding_requests,
    .report_age_ms = upstream_report_age_ms (upstream, now),
  };
  cold_consume_token (upstream);
  take (upstream, &request->work);
  return FLEET_SHORTAGE_NONE;
}

/* Choose an upstream for REQUEST and count the request there.  Unless one was
   found CHOICE is not set.  */
fleet_shortage_t
fleet_choose (fleet_t *fleet, TALLOC_CTX *parent,
              const fleet_request_t *request, fleet_choice_t *choice)
{
  fleet_shortage_t shortage;

  table_lock (fleet->table);
  shortage = choose_locked (fleet, parent, request, choice);
  table_unlock (fleet->table);
  if (shortage != FLEET_SHORTAGE_NONE)
    counter_add (&none_chosen, 1);
  return shortage;
}

static void
service_note_time (fleet_service_t *service, int64_t took_ms)
{
  if (service->usual_ms <= 0)
    service->usual_ms = (double)took_ms;
  service->usual_ms += usual_weight * ((double)took_ms - service->usual_ms);
}

/* The request with WORK at the upstream ID has ended, TOOK_MS milliseconds
   after it was sent.  */
void
fleet_release (fleet_t *fleet, const char *id, const pick_request_t *work,
               fleet_result_t result, int64_t took_ms)
{
  fleet_upstream_t *upstream;
  uint64_t tokens = work->prompt_tokens + work->output_tokens;

  table_lock (fleet->table);
  upstream = fleet_find (fleet, id);
  /* It may have gone and come back under its id meanwhile.  */
  if (upstream != NULL && upstream->candidate.outstanding_requests > 0)
    {
      pick_candidate_t *candidate = &upstream->candidate;

      candidate->outstanding_requests--;
      candidate->outstanding_tokens -= tokens < candidate->outstanding_tokens
                                           ? tokens
                                           : candidate->outstanding_tokens;
      health_record_result (upstream, result, clock_monotonic (fleet->clock));
      if (result == FLEET_SERVED)
        service_note_time (upstream->service, took_ms);
    }
  if (upstream != NULL && result == FLEET_MISDIRECTED)
    upstream->is_replaced = true;
  table_unlock (fleet->table);
}

/* Return how many milliseconds answers of SERVICE usually take, 0 if that is
   not known.  */
double
fleet_mean_response_ms (fleet_t *fleet, const char *service)
{
  const fleet_service_t *known;
  double usual_ms;

  table_lock (fleet->table);
  known = fleet_find_service (fleet, service);
  usual_ms = known == NULL ? 0 : known->usual_ms;
  table_unlock (fleet->table);
  return usual_ms;
}

/* Return whether it is known why nothing has come from the upstream ID since
   HEARD_AT: all upstreams of its group wait, or the request waits there for
   its turn.  */
bool
fleet_is_silence_expected (fleet_t *fleet, const char *id,
                           struct timespec heard_at)
{
  const fleet_upstream_t *upstream;
  bool is_excused;

  table_lock (fleet->table);
  upstream = fleet_find (fleet, id);
  is_excused = upstream != NULL
               && report_is_silence_expected (fleet, upstream, heard_at);
  table_unlock (fleet->table);
  return is_excused;
}

/* Note what the upstream ID told of its load.  */
void
fleet_record_load (fleet_t *fleet, const char *id, uint64_t running,
                   uint64_t waiting, uint64_t slots)
{
  fleet_upstream_t *upstream;

  table_lock (fleet->table);
  upstream = fleet_find (fleet, id);
  /* What a pilot reports is newer than what comes with an answer.  */
  if (upstream != NULL && !report_is_recent (fleet, upstream))
    {
      report_record_load (fleet, upstream, running, waiting);
      if (slots > 0)
        upstream->candidate.report.limit_requests = slots;
    }
  table_unlock (fleet->table);
}
