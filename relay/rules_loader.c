#include "relay/rules_loader.h"

enum
{
  /* Pause between two parts, for the events of connections.  */
  PART_PAUSE_MS = 5
};

struct rules_loader
{
  worker_t *worker;
  const catalog_ops_t *catalog;
  const rules_loader_ops_t *ops;
  void *data;
  TAILQ_HEAD (, rules_document) documents; /* the first one is being read */
  rules_reader_t *reader;                  /* of that; NULL: not begun */
  worker_timer_t *timer;
};

/* Creates a loader.  */
rules_loader_t *
rules_loader_create (TALLOC_CTX *parent, worker_t *worker,
                     const catalog_ops_t *catalog,
                     const rules_loader_ops_t *ops, void *data)
{
  rules_loader_t *loader = talloc_zero (parent, rules_loader_t);

  if (loader == NULL)
    return NULL;
  loader->worker = worker;
  loader->catalog = catalog;
  loader->ops = ops;
  loader->data = data;
  TAILQ_INIT (&loader->documents);
  return loader;
}

/* Frees LOADER and forgets what it has not read.  */
void
rules_loader_destroy (rules_loader_t *loader)
{
  if (loader->reader != NULL)
    loader->catalog->close_rules (loader->reader);
  talloc_free (loader);
}

/* Ends the first document, which has become RULES or, if that is NULL, cannot
   be used.  */
static void
loader_finish (rules_loader_t *loader, rules_t *rules)
{
  rules_document_t *document = TAILQ_FIRST (&loader->documents);

  TAILQ_REMOVE (&loader->documents, document, link);
  if (rules != NULL)
    loader->ops->on_loaded (rules, document, loader->data);
  else
    loader->ops->on_rejected (document, loader->data);
  if (loader->reader != NULL)
    loader->catalog->close_rules (loader->reader);
  loader->reader = NULL;
  talloc_free (document);
}

/* Reads the next part of the first document.  */
static void
loader_read_part (rules_loader_t *loader)
{
  const rules_document_t *document = TAILQ_FIRST (&loader->documents);
  rules_t *rules = NULL;
  status_t status = STATUS_NO_MEMORY;

  if (loader->reader == NULL)
    loader->reader
        = loader->catalog->open_rules (loader, document->text, document->size);
  if (loader->reader != NULL)
    status = loader->catalog->read_rules_part (loader->reader, &rules);
  if (status != STATUS_OK || rules != NULL)
    loader_finish (loader, rules);
}

static void loader_handle_timer (worker_t *worker, void *data);

static void
loader_start_timer (rules_loader_t *loader)
{
  if (loader->timer == NULL && !TAILQ_EMPTY (&loader->documents))
    loader->timer = worker_timer_start (loader->worker, loader,
                                        timespec_from_ms (PART_PAUSE_MS),
                                        loader_handle_timer, loader);
}

static void
loader_handle_timer (worker_t *worker, void *data)
{
  rules_loader_t *loader = data;

  (void)worker;
  loader->timer = NULL;
  if (!TAILQ_EMPTY (&loader->documents))
    loader_read_part (loader);
  loader_start_timer (loader);
}

/* Reads the value of ENTRY.  */
void
rules_loader_add (rules_loader_t *loader, const store_entry_t *entry,
                  bool is_urgent)
{
  rules_document_t *document = talloc_zero (loader, rules_document_t);

  if (document == NULL)
    return;
  document->text = talloc_memdup (document, entry->value, entry->value_size);
  document->size = entry->value_size;
  document->revision = entry->mod_revision;
  document->began_at = clock_monotonic (worker_clock (loader->worker));
  TAILQ_INSERT_TAIL (&loader->documents, document, link);
  while (is_urgent && !TAILQ_EMPTY (&loader->documents))
    loader_read_part (loader);
  loader_start_timer (loader);
}
