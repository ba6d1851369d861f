/* A relay's choice among the ranks of groups: none of a group that is stalled
   or lost, and slow or silent ones only if there are no others.  */

#include "tests/fleet_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

enum
{
  RESPONSE_MS = 1000,
  FORM_MS = 2000,   /* until a group has formed */
  SILENCE_MS = 2000 /* after which a pilot counts as silent */
};

static void
test_slow_rank_gets_nothing_while_others_have_capacity (void **state)
{
  fleet_fixture_t *fixture = fleet_fixture_create (0);

  (void)state;
  fleet_fixture_step_group (fixture, 1000, FLEET_FIXTURE_STEP_MS);
  fleet_fixture_report (fixture, 3);
  assert_int_equal (fleet_fixture_count_chosen (fixture, 6, "u3"), 0);
  fleet_fixture_destroy (fixture);
}

/* A frozen machine takes connections and answers nothing: with its pilot
   silent its upstream seemed to have room, and got more requests than others.
 */
static void
test_silent_rank_gets_nothing_while_others_have_capacity (void **state)
{
  fleet_fixture_t *fixture = fleet_fixture_create (0);

  (void)state;
  fleet_fixture_step_group (fixture, 1000, FLEET_FIXTURE_STEP_MS);
  fixture->silent_rank = 3;
  fleet_fixture_step_group (fixture, SILENCE_MS, FLEET_FIXTURE_STEP_MS);
  assert_int_equal (fleet_fixture_count_chosen (fixture, 6, "u3"), 0);
  fleet_fixture_destroy (fixture);
}

static void
test_stalled_group_gets_no_requests (void **state)
{
  fleet_fixture_t *fixture = fleet_fixture_create (0);
  char id[8];

  (void)state;
  fleet_fixture_step_group (fixture, 1000, FLEET_FIXTURE_STEP_MS);
  for (unsigned i = 0; i < 10; i++)
    {
      fleet_fixture_advance_ms (fixture, FLEET_FIXTURE_REPORT_MS);
      fleet_fixture_report (fixture, FLEET_FIXTURE_RANKS);
    }
  assert_int_equal (fleet_fixture_choose (fixture, id, sizeof id, NULL),
                    FLEET_ALL_STALLED);
  fixture->step++;
  fleet_fixture_report (fixture, FLEET_FIXTURE_RANKS);
  assert_int_equal (fleet_fixture_choose (fixture, id, sizeof id, NULL),
                    FLEET_NO_SHORTAGE);
  fleet_fixture_destroy (fixture);
}

/* Where no group can form, each request was held for its whole queue time
   although nothing could serve it.  */
static void
test_lost_group_is_known (void **state)
{
  fleet_fixture_t *fixture = fleet_fixture_create (0);
  fleet_report_t report = { .group = "g", .epoch = 1, .slowdown = 1 };
  char address[24];
  char id[8];

  (void)state;
  for (int64_t ms = 0; ms < (int64_t)2 * FLEET_MAX_QUEUE_MS;
       ms += FLEET_FIXTURE_REPORT_MS)
    {
      for (unsigned i = 0; i < FLEET_FIXTURE_RANKS; i++)
        {
          snprintf (address, sizeof address, "10.0.0.%u:80", i);
          fleet_record_report (fixture->fleet, address, &report);
        }
      assert_int_equal (fleet_fixture_choose (fixture, id, sizeof id, NULL),
                        ms <= FLEET_MAX_QUEUE_MS ? FLEET_ALL_STALLED
                                                 : FLEET_NO_GROUP);
      fleet_fixture_advance_ms (fixture, FLEET_FIXTURE_REPORT_MS);
    }
  fleet_fixture_step_group (fixture, FLEET_FIXTURE_REPORT_MS,
                            FLEET_FIXTURE_STEP_MS);
  assert_int_equal (fleet_fixture_choose (fixture, id, sizeof id, NULL),
                    FLEET_NO_SHORTAGE);
  fleet_fixture_destroy (fixture);
}

/* Keep the group of FIXTURE, which takes 2 s to form, closed and return after
   how long requests for it are refused.  URGENCIES differ in urgency.  */
static int64_t
time_until_group_is_lost (fleet_fixture_t *fixture, unsigned urgencies)
{
  fleet_report_t report = { .group = "g", .epoch = 1, .slowdown = 1 };
  service_rule_t *service = STAILQ_FIRST (&fixture->rules->services);
  int64_t elapsed_ms = 0;
  char id[8];

  service->has_engine = true;
  service->engine.group_recovery_time = timespec_from_ms (FORM_MS);
  fleet_configure (fixture->fleet, fixture->rules);
  while (true)
    {
      for (unsigned urgency = 0; urgency < urgencies; urgency++)
        fleet_count_request (fixture->fleet, "model", urgency);
      fleet_record_report (fixture->fleet, "10.0.0.0:80", &report);
      for (unsigned i = 1; i < FLEET_FIXTURE_RANKS; i++)
        {
          snprintf (id, sizeof id, "u%u", i);
          fleet_remove_upstream (fixture->fleet, id);
        }
      if (fleet_fixture_choose (fixture, id, sizeof id, NULL)
          == FLEET_NO_GROUP)
        return elapsed_ms;
      fleet_fixture_advance_ms (fixture, FLEET_FIXTURE_REPORT_MS);
      elapsed_ms += FLEET_FIXTURE_REPORT_MS;
    }
}

/* Requests of several classes were held for 1.6 s after a group should have
   formed, and then came before those that can still be on time.  Those of one
   class wait for as long as before.  */
static void
test_group_is_lost_sooner_with_classes (void **state)
{
  fleet_fixture_t *alike = fleet_fixture_create (0);
  fleet_fixture_t *differing = fleet_fixture_create (0);

  (void)state;
  assert_in_range (time_until_group_is_lost (alike, 1),
                   FORM_MS + FLEET_MAX_QUEUE_MS,
                   FORM_MS + FLEET_MAX_QUEUE_MS + FLEET_FIXTURE_REPORT_MS);
  assert_in_range (time_until_group_is_lost (differing, 2), FORM_MS,
                   FORM_MS + (int64_t)4 * FLEET_FIXTURE_REPORT_MS);
  fleet_fixture_destroy (alike);
  fleet_fixture_destroy (differing);
}

/* Let the group of FIXTURE, whose responses take RESPONSE_MS, open with nine
   of ten slots in use at each rank, and return after how long a late request
   is sent to it; -1 if none is.  URGENCIES differ in urgency.  */
static int64_t
time_until_late_is_sent (fleet_fixture_t *fixture, unsigned urgencies)
{
  fleet_report_t report = { .group = "g",
                            .epoch = 1,
                            .is_open = true,
                            .running = FLEET_FIXTURE_SLOTS - 1,
                            .slowdown = 1 };
  service_rule_t *service = STAILQ_FIRST (&fixture->rules->services);
  fleet_request_t late = { .service = "model",
                           .route = fixture->route,
                           .is_late = true,
                           .work = { .zone = "a" } };
  fleet_choice_t choice;

  service->has_engine = true;
  service->engine
      = (engine_profile_t){ .token_steps_per_pass = 1,
                            .step_ms = FLEET_FIXTURE_STEP_MS,
                            .prompt_tokens_per_ms = 1,
                            .typical_response_tokens
                            = (double)RESPONSE_MS / FLEET_FIXTURE_STEP_MS };
  fleet_configure (fixture->fleet, fixture->rules);
  for (int64_t ms = 0; ms < (int64_t)3 * RESPONSE_MS;
       ms += FLEET_FIXTURE_REPORT_MS)
    {
      for (unsigned urgency = 0; urgency < urgencies; urgency++)
        fleet_count_request (fixture->fleet, "model", urgency);
      report.step += FLEET_FIXTURE_REPORT_MS / FLEET_FIXTURE_STEP_MS;
      for (unsigned i = 0; i < FLEET_FIXTURE_RANKS; i++)
        {
          char address[24];

          snprintf (address, sizeof address, "10.0.0.%u:80", i);
          fleet_record_report (fixture->fleet, address, &report);
        }
      if (fleet_choose (fixture->fleet, fixture, &late, &choice)
          == FLEET_NO_SHORTAGE)
        return ms;
      fleet_fixture_advance_ms (fixture, FLEET_FIXTURE_REPORT_MS);
    }
  return -1;
}

/* When a group had opened, late requests of all classes took all its places,
   and those that arrived until these ended were late as well.  Those of one
   class have only a part of the places, as before.  */
static void
test_late_requests_do_not_fill_a_group (void **state)
{
  fleet_fixture_t *alike = fleet_fixture_create (0);
  fleet_fixture_t *differing = fleet_fixture_create (0);

  (void)state;
  assert_in_range (time_until_late_is_sent (differing, 2), RESPONSE_MS,
                   (int64_t)2 * RESPONSE_MS);
  assert_int_equal (time_until_late_is_sent (alike, 1), -1);
  fleet_fixture_destroy (alike);
  fleet_fixture_destroy (differing);
}

/* A stream without events hangs if its group takes many steps meanwhile.  If
   the group takes few steps, the steps are slow and the stream does not
   hang.  */
static void
test_expected_silence_depends_on_group_steps (void **state)
{
  fleet_fixture_t *fixture = fleet_fixture_create (0);
  struct timespec last_received_at;

  (void)state;
  fleet_fixture_step_group (fixture, 2000, FLEET_FIXTURE_STEP_MS);
  last_received_at = clock_monotonic (fixture->clock);
  fleet_fixture_step_group (fixture, 1000, FLEET_FIXTURE_STEP_MS);
  assert_false (
      fleet_is_silence_expected (fixture->fleet, "u1", last_received_at));

  fleet_fixture_step_group (fixture, 2000, 500);
  last_received_at = clock_monotonic (fixture->clock);
  fleet_fixture_step_group (fixture, 1000, 500);
  assert_true (
      fleet_is_silence_expected (fixture->fleet, "u1", last_received_at));
  fleet_fixture_step_group (fixture, 3000, 500);
  assert_false (
      fleet_is_silence_expected (fixture->fleet, "u1", last_received_at));
  fleet_fixture_destroy (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_slow_rank_gets_nothing_while_others_have_capacity),
    cmocka_unit_test (
        test_silent_rank_gets_nothing_while_others_have_capacity),
    cmocka_unit_test (test_stalled_group_gets_no_requests),
    cmocka_unit_test (test_lost_group_is_known),
    cmocka_unit_test (test_group_is_lost_sooner_with_classes),
    cmocka_unit_test (test_late_requests_do_not_fill_a_group),
    cmocka_unit_test (test_expected_silence_depends_on_group_steps),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
