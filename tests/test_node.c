#include "common/node.h"
#include "common/settings_watchers.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#define RULES                                                                 \
  "[site]\nname = \"s\"\n[[zone]]\nname = \"z0\"\n[[zone]]\nname = \"z1\"\n"  \
  "[[zone]]\nname = \"z2\"\n[[zone]]\nname = \"z3\"\n"                        \
  "[[service]]\nname = \"b\"\npath = \"/b\"\n"

enum
{
  ZONES = 4,
  MANY_ENTRIES = 410,
  WATCHERS_A_ZONE = 3
};

typedef struct fixture
{
  TALLOC_CTX *memory;
  clock_source_t *clock;
  pool_t *pool;
  node_t *node;
} fixture_t;

static char *
make_document (TALLOC_CTX *parent, uint64_t revision, unsigned entries,
               unsigned left_out)
{
  settings_parts_t *parts = settings_parts_create (parent);
  char *inventory = talloc_strdup (
      parent, "name,address,zone,kind,service\nu,10.0.0.1:7,z0,plain,b\n");

  for (unsigned i = 0; i < entries; i++)
    {
      if (i != left_out)
        inventory = talloc_asprintf_append_buffer (
            inventory, "entry-%u,10.0.0.2:%u,z%u,entry,\n", i, 1000 + i,
            i % ZONES);
    }
  parts->revision = revision;
  parts->rules = RULES;
  parts->inventory = inventory;
  return settings_parts_format (parent, parts);
}

static int
set_up (void **state)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);

  fixture->memory = fixture;
  fixture->clock
      = clock_create_virtual (fixture, (struct timespec){ 1000, 0 });
  fixture->pool = pool_create (fixture, 1, fixture->clock);
  fixture->node = node_create (fixture, NODE_AGENT, "u", "z0", fixture->clock);
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
adopt (const fixture_t *fixture, uint64_t revision)
{
  char *document = make_document (fixture->memory, revision, 0, 0);

  assert_int_equal (
      node_adopt_settings (fixture->node, document, strlen (document)),
      STATUS_OK);
}

static void
test_settings_never_revert (void **state)
{
  fixture_t *fixture = *state;

  adopt (fixture, 5);
  adopt (fixture, 4);
  assert_int_equal (node_settings_revision (fixture->node), 5);
  assert_int_equal (node_adopt_settings (fixture->node, "{", 1),
                    STATUS_INVALID);
  assert_int_equal (node_settings_revision (fixture->node), 5);
  adopt (fixture, 6);
  assert_int_equal (node_settings_revision (fixture->node), 6);
}

static void
test_confirmation_ages (void **state)
{
  fixture_t *fixture = *state;

  adopt (fixture, 1);
  node_confirm_settings (fixture->node, 1, 300);
  clock_advance (fixture->clock, timespec_from_ms (200));
  assert_int_equal (node_confirmed_age_ms (fixture->node), 500);
  node_confirm_settings (fixture->node, 1, 900);
  node_confirm_settings (fixture->node, 2, 0);
  assert_int_equal (node_confirmed_age_ms (fixture->node), 500);
  node_confirm_settings (fixture->node, 1, 100);
  assert_int_equal (node_confirmed_age_ms (fixture->node), 100);
  adopt (fixture, 2);
  assert_true (node_confirmed_age_ms (fixture->node) > 1000000);
}

static void
test_one_peer_is_asked_at_a_time (void **state)
{
  node_t *node = ((fixture_t *)*state)->node;

  assert_false (node_begin_settings_fetch (node, 0));
  assert_true (node_begin_settings_fetch (node, 3));
  assert_false (node_begin_settings_fetch (node, 3));
  assert_true (node_begin_settings_fetch (node, 4));
  node_cancel_settings_fetch (node, 4);
  assert_true (node_begin_settings_fetch (node, 4));
  clock_advance (((fixture_t *)*state)->clock, timespec_from_ms (1000));
  assert_true (node_begin_settings_fetch (node, 4));
  adopt (*state, 4);
  node_cancel_settings_fetch (node, 4);
  assert_false (node_begin_settings_fetch (node, 4));
}

static void
count_run (worker_t *worker, void *data)
{
  (void)worker;
  *(bool *)data = true;
}

static void
test_adoption_wakes_subscribers (void **state)
{
  fixture_t *fixture = *state;
  bool has_run = false;
  node_subscription_t subscription
      = { .worker = pool_worker (fixture->pool, 0),
          .handler = count_run,
          .data = &has_run };

  node_subscribe (fixture->node, &subscription);
  adopt (fixture, 1);
  adopt (fixture, 2);
  worker_run_until (subscription.worker, &has_run);
  has_run = false;
  adopt (fixture, 2);
  assert_false (atomic_load (&subscription.is_posted));
  adopt (fixture, 3);
  assert_true (atomic_load (&subscription.is_posted));
  worker_run_until (subscription.worker, &has_run);
}

static void
test_held_settings_are_not_in_force (void **state)
{
  fixture_t *fixture = *state;
  frame_header_t header = { 0 };
  settings_t *settings;

  node_defer_settings (fixture->node);
  adopt (fixture, 1);
  adopt (fixture, 2);
  node_fill_header (fixture->node, &header);
  assert_null (node_settings (fixture->node));
  assert_int_equal (header.settings_revision, 0);
  assert_int_equal (node_settings_revision (fixture->node), 2);
  node_apply_deferred_settings (fixture->node);
  settings = node_settings (fixture->node);
  assert_int_equal (settings->revision, 2);
  settings_release (settings);
}

static unsigned
count_watchers (const settings_t *settings, bool *is_watcher)
{
  unsigned count = 0;

  for (unsigned i = 0; i < MANY_ENTRIES; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "entry-%u", i);
      is_watcher[i] = settings_is_store_watcher (settings, name);
      count += is_watcher[i];
    }
  return count;
}

static settings_t *
read_fleet (TALLOC_CTX *memory, unsigned entries, unsigned left_out)
{
  char *document = make_document (memory, 1, entries, left_out);
  settings_t *settings;

  assert_int_equal (
      settings_from_document (document, strlen (document), &settings),
      STATUS_OK);
  return settings;
}

static void
test_few_watch_for_many (void **state)
{
  fixture_t *fixture = *state;
  bool before[MANY_ENTRIES];
  bool after[MANY_ENTRIES];
  settings_t *settings
      = read_fleet (fixture->memory, MANY_ENTRIES, MANY_ENTRIES);
  unsigned gone = 0;
  unsigned moved = 0;

  assert_int_equal (count_watchers (settings, before),
                    ZONES * WATCHERS_A_ZONE);
  assert_false (settings_is_store_watcher (settings, "u"));
  assert_false (settings_is_store_watcher (settings, "stranger"));
  settings_release (settings);
  while (!before[gone])
    gone++;
  settings = read_fleet (fixture->memory, MANY_ENTRIES, gone);
  assert_int_equal (count_watchers (settings, after), ZONES * WATCHERS_A_ZONE);
  for (unsigned i = 0; i < MANY_ENTRIES; i++)
    moved += before[i] != after[i];
  assert_int_equal (moved, 2);
  settings_release (settings);
  settings = read_fleet (fixture->memory, 3, 3);
  assert_true (settings_is_store_watcher (settings, "u"));
  settings_release (settings);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_settings_never_revert, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_confirmation_ages, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_one_peer_is_asked_at_a_time, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_adoption_wakes_subscribers, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_held_settings_are_not_in_force,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_few_watch_for_many, set_up,
                                     tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
