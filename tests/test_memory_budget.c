/* The account of the memory that a process holds for peers: many large
   requests must not use all of it, nor many clients make a process drop those
   that make progress, and what is refused or dropped must leave the account as
   it was.  */

#include "kernel/memory_budget.h"
#include "kernel/table.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

enum
{
  MAX_CONNECTIONS = 8,
  WORKERS = 2,
  HOLDERS = 64,
  STALL_MS = 1000,
  RANDOM_STEPS = 100000,
  RANDOM_SEED = 20261206
};

#define KB ((size_t)1024)
#define MB (1024 * KB)
#define LIMIT_BYTES (16 * MB)
#define LARGE_LIMIT_BYTES (12 * MB)

typedef struct peer
{
  memory_holder_t memory;
  unsigned drops;
  memory_reason_t reason;
  bool is_started;
} peer_t;

typedef struct fixture
{
  clock_source_t *clock;
  memory_budget_t *budget;
  unsigned wakes;
  peer_t peers[HOLDERS];
} fixture_t;

static void
peer_drop (memory_holder_t *holder, memory_reason_t reason)
{
  peer_t *peer = CONTAINER_OF (holder, peer_t, memory);

  peer->drops++;
  peer->reason = reason;
}

static const memory_holder_ops_t peer_ops = { .drop = peer_drop };

static void
count_wake (void *data)
{
  fixture_t *fixture = data;

  fixture->wakes++;
}

static int
set_up (void **state)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);
  memory_limits_t limits
      = { .bytes = LIMIT_BYTES, .connections = MAX_CONNECTIONS };

  fixture->clock
      = clock_create_virtual (fixture, (struct timespec){ .tv_sec = 1000 });
  fixture->budget
      = memory_budget_create (fixture, fixture->clock, &limits, WORKERS);
  for (unsigned i = 0; i < WORKERS; i++)
    memory_worker_set_wake (memory_budget_worker (fixture->budget, i),
                            count_wake, fixture);
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
advance_ms (const fixture_t *fixture, int64_t ms)
{
  clock_advance (fixture->clock, timespec_from_ms (ms));
}

/* Start peer INDEX, a connection, on one of the workers.  */
static peer_t *
start (fixture_t *fixture, unsigned index)
{
  peer_t *peer = &fixture->peers[index];

  *peer = (peer_t){ .is_started = true };
  memory_holder_start_connection (
      &peer->memory, memory_budget_worker (fixture->budget, index % WORKERS),
      &peer_ops);
  return peer;
}

static peer_t *
start_with (fixture_t *fixture, unsigned index, size_t bytes)
{
  peer_t *peer = start (fixture, index);

  assert_true (memory_reserve (&peer->memory, bytes));
  return peer;
}

/* Let the workers drop what was chosen, and end those peers.  */
static void
run_workers (fixture_t *fixture)
{
  for (unsigned i = 0; i < WORKERS; i++)
    memory_worker_drop (memory_budget_worker (fixture->budget, i));
  for (unsigned i = 0; i < HOLDERS; i++)
    {
      if (fixture->peers[i].is_started && fixture->peers[i].drops > 0)
        memory_holder_end (&fixture->peers[i].memory);
    }
}

static void
test_limits (void **state)
{
  memory_limits_t limits = memory_limits_for (112 * MB, 2940);

  (void)state;
  assert_int_equal (limits.bytes, 48 * MB);
  assert_int_equal (limits.connections, 1470);
  assert_int_equal (memory_limits_for (16 * MB, 100).bytes, 4 * MB);
}

/* Of several stalled peers, the one with most bytes times time goes first.  */
static void
test_drops_most_for_longest (void **state)
{
  fixture_t *fixture = *state;
  peer_t *old_small = start_with (fixture, 0, 64 * KB);
  peer_t *old = start_with (fixture, 1, 3 * MB);
  peer_t *newcomer = start (fixture, 3);
  peer_t *recent;

  advance_ms (fixture, STALL_MS);
  recent = start_with (fixture, 2, 4 * MB);
  advance_ms (fixture, STALL_MS);
  memory_holder_progress (&newcomer->memory);
  assert_true (memory_reserve (&newcomer->memory, 8 * MB));
  run_workers (fixture);
  assert_int_equal (old->drops, 1);
  assert_int_equal (old->reason, MEMORY_REASON_LARGE);
  assert_int_equal (recent->drops, 0);
  assert_int_equal (old_small->drops, 0);
}

/* A request that makes progress, or that this process works on, is not dropped
   for another: the other is refused.  */
static void
test_progress_and_work_protect (void **state)
{
  fixture_t *fixture = *state;
  peer_t *active = start_with (fixture, 0, 6 * MB);
  peer_t *working = start_with (fixture, 1, 6 * MB);
  peer_t *newcomer = start (fixture, 2);

  memory_holder_set_waiting (&working->memory, false);
  advance_ms (fixture, STALL_MS);
  memory_holder_progress (&active->memory);
  assert_false (memory_reserve (&newcomer->memory, MB));
  run_workers (fixture);
  assert_int_equal (active->drops + working->drops, 0);
  assert_int_equal (memory_budget_held (fixture->budget), 12 * MB);
}

/* Large requests leave a part for small ones.  */
static void
test_small_have_a_part (void **state)
{
  fixture_t *fixture = *state;
  peer_t *small;

  for (unsigned i = 0; i < 3; i++)
    start_with (fixture, i, LARGE_LIMIT_BYTES / 3);
  assert_false (memory_reserve (&start (fixture, 3)->memory, MB));
  small = start (fixture, 4);
  assert_true (memory_reserve (&small->memory, 100 * KB));
  /* It becomes a large one.  */
  assert_false (memory_reserve (&small->memory, 100 * KB));
  assert_int_equal (small->memory.held, 100 * KB);
}

/* A peer that is to be dropped gets no more, and its worker's delay does not
   let the account grow without bound.  */
static void
test_dropped_but_not_released (void **state)
{
  fixture_t *fixture = *state;
  unsigned granted = 0;

  for (unsigned i = 0; i < 12; i++)
    start_with (fixture, i, MB);
  advance_ms (fixture, STALL_MS);
  for (unsigned i = 12; i < 24; i++)
    {
      if (memory_reserve (&start (fixture, i)->memory, MB))
        granted++;
    }
  assert_int_equal (granted, 6); /* up to an eighth over the limit */
  assert_true (fixture->wakes >= 1);
  assert_false (memory_reserve (&fixture->peers[0].memory, KB));
  run_workers (fixture);
  assert_int_equal (memory_budget_held (fixture->budget), 12 * MB);
  for (unsigned i = 0; i < 24; i++)
    memory_holder_end (&fixture->peers[i].memory);
  assert_int_equal (memory_budget_held (fixture->budget), 0);
}

/* What the process itself asks for is never refused, but makes peers go.  */
static void
test_charge_drops_peers (void **state)
{
  fixture_t *fixture = *state;
  peer_t *peer = start_with (fixture, 0, LARGE_LIMIT_BYTES);
  memory_holder_t own = { .held = 0 };

  memory_holder_start (&own, memory_budget_worker (fixture->budget, 0), NULL);
  advance_ms (fixture, STALL_MS);
  memory_charge (&own, 8 * MB);
  assert_int_equal (own.held, 8 * MB);
  run_workers (fixture);
  assert_int_equal (peer->drops, 1);
  memory_holder_end (&own);
  assert_int_equal (memory_budget_held (fixture->budget), 0);
}

/* With as many connections as allowed, the one that is silent for longest
   makes room; none that is new or that is worked for does.  */
static void
test_connections (void **state)
{
  fixture_t *fixture = *state;
  memory_worker_t *worker = memory_budget_worker (fixture->budget, 0);

  for (unsigned i = 0; i < MAX_CONNECTIONS; i++)
    {
      assert_true (memory_admit_connection (worker));
      start (fixture, i);
      advance_ms (fixture, 1);
    }
  assert_false (memory_admit_connection (worker));
  memory_holder_set_waiting (&fixture->peers[0].memory, false);
  advance_ms (fixture, STALL_MS);
  memory_holder_progress (&fixture->peers[1].memory);
  assert_true (memory_admit_connection (worker));
  run_workers (fixture);
  for (unsigned i = 0; i < MAX_CONNECTIONS; i++)
    assert_int_equal (fixture->peers[i].drops, i == 2);
  assert_int_equal (fixture->peers[2].reason, MEMORY_REASON_CONNECTIONS);
}

/* Without a budget nothing is counted and nothing refused.  */
static void
test_without_budget (void **state)
{
  memory_holder_t holder = { .held = 0 };

  (void)state;
  memory_holder_start_connection (&holder, NULL, &peer_ops);
  assert_true (memory_admit_connection (NULL));
  assert_true (memory_reserve (&holder, SIZE_MAX / 2));
  memory_charge (&holder, 1);
  memory_holder_set_waiting (&holder, true);
  memory_holder_progress (&holder);
  memory_holder_end (&holder);
}

/* After any sequence of operations the account is the sum of the holders, and
   within its bound.  */
static void
test_random_operations (void **state)
{
  fixture_t *fixture = *state;
  unsigned seed = RANDOM_SEED;

  for (unsigned step = 0; step < RANDOM_STEPS; step++)
    {
      unsigned index = (unsigned)rand_r (&seed) % HOLDERS;
      peer_t *peer = &fixture->peers[index];
      size_t bytes = (size_t)1 << (rand_r (&seed) % 22);
      size_t sum = 0;

      if (!peer->is_started || peer->memory.owner == NULL)
        start (fixture, index);
      switch (rand_r (&seed) % 6)
        {
        case 0:
          memory_holder_end (&peer->memory);
          break;
        case 1:
          memory_holder_set_waiting (&peer->memory, rand_r (&seed) % 2 == 0);
          break;
        case 2:
          memory_holder_progress (&peer->memory);
          break;
        case 3:
          run_workers (fixture);
          break;
        default:
          memory_set_held (&peer->memory, bytes);
        }
      advance_ms (fixture, rand_r (&seed) % 50);
      for (unsigned i = 0; i < HOLDERS; i++)
        sum += fixture->peers[i].memory.held;
      assert_int_equal (memory_budget_held (fixture->budget), sum);
      assert_true (sum <= LIMIT_BYTES + LIMIT_BYTES / 8);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_limits),
    cmocka_unit_test_setup_teardown (test_drops_most_for_longest, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_progress_and_work_protect, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_small_have_a_part, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_dropped_but_not_released, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_charge_drops_peers, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_connections, set_up, tear_down),
    cmocka_unit_test (test_without_budget),
    cmocka_unit_test_setup_teardown (test_random_operations, set_up,
                                     tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
