/* Listings of upstreams, which other programs write to the store: any bytes
   must be refused or give a listing with all its texts.  */

#include "kernel/plugin.h"
#include "plugins/catalog.h"
#include "tests/fuzz/fuzz.h"

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t size)
{
  const catalog_ops_t *ops = plugin_ops (PLUGIN_CATALOG, "platform");
  TALLOC_CTX *memory = talloc_new (NULL);
  upstream_listing_t listing;

  if (ops->read_upstream (memory, "id", (const char *)bytes, size, &listing)
      == STATUS_OK)
    FUZZ_CHECK (listing.service != NULL && listing.address != NULL
                && listing.zone != NULL && listing.started_ms >= 0);
  talloc_free (memory);
  return 0;
}
