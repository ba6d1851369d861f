#ifndef SISKIN_RELAY_RULES_LOADER_H
#define SISKIN_RELAY_RULES_LOADER_H

#include "common/store_mirror.h"
#include "kernel/pool.h"
#include "plugins/catalog.h"

/* Reads documents of rules one after the other, each in parts with pauses in
   which the worker serves its connections.  Belongs to one worker.  */
typedef struct rules_loader rules_loader_t;

/* A document that has been read, or could not be.  */
typedef struct rules_document
{
  TAILQ_ENTRY (rules_document) link;
  char *text;
  size_t size;
  int64_t revision;
  struct timespec began_at; /* monotonic */
} rules_document_t;

typedef struct rules_loader_ops
{
  /* Takes the reference to RULES.  */
  void (*on_loaded) (rules_t *rules, const rules_document_t *document,
                     void *data);
  /* The status message says why.  */
  void (*on_rejected) (const rules_document_t *document, void *data);
} rules_loader_ops_t;

/* CATALOG, OPS and DATA must outlive the result.  Returns NULL when memory is
   exhausted.  */
rules_loader_t *rules_loader_create (TALLOC_CTX *parent, worker_t *worker,
                                     const catalog_ops_t *catalog,
                                     const rules_loader_ops_t *ops,
                                     void *data);
void rules_loader_destroy (rules_loader_t *loader);
/* Reads the value of ENTRY, which is copied, after those before it.  Reads it
   in this call if IS_URGENT.  */
void rules_loader_add (rules_loader_t *loader, const store_entry_t *entry,
                       bool is_urgent);

#endif
