/* A call from entry to agent: whatever breaks on the way, the caller must not
   get a response with a gap, or an outcome that says more than is known.  */

#include "call_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

static void
test_call_waits_for_the_first_connection (void **state)
{
  fixture_t *fixture = *state;

  fixture_configure (fixture, 0);
  fixture_submit (fixture, true, LONG_DEADLINE_MS);
  RUN_UNTIL (fixture, fixture->entry_worker.waiting_count == 1);
  assert_int_equal (fixture->ends, 0);
  fixture_configure (fixture, 1);
  RUN_UNTIL (fixture, fixture->agents[0].submits == 1);
  fake_send_response (&fixture->agents[0]);
  fixture_expect_complete (fixture);
}

static void
test_waiting_call_ends_at_its_deadline (void **state)
{
  fixture_t *fixture = *state;

  fixture_configure (fixture, 0);
  fixture_submit (fixture, true, SHORT_DEADLINE_MS);
  fixture_expect_end (fixture, OUTCOME_NOT_RUN, REFUSAL_DEADLINE);
}

static void
test_deadline_without_agent_reply_gives_unknown (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent
      = fixture_submit_to_agent (fixture, 1, true, SHORT_DEADLINE_MS);

  fixture_expect_end (fixture, OUTCOME_UNKNOWN, REFUSAL_DEADLINE);
  RUN_UNTIL (fixture, agent->cancels > 0);
}

static void
test_deadline_reports_the_outcome_from_the_agent (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent
      = fixture_submit_to_agent (fixture, 1, true, SHORT_DEADLINE_MS);

  RUN_UNTIL (fixture, agent->cancels > 0);
  fake_refuse (agent, REFUSAL_CANCELLED, OUTCOME_NOT_RUN);
  fixture_expect_end (fixture, OUTCOME_NOT_RUN, REFUSAL_DEADLINE);
}

static void
test_missing_bytes_abort_the_response (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent
      = fixture_submit_to_agent (fixture, 1, true, LONG_DEADLINE_MS);

  fake_send_head (agent);
  fake_send_chunk (agent, 3, "le");
  fake_send_end (agent, 5);
  fixture_expect_end (fixture, OUTCOME_RAN, REFUSAL_UPSTREAM);
  assert_int_equal (fixture->size, 0);
}

/* An agent of an earlier version passes on whatever status its upstream
   sends.  */
static void
expect_no_response_with_status (fixture_t *fixture, uint64_t http_status)
{
  fake_agent_t *agent
      = fixture_submit_to_agent (fixture, 1, true, LONG_DEADLINE_MS);

  fake_send_status (agent, http_status);
  fake_send_end (agent, 0);
  fixture_expect_end (fixture, OUTCOME_RAN, REFUSAL_UPSTREAM);
  assert_int_equal (fixture->heads, 0);
}

static void
test_status_0_is_no_response (void **state)
{
  expect_no_response_with_status (*state, 0);
}

static void
test_status_600_is_no_response (void **state)
{
  expect_no_response_with_status (*state, 600);
}

static void
test_wrong_length_makes_the_response_incomplete (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent
      = fixture_submit_to_agent (fixture, 1, true, LONG_DEADLINE_MS);

  fake_send_head (agent);
  fake_send_chunk (agent, 0, "who");
  fake_send_end (agent, 5);
  fixture_expect_end (fixture, OUTCOME_RAN, REFUSAL_NONE);
}

static void
test_removed_upstream_finishes_its_open_calls (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent
      = fixture_submit_to_agent (fixture, 1, false, LONG_DEADLINE_MS);

  fake_send_head (agent);
  fake_send_chunk (agent, 0, "who");
  RUN_UNTIL (fixture, fixture->size == 3);
  fixture_configure (fixture, 0);
  fake_send_chunk (agent, 3, "le");
  fake_send_end (agent, 5);
  fixture_expect_complete (fixture);
  RUN_UNTIL (fixture, agent->link == NULL);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_call_waits_for_the_first_connection,
                                     fixture_set_up, fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_waiting_call_ends_at_its_deadline,
                                     fixture_set_up, fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_deadline_without_agent_reply_gives_unknown, fixture_set_up,
        fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_deadline_reports_the_outcome_from_the_agent, fixture_set_up,
        fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_missing_bytes_abort_the_response,
                                     fixture_set_up, fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_status_0_is_no_response,
                                     fixture_set_up, fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_status_600_is_no_response,
                                     fixture_set_up, fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_wrong_length_makes_the_response_incomplete, fixture_set_up,
        fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_removed_upstream_finishes_its_open_calls, fixture_set_up,
        fixture_tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
