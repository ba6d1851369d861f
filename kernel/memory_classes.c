#include "kernel/memory_state.h"

/* Which holder is dropped first to make room.  Those that wait for their peers
   are listed by size, in classes that double.  */

enum
{
  FIRST_CLASS_BITS = 12, /* up to 4 KiB */
  FIRST_LARGE_CLASS = 6, /* of 128 KiB and more */
  /* Only a holder without progress for this long is dropped: it is longer than
     a round trip and the time between two reads of a busy worker.  */
  STALL_MIN_MS = 100
};

/* Return the class of a holder of BYTES.  */
unsigned
memory_size_class (size_t bytes)
{
  unsigned index = 0;

  while (index < MEMORY_CLASS_COUNT - 1
         && bytes >> (FIRST_CLASS_BITS + index) > 0)
    index++;
  return index;
}

/* Return whether a holder of BYTES is a large one.  */
bool
memory_is_large (size_t bytes)
{
  return memory_size_class (bytes) >= FIRST_LARGE_CLASS;
}

/* Put HOLDER at the end of the list of its class if it may be dropped.  */
void
memory_holder_list (memory_holder_t *holder)
{
  memory_budget_t *budget = holder->owner->budget;

  if (!holder->is_waiting || holder->is_chosen)
    return;
  holder->is_listed = true;
  holder->listed_ms
      = atomic_load_explicit (&holder->progressed_ms, memory_order_relaxed);
  TAILQ_INSERT_TAIL (&budget->waiting[memory_size_class (holder->held)],
                     holder, link);
}

/* Remove HOLDER from the list of its class.  */
void
memory_holder_unlist (memory_holder_t *holder)
{
  memory_budget_t *budget = holder->owner->budget;

  if (!holder->is_listed)
    return;
  holder->is_listed = false;
  TAILQ_REMOVE (&budget->waiting[memory_size_class (holder->held)], holder,
                link);
}

/* Return the holder of the class INDEX that is longest without progress, or
   NULL.  Those that have made progress since they were listed go to the end
   first.  */
static memory_holder_t *
class_first (memory_budget_t *budget, unsigned index)
{
  struct memory_holder_list *list = &budget->waiting[index];
  memory_holder_t *holder;

  while ((holder = TAILQ_FIRST (list)) != NULL)
    {
      int64_t progressed_ms = atomic_load_explicit (&holder->progressed_ms,
                                                    memory_order_relaxed);

      if (progressed_ms <= holder->listed_ms)
        break;
      holder->listed_ms = progressed_ms;
      TAILQ_REMOVE (list, holder, link);
      TAILQ_INSERT_TAIL (list, holder, link);
    }
  return holder;
}

/* Return how much dropping HOLDER is preferred: by what it holds and for how
   long without progress; for connections, only by the latter.  0 for one that
   may make progress yet.  */
static uint64_t
holder_score (const memory_holder_t *holder, memory_reason_t reason,
              int64_t now_ms)
{
  int64_t stalled_ms = now_ms - holder->listed_ms;

  if (stalled_ms < STALL_MIN_MS)
    return 0;
  if (reason == MEMORY_REASON_CONNECTIONS)
    return holder->is_connection ? (uint64_t)stalled_ms : 0;
  return (uint64_t)stalled_ms * holder->held;
}

/* Return the holder to drop first, or NULL if none may be.  */
memory_holder_t *
memory_budget_choose (memory_budget_t *budget, const memory_holder_t *except,
                      memory_reason_t reason, int64_t now_ms)
{
  unsigned first_class = reason == MEMORY_REASON_LARGE ? FIRST_LARGE_CLASS : 0;
  memory_holder_t *chosen = NULL;
  uint64_t best = 0;

  for (unsigned index = first_class; index < MEMORY_CLASS_COUNT; index++)
    {
      memory_holder_t *holder = class_first (budget, index);
      uint64_t score;

      if (holder != NULL && holder == except)
        holder = TAILQ_NEXT (holder, link);
      score = holder == NULL ? 0 : holder_score (holder, reason, now_ms);
      if (score <= best)
        continue;
      best = score;
      chosen = holder;
    }
  return chosen;
}
