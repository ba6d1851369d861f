#include "bench/relay_model_queue.h"

#include <stdlib.h>
#include <string.h>

/* The rules of relay/forward_queue.c, whose queue is tied to HTTP requests,
   and a design that orders by priority first.  */

enum
{
  QUEUE_MAX_MS = 1600,
  QUEUE_TIME_DIVISOR = 2,
  UNUSABLE_QUEUE_MAX_MS = 100,
  LATE_START_DIVISOR = 2,
  RETRY_AFTER_DIVISOR = 4,
  RETRY_AFTER_MIN_MS = 50,
  /* One of this many places goes to the least urgent queued request.  */
  GUARANTEED_PLACE_INTERVAL = 8
};

struct model_queue
{
  TAILQ_HEAD (queue_items, queue_item) items; /* in order of arrival */
  unsigned count;
  unsigned sent; /* since the last guaranteed place */
};

static model_queue_t *
queue_create (TALLOC_CTX *parent)
{
  model_queue_t *queue = talloc_zero (parent, model_queue_t);

  TAILQ_INIT (&queue->items);
  return queue;
}

static void
queue_add (model_queue_t *queue, queue_item_t *item)
{
  TAILQ_INSERT_TAIL (&queue->items, item, link);
  queue->count++;
}

static void
queue_remove (model_queue_t *queue, queue_item_t *item)
{
  TAILQ_REMOVE (&queue->items, item, link);
  queue->count--;
}

static unsigned
queue_count (const model_queue_t *queue)
{
  return queue->count;
}

static void
item_set_late (queue_item_t *item, uint64_t now_ms)
{
  item->is_late
      = now_ms - item->arrived_ms > item->objective_ms / LATE_START_DIVISOR;
}

static void
queue_sweep (model_queue_t *queue, bool are_late, uint64_t now_ms,
             queue_try_t try_send, void *data)
{
  queue_item_t *item = TAILQ_FIRST (&queue->items);

  while (item != NULL)
    {
      queue_item_t *next = TAILQ_NEXT (item, link);

      item_set_late (item, now_ms);
      if (item->is_late == are_late)
        try_send (item, data);
      item = next;
    }
}

/* Try the requests that can still meet their objective first, each of the two
   sets in order of arrival.  */
static void
queue_retry_by_arrival (model_queue_t *queue, uint64_t now_ms,
                        queue_try_t try_send, void *data)
{
  queue_sweep (queue, false, now_ms, try_send, data);
  queue_sweep (queue, true, now_ms, try_send, data);
}

/* A queued request in the order of urgency; ITEM is NULL once it was tried. */
typedef struct sorted_item
{
  queue_item_t *item;
} sorted_item_t;

/* Compare by priority, then lateness, then arrival.  */
static int
sorted_item_compare (const void *left_item, const void *right_item)
{
  const queue_item_t *left = ((const sorted_item_t *)left_item)->item;
  const queue_item_t *right = ((const sorted_item_t *)right_item)->item;

  if (left->priority != right->priority)
    return left->priority < right->priority ? -1 : 1;
  if (left->is_late != right->is_late)
    return left->is_late ? 1 : -1;
  if (left->arrived_ms != right->arrived_ms)
    return left->arrived_ms < right->arrived_ms ? -1 : 1;
  return 0;
}

/* Return the queued requests in the order of urgency.  */
static sorted_item_t *
queue_sort (model_queue_t *queue, uint64_t now_ms)
{
  sorted_item_t *sorted = talloc_array (queue, sorted_item_t, queue->count);
  queue_item_t *item;
  unsigned count = 0;

  TAILQ_FOREACH (item, &queue->items, link)
    {
      item_set_late (item, now_ms);
      sorted[count++].item = item;
    }
  if (count > 0)
    qsort (sorted, count, sizeof *sorted, sorted_item_compare);
  return sorted;
}

/* Return the index of the first of the COUNT requests in SORTED that belongs
   to the least urgent class.  */
static unsigned
least_urgent_index (const sorted_item_t *sorted, unsigned count)
{
  unsigned index = count;

  while (index > 0
         && sorted[index - 1].item->priority
                == sorted[count - 1].item->priority)
    index--;
  return index;
}

/* Try the most urgent requests first, but give one of
   GUARANTEED_PLACE_INTERVAL places to the least urgent class.  */
static void
queue_retry_by_priority (model_queue_t *queue, uint64_t now_ms,
                         queue_try_t try_send, void *data)
{
  unsigned count = queue->count;
  sorted_item_t *sorted = queue_sort (queue, now_ms);
  unsigned guaranteed = least_urgent_index (sorted, count);
  unsigned front = 0;

  while (front < count)
    {
      bool is_turn
          = queue->sent >= GUARANTEED_PLACE_INTERVAL - 1 && guaranteed < count;
      sorted_item_t *next = &sorted[is_turn ? guaranteed++ : front++];

      if (next->item == NULL)
        continue;
      if (try_send (next->item, data) == QUEUE_SENT)
        queue->sent = is_turn ? 0 : queue->sent + 1;
      next->item = NULL;
    }
  talloc_free (sorted);
}

/* Return the time after which the client of ITEM may return if nothing better
   is known, as forward_default_retry_after does.  */
int64_t
queue_default_retry_ms (const queue_item_t *item, uint64_t now_ms)
{
  uint64_t left_ms
      = item->deadline_ms > now_ms ? item->deadline_ms - now_ms : 0;
  uint64_t retry_ms = left_ms / RETRY_AFTER_DIVISOR;

  return (int64_t)(retry_ms < RETRY_AFTER_MIN_MS ? RETRY_AFTER_MIN_MS
                                                 : retry_ms);
}

/* The rule of forward_wait_or_fail.  */
static int64_t
queue_refuse_ms (const model_queue_t *queue, const queue_item_t *item,
                 fleet_t *fleet, fleet_shortage_t shortage, uint64_t now_ms)
{
  uint64_t age_ms = now_ms - item->arrived_ms;
  uint64_t limit_ms
      = (item->deadline_ms - item->arrived_ms) / QUEUE_TIME_DIVISOR;

  (void)queue;
  (void)fleet;
  if (limit_ms > QUEUE_MAX_MS)
    limit_ms = QUEUE_MAX_MS;
  if (age_ms < limit_ms
      && (fleet_shortage_is_temporary (shortage)
          || age_ms < UNUSABLE_QUEUE_MAX_MS))
    return -1;
  return queue_default_retry_ms (item, now_ms);
}

static const queue_ops_t designs[] = {
  { .name = "by-arrival",
    .create = queue_create,
    .add = queue_add,
    .remove = queue_remove,
    .count = queue_count,
    .retry = queue_retry_by_arrival,
    .refuse_ms = queue_refuse_ms },
  { .name = "by-priority",
    .create = queue_create,
    .add = queue_add,
    .remove = queue_remove,
    .count = queue_count,
    .retry = queue_retry_by_priority,
    .refuse_ms = queue_refuse_ms },
};

/* Return the design NAME, or today's if NAME is NULL; NULL if there is
   none.  */
const queue_ops_t *
queue_ops_find (const char *name)
{
  if (name == NULL)
    return &designs[0];
  for (size_t i = 0; i < sizeof designs / sizeof designs[0]; i++)
    {
      if (strcmp (designs[i].name, name) == 0)
        return &designs[i];
    }
  return NULL;
}
