/* Spread of settings among processes: a revision must never give way to an
   older one, whoever sends it and in whichever order.  */

#include "common/link.h"
#include "common/node.h"
#include "common/settings_peers.h"
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
  ZONE_COUNT = 4,
  ENTRY_COUNT = 410,
  WATCHERS_PER_ZONE = 3,
  START_TIMEOUT_MS = 5000 /* for a process to apply the settings of a peer */
};

typedef struct fixture
{
  TALLOC_CTX *memory;
  clock_source_t *clock;
  pool_t *pool;
  node_t *node;
} fixture_t;

/* Return a settings document with ENTRIES entry VMs, except OMITTED_ENTRY, and
   one upstream.  */
static char *
make_document (TALLOC_CTX *parent, uint64_t revision, unsigned entries,
               unsigned omitted_entry)
{
  settings_parts_t *parts = settings_parts_create (parent);
  char *inventory = talloc_strdup (
      parent, "name,address,zone,kind,service\nu,10.0.0.1:7,z0,plain,b\n");

  for (unsigned i = 0; i < entries; i++)
    {
      if (i != omitted_entry)
        inventory = talloc_asprintf_append_buffer (
            inventory, "entry-%u,10.0.0.2:%u,z%u,entry,\n", i, 1000 + i,
            i % ZONE_COUNT);
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
set_flag (worker_t *worker, void *data)
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
          .handler = set_flag,
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
test_deferred_settings_are_not_applied (void **state)
{
  fixture_t *fixture = *state;
  frame_header_t header = { 0 };
  settings_t *settings;
  bool has_run = false;
  node_subscription_t received = { .worker = pool_worker (fixture->pool, 0),
                                   .handler = set_flag,
                                   .data = &has_run };

  node_defer_settings (fixture->node, &received);
  adopt (fixture, 1);
  worker_run_until (received.worker, &has_run);
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

/* A peer that answers requests for settings and sends nothing else.  */
typedef struct quiet_peer
{
  node_t *node;
  worker_t *worker;
} quiet_peer_t;

static void
quiet_on_open (link_t *link, const frame_hello_t *hello, void *data)
{
  (void)link;
  (void)hello;
  (void)data;
}

static void
quiet_on_frame (link_t *link, const frame_t *frame, void *data)
{
  (void)link;
  (void)frame;
  (void)data;
}

static void
quiet_on_closed (link_t *link, const char *reason, void *data)
{
  (void)link;
  (void)reason;
  (void)data;
}

static const link_ops_t quiet_ops = {
  .on_open = quiet_on_open,
  .on_frame = quiet_on_frame,
  .on_closed = quiet_on_closed,
};

static void
quiet_peer_accept (stream_t *stream, void *data)
{
  const quiet_peer_t *peer = data;

  link_accept (peer->worker, peer->node, stream, &quiet_ops, NULL);
}

/* A process that starts without the store applies the settings of its only
   peer even if that peer sends no other frame after them: the frame that shows
   the peer's revision comes before the settings, so the check at that frame
   finds none.  */
static void
test_settings_of_a_quiet_peer_are_applied (void **state)
{
  fixture_t *fixture = *state;
  clock_source_t *clock = clock_create_system (fixture);
  pool_t *pool = pool_create (fixture, 1, clock);
  worker_t *worker = pool_worker (pool, 0);
  quiet_peer_t peer
      = { .node = node_create (fixture, NODE_AGENT, "u", "z0", clock),
          .worker = worker };
  node_t *node = node_create (fixture, NODE_ENTRY, "e", "z0", clock);
  char *document = make_document (fixture, 7, 0, 0);
  net_address_t address = { .host = "127.0.0.1" };
  config_t config = { .peers = STAILQ_HEAD_INITIALIZER (config.peers) };
  schema_string_t text = { 0 };
  uint16_t port;
  bool is_over = false;
  node_subscription_t subscription
      = { .worker = worker, .handler = set_flag, .data = &is_over };
  settings_t *settings;

  assert_int_equal (
      node_adopt_settings (peer.node, document, strlen (document)), STATUS_OK);
  assert_non_null (transport_listen (transport_tcp (), worker, &address, &port,
                                     quiet_peer_accept, &peer));
  text.text = talloc_asprintf (fixture, "127.0.0.1:%u", port);
  STAILQ_INSERT_TAIL (&config.peers, &text, link);
  assert_non_null (settings_peers_create (worker, node, &config));
  node_subscribe (node, &subscription);
  worker_timer_start (worker, fixture, timespec_from_ms (START_TIMEOUT_MS),
                      set_flag, &is_over);
  worker_run_until (worker, &is_over);
  settings = node_settings (node);
  assert_non_null (settings);
  assert_int_equal (settings->revision, 7);
  settings_release (settings);
  pool_destroy (pool);
}

static unsigned
count_watchers (const settings_t *settings, bool *is_watcher)
{
  unsigned count = 0;

  for (unsigned i = 0; i < ENTRY_COUNT; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "entry-%u", i);
      is_watcher[i] = settings_is_store_watcher (settings, name);
      count += is_watcher[i];
    }
  return count;
}

static settings_t *
read_settings (TALLOC_CTX *memory, unsigned entries, unsigned omitted_entry)
{
  char *document = make_document (memory, 1, entries, omitted_entry);
  settings_t *settings;

  assert_int_equal (
      settings_from_document (document, strlen (document), &settings),
      STATUS_OK);
  return settings;
}

/* In a large fleet a fixed number of entries per zone are store watchers. When
   a watcher is removed, one other entry takes its role and no other role
   changes.  In a small fleet all processes watch.  */
static void
test_watchers_per_zone_are_limited (void **state)
{
  fixture_t *fixture = *state;
  bool before[ENTRY_COUNT];
  bool after[ENTRY_COUNT];
  settings_t *settings
      = read_settings (fixture->memory, ENTRY_COUNT, ENTRY_COUNT);
  unsigned removed = 0;
  unsigned changed = 0;

  assert_int_equal (count_watchers (settings, before),
                    ZONE_COUNT * WATCHERS_PER_ZONE);
  assert_false (settings_is_store_watcher (settings, "u"));
  assert_false (settings_is_store_watcher (settings, "unlisted"));
  settings_release (settings);
  while (!before[removed])
    removed++;
  settings = read_settings (fixture->memory, ENTRY_COUNT, removed);
  assert_int_equal (count_watchers (settings, after),
                    ZONE_COUNT * WATCHERS_PER_ZONE);
  for (unsigned i = 0; i < ENTRY_COUNT; i++)
    changed += before[i] != after[i];
  assert_int_equal (changed, 2);
  settings_release (settings);
  settings = read_settings (fixture->memory, 3, 3);
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
    cmocka_unit_test_setup_teardown (test_deferred_settings_are_not_applied,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_settings_of_a_quiet_peer_are_applied,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_watchers_per_zone_are_limited,
                                     set_up, tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
