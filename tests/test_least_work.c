/* The policy for requests of unequal cost: the number of requests at an
   upstream must not hide how much work they are, and entries that see the same
   old reports must not all choose the same upstream.  */

#include "kernel/clock.h"
#include "kernel/plugin.h"
#include "plugins/pick.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

enum
{
  CANDIDATES = 16,
  CHOICES = 200,
  SLOTS = 10,
  CACHE_TOKENS = 40000,
  WORK_US = 100000,
  OLD_REPORT_MS = 1600 /* one that is not used any more */
};

typedef struct fixture
{
  struct timespec now;
  pick_candidate_t candidates[CANDIDATES];
  const pick_candidate_t *pointers[CANDIDATES];
  pick_request_t request;
  const pick_ops_t *ops;
  pick_t *pick;
  unsigned chosen[CANDIDATES];
} fixture_t;

static int
set_up (void **state)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);

  fixture->now = timespec_from_ms (100000);
  fixture->request = (pick_request_t){ .prompt_tokens = 1000,
                                       .output_tokens = 1000,
                                       .zone = "z0",
                                       .work_us = WORK_US,
                                       .mean_work_us = WORK_US };
  fixture->ops = plugin_ops (PLUGIN_PICK, "least-work");
  assert_non_null (fixture->ops);
  fixture->pick = fixture->ops->create (fixture, 7);
  for (unsigned i = 0; i < CANDIDATES; i++)
    {
      fixture->candidates[i] = (pick_candidate_t){
        .name = "u",
        .zone = "z1",
        .report = { .is_known = true,
                    .at = fixture->now,
                    .limit_requests = SLOTS,
                    .outstanding_requests = 2,
                    .total_cache_tokens = CACHE_TOKENS,
                    .slowdown = 1 },
      };
      fixture->pointers[i] = &fixture->candidates[i];
    }
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  talloc_free (*state);
  return 0;
}

static size_t
choose (fixture_t *fixture)
{
  pick_choice_t choice = { .index = CANDIDATES };

  fixture->ops->choose (fixture->pick, &fixture->request, fixture->pointers,
                        CANDIDATES, fixture->now, &choice);
  assert_true (choice.index < CANDIDATES);
  fixture->chosen[choice.index]++;
  return choice.index;
}

/* Choose, and count the request as outstanding.  */
static void
send (fixture_t *fixture)
{
  pick_candidate_t *chosen = &fixture->candidates[choose (fixture)];

  chosen->outstanding_requests++;
  chosen->outstanding_work_us += fixture->request.work_us;
}

/* The odd candidates have fewer requests than the others, but much work.  */
static void
test_work_counts_and_not_requests (void **state)
{
  fixture_t *fixture = *state;

  for (unsigned i = 0; i < CANDIDATES; i++)
    {
      fixture->candidates[i].outstanding_requests = i % 2 == 0 ? 3 : 1;
      fixture->candidates[i].outstanding_work_us
          = i % 2 == 0 ? WORK_US : 20 * WORK_US;
    }
  for (unsigned i = 0; i < CHOICES; i++)
    choose (fixture);
  for (unsigned i = 1; i < CANDIDATES; i += 2)
    assert_in_range (fixture->chosen[i], 0, CHOICES / CANDIDATES);
}

/* A slow upstream must get the less the slower it is.  */
static void
test_slowdown_counts (void **state)
{
  fixture_t *fixture = *state;

  for (unsigned i = 1; i < CANDIDATES; i += 2)
    fixture->candidates[i].report.slowdown = 1.2;
  for (unsigned i = 0; i < CHOICES; i++)
    choose (fixture);
  for (unsigned i = 1; i < CANDIDATES; i += 2)
    assert_in_range (fixture->chosen[i], 0, CHOICES / CANDIDATES / 2);
}

/* A request must not queue behind unread prompts in an engine that is slow to
   read them because it generates, though the engine has less work left.  */
static void
test_unread_prompts_count (void **state)
{
  fixture_t *fixture = *state;

  fixture->request.mean_passes = 20;
  for (unsigned i = 0; i < CANDIDATES; i++)
    {
      pick_candidate_t *candidate = &fixture->candidates[i];

      candidate->outstanding_requests = 1;
      candidate->outstanding_work_us = i % 2 == 0 ? 3 * WORK_US : WORK_US;
      candidate->outstanding_read_us = i % 2 == 0 ? 0 : WORK_US / 40;
      candidate->read_stretch = 8;
    }
  for (unsigned i = 0; i < CHOICES; i++)
    choose (fixture);
  for (unsigned i = 1; i < CANDIDATES; i += 2)
    assert_in_range (fixture->chosen[i], 0, CHOICES / CANDIDATES / 2);
}

/* Requests that the report can't contain yet must be counted.  */
static void
test_own_requests_count_at_once (void **state)
{
  fixture_t *fixture = *state;

  for (unsigned i = 0; i < 4 * CANDIDATES; i++)
    send (fixture);
  for (unsigned i = 0; i < CANDIDATES; i++)
    assert_in_range (fixture->chosen[i], 2, 6);
}

/* A request must not wait for a slot or for room in a cache while there is an
   upstream that can run it, however few are left and however much work that
   one has.  */
static void
test_upstream_with_room_is_found (void **state)
{
  fixture_t *fixture = *state;

  for (unsigned i = 0; i < CANDIDATES; i++)
    {
      if (i % 2 == 0)
        fixture->candidates[i].report.outstanding_requests = SLOTS;
      else
        fixture->candidates[i].report.used_cache_tokens = CACHE_TOKENS - 500;
    }
  fixture->candidates[3].report.used_cache_tokens = 0;
  fixture->candidates[3].outstanding_work_us = (uint64_t)90 * WORK_US;
  for (unsigned i = 0; i < CHOICES; i++)
    assert_int_equal (choose (fixture), 3);
  fixture->candidates[3].report.used_cache_tokens = CACHE_TOKENS;
  for (unsigned i = 0; i < CHOICES; i++)
    assert_int_equal (choose (fixture) % 2, 0);
}

/* What was sent since the report takes room in the cache too.  */
static void
test_cache_counts_requests_since_report (void **state)
{
  fixture_t *fixture = *state;

  for (unsigned i = 0; i < CANDIDATES; i++)
    fixture->candidates[i].outstanding_tokens = i == 5 ? 0 : CACHE_TOKENS;
  for (unsigned i = 0; i < CHOICES; i++)
    assert_int_equal (choose (fixture), 5);
}

/* A request that fits nowhere is still sent somewhere.  */
static void
test_huge_request_is_placed (void **state)
{
  fixture_t *fixture = *state;

  fixture->request.prompt_tokens = UINT64_MAX / 2;
  fixture->request.work_us = UINT64_MAX / 2;
  for (unsigned i = 0; i < CHOICES; i++)
    choose (fixture);
}

/* All have as many requests, but one has more slots and so a shorter queue. */
static void
test_longest_wait_for_slot_is_avoided (void **state)
{
  fixture_t *fixture = *state;

  for (unsigned i = 0; i < CANDIDATES; i++)
    {
      fixture->candidates[i].report.outstanding_requests = SLOTS;
      fixture->candidates[i].report.limit_requests
          = i == 5 ? SLOTS : SLOTS - 3;
    }
  for (unsigned i = 0; i < CHOICES; i++)
    choose (fixture);
  assert_true (fixture->chosen[5] > CHOICES / 4);
}

/* One upstream stopped reporting when it was idle: it must not attract
   requests.  */
static void
test_old_report_does_not_attract (void **state)
{
  fixture_t *fixture = *state;

  fixture->candidates[5].report.outstanding_requests = 0;
  fixture->candidates[5].report.slowdown = 0;
  fixture->candidates[5].report.at
      = timespec_subtract (fixture->now, timespec_from_ms (OLD_REPORT_MS));
  for (unsigned i = 0; i < CHOICES; i++)
    send (fixture);
  assert_in_range (fixture->chosen[5], 0, 2 * CHOICES / CANDIDATES);
}

/* No upstream reports any more: only the requests of this entry count.  */
static void
test_no_reports (void **state)
{
  fixture_t *fixture = *state;

  for (unsigned i = 0; i < CANDIDATES; i++)
    fixture->candidates[i].report.outstanding_requests = i;
  fixture->now = timespec_add (fixture->now, timespec_from_ms (OLD_REPORT_MS));
  for (unsigned i = 0; i < 4 * CANDIDATES; i++)
    send (fixture);
  for (unsigned i = 0; i < CANDIDATES; i++)
    assert_in_range (fixture->chosen[i], 2, 6);
}

/* Many entries with the same reports, 300 ms old, of which one shows an idle
   upstream: those that choose it meet in its queue.  */
static void
test_entries_do_not_all_choose_the_same (void **state)
{
  enum
  {
    ENTRIES = 53
  };
  fixture_t *fixture = *state;

  fixture->request.entries = ENTRIES;
  fixture->candidates[5].report.outstanding_requests = 0;
  fixture->now = timespec_add (fixture->now, timespec_from_ms (300));
  for (unsigned i = 0; i < ENTRIES; i++)
    {
      fixture->pick = fixture->ops->create (fixture, i);
      choose (fixture);
    }
  assert_in_range (fixture->chosen[5], 1, ENTRIES / 5);
}

static void
test_zone_decides_between_equals (void **state)
{
  fixture_t *fixture = *state;

  for (unsigned i = 0; i < CANDIDATES; i += 2)
    fixture->candidates[i].zone = "z0";
  for (unsigned i = 0; i < CHOICES; i++)
    choose (fixture);
  for (unsigned i = 1; i < CANDIDATES; i += 2)
    assert_in_range (fixture->chosen[i], 0, CHOICES / CANDIDATES / 2);
  memset (fixture->chosen, 0, sizeof fixture->chosen);
  for (unsigned i = 0; i < CANDIDATES; i += 2)
    fixture->candidates[i].outstanding_work_us = WORK_US;
  for (unsigned i = 0; i < CHOICES; i++)
    choose (fixture);
  for (unsigned i = 0; i < CANDIDATES; i += 2)
    assert_in_range (fixture->chosen[i], 0, CHOICES / CANDIDATES / 2);
}

#define PICK_TEST(test)                                                       \
  cmocka_unit_test_setup_teardown (test, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    PICK_TEST (test_work_counts_and_not_requests),
    PICK_TEST (test_slowdown_counts),
    PICK_TEST (test_unread_prompts_count),
    PICK_TEST (test_own_requests_count_at_once),
    PICK_TEST (test_upstream_with_room_is_found),
    PICK_TEST (test_cache_counts_requests_since_report),
    PICK_TEST (test_huge_request_is_placed),
    PICK_TEST (test_longest_wait_for_slot_is_avoided),
    PICK_TEST (test_old_report_does_not_attract),
    PICK_TEST (test_no_reports),
    PICK_TEST (test_entries_do_not_all_choose_the_same),
    PICK_TEST (test_zone_decides_between_equals),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
