#include "kernel/clock.h"
#include "kernel/heap.h"
#include "kernel/plugin.h"
#include "kernel/table.h"
#include "plugins/order.h"

#include <string.h>

enum
{
  CREDIT_DIVISOR = 8, /* a waiting class earns 1/8 of the tokens served */
  VIRTUAL_TIME_SCALE = 1024 /* virtual time per token at a share of 1 */
};

/* An account with queued items, or one that was served since the queue of its
   class was last empty.  Its virtual time is the number of tokens served
   divided by its share; the account with the lowest virtual time is served
   next.  */
typedef struct fair_account
{
  table_node_t node;
  heap_node_t time_node;   /* in accounts_by_time of its class */
  heap_node_t excess_node; /* in accounts_by_excess */
  struct fair_class *class;
  char *key; /* key in the table: priority and name */
  int64_t share;
  uint64_t virtual_time;
  uint64_t tokens; /* total tokens of the queued items */
  uint64_t count;  /* number of queued items */
  uint64_t excess; /* queued tokens beyond one average item, by share */
  heap_t items_by_deadline;
  struct order_item_list items_by_arrival;
} fair_account_t;

/* The policy's data of a queued item.  */
typedef struct fair_item
{
  heap_node_t account_node;  /* in items_by_deadline of its account */
  heap_node_t deadline_node; /* in by_deadline of the order */
  order_item_t *item;
  fair_account_t *account;
} fair_item_t;

/* The accounts of one priority.  */
typedef struct fair_class
{
  TAILQ_ENTRY (fair_class) link; /* highest priority first */
  int64_t priority;
  heap_t accounts_by_time;
  uint64_t virtual_time; /* virtual time of the account served last */
  uint64_t credit;       /* tokens earned while higher classes were served */
  uint64_t count;        /* number of queued items */
} fair_class_t;

struct order
{
  TAILQ_HEAD (, fair_class) classes;
  table_t *accounts;  /* like all members protected by the gate's lock */
  heap_t by_deadline; /* all items */
  heap_t accounts_by_excess;
};

static bool
account_item_before (const heap_node_t *left, const heap_node_t *right)
{
  const order_item_t *a = CONTAINER_OF (left, fair_item_t, account_node)->item;
  const order_item_t *b
      = CONTAINER_OF (right, fair_item_t, account_node)->item;

  return timespec_compare (a->deadline, b->deadline) < 0;
}

static bool
item_deadline_before (const heap_node_t *left, const heap_node_t *right)
{
  const order_item_t *a
      = CONTAINER_OF (left, fair_item_t, deadline_node)->item;
  const order_item_t *b
      = CONTAINER_OF (right, fair_item_t, deadline_node)->item;

  return timespec_compare (a->deadline, b->deadline) < 0;
}

static bool
account_time_before (const heap_node_t *left, const heap_node_t *right)
{
  return CONTAINER_OF (left, fair_account_t, time_node)->virtual_time
         < CONTAINER_OF (right, fair_account_t, time_node)->virtual_time;
}

/* Order by decreasing excess; at equal excess the account of the lower
   priority (the larger number) comes first.  */
static bool
account_excess_before (const heap_node_t *left, const heap_node_t *right)
{
  const fair_account_t *a = CONTAINER_OF (left, fair_account_t, excess_node);
  const fair_account_t *b = CONTAINER_OF (right, fair_account_t, excess_node);

  if (a->excess != b->excess)
    return a->excess > b->excess;
  return a->class->priority > b->class->priority;
}

static order_t *
fair_create (TALLOC_CTX *parent)
{
  order_t *order = talloc_zero (parent, order_t);

  if (order == NULL)
    return NULL;
  TAILQ_INIT (&order->classes);
  order->accounts = table_create (order, LOCK_ACCOUNTS, "fair-accounts");
  heap_init (&order->by_deadline, item_deadline_before);
  heap_init (&order->accounts_by_excess, account_excess_before);
  return order;
}

static void
fair_destroy (order_t *order)
{
  talloc_free (order);
}

/* Return the class of PRIORITY, which is created if there is none yet.  */
static fair_class_t *
class_find_or_create (order_t *order, int64_t priority)
{
  fair_class_t *class;
  fair_class_t *created;

  TAILQ_FOREACH (class, &order->classes, link)
    {
      if (class->priority == priority)
        return class;
      if (class->priority > priority)
        break;
    }
  created = talloc_zero (order, fair_class_t);
  created->priority = priority;
  heap_init (&created->accounts_by_time, account_time_before);
  if (class == NULL)
    TAILQ_INSERT_TAIL (&order->classes, created, link);
  else
    TAILQ_INSERT_BEFORE (class, created, link);
  return created;
}

static char *
account_key (TALLOC_CTX *parent, const order_item_t *item)
{
  return talloc_asprintf (parent, "%lld/%s", (long long)item->priority,
                          item->account);
}

static fair_account_t *
account_find (const order_t *order, const char *key)
{
  table_node_t *node = table_find (order->accounts, key, strlen (key));

  return node == NULL ? NULL : CONTAINER_OF (node, fair_account_t, node);
}

/* Return the account of ITEM with ITEM's share.  It is created if there is
   none yet.  */
static fair_account_t *
account_find_or_create (order_t *order, const order_item_t *item)
{
  char *key = account_key (order, item);
  fair_account_t *account = account_find (order, key);

  if (account == NULL)
    {
      account = talloc_zero (order, fair_account_t);
      account->class = class_find_or_create (order, item->priority);
      account->key = talloc_steal (account, key);
      heap_init (&account->items_by_deadline, account_item_before);
      TAILQ_INIT (&account->items_by_arrival);
      table_insert (order->accounts, &account->node, account->key,
                    strlen (account->key));
    }
  else
    talloc_free (key);
  account->share = item->share > 0 ? item->share : 1;
  return account;
}

static void
account_free (order_t *order, fair_account_t *account)
{
  table_remove (order->accounts, &account->node);
  talloc_free (account);
}

/* Forget the past usage in CLASS.  Called when nothing is queued in it, so
   that no account is competing for a share.  */
static void
class_reset (order_t *order, fair_class_t *class)
{
  table_node_t *node;
  table_node_t *next;

  for (node = table_next (order->accounts, NULL); node != NULL; node = next)
    {
      fair_account_t *account = CONTAINER_OF (node, fair_account_t, node);

      next = table_next (order->accounts, node);
      if (account->class == class)
        account_free (order, account);
    }
  class->virtual_time = 0;
  class->credit = 0;
}

/* Remove ACCOUNT from the heaps before its sort keys change.  */
static void
account_remove_from_heaps (order_t *order, fair_account_t *account)
{
  if (account->count == 0)
    return;
  heap_remove (&account->class->accounts_by_time, &account->time_node);
  heap_remove (&order->accounts_by_excess, &account->excess_node);
}

/* Update the excess of ACCOUNT and put ACCOUNT into the heaps.  */
static void
account_add_to_heaps (order_t *order, fair_account_t *account)
{
  if (account->count == 0)
    return;
  account->excess = account->tokens * (account->count - 1) * VIRTUAL_TIME_SCALE
                    / account->count / (uint64_t)account->share;
  heap_insert (&account->class->accounts_by_time, &account->time_node);
  heap_insert (&order->accounts_by_excess, &account->excess_node);
}

/* Queue ITEM.  An account that had nothing queued starts at the virtual time
   of its class, so that it gets no credit for the time it was idle.  */
static void
fair_push (order_t *order, order_item_t *item, struct timespec now)
{
  fair_account_t *account = account_find_or_create (order, item);
  fair_item_t *fair = talloc_zero (account, fair_item_t);

  (void)now;
  item->policy_data = fair;
  fair->item = item;
  fair->account = account;
  account_remove_from_heaps (order, account);
  if (account->count == 0
      && account->virtual_time < account->class->virtual_time)
    account->virtual_time = account->class->virtual_time;
  account->count++;
  account->tokens += item->tokens;
  account->class->count++;
  TAILQ_INSERT_TAIL (&account->items_by_arrival, item, link);
  heap_insert (&account->items_by_deadline, &fair->account_node);
  heap_insert (&order->by_deadline, &fair->deadline_node);
  account_add_to_heaps (order, account);
}

/* Return the next item of CLASS, or NULL if nothing is queued in it.  */
static order_item_t *
class_first (const fair_class_t *class)
{
  const heap_node_t *node = heap_first (&class->accounts_by_time);
  const fair_account_t *account;

  if (node == NULL)
    return NULL;
  account = CONTAINER_OF (node, fair_account_t, time_node);
  return CONTAINER_OF (heap_first (&account->items_by_deadline), fair_item_t,
                       account_node)
      ->item;
}

/* Return the next item.  The waiting class of the highest priority is served
   first.  To prevent starvation, every waiting class of lower priority earns
   1/8 of the tokens served, and is served as soon as the tokens it has earned
   cover its next item.  */
static order_item_t *
fair_peek (order_t *order, struct timespec now)
{
  order_item_t *first = NULL;
  fair_class_t *class;

  (void)now;
  TAILQ_FOREACH (class, &order->classes, link)
    {
      order_item_t *item = class_first (class);

      if (item != NULL && class->credit > 0 && class->credit >= item->tokens)
        return item;
      if (first == NULL)
        first = item;
    }
  return first;
}

static order_item_t *
fair_find_expired (order_t *order, struct timespec now)
{
  const heap_node_t *node = heap_first (&order->by_deadline);
  order_item_t *item;

  if (node == NULL)
    return NULL;
  item = CONTAINER_OF (node, fair_item_t, deadline_node)->item;
  return timespec_compare (item->deadline, now) <= 0 ? item : NULL;
}

/* Subtract TOKENS from the credit of the class SERVED, and add a part of them
   to the credit of each waiting class of lower priority.  */
static void
class_charge (order_t *order, fair_class_t *served, uint64_t tokens)
{
  fair_class_t *class;

  served->credit = served->credit > tokens ? served->credit - tokens : 0;
  TAILQ_FOREACH (class, &order->classes, link)
    {
      if (class->priority > served->priority && class->count > 0)
        class->credit += (tokens + CREDIT_DIVISOR - 1) / CREDIT_DIVISOR;
    }
}

/* Remove ITEM and, if it is served, charge its account and class.  */
static void
fair_remove (order_t *order, order_item_t *item, struct timespec now,
             bool is_served)
{
  fair_item_t *fair = item->policy_data;
  fair_account_t *account = fair->account;
  fair_class_t *class = account->class;

  (void)now;
  account_remove_from_heaps (order, account);
  TAILQ_REMOVE (&account->items_by_arrival, item, link);
  heap_remove (&account->items_by_deadline, &fair->account_node);
  heap_remove (&order->by_deadline, &fair->deadline_node);
  account->count--;
  account->tokens -= item->tokens;
  class->count--;
  if (is_served)
    {
      if (class->virtual_time < account->virtual_time)
        class->virtual_time = account->virtual_time;
      account->virtual_time
          += item->tokens * VIRTUAL_TIME_SCALE / (uint64_t)account->share;
      class_charge (order, class, item->tokens);
    }
  account_add_to_heaps (order, account);
  item->policy_data = NULL;
  talloc_free (fair);
  if (class->count == 0)
    class_reset (order, class);
}

/* Return the newest item of the account with the largest excess, counting ITEM
   as queued.  If no account has more than one item, the accounts of the lowest
   priority class are considered, and ITEM itself is preferred if it belongs to
   that class.  */
static order_item_t *
fair_choose_drop (order_t *order, order_item_t *item)
{
  const heap_node_t *node;
  const fair_account_t *account;
  order_item_t *drop;

  fair_push (order, item, (struct timespec){ 0, 0 });
  node = heap_first (&order->accounts_by_excess);
  account = CONTAINER_OF (node, fair_account_t, excess_node);
  drop = TAILQ_LAST (&account->items_by_arrival, order_item_list);
  if (account->excess == 0
      && account->class->priority
             == ((fair_item_t *)item->policy_data)->account->class->priority)
    drop = item;
  fair_remove (order, item, (struct timespec){ 0, 0 }, false);
  return drop;
}

static const order_ops_t fair_ops = {
  .create = fair_create,
  .destroy = fair_destroy,
  .push = fair_push,
  .peek = fair_peek,
  .find_expired = fair_find_expired,
  .remove = fair_remove,
  .choose_drop = fair_choose_drop,
};

PLUGIN_REGISTER (fair, PLUGIN_ORDER, "fair",
                 "by priority, then by each account's share of the tokens",
                 &fair_ops);
