#include "common/numbers.h"

#include "common/flat_array.h"

#include <msgpack.h>

enum
{
  /* Enough for an expert map of 32 layers, 1,024 ranks and 16 slots.  msgpack
     needs 24 bytes for each item while it decodes.  */
  NUMBERS_MAX_COUNT = 1024 * 1024
};

/* Encode COUNT NUMBERS as a MessagePack array.  The bytes of the result are
   owned by PARENT; its data is NULL when memory is exhausted.  */
blob_t
numbers_encode (TALLOC_CTX *parent, const uint64_t *numbers, size_t count)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  blob_t blob;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, count);
  for (size_t i = 0; i < count; i++)
    msgpack_pack_uint64 (&packer, numbers[i]);
  blob = (blob_t){ .data = talloc_memdup (parent, buffer.data, buffer.size),
                   .size = buffer.size };
  msgpack_sbuffer_destroy (&buffer);
  return blob;
}

/* Decode the result of numbers_encode and set *COUNT.  Returns an array owned
   by PARENT, or NULL when ENCODED is malformed.  */
uint64_t *
numbers_decode (TALLOC_CTX *parent, blob_t encoded, size_t *count)
{
  msgpack_unpacked unpacked;
  uint64_t *numbers = NULL;
  size_t offset = 0;
  bool is_valid;

  msgpack_unpacked_init (&unpacked);
  is_valid
      = flat_array_is_valid (encoded.data, encoded.size, NUMBERS_MAX_COUNT)
        && msgpack_unpack_next (&unpacked, encoded.data, encoded.size, &offset)
               == MSGPACK_UNPACK_SUCCESS
        && unpacked.data.type == MSGPACK_OBJECT_ARRAY;
  if (is_valid)
    {
      *count = unpacked.data.via.array.size;
      numbers = talloc_zero_array (parent, uint64_t, *count + 1);
      is_valid = numbers != NULL;
      for (size_t i = 0; is_valid && i < *count; i++)
        {
          const msgpack_object *item = &unpacked.data.via.array.ptr[i];

          is_valid = item->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
          numbers[i] = item->via.u64;
        }
    }
  if (!is_valid)
    TALLOC_FREE (numbers);
  msgpack_unpacked_destroy (&unpacked);
  return numbers;
}
