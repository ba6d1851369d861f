#include "relay/fleet_state.h"

#include "kernel/log.h"

#include <math.h>
#include <string.h>

enum
{
  FRESH_MS = 1500, /* a report says nothing of now when it is older */
  STALL_MS = 400,  /* without a step, though there is work */
  /* A stream has no event while its group steps on for so long, and for so
     many steps: it hangs.  */
  PASSED_BY_MS = 400,
  PASSED_BY_STEPS = 4,
  US_PER_MS = 1000
};

/* A rank this much slower than usual gets no work while others can have it:
   all ranks wait for the slowest.  */
static const double slow_pace = 1.25;

/* Weight of the newest in the average time of a step.  */
static const double step_weight = 0.25;
/* The part of the longest step allowed that is aimed at.  */
static const double step_limit_part = 0.85;
/* The part of the limit that requests which are late anyway may fill.  */
static const double late_part = 0.75;
/* Requests that may wait at an upstream beyond what it works on.  */
static const double queue_allowance = 1;

static bool
is_fresh (const fleet_t *fleet, struct timespec at)
{
  return timespec_to_ms (
             timespec_subtract (clock_monotonic (fleet->clock), at))
         < FRESH_MS;
}

static fleet_group_t *
fleet_group_of (fleet_t *fleet, const char *name)
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

/* Return a random number from 0 to below 1.  */
static double
fleet_draw (fleet_t *fleet)
{
  static const double range = 4294967296.0;

  fleet->draws = fleet->draws * 6364136223846793005ULL + 1442695040888963407;
  return (double)(fleet->draws >> 32) / range;
}

/* Return how many requests a rank of GROUP has at the mean.  */
static double
group_mean_running (const fleet_t *fleet, const fleet_group_t *group)
{
  table_node_t *node;
  double running = 0;
  unsigned ranks = 0;

  TABLE_FOREACH (node, fleet->table)
    {
      const fleet_upstream_t *upstream
          = CONTAINER_OF (node, fleet_upstream_t, node);

      if (upstream->group != group)
        continue;
      running += (double)upstream->candidate.report.outstanding_requests;
      ranks++;
    }
  return ranks == 0 ? 0 : running / ranks;
}

static fleet_upstream_t *
fleet_find_address (const fleet_t *fleet, const char *address)
{
  table_node_t *node;

  TABLE_FOREACH (node, fleet->table)
    {
      fleet_upstream_t *upstream = CONTAINER_OF (node, fleet_upstream_t, node);

      if (strcmp (upstream->address, address) == 0)
        return upstream;
    }
  return NULL;
}

/* The group has taken COUNT steps since it was seen to take one.  */
static void
group_note_steps (fleet_group_t *group, uint64_t count, struct timespec now)
{
  double passed_ms
      = (double)timespec_to_us (timespec_subtract (now, group->stepped_at))
        / US_PER_MS;

  group->last_step_ms = passed_ms / (double)count;
  if (passed_ms > STALL_MS)
    return; /* it may have been idle */
  if (group->step_ms <= 0)
    group->step_ms = passed_ms / (double)count;
  group->step_ms += step_weight * (passed_ms / (double)count - group->step_ms);
}

/* Take in what a rank says of its group.  Returns whether the group has come
   to take steps, or ceased to.  */
static bool
group_note (fleet_t *fleet, fleet_group_t *group, const fleet_report_t *report)
{
  struct timespec now = clock_monotonic (fleet->clock);
  bool was_open = group->is_open;
  bool was_stalled = group->is_stalled;

  if (report->epoch < group->epoch)
    return false;
  if (report->epoch == group->epoch && report->step > group->step
      && report->running > 0)
    group_note_steps (group, report->step - group->step, now);
  if (report->epoch > group->epoch || report->step > group->step
      || !group->is_open || report->running + report->waiting == 0)
    group->stepped_at = now;
  group->is_stalled
      = timespec_to_ms (timespec_subtract (now, group->stepped_at)) > STALL_MS;
  if (report->epoch > group->epoch || !report->is_open)
    group->formed_at = now;
  if (report->epoch > group->epoch || report->step > group->step)
    group->step = report->step;
  group->epoch = report->epoch;
  group->is_open = report->is_open;
  group->told_at = now;
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

/* Note that UPSTREAM has so many requests, from whomever, by now.  */
void
report_record_load (const fleet_t *fleet, fleet_upstream_t *upstream,
                    uint64_t running, uint64_t waiting)
{
  pick_candidate_t *candidate = &upstream->candidate;

  candidate->report.at = clock_monotonic (fleet->clock);
  candidate->report.outstanding_requests = running;
  candidate->report.queued_requests = waiting;
  candidate->report.outstanding_tokens
      = (uint64_t)((double)(running + waiting)
                   * upstream->service->tokens_a_slot);
  candidate->requests_at_report = candidate->outstanding_requests;
  candidate->tokens_at_report = candidate->outstanding_tokens;
}

static void
upstream_note (const fleet_t *fleet, fleet_upstream_t *upstream,
               const fleet_report_t *report)
{
  report_record_load (fleet, upstream, report->running, report->waiting);
  if (upstream->is_slow != (report->pace > slow_pace))
    log_event (LOG_LEVEL_NOTICE,
               upstream->is_slow ? "upstream-quick-again" : "upstream-slow",
               "upstream=%s group=%s pace=%.2f step=%llu", upstream->id,
               report->group, report->pace, (unsigned long long)report->step);
  upstream->is_slow = report->pace > slow_pace;
  upstream->reported_at = upstream->candidate.report.at;
}

/* Return how many requests UPSTREAM may have at once so that the steps of its
   group stay short enough for its streams.  What a step takes beyond that of
   an idle group grows with the requests.  */
static double
request_limit (const fleet_t *fleet, const fleet_upstream_t *upstream)
{
  const fleet_service_t *service = upstream->service;
  const fleet_group_t *group = upstream->group;
  double limit_ms = service->step_limit_ms * step_limit_part;
  double mean;

  if (group == NULL || limit_ms <= service->idle_step_ms
      || group->step_ms <= limit_ms || !is_fresh (fleet, group->told_at))
    return upstream->slots;
  mean = group_mean_running (fleet, group);
  return mean * (limit_ms - service->idle_step_ms)
         / (group->step_ms - service->idle_step_ms);
}

/* This relay's part of ROOM for requests, rounded up or down by chance so that
   the parts of all relays together are about the whole.  */
static unsigned
room_part (const fleet_t *fleet, double room, double chance)
{
  return room <= 0 ? 0 : (unsigned)(room / fleet->relays + chance);
}

/* Share the room that the last report shows among the relays.  Each of them
   sees it, and would fill it alone otherwise.  */
static void
upstream_set_quota (fleet_t *fleet, fleet_upstream_t *upstream,
                    const fleet_report_t *report)
{
  double limit = fmax (request_limit (fleet, upstream), 1);
  double present = (double)(report->running + report->waiting);
  double chance = fleet_draw (fleet);

  upstream->quota
      = room_part (fleet, limit + queue_allowance - present, chance);
  upstream->late_quota
      = room_part (fleet, limit * late_part - present, chance);
  upstream->sent = 0;
}

/* Take in what the engine at ADDRESS reports to its pilot.  Returns whether
   requests that wait should be looked at again.  */
bool
fleet_record_report (fleet_t *fleet, const char *address,
                     const fleet_report_t *report)
{
  fleet_upstream_t *upstream;
  bool is_news = false;

  table_lock (fleet->table);
  upstream = fleet_find_address (fleet, address);
  if (upstream != NULL)
    {
      upstream_note (fleet, upstream, report);
      if (report->group[0] != '\0')
        upstream->group = fleet_group_of (fleet, report->group);
      if (upstream->group != NULL)
        is_news = group_note (fleet, upstream->group, report);
      upstream_set_quota (fleet, upstream, report);
    }
  table_unlock (fleet->table);
  return is_news;
}

/* Return whether the group of UPSTREAM is known to take no steps.  */
bool
report_is_stalled (const fleet_t *fleet, const fleet_upstream_t *upstream)
{
  const fleet_group_t *group = upstream->group;

  if (group == NULL || !is_fresh (fleet, group->told_at))
    return false;
  return !group->is_open || group->is_stalled;
}

/* Return whether it is known why nothing has come from UPSTREAM since
   HEARD_AT.  */
bool
report_is_silence_expected (const fleet_t *fleet,
                            const fleet_upstream_t *upstream,
                            struct timespec heard_at)
{
  const fleet_group_t *group = upstream->group;
  struct timespec since = heard_at;

  if (group == NULL || !is_fresh (fleet, group->told_at))
    return false;
  if (is_fresh (fleet, upstream->reported_at)
      && upstream->candidate.report.queued_requests > 0)
    return true;
  if (timespec_compare (group->formed_at, since) > 0)
    since = group->formed_at;
  return (double)timespec_to_ms (timespec_subtract (group->stepped_at, since))
         < fmax (PASSED_BY_MS, PASSED_BY_STEPS * group->last_step_ms);
}

/* Return whether UPSTREAM should get no request more for now; one that IS_LATE
   leaves some room for others.  */
bool
report_is_full (const fleet_t *fleet, const fleet_upstream_t *upstream,
                bool is_late)
{
  if (upstream->group == NULL || !is_fresh (fleet, upstream->reported_at))
    return false;
  return upstream->sent >= (is_late ? upstream->late_quota : upstream->quota);
}

/* Return whether a pilot has told of UPSTREAM lately.  */
bool
report_is_recent (const fleet_t *fleet, const fleet_upstream_t *upstream)
{
  return is_fresh (fleet, upstream->reported_at);
}

/* Return whether UPSTREAM is known to hold its group up.  */
bool
report_is_slow (const fleet_t *fleet, const fleet_upstream_t *upstream)
{
  return upstream->is_slow && is_fresh (fleet, upstream->reported_at);
}
