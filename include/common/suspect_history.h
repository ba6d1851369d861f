#ifndef SISKIN_COMMON_SUSPECT_HISTORY_H
#define SISKIN_COMMON_SUSPECT_HISTORY_H

#include "common/suspects.h"

/* What is known of one prompt segment: crashes that it is suspected of, and
   what follows from them.  Times are monotonic, zero for never.  */
typedef struct segment_crash
{
  uint64_t id;
  struct timespec at;
  uint64_t weight; /* suspect_weight_t */
} segment_crash_t;

typedef struct suspect_history
{
  uint64_t segment;
  struct timespec answered_at; /* last time that an upstream answered it */
  struct timespec probed_at;   /* when the last probe was sent */
  segment_crash_t crashes[SUSPECT_MAX_CRASHES]; /* oldest first */
  unsigned crash_count;
} suspect_history_t;

/* How strongly a segment is suspected.  */
typedef struct segment_score
{
  uint64_t sum;               /* of the weights of its crashes */
  uint64_t limit;             /* from which on it is quarantined */
  unsigned surplus;           /* crashes since SUM reached LIMIT */
  struct timespec last_crash; /* valid if SUM is not 0 */
} segment_score_t;

bool suspect_history_was_answered (const suspect_history_t *history);
segment_score_t suspect_history_score (const suspect_history_t *history);
bool suspect_history_needs_probe (const suspect_history_t *history);
suspect_verdict_t suspect_history_check (const suspect_history_t *history,
                                         struct timespec now,
                                         struct timespec *retry_after);
/* Each returns whether anything has changed.  */
bool suspect_history_add_crash (suspect_history_t *history,
                                const segment_crash_t *crash);
bool suspect_history_forget (suspect_history_t *history, struct timespec now);
bool suspect_history_merge (suspect_history_t *history,
                            const suspect_record_t *record,
                            struct timespec now);
void suspect_history_to_record (const suspect_history_t *history,
                                struct timespec now, suspect_record_t *record);

#endif
