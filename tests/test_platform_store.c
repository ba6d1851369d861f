/* The client of the platform's store: a transaction that the store has no call
   for must be refused and not be run as another one.  */

#include "kernel/plugin.h"
#include "plugins/store.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

typedef struct fixture
{
  clock_source_t *clock;
  pool_t *pool;
  const store_ops_t *ops;
  store_t *store;
  unsigned answers;
} fixture_t;

static int
set_up (void **state)
{
  static const char *const urls[] = { "http://127.0.0.1:1", NULL };
  fixture_t *fixture = talloc_zero (NULL, fixture_t);
  store_options_t options = { .urls = urls, .timeout = { .tv_sec = 1 } };

  fixture->clock = clock_create_system (fixture);
  fixture->pool = pool_create (fixture, 1, fixture->clock);
  fixture->ops = plugin_ops (PLUGIN_STORE, "kv");
  fixture->store
      = fixture->ops->create (pool_worker (fixture->pool, 0), &options);
  assert_non_null (fixture->store);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;

  fixture->ops->destroy (fixture->store);
  talloc_free (fixture);
  return 0;
}

static void
on_done (status_t status, const store_result_t *result, void *data)
{
  fixture_t *fixture = data;

  (void)status;
  (void)result;
  fixture->answers++;
}

/* Return the status of a read of a prefix with LIMIT.  */
static status_t
read_prefix (fixture_t *fixture, int64_t limit)
{
  store_txn_t *txn = store_txn_create (fixture);
  status_t status;

  store_txn_then (txn, STORE_GET_PREFIX, "a/", NULL)->limit = limit;
  status = fixture->ops->transact (fixture->store, txn, on_done, fixture);
  store_txn_destroy (txn);
  return status;
}

/* The store returns keys in ascending order and the client passed them on, so
   that a reader of the newest entries got the oldest ones.  */
static void
test_limit_is_refused (void **state)
{
  fixture_t *fixture = *state;

  assert_int_equal (read_prefix (fixture, 2), STATUS_INVALID);
  assert_int_equal (read_prefix (fixture, 0), STATUS_OK);
  assert_int_equal (fixture->answers, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_limit_is_refused, set_up, tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
