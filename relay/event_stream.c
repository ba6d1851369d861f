#include "relay/event_stream.h"

#include <stdlib.h>
#include <string.h>

enum
{
  MAX_EVENT_BYTES = 1024 * 1024
};

struct event_stream
{
  event_handler_t handler;
  void *data;
  char *pending; /* the start of an event */
  size_t used;
};

/* Create a cutter that hands each event to HANDLER.  */
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

/* Return the end of the line that starts at BYTES, past its newline, or NULL
   when it is not there yet.  */
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

/* Read the number in a line "id: NUMBER".  */
static bool
line_read_id (const char *line, const char *end, int64_t *id)
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

/* Hand over the event that starts at BYTES if all of it is there.  Returns
   where it ends, or NULL.  */
static const char *
take_event (event_stream_t *stream, const char *bytes, const char *end)
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
      has_id = line_read_id (line, next, &id) || has_id;
      line = next;
    }
}

/* Hand over all events that BYTES complete, and keep the rest.  Returns
   STATUS_TOO_LARGE for an event without end, or STATUS_NO_MEMORY.  */
status_t
event_stream_feed (event_stream_t *stream, const char *bytes, size_t size)
{
  const char *start = bytes;
  const char *end = bytes + size;
  const char *next;
  char *joined = NULL;

  if (stream->used > 0)
    {
      if (stream->used + size > MAX_EVENT_BYTES)
        return status_set (STATUS_TOO_LARGE, "an event is over %d bytes",
                           MAX_EVENT_BYTES);
      joined = talloc_realloc (stream, stream->pending, char,
                               stream->used + size);
      if (joined == NULL)
        return status_set (STATUS_NO_MEMORY, "no memory for an event");
      memcpy (joined + stream->used, bytes, size);
      start = joined;
      end = joined + stream->used + size;
      stream->pending = NULL;
    }
  while (start < end && (next = take_event (stream, start, end)) != NULL)
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

/* Return whether no part of an event is being kept.  */
bool
event_stream_is_at_boundary (const event_stream_t *stream)
{
  return stream->used == 0;
}

/* Drop the part of an event that is being kept.  */
void
event_stream_reset (event_stream_t *stream)
{
  TALLOC_FREE (stream->pending);
  stream->used = 0;
}
