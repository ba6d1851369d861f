#ifndef SISKIN_COMMON_BUFFER_H
#define SISKIN_COMMON_BUFFER_H

#include "kernel/memory_budget.h"
#include "kernel/status.h"

#include <stddef.h>
#include <talloc.h>

/* A growing byte buffer with a maximum size.  */
typedef struct buffer
{
  const char *description; /* of the contents, for error messages; not owned */
  size_t limit;            /* maximum SIZE */
  char *text;  /* null-terminated; NULL until the first buffer_append */
  size_t size; /* without the terminating null byte */
  memory_holder_t *memory; /* TEXT is counted there; NULL for nowhere */
} buffer_t;

/* Returns the capacity to give to a growing block that holds SIZE bytes.  */
size_t buffer_capacity_for (size_t size);
status_t buffer_append (TALLOC_CTX *parent, buffer_t *buffer,
                        const char *bytes, size_t size);

#endif
