/* Status, clock, registry of plug-ins, tables, lock order and tasks: what all
   other parts rely on.  */

#include "kernel/clock.h"
#include "kernel/findings.h"
#include "kernel/lock.h"
#include "kernel/plugin.h"
#include "kernel/pool.h"
#include "kernel/status.h"
#include "kernel/table.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

static void
test_status_keeps_last_message (void **state)
{
  (void)state;
  assert_int_equal (status_set (STATUS_TIMEOUT, "after %d s", 3),
                    STATUS_TIMEOUT);
  assert_string_equal (status_message (), "after 3 s");
  assert_string_equal (status_name (STATUS_TIMEOUT), "timeout");
}

static void
test_findings_keep_their_locations (void **state)
{
  findings_t *findings = findings_create (NULL);

  (void)state;
  findings_add (findings, "a.toml", 3, 7, "first");
  findings_add (findings, "a.toml", 9, 1, "second");
  assert_int_equal (findings_count (findings), 2);
  assert_int_equal (findings_first (findings)->line, 3);
  assert_int_equal (findings_first (findings)->column, 7);
  findings_destroy (findings);
}

static void
test_virtual_clock_moves_only_by_advance (void **state)
{
  clock_source_t *clock = clock_create_virtual (NULL, timespec_from_ms (1500));

  (void)state;
  assert_int_equal (timespec_to_ms (clock_monotonic (clock)), 1500);
  clock_advance (clock, timespec_from_ms (600));
  assert_int_equal (timespec_to_ms (clock_monotonic (clock)), 2100);
  assert_true (timespec_compare (timespec_from_ms (-1), timespec_from_ms (0))
               < 0);
  clock_destroy (clock);
}

static const int first_ops = 1;

PLUGIN_REGISTER (test_first, PLUGIN_PLACEMENT, "test-first", "for this test",
                 &first_ops);

static void
test_plugins_register_themselves (void **state)
{
  (void)state;
  assert_ptr_equal (plugin_ops (PLUGIN_PLACEMENT, "test-first"), &first_ops);
  assert_null (plugin_find (PLUGIN_PLACEMENT, "absent"));
  assert_non_null (strstr (status_message (), "test-first"));
}

typedef struct item
{
  table_node_t node;
  unsigned key;
} item_t;

static void
test_table_finds_nodes_after_growth (void **state)
{
  enum
  {
    ITEM_COUNT = 1000
  };
  TALLOC_CTX *owner = talloc_new (NULL);
  table_t *table = table_create (owner, LOCK_UPSTREAMS, "test");
  item_t *items = talloc_zero_array (owner, item_t, ITEM_COUNT);
  table_node_t *node;
  unsigned visited = 0;

  (void)state;
  table_lock (table);
  for (unsigned i = 0; i < ITEM_COUNT; i++)
    {
      items[i].key = i;
      assert_int_equal (table_insert (table, &items[i].node, &items[i].key,
                                      sizeof items[i].key),
                        STATUS_OK);
    }
  assert_int_equal (
      table_insert (table, &items[0].node, &items[0].key, sizeof items[0].key),
      STATUS_CONFLICT);
  for (unsigned i = 0; i < ITEM_COUNT; i += 2)
    table_remove (table, &items[i].node);
  for (unsigned i = 0; i < ITEM_COUNT; i++)
    {
      node = table_find (table, &i, sizeof i);
      assert_ptr_equal (node, i % 2 == 0 ? NULL : &items[i].node);
    }
  TABLE_FOREACH (node, table)
    visited++;
  assert_int_equal (visited, ITEM_COUNT / 2);
  table_unlock (table);
  talloc_free (owner);
}

/* Return whether BODY, run in a child process, is killed by a signal.  */
static bool
is_aborted (void (*body) (void))
{
  pid_t child = fork ();
  int status;

  if (child == 0)
    {
      if (freopen ("/dev/null", "w", stderr) == NULL)
        _exit (1);
      body ();
      _exit (0);
    }
  waitpid (child, &status, 0);
  return WIFSIGNALED (status);
}

static void
acquire_by_rank (void)
{
  lock_t *low = lock_create (NULL, LOCK_UPSTREAMS, "low");
  lock_t *high = lock_create (NULL, LOCK_REQUESTS, "high");

  lock_acquire (low);
  lock_acquire (high);
  lock_release (high);
  lock_release (low);
}

static void
acquire_against_rank (void)
{
  lock_t *low = lock_create (NULL, LOCK_UPSTREAMS, "low");
  lock_t *high = lock_create (NULL, LOCK_REQUESTS, "high");

  lock_acquire (high);
  lock_acquire (low);
}

static void
test_lock_order_is_checked (void **state)
{
  (void)state;
  assert_false (is_aborted (acquire_by_rank));
  assert_true (is_aborted (acquire_against_rank));
}

/* A task that posts itself to the next worker until no hops are left.  */
typedef struct hop_task
{
  task_t task;
  unsigned hops;
  atomic_bool is_done;
} hop_task_t;

static void
hop_task_run (task_t *task, worker_t *worker)
{
  hop_task_t *hop_task = CONTAINER_OF (task, hop_task_t, task);
  pool_t *pool = worker_pool (worker);
  unsigned next = (worker_index (worker) + 1) % pool_worker_count (pool);

  if (--hop_task->hops > 0)
    {
      worker_post (pool_worker (pool, next), task);
      return;
    }
  atomic_store (&hop_task->is_done, true);
  pool_stop (pool);
}

static void
test_task_moves_between_workers (void **state)
{
  clock_source_t *clock = clock_create_system (NULL);
  pool_t *pool = pool_create (NULL, 3, clock);
  hop_task_t hop_task = { .task = { .run = hop_task_run }, .hops = 1000 };

  (void)state;
  assert_int_equal (pool_start (pool), STATUS_OK);
  worker_post (pool_worker (pool, 0), &hop_task.task);
  pool_join (pool);
  assert_true (atomic_load (&hop_task.is_done));
  pool_destroy (pool);
  clock_destroy (clock);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_status_keeps_last_message),
    cmocka_unit_test (test_findings_keep_their_locations),
    cmocka_unit_test (test_virtual_clock_moves_only_by_advance),
    cmocka_unit_test (test_plugins_register_themselves),
    cmocka_unit_test (test_table_finds_nodes_after_growth),
    cmocka_unit_test (test_lock_order_is_checked),
    cmocka_unit_test (test_task_moves_between_workers),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
