#include "relay/fleet_state.h"

#include "kernel/log.h"

#include <string.h>

enum
{
  FRESH_MS = 1500, /* a report says nothing of now when it is older */
  STALL_MS = 400   /* without a step, though there is work */
};

/* A rank this much slower than usual gets no work while others can have it:
   all ranks wait for the slowest.  */
static const double slow_pace = 1.25;

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

/* Take in what a rank says of its group.  Returns whether the group has come
   to take steps, or ceased to.  */
static bool
group_note (fleet_t *fleet, fleet_group_t *group, const fleet_report_t *report)
{
  struct timespec now = clock_monotonic (fleet->clock);
  bool was_open = group->is_open;

  if (report->epoch < group->epoch)
    return false;
  if (report->epoch > group->epoch || report->step > group->step
      || !group->is_open)
    group->stepped_at = now;
  if (report->running + report->waiting == 0 && report->step == group->step)
    group->stepped_at = now; /* an idle rank tells nothing of a stall */
  if (report->epoch > group->epoch || report->step > group->step)
    group->step = report->step;
  group->epoch = report->epoch;
  group->is_open = report->is_open;
  group->told_at = now;
  if (was_open != group->is_open)
    log_event (LOG_LEVEL_INFO, group->is_open ? "group-open" : "group-broken",
               "group=%s epoch=%llu step=%llu", group->name,
               (unsigned long long)group->epoch,
               (unsigned long long)group->step);
  return was_open != group->is_open;
}

static void
upstream_note (fleet_t *fleet, fleet_upstream_t *upstream,
               const fleet_report_t *report)
{
  pick_candidate_t *candidate = &upstream->candidate;

  candidate->report.at = clock_monotonic (fleet->clock);
  candidate->report.outstanding_requests = report->running;
  candidate->report.queued_requests = report->waiting;
  candidate->report.outstanding_tokens
      = (uint64_t)((double)(report->running + report->waiting)
                   * upstream->service->tokens_a_slot);
  candidate->requests_at_report = candidate->outstanding_requests;
  candidate->tokens_at_report = candidate->outstanding_tokens;
  upstream->is_slow = report->pace > slow_pace;
  upstream->reported_at = candidate->report.at;
}

/* Take in what the engine at ADDRESS reports to its pilot.  Returns whether
   requests that wait should be looked at again.  */
bool
fleet_note_report (fleet_t *fleet, const char *address,
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
  return !group->is_open
         || timespec_to_ms (timespec_subtract (clock_monotonic (fleet->clock),
                                               group->stepped_at))
                > STALL_MS;
}

/* Return whether UPSTREAM is known to hold its group up.  */
bool
report_is_slow (const fleet_t *fleet, const fleet_upstream_t *upstream)
{
  return upstream->is_slow && is_fresh (fleet, upstream->reported_at);
}
