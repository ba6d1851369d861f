/* Rate limits that upstreams name for all relays together: the sum of what the
   relays send must keep to the limit and come close to it, however many relays
   there are and whichever of them heard of it first.  */

#include "common/rate_limits.h"
#include "kernel/plugin.h"
#include "plugins/gossip.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

enum
{
  MAX_RELAYS = 60,
  STEP_MS = 10,
  WINDOW_MS = 4000,
  RUN_MS = 20000,
  SETTLE_MS = 3000,
  STEPS = RUN_MS / STEP_MS,
  WINDOW_STEPS = WINDOW_MS / STEP_MS,
  UPSTREAM = 0x1234,
  MANY = 5000,
  MEMORY_MS = 600001,
  MS_PER_S = 1000
};

typedef struct fixture
{
  clock_source_t *clock;
  rate_limits_t *relays[MAX_RELAYS];
  unsigned relay_count;
  unsigned sent[STEPS];
} fixture_t;

static int
set_up (void **state)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);

  fixture->clock
      = clock_create_virtual (fixture, (struct timespec){ .tv_sec = 1000 });
  for (unsigned i = 0; i < MAX_RELAYS; i++)
    fixture->relays[i] = rate_limits_create (fixture, fixture->clock);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  talloc_free (*state);
  return 0;
}

static void
wait_ms (fixture_t *fixture, int64_t ms)
{
  clock_advance (fixture->clock, timespec_from_ms (ms));
}

/* Pass the updates of relay FROM on to all others, as frames.  */
static void
gossip (fixture_t *fixture, unsigned from)
{
  const gossip_topic_ops_t *topic
      = plugin_ops (PLUGIN_GOSSIP, GOSSIP_RATE_LIMITS);
  TALLOC_CTX *scratch = talloc_new (fixture);
  frame_t frame;

  while (topic->take_update (fixture->relays[from], scratch, &frame))
    {
      size_t size;
      char *encoded = frame_encode (scratch, &frame, &size);
      frame_t decoded;

      assert_int_equal (frame_decode (scratch, encoded + FRAME_PREFIX_BYTES,
                                      size - FRAME_PREFIX_BYTES, &decoded),
                        STATUS_OK);
      for (unsigned i = 0; i < fixture->relay_count; i++)
        {
          if (i != from)
            topic->merge (fixture->relays[i], scratch, &decoded);
        }
    }
  talloc_free (scratch);
}

static bool
relay_send (const fixture_t *fixture, unsigned relay)
{
  rate_share_t share = { .relays = fixture->relay_count, .position = relay };

  if (!rate_limits_has_slot (fixture->relays[relay], UPSTREAM, &share))
    return false;
  rate_limits_use_slot (fixture->relays[relay], UPSTREAM, &share);
  return true;
}

/* Relay 0 hears of LIMIT.  Then every relay tries in each step to send a
   request with a probability of WISH percent.  */
static void
play (fixture_t *fixture, unsigned relays, double limit, int wish)
{
  fixture->relay_count = relays;
  srand (relays);
  rate_limits_record (fixture->relays[0], UPSTREAM, limit);
  gossip (fixture, 0);
  for (unsigned step = 0; step < STEPS; step++)
    {
      wait_ms (fixture, STEP_MS);
      for (unsigned i = 0; i < relays; i++)
        {
          if (rand () % 100 < wish && relay_send (fixture, i))
            fixture->sent[step]++;
        }
    }
}

/* Return the most and *LEAST requests in a window.  */
static unsigned
sent_in_window (const fixture_t *fixture, unsigned *least)
{
  unsigned most = 0;

  *least = UINT32_MAX;
  for (unsigned from = SETTLE_MS / STEP_MS; from + WINDOW_STEPS <= STEPS;
       from++)
    {
      unsigned sum = 0;

      for (unsigned i = 0; i < WINDOW_STEPS; i++)
        sum += fixture->sent[from + i];
      most = sum > most ? sum : most;
      *least = sum < *least ? sum : *least;
    }
  return most;
}

static void
check_limit (unsigned relays, double limit, int wish)
{
  void *state;
  fixture_t *fixture;
  double allowed = limit * WINDOW_MS / MS_PER_S;
  unsigned least;
  unsigned most;

  set_up (&state);
  fixture = state;
  play (fixture, relays, limit, wish);
  most = sent_in_window (fixture, &least);
  assert_true (most <= 1.25 * allowed + 1);
  assert_true (least + 1 >= 0.75 * allowed);
  tear_down (&state);
}

static void
test_limit_holds_over_three_relays_or_fifty (void **state)
{
  static const unsigned counts[] = { 1, 3, 14, 53 };
  static const double limits[] = { 0.5, 2.1, 9.7, 60 };

  (void)state;
  for (unsigned i = 0; i < sizeof counts / sizeof counts[0]; i++)
    {
      for (unsigned j = 0; j < sizeof limits / sizeof limits[0]; j++)
        check_limit (counts[i], limits[j], 90);
    }
}

static void
test_limit_ends_for_all_relays_with_an_answer_without_it (void **state)
{
  fixture_t *fixture = *state;

  play (fixture, 4, 1, 100);
  rate_limits_record (fixture->relays[2], UPSTREAM, 1);
  wait_ms (fixture, 100);
  /* Sent before the last one with a limit.  */
  assert_false (rate_limits_record (fixture->relays[2], UPSTREAM, -1));
  wait_ms (fixture, 1000);
  assert_true (rate_limits_record (fixture->relays[2], UPSTREAM, -1));
  gossip (fixture, 2);
  for (unsigned i = 0; i < 20; i++)
    assert_true (relay_send (fixture, 1));
}

/* A relay that has missed the end of a limit tells others of it.  */
static void
test_old_record_does_not_bring_a_limit_back (void **state)
{
  fixture_t *fixture = *state;
  rate_limit_record_t *old;
  unsigned count;

  fixture->relay_count = 2;
  rate_limits_record (fixture->relays[0], UPSTREAM, 1);
  gossip (fixture, 0);
  wait_ms (fixture, 2000);
  rate_limits_record (fixture->relays[0], UPSTREAM, -1);
  old = rate_limits_list (fixture, fixture->relays[1], &count);
  assert_int_equal (count, 1);
  assert_false (rate_limits_merge (fixture->relays[0], old));
  rate_limits_list (fixture, fixture->relays[0], &count);
  assert_int_equal (count, 0);
}

/* An upstream that takes nothing is still asked now and then, or it could not
   show that its need is over.  */
static void
test_limit_of_zero_is_checked_again (void **state)
{
  fixture_t *fixture = *state;
  unsigned sent = 0;

  play (fixture, 3, 0, 100);
  for (unsigned step = 0; step < STEPS; step++)
    sent += fixture->sent[step];
  assert_in_range (sent, 1, 3);
}

static void
test_limit_expires (void **state)
{
  fixture_t *fixture = *state;
  unsigned count;

  fixture->relay_count = 1;
  rate_limits_record (fixture->relays[0], UPSTREAM, 0);
  assert_true (relay_send (fixture, 0));
  assert_false (relay_send (fixture, 0));
  wait_ms (fixture, MEMORY_MS);
  assert_true (relay_send (fixture, 0));
  assert_true (relay_send (fixture, 0));
  rate_limits_list (fixture, fixture->relays[0], &count);
  assert_int_equal (count, 0);
}

static void
test_memory_is_bounded (void **state)
{
  fixture_t *fixture = *state;

  for (uint64_t i = 0; i < MANY; i++)
    rate_limits_record (fixture->relays[0], i, 1);
  assert_in_range (talloc_total_size (fixture->relays[0]), 0, 1 << 20);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_limit_holds_over_three_relays_or_fifty),
    cmocka_unit_test_setup_teardown (
        test_limit_ends_for_all_relays_with_an_answer_without_it, set_up,
        tear_down),
    cmocka_unit_test_setup_teardown (
        test_old_record_does_not_bring_a_limit_back, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_limit_of_zero_is_checked_again,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_limit_expires, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_memory_is_bounded, set_up,
                                     tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
