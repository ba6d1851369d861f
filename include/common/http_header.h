#ifndef SISKIN_COMMON_HTTP_HEADER_H
#define SISKIN_COMMON_HTTP_HEADER_H

#include "kernel/status.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>

/* A header field of an HTTP message.  */
typedef struct http_header
{
  STAILQ_ENTRY (http_header) link;
  const char *name;
  const char *value;
} http_header_t;

/* Header fields in the order of the message; names may repeat.  */
STAILQ_HEAD (http_headers, http_header);
typedef struct http_headers http_headers_t;

enum
{
  HTTP_STATUS_MIN = 100,
  HTTP_STATUS_MAX = 599
};

bool http_status_is_valid (uint64_t http_status);
bool http_status_line_is_valid (const char *line, size_t size);
status_t http_headers_add (http_headers_t *headers, TALLOC_CTX *parent,
                           const char *name, const char *value);
status_t http_headers_add_line (http_headers_t *headers, TALLOC_CTX *parent,
                                const char *line, size_t size);
const char *http_headers_find (const http_headers_t *headers,
                               const char *name);
bool http_header_is (const http_header_t *header, const char *name);
bool http_header_is_hop_by_hop (const http_headers_t *headers,
                                const char *name);

#endif
