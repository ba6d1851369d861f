#ifndef SISKIN_COMMON_STORE_MIRROR_H
#define SISKIN_COMMON_STORE_MIRROR_H

#include "kernel/pool.h"
#include "plugins/store.h"

#include <stdbool.h>
#include <time.h>

/* Follows all keys of the store under a prefix: reads them once, then polls
   for changes, and reads them again when the store no longer knows what has
   changed.  Belongs to one worker.  */
typedef struct store_mirror store_mirror_t;

typedef struct store_mirror_ops
{
  /* A key is new or has changed; a NULL value: it is gone.  A change is told
     once, and never after a newer one of the same key.  */
  void (*on_change) (const store_entry_t *entry, void *data);
  /* All keys have been told, after a full read.  May be NULL.  */
  void (*on_synced) (void *data);
  /* The store answers again, after SILENCE without an answer; told before what
     it answered.  May be NULL.  */
  void (*on_regained) (struct timespec silence, void *data);
  /* A call failed while the store was in touch.  May be NULL.  */
  void (*on_lost) (const char *reason, void *data);
} store_mirror_ops_t;

typedef struct store_mirror_options
{
  const store_ops_t *store_ops;
  store_t *store;
  const char *prefix;
  struct timespec pace; /* from the start of a poll to that of the next, at
                           least; the store also waits that long for a
                           change */
} store_mirror_options_t;

store_mirror_t *store_mirror_create (TALLOC_CTX *parent, worker_t *worker,
                                     const store_mirror_options_t *options,
                                     const store_mirror_ops_t *ops,
                                     void *data);
void store_mirror_destroy (store_mirror_t *mirror);
void store_mirror_poll_now (store_mirror_t *mirror);
bool store_mirror_is_synced (const store_mirror_t *mirror);

#endif
