#include "common/suspect_history.h"

enum
{
  CRASH_MEMORY_MS = 600000, /* older crashes are forgotten */
  /* Crashes closer to each other may have the same cause: replicas that share
     a power supply or a group crash together.  */
  SAME_CAUSE_MS = 300,
  /* What a crash says about a request that the upstream was busy with.  Few of
     those that share an upstream have just begun.  */
  WEIGHT_ELSEWHERE = 2,
  WEIGHT_JUST_BEGUN = 3,
  EARLY_EVENTS = 4, /* a response with more of them did not just begin */
  /* Scores from which on a segment is quarantined.  One that has been answered
     before is more likely to be in use at a crash by chance.  */
  SCORE_LIMIT = 6,
  SCORE_LIMIT_ANSWERED = 12,
  /* An attempt got clearly further than another if its progress is above that
     of the other times PROGRESS_FACTOR plus PROGRESS_MARGIN: the last events
     before a crash may be lost on the way.  */
  PROGRESS_FACTOR = 2,
  PROGRESS_MARGIN = 3,
  QUARANTINE_MIN_MS = 30000,
  QUARANTINE_MAX_MS = 240000,
  PROBE_MS = 2000 /* a response begins within this time, or not at all */
};

static int64_t
ms_between (struct timespec from, struct timespec to)
{
  return timespec_to_ms (timespec_subtract (to, from));
}

/* Return whether an upstream has ever answered a request with the segment
   whole.  */
bool
suspect_history_was_answered (const suspect_history_t *history)
{
  return !timespec_is_zero (history->answered_at);
}

/* Return whether a response had begun shortly before the crash.  */
bool
crash_evidence_is_early (const crash_evidence_t *evidence)
{
  return evidence->progress >= PROGRESS_BEGUN
         && evidence->progress <= PROGRESS_BEGUN + EARLY_EVENTS;
}

static unsigned
evidence_weight (const crash_evidence_t *evidence)
{
  return crash_evidence_is_early (evidence) ? WEIGHT_JUST_BEGUN
                                            : WEIGHT_ELSEWHERE;
}

/* Return how much the crash ID says against the segment, 0 if it is unknown or
   refuted.  */
unsigned
suspect_history_crash_weight (const suspect_history_t *history, uint64_t id)
{
  for (unsigned i = 0; i < history->crash_count; i++)
    {
      const segment_crash_t *crash = &history->crashes[i];

      if (crash->evidence.crash == id)
        return crash->is_refuted ? 0 : evidence_weight (&crash->evidence);
    }
  return 0;
}

/* Forget the crash at INDEX.  */
void
suspect_history_drop_crash (suspect_history_t *history, unsigned index)
{
  for (unsigned i = index + 1; i < history->crash_count; i++)
    history->crashes[i - 1] = history->crashes[i];
  history->crash_count--;
}

/* Insert EVIDENCE by its time.  The oldest crash is dropped if there is no
   room.  */
static void
history_insert_crash (suspect_history_t *history,
                      const crash_evidence_t *evidence)
{
  unsigned index;

  if (history->crash_count == SUSPECT_MAX_CRASHES)
    suspect_history_drop_crash (history, 0);
  index = history->crash_count++;
  while (index > 0
         && timespec_compare (history->crashes[index - 1].evidence.at,
                              evidence->at)
                > 0)
    {
      history->crashes[index] = history->crashes[index - 1];
      index--;
    }
  history->crashes[index] = (segment_crash_t){ .evidence = *evidence };
}

/* Return whether EVIDENCE counts as the crash KNOWN.  A segment that is often
   used is in use at each of several crashes at once by chance.  That does not
   hold for one that was never answered and that a response had just begun for,
   or that was sent after the other crash.  */
static bool
history_is_same_crash (const suspect_history_t *history,
                       const segment_crash_t *known,
                       const crash_evidence_t *evidence)
{
  int64_t apart_ms = ms_between (known->evidence.at, evidence->at);

  if (known->evidence.crash == evidence->crash)
    return true;
  if (!suspect_history_was_answered (history)
      && (crash_evidence_is_early (evidence) || evidence->is_repeat))
    return false;
  return apart_ms > -SAME_CAUSE_MS && apart_ms < SAME_CAUSE_MS;
}

/* Return whether EVIDENCE says nothing about the segment any more: an answer
   came later, or there is no room for one that is older than all others.  */
static bool
history_is_past (const suspect_history_t *history,
                 const crash_evidence_t *evidence)
{
  return timespec_compare (evidence->at, history->answered_at) <= 0
         || (history->crash_count == SUSPECT_MAX_CRASHES
             && timespec_compare (evidence->at,
                                  history->crashes[0].evidence.at)
                    < 0);
}

/* Return the entry that EVIDENCE counts as, or NULL.  */
static segment_crash_t *
history_find_same_crash (suspect_history_t *history,
                         const crash_evidence_t *evidence)
{
  for (unsigned i = 0; i < history->crash_count; i++)
    {
      if (history_is_same_crash (history, &history->crashes[i], evidence))
        return &history->crashes[i];
    }
  return NULL;
}

/* Add EVIDENCE, unless it is in the past.  Of several attempts with the
   segment at the same crash the one that got furthest counts.  */
bool
suspect_history_add_crash (suspect_history_t *history,
                           const crash_evidence_t *evidence)
{
  segment_crash_t *known;
  bool is_changed;

  if (history_is_past (history, evidence))
    return false;
  known = history_find_same_crash (history, evidence);
  if (known == NULL)
    {
      history_insert_crash (history, evidence);
      return true;
    }
  is_changed = evidence->progress > known->evidence.progress
               || (evidence->is_repeat && !known->evidence.is_repeat);
  if (evidence->progress > known->evidence.progress)
    known->evidence.progress = evidence->progress;
  known->evidence.is_repeat |= evidence->is_repeat;
  return is_changed;
}

/* An attempt with the segment got as far as PROGRESS: that clears it of the
   crashes of attempts that had got less far.  */
bool
suspect_history_record_progress (suspect_history_t *history, uint64_t progress)
{
  bool is_changed = false;

  for (unsigned i = 0; i < history->crash_count; i++)
    {
      segment_crash_t *crash = &history->crashes[i];

      if (crash->is_refuted
          || progress <= PROGRESS_FACTOR * crash->evidence.progress
                             + PROGRESS_MARGIN)
        continue;
      crash->is_refuted = true;
      is_changed = true;
    }
  return is_changed;
}

/* Forget the crashes before the last answer and those too long ago.  */
bool
suspect_history_forget (suspect_history_t *history, struct timespec now)
{
  bool is_changed = false;

  while (history->crash_count > 0
         && (timespec_compare (history->crashes[0].evidence.at,
                               history->answered_at)
                 <= 0
             || ms_between (history->crashes[0].evidence.at, now)
                    > CRASH_MEMORY_MS))
    {
      suspect_history_drop_crash (history, 0);
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
      const crash_evidence_t *evidence = &history->crashes[i].evidence;

      if (history->crashes[i].is_refuted)
        continue;
      if (score.sum >= score.limit)
        score.surplus++;
      score.sum += evidence_weight (evidence);
      score.crashes++;
      score.last_crash = evidence->at;
      score.last_crash_id = evidence->crash;
      score.last_progress = evidence->progress;
    }
  return score;
}

/* Return whether the score of the segment has reached its limit.  */
bool
suspect_history_is_proved (const suspect_history_t *history)
{
  segment_score_t score = suspect_history_score (history);

  return score.sum >= score.limit;
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
   probes: its score has reached the limit, or it was never answered and more
   than a crash that any request could have met is against it.  */
bool
suspect_history_needs_probe (const suspect_history_t *history)
{
  segment_score_t score = suspect_history_score (history);

  return score.sum >= score.limit
         || (score.sum >= WEIGHT_JUST_BEGUN
             && !suspect_history_was_answered (history));
}

/* Return whether a request with the segment may be sent at NOW, and set
 *RETRY_AFTER to the rest of its quarantine.  */
suspect_verdict_t
suspect_history_check (const suspect_history_t *history, struct timespec now,
                       struct timespec *retry_after)
{
  segment_score_t score = suspect_history_score (history);

  *retry_after = (struct timespec){ 0, 0 };
  if (!suspect_history_needs_probe (history))
    return SUSPECT_ADMITTED;
  if (score.sum >= score.limit)
    {
      struct timespec left
          = timespec_subtract (score_quarantine_end (&score), now);

      if (timespec_to_us (left) > 0)
        {
          *retry_after = left;
          return SUSPECT_QUARANTINED;
        }
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
    {
      const crash_evidence_t *evidence = &history->crashes[i].evidence;

      record->crashes[i]
          = (suspect_crash_t){ .id = evidence->crash,
                               .age_ms = age_of (now, evidence->at),
                               .progress = evidence->progress,
                               .is_repeat = evidence->is_repeat,
                               .is_refuted = history->crashes[i].is_refuted };
    }
}

/* Clear the segment of the crash that EVIDENCE counts as.  Returns whether it
   was suspected of it.  */
static bool
history_refute_crash (suspect_history_t *history,
                      const crash_evidence_t *evidence)
{
  segment_crash_t *known = history_find_same_crash (history, evidence);

  if (known == NULL || known->is_refuted)
    return false;
  known->is_refuted = true;
  return true;
}

static bool
history_merge_crashes (suspect_history_t *history,
                       const suspect_record_t *record, struct timespec now)
{
  bool is_changed = false;

  for (unsigned i = 0; i < record->crash_count; i++)
    {
      const suspect_crash_t *crash = &record->crashes[i];
      crash_evidence_t evidence = { .crash = crash->id,
                                    .at = time_from_age (now, crash->age_ms),
                                    .progress = crash->progress,
                                    .is_repeat = crash->is_repeat };

      if (crash->age_ms >= CRASH_MEMORY_MS)
        continue;
      is_changed
          = suspect_history_add_crash (history, &evidence) || is_changed;
      if (crash->is_refuted)
        is_changed = history_refute_crash (history, &evidence) || is_changed;
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
