#include "common/priority_set.h"

#include <string.h>

/* Return the number of priorities in SET that are more urgent than
   PRIORITY.  */
unsigned
priority_set_rank (const priority_set_t *set, int64_t priority)
{
  unsigned rank = 0;

  while (rank < set->count && set->values[rank] < priority)
    rank++;
  return rank;
}

/* Add PRIORITY to SET unless it is there.  */
void
priority_set_add (priority_set_t *set, int64_t priority)
{
  unsigned rank = priority_set_rank (set, priority);
  unsigned moved;

  if (rank < set->count && set->values[rank] == priority)
    return;
  if (rank == PRIORITY_SET_MAX)
    return;
  if (set->count < PRIORITY_SET_MAX)
    set->count++;
  moved = set->count - 1 - rank;
  memmove (&set->values[rank + 1], &set->values[rank],
           moved * sizeof set->values[0]);
  set->values[rank] = priority;
}
