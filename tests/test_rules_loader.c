/* Large rules are read in parts: a worker that reads them in one go delays the
   events of all its streams for as long.  */

#include "kernel/clock.h"
#include "kernel/plugin.h"
#include "kernel/pool.h"
#include "kernel/scheduler.h"
#include "relay/rules_loader.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  ROUTES = 1400,
  MIN_TURNS = 10, /* of another timer of the worker, while they are read */
  MAX_LOAD_MS = 500
};

typedef struct fixture
{
  clock_source_t *clock;
  scheduler_t *scheduler;
  worker_t *worker;
  rules_loader_t *loader;
  uint64_t versions[4]; /* in the order in which they were loaded */
  unsigned loaded;
  unsigned rejected;
  unsigned turns;
  unsigned turns_at_load;
} fixture_t;

static void
on_loaded (rules_t *rules, const rules_document_t *document, void *data)
{
  fixture_t *fixture = data;

  (void)document;
  fixture->versions[fixture->loaded++] = rules->version;
  fixture->turns_at_load = fixture->turns;
  rules_release (rules);
}

static void
on_rejected (const rules_document_t *document, void *data)
{
  fixture_t *fixture = data;

  (void)document;
  fixture->rejected++;
}

static const rules_loader_ops_t ops
    = { .on_loaded = on_loaded, .on_rejected = on_rejected };

static void
take_turn (worker_t *worker, void *data)
{
  fixture_t *fixture = data;

  fixture->turns++;
  worker_timer_start (worker, fixture, timespec_from_ms (1), take_turn,
                      fixture);
}

static int
set_up (void **state)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);

  fixture->clock = clock_create_virtual (fixture, timespec_from_ms (1000));
  fixture->scheduler = scheduler_create (fixture, fixture->clock, 1);
  fixture->worker = pool_worker (
      scheduler_create_pool (fixture->scheduler, fixture, 1), 0);
  fixture->loader = rules_loader_create (
      fixture, fixture->worker, plugin_ops (PLUGIN_CATALOG, "platform"), &ops,
      fixture);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;

  rules_loader_destroy (fixture->loader);
  talloc_free (fixture);
  return 0;
}

static char *
write_rules (TALLOC_CTX *parent, unsigned version, unsigned routes)
{
  char *text
      = talloc_asprintf (parent, "{\"version\":%u,\"routes\":[", version);

  for (unsigned i = 0; i < routes; i++)
    text = talloc_asprintf_append_buffer (
        text,
        "%s{\"name\":\"r%u\",\"host\":\"a.example\",\"prefix\":\"/%u/\","
        "\"kind\":\"streaming\",\"service\":\"model\"}",
        i == 0 ? "" : ",", i, i);
  return talloc_asprintf_append_buffer (text, "]}");
}

static void
add_document (fixture_t *fixture, char *text, bool is_urgent)
{
  store_entry_t entry
      = { .key = "op/config", .value = text, .value_size = strlen (text) };

  rules_loader_add (fixture->loader, &entry, is_urgent);
  talloc_free (text);
}

static void
test_large_rules_leave_turns_to_others (void **state)
{
  fixture_t *fixture = *state;

  take_turn (fixture->worker, fixture);
  add_document (fixture, write_rules (fixture, 7, ROUTES), false);
  assert_int_equal (fixture->loaded, 0);
  scheduler_run_for (fixture->scheduler, timespec_from_ms (MAX_LOAD_MS));
  assert_int_equal (fixture->loaded, 1);
  assert_int_equal (fixture->versions[0], 7);
  assert_true (fixture->turns_at_load >= MIN_TURNS);
}

/* What is added during a load waits, and a document that can't be used ends
   only itself.  */
static void
test_rules_are_loaded_one_after_the_other (void **state)
{
  fixture_t *fixture = *state;

  add_document (fixture, write_rules (fixture, 7, ROUTES), false);
  add_document (fixture, talloc_strdup (fixture, "{\"version\":8"), false);
  add_document (fixture, write_rules (fixture, 9, 1), false);
  scheduler_run_for (fixture->scheduler, timespec_from_ms (MAX_LOAD_MS));
  assert_int_equal (fixture->rejected, 1);
  assert_int_equal (fixture->loaded, 2);
  assert_int_equal (fixture->versions[0], 7);
  assert_int_equal (fixture->versions[1], 9);
}

static void
test_urgent_rules_are_loaded_at_once (void **state)
{
  fixture_t *fixture = *state;

  add_document (fixture, write_rules (fixture, 7, ROUTES), true);
  assert_int_equal (fixture->loaded, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_large_rules_leave_turns_to_others,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_rules_are_loaded_one_after_the_other,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_urgent_rules_are_loaded_at_once,
                                     set_up, tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
