#include "kernel/status.h"

#include <stdarg.h>
#include <stdio.h>

enum
{
  STATUS_MESSAGE_BYTES = 512
};

static const char *const status_names[STATUS_COUNT] = {
  [STATUS_OK] = "ok",
  [STATUS_NO_MEMORY] = "no-memory",
  [STATUS_INVALID] = "invalid",
  [STATUS_NOT_FOUND] = "not-found",
  [STATUS_CONFLICT] = "conflict",
  [STATUS_UNAVAILABLE] = "unavailable",
  [STATUS_TIMEOUT] = "timeout",
  [STATUS_PROTOCOL] = "protocol",
  [STATUS_TOO_LARGE] = "too-large",
  [STATUS_REFUSED] = "refused",
  [STATUS_IO] = "io",
};

static _Thread_local char last_message[STATUS_MESSAGE_BYTES];

/* Return the lower-case name of STATUS for logs and JSON output.  The names
   are stable.  */
const char *
status_name (status_t status)
{
  if ((int)status < 0 || status >= STATUS_COUNT)
    return "unknown";
  return status_names[status];
}

/* Set the calling thread's status message and return STATUS, so that a failure
   can be described and returned in one statement.  */
status_t
status_set (status_t status, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  vsnprintf (last_message, sizeof last_message, format, arguments);
  va_end (arguments);
  return status;
}

/* Return the status message that the calling thread set last.  It is valid
   until the thread calls status_set again.  */
const char *
status_message (void)
{
  return last_message;
}
