#ifndef SISKIN_KERNEL_LOG_H
#define SISKIN_KERNEL_LOG_H

#include "kernel/status.h"

typedef enum log_level
{
  LOG_LEVEL_ERROR,
  LOG_LEVEL_WARN,
  LOG_LEVEL_INFO,
  LOG_LEVEL_DEBUG
} log_level_t;

status_t log_init (const char *program, log_level_t level);
void log_close (void);
void log_event (log_level_t level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
