#ifndef SISKIN_TESTS_FAKE_STORE_H
#define SISKIN_TESTS_FAKE_STORE_H

#include "plugins/store.h"

#include <talloc.h>

/* In-memory model of the key-value service.  A transaction is executed when
   the test calls fake_store_apply, so that the test controls when and whether
   that happens.  */
typedef struct fake_store fake_store_t;

fake_store_t *fake_store_create (TALLOC_CTX *parent);
store_result_t *fake_store_apply (fake_store_t *store, TALLOC_CTX *parent,
                                  const store_txn_t *txn);
const char *fake_store_value (const fake_store_t *store, const char *key);
void fake_store_put (fake_store_t *store, const char *key, const char *value);
unsigned fake_store_calls (const fake_store_t *store);

#endif
