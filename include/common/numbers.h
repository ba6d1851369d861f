#ifndef SISKIN_COMMON_NUMBERS_H
#define SISKIN_COMMON_NUMBERS_H

#include "common/frame.h"

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* Arrays of unsigned integers, encoded as a blob field of a frame.  */
blob_t numbers_encode (TALLOC_CTX *parent, const uint64_t *numbers,
                       size_t count);
uint64_t *numbers_decode (TALLOC_CTX *parent, blob_t encoded, size_t *count);

#endif
