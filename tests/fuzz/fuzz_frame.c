/* Frames from peers: malformed bytes must not crash the receiver, and a frame
   that it accepts must be the same after it was encoded and decoded again, as
   when a pilot passes it on.  */

#include "common/frame.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

/* Checks that FRAME can be encoded, and decoded as the same frame.  */
static void
check_round_trip (TALLOC_CTX *memory, const frame_t *frame)
{
  size_t size;
  size_t again_size;
  char *encoded = frame_encode (memory, frame, &size);
  char *again;
  frame_t decoded;

  FUZZ_CHECK (encoded != NULL);
  FUZZ_CHECK (frame_decode (memory, encoded + FRAME_PREFIX_BYTES,
                            size - FRAME_PREFIX_BYTES, &decoded)
              == STATUS_OK);
  again = frame_encode (memory, &decoded, &again_size);
  FUZZ_CHECK (again != NULL && again_size == size
              && memcmp (again, encoded, size) == 0);
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t size)
{
  TALLOC_CTX *memory = talloc_new (NULL);
  frame_t frame;

  if (frame_decode (memory, (const char *)bytes, size, &frame) == STATUS_OK)
    check_round_trip (memory, &frame);
  talloc_free (memory);
  return 0;
}
