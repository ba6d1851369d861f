/* Streams of events from upstreams: a client must get each event whole, also
   when it comes in pieces, and none that is made up of other bytes when memory
   is exhausted.  */

#include "relay/event_stream.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* The memory limits of talloc are deprecated, but nothing else makes an
   allocation of a single stream fail.  */
#pragma GCC diagnostic ignored "-Wdeprecated-declarations"

enum
{
  EVENT_BYTES = 20000,
  MEMORY_BYTES = 4096 /* less than the event */
};

typedef struct received
{
  unsigned events;
  size_t bytes;
  bool has_id;
  int64_t id;
} received_t;

static void
on_event (const char *bytes, size_t size, bool has_id, int64_t id, void *data)
{
  received_t *received = data;

  (void)bytes;
  received->events++;
  received->bytes += size;
  received->has_id = has_id;
  received->id = id;
}

static void
test_events_in_pieces_are_whole (void **state)
{
  static const char text[] = "id: 7\ndata: a\n\nid: 8\r\ndata: b\r\n\r\n";
  received_t received = { 0 };
  event_stream_t *stream = event_stream_create (NULL, on_event, &received);

  (void)state;
  for (size_t i = 0; i < sizeof text - 1; i++)
    assert_int_equal (event_stream_feed (stream, text + i, 1), STATUS_OK);
  assert_int_equal (received.events, 2);
  assert_int_equal (received.bytes, sizeof text - 1);
  assert_int_equal (received.id, 8);
  assert_true (event_stream_is_at_boundary (stream));
  event_stream_destroy (stream);
}

/* An id that overflowed made the relay drop the event as one that the client
   has already.  */
static void
test_id_that_does_not_fit_is_none (void **state)
{
  static const char text[] = "id: 9223372036854775808\ndata: a\n\n";
  received_t received = { 0 };
  event_stream_t *stream = event_stream_create (NULL, on_event, &received);

  (void)state;
  assert_int_equal (event_stream_feed (stream, text, sizeof text - 1),
                    STATUS_OK);
  assert_int_equal (received.events, 1);
  assert_false (received.has_id);
  event_stream_destroy (stream);
}

/* The beginning of an event cannot be kept.  The stream must fail, and stay
   failed when there is memory again: what follows is no whole event.  */
static void
test_stream_without_memory_stays_failed (void **state)
{
  received_t received = { 0 };
  TALLOC_CTX *memory = talloc_new (NULL);
  event_stream_t *stream;
  char *event = talloc_array (NULL, char, EVENT_BYTES);

  (void)state;
  memset (event, 'a', EVENT_BYTES);
  event[0] = ':';
  assert_int_equal (talloc_set_memlimit (memory, MEMORY_BYTES), 0);
  stream = event_stream_create (memory, on_event, &received);
  assert_non_null (stream);
  assert_int_equal (event_stream_feed (stream, event, EVENT_BYTES),
                    STATUS_NO_MEMORY);
  assert_false (event_stream_is_at_boundary (stream));
  talloc_set_memlimit (memory, 0);
  assert_int_equal (event_stream_feed (stream, "\n\n", 2), STATUS_NO_MEMORY);
  assert_int_equal (received.events, 0);
  assert_false (event_stream_is_at_boundary (stream));
  talloc_free (memory);
  talloc_free (event);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_events_in_pieces_are_whole),
    cmocka_unit_test (test_id_that_does_not_fit_is_none),
    cmocka_unit_test (test_stream_without_memory_stays_failed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
