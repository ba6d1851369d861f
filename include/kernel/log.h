#ifndef SISKIN_KERNEL_LOG_H
#define SISKIN_KERNEL_LOG_H

#include "kernel/status.h"

typedef enum log_level
{
  LOG_LEVEL_ERROR,  /* a fault that needs an operator's attention */
  LOG_LEVEL_WARN,   /* a request failed, or a dependency is unavailable */
  LOG_LEVEL_NOTICE, /* the process state or its view of peers changed */
  LOG_LEVEL_INFO,   /* a regular step in handling a request */
  LOG_LEVEL_DEBUG,
  LOG_LEVEL_COUNT
} log_level_t;

/* NAME identifies this process among those that run PROGRAM; both appear in
   each line.  Events of LEVEL and more severe ones are written to DESCRIPTOR.
 */
status_t log_init (const char *program, const char *name, log_level_t level,
                   int descriptor);
void log_close (void);
/* Write a line for EVENT, a fixed name; FORMAT yields its key=value pairs.  */
void log_event (log_level_t level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
