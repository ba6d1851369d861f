/* The order in which a relay tries queued requests again.  In order of arrival
   alone, a burst of requests that may wait makes the urgent ones late; by
   urgency alone, the others are never served.  */

#include "relay/request_queue.h"

#include "kernel/clock.h"
#include "kernel/table.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

enum
{
  URGENT,
  LESS_URGENT,
  CLASSES,
  MAX_REQUESTS = 64,
  GUARANTEED_TURN = 8
};

typedef struct test_request
{
  queued_request_t queued;
  unsigned number;
} test_request_t;

/* A queue, and upstreams that take CAPACITY requests.  */
typedef struct fixture
{
  request_queue_t *queue;
  test_request_t requests[MAX_REQUESTS];
  unsigned added;
  unsigned capacity;
  unsigned sent[MAX_REQUESTS]; /* numbers, in the order of sending */
  unsigned sent_count;
  unsigned tried_count;
} fixture_t;

static fixture_t *
fixture_create (void)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);

  fixture->queue = request_queue_create (fixture);
  return fixture;
}

/* Queue a request for SERVICE that is late from LATE_S on.  Returns its
   number.  */
static unsigned
fixture_add (fixture_t *fixture, const char *service, unsigned urgency,
             time_t late_s)
{
  unsigned number = fixture->added++;
  test_request_t *request = &fixture->requests[number];

  request->number = number;
  request->queued = (queued_request_t){ .service = service,
                                        .urgency = urgency,
                                        .late_from = { .tv_sec = late_s },
                                        .give_up_at = { .tv_sec = 100 } };
  assert_true (request_queue_add (fixture->queue, &request->queued,
                                  (struct timespec){ .tv_sec = 1 }));
  return number;
}

static queue_result_t
fixture_try (queued_request_t *queued, const queue_turn_t *turn, void *data)
{
  fixture_t *fixture = data;
  test_request_t *request = CONTAINER_OF (queued, test_request_t, queued);

  (void)turn;
  fixture->tried_count++;
  if (strcmp (queued->service, "blocked") == 0)
    return QUEUE_WAITS;
  if (fixture->capacity == 0)
    return QUEUE_FULL;
  fixture->capacity--;
  fixture->sent[fixture->sent_count++] = request->number;
  request_queue_remove (queued);
  return QUEUE_SENT;
}

static void
fixture_retry (fixture_t *fixture, time_t now_s, unsigned capacity)
{
  fixture->capacity = capacity;
  request_queue_retry (fixture->queue, (struct timespec){ .tv_sec = now_s },
                       fixture_try, fixture);
}

static void
test_urgent_requests_come_first (void **state)
{
  fixture_t *fixture = fixture_create ();
  unsigned less_urgent = fixture_add (fixture, "model", LESS_URGENT, 20);
  unsigned first = fixture_add (fixture, "model", URGENT, 20);
  unsigned second = fixture_add (fixture, "model", URGENT, 20);

  (void)state;
  fixture_retry (fixture, 10, 2);
  assert_int_equal (fixture->sent[0], first);
  assert_int_equal (fixture->sent[1], second);
  fixture_retry (fixture, 10, 1);
  assert_int_equal (fixture->sent[2], less_urgent);
  assert_true (request_queue_is_empty (fixture->queue));
  talloc_free (fixture);
}

/* Requests that can't meet their objective any more took the places of those
   that could, so that all became late.  */
static void
test_late_requests_come_after_those_on_time (void **state)
{
  fixture_t *fixture = fixture_create ();
  unsigned late = fixture_add (fixture, "model", URGENT, 5);
  unsigned on_time = fixture_add (fixture, "model", URGENT, 20);

  (void)state;
  fixture_retry (fixture, 10, 2);
  assert_int_equal (fixture->sent[0], on_time);
  assert_int_equal (fixture->sent[1], late);
  talloc_free (fixture);
}

/* More urgent requests than there are places would starve the others.  */
static void
test_passed_over_class_gets_its_turn (void **state)
{
  fixture_t *fixture = fixture_create ();
  unsigned less_urgent = fixture_add (fixture, "model", LESS_URGENT, 20);

  (void)state;
  for (unsigned i = 0; i < 2 * GUARANTEED_TURN; i++)
    {
      fixture_add (fixture, "model", URGENT, 20);
      fixture_retry (fixture, 10, 1);
    }
  for (unsigned i = 0; i < GUARANTEED_TURN - 1; i++)
    assert_int_not_equal (fixture->sent[i], less_urgent);
  assert_int_equal (fixture->sent[GUARANTEED_TURN - 1], less_urgent);
  talloc_free (fixture);
}

/* One service without capacity must not hold back the requests of another, nor
   one request that waits for a reason of its own those behind it.  */
static void
test_one_service_does_not_block_another (void **state)
{
  fixture_t *fixture = fixture_create ();
  unsigned other;

  (void)state;
  fixture_add (fixture, "blocked", URGENT, 20);
  fixture_add (fixture, "blocked", URGENT, 20);
  other = fixture_add (fixture, "plain", LESS_URGENT, 20);
  fixture_retry (fixture, 10, 1);
  assert_int_equal (fixture->tried_count, 3);
  assert_int_equal (fixture->sent[0], other);
  assert_true (
      request_queue_has_more_urgent (fixture->queue, "blocked", LESS_URGENT));
  assert_false (
      request_queue_has_more_urgent (fixture->queue, "plain", LESS_URGENT));
  assert_false (
      request_queue_has_more_urgent (fixture->queue, "blocked", URGENT));
  talloc_free (fixture);
}

/* With a long queue, trying each request when there is no capacity would take
   the worker's time.  */
static void
test_full_class_is_tried_once (void **state)
{
  fixture_t *fixture = fixture_create ();

  (void)state;
  for (unsigned i = 0; i < MAX_REQUESTS; i++)
    fixture_add (fixture, "model", i % CLASSES, 20);
  fixture_retry (fixture, 10, 0);
  assert_int_equal (fixture->tried_count, CLASSES);
  talloc_free (fixture);
}

/* A request that can't get its turn in time was held until its queue time had
   passed, and its client came back late.  */
static void
test_expected_wait_follows_what_was_sent (void **state)
{
  enum
  {
    QUEUED = 30,
    SENT_PER_S = 10
  };
  fixture_t *fixture = fixture_create ();
  struct timespec now = { .tv_sec = 5 };
  struct timespec wait;

  (void)state;
  for (unsigned i = 0; i < QUEUED; i++)
    fixture_add (fixture, "model", LESS_URGENT, 20);
  wait = request_queue_expected_wait (fixture->queue, "model", URGENT, now);
  assert_int_equal (timespec_to_ms (wait), 0);
  for (unsigned i = 0; i < 5 * SENT_PER_S; i++)
    {
      request_queue_count_sent (fixture->queue, "model", LESS_URGENT, now);
      now = timespec_add (now, timespec_from_ms (1000 / SENT_PER_S));
    }
  wait = request_queue_expected_wait (fixture->queue, "model", LESS_URGENT,
                                      now);
  assert_in_range (timespec_to_ms (wait), 2500, 3500);
  /* It has not been waiting for long enough to tell.  */
  now = (struct timespec){ .tv_sec = 1, .tv_nsec = 500000000 };
  wait = request_queue_expected_wait (fixture->queue, "model", LESS_URGENT,
                                      now);
  assert_int_equal (timespec_to_ms (wait), 0);
  talloc_free (fixture);
}

static void
test_expired_request_is_found (void **state)
{
  fixture_t *fixture = fixture_create ();
  queued_request_t *queued;

  (void)state;
  fixture_add (fixture, "model", URGENT, 20);
  fixture_add (fixture, "model", LESS_URGENT, 20);
  queued = &fixture->requests[1].queued;
  queued->give_up_at.tv_sec = 10;
  assert_null (request_queue_find_expired (fixture->queue,
                                           (struct timespec){ .tv_sec = 9 }));
  assert_ptr_equal (request_queue_find_expired (
                        fixture->queue, (struct timespec){ .tv_sec = 10 }),
                    queued);
  request_queue_remove (queued);
  assert_null (request_queue_find_expired (fixture->queue,
                                           (struct timespec){ .tv_sec = 10 }));
  talloc_free (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_urgent_requests_come_first),
    cmocka_unit_test (test_late_requests_come_after_those_on_time),
    cmocka_unit_test (test_passed_over_class_gets_its_turn),
    cmocka_unit_test (test_one_service_does_not_block_another),
    cmocka_unit_test (test_full_class_is_tried_once),
    cmocka_unit_test (test_expected_wait_follows_what_was_sent),
    cmocka_unit_test (test_expired_request_is_found),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
