#ifndef SISKIN_COMMON_TERM_H
#define SISKIN_COMMON_TERM_H

#include "kernel/pool.h"
#include "plugins/store.h"

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Leader election: the leader is the holder of a key in the store that is
   attached to a lease.  Each holder gets a fencing token (fence) higher than
   those of all holders before it.  A holder that cannot reach the store
   continues to lead; its successor has a higher fence, and the processes that
   are led reject lower ones.  Belongs to one worker.  */
typedef struct term election_t;

/* The leader whose key was overwritten by election_take_over.  */
typedef struct displaced_leader
{
  const char *holder;
  uint64_t fence;
} displaced_leader_t;

typedef struct election_ops
{
  /* This process is the leader.  DISPLACED is NULL unless the key was taken
     over from a holder whose lease had not expired.  */
  void (*on_won) (uint64_t fence, const displaced_leader_t *displaced,
                  void *data);
  /* The lease has expired, so another process may be the leader.  */
  void (*on_lost) (void *data);
} election_ops_t;

typedef struct election_options
{
  const store_ops_t *store_ops;
  store_t *store;
  const char *key;
  const char *holder;       /* unique to this run of this process */
  struct timespec duration; /* of the lease */
} election_options_t;

election_t *election_create (TALLOC_CTX *parent, worker_t *worker,
                             const election_options_t *options,
                             const election_ops_t *ops, void *data);
void election_destroy (election_t *term);
void election_campaign (election_t *term);
bool election_take_over (election_t *term);
void election_resign (election_t *term);

#endif
