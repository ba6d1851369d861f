/* The operators' configuration, as found in the store: any bytes must be
   refused or give rules in which a request can be looked up.  */

#include "platform/rules_reader.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

enum
{
  RANDOM_NUMBERS = 4 /* choices among the targets of a route */
};

static void
check_route (const rules_t *rules, const route_t *route)
{
  rules_route (rules, route->host, route->prefix);
  for (uint64_t i = 0; i < RANDOM_NUMBERS; i++)
    FUZZ_CHECK ((route_choose_target (route, i * (UINT64_MAX / RANDOM_NUMBERS))
                 == NULL)
                == STAILQ_EMPTY (&route->targets));
}

static void
check_rules (const rules_t *rules)
{
  const route_t *route;
  const service_rule_t *service;

  STAILQ_FOREACH (route, &rules->routes, link)
    check_route (rules, route);
  STAILQ_FOREACH (service, &rules->services, link)
    FUZZ_CHECK (rules_service (rules, service->name) != NULL);
  rules_account_by_key (rules, "key");
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t size)
{
  rules_reader_t *reader = rules_reader_open (NULL, (const char *)bytes, size);
  rules_t *rules = NULL;
  status_t status = STATUS_OK;

  while (status == STATUS_OK && rules == NULL)
    status = rules_reader_read_part (reader, &rules);
  if (rules != NULL)
    check_rules (rules);
  rules_release (rules);
  rules_reader_close (reader);
  return 0;
}
