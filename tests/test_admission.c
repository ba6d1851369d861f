/* Slow start of an upstream: its limit must not rise without proof that the
   upstream bears more, and must fall at any sign of a cold start, or a cold
   upstream gets more than it can handle.  */

#include "kernel/clock.h"
#include "kernel/plugin.h"
#include "plugins/admission.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

static const admission_config_t config
    = { .cold_requests = 2,
        .cold_tokens = 4096,
        .maximum_requests = 16,
        .maximum_tokens = 65536,
        .slow_first_token = { 1, 800000000 } };

typedef struct upstream
{
  const admission_ops_t *ops;
  admission_t *admission;
  int64_t now_ms;
} upstream_t;

static struct timespec
upstream_now (const upstream_t *upstream)
{
  return timespec_from_ms (upstream->now_ms);
}

static admission_limit_t
upstream_limit (const upstream_t *upstream)
{
  admission_limit_t limit;

  upstream->ops->limit (upstream->admission, upstream_now (upstream), &limit);
  return limit;
}

static void
upstream_complete_request (upstream_t *upstream, uint64_t outstanding_requests,
                           int64_t first_ms, bool is_success)
{
  admission_outstanding_t outstanding
      = { outstanding_requests, outstanding_requests * 256 };
  admission_sample_t sample = { .tokens = 256,
                                .first_token = timespec_from_ms (first_ms),
                                .duration = timespec_from_ms (first_ms + 100),
                                .is_success = is_success };

  upstream->ops->record_end (upstream->admission, &sample, &outstanding,
                             upstream_now (upstream));
}

/* Complete as many requests as the limit allows at a time.  */
static void
upstream_complete_round (upstream_t *upstream, int64_t first_ms,
                         bool is_success)
{
  uint64_t requests = upstream_limit (upstream).requests;

  upstream->now_ms += first_ms + 200;
  for (uint64_t i = 0; i < requests; i++)
    upstream_complete_request (upstream, requests - i, first_ms, is_success);
}

static int
upstream_set_up (void **state)
{
  upstream_t *upstream = talloc_zero (NULL, upstream_t);

  upstream->ops = plugin_ops (PLUGIN_ADMISSION, "slow-start");
  upstream->admission
      = upstream->ops->create (upstream, &config, upstream_now (upstream));
  *state = upstream;
  return 0;
}

static int
upstream_tear_down (void **state)
{
  return talloc_free (*state);
}

static void
upstream_warm_up (upstream_t *upstream)
{
  for (unsigned i = 0; i < 40; i++)
    upstream_complete_round (upstream, 200, true);
  assert_int_equal (upstream_limit (upstream).requests, 16);
  assert_int_equal (upstream_limit (upstream).tokens, 65536);
}

static void
test_starts_at_cold_limit (void **state)
{
  admission_limit_t limit = upstream_limit (*state);

  assert_int_equal (limit.requests, 2);
  assert_int_equal (limit.tokens, 4096);
  assert_true (limit.is_cold);
}

static void
test_rounds_of_good_samples_raise_limit (void **state)
{
  upstream_t *upstream = *state;
  uint64_t previous = upstream_limit (upstream).requests;

  for (unsigned i = 0; i < 12; i++)
    {
      upstream_complete_round (upstream, 200, true);
      upstream_complete_round (upstream, 200, true);
      assert_true (upstream_limit (upstream).requests <= previous * 2);
      previous = upstream_limit (upstream).requests;
    }
  upstream_warm_up (upstream);
  assert_false (upstream_limit (upstream).is_cold);
}

/* Cold limits that 1,000 is no multiple of: with a scale that was rounded down
   the limits never reached their maximums.  */
static void
test_maximum_is_reached_from_any_cold_limit (void **state)
{
  upstream_t *upstream = *state;

  for (uint64_t cold = 1; cold < 20; cold++)
    {
      admission_config_t odd = config;

      odd.cold_requests = cold;
      odd.cold_tokens = cold * 256;
      odd.maximum_requests = 20;
      odd.maximum_tokens = 5120;
      upstream->admission
          = upstream->ops->create (upstream, &odd, upstream_now (upstream));
      for (unsigned i = 0; i < 60; i++)
        upstream_complete_round (upstream, 200, true);
      assert_int_equal (upstream_limit (upstream).requests, 20);
      assert_int_equal (upstream_limit (upstream).tokens, 5120);
    }
}

/* Beyond the threshold two rounds add one request; with three requests in
   cold start, a step of a third that was rounded down added none at first.  */
static void
test_step_beyond_threshold_is_one_request (void **state)
{
  upstream_t *upstream = *state;
  admission_config_t odd = config;

  odd.cold_requests = 3;
  upstream->admission
      = upstream->ops->create (upstream, &odd, upstream_now (upstream));
  /* Two falls set the threshold to less than what a cold upstream bears.  */
  for (unsigned i = 0; i < 2; i++)
    upstream->ops->record_cold_start (upstream->admission,
                                      upstream_now (upstream), "test");
  for (uint64_t requests = 3; requests < 16; requests++)
    {
      assert_int_equal (upstream_limit (upstream).requests, requests);
      upstream_complete_round (upstream, 200, true);
      upstream_complete_round (upstream, 200, true);
    }
}

static void
test_time_alone_does_not_raise_limit (void **state)
{
  upstream_t *upstream = *state;

  upstream->now_ms += 3600000;
  assert_int_equal (upstream_limit (upstream).requests, 2);
}

static void
test_failed_or_slow_requests_do_not_raise_limit (void **state)
{
  upstream_t *upstream = *state;

  for (unsigned i = 0; i < 100; i++)
    {
      upstream_complete_round (upstream, 200, false);
      upstream_complete_round (upstream, 1000, true);
    }
  assert_int_equal (upstream_limit (upstream).requests, 2);
  upstream_warm_up (upstream);
  upstream->ops->record_cold_start (upstream->admission,
                                    upstream_now (upstream), "test");
  for (unsigned i = 0; i < 4; i++)
    upstream_complete_round (upstream, 200, true);
  assert_true (upstream_limit (upstream).requests > 2);
}

static void
test_requests_far_below_limit_do_not_raise_it (void **state)
{
  upstream_t *upstream = *state;
  uint64_t requests;

  while (upstream_limit (upstream).requests < 6)
    upstream_complete_round (upstream, 200, true);
  requests = upstream_limit (upstream).requests;
  for (unsigned i = 0; i < 100; i++)
    {
      upstream->now_ms += 1000;
      upstream_complete_request (upstream, 1, 200, true);
    }
  assert_int_equal (upstream_limit (upstream).requests, requests);
}

/* Requests that started before the last change of the limit don't raise it:
   they don't show that the upstream sustains the new limit.  */
static void
test_requests_started_earlier_do_not_raise_limit (void **state)
{
  upstream_t *upstream = *state;

  upstream->now_ms = 1000;
  for (unsigned i = 0; i < 100; i++)
    upstream_complete_request (upstream, 16, 800, true);
  assert_int_equal (upstream_limit (upstream).requests, 3);
}

static void
test_signs_of_cold_start_reset_limit (void **state)
{
  upstream_t *upstream = *state;
  admission_report_t cold = { .is_cold = true };
  admission_report_t warm = { .is_cold = false };

  upstream_warm_up (upstream);
  upstream_complete_request (upstream, 16, 1801, true);
  assert_int_equal (upstream_limit (upstream).requests, 2);
  upstream_warm_up (upstream);
  upstream->ops->record_cold_start (
      upstream->admission, upstream_now (upstream), "new-incarnation");
  assert_int_equal (upstream_limit (upstream).requests, 2);
  assert_int_equal (upstream_limit (upstream).tokens, 4096);
  upstream_warm_up (upstream);
  upstream->ops->record_report (upstream->admission, &cold,
                                upstream_now (upstream));
  assert_int_equal (upstream_limit (upstream).requests, 2);
  for (unsigned i = 0; i < 100; i++)
    upstream_complete_round (upstream, 200, true);
  assert_int_equal (upstream_limit (upstream).requests, 2);
  upstream->ops->record_report (upstream->admission, &warm,
                                upstream_now (upstream));
  assert_int_equal (upstream_limit (upstream).requests, 2);
}

static void
test_smaller_configuration_lowers_limit (void **state)
{
  upstream_t *upstream = *state;
  admission_config_t smaller = config;

  upstream_warm_up (upstream);
  smaller.maximum_requests = 4;
  smaller.maximum_tokens = 8192;
  upstream->ops->configure (upstream->admission, &smaller);
  assert_int_equal (upstream_limit (upstream).requests, 4);
  assert_int_equal (upstream_limit (upstream).tokens, 8192);
}

#define ADMISSION_TEST(function)                                              \
  cmocka_unit_test_setup_teardown (function, upstream_set_up,                 \
                                   upstream_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    ADMISSION_TEST (test_starts_at_cold_limit),
    ADMISSION_TEST (test_rounds_of_good_samples_raise_limit),
    ADMISSION_TEST (test_maximum_is_reached_from_any_cold_limit),
    ADMISSION_TEST (test_step_beyond_threshold_is_one_request),
    ADMISSION_TEST (test_time_alone_does_not_raise_limit),
    ADMISSION_TEST (test_failed_or_slow_requests_do_not_raise_limit),
    ADMISSION_TEST (test_requests_far_below_limit_do_not_raise_it),
    ADMISSION_TEST (test_requests_started_earlier_do_not_raise_limit),
    ADMISSION_TEST (test_signs_of_cold_start_reset_limit),
    ADMISSION_TEST (test_smaller_configuration_lowers_limit),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
