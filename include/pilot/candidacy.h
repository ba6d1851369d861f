#ifndef SISKIN_PILOT_CANDIDACY_H
#define SISKIN_PILOT_CANDIDACY_H

#include <stdbool.h>
#include <stdint.h>

/* Decides when a pilot campaigns for the leadership of a group without a
   leader.  The load condition: a leader beside a slow engine, or one that is
   about to stop, soon has to be replaced again, and no map changes
   meanwhile.  */
typedef struct candidacy
{
  unsigned own_rank;
  unsigned rank_count;
  bool is_slow; /* the engine beside this pilot */
  bool is_stopping;
} candidacy_t;

/* Returns after which time without a leader the pilot campaigns, in
   milliseconds, or -1 if it doesn't: ranks in turn, those with a slow engine
   after all others.  */
int64_t candidacy_delay_ms (const candidacy_t *candidacy);
/* Returns whether the pilot campaigns at once when a leader that stops asks it
   to.  If not, the others follow after their delays.  */
bool candidacy_accepts (const candidacy_t *candidacy);

#endif
