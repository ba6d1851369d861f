/* Plays scarce capacity and failures on relays with the fleet of production
   and checks what the clients of each class get.  Guards against an urgent
   class that waits behind a less urgent one, against a least urgent class that
   gets nothing, and against requests that are held although nothing can serve
   them.  */

#include "bench/relay_scenarios.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

/* Share of the most urgent class that is on time while capacity is scarce.  */
static const double min_urgent_on_time = 0.9;
/* By how much a class may be served less often than a less urgent one, and by
   how much its share of on-time responses may be smaller.  */
static const double max_served_deficit = 0.05;
static const double max_on_time_deficit = 0.15;
/* The least urgent class's part of the places.  */
static const double min_least_urgent_places = 1.0 / 8;
/* Share of the requests of all that a class or an account is served.  */
static const double min_served_ratio = 0.25;
/* Part of the objective within which a refusal comes that is certain.  */
static const double max_refusal_ratio = 1.0 / 5;
/* At normal load nearly all requests are on time.  */
static const double min_normal_on_time = 0.9;

typedef relay_model_scenario_t (*scenario_create_t) (const relay_site_t *site);

typedef void (*check_t) (const relay_model_scenario_t *scenario,
                         const relay_model_result_t *result);

static double
served_share (const relay_model_outcome_t *outcome)
{
  return outcome->on_time + outcome->late;
}

static unsigned broken_bounds;

/* Play the scenario of CREATE at each site, and check each result.  All are
   played before the test fails, so that its output shows each bound that does
   not hold.  A small site is played more often, as its results vary more.  */
static void
play (scenario_create_t create, check_t check)
{
  broken_bounds = 0;
  for (unsigned i = 0; i < RELAY_SITES; i++)
    for (uint64_t seed = 1; seed <= RELAY_SITES - i; seed++)
      {
        relay_model_scenario_t scenario = create (&relay_sites[i]);
        relay_model_options_t options
            = relay_scenario_options (&relay_sites[i], &scenario, seed);
        relay_model_result_t result = relay_model_run (&options);

        print_message ("%u relays, seed %llu\n", relay_sites[i].relays,
                       (unsigned long long)seed);
        check (&scenario, &result);
      }
  assert_int_equal (broken_bounds, 0);
}

/* Print and count a bound that does not hold.  */
static void
check_at_least (const char *what, const char *of, double value, double bound)
{
  if (value >= bound)
    return;
  print_message ("  %s of %s: %.3f, at least %.3f expected\n", what, of, value,
                 bound);
  broken_bounds++;
}

/* Print and count a time that is too long.  */
static void
check_at_most (const char *what, const char *of, double value, double bound)
{
  if (value <= bound)
    return;
  print_message ("  %s of %s: %.0f ms, at most %.0f ms expected\n", what, of,
                 value, bound);
  broken_bounds++;
}

static void
check_order (const relay_model_scenario_t *scenario,
             const relay_model_result_t *result)
{
  for (unsigned i = 0; i < scenario->class_count; i++)
    {
      const relay_model_outcome_t *urgent = &result->classes[i];
      const char *name = scenario->classes[i].name;

      for (unsigned j = i + 1; j < scenario->class_count; j++)
        {
          const relay_model_outcome_t *other = &result->classes[j];

          check_at_least ("served share", name, served_share (urgent),
                          served_share (other) - max_served_deficit);
          check_at_least ("on-time share", name, urgent->on_time,
                          other->on_time - max_on_time_deficit);
        }
      check_at_least ("served share", name, served_share (urgent),
                      min_served_ratio * served_share (&result->all));
    }
}

static void
check_normal (const relay_model_scenario_t *scenario,
              const relay_model_result_t *result)
{
  for (unsigned i = 0; i < scenario->class_count; i++)
    check_at_least ("on-time share", scenario->classes[i].name,
                    result->classes[i].on_time, min_normal_on_time);
}

static void
check_scarce (const relay_model_scenario_t *scenario,
              const relay_model_result_t *result)
{
  unsigned last = scenario->class_count - 1;

  check_at_least ("on-time share", scenario->classes[0].name,
                  result->classes[0].on_time, min_urgent_on_time);
  check_at_least ("part of the places", scenario->classes[last].name,
                  result->classes[last].place_share, min_least_urgent_places);
  check_order (scenario, result);
}

static void
check_accounts (const relay_model_scenario_t *scenario,
                const relay_model_result_t *result)
{
  double bound = min_served_ratio * served_share (&result->all);

  check_at_least ("served share", "the first account",
                  served_share (&result->first_account), bound);
  check_at_least ("served share", "the other accounts",
                  served_share (&result->other_accounts), bound);
  check_order (scenario, result);
}

/* A refusal is certain once a group should have formed and none has.  */
static void
check_refusals (const relay_model_scenario_t *scenario,
                const relay_model_result_t *result)
{
  for (unsigned i = 0; i < scenario->class_count; i++)
    {
      const relay_model_class_t *class = &scenario->classes[i];

      check_at_least ("refused share", class->name, result->classes[i].refused,
                      1);
      check_at_most ("time to a refusal", class->name,
                     result->classes[i].refusal_ms[1],
                     class->objective_ms * max_refusal_ratio);
    }
}

static void
test_normal_load (void **state)
{
  (void)state;
  play (relay_scenario_classes, check_normal);
}

static void
test_scarce_capacity (void **state)
{
  (void)state;
  play (relay_scenario_scarce, check_scarce);
}

static void
test_excessive_account (void **state)
{
  (void)state;
  play (relay_scenario_account, check_accounts);
}

static void
test_power_failure (void **state)
{
  (void)state;
  play (relay_scenario_power, check_order);
}

static void
test_closed_groups (void **state)
{
  (void)state;
  play (relay_scenario_closed, check_refusals);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_normal_load),
    cmocka_unit_test (test_scarce_capacity),
    cmocka_unit_test (test_excessive_account),
    cmocka_unit_test (test_power_failure),
    cmocka_unit_test (test_closed_groups),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
