#include "agent/claim_key.h"
#include "claims_world.h"
#include "kernel/invariant.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* Whatever the store, the processes and the callers do, no key runs twice, and
   every caller gets a verdict that fits.  */
static void
test_random_histories_run_each_key_once (void **state)
{
  unsigned verdicts[CLAIM_UNAVAILABLE + 1] = { 0 };

  (void)state;
  invariant_set_fatal (true);
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    {
      world_t *world = world_create (seed);

      for (unsigned i = 0; i < STEPS; i++)
        {
          world_disturb (world);
          world_advance (world);
        }
      world_settle (world);
      for (unsigned i = 0; i <= CLAIM_UNAVAILABLE; i++)
        verdicts[i] += world->verdicts[i];
      world_destroy (world);
    }
  for (unsigned i = 0; i <= CLAIM_UNAVAILABLE; i++)
    assert_true (verdicts[i] > SEEDS / 10);
}

/* A claim that takes effect after its caller was told "not run" is given back,
   so that a repeat runs.  */
static void
test_late_claim_is_given_back (void **state)
{
  world_t *world = world_create (1);
  message_t *message;

  (void)state;
  world->is_calm = true;
  ask_start (&world->owners[0], 0, 0, 100);
  while (LIST_EMPTY (&world->messages))
    world_advance (world);
  message = LIST_FIRST (&world->messages);
  message->arrives_ms = world->now_ms + LATE_MS;
  message->answers_ms = -1;
  world_run_ms (world, LATE_MS + 1000);
  assert_int_equal (world->verdicts[CLAIM_UNAVAILABLE], 1);
  assert_int_equal (world->runs[0], 0);
  ask_start (&world->owners[1], 0, 0, 1000);
  world_run_ms (world, 2000);
  assert_int_equal (world->verdicts[CLAIM_GRANTED], 1);
  assert_int_equal (world->runs[0], 1);
  world_destroy (world);
}

/* A claim whose answer is lost is known by its writer when sent again.  */
static void
test_lost_answer_is_read_back (void **state)
{
  world_t *world = world_create (1);

  (void)state;
  world->is_calm = true;
  ask_start (&world->owners[0], 0, 0, 5000);
  while (LIST_EMPTY (&world->messages))
    world_advance (world);
  LIST_FIRST (&world->messages)->answers_ms = -1;
  world_run_ms (world, 3000);
  assert_int_equal (world->verdicts[CLAIM_GRANTED], 1);
  assert_int_equal (world->runs[0], 1);
  assert_int_equal (claims_pending (world->owners[0].claims), 0);
  world_destroy (world);
}

/* A claim without outcome stays unknown, however long its owner is gone.  */
static void
test_claim_of_dead_owner_is_never_taken_over (void **state)
{
  world_t *world = world_create (1);

  (void)state;
  world->is_calm = true;
  ask_start (&world->owners[0], 0, 0, 5000);
  while (world->runs[0] == 0)
    world_advance (world);
  owner_crash (&world->owners[0]);
  for (unsigned i = 0; i < 10; i++)
    {
      ask_start (&world->owners[i % OWNERS], 0, 0, 500);
      world_run_ms (world, 60000);
    }
  assert_int_equal (world->verdicts[CLAIM_UNKNOWN], 10);
  assert_int_equal (world->runs[0], 1);
  world_destroy (world);
}

/* Claims that arrive while a call is in flight share the next one.  */
static void
test_claims_share_a_call (void **state)
{
  world_t *world = world_create (1);

  (void)state;
  world->is_calm = true;
  ask_start (&world->owners[0], 0, 0, 5000);
  while (LIST_EMPTY (&world->messages))
    world_advance (world);
  ask_start (&world->owners[0], 1, 0, 5000);
  ask_start (&world->owners[0], 2, 0, 5000);
  while (world->verdicts[CLAIM_GRANTED] < KEYS)
    world_advance (world);
  assert_int_equal (fake_store_calls (world->store), 2);
  world_destroy (world);
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
test_value_survives_the_store (void **state)
{
  static const char body[] = { 'a', '\0', (char)0xff, '\n' };
  claim_value_t value = { .state = CLAIM_STATE_DONE,
                          .writer = "agent/1/2",
                          .fingerprint = UINT64_MAX,
                          .claimed_at_ms = 1772366400000,
                          .record = { 201, "text/plain", body, sizeof body } };
  char *text = claim_value_format (NULL, &value);
  claim_value_t *read = claim_value_parse (NULL, text);

  (void)state;
  assert_int_equal (read->state, CLAIM_STATE_DONE);
  assert_string_equal (read->writer, value.writer);
  assert_true (read->fingerprint == UINT64_MAX);
  assert_int_equal (read->record.body_size, sizeof body);
  assert_memory_equal (read->record.body, body, sizeof body);
  assert_null (claim_value_parse (NULL, "{\"state\":\"else\"}"));
  assert_null (claim_value_parse (NULL, "no value"));
  talloc_free (text);
  talloc_free (read);
}

/* 2026-03-01 12:00:00 UTC  */
static const struct timespec noon = { 1772366400, 0 };

static void
test_key_time_bounds_repeats (void **state)
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
    cmocka_unit_test (test_late_claim_is_given_back),
    cmocka_unit_test (test_lost_answer_is_read_back),
    cmocka_unit_test (test_claim_of_dead_owner_is_never_taken_over),
    cmocka_unit_test (test_claims_share_a_call),
    cmocka_unit_test (test_paths_do_not_collide),
    cmocka_unit_test (test_value_survives_the_store),
    cmocka_unit_test (test_key_time_bounds_repeats),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
