/* The virtual scheduler of the simulations: runs must be repeatable from their
   seed, and a frozen process must run what was due only after it is resumed.
 */

#include "kernel/scheduler.h"
#include "kernel/table.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  REPEAT_COUNT = 100,
  MAX_TRACE = 16
};

typedef struct fixture
{
  clock_source_t *clock;
  scheduler_t *scheduler;
  pool_t *pool;
  int trace[MAX_TRACE];
  unsigned trace_count;
} fixture_t;

/* A timer that appends NUMBER to the trace when it fires.  */
typedef struct traced_timer
{
  task_t task;
  fixture_t *fixture;
  int number;
} traced_timer_t;

static fixture_t *
fixture_create (uint64_t seed)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);

  fixture->clock = clock_create_virtual (fixture, timespec_from_ms (1000));
  fixture->scheduler = scheduler_create (fixture, fixture->clock, seed);
  fixture->pool = scheduler_create_pool (fixture->scheduler, NULL, 2);
  return fixture;
}

static void
fixture_destroy (fixture_t *fixture)
{
  pool_destroy (fixture->pool);
  talloc_free (fixture);
}

static void
traced_timer_fire (worker_t *worker, void *data)
{
  traced_timer_t *traced_timer = data;

  (void)worker;
  traced_timer->fixture->trace[traced_timer->fixture->trace_count++]
      = traced_timer->number;
}

static void
traced_timer_start (traced_timer_t *traced_timer, unsigned worker,
                    int64_t delay_ms)
{
  worker_t *target = pool_worker (traced_timer->fixture->pool, worker);

  worker_timer_start (target, worker_events (target),
                      timespec_from_ms (delay_ms), traced_timer_fire,
                      traced_timer);
}

static void
test_timers_run_in_time_order (void **state)
{
  fixture_t *fixture = fixture_create (1);
  traced_timer_t late = { .fixture = fixture, .number = 2 };
  traced_timer_t early = { .fixture = fixture, .number = 1 };

  (void)state;
  traced_timer_start (&late, 0, 50);
  traced_timer_start (&early, 1, 20);
  scheduler_run_for (fixture->scheduler, timespec_from_ms (30));
  assert_int_equal (fixture->trace_count, 1);
  scheduler_run_for (fixture->scheduler, timespec_from_ms (30));
  assert_int_equal (fixture->trace_count, 2);
  assert_int_equal (fixture->trace[0], 1);
  assert_int_equal (timespec_to_ms (clock_monotonic (fixture->clock)), 1060);
  fixture_destroy (fixture);
}

static void
test_freed_timer_does_not_run (void **state)
{
  fixture_t *fixture = fixture_create (1);
  traced_timer_t traced_timer = { .fixture = fixture, .number = 1 };
  TALLOC_CTX *owner = talloc_new (NULL);

  (void)state;
  worker_timer_start (pool_worker (fixture->pool, 0), owner,
                      timespec_from_ms (5), traced_timer_fire, &traced_timer);
  talloc_free (owner);
  assert_false (scheduler_step (fixture->scheduler));
  assert_int_equal (fixture->trace_count, 0);
  fixture_destroy (fixture);
}

static void
test_frozen_pool_runs_after_thaw (void **state)
{
  fixture_t *fixture = fixture_create (1);
  traced_timer_t traced_timer = { .fixture = fixture, .number = 1 };

  (void)state;
  traced_timer_start (&traced_timer, 0, 10);
  scheduler_freeze (fixture->scheduler, fixture->pool);
  scheduler_run_for (fixture->scheduler, timespec_from_ms (5000));
  assert_int_equal (fixture->trace_count, 0);
  scheduler_thaw (fixture->scheduler, fixture->pool);
  scheduler_run_for (fixture->scheduler, timespec_from_ms (0));
  assert_int_equal (fixture->trace_count, 1);
  fixture_destroy (fixture);
}

/* A task that posts itself to the other worker until no hops are left.  */
typedef struct hop_task
{
  task_t task;
  int hops;
} hop_task_t;

static void
hop_task_run (task_t *task, worker_t *worker)
{
  hop_task_t *hop_task = CONTAINER_OF (task, hop_task_t, task);

  if (--hop_task->hops > 0)
    worker_post (pool_worker (worker_pool (worker), !worker_index (worker)),
                 task);
}

static void
test_task_moves_between_workers (void **state)
{
  fixture_t *fixture = fixture_create (1);
  hop_task_t hop_task
      = { .task = { .run = hop_task_run }, .hops = REPEAT_COUNT };

  (void)state;
  worker_post (pool_worker (fixture->pool, 0), &hop_task.task);
  while (scheduler_step (fixture->scheduler))
    continue;
  assert_int_equal (hop_task.hops, 0);
  fixture_destroy (fixture);
}

/* Return a hash of the random numbers that SEED gives.  */
static uint64_t
hash_random_numbers (uint64_t seed)
{
  fixture_t *fixture = fixture_create (seed);
  uint64_t hash = 0;

  for (int i = 0; i < REPEAT_COUNT; i++)
    hash = hash * 31 + scheduler_random (fixture->scheduler, 1000);
  fixture_destroy (fixture);
  return hash;
}

static void
test_seed_repeats_random_numbers (void **state)
{
  (void)state;
  assert_int_equal (hash_random_numbers (7), hash_random_numbers (7));
  assert_int_not_equal (hash_random_numbers (7), hash_random_numbers (8));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_timers_run_in_time_order),
    cmocka_unit_test (test_freed_timer_does_not_run),
    cmocka_unit_test (test_frozen_pool_runs_after_thaw),
    cmocka_unit_test (test_task_moves_between_workers),
    cmocka_unit_test (test_seed_repeats_random_numbers),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
