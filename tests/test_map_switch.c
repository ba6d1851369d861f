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

/* A coordinator and ranks without a world between them: the test is.  */
typedef struct recorder
{
  group_command_t orders[64];
  unsigned order_count;
  group_engine_command_t engine_order;
  unsigned engine_orders;
  group_reply_t reply;
} recorder_t;

static void
record_order (const group_command_t *order, void *data)
{
  recorder_t *recorder = data;

  recorder->orders[recorder->order_count++ % 64] = *order;
}

static void
record_engine_order (const group_engine_command_t *order, void *data)
{
  recorder_t *recorder = data;

  recorder->engine_order = *order;
  recorder->engine_orders++;
}

static void
record_reply (const group_reply_t *reply, void *data)
{
  recorder_t *recorder = data;

  recorder->reply = *reply;
}

static const group_coordinator_ops_t recording_coordinator
    = { .send = record_order };
static const group_rank_ops_t recording_rank
    = { .send_to_engine = record_engine_order, .reply = record_reply };

static group_reply_t
reply_to (group_command_kind_t kind, unsigned rank, uint64_t incarnation,
          group_fence_t fence, group_schedule_t schedule)
{
  return (group_reply_t){ .kind = kind,
                          .rank = rank,
                          .incarnation = incarnation,
                          .command_fence = fence,
                          .promised = fence,
                          .is_accepted = true,
                          .schedule = schedule };
}

/* The checker's case without a second round: a rank that had committed
   restarts after its promise, and an older coordinator reaches it first.  */
static void
test_promise_is_confirmed_by_all_before_any_decision (void **state)
{
  recorder_t recorder = { .order_count = 0 };
  group_coordinator_options_t options
      = { .rank_count = 2,
          .resend_interval = timespec_from_ms (20),
          .watch_interval = timespec_from_ms (50),
          .ops = &recording_coordinator,
          .data = &recorder };
  group_coordinator_t *coordinator = group_coordinator_create (NULL, &options);
  struct timespec now = timespec_from_ms (1);
  group_schedule_t committed = { GROUP_COMMITTED, 1, 2, 9 };
  group_schedule_t armed = { GROUP_ARMED, 1, 2, 9 };
  group_schedule_t none = { GROUP_NO_MAP, 0, 0, 0 };
  group_fence_t fence = { 5, 1 };
  group_reply_t reply;

  (void)state;
  group_coordinator_start_term (coordinator, 5, 3, now);
  reply = reply_to (GROUP_RAISE_FENCE, 0, 10, fence, committed);
  group_coordinator_receive (coordinator, &reply, now);
  reply = reply_to (GROUP_RAISE_FENCE, 1, 20, fence, armed);
  group_coordinator_receive (coordinator, &reply, now);
  assert_int_equal (group_coordinator_phase (coordinator), GROUP_CONFIRMING);
  reply = reply_to (GROUP_CONFIRM, 1, 20, fence, armed);
  group_coordinator_receive (coordinator, &reply, now);
  assert_int_equal (group_coordinator_phase (coordinator), GROUP_CONFIRMING);
  reply = reply_to (GROUP_CONFIRM, 0, 11, fence, none);
  reply.is_accepted = false;
  reply.promised = (group_fence_t){ 4, 7 };
  group_coordinator_receive (coordinator, &reply, now);
  assert_int_equal (group_coordinator_phase (coordinator),
                    GROUP_RAISING_FENCE);
  for (unsigned i = 0; i < recorder.order_count; i++)
    assert_true (recorder.orders[i].kind <= GROUP_CONFIRM);
  group_coordinator_destroy (coordinator);
}

/* The checker's case without incarnations: the rank restarts and promises the
   same fence again, and an order for its former self arrives late.  */
static void
test_order_for_a_former_incarnation_is_refused (void **state)
{
  recorder_t recorder = { .order_count = 0 };
  group_rank_options_t options = { .rank = 1,
                                   .incarnation = 20,
                                   .read_interval = timespec_from_ms (25),
                                   .ops = &recording_rank,
                                   .data = &recorder };
  group_engine_state_t engine
      = { .incarnation = 7, .schedule = { GROUP_ARMED, 1, 2, 9 } };
  group_command_t order = { .kind = GROUP_RAISE_FENCE,
                            .rank = 1,
                            .fence = { 5, 1 },
                            .schedule = { .next = 2 } };
  struct timespec now = timespec_from_ms (1);
  group_rank_t *rank = group_rank_create (NULL, &options, now);

  (void)state;
  group_rank_tick (rank, now);
  group_rank_engine_responded (rank, &engine, now);
  group_rank_receive (rank, &order, now);
  assert_true (recorder.reply.is_accepted);
  order.kind = GROUP_COMMIT;
  order.incarnation = 19;
  group_rank_receive (rank, &order, now);
  assert_false (recorder.reply.is_accepted);
  assert_int_equal (recorder.engine_orders, 1);
  order.incarnation = 20;
  group_rank_receive (rank, &order, now);
  assert_int_equal (recorder.engine_orders, 2);
  assert_int_equal (recorder.engine_order.kind, GROUP_ENGINE_COMMIT);
  group_rank_destroy (rank);
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
    cmocka_unit_test (test_promise_is_confirmed_by_all_before_any_decision),
    cmocka_unit_test (test_order_for_a_former_incarnation_is_refused),
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
