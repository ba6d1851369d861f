#ifndef SISKIN_KERNEL_MEMORY_BUDGET_H
#define SISKIN_KERNEL_MEMORY_BUDGET_H

#include "kernel/clock.h"

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

/* The account of all bytes that a process holds for its peers, and of the
   connections that it has accepted.  Usable from all workers.  See
   docs/design/memory-budget.md.  */
typedef struct memory_budget memory_budget_t;

/* The part of a budget that belongs to one worker.  Connections and holders
   accept NULL for it: nothing is counted then, and nothing refused.  */
typedef struct memory_worker memory_worker_t;

typedef struct memory_holder memory_holder_t;

typedef enum memory_reason
{
  MEMORY_REASON_TOTAL,       /* all bytes exceed the limit */
  MEMORY_REASON_LARGE,       /* those of large holders exceed theirs */
  MEMORY_REASON_CONNECTIONS, /* too many connections */
  MEMORY_REASON_COUNT
} memory_reason_t;

typedef struct memory_holder_ops
{
  /* Give up what HOLDER stands for, to make room for others.  Called on the
     holder's worker with no lock held.  The holder must be ended soon
     afterwards; until then it gets no more memory.  */
  void (*drop) (memory_holder_t *holder, memory_reason_t reason);
} memory_holder_ops_t;

/* One peer's part of the account, embedded in the object that holds the
   memory.  Used on its worker's thread only; the members are private.  */
struct memory_holder
{
  /* Link in the budget's list of its size class, or in its worker's list of
     holders to be dropped.  */
  TAILQ_ENTRY (memory_holder) link;
  memory_worker_t *owner;
  const memory_holder_ops_t *ops;
  size_t held;
  atomic_int_fast64_t progressed_ms; /* last progress of the peer */
  int64_t listed_ms;                 /* its time of progress when it was put at
                                        the end of the list */
  memory_reason_t reason;            /* if it is to be dropped */
  bool is_connection;
  bool is_waiting;      /* for the peer, so that it may be dropped */
  bool is_listed;       /* in the list of its size class */
  bool is_chosen;       /* to be dropped */
  bool is_drop_pending; /* in its worker's list of holders to be dropped */
};

typedef struct memory_limits
{
  size_t bytes;
  unsigned connections;
} memory_limits_t;

memory_limits_t memory_limits_for (size_t available_bytes,
                                   unsigned max_descriptors);
memory_budget_t *memory_budget_create (TALLOC_CTX *parent,
                                       const clock_source_t *clock,
                                       const memory_limits_t *limits,
                                       unsigned worker_count);
void memory_budget_destroy (memory_budget_t *budget);
memory_worker_t *memory_budget_worker (memory_budget_t *budget,
                                       unsigned index);
/* WAKE is called from any thread, with the budget's lock held, when holders of
   WORKER are to be dropped; the worker then calls memory_worker_drop.  */
void memory_worker_set_wake (memory_worker_t *worker,
                             void (*wake) (void *data), void *data);
void memory_worker_drop (memory_worker_t *worker);
size_t memory_budget_held (memory_budget_t *budget);
void memory_budget_trim (memory_budget_t *budget);

/* Returns whether WORKER may accept another connection.  */
bool memory_admit_connection (memory_worker_t *worker);
void memory_holder_start (memory_holder_t *holder, memory_worker_t *worker,
                          const memory_holder_ops_t *ops);
/* Like memory_holder_start, for a connection that was admitted.  */
void memory_holder_start_connection (memory_holder_t *holder,
                                     memory_worker_t *worker,
                                     const memory_holder_ops_t *ops);
void memory_holder_end (memory_holder_t *holder);
/* Whether HOLDER waits for its peer.  One that this process works for is never
   dropped.  */
void memory_holder_set_waiting (memory_holder_t *holder, bool is_waiting);
/* The peer has sent or read something.  */
void memory_holder_progress (memory_holder_t *holder);
bool memory_reserve (memory_holder_t *holder, size_t bytes);
/* Counts BYTES more for HOLDER even if there is no room, dropping others as
   far as possible: for what this process itself asks for.  */
void memory_charge (memory_holder_t *holder, size_t bytes);
/* Returns what to account for BYTES: nothing up to UNCHARGED_BYTES, otherwise
   as many whole steps as they need, so that small objects and small changes do
   not take the budget's lock.  */
size_t memory_round_up (size_t bytes, size_t uncharged_bytes,
                        size_t step_bytes);
/* Reserves or releases the difference.  Returns false, and changes nothing, if
   that is refused.  */
bool memory_set_held (memory_holder_t *holder, size_t bytes);

#endif
