#include "kernel/log.h"

#include "kernel/lock.h"
#include "kernel/log_sink.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

enum
{
  LOG_LINE_BYTES = 1024,
  LOG_LAYOUT_BYTES = 1280,
  NS_PER_MS = 1000000
};

static const int priorities[] = {
  [LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
  [LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
  [LOG_LEVEL_NOTICE] = LOG4C_PRIORITY_NOTICE,
  [LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
  [LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

static log4c_category_t *category;
static lock_t *output_lock; /* serializes calls of log4c */
static log_sink_t *sink;
static log_level_t event_level; /* of the current event; under output_lock */
static const char *program_name;
static const char *process_name;

/* Format EVENT as one line of key=value pairs.  log4c formats one event at a
   time, under the output lock, so a static buffer is safe.  */
static const char *
layout_key_value (const log4c_layout_t *layout,
                  const log4c_logging_event_t *event)
{
  static char line[LOG_LAYOUT_BYTES];
  struct timespec now;
  struct tm utc;
  char stamp[32];

  (void)layout;
  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
  snprintf (line, sizeof line,
            "time=%s.%03ldZ level=%s program=%s name=%s %s\n", stamp,
            now.tv_nsec / NS_PER_MS,
            log4c_priority_to_string (event->evt_priority), program_name,
            process_name, event->evt_msg);
  return line;
}

static const log4c_layout_type_t layout_type = {
  .name = "siskin-key-value",
  .format = layout_key_value,
};

/* Pass the formatted line to the sink.  */
static int
appender_put (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  struct timespec now;

  (void)appender;
  clock_gettime (CLOCK_MONOTONIC_COARSE, &now);
  log_sink_put (sink, event_level, now, event->evt_rendered_msg,
                strlen (event->evt_rendered_msg));
  return 0;
}

static int
appender_do_nothing (log4c_appender_t *appender)
{
  (void)appender;
  return 0;
}

static const log4c_appender_type_t appender_type = {
  .name = "siskin-sink",
  .open = appender_do_nothing,
  .append = appender_put,
  .close = appender_do_nothing,
};

/* Open the log.  Events of LEVEL and more severe ones are written to
   DESCRIPTOR, which the caller keeps open until log_close and closes.  PROGRAM
   and NAME, which distinguishes the processes of a program, are kept by
   reference.  Returns STATUS_IO when log4c or the writer thread cannot be
   started.  */
status_t
log_init (const char *program, const char *name, log_level_t level,
          int descriptor)
{
  log4c_layout_t *layout;
  log4c_appender_t *appender;

  program_name = program;
  process_name = name;
  if (log4c_init () != 0)
    return status_set (STATUS_IO, "cannot initialize log4c");
  sink = log_sink_create (descriptor, program, name);
  if (sink == NULL)
    return status_set (STATUS_IO, "cannot start the log writer thread");
  output_lock = lock_create (NULL, LOCK_LOG, "log");
  log4c_layout_type_set (&layout_type);
  layout = log4c_layout_get ("siskin-layout");
  log4c_layout_set_type (layout, &layout_type);
  log4c_appender_type_set (&appender_type);
  appender = log4c_appender_get ("siskin-appender");
  log4c_appender_set_type (appender, &appender_type);
  log4c_appender_set_layout (appender, layout);
  category = log4c_category_get ("siskinspur");
  log4c_category_set_appender (category, appender);
  log4c_category_set_additivity (category, 0);
  log4c_category_set_priority (category, priorities[level]);
  return STATUS_OK;
}

/* Write the queued lines and close the log.  */
void
log_close (void)
{
  if (category == NULL)
    return;
  category = NULL;
  log4c_fini ();
  log_sink_destroy (sink);
  sink = NULL;
  lock_destroy (output_lock);
  output_lock = NULL;
}

/* Log one line: "event=EVENT" followed by FORMAT, which consists of key=value
   pairs.  A line that exceeds the buffer is truncated.  Does nothing before
   log_init.  */
void
log_event (log_level_t level, const char *event, const char *format, ...)
{
  char line[LOG_LINE_BYTES];
  va_list arguments;
  int used;

  if (category == NULL
      || !log4c_category_is_priority_enabled (category, priorities[level]))
    return;
  used = snprintf (line, sizeof line, "event=%s ", event);
  if (used < 0 || (size_t)used >= sizeof line)
    return;
  va_start (arguments, format);
  vsnprintf (line + used, sizeof line - (size_t)used, format, arguments);
  va_end (arguments);
  lock_acquire (output_lock);
  event_level = level;
  log4c_category_log (category, priorities[level], "%s", line);
  lock_release (output_lock);
}
