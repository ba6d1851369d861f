#ifndef SISKIN_TESTS_SIM_RECORDS_H
#define SISKIN_TESTS_SIM_RECORDS_H

#include "kernel/table.h"
#include "plugins/store.h"

/* In-memory key-value table of the simulated store.  It is used by a single
   thread and needs no lock.  */
typedef struct records records_t;

typedef struct record
{
  table_node_t node;
  char *key;
  char *value;
  int64_t revision; /* of the store, at the last change of this key */
} record_t;

/* Called after RECORD was changed, or before it is deleted.  */
typedef void (*record_change_handler_t) (const record_t *record,
                                         bool is_deleted);

records_t *records_create (TALLOC_CTX *parent,
                           record_change_handler_t on_change);
const record_t *records_find (const records_t *records, const char *key);
const char *record_visible_value (const record_t *record);
store_result_t *records_apply (TALLOC_CTX *parent, records_t *records,
                               const store_txn_t *txn);
void records_write (records_t *records, const char *key, const char *value);
store_txn_t *records_copy_txn (TALLOC_CTX *parent, const store_txn_t *source);

#endif
