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
  MANY = 680,
  ZONES = 4,
  ENTRIES = 40,
  SUBSET = 24
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
  unsigned entries; /* listed in the inventory */
  settings_t *settings;
} fixture_t;

/* Make settings with COUNT upstreams and the policy PICK; ZONE_OUT may be
   NULL.  */
static settings_t *
make_settings (fixture_t *fixture, unsigned count, const char *pick,
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
        i % 250 + 1, i % ZONES);
  for (unsigned i = 0; i < fixture->entries; i++)
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
make_router (fixture_t *fixture, uint64_t seed, const settings_t *settings)
{
  router_t *router
      = router_create (fixture->clock, "z0", fixture->clock, seed, 1);

  assert_int_equal (router_configure (router, settings), STATUS_OK);
  return router;
}

/* Mark every upstream that ROUTER wants as connected; returns how many.  */
static unsigned
connect_all (router_t *router, unsigned *counts)
{
  TALLOC_CTX *memory = talloc_new (NULL);
  router_targets_t targets;
  router_target_t *target;
  unsigned connected = 0;

  router_targets (router, memory, &targets);
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
  router_route_t route;
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
test_chooses_only_what_may_serve (void **state)
{
  fixture_t *fixture = *state;
  settings_t *settings = make_settings (fixture, 4, "round-robin", NULL);
  router_t *router = make_router (fixture, 1, settings);
  pick_report_t report = { .is_known = true };
  char name[8];

  assert_int_equal (choose (router, NULL, name), STATUS_UNAVAILABLE);
  connect_all (router, NULL);
  router_set_reachable (router, "u0", 0, false);
  router_note_report (router, "u1", &report, true);
  for (unsigned i = 0; i < 8; i++)
    {
      assert_int_equal (choose (router, "u2", name), STATUS_OK);
      assert_string_equal (name, "u3");
    }
  router_note_closed (router, "u3");
  assert_int_equal (choose (router, "u2", name), STATUS_UNAVAILABLE);
  router_note_report (router, "u3", &report, false);
  assert_int_equal (choose (router, "u2", name), STATUS_OK);
  settings_release (settings);
}

static void
test_zone_out_gets_nothing_new (void **state)
{
  fixture_t *fixture = *state;
  settings_t *settings = make_settings (fixture, 8, "round-robin", NULL);
  router_t *router = make_router (fixture, 1, settings);
  char name[8];

  connect_all (router, NULL);
  settings_release (settings);
  settings = make_settings (fixture, 8, "round-robin", "z1");
  assert_int_equal (router_configure (router, settings), STATUS_OK);
  for (unsigned i = 0; i < 32; i++)
    {
      assert_int_equal (choose (router, NULL, name), STATUS_OK);
      assert_true (atoi (name + 1) % ZONES != 1);
    }
  settings_release (settings);
}

static void
test_upstream_with_work_outlives_its_place (void **state)
{
  fixture_t *fixture = *state;
  settings_t *settings = make_settings (fixture, 2, "round-robin", NULL);
  router_t *router = make_router (fixture, 1, settings);
  pick_request_t work = { .prompt_tokens = 1 };
  char name[8];

  connect_all (router, NULL);
  assert_int_equal (choose (router, "u0", name), STATUS_OK);
  assert_string_equal (name, "u1");
  settings_release (settings);
  settings = make_settings (fixture, 1, "round-robin", NULL);
  router_configure (router, settings);
  assert_int_equal (choose (router, "u0", name), STATUS_UNAVAILABLE);
  router_release (router, "u1", &work);
  settings_release (settings);
}

static void
test_retries_come_out_of_a_budget (void **state)
{
  fixture_t *fixture = *state;
  settings_t *settings = make_settings (fixture, 2, "round-robin", NULL);
  router_t *router = make_router (fixture, 1, settings);
  char name[8];

  connect_all (router, NULL);
  assert_false (router_take_retry (router));
  for (unsigned i = 0; i < 4; i++)
    choose (router, NULL, name);
  choose (router, "u0", name); /* a retry earns nothing */
  assert_true (router_take_retry (router));
  assert_true (router_take_retry (router));
  assert_false (router_take_retry (router));
  settings_release (settings);
}

static void
test_few_upstreams_are_all_connected (void **state)
{
  fixture_t *fixture = *state;
  settings_t *settings = make_settings (fixture, SUBSET, "least-tokens", NULL);

  assert_int_equal (connect_all (make_router (fixture, 1, settings), NULL),
                    SUBSET);
  settings_release (settings);
}

static void
test_subset_is_bounded_spread_and_covers (void **state)
{
  fixture_t *fixture = *state;
  settings_t *settings = make_settings (fixture, MANY, "least-tokens", NULL);
  unsigned total[MANY] = { 0 };
  unsigned unreached = 0;

  for (uint64_t seed = 1; seed <= ENTRIES; seed++)
    {
      unsigned counts[MANY] = { 0 };
      unsigned zones[ZONES] = { 0 };

      assert_int_equal (
          connect_all (make_router (fixture, seed, settings), counts), SUBSET);
      for (unsigned i = 0; i < MANY; i++)
        {
          zones[i % ZONES] += counts[i];
          total[i] += counts[i];
        }
      for (unsigned i = 0; i < ZONES; i++)
        assert_int_equal (zones[i], SUBSET / ZONES);
    }
  for (unsigned i = 0; i < MANY; i++)
    unreached += total[i] == 0;
  assert_in_range (unreached, 0, MANY / 2);
  settings_release (settings);
}

static void
test_many_entries_need_fewer_connections (void **state)
{
  fixture_t *fixture = *state;
  settings_t *settings;
  unsigned entries[] = { 3, 410, 10000 };
  unsigned expected[] = { SUBSET, 3 * ZONES, ZONES };

  for (unsigned i = 0; i < 3; i++)
    {
      fixture->entries = entries[i];
      settings = make_settings (fixture, 160, "least-tokens", NULL);
      assert_int_equal (connect_all (make_router (fixture, 1, settings), NULL),
                        expected[i]);
      settings_release (settings);
    }
}

static void
test_subset_changes_little_with_the_fleet (void **state)
{
  fixture_t *fixture = *state;
  settings_t *settings = make_settings (fixture, MANY, "least-tokens", NULL);
  router_t *router = make_router (fixture, 1, settings);
  unsigned before[MANY] = { 0 };
  unsigned after[MANY] = { 0 };
  unsigned moved = 0;

  connect_all (router, before);
  settings_release (settings);
  settings = make_settings (fixture, MANY - ZONES, "least-tokens", NULL);
  router_configure (router, settings);
  connect_all (router, after);
  for (unsigned i = 0; i < MANY; i++)
    moved += before[i] != after[i];
  assert_in_range (moved, 0, 2 * ZONES);
  settings_release (settings);
}

static void
test_keys_need_every_upstream (void **state)
{
  fixture_t *fixture = *state;
  settings_t *settings = make_settings (fixture, MANY, "by-key", NULL);

  assert_int_equal (connect_all (make_router (fixture, 1, settings), NULL),
                    MANY);
  settings_release (settings);
}

static void
test_first_byte_is_smoothed (void **state)
{
  fixture_t *fixture = *state;
  settings_t *settings = make_settings (fixture, 1, "round-robin", NULL);
  router_t *router = make_router (fixture, 1, settings);

  assert_int_equal (router_typical_first_byte_ms (router, "plain"), 0);
  router_note_first_byte (router, "plain", 100);
  assert_int_equal (router_typical_first_byte_ms (router, "plain"), 100);
  router_note_first_byte (router, "plain", 1700);
  assert_int_equal (router_typical_first_byte_ms (router, "plain"), 200);
  settings_release (settings);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_chooses_only_what_may_serve, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_zone_out_gets_nothing_new, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (
        test_upstream_with_work_outlives_its_place, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_retries_come_out_of_a_budget, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_few_upstreams_are_all_connected,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_subset_is_bounded_spread_and_covers,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_many_entries_need_fewer_connections,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_subset_changes_little_with_the_fleet,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_keys_need_every_upstream, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_first_byte_is_smoothed, set_up,
                                     tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
