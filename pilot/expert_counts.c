#include "pilot/expert_counts.h"

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

/* Returns the increments since the last call.  An engine that was restarted
   counts from zero.  */
uint64_t *
expert_counts_take (expert_counts_t *counts, TALLOC_CTX *parent,
                    const rank_reply_t *reply)
{
  size_t size = reply->number_count * sizeof *reply->numbers;
  uint64_t *last = talloc_memdup (counts, reply->numbers, size);
  uint64_t *increments = talloc_memdup (parent, reply->numbers, size);

  if (last == NULL || increments == NULL)
    {
      talloc_free (last);
      talloc_free (increments);
      return NULL;
    }
  for (size_t i = 0; i < reply->number_count && i < counts->count; i++)
    {
      if (increments[i] >= counts->last[i])
        increments[i] -= counts->last[i];
    }
  talloc_free (counts->last);
  counts->last = last;
  counts->count = reply->number_count;
  return increments;
}
