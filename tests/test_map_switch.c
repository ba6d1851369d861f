/* Switches of the expert map by agents, on a virtual clock: no two ranks may
   use different maps in a step, and no switch may stay undecided, however
   messages, coordinators and ranks are lost, delayed or doubled.  With --seed
   N and --steps N only the randomised test runs, with that seed and for that
   many milliseconds.  */

#include "map_switch_harness.h"

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
  /* Generous limit for anything that must happen eventually.  */
  TIMEOUT_MS = 20000,
  RANDOM_SEEDS = 40,
  RANDOM_MS = 20000
};

static bool
harness_run_until_steady (harness_t *harness, unsigned coordinator)
{
  for (int64_t left = TIMEOUT_MS; left > 0; left--)
    {
      if (group_coordinator_is_steady (
              harness->coordinators[coordinator].state))
        return true;
      harness_tick (harness);
    }
  return false;
}

static bool
harness_run_until_phase (harness_t *harness, unsigned rank,
                         group_phase_t phase)
{
  for (int64_t left = TIMEOUT_MS; left > 0; left--)
    {
      if (harness->ranks[rank].engine.state.schedule.phase == phase)
        return true;
      harness_tick (harness);
    }
  return false;
}

static harness_t *
harness_create_steady (void)
{
  harness_t *harness = harness_create (7);

  assert_true (harness_start_term (harness, 0));
  assert_true (harness_run_until_steady (harness, 0));
  return harness;
}

/* Stop coordinator INDEX permanently.  */
static void
harness_kill_coordinator (harness_t *harness, unsigned index)
{
  harness->coordinators[index].paused_until_ms = INT64_MAX;
}

static void
harness_check_and_destroy (harness_t *harness)
{
  uint64_t steps = harness->steps_done;

  harness_run (harness, 500);
  assert_true (harness->steps_done > steps);
  assert_int_equal (harness->mixed_steps, 0);
  harness_destroy (harness);
}

static void
test_switch_reaches_every_rank (void **state)
{
  harness_t *harness = harness_create_steady ();

  (void)state;
  assert_true (harness_start_switch (harness, 0));
  assert_true (harness_run_until_steady (harness, 0));
  assert_int_equal (harness->committed, 1);
  assert_int_equal (harness->last_map, harness->coordinators[0].version);
  harness_check_and_destroy (harness);
}

static void
test_switch_does_not_pause_steps (void **state)
{
  harness_t *harness = harness_create_steady ();
  uint64_t before;

  (void)state;
  harness_run (harness, 300);
  before = harness->steps_done;
  harness_run (harness, 300);
  before = harness->steps_done - before;
  harness->max_delay_ms = 1;
  assert_true (harness_start_switch (harness, 0));
  for (unsigned i = 0; i < 300; i++)
    {
      harness_tick (harness);
      for (unsigned j = 0; j < HARNESS_RANKS; j++)
        {
          const group_schedule_t *schedule
              = &harness->ranks[j].engine.state.schedule;

          assert_false (schedule->phase == GROUP_ARMED
                        && harness->step >= schedule->step);
        }
    }
  assert_int_equal (harness->committed, 1);
  assert_true (harness->steps_done > before);
  harness_check_and_destroy (harness);
}

static void
test_new_coordinator_completes_unfinished_switch (void **state)
{
  harness_t *harness = harness_create_steady ();

  (void)state;
  assert_true (harness_start_switch (harness, 0));
  assert_true (harness_run_until_phase (harness, 1, GROUP_ARMED));
  harness_kill_coordinator (harness, 0);
  assert_true (harness_start_term (harness, 1));
  assert_true (harness_run_until_steady (harness, 1));
  harness_check_and_destroy (harness);
}

static void
test_committed_anywhere_is_committed_everywhere (void **state)
{
  harness_t *harness = harness_create_steady ();
  uint64_t version;

  (void)state;
  harness_run (harness, 50);
  assert_true (harness_start_switch (harness, 0));
  version = harness->coordinators[0].version;
  assert_true (harness_run_until_phase (harness, 1, GROUP_COMMITTED));
  harness_kill_coordinator (harness, 0);
  harness_restart_agent (harness, 0);
  harness_restart_engine (harness, 0);
  assert_true (harness_start_term (harness, 1));
  assert_true (harness_run_until_steady (harness, 1));
  assert_int_equal (group_coordinator_base (harness->coordinators[1].state),
                    version);
  harness_check_and_destroy (harness);
}

static void
test_switch_ends_while_store_is_down (void **state)
{
  harness_t *harness = harness_create_steady ();

  (void)state;
  assert_true (harness_start_switch (harness, 0));
  assert_true (harness_run_until_phase (harness, 1, GROUP_ARMED));
  harness->is_store_down = true;
  harness_restart_agent (harness, 2);
  assert_false (harness_start_term (harness, 1));
  assert_true (harness_run_until_steady (harness, 0));
  harness_check_and_destroy (harness);
}

static void
test_deposed_coordinator_cannot_commit (void **state)
{
  harness_t *harness = harness_create_steady ();
  uint64_t old_map = harness->last_map;

  (void)state;
  assert_true (harness_start_switch (harness, 0));
  assert_true (harness_run_until_phase (harness, 2, GROUP_ARMED));
  harness->coordinators[0].paused_until_ms = harness->now_ms + 300;
  assert_true (harness_start_term (harness, 1));
  assert_true (harness_run_until_steady (harness, 1));
  harness_run (harness, 1000);
  assert_int_equal (group_coordinator_phase (harness->coordinators[0].state),
                    GROUP_IDLE);
  assert_int_equal (harness->last_map, old_map);
  harness_check_and_destroy (harness);
}

static void
test_restarted_rank_gets_the_running_map (void **state)
{
  harness_t *harness = harness_create_steady ();

  (void)state;
  assert_true (harness_start_switch (harness, 0));
  assert_true (harness_run_until_steady (harness, 0));
  harness_restart_engine (harness, 1);
  assert_true (harness_run_until_phase (harness, 1, GROUP_STEADY));
  assert_int_equal (harness->ranks[1].engine.state.schedule.base,
                    harness->coordinators[0].version);
  harness_check_and_destroy (harness);
}

static void
test_slow_rank_aborts_the_switch (void **state)
{
  harness_t *harness = harness_create_steady ();
  uint64_t steps;

  (void)state;
  harness->ranks[2].engine.load_ms = (int64_t)TIMEOUT_MS * 10;
  assert_true (harness_start_switch (harness, 0));
  steps = harness->steps_done;
  harness_run (harness, 2000);
  assert_int_equal (harness->aborted, 1);
  assert_true (harness->steps_done > steps + 500);
  assert_true (group_coordinator_is_steady (harness->coordinators[0].state));
  harness_check_and_destroy (harness);
}

static void
test_group_starts_again_after_all_ranks_restarted (void **state)
{
  harness_t *harness = harness_create_steady ();

  (void)state;
  assert_true (harness_start_switch (harness, 0));
  assert_true (harness_run_until_phase (harness, 0, GROUP_ARMED));
  for (unsigned i = 0; i < HARNESS_RANKS; i++)
    {
      harness_restart_agent (harness, i);
      harness_restart_engine (harness, i);
    }
  assert_true (harness_run_until_steady (harness, 0));
  harness_check_and_destroy (harness);
}

/* Records the output of one coordinator or rank that is tested without the
   harness; the test itself supplies the input.  */
typedef struct recorder
{
  group_command_t commands[64];
  unsigned command_count;
  group_engine_command_t engine_command;
  unsigned engine_command_count;
  group_reply_t reply;
} recorder_t;

static void
record_command (const group_command_t *command, void *data)
{
  recorder_t *recorder = data;

  recorder->commands[recorder->command_count++ % 64] = *command;
}

static void
record_engine_command (const group_engine_command_t *command, void *data)
{
  recorder_t *recorder = data;

  recorder->engine_command = *command;
  recorder->engine_command_count++;
}

static void
record_reply (const group_reply_t *reply, void *data)
{
  recorder_t *recorder = data;

  recorder->reply = *reply;
}

static const group_coordinator_ops_t recording_coordinator
    = { .send = record_command };
static const group_rank_ops_t recording_rank
    = { .send_to_engine = record_engine_command, .reply = record_reply };

static group_reply_t
reply_to (group_command_kind_t kind, unsigned rank, uint64_t incarnation,
          group_fence_t fence, group_schedule_t schedule)
{
  return (group_reply_t){ .kind = kind,
                          .rank = rank,
                          .incarnation = incarnation,
                          .command_fence = fence,
                          .highest_fence = fence,
                          .is_accepted = true,
                          .schedule = schedule };
}

/* Guards against a decision after a single round of messages.  The model
   checker's counterexample: a rank that has committed restarts after it
   accepted the fence, and an older coordinator reaches it first.  */
static void
test_fence_is_confirmed_by_all_before_any_decision (void **state)
{
  recorder_t recorder = { .command_count = 0 };
  group_coordinator_options_t options
      = { .rank_count = 2,
          .resend_interval = timespec_from_ms (20),
          .monitor_interval = timespec_from_ms (50),
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
  reply.highest_fence = (group_fence_t){ 4, 7 };
  group_coordinator_receive (coordinator, &reply, now);
  assert_int_equal (group_coordinator_phase (coordinator),
                    GROUP_RAISING_FENCE);
  for (unsigned i = 0; i < recorder.command_count; i++)
    assert_true (recorder.commands[i].kind <= GROUP_CONFIRM);
  group_coordinator_destroy (coordinator);
}

/* Guards against commands that do not check the rank's incarnation.  The model
   checker's counterexample: the rank restarts and accepts the same fence
   again, and a delayed command for its former incarnation arrives.  */
static void
test_command_for_former_incarnation_is_rejected (void **state)
{
  recorder_t recorder = { .command_count = 0 };
  group_rank_options_t options = { .rank = 1,
                                   .incarnation = 20,
                                   .read_interval = timespec_from_ms (25),
                                   .ops = &recording_rank,
                                   .data = &recorder };
  group_engine_state_t engine
      = { .incarnation = 7, .schedule = { GROUP_ARMED, 1, 2, 9 } };
  group_command_t command = { .kind = GROUP_RAISE_FENCE,
                              .rank = 1,
                              .fence = { 5, 1 },
                              .schedule = { .next = 2 } };
  struct timespec now = timespec_from_ms (1);
  group_rank_t *rank = group_rank_create (NULL, &options, now);

  (void)state;
  group_rank_tick (rank, now);
  group_rank_engine_responded (rank, &engine, now);
  group_rank_receive (rank, &command, now);
  assert_true (recorder.reply.is_accepted);
  command.kind = GROUP_COMMIT;
  command.incarnation = 19;
  group_rank_receive (rank, &command, now);
  assert_false (recorder.reply.is_accepted);
  assert_int_equal (recorder.engine_command_count, 1);
  command.incarnation = 20;
  group_rank_receive (rank, &command, now);
  assert_int_equal (recorder.engine_command_count, 2);
  assert_int_equal (recorder.engine_command.kind, GROUP_ENGINE_COMMIT);
  group_rank_destroy (rank);
}

/* Inject faults of all kinds for DURATION_MS, then none.  The group must
   become steady and execute steps again.  */
static void
run_with_faults (uint64_t seed, int64_t duration_ms, bool is_verbose)
{
  harness_t *harness = harness_create (seed);

  harness->loss_percent = 10;
  harness_start_term (harness, 0);
  while (harness->now_ms < duration_ms)
    {
      harness_tick (harness);
      harness_inject_faults (harness);
    }
  if (is_verbose)
    printf ("seed=%llu steps=%llu committed=%u aborted=%u restarts=%u "
            "epochs=%llu mixed=%llu\n",
            (unsigned long long)seed, (unsigned long long)harness->steps_done,
            harness->committed, harness->aborted, harness->restarts,
            (unsigned long long)harness->epoch,
            (unsigned long long)harness->mixed_steps);
  assert_int_equal (harness->mixed_steps, 0);
  harness->loss_percent = 0;
  harness->is_store_down = false;
  harness_kill_coordinator (harness, 0);
  harness->coordinators[1].paused_until_ms = 0;
  harness_start_term (harness, 1);
  assert_true (harness_run_until_steady (harness, 1));
  assert_true (harness_start_switch (harness, 1));
  assert_true (harness_run_until_steady (harness, 1));
  harness_check_and_destroy (harness);
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
    cmocka_unit_test (test_switch_does_not_pause_steps),
    cmocka_unit_test (test_new_coordinator_completes_unfinished_switch),
    cmocka_unit_test (test_committed_anywhere_is_committed_everywhere),
    cmocka_unit_test (test_switch_ends_while_store_is_down),
    cmocka_unit_test (test_deposed_coordinator_cannot_commit),
    cmocka_unit_test (test_restarted_rank_gets_the_running_map),
    cmocka_unit_test (test_slow_rank_aborts_the_switch),
    cmocka_unit_test (test_group_starts_again_after_all_ranks_restarted),
    cmocka_unit_test (test_fence_is_confirmed_by_all_before_any_decision),
    cmocka_unit_test (test_command_for_former_incarnation_is_rejected),
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
