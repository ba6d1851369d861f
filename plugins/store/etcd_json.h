#ifndef SISKIN_PLUGINS_STORE_ETCD_JSON_H
#define SISKIN_PLUGINS_STORE_ETCD_JSON_H

#include "plugins/store.h"

#include <jansson.h>

json_t *etcd_json_txn (const store_txn_t *txn);
store_result_t *etcd_json_result (TALLOC_CTX *parent, const json_t *root);
store_entry_t *etcd_json_entry (TALLOC_CTX *parent, const json_t *kv);
json_t *etcd_json_bytes (const char *text);
int64_t etcd_json_int64 (const json_t *object, const char *key);

#endif
