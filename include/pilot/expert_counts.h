#ifndef SISKIN_PILOT_EXPERT_COUNTS_H
#define SISKIN_PILOT_EXPERT_COUNTS_H

#include "plugins/rank_engine.h"

#include <talloc.h>

/* Turns the token counts of this pilot's engine, which are cumulative, into
   increments: small numbers take few bytes on the way to the leader.  */
typedef struct expert_counts expert_counts_t;

expert_counts_t *expert_counts_create (TALLOC_CTX *parent);
void expert_counts_destroy (expert_counts_t *counts);
/* Returns the counts in REPLY, the engine's reply to RANK_QUERY_EXPERT_COUNTS,
   minus those at the last call: REPLY->number_count numbers, owned by PARENT.
   Returns NULL when memory is exhausted.  */
uint64_t *expert_counts_take (expert_counts_t *counts, TALLOC_CTX *parent,
                              const rank_reply_t *reply);
/* The same rounded down to count_levels, in multiples of *UNIT, which is at
   least 1: the levels.  What is left over belongs to the next call, so that
   nothing is lost.  */
uint8_t *expert_counts_take_levels (expert_counts_t *counts,
                                    TALLOC_CTX *parent,
                                    const rank_reply_t *reply, uint64_t *unit);

#endif
