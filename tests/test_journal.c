/* Claims of idempotency keys: a key must not run twice when owners crash, are
   delayed or lose the answer to a write that took effect.  */

#include "agent/claim_key.h"
#include "claims_fixture.h"
#include "kernel/invariant.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* With random delays, lost responses, pauses and crashes no key runs twice,
   and every caller receives a correct verdict.  */
static void
test_random_histories_run_each_key_once (void **state)
{
  unsigned verdicts[CLAIM_UNAVAILABLE + 1] = { 0 };

  (void)state;
  invariant_set_fatal (true);
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      fixture_t *fixture = fixture_create (seed);

      for (unsigned i = 0; i < STEPS_PER_SEED; i++)
        {
          fixture_inject_event (fixture);
          fixture_advance (fixture);
        }
      fixture_settle (fixture);
      for (unsigned i = 0; i <= CLAIM_UNAVAILABLE; i++)
        verdicts[i] += fixture->verdicts[i];
      fixture_destroy (fixture);
    }
  for (unsigned i = 0; i <= CLAIM_UNAVAILABLE; i++)
    assert_true (verdicts[i] > SEEDS / 10);
}

/* A claim that takes effect in the store after its caller received the verdict
   "unavailable" is released, so that a retry can run.  */
static void
test_delayed_claim_is_released (void **state)
{
  fixture_t *fixture = fixture_create (1);
  store_call_t *store_call;

  (void)state;
  fixture->is_fault_free = true;
  caller_start (&fixture->processes[0], 0, 0, 100);
  while (LIST_EMPTY (&fixture->store_calls))
    fixture_advance (fixture);
  store_call = LIST_FIRST (&fixture->store_calls);
  store_call->applied_at_ms = fixture->now_ms + LONG_DELAY_MS;
  store_call->response_at_ms = -1;
  fixture_run_ms (fixture, LONG_DELAY_MS + 1000);
  assert_int_equal (fixture->verdicts[CLAIM_UNAVAILABLE], 1);
  assert_int_equal (fixture->runs[0], 0);
  caller_start (&fixture->processes[1], 0, 0, 1000);
  fixture_run_ms (fixture, 2000);
  assert_int_equal (fixture->verdicts[CLAIM_GRANTED], 1);
  assert_int_equal (fixture->runs[0], 1);
  fixture_destroy (fixture);
}

/* A claim whose response was lost is recognized by its attempt id when it is
   sent again.  */
static void
test_claim_is_recognized_after_lost_response (void **state)
{
  fixture_t *fixture = fixture_create (1);

  (void)state;
  fixture->is_fault_free = true;
  caller_start (&fixture->processes[0], 0, 0, 5000);
  while (LIST_EMPTY (&fixture->store_calls))
    fixture_advance (fixture);
  LIST_FIRST (&fixture->store_calls)->response_at_ms = -1;
  fixture_run_ms (fixture, 3000);
  assert_int_equal (fixture->verdicts[CLAIM_GRANTED], 1);
  assert_int_equal (fixture->runs[0], 1);
  assert_int_equal (claims_pending (fixture->processes[0].claims), 0);
  fixture_destroy (fixture);
}

/* A claim without an outcome is never granted to another process, no matter
   how long ago its owner crashed: its request may have run.  */
static void
test_claim_of_crashed_owner_is_never_granted_again (void **state)
{
  fixture_t *fixture = fixture_create (1);

  (void)state;
  fixture->is_fault_free = true;
  caller_start (&fixture->processes[0], 0, 0, 5000);
  while (fixture->runs[0] == 0)
    fixture_advance (fixture);
  process_crash (&fixture->processes[0]);
  for (unsigned i = 0; i < 10; i++)
    {
      caller_start (&fixture->processes[i % PROCESSES], 0, 0, 500);
      fixture_run_ms (fixture, 60000);
    }
  assert_int_equal (fixture->verdicts[CLAIM_UNKNOWN], 10);
  assert_int_equal (fixture->runs[0], 1);
  fixture_destroy (fixture);
}

/* Claims that arrive while a call is in flight share the next call.  */
static void
test_claims_are_batched (void **state)
{
  fixture_t *fixture = fixture_create (1);

  (void)state;
  fixture->is_fault_free = true;
  caller_start (&fixture->processes[0], 0, 0, 5000);
  while (LIST_EMPTY (&fixture->store_calls))
    fixture_advance (fixture);
  caller_start (&fixture->processes[0], 1, 0, 5000);
  caller_start (&fixture->processes[0], 2, 0, 5000);
  while (fixture->verdicts[CLAIM_GRANTED] < KEYS)
    fixture_advance (fixture);
  assert_int_equal (fake_store_calls (fixture->store), 2);
  fixture_destroy (fixture);
}

static void
test_paths_do_not_collide (void **state)
{
  claim_request_t left = { .account = "a/b", .service = "c", .key = "d" };
  claim_request_t right = { .account = "a", .service = "b/c", .key = "d" };
  char *first = claim_path (NULL, &left);
  char *second = claim_path (NULL, &right);

  (void)state;
  assert_string_equal (first, "/siskinspur/claims/a%2Fb/c/d");
  assert_string_not_equal (first, second);
  talloc_free (first);
  talloc_free (second);
}

static void
test_value_is_formatted_and_parsed (void **state)
{
  static const char body[] = { 'a', '\0', (char)0xff, '\n' };
  claim_value_t value = { .state = CLAIM_STATE_FINISHED,
                          .claim_attempt_id = "agent/1/2",
                          .fingerprint = UINT64_MAX,
                          .claimed_at_ms = 1772366400000,
                          .record = { 201, "text/plain", body, sizeof body } };
  char *text = claim_value_format (NULL, &value);
  claim_value_t *read = claim_value_parse (NULL, text);

  (void)state;
  assert_int_equal (read->state, CLAIM_STATE_FINISHED);
  assert_string_equal (read->claim_attempt_id, value.claim_attempt_id);
  assert_true (read->fingerprint == UINT64_MAX);
  assert_int_equal (read->record.body_size, sizeof body);
  assert_memory_equal (read->record.body, body, sizeof body);
  assert_null (claim_value_parse (NULL, "{\"state\":\"else\"}"));
  assert_null (claim_value_parse (NULL, "no value"));
  talloc_free (text);
  talloc_free (read);
}

/* Agents of an earlier version recorded whatever status an upstream sent,
   which a request repeated with its key would get as its answer.  */
static void
test_record_without_a_valid_status_is_no_outcome (void **state)
{
  static const unsigned statuses[] = { 0, 99, 600, 999 };

  (void)state;
  for (size_t i = 0; i < sizeof statuses / sizeof statuses[0]; i++)
    {
      claim_value_t value = { .state = CLAIM_STATE_FINISHED,
                              .claim_attempt_id = "agent/1/2",
                              .record = { statuses[i], "text/plain", "", 0 } };
      char *text = claim_value_format (NULL, &value);
      claim_value_t *read = claim_value_parse (NULL, text);

      assert_int_equal (read->state, CLAIM_STATE_UNKNOWN);
      talloc_free (text);
      talloc_free (read);
    }
}

/* 2026-03-01 12:00:00 UTC  */
static const struct timespec noon = { 1772366400, 0 };

static void
test_key_age_is_checked (void **state)
{
  claim_key_rules_t rules = { .requires_time = true,
                              .retention = { 86400, 0 },
                              .time_to_deadline = { 30, 0 } };
  const struct
  {
    const char *key;
    claim_key_verdict_t verdict;
  } cases[] = {
    { "20260301T120000Z-fitting", CLAIM_KEY_USABLE },
    { "20260301T120059Z-ahead-by-skew", CLAIM_KEY_USABLE },
    { "20260301T120101Z-ahead", CLAIM_KEY_EXPIRED },
    { "20260228T120132Z-young-enough", CLAIM_KEY_USABLE },
    { "20260228T120130Z-too-old", CLAIM_KEY_EXPIRED },
    { "20250301T120000Z-last-year", CLAIM_KEY_EXPIRED },
    { "fitting-17", CLAIM_KEY_MALFORMED },
    { "20260301T120000Z", CLAIM_KEY_MALFORMED },
    { "20261401T120000Z-no-month", CLAIM_KEY_MALFORMED },
    { "", CLAIM_KEY_MALFORMED },
  };

  (void)state;
  for (unsigned i = 0; i < sizeof cases / sizeof cases[0]; i++)
    assert_int_equal (claim_key_check (cases[i].key, &rules, noon),
                      cases[i].verdict);
  rules.requires_time = false;
  assert_int_equal (claim_key_check ("fitting-17", &rules, noon),
                    CLAIM_KEY_USABLE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_random_histories_run_each_key_once),
    cmocka_unit_test (test_delayed_claim_is_released),
    cmocka_unit_test (test_claim_is_recognized_after_lost_response),
    cmocka_unit_test (test_claim_of_crashed_owner_is_never_granted_again),
    cmocka_unit_test (test_claims_are_batched),
    cmocka_unit_test (test_paths_do_not_collide),
    cmocka_unit_test (test_value_is_formatted_and_parsed),
    cmocka_unit_test (test_record_without_a_valid_status_is_no_outcome),
    cmocka_unit_test (test_key_age_is_checked),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
