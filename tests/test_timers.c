/* Timers of a worker: a step of the system clock must not delay or hasten
   them, and a freed one must not fire.  */

#include "kernel/clock.h"
#include "kernel/pool.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>

#include <cmocka.h>

enum
{
  TIMER_DELAY_MS = 50,
  MAX_FIRE_MS = 2000, /* high, since the machine may be under load */
  CLOCK_STEP_S = 60
};

/* Offset of the time of day from the real one.  */
static int64_t time_of_day_offset_s;

/* Replaces gettimeofday of the C library, so that the test can change the time
   of day for everything in this process.  */
int shifted_gettimeofday (struct timeval *now,
                          void *zone) __asm__("gettimeofday");

int
shifted_gettimeofday (struct timeval *now, void *zone)
{
  struct timespec real;

  (void)zone;
  clock_gettime (CLOCK_REALTIME, &real);
  now->tv_sec = real.tv_sec + time_of_day_offset_s;
  now->tv_usec = real.tv_nsec / 1000;
  return 0;
}

/* Result of one run of the event loop.  */
typedef struct loop_run
{
  bool is_done;
  char order[8]; /* letters in the order in which timers fired */
} loop_run_t;

/* What a timer does when it fires: it appends LETTER to the run, and ends the
   run when it is the last one.  */
typedef struct timer_action
{
  loop_run_t *run;
  char letter;
  bool is_last;
} timer_action_t;

static void
timer_action_run (worker_t *worker, void *data)
{
  timer_action_t *action = data;

  (void)worker;
  strncat (action->run->order, &action->letter, 1);
  if (action->is_last)
    action->run->is_done = true;
}

static int64_t
elapsed_ms (const clock_source_t *clock, struct timespec from)
{
  return timespec_to_ms (timespec_subtract (clock_monotonic (clock), from));
}

/* A pool of one worker, which runs on the test's own thread.  */
typedef struct timer_fixture
{
  clock_source_t *clock;
  pool_t *pool;
  worker_t *worker;
} timer_fixture_t;

static int
set_up (void **state)
{
  timer_fixture_t *fixture = talloc_zero (NULL, timer_fixture_t);

  fixture->clock = clock_create_system (fixture);
  fixture->pool = pool_create (fixture, 1, fixture->clock);
  fixture->worker = pool_worker (fixture->pool, 0);
  time_of_day_offset_s = 0;
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  talloc_free (*state);
  return 0;
}

static void
shift_time_of_day (worker_t *worker, void *data)
{
  (void)worker;
  time_of_day_offset_s += *(int *)data;
}

/* Start a timer, change the time of day by STEP_S while it is pending, and
   return the milliseconds until it fired.  */
static int64_t
fire_across_clock_step (const timer_fixture_t *fixture, int step_s)
{
  loop_run_t run = { .is_done = false };
  timer_action_t action = { &run, 'a', true };
  struct timespec start = clock_monotonic (fixture->clock);

  worker_timer_start (fixture->worker, fixture->pool,
                      timespec_from_ms (TIMER_DELAY_MS / 5), shift_time_of_day,
                      &step_s);
  worker_timer_start (fixture->worker, fixture->pool,
                      timespec_from_ms (TIMER_DELAY_MS), timer_action_run,
                      &action);
  worker_run_until (fixture->worker, &run.is_done);
  return elapsed_ms (fixture->clock, start);
}

static void
test_timer_ignores_backward_clock_step (void **state)
{
  int64_t elapsed = fire_across_clock_step (*state, -CLOCK_STEP_S);

  assert_in_range (elapsed, TIMER_DELAY_MS, MAX_FIRE_MS);
}

static void
test_timer_ignores_forward_clock_step (void **state)
{
  int64_t elapsed = fire_across_clock_step (*state, CLOCK_STEP_S);

  assert_in_range (elapsed, TIMER_DELAY_MS, MAX_FIRE_MS);
}

static void
test_timers_fire_in_order (void **state)
{
  const timer_fixture_t *fixture = *state;
  loop_run_t run = { .is_done = false };
  timer_action_t actions[] = {
    { &run, 'a', false },
    { &run, 'b', false },
    { &run, 'c', true },
  };

  worker_timer_start (fixture->worker, fixture->pool, timespec_from_ms (30),
                      timer_action_run, &actions[2]);
  worker_timer_start (fixture->worker, fixture->pool, timespec_from_ms (10),
                      timer_action_run, &actions[1]);
  worker_timer_start (fixture->worker, fixture->pool, timespec_from_ms (0),
                      timer_action_run, &actions[0]);
  worker_run_until (fixture->worker, &run.is_done);
  assert_string_equal (run.order, "abc");
}

static void
test_freed_timers_do_not_fire (void **state)
{
  const timer_fixture_t *fixture = *state;
  loop_run_t run = { .is_done = false };
  timer_action_t cancelled = { &run, 'x', false };
  timer_action_t last = { &run, 'z', true };
  worker_timer_t *immediate = worker_timer_start (
      fixture->worker, fixture->pool, timespec_from_ms (0), timer_action_run,
      &cancelled);
  worker_timer_t *delayed = worker_timer_start (fixture->worker, fixture->pool,
                                                timespec_from_ms (5),
                                                timer_action_run, &cancelled);

  worker_timer_start (fixture->worker, fixture->pool, timespec_from_ms (20),
                      timer_action_run, &last);
  talloc_free (immediate);
  talloc_free (delayed);
  worker_run_until (fixture->worker, &run.is_done);
  assert_string_equal (run.order, "z");
}

/* An object owned by the event loop whose destructor frees its timer, as in
   the HTTP server, and starts another timer, as libcurl does.  */
typedef struct timer_holder
{
  worker_t *worker;
  worker_timer_t *timer;
  timer_action_t cancelled;
} timer_holder_t;

static int
holder_free (timer_holder_t *holder)
{
  TALLOC_FREE (holder->timer);
  worker_timer_start (holder->worker, holder, timespec_from_ms (0),
                      timer_action_run, &holder->cancelled);
  return 0;
}

static void
test_loop_is_freed_with_armed_timers (void **state)
{
  const timer_fixture_t *fixture = *state;
  pool_t *pool = pool_create (NULL, 1, fixture->clock);
  worker_t *worker = pool_worker (pool, 0);
  timer_holder_t *holder
      = talloc_zero (worker_events (worker), timer_holder_t);
  loop_run_t run = { .is_done = false };

  holder->worker = worker;
  holder->cancelled = (timer_action_t){ &run, 'x', true };
  holder->timer = worker_timer_start (worker, holder, timespec_from_ms (5),
                                      timer_action_run, &holder->cancelled);
  talloc_set_destructor (holder, holder_free);
  pool_destroy (pool);
  assert_string_equal (run.order, "");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_timer_ignores_backward_clock_step,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_timer_ignores_forward_clock_step,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_timers_fire_in_order, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_freed_timers_do_not_fire, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_loop_is_freed_with_armed_timers,
                                     set_up, tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
