#include "relay/fleet_state.h"

#include "kernel/counter.h"

#include <string.h>

/* Weight of the newest response in a service's mean response time.  */
static const double response_time_weight = 0.05;

enum
{
  /* An upstream that was found replaced is tried again after this time if it
     is still listed.  A listing ends within some seconds of its upstream, and
     a request that reaches another one is rejected and sent elsewhere.  */
  REPLACED_RETRY_MS = 5000
};

static const fleet_shortage_t obstacle_shortages[OBSTACLE_COUNT] = {
  [OBSTACLE_NONE] = FLEET_NO_SHORTAGE,
  [OBSTACLE_DRAINING] = FLEET_NO_ALLOWED_UPSTREAM,
  [OBSTACLE_REPLACED] = FLEET_NO_ALLOWED_UPSTREAM,
  [OBSTACLE_ZONE_OUT] = FLEET_NO_ALLOWED_UPSTREAM,
  [OBSTACLE_REGION] = FLEET_NO_ALLOWED_UPSTREAM,
  [OBSTACLE_TRIED] = FLEET_NO_ALLOWED_UPSTREAM,
  [OBSTACLE_NO_GROUP] = FLEET_NO_GROUP,
  [OBSTACLE_PAUSED] = FLEET_ALL_PAUSED,
  [OBSTACLE_STALLED] = FLEET_ALL_STALLED,
  [OBSTACLE_COLD] = FLEET_ALL_COLD,
  [OBSTACLE_LIMITED] = FLEET_ALL_LIMITED,
  [OBSTACLE_SHARE_USED] = FLEET_ALL_FULL,
  [OBSTACLE_FULL] = FLEET_ALL_FULL,
};

COUNTER_DEFINE (no_candidate, "siskin_fleet_no_candidate_total",
                "Times that no upstream could be chosen");

static bool
request_has_tried (const fleet_request_t *request, const char *id)
{
  for (unsigned i = 0; i < request->tried_count; i++)
    {
      if (strcmp (request->tried[i], id) == 0)
        return true;
    }
  return false;
}

/* Return whether another upstream responds at the address of UPSTREAM.  */
bool
fleet_upstream_is_replaced (const fleet_upstream_t *upstream,
                            struct timespec now)
{
  return timespec_compare (now, upstream->replaced_until) < 0;
}

/* Return why UPSTREAM is not eligible for REQUEST, regardless of its load.  */
static fleet_obstacle_t
find_exclusion (const fleet_upstream_t *upstream,
                const fleet_request_t *request, struct timespec now)
{
  if (upstream->is_draining)
    return OBSTACLE_DRAINING;
  if (fleet_upstream_is_replaced (upstream, now))
    return OBSTACLE_REPLACED;
  if (upstream->zone->is_out)
    return OBSTACLE_ZONE_OUT;
  if (!route_allows_region (request->route, upstream->zone->region))
    return OBSTACLE_REGION;
  return request_has_tried (request, upstream->id) ? OBSTACLE_TRIED
                                                   : OBSTACLE_NONE;
}

/* Return how desirable UPSTREAM is for a request with USE.  */
static fleet_preference_t
upstream_preference (const fleet_t *fleet, const fleet_upstream_t *upstream,
                     const quota_use_t *use, struct timespec now)
{
  if (health_is_ejected (upstream, now))
    return PREFER_EJECTED;
  if (fleet_upstream_is_silent (fleet, upstream))
    return PREFER_SILENT;
  if (fleet_upstream_is_slow (fleet, upstream))
    return PREFER_SLOW;
  if (!quota_is_known (fleet, upstream)
      || quota_is_within_share (fleet, upstream, use))
    return PREFER_WITHIN_SHARE;
  return PREFER_HEALTHY;
}

/* Return the reason why UPSTREAM cannot be chosen, or OBSTACLE_NONE.  Does not
   consider its reported capacity.  */
static fleet_obstacle_t
find_obstacle (const fleet_t *fleet, const fleet_upstream_t *upstream,
               const fleet_request_t *request, bool has_classes,
               struct timespec now)
{
  fleet_obstacle_t exclusion = find_exclusion (upstream, request, now);

  if (exclusion != OBSTACLE_NONE)
    return exclusion;
  if (fleet_upstream_has_lost_group (fleet, upstream, has_classes, now))
    return OBSTACLE_NO_GROUP;
  if (upstream_is_paused (upstream, now))
    return OBSTACLE_PAUSED;
  if (fleet_upstream_is_stalled (fleet, upstream))
    return OBSTACLE_STALLED;
  if (!cold_start_has_token (fleet, upstream, now))
    return OBSTACLE_COLD;
  if (fleet->limits != NULL
      && !rate_limits_has_slot (fleet->limits, upstream->incarnation,
                                &fleet->share))
    return OBSTACLE_LIMITED;
  return OBSTACLE_NONE;
}

/* Return why UPSTREAM, which has no other obstacle, has no capacity for a
   request with USE, or OBSTACLE_NONE.  */
static fleet_obstacle_t
find_capacity_obstacle (const fleet_t *fleet, const fleet_upstream_t *upstream,
                        const quota_use_t *use, bool is_share_used)
{
  if (!fleet_upstream_is_full (fleet, upstream, use, is_share_used))
    return OBSTACLE_NONE;
  return fleet_upstream_is_full (fleet, upstream, use, false)
             ? OBSTACLE_FULL
             : OBSTACLE_SHARE_USED;
}

/* Raise *SHORTAGE to that of an upstream with OBSTACLE.  */
static void
raise_shortage (fleet_shortage_t *shortage, fleet_obstacle_t obstacle)
{
  if (obstacle_shortages[obstacle] > *shortage)
    *shortage = obstacle_shortages[obstacle];
}

/* Collect the upstreams that REQUEST may use, whether or not they have
   capacity, and return their number.  *SHORTAGE is the reason if there are
   none.  *TOTAL is the capacity of those that are in order, or of all if none
   is: what can't be used must not be shared.  */
static unsigned
collect_usable (const fleet_t *fleet, const fleet_service_t *service,
                const fleet_request_t *request, const quota_use_t *use,
                struct timespec now, fleet_quota_t *total,
                fleet_shortage_t *shortage)
{
  fleet_quota_t impaired = { 0 };
  fleet_upstream_t *upstream;
  bool has_healthy = false;
  unsigned count = 0;

  *total = (fleet_quota_t){ 0 };
  *shortage = FLEET_NO_UPSTREAM;
  STAILQ_FOREACH (upstream, &service->upstreams, link)
    {
      fleet_obstacle_t obstacle
          = find_obstacle (fleet, upstream, request, use->has_classes, now);

      if (obstacle != OBSTACLE_NONE)
        {
          raise_shortage (shortage, obstacle);
          continue;
        }
      upstream->preference = upstream_preference (fleet, upstream, use, now);
      if (upstream->preference <= PREFER_HEALTHY)
        has_healthy = true;
      quota_add (fleet,
                 upstream->preference <= PREFER_HEALTHY ? total : &impaired,
                 upstream);
      fleet->candidate_upstreams[count++] = upstream;
    }
  if (!has_healthy)
    *total = impaired;
  return count;
}

/* Collect the most desirable upstreams that can serve REQUEST as candidates
   and return their number.  CHOICE gets the capacity, and the shortage if
   there are none.  */
static unsigned
collect_candidates (const fleet_t *fleet, const fleet_service_t *service,
                    const fleet_request_t *request, struct timespec now,
                    upstream_choice_t *choice)
{
  fleet_quota_t total;
  unsigned usable;
  bool is_share_used;
  fleet_preference_t best = PREFERENCE_COUNT;
  unsigned count = 0;

  choice->use = service_quota_use (service, request, now);
  usable = collect_usable (fleet, service, request, &choice->use, now, &total,
                           &choice->shortage);
  choice->share = quota_share_at (fleet, service, &total, &choice->use, now);
  is_share_used = quota_is_share_used (&choice->share);
  for (unsigned i = 0; i < usable; i++)
    {
      fleet_upstream_t *upstream = fleet->candidate_upstreams[i];
      fleet_obstacle_t obstacle = find_capacity_obstacle (
          fleet, upstream, &choice->use, is_share_used);

      if (obstacle != OBSTACLE_NONE)
        {
          raise_shortage (&choice->shortage, obstacle);
          continue;
        }
      if (upstream->preference > best)
        continue;
      if (upstream->preference < best)
        count = 0;
      best = upstream->preference;
      fleet->candidates[count] = &upstream->candidate;
      fleet->candidate_upstreams[count++] = upstream;
    }
  return count;
}

static void
upstream_count_request (fleet_upstream_t *upstream, const pick_request_t *work)
{
  quota_count_sent (upstream);
  upstream->candidate.outstanding_requests++;
  upstream->candidate.outstanding_tokens
      += work->prompt_tokens + work->output_tokens;
}

/* Return the age of the last load report of UPSTREAM in milliseconds, -1 if
   there is none.  */
int64_t
fleet_upstream_report_age_ms (const fleet_upstream_t *upstream,
                              struct timespec now)
{
  const pick_report_t *report = &upstream->candidate.report;

  if (timespec_is_zero (report->at))
    return -1;
  return timespec_to_ms (timespec_subtract (now, report->at));
}

/* Return what CHOICE, for REQUEST at NOW, has seen of UPSTREAM.  */
upstream_verdict_t
choice_verdict (const fleet_t *fleet, const upstream_choice_t *choice,
                const fleet_upstream_t *upstream,
                const fleet_request_t *request, struct timespec now)
{
  upstream_verdict_t verdict
      = { .obstacle = find_obstacle (fleet, upstream, request,
                                     choice->use.has_classes, now),
          .preference
          = upstream_preference (fleet, upstream, &choice->use, now) };

  if (verdict.obstacle == OBSTACLE_NONE)
    verdict.obstacle = find_capacity_obstacle (
        fleet, upstream, &choice->use, quota_is_share_used (&choice->share));
  return verdict;
}

/* Find the upstream of SERVICE for REQUEST at NOW with PICK, which is the only
   thing that this changes.  Without PICK it only finds the candidates.  */
upstream_choice_t
choice_find (const fleet_t *fleet, const fleet_service_t *service,
             const fleet_request_t *request, pick_t *pick, struct timespec now)
{
  upstream_choice_t choice = { 0 };
  pick_choice_t picked = { 0 };

  choice.count = collect_candidates (fleet, service, request, now, &choice);
  if (choice.count == 0)
    return choice;
  choice.shortage = FLEET_NO_SHORTAGE;
  if (pick == NULL)
    return choice;
  choice.sizing = work_size_request (fleet, service, request);
  service->ops->choose (pick, &choice.sizing.request, fleet->candidates,
                        choice.count, now, &picked);
  choice.upstream = fleet->candidate_upstreams[picked.index];
  choice.reason = picked.reason;
  return choice;
}

/* Count the request that is sent to the upstream in FOUND.  */
static void
count_chosen (fleet_t *fleet, const upstream_choice_t *found,
              const fleet_request_t *request, fleet_choice_t *choice,
              struct timespec now)
{
  fleet_upstream_t *upstream = found->upstream;

  work_use_sizing (fleet, upstream->service, &found->sizing, now);
  cold_start_consume_token (fleet, upstream, now);
  if (fleet->limits != NULL)
    rate_limits_use_slot (fleet->limits, upstream->incarnation, &fleet->share);
  upstream_count_request (upstream, &request->work);
  work_add_request (upstream, &choice->work);
  work_show_spread (fleet, now);
}

/* Implement fleet_choose; the table must be locked.  */
static fleet_shortage_t
fleet_choose_locked (fleet_t *fleet, TALLOC_CTX *parent,
                     const fleet_request_t *request, fleet_choice_t *choice)
{
  struct timespec now = clock_monotonic (fleet->clock);
  fleet_service_t *service = fleet_find_service (fleet, request->service);
  const fleet_upstream_t *upstream;
  upstream_choice_t found;

  if (service == NULL)
    return FLEET_NO_UPSTREAM;
  quota_draw_rounding (fleet, service, now);
  found = choice_find (fleet, service, request, service->pick, now);
  if (found.shortage != FLEET_NO_SHORTAGE)
    return found.shortage;
  upstream = found.upstream;
  if (upstream == NULL) /* there was no memory for the policy */
    return FLEET_NO_UPSTREAM;
  *choice = (fleet_choice_t){
    .upstream = talloc_strdup (parent, upstream->id),
    .incarnation = upstream->incarnation,
    .address = talloc_strdup (parent, upstream->address),
    .zone = talloc_strdup (parent, upstream->zone->name),
    .reason = found.reason,
    .is_cold = cold_start_is_active (upstream, now),
    .candidates = found.count,
    .running = upstream->candidate.outstanding_requests,
    .report_age_ms = fleet_upstream_report_age_ms (upstream, now),
    .work.estimate = found.sizing.estimate,
    .backlog_us = upstream->backlog.work_us,
  };
  count_chosen (fleet, &found, request, choice, now);
  return FLEET_NO_SHORTAGE;
}

/* Choose an upstream for REQUEST and count the request as outstanding there.
   Returns FLEET_NO_SHORTAGE on success; otherwise CHOICE is not set.  */
fleet_shortage_t
fleet_choose (fleet_t *fleet, TALLOC_CTX *parent,
              const fleet_request_t *request, fleet_choice_t *choice)
{
  fleet_shortage_t shortage;

  table_lock (fleet->table);
  shortage = fleet_choose_locked (fleet, parent, request, choice);
  table_unlock (fleet->table);
  if (shortage != FLEET_NO_SHORTAGE)
    counter_add (&no_candidate, 1);
  return shortage;
}

static void
service_record_response_time (fleet_service_t *service, int64_t elapsed_ms)
{
  if (service->mean_response_ms <= 0)
    service->mean_response_ms = (double)elapsed_ms;
  service->mean_response_ms
      += response_time_weight
         * ((double)elapsed_ms - service->mean_response_ms);
}

/* Record that the attempt with WORK at the upstream ID ended with RESULT,
   ELAPSED_MS milliseconds after the request was sent there.  */
void
fleet_release (fleet_t *fleet, const char *id, const pick_request_t *work,
               fleet_result_t result, int64_t elapsed_ms)
{
  fleet_upstream_t *upstream;
  uint64_t tokens = work->prompt_tokens + work->output_tokens;

  table_lock (fleet->table);
  upstream = fleet_find (fleet, id);
  /* The upstream may have been removed and added again meanwhile, so that this
     request is no longer counted.  */
  if (upstream != NULL && upstream->candidate.outstanding_requests > 0)
    {
      pick_candidate_t *candidate = &upstream->candidate;

      candidate->outstanding_requests--;
      candidate->outstanding_tokens -= tokens < candidate->outstanding_tokens
                                           ? tokens
                                           : candidate->outstanding_tokens;
      health_record_result (upstream, result, clock_monotonic (fleet->clock));
      if (result == FLEET_SERVED || result == FLEET_FAILED)
        quota_count_ended (fleet, upstream, timespec_from_ms (elapsed_ms));
      if (result == FLEET_SERVED)
        service_record_response_time (upstream->service, elapsed_ms);
    }
  if (upstream != NULL && result == FLEET_MISDIRECTED)
    upstream->replaced_until = timespec_add (
        clock_monotonic (fleet->clock), timespec_from_ms (REPLACED_RETRY_MS));
  table_unlock (fleet->table);
}

/* Return the mean response time of SERVICE in milliseconds, 0 if it is
   unknown.  */
double
fleet_mean_response_ms (fleet_t *fleet, const char *service)
{
  const fleet_service_t *known;
  double mean_response_ms;

  table_lock (fleet->table);
  known = fleet_find_service (fleet, service);
  mean_response_ms = known == NULL ? 0 : known->mean_response_ms;
  table_unlock (fleet->table);
  return mean_response_ms;
}

/* Return whether there is a known reason why nothing has arrived from the
   upstream ID since LAST_RECEIVED_AT: requests are queued there, or its group
   has taken no steps or only a few since then.  */
bool
fleet_is_silence_expected (fleet_t *fleet, const char *id,
                           struct timespec last_received_at)
{
  const fleet_upstream_t *upstream;
  bool is_expected;

  table_lock (fleet->table);
  upstream = fleet_find (fleet, id);
  is_expected = upstream != NULL
                && fleet_upstream_is_silence_expected (fleet, upstream,
                                                       last_received_at);
  table_unlock (fleet->table);
  return is_expected;
}

/* Record the load that the upstream ID reported with a response.  */
void
fleet_record_load (fleet_t *fleet, const char *id, uint64_t running,
                   uint64_t waiting, uint64_t slots)
{
  fleet_upstream_t *upstream;

  table_lock (fleet->table);
  upstream = fleet_find (fleet, id);
  /* A recent report of a pilot takes precedence over the load reported with a
     response.  */
  if (upstream != NULL && !fleet_upstream_has_recent_report (fleet, upstream))
    {
      fleet_upstream_record_load (fleet, upstream, running, waiting);
      if (slots > 0)
        upstream->candidate.report.limit_requests = slots;
    }
  table_unlock (fleet->table);
}
