#ifndef SISKIN_COMMON_FILE_H
#define SISKIN_COMMON_FILE_H

#include "kernel/status.h"

#include <stddef.h>
#include <talloc.h>

char *file_read (TALLOC_CTX *parent, const char *name, size_t *size);

#endif
