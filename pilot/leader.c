#include "pilot/leader_state.h"

#include "common/election.h"
#include "common/roster.h"
#include "common/store_mirror.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "pilot/candidacy.h"
#include "pilot/members.h"
#include "pilot/pilot_server.h"
#include "pilot/reporter.h"
#include "pilot/switcher.h"

#include <stdio.h>
#include <string.h>

enum
{
  LEASE_MS = 2000, /* duration of the lease on the leader's key */
  /* A leader seen within this time ends this pilot's campaign.  */
  LEADER_SEEN_MS = 600,
  /* A leader that stops finishes a switch that holds the group, unless that
     takes longer than this: its successor reverts it then.  */
  STOP_MAX_MS = 1000,
  HEARTBEAT_INTERVAL_MS = 250, /* heartbeats to the other pilots */
  /* Time for which this pilot's engine holds the group without heartbeats of a
     leader before the term is seized.  */
  HOLD_TAKEOVER_TIMEOUT_MS = 250,
  /* A longer gap between ticks means that the process was paused.  */
  PAUSE_MIN_MS = 250,
  /* Interval of the log lines about ranks that a switch or a recovery waits
     for.  */
  WAIT_LOG_INTERVAL_MS = 500
};

/* Value of the leader key of a group, which names the leader: pilot name,
   incarnation and rank.  */
#define HOLDER_FORMAT "%s %llx %u"
#define HOLDER_SCAN_FORMAT "%*s %*s %u"

COUNTER_DEFINE (switches_done, "siskin_map_switches_total",
                "Expert maps changed");
COUNTER_DEFINE (switches_aborted, "siskin_map_switches_given_up_total",
                "Changes of the expert map that were given up");
GAUGE_DEFINE (waits_missing, "siskin_switch_waits_ranks",
              "Ranks that the leader's switch, recovery or next plan waits "
              "for");
GAUGE_DEFINE (waits_rank, "siskin_switch_waits_rank_plus_one",
              "The first of these ranks, counted from 1; 0: none");
GAUGE_DEFINE (waits_ms, "siskin_switch_waits_ms",
              "How long the leader has been waiting for it");
GAUGE_DEFINE (leading, "siskin_leading", "Whether this pilot leads its group");

/* Returns the time since THEN, in milliseconds.  */
int64_t
leader_ms_since (const leader_t *leader, struct timespec then)
{
  return timespec_to_ms (timespec_subtract (pilot_now (leader->pilot), then));
}

/* Returns whether a switch is in progress, during which this pilot's engine
   is polled faster.  */
bool
leader_is_switching (const leader_t *leader)
{
  return leader->switcher != NULL
         && switcher_phase (leader->switcher) != SWITCHER_IDLE
         && switcher_phase (leader->switcher) != SWITCHER_OFF;
}

/* Returns whether a planned stop is complete: no term is held any more.  */
bool
leader_is_stopped (const leader_t *leader)
{
  return leader->members == NULL;
}

static void
leader_end_term (leader_t *leader, const char *why)
{
  if (leader->members == NULL)
    return;
  log_event (LOG_LEVEL_NOTICE, "leading-ended", "group=%s why=%s",
             leader->group, why);
  counter_set (&leading, 0);
  counter_set (&waits_missing, 0);
  counter_set (&waits_rank, 0);
  counter_set (&waits_ms, 0);
  switcher_stop (leader->switcher);
  members_destroy (leader->members);
  leader->members = NULL;
  leader_stop_planning (leader);
  TALLOC_FREE (leader->switcher);
  TALLOC_FREE (leader->work);
  leader_stop_mirrors (leader);
  leader->has_ignored_reply = leader->has_handed_over = false;
  leader->ended_at = leader->not_held_at = pilot_now (leader->pilot);
  pilot_server_reset_leader_timeout (leader->pilot->server);
}

/* Returns whether this process was paused until now and its lease may have
   ended meanwhile.  Without a pause the leader goes on when it cannot renew
   its lease, since no other pilot reaches the store either.  */
static bool
leader_was_paused_past_lease (const leader_t *leader)
{
  return leader_ms_since (leader, leader->ticked_at) > PAUSE_MIN_MS
         && election_is_lease_over (leader->term);
}

/* Sends a command, unless this pilot may have been replaced during a pause:
   the next tick ends its term then.  */
static void
leader_send_command (unsigned rank, uint64_t ticket,
                     const rank_command_t *command, void *data)
{
  leader_t *leader = data;

  if (leader_was_paused_past_lease (leader))
    return;
  work_time_begin (leader->work, WORK_COMMANDS);
  members_send_command (leader->members, rank, ticket, command);
  work_time_end (leader->work);
}

/* Returns what the switch or recovery that ends now has cost, for the log.  */
static char *
leader_describe_cost (leader_t *leader)
{
  char *phases = switcher_describe (leader->switcher, leader);
  char *work = work_time_format (leader->work, phases);
  char *cost = talloc_asprintf (leader, "%s %s", phases, work);

  talloc_free (phases);
  work_time_reset (leader->work);
  return cost;
}

static void
leader_on_event (switcher_event_t event, const char *reason, void *data)
{
  leader_t *leader = data;
  uint64_t version = switcher_last_version (leader->switcher);
  char *cost = leader_describe_cost (leader);

  switch (event)
    {
    case SWITCHER_RECOVERED:
    case SWITCHER_RESTARTED:
      log_event (LOG_LEVEL_NOTICE,
                 event == SWITCHER_RECOVERED ? "group-settled"
                                             : "group-restarted",
                 "group=%s epoch=%llu %s", leader->group,
                 (unsigned long long)switcher_epoch (leader->switcher), cost);
      members_cancel_waiting (leader->members);
      break;
    case SWITCHER_RESUMED:
      log_event (LOG_LEVEL_NOTICE, "switch-resumed",
                 "group=%s version=%llu planned_ms=%lld %s", leader->group,
                 (unsigned long long)version,
                 (long long)leader_ms_since (leader, leader->planned_at),
                 cost);
      break;
    case SWITCHER_ADVANCED:
      log_event (LOG_LEVEL_NOTICE, "switch-moved", "group=%s version=%llu %s",
                 leader->group, (unsigned long long)version, cost);
      break;
    case SWITCHER_SWITCHED:
      counter_add (&switches_done, 1);
      log_event (
          LOG_LEVEL_NOTICE, "map-switched", "group=%s version=%llu ms=%lld %s",
          leader->group, (unsigned long long)version,
          (long long)leader_ms_since (leader, leader->planned_at), cost);
      break;
    case SWITCHER_ABORTED:
      counter_add (&switches_aborted, 1);
      log_event (LOG_LEVEL_WARN, "map-given-up",
                 "group=%s version=%llu reason=%s %s", leader->group,
                 (unsigned long long)version, reason, cost);
      members_cancel_waiting (leader->members);
      break;
    case SWITCHER_DEPOSED:
      log_event (LOG_LEVEL_WARN, "deposed", "group=%s", leader->group);
      break;
    }
  if (leader->planning != NULL)
    planning_handle_event (leader->planning, event, pilot_now (leader->pilot));
  talloc_free (cost);
}

static void
leader_request_permit (unsigned rank, uint64_t term, uint64_t version,
                       void *data)
{
  leader_t *leader = data;

  members_request_permit (leader->members, rank, term, version);
}

static const switcher_ops_t leader_switcher_ops = {
  .request_permit = leader_request_permit,
  .send_command = leader_send_command,
  .on_event = leader_on_event,
};

static void
leader_on_report (unsigned rank, const rank_report_t *report,
                  uint64_t after_ticket, void *data)
{
  leader_t *leader = data;

  work_time_begin (leader->work, WORK_REPORTS);
  if (leader->planning != NULL)
    planning_handle_report (leader->planning, rank, report,
                            pilot_now (leader->pilot));
  switcher_handle_report (leader->switcher, rank, report, after_ticket,
                          pilot_now (leader->pilot));
  work_time_end (leader->work);
}

static void
leader_on_verdict (unsigned rank, uint64_t ticket, rank_verdict_t verdict,
                   void *data)
{
  leader_t *leader = data;

  work_time_begin (leader->work, WORK_VERDICTS);
  switcher_handle_verdict (leader->switcher, rank, ticket, verdict,
                           pilot_now (leader->pilot));
  work_time_end (leader->work);
}

static void
leader_on_permit (uint64_t version, void *data)
{
  leader_t *leader = data;

  switcher_handle_permit (leader->switcher, version,
                          pilot_now (leader->pilot));
}

static const members_ops_t leader_members_ops = {
  .on_permit = leader_on_permit,
  .on_report = leader_on_report,
  .on_verdict = leader_on_verdict,
  .on_reply = leader_on_reply,
};

static void
leader_on_won (uint64_t fence, const displaced_leader_t *seized, void *data)
{
  leader_t *leader = data;
  pilot_t *pilot = leader->pilot;
  switcher_deposed_t deposed = { 0 };
  bool is_known;

  leader_end_term (leader, "new-term");
  leader->fence = fence;
  pilot_server_set_min_permit_term (pilot->server, fence);
  is_known
      = seized != NULL
        && sscanf (seized->holder, HOLDER_SCAN_FORMAT, &deposed.rank) == 1;
  if (is_known)
    {
      deposed.term = seized->fence;
      /* A process that started after the hold began does not know which
         permits it gave before.  */
      deposed.granted_version
          = leader->has_seen_not_held
                ? pilot_server_granted_version (pilot->server)
                : SWITCHER_UNKNOWN_VERSION;
    }
  log_event (LOG_LEVEL_NOTICE, "leading",
             "group=%s fence=%llu rank=%u seized_from=\"%s\"", leader->group,
             (unsigned long long)fence, leader->own_rank,
             seized == NULL ? "" : seized->holder);
  counter_set (&leading, 1);
  leader->work = work_time_create (leader, pilot->clock);
  leader->switcher
      = switcher_create (leader, leader->rank_count, leader->own_rank,
                         &leader_switcher_ops, leader);
  leader->members
      = members_create (pilot, leader->group, leader->rank_count,
                        leader->own_rank, &leader_members_ops, leader);
  switcher_start_term (leader->switcher, fence, is_known ? &deposed : NULL,
                       pilot_now (pilot));
  leader_start_mirrors (leader);
}

static void
leader_on_lost (void *data)
{
  leader_end_term (data, "lease-ended");
}

static const election_ops_t leader_term_ops = {
  .on_won = leader_on_won,
  .on_lost = leader_on_lost,
};

/* Adopts the group, rank and rank count that this pilot's engine reports, and
   competes for the leader key of that group from now on.  */
static void
leader_set_group (leader_t *leader, const rank_report_t *report)
{
  pilot_t *pilot = leader->pilot;
  char *key;
  char *holder;
  election_options_t options = { .store_ops = pilot->store_ops,
                                 .store = pilot->store,
                                 .duration = timespec_from_ms (LEASE_MS) };

  if (leader->term != NULL)
    {
      leader_end_term (leader, "group-changed");
      election_destroy (leader->term);
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
  leader->term = election_create (leader, pilot->worker, &options,
                                  &leader_term_ops, leader);
  talloc_free (key);
  talloc_free (holder);
}

/* Handles a report of this pilot's engine.  */
void
leader_handle_own_report (leader_t *leader, const rank_report_t *report)
{
  if (report->group[0] == '\0' || report->rank_count == 0
      || report->rank >= report->rank_count)
    return;
  if (leader->group == NULL || strcmp (leader->group, report->group) != 0
      || leader->rank_count != report->rank_count
      || leader->own_rank != report->rank)
    leader_set_group (leader, report);
  if (leader->members != NULL)
    members_handle_own_report (leader->members, report);
  slow_ranks_handle_report (leader->own_pace, 0, report->slowdown,
                            pilot_now (leader->pilot));
  leader->has_seen_not_held = leader->has_seen_not_held || !report->is_held;
  if (!report->is_held || report->step + 1 < report->hold_step)
    leader->not_held_at = pilot_now (leader->pilot);
}

/* A poll of this pilot's engine starts.  */
void
leader_handle_poll_started (leader_t *leader)
{
  if (leader->members != NULL)
    members_handle_own_poll_started (leader->members);
}

/* Publishes which rank a switch or recovery waits for, or which one keeps the
   next switch from starting, and logs it from time to time.  */
static void
leader_show_wait (leader_t *leader)
{
  switcher_wait_t wait;
  char *text;

  switcher_find_wait (leader->switcher, pilot_now (leader->pilot), &wait);
  counter_set (&waits_missing, wait.missing);
  counter_set (&waits_rank, wait.rank == SWITCHER_NO_WAIT ? 0 : wait.rank + 1);
  counter_set (&waits_ms, wait.ms > 0 ? wait.ms : 0);
  if (wait.rank == SWITCHER_NO_WAIT || wait.ms < WAIT_LOG_INTERVAL_MS
      || leader_ms_since (leader, leader->wait_logged_at)
             < WAIT_LOG_INTERVAL_MS)
    return;
  leader->wait_logged_at = pilot_now (leader->pilot);
  text = switcher_describe_wait (leader->switcher, &wait, leader);
  log_event (LOG_LEVEL_NOTICE, "switch-waits", "group=%s %s", leader->group,
             text);
  talloc_free (text);
}

/* Runs one tick of this pilot's term as leader: sends heartbeats, and lets the
   planner collect counts and plan.  */
static void
leader_run_term (leader_t *leader)
{
  struct timespec now = pilot_now (leader->pilot);

  leader_stop_reading_rules (leader);
  members_tick (leader->members);
  switcher_tick (leader->switcher, now);
  if (leader_is_switching (leader)
      || leader_ms_since (leader, leader->heartbeat_at)
             >= HEARTBEAT_INTERVAL_MS)
    {
      leader->heartbeat_at = now;
      members_send_heartbeat (leader->members, leader->fence);
    }
  leader_show_wait (leader);
  if (leader->planning != NULL && !leader->is_stopping)
    planning_tick (leader->planning, now);
}

/* Returns what decides whether this pilot campaigns.  */
static candidacy_t
leader_candidacy (const leader_t *leader)
{
  return (candidacy_t){ .own_rank = leader->own_rank,
                        .rank_count = leader->rank_count,
                        .is_slow = slow_ranks_is_slow (leader->own_pace, 0),
                        .is_stopping = leader->is_stopping };
}

/* The leader of TERM stops and asks this pilot to lead.  It has given up its
   key, and the commands of its term are rejected once this pilot leads.  */
void
leader_handle_request_to_lead (leader_t *leader, uint64_t term)
{
  candidacy_t candidacy = leader_candidacy (leader);
  bool is_accepted
      = leader->term != NULL && leader->members == NULL
        && term >= pilot_server_leader_term (leader->pilot->server)
        && candidacy_accepts (&candidacy);

  log_event (LOG_LEVEL_NOTICE, "asked-to-lead",
             "group=%s term=%llu accepted=%d slow=%d stopping=%d",
             leader->group == NULL ? "" : leader->group,
             (unsigned long long)term, is_accepted, candidacy.is_slow,
             candidacy.is_stopping);
  if (!is_accepted)
    return;
  leader->asked_at = pilot_now (leader->pilot);
  pilot_server_set_min_permit_term (leader->pilot->server, term + 1);
  election_take_over (leader->term);
}

/* Campaigns when no leader has been seen for the election delay.  Seizes
   the term at once when this pilot's engine holds the group and the leader
   has stopped sending heartbeats.  */
static void
leader_campaign (leader_t *leader)
{
  candidacy_t candidacy = leader_candidacy (leader);
  int64_t election_delay_ms = candidacy_delay_ms (&candidacy);
  int64_t leaderless_ms = pilot_server_leaderless_ms (leader->pilot->server);
  int64_t ended_ms = leader_ms_since (leader, leader->ended_at);

  if (leaderless_ms > HOLD_TAKEOVER_TIMEOUT_MS
      && leader_ms_since (leader, leader->not_held_at)
             > HOLD_TAKEOVER_TIMEOUT_MS)
    {
      /* From now on the previous leader gets no permit to arm its own
         rank.  */
      pilot_server_set_min_permit_term (
          leader->pilot->server,
          pilot_server_leader_term (leader->pilot->server) + 1);
      if (election_take_over (leader->term))
        log_event (LOG_LEVEL_WARN, "group-stuck", "group=%s unled_ms=%lld",
                   leader->group, (long long)leaderless_ms);
    }
  else if (election_delay_ms >= 0 && leaderless_ms > election_delay_ms
           && ended_ms > election_delay_ms)
    election_campaign (leader->term);
  else if (leaderless_ms < LEADER_SEEN_MS
           && leader_ms_since (leader, leader->asked_at) > LEADER_SEEN_MS)
    election_resign (leader->term);
}

/* After a pause of this process the elapsed time says nothing about
   whether a leader was active or the group was held: restart both
   timeouts.  If the lease may have ended meanwhile, the term ends too.  */
static void
leader_detect_pause (leader_t *leader)
{
  struct timespec now = pilot_now (leader->pilot);
  bool was_paused = leader_ms_since (leader, leader->ticked_at) > PAUSE_MIN_MS;
  bool is_past_lease
      = leader->members != NULL && leader_was_paused_past_lease (leader);

  leader->ticked_at = now;
  if (!was_paused)
    return;
  leader->not_held_at = now;
  pilot_server_reset_leader_timeout (leader->pilot->server);
  if (!is_past_lease)
    return;
  leader_end_term (leader, "paused");
  election_resign (leader->term);
}

/* Gives up the leadership, if this can be done now, and asks another pilot to
   lead.  */
static void
leader_hand_over (leader_t *leader)
{
  unsigned deputy;

  if (leader->has_handed_over
      || (!switcher_can_stop (leader->switcher)
          && leader_ms_since (leader, leader->stopping_at) < STOP_MAX_MS))
    return;
  deputy = leader_choose_deputy (leader);
  log_event (LOG_LEVEL_NOTICE, "handing-over", "group=%s to_rank=%u phase=%s",
             leader->group, deputy,
             switcher_phase_name (switcher_phase (leader->switcher)));
  leader->has_handed_over = true;
  switcher_stop (leader->switcher);
  election_resign (leader->term);
  if (deputy != leader->own_rank)
    members_ask_to_lead (leader->members, deputy, leader->fence);
}

static void leader_start_timer (leader_t *leader);

static void
leader_tick (worker_t *worker, void *data)
{
  leader_t *leader = data;

  (void)worker;
  leader_start_timer (leader);
  leader_detect_pause (leader);
  if (leader->members != NULL
      && (switcher_phase (leader->switcher) == SWITCHER_OFF
          || pilot_server_leader_term (leader->pilot->server) > leader->fence))
    {
      /* Another pilot is the leader, or has been asked to lead.  */
      leader_end_term (leader,
                       leader->has_handed_over ? "stopping" : "deposed");
      election_resign (leader->term);
    }
  if (leader->members != NULL)
    leader_run_term (leader);
  else if (leader->term != NULL && !leader->is_stopping)
    leader_campaign (leader);
  if (leader->is_stopping && leader->members != NULL)
    leader_hand_over (leader);
}

static void
leader_start_timer (leader_t *leader)
{
  leader->timer = worker_timer_start (
      leader->pilot->worker, leader,
      timespec_from_ms (LEADER_TICK_INTERVAL_MS), leader_tick, leader);
}

/* Creates a leader that campaigns once this pilot's engine reports its group.
   Returns NULL when memory is exhausted.  */
leader_t *
leader_create (pilot_t *pilot)
{
  leader_t *leader = talloc_zero (worker_events (pilot->worker), leader_t);

  if (leader == NULL)
    return NULL;
  leader->pilot = pilot;
  leader->own_pace = slow_ranks_create (leader, 1);
  if (leader->own_pace == NULL)
    {
      talloc_free (leader);
      return NULL;
    }
  leader->ended_at = leader->not_held_at = leader->ticked_at
      = pilot_now (pilot);
  leader_start_timer (leader);
  return leader;
}

/* Starts a planned stop: gives up the leadership at once, or when the switch
   in progress no longer holds the group.  */
void
leader_stop (leader_t *leader)
{
  leader->is_stopping = true;
  leader->stopping_at = pilot_now (leader->pilot);
  if (leader->members != NULL)
    leader_hand_over (leader);
  else if (leader->term != NULL)
    election_resign (leader->term);
}
