#include "ctl/history.h"

#include "ctl/txn.h"

#include <stdio.h>
#include <stdlib.h>

/* Write the store key of REVISION under PREFIX, STORE_PREFIX_HISTORY or
   STORE_PREFIX_DOCUMENTS, into KEY.  The number is zero-padded so that keys
   sort by revision.  */
void
history_key (char key[HISTORY_KEY_BYTES], const char *prefix,
             uint64_t revision)
{
  snprintf (key, HISTORY_KEY_BYTES, "%s%012llu", prefix,
            (unsigned long long)revision);
}

/* Return a history entry for the change that made PARTS, owned by PARENT, with
   the summary WHAT.  Its strings still belong to PARTS.  */
change_t *
history_change_create (TALLOC_CTX *parent, const settings_parts_t *parts,
                       const char *what)
{
  change_t *change = talloc_zero (parent, change_t);

  change->revision = parts->revision;
  change->id = parts->change_id;
  change->who = parts->changed_by;
  change->when = parts->changed_at;
  change->why = parts->changed_why;
  change->what = what;
  return change;
}

/* Return CHANGE as a new JSON object.  */
json_t *
history_json (const change_t *change)
{
  return json_pack ("{s:I,s:s,s:s,s:s,s:s,s:s}", "revision",
                    (json_int_t)change->revision, "change_id", change->id,
                    "who", change->who, "when", change->when, "why",
                    change->why, "what", change->what);
}

/* Return CHANGE in the format of the store, owned by PARENT.  */
char *
history_format (TALLOC_CTX *parent, const change_t *change)
{
  json_t *root = history_json (change);
  char *text = json_dumps (root, JSON_COMPACT);
  char *copy = talloc_strdup (parent, text);

  free (text);
  json_decref (root);
  return copy;
}

/* Return the string under KEY, owned by CHANGE; "" when it is missing.  */
static const char *
change_copy_text (change_t *change, const json_t *root, const char *key)
{
  const char *text = json_string_value (json_object_get (root, key));

  return talloc_strdup (change, text == NULL ? "" : text);
}

/* Parse TEXT in the format of the store.  Returns a change owned by PARENT, or
   NULL when TEXT is no JSON object.  */
change_t *
history_parse (TALLOC_CTX *parent, const char *text)
{
  json_t *root = json_loads (text, 0, NULL);
  change_t *change = NULL;

  if (json_is_object (root))
    {
      change = talloc_zero (parent, change_t);
      change->revision
          = (uint64_t)json_integer_value (json_object_get (root, "revision"));
      change->id = change_copy_text (change, root, "change_id");
      change->who = change_copy_text (change, root, "who");
      change->when = change_copy_text (change, root, "when");
      change->why = change_copy_text (change, root, "why");
      change->what = change_copy_text (change, root, "what");
    }
  json_decref (root);
  return change;
}

/* Append the newest LIMIT changes to CHANGES, newest first; malformed entries
   are skipped.  Returns CTL_OK or CTL_UNAVAILABLE.  */
int
history_read (ctl_t *ctl, uint64_t limit, change_list_t *changes)
{
  store_txn_t *txn = store_txn_create (ctl->memory);
  const txn_outcome_entry_t *entry;
  txn_outcome_t outcome;

  store_txn_then (txn, STORE_GET_PREFIX, STORE_PREFIX_HISTORY, NULL)->limit
      = (int64_t)limit;
  if (txn_run (ctl, txn, &outcome) != STATUS_OK)
    return CTL_UNAVAILABLE;
  STAILQ_FOREACH (entry, &outcome.entries, link)
    {
      change_t *change = history_parse (ctl->memory, entry->value);

      if (change != NULL)
        STAILQ_INSERT_TAIL (changes, change, link);
    }
  return CTL_OK;
}

/* Store the change that made REVISION in *CHANGE, or NULL when the history
   does not have it.  Returns CTL_OK or CTL_UNAVAILABLE.  */
int
history_find (ctl_t *ctl, uint64_t revision, change_t **change)
{
  store_txn_t *txn = store_txn_create (ctl->memory);
  char key[HISTORY_KEY_BYTES];
  const txn_outcome_entry_t *entry;
  txn_outcome_t outcome;

  *change = NULL;
  history_key (key, STORE_PREFIX_HISTORY, revision);
  store_txn_then (txn, STORE_GET, key, NULL);
  if (txn_run (ctl, txn, &outcome) != STATUS_OK)
    return CTL_UNAVAILABLE;
  entry = txn_outcome_find (&outcome, 0);
  if (entry != NULL)
    *change = history_parse (ctl->memory, entry->value);
  return CTL_OK;
}
