#ifndef SISKIN_COMMON_SUSPECTS_H
#define SISKIN_COMMON_SUSPECTS_H

#include "kernel/clock.h"

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <time.h>

/* Prompt segments that are suspected of crashing the upstreams which begin to
   answer them.  A segment is suspected of each crash at which a prompt with it
   had been sent to the upstream and not been answered yet, until an upstream
   answers a prompt with it.  The crashes add up to a score.  A segment whose
   score reaches a limit is quarantined for a time that doubles with each
   further crash; then a single request probes it.

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

/* How much a crash says about a prompt that the upstream had then.  */
typedef enum suspect_weight
{
  SUSPECT_QUEUED = 1, /* no response had begun */
  SUSPECT_BEGUN = 2   /* a response had begun, but had no data yet */
} suspect_weight_t;

typedef struct suspect_crash
{
  uint64_t id; /* identifies the crash; the same in all processes */
  int64_t age_ms;
  uint64_t weight; /* suspect_weight_t */
} suspect_crash_t;

/* What a process knows of a suspected segment.  */
typedef struct suspect_record
{
  uint64_t segment;
  int64_t answered_age_ms; /* since an upstream last answered a prompt with it;
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

suspects_t *suspects_create (TALLOC_CTX *parent, const clock_source_t *clock);
void suspects_destroy (suspects_t *suspects);

/* Each returns whether there is an update for the other processes.  CRASH
   identifies a crash in all processes.  */
bool suspects_record_crash (suspects_t *suspects, uint64_t crash,
                            struct timespec at, const uint64_t *segments,
                            unsigned count, suspect_weight_t weight);
bool suspects_record_answer (suspects_t *suspects, const uint64_t *segments,
                             unsigned count);
bool suspects_record_sent (suspects_t *suspects, const uint64_t *segments,
                           unsigned count);
/* Returns whether anything has changed here; *RECORD is then the sum of what
   both processes know.  It is no update for suspects_take_update.  */
bool suspects_merge (suspects_t *suspects, suspect_record_t *record);

suspect_verdict_t suspects_check (suspects_t *suspects,
                                  const uint64_t *segments, unsigned count,
                                  struct timespec *retry_after);

/* Take a record that has changed since it was last taken.  Returns false if
   there is none.  */
bool suspects_take_update (suspects_t *suspects, suspect_record_t *record);
suspect_record_t *suspects_list (TALLOC_CTX *parent, suspects_t *suspects,
                                 unsigned *count);

#endif
