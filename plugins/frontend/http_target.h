#ifndef SISKIN_PLUGINS_FRONTEND_HTTP_TARGET_H
#define SISKIN_PLUGINS_FRONTEND_HTTP_TARGET_H

#include <stdbool.h>
#include <talloc.h>

/* A request target in the one form by which rules judge it and in which the
   upstream gets it.  */
typedef struct http_target
{
  const char *path;
  const char *text; /* path with the query */
} http_target_t;

bool http_target_parse (TALLOC_CTX *parent, const char *text,
                        http_target_t *target);

#endif
