#ifndef SISKIN_KERNEL_LOCK_H
#define SISKIN_KERNEL_LOCK_H

#include <talloc.h>

/* The position of a lock in the lock order; unrelated to the ranks of
   lock-step groups.  A thread that holds a lock may only acquire locks of a
   higher rank; debug builds abort on a violation.  Network and file operations
   and completion callbacks run with no lock held.  Policy plug-ins are called
   under the lock of the module that uses them, so they must not block or call
   back.  */
typedef enum lock_rank
{
  /* A local copy of keys of the store.  Only one worker uses it; it has a lock
     only because every table_t has one.  */
  LOCK_MIRROR = 1,
  LOCK_GROUPS,      /* lock-step groups and their expert maps */
  LOCK_UPSTREAMS,   /* upstreams known to this process */
  LOCK_RATE_LIMITS, /* limits that upstreams have named */
  LOCK_ACCOUNTS,    /* queue shares by account, retry budgets by service, and
                       client timeouts by route */
  LOCK_ADMISSION,   /* the admission gate and its queue */
  LOCK_REQUESTS,    /* requests in flight */
  LOCK_CRASHES,     /* attempts that may show a crash */
  LOCK_SUSPECTS,    /* segments suspected of crashes */
  LOCK_CLAIMS,      /* claims on idempotency keys */
  LOCK_PEERS,       /* connections to other processes of the system */
  LOCK_SETTINGS,    /* pointers to the current settings and rules */
  LOCK_MEMORY,      /* memory held for peers */
  LOCK_TASKS,       /* a worker's task queue */
  LOCK_LOG,         /* formatting of log lines */
  LOCK_LOG_QUEUE,   /* formatted log lines to be written */
  LOCK_RANK_COUNT
} lock_rank_t;

typedef struct lock lock_t;

lock_t *lock_create (TALLOC_CTX *parent, lock_rank_t rank, const char *name);
void lock_destroy (lock_t *lock);
void lock_acquire (lock_t *lock);
void lock_release (lock_t *lock);

#endif
