#ifndef SISKIN_COMMON_SUSPECT_HISTORY_H
#define SISKIN_COMMON_SUSPECT_HISTORY_H

#include "common/suspects.h"

/* What is known of one segment: crashes that it is suspected of, and what
   follows from them.  Times are monotonic, zero for never.  */
typedef struct segment_crash
{
  crash_evidence_t evidence;
  bool is_refuted;
} segment_crash_t;

typedef struct suspect_history
{
  uint64_t segment;
  struct timespec answered_at; /* last time that it was answered whole */
  struct timespec probed_at;   /* when the last probe was sent */
  segment_crash_t crashes[SUSPECT_MAX_CRASHES]; /* oldest first */
  unsigned crash_count;
} suspect_history_t;

/* How strongly a segment is suspected.  */
typedef struct segment_score
{
  unsigned sum;               /* of the weights of its crashes */
  unsigned limit;             /* from which on it is quarantined */
  unsigned crashes;           /* that count */
  unsigned surplus;           /* crashes since SUM reached LIMIT */
  struct timespec last_crash; /* valid if SUM is not 0 */
  uint64_t last_crash_id;     /* the same */
  uint64_t last_progress;     /* at that crash; the same */
} segment_score_t;

bool crash_evidence_is_early (const crash_evidence_t *evidence);
bool suspect_history_was_answered (const suspect_history_t *history);
/* Returns how much the crash ID says against the segment; 0 if nothing.  */
unsigned suspect_history_crash_weight (const suspect_history_t *history,
                                       uint64_t id);
segment_score_t suspect_history_score (const suspect_history_t *history);
bool suspect_history_is_proved (const suspect_history_t *history);
bool suspect_history_needs_probe (const suspect_history_t *history);
/* Sets *RETRY_AFTER to the rest of the quarantine if there is one.  */
suspect_verdict_t suspect_history_check (const suspect_history_t *history,
                                         struct timespec now,
                                         struct timespec *retry_after);
void suspect_history_drop_crash (suspect_history_t *history, unsigned index);
/* Each returns whether anything has changed.  */
bool suspect_history_add_crash (suspect_history_t *history,
                                const crash_evidence_t *evidence);
bool suspect_history_record_progress (suspect_history_t *history,
                                      uint64_t progress);
bool suspect_history_forget (suspect_history_t *history, struct timespec now);
bool suspect_history_merge (suspect_history_t *history,
                            const suspect_record_t *record,
                            struct timespec now);
void suspect_history_to_record (const suspect_history_t *history,
                                struct timespec now, suspect_record_t *record);

#endif
