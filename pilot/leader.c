#include "pilot/leader_state.h"

#include "common/roster.h"
#include "common/store_mirror.h"
#include "common/term.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "pilot/crew.h"
#include "pilot/planner.h"
#include "pilot/reporter.h"
#include "pilot/servant.h"
#include "pilot/switcher.h"

#include <stdio.h>
#include <string.h>

enum
{
  TICK_MS = 50,
  TERM_MS = 2000,      /* duration of the lease on the leader's key */
  SEEK_AFTER_MS = 600, /* without a leader, before the first one is sought */
  SEEK_STEP_MS = 150,  /* later for each rank number */
  SHOW_MS = 250,       /* between signs of life to the other pilots */
  STUCK_MS = 250,      /* the group is held and no leader is heard */
  PAUSED_MS = 250,     /* between ticks, when this process stood still */
  PLAN_MS = 500,       /* from one plan to the next */
  LEARN_MS = 100,      /* between questions for the map in use */
  ANSWER_MS = 250      /* ranks have to tell their counts */
};

/* The holder of a group's key: name, incarnation and rank.  */
#define HOLDER_FORMAT "%s %llx %u"
#define HOLDER_READ_FORMAT "%*s %*s %u"

COUNTER_DEFINE (switches_done, "siskin_map_switches_total",
                "Expert maps changed");
COUNTER_DEFINE (switches_given_up, "siskin_map_switches_given_up_total",
                "Changes of the expert map that were given up");
GAUGE_DEFINE (leading, "siskin_leading", "Whether this pilot leads its group");

static int64_t
ms_since (const leader_t *leader, struct timespec then)
{
  return timespec_to_ms (timespec_subtract (pilot_now (leader->pilot), then));
}

/* Return whether a switch is under way, so that reports should come fast.  */
bool
leader_is_switching (const leader_t *leader)
{
  return leader->switcher != NULL
         && switcher_phase (leader->switcher) != SWITCHER_IDLE
         && switcher_phase (leader->switcher) != SWITCHER_OFF;
}

/* Return whether nothing is left to be done in a planned stop.  */
bool
leader_is_stopped (const leader_t *leader)
{
  return leader->crew == NULL;
}

static void
leader_end (leader_t *leader, const char *why)
{
  if (leader->crew == NULL)
    return;
  log_event (LOG_LEVEL_NOTICE, "leading-ended", "group=%s why=%s",
             leader->group, why);
  counter_set (&leading, 0);
  switcher_stop (leader->switcher);
  crew_destroy (leader->crew);
  leader->crew = NULL;
  TALLOC_FREE (leader->switcher);
  store_mirror_destroy (leader->mirror);
  leader->mirror = NULL;
  TALLOC_FREE (leader->planner);
  TALLOC_FREE (leader->planned);
  leader->is_asking = false;
  leader->ended_at = leader->free_at = pilot_now (leader->pilot);
  servant_wait_anew (leader->pilot->servant);
}

static void
leader_send_order (unsigned rank, uint64_t ticket, const rank_command_t *order,
                   void *data)
{
  leader_t *leader = data;

  crew_order (leader->crew, rank, ticket, order);
}

static void
leader_on_event (switcher_event_t event, const char *reason, void *data)
{
  leader_t *leader = data;
  uint64_t version = switcher_version (leader->switcher);

  switch (event)
    {
    case SWITCHER_SETTLED:
    case SWITCHER_RESTARTED:
      log_event (LOG_LEVEL_NOTICE,
                 event == SWITCHER_SETTLED ? "group-settled"
                                           : "group-restarted",
                 "group=%s epoch=%llu", leader->group,
                 (unsigned long long)switcher_epoch (leader->switcher));
      if (leader->planner != NULL)
        planner_forget_map (leader->planner);
      TALLOC_FREE (leader->planned);
      break;
    case SWITCHER_SWITCHED:
      counter_add (&switches_done, 1);
      log_event (LOG_LEVEL_NOTICE, "map-switched",
                 "group=%s version=%llu ms=%lld", leader->group,
                 (unsigned long long)version,
                 (long long)ms_since (leader, leader->planned_at));
      if (leader->planner != NULL && leader->planned != NULL)
        planner_adopt (leader->planner, leader->planned, version);
      TALLOC_FREE (leader->planned);
      break;
    case SWITCHER_GIVEN_UP:
      counter_add (&switches_given_up, 1);
      log_event (LOG_LEVEL_WARN, "map-given-up",
                 "group=%s version=%llu reason=%s", leader->group,
                 (unsigned long long)version, reason);
      TALLOC_FREE (leader->planned);
      break;
    case SWITCHER_DEPOSED:
      log_event (LOG_LEVEL_WARN, "deposed", "group=%s", leader->group);
      break;
    }
}

static void
leader_ask_permit (unsigned rank, uint64_t term, uint64_t version, void *data)
{
  leader_t *leader = data;

  crew_ask_permit (leader->crew, rank, term, version);
}

static const switcher_ops_t leader_switcher_ops = {
  .ask_permit = leader_ask_permit,
  .order = leader_send_order,
  .on_event = leader_on_event,
};

static void
leader_on_report (unsigned rank, const rank_report_t *report,
                  uint64_t after_ticket, void *data)
{
  leader_t *leader = data;

  if (leader->planner != NULL)
    planner_note_pace (leader->planner, rank, report->slowdown);
  switcher_note_report (leader->switcher, rank, report, after_ticket,
                        pilot_now (leader->pilot));
}

static void
leader_on_verdict (unsigned rank, uint64_t ticket, rank_verdict_t verdict,
                   void *data)
{
  leader_t *leader = data;

  switcher_note_verdict (leader->switcher, rank, ticket, verdict,
                         pilot_now (leader->pilot));
}

static void
leader_plan (leader_t *leader)
{
  placement_plan_t plan;
  bool is_change;

  leader->is_asking = false;
  if (leader->planner == NULL
      || !planner_has_map (leader->planner, switcher_map (leader->switcher)))
    return;
  is_change = planner_plan (leader->planner, leader, &plan);
  log_event (LOG_LEVEL_DEBUG, "planned",
             "group=%s change=%d reason=%s moves=%u before=%.3f after=%.3f "
             "bound=%.3f",
             leader->group, is_change, plan.reason, plan.moves,
             plan.time_before, plan.time_after, plan.time_bound);
  if (!is_change)
    return;
  leader->planned = plan.map;
  leader->planned_at = pilot_now (leader->pilot);
  switcher_set_holder (leader->switcher, crew_choose_holder (leader->crew));
  if (!switcher_start (leader->switcher, plan.map, leader->planned_at))
    TALLOC_FREE (leader->planned);
}

static void
leader_on_told (unsigned rank, rank_query_t question, const rank_reply_t *told,
                void *data)
{
  leader_t *leader = data;

  if (leader->planner == NULL || !leader->is_asking
      || question != leader->question)
    return;
  if (told != NULL && told->epoch == switcher_epoch (leader->switcher))
    {
      if (question == RANK_QUERY_EXPERT_COUNTS)
        planner_note_counts (leader->planner, rank, told);
      else if (!planner_note_held (leader->planner, rank, told))
        log_event (LOG_LEVEL_WARN, "bad-map", "group=%s rank=%u",
                   leader->group, rank);
    }
  if (leader->asked > 0)
    leader->asked--;
  if (leader->asked > 0)
    return;
  if (question == RANK_QUERY_EXPERT_COUNTS)
    leader_plan (leader);
  leader->is_asking = false;
}

static void
leader_on_permit (uint64_t version, void *data)
{
  leader_t *leader = data;

  switcher_note_permit (leader->switcher, version, pilot_now (leader->pilot));
}

static const crew_ops_t leader_crew_ops = {
  .on_permit = leader_on_permit,
  .on_report = leader_on_report,
  .on_verdict = leader_on_verdict,
  .on_told = leader_on_told,
};

static void
leader_on_won (uint64_t fence, const term_displaced_t *seized, void *data)
{
  leader_t *leader = data;
  pilot_t *pilot = leader->pilot;
  switcher_deposed_t deposed = { 0 };
  bool is_known;

  leader_end (leader, "new-term");
  leader->fence = fence;
  servant_permit_from (pilot->servant, fence);
  is_known
      = seized != NULL
        && sscanf (seized->holder, HOLDER_READ_FORMAT, &deposed.rank) == 1;
  if (is_known)
    {
      deposed.term = seized->fence;
      /* A process that has started since the hold began knows nothing of
         permits before.  */
      deposed.permitted = leader->has_seen_free
                              ? servant_permitted (pilot->servant)
                              : SWITCHER_ANY_VERSION;
    }
  log_event (LOG_LEVEL_NOTICE, "leading",
             "group=%s fence=%llu rank=%u seized_from=\"%s\"", leader->group,
             (unsigned long long)fence, leader->own_rank,
             seized == NULL ? "" : seized->holder);
  counter_set (&leading, 1);
  leader->switcher
      = switcher_create (leader, leader->rank_count, leader->own_rank,
                         &leader_switcher_ops, leader);
  leader->crew = crew_create (pilot, leader->group, leader->rank_count,
                              leader->own_rank, &leader_crew_ops, leader);
  switcher_lead (leader->switcher, fence, is_known ? &deposed : NULL,
                 pilot_now (pilot));
  leader_follow_store (leader);
}

static void
leader_on_lost (void *data)
{
  leader_end (data, "lease-ended");
}

static const term_ops_t leader_term_ops = {
  .on_won = leader_on_won,
  .on_lost = leader_on_lost,
};

/* The own engine is in a group: note which.  */
static void
leader_learn_group (leader_t *leader, const rank_report_t *report)
{
  pilot_t *pilot = leader->pilot;
  char *key;
  char *holder;
  term_options_t options = { .store_ops = pilot->store_ops,
                             .store = pilot->store,
                             .duration = timespec_from_ms (TERM_MS) };

  if (leader->term != NULL)
    {
      leader_end (leader, "group-changed");
      term_destroy (leader->term);
      leader->term = NULL;
    }
  talloc_free (leader->group);
  leader->group = talloc_strdup (leader, report->group);
  leader->rank_count = (unsigned)report->rank_count;
  leader->own_rank = (unsigned)report->rank;
  key = talloc_asprintf (leader, "%s" ROSTER_LEADERS "%s",
                         pilot->catalog_ops->own_prefix, leader->group);
  holder = talloc_asprintf (leader, HOLDER_FORMAT, node_name (pilot->node),
                            (unsigned long long)node_incarnation (pilot->node),
                            leader->own_rank);
  options.key = key;
  options.holder = holder;
  leader->term = term_create (leader, pilot->worker, &options,
                              &leader_term_ops, leader);
  talloc_free (key);
  talloc_free (holder);
}

/* Take in what the own engine reports.  */
void
leader_note_own_report (leader_t *leader, const rank_report_t *report)
{
  if (report->group[0] == '\0' || report->rank_count == 0
      || report->rank >= report->rank_count)
    return;
  if (leader->group == NULL || strcmp (leader->group, report->group) != 0
      || leader->rank_count != report->rank_count
      || leader->own_rank != report->rank)
    leader_learn_group (leader, report);
  if (leader->crew != NULL)
    crew_note_own_report (leader->crew, report);
  leader->has_seen_free = leader->has_seen_free || !report->is_held;
  if (!report->is_held || report->step + 1 < report->held)
    leader->free_at = pilot_now (leader->pilot);
}

/* The own engine is being asked for a report.  */
void
leader_note_asking (leader_t *leader)
{
  if (leader->crew != NULL)
    crew_note_asking (leader->crew);
}

static void
leader_ask (leader_t *leader, rank_query_t question)
{
  leader->is_asking = true;
  leader->question = question;
  leader->asked_at = pilot_now (leader->pilot);
  if (question == RANK_QUERY_EXPERT_COUNTS)
    leader->counted_at = leader->asked_at;
  leader->asked = crew_ask_all (leader->crew, question);
}

/* Learn the map in use, then plan every so often.  */
static void
leader_conduct (leader_t *leader)
{
  struct timespec now = pilot_now (leader->pilot);

  crew_tick (leader->crew);
  switcher_tick (leader->switcher, now);
  if (leader_is_switching (leader)
      || ms_since (leader, leader->shown_at) >= SHOW_MS)
    {
      leader->shown_at = now;
      crew_show_leading (leader->crew, leader->fence);
    }
  if (leader->is_asking && ms_since (leader, leader->asked_at) > ANSWER_MS)
    {
      leader->is_asking = false;
      if (leader->question == RANK_QUERY_EXPERT_COUNTS)
        leader_plan (leader);
    }
  if (leader->planner == NULL || leader->is_asking || leader->is_stopping)
    return;
  if (!planner_has_map (leader->planner, switcher_map (leader->switcher)))
    {
      if (ms_since (leader, leader->asked_at) >= LEARN_MS
          && switcher_is_ready (leader->switcher, now))
        leader_ask (leader, RANK_QUERY_HELD_EXPERTS);
    }
  else if (ms_since (leader, leader->counted_at) < PLAN_MS)
    return;
  else if (switcher_is_ready (leader->switcher, now)
           || leader_is_switching (leader))
    leader_ask (leader, RANK_QUERY_EXPERT_COUNTS);
}

/* Seek to lead when nobody has for a while; at once when the own engine holds
   the group up for a leader that is not heard any more.  */
static void
leader_look_for_one (leader_t *leader)
{
  int64_t patience_ms
      = SEEK_AFTER_MS + SEEK_STEP_MS * (int64_t)leader->own_rank;
  int64_t unled_ms = servant_unled_ms (leader->pilot->servant);
  int64_t ended_ms = ms_since (leader, leader->ended_at);

  if (unled_ms > STUCK_MS && ms_since (leader, leader->free_at) > STUCK_MS)
    {
      /* From here on the leader that was cannot arm its own rank any more.  */
      servant_permit_from (leader->pilot->servant,
                           servant_led_term (leader->pilot->servant) + 1);
      if (term_take_over (leader->term))
        log_event (LOG_LEVEL_WARN, "group-stuck", "group=%s unled_ms=%lld",
                   leader->group, (long long)unled_ms);
    }
  else if (unled_ms > patience_ms && ended_ms > patience_ms)
    term_campaign (leader->term);
  else if (unled_ms < SEEK_AFTER_MS)
    term_resign (leader->term);
}

/* After a pause of this process nothing is known of leaders or of the group's
   steps meanwhile.  */
static void
leader_note_pause (leader_t *leader)
{
  struct timespec now = pilot_now (leader->pilot);

  if (ms_since (leader, leader->ticked_at) > PAUSED_MS)
    {
      leader->free_at = now;
      servant_wait_anew (leader->pilot->servant);
    }
  leader->ticked_at = now;
}

static void leader_arm (leader_t *leader);

static void
leader_tick (worker_t *worker, void *data)
{
  leader_t *leader = data;

  (void)worker;
  leader_arm (leader);
  leader_note_pause (leader);
  if (leader->crew != NULL
      && (switcher_phase (leader->switcher) == SWITCHER_OFF
          || servant_led_term (leader->pilot->servant) > leader->fence))
    {
      /* Somebody else leads by now.  */
      leader_end (leader, "deposed");
      term_resign (leader->term);
    }
  if (leader->crew != NULL)
    leader_conduct (leader);
  else if (leader->term != NULL && !leader->is_stopping)
    leader_look_for_one (leader);
  if (leader->is_stopping && leader->crew != NULL
      && !leader_is_switching (leader))
    {
      leader_end (leader, "stopping");
      term_resign (leader->term);
    }
}

static void
leader_arm (leader_t *leader)
{
  leader->timer
      = worker_timer_start (leader->pilot->worker, leader,
                            timespec_from_ms (TICK_MS), leader_tick, leader);
}

/* Start to look for a group without a leader.  Returns NULL when memory is
   exhausted.  */
leader_t *
leader_create (pilot_t *pilot)
{
  leader_t *leader = talloc_zero (worker_events (pilot->worker), leader_t);

  if (leader == NULL)
    return NULL;
  leader->pilot = pilot;
  leader->ended_at = leader->free_at = leader->ticked_at = pilot_now (pilot);
  leader_arm (leader);
  return leader;
}

/* Planned stop: end the switch under way, then let another pilot lead.  */
void
leader_stop (leader_t *leader)
{
  leader->is_stopping = true;
  if (leader->term != NULL && leader->crew == NULL)
    term_resign (leader->term);
}
