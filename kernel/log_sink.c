#include "kernel/log_sink.h"

#include "kernel/clock.h"
#include "kernel/counter.h"
#include "kernel/lock.h"

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <semaphore.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/uio.h>
#include <unistd.h>

enum
{
  SINK_MAX_QUEUE_BYTES = 512 * 1024,
  SINK_MAX_LINES_PER_S = 2000,
  SINK_MAX_BYTES_PER_S = 512 * 1024,
  /* INFO and DEBUG lines may use only this fraction of each limit, so that
     they never displace lines about failures and state changes.  */
  SINK_INFO_LIMIT_DIVISOR = 2,
  SINK_MAX_LINES_PER_WRITE = 64,
  /* Lines that are queued within this time share a write.  */
  SINK_BATCH_DELAY_NS = 20000000,
  SINK_CLOSE_TIMEOUT_MS = 500, /* for a slow reader when the process exits */
  SINK_DROP_REPORT_BYTES = 256
};

typedef struct sink_line
{
  STAILQ_ENTRY (sink_line) link;
  size_t size;
  char text[];
} sink_line_t;

STAILQ_HEAD (sink_lines, sink_line);

struct log_sink
{
  lock_t *lock;
  struct sink_lines lines;
  size_t queued_bytes;
  time_t rate_second; /* second of RATE_LINES and RATE_BYTES, monotonic */
  unsigned rate_lines;
  size_t rate_bytes;
  unsigned dropped[LOG_LEVEL_COUNT]; /* dropped lines not yet reported */
  bool has_dropped;                  /* any element of DROPPED is not 0 */
  time_t last_drop_second;           /* monotonic second of the last drop */
  bool is_closing;
  sem_t lines_available;
  sem_t writer_ended;
  pthread_t writer;
  int descriptor;
  const char *program;
  const char *name;
};

COUNTER_DEFINE (lines_written, "siskin_log_lines_total", "Log lines written");
static const char dropped_help[]
    = "Log lines left out because of the rate or a reader that stands still";

COUNTER_DEFINE_LABELLED (dropped_error, "siskin_log_lines_left_out_total",
                         "level=\"error\"", dropped_help);
COUNTER_DEFINE_LABELLED (dropped_warn, "siskin_log_lines_left_out_total",
                         "level=\"warn\"", dropped_help);
COUNTER_DEFINE_LABELLED (dropped_notice, "siskin_log_lines_left_out_total",
                         "level=\"notice\"", dropped_help);
COUNTER_DEFINE_LABELLED (dropped_info, "siskin_log_lines_left_out_total",
                         "level=\"info\"", dropped_help);
COUNTER_DEFINE_LABELLED (dropped_debug, "siskin_log_lines_left_out_total",
                         "level=\"debug\"", dropped_help);

static counter_t *const dropped_counters[LOG_LEVEL_COUNT] = {
  [LOG_LEVEL_ERROR] = &dropped_error,   [LOG_LEVEL_WARN] = &dropped_warn,
  [LOG_LEVEL_NOTICE] = &dropped_notice, [LOG_LEVEL_INFO] = &dropped_info,
  [LOG_LEVEL_DEBUG] = &dropped_debug,
};

/* Add TEXT to the queue.  Does nothing when memory is exhausted.  */
static void
sink_append (log_sink_t *sink, const char *text, size_t size)
{
  sink_line_t *line = malloc (sizeof *line + size);

  if (line == NULL)
    return;
  line->size = size;
  memcpy (line->text, text, size);
  STAILQ_INSERT_TAIL (&sink->lines, line, link);
  sink->queued_bytes += size;
}

/* Return whether a line of LEVEL and SIZE bytes fits into the queue and the
   rate limits.  */
static bool
sink_has_room (const log_sink_t *sink, log_level_t level, size_t size)
{
  unsigned divisor = level >= LOG_LEVEL_INFO ? SINK_INFO_LIMIT_DIVISOR : 1;

  return sink->queued_bytes + size <= SINK_MAX_QUEUE_BYTES / divisor
         && sink->rate_lines < SINK_MAX_LINES_PER_S / divisor
         && sink->rate_bytes + size <= SINK_MAX_BYTES_PER_S / divisor;
}

/* Queue a line with the number of lines dropped at each level.  Does nothing
   while NOW is in the same second as the last drop, so that a second with
   drops gives one line.  */
static void
sink_report_dropped (log_sink_t *sink, struct timespec now)
{
  const unsigned *count = sink->dropped;
  char text[SINK_DROP_REPORT_BYTES];
  int size;

  if (!sink->has_dropped || now.tv_sec == sink->last_drop_second)
    return;
  size = snprintf (text, sizeof text,
                   "level=WARN program=%s name=%s event=lines-left-out "
                   "error=%u warn=%u notice=%u "
                   "info=%u debug=%u\n",
                   sink->program, sink->name, count[LOG_LEVEL_ERROR],
                   count[LOG_LEVEL_WARN], count[LOG_LEVEL_NOTICE],
                   count[LOG_LEVEL_INFO], count[LOG_LEVEL_DEBUG]);
  if (size <= 0 || (size_t)size >= sizeof text
      || !sink_has_room (sink, LOG_LEVEL_WARN, (size_t)size))
    return;
  sink_append (sink, text, (size_t)size);
  memset (sink->dropped, 0, sizeof sink->dropped);
  sink->has_dropped = false;
}

/* Queue LINE of SIZE bytes, or count it as dropped when it exceeds the queue
   or the rate limits.  NOW is the monotonic time.  Never blocks on the
   reader.  */
void
log_sink_put (log_sink_t *sink, log_level_t level, struct timespec now,
              const char *line, size_t size)
{
  bool was_empty;

  lock_acquire (sink->lock);
  was_empty = STAILQ_EMPTY (&sink->lines);
  if (sink->rate_second != now.tv_sec)
    {
      sink->rate_second = now.tv_sec;
      sink->rate_lines = 0;
      sink->rate_bytes = 0;
    }
  sink_report_dropped (sink, now);
  if (sink_has_room (sink, level, size))
    {
      sink->rate_lines++;
      sink->rate_bytes += size;
      sink_append (sink, line, size);
    }
  else
    {
      sink->dropped[level]++;
      sink->has_dropped = true;
      sink->last_drop_second = now.tv_sec;
      counter_add (dropped_counters[level], 1);
    }
  if (was_empty && !STAILQ_EMPTY (&sink->lines))
    sem_post (&sink->lines_available);
  lock_release (sink->lock);
}

/* Write all COUNT buffers of PARTS, which are modified.  Returns false when
   the descriptor cannot be written.  */
static bool
sink_write_parts (const log_sink_t *sink, struct iovec *parts, int count)
{
  while (count > 0)
    {
      ssize_t written = writev (sink->descriptor, parts, count);

      if (written < 0 && errno == EAGAIN)
        {
          struct pollfd writable
              = { .fd = sink->descriptor, .events = POLLOUT, .revents = 0 };

          poll (&writable, 1, -1);
          continue;
        }
      if (written < 0 && errno != EINTR)
        return false;
      while (count > 0 && written >= (ssize_t)parts->iov_len)
        {
          written -= (ssize_t)parts->iov_len;
          parts++;
          count--;
        }
      if (count > 0 && written > 0)
        {
          parts->iov_base = (char *)parts->iov_base + written;
          parts->iov_len -= (size_t)written;
        }
    }
  return true;
}

/* Write and free LINES.  */
static void
sink_write_lines (const log_sink_t *sink, struct sink_lines *lines)
{
  struct iovec parts[SINK_MAX_LINES_PER_WRITE];
  sink_line_t *line;

  while (!STAILQ_EMPTY (lines))
    {
      int count = 0;

      STAILQ_FOREACH (line, lines, link)
        {
          if (count == SINK_MAX_LINES_PER_WRITE)
            break;
          parts[count].iov_base = line->text;
          parts[count].iov_len = line->size;
          count++;
        }
      if (sink_write_parts (sink, parts, count))
        counter_add (&lines_written, count);
      for (; count > 0; count--)
        {
          line = STAILQ_FIRST (lines);
          STAILQ_REMOVE_HEAD (lines, link);
          free (line);
        }
    }
}

/* Write the queued lines.  They count as queued until they are written, so
   that the queue limit also covers them when the reader stalls.  Returns false
   when the sink is being closed.  */
static bool
sink_write_batch (log_sink_t *sink)
{
  struct sink_lines batch = STAILQ_HEAD_INITIALIZER (batch);
  size_t batch_bytes;
  bool is_closing;

  lock_acquire (sink->lock);
  STAILQ_CONCAT (&batch, &sink->lines);
  batch_bytes = sink->queued_bytes;
  is_closing = sink->is_closing;
  lock_release (sink->lock);
  sink_write_lines (sink, &batch);
  lock_acquire (sink->lock);
  sink->queued_bytes -= batch_bytes;
  lock_release (sink->lock);
  return !is_closing;
}

static void *
sink_writer_main (void *data)
{
  static const struct timespec batch_delay
      = { .tv_nsec = SINK_BATCH_DELAY_NS };
  log_sink_t *sink = data;

  do
    {
      while (sem_wait (&sink->lines_available) != 0)
        continue;
      nanosleep (&batch_delay, NULL);
    }
  while (sink_write_batch (sink));
  sem_post (&sink->writer_ended);
  return NULL;
}

/* Create a sink that writes to DESCRIPTOR, which the caller keeps open until
   log_sink_destroy and closes.  PROGRAM and NAME are kept by reference and
   appear in the lines that the sink itself writes.  Returns NULL when memory
   or threads are exhausted.  */
log_sink_t *
log_sink_create (int descriptor, const char *program, const char *name)
{
  log_sink_t *sink = talloc_zero (NULL, log_sink_t);

  if (sink == NULL)
    return NULL;
  sink->lock = lock_create (sink, LOCK_LOG_QUEUE, "log-queue");
  STAILQ_INIT (&sink->lines);
  sink->descriptor = descriptor;
  sink->program = program;
  sink->name = name;
  sem_init (&sink->lines_available, 0, 0);
  sem_init (&sink->writer_ended, 0, 0);
  if (sink->lock != NULL
      && pthread_create (&sink->writer, NULL, sink_writer_main, sink) == 0)
    return sink;
  talloc_free (sink);
  return NULL;
}

/* Write the queued lines and free SINK.  When that takes longer than half a
   second because the reader stalls, the remaining lines are lost when the
   process exits, and SINK is not freed because the writer thread still uses
   it.  */
void
log_sink_destroy (log_sink_t *sink)
{
  struct timespec deadline;

  lock_acquire (sink->lock);
  sink->is_closing = true;
  lock_release (sink->lock);
  sem_post (&sink->lines_available);
  clock_gettime (CLOCK_MONOTONIC, &deadline);
  deadline = timespec_add (deadline, timespec_from_ms (SINK_CLOSE_TIMEOUT_MS));
  while (sem_clockwait (&sink->writer_ended, CLOCK_MONOTONIC, &deadline) != 0)
    {
      if (errno != ETIMEDOUT)
        continue;
      pthread_detach (sink->writer);
      return;
    }
  pthread_join (sink->writer, NULL);
  sem_destroy (&sink->lines_available);
  sem_destroy (&sink->writer_ended);
  talloc_free (sink);
}
