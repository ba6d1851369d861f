#include "common/flat_array.h"

#include <stdint.h>

static size_t
decode_big_endian (const unsigned char *bytes, size_t size)
{
  size_t value = 0;

  for (size_t i = 0; i < size; i++)
    value = value << 8 | bytes[i];
  return value;
}

/* Return the encoded size of the MessagePack item at BYTES, of which SIZE are
   available.  Returns 0 when the item is truncated or is not a nonnegative
   integer, boolean, string or binary data.  */
static size_t
item_size (const unsigned char *bytes, size_t size)
{
  unsigned char first = bytes[0];
  size_t length_bytes = 0;
  size_t item_bytes = 1;

  if (first >= 0xa0 && first <= 0xbf) /* fixstr: length in the low 5 bits */
    item_bytes += first & 0x1f;
  else if (first >= 0xc4 && first <= 0xc6) /* bin 8, 16, 32 */
    length_bytes = (size_t)1 << (first - 0xc4);
  else if (first >= 0xd9 && first <= 0xdb) /* str 8, 16, 32 */
    length_bytes = (size_t)1 << (first - 0xd9);
  else if (first >= 0xcc && first <= 0xcf) /* uint 8, 16, 32, 64 */
    item_bytes += (size_t)1 << (first - 0xcc);
  else if (first > 0x7f && first != 0xc2 && first != 0xc3)
    /* neither a positive fixint nor false or true */
    return 0;
  if (item_bytes + length_bytes > size)
    return 0;
  item_bytes += length_bytes + decode_big_endian (bytes + 1, length_bytes);
  return item_bytes > size ? 0 : item_bytes;
}

/* Return the number of items that the header of the MessagePack array at BYTES
   claims, and set *POSITION to the first one.  Returns SIZE_MAX when there is
   no such header.  */
static size_t
item_count (const unsigned char *bytes, size_t size, size_t *position)
{
  size_t length_bytes;

  *position = 1;
  if (size >= 1 && bytes[0] >= 0x90 && bytes[0] <= 0x9f) /* fixarray */
    return bytes[0] & 0x0f;
  if (size < 1 || (bytes[0] != 0xdc && bytes[0] != 0xdd)) /* array 16, 32 */
    return SIZE_MAX;
  length_bytes = bytes[0] == 0xdc ? 2 : 4;
  *position += length_bytes;
  return *position > size ? SIZE_MAX
                          : decode_big_endian (bytes + 1, length_bytes);
}

/* Return whether the SIZE bytes of TEXT are an array without nested arrays or
   maps that has at most MAX_ITEMS items.  */
bool
flat_array_is_valid (const char *text, size_t size, size_t max_items)
{
  const unsigned char *bytes = (const unsigned char *)text;
  size_t position;
  size_t count = item_count (bytes, size, &position);

  if (count > max_items)
    return false;
  for (; count > 0 && position < size; count--)
    {
      size_t item_bytes = item_size (bytes + position, size - position);

      if (item_bytes == 0)
        return false;
      position += item_bytes;
    }
  return count == 0 && position == size;
}
