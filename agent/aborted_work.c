#include "agent/aborted_work.h"

#include "kernel/clock.h"

/* Append work of TOKENS, aborted at ABORTED_AT, to LIST.  */
void
aborted_work_add (aborted_work_list_t *list, TALLOC_CTX *parent,
                  uint64_t tokens, struct timespec aborted_at)
{
  aborted_work_t *item = talloc_zero (parent, aborted_work_t);

  item->tokens = tokens;
  item->aborted_at = aborted_at;
  STAILQ_INSERT_TAIL (&list->items, item, link);
  list->count++;
}

static void
aborted_work_remove_oldest (aborted_work_list_t *list,
                            admission_outstanding_t *released)
{
  aborted_work_t *oldest = STAILQ_FIRST (&list->items);

  STAILQ_REMOVE_HEAD (&list->items, link);
  list->count--;
  released->requests++;
  released->tokens += oldest->tokens;
  talloc_free (oldest);
}

/* Remove the work that was aborted at UNTIL or earlier, and add it to
   RELEASED.  */
void
aborted_work_remove_until (aborted_work_list_t *list, struct timespec until,
                           admission_outstanding_t *released)
{
  while (list->count > 0
         && timespec_compare (STAILQ_FIRST (&list->items)->aborted_at, until)
                <= 0)
    aborted_work_remove_oldest (list, released);
}

/* Apply a load report of the upstream that was requested at REQUESTED_AT and
   shows MAX_COUNT requests: of the work aborted before that, at most this many
   can still be running.  Remove the oldest beyond that number and add them to
   RELEASED.  */
void
aborted_work_limit_count (aborted_work_list_t *list, uint64_t max_count,
                          struct timespec requested_at,
                          admission_outstanding_t *released)
{
  while (list->count > max_count
         && timespec_compare (STAILQ_FIRST (&list->items)->aborted_at,
                              requested_at)
                < 0)
    aborted_work_remove_oldest (list, released);
}
