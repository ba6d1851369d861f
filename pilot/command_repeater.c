#include "pilot/command_repeater.h"

#include "pilot/answer_time.h"

#include <sys/queue.h>

enum
{
  /* Bounds of the time until an unanswered command is sent again.  A repeat
     too many costs little, and a group may wait for the command.  */
  MIN_REPEAT_MS = 10,
  MAX_REPEAT_MS = 40,
  /* After so many attempts the time doubles with each, up to this: the engine
     may be down or overloaded.  */
  QUICK_ATTEMPTS = 16,
  MAX_SLOW_REPEAT_MS = 160,
  /* A command is repeated for this long after it was last asked for.  A leader
     asks again more often.  */
  LIFETIME_MS = 250
};

/* Somebody who waits for the verdict of a command.  */
typedef struct waiter
{
  LIST_ENTRY (waiter) link;
  rank_command_done_t done;
  void *data;
} waiter_t;

/* A command in progress.  */
typedef struct series
{
  LIST_ENTRY (series) link;
  rank_command_t command;
  LIST_HEAD (, waiter) waiters;
  struct timespec began_at;
  struct timespec asked_at;  /* last time that somebody sent it */
  struct timespec sent_at;   /* last attempt */
  struct timespec repeat_at; /* next attempt */
  unsigned attempts;
  /* An attempt was rejected while another was unanswered, whose effect may be
     the reason.  */
  bool is_refused;
  bool is_replaced; /* by a later command */
} series_t;

/* An attempt without a verdict, which may outlive its series.  */
typedef struct attempt
{
  LIST_ENTRY (attempt) link;
  uint64_t number;
  rank_command_t command; /* without its map */
  struct timespec sent_at;
} attempt_t;

struct command_repeater
{
  const clock_source_t *clock;
  const command_repeater_ops_t *ops;
  void *data;
  LIST_HEAD (, series) series;
  LIST_HEAD (, attempt) attempts;
  uint64_t last_attempt;
  answer_time_t answer_time;
};

/* Creates a repeater that sends through OPS.  Returns NULL when memory is
   exhausted.  */
command_repeater_t *
command_repeater_create (TALLOC_CTX *parent, const clock_source_t *clock,
                         const command_repeater_ops_t *ops, void *data)
{
  command_repeater_t *repeater = talloc_zero (parent, command_repeater_t);

  if (repeater == NULL)
    return NULL;
  repeater->clock = clock;
  repeater->ops = ops;
  repeater->data = data;
  LIST_INIT (&repeater->series);
  LIST_INIT (&repeater->attempts);
  return repeater;
}

/* Frees REPEATER and forgets the commands in progress.  */
void
command_repeater_destroy (command_repeater_t *repeater)
{
  talloc_free (repeater);
}

static series_t *
repeater_find (const command_repeater_t *repeater,
               const rank_command_t *command)
{
  series_t *series;

  LIST_FOREACH (series, &repeater->series, link)
    {
      if (!series->is_replaced
          && rank_command_is_same (&series->command, command))
        return series;
    }
  return NULL;
}

/* Returns the time after which SERIES is sent again if its last attempt isn't
   answered.  */
static struct timespec
series_repeat_delay (const command_repeater_t *repeater,
                     const series_t *series)
{
  double delay_ms
      = answer_time_limit_ms (&repeater->answer_time, MAX_REPEAT_MS);

  if (delay_ms < MIN_REPEAT_MS)
    delay_ms = MIN_REPEAT_MS;
  if (delay_ms > MAX_REPEAT_MS)
    delay_ms = MAX_REPEAT_MS;
  for (unsigned i = QUICK_ATTEMPTS;
       i < series->attempts && delay_ms < MAX_SLOW_REPEAT_MS; i++)
    delay_ms *= 2;
  return timespec_from_ms ((int64_t)delay_ms);
}

/* Calls command_repeater_tick when the first series is due.  */
static void
repeater_set_timer (command_repeater_t *repeater)
{
  struct timespec now = clock_monotonic (repeater->clock);
  const series_t *series;
  const series_t *first = NULL;

  LIST_FOREACH (series, &repeater->series, link)
    {
      if (first == NULL
          || timespec_compare (series->repeat_at, first->repeat_at) < 0)
        first = series;
    }
  if (first == NULL)
    return;
  repeater->ops->set_timer (timespec_compare (first->repeat_at, now) > 0
                                ? timespec_subtract (first->repeat_at, now)
                                : timespec_from_ms (0),
                            repeater->data);
}

static void
series_attempt (command_repeater_t *repeater, series_t *series)
{
  attempt_t *attempt = talloc_zero (repeater, attempt_t);

  series->sent_at = clock_monotonic (repeater->clock);
  series->attempts++;
  series->repeat_at
      = timespec_add (series->sent_at, series_repeat_delay (repeater, series));
  if (attempt == NULL)
    return;
  attempt->number = ++repeater->last_attempt;
  attempt->command = series->command;
  attempt->command.map = NULL;
  attempt->sent_at = series->sent_at;
  if (!repeater->ops->send (attempt->number, &series->command, repeater->data))
    {
      talloc_free (attempt);
      return;
    }
  LIST_INSERT_HEAD (&repeater->attempts, attempt, link);
}

/* Ends SERIES with VERDICT.  */
static void
series_finish (command_repeater_t *repeater, series_t *series,
               rank_verdict_t verdict)
{
  struct timespec now = clock_monotonic (repeater->clock);
  waiter_t *waiter;

  LIST_REMOVE (series, link);
  if (repeater->ops->on_end != NULL)
    repeater->ops->on_end (&series->command, verdict,
                           timespec_subtract (now, series->began_at),
                           repeater->data);
  LIST_FOREACH (waiter, &series->waiters, link)
    waiter->done (verdict, waiter->data);
  talloc_free (series);
}

/* Marks the commands that COMMAND replaces; the next tick ends them.  */
static void
repeater_replace (command_repeater_t *repeater, const rank_command_t *command)
{
  struct timespec now = clock_monotonic (repeater->clock);
  series_t *series;

  LIST_FOREACH (series, &repeater->series, link)
    {
      if (series->command.epoch > command->epoch
          || series->command.fence > command->fence)
        continue;
      series->is_replaced = true;
      series->repeat_at = now;
    }
}

static series_t *
repeater_start (command_repeater_t *repeater, const rank_command_t *command)
{
  series_t *series = talloc_zero (repeater, series_t);

  if (series == NULL)
    return NULL;
  series->command = *command;
  if (command->map != NULL)
    series->command.map = placement_map_copy (series, command->map);
  series->began_at = clock_monotonic (repeater->clock);
  LIST_INIT (&series->waiters);
  repeater_replace (repeater, command);
  LIST_INSERT_HEAD (&repeater->series, series, link);
  return series;
}

/* Sends COMMAND, or joins the same one if that is in progress.  */
status_t
command_repeater_send (command_repeater_t *repeater,
                       const rank_command_t *command, rank_command_done_t done,
                       void *data)
{
  series_t *series = repeater_find (repeater, command);
  bool is_new = series == NULL;
  waiter_t *waiter;

  if (is_new)
    series = repeater_start (repeater, command);
  waiter = series == NULL ? NULL : talloc_zero (series, waiter_t);
  if (waiter == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a command");
  waiter->done = done;
  waiter->data = data;
  LIST_INSERT_HEAD (&series->waiters, waiter, link);
  series->asked_at = clock_monotonic (repeater->clock);
  if (is_new)
    series_attempt (repeater, series);
  repeater_set_timer (repeater);
  return STATUS_OK;
}

static attempt_t *
repeater_find_attempt (const command_repeater_t *repeater, uint64_t number)
{
  attempt_t *attempt;

  LIST_FOREACH (attempt, &repeater->attempts, link)
    {
      if (attempt->number == number)
        return attempt;
    }
  return NULL;
}

/* Returns whether an attempt of COMMAND has no verdict yet.  */
static bool
repeater_has_unanswered (const command_repeater_t *repeater,
                         const rank_command_t *command)
{
  const attempt_t *attempt;

  LIST_FOREACH (attempt, &repeater->attempts, link)
    {
      if (rank_command_is_same (&attempt->command, command))
        return true;
    }
  return false;
}

/* Handles the verdict of an attempt of SERIES.  */
static void
series_handle_verdict (command_repeater_t *repeater, series_t *series,
                       rank_verdict_t verdict)
{
  switch (verdict)
    {
    case RANK_OUTCOME_UNKNOWN:
      return;
    case RANK_CONFLICT:
    case RANK_UNREACHABLE:
      if (repeater_has_unanswered (repeater, &series->command))
        {
          series->is_refused = series->is_refused || verdict == RANK_CONFLICT;
          return;
        }
      break;
    default:
      break;
    }
  /* An earlier attempt may have been carried out.  */
  if (verdict == RANK_UNREACHABLE && series->attempts > 1)
    verdict = RANK_OUTCOME_UNKNOWN;
  series_finish (repeater, series, verdict);
  repeater_set_timer (repeater);
}

/* Handles the verdict of the attempt NUMBER.  It counts for the same command
   if that was sent again later.  */
void
command_repeater_handle_verdict (command_repeater_t *repeater, uint64_t number,
                                 rank_verdict_t verdict)
{
  attempt_t *attempt = repeater_find_attempt (repeater, number);
  series_t *series;

  if (attempt == NULL)
    return;
  LIST_REMOVE (attempt, link);
  if (verdict != RANK_OUTCOME_UNKNOWN && verdict != RANK_UNREACHABLE)
    answer_time_add (&repeater->answer_time,
                     timespec_subtract (clock_monotonic (repeater->clock),
                                        attempt->sent_at));
  series = repeater_find (repeater, &attempt->command);
  talloc_free (attempt);
  if (series != NULL)
    series_handle_verdict (repeater, series, verdict);
}

/* Sends SERIES again, or ends it.  */
static void
series_tick (command_repeater_t *repeater, series_t *series)
{
  struct timespec now = clock_monotonic (repeater->clock);

  if (series->is_replaced
      || timespec_to_ms (timespec_subtract (now, series->asked_at))
             >= LIFETIME_MS)
    {
      series_finish (repeater, series, RANK_OUTCOME_UNKNOWN);
      return;
    }
  if (series->is_refused)
    {
      series_finish (repeater, series, RANK_CONFLICT);
      return;
    }
  if (repeater->ops->on_repeat != NULL)
    repeater->ops->on_repeat (&series->command, series->attempts,
                              timespec_subtract (now, series->sent_at),
                              repeater->data);
  series_attempt (repeater, series);
}

static series_t *
repeater_find_due (const command_repeater_t *repeater, struct timespec now)
{
  series_t *series;

  LIST_FOREACH (series, &repeater->series, link)
    {
      if (timespec_compare (series->repeat_at, now) <= 0)
        return series;
    }
  return NULL;
}

/* Sends what is due again, and ends what nobody asks for.  The callbacks may
   send other commands meanwhile.  */
void
command_repeater_tick (command_repeater_t *repeater)
{
  struct timespec now = clock_monotonic (repeater->clock);
  series_t *series;

  while ((series = repeater_find_due (repeater, now)) != NULL)
    series_tick (repeater, series);
  repeater_set_timer (repeater);
}
