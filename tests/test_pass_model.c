/* The limit of a group in work: a number of requests that makes passes longer
   than the gap limit must not be allowed, and none that does not must be held
   back.  */

#include "relay/pass_model.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

enum
{
  IDLE_MS = 25,
  LIMIT_MS = 102,
  PASSES = 20, /* within which the model has to follow a change */
  SHORT_CONTEXT = 300,
  LONG_CONTEXT = 12000
};

static const engine_profile_t engine = { .token_steps_per_pass = 5,
                                         .step_ms = 5,
                                         .request_step_ms = 0.8,
                                         .context_step_ms = 0.25,
                                         .prompt_tokens_per_ms = 60,
                                         .million_pairs_ms = 0.1,
                                         .prompt_chunk_tokens = 512,
                                         .typical_prompt_tokens = 600,
                                         .typical_response_tokens = 100 };
static const pass_costs_t costs = { .engine = &engine, .mean_events = 20 };

static pass_load_t
load_of (double requests, double context_tokens)
{
  return (pass_load_t){ requests, requests * context_tokens };
}

/* Return the limit for a rank in a group whose ranks all have its load.  */
static double
limit_of (const pass_model_t *model, const pass_load_t *load)
{
  return pass_model_limit (model, &costs, load, load, LIMIT_MS - IDLE_MS);
}

/* Let COUNT passes take FACTOR times what the profile gives.  */
static void
run_passes (pass_model_t *model, const pass_load_t *load, double factor,
            unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    pass_model_record (model, pass_load_ms (&costs, load),
                       factor * pass_load_ms (&costs, load));
}

/* What is allowed must keep the pass at the limit, whatever the load was while
   the model learned.  */
static void
test_limit_keeps_the_pass_at_the_limit (void **state)
{
  static const double contexts[] = { SHORT_CONTEXT, 3000, LONG_CONTEXT };
  static const double factors[] = { 0.5, 1, 2.5 };

  (void)state;
  for (unsigned i = 0; i < 9; i++)
    {
      double context = contexts[i % 3];
      double factor = factors[i / 3];

      for (unsigned requests = 1; requests <= 10; requests += 3)
        {
          pass_model_t model = { 0 };
          pass_load_t load = load_of (requests, context);
          pass_load_t full;

          run_passes (&model, &load, factor, 5 * PASSES);
          full = load_of (limit_of (&model, &load), context);
          assert_true (
              fabs (IDLE_MS + factor * pass_load_ms (&costs, &full) - LIMIT_MS)
              < 1);
        }
    }
}

/* The failure of a limit by number: it was the same for both.  */
static void
test_short_requests_fill_and_long_ones_are_fewer (void **state)
{
  pass_model_t model = { 0 };
  pass_load_t short_ones = load_of (4, SHORT_CONTEXT);
  pass_load_t long_ones = load_of (4, LONG_CONTEXT);

  (void)state;
  assert_true (limit_of (&model, &short_ones) > 10);
  assert_true (limit_of (&model, &long_ones) < 5);
}

/* A rank that has longer requests than the others of its group gets fewer.  */
static void
test_rank_with_long_requests_gets_fewer (void **state)
{
  pass_model_t model = { 0 };
  pass_load_t mean = load_of (4, 3000);
  pass_load_t heavy = load_of (4, LONG_CONTEXT);

  (void)state;
  assert_true (
      pass_model_limit (&model, &costs, &heavy, &mean, LIMIT_MS - IDLE_MS)
      < pass_model_limit (&model, &costs, &mean, &mean, LIMIT_MS - IDLE_MS)
            - 2);
}

/* The model's costs change at once, and back.  */
static void
test_change_is_followed (void **state)
{
  static const double factors[] = { 1, 3, 1 };
  pass_model_t model = { 0 };
  pass_load_t load = load_of (5, 1000);

  (void)state;
  for (unsigned i = 0; i < 3; i++)
    {
      run_passes (&model, &load, factors[i], PASSES);
      assert_true (fabs (pass_model_factor (&model) - factors[i])
                   < 0.2 * factors[i]);
    }
}

/* One pass after a pause, with one request, says little about full ones.  */
static void
test_pass_with_little_work_has_little_weight (void **state)
{
  pass_model_t model = { 0 };
  pass_load_t busy = load_of (8, 1000);
  pass_load_t idle = load_of (0.2, 1000);

  (void)state;
  run_passes (&model, &busy, 1, PASSES);
  pass_model_record (&model, pass_load_ms (&costs, &idle), 300);
  assert_true (pass_model_factor (&model) < 1.3);
}

/* A group that waits for a slow rank: fewer requests do not help.  */
static void
test_factor_is_bounded (void **state)
{
  pass_model_t model = { 0 };
  pass_load_t load = load_of (5, 1000);

  (void)state;
  run_passes (&model, &load, 100, PASSES);
  assert_true (pass_model_factor (&model) <= 4);
  run_passes (&model, &load, 0, 10 * PASSES);
  assert_true (pass_model_factor (&model) >= 0.25);
}

/* Missing or absurd reports give a limit that is a number.  */
static void
test_absurd_loads (void **state)
{
  static const double values[] = { 0, 1e-9, 1, 1e18 };
  static const engine_profile_t empty = { 0 };
  static const pass_costs_t no_costs = { .engine = &empty };
  pass_model_t model = { 0 };

  (void)state;
  for (unsigned i = 0; i < 256; i++)
    {
      pass_load_t rank = { values[i % 4], values[i / 4 % 4] };
      pass_load_t group = { values[i / 16 % 4], values[i / 64 % 4] };

      pass_model_record (&model, pass_load_ms (&costs, &group), values[i % 4]);
      assert_true (pass_model_limit (&model, &costs, &rank, &group, LIMIT_MS)
                   >= 0);
      assert_true (
          pass_model_limit (&model, &no_costs, &rank, &group, LIMIT_MS) >= 0);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_limit_keeps_the_pass_at_the_limit),
    cmocka_unit_test (test_short_requests_fill_and_long_ones_are_fewer),
    cmocka_unit_test (test_rank_with_long_requests_gets_fewer),
    cmocka_unit_test (test_change_is_followed),
    cmocka_unit_test (test_pass_with_little_work_has_little_weight),
    cmocka_unit_test (test_factor_is_bounded),
    cmocka_unit_test (test_absurd_loads),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
