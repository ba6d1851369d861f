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

/* A rank that has been read sends a reply of which only the beginning fits.
   The map must stay as it was: the planner counted it as known, half
   overwritten, and planned from it.  */
static void
test_malformed_reply_leaves_the_map (void **state)
{
  enum
  {
    LAYERS = PLANNER_FIXTURE_LAYERS,
    COUNT = 2 * LAYERS /* numbers of a rank with one expert in each layer */
  };
  planner_fixture_t *fixture = planner_fixture_create (32, 128);
  placement_map_t *before
      = placement_map_copy (fixture, planner_map (fixture->planner));
  uint64_t numbers[COUNT];
  rank_reply_t reply = { .numbers = numbers, .number_count = COUNT };

  (void)state;
  for (size_t i = 0; i < COUNT; i += 2)
    {
      numbers[i] = 1;
      numbers[i + 1] = 7;
    }
  numbers[reply.number_count - 1] = UINT16_MAX + 1; /* cut, it is expert 0 */
  assert_false (planner_read_map (fixture->planner, 3, &reply));
  assert_memory_equal (planner_map (fixture->planner)->slots, before->slots,
                       talloc_get_size (before->slots));
  numbers[reply.number_count - 1] = 128;
  assert_false (planner_read_map (fixture->planner, 3, &reply));
  numbers[reply.number_count - 1] = 7;
  reply.number_count--;
  assert_false (planner_read_map (fixture->planner, 3, &reply));
  assert_memory_equal (planner_map (fixture->planner)->slots, before->slots,
                       talloc_get_size (before->slots));
  assert_true (planner_has_map (fixture->planner, 0));
  planner_fixture_destroy (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_groups_of_32_ranks_follow_shifts),
    cmocka_unit_test (test_groups_of_64_ranks_follow_shifts),
    cmocka_unit_test (test_malformed_reply_leaves_the_map),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
