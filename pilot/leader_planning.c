#include "pilot/leader_state.h"

#include "kernel/log.h"

enum
{
  PLAN_INTERVAL_MS = 250,
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

/* Plans from the counts so far and starts a switch if it pays.  */
static void
leader_plan (leader_t *leader)
{
  placement_plan_t plan;
  bool is_change;

  leader->planned_at = pilot_now (leader->pilot);
  work_time_begin (leader->work, WORK_PLANNING);
  is_change = planner_plan (leader->planner, leader, &plan);
  work_time_end (leader->work);
  log_event (LOG_LEVEL_INFO, "planned",
             "group=%s change=%d reason=%s moves=%u before=%.3f after=%.3f "
             "bound=%.3f overlap=%.3f ms=%lld since_switch_ms=%lld "
             "counts_ms=%lld",
             leader->group, is_change, plan.reason, plan.moves,
             plan.time_before, plan.time_after, plan.time_bound, plan.overlap,
             (long long)leader_ms_since (leader, leader->planned_at),
             (long long)leader_ms_since (leader, leader->switched_at),
             (long long)leader->counts_round_ms);
  if (!is_change)
    return;
  leader->planned = plan.map;
  work_time_begin (leader->work, WORK_ENCODING);
  members_set_map (leader->members, planner_map (leader->planner), plan.map);
  work_time_end (leader->work);
  switcher_set_holding_rank (leader->switcher,
                             members_choose_holding_rank (leader->members));
  if (!switcher_start_switch (leader->switcher, plan.map, leader->planned_at))
    TALLOC_FREE (leader->planned);
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
  bool is_valid = leader->planner != NULL && reply != NULL
                  && reply->epoch == switcher_epoch (leader->switcher);

  if (query == RANK_QUERY_EXPERT_COUNTS)
    {
      work_time_begin (leader->work, WORK_COUNTS);
      if (reply != NULL && leader->planner != NULL
          && !(is_valid && planner_add_counts (leader->planner, reply)))
        leader_log_ignored_reply (leader, rank, reply);
      work_time_end (leader->work);
      return;
    }
  if (!leader->is_querying)
    return;
  if (is_valid && !planner_read_map (leader->planner, rank, reply))
    log_event (LOG_LEVEL_WARN, "bad-map", "group=%s rank=%u", leader->group,
               rank);
  if (leader->pending_replies > 0)
    leader->pending_replies--;
  leader->is_querying = leader->pending_replies > 0;
}

/* Queries the ranks whose part of the map in use is unknown.  Returns their
   number.  */
static unsigned
leader_query_unknown_ranks (leader_t *leader)
{
  uint64_t version = switcher_map_version (leader->switcher);
  unsigned count = 0;

  for (unsigned i = 0; i < leader->rank_count; i++)
    {
      if (!planner_knows_rank (leader->planner, i, version))
        count += members_query (leader->members, i, RANK_QUERY_HELD_EXPERTS);
    }
  return count;
}

/* Queries the map in use, which an earlier leader may have set.  */
static void
leader_query_map (leader_t *leader)
{
  if (leader->is_querying
      && leader_ms_since (leader, leader->queried_at) > QUERY_TIMEOUT_MS)
    leader->is_querying = false;
  if (leader->is_querying
      || leader_ms_since (leader, leader->queried_at) < MAP_QUERY_INTERVAL_MS)
    return;
  leader->is_querying = true;
  leader->queried_at = pilot_now (leader->pilot);
  leader->pending_replies = leader_query_unknown_ranks (leader);
}

/* Returns how many ranks can be queried for their counts in a tick, so that
   the replies leave room on the link for everything else.  */
static unsigned
leader_counts_per_tick (const leader_t *leader)
{
  size_t reply_bytes
      = planner_count_numbers (leader->planner) / COUNTS_PER_BYTE
        + COUNTS_OVERHEAD_BYTES;
  size_t link_bytes
      = members_link_bytes (leader->members, LEADER_TICK_INTERVAL_MS)
        / COUNTS_LINK_DIVISOR;

  return link_bytes < reply_bytes ? 1 : (unsigned)(link_bytes / reply_bytes);
}

/* Queries the next ranks for their counts.  The ranks take turns.  */
static void
leader_query_counts (leader_t *leader)
{
  unsigned budget = leader_counts_per_tick (leader);

  if (leader->next_counted_rank == 0)
    {
      if (leader_ms_since (leader, leader->counts_queried_at)
          < COUNTS_INTERVAL_MS)
        return;
      leader->counts_round_ms
          = leader_ms_since (leader, leader->counts_queried_at);
      leader->counts_queried_at = pilot_now (leader->pilot);
    }
  for (unsigned i = 0; i < budget; i++)
    {
      members_query (leader->members, leader->next_counted_rank,
                     RANK_QUERY_EXPERT_COUNTS);
      leader->next_counted_rank
          = (leader->next_counted_rank + 1) % leader->rank_count;
      if (leader->next_counted_rank == 0)
        break;
    }
}

/* Updates the popularity of the experts at even intervals, also during a
   switch.  */
static void
leader_observe_counts (leader_t *leader)
{
  if (leader_ms_since (leader, leader->observed_at) < PLAN_INTERVAL_MS)
    return;
  leader->observed_at = pilot_now (leader->pilot);
  planner_observe (leader->planner);
}

/* Plans when there are new counts, and right after a switch, which may have
   been the first of several stages.  */
void
leader_run_planner (leader_t *leader)
{
  if (!planner_has_map (leader->planner,
                        switcher_map_version (leader->switcher)))
    {
      if (switcher_is_ready (leader->switcher, pilot_now (leader->pilot)))
        leader_query_map (leader);
      return;
    }
  leader_query_counts (leader);
  leader_observe_counts (leader);
  if (!switcher_is_ready (leader->switcher, pilot_now (leader->pilot)))
    return;
  if (leader->is_replan_due
      || (planner_has_new_counts (leader->planner)
          && leader_ms_since (leader, leader->planned_at) >= PLAN_INTERVAL_MS))
    {
      leader->is_replan_due = false;
      leader_plan (leader);
    }
}
