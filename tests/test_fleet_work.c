/* The work of a relay's requests at the upstreams: it must be counted at the
   run of the upstream that has it, for as long as it has it, and steer the
   next requests.  */

#include "kernel/counter.h"
#include "kernel/histogram.h"
#include "relay/fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

enum
{
  UPSTREAMS = 4,
  SLOTS = 10,
  HINT = 100,  /* tokens; 20 events */
  EVENTS = 20, /* of a response that has the length of the hint */
  LONG_HINT = 10 * HINT,
  LONG_EVENTS = 10 * EVENTS,
  CACHE_TOKENS = 40000
};

typedef struct fixture
{
  clock_source_t *clock;
  rules_t *rules;
  route_t *route;
  service_rule_t *service;
  fleet_t *fleet;
} fixture_t;

/* List the upstream NUMBER, which was started at STARTED_MS.  */
static void
put_upstream (fixture_t *fixture, unsigned number, int64_t started_ms)
{
  char id[8];
  char address[24];
  upstream_listing_t listing = { .id = id,
                                 .service = "model",
                                 .address = address,
                                 .zone = "a",
                                 .started_ms = started_ms,
                                 .slots = SLOTS };

  snprintf (id, sizeof id, "u%u", number);
  snprintf (address, sizeof address, "10.0.0.%u:80", number);
  fleet_update_upstream (fixture->fleet, &listing);
}

static void
report_of_group (fixture_t *fixture, unsigned number, const char *group,
                 uint64_t step, uint64_t running, uint64_t used_tokens,
                 double slowdown)
{
  char address[24];
  fleet_report_t rank_report = { .group = group,
                                 .epoch = 1,
                                 .is_open = true,
                                 .step = step,
                                 .running = running,
                                 .used_tokens = used_tokens,
                                 .total_tokens = CACHE_TOKENS,
                                 .slowdown = slowdown };

  snprintf (address, sizeof address, "10.0.0.%u:80", number);
  fleet_record_report (fixture->fleet, address, &rank_report);
}

static void
report_running (fixture_t *fixture, unsigned number, uint64_t running,
                uint64_t used_tokens, double slowdown)
{
  report_of_group (fixture, number, "", 1, running, used_tokens, slowdown);
}

static void
report (fixture_t *fixture, unsigned number, uint64_t used_tokens,
        double slowdown)
{
  report_running (fixture, number, 0, used_tokens, slowdown);
}

static int
set_up (void **state)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);

  fixture->clock
      = clock_create_virtual (fixture, (struct timespec){ .tv_sec = 100 });
  fixture->rules = rules_create (1);
  fixture->route = rules_add_route (fixture->rules, "chat", "host", "/");
  fixture->route->kind = ROUTE_STREAM;
  fixture->route->timeout = timespec_from_ms (8000);
  route_add_target (fixture->route, "model", 1);
  fixture->service = rules_add_service (fixture->rules, "model");
  fixture->service->has_engine = true;
  fixture->service->engine
      = (engine_profile_t){ .token_steps_per_pass = 5,
                            .step_ms = 5,
                            .slots = SLOTS,
                            .request_step_ms = 0.3,
                            .context_step_ms = 0.01,
                            .prompt_tokens_per_ms = 60,
                            .million_pairs_ms = 0.1,
                            .typical_prompt_tokens = 500,
                            .typical_response_tokens = 100 };
  rules_finish (fixture->rules);
  fixture->fleet = fleet_create (fixture, "a", fixture->clock, 7);
  fleet_add_zone (fixture->fleet, "a", "south");
  fleet_configure (fixture->fleet, fixture->rules);
  for (unsigned i = 0; i < UPSTREAMS; i++)
    put_upstream (fixture, i, 1);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;

  fleet_destroy (fixture->fleet);
  rules_release (fixture->rules);
  talloc_free (fixture);
  return 0;
}

static fleet_choice_t
send_of_account (fixture_t *fixture, const char *account, uint64_t hint)
{
  fleet_request_t request
      = { .service = "model",
          .route = fixture->route,
          .account = account,
          .hinted_tokens = hint,
          .work
          = { .zone = "a", .prompt_tokens = 600, .output_tokens = 2000 } };
  fleet_choice_t choice = { 0 };

  assert_int_equal (fleet_choose (fixture->fleet, fixture, &request, &choice),
                    FLEET_NO_SHORTAGE);
  return choice;
}

static fleet_choice_t
send (fixture_t *fixture, uint64_t hint)
{
  return send_of_account (fixture, "a", hint);
}

/* End the attempt of CHOICE after EVENTS events.  */
static void
end (fixture_t *fixture, fleet_choice_t *choice, uint64_t events,
     fleet_result_t result)
{
  pick_request_t work = { .prompt_tokens = 600, .output_tokens = 2000 };

  fleet_record_events (fixture->fleet, choice, events);
  fleet_finish_work (fixture->fleet, choice, result, 1000);
  fleet_release (fixture->fleet, choice->upstream, &work, result, 1000);
}

static void
leave_one_upstream (fixture_t *fixture)
{
  for (unsigned i = 1; i < UPSTREAMS; i++)
    {
      char id[8];

      snprintf (id, sizeof id, "u%u", i);
      fleet_remove_upstream (fixture->fleet, id);
    }
}

/* Return the backlog of the only upstream that is left.  */
static uint64_t
backlog_us (fixture_t *fixture)
{
  fleet_choice_t choice = send (fixture, HINT);

  end (fixture, &choice, 0, FLEET_CLIENT_LEFT);
  return choice.backlog_us;
}

static void
test_policy_follows_the_rules (void **state)
{
  fixture_t *fixture = *state;

  assert_string_equal (send (fixture, HINT).reason, "least-work");
  fixture->service->has_engine = false;
  fleet_configure (fixture->fleet, fixture->rules);
  assert_string_equal (send (fixture, HINT).reason, "least-loaded");
  fixture->service->has_engine = true;
  fleet_configure (fixture->fleet, fixture->rules);
  assert_string_equal (send (fixture, HINT).reason, "least-work");
  fixture->service->engine = (engine_profile_t){ 0 };
  fleet_configure (fixture->fleet, fixture->rules);
  assert_string_equal (send (fixture, HINT).reason, "least-loaded");
}

/* All work must be gone when all requests have ended, however they ended.  */
static void
test_work_is_counted_until_it_is_done (void **state)
{
  static const fleet_result_t results[]
      = { FLEET_CLIENT_LEFT, FLEET_DECLINED, FLEET_SERVED, FLEET_FAILED };
  fixture_t *fixture = *state;
  fleet_choice_t choices[4];
  uint64_t before;
  uint64_t after;

  leave_one_upstream (fixture);
  for (unsigned i = 0; i < 4; i++)
    choices[i] = send (fixture, HINT);
  before = backlog_us (fixture);
  assert_int_equal (before, 4 * choices[0].work.counted_us);
  fleet_record_events (fixture->fleet, &choices[0], 1);
  after = backlog_us (fixture);
  /* Its prompt of 10 ms has been read.  */
  assert_in_range (before - after, 10000, 11000);
  for (unsigned i = 0; i < 4; i++)
    end (fixture, &choices[i], (uint64_t)i * EVENTS, results[i]);
  assert_int_equal (backlog_us (fixture), 0);
}

/* Two upstreams have a long request each, the others a short one.  All prompts
   have been read.  */
static void
test_long_requests_keep_others_away (void **state)
{
  fixture_t *fixture = *state;
  fleet_choice_t choices[UPSTREAMS];
  fleet_choice_t choice;
  unsigned counts[UPSTREAMS] = { 0 };

  for (unsigned i = 0; i < UPSTREAMS; i++)
    choices[i] = send (fixture, i < 2 ? 2000 : 20);
  for (unsigned i = 0; i < UPSTREAMS; i++)
    fleet_record_events (fixture->fleet, &choices[i], 1);
  for (unsigned i = 0; i < 20; i++)
    {
      choice = send (fixture, 20);
      fleet_record_events (fixture->fleet, &choice, 1);
      counts[atoi (choice.upstream + 1)]++;
    }
  assert_in_range (counts[atoi (choices[0].upstream + 1)], 0, 2);
  assert_in_range (counts[atoi (choices[1].upstream + 1)], 0, 2);
}

/* What is reported beyond this relay's own requests is of other relays, and
   counts as requests of mean work.  */
static void
test_requests_of_other_relays_count (void **state)
{
  fixture_t *fixture = *state;

  for (unsigned i = 0; i < UPSTREAMS; i++)
    report_running (fixture, i, i == 2 ? 0 : 6, 0, 1);
  for (unsigned i = 0; i < 4; i++)
    {
      fleet_choice_t choice = send (fixture, HINT);

      assert_string_equal (choice.upstream, "u2");
      fleet_record_events (fixture->fleet, &choice, 1);
    }
}

/* A request must not wait behind a prompt that is still being read, if there
   is an upstream that reads none, though that one has more requests.  */
static void
test_unread_prompt_keeps_others_away (void **state)
{
  fixture_t *fixture = *state;
  fleet_choice_t choices[2 * UPSTREAMS];
  fleet_choice_t choice;

  for (unsigned i = 0; i < 2 * UPSTREAMS; i++)
    choices[i] = send (fixture, HINT);
  for (unsigned i = 0; i < 2 * UPSTREAMS; i++)
    {
      if (strcmp (choices[i].upstream, "u2") == 0)
        fleet_record_events (fixture->fleet, &choices[i], 1);
      else if (i >= UPSTREAMS)
        end (fixture, &choices[i], 0, FLEET_DECLINED);
    }
  choice = send (fixture, HINT);
  assert_string_equal (choice.upstream, "u2");
}

/* An upstream that comes back is a new run: neither the work nor the slowdown
   of the former one counts, and requests that end late change nothing.  */
static void
test_new_run_starts_without_work (void **state)
{
  fixture_t *fixture = *state;
  fleet_choice_t old;
  fleet_choice_t current;

  leave_one_upstream (fixture);
  report (fixture, 0, 0, 1.2);
  old = send (fixture, LONG_HINT);
  put_upstream (fixture, 0, 2);
  assert_int_equal (backlog_us (fixture), 0);
  current = send (fixture, HINT);
  fleet_record_events (fixture->fleet, &old, 10);
  end (fixture, &old, EVENTS, FLEET_INTERRUPTED);
  assert_int_equal (backlog_us (fixture), current.work.counted_us);
  /* The same run is listed again after it was removed.  */
  fleet_remove_upstream (fixture->fleet, "u0");
  put_upstream (fixture, 0, 2);
  old = current;
  current = send (fixture, HINT);
  end (fixture, &old, EVENTS, FLEET_SERVED);
  assert_int_equal (backlog_us (fixture), current.work.counted_us);
}

/* A former run was slow; the new one must not be treated as slow.  */
static void
test_new_run_is_as_fast_as_others (void **state)
{
  fixture_t *fixture = *state;
  unsigned first = 0;

  for (unsigned i = 0; i < UPSTREAMS; i++)
    report (fixture, i, 0, i == 0 ? 4 : 1);
  put_upstream (fixture, 0, 2);
  for (unsigned i = 0; i < 5 * UPSTREAMS; i++)
    first += strcmp (send (fixture, HINT).upstream, "u0") == 0;
  assert_in_range (first, 3, 7);
}

/* A crowd of false estimates, missing ones among them, must change nothing for
   other accounts, and must soon be expected to be as long as it is.  */
static void
test_lying_crowd (void **state)
{
  static const uint64_t hints[] = { 0, 1, 2000, UINT64_MAX };
  fixture_t *fixture = *state;
  uint64_t honest_us
      = send_of_account (fixture, "honest", HINT).work.counted_us;
  fleet_choice_t liar;

  for (unsigned i = 0; i < 400; i++)
    {
      liar = send_of_account (fixture, "liar", hints[i % 4]);
      end (fixture, &liar, LONG_EVENTS, FLEET_SERVED);
    }
  assert_int_equal (send_of_account (fixture, "honest", HINT).work.counted_us,
                    honest_us);
  liar = send_of_account (fixture, "liar", 0);
  assert_in_range ((uint64_t)liar.work.estimate.events, LONG_EVENTS - EVENTS,
                   LONG_EVENTS + EVENTS);
}

/* Responses that were cut off say nothing about the length of others.  */
static void
test_incomplete_responses_are_not_learned (void **state)
{
  static const fleet_result_t results[]
      = { FLEET_FAILED,      FLEET_DECLINED,  FLEET_UNREACHABLE,
          FLEET_INTERRUPTED, FLEET_TIMED_OUT, FLEET_CLIENT_LEFT };
  fixture_t *fixture = *state;
  fleet_choice_t choice;

  for (unsigned i = 0; i < 60; i++)
    {
      choice = send (fixture, HINT);
      end (fixture, &choice, 1, results[i % 6]);
      clock_advance (fixture->clock, timespec_from_ms (10000));
    }
  assert_int_equal ((uint64_t)send (fixture, HINT).work.estimate.events,
                    EVENTS);
}

/* A request must not go where its tokens do not fit while they fit
   elsewhere.  */
static void
test_full_cache_is_avoided (void **state)
{
  fixture_t *fixture = *state;

  for (unsigned i = 0; i < UPSTREAMS; i++)
    report (fixture, i, i == 2 ? 0 : CACHE_TOKENS - 2000, 1);
  for (unsigned i = 0; i < 5; i++)
    assert_string_equal (send (fixture, HINT).upstream, "u2");
}

/* Return how many requests are sent to a group that has taken PASSES passes of
   PASS_MS each, with four requests of CONTEXT tokens at each rank, until it is
   full.  */
static unsigned
count_until_full (fixture_t *fixture, uint64_t context, unsigned passes,
                  int64_t pass_ms)
{
  fleet_request_t request = { .service = "model",
                              .route = fixture->route,
                              .hinted_tokens = HINT,
                              .work = { .zone = "a", .prompt_tokens = 600 } };
  fleet_choice_t choice;
  unsigned count = 0;

  for (unsigned step = 1; step <= passes; step++)
    {
      clock_advance (fixture->clock, timespec_from_ms (pass_ms));
      for (unsigned i = 0; i < UPSTREAMS; i++)
        report_of_group (fixture, i, "g", step, 4, 4 * context, 1);
    }
  while (count < 100
         && fleet_choose (fixture->fleet, fixture, &request, &choice)
                == FLEET_NO_SHORTAGE)
    count++;
  return count;
}

static void
limit_gaps (fixture_t *fixture)
{
  fixture->service->gap_limit = timespec_from_ms (120);
  fixture->service->engine.request_step_ms = 0.8;
  fixture->service->engine.context_step_ms = 0.25;
  fleet_configure (fixture->fleet, fixture->rules);
}

/* Make reading prompts the main cost of long requests.  */
static void
reduce_context_cost (fixture_t *fixture)
{
  fixture->service->engine.context_step_ms = 0.01;
  fleet_configure (fixture->fleet, fixture->rules);
}

/* A group of short requests takes as many as it has slots, with one queued at
   each rank.  */
static void
test_group_of_short_requests_is_filled (void **state)
{
  limit_gaps (*state);
  assert_in_range (count_until_full (*state, 300, 3, 45),
                   UPSTREAMS * (SLOTS - 4), UPSTREAMS * (SLOTS - 2));
}

/* The limit was that of the number of requests, and full slots of long ones
   made all streams late.  */
static void
test_group_of_long_requests_takes_fewer (void **state)
{
  limit_gaps (*state);
  assert_in_range (count_until_full (*state, 9000, 3, 90), 1,
                   2 * UPSTREAMS + 2);
}

/* Inflated estimates made the part of a prompt in each pass, and with it that
   of a long request, look small.  */
static void
test_lying_crowd_does_not_change_the_limit (void **state)
{
  limit_gaps (*state);
  reduce_context_cost (*state);
  for (unsigned i = 0; i < 400; i++)
    {
      fleet_choice_t liar = send_of_account (*state, "liar", UINT64_MAX);

      end (*state, &liar, 0, FLEET_CLIENT_LEFT);
    }
  assert_in_range (count_until_full (*state, 20000, 3, 70), 1, 4 * UPSTREAMS);
}

/* Passes take longer than the profile of the engine says.  */
static void
test_observed_passes_lower_the_limit (void **state)
{
  limit_gaps (*state);
  assert_in_range (count_until_full (*state, 300, 20, 85), 1,
                   3 * UPSTREAMS + 2);
}

/* Operators see how well output is expected and how uneven the work is.  */
static void
test_metrics (void **state)
{
  fixture_t *fixture = *state;
  fleet_choice_t choice = send (fixture, HINT);
  char *text;

  end (fixture, &choice, (uint64_t)3 * EVENTS, FLEET_SERVED);
  choice = send (fixture, HINT);
  end (fixture, &choice, 1, FLEET_INTERRUPTED);
  text = histogram_render_all (fixture);
  assert_non_null (
      strstr (text, "siskin_relay_output_ratio_sum{service=\"model\"} 3\n"));
  assert_non_null (
      strstr (text, "siskin_relay_output_ratio_count{service=\"model\"} 1\n"));
  send (fixture, HINT);
  clock_advance (fixture->clock, timespec_from_ms (1000));
  send (fixture, HINT);
  /* Two of four upstreams have one request each.  */
  assert_non_null (strstr (counter_render_all (fixture),
                           "siskin_relay_busiest_backlog_percent 200\n"));
}

#define WORK_TEST(test)                                                       \
  cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    WORK_TEST (test_policy_follows_the_rules),
    WORK_TEST (test_work_is_counted_until_it_is_done),
    WORK_TEST (test_long_requests_keep_others_away),
    WORK_TEST (test_requests_of_other_relays_count),
    WORK_TEST (test_unread_prompt_keeps_others_away),
    WORK_TEST (test_new_run_starts_without_work),
    WORK_TEST (test_new_run_is_as_fast_as_others),
    WORK_TEST (test_lying_crowd),
    WORK_TEST (test_incomplete_responses_are_not_learned),
    WORK_TEST (test_full_cache_is_avoided),
    WORK_TEST (test_metrics),
    WORK_TEST (test_group_of_short_requests_is_filled),
    WORK_TEST (test_group_of_long_requests_takes_fewer),
    WORK_TEST (test_lying_crowd_does_not_change_the_limit),
    WORK_TEST (test_observed_passes_lower_the_limit),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
