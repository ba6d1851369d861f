/* Prompt segments that are suspected of crashes: harmful ones must be stopped,
   others must not be stopped for crashes of another cause.  */

#include "suspects_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

static void
test_harmful_segment_is_quarantined_and_its_companions_are_not (void **state)
{
  fixture_t *fixture = *state;

  fixture_answer (fixture, sound_prompt);
  fixture_crash (fixture, harmful_prompt);
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_ADMITTED);
  fixture_crash (fixture, harmful_prompt);
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_QUARANTINED);
  assert_int_equal (prompt_verdict (fixture->suspects, sound_prompt),
                    SUSPECT_ADMITTED);
}

static void
test_segment_that_was_answered_before_can_become_harmful (void **state)
{
  fixture_t *fixture = *state;

  fixture_answer (fixture, harmful_prompt);
  for (unsigned i = 0; i < 4; i++)
    {
      assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                        SUSPECT_ADMITTED);
      fixture_crash (fixture, harmful_prompt);
      fixture_answer (fixture, sound_prompt);
    }
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_QUARANTINED);
  assert_int_equal (prompt_verdict (fixture->suspects, sound_prompt),
                    SUSPECT_ADMITTED);
}

static void
test_answer_clears_a_segment (void **state)
{
  fixture_t *fixture = *state;

  for (unsigned i = 0; i < 10; i++)
    {
      fixture_crash (fixture, sound_prompt);
      fixture_answer (fixture, sound_prompt);
      assert_int_equal (prompt_verdict (fixture->suspects, sound_prompt),
                        SUSPECT_ADMITTED);
    }
}

/* A power failure takes many upstreams that had the same popular prompt.  */
static void
test_crashes_at_the_same_moment_stop_no_popular_segment (void **state)
{
  fixture_t *fixture = *state;

  fixture_answer (fixture, sound_prompt);
  fixture_wait_ms (fixture, GAP_MS);
  for (unsigned i = 0; i < 20; i++)
    fixture_crash_with (fixture, i, sound_prompt, PROGRESS_BEGUN);
  assert_int_equal (prompt_verdict (fixture->suspects, sound_prompt),
                    SUSPECT_ADMITTED);
}

static void
test_queued_prompts_weigh_less (void **state)
{
  fixture_t *fixture = *state;

  for (unsigned i = 0; i < 3; i++)
    {
      assert_int_not_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                            SUSPECT_QUARANTINED);
      fixture_wait_ms (fixture, GAP_MS);
      fixture_crash_with (fixture, i, harmful_prompt, PROGRESS_NONE);
    }
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_QUARANTINED);
}

static void
test_suspect_is_probed_by_one_request_at_a_time (void **state)
{
  fixture_t *fixture = *state;

  fixture_crash (fixture, harmful_prompt);
  assert_true (suspects_record_sent (fixture->suspects, harmful_prompt, 2));
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_PROBED);
  fixture_gossip (fixture, 1);
  assert_int_equal (prompt_verdict (fixture->peer, harmful_prompt),
                    SUSPECT_PROBED);
  fixture_answer (fixture, harmful_prompt);
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_ADMITTED);
}

/* A quarantine ends, is probed by one request, and is twice as long after
   another crash; it ends for good with an answer.  */
static void
test_quarantine_is_checked_again (void **state)
{
  fixture_t *fixture = *state;

  fixture_crash (fixture, harmful_prompt);
  fixture_crash (fixture, harmful_prompt);
  fixture_wait_ms (fixture, QUARANTINE_MS);
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_ADMITTED);
  suspects_record_sent (fixture->suspects, harmful_prompt, 2);
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_PROBED);
  fixture_crash (fixture, harmful_prompt);
  fixture_wait_ms (fixture, QUARANTINE_MS);
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_QUARANTINED);
  fixture_wait_ms (fixture, QUARANTINE_MS);
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_ADMITTED);
  fixture_answer (fixture, harmful_prompt);
  fixture_crash (fixture, harmful_prompt);
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_ADMITTED);
}

static void
test_suspicion_expires (void **state)
{
  fixture_t *fixture = *state;
  unsigned count;

  fixture_crash (fixture, harmful_prompt);
  suspects_record_sent (fixture->suspects, harmful_prompt, 2);
  fixture_wait_ms (fixture, MEMORY_MS);
  fixture_crash (fixture, harmful_prompt);
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_ADMITTED);
  fixture_wait_ms (fixture, MEMORY_MS);
  prompt_verdict (fixture->suspects, harmful_prompt);
  suspects_list (fixture, fixture->suspects, &count);
  assert_int_equal (count, 0);
}

/* The same crash, reported by two relays.  */
static void
test_crash_counts_once (void **state)
{
  fixture_t *fixture = *state;

  for (unsigned i = 0; i < 5; i++)
    fixture_crash_with (fixture, 1, harmful_prompt, PROGRESS_BEGUN);
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_ADMITTED);
}

/* The time of a later segment whose quarantine is over must not replace that
   of an earlier one.  */
static void
test_longest_quarantine_decides (void **state)
{
  fixture_t *fixture = *state;
  const uint64_t prompt[] = { HARMFUL, OTHER };
  const uint64_t other[] = { OTHER, OTHER };
  suspect_finding_t finding;

  for (unsigned i = 0; i < 2; i++)
    fixture_crash (fixture, other);
  fixture_wait_ms (fixture, QUARANTINE_MS);
  for (unsigned i = 0; i < 2; i++)
    fixture_crash (fixture, (const uint64_t[]){ HARMFUL, HARMFUL });
  finding = suspects_check (fixture->suspects, prompt, 2);
  assert_int_equal (finding.verdict, SUSPECT_QUARANTINED);
  assert_int_equal (finding.segment, HARMFUL);
  assert_int_equal (timespec_to_ms (finding.retry_after), QUARANTINE_MS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (
        test_harmful_segment_is_quarantined_and_its_companions_are_not,
        fixture_set_up, fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_segment_that_was_answered_before_can_become_harmful,
        fixture_set_up, fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_answer_clears_a_segment,
                                     fixture_set_up, fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_crashes_at_the_same_moment_stop_no_popular_segment,
        fixture_set_up, fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_queued_prompts_weigh_less,
                                     fixture_set_up, fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_suspect_is_probed_by_one_request_at_a_time, fixture_set_up,
        fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_quarantine_is_checked_again,
                                     fixture_set_up, fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_suspicion_expires, fixture_set_up,
                                     fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_crash_counts_once, fixture_set_up,
                                     fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_longest_quarantine_decides,
                                     fixture_set_up, fixture_tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
