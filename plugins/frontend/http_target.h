#ifndef SISKIN_PLUGINS_FRONTEND_HTTP_TARGET_H
#define SISKIN_PLUGINS_FRONTEND_HTTP_TARGET_H

#include <stdbool.h>
#include <talloc.h>

/* A request target in its canonical form, which the rules are matched against
   and which is sent to the upstream.  */
typedef struct http_target
{
  const char *path;
  const char *text; /* PATH with the query */
} http_target_t;

bool http_target_parse (TALLOC_CTX *parent, const char *text,
                        http_target_t *target);

#endif
