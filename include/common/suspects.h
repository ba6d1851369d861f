#ifndef SISKIN_COMMON_SUSPECTS_H
#define SISKIN_COMMON_SUSPECTS_H

#include "kernel/clock.h"

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <time.h>

/* Parts of requests that are suspected of crashing the upstreams which answer
   them: segments of a prompt, or a digest that stands for a request without a
   prompt.  A segment is suspected of each crash at which its upstream was busy
   with a request that has it.  An attempt that ends whole clears its segments;
   one that gets clearly further than another did at a crash clears them of
   that crash.  The crashes add up to a score.  A segment whose score reaches a
   limit is quarantined for a time that doubles with each further crash; then a
   single request probes it.  docs/ROUTING.md has the reasons.

   Processes exchange records of what they know of a segment.  Merging is
   commutative and idempotent but for the limit on the number of crashes, so
   records may arrive in any order, repeatedly and by several ways.  Callable
   from every worker.  */
typedef struct suspects suspects_t;

enum
{
  SUSPECT_MAX_CRASHES = 8,
  SUSPECT_NEVER = -1 /* in place of an age */
};

/* How far an attempt got: PROGRESS_NONE without a response, PROGRESS_BEGUN
   with the head of one, and one more for each event of a stream.  */
#define PROGRESS_NONE ((uint64_t)0)
#define PROGRESS_BEGUN ((uint64_t)1)

/* A crash of an upstream, and how far it had got with a request then.  */
typedef struct crash_evidence
{
  uint64_t crash;     /* identifies the crash; the same in all processes */
  struct timespec at; /* monotonic */
  uint64_t progress;
  /* The request was sent there after another upstream had broken it off, so
     that both did not crash for one reason outside.  */
  bool is_repeat;
} crash_evidence_t;

typedef struct suspect_crash
{
  uint64_t id; /* of the crash */
  int64_t age_ms;
  uint64_t progress;
  bool is_repeat;  /* as in crash_evidence_t */
  bool is_refuted; /* another attempt with the segment got clearly further */
} suspect_crash_t;

/* What a process knows of a suspected segment.  */
typedef struct suspect_record
{
  uint64_t segment;
  int64_t answered_age_ms; /* since an upstream last answered it whole;
                              SUSPECT_NEVER if that is not known */
  int64_t probe_age_ms;    /* since the last probe was sent; SUSPECT_NEVER */
  suspect_crash_t crashes[SUSPECT_MAX_CRASHES];
  unsigned crash_count;
} suspect_record_t;

typedef enum suspect_verdict
{
  SUSPECT_ADMITTED,
  SUSPECT_PROBED,     /* another request probes a suspected segment */
  SUSPECT_QUARANTINED /* retry after the time that is set */
} suspect_verdict_t;

/* Whether a request may be sent, and why.  */
typedef struct suspect_finding
{
  suspect_verdict_t verdict;
  /* Of SUSPECT_QUARANTINED: how long it lasts.  */
  struct timespec retry_after;
  /* Unless SUSPECT_ADMITTED: the segment, the crashes that it is suspected of,
     and the last one of these.  */
  uint64_t segment;
  unsigned crash_count;
  uint64_t last_crash;
} suspect_finding_t;

suspects_t *suspects_create (TALLOC_CTX *parent, const clock_source_t *clock);
void suspects_destroy (suspects_t *suspects);

/* Each returns whether there is an update for the other processes.  SEGMENTS
   are the COUNT ones of a request.  */

/* An upstream crashed that was busy with the request.  */
bool suspects_record_crash (suspects_t *suspects,
                            const crash_evidence_t *evidence,
                            const uint64_t *segments, unsigned count);
/* The request got as far as PROGRESS.  */
bool suspects_record_progress (suspects_t *suspects, uint64_t progress,
                               const uint64_t *segments, unsigned count);
/* The request was answered whole.  */
bool suspects_record_answer (suspects_t *suspects, const uint64_t *segments,
                             unsigned count);
bool suspects_record_sent (suspects_t *suspects, const uint64_t *segments,
                           unsigned count);
/* Returns whether anything has changed here; *RECORD is then the sum of what
   both processes know.  It is no update for suspects_take_update.  */
bool suspects_merge (suspects_t *suspects, suspect_record_t *record);

/* Returns whether a segment would be proved to cause crashes if EVIDENCE,
   which is not confirmed yet, were a crash.  */
bool suspects_would_prove (suspects_t *suspects,
                           const crash_evidence_t *evidence,
                           const uint64_t *segments, unsigned count);
suspect_finding_t suspects_check (suspects_t *suspects,
                                  const uint64_t *segments, unsigned count);

/* Take a record that has changed since it was last taken.  Returns false if
   there is none.  */
bool suspects_take_update (suspects_t *suspects, suspect_record_t *record);
suspect_record_t *suspects_list (TALLOC_CTX *parent, suspects_t *suspects,
                                 unsigned *count);

#endif
