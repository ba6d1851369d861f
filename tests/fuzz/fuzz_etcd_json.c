/* Responses of the etcd gateway: JSON of any shape must not crash the
   decoding, and each entry that it returns must have a key and a value.  */

#include "plugins/store/etcd_json.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

static void
check_result (const store_result_t *result)
{
  const store_response_t *response;
  const store_entry_t *entry;

  FUZZ_CHECK (result != NULL);
  STAILQ_FOREACH (response, &result->responses, link)
    {
      STAILQ_FOREACH (entry, &response->entries, link)
        FUZZ_CHECK (entry->key != NULL && entry->value != NULL
                    && strlen (entry->value) == entry->value_size);
      if (response->kind == STORE_TXN)
        check_result (response->txn);
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t size)
{
  TALLOC_CTX *memory = talloc_new (NULL);
  json_t *json = json_loadb ((const char *)bytes, size, 0, NULL);

  check_result (etcd_json_result (memory, json));
  json_decref (json);
  talloc_free (memory);
  return 0;
}
