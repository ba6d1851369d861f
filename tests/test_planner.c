/* Plans for groups of many ranks under a popularity of experts that shifts at
   once: what the plan reaches, how soon, and what it costs to compute it.  A
   plan that is late or moves too little leaves all ranks waiting for the
   busiest.  */

#include "planner_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

enum
{
  MAX_PLANS = 3 /* stages until the map is as good as it gets */
};

/* The slowest rank's time over that of a balanced group; see
   docs/PLACEMENT.md.  */
static const double max_skew = 1.25;

/* Plans from the counts of the present popularity and uses the map.  */
static placement_plan_t
plan_and_use (planner_fixture_t *fixture, uint64_t version)
{
  placement_plan_t plan = planner_fixture_plan (fixture);

  planner_fixture_use (fixture, &plan, version);
  return plan;
}

static void
check_group (unsigned ranks, unsigned experts)
{
  planner_fixture_t *fixture = planner_fixture_create (ranks, experts);
  uint64_t version = 1;

  for (unsigned shift = 0; shift < 5; shift++)
    {
      placement_plan_t plan;

      planner_fixture_shift (fixture);
      plan = plan_and_use (fixture, version++);
      assert_true (plan.is_change);
      /* The first stage takes most of the excess.  */
      assert_true (plan.time_after - plan.time_bound
                   < (plan.time_before - plan.time_bound) / 2);
      for (unsigned i = 1; i < MAX_PLANS; i++)
        plan = plan_and_use (fixture, version++);
      assert_true (plan.time_after <= max_skew * plan.time_bound);
    }
  planner_fixture_destroy (fixture);
}

static void
test_groups_of_32_ranks_follow_shifts (void **state)
{
  (void)state;
  check_group (32, 128);
}

static void
test_groups_of_64_ranks_follow_shifts (void **state)
{
  (void)state;
  check_group (64, 256);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_groups_of_32_ranks_follow_shifts),
    cmocka_unit_test (test_groups_of_64_ranks_follow_shifts),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
