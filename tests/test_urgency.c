/* The urgency of a request by the priorities of its account and its route.
   Where the account's priority replaced that of the route, requests of all
   routes were treated alike in a deployment whose accounts have priorities. */

#include "common/rules.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

static route_t *
add_route (rules_t *rules, const char *prefix, int64_t priority)
{
  route_t *route = rules_add_route (rules, prefix, "host", prefix);

  route->priority = priority;
  return route;
}

static client_account_t *
add_account (rules_t *rules, const char *name, int64_t priority)
{
  client_account_t *account = rules_add_account (rules, name);

  account->has_priority = true;
  account->priority = priority;
  return account;
}

static void
test_account_comes_before_route (void **state)
{
  rules_t *rules = rules_create (1);
  const route_t *urgent = add_route (rules, "/a/", 0);
  const route_t *less_urgent = add_route (rules, "/b/", 7);
  const client_account_t *first = add_account (rules, "first", -3);
  const client_account_t *second = add_account (rules, "second", 5);

  (void)state;
  rules->has_accounts = true;
  rules_finish (rules);
  assert_int_equal (rules_urgency (rules, urgent, first), 0);
  assert_int_equal (rules_urgency (rules, less_urgent, first), 1);
  assert_int_equal (rules_urgency (rules, urgent, second), 2);
  assert_int_equal (rules_urgency (rules, less_urgent, second), 3);
  rules_release (rules);
}

/* Without accounts, or with one that has no priority, the route decides.  */
static void
test_route_decides_without_account (void **state)
{
  rules_t *rules = rules_create (1);
  const route_t *urgent = add_route (rules, "/a/", 1);
  const route_t *less_urgent = add_route (rules, "/b/", 2);

  (void)state;
  rules_finish (rules);
  assert_true (rules_urgency (rules, urgent, NULL)
               < rules_urgency (rules, less_urgent, NULL));
  rules_release (rules);
}

/* Equal priorities must not differ in urgency: then nothing is reserved.  */
static void
test_equal_priorities_are_one_class (void **state)
{
  rules_t *rules = rules_create (1);
  const route_t *route = add_route (rules, "/a/", 4);
  const route_t *other = add_route (rules, "/b/", 4);
  const client_account_t *account = add_account (rules, "only", 9);

  (void)state;
  rules->has_accounts = true;
  rules_finish (rules);
  assert_int_equal (rules_urgency (rules, route, account), 0);
  assert_int_equal (rules_urgency (rules, other, account), 0);
  rules_release (rules);
}

/* More priorities than urgencies, also absurd ones, keep their order.  */
static void
test_many_priorities_keep_their_order (void **state)
{
  enum
  {
    COUNT = 24
  };
  rules_t *rules = rules_create (1);
  const route_t *routes[COUNT];
  unsigned last = 0;

  (void)state;
  for (int i = 0; i < COUNT; i++)
    {
      char prefix[16];

      snprintf (prefix, sizeof prefix, "/%d/", i);
      routes[i] = add_route (rules, prefix,
                             i == COUNT - 1 ? INT64_MAX : INT64_MIN + i);
    }
  rules_finish (rules);
  for (int i = 0; i < COUNT; i++)
    {
      unsigned urgency = rules_urgency (rules, routes[i], NULL);

      assert_in_range (urgency, last, RULES_MAX_URGENCY);
      last = urgency;
    }
  assert_int_equal (rules_urgency (rules, routes[0], NULL), 0);
  assert_int_equal (last, RULES_MAX_URGENCY);
  rules_release (rules);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_account_comes_before_route),
    cmocka_unit_test (test_route_decides_without_account),
    cmocka_unit_test (test_equal_priorities_are_one_class),
    cmocka_unit_test (test_many_priorities_keep_their_order),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
