#include "kernel/lock.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

struct lock
{
  pthread_mutex_t mutex;
  lock_rank_t rank;
  const char *name;
};

/* The locks that the calling thread holds, by increasing rank.  */
static _Thread_local const lock_t *held_locks[LOCK_RANK_COUNT];
static _Thread_local unsigned held_count;

#ifndef NDEBUG
/* Abort unless LOCK ranks above every lock that the calling thread holds.  */
static void
lock_check_order (const lock_t *lock)
{
  const lock_t *last;

  if (held_count == 0)
    return;
  last = held_locks[held_count - 1];
  if (last->rank < lock->rank)
    return;
  fprintf (stderr, "lock order violated: %s (rank %d) while holding %s (%d)\n",
           lock->name, (int)lock->rank, last->name, (int)last->rank);
  abort ();
}
#endif

static int
lock_free (lock_t *lock)
{
  pthread_mutex_destroy (&lock->mutex);
  return 0;
}

/* Create a lock of RANK.  NAME, which is kept by reference, appears in reports
   of lock order violations.  Returns NULL when memory is exhausted.  */
lock_t *
lock_create (TALLOC_CTX *parent, lock_rank_t rank, const char *name)
{
  lock_t *lock = talloc_zero (parent, lock_t);

  if (lock == NULL)
    return NULL;
  pthread_mutex_init (&lock->mutex, NULL);
  lock->rank = rank;
  lock->name = name;
  talloc_set_destructor (lock, lock_free);
  return lock;
}

/* Free LOCK, which must not be held.  */
void
lock_destroy (lock_t *lock)
{
  talloc_free (lock);
}

/* Acquire LOCK, blocking while another thread holds it.  Locks are not
   recursive.  */
void
lock_acquire (lock_t *lock)
{
#ifndef NDEBUG
  lock_check_order (lock);
#endif
  pthread_mutex_lock (&lock->mutex);
  held_locks[held_count++] = lock;
}

/* Release LOCK, which must be the last one that this thread acquired.  */
void
lock_release (lock_t *lock)
{
#ifndef NDEBUG
  if (held_count == 0 || held_locks[held_count - 1] != lock)
    {
      fprintf (stderr, "lock %s released out of order\n", lock->name);
      abort ();
    }
#endif
  held_count--;
  pthread_mutex_unlock (&lock->mutex);
}
