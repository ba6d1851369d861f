#include "relay/event_stream.h"

#include <ctype.h>
#include <string.h>

enum
{
  EVENT_MAX_BYTES = 1024 * 1024
};

struct event_stream
{
  event_handler_t handler;
  void *data;
  char *pending;    /* the incomplete event at the end of the data */
  size_t used;      /* bytes in PENDING */
  status_t failure; /* of the first feed that failed, or STATUS_OK */
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

/* Parse the number in a line "id: NUMBER".  Returns false for any other line,
   and for a number that does not fit: its event counts as one without.  */
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
      if (__builtin_mul_overflow (value, 10, &value)
          || __builtin_add_overflow (value, *digits - '0', &value))
        return false;
      has_digit = true;
    }
  *id = value;
  return has_digit;
}

/* Return whether LINE is a comment or a field "NAME: VALUE".  Anything else,
   such as the text or the head of an error response, is not part of an event
   stream.  */
static bool
line_is_field (const char *line, const char *end)
{
  const char *colon = memchr (line, ':', (size_t)(end - line));

  if (colon == NULL)
    return false;
  while (line < colon && (isalnum ((unsigned char)*line) || *line == '-'))
    line++;
  return line == colon;
}

/* Call the handler for the event at BYTES if it is complete.  Sets *NEXT to
   the end of the event, or to NULL if it is incomplete.  Returns
   STATUS_PROTOCOL if a line is not part of an event.  */
static status_t
stream_emit_event (event_stream_t *stream, const char *bytes, const char *end,
                   const char **next)
{
  const char *line = bytes;
  const char *after;
  bool has_id = false;
  int64_t id = 0;

  *next = NULL;
  while ((after = line_end (line, end)) != NULL)
    {
      if (line_is_empty (line, after))
        {
          stream->handler (bytes, (size_t)(after - bytes), has_id, id,
                           stream->data);
          *next = after;
          return STATUS_OK;
        }
      if (!line_is_field (line, after))
        return status_set (STATUS_PROTOCOL, "a line is not part of an event");
      has_id = line_parse_id (line, after, &id) || has_id;
      line = after;
    }
  return STATUS_OK;
}

/* Keep the incomplete event from START to END.  */
static status_t
stream_keep (event_stream_t *stream, const char *start, const char *end)
{
  stream->used = (size_t)(end - start);
  if (stream->used == 0)
    return STATUS_OK;
  stream->pending = talloc_memdup (stream, start, stream->used);
  return stream->pending == NULL
             ? status_set (STATUS_NO_MEMORY, "out of memory for an event")
             : STATUS_OK;
}

/* Append BYTES to the incomplete event that is kept.  */
static status_t
stream_join (event_stream_t *stream, const char *bytes, size_t size)
{
  char *joined;

  if (stream->used + size > EVENT_MAX_BYTES)
    return status_set (STATUS_TOO_LARGE, "event exceeds %d bytes",
                       EVENT_MAX_BYTES);
  joined = talloc_realloc (stream, stream->pending, char, stream->used + size);
  if (joined == NULL)
    return status_set (STATUS_NO_MEMORY, "out of memory for an event");
  memcpy (joined + stream->used, bytes, size);
  stream->pending = joined;
  stream->used += size;
  return STATUS_OK;
}

/* Parse BYTES, call the handler for each event that is complete, and keep the
   rest.  */
static status_t
stream_parse (event_stream_t *stream, const char *bytes, size_t size)
{
  const char *start = bytes;
  const char *end = bytes + size;
  const char *next = start;
  char *joined = NULL;
  status_t status = STATUS_OK;

  if (stream->used > 0)
    {
      status = stream_join (stream, bytes, size);
      if (status != STATUS_OK)
        return status;
      start = joined = stream->pending;
      end = start + stream->used;
      stream->pending = NULL;
      next = start;
    }
  while (status == STATUS_OK && next != NULL && next < end)
    {
      start = next;
      status = stream_emit_event (stream, start, end, &next);
    }
  if (joined != NULL && start == joined && next == NULL)
    {
      stream->pending = joined; /* still the same incomplete event */
      return status;
    }
  if (status == STATUS_OK)
    status = stream_keep (stream, next == NULL ? start : end, end);
  talloc_free (joined);
  return status;
}

/* Parse BYTES, call the handler for each event that is complete, and keep the
   rest.  Returns STATUS_TOO_LARGE if an event exceeds the limit,
   STATUS_PROTOCOL if the bytes are no events, or STATUS_NO_MEMORY.  Each later
   call returns the same: bytes are missing, so what follows is no event.  */
status_t
event_stream_feed (event_stream_t *stream, const char *bytes, size_t size)
{
  if (stream->failure != STATUS_OK)
    return status_set (stream->failure, "the event stream failed before");
  stream->failure = stream_parse (stream, bytes, size);
  return stream->failure;
}

/* Return the size of the incomplete event at the end of the data.  */
size_t
event_stream_pending (const event_stream_t *stream)
{
  return stream->used;
}

/* Return whether the data so far ends at the end of an event.  */
bool
event_stream_is_at_boundary (const event_stream_t *stream)
{
  return stream->failure == STATUS_OK && stream->used == 0;
}
