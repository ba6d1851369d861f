#include "common/base64.h"

#include <nettle/base64.h>
#include <string.h>

/* Encode SIZE bytes of DATA as base64.  Returns a string owned by PARENT, or
   NULL when memory is exhausted.  */
char *
base64_encode_text (TALLOC_CTX *parent, const char *data, size_t size)
{
  size_t length = BASE64_ENCODE_RAW_LENGTH (size);
  char *text = talloc_array (parent, char, length + 1);

  if (text == NULL)
    return NULL;
  base64_encode_raw (text, size, (const uint8_t *)data);
  text[length] = '\0';
  return text;
}

/* Decode the base64 string TEXT.  Returns the decoded bytes, owned by PARENT
   and followed by a null byte, and stores their number in *SIZE unless SIZE is
   NULL.  Returns NULL when TEXT is not valid base64 or memory is
   exhausted.  */
char *
base64_decode_text (TALLOC_CTX *parent, const char *text, size_t *size)
{
  struct base64_decode_ctx decoder;
  size_t length = strlen (text);
  size_t decoded = BASE64_DECODE_LENGTH (length);
  char *data = talloc_array (parent, char, decoded + 1);

  if (data == NULL)
    return NULL;
  base64_decode_init (&decoder);
  if (!base64_decode_update (&decoder, &decoded, (uint8_t *)data, length, text)
      || !base64_decode_final (&decoder))
    {
      talloc_free (data);
      return NULL;
    }
  data[decoded] = '\0';
  if (size != NULL)
    *size = decoded;
  return data;
}
