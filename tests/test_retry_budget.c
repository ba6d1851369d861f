#include "relay/retry_budget.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

enum
{
  RELAYS = 6,
  STEP_MS = 20,
  WINDOW_MS = 10000,
  RUN_MS = 60000,
  STEPS = RUN_MS / STEP_MS,
  WINDOW_STEPS = WINDOW_MS / STEP_MS,
  RESTART_EVERY_MS = 2000,
  BACK_AFTER_MS = 1000,
  REQUESTS_A_STEP = 1, /* of all relays together */
  TRIES_A_STEP = 20    /* of each relay: far more than is allowed */
};

static const retry_limits_t limits
    = { .ratio = 0.2, .extra = 94, .window = { .tv_sec = 10 } };

typedef struct budget_world
{
  clock_source_t *clock;
  retry_budget_t *relays[RELAYS];
  unsigned granted[STEPS];
  unsigned requests[STEPS];
} budget_world_t;

static budget_world_t *
world_create (unsigned relays_told)
{
  budget_world_t *world = talloc_zero (NULL, budget_world_t);

  world->clock
      = clock_create_virtual (world, (struct timespec){ .tv_sec = 100 });
  for (unsigned i = 0; i < RELAYS; i++)
    {
      world->relays[i] = retry_budget_create (world, world->clock, &limits);
      retry_budget_set_relays (world->relays[i], relays_told);
    }
  return world;
}

/* One relay, as it is restarted, tells the others that it is gone and learns
   only of those that are there.  */
static void
world_restart (budget_world_t *world, unsigned number, unsigned count)
{
  retry_budget_destroy (world->relays[number]);
  world->relays[number] = retry_budget_create (world, world->clock, &limits);
  for (unsigned i = 0; i < RELAYS; i++)
    retry_budget_set_relays (world->relays[i], count);
}

static void
world_step (budget_world_t *world, unsigned step)
{
  for (unsigned i = 0; i < REQUESTS_A_STEP; i++)
    {
      retry_budget_count_request (world->relays[(step + i) % RELAYS], "style");
      world->requests[step]++;
    }
  for (unsigned i = 0; i < RELAYS * TRIES_A_STEP; i++)
    world->granted[step]
        += retry_budget_take (world->relays[i % RELAYS], "style");
  clock_advance (world->clock, timespec_from_ms (STEP_MS));
}

/* No window holds more repeats than its requests and the extra allow.  */
static void
world_check (const budget_world_t *world)
{
  for (unsigned end = WINDOW_STEPS; end <= STEPS; end++)
    {
      unsigned granted = 0;
      unsigned requests = 0;

      for (unsigned step = end - WINDOW_STEPS; step < end; step++)
        {
          granted += world->granted[step];
          requests += world->requests[step];
        }
      if ((double)granted > limits.ratio * requests + limits.extra)
        fail_msg ("%u repeats in the window that ends at %u ms, for %u "
                  "requests",
                  granted, end * STEP_MS, requests);
    }
}

static unsigned
world_granted (const budget_world_t *world)
{
  unsigned granted = 0;

  for (unsigned step = 0; step < STEPS; step++)
    granted += world->granted[step];
  return granted;
}

static void
test_steady_relays_keep_to_the_limit (void **state)
{
  budget_world_t *world = world_create (RELAYS);

  (void)state;
  for (unsigned step = 0; step < STEPS; step++)
    world_step (world, step);
  world_check (world);
  /* Most of what is allowed can be used.  */
  assert_true (world_granted (world)
               > (unsigned)limits.extra * RUN_MS / WINDOW_MS / 2);
  talloc_free (world);
}

/* Relays that are restarted one after the other forget what they sent, and for
   a second all see fewer relays than there are.  */
static void
test_restarts_add_nothing (void **state)
{
  budget_world_t *world = world_create (RELAYS);

  (void)state;
  for (unsigned step = 0; step < STEPS; step++)
    {
      unsigned since = step % (RESTART_EVERY_MS / STEP_MS);

      if (step > 0 && since == 0)
        world_restart (world, step / (RESTART_EVERY_MS / STEP_MS) % RELAYS,
                       RELAYS / 2);
      if (since == BACK_AFTER_MS / STEP_MS)
        {
          for (unsigned i = 0; i < RELAYS; i++)
            retry_budget_set_relays (world->relays[i], RELAYS);
        }
      world_step (world, step);
    }
  world_check (world);
  talloc_free (world);
}

/* All relays are back after all were killed.  */
static void
test_restart_of_all_adds_nothing (void **state)
{
  budget_world_t *world = world_create (RELAYS);

  (void)state;
  for (unsigned step = 0; step < STEPS; step++)
    {
      if (step > 0 && step % (STEPS / 4) == 0)
        {
          for (unsigned i = 0; i < RELAYS; i++)
            world_restart (world, i, i + 1);
        }
      world_step (world, step);
    }
  world_check (world);
  talloc_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_steady_relays_keep_to_the_limit),
    cmocka_unit_test (test_restarts_add_nothing),
    cmocka_unit_test (test_restart_of_all_adds_nothing),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
