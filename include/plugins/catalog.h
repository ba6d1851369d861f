#ifndef SISKIN_PLUGINS_CATALOG_H
#define SISKIN_PLUGINS_CATALOG_H

#include "common/rules.h"
#include "common/upstream_listing.h"
#include "kernel/status.h"

#include <stddef.h>
#include <talloc.h>

/* The meaning of the keys and documents in the platform's store.  The catalog
   keeps no state and makes no decisions.  */
typedef enum catalog_kind
{
  CATALOG_OTHER,    /* not used by this system */
  CATALOG_RULES,    /* the operators' configuration */
  CATALOG_UPSTREAM, /* the listing of an upstream; NAME is its id */
  CATALOG_ZONE_OUT, /* zone NAME is evacuated: it gets no new requests */
  CATALOG_OWN       /* written by this system; NAME follows OWN_PREFIX */
} catalog_kind_t;

typedef struct catalog_ops
{
  /* Return the kind of the item KEY.  Sets *NAME to the part of KEY after the
     prefix of its kind, or to all of KEY if its kind has no prefix.  */
  catalog_kind_t (*classify) (const char *key, const char **name);
  /* Key of the operators' configuration.  */
  const char *rules_key;
  /* Prefix of the keys that this system writes.  */
  const char *own_prefix;
  /* Prefix of the upstream listings.  */
  const char *upstream_prefix;
  /* Parse the operators' configuration.  Returns STATUS_INVALID with the
     status message set when it cannot be used.  The caller owns the
     reference to *RULES.  */
  status_t (*read_rules) (const char *text, size_t size, rules_t **rules);
  /* Parse the listing of the upstream ID.  Strings of LISTING belong to
     PARENT.  Returns STATUS_INVALID with the status message set when it does
     not describe a usable upstream.  */
  status_t (*read_upstream) (TALLOC_CTX *parent, const char *id,
                             const char *text, size_t size,
                             upstream_listing_t *listing);
} catalog_ops_t;

#endif
