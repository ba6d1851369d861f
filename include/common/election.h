#ifndef SISKIN_COMMON_ELECTION_H
#define SISKIN_COMMON_ELECTION_H

#include "kernel/pool.h"
#include "plugins/store.h"

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Leader election: the leader is the process that holds a key in the store,
   which is attached to a lease.  Each leader gets a fencing token (fence)
   higher than those of all leaders before it.  The fence also identifies the
   period of leadership; the FRAME_RANK_* frames call it the term.  A leader
   that cannot reach the store continues to lead, even when its lease may have
   expired: its successor has a higher fence, and the processes that they
   command reject lower ones.  Belongs to one worker.  */
typedef struct election election_t;

/* The previous leader, whose key was overwritten by election_take_over.  */
typedef struct displaced_leader
{
  const char *holder;
  uint64_t fence;
} displaced_leader_t;

typedef struct election_ops
{
  /* This process has become the leader.  DISPLACED is NULL unless the key was
     taken over from a leader whose lease had not expired.  */
  void (*on_won) (uint64_t fence, const displaced_leader_t *displaced,
                  void *data);
  /* The store has reported that the lease of this process has expired, or it
     was restored from a copy, so another process may be the leader.  The owner
     must stop leading at once; the election continues and may call on_won
     again.  Not called while the store cannot be reached, or by
     election_resign.  */
  void (*on_lost) (void *data);
} election_ops_t;

typedef struct election_options
{
  const store_ops_t *store_ops;
  store_t *store;
  const char *key;
  const char *holder;       /* value of the key while this process leads;
                               unique to this run of this process */
  struct timespec duration; /* of the lease */
} election_options_t;

election_t *election_create (TALLOC_CTX *parent, worker_t *worker,
                             const election_options_t *options,
                             const election_ops_t *ops, void *data);
void election_destroy (election_t *election);
void election_campaign (election_t *election);
bool election_take_over (election_t *election);
void election_resign (election_t *election);
/* Return whether the lease may have expired, since it was not renewed for its
   duration: another process may be the leader.  */
bool election_is_lease_over (const election_t *election);

#endif
