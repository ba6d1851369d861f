#include "common/file.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

enum
{
  FILE_MAX_BYTES = 4 * 1024 * 1024
};

/* Read the file NAME and store its size in *SIZE.  Returns the contents, owned
   by PARENT and followed by a null byte, or NULL with the status message set
   when the file cannot be read or is larger than FILE_MAX_BYTES.  */
char *
file_read (TALLOC_CTX *parent, const char *name, size_t *size)
{
  FILE *stream = fopen (name, "rb");
  char *text;

  if (stream == NULL)
    {
      status_set (STATUS_IO, "cannot open: %s", strerror (errno));
      return NULL;
    }
  text = talloc_array (parent, char, FILE_MAX_BYTES + 1);
  *size = text == NULL ? 0 : fread (text, 1, FILE_MAX_BYTES + 1, stream);
  if (text == NULL || ferror (stream) || *size > FILE_MAX_BYTES)
    {
      status_set (STATUS_IO, "cannot read: %s",
                  ferror (stream) ? strerror (errno) : "too large");
      TALLOC_FREE (text);
    }
  fclose (stream);
  if (text == NULL)
    return NULL;
  text[*size] = '\0';
  return talloc_realloc (parent, text, char, *size + 1);
}
