/* Policies that choose an upstream: entries that see the same old reports must
   not all choose the same one, and a cached prompt must not overload one.  */

#include "kernel/clock.h"
#include "kernel/plugin.h"
#include "plugins/pick.h"
#include "plugins/pick/prefix_index.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

enum
{
  CANDIDATES = 12,
  ROUNDS = 1200,
  SEED = 7,
  REQUEST_TOKENS = 1000,
  PREFIX_BLOCKS = 8
};

typedef struct fixture
{
  struct timespec now;
  char names[CANDIDATES][8];
  pick_candidate_t candidates[CANDIDATES];
  const pick_candidate_t *pointers[CANDIDATES];
  pick_request_t request;
} fixture_t;

static void
fixture_init (fixture_t *fixture)
{
  *fixture = (fixture_t){ .now = timespec_from_ms (100000) };
  fixture->request.prompt_tokens = REQUEST_TOKENS;
  fixture->request.zone = "z0";
  for (unsigned i = 0; i < CANDIDATES; i++)
    {
      pick_candidate_t *candidate = &fixture->candidates[i];

      snprintf (fixture->names[i], sizeof fixture->names[i], "u%u", i);
      candidate->name = fixture->names[i];
      candidate->name_hash = i + 1;
      candidate->zone = i % 3 == 0 ? "z0" : "z1";
      candidate->report = (pick_report_t){ .is_known = true,
                                           .at = fixture->now,
                                           .limit_requests = 100,
                                           .limit_tokens = 100000 };
      fixture->pointers[i] = candidate;
    }
}

/* Choose with OPS among the first COUNT candidates, and account for the
   request as the router does.  */
static size_t
choose_among (fixture_t *fixture, const pick_ops_t *ops, pick_t *pick,
              size_t count)
{
  pick_choice_t choice = { 0 };
  pick_candidate_t *chosen;

  ops->choose (pick, &fixture->request, fixture->pointers, count, fixture->now,
               &choice);
  assert_true (choice.index < count);
  chosen = &fixture->candidates[choice.index];
  chosen->outstanding_requests++;
  chosen->outstanding_tokens += REQUEST_TOKENS;
  if (ops->record_blocks != NULL)
    ops->record_blocks (pick, chosen->name_hash,
                        fixture->request.prefix_blocks,
                        fixture->request.prefix_block_count, true);
  return choice.index;
}

static size_t
choose (fixture_t *fixture, const pick_ops_t *ops, pick_t *pick)
{
  return choose_among (fixture, ops, pick, CANDIDATES);
}

static const pick_ops_t *
find_policy (const char *name)
{
  const pick_ops_t *ops = plugin_ops (PLUGIN_PICK, name);

  assert_non_null (ops);
  return ops;
}

static void
test_least_tokens_spreads_without_new_reports (void **state)
{
  const pick_ops_t *ops = find_policy ("least-tokens");
  pick_t *pick = ops->create (NULL, SEED);
  fixture_t fixture;

  (void)state;
  fixture_init (&fixture);
  for (unsigned i = 0; i < ROUNDS / 2; i++)
    choose (&fixture, ops, pick);
  for (unsigned i = 0; i < CANDIDATES; i++)
    {
      assert_in_range (fixture.candidates[i].outstanding_requests,
                       ROUNDS / 2 / CANDIDATES - 5,
                       ROUNDS / 2 / CANDIDATES + 5);
    }
  ops->destroy (pick);
}

static void
test_least_tokens_considers_load_of_other_entries (void **state)
{
  const pick_ops_t *ops = find_policy ("least-tokens");
  pick_t *pick = ops->create (NULL, SEED);
  fixture_t fixture;
  unsigned chosen = 0;

  (void)state;
  fixture_init (&fixture);
  fixture.candidates[0].report.outstanding_requests = 90;
  fixture.candidates[0].report.outstanding_tokens = 90000;
  for (unsigned i = 0; i < 100; i++)
    chosen += choose (&fixture, ops, pick) == 0;
  assert_int_equal (chosen, 0);
  ops->destroy (pick);
}

static void
test_least_tokens_avoids_full_cold_upstreams (void **state)
{
  const pick_ops_t *ops = find_policy ("least-tokens");
  pick_t *pick = ops->create (NULL, SEED);
  fixture_t fixture;

  (void)state;
  fixture_init (&fixture);
  for (unsigned i = 0; i + 1 < CANDIDATES; i++)
    {
      fixture.candidates[i].report.is_cold = true;
      fixture.candidates[i].report.limit_requests = 1;
      fixture.candidates[i].report.limit_tokens = 2000;
    }
  for (unsigned i = 0; i < 50; i++)
    choose (&fixture, ops, pick);
  for (unsigned i = 0; i + 1 < CANDIDATES; i++)
    assert_true (fixture.candidates[i].outstanding_requests <= 1);
  ops->destroy (pick);
}

/* An upstream whose old report shows no load must not get all requests.  */
static void
test_least_tokens_weights_reports_by_age (void **state)
{
  const pick_ops_t *ops = find_policy ("least-tokens");
  pick_t *pick = ops->create (NULL, SEED);
  fixture_t fixture;
  unsigned first = 0;

  (void)state;
  fixture_init (&fixture);
  for (unsigned i = 1; i < CANDIDATES; i++)
    fixture.candidates[i].report.outstanding_tokens = 30000;
  fixture.candidates[0].report.at
      = timespec_subtract (fixture.now, timespec_from_ms (30000));
  for (unsigned i = 0; i < 200; i++)
    first += choose (&fixture, ops, pick) == 0;
  assert_in_range (first, 1, 30);
  ops->destroy (pick);
}

static void
test_least_tokens_prefers_own_zone_only_at_equal_load (void **state)
{
  const pick_ops_t *ops = find_policy ("least-tokens");
  pick_t *pick = ops->create (NULL, SEED);
  fixture_t fixture;

  (void)state;
  fixture_init (&fixture);
  for (unsigned i = 0; i < 3; i++)
    {
      fixture.candidates[0].outstanding_tokens = 0;
      fixture.candidates[0].outstanding_requests = 0;
      assert_int_equal (choose_among (&fixture, ops, pick, 2), 0);
    }
  fixture.candidates[0].outstanding_tokens += (uint64_t)10 * REQUEST_TOKENS;
  assert_int_equal (choose_among (&fixture, ops, pick, 2), 1);
  ops->destroy (pick);
}

static void
test_by_key_agrees_between_entries (void **state)
{
  const pick_ops_t *ops = find_policy ("by-key");
  pick_t *left = ops->create (NULL, 1);
  pick_t *right = ops->create (NULL, 2);
  fixture_t fixture;

  (void)state;
  fixture_init (&fixture);
  for (unsigned i = 1; i < 100; i++)
    {
      fixture.request.key_hash = i;
      assert_int_equal (choose (&fixture, ops, left),
                        choose (&fixture, ops, right));
    }
  assert_true (ops->needs_all_upstreams);
  ops->destroy (left);
  ops->destroy (right);
}

static void
set_prefix_blocks (fixture_t *fixture, uint64_t *blocks, uint64_t first)
{
  for (unsigned i = 0; i < PREFIX_BLOCKS; i++)
    blocks[i] = first + i;
  fixture->request.prefix_blocks = blocks;
  fixture->request.prefix_block_count = PREFIX_BLOCKS;
}

static void
test_prefix_chooses_cached_upstream_again (void **state)
{
  const pick_ops_t *ops = find_policy ("prefix");
  pick_t *pick = ops->create (NULL, SEED);
  fixture_t fixture;
  uint64_t blocks[PREFIX_BLOCKS];
  size_t home;

  (void)state;
  fixture_init (&fixture);
  set_prefix_blocks (&fixture, blocks, 100);
  home = choose (&fixture, ops, pick);
  for (unsigned i = 0; i < 5; i++)
    assert_int_equal (choose (&fixture, ops, pick), home);
  ops->destroy (pick);
}

/* Requests with the same prefix are spread once its holders are above their
   maximum utilization.  */
static void
test_prefix_overloads_no_upstream (void **state)
{
  const pick_ops_t *ops = find_policy ("prefix");
  pick_t *pick = ops->create (NULL, SEED);
  fixture_t fixture;
  uint64_t blocks[PREFIX_BLOCKS];
  uint64_t max_requests = 0;

  (void)state;
  fixture_init (&fixture);
  set_prefix_blocks (&fixture, blocks, 100);
  for (unsigned i = 0; i < ROUNDS / 2; i++)
    choose (&fixture, ops, pick);
  for (unsigned i = 0; i < CANDIDATES; i++)
    {
      if (fixture.candidates[i].outstanding_requests > max_requests)
        max_requests = fixture.candidates[i].outstanding_requests;
    }
  assert_true (max_requests <= (uint64_t)ROUNDS / CANDIDATES);
  ops->destroy (pick);
}

static void
test_prefix_agrees_between_entries (void **state)
{
  const pick_ops_t *ops = find_policy ("prefix");
  pick_t *left = ops->create (NULL, 1);
  pick_t *right = ops->create (NULL, 2);
  uint64_t blocks[PREFIX_BLOCKS];

  (void)state;
  for (unsigned i = 1; i < 50; i++)
    {
      fixture_t fixture;

      fixture_init (&fixture);
      set_prefix_blocks (&fixture, blocks, (uint64_t)i * 1000);
      assert_int_equal (choose (&fixture, ops, left),
                        choose (&fixture, ops, right));
    }
  ops->destroy (left);
  ops->destroy (right);
}

static void
test_prefix_handles_cache_events_and_restarts (void **state)
{
  const pick_ops_t *ops = find_policy ("prefix");
  pick_t *pick = ops->create (NULL, SEED);
  fixture_t fixture;
  uint64_t blocks[PREFIX_BLOCKS];
  size_t home;
  size_t other;

  (void)state;
  fixture_init (&fixture);
  set_prefix_blocks (&fixture, blocks, 100);
  home = choose (&fixture, ops, pick);
  other = (home + 1) % CANDIDATES;
  ops->record_blocks (pick, home + 1, blocks, PREFIX_BLOCKS, false);
  ops->record_blocks (pick, other + 1, blocks, PREFIX_BLOCKS, true);
  assert_int_equal (choose (&fixture, ops, pick), other);
  ops->record_restart (pick, other + 1);
  assert_int_equal (choose (&fixture, ops, pick), home);
  ops->destroy (pick);
}

static void
test_prefix_index_is_bounded (void **state)
{
  enum
  {
    CAPACITY = 64
  };
  prefix_index_t *index = prefix_index_create (NULL, CAPACITY);

  (void)state;
  for (uint64_t i = 1; i <= (uint64_t)10 * CAPACITY; i++)
    {
      prefix_index_add (index, i, 1);
      prefix_index_add (index, 1, 1);
    }
  assert_int_equal (prefix_index_count (index), CAPACITY);
  assert_non_null (prefix_index_find (index, 1));
  assert_null (prefix_index_find (index, 2));
  assert_non_null (prefix_index_find (index, (uint64_t)10 * CAPACITY));
  prefix_index_remove_upstream (index, 1);
  assert_int_equal (prefix_index_count (index), 0);
  prefix_index_destroy (index);
}

static void
test_prefix_index_marks_common_blocks (void **state)
{
  prefix_index_t *index = prefix_index_create (NULL, 16);

  (void)state;
  for (uint64_t i = 1; i <= PREFIX_MAX_HOLDERS; i++)
    prefix_index_add (index, 1, i);
  assert_false (prefix_index_find (index, 1)->is_common);
  prefix_index_add (index, 1, PREFIX_MAX_HOLDERS + 1);
  assert_true (prefix_index_find (index, 1)->is_common);
  prefix_index_destroy (index);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_least_tokens_spreads_without_new_reports),
    cmocka_unit_test (test_least_tokens_considers_load_of_other_entries),
    cmocka_unit_test (test_least_tokens_avoids_full_cold_upstreams),
    cmocka_unit_test (test_least_tokens_weights_reports_by_age),
    cmocka_unit_test (test_least_tokens_prefers_own_zone_only_at_equal_load),
    cmocka_unit_test (test_by_key_agrees_between_entries),
    cmocka_unit_test (test_prefix_chooses_cached_upstream_again),
    cmocka_unit_test (test_prefix_overloads_no_upstream),
    cmocka_unit_test (test_prefix_agrees_between_entries),
    cmocka_unit_test (test_prefix_handles_cache_events_and_restarts),
    cmocka_unit_test (test_prefix_index_is_bounded),
    cmocka_unit_test (test_prefix_index_marks_common_blocks),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
