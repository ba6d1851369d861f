#ifndef SISKIN_KERNEL_SCHEDULER_H
#define SISKIN_KERNEL_SCHEDULER_H

#include "kernel/clock.h"
#include "kernel/pool.h"

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>

/* A deterministic event scheduler for simulations: runs the tasks and timers
   of any number of pools on the calling thread, in the order of a virtual
   clock.  The same seed gives the same run.  */
typedef struct scheduler scheduler_t;

scheduler_t *scheduler_create (TALLOC_CTX *parent, clock_source_t *clock,
                               uint64_t seed);
void scheduler_destroy (scheduler_t *scheduler);
pool_t *scheduler_create_pool (scheduler_t *scheduler, TALLOC_CTX *parent,
                               unsigned worker_count);
/* Simulate that the process of POOL is suspended: its tasks and timers don't
   run until scheduler_thaw, while the clock and other pools go on.  Those that
   became due in the meantime run after the thaw, late.  */
void scheduler_freeze (scheduler_t *scheduler, pool_t *pool);
void scheduler_thaw (scheduler_t *scheduler, pool_t *pool);
/* Run the next event; returns false if there is none.  */
bool scheduler_step (scheduler_t *scheduler);
void scheduler_run_for (scheduler_t *scheduler, struct timespec duration);
/* Return a number below BOUND from the scheduler's seeded sequence.  */
uint64_t scheduler_random (scheduler_t *scheduler, uint64_t bound);

#endif
