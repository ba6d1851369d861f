#ifndef SISKIN_TESTS_SIM_RECORDS_H
#define SISKIN_TESTS_SIM_RECORDS_H

#include "kernel/table.h"
#include "plugins/store.h"

/* The keys of the store in memory.  One thread uses them, so their table is
   never locked.  */
typedef struct records records_t;

/* A key with its value.  */
typedef struct record
{
  table_node_t node;
  char *key;
  char *value;
  int64_t revision;
} record_t;

/* RECORD was changed, or is about to be deleted.  */
typedef void (*records_changed_t) (const record_t *record, bool is_deleted);

records_t *records_create (TALLOC_CTX *parent, records_changed_t changed);
const record_t *records_find (const records_t *records, const char *key);
const char *record_seen (const record_t *record);
store_result_t *records_apply (TALLOC_CTX *parent, records_t *records,
                               const store_txn_t *txn);
void records_write (records_t *records, const char *key, const char *value);
store_txn_t *records_copy_txn (TALLOC_CTX *parent, const store_txn_t *from);

#endif
