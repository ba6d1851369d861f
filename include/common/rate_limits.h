#ifndef SISKIN_COMMON_RATE_LIMITS_H
#define SISKIN_COMMON_RATE_LIMITS_H

#include "kernel/clock.h"

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <time.h>

/* Rate limits that upstreams in need have named for all relays together.  The
   slots of an upstream, times that are 1 / limit apart, are dealt to the
   relays in turn; a relay may send a request in each slot of its own.  So the
   sum keeps to the limit however many relays there are, also where a relay's
   share is less than one request.

   Processes exchange records; the latest observation of an upstream counts.
   Callable from every worker.  */
typedef struct rate_limits rate_limits_t;

enum
{
  RATE_PER_UNIT = 1000 /* units of a limit, thousandths of a request a second,
                          in one request a second */
};

/* What a process knows of the limit of an upstream.  */
typedef struct rate_limit_record
{
  uint64_t upstream;    /* identifies one run of it in all processes */
  bool is_limited;      /* false: it names no limit any more */
  uint64_t limit;       /* in units */
  int64_t seen_age_ms;  /* since the response that showed this */
  int64_t since_age_ms; /* since it first named a limit; slots count from it */
} rate_limit_record_t;

/* Which of the slots belong to a relay.  */
typedef struct rate_share
{
  unsigned relays;   /* at least 1 */
  unsigned position; /* of this one among them, from 0 */
} rate_share_t;

rate_limits_t *rate_limits_create (TALLOC_CTX *parent,
                                   const clock_source_t *clock);
void rate_limits_destroy (rate_limits_t *limits);

/* Record the limit that a response of UPSTREAM named, in requests a second;
   negative if it named none.  Returns whether that is an update for the
   other processes.  */
bool rate_limits_record (rate_limits_t *limits, uint64_t upstream,
                         double limit);
/* Returns whether a relay may send UPSTREAM a request now.  */
bool rate_limits_has_slot (rate_limits_t *limits, uint64_t upstream,
                           const rate_share_t *share);
/* Uses the slot; nothing if UPSTREAM has no limit.  */
void rate_limits_use_slot (rate_limits_t *limits, uint64_t upstream,
                           const rate_share_t *share);

bool rate_limits_take_update (rate_limits_t *limits,
                              rate_limit_record_t *record);
/* Returns whether anything has changed here.  */
bool rate_limits_merge (rate_limits_t *limits,
                        const rate_limit_record_t *record);
rate_limit_record_t *rate_limits_list (TALLOC_CTX *parent,
                                       rate_limits_t *limits, unsigned *count);

#endif
