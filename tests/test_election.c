/* The leader election with a store that answers late: a process leads only
   while the store holds its key, however long it campaigned, whatever call was
   pending when it resigned, and also when the store was restored from a copy;
   each leader has a higher fence than those before it.  */

#include "common/election.h"
#include "kernel/scheduler.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

enum
{
  LEASE_MS = 2000,
  MAX_LEASES = 64
};

/* A store with one key and leases.  A call takes effect half of the latency
   after it was made and is answered after the whole of it.  */
struct store
{
  worker_t *worker;
  int64_t latency_ms;
  bool loses_revocations; /* calls that end leases never arrive */
  struct timespec lease_ends[MAX_LEASES]; /* by ID; zero if it has ended */
  int64_t last_lease;
  const char *holder; /* NULL if the key does not exist */
  int64_t key_lease;
  int64_t revision;
  store_generation_t *generation; /* as this process knows it */
  uint64_t generation_number;     /* as the store names it */
};

typedef struct fixture
{
  clock_source_t *clock;
  scheduler_t *scheduler;
  pool_t *pool;
  store_t store;
  election_t *election;
  bool is_leader;
  unsigned won;
  unsigned lost;
  uint64_t fence; /* of the last victory */
} fixture_t;

typedef enum call_kind
{
  CALL_GRANT,
  CALL_RENEW,
  CALL_REVOKE,
  CALL_WRITE
} call_kind_t;

typedef struct call
{
  store_t *store;
  call_kind_t kind;
  int64_t lease;
  unsigned changes;           /* of the generation when the call was made */
  uint64_t generation_number; /* when it took effect */
  const char *value;          /* for a write */
  int64_t replaced_revision;  /* for a write: of the key, which must exist; 0:
                                 it must not */
  store_lease_done_t lease_done;
  store_done_t done;
  void *data;
  status_t status;
  bool succeeded;
} call_t;

static bool
lease_is_alive (const store_t *store, int64_t lease)
{
  return timespec_compare (clock_monotonic (worker_clock (store->worker)),
                           store->lease_ends[lease])
         < 0;
}

static void
store_extend (store_t *store, int64_t lease)
{
  store->lease_ends[lease]
      = timespec_add (clock_monotonic (worker_clock (store->worker)),
                      timespec_from_ms (LEASE_MS));
}

static void
store_expire_key (store_t *store)
{
  if (store->key_lease != 0 && !lease_is_alive (store, store->key_lease))
    {
      store->holder = NULL;
      store->key_lease = 0;
    }
}

static void
call_write (call_t *call)
{
  store_t *store = call->store;

  if (!lease_is_alive (store, call->lease))
    {
      call->status = STATUS_NOT_FOUND;
      return;
    }
  call->succeeded = call->replaced_revision == 0
                        ? store->holder == NULL
                        : store->holder != NULL
                              && store->revision == call->replaced_revision;
  if (!call->succeeded)
    return;
  store->holder = call->value;
  store->key_lease = call->lease;
  store->revision++;
}

static void
call_take_effect (call_t *call)
{
  store_t *store = call->store;

  store_expire_key (store);
  call->status = STATUS_OK;
  switch (call->kind)
    {
    case CALL_GRANT:
      call->lease = ++store->last_lease;
      store_extend (store, call->lease);
      break;
    case CALL_RENEW:
      if (lease_is_alive (store, call->lease))
        store_extend (store, call->lease);
      else
        call->status = STATUS_NOT_FOUND;
      break;
    case CALL_REVOKE:
      if (store->loses_revocations)
        break;
      store->lease_ends[call->lease] = (struct timespec){ 0, 0 };
      store_expire_key (store);
      break;
    case CALL_WRITE:
      call_write (call);
      break;
    }
}

static void
call_answer (worker_t *worker, void *data)
{
  call_t *call = data;
  store_result_t result
      = { .succeeded = call->succeeded, .revision = call->store->revision };
  store_response_t response = { .kind = STORE_GET };
  store_entry_t entry = { .key = "leader",
                          .value = call->store->holder,
                          .mod_revision = call->store->revision,
                          .lease = call->store->key_lease };

  (void)worker;
  if (!store_generation_accept (call->store->generation, call->changes,
                                call->generation_number))
    call->status = STATUS_IO;
  STAILQ_INIT (&result.responses);
  STAILQ_INIT (&response.entries);
  if (entry.value != NULL)
    STAILQ_INSERT_TAIL (&response.entries, &entry, link);
  STAILQ_INSERT_TAIL (&result.responses, &response, link);
  if (call->kind == CALL_WRITE)
    call->done (call->status, call->status == STATUS_OK ? &result : NULL,
                call->data);
  else
    call->lease_done (call->status,
                      call->status == STATUS_OK ? call->lease : 0, call->data);
  talloc_free (call);
}

static void
call_arrive (worker_t *worker, void *data)
{
  call_t *call = data;

  call_take_effect (call);
  call->generation_number = call->store->generation_number;
  worker_timer_start (worker, call,
                      timespec_from_ms (call->store->latency_ms / 2),
                      call_answer, call);
}

static call_t *
call_start (store_t *store, call_kind_t kind, int64_t lease, void *data)
{
  call_t *call = talloc_zero (worker_events (store->worker), call_t);

  call->store = store;
  call->kind = kind;
  call->lease = lease;
  call->data = data;
  call->changes = store_generation_changes (store->generation);
  worker_timer_start (store->worker, call,
                      timespec_from_ms (store->latency_ms / 2), call_arrive,
                      call);
  return call;
}

static status_t
store_grant (store_t *store, struct timespec duration, store_lease_done_t done,
             void *data)
{
  (void)duration;
  call_start (store, CALL_GRANT, 0, data)->lease_done = done;
  return STATUS_OK;
}

static status_t
store_keep_alive (store_t *store, int64_t lease, store_lease_done_t done,
                  void *data)
{
  call_start (store, CALL_RENEW, lease, data)->lease_done = done;
  return STATUS_OK;
}

static status_t
store_revoke_lease (store_t *store, int64_t lease, store_lease_done_t done,
                    void *data)
{
  call_start (store, CALL_REVOKE, lease, data)->lease_done = done;
  return STATUS_OK;
}

static status_t
store_transact (store_t *store, const store_txn_t *txn, store_done_t done,
                void *data)
{
  const store_op_t *put = STAILQ_FIRST (&txn->success);
  call_t *call = call_start (store, CALL_WRITE, put->lease, data);

  call->value = talloc_strdup (worker_events (store->worker), put->value);
  if (STAILQ_FIRST (&txn->compares)->kind == STORE_MOD_REVISION_IS)
    call->replaced_revision = STAILQ_FIRST (&txn->compares)->revision;
  call->done = done;
  return STATUS_OK;
}

static store_generation_t *
store_get_generation (store_t *store)
{
  return store->generation;
}

/* Come back from a copy made before the first lease was granted.  */
static void
store_restore (store_t *store)
{
  memset (store->lease_ends, 0, sizeof (store->lease_ends));
  store->last_lease = 0;
  store->holder = NULL;
  store->key_lease = 0;
  store->revision = 0;
  store->generation_number++;
}

static const store_ops_t test_store_ops = {
  .grant = store_grant,
  .keep_alive = store_keep_alive,
  .revoke_lease = store_revoke_lease,
  .transact = store_transact,
  .generation = store_get_generation,
};

static void
fixture_on_won (uint64_t fence, const displaced_leader_t *displaced,
                void *data)
{
  fixture_t *fixture = data;

  (void)displaced;
  fixture->fence = fence;
  fixture->is_leader = true;
  fixture->won++;
}

static void
fixture_on_lost (void *data)
{
  fixture_t *fixture = data;

  fixture->is_leader = false;
  fixture->lost++;
}

static const election_ops_t fixture_ops
    = { .on_won = fixture_on_won, .on_lost = fixture_on_lost };

static fixture_t *
fixture_create (int64_t latency_ms)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);
  election_options_t options = { .store_ops = &test_store_ops,
                                 .store = &fixture->store,
                                 .key = "leader",
                                 .holder = "me",
                                 .duration = timespec_from_ms (LEASE_MS) };

  fixture->clock
      = clock_create_virtual (fixture, (struct timespec){ .tv_sec = 100 });
  fixture->scheduler = scheduler_create (fixture, fixture->clock, 1);
  fixture->pool = scheduler_create_pool (fixture->scheduler, fixture, 1);
  fixture->store.worker = pool_worker (fixture->pool, 0);
  fixture->store.latency_ms = latency_ms;
  fixture->store.generation = store_generation_create (fixture);
  fixture->store.generation_number = 1;
  fixture->election = election_create (fixture, fixture->store.worker,
                                       &options, &fixture_ops, fixture);
  return fixture;
}

static void
fixture_destroy (fixture_t *fixture)
{
  pool_destroy (fixture->pool);
  talloc_free (fixture);
}

static void
fixture_resign (fixture_t *fixture)
{
  election_resign (fixture->election);
  fixture->is_leader = false;
}

/* Run for MS.  The process must not lead while the store does not hold its
   key, except until the answer of a renewal can tell it.  */
static void
fixture_run (fixture_t *fixture, int64_t ms)
{
  scheduler_run_for (fixture->scheduler, timespec_from_ms (ms));
  store_expire_key (&fixture->store);
}

static void
assert_leads (const fixture_t *fixture)
{
  assert_true (fixture->is_leader);
  assert_non_null (fixture->store.holder);
  assert_string_equal (fixture->store.holder, "me");
}

/* A process that campaigns while another one leads wins only when that key is
   gone, up to the whole duration of its lease after the lease was granted.
   The lease must not end right after the victory.  */
static void
test_lease_is_fresh_after_a_long_campaign (void **state)
{
  (void)state;
  for (int64_t gone_ms = 0; gone_ms < 2LL * LEASE_MS; gone_ms += 100)
    {
      fixture_t *fixture = fixture_create (8);

      fixture->store.holder = "other";
      election_campaign (fixture->election);
      fixture_run (fixture, gone_ms);
      fixture->store.holder = NULL;
      fixture_run (fixture, LEASE_MS);
      assert_leads (fixture);
      fixture_run (fixture, 2LL * LEASE_MS);
      assert_leads (fixture);
      assert_int_equal (fixture->lost, 0);
      fixture_destroy (fixture);
    }
}

/* A process resigns, which ends its lease, and campaigns again before the
   answer to an earlier call has come.  That answer says nothing about the new
   campaign.  */
static void
test_answer_from_before_a_resignation_is_ignored (void **state)
{
  (void)state;
  for (int64_t resign_ms = 0; resign_ms < 2000; resign_ms += 50)
    {
      fixture_t *fixture = fixture_create (400);

      election_campaign (fixture->election);
      fixture_run (fixture, resign_ms);
      fixture_resign (fixture);
      fixture_run (fixture, 50);
      election_campaign (fixture->election);
      for (unsigned i = 0; i < 100; i++)
        {
          fixture_run (fixture, 50);
          if (fixture->is_leader)
            assert_leads (fixture);
        }
      assert_leads (fixture);
      fixture_destroy (fixture);
    }
}

/* Resign after RESIGN_MS of a campaign, which takes over from another leader
   if IS_TAKE_OVER, while any call may be pending, and campaign again after
   PAUSE_MS.  Without a campaign the process must neither win nor keep the key
   for longer than a lease, and its next victory must have a higher fence.  */
static void
check_resignation (int64_t resign_ms, int64_t pause_ms, bool is_take_over,
                   bool loses_revocations)
{
  fixture_t *fixture = fixture_create (400);
  store_t *store = &fixture->store;
  uint64_t fence;

  store->loses_revocations = loses_revocations;
  if (is_take_over)
    {
      store->holder = "other";
      store->revision = 1;
      election_take_over (fixture->election);
    }
  election_campaign (fixture->election);
  fixture_run (fixture, resign_ms);
  fixture_resign (fixture);
  fence = fixture->fence;
  fixture_run (fixture, pause_ms);
  assert_false (fixture->is_leader);
  if (pause_ms > LEASE_MS + store->latency_ms)
    assert_true (store->holder == NULL || strcmp (store->holder, "me") != 0);
  if (is_take_over)
    election_take_over (fixture->election);
  election_campaign (fixture->election);
  for (unsigned i = 0; i < 100; i++)
    {
      fixture_run (fixture, 50);
      if (fixture->is_leader)
        assert_leads (fixture);
    }
  assert_leads (fixture);
  assert_true (fixture->fence > fence);
  fixture_destroy (fixture);
}

static void
test_resignation_while_a_write_is_pending (void **state)
{
  (void)state;
  for (int64_t resign_ms = 0; resign_ms < 3000; resign_ms += 50)
    {
      for (int64_t pause_ms = 0; pause_ms <= 3000; pause_ms += 250)
        {
          for (unsigned variant = 0; variant < 4; variant++)
            check_resignation (resign_ms, pause_ms, variant % 2 != 0,
                               variant / 2 != 0);
        }
    }
}

/* A process that was suspended for longer than its lease cannot know whether
   it still leads, which it can tell at once.  */
static void
test_lease_is_over_after_a_pause (void **state)
{
  fixture_t *fixture = fixture_create (8);

  (void)state;
  election_campaign (fixture->election);
  fixture_run (fixture, 10LL * LEASE_MS);
  assert_leads (fixture);
  assert_false (election_is_lease_over (fixture->election));
  scheduler_freeze (fixture->scheduler, fixture->pool);
  fixture_run (fixture, LEASE_MS);
  assert_true (election_is_lease_over (fixture->election));
  scheduler_thaw (fixture->scheduler, fixture->pool);
  fixture_run (fixture, 100);
  assert_int_equal (fixture->lost, 1);
  fixture_destroy (fixture);
}

/* The revision of the key is given out again after a restore, but must not
   be the fence of another leader.  */
static void
test_fence_rises_when_the_store_was_restored (void **state)
{
  fixture_t *fixture = fixture_create (8);
  uint64_t fence;

  (void)state;
  election_campaign (fixture->election);
  fixture_run (fixture, LEASE_MS);
  assert_leads (fixture);
  for (unsigned i = 1; i <= 2; i++)
    {
      fence = fixture->fence;
      store_restore (&fixture->store);
      fixture_run (fixture, LEASE_MS);
      assert_leads (fixture);
      assert_int_equal (fixture->lost, i);
      assert_true (fixture->fence > fence);
    }
  fixture_destroy (fixture);
}

/* The restored store gives the number of this process's lease to another one,
   which becomes the leader.  Whatever call is pending, this process must
   neither lead on nor renew that lease, which ends.  */
static void
test_lease_given_to_another_is_not_renewed (void **state)
{
  (void)state;
  for (int64_t restore_ms = LEASE_MS; restore_ms < 2LL * LEASE_MS;
       restore_ms += 50)
    {
      fixture_t *fixture = fixture_create (400);
      store_t *store = &fixture->store;

      election_campaign (fixture->election);
      fixture_run (fixture, restore_ms);
      assert_leads (fixture);
      store_restore (store);
      store->holder = "other";
      store->revision++;
      store->key_lease = ++store->last_lease;
      store_extend (store, store->key_lease);
      fixture_run (fixture, LEASE_MS);
      assert_false (fixture->is_leader);
      fixture_run (fixture, 2LL * LEASE_MS);
      assert_leads (fixture);
      fixture_destroy (fixture);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lease_is_fresh_after_a_long_campaign),
    cmocka_unit_test (test_answer_from_before_a_resignation_is_ignored),
    cmocka_unit_test (test_resignation_while_a_write_is_pending),
    cmocka_unit_test (test_lease_is_over_after_a_pause),
    cmocka_unit_test (test_fence_rises_when_the_store_was_restored),
    cmocka_unit_test (test_lease_given_to_another_is_not_renewed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
