#include "relay/fleet_state.h"

#include "kernel/log.h"

#include <math.h>
#include <string.h>

enum
{
  REPORT_MAX_AGE_MS = 1500, /* older reports are ignored */
  GROUP_STALL_MS = 400,     /* time without a step, while there is work */
  /* How much later than the rules say reports may show that a group has
     formed: they are up to 200 ms old, and some are lost.  */
  GROUP_FORMED_MARGIN_MS = 300,
  /* A stream is considered hung if it has no event for this long, and for this
     many steps, while its group takes steps.  */
  STREAM_STALL_MIN_MS = 400,
  STREAM_STALL_STEPS = 4,
  US_PER_MS = 1000
};

/* A rank with a higher slowdown gets no requests while others have capacity,
   because all ranks of a group wait for the slowest.  */
static const double slow_rank_slowdown = 1.25;

/* Weight of the newest step in the mean step time.  */
static const double step_weight = 0.25;
/* Share of the step time limit that is the target.  */
static const double step_target_ratio = 0.85;

static bool
is_recent (const fleet_t *fleet, struct timespec at)
{
  return timespec_to_ms (
             timespec_subtract (clock_monotonic (fleet->clock), at))
         < REPORT_MAX_AGE_MS;
}

static fleet_group_t *
fleet_find_or_add_group (fleet_t *fleet, const char *name)
{
  fleet_group_t *group;

  LIST_FOREACH (group, &fleet->groups, link)
    {
      if (strcmp (group->name, name) == 0)
        return group;
    }
  group = talloc_zero (fleet, fleet_group_t);
  if (group == NULL)
    return NULL;
  group->name = talloc_strdup (group, name);
  group->is_open = true;
  LIST_INSERT_HEAD (&fleet->groups, group, link);
  return group;
}

static uint64_t
next_random_state (const fleet_t *fleet)
{
  return fleet->random_state * 6364136223846793005ULL + 1442695040888963407;
}

/* Return the random number that fleet_random will return next.  */
double
fleet_next_random (const fleet_t *fleet)
{
  static const double range = 4294967296.0;

  return (double)(next_random_state (fleet) >> 32) / range;
}

/* Return a random number from 0 to below 1.  */
double
fleet_random (fleet_t *fleet)
{
  double number = fleet_next_random (fleet);

  fleet->random_state = next_random_state (fleet);
  return number;
}

/* Return the mean number of running requests per rank of GROUP.  */
static double
group_mean_running (const fleet_group_t *group)
{
  return group->known_ranks == 0
             ? 0
             : (double)group->running_requests / group->known_ranks;
}

/* Make UPSTREAM a rank of GROUP, or of no group if it is NULL.  */
void
fleet_upstream_set_group (fleet_upstream_t *upstream, fleet_group_t *group)
{
  uint64_t running = upstream->candidate.report.outstanding_requests;
  uint64_t tokens = upstream->candidate.report.used_cache_tokens;

  if (upstream->group == group)
    return;
  if (upstream->group != NULL)
    {
      upstream->group->known_ranks--;
      upstream->group->running_requests -= running;
      upstream->group->cache_tokens -= tokens;
    }
  if (group != NULL)
    {
      group->known_ranks++;
      group->running_requests += running;
      group->cache_tokens += tokens;
    }
  upstream->group = group;
}

/* Update the mean step time: the group has taken COUNT steps since
   LAST_STEP_AT.  */
static void
group_record_steps (const fleet_service_t *service, fleet_group_t *group,
                    uint64_t count, struct timespec now)
{
  double elapsed_ms
      = (double)timespec_to_us (timespec_subtract (now, group->last_step_at))
        / US_PER_MS;

  group->last_step_ms = elapsed_ms / (double)count;
  if (elapsed_ms > GROUP_STALL_MS)
    return; /* the group may have been idle */
  group_record_pass (service, group, group->last_step_ms);
  if (group->mean_step_ms <= 0)
    group->mean_step_ms = elapsed_ms / (double)count;
  group->mean_step_ms
      += step_weight * (elapsed_ms / (double)count - group->mean_step_ms);
}

/* Update the group of UPSTREAM from the REPORT of that rank.  Returns whether
   the group has started or stopped taking steps.  */
static bool
group_update (fleet_t *fleet, const fleet_upstream_t *upstream,
              const fleet_report_t *report)
{
  fleet_group_t *group = upstream->group;
  struct timespec now = clock_monotonic (fleet->clock);
  bool was_open = group->is_open;
  bool was_stalled = group->is_stalled;

  if (report->epoch < group->epoch)
    return false;
  if (report->epoch == group->epoch && report->step > group->step
      && report->running > 0)
    group_record_steps (upstream->service, group, report->step - group->step,
                        now);
  if (report->epoch > group->epoch || report->step > group->step
      || !group->is_open || report->running + report->waiting == 0)
    group->last_step_at = now;
  group->is_stalled
      = timespec_to_ms (timespec_subtract (now, group->last_step_at))
        > GROUP_STALL_MS;
  if (report->epoch > group->epoch || !report->is_open)
    group->last_disrupted_at = now;
  if (report->epoch > group->epoch || report->step > group->step)
    group->step = report->step;
  group->epoch = report->epoch;
  if (group->is_open && !report->is_open)
    group->closed_since = now;
  group->is_open = report->is_open;
  group->last_report_at = now;
  if (was_stalled != group->is_stalled)
    log_event (LOG_LEVEL_NOTICE,
               group->is_stalled ? "group-stalled" : "group-steps-again",
               "group=%s epoch=%llu step=%llu", group->name,
               (unsigned long long)group->epoch,
               (unsigned long long)group->step);
  if (was_open != group->is_open)
    log_event (
        LOG_LEVEL_NOTICE, group->is_open ? "group-open" : "group-broken",
        "group=%s epoch=%llu step=%llu", group->name,
        (unsigned long long)group->epoch, (unsigned long long)group->step);
  return was_open != group->is_open;
}

/* Record the current load of UPSTREAM, which includes the requests of other
   relays.  */
void
fleet_upstream_record_load (const fleet_t *fleet, fleet_upstream_t *upstream,
                            uint64_t running, uint64_t waiting)
{
  pick_candidate_t *candidate = &upstream->candidate;

  if (upstream->group != NULL)
    {
      upstream->group->running_requests
          -= candidate->report.outstanding_requests;
      upstream->group->running_requests += running;
    }
  candidate->report.at = clock_monotonic (fleet->clock);
  candidate->report.outstanding_requests = running;
  candidate->report.queued_requests = waiting;
  candidate->report.outstanding_tokens
      = (uint64_t)((double)(running + waiting)
                   * upstream->service->tokens_per_slot);
  candidate->requests_at_report = candidate->outstanding_requests;
  candidate->tokens_at_report = candidate->outstanding_tokens;
}

/* Record the load and the slowdown of UPSTREAM.  */
static void
upstream_apply_report (const fleet_t *fleet, fleet_upstream_t *upstream,
                       const fleet_report_t *report)
{
  fleet_upstream_record_load (fleet, upstream, report->running,
                              report->waiting);
  if (upstream->is_slow != (report->slowdown > slow_rank_slowdown))
    log_event (LOG_LEVEL_NOTICE,
               upstream->is_slow ? "upstream-recovered" : "upstream-slow",
               "upstream=%s group=%s pace=%.2f step=%llu", upstream->id,
               report->group, report->slowdown,
               (unsigned long long)report->step);
  upstream->candidate.report.slowdown = report->slowdown;
  if (upstream->group != NULL)
    upstream->group->cache_tokens
        += report->used_tokens - upstream->candidate.report.used_cache_tokens;
  upstream->candidate.report.used_cache_tokens = report->used_tokens;
  upstream->candidate.report.total_cache_tokens = report->total_tokens;
  upstream->is_slow = report->slowdown > slow_rank_slowdown;
  upstream->reported_at = upstream->candidate.report.at;
}

/* Return how many requests UPSTREAM may have at once so that the steps of its
   group stay within the service's step time limit.  Without the costs of the
   engine, the step time beyond that of an idle group is assumed to be
   proportional to the number of requests.  */
static double
request_limit (const fleet_t *fleet, const fleet_upstream_t *upstream)
{
  const fleet_service_t *service = upstream->service;
  const fleet_group_t *group = upstream->group;
  double limit_ms = service->step_limit_ms * step_target_ratio;
  double mean_running;

  if (group == NULL || limit_ms <= service->idle_step_ms
      || !is_recent (fleet, group->last_report_at))
    return upstream->slots;
  if (service->has_engine)
    return work_request_limit (upstream, limit_ms);
  if (group->mean_step_ms <= limit_ms)
    return upstream->slots;
  mean_running = group_mean_running (group);
  return mean_running * (limit_ms - service->idle_step_ms)
         / (group->mean_step_ms - service->idle_step_ms);
}

/* Return whether the group of UPSTREAM has opened more recently than a
   response takes.  Until then it ends no requests, so that places which late
   ones take are missing to all that arrive meanwhile.  */
static bool
upstream_is_filling (const fleet_t *fleet, const fleet_upstream_t *upstream)
{
  const fleet_service_t *service = upstream->service;
  const fleet_group_t *group = upstream->group;
  struct timespec now = clock_monotonic (fleet->clock);
  double response_ms;

  if (group == NULL || !service->has_engine)
    return false;
  response_ms = service_mean_events (service)
                * fmax (group->mean_step_ms, service->idle_step_ms);
  return (double)timespec_to_ms (
             timespec_subtract (now, group->last_disrupted_at))
         < response_ms;
}

/* Set the free capacity of UPSTREAM from REPORT.  A group that takes no steps
   has none.  */
static void
upstream_set_quota (fleet_t *fleet, fleet_upstream_t *upstream,
                    const fleet_report_t *report)
{
  double limit = fmax (request_limit (fleet, upstream), 1);
  double current = (double)(report->running + report->waiting);

  if (upstream->group != NULL && !upstream->group->is_open)
    quota_clear (upstream);
  else
    quota_set (fleet, upstream, limit, current,
               upstream_is_filling (fleet, upstream));
}

/* Record the report of the engine at ADDRESS, which its pilot passed on.
   Returns whether queued requests should be tried again.  */
bool
fleet_record_report (fleet_t *fleet, const char *address,
                     const fleet_report_t *report)
{
  fleet_upstream_t *upstream;
  bool is_state_changed = false;

  table_lock (fleet->table);
  upstream = fleet_find_by_address (fleet, address);
  if (upstream != NULL)
    {
      upstream_apply_report (fleet, upstream, report);
      if (report->group[0] != '\0')
        fleet_upstream_set_group (
            upstream, fleet_find_or_add_group (fleet, report->group));
      if (upstream->group != NULL)
        is_state_changed = group_update (fleet, upstream, report);
      work_set_read_stretch (upstream);
      upstream_set_quota (fleet, upstream, report);
    }
  table_unlock (fleet->table);
  return is_state_changed;
}

/* Return whether the group of UPSTREAM is known to take no steps.  */
bool
fleet_upstream_is_stalled (const fleet_t *fleet,
                           const fleet_upstream_t *upstream)
{
  const fleet_group_t *group = upstream->group;

  if (group == NULL || !is_recent (fleet, group->last_report_at))
    return false;
  return !group->is_open || group->is_stalled;
}

/* Return for how long a group of SERVICE may be closed while requests still
   wait for it.  Where all requests are as urgent, that is until those have
   been given up that were queued when it should have formed.  Where
   HAS_CLASSES says that they differ in urgency, those that wait for long would
   take the places of urgent ones when it opens, so it is only until the group
   should have formed and those that were queued before it closed have been
   given up.  */
static struct timespec
service_group_limit (const fleet_service_t *service, bool has_classes)
{
  struct timespec form_time = service->engine.group_recovery_time;
  struct timespec queue_time = timespec_from_ms (FLEET_MAX_QUEUE_MS);

  if (!has_classes)
    return timespec_add (form_time, queue_time);
  form_time
      = timespec_add (form_time, timespec_from_ms (GROUP_FORMED_MARGIN_MS));
  return timespec_compare (form_time, queue_time) > 0 ? form_time : queue_time;
}

/* Return whether the group of UPSTREAM has been closed for so long that a
   request would wait for it in vain.  */
bool
fleet_upstream_has_lost_group (const fleet_t *fleet,
                               const fleet_upstream_t *upstream,
                               bool has_classes, struct timespec now)
{
  const fleet_group_t *group = upstream->group;
  struct timespec limit = service_group_limit (upstream->service, has_classes);

  return group != NULL && !group->is_open
         && is_recent (fleet, group->last_report_at)
         && timespec_compare (timespec_subtract (now, group->closed_since),
                              limit)
                > 0;
}

/* Return whether there is a known reason why nothing has arrived from UPSTREAM
   since LAST_RECEIVED_AT: requests are queued there, or since then, or
   since it was last disrupted, its group has been taking steps for less than
   STREAM_STALL_MIN_MS or for less than STREAM_STALL_STEPS steps.  */
bool
fleet_upstream_is_silence_expected (const fleet_t *fleet,
                                    const fleet_upstream_t *upstream,
                                    struct timespec last_received_at)
{
  const fleet_group_t *group = upstream->group;
  struct timespec idle_since = last_received_at;

  if (group == NULL || !is_recent (fleet, group->last_report_at))
    return false;
  if (is_recent (fleet, upstream->reported_at)
      && upstream->candidate.report.queued_requests > 0)
    return true;
  if (timespec_compare (group->last_disrupted_at, idle_since) > 0)
    idle_since = group->last_disrupted_at;
  return (double)timespec_to_ms (
             timespec_subtract (group->last_step_at, idle_since))
         < fmax (STREAM_STALL_MIN_MS,
                 STREAM_STALL_STEPS * group->last_step_ms);
}

/* Return whether UPSTREAM has reported no capacity for another request of this
   relay, or if IS_SHARE_USED, any.  */
bool
fleet_upstream_is_full (const fleet_t *fleet, const fleet_upstream_t *upstream,
                        const quota_use_t *use, bool is_share_used)
{
  if (upstream->group == NULL || !is_recent (fleet, upstream->reported_at))
    return false;
  return is_share_used || quota_is_upstream_full (upstream, use);
}

/* Return whether a pilot has reported on UPSTREAM recently.  */
bool
fleet_upstream_has_recent_report (const fleet_t *fleet,
                                  const fleet_upstream_t *upstream)
{
  return is_recent (fleet, upstream->reported_at);
}

/* Return whether the pilot of UPSTREAM has reported, but not of late, while
   others of its group do.  */
bool
fleet_upstream_is_silent (const fleet_t *fleet,
                          const fleet_upstream_t *upstream)
{
  return upstream->group != NULL && !is_recent (fleet, upstream->reported_at)
         && is_recent (fleet, upstream->group->last_report_at);
}

/* Return whether UPSTREAM is known to slow down its group.  */
bool
fleet_upstream_is_slow (const fleet_t *fleet, const fleet_upstream_t *upstream)
{
  return upstream->is_slow && is_recent (fleet, upstream->reported_at);
}
