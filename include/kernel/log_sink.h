#ifndef SISKIN_KERNEL_LOG_SINK_H
#define SISKIN_KERNEL_LOG_SINK_H

#include "kernel/log.h"

#include <stddef.h>
#include <time.h>

/* Asynchronous output of formatted log lines: a bounded queue, and a thread
   that writes the queued lines to a descriptor.  A new line is dropped if the
   queue is full, because the reader of the descriptor (such as a log
   collector) is too slow, or if the rate limit is exceeded.  The thread that
   logs never blocks on the reader.  The number of dropped lines is logged
   later.  */
typedef struct log_sink log_sink_t;

log_sink_t *log_sink_create (int descriptor, const char *program,
                             const char *name);
void log_sink_destroy (log_sink_t *sink);
void log_sink_put (log_sink_t *sink, log_level_t level, struct timespec now,
                   const char *line, size_t size);

#endif
