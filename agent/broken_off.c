#include "agent/broken_off.h"

#include "kernel/clock.h"

/* Append work of TOKENS, broken off at AT, to LIST.  */
void
aborted_work_add (aborted_work_list_t *list, TALLOC_CTX *parent,
                  uint64_t tokens, struct timespec at)
{
  aborted_work_t *item = talloc_zero (parent, aborted_work_t);

  item->tokens = tokens;
  item->at = at;
  STAILQ_INSERT_TAIL (&list->items, item, link);
  list->count++;
}

static void
broken_off_drop_oldest (aborted_work_list_t *list,
                        admission_outstanding_t *gone)
{
  aborted_work_t *oldest = STAILQ_FIRST (&list->items);

  STAILQ_REMOVE_HEAD (&list->items, link);
  list->count--;
  gone->requests++;
  gone->tokens += oldest->tokens;
  talloc_free (oldest);
}

/* Drop what was broken off at UNTIL or before, and add it to GONE.  */
void
aborted_work_remove_until (aborted_work_list_t *list, struct timespec until,
                           admission_outstanding_t *gone)
{
  while (list->count > 0
         && timespec_compare (STAILQ_FIRST (&list->items)->at, until) <= 0)
    broken_off_drop_oldest (list, gone);
}

/* The upstream had MOST requests when asked at ASKED_AT, so no more can be
   left of what was broken off before.  Adds the rest to GONE.  */
void
aborted_work_limit_count (aborted_work_list_t *list, uint64_t most,
                          struct timespec asked_at,
                          admission_outstanding_t *gone)
{
  while (list->count > most
         && timespec_compare (STAILQ_FIRST (&list->items)->at, asked_at) < 0)
    broken_off_drop_oldest (list, gone);
}
