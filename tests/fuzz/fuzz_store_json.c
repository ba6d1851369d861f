/* Responses of the platform's store: JSON of any shape must not crash the
   decoding, and each entry that it returns must have a key.  */

#include "platform/store_json.h"
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
        FUZZ_CHECK (entry->key != NULL
                    && (entry->value == NULL
                        || entry->value[entry->value_size] == '\0'));
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t size)
{
  TALLOC_CTX *memory = talloc_new (NULL);
  json_t *json = json_loadb ((const char *)bytes, size, 0, NULL);
  const store_changes_t *changes;
  const store_entry_t *entry;

  check_result (store_json_item (memory, json));
  check_result (store_json_range (memory, json));
  check_result (store_json_txn (memory, json, false));
  changes = store_json_changes (memory, json);
  FUZZ_CHECK (changes != NULL);
  STAILQ_FOREACH (entry, &changes->entries, link)
    FUZZ_CHECK (entry->key != NULL);
  store_json_lease (json);
  json_decref (json);
  talloc_free (memory);
  return 0;
}
