/* Settings documents from the store and from peers: any bytes must be refused
   or give settings that can be passed on and read again.  */

#include "common/settings.h"
#include "tests/fuzz/fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t size)
{
  settings_t *settings = NULL;
  settings_t *again = NULL;

  if (settings_from_document ((const char *)bytes, size, &settings)
      != STATUS_OK)
    return 0;
  FUZZ_CHECK (settings_from_document (settings->document,
                                      settings->document_size, &again)
              == STATUS_OK);
  FUZZ_CHECK (settings->revision == again->revision);
  settings_release (settings);
  settings_release (again);
  return 0;
}
