/* Streams of events from upstreams: any bytes must be split into the same
   events however they arrive.  The first byte of the input chooses the size of
   the pieces.  */

#include "relay/event_stream.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

/* The events of one run, and the bytes that they consist of.  */
typedef struct digest
{
  size_t events;
  size_t bytes;
  uint64_t ids; /* a hash of the identifiers */
} digest_t;

static void
add_event (const char *bytes, size_t size, bool has_id, int64_t id, void *data)
{
  digest_t *digest = data;

  FUZZ_CHECK (size > 0 && bytes[size - 1] == '\n');
  digest->events++;
  digest->bytes += size;
  digest->ids = digest->ids * 31 + (has_id ? (uint64_t)id + 1 : 0);
}

/* Feeds BYTES in pieces of PIECE bytes.  Returns whether the stream could be
   read to its end.  */
static bool
feed (const char *bytes, size_t size, size_t piece, digest_t *digest)
{
  event_stream_t *stream = event_stream_create (NULL, add_event, digest);
  status_t status = STATUS_OK;

  memset (digest, 0, sizeof *digest);
  for (size_t at = 0; status == STATUS_OK && at < size; at += piece)
    status = event_stream_feed (stream, bytes + at,
                                size - at < piece ? size - at : piece);
  if (status == STATUS_OK && event_stream_is_at_boundary (stream))
    FUZZ_CHECK (digest->bytes == size);
  event_stream_destroy (stream);
  return status == STATUS_OK;
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t size)
{
  const char *text = (const char *)bytes + 1;
  digest_t whole;
  digest_t pieces;

  if (size < 2)
    return 0;
  FUZZ_CHECK (feed (text, size - 1, size, &whole)
              == feed (text, size - 1, (size_t)bytes[0] + 1, &pieces));
  FUZZ_CHECK (memcmp (&whole, &pieces, sizeof whole) == 0);
  return 0;
}
