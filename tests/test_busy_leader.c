/* The leader of a group computes on a small share of a core, and all ranks
   wait for it meanwhile.  Plans for many ranks took so long that experts were
   out of place for most of the time between two shifts of their popularity. */

#include "kernel/clock.h"
#include "kernel/invariant.h"
#include "pilot_group.h"
#include "planner_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  RUN_MS = 20000,
  MESSAGE_COST_US = 300,
  WORK_MS = 100, /* longer than a leader waits for an answer */
  WORK_INTERVAL_MS = 500,
  CORE_PERCENT = 15,   /* of a core, for a leader */
  MAX_SWITCH_MS = 500, /* from its plan until the group uses the map */
  MAX_COMMANDS_MS = 260,
  SHIFTS = 5,
  STAGES = 3, /* plans after each shift */
  PERCENT = 100
};

static void
check_switches (unsigned rank_count, int64_t work_ms)
{
  pilot_group_t *group = pilot_group_create (1, rank_count, true);

  group->message_cost_us = MESSAGE_COST_US;
  group->work_ms = work_ms;
  group->work_interval_ms = WORK_INTERVAL_MS;
  pilot_group_run (group, RUN_MS);
  print_message ("longest switch: %lld ms, %u late answers\n",
                 (long long)group->longest_switch_ms, group->timeouts);
  assert_true (work_ms == 0 || group->timeouts > 0);
  assert_int_equal (group->mixed_steps, 0);
  assert_int_equal (group->aborted, 0);
  assert_true (group->switches_in_use > 0);
  assert_true (group->longest_switch_ms <= MAX_SWITCH_MS);
  pilot_group_destroy (group);
}

static void
test_messages_delay_no_switch_of_12_ranks (void **state)
{
  (void)state;
  check_switches (12, 0);
}

static void
test_messages_delay_no_switch_of_64_ranks (void **state)
{
  (void)state;
  check_switches (64, 0);
}

/* Answers that wait while the leader works aren't lost: switches are not
   planned further ahead for them.  */
static void
test_late_answers_delay_no_switch_of_64_ranks (void **state)
{
  (void)state;
  check_switches (64, WORK_MS);
}

static int64_t
processor_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return timespec_to_ms (now);
}

/* Plans once, and returns how long that takes a leader.  */
static int64_t
measure_plan (planner_fixture_t *fixture, uint64_t version)
{
  int64_t began_ms = processor_ms ();
  placement_plan_t plan = planner_fixture_plan (fixture);
  int64_t duration_ms = (processor_ms () - began_ms) * PERCENT / CORE_PERCENT;

  planner_fixture_use (fixture, &plan, version);
  return duration_ms;
}

static void
test_plan_for_64_ranks_leaves_time_for_its_switch (void **state)
{
  planner_fixture_t *fixture = planner_fixture_create (64, 256);
  int64_t longest_ms = 0;
  uint64_t version = 0;

  (void)state;
  for (unsigned i = 0; i < SHIFTS * STAGES; i++)
    {
      int64_t duration_ms;

      if (i % STAGES == 0)
        planner_fixture_shift (fixture);
      duration_ms = measure_plan (fixture, ++version);
      if (duration_ms > longest_ms)
        longest_ms = duration_ms;
    }
  print_message ("longest plan: %lld ms\n", (long long)longest_ms);
  assert_true (longest_ms <= MAX_SWITCH_MS - MAX_COMMANDS_MS);
  planner_fixture_destroy (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_messages_delay_no_switch_of_12_ranks),
    cmocka_unit_test (test_messages_delay_no_switch_of_64_ranks),
    cmocka_unit_test (test_late_answers_delay_no_switch_of_64_ranks),
    cmocka_unit_test (test_plan_for_64_ranks_leaves_time_for_its_switch),
  };

  invariant_set_fatal (true);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
