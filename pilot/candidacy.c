#include "pilot/candidacy.h"

enum
{
  /* Time without a leader before rank 0 campaigns.  */
  DELAY_MS = 600,
  /* Added for each rank number, so that ranks do not compete.  */
  DELAY_PER_RANK_MS = 150
};

/* Returns after which time without a leader the pilot campaigns.  */
int64_t
candidacy_delay_ms (const candidacy_t *candidacy)
{
  int64_t turn = candidacy->own_rank;

  if (candidacy->is_stopping)
    return -1;
  if (candidacy->is_slow)
    turn += candidacy->rank_count;
  return DELAY_MS + DELAY_PER_RANK_MS * turn;
}

/* Returns whether the pilot campaigns at once when it is asked to.  */
bool
candidacy_accepts (const candidacy_t *candidacy)
{
  return !candidacy->is_stopping && !candidacy->is_slow;
}
