#include "plugins/store.h"

/* Create an empty transaction owned by PARENT.  As long as it has no compares,
   its operations for success are executed.  Returns NULL when memory is
   exhausted.  */
store_txn_t *
store_txn_create (TALLOC_CTX *parent)
{
  store_txn_t *txn = talloc_zero (parent, store_txn_t);

  if (txn == NULL)
    return NULL;
  STAILQ_INIT (&txn->compares);
  STAILQ_INIT (&txn->success);
  STAILQ_INIT (&txn->failure);
  return txn;
}

/* Free TXN with its compares and operations.  */
void
store_txn_destroy (store_txn_t *txn)
{
  talloc_free (txn);
}

static store_compare_t *
txn_add_compare (store_txn_t *txn, store_compare_kind_t kind, const char *key)
{
  store_compare_t *compare = talloc_zero (txn, store_compare_t);

  compare->kind = kind;
  compare->key = talloc_strdup (compare, key);
  STAILQ_INSERT_TAIL (&txn->compares, compare, link);
  return compare;
}

/* Require that KEY does not exist.  */
void
store_txn_if_absent (store_txn_t *txn, const char *key)
{
  txn_add_compare (txn, STORE_KEY_ABSENT, key);
}

/* Require that KEY was last changed at REVISION; 0 means it is absent.  */
void
store_txn_if_revision (store_txn_t *txn, const char *key, int64_t revision)
{
  txn_add_compare (txn, STORE_MOD_REVISION_IS, key)->revision = revision;
}

/* Require that KEY holds VALUE.  */
void
store_txn_if_value (store_txn_t *txn, const char *key, const char *value)
{
  store_compare_t *compare = txn_add_compare (txn, STORE_VALUE_IS, key);

  compare->value = talloc_strdup (compare, value);
}

static store_op_t *
txn_create_op (store_txn_t *txn, store_op_kind_t kind, const char *key,
               const char *value)
{
  store_op_t *op = talloc_zero (txn, store_op_t);

  op->kind = kind;
  op->key = talloc_strdup (op, key == NULL ? "" : key);
  op->value = talloc_strdup (op, value == NULL ? "" : value);
  if (kind == STORE_TXN)
    op->txn = store_txn_create (op);
  return op;
}

/* Append an operation to be executed if all compares hold, and return it so
   that the caller can set further members.  A STORE_TXN has an empty nested
   transaction.  */
store_op_t *
store_txn_then (store_txn_t *txn, store_op_kind_t kind, const char *key,
                const char *value)
{
  store_op_t *op = txn_create_op (txn, kind, key, value);

  STAILQ_INSERT_TAIL (&txn->success, op, link);
  return op;
}

/* Append an operation to be executed if a compare does not hold; otherwise
   like store_txn_then.  */
store_op_t *
store_txn_else (store_txn_t *txn, store_op_kind_t kind, const char *key,
                const char *value)
{
  store_op_t *op = txn_create_op (txn, kind, key, value);

  STAILQ_INSERT_TAIL (&txn->failure, op, link);
  return op;
}

/* Return the first entry found by the operation at INDEX, or NULL.  */
const store_entry_t *
store_result_entry (const store_result_t *result, unsigned index)
{
  const store_response_t *response;

  STAILQ_FOREACH (response, &result->responses, link)
    {
      if (index-- == 0)
        return STAILQ_FIRST (&response->entries);
    }
  return NULL;
}
