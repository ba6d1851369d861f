/* A mirror whose requests to the store fail: it must not ask for the same
   again and again when that can't succeed, and must not begin again with what
   it has read.  */

#include "common/store_mirror.h"
#include "kernel/scheduler.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

enum
{
  POLL_INTERVAL_MS = 1000,
  MAX_RETRY_MS = 1000 /* until the next request after a failure */
};

typedef enum request
{
  REQUEST_NONE,
  REQUEST_PAGE,
  REQUEST_POLL
} request_t;

/* A store that remembers the pending request, which the test answers.  */
struct store
{
  request_t request;
  char *after;      /* of a page; "" for the first one */
  int64_t revision; /* of a poll */
  store_done_t done;
  store_poll_done_t poll_done;
  void *data;
  store_generation_t *generation;
};

typedef struct fixture
{
  clock_source_t *clock;
  scheduler_t *scheduler;
  store_t store;
  store_mirror_t *mirror;
  unsigned changed;
  char *gone; /* the last key that was reported as deleted */
} fixture_t;

static status_t
fake_transact (store_t *store, const store_txn_t *txn, store_done_t done,
               void *data)
{
  const char *after = STAILQ_FIRST (&txn->success)->after;

  store->request = REQUEST_PAGE;
  talloc_free (store->after);
  store->after = talloc_strdup (NULL, after == NULL ? "" : after);
  store->done = done;
  store->data = data;
  return STATUS_OK;
}

static status_t
fake_poll (store_t *store, const char *prefix, int64_t after,
           struct timespec wait, store_poll_done_t done, void *data)
{
  (void)prefix;
  (void)wait;
  store->request = REQUEST_POLL;
  store->revision = after;
  store->poll_done = done;
  store->data = data;
  return STATUS_OK;
}

static store_generation_t *
fake_generation (store_t *store)
{
  return store->generation;
}

static const store_ops_t fake_store_ops = {
  .transact = fake_transact,
  .poll = fake_poll,
  .generation = fake_generation,
};

static void
on_change (const store_entry_t *entry, void *data)
{
  fixture_t *fixture = data;

  fixture->changed++;
  if (entry->value != NULL)
    return;
  talloc_free (fixture->gone);
  fixture->gone = talloc_strdup (fixture, entry->key);
}

static const store_mirror_ops_t mirror_ops = { .on_change = on_change };

/* Wait for the next request.  */
static void
expect_request (fixture_t *fixture, request_t request)
{
  scheduler_run_for (fixture->scheduler, timespec_from_ms (MAX_RETRY_MS));
  assert_int_equal (fixture->store.request, request);
}

/* Answer the pending read with a page of the given KEYS.  */
static void
answer_page (fixture_t *fixture, const char *const *keys, bool has_more,
             int64_t revision)
{
  store_entry_t entries[2] = { 0 };
  store_response_t response = { .has_more = has_more };
  store_result_t result = { .succeeded = true, .revision = revision };

  STAILQ_INIT (&result.responses);
  STAILQ_INSERT_TAIL (&result.responses, &response, link);
  STAILQ_INIT (&response.entries);
  for (unsigned i = 0; keys[i] != NULL; i++)
    {
      entries[i] = (store_entry_t){ .key = keys[i],
                                    .value = "value",
                                    .value_size = strlen ("value"),
                                    .mod_revision = 1 };
      STAILQ_INSERT_TAIL (&response.entries, &entries[i], link);
    }
  fixture->store.request = REQUEST_NONE;
  fixture->store.done (STATUS_OK, &result, fixture->store.data);
}

/* Let the pending request fail.  */
static void
fail_request (fixture_t *fixture, status_t status)
{
  store_t *store = &fixture->store;
  request_t request = store->request;

  store->request = REQUEST_NONE;
  if (request == REQUEST_PAGE)
    store->done (status_set (status, "failed by the test"), NULL, store->data);
  else
    store->poll_done (status_set (status, "failed by the test"), NULL,
                      store->data);
}

static int
set_up (void **state)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);
  store_mirror_options_t options
      = { .store_ops = &fake_store_ops,
          .store = &fixture->store,
          .prefix = "",
          .poll_interval = timespec_from_ms (POLL_INTERVAL_MS) };

  fixture->clock = clock_create_virtual (fixture, timespec_from_ms (1000));
  fixture->scheduler = scheduler_create (fixture, fixture->clock, 1);
  fixture->store.generation = store_generation_create (fixture);
  fixture->mirror = store_mirror_create (
      fixture,
      pool_worker (scheduler_create_pool (fixture->scheduler, fixture, 1), 0),
      &options, &mirror_ops, fixture);
  expect_request (fixture, REQUEST_PAGE);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;

  talloc_free (fixture->store.after);
  talloc_free (fixture);
  return 0;
}

/* A poll returns each change of a key.  Those of an outage can be more than
   the link carries in time: the same poll again would fail for as long as the
   store keeps its history.  */
static void
test_changes_that_are_too_many_are_replaced_by_a_read (void **state)
{
  static const char *const before[] = { "a", "b", NULL };
  static const char *const later[] = { "a", NULL };
  fixture_t *fixture = *state;

  answer_page (fixture, before, false, 10);
  expect_request (fixture, REQUEST_POLL);
  fail_request (fixture, STATUS_TIMEOUT);
  expect_request (fixture, REQUEST_POLL);
  fail_request (fixture, STATUS_TOO_LARGE);
  assert_int_equal (fixture->store.request, REQUEST_PAGE);
  assert_string_equal (fixture->store.after, "");
  answer_page (fixture, later, false, 40);
  assert_string_equal (fixture->gone, "b");
  expect_request (fixture, REQUEST_POLL);
  assert_int_equal (fixture->store.revision, 40);
}

/* A read that begins again at each failure never ends where the failures come
   often enough.  Changes made since its first page are still polled for.  */
static void
test_read_goes_on_at_the_page_that_failed (void **state)
{
  static const char *const first[] = { "a", "b", NULL };
  static const char *const second[] = { "c", NULL };
  fixture_t *fixture = *state;

  answer_page (fixture, first, true, 10);
  expect_request (fixture, REQUEST_PAGE);
  fail_request (fixture, STATUS_TIMEOUT);
  expect_request (fixture, REQUEST_PAGE);
  assert_string_equal (fixture->store.after, "b");
  answer_page (fixture, second, false, 15);
  assert_int_equal (fixture->changed, 3);
  assert_null (fixture->gone);
  expect_request (fixture, REQUEST_POLL);
  assert_int_equal (fixture->store.revision, 10);
}

/* Pages from before and after a restore of the store must not be joined.  */
static void
test_read_begins_again_after_a_restore (void **state)
{
  static const char *const first[] = { "a", "b", NULL };
  fixture_t *fixture = *state;
  unsigned changes;

  store_generation_accept (fixture->store.generation, 0, 1);
  answer_page (fixture, first, true, 10);
  expect_request (fixture, REQUEST_PAGE);
  fail_request (fixture, STATUS_TIMEOUT);
  changes = store_generation_changes (fixture->store.generation);
  store_generation_accept (fixture->store.generation, changes, 2);
  expect_request (fixture, REQUEST_PAGE);
  assert_string_equal (fixture->store.after, "");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (
        test_changes_that_are_too_many_are_replaced_by_a_read, set_up,
        tear_down),
    cmocka_unit_test_setup_teardown (test_read_goes_on_at_the_page_that_failed,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_read_begins_again_after_a_restore,
                                     set_up, tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
