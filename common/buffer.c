#include "common/buffer.h"

#include <string.h>

/* Add SIZE BYTES to BUFFER, whose text belongs to PARENT.  Returns
   STATUS_TOO_LARGE or STATUS_NO_MEMORY; the buffer is as it was then.  */
status_t
buffer_append (TALLOC_CTX *parent, buffer_t *buffer, const char *bytes,
               size_t size)
{
  char *larger = buffer->text;
  size_t wanted = buffer->size + size;

  if (wanted > buffer->limit)
    return status_set (STATUS_TOO_LARGE, "%s is over %zu bytes",
                       buffer->description, buffer->limit);
  if (talloc_get_size (larger) < wanted + 1)
    larger = talloc_realloc (parent, larger, char, wanted * 2 + 1);
  if (larger == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for %s",
                       buffer->description);
  memcpy (larger + buffer->size, bytes, size);
  larger[wanted] = '\0';
  buffer->text = larger;
  buffer->size = wanted;
  return STATUS_OK;
}
