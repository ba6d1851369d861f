#include "ctl/revision.h"

#include "ctl/diff.h"
#include "ctl/history.h"
#include "ctl/report.h"
#include "ctl/txn.h"
#include "kernel/clock.h"

#include <string.h>
#include <sys/random.h>
#include <time.h>

enum
{
  CHANGE_ID_BYTES = 8,
  MAX_DOCUMENT_BYTES = 1000 * 1000, /* limit of the store for one value */
  TIME_TEXT_BYTES = 32
};

/* Return the parts of DOCUMENT; NULL, after reporting it, if it is
   malformed.  */
static settings_parts_t *
revision_parse (ctl_t *ctl, const char *document)
{
  settings_parts_t *parts
      = settings_parts_parse (ctl->memory, document, strlen (document));

  if (parts == NULL)
    report_error (ctl, "%s", status_message ());
  return parts;
}

/* Read the current settings from the store into CURRENT.  Returns CTL_OK,
   CTL_ERROR when the document is malformed, or CTL_UNAVAILABLE.  */
int
revision_read (ctl_t *ctl, stored_settings_t *current)
{
  store_txn_t *txn = store_txn_create (ctl->memory);
  const txn_outcome_entry_t *entry;
  txn_outcome_t outcome;

  memset (current, 0, sizeof *current);
  current->read_at = clock_monotonic (ctl->clock);
  store_txn_then (txn, STORE_GET, STORE_KEY_SETTINGS, NULL);
  if (txn_run (ctl, txn, &outcome) != STATUS_OK)
    return CTL_UNAVAILABLE;
  entry = txn_outcome_find (&outcome, 0);
  if (entry == NULL)
    {
      current->parts = settings_parts_create (ctl->memory);
      return CTL_OK;
    }
  current->mod_revision = entry->mod_revision;
  current->document = entry->value;
  current->parts = revision_parse (ctl, entry->value);
  return current->parts == NULL ? CTL_ERROR : CTL_OK;
}

/* Read revision NUMBER, current or superseded, into *PARTS.  Returns CTL_OK,
   CTL_ERROR when the store does not have it, or CTL_UNAVAILABLE.  */
int
revision_read_by_number (ctl_t *ctl, uint64_t number, settings_parts_t **parts)
{
  store_txn_t *txn = store_txn_create (ctl->memory);
  char key[HISTORY_KEY_BYTES];
  const txn_outcome_entry_t *entry;
  txn_outcome_t outcome;

  history_key (key, STORE_PREFIX_DOCUMENTS, number);
  store_txn_then (txn, STORE_GET, STORE_KEY_SETTINGS, NULL);
  store_txn_then (txn, STORE_GET, key, NULL);
  if (txn_run (ctl, txn, &outcome) != STATUS_OK)
    return CTL_UNAVAILABLE;
  for (unsigned i = 0; i < 2; i++)
    {
      entry = txn_outcome_find (&outcome, i);
      *parts = entry == NULL ? NULL : revision_parse (ctl, entry->value);
      if (*parts != NULL && (*parts)->revision == number)
        return CTL_OK;
    }
  report_error (ctl,
                "revision %llu is not in the store, which keeps the newest "
                "%d revisions",
                (unsigned long long)number, MAX_ARCHIVED_DOCUMENTS + 1);
  return CTL_ERROR;
}

/* Return a copy of the parts of REVISION that the caller may change.  */
settings_parts_t *
revision_copy (ctl_t *ctl, const stored_settings_t *revision)
{
  if (revision->document == NULL)
    return settings_parts_create (ctl->memory);
  return settings_parts_parse (ctl->memory, revision->document,
                               strlen (revision->document));
}

/* Return a random change id, owned by PARENT; NULL without random bytes.  */
static char *
revision_create_change_id (TALLOC_CTX *parent)
{
  unsigned char bytes[CHANGE_ID_BYTES];
  char *id = talloc_strdup (parent, "");

  if (getrandom (bytes, sizeof bytes, 0) != sizeof bytes)
    return NULL;
  for (unsigned i = 0; i < sizeof bytes; i++)
    id = talloc_asprintf_append_buffer (id, "%02x", bytes[i]);
  return id;
}

/* Set the revision, author, reason, time and change id of PARTS.  Returns
   false when no change id can be generated.  */
static bool
revision_set_metadata (ctl_t *ctl, const stored_settings_t *based_on,
                       settings_parts_t *parts)
{
  struct timespec now = clock_realtime (ctl->clock);
  struct tm utc;
  char text[TIME_TEXT_BYTES];

  gmtime_r (&now.tv_sec, &utc);
  strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &utc);
  parts->revision = based_on->parts->revision + 1;
  parts->change_id = revision_create_change_id (ctl->memory);
  parts->changed_by = ctl->who;
  parts->changed_why = ctl->why;
  parts->changed_at = talloc_strdup (ctl->memory, text);
  return parts->change_id != NULL;
}

/* Archive the document that is about to be superseded, and delete the oldest
   one beyond MAX_ARCHIVED_DOCUMENTS.  This is done before the change, so that
   no superseded revision is ever missing.  It is idempotent, and harmless when
   the change then fails.  */
static int
revision_archive (ctl_t *ctl, const stored_settings_t *based_on)
{
  uint64_t number = based_on->parts->revision;
  store_txn_t *txn = store_txn_create (ctl->memory);
  char key[HISTORY_KEY_BYTES];
  txn_outcome_t outcome;

  if (based_on->document == NULL)
    return CTL_OK;
  history_key (key, STORE_PREFIX_DOCUMENTS, number);
  store_txn_if_absent (txn, key);
  store_txn_then (txn, STORE_PUT, key, based_on->document);
  if (number > MAX_ARCHIVED_DOCUMENTS)
    {
      history_key (key, STORE_PREFIX_DOCUMENTS,
                   number - MAX_ARCHIVED_DOCUMENTS);
      store_txn_then (txn, STORE_DELETE, key, NULL);
    }
  return txn_run (ctl, txn, &outcome) == STATUS_OK ? CTL_OK : CTL_UNAVAILABLE;
}

/* Fill TXN with the compare-and-swap of the settings and their history entry.
   It can take effect at most once, even when it is retried: the first time
   changes the mod revision that it compares, and later changes of the key
   never restore it.  */
static void
revision_fill_cas (ctl_t *ctl, const stored_settings_t *based_on,
                   const settings_parts_t *parts, const char *document,
                   store_txn_t *txn)
{
  char key[HISTORY_KEY_BYTES];
  diff_t diff;

  diff_parts (ctl->memory, based_on->parts, parts, &diff);
  history_key (key, STORE_PREFIX_HISTORY, parts->revision);
  store_txn_if_revision (txn, STORE_KEY_SETTINGS, based_on->mod_revision);
  store_txn_then (txn, STORE_PUT, STORE_KEY_SETTINGS, document);
  store_txn_then (txn, STORE_PUT, STORE_KEY_REVISION,
                  settings_revision_key_value (ctl->memory, parts->revision,
                                               parts->change_id));
  store_txn_then (
      txn, STORE_PUT, key,
      history_format (ctl->memory, history_change_create (
                                       ctl->memory, parts,
                                       diff_summarise (ctl->memory, &diff))));
  store_txn_else (txn, STORE_GET, key, NULL);
  if (parts->revision > MAX_HISTORY_ENTRIES)
    {
      history_key (key, STORE_PREFIX_HISTORY,
                   parts->revision - MAX_HISTORY_ENTRIES);
      store_txn_then (txn, STORE_DELETE, key, NULL);
    }
}

static int
revision_report_unknown (ctl_t *ctl, const settings_parts_t *parts)
{
  report_error (ctl,
                "the store stopped responding, and it is unknown whether "
                "revision %llu took effect (%s); check later with: siskinctl "
                "resolve %s %llu",
                (unsigned long long)parts->revision, status_message (),
                parts->change_id, (unsigned long long)parts->revision);
  return CTL_UNKNOWN;
}

/* Resolve a compare that did not hold.  Either an earlier attempt of this
   change took effect and its response was lost, or another change was written
   first.  The history entry of the revision shows which, even when later
   revisions exist.  */
static int
revision_resolve_mismatch (ctl_t *ctl, const settings_parts_t *parts,
                           const txn_outcome_t *outcome)
{
  const txn_outcome_entry_t *entry = txn_outcome_find (outcome, 0);
  const change_t *stored_change
      = entry == NULL ? NULL : history_parse (ctl->memory, entry->value);

  if (stored_change != NULL
      && strcmp (stored_change->id, parts->change_id) == 0)
    return CTL_OK;
  return CTL_CONFLICT;
}

/* Write PARTS as the revision after BASED_ON, with its history entry, in one
   compare-and-swap.  A lost response is resolved by reading the change id
   back.  Returns CTL_OK; CTL_CONFLICT; CTL_ERROR when the document is too
   large or no change id can be generated, after reporting it; CTL_UNAVAILABLE
   when nothing was written; or CTL_UNKNOWN, after reporting it.  */
int
revision_write (ctl_t *ctl, const stored_settings_t *based_on,
                settings_parts_t *parts)
{
  store_txn_t *txn = store_txn_create (ctl->memory);
  txn_outcome_t outcome;
  char *document;

  if (!revision_set_metadata (ctl, based_on, parts))
    {
      report_error (ctl, "cannot generate a change id: no random bytes");
      return CTL_ERROR;
    }
  document = settings_parts_format (ctl->memory, parts);
  report_json_set_number (ctl, "revision", parts->revision);
  report_json_set_text (ctl, "change_id", parts->change_id);
  if (strlen (document) > MAX_DOCUMENT_BYTES)
    {
      report_error (ctl,
                    "the settings document has %zu bytes; the store accepts "
                    "at most %d",
                    strlen (document), MAX_DOCUMENT_BYTES);
      return CTL_ERROR;
    }
  if (revision_archive (ctl, based_on) != CTL_OK)
    return CTL_UNAVAILABLE;
  revision_fill_cas (ctl, based_on, parts, document, txn);
  if (txn_run (ctl, txn, &outcome) != STATUS_OK)
    return outcome.may_have_run ? revision_report_unknown (ctl, parts)
                                : CTL_UNAVAILABLE;
  return outcome.succeeded ? CTL_OK
                           : revision_resolve_mismatch (ctl, parts, &outcome);
}

/* Replace the older CURRENT in the store by SETTINGS, which processes have,
   under the same revision number.  Returns CTL_OK, CTL_CONFLICT,
   CTL_UNAVAILABLE or CTL_UNKNOWN.  It is idempotent.  If a retry fails the
   compare, the result is CTL_OK; the caller has to read the store again.  */
int
revision_restore (ctl_t *ctl, const stored_settings_t *current,
                  const settings_t *settings)
{
  change_t change
      = { .revision = settings->revision,
          .id = settings->change_id,
          .who = settings->changed_by,
          .when = settings->changed_at,
          .why = settings->changed_why,
          .what = talloc_asprintf (ctl->memory, "put back by %s: %s", ctl->who,
                                   ctl->why) };
  store_txn_t *txn = store_txn_create (ctl->memory);
  char key[HISTORY_KEY_BYTES];
  txn_outcome_t outcome;

  history_key (key, STORE_PREFIX_HISTORY, settings->revision);
  store_txn_if_revision (txn, STORE_KEY_SETTINGS, current->mod_revision);
  store_txn_then (
      txn, STORE_PUT, STORE_KEY_SETTINGS,
      talloc_strndup (txn, settings->document, settings->document_size));
  store_txn_then (txn, STORE_PUT, STORE_KEY_REVISION,
                  settings_revision_key_value (txn, settings->revision,
                                               settings->change_id));
  store_txn_then (txn, STORE_PUT, key, history_format (txn, &change));
  if (txn_run (ctl, txn, &outcome) != STATUS_OK)
    return outcome.may_have_run ? CTL_UNKNOWN : CTL_UNAVAILABLE;
  return outcome.succeeded || outcome.attempts > 1 ? CTL_OK : CTL_CONFLICT;
}

/* Report that the store has other settings than the operator expected: who
   wrote CURRENT, when and why, and the differences from CURRENT to PROPOSED,
   which may be NULL.  */
void
revision_report_conflict (ctl_t *ctl, const stored_settings_t *current,
                          const settings_parts_t *proposed)
{
  const settings_parts_t *stored = current->parts;
  diff_t diff;

  report_error (ctl,
                "the current settings are revision %llu, written by %s at %s: "
                "%s",
                (unsigned long long)stored->revision, stored->changed_by,
                stored->changed_at, stored->changed_why);
  report_json_set (
      ctl, "in_force",
      history_json (history_change_create (ctl->memory, stored, "")));
  if (proposed == NULL)
    return;
  report_line (ctl, "differences from the current settings to yours:");
  diff_parts (ctl->memory, stored, proposed, &diff);
  diff_report (ctl, "differences", &diff);
}
