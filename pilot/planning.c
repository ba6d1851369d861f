#include "pilot/planning.h"

#include "kernel/clock.h"
#include "pilot/slow_ranks.h"

enum
{
  PLAN_INTERVAL_MS = 250,
  /* Minimum time between two plans while the claim waits for a rank: each of
     them loads weights at the others, and only the last one is used.  */
  EARLY_PLAN_INTERVAL_MS = 1000,
  MAP_QUERY_INTERVAL_MS = 100, /* queries of the map in use */
  QUERY_TIMEOUT_MS = 250,      /* wait for the replies of all ranks */
  /* Minimum time between the starts of two rounds in which every rank is
     queried for its counts.  */
  COUNTS_INTERVAL_MS = 250,
  /* The replies with counts may use one part in this many of the link.  */
  COUNTS_LINK_DIVISOR = 2,
  COUNTS_PER_BYTE = 2,
  COUNTS_OVERHEAD_BYTES = 128 /* of a reply, besides its numbers */
};

struct planning
{
  const planning_ops_t *ops;
  void *data;
  unsigned rank_count;
  switcher_t *switcher;
  work_time_t *work;
  planner_t *planner;
  slow_ranks_t *slow_ranks;
  placement_map_t *planned; /* map of the switch in progress */
  /* What a rank holds of the map in use was concluded, not reported.  */
  bool has_recalled;
  /* The query of the map in use, RANK_QUERY_HELD_EXPERTS.  */
  bool is_querying;
  unsigned pending_replies; /* ranks whose reply is outstanding */
  struct timespec queried_at;
  unsigned next_counted_rank; /* next one to be queried for its counts */
  struct timespec counts_queried_at; /* start of the current round of ranks */
  int64_t counts_round_ms;           /* duration of the round before */
  struct timespec observed_at;       /* last update of the popularity */
  /* A switch has ended since the last plan, or the speed of a rank has
     changed much.  */
  bool is_replan_due;
  bool is_urgent;              /* as a rank has become slow */
  struct timespec planned_at;  /* last plan */
  struct timespec switched_at; /* last switch */
};

/* Creates the planning of a term.  */
planning_t *
planning_create (TALLOC_CTX *parent, const engine_profile_t *engine,
                 unsigned rank_count, switcher_t *switcher, work_time_t *work,
                 const planning_ops_t *ops, void *data)
{
  planning_t *planning = talloc_zero (parent, planning_t);

  if (planning == NULL)
    return NULL;
  planning->ops = ops;
  planning->data = data;
  planning->rank_count = rank_count;
  planning->switcher = switcher;
  planning->work = work;
  planning->planner = planner_create (planning, engine, rank_count);
  planning->slow_ranks = slow_ranks_create (planning, rank_count);
  if (planning->planner == NULL || planning->slow_ranks == NULL)
    TALLOC_FREE (planning);
  return planning;
}

/* Frees PLANNING.  */
void
planning_destroy (planning_t *planning)
{
  talloc_free (planning);
}

static int64_t
elapsed_ms (struct timespec since, struct timespec now)
{
  return timespec_to_ms (timespec_subtract (now, since));
}

/* A plan is due as the slowdown of RANK has changed; the highest one of all
   ranks was HIGHEST before.  */
static void
handle_pace (planning_t *planning, unsigned rank, double highest)
{
  const slow_ranks_t *ranks = planning->slow_ranks;
  double factor = slow_ranks_highest (ranks) / highest;

  planning->is_replan_due = true;
  planning->is_urgent = factor > 1;
  /* Shorter steps have been measured since the rank has recovered.  */
  if (factor > 1)
    switcher_scale_step_time (planning->switcher, factor);
  planning->ops->on_pace (rank, slow_ranks_slowdown (ranks, rank),
                          slow_ranks_is_slow (ranks, rank), planning->data);
}

/* Handles a report of RANK.  A plan for a rank that has become slow uses the
   counts at hand: new ones are there only after the next pass, which takes
   long.  */
void
planning_handle_report (planning_t *planning, unsigned rank,
                        const rank_report_t *report, struct timespec now)
{
  double highest = slow_ranks_highest (planning->slow_ranks);

  if (rank >= planning->rank_count)
    return;
  if (slow_ranks_handle_report (planning->slow_ranks, rank, report->slowdown,
                                now))
    handle_pace (planning, rank, highest);
  planner_set_slowdown (planning->planner, rank,
                        slow_ranks_slowdown (planning->slow_ranks, rank));
}

/* Returns whether RANK is slow.  */
bool
planning_is_slow (const planning_t *planning, unsigned rank)
{
  return slow_ranks_is_slow (planning->slow_ranks, rank);
}

/* Returns the number of slow ranks.  */
unsigned
planning_slow_ranks (const planning_t *planning)
{
  return slow_ranks_count (planning->slow_ranks);
}

static bool
handle_counts (planning_t *planning, const rank_reply_t *reply, bool is_valid)
{
  bool is_used;

  work_time_begin (planning->work, WORK_COUNTS);
  is_used = reply == NULL
            || (is_valid && planner_add_counts (planning->planner, reply));
  work_time_end (planning->work);
  return is_used;
}

/* Handles the reply of RANK to QUERY, which is NULL if the rank did not
   reply.  */
bool
planning_handle_reply (planning_t *planning, unsigned rank, rank_query_t query,
                       const rank_reply_t *reply)
{
  bool is_valid
      = reply != NULL && reply->epoch == switcher_epoch (planning->switcher);
  bool is_used = true;

  if (query == RANK_QUERY_EXPERT_COUNTS)
    return handle_counts (planning, reply, is_valid);
  if (!planning->is_querying)
    return true;
  if (is_valid)
    is_used = planner_read_map (planning->planner, rank, reply);
  if (planning->pending_replies > 0)
    planning->pending_replies--;
  planning->is_querying = planning->pending_replies > 0;
  return is_used;
}

/* Handles an event of the switcher.  */
void
planning_handle_event (planning_t *planning, switcher_event_t event,
                       struct timespec now)
{
  switch (event)
    {
    case SWITCHER_RESTARTED:
      planner_forget_map (planning->planner);
      break;
    case SWITCHER_RECOVERED:
    case SWITCHER_ABORTED:
      if (planning->has_recalled)
        planner_forget_map (planning->planner);
      break;
    case SWITCHER_RESUMED:
    case SWITCHER_ADVANCED:
      return;
    case SWITCHER_SWITCHED:
      if (planning->planned != NULL)
        planner_set_map (planning->planner, planning->planned,
                         switcher_last_version (planning->switcher));
      planning->switched_at = now;
      planning->is_replan_due = true;
      break;
    case SWITCHER_DEPOSED:
      return;
    }
  planning->has_recalled = false;
  TALLOC_FREE (planning->planned);
}

/* Plans from the counts so far and starts a switch if it pays.  IS_EARLY: its
   map is prepared only, at the ranks that have answered the claim.  */
static void
make_plan (planning_t *planning, bool is_early, struct timespec now)
{
  placement_plan_t plan;
  planning_result_t result = { .plan = &plan,
                               .is_early = is_early,
                               .started_at = now,
                               .switched_at = planning->switched_at,
                               .counts_ms = planning->counts_round_ms };

  planning->planned_at = now;
  planning->is_replan_due = planning->is_urgent = false;
  work_time_begin (planning->work, WORK_PLANNING);
  planner_plan (planning->planner, planning, &plan);
  work_time_end (planning->work);
  result.base = planner_map (planning->planner);
  planning->ops->on_plan (&result, planning->data);
  if (!plan.is_change)
    return;
  talloc_free (planning->planned);
  planning->planned = plan.map;
  if (!switcher_start_switch (planning->switcher, plan.map, now))
    TALLOC_FREE (planning->planned);
}

/* Queries the ranks whose part of the map in use is unknown.  Returns their
   number.  */
static unsigned
query_unknown_ranks (planning_t *planning)
{
  uint64_t version = switcher_map_version (planning->switcher);
  unsigned count = 0;

  for (unsigned i = 0; i < planning->rank_count; i++)
    {
      if (!planner_knows_rank (planning->planner, i, version)
          && switcher_has_answered (planning->switcher, i))
        count += planning->ops->query (i, RANK_QUERY_HELD_EXPERTS,
                                       planning->data);
    }
  return count;
}

/* Queries the map in use, which an earlier leader may have set.  */
static void
query_map (planning_t *planning, struct timespec now)
{
  if (planning->is_querying
      && elapsed_ms (planning->queried_at, now) > QUERY_TIMEOUT_MS)
    planning->is_querying = false;
  if (planning->is_querying
      || elapsed_ms (planning->queried_at, now) < MAP_QUERY_INTERVAL_MS)
    return;
  planning->is_querying = true;
  planning->queried_at = now;
  planning->pending_replies = query_unknown_ranks (planning);
}

/* Returns how many ranks can be queried for their counts in a tick, so that
   the replies leave room on the link for everything else.  */
static unsigned
counts_per_tick (const planning_t *planning)
{
  size_t reply_bytes
      = planner_count_numbers (planning->planner) / COUNTS_PER_BYTE
        + COUNTS_OVERHEAD_BYTES;
  size_t link_bytes
      = planning->ops->link_bytes (PLANNING_TICK_INTERVAL_MS, planning->data)
        / COUNTS_LINK_DIVISOR;

  return link_bytes < reply_bytes ? 1 : (unsigned)(link_bytes / reply_bytes);
}

/* Queries the next ranks for their counts.  The ranks take turns.  None is
   queried before a report has told the epoch: its reply would be ignored, but
   its pilot would count it as taken.  */
static void
query_counts (planning_t *planning, struct timespec now)
{
  unsigned budget = counts_per_tick (planning);

  if (switcher_epoch (planning->switcher) == 0)
    return;
  if (planning->next_counted_rank == 0)
    {
      if (elapsed_ms (planning->counts_queried_at, now) < COUNTS_INTERVAL_MS)
        return;
      planning->counts_round_ms
          = elapsed_ms (planning->counts_queried_at, now);
      planning->counts_queried_at = now;
    }
  for (unsigned i = 0; i < budget; i++)
    {
      planning->ops->query (planning->next_counted_rank,
                            RANK_QUERY_EXPERT_COUNTS, planning->data);
      planning->next_counted_rank
          = (planning->next_counted_rank + 1) % planning->rank_count;
      if (planning->next_counted_rank == 0)
        break;
    }
}

/* Updates the popularity of the experts at even intervals, also during a
   switch.  */
static void
observe_counts (planning_t *planning, struct timespec now)
{
  if (elapsed_ms (planning->observed_at, now) < PLAN_INTERVAL_MS)
    return;
  planning->observed_at = now;
  planner_observe (planning->planner);
}

/* Adopts the map in use from this pilot's own record if what all ranks but one
   hold shows which it is.  */
static void
recall_map (planning_t *planning)
{
  uint64_t version = switcher_map_version (planning->switcher);
  int missing = planner_unknown_rank (planning->planner, version);
  const placement_map_t *map;

  if (missing < 0)
    return;
  map = planning->ops->find_map (planner_map (planning->planner),
                                 (unsigned)missing, planning->data);
  if (map == NULL)
    return;
  planner_adopt_rank (planning->planner, (unsigned)missing, map, version);
  planning->has_recalled = true;
}

/* Returns whether the map in use is known, and asks the ranks for it if
   not.  */
static bool
learn_map (planning_t *planning, bool is_early, struct timespec now)
{
  uint64_t version = switcher_map_version (planning->switcher);

  if (planner_has_map (planning->planner, version))
    return true;
  if (is_early)
    recall_map (planning);
  if (planner_has_map (planning->planner, version))
    return true;
  if (is_early || switcher_is_ready (planning->switcher, now))
    query_map (planning, now);
  return false;
}

/* Returns whether a plan is due that is to be in use as soon as possible.  */
static bool
is_plan_due (const planning_t *planning, struct timespec now)
{
  return planning->is_replan_due
         || (planner_has_new_counts (planning->planner)
             && elapsed_ms (planning->planned_at, now) >= PLAN_INTERVAL_MS);
}

/* The same for a plan that waits for a missing rank.  */
static bool
is_early_plan_due (const planning_t *planning, struct timespec now)
{
  return is_plan_due (planning, now)
         && elapsed_ms (planning->planned_at, now) >= EARLY_PLAN_INTERVAL_MS;
}

/* Plans when there are new counts, right after a switch, which may have been
   the first of several stages, and right after a rank has become slow or has
   recovered.  Counts are collected and observed whatever the group does: they
   are needed as soon as it is ready.  While the claim waits for a rank, the
   map of a plan is prepared at the others.  */
void
planning_tick (planning_t *planning, struct timespec now)
{
  bool is_early = switcher_can_prepare_early (planning->switcher, now);

  query_counts (planning, now);
  observe_counts (planning, now);
  if (planning->is_urgent)
    switcher_advance (planning->switcher, now);
  if (!learn_map (planning, is_early, now))
    return;
  if (is_early ? is_early_plan_due (planning, now)
               : switcher_is_ready (planning->switcher, now)
                     && is_plan_due (planning, now))
    make_plan (planning, is_early, now);
}
