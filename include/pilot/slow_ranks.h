#ifndef SISKIN_PILOT_SLOW_RANKS_H
#define SISKIN_PILOT_SLOW_RANKS_H

#include <stdbool.h>
#include <talloc.h>
#include <time.h>

/* Decides from the reports of the ranks with which slowdown a leader plans for
   each of them.  The load condition: one rank takes several times its usual
   time, and each pass of the group waits for it.  A higher slowdown counts
   from its second report on; a lower one only when it has lasted, as bringing
   experts back takes a switch of the map.  */
typedef struct slow_ranks slow_ranks_t;

slow_ranks_t *slow_ranks_create (TALLOC_CTX *parent, unsigned rank_count);
void slow_ranks_destroy (slow_ranks_t *ranks);
/* Handles the SLOWDOWN in a report of RANK; 1 is usual.  Returns whether a
   plan is due for it: RANK has become slow, much slower or much less slow.  */
bool slow_ranks_handle_report (slow_ranks_t *ranks, unsigned rank,
                               double slowdown, struct timespec now);
/* The slowdown of RANK to plan with, at least 1.  */
double slow_ranks_slowdown (const slow_ranks_t *ranks, unsigned rank);
bool slow_ranks_is_slow (const slow_ranks_t *ranks, unsigned rank);
unsigned slow_ranks_count (const slow_ranks_t *ranks);
/* The highest slowdown of all ranks, at least 1.  */
double slow_ranks_highest (const slow_ranks_t *ranks);

#endif
