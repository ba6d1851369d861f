#ifndef SISKIN_COMMON_BUFFER_H
#define SISKIN_COMMON_BUFFER_H

#include "kernel/status.h"

#include <stddef.h>
#include <talloc.h>

/* Bytes that come in piece by piece, up to a limit.  */
typedef struct buffer
{
  const char *description; /* they are, for error messages; a constant */
  size_t limit;
  char *text; /* ends with a null byte; NULL while there is none */
  size_t size;
} buffer_t;

status_t buffer_append (TALLOC_CTX *parent, buffer_t *buffer,
                        const char *bytes, size_t size);

#endif
