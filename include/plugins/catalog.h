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

/* Reads one document of the operators' configuration.  */
typedef struct rules_reader rules_reader_t;

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
  /* Read the operators' configuration in parts, so that a large one doesn't
     keep a worker from its connections for long.  TEXT must stay valid until
     close_rules.  Returns NULL when memory is exhausted.  */
  rules_reader_t *(*open_rules) (TALLOC_CTX *parent, const char *text,
                                 size_t size);
  /* Read the next part.  Sets *RULES with the last one, and to NULL before;
     the caller owns the reference.  Returns STATUS_INVALID with the status
     message set when the document cannot be used; no part follows then.  */
  status_t (*read_rules_part) (rules_reader_t *reader, rules_t **rules);
  void (*close_rules) (rules_reader_t *reader);
  /* Parse the listing of the upstream ID.  Strings of LISTING belong to
     PARENT.  Returns STATUS_INVALID with the status message set when it does
     not describe a usable upstream.  */
  status_t (*read_upstream) (TALLOC_CTX *parent, const char *id,
                             const char *text, size_t size,
                             upstream_listing_t *listing);
} catalog_ops_t;

/* Read all parts of the operators' configuration at once.  Returns what
   read_rules_part does.  */
status_t catalog_read_rules (const catalog_ops_t *ops, const char *text,
                             size_t size, rules_t **rules);

#endif
