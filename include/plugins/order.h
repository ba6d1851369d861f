#ifndef SISKIN_PLUGINS_ORDER_H
#define SISKIN_PLUGINS_ORDER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>
#include <time.h>

/* The order in which waiting work is served.  A policy is called with the
   gate's lock held and must not block.  */
typedef struct order order_t;

/* Embedded in the work that waits.  */
typedef struct order_item
{
  TAILQ_ENTRY (order_item) link;
  const char *account;
  int64_t priority; /* 0 comes first */
  int64_t share;
  uint64_t tokens;
  struct timespec deadline; /* monotonic */
  void *policy_data;        /* the policy's own */
} order_item_t;

TAILQ_HEAD (order_item_list, order_item);

typedef struct order_ops
{
  order_t *(*create) (TALLOC_CTX *parent);
  void (*destroy) (order_t *order);
  void (*push) (order_t *order, order_item_t *item, struct timespec now);
  /* The item to be served next, which stays queued; NULL when empty.  */
  order_item_t *(*peek) (order_t *order, struct timespec now);
  /* An item whose deadline has passed; NULL when there is none.  */
  order_item_t *(*find_expired) (order_t *order, struct timespec now);
  /* Take ITEM out: served when IS_SERVED, else cancelled or expired.  */
  void (*remove) (order_t *order, order_item_t *item, struct timespec now,
                  bool is_served);
  /* The item to be dropped when the queue is full: ITEM itself or a queued
     one that deserves its place less.  */
  order_item_t *(*choose_drop) (order_t *order, order_item_t *item);
} order_ops_t;

#endif
