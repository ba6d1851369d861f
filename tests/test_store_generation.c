/* The generation of the store's data: a response from before a restore must
   not be taken for the present state, and each restore must be noticed by all
   who keep revisions or leases, in whatever order responses arrive.  */

#include "common/store_generation.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

typedef struct fixture
{
  store_generation_t *generation;
  store_listener_t first;
  store_listener_t second;
  unsigned first_told;
  unsigned second_told;
  bool first_removes_second;
} fixture_t;

static void
handle_first (void *data)
{
  fixture_t *fixture = data;

  fixture->first_told++;
  if (fixture->first_removes_second)
    store_generation_unlisten (&fixture->second);
}

static void
handle_second (void *data)
{
  fixture_t *fixture = data;

  fixture->second_told++;
}

static int
set_up (void **state)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);

  fixture->generation = store_generation_create (fixture);
  fixture->first.on_restored = handle_first;
  fixture->second.on_restored = handle_second;
  fixture->first.data = fixture->second.data = fixture;
  store_generation_listen (fixture->generation, &fixture->second);
  store_generation_listen (fixture->generation, &fixture->first);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  talloc_free (*state);
  return 0;
}

static bool
accept (const fixture_t *fixture, unsigned changes_before, uint64_t number)
{
  return store_generation_accept (fixture->generation, changes_before, number);
}

static void
test_first_response_is_no_restore (void **state)
{
  const fixture_t *fixture = *state;

  assert_true (accept (fixture, 0, 7));
  assert_true (accept (fixture, 0, 7));
  assert_int_equal (store_generation_number (fixture->generation), 7);
  assert_int_equal (fixture->first_told, 0);
}

static void
test_each_restore_is_told_once_to_all (void **state)
{
  const fixture_t *fixture = *state;

  accept (fixture, 0, 1);
  assert_true (accept (fixture, 0, 2));
  assert_true (accept (fixture, 0, 2));
  assert_int_equal (fixture->first_told, 1);
  assert_int_equal (fixture->second_told, 1);
  assert_true (accept (fixture, 2, 4));
  assert_int_equal (fixture->first_told, 2);
  assert_int_equal (fixture->second_told, 2);
}

static void
test_response_from_before_the_restore_is_rejected (void **state)
{
  const fixture_t *fixture = *state;

  accept (fixture, 0, 1);
  accept (fixture, 1, 2);
  assert_false (accept (fixture, 1, 1));
  assert_int_equal (store_generation_number (fixture->generation), 2);
  assert_int_equal (fixture->first_told, 1);
}

static void
test_second_restore_is_noticed_by_a_call_from_before_the_first (void **state)
{
  const fixture_t *fixture = *state;

  accept (fixture, 0, 1);
  accept (fixture, 1, 2);
  assert_true (accept (fixture, 1, 3));
  assert_int_equal (fixture->first_told, 2);
}

static void
test_calls_before_the_first_response_may_end_out_of_order (void **state)
{
  const fixture_t *fixture = *state;

  accept (fixture, 0, 2);
  assert_false (accept (fixture, 0, 1));
  assert_int_equal (store_generation_number (fixture->generation), 2);
  assert_int_equal (fixture->first_told, 0);
}

static void
test_lower_number_of_a_later_call_is_another_restore (void **state)
{
  const fixture_t *fixture = *state;

  accept (fixture, 0, 5);
  assert_true (accept (fixture, 1, 2));
  assert_int_equal (store_generation_number (fixture->generation), 2);
  assert_int_equal (fixture->first_told, 1);
}

static void
test_listener_may_remove_another (void **state)
{
  fixture_t *fixture = *state;

  fixture->first_removes_second = true;
  accept (fixture, 0, 1);
  accept (fixture, 0, 2);
  assert_int_equal (fixture->first_told, 1);
  assert_int_equal (fixture->second_told, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_first_response_is_no_restore, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_each_restore_is_told_once_to_all,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        test_response_from_before_the_restore_is_rejected, set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        test_second_restore_is_noticed_by_a_call_from_before_the_first, set_up,
        tear_down),
    cmocka_unit_test_setup_teardown (
        test_lower_number_of_a_later_call_is_another_restore, set_up,
        tear_down),
    cmocka_unit_test_setup_teardown (
        test_calls_before_the_first_response_may_end_out_of_order, set_up,
        tear_down),
    cmocka_unit_test_setup_teardown (test_listener_may_remove_another, set_up,
                                     tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
