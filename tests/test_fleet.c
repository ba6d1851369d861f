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
  SLOTS = 10
};

/* A fleet of one service, "model", whose upstreams u0 to u3 are in zones a, b,
   a and b, on a clock that the test moves.  */
typedef struct world
{
  clock_source_t *clock;
  rules_t *rules;
  route_t *route;
  fleet_t *fleet;
  uint64_t step;
} world_t;

static void
put_upstream (world_t *world, unsigned number, int64_t cold_ms)
{
  char id[8];
  char address[24];
  upstream_listing_t listing = { .id = id,
                                 .service = "model",
                                 .address = address,
                                 .zone = number % 2 == 0 ? "a" : "b",
                                 .slots = SLOTS,
                                 .cold_left = timespec_from_ms (cold_ms) };

  snprintf (id, sizeof id, "u%u", number);
  snprintf (address, sizeof address, "10.0.0.%u:80", number);
  fleet_update_upstream (world->fleet, &listing);
}

static world_t *
world_create (int64_t cold_ms)
{
  world_t *world = talloc_zero (NULL, world_t);
  service_rule_t *service;

  world->clock
      = clock_create_virtual (world, (struct timespec){ .tv_sec = 100 });
  world->rules = rules_create (1);
  world->route = rules_add_route (world->rules, "chat", "host", "/");
  world->route->kind = ROUTE_STREAM;
  route_add_target (world->route, "model", 1);
  service = rules_add_service (world->rules, "model");
  service->cold_time = timespec_from_ms (10000);
  service->cold_rate = 8;
  rules_finish (world->rules);
  world->fleet = fleet_create (world, "a", world->clock, 7);
  fleet_add_zone (world->fleet, "a", "south");
  fleet_add_zone (world->fleet, "b", "south");
  fleet_configure (world->fleet, world->rules);
  for (unsigned i = 0; i < RANKS; i++)
    put_upstream (world, i, cold_ms);
  return world;
}

static void
world_destroy (world_t *world)
{
  fleet_destroy (world->fleet);
  rules_release (world->rules);
  talloc_free (world);
}

static void
pass_ms (world_t *world, int64_t ms)
{
  clock_advance (world->clock, timespec_from_ms (ms));
}

/* All ranks tell that their group has come to the present step.  */
static void
report (world_t *world, unsigned slow_rank)
{
  for (unsigned i = 0; i < RANKS; i++)
    {
      char address[24];
      fleet_report_t told = { .group = "g",
                              .epoch = 1,
                              .is_open = true,
                              .step = world->step,
                              .running = 1,
                              .pace = i == slow_rank ? 4 : 1 };

      snprintf (address, sizeof address, "10.0.0.%u:80", i);
      fleet_record_report (world->fleet, address, &told);
    }
}

/* Let the group take a step each STEP milliseconds for MS, with reports.  */
static void
let_group_step (world_t *world, int64_t ms, int64_t step)
{
  for (int64_t passed = 0; passed < ms; passed += STEP_MS)
    {
      pass_ms (world, STEP_MS);
      if (passed % step == 0)
        world->step++;
      if (passed % REPORT_MS == 0)
        report (world, RANKS);
    }
}

static fleet_shortage_t
choose (world_t *world, char *id, size_t size, const char *tried)
{
  fleet_request_t request = { .service = "model",
                              .route = world->route,
                              .work = { .zone = "a", .prompt_tokens = 100 } };
  TALLOC_CTX *memory = talloc_new (world);
  fleet_choice_t choice = { 0 };
  fleet_shortage_t shortage;

  if (tried != NULL)
    request.tried[request.tried_count++] = tried;
  shortage = fleet_choose (world->fleet, memory, &request, &choice);
  snprintf (id, size, "%s", choice.upstream == NULL ? "" : choice.upstream);
  talloc_free (memory);
  return shortage;
}

static unsigned
count_chosen (world_t *world, unsigned tries, const char *wanted)
{
  unsigned count = 0;
  char id[8];

  for (unsigned i = 0; i < tries; i++)
    {
      if (choose (world, id, sizeof id, NULL) == FLEET_SHORTAGE_NONE)
        count += wanted == NULL || strcmp (id, wanted) == 0;
    }
  return count;
}

static void
test_work_spreads_and_leaves_out_what_was_tried (void **state)
{
  world_t *world = world_create (0);
  char id[8];

  (void)state;
  for (unsigned i = 0; i < RANKS; i++)
    assert_in_range (count_chosen (world, RANKS, "u2"), 0, 2);
  for (unsigned i = 0; i < 20; i++)
    {
      assert_int_equal (choose (world, id, sizeof id, "u1"),
                        FLEET_SHORTAGE_NONE);
      assert_string_not_equal (id, "u1");
    }
  world_destroy (world);
}

static void
test_zone_out_gets_nothing (void **state)
{
  world_t *world = world_create (0);

  (void)state;
  fleet_set_zone_out (world->fleet, "a", true);
  assert_int_equal (
      count_chosen (world, 20, "u0") + count_chosen (world, 20, "u2"), 0);
  fleet_set_zone_out (world->fleet, "b", true);
  assert_int_equal (count_chosen (world, 20, NULL), 0);
  /* Back, its upstreams are in cold start for a while.  */
  fleet_set_zone_out (world->fleet, "a", false);
  assert_int_equal (count_chosen (world, 20, NULL), 0);
  pass_ms (world, 20000);
  assert_int_equal (count_chosen (world, 20, NULL), 20);
  assert_int_equal (count_chosen (world, 20, "u1"), 0);
  world_destroy (world);
}

/* Relays share what a cold upstream bears: all of them together send it no
   more than the operators allow, whatever is asked of them.  */
static void
test_cold_upstreams_get_this_relay_s_part (void **state)
{
  world_t *world = world_create (10000);
  unsigned in_second;

  (void)state;
  fleet_set_relays (world->fleet, 2);
  pass_ms (world, 1000);
  count_chosen (world, 100, NULL);
  for (unsigned second = 0; second < 4; second++)
    {
      in_second = 0;
      for (unsigned i = 0; i < 10; i++)
        {
          pass_ms (world, 100);
          in_second += count_chosen (world, 20, NULL);
        }
      /* 8 a second for each of four, half of that for one of two relays.  */
      assert_in_range (in_second, 4, 8 * RANKS / 2);
    }
  pass_ms (world, 10000);
  assert_int_equal (count_chosen (world, 100, NULL), 100);
  world_destroy (world);
}

static void
test_unreachable_upstream_is_left_alone_for_a_while (void **state)
{
  world_t *world = world_create (0);
  pick_request_t work = { .zone = "a", .prompt_tokens = 100 };

  (void)state;
  while (count_chosen (world, 1, "u1") == 0)
    continue;
  fleet_release (world->fleet, "u1", &work, FLEET_UNREACHABLE, 5);
  assert_int_equal (count_chosen (world, 40, "u1"), 0);
  pass_ms (world, 5000);
  assert_in_range (count_chosen (world, 40, "u1"), 1, 40);
  world_destroy (world);
}

static void
test_slow_rank_gets_nothing_while_others_have_room (void **state)
{
  world_t *world = world_create (0);

  (void)state;
  let_group_step (world, 1000, STEP_MS);
  report (world, 3);
  assert_int_equal (count_chosen (world, 6, "u3"), 0);
  world_destroy (world);
}

static void
test_stalled_group_gets_nothing (void **state)
{
  world_t *world = world_create (0);
  char id[8];

  (void)state;
  let_group_step (world, 1000, STEP_MS);
  for (unsigned i = 0; i < 10; i++)
    {
      pass_ms (world, REPORT_MS);
      report (world, RANKS);
    }
  assert_int_equal (choose (world, id, sizeof id, NULL), FLEET_ALL_STALLED);
  world->step++;
  report (world, RANKS);
  assert_int_equal (choose (world, id, sizeof id, NULL), FLEET_SHORTAGE_NONE);
  world_destroy (world);
}

/* A stream that has no event while its group takes many steps hangs.  One that
   waits while its group takes few does not: the steps are slow.  */
static void
test_silence_counts_in_steps_of_the_group (void **state)
{
  world_t *world = world_create (0);
  struct timespec heard_at;

  (void)state;
  let_group_step (world, 2000, STEP_MS);
  heard_at = clock_monotonic (world->clock);
  let_group_step (world, 1000, STEP_MS);
  assert_false (fleet_is_silence_expected (world->fleet, "u1", heard_at));

  let_group_step (world, 2000, 500);
  heard_at = clock_monotonic (world->clock);
  let_group_step (world, 1000, 500);
  assert_true (fleet_is_silence_expected (world->fleet, "u1", heard_at));
  let_group_step (world, 3000, 500);
  assert_false (fleet_is_silence_expected (world->fleet, "u1", heard_at));
  world_destroy (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_work_spreads_and_leaves_out_what_was_tried),
    cmocka_unit_test (test_zone_out_gets_nothing),
    cmocka_unit_test (test_cold_upstreams_get_this_relay_s_part),
    cmocka_unit_test (test_unreachable_upstream_is_left_alone_for_a_while),
    cmocka_unit_test (test_slow_rank_gets_nothing_while_others_have_room),
    cmocka_unit_test (test_stalled_group_gets_nothing),
    cmocka_unit_test (test_silence_counts_in_steps_of_the_group),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
