#include "switcher_fixture.h"

#include "kernel/clock.h"
#include "seeded_random.h"

#include <string.h>

enum
{
  POLL_INTERVAL_MS = 60,
  TICK_INTERVAL_MS = 20,
  ADVANCE_INTERVAL_TICKS = 2, /* mean, between two tries */
  ADVANCE_SLOWDOWN = 1000,
  EARLY_INTERVAL_MS = 200,  /* maps prepared without all ranks */
  COMMAND_TIMEOUT_MS = 300, /* after which the outcome is unknown */
  MAX_LATE_MS = 6000,       /* longest delay of a late command */
  PERCENT = 100
};

static const placement_shape_t shape = {
  .layers = 1, .ranks = SWITCHER_FIXTURE_RANKS, .experts = 4, .slots = 2
};

typedef enum message_kind
{
  MESSAGE_COMMAND,
  MESSAGE_VERDICT,
  MESSAGE_POLL,
  MESSAGE_REPORT,
  MESSAGE_PERMIT_REQUEST,
  MESSAGE_PERMIT_REPLY
} message_kind_t;

typedef struct switcher_fixture_message
{
  TAILQ_ENTRY (switcher_fixture_message) link;
  int64_t at_ms;
  message_kind_t kind;
  switcher_fixture_leader_t *leader;
  unsigned rank;
  uint64_t ticket;
  rank_command_t command;
  rank_verdict_t verdict;
  rank_report_t report;
  bool has_reply;
} switcher_fixture_message_t;

static bool
has_fault (switcher_fixture_t *fixture)
{
  return seeded_random_below (&fixture->random_state, PERCENT)
         < fixture->fault_percent;
}

static struct timespec
fixture_now (const switcher_fixture_t *fixture)
{
  return timespec_from_ms (fixture->now_ms);
}

static switcher_fixture_message_t *
queue_message (switcher_fixture_t *fixture, switcher_fixture_leader_t *leader,
               message_kind_t kind, unsigned rank, int64_t delay_ms)
{
  switcher_fixture_message_t *message
      = talloc_zero (fixture, switcher_fixture_message_t);

  message->at_ms = fixture->now_ms + delay_ms;
  message->kind = kind;
  message->leader = leader;
  message->rank = rank;
  message->has_reply = true;
  TAILQ_INSERT_TAIL (&fixture->messages, message, link);
  return message;
}

static int64_t
network_delay_ms (switcher_fixture_t *fixture)
{
  return 1
         + (int64_t)seeded_random_below (&fixture->random_state,
                                         has_fault (fixture) ? 200 : 8);
}

/* Returns whether the machine of RANK is frozen, with a leader on it other
   than LEADER: its engine keeps running steps but is unreachable.  */
static bool
is_unreachable (const switcher_fixture_t *fixture,
                const switcher_fixture_leader_t *leader, unsigned rank)
{
  for (unsigned i = 0; i < SWITCHER_FIXTURE_LEADERS; i++)
    {
      if (&fixture->leaders[i] != leader && fixture->leaders[i].is_paused
          && fixture->leaders[i].number % SWITCHER_FIXTURE_RANKS == rank)
        return true;
    }
  return false;
}

static void
queue_verdict (switcher_fixture_t *fixture,
               const switcher_fixture_message_t *command,
               rank_verdict_t verdict, int64_t delay_ms)
{
  switcher_fixture_message_t *message = queue_message (
      fixture, command->leader, MESSAGE_VERDICT, command->rank, delay_ms);

  message->ticket = command->ticket;
  message->verdict = verdict;
}

static bool
is_lost_arm (const switcher_fixture_t *fixture,
             const switcher_fixture_leader_t *leader, unsigned rank,
             const rank_command_t *command)
{
  return fixture->loses_arm_commands && command->kind == RANK_COMMAND_ARM
         && rank == (leader->number + 3) % SWITCHER_FIXTURE_RANKS;
}

/* Counts holds before a step that was released under the same fence: a late
   copy of that release would lift them.  */
static void
check_hold_step (switcher_fixture_leader_t *leader,
                 const rank_command_t *command)
{
  if (command->kind == RANK_COMMAND_RELEASE
      && (command->fence > leader->released_fence
          || command->step > leader->released_step))
    {
      leader->released_step = command->step;
      leader->released_fence = command->fence;
    }
  if (command->kind == RANK_COMMAND_HOLD
      && command->fence == leader->released_fence
      && command->step <= leader->released_step)
    leader->fixture->reused_steps++;
}

static void
leader_send_command (unsigned rank, uint64_t ticket,
                     const rank_command_t *command, void *data)
{
  switcher_fixture_leader_t *leader = data;
  switcher_fixture_t *fixture = leader->fixture;
  switcher_fixture_message_t *message;
  bool is_slow = fixture->has_slow_rank
                 && rank == (leader->number + 2) % SWITCHER_FIXTURE_RANKS;
  bool is_late = is_slow || has_fault (fixture)
                 || is_unreachable (fixture, leader, rank);
  bool is_unsent = has_fault (fixture);

  check_hold_step (leader, command);
  if (is_lost_arm (fixture, leader, rank, command))
    {
      switcher_fixture_message_t lost
          = { .leader = leader, .rank = rank, .ticket = ticket };

      queue_verdict (fixture, &lost, RANK_OUTCOME_UNKNOWN, COMMAND_TIMEOUT_MS);
      return;
    }
  is_unsent = is_unsent && has_fault (fixture);
  if (is_unsent)
    {
      switcher_fixture_message_t unsent
          = { .leader = leader, .rank = rank, .ticket = ticket };

      queue_verdict (fixture, &unsent, RANK_UNREACHABLE, 1);
      return;
    }
  message = queue_message (fixture, leader, MESSAGE_COMMAND, rank,
                           is_slow   ? SWITCHER_FIXTURE_SLOW_ANSWER_MS
                           : is_late ? (int64_t)seeded_random_below (
                                 &fixture->random_state, MAX_LATE_MS)
                                     : network_delay_ms (fixture));
  message->ticket = ticket;
  message->command = *command;
  /* Some commands that are carried out late are answered then.  */
  message->has_reply = !has_fault (fixture);
  if (is_late || !message->has_reply)
    queue_verdict (fixture, message, RANK_OUTCOME_UNKNOWN, COMMAND_TIMEOUT_MS);
}

static void
leader_on_event (switcher_event_t event, const char *reason, void *data)
{
  switcher_fixture_leader_t *leader = data;

  (void)reason;
  if (event == SWITCHER_RECOVERED)
    leader->recovered++;
  if (event == SWITCHER_SWITCHED)
    leader->switched++;
}

/* Requests the permit to arm LEADER's own rank from the pilot of RANK, which
   grants it unless it has become leader since.  */
static void
leader_request_permit (unsigned rank, uint64_t term, uint64_t version,
                       void *data)
{
  switcher_fixture_leader_t *leader = data;
  switcher_fixture_t *fixture = leader->fixture;
  switcher_fixture_message_t *message;

  if (has_fault (fixture) || is_unreachable (fixture, leader, rank))
    return;
  message = queue_message (fixture, leader, MESSAGE_PERMIT_REQUEST, rank,
                           network_delay_ms (fixture));
  message->command.fence = term;
  message->command.version = version;
}

static const switcher_ops_t leader_ops = {
  .request_permit = leader_request_permit,
  .send_command = leader_send_command,
  .on_event = leader_on_event,
};

/* Returns whether LEADER reads the reports of RANK from another machine.  */
static bool
has_old_reports (const switcher_fixture_t *fixture,
                 const switcher_fixture_leader_t *leader, unsigned rank)
{
  return fixture->has_old_reports
         && rank == (leader->number + 2) % SWITCHER_FIXTURE_RANKS;
}

/* Sets REPORT to what LEADER gets that asks RANK now.  */
static void
read_report (switcher_fixture_t *fixture,
             const switcher_fixture_leader_t *leader, unsigned rank,
             rank_report_t *report)
{
  /* The entry of the current time is the oldest one.  */
  if (has_old_reports (fixture, leader, rank)
      && fixture->now_ms > SWITCHER_FIXTURE_REPORT_LAG_MS)
    *report = fixture->past_reports[rank][fixture->now_ms
                                          % SWITCHER_FIXTURE_REPORT_LAG_MS];
  else
    simulated_engine_report (&fixture->group, &fixture->engines[rank], rank,
                             SWITCHER_FIXTURE_RANKS, report);
}

/* Returns the last command to RANK that a report shows which LEADER requests
   now.  */
static uint64_t
shown_command (const switcher_fixture_t *fixture,
               const switcher_fixture_leader_t *leader, unsigned rank)
{
  struct timespec lag = timespec_from_ms (SWITCHER_FIXTURE_REPORT_LAG_MS);

  if (!has_old_reports (fixture, leader, rank) || fixture->ignores_report_age)
    return leader->finished[rank].ticket;
  return finished_command_shown (&leader->finished[rank],
                                 fixture_now (fixture), lag);
}

static void
record_reports (switcher_fixture_t *fixture)
{
  for (unsigned rank = 0; rank < SWITCHER_FIXTURE_RANKS; rank++)
    simulated_engine_report (
        &fixture->group, &fixture->engines[rank], rank, SWITCHER_FIXTURE_RANKS,
        &fixture->past_reports[rank][fixture->now_ms
                                     % SWITCHER_FIXTURE_REPORT_LAG_MS]);
}

/* A leader gets the outcome of a command.  */
static void
deliver_verdict (switcher_fixture_t *fixture,
                 const switcher_fixture_message_t *message)
{
  switcher_fixture_leader_t *leader = message->leader;
  unsigned rank = message->rank;

  if ((message->verdict == RANK_DONE || message->verdict == RANK_CONFLICT)
      && message->ticket > leader->finished[rank].ticket)
    leader->finished[rank]
        = (finished_command_t){ .ticket = message->ticket,
                                .at = fixture_now (fixture) };
  if (leader->is_paused) /* it stays queued in the leader's socket */
    queue_verdict (fixture, message, message->verdict, POLL_INTERVAL_MS);
  else
    switcher_handle_verdict (leader->switcher, rank, message->ticket,
                             message->verdict, fixture_now (fixture));
}

/* The pilot of a rank gets a request for a permit.  */
static void
deliver_permit_request (switcher_fixture_t *fixture,
                        const switcher_fixture_message_t *message)
{
  unsigned rank = message->rank;
  switcher_fixture_message_t *reply;

  if (message->command.fence < fixture->latest_term[rank])
    return;
  fixture->granted_version[rank] = message->command.version;
  reply = queue_message (fixture, message->leader, MESSAGE_PERMIT_REPLY, rank,
                         network_delay_ms (fixture));
  reply->command = message->command;
}

static void
deliver (switcher_fixture_t *fixture,
         const switcher_fixture_message_t *message)
{
  switcher_fixture_leader_t *leader = message->leader;
  unsigned rank = message->rank;
  simulated_engine_t *engine = &fixture->engines[rank];
  switcher_fixture_message_t *reply;

  switch (message->kind)
    {
    case MESSAGE_COMMAND:
      if (message->has_reply)
        queue_verdict (fixture, message,
                       simulated_engine_execute (&fixture->group, engine,
                                                 &message->command),
                       network_delay_ms (fixture));
      else
        simulated_engine_execute (&fixture->group, engine, &message->command);
      break;
    case MESSAGE_VERDICT:
      deliver_verdict (fixture, message);
      break;
    case MESSAGE_PERMIT_REQUEST:
      deliver_permit_request (fixture, message);
      break;
    case MESSAGE_PERMIT_REPLY:
      if (!leader->is_paused)
        switcher_handle_permit (leader->switcher, message->command.version,
                                fixture_now (fixture));
      break;
    case MESSAGE_POLL:
      reply = queue_message (fixture, leader, MESSAGE_REPORT, rank,
                             network_delay_ms (fixture));
      reply->ticket = message->ticket;
      read_report (fixture, leader, rank, &reply->report);
      break;
    case MESSAGE_REPORT:
      if (!leader->is_paused)
        switcher_handle_report (leader->switcher, rank, &message->report,
                                message->ticket, fixture_now (fixture));
      break;
    }
}

static void
deliver_due (switcher_fixture_t *fixture)
{
  switcher_fixture_message_t *message = TAILQ_FIRST (&fixture->messages);

  while (message != NULL)
    {
      switcher_fixture_message_t *next = TAILQ_NEXT (message, link);

      if (message->at_ms <= fixture->now_ms)
        {
          TAILQ_REMOVE (&fixture->messages, message, link);
          deliver (fixture, message);
          talloc_free (message);
          next = TAILQ_FIRST (&fixture->messages);
        }
      message = next;
    }
}

/* Simulates that a rank crashes and restarts, after which the group is
   re-formed with a new epoch.  */
static void
reform_group (switcher_fixture_t *fixture)
{
  unsigned crashed_rank = (unsigned)seeded_random_below (
      &fixture->random_state, SWITCHER_FIXTURE_RANKS);

  fixture->group.epoch++;
  for (unsigned i = 0; i < SWITCHER_FIXTURE_RANKS; i++)
    {
      simulated_engine_t *engine = &fixture->engines[i];

      *engine = (simulated_engine_t){
        .fence = i == crashed_rank ? 0 : engine->fence,
        .highest_version = i == crashed_rank ? 0 : engine->highest_version
      };
    }
}

static void
leader_poll (switcher_fixture_t *fixture, switcher_fixture_leader_t *leader)
{
  for (unsigned rank = 0; rank < SWITCHER_FIXTURE_RANKS; rank++)
    {
      switcher_fixture_message_t *poll;

      if (has_fault (fixture) || is_unreachable (fixture, leader, rank))
        continue;
      poll = queue_message (fixture, leader, MESSAGE_POLL, rank,
                            network_delay_ms (fixture));
      poll->ticket = shown_command (fixture, leader, rank);
    }
}

/* Returns whether LEADER starts a switch now.  While its claim waits for some
   ranks, it has the others prepare a map from time to time.  */
static bool
can_switch (switcher_fixture_t *fixture, switcher_fixture_leader_t *leader)
{
  struct timespec now = fixture_now (fixture);

  if (switcher_is_ready (leader->switcher, now))
    return true;
  if (fixture->waits_for_all || fixture->now_ms % EARLY_INTERVAL_MS != 0
      || !switcher_can_prepare_early (leader->switcher, now))
    return false;
  fixture->early_switches++;
  return true;
}

/* Moves the switch in progress to an earlier step, as if steps had become
   long.  */
static void
advance_switch (switcher_fixture_t *fixture, switcher_fixture_leader_t *leader)
{
  struct timespec now = fixture_now (fixture);

  if (!fixture->moves_switches
      || switcher_phase (leader->switcher) != SWITCHER_IDLE
      || switcher_is_ready (leader->switcher, now)
      || seeded_random_below (&fixture->random_state, ADVANCE_INTERVAL_TICKS)
             > 0)
    return;
  switcher_scale_step_time (leader->switcher, ADVANCE_SLOWDOWN);
  fixture->advanced_switches += switcher_advance (leader->switcher, now);
  switcher_scale_step_time (leader->switcher, 1.0 / ADVANCE_SLOWDOWN);
}

static void
leader_run_tick (switcher_fixture_t *fixture,
                 switcher_fixture_leader_t *leader)
{
  placement_map_t *map;

  if (leader->switcher == NULL || leader->is_paused)
    return;
  if (fixture->now_ms % POLL_INTERVAL_MS == 0)
    leader_poll (fixture, leader);
  if (fixture->now_ms % TICK_INTERVAL_MS != 0)
    return;
  switcher_tick (leader->switcher, fixture_now (fixture));
  advance_switch (fixture, leader);
  if (!can_switch (fixture, leader))
    return;
  map = placement_map_create_initial (fixture, &shape);
  /* The engine of the next leader holds the group.  */
  switcher_set_holding_rank (leader->switcher,
                             (leader->number + 1) % SWITCHER_FIXTURE_RANKS);
  switcher_start_switch (leader->switcher, map, fixture_now (fixture));
  talloc_free (map);
}

static void
start_leader (switcher_fixture_t *fixture, unsigned number)
{
  switcher_fixture_leader_t *leader = &fixture->leaders[number];
  switcher_deposed_t deposed
      = { .rank = (number - 1) % SWITCHER_FIXTURE_RANKS,
          .term = number,
          .granted_version
          = fixture->granted_version[number % SWITCHER_FIXTURE_RANKS] };

  leader->fixture = fixture;
  leader->number = number;
  leader->switcher
      = switcher_create (fixture, SWITCHER_FIXTURE_RANKS,
                         number % SWITCHER_FIXTURE_RANKS, &leader_ops, leader);
  fixture->latest_term[number % SWITCHER_FIXTURE_RANKS] = number + 1;
  switcher_start_term (leader->switcher, number + 1,
                       number > 0 ? &deposed : NULL, fixture_now (fixture));
}

/* Creates a group.  */
switcher_fixture_t *
switcher_fixture_create (uint64_t seed, unsigned fault_percent)
{
  switcher_fixture_t *fixture = talloc_zero (NULL, switcher_fixture_t);

  fixture->random_state = seed;
  fixture->fault_percent = fault_percent;
  fixture->group.epoch = 1;
  TAILQ_INIT (&fixture->messages);
  return fixture;
}

/* Re-forms the group and pauses or resumes leaders at random; a paused
   leader continues later with outdated state.  */
static void
inject_disturbance (switcher_fixture_t *fixture)
{
  if (fixture->fault_percent == 0)
    return;
  if (seeded_random_below (&fixture->random_state, 8000) == 0)
    reform_group (fixture);
  for (unsigned i = 0; i < SWITCHER_FIXTURE_LEADERS; i++)
    {
      if (seeded_random_below (&fixture->random_state, 2000) == 0)
        fixture->leaders[i].is_paused = !fixture->leaders[i].is_paused;
    }
}

/* Lets time pass until UNTIL_MS.  */
void
switcher_fixture_run (switcher_fixture_t *fixture, int64_t until_ms)
{
  while (fixture->now_ms < until_ms)
    {
      fixture->now_ms++;
      if (fixture->now_ms % SWITCHER_FIXTURE_TERM_MS == 1
          && fixture->now_ms / SWITCHER_FIXTURE_TERM_MS
                 < SWITCHER_FIXTURE_LEADERS)
        start_leader (fixture,
                      (unsigned)(fixture->now_ms / SWITCHER_FIXTURE_TERM_MS));
      inject_disturbance (fixture);
      deliver_due (fixture);
      for (unsigned i = 0; i < SWITCHER_FIXTURE_LEADERS; i++)
        leader_run_tick (fixture, &fixture->leaders[i]);
      if (fixture->now_ms % SWITCHER_FIXTURE_STEP_MS == 0 && !fixture->is_idle)
        fixture->mixed_steps += simulated_group_run_step (
            &fixture->group, fixture->engines, SWITCHER_FIXTURE_RANKS);
      if (fixture->has_old_reports)
        record_reports (fixture);
    }
}

/* Frees FIXTURE.  */
void
switcher_fixture_destroy (switcher_fixture_t *fixture)
{
  talloc_free (fixture);
}
