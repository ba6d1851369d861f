#include "ctl/revision.h"

#include "kernel/clock.h"

#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

enum
{
  CHANGE_ID_BYTES = 8,
  HISTORY_KEY_BYTES = 64,
  WRITE_ATTEMPTS = 5
};

/* One call to the store, waited for.  */
typedef struct exchange
{
  TALLOC_CTX *memory;
  bool is_done;
  status_t status;
  bool succeeded;
  bool has_entry;
  char *value;
  int64_t mod_revision;
} exchange_t;

static void
exchange_handle_done (status_t status, const store_result_t *result,
                      void *data)
{
  exchange_t *exchange = data;
  const store_entry_t *entry;

  exchange->is_done = true;
  exchange->status = status;
  if (status != STATUS_OK)
    return;
  exchange->succeeded = result->succeeded;
  entry = store_result_entry (result, 0);
  if (entry == NULL)
    return;
  exchange->has_entry = true;
  exchange->value = talloc_strdup (exchange->memory, entry->value);
  exchange->mod_revision = entry->mod_revision;
}

static status_t
exchange_run (ctl_t *ctl, const store_txn_t *txn, exchange_t *exchange)
{
  memset (exchange, 0, sizeof *exchange);
  exchange->memory = ctl->memory;
  exchange->status = ctl->store_ops->transact (ctl->store, txn,
                                               exchange_handle_done, exchange);
  if (exchange->status != STATUS_OK)
    return exchange->status;
  worker_run_until (ctl->worker, &exchange->is_done);
  return exchange->status;
}

/* Read the settings in force into CURRENT.  Returns CTL_OK or
   CTL_UNAVAILABLE.  */
int
revision_read (ctl_t *ctl, revision_t *current)
{
  store_txn_t *txn = store_txn_create (ctl->memory);
  exchange_t exchange;

  store_txn_then (txn, STORE_GET, STORE_KEY_SETTINGS, NULL);
  if (exchange_run (ctl, txn, &exchange) != STATUS_OK)
    return CTL_UNAVAILABLE;
  current->mod_revision = exchange.mod_revision;
  current->parts = exchange.has_entry ? settings_parts_parse (
                       ctl->memory, exchange.value, strlen (exchange.value))
                                      : settings_parts_create (ctl->memory);
  return current->parts == NULL ? CTL_FAULTS : CTL_OK;
}

static char *
revision_change_id (TALLOC_CTX *parent)
{
  unsigned char bytes[CHANGE_ID_BYTES];
  char *id = talloc_strdup (parent, "");

  if (getrandom (bytes, sizeof bytes, 0) != sizeof bytes)
    return id;
  for (unsigned i = 0; i < sizeof bytes; i++)
    id = talloc_asprintf_append_buffer (id, "%02x", bytes[i]);
  return id;
}

static void
revision_stamp (ctl_t *ctl, const revision_t *based_on,
                settings_parts_t *parts)
{
  struct timespec now = clock_realtime (ctl->clock);
  struct tm utc;
  char text[32];

  gmtime_r (&now.tv_sec, &utc);
  strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &utc);
  parts->revision = based_on->parts->revision + 1;
  parts->change_id = revision_change_id (ctl->memory);
  parts->changed_by = ctl->who;
  parts->changed_why = ctl->why;
  parts->changed_at = talloc_strdup (ctl->memory, text);
}

/* Write PARTS as the revision after BASED_ON, and to the history, in one
   compare-and-swap.  An answer that was lost is resolved by reading the change
   id back.  Returns CTL_OK, CTL_CONFLICT with the status message naming who
   was first, CTL_UNAVAILABLE when nothing was written, or CTL_UNKNOWN.  */
int
revision_write (ctl_t *ctl, const revision_t *based_on,
                settings_parts_t *parts)
{
  char history_key[HISTORY_KEY_BYTES];
  store_txn_t *txn = store_txn_create (ctl->memory);
  exchange_t exchange;
  char *document;
  settings_parts_t *winner;

  revision_stamp (ctl, based_on, parts);
  document = settings_parts_format (ctl->memory, parts);
  snprintf (history_key, sizeof history_key, STORE_PREFIX_HISTORY "%012llu",
            (unsigned long long)parts->revision);
  store_txn_if_revision (txn, STORE_KEY_SETTINGS, based_on->mod_revision);
  store_txn_then (txn, STORE_PUT, STORE_KEY_SETTINGS, document);
  store_txn_then (txn, STORE_PUT, history_key, document);
  store_txn_else (txn, STORE_GET, history_key, NULL);
  /* Repeating the same transaction is safe: once it has taken effect the
     compare fails and the history shows our own change id.  */
  for (int attempt = 0; attempt < WRITE_ATTEMPTS; attempt++)
    {
      if (exchange_run (ctl, txn, &exchange) == STATUS_OK)
        break;
    }
  if (exchange.status != STATUS_OK)
    return CTL_UNKNOWN;
  if (exchange.succeeded)
    return CTL_OK;
  winner = exchange.has_entry ? settings_parts_parse (
               ctl->memory, exchange.value, strlen (exchange.value))
                              : NULL;
  if (winner != NULL && strcmp (winner->change_id, parts->change_id) == 0)
    return CTL_OK;
  status_set (STATUS_CONFLICT, "revision %llu was made by %s at %s: %s",
              (unsigned long long)parts->revision,
              winner == NULL ? "?" : winner->changed_by,
              winner == NULL ? "?" : winner->changed_at,
              winner == NULL ? "?" : winner->changed_why);
  return CTL_CONFLICT;
}
