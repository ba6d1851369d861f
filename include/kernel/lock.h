#ifndef SISKIN_KERNEL_LOCK_H
#define SISKIN_KERNEL_LOCK_H

#include <talloc.h>

/* The lock order.  A thread that holds a lock may only acquire locks of a
   higher rank; debug builds abort on a violation.  Callbacks, network and
   file operations run with no lock held.  */
typedef enum lock_rank
{
  LOCK_MIRROR = 1, /* keys of the store that one worker follows */
  LOCK_GROUPS,     /* lock-step groups and their expert maps */
  LOCK_UPSTREAMS,  /* upstreams known to this process */
  LOCK_ACCOUNTS,   /* client accounts and their shares */
  LOCK_ADMISSION,  /* the admission gate and its queue */
  LOCK_REQUESTS,   /* requests in flight */
  LOCK_CLAIMS,     /* claims of idempotency keys */
  LOCK_PEERS,      /* connections to other processes of the system */
  LOCK_SETTINGS,   /* the settings snapshot pointer */
  LOCK_TASKS,      /* a worker's task queue */
  LOCK_LOG,        /* the log's layout */
  LOCK_LOG_QUEUE,  /* log lines on their way out */
  LOCK_RANK_COUNT
} lock_rank_t;

typedef struct lock lock_t;

lock_t *lock_create (TALLOC_CTX *parent, lock_rank_t rank, const char *name);
void lock_destroy (lock_t *lock);
void lock_acquire (lock_t *lock);
void lock_release (lock_t *lock);

#endif
