#include "records.h"

#include "sim.h"

#include <stdio.h>
#include <string.h>

enum
{
  FIRST_SETTINGS_MAX_BYTES = 64 * 1024
};

struct records
{
  table_t *table;   /* record_t by key */
  int64_t revision; /* incremented by each transaction */
  record_change_handler_t on_change;
};

/* Create an empty table as a child of PARENT.  ON_CHANGE is called for every
   change.  */
records_t *
records_create (TALLOC_CTX *parent, record_change_handler_t on_change)
{
  records_t *records = talloc_zero (parent, records_t);

  records->table = table_create (records, LOCK_LOG, "records");
  records->revision = 1;
  records->on_change = on_change;
  return records;
}

static record_t *
record_find (const records_t *records, const char *key)
{
  table_node_t *node = table_find (records->table, key, strlen (key));

  return node == NULL ? NULL : CONTAINER_OF (node, record_t, node);
}

/* Return the record of KEY, or NULL if there is none.  */
const record_t *
records_find (const records_t *records, const char *key)
{
  return record_find (records, key);
}

/* Return the value of RECORD that reads and watches deliver.  With broken
   settings it is always the first settings document.  */
const char *
record_visible_value (const record_t *record)
{
  static char first_settings[FIRST_SETTINGS_MAX_BYTES];

  if (sim_current->broken_mechanism != SIM_BROKEN_SETTINGS
      || strcmp (record->key, STORE_KEY_SETTINGS) != 0)
    return record->value;
  if (first_settings[0] == '\0')
    snprintf (first_settings, sizeof first_settings, "%s", record->value);
  return first_settings;
}

static void
records_put (records_t *records, const char *key, const char *value)
{
  record_t *record = record_find (records, key);

  if (record == NULL)
    {
      record = talloc_zero (records, record_t);
      record->key = talloc_strdup (record, key);
      table_insert (records->table, &record->node, record->key, strlen (key));
    }
  talloc_free (record->value);
  record->value = talloc_strdup (record, value);
  record->revision = records->revision;
  records->on_change (record, false);
}

static void
records_delete (records_t *records, const char *key)
{
  record_t *record = record_find (records, key);

  if (record == NULL)
    return;
  records->on_change (record, true);
  table_remove (records->table, &record->node);
  talloc_free (record);
}

static bool
compare_holds (const records_t *records, const store_compare_t *compare)
{
  const record_t *record = record_find (records, compare->key);

  switch (compare->kind)
    {
    case STORE_KEY_ABSENT:
      return record == NULL;
    case STORE_MOD_REVISION_IS:
      return (record == NULL ? 0 : record->revision) == compare->revision;
    case STORE_VALUE_IS:
      return record != NULL && strcmp (record->value, compare->value) == 0;
    }
  return false;
}

/* Add RECORD to RESPONSE, whose entries are sorted by key.  */
static void
response_add_entry (store_response_t *response, const record_t *record)
{
  store_entry_t *entry = talloc_zero (response, store_entry_t);
  store_entry_t *previous = NULL;
  store_entry_t *other;

  entry->key = talloc_strdup (entry, record->key);
  entry->value = talloc_strdup (entry, record_visible_value (record));
  entry->mod_revision = record->revision;
  STAILQ_FOREACH (other, &response->entries, link)
    {
      if (strcmp (other->key, entry->key) > 0)
        break;
      previous = other;
    }
  if (previous == NULL)
    STAILQ_INSERT_HEAD (&response->entries, entry, link);
  else
    STAILQ_INSERT_AFTER (&response->entries, previous, entry, link);
}

/* Add the records under the prefix of OP.  A limit keeps the last keys of the
   order.  */
static void
response_read_prefix (store_response_t *response, const records_t *records,
                      const store_op_t *op)
{
  int64_t count = 0;
  table_node_t *node;

  TABLE_FOREACH (node, records->table)
    {
      const record_t *record = CONTAINER_OF (node, record_t, node);

      if (strncmp (record->key, op->key, strlen (op->key)) != 0)
        continue;
      response_add_entry (response, record);
      count++;
    }
  for (; op->limit > 0 && count > op->limit; count--)
    STAILQ_REMOVE_HEAD (&response->entries, link);
}

static store_result_t *records_evaluate (TALLOC_CTX *parent,
                                         records_t *records,
                                         const store_txn_t *txn);

static void
records_execute_op (records_t *records, store_result_t *result,
                    const store_op_t *op)
{
  store_response_t *response = talloc_zero (result, store_response_t);
  const record_t *record;

  response->kind = op->kind;
  STAILQ_INIT (&response->entries);
  STAILQ_INSERT_TAIL (&result->responses, response, link);
  switch (op->kind)
    {
    case STORE_GET:
      record = record_find (records, op->key);
      if (record != NULL)
        response_add_entry (response, record);
      break;
    case STORE_GET_PREFIX:
      response_read_prefix (response, records, op);
      break;
    case STORE_PUT:
      records_put (records, op->key, op->value);
      break;
    case STORE_DELETE:
      records_delete (records, op->key);
      break;
    case STORE_TXN:
      response->txn = records_evaluate (response, records, op->txn);
      break;
    }
}

static store_result_t *
records_evaluate (TALLOC_CTX *parent, records_t *records,
                  const store_txn_t *txn)
{
  store_result_t *result = talloc_zero (parent, store_result_t);
  const store_compare_t *compare;
  const store_op_t *op;

  STAILQ_INIT (&result->responses);
  result->succeeded = true;
  STAILQ_FOREACH (compare, &txn->compares, link)
    result->succeeded &= compare_holds (records, compare);
  if (result->succeeded)
    STAILQ_FOREACH (op, &txn->success, link)
      records_execute_op (records, result, op);
  else
    STAILQ_FOREACH (op, &txn->failure, link)
      records_execute_op (records, result, op);
  result->revision = records->revision;
  return result;
}

/* Execute TXN.  The result is a child of PARENT.  */
store_result_t *
records_apply (TALLOC_CTX *parent, records_t *records, const store_txn_t *txn)
{
  records->revision++;
  return records_evaluate (parent, records, txn);
}

/* Set KEY to VALUE unconditionally, as a transaction of its own.  */
void
records_write (records_t *records, const char *key, const char *value)
{
  records->revision++;
  records_put (records, key, value);
}

/* Append a copy of SOURCE to the success or failure operations of TXN.  */
static void
op_copy (store_txn_t *txn, const store_op_t *source, bool is_success)
{
  store_op_t *op
      = is_success
            ? store_txn_then (txn, source->kind, source->key, source->value)
            : store_txn_else (txn, source->kind, source->key, source->value);

  op->limit = source->limit;
  if (source->kind != STORE_TXN)
    return;
  talloc_free (op->txn);
  op->txn = records_copy_txn (op, source->txn);
}

/* Return a copy of SOURCE as a child of PARENT.  */
store_txn_t *
records_copy_txn (TALLOC_CTX *parent, const store_txn_t *source)
{
  store_txn_t *txn = store_txn_create (parent);
  const store_compare_t *compare;
  const store_op_t *op;

  STAILQ_FOREACH (compare, &source->compares, link)
    {
      if (compare->kind == STORE_KEY_ABSENT)
        store_txn_if_absent (txn, compare->key);
      else if (compare->kind == STORE_MOD_REVISION_IS)
        store_txn_if_revision (txn, compare->key, compare->revision);
      else
        store_txn_if_value (txn, compare->key, compare->value);
    }
  STAILQ_FOREACH (op, &source->success, link)
    op_copy (txn, op, true);
  STAILQ_FOREACH (op, &source->failure, link)
    op_copy (txn, op, false);
  return txn;
}
