#ifndef SISKIN_RELAY_EVENT_STREAM_H
#define SISKIN_RELAY_EVENT_STREAM_H

#include "kernel/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* Splits a stream of server-sent events into complete events.  */
typedef struct event_stream event_stream_t;

/* BYTES is a complete event including the empty line that ends it.  ID is
   valid if HAS_ID.  */
typedef void (*event_handler_t) (const char *bytes, size_t size, bool has_id,
                                 int64_t id, void *data);

event_stream_t *event_stream_create (TALLOC_CTX *parent,
                                     event_handler_t handler, void *data);
void event_stream_destroy (event_stream_t *stream);
status_t event_stream_feed (event_stream_t *stream, const char *bytes,
                            size_t size);
/* Returns the size of the incomplete event at the end of the data.  */
size_t event_stream_pending (const event_stream_t *stream);
bool event_stream_is_at_boundary (const event_stream_t *stream);

#endif
