/* Order of queued requests: no account may take more than its share while
   others wait, and no request may starve or be lost.  */

#include "kernel/clock.h"
#include "kernel/heap.h"
#include "kernel/plugin.h"
#include "kernel/table.h"
#include "plugins/order.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

enum
{
  ITEMS = 4000,
  ACCOUNTS = 810
};

typedef struct queue
{
  const order_ops_t *ops;
  order_t *order;
  order_item_t items[ITEMS];
  unsigned used;
} queue_t;

static const struct timespec start = { 0, 0 };

static int
queue_set_up (void **state)
{
  queue_t *queue = talloc_zero (NULL, queue_t);

  queue->ops = plugin_ops (PLUGIN_ORDER, "fair");
  queue->order = queue->ops->create (queue);
  *state = queue;
  return 0;
}

static int
queue_tear_down (void **state)
{
  return talloc_free (*state);
}

static order_item_t *
queue_item (queue_t *queue, const char *account, int64_t priority,
            int64_t share, uint64_t tokens, int64_t deadline_ms)
{
  order_item_t *item = &queue->items[queue->used++];

  *item = (order_item_t){ .account = account,
                          .priority = priority,
                          .share = share,
                          .tokens = tokens,
                          .deadline = timespec_from_ms (deadline_ms) };
  return item;
}

static order_item_t *
queue_push (queue_t *queue, const char *account, int64_t priority,
            int64_t share, uint64_t tokens, int64_t deadline_ms)
{
  order_item_t *item
      = queue_item (queue, account, priority, share, tokens, deadline_ms);

  queue->ops->push (queue->order, item, start);
  return item;
}

static order_item_t *
queue_serve (queue_t *queue)
{
  order_item_t *item = queue->ops->peek (queue->order, start);

  if (item != NULL)
    queue->ops->remove (queue->order, item, start, true);
  return item;
}

static void
test_earliest_deadline_within_account (void **state)
{
  queue_t *queue = *state;
  order_item_t *late = queue_push (queue, "salon", 1, 1, 10, 300);
  order_item_t *soon = queue_push (queue, "salon", 1, 1, 10, 100);
  order_item_t *middle = queue_push (queue, "salon", 1, 1, 10, 200);

  assert_ptr_equal (queue_serve (queue), soon);
  assert_ptr_equal (queue_serve (queue), middle);
  assert_ptr_equal (queue_serve (queue), late);
  assert_null (queue_serve (queue));
}

/* An account that queues ten times its share gets only its share of the tokens
   while other accounts have queued items, and all of them afterwards.  */
static void
test_flooding_account_is_limited_to_its_share (void **state)
{
  queue_t *queue = *state;
  uint64_t flood_tokens = 0;
  uint64_t other_tokens = 0;

  for (unsigned i = 0; i < 1000; i++)
    queue_push (queue, "flood", 1, 10, 100, 100000);
  for (unsigned i = 0; i < 200; i++)
    queue_push (queue, i % 2 == 0 ? "salon" : "arima", 1, 45, 100, 100000);
  for (unsigned i = 0; i < 200; i++)
    {
      order_item_t *item = queue_serve (queue);

      if (strcmp (item->account, "flood") == 0)
        flood_tokens += item->tokens;
      else
        other_tokens += item->tokens;
    }
  assert_in_range (flood_tokens * 100 / (flood_tokens + other_tokens), 9, 11);
  while (queue_serve (queue) != NULL)
    flood_tokens++;
  assert_true (flood_tokens > 900);
}

/* An account that was idle gets no credit for that time.  */
static void
test_idle_account_gets_no_credit (void **state)
{
  queue_t *queue = *state;
  unsigned salon_served = 0;

  for (unsigned i = 0; i < 300; i++)
    queue_push (queue, "arima", 1, 1, 100, 100000);
  for (unsigned i = 0; i < 100; i++)
    queue_serve (queue);
  for (unsigned i = 0; i < 100; i++)
    queue_push (queue, "salon", 1, 1, 100, 100000);
  for (unsigned i = 0; i < 100; i++)
    salon_served += strcmp (queue_serve (queue)->account, "salon") == 0;
  assert_in_range (salon_served, 49, 51);
}

/* The lower class is served with about one tenth of the tokens.  */
static void
test_priority_without_starvation (void **state)
{
  queue_t *queue = *state;
  unsigned served[3] = { 0 };

  for (unsigned i = 0; i < 1000; i++)
    queue_push (queue, "desk", 0, 1, 100, 100000);
  for (unsigned i = 0; i < 1000; i++)
    queue_push (queue, "reports", 2, 1, 100, 100000);
  for (unsigned i = 0; i < 900; i++)
    served[queue_serve (queue)->priority]++;
  assert_in_range (served[2], 95, 105);
  assert_int_equal (served[0] + served[2], 900);
}

static void
test_drop_from_account_with_largest_excess (void **state)
{
  queue_t *queue = *state;
  order_item_t *newest = NULL;
  order_item_t *arriving;

  for (unsigned i = 0; i < 10; i++)
    newest = queue_push (queue, "flood", 0, 10, 100, 100000);
  queue_push (queue, "salon", 1, 10, 100, 100000);
  queue_push (queue, "salon", 1, 10, 100, 100000);
  arriving = queue_item (queue, "arima", 2, 10, 100, 100000);
  assert_ptr_equal (queue->ops->choose_drop (queue->order, arriving), newest);
  arriving = queue_item (queue, "flood", 0, 10, 100, 100000);
  assert_ptr_equal (queue->ops->choose_drop (queue->order, arriving),
                    arriving);
}

/* If every account has one item, one of the lowest priority is dropped.  */
static void
test_drop_without_excess (void **state)
{
  queue_t *queue = *state;
  order_item_t *reports = queue_push (queue, "reports", 3, 1, 100, 100000);
  order_item_t *arriving = queue_item (queue, "desk", 0, 1, 100, 100000);

  queue_push (queue, "salon", 1, 1, 100, 100000);
  assert_ptr_equal (queue->ops->choose_drop (queue->order, arriving), reports);
  arriving = queue_item (queue, "archive", 3, 1, 100, 100000);
  assert_ptr_equal (queue->ops->choose_drop (queue->order, arriving),
                    arriving);
}

static void
test_expired_items_are_found (void **state)
{
  queue_t *queue = *state;
  order_item_t *late = queue_push (queue, "salon", 3, 1, 10, 100);

  queue_push (queue, "arima", 0, 1, 10, 300);
  assert_null (queue->ops->find_expired (queue->order, timespec_from_ms (99)));
  assert_ptr_equal (
      queue->ops->find_expired (queue->order, timespec_from_ms (100)), late);
  queue->ops->remove (queue->order, late, start, false);
  assert_null (
      queue->ops->find_expired (queue->order, timespec_from_ms (200)));
}

/* With random pushes and removals every item leaves the queue once.  */
static void
test_random_use_loses_no_item (void **state)
{
  queue_t *queue = *state;
  char names[ACCOUNTS][16];
  unsigned queued_count = 0;
  unsigned removed_count = 0;

  srand (7);
  for (unsigned i = 0; i < ACCOUNTS; i++)
    snprintf (names[i], sizeof names[i], "account-%u", i);
  while (queue->used < ITEMS || queued_count > 0)
    {
      int action = rand () % 4;

      if (action < 2 && queue->used < ITEMS)
        {
          queue_push (queue, names[rand () % ACCOUNTS], rand () % 4,
                      1 + rand () % 40, 1 + (uint64_t)rand () % 2000,
                      rand () % 10000);
          queued_count++;
          continue;
        }
      if (queued_count == 0)
        continue;
      if (action == 2)
        assert_non_null (queue_serve (queue));
      else
        {
          unsigned index = (unsigned)rand () % queue->used;

          while (queue->items[index].policy_data == NULL)
            index = (index + 1) % queue->used;
          queue->ops->remove (queue->order, &queue->items[index], start,
                              false);
        }
      queued_count--;
      removed_count++;
    }
  assert_int_equal (removed_count, ITEMS);
  assert_null (queue->ops->peek (queue->order, start));
  assert_null (
      queue->ops->find_expired (queue->order, timespec_from_ms (1000000)));
}

typedef struct number
{
  heap_node_t node;
  int value;
} number_t;

static bool
number_before (const heap_node_t *left, const heap_node_t *right)
{
  return CONTAINER_OF (left, number_t, node)->value
         < CONTAINER_OF (right, number_t, node)->value;
}

static void
test_heap_sorts (void **state)
{
  static number_t numbers[1000];
  heap_t heap;
  int previous = -1;
  unsigned count = 0;

  (void)state;
  srand (11);
  heap_init (&heap, number_before);
  for (unsigned i = 0; i < 1000; i++)
    {
      numbers[i].value = rand () % 500;
      heap_insert (&heap, &numbers[i].node);
    }
  for (unsigned i = 0; i < 1000; i += 3)
    heap_remove (&heap, &numbers[i].node);
  while (heap_first (&heap) != NULL)
    {
      number_t *number = CONTAINER_OF (heap_first (&heap), number_t, node);

      assert_true (number->value >= previous);
      previous = number->value;
      heap_remove (&heap, &number->node);
      count++;
    }
  assert_int_equal (count, 666);
}

#define ORDER_TEST(function)                                                  \
  cmocka_unit_test_setup_teardown (function, queue_set_up, queue_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    ORDER_TEST (test_earliest_deadline_within_account),
    ORDER_TEST (test_flooding_account_is_limited_to_its_share),
    ORDER_TEST (test_idle_account_gets_no_credit),
    ORDER_TEST (test_priority_without_starvation),
    ORDER_TEST (test_drop_from_account_with_largest_excess),
    ORDER_TEST (test_drop_without_excess),
    ORDER_TEST (test_expired_items_are_found),
    ORDER_TEST (test_random_use_loses_no_item),
    cmocka_unit_test (test_heap_sorts),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
