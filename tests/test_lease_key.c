/* The key by which a process is known, in a store that carries out writes late
   and loses responses.  A process without its key is not counted by others,
   which then take more than their share of what all have together.  */

#include "common/lease_key.h"
#include "kernel/scheduler.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

enum
{
  LEASE_MS = 9000,
  RETRY_MS = 1000, /* at most, until a failed call is repeated */
  MAX_WRITES = 8
};

/* A write that has been sent.  */
typedef struct sent_write
{
  bool has_condition;
  int64_t expected; /* revision of the key; 0: it must not exist */
  const char *value;
  int64_t lease;
  store_done_t done; /* NULL: its sender has ended */
  void *data;
} sent_write_t;

/* A store with one key.  Leases are granted and renewed at once, and writes
   are carried out when the test says so.  */
struct store
{
  int64_t last_lease;
  const char *value; /* NULL if the key does not exist */
  int64_t lease;
  int64_t revision;
  int64_t key_revision;
  sent_write_t writes[MAX_WRITES];
  unsigned sent;
};

typedef struct fixture
{
  clock_source_t *clock;
  scheduler_t *scheduler;
  worker_t *worker;
  store_t store;
} fixture_t;

static status_t
fake_grant (store_t *store, struct timespec duration, store_lease_done_t done,
            void *data)
{
  (void)duration;
  done (STATUS_OK, ++store->last_lease, data);
  return STATUS_OK;
}

static status_t
fake_keep_alive (store_t *store, int64_t lease, store_lease_done_t done,
                 void *data)
{
  (void)store;
  done (STATUS_OK, lease, data);
  return STATUS_OK;
}

static status_t
fake_transact (store_t *store, const store_txn_t *txn, store_done_t done,
               void *data)
{
  const store_compare_t *compare = STAILQ_FIRST (&txn->compares);
  const store_op_t *put = STAILQ_FIRST (&txn->success);

  assert_true (store->sent < MAX_WRITES);
  store->writes[store->sent++] = (sent_write_t){
    .has_condition = compare != NULL,
    .expected = compare == NULL || compare->kind == STORE_KEY_ABSENT
                    ? 0
                    : compare->revision,
    .value = talloc_strdup (NULL, put->value),
    .lease = put->lease,
    .done = done,
    .data = data,
  };
  return STATUS_OK;
}

static const store_ops_t fake_store_ops = {
  .transact = fake_transact,
  .grant = fake_grant,
  .keep_alive = fake_keep_alive,
};

/* Apply write NUMBER, if its condition holds.  Its sender gets the
   response unless that IS_LOST.  */
static void
apply_write (fixture_t *fixture, unsigned number, bool is_lost)
{
  store_t *store = &fixture->store;
  const sent_write_t *write = &store->writes[number];
  store_entry_t entry = { .key = "key" };
  store_response_t response = { .kind = STORE_GET };
  store_result_t result
      = { .succeeded
          = !write->has_condition || write->expected == store->key_revision };

  if (result.succeeded)
    {
      store->value = write->value;
      store->lease = write->lease;
      store->key_revision = ++store->revision;
    }
  result.revision = store->revision;
  entry.value = store->value;
  entry.lease = store->lease;
  entry.mod_revision = store->key_revision;
  STAILQ_INIT (&response.entries);
  STAILQ_INSERT_TAIL (&response.entries, &entry, link);
  STAILQ_INIT (&result.responses);
  STAILQ_INSERT_TAIL (&result.responses, &response, link);
  if (write->done == NULL)
    return;
  if (is_lost)
    write->done (status_set (STATUS_IO, "lost"), NULL, write->data);
  else
    write->done (STATUS_OK, &result, write->data);
}

/* End LEASE, and the key with it.  */
static void
end_lease (store_t *store, int64_t lease)
{
  if (store->lease != lease)
    return;
  store->value = NULL;
  store->lease = 0;
  store->key_revision = 0;
  store->revision++;
}

/* Start a run of the process, which sends its first write.  */
static lease_key_t *
start_run (fixture_t *fixture)
{
  lease_key_options_t options = { .store_ops = &fake_store_ops,
                                  .store = &fixture->store,
                                  .key = "key",
                                  .value = "zone",
                                  .duration = timespec_from_ms (LEASE_MS) };
  lease_key_t *key = lease_key_create (fixture, fixture->worker, &options);

  scheduler_run_for (fixture->scheduler, timespec_from_ms (1));
  return key;
}

/* Kill the run that has KEY.  Its writes may still be carried out.  */
static void
kill_run (fixture_t *fixture, lease_key_t *key)
{
  for (unsigned i = 0; i < fixture->store.sent; i++)
    fixture->store.writes[i].done = NULL;
  talloc_free (key);
}

static int
set_up (void **state)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);

  fixture->clock = clock_create_virtual (fixture, timespec_from_ms (1000));
  fixture->scheduler = scheduler_create (fixture, fixture->clock, 1);
  fixture->worker = pool_worker (
      scheduler_create_pool (fixture->scheduler, fixture, 1), 0);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;

  for (unsigned i = 0; i < fixture->store.sent; i++)
    talloc_free ((char *)fixture->store.writes[i].value);
  talloc_free (fixture);
  return 0;
}

/* The late write would give the key the lease of the run that was killed, and
   the key would go with that.  */
static void
test_late_write_of_an_earlier_run_changes_nothing (void **state)
{
  fixture_t *fixture = *state;
  store_t *store = &fixture->store;

  kill_run (fixture, start_run (fixture));
  start_run (fixture);
  apply_write (fixture, 1, false);
  apply_write (fixture, 0, false);
  assert_int_equal (store->lease, 2);
  end_lease (store, 1);
  assert_string_equal (store->value, "zone");
}

static void
test_key_of_an_earlier_run_is_replaced (void **state)
{
  fixture_t *fixture = *state;
  store_t *store = &fixture->store;

  kill_run (fixture, start_run (fixture));
  apply_write (fixture, 0, false);
  start_run (fixture);
  apply_write (fixture, 1, false);
  apply_write (fixture, 2, false);
  assert_int_equal (store->lease, 2);
  end_lease (store, 1);
  assert_string_equal (store->value, "zone");
}

static void
test_write_whose_response_was_lost_stands (void **state)
{
  fixture_t *fixture = *state;

  start_run (fixture);
  apply_write (fixture, 0, true);
  scheduler_run_for (fixture->scheduler, timespec_from_ms (RETRY_MS));
  apply_write (fixture, 1, false);
  scheduler_run_for (fixture->scheduler, timespec_from_ms (RETRY_MS));
  assert_int_equal (fixture->store.sent, 2);
  assert_int_equal (fixture->store.lease, 1);
}

/* A write that is carried out after a later one of the same run must not bring
   the earlier value back.  */
static void
test_late_write_of_an_earlier_value_changes_nothing (void **state)
{
  fixture_t *fixture = *state;
  lease_key_t *key = start_run (fixture);

  apply_write (fixture, 0, false);
  lease_key_set_value (key, "second");
  scheduler_run_for (fixture->scheduler, timespec_from_ms (1));
  fixture->store.writes[1].done (status_set (STATUS_IO, "no response"), NULL,
                                 fixture->store.writes[1].data);
  fixture->store.writes[1].done = NULL;
  lease_key_set_value (key, "third");
  scheduler_run_for (fixture->scheduler, timespec_from_ms (RETRY_MS));
  apply_write (fixture, 2, false);
  apply_write (fixture, 1, false);
  assert_string_equal (fixture->store.value, "third");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (
        test_late_write_of_an_earlier_run_changes_nothing, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_key_of_an_earlier_run_is_replaced,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_write_whose_response_was_lost_stands,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        test_late_write_of_an_earlier_value_changes_nothing, set_up,
        tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
