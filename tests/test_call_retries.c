/* A call whose agent restarts, refuses it or loses its connection: the caller
   must not get a late response of another attempt, a request that may run only
   once must not run again, and no retry may exceed the budget.  */

#include "call_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Close the connection and let AGENT come back as another incarnation.  */
static void
restart_agent (fixture_t *fixture, fake_agent_t *agent)
{
  fake_create_node (agent);
  link_close (agent->link, "test");
  RUN_UNTIL (fixture, agent->link == NULL);
}

static void
test_resumes_after_reconnecting_to_the_same_incarnation (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent
      = fixture_submit_to_agent (fixture, 1, false, LONG_DEADLINE_MS);

  fake_send_head (agent);
  fake_send_chunk (agent, 0, "who");
  RUN_UNTIL (fixture, fixture->size == 3);
  link_close (agent->link, "test");
  agent->acknowledged = 0;
  RUN_UNTIL (fixture, agent->resumes == 1 && agent->acknowledged == 3);
  assert_int_equal (agent->resumed_from, 3);
  fake_send_head (agent);
  fake_send_chunk (agent, 2, "ole");
  fake_send_end (agent, 5);
  fixture_expect_complete (fixture);
}

static void
test_agent_restart_gives_unknown_for_non_repeatable (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent
      = fixture_submit_to_agent (fixture, 1, false, LONG_DEADLINE_MS);

  restart_agent (fixture, agent);
  fixture_expect_end (fixture, OUTCOME_UNKNOWN, REFUSAL_UPSTREAM);
  assert_int_equal (agent->submits, 1);
  assert_int_equal (agent->resumes, 0);
}

static void
test_agent_restart_retries_repeatable_on_another (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent
      = fixture_submit_to_agent (fixture, 2, true, LONG_DEADLINE_MS);
  fake_agent_t *other = fixture_other_agent (fixture, agent);

  restart_agent (fixture, agent);
  RUN_UNTIL (fixture, other->submits == 1);
  fake_send_response (other);
  fixture_expect_complete (fixture);
}

static void
test_closed_upstream_needs_no_retry_budget (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent;
  fake_agent_t *other;

  fixture->budget_ratio = "0.0";
  agent = fixture_submit_to_agent (fixture, 2, false, LONG_DEADLINE_MS);
  other = fixture_other_agent (fixture, agent);
  fake_refuse (agent, REFUSAL_LEAVING, OUTCOME_NOT_RUN);
  RUN_UNTIL (fixture, other->submits == 1);
  fake_send_response (other);
  fixture_expect_complete (fixture);
}

static void
test_overload_needs_retry_budget (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent;

  fixture->budget_ratio = "0.0";
  agent = fixture_submit_to_agent (fixture, 2, true, LONG_DEADLINE_MS);
  fake_refuse (agent, REFUSAL_OVERLOAD, OUTCOME_NOT_RUN);
  fixture_expect_end (fixture, OUTCOME_NOT_RUN, REFUSAL_OVERLOAD);
}

static void
test_unknown_outcome_of_an_earlier_attempt_is_kept (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent
      = fixture_submit_to_agent (fixture, 2, true, LONG_DEADLINE_MS);
  fake_agent_t *other = fixture_other_agent (fixture, agent);

  fake_refuse (agent, REFUSAL_UPSTREAM, OUTCOME_UNKNOWN);
  RUN_UNTIL (fixture, other->submits == 1);
  fake_refuse (other, REFUSAL_OVERLOAD, OUTCOME_NOT_RUN);
  fixture_expect_end (fixture, OUTCOME_UNKNOWN, REFUSAL_OVERLOAD);
}

static void
test_late_response_to_an_earlier_attempt_is_dropped (void **state)
{
  fixture_t *fixture = *state;
  fake_agent_t *agent
      = fixture_submit_to_agent (fixture, 2, true, LONG_DEADLINE_MS);
  fake_agent_t *other = fixture_other_agent (fixture, agent);

  fake_refuse (agent, REFUSAL_UPSTREAM, OUTCOME_UNKNOWN);
  RUN_UNTIL (fixture, other->submits == 1);
  fake_send_head (agent);
  fake_send_chunk (agent, 0, "wrong");
  fake_send_end (agent, 5);
  agent->acknowledged = 1;
  RUN_UNTIL (fixture, agent->acknowledged == 0);
  assert_int_equal (fixture->heads, 0);
  fake_send_response (other);
  fixture_expect_complete (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (
        test_resumes_after_reconnecting_to_the_same_incarnation,
        fixture_set_up, fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_agent_restart_gives_unknown_for_non_repeatable, fixture_set_up,
        fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_agent_restart_retries_repeatable_on_another, fixture_set_up,
        fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_closed_upstream_needs_no_retry_budget, fixture_set_up,
        fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_overload_needs_retry_budget,
                                     fixture_set_up, fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_unknown_outcome_of_an_earlier_attempt_is_kept, fixture_set_up,
        fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_late_response_to_an_earlier_attempt_is_dropped, fixture_set_up,
        fixture_tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
