#ifndef SISKIN_COMMON_BASE64_H
#define SISKIN_COMMON_BASE64_H

#include <stddef.h>
#include <talloc.h>

char *base64_encode_text (TALLOC_CTX *parent, const char *data, size_t size);
char *base64_decode_text (TALLOC_CTX *parent, const char *text, size_t *size);

#endif
