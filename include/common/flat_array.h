#ifndef SISKIN_COMMON_FLAT_ARRAY_H
#define SISKIN_COMMON_FLAT_ARRAY_H

#include <stdbool.h>
#include <stddef.h>

/* A MessagePack array of non-negative integers, booleans, strings and binary
   data.  Bytes from peers must be checked before they are passed to msgpack,
   which allocates memory for as many items as an array header claims.  */
bool flat_array_is_valid (const char *text, size_t size, size_t max_items);

#endif
