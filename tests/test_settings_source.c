/* Reads of the settings from the store: while it is unavailable, a process
   must neither flood it nor wait for longer than the limit, or it gets new
   settings late when the store is back.  */

#include "common/settings_source.h"
#include "kernel/scheduler.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  RUN_MS = 600000,
  /* A delay is half of the present one, which is at most 4 s, and at random up
     to the whole of it.  */
  MAX_DELAY_MS = 6000,
  MIN_DELAY_MS = 100
};

struct store
{
  const clock_source_t *clock;
  unsigned reads;
  struct timespec read_at;
  int64_t longest_ms; /* between two reads */
  int64_t shortest_ms;
};

static status_t
store_fail (store_t *store, const store_txn_t *txn, store_done_t done,
            void *data)
{
  struct timespec now = clock_monotonic (store->clock);
  int64_t delay_ms = timespec_to_ms (timespec_subtract (now, store->read_at));

  (void)txn;
  (void)done;
  (void)data;
  if (store->reads > 0 && delay_ms > store->longest_ms)
    store->longest_ms = delay_ms;
  if (store->reads > 0 && delay_ms < store->shortest_ms)
    store->shortest_ms = delay_ms;
  store->reads++;
  store->read_at = now;
  return STATUS_UNAVAILABLE;
}

static const store_ops_t failing_store_ops = { .transact = store_fail };

static void
test_delay_between_reads_is_bounded (void **state)
{
  TALLOC_CTX *memory = talloc_new (NULL);
  clock_source_t *clock
      = clock_create_virtual (memory, (struct timespec){ .tv_sec = 100 });
  scheduler_t *scheduler = scheduler_create (memory, clock, 1);
  pool_t *pool = scheduler_create_pool (scheduler, memory, 1);
  node_t *node = node_create (memory, NODE_AGENT, "u", "z0", clock);
  store_t store = { .clock = clock, .shortest_ms = RUN_MS };
  settings_source_t *source = settings_source_create (
      pool_worker (pool, 0), node, config_create (memory), &failing_store_ops,
      &store);

  (void)state;
  scheduler_run_for (scheduler, timespec_from_ms (RUN_MS));
  assert_true (store.reads > RUN_MS / MAX_DELAY_MS);
  assert_true (store.longest_ms <= MAX_DELAY_MS);
  assert_true (store.shortest_ms >= MIN_DELAY_MS);
  settings_source_destroy (source);
  pool_destroy (pool);
  talloc_free (memory);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_delay_between_reads_is_bounded),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
