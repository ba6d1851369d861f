#include "common/suspects.h"

#include "common/suspect_history.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "kernel/table.h"

enum
{
  MAX_ANSWERED = 4096, /* segments that are not suspected */
  MAX_SUSPECTED = 128
};

COUNTER_DEFINE (quarantines, "siskin_suspects_quarantined_total",
                "Prompt segments that were quarantined for crashes");
GAUGE_DEFINE (suspected_gauge, "siskin_suspects",
              "Prompt segments suspected of crashes");

typedef struct suspect
{
  table_node_t node;
  TAILQ_ENTRY (suspect) link; /* in ANSWERED or SUSPECTED */
  TAILQ_ENTRY (suspect) update_link;
  suspect_history_t history;
  bool is_update;  /* it is in UPDATES */
  bool is_counted; /* its quarantine, in the metrics */
} suspect_t;

TAILQ_HEAD (suspect_list, suspect);

struct suspects
{
  const clock_source_t *clock;
  table_t *table; /* by segment; its lock protects everything */
  /* Least recently used first.  */
  struct suspect_list answered; /* without crashes */
  unsigned answered_count;
  struct suspect_list suspected; /* with crashes */
  unsigned suspected_count;
  struct suspect_list updates;
};

/* Create an empty table.  Returns NULL when memory is exhausted.  */
suspects_t *
suspects_create (TALLOC_CTX *parent, const clock_source_t *clock)
{
  suspects_t *suspects = talloc_zero (parent, suspects_t);

  if (suspects == NULL)
    return NULL;
  suspects->clock = clock;
  suspects->table = table_create (suspects, LOCK_SUSPECTS, "suspects");
  TAILQ_INIT (&suspects->answered);
  TAILQ_INIT (&suspects->suspected);
  TAILQ_INIT (&suspects->updates);
  return suspects;
}

/* Free SUSPECTS.  */
void
suspects_destroy (suspects_t *suspects)
{
  talloc_free (suspects);
}

static suspect_t *
suspect_find (const suspects_t *suspects, uint64_t segment)
{
  table_node_t *node = table_find (suspects->table, &segment, sizeof segment);

  return node == NULL ? NULL : CONTAINER_OF (node, suspect_t, node);
}

static void
suspect_unlink (suspects_t *suspects, suspect_t *suspect)
{
  if (suspect->history.crash_count > 0)
    {
      TAILQ_REMOVE (&suspects->suspected, suspect, link);
      suspects->suspected_count--;
    }
  else
    {
      TAILQ_REMOVE (&suspects->answered, suspect, link);
      suspects->answered_count--;
    }
}

/* Insert SUSPECT as the most recently used of the list that it belongs to.  */
static void
suspect_link (suspects_t *suspects, suspect_t *suspect)
{
  if (suspect->history.crash_count > 0)
    {
      TAILQ_INSERT_TAIL (&suspects->suspected, suspect, link);
      suspects->suspected_count++;
    }
  else
    {
      TAILQ_INSERT_TAIL (&suspects->answered, suspect, link);
      suspects->answered_count++;
    }
  counter_set (&suspected_gauge, suspects->suspected_count);
}

static void
suspect_free (suspects_t *suspects, suspect_t *suspect)
{
  suspect_unlink (suspects, suspect);
  if (suspect->is_update)
    TAILQ_REMOVE (&suspects->updates, suspect, update_link);
  table_remove (suspects->table, &suspect->node);
  talloc_free (suspect);
}

/* Forget the least recently used segments beyond the limits.  */
static void
suspects_trim (suspects_t *suspects)
{
  while (suspects->answered_count > MAX_ANSWERED)
    suspect_free (suspects, TAILQ_FIRST (&suspects->answered));
  while (suspects->suspected_count > MAX_SUSPECTED)
    suspect_free (suspects, TAILQ_FIRST (&suspects->suspected));
}

static suspect_t *
suspect_find_or_add (suspects_t *suspects, uint64_t segment)
{
  suspect_t *suspect = suspect_find (suspects, segment);

  if (suspect != NULL)
    return suspect;
  suspect = talloc_zero (suspects, suspect_t);
  if (suspect == NULL)
    return NULL;
  suspect->history.segment = segment;
  if (table_insert (suspects->table, &suspect->node, &suspect->history.segment,
                    sizeof suspect->history.segment)
      != STATUS_OK)
    {
      talloc_free (suspect);
      return NULL;
    }
  suspect_link (suspects, suspect);
  return suspect;
}

static void
suspect_set_updated (suspects_t *suspects, suspect_t *suspect)
{
  if (suspect->is_update)
    return;
  suspect->is_update = true;
  TAILQ_INSERT_TAIL (&suspects->updates, suspect, update_link);
}

static void
suspect_log (suspect_t *suspect)
{
  segment_score_t score = suspect_history_score (&suspect->history);
  bool is_proved = score.sum >= score.limit;

  log_event (LOG_LEVEL_NOTICE, "segment-suspected",
             "segment=%llx crashes=%u score=%llu limit=%llu",
             (unsigned long long)suspect->history.segment,
             suspect->history.crash_count, (unsigned long long)score.sum,
             (unsigned long long)score.limit);
  if (is_proved && !suspect->is_counted)
    counter_add (&quarantines, 1);
  suspect->is_counted = is_proved;
}

/* Add CRASH to SUSPECT.  Returns whether it was not known.  */
static bool
suspect_add_crash (suspects_t *suspects, suspect_t *suspect,
                   const segment_crash_t *crash)
{
  bool is_new;

  if (crash->weight == SUSPECT_QUEUED
      && suspect_history_was_answered (&suspect->history))
    return false;
  suspect_unlink (suspects, suspect);
  is_new = suspect_history_add_crash (&suspect->history, crash);
  suspect_link (suspects, suspect);
  return is_new;
}

/* Record that an upstream crashed at the monotonic time AT that had a prompt
   with the COUNT SEGMENTS.  A segment that has been answered before is not
   suspected for a prompt that was only queued.  */
bool
suspects_record_crash (suspects_t *suspects, uint64_t crash,
                       struct timespec at, const uint64_t *segments,
                       unsigned count, suspect_weight_t weight)
{
  segment_crash_t entry = { .id = crash, .at = at, .weight = weight };
  bool is_update = false;

  table_lock (suspects->table);
  for (unsigned i = 0; i < count; i++)
    {
      suspect_t *suspect = suspect_find_or_add (suspects, segments[i]);

      if (suspect == NULL || !suspect_add_crash (suspects, suspect, &entry))
        continue;
      suspect_log (suspect);
      suspect_set_updated (suspects, suspect);
      is_update = true;
    }
  suspects_trim (suspects);
  table_unlock (suspects->table);
  return is_update;
}

/* An upstream has answered a prompt with SUSPECT at NOW.  Returns whether that
   clears it of a crash.  */
static bool
suspect_record_answer (suspects_t *suspects, suspect_t *suspect,
                       struct timespec now)
{
  bool is_cleared;

  suspect_unlink (suspects, suspect);
  suspect->history.answered_at = now;
  is_cleared = suspect_history_forget (&suspect->history, now);
  suspect_link (suspects, suspect);
  if (is_cleared)
    log_event (LOG_LEVEL_NOTICE, "segment-cleared", "segment=%llx",
               (unsigned long long)suspect->history.segment);
  return is_cleared;
}

/* Record that an upstream sends data in answer to a prompt with the COUNT
   SEGMENTS.  */
bool
suspects_record_answer (suspects_t *suspects, const uint64_t *segments,
                        unsigned count)
{
  struct timespec now = clock_monotonic (suspects->clock);
  bool is_update = false;

  table_lock (suspects->table);
  for (unsigned i = 0; i < count; i++)
    {
      suspect_t *suspect = suspect_find_or_add (suspects, segments[i]);

      if (suspect == NULL || !suspect_record_answer (suspects, suspect, now))
        continue;
      suspect_set_updated (suspects, suspect);
      is_update = true;
    }
  suspects_trim (suspects);
  table_unlock (suspects->table);
  return is_update;
}

/* Record that a prompt with the COUNT SEGMENTS is sent: it probes those that
   need it.  */
bool
suspects_record_sent (suspects_t *suspects, const uint64_t *segments,
                      unsigned count)
{
  bool is_update = false;

  table_lock (suspects->table);
  for (unsigned i = 0; i < count && suspects->suspected_count > 0; i++)
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

/* Forget crashes of SUSPECT that are too long ago.  */
static void
suspect_expire (suspects_t *suspects, suspect_t *suspect, struct timespec now)
{
  suspect_unlink (suspects, suspect);
  suspect_history_forget (&suspect->history, now);
  suspect_link (suspects, suspect);
}

/* Return whether a request whose prompt has the COUNT SEGMENTS may be sent.
   RETRY_AFTER is set if one of them is quarantined.  */
suspect_verdict_t
suspects_check (suspects_t *suspects, const uint64_t *segments, unsigned count,
                struct timespec *retry_after)
{
  struct timespec now = clock_monotonic (suspects->clock);
  suspect_verdict_t worst = SUSPECT_ADMITTED;

  table_lock (suspects->table);
  for (unsigned i = 0; i < count && suspects->suspected_count > 0; i++)
    {
      suspect_t *suspect = suspect_find (suspects, segments[i]);
      suspect_verdict_t verdict;

      if (suspect == NULL)
        continue;
      suspect_expire (suspects, suspect, now);
      verdict = suspect_history_check (&suspect->history, now, retry_after);
      if (verdict > worst)
        worst = verdict;
    }
  table_unlock (suspects->table);
  return worst;
}

/* Merge RECORD into SUSPECT.  Returns whether anything has
   changed.  */
static bool
suspect_merge (suspects_t *suspects, suspect_t *suspect,
               const suspect_record_t *record, struct timespec now)
{
  unsigned crashes = suspect->history.crash_count;
  bool is_changed;

  /* The sender has a lower limit for the score if it does not know this.  */
  if (suspect_history_was_answered (&suspect->history)
      && record->answered_age_ms == SUSPECT_NEVER)
    suspect_set_updated (suspects, suspect);
  suspect_unlink (suspects, suspect);
  is_changed = suspect_history_merge (&suspect->history, record, now);
  suspect_link (suspects, suspect);
  if (suspect->history.crash_count > crashes)
    suspect_log (suspect);
  return is_changed;
}

/* Merge *RECORD, what another process knows.  Returns whether anything has
   changed here, and then sets *RECORD to the sum.  */
bool
suspects_merge (suspects_t *suspects, suspect_record_t *record)
{
  struct timespec now = clock_monotonic (suspects->clock);
  suspect_t *suspect;
  bool is_changed;

  table_lock (suspects->table);
  suspect = suspect_find_or_add (suspects, record->segment);
  is_changed
      = suspect != NULL && suspect_merge (suspects, suspect, record, now);
  if (is_changed)
    suspect_history_to_record (&suspect->history, now, record);
  suspects_trim (suspects);
  table_unlock (suspects->table);
  return is_changed;
}

/* Take a record that has changed since it was last taken.  */
bool
suspects_take_update (suspects_t *suspects, suspect_record_t *record)
{
  suspect_t *suspect;

  table_lock (suspects->table);
  suspect = TAILQ_FIRST (&suspects->updates);
  if (suspect != NULL)
    {
      TAILQ_REMOVE (&suspects->updates, suspect, update_link);
      suspect->is_update = false;
      suspect_history_to_record (&suspect->history,
                                 clock_monotonic (suspects->clock), record);
    }
  table_unlock (suspects->table);
  return suspect != NULL;
}

/* Return the records of the segments that other processes must know to treat
   them alike, *COUNT of them, in an array owned by PARENT.  */
suspect_record_t *
suspects_list (TALLOC_CTX *parent, suspects_t *suspects, unsigned *count)
{
  struct timespec now = clock_monotonic (suspects->clock);
  suspect_record_t *records;
  const suspect_t *suspect;

  *count = 0;
  table_lock (suspects->table);
  records = talloc_array (parent, suspect_record_t, suspects->suspected_count);
  if (records != NULL)
    TAILQ_FOREACH (suspect, &suspects->suspected, link)
      {
        if (suspect_history_needs_probe (&suspect->history))
          suspect_history_to_record (&suspect->history, now,
                                     &records[(*count)++]);
      }
  table_unlock (suspects->table);
  return records;
}
