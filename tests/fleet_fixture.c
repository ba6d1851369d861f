#include "tests/fleet_fixture.h"

#include <stdio.h>
#include <string.h>

static void
fixture_put_upstream (fleet_fixture_t *fixture, unsigned number,
                      int64_t cold_ms)
{
  char id[8];
  char address[24];
  upstream_listing_t listing
      = { .id = id,
          .service = "model",
          .address = address,
          .zone = number % 2 == 0 ? "a" : "b",
          .slots = FLEET_FIXTURE_SLOTS,
          .cold_start_remaining = timespec_from_ms (cold_ms) };

  snprintf (id, sizeof id, "u%u", number);
  snprintf (address, sizeof address, "10.0.0.%u:80", number);
  fleet_update_upstream (fixture->fleet, &listing);
}

/* Create a fleet whose random numbers depend on SEED.  */
fleet_fixture_t *
fleet_fixture_create_with_seed (int64_t cold_ms, uint64_t seed)
{
  fleet_fixture_t *fixture = talloc_zero (NULL, fleet_fixture_t);
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
  fixture->silent_rank = FLEET_FIXTURE_RANKS;
  fleet_add_zone (fixture->fleet, "a", "south");
  fleet_add_zone (fixture->fleet, "b", "south");
  fleet_configure (fixture->fleet, fixture->rules);
  for (unsigned i = 0; i < FLEET_FIXTURE_RANKS; i++)
    fixture_put_upstream (fixture, i, cold_ms);
  return fixture;
}

/* Create a fleet whose upstreams have COLD_MS of their cold start left.  */
fleet_fixture_t *
fleet_fixture_create (int64_t cold_ms)
{
  return fleet_fixture_create_with_seed (cold_ms, 7);
}

/* Free FIXTURE.  */
void
fleet_fixture_destroy (fleet_fixture_t *fixture)
{
  fleet_destroy (fixture->fleet);
  rules_release (fixture->rules);
  talloc_free (fixture);
}

/* Advance time by MS.  */
void
fleet_fixture_advance_ms (fleet_fixture_t *fixture, int64_t ms)
{
  clock_advance (fixture->clock, timespec_from_ms (ms));
}

/* Report the current step of the group from all ranks.  SLOW_RANK, unless it
   is FLEET_FIXTURE_RANKS, reports a slowdown.  */
void
fleet_fixture_report (fleet_fixture_t *fixture, unsigned slow_rank)
{
  for (unsigned i = 0; i < FLEET_FIXTURE_RANKS; i++)
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
void
fleet_fixture_step_group (fleet_fixture_t *fixture, int64_t ms,
                          int64_t step_interval_ms)
{
  for (int64_t elapsed_ms = 0; elapsed_ms < ms;
       elapsed_ms += FLEET_FIXTURE_STEP_MS)
    {
      fleet_fixture_advance_ms (fixture, FLEET_FIXTURE_STEP_MS);
      if (elapsed_ms % step_interval_ms == 0)
        fixture->step++;
      if (elapsed_ms % FLEET_FIXTURE_REPORT_MS == 0)
        fleet_fixture_report (fixture, FLEET_FIXTURE_RANKS);
    }
}

/* Choose an upstream other than TRIED.  */
fleet_shortage_t
fleet_fixture_choose (fleet_fixture_t *fixture, char *id, size_t size,
                      const char *tried)
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

/* Return how many of TRIES choices are EXPECTED_ID, or any if it is NULL.  */
unsigned
fleet_fixture_count_chosen (fleet_fixture_t *fixture, unsigned tries,
                            const char *expected_id)
{
  unsigned count = 0;
  char id[8];

  for (unsigned i = 0; i < tries; i++)
    {
      if (fleet_fixture_choose (fixture, id, sizeof id, NULL)
          == FLEET_NO_SHORTAGE)
        count += expected_id == NULL || strcmp (id, expected_id) == 0;
    }
  return count;
}
