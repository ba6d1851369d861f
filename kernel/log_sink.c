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
  SINK_QUEUE_BYTES = 512 * 1024,
  SINK_LINES_PER_S = 2000,
  SINK_BYTES_PER_S = 512 * 1024,
  /* Lines of ordinary success get this part of each bound, so that they
     never displace failures and changes of belief.  */
  SINK_INFO_DIVISOR = 2,
  SINK_WRITE_LINES = 64,
  SINK_GATHER_NS = 20000000, /* lines of this time share a write */
  SINK_LAST_WAIT_MS = 500,   /* for a slow reader at the process's end */
  SINK_REPORT_BYTES = 256
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
  time_t second; /* what the figures of the rate count in */
  unsigned second_lines;
  size_t second_bytes;
  unsigned left_out[LOG_LEVEL_COUNT]; /* since the last report of them */
  bool has_left_out;                  /* any of these is not 0 */
  time_t left_out_at;                 /* the second of the newest */
  bool is_closing;
  sem_t work;
  sem_t ended;
  pthread_t writer;
  int descriptor;
  const char *program;
  const char *name;
};

COUNTER_DEFINE (lines_written, "siskin_log_lines_total", "Log lines written");
static const char left_out_help[]
    = "Log lines left out because of the rate or a reader that stands still";

COUNTER_DEFINE_LABELLED (error_left_out, "siskin_log_lines_left_out_total",
                         "level=\"error\"", left_out_help);
COUNTER_DEFINE_LABELLED (warn_left_out, "siskin_log_lines_left_out_total",
                         "level=\"warn\"", left_out_help);
COUNTER_DEFINE_LABELLED (notice_left_out, "siskin_log_lines_left_out_total",
                         "level=\"notice\"", left_out_help);
COUNTER_DEFINE_LABELLED (info_left_out, "siskin_log_lines_left_out_total",
                         "level=\"info\"", left_out_help);
COUNTER_DEFINE_LABELLED (debug_left_out, "siskin_log_lines_left_out_total",
                         "level=\"debug\"", left_out_help);

static counter_t *const left_out_counters[LOG_LEVEL_COUNT] = {
  [LOG_LEVEL_ERROR] = &error_left_out,   [LOG_LEVEL_WARN] = &warn_left_out,
  [LOG_LEVEL_NOTICE] = &notice_left_out, [LOG_LEVEL_INFO] = &info_left_out,
  [LOG_LEVEL_DEBUG] = &debug_left_out,
};

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

static bool
sink_has_room (const log_sink_t *sink, log_level_t level, size_t size)
{
  unsigned divisor = level >= LOG_LEVEL_INFO ? SINK_INFO_DIVISOR : 1;

  return sink->queued_bytes + size <= SINK_QUEUE_BYTES / divisor
         && sink->second_lines < SINK_LINES_PER_S / divisor
         && sink->second_bytes + size <= SINK_BYTES_PER_S / divisor;
}

/* Put a line into the queue that says how many were left out until the second
   before NOW.  */
static void
sink_report_left_out (log_sink_t *sink, struct timespec now)
{
  const unsigned *count = sink->left_out;
  char text[SINK_REPORT_BYTES];
  int size;

  if (!sink->has_left_out || now.tv_sec == sink->left_out_at)
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
  memset (sink->left_out, 0, sizeof sink->left_out);
  sink->has_left_out = false;
}

/* Queue LINE of SIZE bytes for writing at NOW, or count it as left out.  Never
   waits for the reader.  */
void
log_sink_put (log_sink_t *sink, log_level_t level, struct timespec now,
              const char *line, size_t size)
{
  bool was_empty;

  lock_acquire (sink->lock);
  was_empty = STAILQ_EMPTY (&sink->lines);
  if (sink->second != now.tv_sec)
    {
      sink->second = now.tv_sec;
      sink->second_lines = 0;
      sink->second_bytes = 0;
    }
  sink_report_left_out (sink, now);
  if (sink_has_room (sink, level, size))
    {
      sink->second_lines++;
      sink->second_bytes += size;
      sink_append (sink, line, size);
    }
  else
    {
      sink->left_out[level]++;
      sink->has_left_out = true;
      sink->left_out_at = now.tv_sec;
      counter_add (left_out_counters[level], 1);
    }
  if (was_empty && !STAILQ_EMPTY (&sink->lines))
    sem_post (&sink->work);
  lock_release (sink->lock);
}

/* Write all of PARTS.  Returns false when the descriptor is broken.  */
static bool
sink_write_parts (const log_sink_t *sink, struct iovec *parts, int count)
{
  while (count > 0)
    {
      ssize_t written = writev (sink->descriptor, parts, count);

      if (written < 0 && errno == EAGAIN)
        {
          struct pollfd wait
              = { .fd = sink->descriptor, .events = POLLOUT, .revents = 0 };

          poll (&wait, 1, -1);
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

static void
sink_write_lines (const log_sink_t *sink, struct sink_lines *lines)
{
  struct iovec parts[SINK_WRITE_LINES];
  sink_line_t *line;

  while (!STAILQ_EMPTY (lines))
    {
      int count = 0;

      STAILQ_FOREACH (line, lines, link)
        {
          if (count == SINK_WRITE_LINES)
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

/* Lines being written still count as queued, so that a reader that stands
   still bounds both.  */
static bool
sink_write_once (log_sink_t *sink)
{
  struct sink_lines taken = STAILQ_HEAD_INITIALIZER (taken);
  size_t taken_bytes;
  bool is_closing;

  lock_acquire (sink->lock);
  STAILQ_CONCAT (&taken, &sink->lines);
  taken_bytes = sink->queued_bytes;
  is_closing = sink->is_closing;
  lock_release (sink->lock);
  sink_write_lines (sink, &taken);
  lock_acquire (sink->lock);
  sink->queued_bytes -= taken_bytes;
  lock_release (sink->lock);
  return !is_closing;
}

static void *
sink_run (void *data)
{
  static const struct timespec gather = { .tv_nsec = SINK_GATHER_NS };
  log_sink_t *sink = data;

  do
    {
      while (sem_wait (&sink->work) != 0)
        continue;
      nanosleep (&gather, NULL);
    }
  while (sink_write_once (sink));
  sem_post (&sink->ended);
  return NULL;
}

/* Create a sink that writes to DESCRIPTOR, which stays the caller's; PROGRAM
   and NAME are kept by reference and stand in the sink's own lines.  Returns
   NULL when memory or threads are exhausted.  */
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
  sem_init (&sink->work, 0, 0);
  sem_init (&sink->ended, 0, 0);
  if (sink->lock != NULL
      && pthread_create (&sink->writer, NULL, sink_run, sink) == 0)
    return sink;
  talloc_free (sink);
  return NULL;
}

/* Write what is queued and free SINK.  A reader that takes nothing for half a
   second loses the rest, and the sink is left to the process's end.  */
void
log_sink_destroy (log_sink_t *sink)
{
  struct timespec end;

  lock_acquire (sink->lock);
  sink->is_closing = true;
  lock_release (sink->lock);
  sem_post (&sink->work);
  clock_gettime (CLOCK_REALTIME, &end);
  end = timespec_add (end, timespec_from_ms (SINK_LAST_WAIT_MS));
  while (sem_timedwait (&sink->ended, &end) != 0)
    {
      if (errno != ETIMEDOUT)
        continue;
      pthread_detach (sink->writer);
      return;
    }
  pthread_join (sink->writer, NULL);
  sem_destroy (&sink->work);
  sem_destroy (&sink->ended);
  talloc_free (sink);
}
