#ifndef SISKIN_COMMON_TERM_H
#define SISKIN_COMMON_TERM_H

#include "kernel/pool.h"
#include "plugins/store.h"

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* The right to lead, held by a key of the store that hangs on a lease.  Each
   holder has a fence that is higher than those of all before it.  A holder
   that the store cannot be reached by goes on: who takes over has the higher
   fence, which those that are led check.  Belongs to one worker.  */
typedef struct term term_t;

/* A term that was taken from its holder.  */
typedef struct term_displaced
{
  const char *holder;
  uint64_t fence;
} term_displaced_t;

typedef struct term_ops
{
  /* SEIZED is the term that was taken from its holder, or NULL.  */
  void (*on_won) (uint64_t fence, const term_displaced_t *seized, void *data);
  /* The lease has ended; another may lead.  */
  void (*on_lost) (void *data);
} term_ops_t;

typedef struct term_options
{
  const store_ops_t *store_ops;
  store_t *store;
  const char *key;
  const char *holder;       /* unique to this run of this process */
  struct timespec duration; /* of the lease */
} term_options_t;

term_t *term_create (TALLOC_CTX *parent, worker_t *worker,
                     const term_options_t *options, const term_ops_t *ops,
                     void *data);
void term_destroy (term_t *term);
void term_campaign (term_t *term);
bool term_take_over (term_t *term);
void term_resign (term_t *term);

#endif
