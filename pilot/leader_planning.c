#include "pilot/leader_state.h"

#include "kernel/counter.h"
#include "kernel/log.h"

COUNTER_DEFINE (early_plans, "siskin_maps_prepared_early_total",
                "Expert maps prepared while the claim waited for a rank");
GAUGE_DEFINE (slow_ranks, "siskin_slow_ranks",
              "Ranks of the led group that are planned with as slow");

static bool
leader_query (unsigned rank, rank_query_t query, void *data)
{
  const leader_t *leader = data;

  return members_query (leader->members, rank, query);
}

static size_t
leader_link_bytes (int64_t ms, void *data)
{
  const leader_t *leader = data;

  return members_link_bytes (leader->members, ms);
}

static const placement_map_t *
leader_find_map (const placement_map_t *partial, unsigned except, void *data)
{
  const leader_t *leader = data;

  return map_history_find_except (leader->pilot->maps, partial, except);
}

/* Returns a rank whose pilot can act at once if this process fails or stops.
   The one that holds the group during a switch takes over if this process
   fails meanwhile.  */
unsigned
leader_choose_deputy (const leader_t *leader)
{
  unsigned deputy = leader->own_rank;

  for (unsigned i = 1; i < leader->rank_count; i++)
    {
      unsigned rank = (leader->own_rank + i) % leader->rank_count;

      if (!members_has_active_pilot (leader->members, rank))
        continue;
      if (leader->planning == NULL
          || !planning_is_slow (leader->planning, rank))
        return rank;
      if (deputy == leader->own_rank)
        deputy = rank;
    }
  return deputy;
}

/* Logs a plan.  If a switch to its map follows, encodes the map and chooses
   the rank that holds the group.  */
static void
leader_on_plan (const planning_result_t *result, void *data)
{
  leader_t *leader = data;
  const placement_plan_t *plan = result->plan;

  leader->planned_at = result->started_at;
  log_event (LOG_LEVEL_INFO, "planned",
             "group=%s change=%d reason=%s moves=%u before=%.3f after=%.3f "
             "bound=%.3f overlap=%.3f ms=%lld since_switch_ms=%lld "
             "counts_ms=%lld early=%d",
             leader->group, plan->is_change, plan->reason, plan->moves,
             plan->time_before, plan->time_after, plan->time_bound,
             plan->overlap,
             (long long)leader_ms_since (leader, result->started_at),
             (long long)leader_ms_since (leader, result->switched_at),
             (long long)result->counts_ms, result->is_early);
  if (!plan->is_change)
    return;
  counter_add (&early_plans, result->is_early);
  work_time_begin (leader->work, WORK_ENCODING);
  members_set_map (leader->members, result->base, plan->map);
  work_time_end (leader->work);
  switcher_set_holding_rank (leader->switcher, leader_choose_deputy (leader));
}

/* Logs that RANK has become slow or has recovered.  */
static void
leader_on_pace (unsigned rank, double slowdown, bool is_slow, void *data)
{
  const leader_t *leader = data;

  counter_set (&slow_ranks, planning_slow_ranks (leader->planning));
  log_event (LOG_LEVEL_NOTICE, is_slow ? "rank-slow" : "rank-recovered",
             "group=%s rank=%u slowdown=%.2f switching=%d", leader->group,
             rank, slowdown, leader_is_switching (leader));
}

static const planning_ops_t leader_planning_ops = {
  .on_pace = leader_on_pace,
  .query = leader_query,
  .link_bytes = leader_link_bytes,
  .find_map = leader_find_map,
  .on_plan = leader_on_plan,
};

/* Starts planning for engines of the profile ENGINE.  */
void
leader_start_planning (leader_t *leader, const engine_profile_t *engine)
{
  leader->planning
      = planning_create (leader, engine, leader->rank_count, leader->switcher,
                         leader->work, &leader_planning_ops, leader);
}

/* Stops planning, at the end of a term.  */
void
leader_stop_planning (leader_t *leader)
{
  TALLOC_FREE (leader->planning);
  counter_set (&slow_ranks, 0);
}

/* Logs the first reply of a term that is ignored: it is of an earlier epoch,
   or does not fit the group.  */
static void
leader_log_ignored_reply (leader_t *leader, unsigned rank,
                          const rank_reply_t *reply)
{
  if (leader->has_ignored_reply)
    return;
  leader->has_ignored_reply = true;
  log_event (LOG_LEVEL_WARN, "reply-ignored",
             "group=%s rank=%u epoch=%llu current=%llu numbers=%zu",
             leader->group, rank, (unsigned long long)reply->epoch,
             (unsigned long long)switcher_epoch (leader->switcher),
             reply->number_count);
}

/* Handles the reply of RANK to QUERY, which is NULL if the rank did not
   reply.  */
void
leader_on_reply (unsigned rank, rank_query_t query, const rank_reply_t *reply,
                 void *data)
{
  leader_t *leader = data;

  if (leader->planning == NULL
      || planning_handle_reply (leader->planning, rank, query, reply))
    return;
  if (query == RANK_QUERY_EXPERT_COUNTS)
    leader_log_ignored_reply (leader, rank, reply);
  else
    log_event (LOG_LEVEL_WARN, "bad-map", "group=%s rank=%u", leader->group,
               rank);
}
