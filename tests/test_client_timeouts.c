/* How long a client has waited before it sent a request again.  Clients that
   came back after an outage counted as new, took the places of new ones, and
   all were late.  */

#include "relay/client_timeouts.h"

#include "kernel/clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

enum
{
  LIMIT_MS = 8000,
  SHORT_MS = 3000 /* timeout of clients that wait less than the route */
};

static int64_t
record (client_timeouts_t *timeouts, const char *route, int64_t timeout_ms)
{
  return timespec_to_ms (
      client_timeouts_record (timeouts, route, timespec_from_ms (LIMIT_MS),
                              timespec_from_ms (timeout_ms)));
}

static void
test_rest_of_time_tells_time_waited (void **state)
{
  client_timeouts_t *timeouts = client_timeouts_create (NULL);

  (void)state;
  assert_int_equal (record (timeouts, "a", LIMIT_MS), 0);
  assert_int_equal (record (timeouts, "a", LIMIT_MS), 0);
  assert_in_range (record (timeouts, "a", LIMIT_MS - 2500), 2450, 2550);
  /* Many that come back at once are still known as such.  */
  for (int i = 0; i < 30; i++)
    assert_in_range (record (timeouts, "a", LIMIT_MS - 2500), 1900, 2550);
  client_timeouts_destroy (timeouts);
}

/* After a start, clients that wait for less than the operator allows counted
   as late, all of them and for minutes.  */
static void
test_usual_timeout_is_learned (void **state)
{
  client_timeouts_t *timeouts = client_timeouts_create (NULL);

  (void)state;
  for (int i = 0; i < 1000; i++)
    assert_int_equal (record (timeouts, "a", SHORT_MS), 0);
  assert_int_equal (record (timeouts, "a", SHORT_MS), 0);
  assert_in_range (record (timeouts, "a", SHORT_MS - 1000), 950, 1050);
  /* Another route has not been seen.  */
  assert_int_equal (record (timeouts, "b", LIMIT_MS), 0);
  client_timeouts_destroy (timeouts);
}

/* After a start beside clients that come back, those are told from the new
   ones as soon as two new ones have come.  */
static void
test_start_beside_returning_clients (void **state)
{
  client_timeouts_t *timeouts = client_timeouts_create (NULL);

  (void)state;
  for (int i = 0; i < 5; i++)
    record (timeouts, "a", LIMIT_MS - 2000);
  assert_int_equal (record (timeouts, "a", LIMIT_MS), 0);
  assert_int_equal (record (timeouts, "a", LIMIT_MS), 0);
  assert_in_range (record (timeouts, "a", LIMIT_MS - 2000), 1950, 2050);
  client_timeouts_destroy (timeouts);
}

/* Where clients wait for different times, those that wait for a little less
   than most counted as late, half of all.  */
static void
test_timeouts_may_differ (void **state)
{
  enum
  {
    SPREAD_MS = 1200
  };
  client_timeouts_t *timeouts = client_timeouts_create (NULL);

  (void)state;
  for (int i = 0; i < 3000; i++)
    assert_int_equal (record (timeouts, "a", LIMIT_MS - i * 7919 % SPREAD_MS),
                      0);
  assert_in_range (record (timeouts, "a", LIMIT_MS - SPREAD_MS - 1500), 1800,
                   2300);
  client_timeouts_destroy (timeouts);
}

/* A client that claims to wait for ever must not make the others late.  */
static void
test_absurd_timeouts_are_bounded (void **state)
{
  client_timeouts_t *timeouts = client_timeouts_create (NULL);

  (void)state;
  record (timeouts, "b", INT32_MAX);
  for (int i = 0; i < 10; i++)
    assert_int_equal (record (timeouts, "b", SHORT_MS), 0);
  for (int i = 0; i < 1000; i++)
    record (timeouts, "a", INT32_MAX);
  assert_int_equal (record (timeouts, "a", LIMIT_MS), 0);
  record (timeouts, "a", 0);
  assert_int_equal (record (timeouts, "a", LIMIT_MS), 0);
  client_timeouts_destroy (timeouts);
}

/* The configuration can name any number of routes over time.  */
static void
test_routes_are_bounded (void **state)
{
  client_timeouts_t *timeouts = client_timeouts_create (NULL);
  size_t blocks;
  char route[16];

  (void)state;
  for (int i = 0; i < 3000; i++)
    {
      snprintf (route, sizeof route, "r%d", i);
      record (timeouts, route, LIMIT_MS);
      if (i == 2000)
        blocks = talloc_total_blocks (timeouts);
    }
  assert_int_equal (talloc_total_blocks (timeouts), blocks);
  client_timeouts_destroy (timeouts);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_rest_of_time_tells_time_waited),
    cmocka_unit_test (test_usual_timeout_is_learned),
    cmocka_unit_test (test_start_beside_returning_clients),
    cmocka_unit_test (test_timeouts_may_differ),
    cmocka_unit_test (test_absurd_timeouts_are_bounded),
    cmocka_unit_test (test_routes_are_bounded),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
