#include "kernel/clock.h"
#include "kernel/heap.h"
#include "kernel/plugin.h"
#include "kernel/table.h"
#include "plugins/order.h"

#include <string.h>

enum
{
  CLASS_SHARE_DIVISOR = 8, /* of the tokens served, for a class passed over */
  TIME_SCALE = 1024        /* virtual time is in tokens / share / 1024 */
};

/* An account with work in the queue, or that had more than its share of late.
   Virtual time is the tokens served divided by the share: the account with the
   least is next.  */
typedef struct fair_account
{
  table_node_t node;
  heap_node_t turn_node;    /* by virtual time, in its class */
  heap_node_t backlog_node; /* by backlog, in the order */
  struct fair_class *class;
  char *key; /* priority and name */
  int64_t share;
  uint64_t time;
  uint64_t tokens; /* queued */
  uint64_t count;  /* queued */
  uint64_t excess; /* backlog beyond one item, by share */
  heap_t items;    /* by deadline */
  struct order_item_list arrivals;
} fair_account_t;

/* The policy's part of a queued item.  */
typedef struct fair_item
{
  heap_node_t turn_node; /* in its account */
  heap_node_t late_node; /* in the order */
  order_item_t *item;
  fair_account_t *account;
} fair_item_t;

/* The accounts of one priority.  */
typedef struct fair_class
{
  TAILQ_ENTRY (fair_class) link; /* most important first */
  int64_t priority;
  heap_t turns;
  uint64_t time;
  uint64_t owed; /* tokens, while more important classes were served */
  uint64_t count;
} fair_class_t;

struct order
{
  TAILQ_HEAD (, fair_class) classes;
  table_t *accounts; /* under the gate's lock, like all of this */
  heap_t late;
  heap_t backlogs;
};

static bool
item_turn_before (const heap_node_t *left, const heap_node_t *right)
{
  const order_item_t *a = CONTAINER_OF (left, fair_item_t, turn_node)->item;
  const order_item_t *b = CONTAINER_OF (right, fair_item_t, turn_node)->item;

  return timespec_compare (a->deadline, b->deadline) < 0;
}

static bool
item_late_before (const heap_node_t *left, const heap_node_t *right)
{
  const order_item_t *a = CONTAINER_OF (left, fair_item_t, late_node)->item;
  const order_item_t *b = CONTAINER_OF (right, fair_item_t, late_node)->item;

  return timespec_compare (a->deadline, b->deadline) < 0;
}

static bool
account_turn_before (const heap_node_t *left, const heap_node_t *right)
{
  return CONTAINER_OF (left, fair_account_t, turn_node)->time
         < CONTAINER_OF (right, fair_account_t, turn_node)->time;
}

/* The largest excess first; among equals the least important class.  */
static bool
account_backlog_before (const heap_node_t *left, const heap_node_t *right)
{
  const fair_account_t *a = CONTAINER_OF (left, fair_account_t, backlog_node);
  const fair_account_t *b = CONTAINER_OF (right, fair_account_t, backlog_node);

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
  heap_init (&order->late, item_late_before);
  heap_init (&order->backlogs, account_backlog_before);
  return order;
}

static void
fair_destroy (order_t *order)
{
  talloc_free (order);
}

static fair_class_t *
class_of (order_t *order, int64_t priority)
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
  heap_init (&created->turns, account_turn_before);
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

static fair_account_t *
account_of (order_t *order, const order_item_t *item)
{
  char *key = account_key (order, item);
  fair_account_t *account = account_find (order, key);

  if (account == NULL)
    {
      account = talloc_zero (order, fair_account_t);
      account->class = class_of (order, item->priority);
      account->key = talloc_steal (account, key);
      heap_init (&account->items, item_turn_before);
      TAILQ_INIT (&account->arrivals);
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

/* With nothing queued in CLASS nobody contends: what was used is forgotten. */
static void
class_forget (order_t *order, fair_class_t *class)
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
  class->time = 0;
  class->owed = 0;
}

/* Take ACCOUNT out of the heaps that its numbers order.  */
static void
account_suspend (order_t *order, fair_account_t *account)
{
  if (account->count == 0)
    return;
  heap_remove (&account->class->turns, &account->turn_node);
  heap_remove (&order->backlogs, &account->backlog_node);
}

static void
account_resume (order_t *order, fair_account_t *account)
{
  if (account->count == 0)
    return;
  account->excess = account->tokens * (account->count - 1) * TIME_SCALE
                    / account->count / (uint64_t)account->share;
  heap_insert (&account->class->turns, &account->turn_node);
  heap_insert (&order->backlogs, &account->backlog_node);
}

static void
fair_push (order_t *order, order_item_t *item, struct timespec now)
{
  fair_account_t *account = account_of (order, item);
  fair_item_t *fair = talloc_zero (account, fair_item_t);

  (void)now;
  item->policy_data = fair;
  fair->item = item;
  fair->account = account;
  account_suspend (order, account);
  if (account->count == 0 && account->time < account->class->time)
    account->time = account->class->time;
  account->count++;
  account->tokens += item->tokens;
  account->class->count++;
  TAILQ_INSERT_TAIL (&account->arrivals, item, link);
  heap_insert (&account->items, &fair->turn_node);
  heap_insert (&order->late, &fair->late_node);
  account_resume (order, account);
}

static order_item_t *
class_first (const fair_class_t *class)
{
  const heap_node_t *node = heap_first (&class->turns);
  const fair_account_t *account;

  if (node == NULL)
    return NULL;
  account = CONTAINER_OF (node, fair_account_t, turn_node);
  return CONTAINER_OF (heap_first (&account->items), fair_item_t, turn_node)
      ->item;
}

/* The most important class is served first, but while it is, every other class
   that waits is owed an eighth of the tokens, and is served once it is owed
   what its next item needs.  */
static order_item_t *
fair_peek (order_t *order, struct timespec now)
{
  order_item_t *first = NULL;
  fair_class_t *class;

  (void)now;
  TAILQ_FOREACH (class, &order->classes, link)
    {
      order_item_t *item = class_first (class);

      if (item != NULL && class->owed > 0 && class->owed >= item->tokens)
        return item;
      if (first == NULL)
        first = item;
    }
  return first;
}

static order_item_t *
fair_late (order_t *order, struct timespec now)
{
  const heap_node_t *node = heap_first (&order->late);
  order_item_t *item;

  if (node == NULL)
    return NULL;
  item = CONTAINER_OF (node, fair_item_t, late_node)->item;
  return timespec_compare (item->deadline, now) <= 0 ? item : NULL;
}

static void
class_charge (order_t *order, fair_class_t *served, uint64_t tokens)
{
  fair_class_t *class;

  served->owed = served->owed > tokens ? served->owed - tokens : 0;
  TAILQ_FOREACH (class, &order->classes, link)
    {
      if (class->priority > served->priority && class->count > 0)
        class->owed
            += (tokens + CLASS_SHARE_DIVISOR - 1) / CLASS_SHARE_DIVISOR;
    }
}

static void
fair_remove (order_t *order, order_item_t *item, struct timespec now,
             bool is_served)
{
  fair_item_t *fair = item->policy_data;
  fair_account_t *account = fair->account;
  fair_class_t *class = account->class;

  (void)now;
  account_suspend (order, account);
  TAILQ_REMOVE (&account->arrivals, item, link);
  heap_remove (&account->items, &fair->turn_node);
  heap_remove (&order->late, &fair->late_node);
  account->count--;
  account->tokens -= item->tokens;
  class->count--;
  if (is_served)
    {
      if (class->time < account->time)
        class->time = account->time;
      account->time += item->tokens * TIME_SCALE / (uint64_t)account->share;
      class_charge (order, class, item->tokens);
    }
  account_resume (order, account);
  item->policy_data = NULL;
  talloc_free (fair);
  if (class->count == 0)
    class_forget (order, class);
}

/* The newest item of the account most over its share, with ITEM counted as if
   it were queued; if no account has more than one, of the least important
   class.  */
static order_item_t *
fair_victim (order_t *order, order_item_t *item)
{
  const heap_node_t *node;
  const fair_account_t *account;
  order_item_t *victim;

  fair_push (order, item, (struct timespec){ 0, 0 });
  node = heap_first (&order->backlogs);
  account = CONTAINER_OF (node, fair_account_t, backlog_node);
  victim = TAILQ_LAST (&account->arrivals, order_item_list);
  if (account->excess == 0
      && account->class->priority
             == ((fair_item_t *)item->policy_data)->account->class->priority)
    victim = item;
  fair_remove (order, item, (struct timespec){ 0, 0 }, false);
  return victim;
}

static const order_ops_t fair_ops = {
  .create = fair_create,
  .destroy = fair_destroy,
  .push = fair_push,
  .peek = fair_peek,
  .late = fair_late,
  .remove = fair_remove,
  .victim = fair_victim,
};

PLUGIN_REGISTER (fair, PLUGIN_ORDER, "fair",
                 "priority, then each account's share of the tokens",
                 &fair_ops);
