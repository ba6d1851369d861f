#include "common/suspects.h"

#include "kernel/counter.h"
#include "kernel/log.h"
#include "kernel/table.h"

enum
{
  MAX_ANSWERED = 4096, /* segments that are not suspected */
  MAX_SUSPECTED = 128,
  CRASH_MEMORY_MS = 600000, /* older crashes are forgotten */
  /* Crashes closer to each other count as one: replicas that share a power
     supply or a group crash together.  */
  SAME_CAUSE_MS = 300,
  /* Sums of suspect_weight_t above which a segment is quarantined.  A segment
     that has been answered before is more likely at the scene by chance.  */
  GUILT_UNKNOWN = 4,
  GUILT_ANSWERED_BEFORE = 8,
  QUARANTINE_MIN_MS = 30000,
  QUARANTINE_MAX_MS = 240000,
  TRIAL_MS = 2000 /* a response begins within this time, or not at all */
};

COUNTER_DEFINE (quarantines, "siskin_suspects_quarantined_total",
                "Prompt segments that were quarantined for crashes");
GAUGE_DEFINE (suspected_gauge, "siskin_suspects",
              "Prompt segments suspected of crashes");

typedef struct crash
{
  uint64_t id;
  struct timespec at;
  uint64_t weight;
} crash_t;

typedef struct suspect
{
  table_node_t node;
  TAILQ_ENTRY (suspect) link; /* in ANSWERED or SUSPECTED */
  TAILQ_ENTRY (suspect) news_link;
  uint64_t segment;
  struct timespec answered_at;          /* zero if never */
  struct timespec trial_at;             /* zero if never */
  crash_t crashes[SUSPECT_MAX_CRASHES]; /* oldest first */
  unsigned crash_count;
  bool is_news;
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
  struct suspect_list news;
};

/* The guilt of a segment at some time.  */
typedef struct guilt
{
  uint64_t sum;               /* of the weights of its crashes */
  bool is_proved;             /* SUM reaches the limit */
  unsigned surplus;           /* crashes beyond those that it is guilty by */
  struct timespec last_crash; /* valid if SUM is not 0 */
} guilt_t;

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
  TAILQ_INIT (&suspects->news);
  return suspects;
}

/* Free SUSPECTS.  */
void
suspects_destroy (suspects_t *suspects)
{
  talloc_free (suspects);
}

static int64_t
ms_between (struct timespec from, struct timespec to)
{
  return timespec_to_ms (timespec_subtract (to, from));
}

static bool
suspect_was_answered (const suspect_t *suspect)
{
  return !timespec_is_zero (suspect->answered_at);
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
  if (suspect->crash_count > 0)
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
  if (suspect->crash_count > 0)
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
  if (suspect->is_news)
    TAILQ_REMOVE (&suspects->news, suspect, news_link);
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
  suspect->segment = segment;
  if (table_insert (suspects->table, &suspect->node, &suspect->segment,
                    sizeof suspect->segment)
      != STATUS_OK)
    {
      talloc_free (suspect);
      return NULL;
    }
  suspect_link (suspects, suspect);
  return suspect;
}

static void
suspect_set_news (suspects_t *suspects, suspect_t *suspect)
{
  if (suspect->is_news)
    return;
  suspect->is_news = true;
  TAILQ_INSERT_TAIL (&suspects->news, suspect, news_link);
}

/* Forget the crash at INDEX.  */
static void
suspect_drop_crash (suspect_t *suspect, unsigned index)
{
  for (unsigned i = index + 1; i < suspect->crash_count; i++)
    suspect->crashes[i - 1] = suspect->crashes[i];
  suspect->crash_count--;
}

/* Insert CRASH by its time.  The oldest crash is dropped if there is no
   room.  */
static void
suspect_insert_crash (suspect_t *suspect, const crash_t *crash)
{
  unsigned index;

  if (suspect->crash_count == SUSPECT_MAX_CRASHES)
    suspect_drop_crash (suspect, 0);
  index = suspect->crash_count++;
  while (index > 0
         && timespec_compare (suspect->crashes[index - 1].at, crash->at) > 0)
    {
      suspect->crashes[index] = suspect->crashes[index - 1];
      index--;
    }
  suspect->crashes[index] = *crash;
}

/* Return whether CRASH counts as the same as KNOWN.  A segment that is often
   used is at the scene of each of several crashes at once by chance, but not
   one that a response was begun for and that was never answered.  */
static bool
suspect_is_same_crash (const suspect_t *suspect, const crash_t *known,
                       const crash_t *crash)
{
  int64_t apart_ms = ms_between (known->at, crash->at);

  if (known->id == crash->id)
    return true;
  if (crash->weight == SUSPECT_BEGUN && !suspect_was_answered (suspect))
    return false;
  return apart_ms > -SAME_CAUSE_MS && apart_ms < SAME_CAUSE_MS;
}

/* Add CRASH to SUSPECT, unless an answer has refuted it.  Returns whether that
   was not known.  */
static bool
suspect_add_crash (suspects_t *suspects, suspect_t *suspect,
                   const crash_t *crash)
{
  if (timespec_compare (crash->at, suspect->answered_at) <= 0)
    return false;
  for (unsigned i = 0; i < suspect->crash_count; i++)
    {
      if (!suspect_is_same_crash (suspect, &suspect->crashes[i], crash))
        continue;
      if (suspect->crashes[i].weight >= crash->weight)
        return false;
      suspect->crashes[i].weight = crash->weight;
      return true;
    }
  suspect_unlink (suspects, suspect);
  suspect_insert_crash (suspect, crash);
  suspect_link (suspects, suspect);
  return true;
}

/* Forget the crashes of SUSPECT that an answer has refuted or that are too
   long ago.  Returns whether there were any.  */
static bool
suspect_forget_crashes (suspects_t *suspects, suspect_t *suspect,
                        struct timespec now)
{
  bool is_changed = false;

  while (
      suspect->crash_count > 0
      && (timespec_compare (suspect->crashes[0].at, suspect->answered_at) <= 0
          || ms_between (suspect->crashes[0].at, now) > CRASH_MEMORY_MS))
    {
      suspect_unlink (suspects, suspect);
      suspect_drop_crash (suspect, 0);
      suspect_link (suspects, suspect);
      is_changed = true;
    }
  return is_changed;
}

static uint64_t
suspect_guilt_limit (const suspect_t *suspect)
{
  return suspect_was_answered (suspect) ? GUILT_ANSWERED_BEFORE
                                        : GUILT_UNKNOWN;
}

static guilt_t
suspect_guilt (const suspect_t *suspect)
{
  uint64_t limit = suspect_guilt_limit (suspect);
  guilt_t guilt = { 0 };

  for (unsigned i = 0; i < suspect->crash_count; i++)
    {
      if (guilt.sum >= limit)
        guilt.surplus++;
      guilt.sum += suspect->crashes[i].weight;
      guilt.last_crash = suspect->crashes[i].at;
    }
  guilt.is_proved = guilt.sum >= limit;
  return guilt;
}

/* Return the end of the quarantine of a segment with GUILT.  */
static struct timespec
guilt_quarantine_end (const guilt_t *guilt)
{
  int64_t duration_ms = QUARANTINE_MIN_MS;

  for (unsigned i = 0; i < guilt->surplus && duration_ms < QUARANTINE_MAX_MS;
       i++)
    duration_ms *= 2;
  return timespec_add (guilt->last_crash, timespec_from_ms (duration_ms));
}

static void
suspect_log (suspect_t *suspect)
{
  guilt_t guilt = suspect_guilt (suspect);

  log_event (LOG_LEVEL_NOTICE, "segment-suspected",
             "segment=%llx crashes=%u guilt=%llu limit=%llu answered=%d",
             (unsigned long long)suspect->segment, suspect->crash_count,
             (unsigned long long)guilt.sum,
             (unsigned long long)suspect_guilt_limit (suspect),
             suspect_was_answered (suspect));
  if (guilt.is_proved && !suspect->is_counted)
    counter_add (&quarantines, 1);
  suspect->is_counted = guilt.is_proved;
}

/* Record that an upstream crashed at the monotonic time AT that had a prompt
   with the COUNT SEGMENTS.  A segment that has been answered before is not
   suspected for a prompt that was only queued.  */
bool
suspects_record_crash (suspects_t *suspects, uint64_t crash,
                       struct timespec at, const uint64_t *segments,
                       unsigned count, suspect_weight_t weight)
{
  crash_t entry = { .id = crash, .at = at, .weight = weight };
  bool is_news = false;

  table_lock (suspects->table);
  for (unsigned i = 0; i < count; i++)
    {
      suspect_t *suspect = suspect_find_or_add (suspects, segments[i]);

      if (suspect == NULL
          || (weight == SUSPECT_QUEUED && suspect_was_answered (suspect))
          || !suspect_add_crash (suspects, suspect, &entry))
        continue;
      suspect_log (suspect);
      suspect_set_news (suspects, suspect);
      is_news = true;
    }
  suspects_trim (suspects);
  table_unlock (suspects->table);
  return is_news;
}

/* Record that an upstream sends data in answer to a prompt with the COUNT
   SEGMENTS.  */
bool
suspects_record_answer (suspects_t *suspects, const uint64_t *segments,
                        unsigned count)
{
  struct timespec now = clock_monotonic (suspects->clock);
  bool is_news = false;

  table_lock (suspects->table);
  for (unsigned i = 0; i < count; i++)
    {
      suspect_t *suspect = suspect_find_or_add (suspects, segments[i]);

      if (suspect == NULL)
        continue;
      suspect->answered_at = now;
      if (suspect_forget_crashes (suspects, suspect, now))
        {
          log_event (LOG_LEVEL_NOTICE, "segment-cleared", "segment=%llx",
                     (unsigned long long)suspect->segment);
          suspect_set_news (suspects, suspect);
          is_news = true;
        }
      suspect_unlink (suspects, suspect);
      suspect_link (suspects, suspect);
    }
  suspects_trim (suspects);
  table_unlock (suspects->table);
  return is_news;
}

/* Return whether requests with SUSPECT may be sent only one at a time: it is
   guilty, or not known to be harmless.  */
static bool
suspect_needs_trial (const suspect_t *suspect)
{
  guilt_t guilt = suspect_guilt (suspect);

  return guilt.is_proved || (guilt.sum > 0 && !suspect_was_answered (suspect));
}

/* Record that a prompt with the COUNT SEGMENTS is sent: it is the trial of
   those that need one.  */
bool
suspects_record_sent (suspects_t *suspects, const uint64_t *segments,
                      unsigned count)
{
  bool is_news = false;

  table_lock (suspects->table);
  for (unsigned i = 0; i < count; i++)
    {
      suspect_t *suspect = suspect_find (suspects, segments[i]);

      if (suspect == NULL || !suspect_needs_trial (suspect))
        continue;
      suspect->trial_at = clock_monotonic (suspects->clock);
      suspect_set_news (suspects, suspect);
      is_news = true;
    }
  table_unlock (suspects->table);
  return is_news;
}

/* Return whether a request with the segment SUSPECT may be sent at NOW.
 *RETRY_AFTER is set to the rest of its quarantine.  */
static suspect_verdict_t
suspect_check (const suspect_t *suspect, struct timespec now,
               struct timespec *retry_after)
{
  guilt_t guilt = suspect_guilt (suspect);

  if (!suspect_needs_trial (suspect))
    return SUSPECT_ADMITTED;
  if (guilt.is_proved)
    {
      *retry_after = timespec_subtract (guilt_quarantine_end (&guilt), now);
      if (timespec_to_us (*retry_after) > 0)
        return SUSPECT_QUARANTINED;
    }
  if (!timespec_is_zero (suspect->trial_at)
      && ms_between (suspect->trial_at, now) < TRIAL_MS
      && timespec_compare (guilt.last_crash, suspect->trial_at) <= 0)
    return SUSPECT_ON_TRIAL;
  return SUSPECT_ADMITTED;
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

      if (suspect == NULL || suspect->crash_count == 0)
        continue;
      suspect_forget_crashes (suspects, suspect, now);
      verdict = suspect_check (suspect, now, retry_after);
      if (verdict > worst)
        worst = verdict;
    }
  table_unlock (suspects->table);
  return worst;
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

static void
suspect_to_record (const suspect_t *suspect, struct timespec now,
                   suspect_record_t *record)
{
  *record = (suspect_record_t){
    .segment = suspect->segment,
    .answered_age_ms = age_of (now, suspect->answered_at),
    .trial_age_ms = age_of (now, suspect->trial_at),
    .crash_count = suspect->crash_count,
  };
  for (unsigned i = 0; i < suspect->crash_count; i++)
    record->crashes[i]
        = (suspect_crash_t){ .id = suspect->crashes[i].id,
                             .age_ms = age_of (now, suspect->crashes[i].at),
                             .weight = suspect->crashes[i].weight };
}

static bool
suspect_merge_crashes (suspects_t *suspects, suspect_t *suspect,
                       const suspect_record_t *record, struct timespec now)
{
  bool is_changed = false;

  for (unsigned i = 0; i < record->crash_count; i++)
    {
      crash_t crash = { .id = record->crashes[i].id,
                        .at = time_from_age (now, record->crashes[i].age_ms),
                        .weight = record->crashes[i].weight };

      if (record->crashes[i].age_ms < CRASH_MEMORY_MS
          && suspect_add_crash (suspects, suspect, &crash))
        is_changed = true;
    }
  return is_changed;
}

/* Implement suspects_merge for SUSPECT.  */
static bool
suspect_merge (suspects_t *suspects, suspect_t *suspect,
               const suspect_record_t *record, struct timespec now)
{
  struct timespec trial_at = time_from_age (now, record->trial_age_ms);
  bool is_changed = !suspect_was_answered (suspect)
                    && record->answered_age_ms != SUSPECT_NEVER;

  /* The sender would judge the segment otherwise if it knew this.  */
  if (suspect_was_answered (suspect)
      && record->answered_age_ms == SUSPECT_NEVER)
    suspect_set_news (suspects, suspect);
  set_later (&suspect->answered_at,
             time_from_age (now, record->answered_age_ms));
  is_changed = suspect_forget_crashes (suspects, suspect, now) || is_changed;
  if (suspect_merge_crashes (suspects, suspect, record, now))
    {
      suspect_log (suspect);
      is_changed = true;
    }
  /* The age of a trial differs a little on each way that it comes.  */
  is_changed
      = is_changed || ms_between (suspect->trial_at, trial_at) > SAME_CAUSE_MS;
  set_later (&suspect->trial_at, trial_at);
  return is_changed;
}

/* Merge *RECORD, what another process knows.  Returns whether any of it was
   news here, and then sets *RECORD to the sum.  */
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
    suspect_to_record (suspect, now, record);
  suspects_trim (suspects);
  table_unlock (suspects->table);
  return is_changed;
}

/* Take a record that has changed since it was last taken.  */
bool
suspects_take_news (suspects_t *suspects, suspect_record_t *record)
{
  suspect_t *suspect;

  table_lock (suspects->table);
  suspect = TAILQ_FIRST (&suspects->news);
  if (suspect != NULL)
    {
      TAILQ_REMOVE (&suspects->news, suspect, news_link);
      suspect->is_news = false;
      suspect_to_record (suspect, clock_monotonic (suspects->clock), record);
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
  suspect_t *suspect;

  *count = 0;
  table_lock (suspects->table);
  records = talloc_array (parent, suspect_record_t, suspects->suspected_count);
  if (records != NULL)
    TAILQ_FOREACH (suspect, &suspects->suspected, link)
      {
        if (suspect_needs_trial (suspect))
          suspect_to_record (suspect, now, &records[(*count)++]);
      }
  table_unlock (suspects->table);
  return records;
}
