#include "common/settings_read.h"

#include "kernel/clock.h"

#include <string.h>

enum
{
  DEFAULT_SHARE = 1,
  MIB = 1024 * 1024,
  MAX_BODY_BYTES = 2 * MIB,
  DEFAULT_DEADLINE_MS = 30000,
  MAX_DEADLINE_MS = 600000,
  DEFAULT_LINGER_MS = 5,
  DEFAULT_RETENTION_S = 7 * 86400
};

static void *
settings_append_zone (void *owner, unsigned line)
{
  settings_t *settings = owner;
  zone_t *zone = talloc_zero (settings, zone_t);

  zone->line = line;
  zone->serves = true;
  zone->region = "";
  STAILQ_INSERT_TAIL (&settings->zones, zone, link);
  return zone;
}

static void *
settings_append_account (void *owner, unsigned line)
{
  settings_t *settings = owner;
  account_t *account = talloc_zero (settings, account_t);

  account->line = line;
  account->share = DEFAULT_SHARE;
  account->priority = 1;
  STAILQ_INSERT_TAIL (&settings->accounts, account, link);
  return account;
}

static void *
settings_append_service (void *owner, unsigned line)
{
  settings_t *settings = owner;
  service_t *service = talloc_zero (settings, service_t);

  service->line = line;
  service->kind_text = "plain";
  service->pick = "round-robin";
  STAILQ_INIT (&service->models);
  STAILQ_INSERT_TAIL (&settings->services, service, link);
  return service;
}

static void *
settings_append_repeat_rule (void *owner, unsigned line)
{
  settings_t *settings = owner;
  at_most_once_rule_t *rule = talloc_zero (settings, at_most_once_rule_t);

  rule->line = line;
  rule->method = "";
  rule->path = "/";
  STAILQ_INSERT_TAIL (&settings->at_most_once_rules, rule, link);
  return rule;
}

static const schema_field_t zone_fields[] = {
  { "name", SCHEMA_STRING, offsetof (zone_t, name), .is_required = true },
  { "region", SCHEMA_STRING, offsetof (zone_t, region) },
  { "serves", SCHEMA_BOOLEAN, offsetof (zone_t, serves) },
  { NULL, SCHEMA_END, 0 },
};

static const schema_field_t account_fields[] = {
  { "name", SCHEMA_STRING, offsetof (account_t, name), .is_required = true },
  { "priority", SCHEMA_INTEGER, offsetof (account_t, priority), .minimum = 0,
    .maximum = 9 },
  { "share", SCHEMA_INTEGER, offsetof (account_t, share), .minimum = 1,
    .maximum = 10000 },
  { NULL, SCHEMA_END, 0 },
};

static const schema_field_t service_fields[] = {
  { "name", SCHEMA_STRING, offsetof (service_t, name), .is_required = true },
  { "kind", SCHEMA_STRING, offsetof (service_t, kind_text) },
  { "path", SCHEMA_STRING, offsetof (service_t, path), .is_required = true },
  { "models", SCHEMA_STRINGS, offsetof (service_t, models) },
  { "pick", SCHEMA_STRING, offsetof (service_t, pick) },
  { NULL, SCHEMA_END, 0 },
};

static const schema_field_t repeat_fields[] = {
  { "service", SCHEMA_STRING, offsetof (at_most_once_rule_t, service),
    .is_required = true },
  { "method", SCHEMA_STRING, offsetof (at_most_once_rule_t, method) },
  { "path", SCHEMA_STRING, offsetof (at_most_once_rule_t, path) },
  { NULL, SCHEMA_END, 0 },
};

static const schema_field_t site_fields[] = {
  { "name", SCHEMA_STRING, offsetof (settings_t, site), .is_required = true },
  { NULL, SCHEMA_END, 0 },
};

static const schema_field_t limit_fields[] = {
  { "body", SCHEMA_BYTES, offsetof (settings_t, limits.body_bytes),
    .minimum = 1024, .maximum = MAX_BODY_BYTES },
  { "default_deadline", SCHEMA_DURATION,
    offsetof (settings_t, limits.default_deadline), .minimum = 10,
    .maximum = MAX_DEADLINE_MS },
  { "maximum_deadline", SCHEMA_DURATION,
    offsetof (settings_t, limits.maximum_deadline), .minimum = 10,
    .maximum = MAX_DEADLINE_MS },
  { NULL, SCHEMA_END, 0 },
};

static const schema_field_t admission_fields[] = {
  { "policy", SCHEMA_STRING, offsetof (settings_t, admission.policy) },
  { "order", SCHEMA_STRING, offsetof (settings_t, admission.order) },
  { "cold_requests", SCHEMA_INTEGER,
    offsetof (settings_t, admission.cold_requests), .minimum = 1,
    .maximum = 10000 },
  { "cold_tokens", SCHEMA_INTEGER,
    offsetof (settings_t, admission.cold_tokens), .minimum = 1,
    .maximum = 100000000 },
  { "maximum_requests", SCHEMA_INTEGER,
    offsetof (settings_t, admission.maximum_requests), .minimum = 1,
    .maximum = 10000 },
  { "maximum_tokens", SCHEMA_INTEGER,
    offsetof (settings_t, admission.maximum_tokens), .minimum = 1,
    .maximum = 100000000 },
  { "queue_requests", SCHEMA_INTEGER,
    offsetof (settings_t, admission.queue_requests), .minimum = 0,
    .maximum = 100000 },
  { "slow_first_token", SCHEMA_DURATION,
    offsetof (settings_t, admission.slow_first_token), .minimum = 1,
    .maximum = MAX_DEADLINE_MS },
  { NULL, SCHEMA_END, 0 },
};

static const schema_field_t retry_fields[] = {
  { "budget_ratio", SCHEMA_REAL, offsetof (settings_t, retry.budget_ratio),
    .minimum = 0, .maximum = 1 },
  { "attempts", SCHEMA_INTEGER, offsetof (settings_t, retry.attempts),
    .minimum = 1, .maximum = 10 },
  { NULL, SCHEMA_END, 0 },
};

static const schema_field_t claim_fields[] = {
  { "journal", SCHEMA_STRING, offsetof (settings_t, claims.journal) },
  { "retention", SCHEMA_DURATION, offsetof (settings_t, claims.retention),
    .minimum = 60000, .maximum = 366.0 * 86400 * 1000 },
  { "linger", SCHEMA_DURATION, offsetof (settings_t, claims.linger),
    .minimum = 0, .maximum = 1000 },
  { "requires_key_time", SCHEMA_BOOLEAN,
    offsetof (settings_t, claims.requires_key_time) },
  { NULL, SCHEMA_END, 0 },
};

static const schema_field_t placement_fields[] = {
  { "policy", SCHEMA_STRING, offsetof (settings_t, placement.policy) },
  { "interval", SCHEMA_DURATION, offsetof (settings_t, placement.interval),
    .minimum = 100, .maximum = 86400000 },
  { "minimum_gain", SCHEMA_REAL, offsetof (settings_t, placement.minimum_gain),
    .minimum = 0, .maximum = 1 },
  { NULL, SCHEMA_END, 0 },
};

static const schema_field_t root_fields[] = {
  { "site", SCHEMA_TABLE, 0, .is_required = true, .fields = site_fields },
  { "zone", SCHEMA_TABLES, 0, .is_required = true, .fields = zone_fields,
    .append = settings_append_zone },
  { "account", SCHEMA_TABLES, 0, .fields = account_fields,
    .append = settings_append_account },
  { "service", SCHEMA_TABLES, 0, .is_required = true, .fields = service_fields,
    .append = settings_append_service },
  { "repeat_never", SCHEMA_TABLES, 0, .fields = repeat_fields,
    .append = settings_append_repeat_rule },
  { "limits", SCHEMA_TABLE, 0, .fields = limit_fields },
  { "admission", SCHEMA_TABLE, 0, .fields = admission_fields },
  { "retry", SCHEMA_TABLE, 0, .fields = retry_fields },
  { "claims", SCHEMA_TABLE, 0, .fields = claim_fields },
  { "placement", SCHEMA_TABLE, 0, .fields = placement_fields },
  { NULL, SCHEMA_END, 0 },
};

/* Create settings with default values and one reference.  */
settings_t *
settings_create (void)
{
  settings_t *settings = talloc_zero (NULL, settings_t);

  if (settings == NULL)
    return NULL;
  atomic_init (&settings->references, 1);
  STAILQ_INIT (&settings->zones);
  STAILQ_INIT (&settings->accounts);
  STAILQ_INIT (&settings->services);
  STAILQ_INIT (&settings->at_most_once_rules);
  STAILQ_INIT (&settings->upstreams);
  STAILQ_INIT (&settings->entry_vms);
  settings->site = "";
  settings->limits = (request_limits_t){
    .body_bytes = MIB,
    .default_deadline = timespec_from_ms (DEFAULT_DEADLINE_MS),
    .maximum_deadline = timespec_from_ms (MAX_DEADLINE_MS)
  };
  settings->admission
      = (admission_settings_t){ .policy = "slow-start",
                                .order = "fair",
                                .cold_requests = 1,
                                .cold_tokens = 2048,
                                .maximum_requests = 16,
                                .maximum_tokens = 65536,
                                .queue_requests = 64,
                                .slow_first_token = timespec_from_ms (1800) };
  settings->retry = (retry_settings_t){ .budget_ratio = 0.1, .attempts = 3 };
  settings->claims
      = (claim_settings_t){ .journal = "store",
                            .retention = { .tv_sec = DEFAULT_RETENTION_S },
                            .linger = timespec_from_ms (DEFAULT_LINGER_MS),
                            .requires_key_time = true };
  settings->placement
      = (placement_settings_t){ .policy = "fixed",
                                .interval = timespec_from_ms (10000),
                                .minimum_gain = 0.02 };
  return settings;
}

/* Read the rules under ROOT into SETTINGS and index them by name.  */
void
settings_read_rules (settings_t *settings, schema_source_t *source,
                     toml_node_t *root)
{
  const zone_t *zone;
  const account_t *account;
  const service_t *service;

  schema_read (source, root, root_fields, settings);
  STAILQ_FOREACH (zone, &settings->zones, link)
    if (zone->name != NULL)
      name_index_add (&settings->zone_index, settings, zone->name, zone);
  STAILQ_FOREACH (account, &settings->accounts, link)
    if (account->name != NULL)
      name_index_add (&settings->account_index, settings, account->name,
                      account);
  STAILQ_FOREACH (service, &settings->services, link)
    if (service->name != NULL)
      name_index_add (&settings->service_index, settings, service->name,
                      service);
  name_index_sort (&settings->zone_index);
  name_index_sort (&settings->account_index);
  name_index_sort (&settings->service_index);
}
