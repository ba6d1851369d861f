#include "common/suspect_history.h"

enum
{
  CRASH_MEMORY_MS = 600000, /* older crashes are forgotten */
  /* Crashes closer to each other may have the same cause: replicas that share
     a power supply or a group crash together.  */
  SAME_CAUSE_MS = 300,
  /* Scores from which on a segment is quarantined.  One that has been answered
     before is more likely to be in use at a crash by chance.  */
  SCORE_LIMIT = 4,
  SCORE_LIMIT_ANSWERED = 8,
  QUARANTINE_MIN_MS = 30000,
  QUARANTINE_MAX_MS = 240000,
  PROBE_MS = 2000 /* a response begins within this time, or not at all */
};

static int64_t
ms_between (struct timespec from, struct timespec to)
{
  return timespec_to_ms (timespec_subtract (to, from));
}

/* Return whether an upstream has ever answered a prompt with the segment.  */
bool
suspect_history_was_answered (const suspect_history_t *history)
{
  return !timespec_is_zero (history->answered_at);
}

/* Forget the crash at INDEX.  */
static void
history_drop_crash (suspect_history_t *history, unsigned index)
{
  for (unsigned i = index + 1; i < history->crash_count; i++)
    history->crashes[i - 1] = history->crashes[i];
  history->crash_count--;
}

/* Insert CRASH by its time.  The oldest crash is dropped if there is no
   room.  */
static void
history_insert_crash (suspect_history_t *history, const segment_crash_t *crash)
{
  unsigned index;

  if (history->crash_count == SUSPECT_MAX_CRASHES)
    history_drop_crash (history, 0);
  index = history->crash_count++;
  while (index > 0
         && timespec_compare (history->crashes[index - 1].at, crash->at) > 0)
    {
      history->crashes[index] = history->crashes[index - 1];
      index--;
    }
  history->crashes[index] = *crash;
}

/* Return whether CRASH counts as the same as KNOWN.  A segment that is often
   used is in use at each of several crashes at once by chance.  That does not
   hold for one that was never answered and that a response was begun for.  */
static bool
history_is_same_crash (const suspect_history_t *history,
                       const segment_crash_t *known,
                       const segment_crash_t *crash)
{
  int64_t apart_ms = ms_between (known->at, crash->at);

  if (known->id == crash->id)
    return true;
  if (crash->weight == SUSPECT_BEGUN
      && !suspect_history_was_answered (history))
    return false;
  return apart_ms > -SAME_CAUSE_MS && apart_ms < SAME_CAUSE_MS;
}

/* Return whether CRASH says nothing about the segment any more: an answer
   came later, or there is no room for one that is older than all others.  */
static bool
history_is_past (const suspect_history_t *history,
                 const segment_crash_t *crash)
{
  return timespec_compare (crash->at, history->answered_at) <= 0
         || (history->crash_count == SUSPECT_MAX_CRASHES
             && timespec_compare (crash->at, history->crashes[0].at) < 0);
}

/* Add CRASH, unless it is in the past.  */
bool
suspect_history_add_crash (suspect_history_t *history,
                           const segment_crash_t *crash)
{
  if (history_is_past (history, crash))
    return false;
  for (unsigned i = 0; i < history->crash_count; i++)
    {
      if (!history_is_same_crash (history, &history->crashes[i], crash))
        continue;
      if (history->crashes[i].weight >= crash->weight)
        return false;
      history->crashes[i].weight = crash->weight;
      return true;
    }
  history_insert_crash (history, crash);
  return true;
}

/* Forget the crashes before the last answer and those too long ago.  */
bool
suspect_history_forget (suspect_history_t *history, struct timespec now)
{
  bool is_changed = false;

  while (
      history->crash_count > 0
      && (timespec_compare (history->crashes[0].at, history->answered_at) <= 0
          || ms_between (history->crashes[0].at, now) > CRASH_MEMORY_MS))
    {
      history_drop_crash (history, 0);
      is_changed = true;
    }
  return is_changed;
}

/* Return how strongly the segment is suspected.  */
segment_score_t
suspect_history_score (const suspect_history_t *history)
{
  segment_score_t score = { .limit = suspect_history_was_answered (history)
                                         ? SCORE_LIMIT_ANSWERED
                                         : SCORE_LIMIT };

  for (unsigned i = 0; i < history->crash_count; i++)
    {
      if (score.sum >= score.limit)
        score.surplus++;
      score.sum += history->crashes[i].weight;
      score.last_crash = history->crashes[i].at;
    }
  return score;
}

/* Return the end of the quarantine of a segment with SCORE.  */
static struct timespec
score_quarantine_end (const segment_score_t *score)
{
  int64_t duration_ms = QUARANTINE_MIN_MS;

  for (unsigned i = 0; i < score->surplus && duration_ms < QUARANTINE_MAX_MS;
       i++)
    duration_ms *= 2;
  return timespec_add (score->last_crash, timespec_from_ms (duration_ms));
}

/* Return whether requests with the segment may be sent only one at a time, as
   probes: its score has reached the limit, or it is suspected and was never
   answered.  */
bool
suspect_history_needs_probe (const suspect_history_t *history)
{
  segment_score_t score = suspect_history_score (history);

  return score.sum >= score.limit
         || (score.sum > 0 && !suspect_history_was_answered (history));
}

/* Return whether a request with the segment may be sent at NOW, and set
 *RETRY_AFTER to the rest of its quarantine.  */
suspect_verdict_t
suspect_history_check (const suspect_history_t *history, struct timespec now,
                       struct timespec *retry_after)
{
  segment_score_t score = suspect_history_score (history);

  if (!suspect_history_needs_probe (history))
    return SUSPECT_ADMITTED;
  if (score.sum >= score.limit)
    {
      *retry_after = timespec_subtract (score_quarantine_end (&score), now);
      if (timespec_to_us (*retry_after) > 0)
        return SUSPECT_QUARANTINED;
    }
  if (!timespec_is_zero (history->probed_at)
      && ms_between (history->probed_at, now) < PROBE_MS
      && timespec_compare (score.last_crash, history->probed_at) <= 0)
    return SUSPECT_PROBED;
  return SUSPECT_ADMITTED;
}

/* Return the time AGE_MS before NOW, zero for SUSPECT_NEVER.  */
static struct timespec
time_from_age (struct timespec now, int64_t age_ms)
{
  if (age_ms < 0)
    return (struct timespec){ 0, 0 };
  return timespec_subtract (now, timespec_from_ms (age_ms));
}

static int64_t
age_of (struct timespec now, struct timespec then)
{
  int64_t age_ms = ms_between (then, now);

  if (timespec_is_zero (then))
    return SUSPECT_NEVER;
  return age_ms < 0 ? 0 : age_ms;
}

/* Set *KNOWN to THEN if that is later.  */
static void
set_later (struct timespec *known, struct timespec then)
{
  if (timespec_compare (then, *known) > 0)
    *known = then;
}

/* Set *RECORD to what is known of the segment at NOW.  */
void
suspect_history_to_record (const suspect_history_t *history,
                           struct timespec now, suspect_record_t *record)
{
  *record = (suspect_record_t){
    .segment = history->segment,
    .answered_age_ms = age_of (now, history->answered_at),
    .probe_age_ms = age_of (now, history->probed_at),
    .crash_count = history->crash_count,
  };
  for (unsigned i = 0; i < history->crash_count; i++)
    record->crashes[i]
        = (suspect_crash_t){ .id = history->crashes[i].id,
                             .age_ms = age_of (now, history->crashes[i].at),
                             .weight = history->crashes[i].weight };
}

static bool
history_merge_crashes (suspect_history_t *history,
                       const suspect_record_t *record, struct timespec now)
{
  bool is_changed = false;

  for (unsigned i = 0; i < record->crash_count; i++)
    {
      segment_crash_t crash
          = { .id = record->crashes[i].id,
              .at = time_from_age (now, record->crashes[i].age_ms),
              .weight = record->crashes[i].weight };

      if (record->crashes[i].age_ms < CRASH_MEMORY_MS
          && suspect_history_add_crash (history, &crash))
        is_changed = true;
    }
  return is_changed;
}

/* Merge RECORD, what another process knows.  */
bool
suspect_history_merge (suspect_history_t *history,
                       const suspect_record_t *record, struct timespec now)
{
  struct timespec probed_at = time_from_age (now, record->probe_age_ms);
  bool is_changed = !suspect_history_was_answered (history)
                    && record->answered_age_ms != SUSPECT_NEVER;

  set_later (&history->answered_at,
             time_from_age (now, record->answered_age_ms));
  is_changed = suspect_history_forget (history, now) || is_changed;
  is_changed = history_merge_crashes (history, record, now) || is_changed;
  /* The age of a probe differs a little on each way that it comes.  */
  is_changed = is_changed
               || ms_between (history->probed_at, probed_at) > SAME_CAUSE_MS;
  set_later (&history->probed_at, probed_at);
  return is_changed;
}
