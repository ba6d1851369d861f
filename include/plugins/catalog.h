#ifndef SISKIN_PLUGINS_CATALOG_H
#define SISKIN_PLUGINS_CATALOG_H

#include "common/rules.h"
#include "common/upstream_listing.h"
#include "kernel/status.h"

#include <stddef.h>
#include <talloc.h>

/* What the items of the platform's store mean.  Nothing here decides or keeps
   state.  */
typedef enum catalog_kind
{
  CATALOG_OTHER,
  CATALOG_RULES,    /* the operators' rules */
  CATALOG_UPSTREAM, /* an upstream's listing; NAME is its id */
  CATALOG_ZONE_OUT, /* the zone NAME is to get no new work */
  CATALOG_OWN       /* written by this system; NAME follows the prefix */
} catalog_kind_t;

typedef struct catalog_ops
{
  catalog_kind_t (*classify) (const char *key, const char **name);
  /* What this system writes goes under this prefix.  */
  const char *own_prefix;
  /* The prefix of the listings.  */
  const char *upstream_prefix;
  /* Read a document of rules.  STATUS_INVALID with the status message set
     when it cannot be used.  The caller owns the reference.  */
  status_t (*read_rules) (const char *text, size_t size, rules_t **rules);
  /* Read the listing of the upstream ID.  STATUS_INVALID with the status
     message set when it names none that can be used.  */
  status_t (*read_upstream) (TALLOC_CTX *parent, const char *id,
                             const char *text, size_t size,
                             upstream_listing_t *listing);
} catalog_ops_t;

#endif
