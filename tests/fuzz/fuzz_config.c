/* Configuration files, which the platform fills in from its own values: any
   text must be refused with a finding or give a configuration with a name.  */

#include "common/config.h"
#include "common/toml.h"
#include "tests/fuzz/fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t size)
{
  findings_t *findings = findings_create (NULL);
  config_t *config
      = config_parse (NULL, (const char *)bytes, size, "file", findings);

  FUZZ_CHECK ((config == NULL) == (findings_count (findings) > 0));
  if (config != NULL)
    FUZZ_CHECK (config->name != NULL && config_store_urls (config) != NULL);
  config_destroy (config);
  findings_destroy (findings);
  return 0;
}
