/* Logging: a reader that stands still must not block a request, and failures
   must not be dropped for lines of ordinary success.  */

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
#include <sys/syscall.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  MAX_TEXT_BYTES = 4 * 1024 * 1024,
  LINE_COUNT = 20000,
  MAX_INFO_LINES_PER_S = 1000 /* limit for INFO lines */
};

/* How far CLOCK_REALTIME is ahead when it is read by the code under test.  */
static time_t realtime_step_s;

/* Replaces that of the C library, so that a test can step the system clock. */
int
/* NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name) */
clock_gettime (clockid_t clock, struct timespec *now)
{
  int result = (int)syscall (SYS_clock_gettime, clock, now);

  if (clock == CLOCK_REALTIME)
    now->tv_sec += realtime_step_s;
  return result;
}

HISTOGRAM_DEFINE (test_duration, "test_took_seconds", "For this test");

static double
seconds_since (const struct timespec *begin)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)(now.tv_sec - begin->tv_sec)
         + (double)(now.tv_nsec - begin->tv_nsec) / 1e9;
}

/* Read DESCRIPTOR until end of file.  The caller frees the text.  */
static char *
read_all (int descriptor)
{
  char *text = calloc (1, MAX_TEXT_BYTES);
  size_t size = 0;
  ssize_t bytes_read;

  assert_non_null (text);
  while ((bytes_read
          = read (descriptor, text + size, (size_t)MAX_TEXT_BYTES - 1 - size))
         > 0)
    size += (size_t)bytes_read;
  return text;
}

static unsigned
count_occurrences (const char *text, const char *part)
{
  unsigned count = 0;

  for (text = strstr (text, part); text != NULL;
       text = strstr (text + 1, part))
    count++;
  return count;
}

/* When the reader of the pipe stalls, only the writer thread may block.  The
   threads that log must not; lines are dropped instead.  */
static void
test_stalled_reader_does_not_block_loggers (void **state)
{
  int pipe_fds[2];
  struct timespec begin;
  struct timespec now = { .tv_sec = 1 };
  log_sink_t *sink;
  char *text;

  (void)state;
  assert_int_equal (pipe (pipe_fds), 0);
  sink = log_sink_create (pipe_fds[1], "test", "test-1");
  assert_non_null (sink);
  clock_gettime (CLOCK_MONOTONIC, &begin);
  for (unsigned i = 0; i < LINE_COUNT; i++)
    {
      char line[64];
      int size
          = snprintf (line, sizeof line, "event=ordinary number=%06u\n", i);

      now.tv_sec = 1 + i / MAX_INFO_LINES_PER_S;
      log_sink_put (sink, LOG_LEVEL_INFO, now, line, (size_t)size);
    }
  log_sink_put (sink, LOG_LEVEL_WARN, now, "event=failure\n", 14);
  assert_true (seconds_since (&begin) < 1.0);

  fcntl (pipe_fds[0], F_SETPIPE_SZ, 1024 * 1024);
  now.tv_sec++;
  log_sink_put (sink, LOG_LEVEL_NOTICE, now, "event=last\n", 11);
  log_sink_destroy (sink);
  close (pipe_fds[1]);
  text = read_all (pipe_fds[0]);
  close (pipe_fds[0]);
  assert_int_equal (count_occurrences (text, "event=failure\n"), 1);
  assert_int_equal (count_occurrences (text, "event=last\n"), 1);
  assert_true (count_occurrences (text, "event=ordinary ") < LINE_COUNT);
  assert_true (count_occurrences (text, "event=lines-left-out") >= 1);
  free (text);
}

/* The reader stalls at the exit of the process, and the system clock is set
   back right after it was read.  The exit must not wait for the clock to catch
   up. The sink stays in memory, as its writer is still blocked.  */
static void
test_clock_step_does_not_delay_exit (void **state)
{
  struct timespec now = { .tv_sec = 1 };
  struct timespec begin;
  char line[8000] = "";
  log_sink_t *sink;
  int pipe_fds[2];

  (void)state;
  assert_int_equal (pipe (pipe_fds), 0);
  sink = log_sink_create (pipe_fds[1], "test", "test-1");
  assert_non_null (sink);
  for (unsigned i = 0; i < 20; i++)
    log_sink_put (sink, LOG_LEVEL_WARN, now, line, sizeof line);
  clock_gettime (CLOCK_MONOTONIC, &begin);
  realtime_step_s = 4;
  log_sink_destroy (sink);
  realtime_step_s = 0;
  assert_true (seconds_since (&begin) < 2.0);
}

/* INFO lines have a lower limit per second than WARN lines, so that a burst of
   them does not cause lines about failures to be dropped.  */
static void
test_info_lines_do_not_displace_failures (void **state)
{
  int pipe_fds[2];
  struct timespec now = { .tv_sec = 7 };
  log_sink_t *sink;
  char *text;

  (void)state;
  assert_int_equal (pipe (pipe_fds), 0);
  fcntl (pipe_fds[0], F_SETPIPE_SZ, 1024 * 1024);
  sink = log_sink_create (pipe_fds[1], "test", "test-1");
  assert_non_null (sink);
  for (unsigned i = 0; i < 2 * MAX_INFO_LINES_PER_S; i++)
    log_sink_put (sink, LOG_LEVEL_INFO, now, "event=ordinary\n", 15);
  for (unsigned i = 0; i < MAX_INFO_LINES_PER_S / 2; i++)
    log_sink_put (sink, LOG_LEVEL_WARN, now, "event=failure\n", 14);
  now.tv_sec++;
  log_sink_put (sink, LOG_LEVEL_INFO, now, "event=ordinary\n", 15);
  log_sink_destroy (sink);
  close (pipe_fds[1]);
  text = read_all (pipe_fds[0]);
  close (pipe_fds[0]);
  assert_int_equal (count_occurrences (text, "event=failure\n"),
                    MAX_INFO_LINES_PER_S / 2);
  assert_int_equal (count_occurrences (text, "event=ordinary\n"),
                    MAX_INFO_LINES_PER_S + 1);
  assert_non_null (strstr (text, "event=lines-left-out error=0 warn=0 "
                                 "notice=0 info=1000 debug=0\n"));
  free (text);
}

static void
test_line_has_time_level_and_event (void **state)
{
  int pipe_fds[2];
  char *text;

  (void)state;
  assert_int_equal (pipe (pipe_fds), 0);
  assert_int_equal (log_init ("test", "test-1", LOG_LEVEL_INFO, pipe_fds[1]),
                    STATUS_OK);
  log_event (LOG_LEVEL_NOTICE, "seen", "request=%s", "r-1");
  log_event (LOG_LEVEL_DEBUG, "hidden", "request=%s", "r-1");
  log_close ();
  close (pipe_fds[1]);
  text = read_all (pipe_fds[0]);
  close (pipe_fds[0]);
  assert_int_equal (strncmp (text, "time=2", 6), 0);
  assert_non_null (
      strstr (text, "Z level=NOTICE program=test name=test-1 event=seen "
                    "request=r-1\n"));
  assert_null (strstr (text, "hidden"));
  free (text);
}

static void
test_histogram_bounds_are_inclusive (void **state)
{
  char *text;

  (void)state;
  histogram_record (&test_duration, 0);
  histogram_record (&test_duration, 150);
  histogram_record (&test_duration, 151);
  histogram_record (&test_duration, 60000);
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

/* Histograms of several services are one family, which has its header once,
   and a service whose name has quotes does not break the format.  A histogram
   that is freed is not read any more.  */
static void
test_ratios_are_labelled (void **state)
{
  histogram_t *first = histogram_create_ratio (NULL, "test_ratio", "service",
                                               "a\"b", "A test");
  histogram_t *second
      = histogram_create_ratio (NULL, "test_ratio", "service", "c", "A test");
  const char *header = "# TYPE test_ratio histogram\n";
  char *text;

  (void)state;
  histogram_record_ratio (first, 1);
  histogram_record_ratio (first, 1.5);
  histogram_record_ratio (second, 1e300);
  text = histogram_render_all (NULL);
  assert_non_null (strstr (text, header));
  assert_null (strstr (strstr (text, header) + 1, header));
  assert_non_null (
      strstr (text, "test_ratio_bucket{service=\"a_b\",le=\"1\"} 1\n"));
  assert_non_null (
      strstr (text, "test_ratio_bucket{service=\"a_b\",le=\"1.5\"} 2\n"));
  assert_non_null (
      strstr (text, "test_ratio_bucket{service=\"c\",le=\"+Inf\"} 1\n"));
  assert_non_null (strstr (text, "test_ratio_sum{service=\"a_b\"} 2.5\n"));
  assert_non_null (strstr (text, "test_ratio_count{service=\"c\"} 1\n"));
  talloc_free (text);
  talloc_free (first);
  text = histogram_render_all (NULL);
  assert_null (strstr (text, "a_b"));
  assert_non_null (strstr (text, "test_ratio_count{service=\"c\"} 1\n"));
  talloc_free (text);
  talloc_free (second);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_stalled_reader_does_not_block_loggers),
    cmocka_unit_test (test_clock_step_does_not_delay_exit),
    cmocka_unit_test (test_info_lines_do_not_displace_failures),
    cmocka_unit_test (test_line_has_time_level_and_event),
    cmocka_unit_test (test_histogram_bounds_are_inclusive),
    cmocka_unit_test (test_ratios_are_labelled),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
