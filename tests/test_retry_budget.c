/* Retries of all relays together: they must stay within the budget in every
   window, also while relays restart and forget what they have used.  */

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
  RESTART_INTERVAL_MS = 2000,
  RECOVERY_MS = 1000,    /* time until a restarted relay is counted again */
  REQUESTS_PER_STEP = 1, /* of all relays together */
  /* By each relay, far more than the budget allows.  */
  RETRY_ATTEMPTS_PER_STEP = 20
};

static const retry_limits_t limits
    = { .ratio = 0.2, .extra = 94, .window = { .tv_sec = 10 } };

typedef struct budget_fixture
{
  clock_source_t *clock;
  retry_budget_t *relays[RELAYS];
  unsigned granted[STEPS];
  unsigned requests[STEPS];
} budget_fixture_t;

static budget_fixture_t *
fixture_create (unsigned relay_count)
{
  budget_fixture_t *fixture = talloc_zero (NULL, budget_fixture_t);

  fixture->clock
      = clock_create_virtual (fixture, (struct timespec){ .tv_sec = 100 });
  for (unsigned i = 0; i < RELAYS; i++)
    {
      fixture->relays[i]
          = retry_budget_create (fixture, fixture->clock, &limits);
      retry_budget_set_relays (fixture->relays[i], relay_count);
    }
  return fixture;
}

/* Restart one relay.  All relays see only COUNT relays afterwards.  */
static void
fixture_restart_relay (budget_fixture_t *fixture, unsigned number,
                       unsigned count)
{
  retry_budget_destroy (fixture->relays[number]);
  fixture->relays[number]
      = retry_budget_create (fixture, fixture->clock, &limits);
  for (unsigned i = 0; i < RELAYS; i++)
    retry_budget_set_relays (fixture->relays[i], count);
}

static void
fixture_step (budget_fixture_t *fixture, unsigned step)
{
  for (unsigned i = 0; i < REQUESTS_PER_STEP; i++)
    {
      retry_budget_count_request (fixture->relays[(step + i) % RELAYS],
                                  "style");
      fixture->requests[step]++;
    }
  for (unsigned i = 0; i < RELAYS * RETRY_ATTEMPTS_PER_STEP; i++)
    fixture->granted[step]
        += retry_budget_take (fixture->relays[i % RELAYS], "style");
  clock_advance (fixture->clock, timespec_from_ms (STEP_MS));
}

/* Check that the retries of every window stay within the ratio of its requests
   plus the extra retries.  */
static void
fixture_check_windows (const budget_fixture_t *fixture)
{
  for (unsigned end = WINDOW_STEPS; end <= STEPS; end++)
    {
      unsigned granted = 0;
      unsigned requests = 0;

      for (unsigned step = end - WINDOW_STEPS; step < end; step++)
        {
          granted += fixture->granted[step];
          requests += fixture->requests[step];
        }
      if ((double)granted > limits.ratio * requests + limits.extra)
        fail_msg ("%u retries in the window that ends at %u ms, for %u "
                  "requests",
                  granted, end * STEP_MS, requests);
    }
}

static unsigned
fixture_granted (const budget_fixture_t *fixture)
{
  unsigned granted = 0;

  for (unsigned step = 0; step < STEPS; step++)
    granted += fixture->granted[step];
  return granted;
}

static void
test_steady_relays_stay_within_limit (void **state)
{
  budget_fixture_t *fixture = fixture_create (RELAYS);

  (void)state;
  for (unsigned step = 0; step < STEPS; step++)
    fixture_step (fixture, step);
  fixture_check_windows (fixture);
  /* At least half of the extra retries can be used.  */
  assert_true (fixture_granted (fixture)
               > (unsigned)limits.extra * RUN_MS / WINDOW_MS / 2);
  talloc_free (fixture);
}

/* Each restarted relay loses its counts, and for a second all relays see fewer
   relays than there are.  */
static void
test_rolling_restarts_stay_within_limit (void **state)
{
  budget_fixture_t *fixture = fixture_create (RELAYS);

  (void)state;
  for (unsigned step = 0; step < STEPS; step++)
    {
      unsigned since = step % (RESTART_INTERVAL_MS / STEP_MS);

      if (step > 0 && since == 0)
        fixture_restart_relay (fixture,
                               step / (RESTART_INTERVAL_MS / STEP_MS) % RELAYS,
                               RELAYS / 2);
      if (since == RECOVERY_MS / STEP_MS)
        {
          for (unsigned i = 0; i < RELAYS; i++)
            retry_budget_set_relays (fixture->relays[i], RELAYS);
        }
      fixture_step (fixture, step);
    }
  fixture_check_windows (fixture);
  talloc_free (fixture);
}

/* All relays are killed and restarted at once.  */
static void
test_restart_of_all_relays_stays_within_limit (void **state)
{
  budget_fixture_t *fixture = fixture_create (RELAYS);

  (void)state;
  for (unsigned step = 0; step < STEPS; step++)
    {
      if (step > 0 && step % (STEPS / 4) == 0)
        {
          for (unsigned i = 0; i < RELAYS; i++)
            fixture_restart_relay (fixture, i, i + 1);
        }
      fixture_step (fixture, step);
    }
  fixture_check_windows (fixture);
  talloc_free (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_steady_relays_stay_within_limit),
    cmocka_unit_test (test_rolling_restarts_stay_within_limit),
    cmocka_unit_test (test_restart_of_all_relays_stays_within_limit),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
