#include "common/settings.h"

#include "common/inventory.h"
#include "kernel/clock.h"

#include <jansson.h>
#include <string.h>

enum
{
  PERCENT = 100,
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
  repeat_rule_t *rule = talloc_zero (settings, repeat_rule_t);

  rule->line = line;
  rule->method = "POST";
  rule->path = "/";
  STAILQ_INSERT_TAIL (&settings->repeat_rules, rule, link);
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
  { "service", SCHEMA_STRING, offsetof (repeat_rule_t, service),
    .is_required = true },
  { "method", SCHEMA_STRING, offsetof (repeat_rule_t, method) },
  { "path", SCHEMA_STRING, offsetof (repeat_rule_t, path) },
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

static settings_t *
settings_create (void)
{
  settings_t *settings = talloc_zero (NULL, settings_t);

  if (settings == NULL)
    return NULL;
  atomic_init (&settings->references, 1);
  STAILQ_INIT (&settings->zones);
  STAILQ_INIT (&settings->accounts);
  STAILQ_INIT (&settings->services);
  STAILQ_INIT (&settings->repeat_rules);
  STAILQ_INIT (&settings->upstreams);
  STAILQ_INIT (&settings->entry_vms);
  settings->site = "";
  settings->limits = (request_limits_t){
    .body_bytes = MIB,
    .default_deadline = timespec_from_ms (DEFAULT_DEADLINE_MS),
    .maximum_deadline = timespec_from_ms (MAX_DEADLINE_MS)
  };
  settings->admission
      = (admission_settings_t){ .policy = "fixed",
                                .order = "fifo",
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

/* Check what depends on more than one key of the rules.  */
static void
settings_check_rules (settings_t *settings, const char *file,
                      findings_t *findings)
{
  service_t *service;
  const repeat_rule_t *rule;

  STAILQ_FOREACH (service, &settings->services, link)
    {
      if (strcmp (service->kind_text, "model") == 0)
        service->kind = UPSTREAM_MODEL;
      else if (strcmp (service->kind_text, "plain") == 0)
        service->kind = UPSTREAM_PLAIN;
      else
        findings_add (findings, file, service->line, 1,
                      "service kind '%s' is not model or plain",
                      service->kind_text);
    }
  STAILQ_FOREACH (rule, &settings->repeat_rules, link)
    {
      if (rule->service != NULL
          && settings_service (settings, rule->service) == NULL)
        findings_add (findings, file, rule->line, 1,
                      "service '%s' does not exist", rule->service);
    }
}

static void
settings_mark_zones_out (settings_t *settings, const settings_parts_t *parts,
                         findings_t *findings)
{
  const schema_string_t *name;
  zone_t *zone;

  STAILQ_FOREACH (name, &parts->zones_out, link)
    {
      bool is_known = false;

      STAILQ_FOREACH (zone, &settings->zones, link)
        {
          if (zone->name == NULL || strcmp (zone->name, name->text) != 0)
            continue;
          zone->is_out = true;
          is_known = true;
        }
      if (!is_known)
        findings_add (findings, "zones_out", 0, 0, "zone '%s' does not exist",
                      name->text);
    }
}

static void
settings_mark_draining (settings_t *settings, const settings_parts_t *parts)
{
  const schema_string_t *name;
  upstream_t *upstream;

  STAILQ_FOREACH (name, &parts->draining, link)
    {
      STAILQ_FOREACH (upstream, &settings->upstreams, link)
        {
          if (strcmp (upstream->name, name->text) == 0)
            upstream->is_draining = true;
        }
    }
}

/* Read PARTS into a new settings object with one reference.  Every fault is
   added to FINDINGS at its place in RULES_FILE or INVENTORY_FILE; returns NULL
   when there is any.  */
settings_t *
settings_from_parts (const settings_parts_t *parts, const char *rules_file,
                     const char *inventory_file, findings_t *findings)
{
  settings_t *settings = settings_create ();
  schema_source_t source = { .file = rules_file, .findings = findings };
  toml_node_t *root;

  if (settings == NULL)
    return NULL;
  root = toml_parse (settings, parts->rules, strlen (parts->rules), rules_file,
                     findings);
  if (root != NULL)
    {
      schema_read (&source, root, root_fields, settings);
      settings_check_rules (settings, rules_file, findings);
      inventory_read (settings, parts->inventory, inventory_file, findings);
      settings_mark_zones_out (settings, parts, findings);
      settings_mark_draining (settings, parts);
      talloc_free (root);
    }
  if (findings_count (findings) > 0)
    {
      talloc_free (settings);
      return NULL;
    }
  settings->revision = parts->revision;
  settings->change_id = talloc_strdup (settings, parts->change_id);
  settings->changed_by = talloc_strdup (settings, parts->changed_by);
  settings->changed_why = talloc_strdup (settings, parts->changed_why);
  settings->changed_at = talloc_strdup (settings, parts->changed_at);
  return settings;
}

/* Read DOCUMENT, as the store and the peers hold it, into *SETTINGS with one
   reference.  Returns STATUS_INVALID with the first fault as message.  */
status_t
settings_from_document (const char *document, size_t size,
                        settings_t **settings)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  findings_t *findings = findings_create (scratch);
  settings_parts_t *parts = settings_parts_parse (scratch, document, size);
  status_t status = STATUS_OK;

  *settings = NULL;
  if (parts == NULL)
    status = STATUS_INVALID;
  else
    {
      *settings = settings_from_parts (parts, "rules", "inventory", findings);
      if (*settings == NULL)
        {
          const finding_t *first = findings_first (findings);

          status = status_set (STATUS_INVALID, "%s:%u:%u: %s",
                               first == NULL ? "" : first->file,
                               first == NULL ? 0 : first->line,
                               first == NULL ? 0 : first->column,
                               first == NULL ? "no memory" : first->message);
        }
      else
        {
          (*settings)->document = talloc_memdup (*settings, document, size);
          (*settings)->document_size = size;
        }
    }
  talloc_free (scratch);
  return status;
}

/* Take a reference to SETTINGS.  */
void
settings_retain (settings_t *settings)
{
  atomic_fetch_add (&settings->references, 1);
}

/* Give a reference to SETTINGS back; the last one frees it.  */
void
settings_release (settings_t *settings)
{
  if (atomic_fetch_sub (&settings->references, 1) == 1)
    talloc_free (settings);
}

/* Create empty parts at revision 0.  */
settings_parts_t *
settings_parts_create (TALLOC_CTX *parent)
{
  settings_parts_t *parts = talloc_zero (parent, settings_parts_t);

  if (parts == NULL)
    return NULL;
  parts->change_id = "";
  parts->changed_by = "";
  parts->changed_why = "";
  parts->changed_at = "";
  parts->rules = "";
  parts->inventory = "";
  STAILQ_INIT (&parts->zones_out);
  STAILQ_INIT (&parts->draining);
  return parts;
}

/* Free PARTS.  */
void
settings_parts_destroy (settings_parts_t *parts)
{
  talloc_free (parts);
}

static const char *
parts_string (TALLOC_CTX *parent, const json_t *root, const char *key)
{
  const char *text = json_string_value (json_object_get (root, key));

  return talloc_strdup (parent, text == NULL ? "" : text);
}

static void
parts_strings (TALLOC_CTX *parent, const json_t *root, const char *key,
               schema_strings_t *strings)
{
  const json_t *array = json_object_get (root, key);
  size_t index;
  const json_t *item;

  json_array_foreach (array, index, item)
    {
      schema_string_t *string;

      if (!json_is_string (item))
        continue;
      string = talloc_zero (parent, schema_string_t);
      string->text = talloc_strdup (string, json_string_value (item));
      STAILQ_INSERT_TAIL (strings, string, link);
    }
}

/* Parse DOCUMENT, a JSON object, into parts owned by PARENT.  Returns NULL
   with the status message set when it is not one.  */
settings_parts_t *
settings_parts_parse (TALLOC_CTX *parent, const char *document, size_t size)
{
  json_error_t error;
  json_t *root = json_loadb (document, size, 0, &error);
  settings_parts_t *parts;

  if (!json_is_object (root)
      || !json_is_integer (json_object_get (root, "revision")))
    {
      status_set (STATUS_INVALID, "the settings document is malformed: %s",
                  root == NULL ? error.text : "no revision");
      json_decref (root);
      return NULL;
    }
  parts = settings_parts_create (parent);
  if (parts != NULL)
    {
      parts->revision
          = (uint64_t)json_integer_value (json_object_get (root, "revision"));
      parts->change_id = parts_string (parts, root, "change_id");
      parts->changed_by = parts_string (parts, root, "changed_by");
      parts->changed_why = parts_string (parts, root, "changed_why");
      parts->changed_at = parts_string (parts, root, "changed_at");
      parts->rules = parts_string (parts, root, "rules");
      parts->inventory = parts_string (parts, root, "inventory");
      parts_strings (parts, root, "zones_out", &parts->zones_out);
      parts_strings (parts, root, "draining", &parts->draining);
    }
  json_decref (root);
  return parts;
}

static json_t *
parts_list (const schema_strings_t *strings)
{
  json_t *array = json_array ();
  const schema_string_t *string;

  STAILQ_FOREACH (string, strings, link)
    json_array_append_new (array, json_string (string->text));
  return array;
}

/* Return PARTS as the JSON document that the store holds, owned by
   PARENT.  */
char *
settings_parts_format (TALLOC_CTX *parent, const settings_parts_t *parts)
{
  json_t *root = json_object ();
  char *text;
  char *copy;

  json_object_set_new (root, "revision",
                       json_integer ((json_int_t)parts->revision));
  json_object_set_new (root, "change_id", json_string (parts->change_id));
  json_object_set_new (root, "changed_by", json_string (parts->changed_by));
  json_object_set_new (root, "changed_why", json_string (parts->changed_why));
  json_object_set_new (root, "changed_at", json_string (parts->changed_at));
  json_object_set_new (root, "rules", json_string (parts->rules));
  json_object_set_new (root, "inventory", json_string (parts->inventory));
  json_object_set_new (root, "zones_out", parts_list (&parts->zones_out));
  json_object_set_new (root, "draining", parts_list (&parts->draining));
  text = json_dumps (root, JSON_COMPACT | JSON_SORT_KEYS);
  copy = talloc_strdup (parent, text);
  free (text);
  json_decref (root);
  return copy;
}

/* Return the zone NAME, or NULL.  */
const zone_t *
settings_zone (const settings_t *settings, const char *name)
{
  const zone_t *zone;

  STAILQ_FOREACH (zone, &settings->zones, link)
    {
      if (zone->name != NULL && strcmp (zone->name, name) == 0)
        return zone;
    }
  return NULL;
}

/* Return the client account NAME, or NULL.  */
const account_t *
settings_account (const settings_t *settings, const char *name)
{
  const account_t *account;

  STAILQ_FOREACH (account, &settings->accounts, link)
    {
      if (account->name != NULL && strcmp (account->name, name) == 0)
        return account;
    }
  return NULL;
}

/* Return the service NAME, or NULL.  */
const service_t *
settings_service (const settings_t *settings, const char *name)
{
  const service_t *service;

  STAILQ_FOREACH (service, &settings->services, link)
    {
      if (service->name != NULL && strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

static bool
path_has_prefix (const char *path, const char *prefix)
{
  size_t length = strlen (prefix);

  if (strncmp (path, prefix, length) != 0)
    return false;
  return path[length] == '\0' || path[length] == '/' || path[length] == '?'
         || (length > 0 && prefix[length - 1] == '/');
}

static bool
service_has_model (const service_t *service, const char *model)
{
  const schema_string_t *name;

  if (STAILQ_EMPTY (&service->models))
    return true;
  STAILQ_FOREACH (name, &service->models, link)
    {
      if (strcmp (name->text, model) == 0)
        return true;
    }
  return false;
}

/* Return the service whose path prefix matches PATH and that has MODEL ("" for
   plain calls), or NULL.  The longest prefix wins.  */
const service_t *
settings_route (const settings_t *settings, const char *path,
                const char *model)
{
  const service_t *best = NULL;
  const service_t *service;

  STAILQ_FOREACH (service, &settings->services, link)
    {
      if (!path_has_prefix (path, service->path)
          || (service->kind == UPSTREAM_MODEL
              && !service_has_model (service, model)))
        continue;
      if (best == NULL || strlen (service->path) > strlen (best->path))
        best = service;
    }
  return best;
}

/* Return the upstream NAME, or NULL.  */
const upstream_t *
settings_upstream (const settings_t *settings, const char *name)
{
  const upstream_t *upstream;

  STAILQ_FOREACH (upstream, &settings->upstreams, link)
    {
      if (strcmp (upstream->name, name) == 0)
        return upstream;
    }
  return NULL;
}

/* Return whether the zone NAME may get new work: the rules allow it and no
   operator has taken it out.  */
bool
settings_zone_serves (const settings_t *settings, const char *name)
{
  const zone_t *zone = settings_zone (settings, name);

  return zone != NULL && zone->serves && !zone->is_out;
}

/* Return whether a request may run more than once.  */
bool
settings_is_repeatable (const settings_t *settings, const char *service,
                        const char *method, const char *path)
{
  const repeat_rule_t *rule;

  STAILQ_FOREACH (rule, &settings->repeat_rules, link)
    {
      if (strcmp (rule->service, service) == 0
          && strcasecmp (rule->method, method) == 0
          && path_has_prefix (path, rule->path))
        return false;
    }
  return true;
}
