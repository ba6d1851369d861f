/* A relay's choice of an upstream: none that is out of service, overloaded in
   its cold start, stalled or unreachable, whatever the other relays send.  */

#include "relay/fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

enum
{
  RANKS = 4,
  REPORT_MS = 100,
  STEP_MS = 50,
  SLOTS = 10,
  RESPONSE_MS = 1000,
  FORM_MS = 2000,   /* until a group has formed */
  SILENCE_MS = 2000 /* after which a pilot counts as silent */
};

/* A fleet with one service, "model", whose upstreams u0 to u3 are in the zones
   a, b, a and b, and a virtual clock.  */
typedef struct fixture
{
  clock_source_t *clock;
  rules_t *rules;
  route_t *route;
  fleet_t *fleet;
  uint64_t step;
  unsigned silent_rank; /* it reports nothing; RANKS: none */
} fixture_t;

static void
fixture_put_upstream (fixture_t *fixture, unsigned number, int64_t cold_ms)
{
  char id[8];
  char address[24];
  upstream_listing_t listing
      = { .id = id,
          .service = "model",
          .address = address,
          .zone = number % 2 == 0 ? "a" : "b",
          .slots = SLOTS,
          .cold_start_remaining = timespec_from_ms (cold_ms) };

  snprintf (id, sizeof id, "u%u", number);
  snprintf (address, sizeof address, "10.0.0.%u:80", number);
  fleet_update_upstream (fixture->fleet, &listing);
}

static fixture_t *
fixture_create_with_seed (int64_t cold_ms, uint64_t seed)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);
  service_rule_t *service;

  fixture->clock
      = clock_create_virtual (fixture, (struct timespec){ .tv_sec = 100 });
  fixture->rules = rules_create (1);
  fixture->route = rules_add_route (fixture->rules, "chat", "host", "/");
  fixture->route->kind = ROUTE_STREAM;
  route_add_target (fixture->route, "model", 1);
  service = rules_add_service (fixture->rules, "model");
  service->cold_time = timespec_from_ms (10000);
  service->cold_rate = 8;
  rules_finish (fixture->rules);
  fixture->fleet = fleet_create (fixture, "a", fixture->clock, seed);
  fixture->silent_rank = RANKS;
  fleet_add_zone (fixture->fleet, "a", "south");
  fleet_add_zone (fixture->fleet, "b", "south");
  fleet_configure (fixture->fleet, fixture->rules);
  for (unsigned i = 0; i < RANKS; i++)
    fixture_put_upstream (fixture, i, cold_ms);
  return fixture;
}

static fixture_t *
fixture_create (int64_t cold_ms)
{
  return fixture_create_with_seed (cold_ms, 7);
}

static void
fixture_destroy (fixture_t *fixture)
{
  fleet_destroy (fixture->fleet);
  rules_release (fixture->rules);
  talloc_free (fixture);
}

static void
fixture_advance_ms (fixture_t *fixture, int64_t ms)
{
  clock_advance (fixture->clock, timespec_from_ms (ms));
}

/* Report the current step of the group from all ranks.  SLOW_RANK, unless it
   is RANKS, reports a slowdown.  */
static void
fixture_report (fixture_t *fixture, unsigned slow_rank)
{
  for (unsigned i = 0; i < RANKS; i++)
    {
      char address[24];
      fleet_report_t rank_report = { .group = "g",
                                     .epoch = 1,
                                     .is_open = true,
                                     .step = fixture->step,
                                     .running = 1,
                                     .slowdown = i == slow_rank ? 4 : 1 };

      if (i == fixture->silent_rank)
        continue;
      snprintf (address, sizeof address, "10.0.0.%u:80", i);
      fleet_record_report (fixture->fleet, address, &rank_report);
    }
}

/* Advance time by MS; the group takes a step every STEP_INTERVAL_MS and
   reports periodically.  */
static void
fixture_step_group (fixture_t *fixture, int64_t ms, int64_t step_interval_ms)
{
  for (int64_t elapsed_ms = 0; elapsed_ms < ms; elapsed_ms += STEP_MS)
    {
      fixture_advance_ms (fixture, STEP_MS);
      if (elapsed_ms % step_interval_ms == 0)
        fixture->step++;
      if (elapsed_ms % REPORT_MS == 0)
        fixture_report (fixture, RANKS);
    }
}

static fleet_shortage_t
fixture_choose (fixture_t *fixture, char *id, size_t size, const char *tried)
{
  fleet_request_t request = { .service = "model",
                              .route = fixture->route,
                              .work = { .zone = "a", .prompt_tokens = 100 } };
  TALLOC_CTX *ctx = talloc_new (fixture);
  fleet_choice_t choice = { 0 };
  fleet_shortage_t shortage;

  if (tried != NULL)
    request.tried[request.tried_count++] = tried;
  shortage = fleet_choose (fixture->fleet, ctx, &request, &choice);
  snprintf (id, size, "%s", choice.upstream == NULL ? "" : choice.upstream);
  talloc_free (ctx);
  return shortage;
}

static unsigned
fixture_count_chosen (fixture_t *fixture, unsigned tries,
                      const char *expected_id)
{
  unsigned count = 0;
  char id[8];

  for (unsigned i = 0; i < tries; i++)
    {
      if (fixture_choose (fixture, id, sizeof id, NULL) == FLEET_NO_SHORTAGE)
        count += expected_id == NULL || strcmp (id, expected_id) == 0;
    }
  return count;
}

static void
test_requests_spread_and_skip_tried_upstreams (void **state)
{
  fixture_t *fixture = fixture_create (0);
  char id[8];

  (void)state;
  for (unsigned i = 0; i < RANKS; i++)
    assert_in_range (fixture_count_chosen (fixture, RANKS, "u2"), 0, 2);
  for (unsigned i = 0; i < 20; i++)
    {
      assert_int_equal (fixture_choose (fixture, id, sizeof id, "u1"),
                        FLEET_NO_SHORTAGE);
      assert_string_not_equal (id, "u1");
    }
  fixture_destroy (fixture);
}

static void
test_zone_out_gets_no_requests (void **state)
{
  fixture_t *fixture = fixture_create (0);

  (void)state;
  fleet_set_zone_out (fixture->fleet, "a", true);
  assert_int_equal (fixture_count_chosen (fixture, 20, "u0")
                        + fixture_count_chosen (fixture, 20, "u2"),
                    0);
  fleet_set_zone_out (fixture->fleet, "b", true);
  assert_int_equal (fixture_count_chosen (fixture, 20, NULL), 0);
  /* Its upstreams start cold when the zone is back.  */
  fleet_set_zone_out (fixture->fleet, "a", false);
  assert_int_equal (fixture_count_chosen (fixture, 20, NULL), 0);
  fixture_advance_ms (fixture, 20000);
  assert_int_equal (fixture_count_chosen (fixture, 20, NULL), 20);
  assert_int_equal (fixture_count_chosen (fixture, 20, "u1"), 0);
  fixture_destroy (fixture);
}

/* A relay's share counted the free capacity of upstreams that it may not use.
   With a zone out of service, all relays together then sent far more than the
   other zones could run, and requests waited in the engines' queues.  */
static void
test_share_counts_usable_upstreams_only (void **state)
{
  /* Of the slots and the queue of the two upstreams in zone a, for each of two
     relays, rounded up.  */
  static const unsigned share_max = 2 * (SLOTS + 1 - 1) / 2 + 1;
  fixture_t *fixture = fixture_create (0);
  rate_share_t share = { .relays = 2 };

  (void)state;
  fleet_set_share (fixture->fleet, &share);
  fixture_step_group (fixture, REPORT_MS, STEP_MS);
  fleet_set_zone_out (fixture->fleet, "b", true);
  assert_in_range (fixture_count_chosen (fixture, RANKS * SLOTS, NULL),
                   share_max - 2, share_max);
  fixture_destroy (fixture);
}

/* Return how many requests of URGENCY are sent before there is no capacity for
   another one.  */
static unsigned
fixture_fill (fixture_t *fixture, unsigned urgency, bool is_guaranteed)
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
  fixture_t *fixture = fixture_create (0);
  fleet_request_t request = { .service = "model",
                              .route = fixture->route,
                              .work = { .zone = "a" } };
  TALLOC_CTX *ctx = talloc_new (fixture);
  fleet_choice_t choice;

  (void)state;
  fixture_step_group (fixture, REPORT_MS, STEP_MS);
  for (unsigned i = 0; i < RANKS * SLOTS * 2; i++)
    {
      fixture_advance_ms (fixture, 10);
      assert_int_equal (fleet_choose (fixture->fleet, ctx, &request, &choice),
                        FLEET_NO_SHORTAGE);
      fixture_advance_ms (fixture, 5);
      fleet_release (fixture->fleet, choice.upstream, &request.work,
                     FLEET_SERVED, 5);
    }
  talloc_free (ctx);
  fixture_destroy (fixture);
}

/* A burst of less urgent requests took all places, and urgent ones that came a
   moment later waited until one of them had ended.  */
static void
test_capacity_is_reserved_for_urgent_requests (void **state)
{
  enum
  {
    URGENT_PER_SECOND = 50,
    IDLE_PLACES = RANKS * (SLOTS - 1), /* one request runs at each rank */
    QUEUE_PLACES = RANKS
  };
  fixture_t *fixture = fixture_create (0);
  unsigned patient;

  (void)state;
  for (unsigned i = 0; i < URGENT_PER_SECOND * 2; i++)
    {
      fleet_count_request (fixture->fleet, "model", 0);
      fleet_count_request (fixture->fleet, "model", 3);
      fixture_advance_ms (fixture, 1000 / URGENT_PER_SECOND);
    }
  fixture_step_group (fixture, REPORT_MS, STEP_MS);
  patient = fixture_fill (fixture, 3, false);
  assert_in_range (patient, IDLE_PLACES / 2, IDLE_PLACES - 5);
  assert_in_range (fixture_fill (fixture, 0, false),
                   IDLE_PLACES - patient + QUEUE_PLACES - 1,
                   IDLE_PLACES - patient + QUEUE_PLACES + 1);
  fixture_destroy (fixture);
}

/* However many urgent requests arrive, the less urgent keep a part of the
   capacity; it is all theirs when the urgent ones stay away.  */
static void
test_reserve_is_bounded_and_ends (void **state)
{
  enum
  {
    PLACES = RANKS * (SLOTS - 1)
  };
  fixture_t *fixture = fixture_create (0);

  (void)state;
  for (unsigned i = 0; i < 1000; i++)
    fleet_count_request (fixture->fleet, "model", 0);
  fleet_count_request (fixture->fleet, "model", 3);
  fixture_step_group (fixture, REPORT_MS, STEP_MS);
  assert_in_range (fixture_fill (fixture, 3, false), PLACES / 8,
                   PLACES / 8 + 1);
  fixture_step_group (fixture, REPORT_MS, STEP_MS);
  assert_in_range (fixture_fill (fixture, 3, true), PLACES,
                   PLACES + RANKS + 1);
  fixture_step_group (fixture, 20000, STEP_MS);
  assert_in_range (fixture_fill (fixture, 3, false), PLACES,
                   PLACES + RANKS + 1);
  fixture_destroy (fixture);
}

/* The cold start rate of an upstream is shared by the relays: all of them
   together must stay within it, however many requests arrive.  */
static void
test_cold_upstreams_get_share_of_one_relay (void **state)
{
  fixture_t *fixture = fixture_create (10000);
  unsigned in_second;

  (void)state;
  fleet_set_share (fixture->fleet, &(rate_share_t){ .relays = 2 });
  fixture_advance_ms (fixture, 1000);
  fixture_count_chosen (fixture, 100, NULL);
  for (unsigned second = 0; second < 4; second++)
    {
      in_second = 0;
      for (unsigned i = 0; i < 10; i++)
        {
          fixture_advance_ms (fixture, 100);
          in_second += fixture_count_chosen (fixture, 20, NULL);
        }
      /* 8 per second for each of 4 upstreams, halved for one of two
         relays.  */
      assert_in_range (in_second, 4, 8 * RANKS / 2);
    }
  fixture_advance_ms (fixture, 10000);
  assert_int_equal (fixture_count_chosen (fixture, 100, NULL), 100);
  fixture_destroy (fixture);
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
  fixture_t *relays[RELAYS];
  unsigned used = 0;
  unsigned sent[4 * TICKS_PER_S] = { 0 };

  (void)state;
  for (unsigned i = 0; i < RELAYS; i++)
    {
      relays[i] = fixture_create_with_seed (20000, i + 1);
      fleet_set_share (relays[i]->fleet,
                       &(rate_share_t){ .relays = RELAYS, .position = i });
    }
  for (unsigned tick = 0; tick < 4 * TICKS_PER_S; tick++)
    {
      for (unsigned i = 0; i < RELAYS; i++)
        {
          fixture_advance_ms (relays[i],
                              tick == 2 * TICKS_PER_S ? IDLE_MS : TICK_MS);
          sent[tick] += fixture_count_chosen (relays[i], RANKS, NULL);
        }
      used += tick < TICKS_PER_S ? sent[tick] : 0;
    }
  assert_in_range (used, RATE * RANKS / 2, RATE * RANKS * 3 / 2);
  for (unsigned start = 0; start + TICKS_PER_S <= 4 * TICKS_PER_S; start++)
    {
      unsigned in_second = 0;

      for (unsigned i = 0; i < TICKS_PER_S; i++)
        in_second += sent[start + i];
      assert_in_range (in_second, 0, RATE * RANKS * 3 / 2 + RANKS);
    }
  for (unsigned i = 0; i < RELAYS; i++)
    fixture_destroy (relays[i]);
}

static void
test_unreachable_upstream_is_ejected_temporarily (void **state)
{
  fixture_t *fixture = fixture_create (0);
  pick_request_t work = { .zone = "a", .prompt_tokens = 100 };

  (void)state;
  while (fixture_count_chosen (fixture, 1, "u1") == 0)
    continue;
  fleet_release (fixture->fleet, "u1", &work, FLEET_UNREACHABLE, 5);
  assert_int_equal (fixture_count_chosen (fixture, 40, "u1"), 0);
  fixture_advance_ms (fixture, 5000);
  assert_in_range (fixture_count_chosen (fixture, 40, "u1"), 1, 40);
  fixture_destroy (fixture);
}

static void
test_slow_rank_gets_nothing_while_others_have_capacity (void **state)
{
  fixture_t *fixture = fixture_create (0);

  (void)state;
  fixture_step_group (fixture, 1000, STEP_MS);
  fixture_report (fixture, 3);
  assert_int_equal (fixture_count_chosen (fixture, 6, "u3"), 0);
  fixture_destroy (fixture);
}

/* A frozen machine takes connections and answers nothing: with its pilot
   silent its upstream seemed to have room, and got more requests than others.
 */
static void
test_silent_rank_gets_nothing_while_others_have_capacity (void **state)
{
  fixture_t *fixture = fixture_create (0);

  (void)state;
  fixture_step_group (fixture, 1000, STEP_MS);
  fixture->silent_rank = 3;
  fixture_step_group (fixture, SILENCE_MS, STEP_MS);
  assert_int_equal (fixture_count_chosen (fixture, 6, "u3"), 0);
  fixture_destroy (fixture);
}

static void
test_stalled_group_gets_no_requests (void **state)
{
  fixture_t *fixture = fixture_create (0);
  char id[8];

  (void)state;
  fixture_step_group (fixture, 1000, STEP_MS);
  for (unsigned i = 0; i < 10; i++)
    {
      fixture_advance_ms (fixture, REPORT_MS);
      fixture_report (fixture, RANKS);
    }
  assert_int_equal (fixture_choose (fixture, id, sizeof id, NULL),
                    FLEET_ALL_STALLED);
  fixture->step++;
  fixture_report (fixture, RANKS);
  assert_int_equal (fixture_choose (fixture, id, sizeof id, NULL),
                    FLEET_NO_SHORTAGE);
  fixture_destroy (fixture);
}

/* A stream without events hangs if its group takes many steps meanwhile.  If
   the group takes few steps, the steps are slow and the stream does not
   hang.  */
/* Where no group can form, each request was held for its whole queue time
   although nothing could serve it.  */
static void
test_lost_group_is_known (void **state)
{
  fixture_t *fixture = fixture_create (0);
  fleet_report_t report = { .group = "g", .epoch = 1, .slowdown = 1 };
  char address[24];
  char id[8];

  (void)state;
  for (int64_t ms = 0; ms < (int64_t)2 * FLEET_MAX_QUEUE_MS; ms += REPORT_MS)
    {
      for (unsigned i = 0; i < RANKS; i++)
        {
          snprintf (address, sizeof address, "10.0.0.%u:80", i);
          fleet_record_report (fixture->fleet, address, &report);
        }
      assert_int_equal (fixture_choose (fixture, id, sizeof id, NULL),
                        ms <= FLEET_MAX_QUEUE_MS ? FLEET_ALL_STALLED
                                                 : FLEET_NO_GROUP);
      fixture_advance_ms (fixture, REPORT_MS);
    }
  fixture_step_group (fixture, REPORT_MS, STEP_MS);
  assert_int_equal (fixture_choose (fixture, id, sizeof id, NULL),
                    FLEET_NO_SHORTAGE);
  fixture_destroy (fixture);
}

/* Keep the group of FIXTURE, which takes 2 s to form, closed and return after
   how long requests for it are refused.  URGENCIES differ in urgency.  */
static int64_t
time_until_group_is_lost (fixture_t *fixture, unsigned urgencies)
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
      for (unsigned i = 1; i < RANKS; i++)
        {
          snprintf (id, sizeof id, "u%u", i);
          fleet_remove_upstream (fixture->fleet, id);
        }
      if (fixture_choose (fixture, id, sizeof id, NULL) == FLEET_NO_GROUP)
        return elapsed_ms;
      fixture_advance_ms (fixture, REPORT_MS);
      elapsed_ms += REPORT_MS;
    }
}

/* Requests of several classes were held for 1.6 s after a group should have
   formed, and then came before those that can still be on time.  Those of one
   class wait for as long as before.  */
static void
test_group_is_lost_sooner_with_classes (void **state)
{
  fixture_t *alike = fixture_create (0);
  fixture_t *differing = fixture_create (0);

  (void)state;
  assert_in_range (time_until_group_is_lost (alike, 1),
                   FORM_MS + FLEET_MAX_QUEUE_MS,
                   FORM_MS + FLEET_MAX_QUEUE_MS + REPORT_MS);
  assert_in_range (time_until_group_is_lost (differing, 2), FORM_MS,
                   FORM_MS + (int64_t)4 * REPORT_MS);
  fixture_destroy (alike);
  fixture_destroy (differing);
}

/* Let the group of FIXTURE, whose responses take RESPONSE_MS, open with nine
   of ten slots in use at each rank, and return after how long a late request
   is sent to it; -1 if none is.  URGENCIES differ in urgency.  */
static int64_t
time_until_late_is_sent (fixture_t *fixture, unsigned urgencies)
{
  fleet_report_t report = { .group = "g",
                            .epoch = 1,
                            .is_open = true,
                            .running = SLOTS - 1,
                            .slowdown = 1 };
  service_rule_t *service = STAILQ_FIRST (&fixture->rules->services);
  fleet_request_t late = { .service = "model",
                           .route = fixture->route,
                           .is_late = true,
                           .work = { .zone = "a" } };
  fleet_choice_t choice;

  service->has_engine = true;
  service->engine = (engine_profile_t){ .token_steps_per_pass = 1,
                                        .step_ms = STEP_MS,
                                        .prompt_tokens_per_ms = 1,
                                        .typical_response_tokens
                                        = (double)RESPONSE_MS / STEP_MS };
  fleet_configure (fixture->fleet, fixture->rules);
  for (int64_t ms = 0; ms < (int64_t)3 * RESPONSE_MS; ms += REPORT_MS)
    {
      for (unsigned urgency = 0; urgency < urgencies; urgency++)
        fleet_count_request (fixture->fleet, "model", urgency);
      report.step += REPORT_MS / STEP_MS;
      for (unsigned i = 0; i < RANKS; i++)
        {
          char address[24];

          snprintf (address, sizeof address, "10.0.0.%u:80", i);
          fleet_record_report (fixture->fleet, address, &report);
        }
      if (fleet_choose (fixture->fleet, fixture, &late, &choice)
          == FLEET_NO_SHORTAGE)
        return ms;
      fixture_advance_ms (fixture, REPORT_MS);
    }
  return -1;
}

/* When a group had opened, late requests of all classes took all its places,
   and those that arrived until these ended were late as well.  Those of one
   class have only a part of the places, as before.  */
static void
test_late_requests_do_not_fill_a_group (void **state)
{
  fixture_t *alike = fixture_create (0);
  fixture_t *differing = fixture_create (0);

  (void)state;
  assert_in_range (time_until_late_is_sent (differing, 2), RESPONSE_MS,
                   (int64_t)2 * RESPONSE_MS);
  assert_int_equal (time_until_late_is_sent (alike, 1), -1);
  fixture_destroy (alike);
  fixture_destroy (differing);
}

static void
test_expected_silence_depends_on_group_steps (void **state)
{
  fixture_t *fixture = fixture_create (0);
  struct timespec last_received_at;

  (void)state;
  fixture_step_group (fixture, 2000, STEP_MS);
  last_received_at = clock_monotonic (fixture->clock);
  fixture_step_group (fixture, 1000, STEP_MS);
  assert_false (
      fleet_is_silence_expected (fixture->fleet, "u1", last_received_at));

  fixture_step_group (fixture, 2000, 500);
  last_received_at = clock_monotonic (fixture->clock);
  fixture_step_group (fixture, 1000, 500);
  assert_true (
      fleet_is_silence_expected (fixture->fleet, "u1", last_received_at));
  fixture_step_group (fixture, 3000, 500);
  assert_false (
      fleet_is_silence_expected (fixture->fleet, "u1", last_received_at));
  fixture_destroy (fixture);
}

/* List the upstream u0 as ready, in its run that started at STARTED_MS.  */
static void
list_run (fixture_t *fixture, int64_t started_ms, int64_t heartbeat)
{
  upstream_listing_t listing = { .id = "u0",
                                 .service = "model",
                                 .address = "10.0.0.0:80",
                                 .zone = "a",
                                 .slots = SLOTS,
                                 .started_ms = started_ms,
                                 .heartbeat = heartbeat };

  fleet_update_upstream (fixture->fleet, &listing);
}

/* Have all upstreams but u0 tried already, so that u0 is chosen or none.  */
static fleet_shortage_t
choose_run (fixture_t *fixture)
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
notice_run (fixture_t *fixture, int64_t started_ms,
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
  fixture_t *fixture = fixture_create (0);

  (void)state;
  list_run (fixture, 1000, 5);
  assert_int_equal (choose_run (fixture), FLEET_NO_SHORTAGE);
  notice_run (fixture, 1000, &pause);
  fleet_remove_upstream (fixture->fleet, "u0");
  list_run (fixture, 1000, 6);
  assert_int_equal (choose_run (fixture), FLEET_ALL_PAUSED);
  fixture_advance_ms (fixture, 5000);
  assert_int_equal (choose_run (fixture), FLEET_NO_SHORTAGE);
  notice_run (fixture, 1000, &leaving);
  fleet_remove_upstream (fixture->fleet, "u0");
  list_run (fixture, 1000, 7);
  assert_int_equal (choose_run (fixture), FLEET_NO_ALLOWED_UPSTREAM);
  list_run (fixture, 2000, 1);
  assert_int_equal (choose_run (fixture), FLEET_NO_SHORTAGE);
  fixture_destroy (fixture);
}

/* A policy that is not known must not replace the one in use, without which
   the next choice would fail.  */
static void
test_policy_of_a_service_is_set (void **state)
{
  fixture_t *fixture = fixture_create (0);
  fleet_request_t request = { .service = "model", .route = fixture->route };
  fleet_choice_t choice;

  (void)state;
  assert_true (fleet_set_policy (fixture->fleet, "model", "round-robin"));
  assert_false (fleet_set_policy (fixture->fleet, "model", "unknown"));
  assert_false (fleet_set_policy (fixture->fleet, "other", "round-robin"));
  assert_int_equal (fleet_choose (fixture->fleet, fixture, &request, &choice),
                    FLEET_NO_SHORTAGE);
  assert_string_equal (choice.reason, "round-robin");
  fixture_destroy (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_policy_of_a_service_is_set),
    cmocka_unit_test (test_requests_spread_and_skip_tried_upstreams),
    cmocka_unit_test (test_zone_out_gets_no_requests),
    cmocka_unit_test (test_share_counts_usable_upstreams_only),
    cmocka_unit_test (test_ended_requests_free_their_places),
    cmocka_unit_test (test_capacity_is_reserved_for_urgent_requests),
    cmocka_unit_test (test_reserve_is_bounded_and_ends),
    cmocka_unit_test (test_cold_upstreams_get_share_of_one_relay),
    cmocka_unit_test (test_cold_upstreams_are_used_by_many_relays),
    cmocka_unit_test (test_unreachable_upstream_is_ejected_temporarily),
    cmocka_unit_test (test_slow_rank_gets_nothing_while_others_have_capacity),
    cmocka_unit_test (
        test_silent_rank_gets_nothing_while_others_have_capacity),
    cmocka_unit_test (test_stalled_group_gets_no_requests),
    cmocka_unit_test (test_lost_group_is_known),
    cmocka_unit_test (test_group_is_lost_sooner_with_classes),
    cmocka_unit_test (test_late_requests_do_not_fill_a_group),
    cmocka_unit_test (test_expected_silence_depends_on_group_steps),
    cmocka_unit_test (test_notices_hold_when_a_run_is_listed_again),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
