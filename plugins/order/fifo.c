#include "kernel/clock.h"
#include "kernel/plugin.h"
#include "plugins/order.h"

/* Queue in order of arrival; a new item is dropped when it is full.  */
struct order
{
  TAILQ_HEAD (, order_item) items;
};

static order_t *
fifo_create (TALLOC_CTX *parent)
{
  order_t *order = talloc_zero (parent, order_t);

  if (order != NULL)
    TAILQ_INIT (&order->items);
  return order;
}

static void
fifo_destroy (order_t *order)
{
  talloc_free (order);
}

static void
fifo_push (order_t *order, order_item_t *item, struct timespec now)
{
  (void)now;
  TAILQ_INSERT_TAIL (&order->items, item, link);
}

static order_item_t *
fifo_peek (order_t *order, struct timespec now)
{
  (void)now;
  return TAILQ_FIRST (&order->items);
}

static order_item_t *
fifo_find_expired (order_t *order, struct timespec now)
{
  order_item_t *item;

  TAILQ_FOREACH (item, &order->items, link)
    {
      if (timespec_compare (item->deadline, now) <= 0)
        return item;
    }
  return NULL;
}

static void
fifo_remove (order_t *order, order_item_t *item, struct timespec now,
             bool is_served)
{
  (void)now;
  (void)is_served;
  TAILQ_REMOVE (&order->items, item, link);
}

static order_item_t *
fifo_choose_drop (order_t *order, order_item_t *item)
{
  (void)order;
  return item;
}

static const order_ops_t fifo_ops = {
  .create = fifo_create,
  .destroy = fifo_destroy,
  .push = fifo_push,
  .peek = fifo_peek,
  .find_expired = fifo_find_expired,
  .remove = fifo_remove,
  .choose_drop = fifo_choose_drop,
};

PLUGIN_REGISTER (fifo, PLUGIN_ORDER, "fifo",
                 "first come, first served; a baseline", &fifo_ops);
