#include "pilot/expert_counts.h"

#include "pilot/count_levels.h"

#include <string.h>

struct expert_counts
{
  uint64_t *last; /* cumulative counts at the last call */
  size_t count;
};

/* Creates a record of counts that are all zero.  Returns NULL when memory is
   exhausted.  */
expert_counts_t *
expert_counts_create (TALLOC_CTX *parent)
{
  return talloc_zero (parent, expert_counts_t);
}

/* Frees COUNTS.  */
void
expert_counts_destroy (expert_counts_t *counts)
{
  talloc_free (counts);
}

/* Returns what REPLY counts more than what was taken so far.  An engine that
   was restarted counts from zero.  */
static uint64_t *
counts_subtract_last (const expert_counts_t *counts, TALLOC_CTX *parent,
                      const rank_reply_t *reply)
{
  size_t size = reply->number_count * sizeof *reply->numbers;
  uint64_t *increments = talloc_memdup (parent, reply->numbers, size);

  for (size_t i = 0;
       increments != NULL && i < reply->number_count && i < counts->count; i++)
    {
      if (increments[i] >= counts->last[i])
        increments[i] -= counts->last[i];
    }
  return increments;
}

/* Makes room for the counts of REPLY.  Returns false when memory is
   exhausted.  */
static bool
counts_resize (expert_counts_t *counts, const rank_reply_t *reply)
{
  uint64_t *last = talloc_realloc (counts, counts->last, uint64_t,
                                   (unsigned)reply->number_count);

  if (last == NULL && reply->number_count > 0)
    return false;
  counts->last = last;
  counts->count = reply->number_count;
  return true;
}

/* Returns the increments since the last call.  */
uint64_t *
expert_counts_take (expert_counts_t *counts, TALLOC_CTX *parent,
                    const rank_reply_t *reply)
{
  uint64_t *increments = counts_subtract_last (counts, parent, reply);

  if (increments == NULL || !counts_resize (counts, reply))
    {
      talloc_free (increments);
      return NULL;
    }
  for (size_t i = 0; i < counts->count; i++)
    counts->last[i] = reply->numbers[i];
  return increments;
}

/* Returns the least unit in which none of the COUNT NUMBERS is far above
   COUNT_LEVELS_TOP.  */
static uint64_t
choose_unit (const uint64_t *numbers, size_t count)
{
  uint64_t highest = 0;

  for (size_t i = 0; i < count; i++)
    {
      if (numbers[i] > highest)
        highest = numbers[i];
    }
  return highest / (COUNT_LEVELS_TOP + 1) + 1;
}

/* Returns the levels of the increments since the last call.  */
uint8_t *
expert_counts_take_levels (expert_counts_t *counts, TALLOC_CTX *parent,
                           const rank_reply_t *reply, uint64_t *unit)
{
  uint64_t *increments = counts_subtract_last (counts, parent, reply);
  uint8_t *levels
      = talloc_array (parent, uint8_t, (unsigned)reply->number_count);

  if (increments == NULL || levels == NULL || !counts_resize (counts, reply))
    {
      talloc_free (increments);
      talloc_free (levels);
      return NULL;
    }
  *unit = choose_unit (increments, counts->count);
  for (size_t i = 0; i < counts->count; i++)
    {
      unsigned level = count_level_below (increments[i] / *unit);

      levels[i] = (uint8_t)level;
      counts->last[i] = reply->numbers[i] - increments[i]
                        + count_level_value (level) * *unit;
    }
  talloc_free (increments);
  return levels;
}
