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
  SHORT_MS = 50,
  LATE_MS = 2000, /* far more than a loaded machine needs */
  STEP_S = 60
};

/* What the time of day was moved by.  */
static int64_t day_offset_s;

/* Stands in front of the C library's, so that the test can move the time of
   day for everything in this process.  */
int moved_time_of_day (struct timeval *now,
                       void *zone) __asm__("gettimeofday");

int
moved_time_of_day (struct timeval *now, void *zone)
{
  struct timespec real;

  (void)zone;
  clock_gettime (CLOCK_REALTIME, &real);
  now->tv_sec = real.tv_sec + day_offset_s;
  now->tv_usec = real.tv_nsec / 1000;
  return 0;
}

/* What a run of the loop saw.  */
typedef struct timer_run
{
  bool is_done;
  char order[8]; /* letters in the order in which timers fired */
} timer_run_t;

typedef struct timer_note
{
  timer_run_t *run;
  char letter;
  bool is_last;
} timer_note_t;

static void
note_fire (worker_t *worker, void *data)
{
  timer_note_t *note = data;

  (void)worker;
  strncat (note->run->order, &note->letter, 1);
  if (note->is_last)
    note->run->is_done = true;
}

static int64_t
elapsed_ms (const clock_source_t *clock, struct timespec from)
{
  return timespec_to_ms (timespec_subtract (clock_monotonic (clock), from));
}

/* A fixture: a pool of one worker that runs on the test's own thread.  */
typedef struct timer_world
{
  clock_source_t *clock;
  pool_t *pool;
  worker_t *worker;
} timer_world_t;

static int
set_up (void **state)
{
  timer_world_t *world = talloc_zero (NULL, timer_world_t);

  world->clock = clock_create_system (world);
  world->pool = pool_create (world, 1, world->clock);
  world->worker = pool_worker (world->pool, 0);
  day_offset_s = 0;
  *state = world;
  return 0;
}

static int
tear_down (void **state)
{
  talloc_free (*state);
  return 0;
}

static void
move_day (worker_t *worker, void *data)
{
  (void)worker;
  day_offset_s += *(int *)data;
}

/* Start a timer, have the time of day jump by STEP_S while it runs, and return
   after how many milliseconds it fired.  */
static int64_t
fire_across_step (const timer_world_t *world, int step_s)
{
  timer_run_t run = { .is_done = false };
  timer_note_t note = { &run, 'a', true };
  struct timespec start = clock_monotonic (world->clock);

  worker_timer_start (world->worker, world->pool,
                      timespec_from_ms (SHORT_MS / 5), move_day, &step_s);
  worker_timer_start (world->worker, world->pool, timespec_from_ms (SHORT_MS),
                      note_fire, &note);
  worker_run_until (world->worker, &run.is_done);
  return elapsed_ms (world->clock, start);
}

static void
test_timer_survives_step_back (void **state)
{
  int64_t took = fire_across_step (*state, -STEP_S);

  assert_in_range (took, SHORT_MS, LATE_MS);
}

static void
test_timer_survives_step_ahead (void **state)
{
  int64_t took = fire_across_step (*state, STEP_S);

  assert_in_range (took, SHORT_MS, LATE_MS);
}

static void
test_timers_fire_in_order (void **state)
{
  const timer_world_t *world = *state;
  timer_run_t run = { .is_done = false };
  timer_note_t notes[] = {
    { &run, 'a', false },
    { &run, 'b', false },
    { &run, 'c', true },
  };

  worker_timer_start (world->worker, world->pool, timespec_from_ms (30),
                      note_fire, &notes[2]);
  worker_timer_start (world->worker, world->pool, timespec_from_ms (10),
                      note_fire, &notes[1]);
  worker_timer_start (world->worker, world->pool, timespec_from_ms (0),
                      note_fire, &notes[0]);
  worker_run_until (world->worker, &run.is_done);
  assert_string_equal (run.order, "abc");
}

static void
test_freed_timers_stay_silent (void **state)
{
  const timer_world_t *world = *state;
  timer_run_t run = { .is_done = false };
  timer_note_t stray = { &run, 'x', false };
  timer_note_t last = { &run, 'z', true };
  worker_timer_t *at_once = worker_timer_start (
      world->worker, world->pool, timespec_from_ms (0), note_fire, &stray);
  worker_timer_t *soon = worker_timer_start (
      world->worker, world->pool, timespec_from_ms (5), note_fire, &stray);

  worker_timer_start (world->worker, world->pool, timespec_from_ms (20),
                      note_fire, &last);
  talloc_free (at_once);
  talloc_free (soon);
  worker_run_until (world->worker, &run.is_done);
  assert_string_equal (run.order, "z");
}

/* An object that lives in the loop's memory and ends its timer with itself, as
   the HTTP server does, and arms one more while it ends, as libcurl does.  */
typedef struct timer_holder
{
  worker_t *worker;
  worker_timer_t *timer;
  timer_note_t stray;
} timer_holder_t;

static int
holder_free (timer_holder_t *holder)
{
  TALLOC_FREE (holder->timer);
  worker_timer_start (holder->worker, holder, timespec_from_ms (0), note_fire,
                      &holder->stray);
  return 0;
}

static void
test_loop_is_freed_with_timers (void **state)
{
  const timer_world_t *world = *state;
  pool_t *pool = pool_create (NULL, 1, world->clock);
  worker_t *worker = pool_worker (pool, 0);
  timer_holder_t *holder
      = talloc_zero (worker_events (worker), timer_holder_t);
  timer_run_t run = { .is_done = false };

  holder->worker = worker;
  holder->stray = (timer_note_t){ &run, 'x', true };
  holder->timer = worker_timer_start (worker, holder, timespec_from_ms (5),
                                      note_fire, &holder->stray);
  talloc_set_destructor (holder, holder_free);
  pool_destroy (pool);
  assert_string_equal (run.order, "");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_timer_survives_step_back, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_timer_survives_step_ahead, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_timers_fire_in_order, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_freed_timers_stay_silent, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_loop_is_freed_with_timers, set_up,
                                     tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
