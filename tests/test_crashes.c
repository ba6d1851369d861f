/* Which broken connections count as crashes of an upstream: none that has
   another cause, and each that a pilot or a listing confirms.  */

#include "suspects_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/* The upstream of ATTEMPT breaks it off.  */
static bool
record_attempt (fixture_t *fixture, crash_attempt_t *attempt)
{
  attempt->evidence.at = clock_monotonic (fixture->clock);
  return crashes_record_attempt (fixture->crashes, attempt);
}

/* Connections break also when no upstream crashes.  */
static void
test_broken_connection_alone_is_no_crash (void **state)
{
  fixture_t *fixture = *state;
  crash_attempt_t attempt = { .request = "r1",
                              .upstream = "u1",
                              .evidence.crash = 1,
                              .address = "10.0.0.1:80",
                              .segments = harmful_prompt,
                              .segment_count = 2,
                              .evidence.progress = PROGRESS_BEGUN };

  for (unsigned i = 0; i < 10; i++)
    {
      attempt.evidence.crash = i;
      assert_false (record_attempt (fixture, &attempt));
      fixture_wait_ms (fixture, GAP_MS);
    }
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_ADMITTED);
}

/* The pilot's notice may come before or after the connection's end, or not at
   all, and the listing later.  */
static void
test_crash_is_confirmed_by_pilot_or_listing (void **state)
{
  fixture_t *fixture = *state;
  crash_attempt_t attempt = { .request = "r1",
                              .upstream = "u1",
                              .address = "10.0.0.1:80",
                              .segments = harmful_prompt,
                              .segment_count = 2,
                              .evidence.progress = PROGRESS_BEGUN };

  attempt.evidence.crash = 1;
  assert_false (record_attempt (fixture, &attempt));
  assert_false (crashes_confirm_address (fixture->crashes, "10.0.0.2:80"));
  assert_true (crashes_confirm_address (fixture->crashes, "10.0.0.1:80"));
  fixture_wait_ms (fixture, GAP_MS);
  attempt.evidence.crash = 2;
  assert_true (record_attempt (fixture, &attempt));
  fixture_wait_ms (fixture, LONG_GAP_MS);
  attempt.evidence.crash = 3;
  assert_false (record_attempt (fixture, &attempt));
  fixture_wait_ms (fixture, LONG_GAP_MS);
  assert_false (crashes_confirm_start (fixture->crashes, "10.0.0.1:80", 3));
  assert_true (crashes_confirm_start (fixture->crashes, "10.0.0.1:80", 4));
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_QUARANTINED);
}

/* All ranks of a group break their streams off when one of them crashes.  One
   of them that crashes later is no proof against those streams.  */
static void
test_upstream_that_is_seen_alive_had_not_crashed (void **state)
{
  fixture_t *fixture = *state;
  crash_attempt_t attempt = { .request = "r1",
                              .upstream = "u1",
                              .evidence.crash = 1,
                              .address = "10.0.0.1:80",
                              .segments = harmful_prompt,
                              .segment_count = 2,
                              .evidence.progress = PROGRESS_BEGUN };
  struct timespec before = clock_monotonic (fixture->clock);

  fixture_wait_ms (fixture, GAP_MS);
  record_attempt (fixture, &attempt);
  crashes_refute (fixture->crashes, "10.0.0.1:80", before);
  crashes_refute (fixture->crashes, "10.0.0.2:80",
                  clock_monotonic (fixture->clock));
  assert_true (crashes_confirm_address (fixture->crashes, "10.0.0.1:80"));
  fixture_wait_ms (fixture, LONG_GAP_MS);
  attempt.evidence.crash = 2;
  record_attempt (fixture, &attempt);
  crashes_refute (fixture->crashes, "10.0.0.1:80",
                  clock_monotonic (fixture->clock));
  assert_false (crashes_confirm_gone (fixture->crashes, "u1"));
  assert_false (crashes_confirm_start (fixture->crashes, "10.0.0.1:80", 3));
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_ADMITTED);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_broken_connection_alone_is_no_crash,
                                     fixture_set_up, fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_crash_is_confirmed_by_pilot_or_listing, fixture_set_up,
        fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_upstream_that_is_seen_alive_had_not_crashed, fixture_set_up,
        fixture_tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
