#ifndef SISKIN_PLUGINS_FRONTEND_HTTP_TARGET_H
#define SISKIN_PLUGINS_FRONTEND_HTTP_TARGET_H

#include <stdbool.h>
#include <talloc.h>

/* A request target in its canonical form.  PATH is matched against the paths
   of the services and the at-most-once rules in the settings, and TEXT is sent
   to the upstream.  */
typedef struct http_target
{
  const char *path;
  const char *text; /* PATH with the query */
} http_target_t;

bool http_target_parse (TALLOC_CTX *parent, const char *text,
                        http_target_t *target);

#endif
