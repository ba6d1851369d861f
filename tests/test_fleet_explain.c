/* Explaining where a request would be sent.  An explanation that used up
   tokens, random numbers or what was learned would change the requests that it
   is asked about, and one that had rules of its own would be wrong.  */

#include "relay/client_timeouts.h"
#include "relay/fleet_explanation.h"
#include "relay/request_queue.h"

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
  UPSTREAMS = 12,
  SLOTS = 4,
  RELAYS = 3,
  ROUNDS = 600,
  ROUND_MS = 17,
  REPORT_ROUNDS = 6,    /* between two reports */
  LONG_PROMPT = 100000, /* tokens */
  EXPLAINED_TWICE = 2
};

/* A relay's view of a service with an engine, and one of a service without. */
typedef struct fixture
{
  clock_source_t *clock;
  rules_t *rules;
  route_t *stream;
  route_t *plain;
  rate_limits_t *limits;
  fleet_t *fleet;
} fixture_t;

static void
fixture_put (fixture_t *fixture, unsigned number, bool is_draining)
{
  char id[8];
  char address[24];
  upstream_listing_t listing
      = { .id = id,
          .service = number % 2 == 0 ? "model" : "app",
          .address = address,
          .zone = number % 3 == 0 ? "b" : "a",
          .started_ms = 1,
          .slots = SLOTS,
          .heartbeat = is_draining,
          .is_draining = is_draining,
          /* Some are in cold start.  */
          .cold_start_remaining = timespec_from_ms (number < 4 ? 5000 : 0) };

  snprintf (id, sizeof id, "u%u", number);
  snprintf (address, sizeof address, "10.0.0.%u:80", number);
  fleet_update_upstream (fixture->fleet, &listing);
}

static void
fixture_add_service (fixture_t *fixture, const char *name, bool has_engine)
{
  service_rule_t *rule = rules_add_service (fixture->rules, name);

  rule->cold_time = timespec_from_ms (5000);
  rule->cold_rate = 20;
  rule->has_engine = has_engine;
  rule->engine = (engine_profile_t){ .token_steps_per_pass = 5,
                                     .step_ms = 5,
                                     .slots = SLOTS,
                                     .request_step_ms = 0.3,
                                     .prompt_tokens_per_ms = 60,
                                     .typical_response_tokens = 100 };
}

static fixture_t *
fixture_create (void)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);

  fixture->clock
      = clock_create_virtual (fixture, (struct timespec){ .tv_sec = 100 });
  fixture->rules = rules_create (1);
  fixture->stream = rules_add_route (fixture->rules, "chat", "host", "/chat/");
  route_add_target (fixture->stream, "model", 1);
  fixture->plain = rules_add_route (fixture->rules, "look", "host", "/look/");
  route_add_target (fixture->plain, "app", 1);
  fixture_add_service (fixture, "model", true);
  fixture_add_service (fixture, "app", false);
  rules_finish (fixture->rules);
  fixture->limits = rate_limits_create (fixture, fixture->clock);
  fixture->fleet = fleet_create (fixture, "a", fixture->clock, 7);
  fleet_set_rate_limits (fixture->fleet, fixture->limits);
  fleet_set_share (fixture->fleet, &(rate_share_t){ .relays = RELAYS });
  fleet_add_zone (fixture->fleet, "a", "south");
  fleet_add_zone (fixture->fleet, "b", "south");
  fleet_configure (fixture->fleet, fixture->rules);
  for (unsigned i = 0; i < UPSTREAMS; i++)
    fixture_put (fixture, i, false);
  rate_limits_record (fixture->limits, fleet_incarnation ("u5", 1), 10);
  return fixture;
}

static void
fixture_destroy (fixture_t *fixture)
{
  fleet_destroy (fixture->fleet);
  rules_release (fixture->rules);
  talloc_free (fixture);
}

static void
fixture_report (fixture_t *fixture, unsigned number, uint64_t running,
                bool is_open)
{
  char address[24];
  fleet_report_t report = { .group = "g",
                            .epoch = 1,
                            .is_open = is_open,
                            .step = 1,
                            .running = running,
                            .slowdown = 1 };

  snprintf (address, sizeof address, "10.0.0.%u:80", number);
  fleet_record_report (fixture->fleet, address, &report);
}

/* Return a request whose properties depend on ROUND.  */
static fleet_request_t
fixture_request (const fixture_t *fixture, unsigned round)
{
  bool is_plain = round % 3 == 0;

  return (fleet_request_t){ .service = is_plain ? "app" : "model",
                            .route
                            = is_plain ? fixture->plain : fixture->stream,
                            .urgency = round % 2,
                            .is_late = round % 5 == 0,
                            .work = { .prompt_tokens = 100ULL * (round % 7),
                                      .output_tokens = 1000,
                                      .zone = "a" },
                            .hinted_tokens = 10ULL * (round % 11) };
}

static void
assert_same_capacity (const capacity_explanation_t *first,
                      const capacity_explanation_t *second)
{
  assert_int_equal (first->is_known, second->is_known);
  assert_true (first->free == second->free);
  assert_true (first->share == second->share);
  assert_true (first->sent == second->sent);
}

static void
assert_same_upstream (const upstream_explanation_t *first,
                      const upstream_explanation_t *second)
{
  assert_string_equal (first->id, second->id);
  assert_string_equal (first->zone, second->zone);
  assert_string_equal (first->group, second->group);
  assert_int_equal (first->obstacle, second->obstacle);
  assert_int_equal (first->preference, second->preference);
  assert_same_capacity (&first->capacity, &second->capacity);
  assert_int_equal (first->outstanding_requests, second->outstanding_requests);
  assert_int_equal (first->backlog_us, second->backlog_us);
  assert_int_equal (first->report_age_ms, second->report_age_ms);
}

static void
assert_same (const fleet_explanation_t *first,
             const fleet_explanation_t *second)
{
  assert_int_equal (first->shortage, second->shortage);
  assert_int_equal (first->upstream == NULL, second->upstream == NULL);
  if (first->upstream != NULL)
    assert_string_equal (first->upstream, second->upstream);
  assert_int_equal (first->candidates, second->candidates);
  assert_int_equal (first->work_us, second->work_us);
  assert_same_capacity (&first->total, &second->total);
  assert_true (first->reserve == second->reserve);
  assert_int_equal (first->upstream_count, second->upstream_count);
  for (unsigned i = 0; i < first->upstream_count; i++)
    assert_same_upstream (&first->upstreams[i], &second->upstreams[i]);
}

/* Explain REQUEST twice, and assert that both are the same.  */
static fleet_explanation_t
fixture_explain (fixture_t *fixture, TALLOC_CTX *parent,
                 const fleet_request_t *request)
{
  fleet_explanation_t explanations[EXPLAINED_TWICE];

  for (unsigned i = 0; i < EXPLAINED_TWICE; i++)
    assert_true (
        fleet_explain (fixture->fleet, parent, request, &explanations[i]));
  assert_same (&explanations[0], &explanations[1]);
  return explanations[0];
}

/* Send the request of ROUND, whose response arrives at once if it is a short
   one.  Returns the upstream, or NULL.  */
static const char *
fixture_send (fixture_t *fixture, TALLOC_CTX *parent, unsigned round,
              fleet_shortage_t *shortage)
{
  fleet_request_t request = fixture_request (fixture, round);
  fleet_choice_t choice;

  fleet_count_request (fixture->fleet, request.service, request.urgency);
  *shortage = fleet_choose (fixture->fleet, parent, &request, &choice);
  if (*shortage != FLEET_NO_SHORTAGE)
    return NULL;
  if (round % 4 != 0)
    {
      fleet_record_events (fixture->fleet, &choice, round % 30);
      fleet_finish_work (fixture->fleet, &choice, FLEET_SERVED, ROUND_MS);
      fleet_release (fixture->fleet, choice.upstream, &request.work,
                     FLEET_SERVED, ROUND_MS);
    }
  return choice.upstream;
}

/* Explain requests that are never made, at a time when none is: long ones, of
   which the mean must not be learned.  */
static void
fixture_ask_in_vain (fixture_t *fixture, unsigned round)
{
  fleet_request_t request = fixture_request (fixture, round);
  TALLOC_CTX *context = talloc_new (NULL);

  request.work.prompt_tokens = LONG_PROMPT;
  request.hinted_tokens = request.work.output_tokens;
  fixture_explain (fixture, context, &request);
  talloc_free (context);
}

/* Let the time of a round pass, with reports now and then.  If IS_ASKED,
   explanations are asked for meanwhile.  */
static void
fixture_advance (fixture_t *fixture, unsigned round, bool is_asked)
{
  clock_advance (fixture->clock, timespec_from_ms (ROUND_MS / 2));
  if (is_asked)
    fixture_ask_in_vain (fixture, round);
  clock_advance (fixture->clock, timespec_from_ms (ROUND_MS - ROUND_MS / 2));
  if (round % REPORT_ROUNDS != 0)
    return;
  for (unsigned i = 0; i < UPSTREAMS; i += 2)
    fixture_report (fixture, i, (round + i) % (SLOTS + 2), true);
}

/* Of two relays with the same requests and reports, one explains each request
   before it chooses.  It must have said what it then does, and do the same as
   the other one.  */
static void
test_explanation_is_right_and_changes_nothing (void **state)
{
  fixture_t *asked = fixture_create ();
  fixture_t *other = fixture_create ();
  unsigned sent = 0;

  (void)state;
  for (unsigned round = 0; round < ROUNDS; round++)
    {
      TALLOC_CTX *context = talloc_new (NULL);
      fleet_request_t request = fixture_request (asked, round);
      fleet_shortage_t asked_shortage;
      fleet_shortage_t other_shortage;
      fleet_explanation_t explanation;
      const char *asked_upstream;
      const char *other_upstream;

      fixture_advance (asked, round, true);
      fixture_advance (other, round, false);
      fleet_count_request (asked->fleet, request.service, request.urgency);
      fleet_count_request (other->fleet, request.service, request.urgency);
      explanation = fixture_explain (asked, context, &request);
      asked_upstream = fixture_send (asked, context, round, &asked_shortage);
      other_upstream = fixture_send (other, context, round, &other_shortage);
      assert_int_equal (explanation.shortage, asked_shortage);
      assert_int_equal (other_shortage, asked_shortage);
      if (asked_upstream != NULL)
        {
          assert_string_equal (explanation.upstream, asked_upstream);
          assert_string_equal (other_upstream, asked_upstream);
          sent++;
        }
      talloc_free (context);
    }
  assert_in_range (sent, ROUNDS / 4, ROUNDS - 1);
  fixture_destroy (asked);
  fixture_destroy (other);
}

static fleet_obstacle_t
obstacle_of (const fleet_explanation_t *explanation, const char *id)
{
  for (unsigned i = 0; i < explanation->upstream_count; i++)
    {
      if (strcmp (explanation->upstreams[i].id, id) == 0)
        return explanation->upstreams[i].obstacle;
    }
  return OBSTACLE_COUNT;
}

/* An operator must see each upstream of the service with its own obstacle.  */
static void
test_obstacles (void **state)
{
  fixture_t *fixture = fixture_create ();
  fleet_request_t request = fixture_request (fixture, 1);
  fleet_explanation_t explanation;

  (void)state;
  fixture_report (fixture, 8, SLOTS + 2, true);
  fixture_report (fixture, 10, 0, true);
  fixture_put (fixture, 4, true);
  fleet_set_zone_out (fixture->fleet, "b", true);
  explanation = fixture_explain (fixture, fixture, &request);
  assert_int_equal (explanation.upstream_count, UPSTREAMS / 2);
  assert_int_equal (obstacle_of (&explanation, "u0"), OBSTACLE_ZONE_OUT);
  assert_int_equal (obstacle_of (&explanation, "u2"), OBSTACLE_COLD);
  assert_int_equal (obstacle_of (&explanation, "u4"), OBSTACLE_DRAINING);
  assert_int_equal (obstacle_of (&explanation, "u6"), OBSTACLE_ZONE_OUT);
  assert_int_equal (obstacle_of (&explanation, "u8"), OBSTACLE_FULL);
  assert_int_equal (obstacle_of (&explanation, "u10"), OBSTACLE_NONE);
  assert_string_equal (explanation.upstream, "u10");
  fixture_report (fixture, 10, 0, false);
  explanation = fixture_explain (fixture, fixture, &request);
  assert_int_equal (explanation.shortage, FLEET_ALL_STALLED);
  assert_null (explanation.upstream);
  assert_int_equal (obstacle_of (&explanation, "u10"), OBSTACLE_STALLED);
  fixture_destroy (fixture);
}

/* A service that no rule and no listing names has no upstreams to explain.  */
static void
test_unknown_service (void **state)
{
  fixture_t *fixture = fixture_create ();
  fleet_request_t request = fixture_request (fixture, 1);
  fleet_explanation_t explanation;

  (void)state;
  request.service = "none";
  explanation = fixture_explain (fixture, fixture, &request);
  assert_int_equal (explanation.shortage, FLEET_NO_UPSTREAM);
  assert_int_equal (explanation.upstream_count, 0);
  fixture_destroy (fixture);
}

/* The time that a client has waited is told as a request's would be, but must
   not be learned from.  */
static void
test_client_timeouts_are_not_learned (void **state)
{
  client_timeouts_t *timeouts = client_timeouts_create (NULL);
  struct timespec limit = timespec_from_ms (8000);
  struct timespec rest = timespec_from_ms (5000);
  int64_t waited_ms;

  (void)state;
  assert_int_equal (
      timespec_to_ms (client_timeouts_waited (timeouts, "a", limit, rest)), 0);
  for (unsigned i = 0; i < 2; i++)
    client_timeouts_record (timeouts, "a", limit, limit);
  waited_ms
      = timespec_to_ms (client_timeouts_waited (timeouts, "a", limit, rest));
  for (unsigned i = 0; i < ROUNDS; i++)
    assert_int_equal (
        timespec_to_ms (client_timeouts_waited (timeouts, "a", limit, rest)),
        waited_ms);
  assert_in_range (waited_ms, 2900, 3000);
  assert_int_equal (
      timespec_to_ms (client_timeouts_record (timeouts, "a", limit, rest)),
      waited_ms);
  client_timeouts_destroy (timeouts);
}

/* The position in the queue follows the order in which requests are tried: by
   urgency, then those on time before late ones.  */
static void
test_position_in_queue (void **state)
{
  static const struct timespec now = { .tv_sec = 10 };
  request_queue_t *queue = request_queue_create (NULL);
  queued_request_t requests[] = {
    { .service = "a", .urgency = 0, .late_from = { .tv_sec = 5 } },
    { .service = "a", .urgency = 1, .late_from = { .tv_sec = 5 } },
    { .service = "a", .urgency = 1, .late_from = { .tv_sec = 15 } },
    { .service = "a", .urgency = 2, .late_from = { .tv_sec = 15 } },
    { .service = "b", .urgency = 1, .late_from = { .tv_sec = 15 } },
  };
  unsigned count = sizeof requests / sizeof requests[0];

  (void)state;
  for (unsigned i = 0; i < count; i++)
    assert_true (request_queue_add (queue, &requests[i], now));
  assert_int_equal (request_queue_count_before (queue, "a", 0, 1, false, now),
                    1);
  assert_int_equal (request_queue_count_before (queue, "a", 1, 1, false, now),
                    1);
  assert_int_equal (request_queue_count_before (queue, "a", 1, 1, true, now),
                    2);
  assert_int_equal (request_queue_count_before (queue, "a", 2, 1, true, now),
                    0);
  for (unsigned i = 0; i < count; i++)
    request_queue_remove (&requests[i]);
  request_queue_destroy (queue);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_explanation_is_right_and_changes_nothing),
    cmocka_unit_test (test_obstacles),
    cmocka_unit_test (test_unknown_service),
    cmocka_unit_test (test_client_timeouts_are_not_learned),
    cmocka_unit_test (test_position_in_queue),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
