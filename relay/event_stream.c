#include "relay/event_stream.h"

#include <stdlib.h>
#include <string.h>

enum
{
  EVENT_MAX_BYTES = 1024 * 1024
};

struct event_stream
{
  event_handler_t handler;
  void *data;
  char *pending; /* the incomplete event at the end of the data */
  size_t used;   /* bytes in PENDING */
};

/* Create a parser that calls HANDLER for each complete event.  */
event_stream_t *
event_stream_create (TALLOC_CTX *parent, event_handler_t handler, void *data)
{
  event_stream_t *stream = talloc_zero (parent, event_stream_t);

  if (stream == NULL)
    return NULL;
  stream->handler = handler;
  stream->data = data;
  return stream;
}

/* Free STREAM.  */
void
event_stream_destroy (event_stream_t *stream)
{
  talloc_free (stream);
}

/* Return the position after the newline that ends the line at BYTES, or NULL
   if the line is incomplete.  */
static const char *
line_end (const char *bytes, const char *end)
{
  const char *newline = memchr (bytes, '\n', (size_t)(end - bytes));

  return newline == NULL ? NULL : newline + 1;
}

static bool
line_is_empty (const char *line, const char *end)
{
  return end - line == 1 || (end - line == 2 && line[0] == '\r');
}

/* Parse the number in a line "id: NUMBER".  Returns false for any other
   line.  */
static bool
line_parse_id (const char *line, const char *end, int64_t *id)
{
  static const char name[] = "id:";
  const char *digits = line + sizeof name - 1;
  int64_t value = 0;
  bool has_digit = false;

  if ((size_t)(end - line) < sizeof name
      || memcmp (line, name, sizeof name - 1) != 0)
    return false;
  while (digits < end && *digits == ' ')
    digits++;
  for (; digits < end && *digits >= '0' && *digits <= '9'; digits++)
    {
      value = value * 10 + (*digits - '0');
      has_digit = true;
    }
  *id = value;
  return has_digit;
}

/* Call the handler for the event at BYTES if it is complete.  Returns the end
   of the event, or NULL if it is incomplete.  */
static const char *
stream_emit_event (event_stream_t *stream, const char *bytes, const char *end)
{
  const char *line = bytes;
  bool has_id = false;
  int64_t id = 0;

  for (;;)
    {
      const char *next = line_end (line, end);

      if (next == NULL)
        return NULL;
      if (line_is_empty (line, next))
        {
          stream->handler (bytes, (size_t)(next - bytes), has_id, id,
                           stream->data);
          return next;
        }
      has_id = line_parse_id (line, next, &id) || has_id;
      line = next;
    }
}

/* Parse BYTES, call the handler for each event that is complete, and buffer
   the rest.  Returns STATUS_TOO_LARGE if a buffered event exceeds the limit,
   or STATUS_NO_MEMORY.  */
status_t
event_stream_feed (event_stream_t *stream, const char *bytes, size_t size)
{
  const char *start = bytes;
  const char *end = bytes + size;
  const char *next;
  char *joined = NULL;

  if (stream->used > 0)
    {
      if (stream->used + size > EVENT_MAX_BYTES)
        return status_set (STATUS_TOO_LARGE, "event exceeds %d bytes",
                           EVENT_MAX_BYTES);
      joined = talloc_realloc (stream, stream->pending, char,
                               stream->used + size);
      if (joined == NULL)
        return status_set (STATUS_NO_MEMORY, "out of memory for an event");
      memcpy (joined + stream->used, bytes, size);
      start = joined;
      end = joined + stream->used + size;
      stream->pending = NULL;
    }
  while (start < end
         && (next = stream_emit_event (stream, start, end)) != NULL)
    start = next;
  stream->used = (size_t)(end - start);
  if (stream->used > 0)
    {
      stream->pending = talloc_memdup (stream, start, stream->used);
      if (stream->pending == NULL)
        stream->used = 0;
    }
  talloc_free (joined);
  return STATUS_OK;
}

/* Return whether the data so far ends at the end of an event.  */
bool
event_stream_is_at_boundary (const event_stream_t *stream)
{
  return stream->used == 0;
}

/* Discard the incomplete event that is buffered.  */
void
event_stream_reset (event_stream_t *stream)
{
  TALLOC_FREE (stream->pending);
  stream->used = 0;
}
