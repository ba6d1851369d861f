/* Switches of groups of 12 and 64 ranks while half of the commands to engines
   are lost and carried out seconds later.  With a retry that costs the
   leader's round trip, the slowest of 64 ranks decided, and the group stood
   until a switch was given up and afterwards.  */

#include "kernel/invariant.h"
#include "pilot_group.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  MAX_RANKS = PILOT_GROUP_MAX_RANKS,
  RUN_MS = 10000,
  MAX_HELD_MS = 500, /* in all */
  SEEDS = 10,
  LOSS_PERCENT = 50
};

/* Runs a group without faults and then with half of the commands lost.  */
static pilot_group_t *
run_with_losses (uint64_t seed, unsigned rank_count, bool is_repeated,
                 bool is_carried_out)
{
  pilot_group_t *group = pilot_group_create (seed, rank_count, is_repeated);

  group->is_carried_out = is_carried_out;

  pilot_group_run (group, RUN_MS / 2);
  group->held_ms = 0;
  group->loss_percent = LOSS_PERCENT;
  pilot_group_run (group, RUN_MS);
  return group;
}

static void
check_losses (unsigned rank_count, bool is_carried_out)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      pilot_group_t *group
          = run_with_losses (seed, rank_count, true, is_carried_out);

      if (group->aborted > 0 || group->held_ms >= MAX_HELD_MS)
        print_error ("seed %llu: %u given up, held for %lld ms\n",
                     (unsigned long long)seed, group->aborted,
                     (long long)group->held_ms);
      assert_int_equal (group->mixed_steps, 0);
      assert_int_equal (group->aborted, 0);
      assert_true (group->held_ms < MAX_HELD_MS);
      assert_true (group->switched > 0);
      pilot_group_destroy (group);
    }
}

static void
test_lost_orders_hardly_stop_a_group_of_12 (void **state)
{
  (void)state;
  check_losses (12, false);
}

static void
test_lost_orders_hardly_stop_a_group_of_64 (void **state)
{
  (void)state;
  check_losses (MAX_RANKS, false);
}

/* An order to load weights whose answer is lost is refused when it is sent
   again, as the engine is loading them.  */
static void
test_lost_answers_hardly_stop_a_group_of_64 (void **state)
{
  (void)state;
  check_losses (MAX_RANKS, true);
}

/* Pilots that don't repeat: a switch takes longer, but isn't given up while
   ranks are still being armed.  */
static void
test_switch_that_goes_on_is_not_given_up (void **state)
{
  unsigned aborted = 0;

  (void)state;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      pilot_group_t *group = run_with_losses (seed, MAX_RANKS, false, false);

      assert_int_equal (group->mixed_steps, 0);
      aborted += group->aborted;
      pilot_group_destroy (group);
    }
  assert_int_equal (aborted, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lost_orders_hardly_stop_a_group_of_12),
    cmocka_unit_test (test_lost_orders_hardly_stop_a_group_of_64),
    cmocka_unit_test (test_lost_answers_hardly_stop_a_group_of_64),
    cmocka_unit_test (test_switch_that_goes_on_is_not_given_up),
  };

  invariant_set_fatal (true);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
