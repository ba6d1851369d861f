/* What crashes say of prompts whose responses had begun or got further:
   harmful ones must be found though each stream gets some events, and long
   streams must not be stopped for the crashes that they meet.  */

#include "suspects_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/* A stream that has sent an event is no proof that its prompt does no harm:
   the upstream may crash after the first one.  */
static void
test_harmful_segment_is_found_by_crashes_after_events (void **state)
{
  fixture_t *fixture = *state;

  fixture_answer (fixture, sound_prompt);
  for (unsigned i = 0; i < 2; i++)
    {
      assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                        SUSPECT_ADMITTED);
      fixture_wait_ms (fixture, GAP_MS);
      fixture_crash_with (fixture, i, harmful_prompt, PROGRESS_BEGUN + 1);
    }
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_QUARANTINED);
  assert_int_equal (prompt_verdict (fixture->suspects, sound_prompt),
                    SUSPECT_ADMITTED);
}

/* Upstreams that crash after many events end no stream with the segment
   whole.  */
static void
test_harmful_segment_is_found_by_crashes_after_many_events (void **state)
{
  fixture_t *fixture = *state;

  fixture_answer (fixture, sound_prompt);
  for (unsigned i = 0; i < 3; i++)
    {
      assert_int_not_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                            SUSPECT_QUARANTINED);
      for (uint64_t progress = 8; progress <= 32; progress *= 2)
        suspects_record_progress (fixture->suspects, progress, harmful_prompt,
                                  2);
      fixture_wait_ms (fixture, GAP_MS);
      fixture_crash_with (fixture, i, harmful_prompt, 40 + i);
    }
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_QUARANTINED);
  assert_int_equal (prompt_verdict (fixture->suspects, sound_prompt),
                    SUSPECT_ADMITTED);
}

/* A request whose upstream crashes gets further at another one.  */
static void
test_progress_clears_of_earlier_crashes (void **state)
{
  fixture_t *fixture = *state;

  for (unsigned i = 0; i < 10; i++)
    {
      fixture_crash (fixture, sound_prompt);
      assert_true (
          suspects_record_progress (fixture->suspects, 8, sound_prompt, 2));
      fixture_gossip (fixture, 2);
      assert_int_equal (prompt_verdict (fixture->suspects, sound_prompt),
                        SUSPECT_ADMITTED);
      assert_int_equal (prompt_verdict (fixture->peer, sound_prompt),
                        SUSPECT_ADMITTED);
    }
}

/* Upstreams are killed one after the other, and with them the same long
   streams, which were never answered whole.  */
static void
test_streams_that_meet_two_kills_are_not_stopped (void **state)
{
  fixture_t *fixture = *state;

  for (unsigned i = 0; i < 2; i++)
    {
      fixture_wait_ms (fixture, GAP_MS);
      fixture_crash_with (fixture, i, sound_prompt, 30);
      assert_int_equal (prompt_verdict (fixture->suspects, sound_prompt),
                        SUSPECT_ADMITTED);
    }
}

/* What shared the upstreams of several harmful requests is not stopped once
   these are found, though nothing was answered in between.  */
static void
test_companions_of_several_harmful_requests_are_not_stopped (void **state)
{
  fixture_t *fixture = *state;
  const uint64_t innocent[] = { OTHER, 0x1 };
  const uint64_t harmful[][2] = { { 0xdead1, 0x2 }, { 0xdead2, 0x3 } };

  for (unsigned i = 0; i < 4; i++)
    {
      fixture_wait_ms (fixture, GAP_MS);
      fixture_crash_with (fixture, i, harmful[i % 2], PROGRESS_BEGUN);
      fixture_crash_with (fixture, i, innocent, PROGRESS_BEGUN + 20);
    }
  for (unsigned i = 0; i < 2; i++)
    assert_int_equal (prompt_verdict (fixture->suspects, harmful[i]),
                      SUSPECT_QUARANTINED);
  assert_int_equal (prompt_verdict (fixture->suspects, innocent),
                    SUSPECT_ADMITTED);
}

/* Upstreams crash before the head of a response, one right after the other:
   the second got the request after the first had crashed.  */
static void
test_repeats_at_crashing_upstreams_count_each (void **state)
{
  fixture_t *fixture = *state;

  for (unsigned i = 0; i < 3; i++)
    {
      crash_evidence_t evidence = { .crash = i,
                                    .at = clock_monotonic (fixture->clock),
                                    .is_repeat = i > 0 };

      suspects_record_crash (fixture->suspects, &evidence, harmful_prompt, 2);
      fixture_wait_ms (fixture, 10);
    }
  fixture_gossip (fixture, 1);
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_QUARANTINED);
  assert_int_equal (prompt_verdict (fixture->peer, harmful_prompt),
                    SUSPECT_QUARANTINED);
}

/* The next upstream is lost before it is known that the last one crashed.  */
static void
test_unconfirmed_crash_is_presumed_of_a_suspect_only (void **state)
{
  fixture_t *fixture = *state;
  crash_evidence_t evidence = { .crash = MANY, .progress = PROGRESS_BEGUN };

  fixture_wait_ms (fixture, GAP_MS);
  evidence.at = clock_monotonic (fixture->clock);
  assert_false (
      suspects_would_prove (fixture->suspects, &evidence, harmful_prompt, 2));
  fixture_crash (fixture, harmful_prompt);
  fixture_wait_ms (fixture, GAP_MS);
  evidence.at = clock_monotonic (fixture->clock);
  assert_true (
      suspects_would_prove (fixture->suspects, &evidence, harmful_prompt, 2));
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_ADMITTED);
  fixture_answer (fixture, harmful_prompt);
  assert_false (
      suspects_would_prove (fixture->suspects, &evidence, harmful_prompt, 2));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (
        test_harmful_segment_is_found_by_crashes_after_events, fixture_set_up,
        fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_harmful_segment_is_found_by_crashes_after_many_events,
        fixture_set_up, fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_progress_clears_of_earlier_crashes,
                                     fixture_set_up, fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_streams_that_meet_two_kills_are_not_stopped, fixture_set_up,
        fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_companions_of_several_harmful_requests_are_not_stopped,
        fixture_set_up, fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_repeats_at_crashing_upstreams_count_each, fixture_set_up,
        fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_unconfirmed_crash_is_presumed_of_a_suspect_only, fixture_set_up,
        fixture_tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
