#include "fake_store.h"

#include "kernel/table.h"

#include <string.h>

typedef struct pair
{
  table_node_t node;
  char *key;
  char *value;
  int64_t mod_revision;
} pair_t;

/* Used by a single thread, so the table is never locked.  */
struct fake_store
{
  table_t *pairs;
  int64_t revision;
  unsigned calls;
};

/* Create an empty store.  */
fake_store_t *
fake_store_create (TALLOC_CTX *parent)
{
  fake_store_t *store = talloc_zero (parent, fake_store_t);

  store->pairs = table_create (store, LOCK_LOG, "pairs");
  return store;
}

static pair_t *
pair_find (const fake_store_t *store, const char *key)
{
  table_node_t *node = table_find (store->pairs, key, strlen (key));

  return node == NULL ? NULL : CONTAINER_OF (node, pair_t, node);
}

/* Return the value of KEY, or NULL.  */
const char *
fake_store_value (const fake_store_t *store, const char *key)
{
  const pair_t *pair = pair_find (store, key);

  return pair == NULL ? NULL : pair->value;
}

/* Set KEY to VALUE.  */
void
fake_store_put (fake_store_t *store, const char *key, const char *value)
{
  pair_t *pair = pair_find (store, key);

  if (pair == NULL)
    {
      pair = talloc_zero (store, pair_t);
      pair->key = talloc_strdup (pair, key);
      table_insert (store->pairs, &pair->node, pair->key, strlen (pair->key));
    }
  talloc_free (pair->value);
  pair->value = talloc_strdup (pair, value);
  pair->mod_revision = ++store->revision;
}

static void
pair_delete (fake_store_t *store, const char *key)
{
  pair_t *pair = pair_find (store, key);

  if (pair == NULL)
    return;
  table_remove (store->pairs, &pair->node);
  talloc_free (pair);
}

static bool
compare_holds (const fake_store_t *store, const store_compare_t *compare)
{
  const pair_t *pair = pair_find (store, compare->key);

  switch (compare->kind)
    {
    case STORE_KEY_ABSENT:
      return pair == NULL;
    case STORE_MOD_REVISION_IS:
      return (pair == NULL ? 0 : pair->mod_revision) == compare->revision;
    default:
      return pair != NULL && strcmp (pair->value, compare->value) == 0;
    }
}

static void
response_add_entry (store_response_t *response, const pair_t *pair)
{
  store_entry_t *entry = talloc_zero (response, store_entry_t);

  entry->key = talloc_strdup (entry, pair->key);
  entry->value = talloc_strdup (entry, pair->value);
  entry->mod_revision = pair->mod_revision;
  STAILQ_INSERT_TAIL (&response->entries, entry, link);
}

static store_result_t *store_apply (fake_store_t *store, TALLOC_CTX *parent,
                                    const store_txn_t *txn);

static void
op_apply (fake_store_t *store, store_result_t *result, const store_op_t *op)
{
  store_response_t *response = talloc_zero (result, store_response_t);
  const pair_t *pair = pair_find (store, op->key);

  STAILQ_INIT (&response->entries);
  response->kind = op->kind;
  if (op->kind == STORE_GET && pair != NULL)
    response_add_entry (response, pair);
  else if (op->kind == STORE_PUT)
    fake_store_put (store, op->key, op->value);
  else if (op->kind == STORE_DELETE)
    pair_delete (store, op->key);
  else if (op->kind == STORE_TXN)
    response->txn = store_apply (store, response, op->txn);
  STAILQ_INSERT_TAIL (&result->responses, response, link);
}

static store_result_t *
store_apply (fake_store_t *store, TALLOC_CTX *parent, const store_txn_t *txn)
{
  store_result_t *result = talloc_zero (parent, store_result_t);
  const store_compare_t *compare;
  const store_op_t *op;

  STAILQ_INIT (&result->responses);
  result->succeeded = true;
  STAILQ_FOREACH (compare, &txn->compares, link)
    result->succeeded = result->succeeded && compare_holds (store, compare);
  if (result->succeeded)
    {
      STAILQ_FOREACH (op, &txn->success, link)
        op_apply (store, result, op);
    }
  else
    {
      STAILQ_FOREACH (op, &txn->failure, link)
        op_apply (store, result, op);
    }
  result->revision = store->revision;
  return result;
}

/* Execute TXN and return its result, owned by PARENT.  */
store_result_t *
fake_store_apply (fake_store_t *store, TALLOC_CTX *parent,
                  const store_txn_t *txn)
{
  store->calls++;
  return store_apply (store, parent, txn);
}

/* Return the number of transactions executed.  */
unsigned
fake_store_calls (const fake_store_t *store)
{
  return store->calls;
}
