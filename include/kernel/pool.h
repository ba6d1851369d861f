#ifndef SISKIN_KERNEL_POOL_H
#define SISKIN_KERNEL_POOL_H

#include "kernel/clock.h"
#include "kernel/memory_budget.h"
#include "kernel/status.h"

#include <stdbool.h>
#include <sys/queue.h>
#include <talloc.h>
#include <tevent.h>

/* A fixed number of workers, each with its own event loop.  */
typedef struct pool pool_t;
typedef struct worker worker_t;
typedef struct task task_t;
typedef struct worker_timer worker_timer_t;

/* Called on the worker's own thread.  */
typedef void (*worker_handler_t) (worker_t *worker, void *data);

/* A unit of work that is posted to a worker; embedded in the object that it
   works on.  A task may be posted again as soon as it has started to run.  It
   must not be posted while it is queued, which is not checked and would
   corrupt the queue.  */
struct task
{
  STAILQ_ENTRY (task) link;
  void (*run) (task_t *task, worker_t *worker);
};

pool_t *pool_create (TALLOC_CTX *parent, unsigned worker_count,
                     const clock_source_t *clock);
void pool_destroy (pool_t *pool);
status_t pool_start (pool_t *pool);
void pool_stop (pool_t *pool);
void pool_join (pool_t *pool);
unsigned pool_worker_count (const pool_t *pool);
worker_t *pool_worker (pool_t *pool, unsigned index);

/* Count what POOL's workers hold for peers in BUDGET, which must outlive POOL
   and have a part for each worker.  Must precede the use of worker_memory.  */
void pool_set_memory_budget (pool_t *pool, memory_budget_t *budget);

unsigned worker_index (const worker_t *worker);
pool_t *worker_pool (const worker_t *worker);
struct tevent_context *worker_events (const worker_t *worker);
const clock_source_t *worker_clock (const worker_t *worker);
/* Returns the worker's part of the memory budget, NULL if there is none.  */
memory_worker_t *worker_memory (const worker_t *worker);
void worker_post (worker_t *worker, task_t *task);
/* Run HANDLER once on WORKER after DELAY.  Must be called on WORKER's own
   thread.  OWNER is the talloc parent of the timer.  Freeing the timer,
   directly or with OWNER, cancels it.  The timer is freed automatically just
   before HANDLER runs.  Returns NULL when memory is exhausted.  */
worker_timer_t *worker_timer_start (worker_t *worker, TALLOC_CTX *owner,
                                    struct timespec delay,
                                    worker_handler_t handler, void *data);
/* Run the event loop on the calling thread until a callback sets *IS_DONE.
   For programs that perform a single operation; the pool must not have been
   started.  */
void worker_run_until (worker_t *worker, const bool *is_done);

#endif
