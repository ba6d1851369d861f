/* Header lines of HTTP messages: any line must be refused or give a field with
   a name that can be found.  The lines of the input end with newlines.  */

#include "common/http_header.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t size)
{
  const char *line = (const char *)bytes;
  const char *end = line + size;
  TALLOC_CTX *memory = talloc_new (NULL);
  http_headers_t headers = STAILQ_HEAD_INITIALIZER (headers);
  const http_header_t *header;

  while (line < end)
    {
      const char *newline = memchr (line, '\n', (size_t)(end - line));
      const char *next = newline == NULL ? end : newline + 1;

      http_headers_add_line (&headers, memory, line, (size_t)(next - line));
      line = next;
    }
  STAILQ_FOREACH (header, &headers, link)
    {
      FUZZ_CHECK (http_headers_find (&headers, header->name) != NULL);
      http_header_is_hop_by_hop (&headers, header->name);
    }
  talloc_free (memory);
  return 0;
}
