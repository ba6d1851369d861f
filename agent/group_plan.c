#include "agent/group_plan.h"
#include "common/numbers.h"

#include "kernel/counter.h"
#include "kernel/log.h"
#include "kernel/plugin.h"

#include <string.h>

enum
{
  /* A switch loads weights into at most this fraction (1/N) of the slots.  */
  MAX_MOVES_DIVISOR = 16,
  ARM_LEAD_MS = 500,        /* time between arming and the switch */
  ARM_LEAD_EXTRA_STEPS = 4, /* added to the steps made in ARM_LEAD_MS */
  PERMILLE = 1000
};

COUNTER_DEFINE_LABELLED (changes_total, "siskin_placement_plans_total",
                         "outcome=\"change\"", "Placement plans made");
COUNTER_DEFINE_LABELLED (kept_total, "siskin_placement_plans_total",
                         "outcome=\"keep\"", "Placement plans made");
COUNTER_DEFINE (moves_total, "siskin_placement_moves_total",
                "Expert weights that ranks had to load for changes");
GAUGE_DEFINE (skew_gauge, "siskin_group_step_skew_permille",
              "Busy time of the slowest rank over the mean");

/* Counters as last reported by a rank.  */
typedef struct rank_counts
{
  uint64_t incarnation;
  uint64_t version;
  uint64_t work;
  uint64_t busy_us;
  uint64_t *tokens;
  size_t token_count;
  bool is_new; /* reported since the last plan */
} rank_counts_t;

struct group_plan
{
  group_t *group;
  group_coordinator_t *coordinator;
  char *policy;
  placement_shape_t shape;
  const placement_ops_t *ops;
  placement_t *placement;
  struct timespec due_at;
  struct timespec step_at; /* time at which STEP was recorded */
  uint64_t step;           /* newest step of any rank when last checked */
  uint64_t newest_version;
  rank_counts_t *ranks;
  /* Sums of the counters since the last plan.  */
  uint64_t *tokens;  /* indexed by layer and expert */
  uint64_t *work;    /* indexed by rank */
  uint64_t *busy_us; /* indexed by rank */
};

/* Create the planner of GROUP.  The policy is created once the shape of the
   engines is known.  Returns NULL when out of memory.  */
group_plan_t *
group_plan_create (group_t *group, group_coordinator_t *coordinator)
{
  group_plan_t *plan = talloc_zero (group, group_plan_t);

  if (plan == NULL)
    return NULL;
  plan->group = group;
  plan->coordinator = coordinator;
  plan->ranks = talloc_zero_array (plan, rank_counts_t, group->rank_count);
  plan->work = talloc_zero_array (plan, uint64_t, group->rank_count);
  plan->busy_us = talloc_zero_array (plan, uint64_t, group->rank_count);
  return plan;
}

static void
plan_drop_policy (group_plan_t *plan)
{
  if (plan->placement != NULL)
    plan->ops->destroy (plan->placement);
  plan->placement = NULL;
}

/* Create the configured policy unless it exists.  Returns false if the policy
   plug-in does not exist or cannot be created.  */
static bool
plan_ensure_policy (group_plan_t *plan)
{
  const group_t *group = plan->group;
  placement_config_t config
      = { .minimum_gain = group->placement.minimum_gain };
  unsigned slots;

  if (plan->placement != NULL)
    return true;
  plan->shape = group->shape;
  slots = plan->shape.layers * plan->shape.ranks * plan->shape.slots;
  config.max_moves = slots / MAX_MOVES_DIVISOR + 1;
  plan->ops = plugin_ops (PLUGIN_PLACEMENT, group->policy);
  if (plan->ops == NULL)
    return false;
  plan->placement = plan->ops->create (plan, &plan->shape, &config);
  talloc_free (plan->tokens);
  plan->tokens = talloc_zero_array (
      plan, uint64_t, (size_t)plan->shape.layers * plan->shape.experts);
  return plan->placement != NULL;
}

/* Apply new settings: the policy is created again.  */
void
group_plan_configure (group_plan_t *plan)
{
  plan_drop_policy (plan);
}

static void
plan_clear_sample (group_plan_t *plan)
{
  unsigned ranks = plan->group->rank_count;

  for (unsigned i = 0; i < ranks; i++)
    plan->ranks[i].is_new = false;
  memset (plan->work, 0, sizeof (uint64_t) * ranks);
  memset (plan->busy_us, 0, sizeof (uint64_t) * ranks);
  if (plan->tokens != NULL)
    memset (plan->tokens, 0, talloc_get_size (plan->tokens));
}

/* Reset the planner for a new term; nothing is known of earlier counters.  */
void
group_plan_reset (group_plan_t *plan)
{
  plan_drop_policy (plan);
  memset (plan->ranks, 0, sizeof (rank_counts_t) * plan->group->rank_count);
  plan_clear_sample (plan);
  plan->due_at = timespec_add (group_now (plan->group),
                               plan->group->placement.interval);
}

/* Return whether a plan is due, for which the ranks must report their
   counters.  */
bool
group_plan_is_due (const group_plan_t *plan, struct timespec now)
{
  return timespec_compare (now, plan->due_at) >= 0;
}

/* Add the difference between the counters FROM and TO of RANK to the
   sample.  */
static void
plan_add_sample (group_plan_t *plan, unsigned rank, const rank_counts_t *from,
                 const rank_counts_t *to)
{
  const placement_map_t *map
      = group_maps_find (plan->group->maps, to->version);

  if (map == NULL
      || to->token_count != (size_t)map->shape.layers * map->shape.slots)
    return;
  plan->work[rank] += to->work - from->work;
  plan->busy_us[rank] += to->busy_us - from->busy_us;
  for (unsigned i = 0; i < map->shape.layers; i++)
    {
      for (unsigned j = 0; j < map->shape.slots; j++)
        {
          size_t index = (size_t)i * map->shape.slots + j;
          unsigned expert = placement_map_slot (map, i, rank, j)->expert;
          uint64_t before = from->token_count == 0 ? 0 : from->tokens[index];

          plan->tokens[(size_t)i * map->shape.experts + expert]
              += to->tokens[index] - before;
        }
    }
}

/* Process a rank's counters.  They are totals since its engine adopted the
   map, so a lost report does no harm.  */
void
group_plan_handle_counts (group_plan_t *plan, const frame_map_counts_t *counts)
{
  rank_counts_t latest = { .incarnation = counts->incarnation,
                           .version = counts->version,
                           .work = counts->work,
                           .busy_us = counts->busy_us,
                           .is_new = true };
  rank_counts_t *previous;
  rank_counts_t zero = { .work = 0 };
  bool is_same_map;

  if (counts->rank >= plan->group->rank_count || !plan_ensure_policy (plan))
    return;
  previous = &plan->ranks[counts->rank];
  latest.tokens = numbers_decode (plan, counts->tokens, &latest.token_count);
  if (latest.tokens == NULL)
    return;
  is_same_map = previous->incarnation == latest.incarnation
                && previous->version == latest.version
                && previous->token_count == latest.token_count;
  if (is_same_map && previous->work <= latest.work)
    plan_add_sample (plan, (unsigned)counts->rank, previous, &latest);
  else if (previous->incarnation == latest.incarnation && !is_same_map)
    plan_add_sample (plan, (unsigned)counts->rank, &zero, &latest);
  talloc_free (previous->tokens);
  *previous = latest;
}

static bool
plan_is_complete (const group_plan_t *plan)
{
  for (unsigned i = 0; i < plan->group->rank_count; i++)
    {
      if (!plan->ranks[i].is_new || plan->busy_us[i] == 0)
        return false;
    }
  return true;
}

static void
plan_update_skew (const group_plan_t *plan)
{
  unsigned ranks = plan->group->rank_count;
  uint64_t slowest = 0;
  uint64_t total = 0;

  for (unsigned i = 0; i < ranks; i++)
    {
      total += plan->busy_us[i];
      if (plan->busy_us[i] > slowest)
        slowest = plan->busy_us[i];
    }
  if (total > 0)
    counter_set (&skew_gauge, (int64_t)(slowest * ranks * PERMILLE / total));
}

/* Return the number of steps between arming and the switch, derived from the
   steps made since the last call.  */
static uint64_t
plan_margin_steps (group_plan_t *plan, struct timespec now)
{
  int64_t elapsed_ms = timespec_to_ms (timespec_subtract (now, plan->step_at));
  uint64_t step = 0;
  uint64_t margin_steps = ARM_LEAD_EXTRA_STEPS;

  for (unsigned i = 0; i < plan->group->rank_count; i++)
    {
      const group_rank_view_t *view
          = group_coordinator_view (plan->coordinator, i);

      if (view->current_step > step)
        step = view->current_step;
    }
  if (plan->step != 0 && step > plan->step && elapsed_ms > 0)
    margin_steps += (step - plan->step) * ARM_LEAD_MS / (uint64_t)elapsed_ms;
  plan->step = step;
  plan->step_at = now;
  return margin_steps;
}

static void
plan_start_switch (group_plan_t *plan, const placement_plan_t *decision,
                   uint64_t margin_steps, struct timespec now)
{
  uint64_t base = group_coordinator_base (plan->coordinator);

  if (plan->newest_version < base)
    plan->newest_version = base;
  plan->newest_version = group_version_after (
      plan->newest_version, group_coordinator_epoch (plan->coordinator));
  group_maps_add (plan->group->maps, plan->newest_version, decision->map);
  counter_add (&moves_total, decision->moves);
  group_coordinator_start_switch (plan->coordinator, plan->newest_version,
                                  margin_steps, now);
}

static void
plan_log (const group_plan_t *plan, const placement_plan_t *decision)
{
  log_event (LOG_LEVEL_NOTICE, "placement",
             "group=%s policy=%s change=%d moves=%u step_time_before=%.5f "
             "step_time_after=%.5f bound=%.5f skew_permille=%lld reason=%s",
             plan->group->name, plan->group->policy, decision->is_change,
             decision->moves, decision->time_before, decision->time_after,
             decision->time_bound, (long long)counter_value (&skew_gauge),
             decision->reason);
  counter_add (decision->is_change ? &changes_total : &kept_total, 1);
}

/* Make a plan if one is due, every rank has reported and no switch is in
   progress; start the switch if the policy decides for a change.  */
void
group_plan_run (group_plan_t *plan, struct timespec now)
{
  placement_sample_t sample = { .tokens = plan->tokens,
                                .work = plan->work,
                                .busy_us = plan->busy_us };
  const placement_map_t *current;
  placement_plan_t decision;
  uint64_t margin_steps;

  if (!group_plan_is_due (plan, now) || !plan_is_complete (plan)
      || !group_coordinator_is_steady (plan->coordinator))
    return;
  current = group_maps_find (plan->group->maps,
                             group_coordinator_base (plan->coordinator));
  if (current == NULL)
    return;
  plan_update_skew (plan);
  margin_steps = plan_margin_steps (plan, now);
  plan->ops->observe (plan->placement, &sample);
  plan->ops->plan (plan->placement, plan, current, &decision);
  plan_log (plan, &decision);
  plan_clear_sample (plan);
  plan->due_at = timespec_add (now, plan->group->placement.interval);
  if (decision.is_change)
    plan_start_switch (plan, &decision, margin_steps, now);
}
