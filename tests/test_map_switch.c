/* The map switch on a virtual clock.  With --seed N and --steps N only the
   randomised run, with that seed and for that many milliseconds.  */

#include "map_world.h"

#include "kernel/clock.h"
#include "kernel/invariant.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

enum
{
  LIMIT_MS = 20000, /* generous, for what must come at last */
  RANDOM_SEEDS = 40,
  RANDOM_MS = 20000
};

static bool
world_run_until_steady (world_t *world, unsigned coordinator)
{
  for (int64_t left = LIMIT_MS; left > 0; left--)
    {
      if (group_coordinator_is_steady (world->coordinators[coordinator].state))
        return true;
      world_tick (world);
    }
  return false;
}

static bool
world_run_until_phase (world_t *world, unsigned rank, group_phase_t phase)
{
  for (int64_t left = LIMIT_MS; left > 0; left--)
    {
      if (world->ranks[rank].engine.state.schedule.phase == phase)
        return true;
      world_tick (world);
    }
  return false;
}

static world_t *
world_create_steady (void)
{
  world_t *world = world_create (7);

  assert_true (world_lead (world, 0));
  assert_true (world_run_until_steady (world, 0));
  return world;
}

/* Stop all that coordinator INDEX does for good.  */
static void
world_kill_coordinator (world_t *world, unsigned index)
{
  world->coordinators[index].paused_until_ms = INT64_MAX;
}

static void
world_check_and_destroy (world_t *world)
{
  uint64_t steps = world->steps_done;

  world_run (world, 500);
  assert_true (world->steps_done > steps);
  assert_int_equal (world->mixed_steps, 0);
  world_destroy (world);
}

static void
test_switch_reaches_every_rank (void **state)
{
  world_t *world = world_create_steady ();

  (void)state;
  assert_true (world_switch (world, 0));
  assert_true (world_run_until_steady (world, 0));
  assert_int_equal (world->committed, 1);
  assert_int_equal (world->last_map, world->coordinators[0].version);
  world_check_and_destroy (world);
}

static void
test_switch_costs_no_pause (void **state)
{
  world_t *world = world_create_steady ();
  uint64_t before;

  (void)state;
  world_run (world, 300);
  before = world->steps_done;
  world_run (world, 300);
  before = world->steps_done - before;
  world->delay_ms = 1;
  assert_true (world_switch (world, 0));
  for (unsigned i = 0; i < 300; i++)
    {
      world_tick (world);
      for (unsigned j = 0; j < WORLD_RANKS; j++)
        {
          const group_schedule_t *schedule
              = &world->ranks[j].engine.state.schedule;

          assert_false (schedule->phase == GROUP_ARMED
                        && world->step >= schedule->step);
        }
    }
  assert_int_equal (world->committed, 1);
  assert_true (world->steps_done > before);
  world_check_and_destroy (world);
}

static void
test_new_coordinator_ends_half_made_switch (void **state)
{
  world_t *world = world_create_steady ();

  (void)state;
  assert_true (world_switch (world, 0));
  assert_true (world_run_until_phase (world, 1, GROUP_ARMED));
  world_kill_coordinator (world, 0);
  assert_true (world_lead (world, 1));
  assert_true (world_run_until_steady (world, 1));
  world_check_and_destroy (world);
}

static void
test_committed_anywhere_is_committed_everywhere (void **state)
{
  world_t *world = world_create_steady ();
  uint64_t version;

  (void)state;
  world_run (world, 50);
  assert_true (world_switch (world, 0));
  version = world->coordinators[0].version;
  assert_true (world_run_until_phase (world, 1, GROUP_COMMITTED));
  world_kill_coordinator (world, 0);
  world_restart_agent (world, 0);
  world_restart_engine (world, 0);
  assert_true (world_lead (world, 1));
  assert_true (world_run_until_steady (world, 1));
  assert_int_equal (group_coordinator_base (world->coordinators[1].state),
                    version);
  world_check_and_destroy (world);
}

static void
test_switch_ends_while_store_is_down (void **state)
{
  world_t *world = world_create_steady ();

  (void)state;
  assert_true (world_switch (world, 0));
  assert_true (world_run_until_phase (world, 1, GROUP_ARMED));
  world->is_store_down = true;
  world_restart_agent (world, 2);
  assert_false (world_lead (world, 1));
  assert_true (world_run_until_steady (world, 0));
  world_check_and_destroy (world);
}

static void
test_deposed_coordinator_cannot_commit (void **state)
{
  world_t *world = world_create_steady ();
  uint64_t old_map = world->last_map;

  (void)state;
  assert_true (world_switch (world, 0));
  assert_true (world_run_until_phase (world, 2, GROUP_ARMED));
  world->coordinators[0].paused_until_ms = world->now_ms + 300;
  assert_true (world_lead (world, 1));
  assert_true (world_run_until_steady (world, 1));
  world_run (world, 1000);
  assert_int_equal (group_coordinator_phase (world->coordinators[0].state),
                    GROUP_IDLE);
  assert_int_equal (world->last_map, old_map);
  world_check_and_destroy (world);
}

static void
test_restarted_rank_gets_the_running_map (void **state)
{
  world_t *world = world_create_steady ();

  (void)state;
  assert_true (world_switch (world, 0));
  assert_true (world_run_until_steady (world, 0));
  world_restart_engine (world, 1);
  assert_true (world_run_until_phase (world, 1, GROUP_STEADY));
  assert_int_equal (world->ranks[1].engine.state.schedule.base,
                    world->coordinators[0].version);
  world_check_and_destroy (world);
}

static void
test_unreachable_rank_aborts_the_switch (void **state)
{
  world_t *world = world_create_steady ();
  uint64_t steps;

  (void)state;
  world->ranks[2].engine.load_ms = (int64_t)LIMIT_MS * 10;
  assert_true (world_switch (world, 0));
  steps = world->steps_done;
  world_run (world, 2000);
  assert_int_equal (world->aborted, 1);
  assert_true (world->steps_done > steps + 500);
  assert_true (group_coordinator_is_steady (world->coordinators[0].state));
  world_check_and_destroy (world);
}

static void
test_group_starts_again_after_all_ranks_restarted (void **state)
{
  world_t *world = world_create_steady ();

  (void)state;
  assert_true (world_switch (world, 0));
  assert_true (world_run_until_phase (world, 0, GROUP_ARMED));
  for (unsigned i = 0; i < WORLD_RANKS; i++)
    {
      world_restart_agent (world, i);
      world_restart_engine (world, i);
    }
  assert_true (world_run_until_steady (world, 0));
  world_check_and_destroy (world);
}

/* Faults of all kinds for DURATION_MS; then none, and the group must step
   again, steadily.  */
static void
run_with_faults (uint64_t seed, int64_t duration_ms, bool is_verbose)
{
  world_t *world = world_create (seed);

  world->loss_percent = 10;
  world_lead (world, 0);
  while (world->now_ms < duration_ms)
    {
      world_tick (world);
      world_cause_faults (world);
    }
  if (is_verbose)
    printf ("seed=%llu steps=%llu committed=%u aborted=%u restarts=%u "
            "epochs=%llu mixed=%llu\n",
            (unsigned long long)seed, (unsigned long long)world->steps_done,
            world->committed, world->aborted, world->restarts,
            (unsigned long long)world->epoch,
            (unsigned long long)world->mixed_steps);
  assert_int_equal (world->mixed_steps, 0);
  world->loss_percent = 0;
  world->is_store_down = false;
  world_kill_coordinator (world, 0);
  world->coordinators[1].paused_until_ms = 0;
  world_lead (world, 1);
  assert_true (world_run_until_steady (world, 1));
  assert_true (world_switch (world, 1));
  assert_true (world_run_until_steady (world, 1));
  world_check_and_destroy (world);
}

static void
test_random_faults (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= RANDOM_SEEDS; seed++)
    run_with_faults (seed, RANDOM_MS, false);
}

static const char *
argument (int argc, char **argv, const char *name)
{
  for (int i = 1; i + 1 < argc; i++)
    {
      if (strcmp (argv[i], name) == 0)
        return argv[i + 1];
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_switch_reaches_every_rank),
    cmocka_unit_test (test_switch_costs_no_pause),
    cmocka_unit_test (test_new_coordinator_ends_half_made_switch),
    cmocka_unit_test (test_committed_anywhere_is_committed_everywhere),
    cmocka_unit_test (test_switch_ends_while_store_is_down),
    cmocka_unit_test (test_deposed_coordinator_cannot_commit),
    cmocka_unit_test (test_restarted_rank_gets_the_running_map),
    cmocka_unit_test (test_unreachable_rank_aborts_the_switch),
    cmocka_unit_test (test_group_starts_again_after_all_ranks_restarted),
    cmocka_unit_test (test_random_faults),
  };
  const char *seed = argument (argc, argv, "--seed");
  const char *steps = argument (argc, argv, "--steps");

  invariant_set_fatal (true);
  if (seed != NULL)
    {
      run_with_faults (strtoull (seed, NULL, 10),
                       steps == NULL ? RANDOM_MS : strtoll (steps, NULL, 10),
                       true);
      return EXIT_SUCCESS;
    }
  return cmocka_run_group_tests (tests, NULL, NULL);
}
