/* The expected work of a request.  A client's estimate may be missing, wrong
   or a lie; it must change neither the expectations for other clients nor make
   a request cost nothing or without bound.  */

#include "kernel/clock.h"
#include "relay/work_model.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

enum
{
  STRIDE = 5,
  HINT = 100, /* tokens; 20 events */
  MAX_TOKENS = 1000,
  TIMEOUT_MS = 8000,
  RESPONSES = 50 /* within which the model has to follow a change */
};

/* An event of a request without context takes 5 * (0.3 + 1) = 6.5 ms.  */
static const engine_profile_t engine = { .token_steps_per_pass = STRIDE,
                                         .step_ms = 10,
                                         .slots = 10,
                                         .request_step_ms = 0.3,
                                         .context_step_ms = 0.01,
                                         .prompt_tokens_per_ms = 60,
                                         .million_pairs_ms = 0.1,
                                         .typical_response_tokens = 200 };

typedef struct fixture
{
  work_model_t *model;
  struct timespec now;
} fixture_t;

static int
set_up (void **state)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);

  fixture->model = work_model_create (fixture);
  fixture->now = timespec_from_ms (100000);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  talloc_free (*state);
  return 0;
}

static work_request_t
request_of (const char *account, uint64_t hinted_tokens)
{
  return (work_request_t){ .origin = work_origin ("chat", account),
                           .prompt_tokens = 600,
                           .hinted_tokens = hinted_tokens,
                           .max_tokens = MAX_TOKENS,
                           .timeout_ms = TIMEOUT_MS };
}

/* Return the estimate of REQUEST, which is sent then.  */
static work_estimate_t
estimate_sent (const fixture_t *fixture, const engine_profile_t *profile,
               const work_request_t *request)
{
  work_model_use (fixture->model, request->origin, fixture->now);
  return work_model_estimate (fixture->model, profile, request);
}

static work_estimate_t
estimate (const fixture_t *fixture, const char *account,
          uint64_t hinted_tokens)
{
  work_request_t request = request_of (account, hinted_tokens);

  return estimate_sent (fixture, &engine, &request);
}

/* COUNT responses of ACCOUNT have EVENTS events each.  */
static void
respond (fixture_t *fixture, const char *account, uint64_t hinted_tokens,
         uint64_t events, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      work_estimate_t expected = estimate (fixture, account, hinted_tokens);
      work_response_t response
          = { .events = events, .elapsed_ms = 50 * (int64_t)events };

      fixture->now = timespec_add (fixture->now, timespec_from_ms (10));
      work_model_record (fixture->model, &expected, &response, fixture->now);
    }
}

static void
assert_about (double value, double expected, double tolerance)
{
  if (value < expected - tolerance || value > expected + tolerance)
    fail_msg ("%g is not within %g of %g", value, tolerance, expected);
}

/* A relay that has just started must use the uncorrected estimate.  */
static void
test_nothing_learned (void **state)
{
  work_estimate_t hinted = estimate (*state, "a", HINT);
  work_estimate_t unhinted = estimate (*state, "a", 0);

  assert_about (hinted.events, 20, 0);
  assert_about (unhinted.events, 40, 0);
  /* 10 ms of reading, 0.018 ms for the pairs.  */
  assert_about ((double)hinted.read_us, 10018, 1);
  assert_about ((double)hinted.event_us, 6532, 1);
  assert_about ((double)work_left_us (&hinted, 0), 10018 + 20 * 6532.5, 20);
}

/* The work of what has been received must not be counted any more.  */
static void
test_work_falls_with_received_events (void **state)
{
  work_estimate_t expected = estimate (*state, "a", HINT);
  uint64_t last = work_left_us (&expected, 0);

  respond (*state, "a", HINT, 22, RESPONSES);
  expected = estimate (*state, "a", HINT);
  for (uint64_t events = 1; events < 30; events++)
    {
      uint64_t left = work_left_us (&expected, events);

      assert_true (left <= last);
      assert_true (left > 0);
      last = left;
    }
}

/* Heavy-tailed output: a response that is longer than expected must not count
   as about to end.  */
static void
test_overrun_is_learned (void **state)
{
  fixture_t *fixture = *state;
  work_estimate_t expected;

  for (unsigned i = 0; i < RESPONSES; i++)
    {
      respond (fixture, "a", HINT, 10, 9);
      respond (fixture, "a", HINT, 200, 1);
    }
  expected = estimate (fixture, "a", HINT);
  assert_true (work_left_us (&expected, 100) > work_left_us (&expected, 5));
  assert_true (work_left_us (&expected, 100)
               > 2 * (uint64_t)expected.events * expected.event_us);
}

static void
test_ratio_is_learned_by_account (void **state)
{
  fixture_t *fixture = *state;

  respond (fixture, "short", HINT, 5, RESPONSES);
  respond (fixture, "long", HINT, 60, RESPONSES);
  assert_about (estimate (fixture, "short", HINT).events, 5, 2);
  assert_about (estimate (fixture, "short", (uint64_t)2 * HINT).events, 10, 4);
  assert_about (estimate (fixture, "long", HINT).events, 60, 4);
  assert_about (estimate (fixture, "long", 0).events, 60, 4);
}

/* A model that answers three times as long from one moment on must be expected
   to within 50 responses.  */
static void
test_change_is_followed (void **state)
{
  fixture_t *fixture = *state;

  respond (fixture, "a", HINT, 20, 10 * RESPONSES);
  respond (fixture, "a", HINT, 60, RESPONSES);
  assert_about (estimate (fixture, "a", HINT).events, 60, 4);
  respond (fixture, "a", HINT, 20, RESPONSES);
  assert_about (estimate (fixture, "a", HINT).events, 20, 4);
}

/* A crowd of false estimates must change nothing for other accounts, and must
   not stay cheap itself.  */
static void
test_lying_estimates_count_for_their_account_only (void **state)
{
  fixture_t *fixture = *state;

  respond (fixture, "honest", HINT, 20, RESPONSES);
  respond (fixture, "liar", 1, 150, 10 * RESPONSES);
  respond (fixture, "braggart", MAX_TOKENS, 1, 10 * RESPONSES);
  assert_about (estimate (fixture, "honest", HINT).events, 20, 1);
  assert_about (estimate (fixture, "new", HINT).events, 20, 0);
  assert_about (estimate (fixture, "liar", 1).events, 150, 10);
  assert_about (estimate (fixture, "braggart", MAX_TOKENS).events, 1, 1);
}

/* One estimate of a single token among good ones must not multiply the
   expectation for the good ones.  */
static void
test_single_false_estimate_has_little_weight (void **state)
{
  fixture_t *fixture = *state;

  respond (fixture, "a", HINT, 20, RESPONSES);
  respond (fixture, "a", 1, 20, 1);
  assert_about (estimate (fixture, "a", HINT).events, 20, 2);
}

/* Whatever the counts are, the work is that of one event at least and of the
   timeout at most.  */
static void
test_absurd_counts_are_bounded (void **state)
{
  static const uint64_t counts[] = { 0, 1, MAX_TOKENS, 1 << 24, UINT64_MAX };
  enum
  {
    COUNTS = sizeof counts / sizeof counts[0]
  };
  fixture_t *fixture = *state;

  for (unsigned i = 0; i < COUNTS * COUNTS * COUNTS; i++)
    {
      work_request_t request = { .prompt_tokens = counts[i % COUNTS],
                                 .hinted_tokens = counts[i / COUNTS % COUNTS],
                                 .max_tokens = counts[i / COUNTS / COUNTS],
                                 .past_events = counts[(i + 1) % COUNTS],
                                 .timeout_ms = TIMEOUT_MS };
      work_estimate_t expected = estimate_sent (fixture, &engine, &request);
      work_response_t response = { .events = counts[i % COUNTS] };

      assert_true (expected.events >= 1);
      for (unsigned j = 0; j < COUNTS; j++)
        assert_in_range (work_left_us (&expected, counts[j]), 1,
                         TIMEOUT_MS * 1000);
      work_model_record (fixture->model, &expected, &response, fixture->now);
    }
}

/* An engine profile without costs must not divide by zero.  */
static void
test_empty_profile (void **state)
{
  static const engine_profile_t empty = { 0 };
  fixture_t *fixture = *state;
  work_request_t request = request_of ("a", HINT);
  work_estimate_t expected = estimate_sent (fixture, &empty, &request);

  assert_int_equal (work_left_us (&expected, 0), 0);
}

/* A request that continues a stream has less to write, and its length must not
   be taken for that of whole responses.  */
static void
test_resumed_stream (void **state)
{
  fixture_t *fixture = *state;
  work_request_t request = request_of ("a", HINT);
  work_estimate_t expected;

  request.past_events = 15;
  expected = estimate_sent (fixture, &engine, &request);
  assert_about (expected.events, 5, 0);
  for (unsigned i = 0; i < RESPONSES; i++)
    work_model_record (fixture->model, &expected,
                       &(work_response_t){ .events = 5 }, fixture->now);
  assert_about (estimate (fixture, "a", HINT).events, 20, 0);
}

/* More accounts than the model has room for must neither grow it nor evict one
   that is in use.  */
static void
test_many_accounts (void **state)
{
  fixture_t *fixture = *state;
  char account[16];

  respond (fixture, "busy", HINT, 60, RESPONSES);
  for (unsigned i = 0; i < 2000; i++)
    {
      snprintf (account, sizeof account, "a%u", i);
      respond (fixture, account, HINT, 5, 1);
      respond (fixture, "busy", HINT, 60, 1);
    }
  assert_about (estimate (fixture, "busy", HINT).events, 60, 4);
}

static void
test_plain_service_takes_mean_response_time (void **state)
{
  fixture_t *fixture = *state;
  work_request_t request = request_of ("a", 0);
  work_estimate_t expected = estimate_sent (fixture, NULL, &request);

  assert_int_equal (work_left_us (&expected, 0), 0);
  for (unsigned i = 0; i < RESPONSES; i++)
    work_model_record (fixture->model, &expected,
                       &(work_response_t){ .elapsed_ms = 40 }, fixture->now);
  expected = estimate_sent (fixture, NULL, &request);
  assert_in_range (work_left_us (&expected, 0), 39000, 41000);
}

#define WORK_TEST(test)                                                       \
  cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    WORK_TEST (test_nothing_learned),
    WORK_TEST (test_work_falls_with_received_events),
    WORK_TEST (test_overrun_is_learned),
    WORK_TEST (test_ratio_is_learned_by_account),
    WORK_TEST (test_change_is_followed),
    WORK_TEST (test_lying_estimates_count_for_their_account_only),
    WORK_TEST (test_single_false_estimate_has_little_weight),
    WORK_TEST (test_absurd_counts_are_bounded),
    WORK_TEST (test_empty_profile),
    WORK_TEST (test_resumed_stream),
    WORK_TEST (test_many_accounts),
    WORK_TEST (test_plain_service_takes_mean_response_time),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
