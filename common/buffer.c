#include "common/buffer.h"

#include <string.h>

enum
{
  DOUBLING_MAX_BYTES = 64 * 1024,
  STEP_BYTES = 64 * 1024
};

/* Return the capacity to give to a buffer that holds SIZE bytes.  Large ones
   grow by a fixed step, since the allocator can extend them without a
   copy.  */
size_t
buffer_capacity_for (size_t size)
{
  return size < DOUBLING_MAX_BYTES / 2 ? size * 2 : size + STEP_BYTES;
}

/* Return the capacity to give to BUFFER for SIZE bytes.  */
static size_t
buffer_capacity (const buffer_t *buffer, size_t size)
{
  size_t capacity = buffer_capacity_for (size);

  return capacity < buffer->limit ? capacity : buffer->limit;
}

/* Give BUFFER room for SIZE bytes.  Returns NULL when memory is exhausted.  */
static char *
buffer_grow (TALLOC_CTX *parent, const buffer_t *buffer, size_t size)
{
  size_t capacity = buffer_capacity (buffer, size) + 1;
  size_t added = capacity - talloc_get_size (buffer->text);
  char *text = talloc_realloc (parent, buffer->text, char, capacity);

  if (text != NULL && buffer->memory != NULL)
    memory_charge (buffer->memory, added);
  return text;
}

/* Append SIZE BYTES to BUFFER, whose text is owned by PARENT.  Returns
   STATUS_TOO_LARGE when the limit would be exceeded, or STATUS_NO_MEMORY; the
   buffer is unchanged in both cases.  */
status_t
buffer_append (TALLOC_CTX *parent, buffer_t *buffer, const char *bytes,
               size_t size)
{
  char *text = buffer->text;
  size_t new_size = buffer->size + size;

  if (new_size > buffer->limit)
    return status_set (STATUS_TOO_LARGE, "%s is over %zu bytes",
                       buffer->description, buffer->limit);
  if (talloc_get_size (text) < new_size + 1)
    text = buffer_grow (parent, buffer, new_size);
  if (text == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for %s",
                       buffer->description);
  memcpy (text + buffer->size, bytes, size);
  text[new_size] = '\0';
  buffer->text = text;
  buffer->size = new_size;
  return STATUS_OK;
}
