#include "kernel/counter.h"
#include "kernel/histogram.h"
#include "kernel/log.h"
#include "kernel/log_sink.h"

#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  TEXT_BYTES = 4 * 1024 * 1024,
  LINES = 20000,
  LINES_A_SECOND = 1000 /* of ordinary lines that the log takes */
};

HISTOGRAM_DEFINE (took, "test_took_seconds", "For this test");

static double
seconds_since (const struct timespec *begin)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)(now.tv_sec - begin->tv_sec)
         + (double)(now.tv_nsec - begin->tv_nsec) / 1e9;
}

/* Read what the other end wrote until it is closed.  */
static char *
read_all (int descriptor)
{
  char *text = calloc (1, TEXT_BYTES);
  size_t size = 0;
  ssize_t got;

  assert_non_null (text);
  while ((got = read (descriptor, text + size, (size_t)TEXT_BYTES - 1 - size))
         > 0)
    size += (size_t)got;
  return text;
}

static unsigned
count_of (const char *text, const char *part)
{
  unsigned count = 0;

  for (text = strstr (text, part); text != NULL;
       text = strstr (text + 1, part))
    count++;
  return count;
}

/* The thread that writes may have to wait for the reader of a full pipe; the
   threads that log must not.  */
static void
test_stalled_reader_holds_up_nobody (void **state)
{
  int ends[2];
  struct timespec begin;
  struct timespec now = { .tv_sec = 1 };
  log_sink_t *sink;
  char *text;

  (void)state;
  assert_int_equal (pipe (ends), 0);
  sink = log_sink_create (ends[1], "test", "test-1");
  assert_non_null (sink);
  clock_gettime (CLOCK_MONOTONIC, &begin);
  for (unsigned i = 0; i < LINES; i++)
    {
      char line[64];
      int size
          = snprintf (line, sizeof line, "event=ordinary number=%06u\n", i);

      now.tv_sec = 1 + i / LINES_A_SECOND;
      log_sink_put (sink, LOG_LEVEL_INFO, now, line, (size_t)size);
    }
  log_sink_put (sink, LOG_LEVEL_WARN, now, "event=failure\n", 14);
  assert_true (seconds_since (&begin) < 1.0);

  fcntl (ends[0], F_SETPIPE_SZ, 1024 * 1024);
  now.tv_sec++;
  log_sink_put (sink, LOG_LEVEL_NOTICE, now, "event=last\n", 11);
  log_sink_destroy (sink);
  close (ends[1]);
  text = read_all (ends[0]);
  close (ends[0]);
  assert_int_equal (count_of (text, "event=failure\n"), 1);
  assert_int_equal (count_of (text, "event=last\n"), 1);
  assert_true (count_of (text, "event=ordinary ") < LINES);
  assert_true (count_of (text, "event=lines-left-out") >= 1);
  free (text);
}

/* Ordinary lines have their own bound within a second; those of failures still
   find room.  */
static void
test_failures_go_before_ordinary_lines (void **state)
{
  int ends[2];
  struct timespec now = { .tv_sec = 7 };
  log_sink_t *sink;
  char *text;

  (void)state;
  assert_int_equal (pipe (ends), 0);
  fcntl (ends[0], F_SETPIPE_SZ, 1024 * 1024);
  sink = log_sink_create (ends[1], "test", "test-1");
  assert_non_null (sink);
  for (unsigned i = 0; i < 2 * LINES_A_SECOND; i++)
    log_sink_put (sink, LOG_LEVEL_INFO, now, "event=ordinary\n", 15);
  for (unsigned i = 0; i < LINES_A_SECOND / 2; i++)
    log_sink_put (sink, LOG_LEVEL_WARN, now, "event=failure\n", 14);
  now.tv_sec++;
  log_sink_put (sink, LOG_LEVEL_INFO, now, "event=ordinary\n", 15);
  log_sink_destroy (sink);
  close (ends[1]);
  text = read_all (ends[0]);
  close (ends[0]);
  assert_int_equal (count_of (text, "event=failure\n"), LINES_A_SECOND / 2);
  assert_int_equal (count_of (text, "event=ordinary\n"), LINES_A_SECOND + 1);
  assert_non_null (strstr (text, "event=lines-left-out error=0 warn=0 "
                                 "notice=0 info=1000 debug=0\n"));
  free (text);
}

static void
test_lines_name_time_level_and_event (void **state)
{
  int ends[2];
  char *text;

  (void)state;
  assert_int_equal (pipe (ends), 0);
  assert_int_equal (log_init ("test", "test-1", LOG_LEVEL_INFO, ends[1]),
                    STATUS_OK);
  log_event (LOG_LEVEL_NOTICE, "seen", "request=%s", "r-1");
  log_event (LOG_LEVEL_DEBUG, "hidden", "request=%s", "r-1");
  log_close ();
  close (ends[1]);
  text = read_all (ends[0]);
  close (ends[0]);
  assert_int_equal (strncmp (text, "time=2", 6), 0);
  assert_non_null (
      strstr (text, "Z level=NOTICE program=test name=test-1 event=seen "
                    "request=r-1\n"));
  assert_null (strstr (text, "hidden"));
  free (text);
}

static void
test_histogram_counts_up_to_each_end (void **state)
{
  char *text;

  (void)state;
  histogram_record (&took, 0);
  histogram_record (&took, 150);
  histogram_record (&took, 151);
  histogram_record (&took, 60000);
  text = histogram_render_all (NULL);
  assert_non_null (strstr (text, "# TYPE test_took_seconds histogram\n"));
  assert_non_null (strstr (text, "test_took_seconds_bucket{le=\"0.01\"} 1\n"));
  assert_non_null (strstr (text, "test_took_seconds_bucket{le=\"0.15\"} 2\n"));
  assert_non_null (strstr (text, "test_took_seconds_bucket{le=\"0.25\"} 3\n"));
  assert_non_null (strstr (text, "test_took_seconds_bucket{le=\"10\"} 3\n"));
  assert_non_null (strstr (text, "test_took_seconds_bucket{le=\"+Inf\"} 4\n"));
  assert_non_null (strstr (text, "test_took_seconds_sum 60.301\n"));
  assert_non_null (strstr (text, "test_took_seconds_count 4\n"));
  talloc_free (text);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_stalled_reader_holds_up_nobody),
    cmocka_unit_test (test_failures_go_before_ordinary_lines),
    cmocka_unit_test (test_lines_name_time_level_and_event),
    cmocka_unit_test (test_histogram_counts_up_to_each_end),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
