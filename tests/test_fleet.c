/* A relay's choice of an upstream: none that is out of service, overloaded in
   its cold start or unreachable, whatever the other relays send.  */

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
  TRIED_AGAIN_MS = 5000 /* at the latest, after a rejection */
};

static void
test_requests_spread_and_skip_tried_upstreams (void **state)
{
  fleet_fixture_t *fixture = fleet_fixture_create (0);
  char id[8];

  (void)state;
  for (unsigned i = 0; i < FLEET_FIXTURE_RANKS; i++)
    assert_in_range (
        fleet_fixture_count_chosen (fixture, FLEET_FIXTURE_RANKS, "u2"), 0, 2);
  for (unsigned i = 0; i < 20; i++)
    {
      assert_int_equal (fleet_fixture_choose (fixture, id, sizeof id, "u1"),
                        FLEET_NO_SHORTAGE);
      assert_string_not_equal (id, "u1");
    }
  fleet_fixture_destroy (fixture);
}

/* Whatever makes an upstream reject requests that are meant for another one,
   it would never be used again if that was believed for good.  */
static void
test_replaced_upstream_is_tried_again (void **state)
{
  fleet_fixture_t *fixture = fleet_fixture_create (0);
  pick_request_t work = { 0 };

  (void)state;
  fleet_release (fixture->fleet, "u1", &work, FLEET_MISDIRECTED, 10);
  assert_int_equal (fleet_fixture_count_chosen (fixture, 20, "u1"), 0);
  fleet_fixture_advance_ms (fixture, TRIED_AGAIN_MS);
  assert_true (fleet_fixture_count_chosen (fixture, 20, "u1") > 0);
  fleet_fixture_destroy (fixture);
}

static void
test_zone_out_gets_no_requests (void **state)
{
  fleet_fixture_t *fixture = fleet_fixture_create (0);

  (void)state;
  fleet_set_zone_out (fixture->fleet, "a", true);
  assert_int_equal (fleet_fixture_count_chosen (fixture, 20, "u0")
                        + fleet_fixture_count_chosen (fixture, 20, "u2"),
                    0);
  fleet_set_zone_out (fixture->fleet, "b", true);
  assert_int_equal (fleet_fixture_count_chosen (fixture, 20, NULL), 0);
  /* Its upstreams start cold when the zone is back.  */
  fleet_set_zone_out (fixture->fleet, "a", false);
  assert_int_equal (fleet_fixture_count_chosen (fixture, 20, NULL), 0);
  fleet_fixture_advance_ms (fixture, 20000);
  assert_int_equal (fleet_fixture_count_chosen (fixture, 20, NULL), 20);
  assert_int_equal (fleet_fixture_count_chosen (fixture, 20, "u1"), 0);
  fleet_fixture_destroy (fixture);
}

/* A relay's share counted the free capacity of upstreams that it may not use.
   With a zone out of service, all relays together then sent far more than the
   other zones could run, and requests waited in the engines' queues.  */
static void
test_share_counts_usable_upstreams_only (void **state)
{
  /* Of the slots and the queue of the two upstreams in zone a, for each of two
     relays, rounded up.  */
  static const unsigned share_max = 2 * (FLEET_FIXTURE_SLOTS + 1 - 1) / 2 + 1;
  fleet_fixture_t *fixture = fleet_fixture_create (0);
  rate_share_t share = { .relays = 2 };

  (void)state;
  fleet_set_share (fixture->fleet, &share);
  fleet_fixture_step_group (fixture, FLEET_FIXTURE_REPORT_MS,
                            FLEET_FIXTURE_STEP_MS);
  fleet_set_zone_out (fixture->fleet, "b", true);
  assert_in_range (
      fleet_fixture_count_chosen (
          fixture, FLEET_FIXTURE_RANKS * FLEET_FIXTURE_SLOTS, NULL),
      share_max - 2, share_max);
  fleet_fixture_destroy (fixture);
}

/* Return how many requests of URGENCY are sent before there is no capacity for
   another one.  */
static unsigned
fixture_fill (fleet_fixture_t *fixture, unsigned urgency, bool is_guaranteed)
{
  fleet_request_t request = { .service = "model",
                              .route = fixture->route,
                              .urgency = urgency,
                              .is_guaranteed = is_guaranteed,
                              .work = { .zone = "a", .prompt_tokens = 100 } };
  TALLOC_CTX *ctx = talloc_new (fixture);
  fleet_choice_t choice;
  unsigned count = 0;

  while (fleet_choose (fixture->fleet, ctx, &request, &choice)
         == FLEET_NO_SHORTAGE)
    count++;
  talloc_free (ctx);
  return count;
}

/* Where responses are short and reports are late, a relay had used its share
   between two reports, and refused requests although nothing ran.  */
static void
test_ended_requests_free_their_places (void **state)
{
  fleet_fixture_t *fixture = fleet_fixture_create (0);
  fleet_request_t request = { .service = "model",
                              .route = fixture->route,
                              .work = { .zone = "a" } };
  TALLOC_CTX *ctx = talloc_new (fixture);
  fleet_choice_t choice;

  (void)state;
  fleet_fixture_step_group (fixture, FLEET_FIXTURE_REPORT_MS,
                            FLEET_FIXTURE_STEP_MS);
  for (unsigned i = 0; i < FLEET_FIXTURE_RANKS * FLEET_FIXTURE_SLOTS * 2; i++)
    {
      fleet_fixture_advance_ms (fixture, 10);
      assert_int_equal (fleet_choose (fixture->fleet, ctx, &request, &choice),
                        FLEET_NO_SHORTAGE);
      fleet_fixture_advance_ms (fixture, 5);
      fleet_release (fixture->fleet, choice.upstream, &request.work,
                     FLEET_SERVED, 5);
    }
  talloc_free (ctx);
  fleet_fixture_destroy (fixture);
}

/* A burst of less urgent requests took all places, and urgent ones that came a
   moment later waited until one of them had ended.  */
static void
test_capacity_is_reserved_for_urgent_requests (void **state)
{
  enum
  {
    URGENT_PER_SECOND = 50,
    IDLE_PLACES
    = FLEET_FIXTURE_RANKS
      * (FLEET_FIXTURE_SLOTS - 1), /* one request runs at each rank */
    QUEUE_PLACES = FLEET_FIXTURE_RANKS
  };
  fleet_fixture_t *fixture = fleet_fixture_create (0);
  unsigned less_urgent;

  (void)state;
  for (unsigned i = 0; i < URGENT_PER_SECOND * 2; i++)
    {
      fleet_count_request (fixture->fleet, "model", 0);
      fleet_count_request (fixture->fleet, "model", 3);
      fleet_fixture_advance_ms (fixture, 1000 / URGENT_PER_SECOND);
    }
  fleet_fixture_step_group (fixture, FLEET_FIXTURE_REPORT_MS,
                            FLEET_FIXTURE_STEP_MS);
  less_urgent = fixture_fill (fixture, 3, false);
  assert_in_range (less_urgent, IDLE_PLACES / 2, IDLE_PLACES - 5);
  assert_in_range (fixture_fill (fixture, 0, false),
                   IDLE_PLACES - less_urgent + QUEUE_PLACES - 1,
                   IDLE_PLACES - less_urgent + QUEUE_PLACES + 1);
  fleet_fixture_destroy (fixture);
}

/* However many urgent requests arrive, the less urgent keep a part of the
   capacity; it is all theirs when the urgent ones stay away.  */
static void
test_reserve_is_bounded_and_ends (void **state)
{
  enum
  {
    PLACES = FLEET_FIXTURE_RANKS * (FLEET_FIXTURE_SLOTS - 1)
  };
  fleet_fixture_t *fixture = fleet_fixture_create (0);

  (void)state;
  for (unsigned i = 0; i < 1000; i++)
    fleet_count_request (fixture->fleet, "model", 0);
  fleet_count_request (fixture->fleet, "model", 3);
  fleet_fixture_step_group (fixture, FLEET_FIXTURE_REPORT_MS,
                            FLEET_FIXTURE_STEP_MS);
  assert_in_range (fixture_fill (fixture, 3, false), PLACES / 8,
                   PLACES / 8 + 1);
  fleet_fixture_step_group (fixture, FLEET_FIXTURE_REPORT_MS,
                            FLEET_FIXTURE_STEP_MS);
  assert_in_range (fixture_fill (fixture, 3, true), PLACES,
                   PLACES + FLEET_FIXTURE_RANKS + 1);
  fleet_fixture_step_group (fixture, 20000, FLEET_FIXTURE_STEP_MS);
  assert_in_range (fixture_fill (fixture, 3, false), PLACES,
                   PLACES + FLEET_FIXTURE_RANKS + 1);
  fleet_fixture_destroy (fixture);
}

/* The cold start rate of an upstream is shared by the relays: all of them
   together must stay within it, however many requests arrive.  */
static void
test_cold_upstreams_get_share_of_one_relay (void **state)
{
  fleet_fixture_t *fixture = fleet_fixture_create (10000);
  unsigned in_second;

  (void)state;
  fleet_set_share (fixture->fleet, &(rate_share_t){ .relays = 2 });
  fleet_fixture_advance_ms (fixture, 1000);
  fleet_fixture_count_chosen (fixture, 100, NULL);
  for (unsigned second = 0; second < 4; second++)
    {
      in_second = 0;
      for (unsigned i = 0; i < 10; i++)
        {
          fleet_fixture_advance_ms (fixture, 100);
          in_second += fleet_fixture_count_chosen (fixture, 20, NULL);
        }
      /* 8 per second for each of 4 upstreams, halved for one of two
         relays.  */
      assert_in_range (in_second, 4, 8 * FLEET_FIXTURE_RANKS / 2);
    }
  fleet_fixture_advance_ms (fixture, 10000);
  assert_int_equal (fleet_fixture_count_chosen (fixture, 100, NULL), 100);
  fleet_fixture_destroy (fixture);
}

/* Among many relays each one's share of the cold start rate is less than a
   request a second.  Together they must use the rate from the first second on,
   and never exceed it by more than the platform's allowance of a half, also
   when no request came for a while.  */
static void
test_cold_upstreams_are_used_by_many_relays (void **state)
{
  enum
  {
    RELAYS = 50,
    RATE = 8,
    TICK_MS = 20,
    TICKS_PER_S = 50,
    IDLE_MS = 3000
  };
  fleet_fixture_t *relays[RELAYS];
  unsigned used = 0;
  unsigned sent[4 * TICKS_PER_S] = { 0 };

  (void)state;
  for (unsigned i = 0; i < RELAYS; i++)
    {
      relays[i] = fleet_fixture_create_with_seed (20000, i + 1);
      fleet_set_share (relays[i]->fleet,
                       &(rate_share_t){ .relays = RELAYS, .position = i });
    }
  for (unsigned tick = 0; tick < 4 * TICKS_PER_S; tick++)
    {
      for (unsigned i = 0; i < RELAYS; i++)
        {
          fleet_fixture_advance_ms (
              relays[i], tick == 2 * TICKS_PER_S ? IDLE_MS : TICK_MS);
          sent[tick] += fleet_fixture_count_chosen (relays[i],
                                                    FLEET_FIXTURE_RANKS, NULL);
        }
      used += tick < TICKS_PER_S ? sent[tick] : 0;
    }
  assert_in_range (used, RATE * FLEET_FIXTURE_RANKS / 2,
                   RATE * FLEET_FIXTURE_RANKS * 3 / 2);
  for (unsigned start = 0; start + TICKS_PER_S <= 4 * TICKS_PER_S; start++)
    {
      unsigned in_second = 0;

      for (unsigned i = 0; i < TICKS_PER_S; i++)
        in_second += sent[start + i];
      assert_in_range (in_second, 0,
                       RATE * FLEET_FIXTURE_RANKS * 3 / 2
                           + FLEET_FIXTURE_RANKS);
    }
  for (unsigned i = 0; i < RELAYS; i++)
    fleet_fixture_destroy (relays[i]);
}

static void
test_unreachable_upstream_is_ejected_temporarily (void **state)
{
  fleet_fixture_t *fixture = fleet_fixture_create (0);
  pick_request_t work = { .zone = "a", .prompt_tokens = 100 };

  (void)state;
  while (fleet_fixture_count_chosen (fixture, 1, "u1") == 0)
    continue;
  fleet_release (fixture->fleet, "u1", &work, FLEET_UNREACHABLE, 5);
  assert_int_equal (fleet_fixture_count_chosen (fixture, 40, "u1"), 0);
  fleet_fixture_advance_ms (fixture, 5000);
  assert_in_range (fleet_fixture_count_chosen (fixture, 40, "u1"), 1, 40);
  fleet_fixture_destroy (fixture);
}

/* List the upstream u0 as ready, in its run that started at STARTED_MS.  */
static void
list_run (fleet_fixture_t *fixture, int64_t started_ms, int64_t heartbeat)
{
  upstream_listing_t listing = { .id = "u0",
                                 .service = "model",
                                 .address = "10.0.0.0:80",
                                 .zone = "a",
                                 .slots = FLEET_FIXTURE_SLOTS,
                                 .started_ms = started_ms,
                                 .heartbeat = heartbeat };

  fleet_update_upstream (fixture->fleet, &listing);
}

/* Have all upstreams but u0 tried already, so that u0 is chosen or none.  */
static fleet_shortage_t
choose_run (fleet_fixture_t *fixture)
{
  fleet_request_t request = { .service = "model",
                              .route = fixture->route,
                              .tried = { "u1", "u2", "u3" },
                              .tried_count = 3 };
  TALLOC_CTX *ctx = talloc_new (fixture);
  fleet_choice_t choice = { 0 };
  fleet_shortage_t shortage
      = fleet_choose (fixture->fleet, ctx, &request, &choice);

  if (shortage == FLEET_NO_SHORTAGE)
    fleet_release (fixture->fleet, choice.upstream, &request.work,
                   FLEET_SERVED, 1);
  talloc_free (ctx);
  return shortage;
}

/* Tell FIXTURE's fleet what u0 says of itself in its run at STARTED_MS.  */
static void
notice_run (fleet_fixture_t *fixture, int64_t started_ms,
            const fleet_notice_t *notice)
{
  fleet_record_notice (fixture->fleet, "u0",
                       fleet_incarnation ("u0", started_ms), notice);
}

/* An upstream that has said that it leaves, or that it wants no requests for a
   time, is listed again by a heartbeat that comes late, and was used again. */
static void
test_notices_hold_when_a_run_is_listed_again (void **state)
{
  static const fleet_notice_t leaving = { .is_leaving = true };
  static const fleet_notice_t pause = { .pause = { .tv_sec = 5 } };
  fleet_fixture_t *fixture = fleet_fixture_create (0);

  (void)state;
  list_run (fixture, 1000, 5);
  assert_int_equal (choose_run (fixture), FLEET_NO_SHORTAGE);
  notice_run (fixture, 1000, &pause);
  fleet_remove_upstream (fixture->fleet, "u0");
  list_run (fixture, 1000, 6);
  assert_int_equal (choose_run (fixture), FLEET_ALL_PAUSED);
  fleet_fixture_advance_ms (fixture, 5000);
  assert_int_equal (choose_run (fixture), FLEET_NO_SHORTAGE);
  notice_run (fixture, 1000, &leaving);
  fleet_remove_upstream (fixture->fleet, "u0");
  list_run (fixture, 1000, 7);
  assert_int_equal (choose_run (fixture), FLEET_NO_ALLOWED_UPSTREAM);
  list_run (fixture, 2000, 1);
  assert_int_equal (choose_run (fixture), FLEET_NO_SHORTAGE);
  fleet_fixture_destroy (fixture);
}

/* A policy that is not known must not replace the one in use, without which
   the next choice would fail.  */
static void
test_policy_of_a_service_is_set (void **state)
{
  fleet_fixture_t *fixture = fleet_fixture_create (0);
  fleet_request_t request = { .service = "model", .route = fixture->route };
  fleet_choice_t choice;

  (void)state;
  assert_true (fleet_set_policy (fixture->fleet, "model", "round-robin"));
  assert_false (fleet_set_policy (fixture->fleet, "model", "unknown"));
  assert_false (fleet_set_policy (fixture->fleet, "other", "round-robin"));
  assert_int_equal (fleet_choose (fixture->fleet, fixture, &request, &choice),
                    FLEET_NO_SHORTAGE);
  assert_string_equal (choice.reason, "round-robin");
  fleet_fixture_destroy (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_requests_spread_and_skip_tried_upstreams),
    cmocka_unit_test (test_replaced_upstream_is_tried_again),
    cmocka_unit_test (test_zone_out_gets_no_requests),
    cmocka_unit_test (test_share_counts_usable_upstreams_only),
    cmocka_unit_test (test_ended_requests_free_their_places),
    cmocka_unit_test (test_capacity_is_reserved_for_urgent_requests),
    cmocka_unit_test (test_reserve_is_bounded_and_ends),
    cmocka_unit_test (test_cold_upstreams_get_share_of_one_relay),
    cmocka_unit_test (test_cold_upstreams_are_used_by_many_relays),
    cmocka_unit_test (test_unreachable_upstream_is_ejected_temporarily),
    cmocka_unit_test (test_notices_hold_when_a_run_is_listed_again),
    cmocka_unit_test (test_policy_of_a_service_is_set),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
