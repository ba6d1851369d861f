#include "kernel/scheduler.h"
#include "kernel/table.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  HOPS = 100,
  TRACE_MAX = 16
};

typedef struct fixture
{
  clock_source_t *clock;
  scheduler_t *scheduler;
  pool_t *pool;
  int trace[TRACE_MAX];
  unsigned trace_count;
} fixture_t;

typedef struct step
{
  task_t task;
  fixture_t *fixture;
  int number;
} step_t;

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
step_note (worker_t *worker, void *data)
{
  step_t *step = data;

  (void)worker;
  step->fixture->trace[step->fixture->trace_count++] = step->number;
}

static void
step_start (step_t *step, unsigned worker, int64_t delay_ms)
{
  worker_t *on = pool_worker (step->fixture->pool, worker);

  worker_timer_start (on, worker_events (on), timespec_from_ms (delay_ms),
                      step_note, step);
}

static void
test_timers_run_in_order_of_time (void **state)
{
  fixture_t *fixture = fixture_create (1);
  step_t late = { .fixture = fixture, .number = 2 };
  step_t early = { .fixture = fixture, .number = 1 };

  (void)state;
  step_start (&late, 0, 50);
  step_start (&early, 1, 20);
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
  step_t step = { .fixture = fixture, .number = 1 };
  TALLOC_CTX *owner = talloc_new (NULL);

  (void)state;
  worker_timer_start (pool_worker (fixture->pool, 0), owner,
                      timespec_from_ms (5), step_note, &step);
  talloc_free (owner);
  assert_false (scheduler_step (fixture->scheduler));
  assert_int_equal (fixture->trace_count, 0);
  fixture_destroy (fixture);
}

static void
test_frozen_pool_runs_after_thaw (void **state)
{
  fixture_t *fixture = fixture_create (1);
  step_t step = { .fixture = fixture, .number = 1 };

  (void)state;
  step_start (&step, 0, 10);
  scheduler_freeze (fixture->scheduler, fixture->pool);
  scheduler_run_for (fixture->scheduler, timespec_from_ms (5000));
  assert_int_equal (fixture->trace_count, 0);
  scheduler_thaw (fixture->scheduler, fixture->pool);
  scheduler_run_for (fixture->scheduler, timespec_from_ms (0));
  assert_int_equal (fixture->trace_count, 1);
  fixture_destroy (fixture);
}

typedef struct relay
{
  task_t task;
  int hops;
} relay_t;

static void
relay_run (task_t *task, worker_t *worker)
{
  relay_t *relay = CONTAINER_OF (task, relay_t, task);

  if (--relay->hops > 0)
    worker_post (pool_worker (worker_pool (worker), !worker_index (worker)),
                 task);
}

static void
test_tasks_pass_between_workers (void **state)
{
  fixture_t *fixture = fixture_create (1);
  relay_t relay = { .task = { .run = relay_run }, .hops = HOPS };

  (void)state;
  worker_post (pool_worker (fixture->pool, 0), &relay.task);
  while (scheduler_step (fixture->scheduler))
    continue;
  assert_int_equal (relay.hops, 0);
  fixture_destroy (fixture);
}

static uint64_t
draw_some (uint64_t seed)
{
  fixture_t *fixture = fixture_create (seed);
  uint64_t sum = 0;

  for (int i = 0; i < HOPS; i++)
    sum = sum * 31 + scheduler_random (fixture->scheduler, 1000);
  fixture_destroy (fixture);
  return sum;
}

static void
test_seed_repeats_a_run (void **state)
{
  (void)state;
  assert_int_equal (draw_some (7), draw_some (7));
  assert_int_not_equal (draw_some (7), draw_some (8));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_timers_run_in_order_of_time),
    cmocka_unit_test (test_freed_timer_does_not_run),
    cmocka_unit_test (test_frozen_pool_runs_after_thaw),
    cmocka_unit_test (test_tasks_pass_between_workers),
    cmocka_unit_test (test_seed_repeats_a_run),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
