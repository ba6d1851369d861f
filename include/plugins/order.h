#ifndef SISKIN_PLUGINS_ORDER_H
#define SISKIN_PLUGINS_ORDER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>
#include <time.h>

/* Queueing policy: the order in which queued requests are served.  It is
   called with the gate's lock held and must not block.  */
typedef struct order order_t;

/* Embedded in each queued request.  */
typedef struct order_item
{
  TAILQ_ENTRY (order_item) link;
  const char *account;
  int64_t priority;         /* 0 is the highest */
  int64_t share;            /* weight of the account in fair queueing */
  uint64_t tokens;          /* size of the request, its cost in the queue */
  struct timespec deadline; /* monotonic */
  void *policy_data;        /* private to the policy */
} order_item_t;

TAILQ_HEAD (order_item_list, order_item);

typedef struct order_ops
{
  order_t *(*create) (TALLOC_CTX *parent);
  void (*destroy) (order_t *order);
  void (*push) (order_t *order, order_item_t *item, struct timespec now);
  /* Return the item to be served next without removing it; NULL when the
     queue is empty.  */
  order_item_t *(*peek) (order_t *order, struct timespec now);
  /* Return a queued item whose deadline has passed, or NULL.  */
  order_item_t *(*find_expired) (order_t *order, struct timespec now);
  /* Remove ITEM: because it is served now if IS_SERVED is set, otherwise
     because it was cancelled, has expired or is dropped.  */
  void (*remove) (order_t *order, order_item_t *item, struct timespec now,
                  bool is_served);
  /* Choose the item to drop when ITEM, not yet queued, arrives at a full
     queue: ITEM itself, or a queued item that ranks below it.  */
  order_item_t *(*choose_drop) (order_t *order, order_item_t *item);
} order_ops_t;

#endif
