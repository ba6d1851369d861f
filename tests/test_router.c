/* An entry's choice of upstreams and connections: none that is leaving or out,
   with few connections for each entry and few changes of them.  */

#include "entry/router.h"
#include "kernel/clock.h"
#include "kernel/invariant.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

enum
{
  UPSTREAM_COUNT = 680,
  ZONE_COUNT = 4,
  ENTRY_COUNT = 40,
  SUBSET_SIZE = 24
};

static const char rules[]
    = "[site]\nname = \"test\"\n"
      "[[zone]]\nname = \"z0\"\nregion = \"r\"\n"
      "[[zone]]\nname = \"z1\"\nregion = \"r\"\n"
      "[[zone]]\nname = \"z2\"\nregion = \"r\"\n"
      "[[zone]]\nname = \"z3\"\nregion = \"r\"\n"
      "[[account]]\nname = \"a\"\npriority = 0\nshare = 1\n"
      "[[service]]\nname = \"plain\"\nkind = \"plain\"\npath = \"/\"\n"
      "pick = \"%s\"\n"
      "[limits]\nbody = \"1 MiB\"\ndefault_deadline = \"30 s\"\n"
      "maximum_deadline = \"120 s\"\n"
      "[admission]\npolicy = \"fixed\"\norder = \"fifo\"\n"
      "cold_requests = 1\ncold_tokens = 1\nmaximum_requests = 8\n"
      "maximum_tokens = 8\nqueue_requests = 8\n"
      "slow_first_token = \"1 s\"\n"
      "[retry]\nbudget_ratio = 0.5\nattempts = 3\n"
      "[claims]\njournal = \"store\"\nretention = \"7 d\"\n"
      "linger = \"5 ms\"\n"
      "[placement]\npolicy = \"fixed\"\ninterval = \"10 s\"\n"
      "minimum_gain = 0.02\n";

typedef struct fixture
{
  clock_source_t *clock;
  uint64_t revision;
  unsigned entry_count; /* in the inventory */
  settings_t *settings;
} fixture_t;

/* Create settings with COUNT upstreams and the policy PICK.  ZONE_OUT is an
   evacuated zone or NULL.  */
static settings_t *
create_settings (fixture_t *fixture, unsigned count, const char *pick,
                 const char *zone_out)
{
  settings_parts_t *parts = settings_parts_create (NULL);
  findings_t *findings = findings_create (parts);
  schema_string_t out = { .text = zone_out };
  char *inventory = talloc_strdup (
      parts, "name,address,zone,kind,service,model,group,rank\n");

  for (unsigned i = 0; i < count; i++)
    inventory = talloc_asprintf_append (
        inventory, "u%u,10.0.%u.%u:7000,z%u,plain,plain,,,\n", i, i / 250,
        i % 250 + 1, i % ZONE_COUNT);
  for (unsigned i = 0; i < fixture->entry_count; i++)
    inventory = talloc_asprintf_append (inventory,
                                        "e%u,10.1.%u.%u:8080,z0,entry,,,,\n",
                                        i, i / 250, i % 250 + 1);
  parts->revision = ++fixture->revision;
  parts->change_id = parts->changed_by = parts->changed_why = "test";
  parts->changed_at = "2026-01-01T00:00:00Z";
  parts->rules = talloc_asprintf (parts, rules, pick);
  parts->inventory = inventory;
  if (zone_out != NULL)
    STAILQ_INSERT_TAIL (&parts->zones_out, &out, link);
  fixture->settings
      = settings_from_parts (parts, "rules", "inventory", findings);
  findings_print (findings, stderr);
  assert_non_null (fixture->settings);
  settings_parts_destroy (parts);
  return fixture->settings;
}

static router_t *
create_router (fixture_t *fixture, uint64_t seed, const settings_t *settings)
{
  router_t *router
      = router_create (fixture->clock, "z0", fixture->clock, seed, 1);

  assert_int_equal (router_configure (router, settings), STATUS_OK);
  return router;
}

/* Mark every target of ROUTER as connected and return their number.  COUNTS,
   unless NULL, is incremented for each.  */
static unsigned
connect_all (router_t *router, unsigned *counts)
{
  TALLOC_CTX *memory = talloc_new (NULL);
  router_target_list_t targets;
  router_target_t *target;
  unsigned connected = 0;

  router_list_targets (router, memory, &targets);
  SLIST_FOREACH (target, &targets, link)
    {
      router_set_reachable (router, target->upstream, 0, true);
      if (counts != NULL)
        counts[atoi (target->upstream + 1)]++;
      connected++;
    }
  talloc_free (memory);
  return connected;
}

static status_t
choose (router_t *router, const char *tried, char *name)
{
  TALLOC_CTX *memory = talloc_new (NULL);
  router_request_t request = { .service = "plain", .model = "" };
  router_choice_t route;
  status_t status;

  request.work.prompt_tokens = 1;
  if (tried != NULL)
    request.tried[request.tried_count++] = tried;
  status = router_choose (router, memory, 0, &request, &route);
  if (status == STATUS_OK)
    snprintf (name, 8, "%s", route.upstream);
  talloc_free (memory);
  return status;
}

static int
set_up (void **state)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);

  invariant_set_fatal (true);
  fixture->clock = clock_create_virtual (fixture, timespec_from_ms (1000));
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
test_chooses_only_eligible_upstreams (void **state)
{
  fixture_t *fixture = *state;
  settings_t *settings = create_settings (fixture, 4, "round-robin", NULL);
  router_t *router = create_router (fixture, 1, settings);
  pick_report_t report = { .is_known = true };
  char name[8];

  assert_int_equal (choose (router, NULL, name), STATUS_UNAVAILABLE);
  connect_all (router, NULL);
  router_set_reachable (router, "u0", 0, false);
  router_record_report (router, "u1", &report, true);
  for (unsigned i = 0; i < 8; i++)
    {
      assert_int_equal (choose (router, "u2", name), STATUS_OK);
      assert_string_equal (name, "u3");
    }
  router_exclude_until_report (router, "u3");
  assert_int_equal (choose (router, "u2", name), STATUS_UNAVAILABLE);
  router_record_report (router, "u3", &report, false);
  assert_int_equal (choose (router, "u2", name), STATUS_OK);
  settings_release (settings);
}

static void
test_evacuated_zone_gets_no_new_requests (void **state)
{
  fixture_t *fixture = *state;
  settings_t *settings = create_settings (fixture, 8, "round-robin", NULL);
  router_t *router = create_router (fixture, 1, settings);
  char name[8];

  connect_all (router, NULL);
  settings_release (settings);
  settings = create_settings (fixture, 8, "round-robin", "z1");
  assert_int_equal (router_configure (router, settings), STATUS_OK);
  for (unsigned i = 0; i < 32; i++)
    {
      assert_int_equal (choose (router, NULL, name), STATUS_OK);
      assert_true (atoi (name + 1) % ZONE_COUNT != 1);
    }
  settings_release (settings);
}

static void
test_delisted_upstream_stays_until_its_work_ends (void **state)
{
  fixture_t *fixture = *state;
  settings_t *settings = create_settings (fixture, 2, "round-robin", NULL);
  router_t *router = create_router (fixture, 1, settings);
  pick_request_t work = { .prompt_tokens = 1 };
  char name[8];

  connect_all (router, NULL);
  assert_int_equal (choose (router, "u0", name), STATUS_OK);
  assert_string_equal (name, "u1");
  settings_release (settings);
  settings = create_settings (fixture, 1, "round-robin", NULL);
  router_configure (router, settings);
  assert_int_equal (choose (router, "u0", name), STATUS_UNAVAILABLE);
  router_release (router, "u1", &work);
  settings_release (settings);
}

static void
test_retries_are_limited_by_the_budget (void **state)
{
  fixture_t *fixture = *state;
  settings_t *settings = create_settings (fixture, 2, "round-robin", NULL);
  router_t *router = create_router (fixture, 1, settings);
  char name[8];

  connect_all (router, NULL);
  assert_false (router_reserve_retry (router));
  for (unsigned i = 0; i < 4; i++)
    choose (router, NULL, name);
  choose (router, "u0", name); /* a retry adds nothing to the budget */
  assert_true (router_reserve_retry (router));
  assert_true (router_reserve_retry (router));
  assert_false (router_reserve_retry (router));
  settings_release (settings);
}

static void
test_few_upstreams_are_all_connected (void **state)
{
  fixture_t *fixture = *state;
  settings_t *settings
      = create_settings (fixture, SUBSET_SIZE, "least-tokens", NULL);

  assert_int_equal (connect_all (create_router (fixture, 1, settings), NULL),
                    SUBSET_SIZE);
  settings_release (settings);
}

static void
test_subset_is_bounded_and_spread_over_zones_and_upstreams (void **state)
{
  fixture_t *fixture = *state;
  settings_t *settings
      = create_settings (fixture, UPSTREAM_COUNT, "least-tokens", NULL);
  unsigned total[UPSTREAM_COUNT] = { 0 };
  unsigned unreached = 0;

  for (uint64_t seed = 1; seed <= ENTRY_COUNT; seed++)
    {
      unsigned counts[UPSTREAM_COUNT] = { 0 };
      unsigned zones[ZONE_COUNT] = { 0 };

      assert_int_equal (
          connect_all (create_router (fixture, seed, settings), counts),
          SUBSET_SIZE);
      for (unsigned i = 0; i < UPSTREAM_COUNT; i++)
        {
          zones[i % ZONE_COUNT] += counts[i];
          total[i] += counts[i];
        }
      for (unsigned i = 0; i < ZONE_COUNT; i++)
        assert_int_equal (zones[i], SUBSET_SIZE / ZONE_COUNT);
    }
  for (unsigned i = 0; i < UPSTREAM_COUNT; i++)
    unreached += total[i] == 0;
  assert_in_range (unreached, 0, UPSTREAM_COUNT / 2);
  settings_release (settings);
}

static void
test_many_entries_need_fewer_connections (void **state)
{
  fixture_t *fixture = *state;
  settings_t *settings;
  unsigned entry_counts[] = { 3, 410, 10000 };
  unsigned expected[] = { SUBSET_SIZE, 3 * ZONE_COUNT, ZONE_COUNT };

  for (unsigned i = 0; i < 3; i++)
    {
      fixture->entry_count = entry_counts[i];
      settings = create_settings (fixture, 160, "least-tokens", NULL);
      assert_int_equal (
          connect_all (create_router (fixture, 1, settings), NULL),
          expected[i]);
      settings_release (settings);
    }
}

static void
test_removed_upstreams_change_few_connections (void **state)
{
  fixture_t *fixture = *state;
  settings_t *settings
      = create_settings (fixture, UPSTREAM_COUNT, "least-tokens", NULL);
  router_t *router = create_router (fixture, 1, settings);
  unsigned before[UPSTREAM_COUNT] = { 0 };
  unsigned after[UPSTREAM_COUNT] = { 0 };
  unsigned moved = 0;

  connect_all (router, before);
  settings_release (settings);
  settings = create_settings (fixture, UPSTREAM_COUNT - ZONE_COUNT,
                              "least-tokens", NULL);
  router_configure (router, settings);
  connect_all (router, after);
  for (unsigned i = 0; i < UPSTREAM_COUNT; i++)
    moved += before[i] != after[i];
  assert_in_range (moved, 0, 2 * ZONE_COUNT);
  settings_release (settings);
}

static void
test_by_key_policy_connects_to_every_upstream (void **state)
{
  fixture_t *fixture = *state;
  settings_t *settings
      = create_settings (fixture, UPSTREAM_COUNT, "by-key", NULL);

  assert_int_equal (connect_all (create_router (fixture, 1, settings), NULL),
                    UPSTREAM_COUNT);
  settings_release (settings);
}

static void
test_first_byte_is_smoothed (void **state)
{
  fixture_t *fixture = *state;
  settings_t *settings = create_settings (fixture, 1, "round-robin", NULL);
  router_t *router = create_router (fixture, 1, settings);

  assert_int_equal (router_typical_first_byte_ms (router, "plain"), 0);
  router_record_first_byte (router, "plain", 100);
  assert_int_equal (router_typical_first_byte_ms (router, "plain"), 100);
  router_record_first_byte (router, "plain", 1700);
  assert_int_equal (router_typical_first_byte_ms (router, "plain"), 200);
  settings_release (settings);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_chooses_only_eligible_upstreams,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_evacuated_zone_gets_no_new_requests,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        test_delisted_upstream_stays_until_its_work_ends, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_retries_are_limited_by_the_budget,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_few_upstreams_are_all_connected,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        test_subset_is_bounded_and_spread_over_zones_and_upstreams, set_up,
        tear_down),
    cmocka_unit_test_setup_teardown (test_many_entries_need_fewer_connections,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        test_removed_upstreams_change_few_connections, set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        test_by_key_policy_connects_to_every_upstream, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_first_byte_is_smoothed, set_up,
                                     tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
