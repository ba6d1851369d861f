#include "common/suspects.h"

#include "common/suspect_table.h"
#include "kernel/counter.h"
#include "kernel/log.h"

enum
{
  /* Segments of one prompt that are added at a time.  The rest of a longer
     prompt is not remembered; those that are known already always count.  */
  MAX_ADDED_BY_ANSWER = 64,
  MAX_ADDED_BY_CRASH = 256
};

COUNTER_DEFINE (quarantines, "siskin_suspects_quarantined_total",
                "Prompt segments that were quarantined for crashes");

/* Log that SUSPECT is suspected of another crash.  SOURCE says who told.  */
static void
suspect_log (suspect_t *suspect, const char *source)
{
  segment_score_t score = suspect_history_score (&suspect->history);
  bool is_proved = score.sum >= score.limit;

  log_event (LOG_LEVEL_NOTICE, "segment-suspected",
             "segment=%llx crashes=%u crash=%llx progress=%llu score=%u "
             "limit=%u source=%s",
             (unsigned long long)suspect->history.segment, score.crashes,
             (unsigned long long)score.last_crash_id,
             (unsigned long long)score.last_progress, score.sum, score.limit,
             source);
  if (is_proved && !suspect->is_counted)
    counter_add (&quarantines, 1);
  suspect->is_counted = is_proved;
}

/* Return whether a crash with the EVIDENCE says anything about SUSPECT.  One
   that has been answered before is in use at many crashes by chance, so it is
   suspected only if a response to it had just begun.  */
static bool
suspect_is_concerned (const suspect_t *suspect,
                      const crash_evidence_t *evidence)
{
  return !suspect_history_was_answered (&suspect->history)
         || crash_evidence_is_early (evidence);
}

/* Record that an upstream crashed that was busy with a request with the COUNT
   SEGMENTS.  Of a prompt with more new segments than are added at a time,
   others are added at each crash.  */
bool
suspects_record_crash (suspects_t *suspects, const crash_evidence_t *evidence,
                       const uint64_t *segments, unsigned count)
{
  unsigned room = MAX_ADDED_BY_CRASH;
  bool is_update = false;

  table_lock (suspects->table);
  for (unsigned i = 0; i < count; i++)
    {
      uint64_t segment = segments[(i + evidence->crash % count) % count];
      suspect_t *suspect = suspect_find_or_add (suspects, segment, &room);

      if (suspect == NULL || !suspect_is_concerned (suspect, evidence)
          || !suspect_history_add_crash (&suspect->history, evidence))
        continue;
      suspect_relink (suspects, suspect);
      suspect_log (suspect, "own");
      suspect_set_updated (suspects, suspect);
      is_update = true;
    }
  suspects_trim (suspects);
  table_unlock (suspects->table);
  return is_update;
}

static void
suspect_log_cleared (const suspect_t *suspect, const char *reason)
{
  log_event (LOG_LEVEL_NOTICE, "segment-cleared", "segment=%llx reason=%s",
             (unsigned long long)suspect->history.segment, reason);
}

/* Record that a request with the COUNT SEGMENTS got as far as PROGRESS.  */
bool
suspects_record_progress (suspects_t *suspects, uint64_t progress,
                          const uint64_t *segments, unsigned count)
{
  bool is_update = false;

  table_lock (suspects->table);
  for (unsigned i = 0; i < count && suspects_has_any (suspects); i++)
    {
      suspect_t *suspect = suspect_find (suspects, segments[i]);

      if (suspect == NULL
          || !suspect_history_record_progress (&suspect->history, progress))
        continue;
      suspect_relink (suspects, suspect);
      suspect_log_cleared (suspect, "progress");
      suspect_set_updated (suspects, suspect);
      is_update = true;
    }
  table_unlock (suspects->table);
  return is_update;
}

/* An upstream has answered a request with SUSPECT whole at NOW.  Returns
   whether that clears it of a crash.  */
static bool
suspect_record_answer (suspects_t *suspects, suspect_t *suspect,
                       struct timespec now)
{
  bool is_cleared;

  suspect->is_shared = suspect_history_was_answered (&suspect->history);
  suspect->history.answered_at = now;
  is_cleared = suspect_history_forget (&suspect->history, now);
  suspect_relink (suspects, suspect);
  if (is_cleared)
    suspect_log_cleared (suspect, "answered");
  return is_cleared;
}

/* Record that an upstream has answered a request with the COUNT SEGMENTS
   whole.  */
bool
suspects_record_answer (suspects_t *suspects, const uint64_t *segments,
                        unsigned count)
{
  struct timespec now = clock_monotonic (suspects->clock);
  unsigned room = MAX_ADDED_BY_ANSWER;
  bool is_update = false;

  table_lock (suspects->table);
  for (unsigned i = 0; i < count; i++)
    {
      suspect_t *suspect = suspect_find_or_add (suspects, segments[i], &room);

      if (suspect == NULL || !suspect_record_answer (suspects, suspect, now))
        continue;
      suspect_set_updated (suspects, suspect);
      is_update = true;
    }
  suspects_trim (suspects);
  table_unlock (suspects->table);
  return is_update;
}

/* Return whether the crash ID says more against A than against B.  If it says
   the same, the one with the higher score is more suspicious.  */
static bool
suspect_is_likelier (const suspect_t *a, const suspect_t *b, uint64_t id)
{
  unsigned weight_a = suspect_history_crash_weight (&a->history, id);
  unsigned weight_b = suspect_history_crash_weight (&b->history, id);

  if (weight_a != weight_b)
    return weight_a > weight_b;
  return weight_a > 0
         && suspect_history_score (&a->history).sum
                > suspect_history_score (&b->history).sum;
}

/* Return whether the crash ID of SUSPECT is explained: another segment is
   proved to cause crashes and is likelier to have caused this one.  */
static bool
suspects_explain_crash (const suspects_t *suspects, const suspect_t *suspect,
                        uint64_t id)
{
  const suspect_t *proved;

  TAILQ_FOREACH (proved, &suspects->lists[LIST_PROVED], link)
    {
      if (proved != suspect && suspect_is_likelier (proved, suspect, id))
        return true;
    }
  return false;
}

/* Return the history of SUSPECT without the crashes that other segments
   explain.  */
static suspect_history_t
suspect_unexplained (const suspects_t *suspects, const suspect_t *suspect)
{
  suspect_history_t history = suspect->history;
  unsigned i = 0;

  while (i < history.crash_count)
    {
      uint64_t id = history.crashes[i].evidence.crash;

      if (suspects_explain_crash (suspects, suspect, id))
        suspect_history_drop_crash (&history, i);
      else
        i++;
    }
  return history;
}

/* Record that a request with the COUNT SEGMENTS is sent: it probes those that
   need it.  */
bool
suspects_record_sent (suspects_t *suspects, const uint64_t *segments,
                      unsigned count)
{
  bool is_update = false;

  table_lock (suspects->table);
  for (unsigned i = 0; i < count && suspects_has_any (suspects); i++)
    {
      suspect_t *suspect = suspect_find (suspects, segments[i]);

      if (suspect == NULL || !suspect_history_needs_probe (&suspect->history))
        continue;
      suspect->history.probed_at = clock_monotonic (suspects->clock);
      suspect_set_updated (suspects, suspect);
      is_update = true;
    }
  table_unlock (suspects->table);
  return is_update;
}

/* Return whether a request with SUSPECT may be sent at NOW, and why.  */
static suspect_finding_t
suspect_check (suspects_t *suspects, suspect_t *suspect, struct timespec now)
{
  suspect_finding_t finding = { .segment = suspect->history.segment };
  suspect_history_t history;
  segment_score_t score;

  if (suspect_history_forget (&suspect->history, now))
    suspect_relink (suspects, suspect);
  history = suspect_unexplained (suspects, suspect);
  score = suspect_history_score (&history);
  finding.verdict
      = suspect_history_check (&history, now, &finding.retry_after);
  finding.crash_count = score.crashes;
  finding.last_crash = score.last_crash_id;
  return finding;
}

/* Return whether A is a stronger reason than B not to send a request.  */
static bool
finding_is_worse (const suspect_finding_t *a, const suspect_finding_t *b)
{
  if (a->verdict != b->verdict)
    return a->verdict > b->verdict;
  return timespec_compare (a->retry_after, b->retry_after) > 0;
}

/* Return whether a request with the COUNT SEGMENTS may be sent.  */
suspect_finding_t
suspects_check (suspects_t *suspects, const uint64_t *segments, unsigned count)
{
  struct timespec now = clock_monotonic (suspects->clock);
  suspect_finding_t worst = { .verdict = SUSPECT_ADMITTED };

  table_lock (suspects->table);
  for (unsigned i = 0; i < count && suspects_has_any (suspects); i++)
    {
      suspect_t *suspect = suspect_find (suspects, segments[i]);
      suspect_finding_t finding;

      if (suspect == NULL || suspect->history.crash_count == 0)
        continue;
      finding = suspect_check (suspects, suspect, now);
      if (finding_is_worse (&finding, &worst))
        worst = finding;
    }
  table_unlock (suspects->table);
  return worst;
}

/* Return whether a segment of the COUNT ones would be proved to cause crashes
   if EVIDENCE were a crash.  */
bool
suspects_would_prove (suspects_t *suspects, const crash_evidence_t *evidence,
                      const uint64_t *segments, unsigned count)
{
  bool is_proved = false;

  table_lock (suspects->table);
  for (unsigned i = 0; i < count && suspects_has_any (suspects); i++)
    {
      const suspect_t *suspect = suspect_find (suspects, segments[i]);
      suspect_history_t history;

      if (suspect == NULL || !suspect_is_concerned (suspect, evidence))
        continue;
      history = suspect_unexplained (suspects, suspect);
      suspect_history_add_crash (&history, evidence);
      is_proved = is_proved || suspect_history_is_proved (&history);
    }
  table_unlock (suspects->table);
  return is_proved;
}

/* Merge RECORD into SUSPECT.  Returns whether anything has
   changed.  */
static bool
suspect_merge (suspects_t *suspects, suspect_t *suspect,
               const suspect_record_t *record, struct timespec now)
{
  unsigned crashes = suspect_history_score (&suspect->history).crashes;
  bool is_changed;

  /* The sender has a lower limit for the score if it does not know this.  */
  if (suspect_history_was_answered (&suspect->history)
      && record->answered_age_ms == SUSPECT_NEVER)
    suspect_set_updated (suspects, suspect);
  is_changed = suspect_history_merge (&suspect->history, record, now);
  suspect_relink (suspects, suspect);
  if (suspect_history_score (&suspect->history).crashes > crashes)
    suspect_log (suspect, "peer");
  return is_changed;
}

/* Merge *RECORD, what another process knows.  Returns whether anything has
   changed here, and then sets *RECORD to the sum.  */
bool
suspects_merge (suspects_t *suspects, suspect_record_t *record)
{
  struct timespec now = clock_monotonic (suspects->clock);
  unsigned room = 1;
  suspect_t *suspect;
  bool is_changed;

  table_lock (suspects->table);
  suspect = suspect_find_or_add (suspects, record->segment, &room);
  is_changed
      = suspect != NULL && suspect_merge (suspects, suspect, record, now);
  if (is_changed)
    suspect_history_to_record (&suspect->history, now, record);
  suspects_trim (suspects);
  table_unlock (suspects->table);
  return is_changed;
}
