#include "common/config.h"

#include "common/file.h"
#include "kernel/clock.h"

enum
{
  DEFAULT_WORKERS = 2,
  DEFAULT_LINK_MBPS = 100,
  MAX_LINK_MBPS = 1000000,
  MAX_WORKERS = 64,
  MIN_MEMORY_MB = 1,
  MAX_MEMORY_MB = 1024 * 1024,
  DEFAULT_STORE_TIMEOUT_MS = 1000,
  DEFAULT_STOP_TIMEOUT_MS = 60000,
  DEFAULT_ACT_WITHIN_MS = 2000,
  DEFAULT_RETRY_WINDOW_MS = 10000
};

/* Used when the platform sets no limits on retries.  */
static const double default_retry_ratio = 0.1;
static const double default_retry_extra = 10;

static const schema_field_t bounds_fields[] = {
  { "retry_ratio", SCHEMA_REAL, offsetof (config_t, bounds.retry_ratio),
    .maximum = 10 },
  { "retry_extra", SCHEMA_REAL, offsetof (config_t, bounds.retry_extra),
    .maximum = 1e9 },
  { "retry_window", SCHEMA_DURATION, offsetof (config_t, bounds.retry_window),
    .minimum = 100, .maximum = 3600000 },
  { "act_within", SCHEMA_DURATION, offsetof (config_t, bounds.act_within),
    .minimum = 20, .maximum = 60000 },
  { "leave_within", SCHEMA_DURATION, offsetof (config_t, bounds.leave_within),
    .minimum = 20, .maximum = 60000 },
  { "first_start", SCHEMA_BOOLEAN, offsetof (config_t, bounds.first_start) },
  { NULL, SCHEMA_END, 0 },
};

static const schema_field_t limits_fields[] = {
  { "memory_mb", SCHEMA_REAL, offsetof (config_t, memory_mb),
    .minimum = MIN_MEMORY_MB, .maximum = MAX_MEMORY_MB },
  { NULL, SCHEMA_END, 0 },
};

static const schema_field_t config_fields[] = {
  { "name", SCHEMA_STRING, offsetof (config_t, name), .is_required = true },
  { "zone", SCHEMA_STRING, offsetof (config_t, zone), .is_required = true },
  { "listen", SCHEMA_STRING, offsetof (config_t, listen) },
  { "admin", SCHEMA_STRING, offsetof (config_t, admin) },
  { "upstream", SCHEMA_STRING, offsetof (config_t, upstream) },
  { "engine", SCHEMA_STRING, offsetof (config_t, engine) },
  { "ready", SCHEMA_STRING, offsetof (config_t, ready) },
  { "zones", SCHEMA_STRINGS, offsetof (config_t, zones) },
  { "catalog", SCHEMA_STRING, offsetof (config_t, catalog) },
  { "ingress", SCHEMA_STRING, offsetof (config_t, ingress) },
  { "egress", SCHEMA_STRING, offsetof (config_t, egress) },
  { "service", SCHEMA_STRING, offsetof (config_t, service) },
  { "rank_engine", SCHEMA_STRING, offsetof (config_t, rank_engine) },
  { "store_kind", SCHEMA_STRING, offsetof (config_t, store_kind) },
  { "bounds", SCHEMA_TABLE, 0, .fields = bounds_fields },
  { "limits", SCHEMA_TABLE, 0, .fields = limits_fields },
  { "workers", SCHEMA_INTEGER, offsetof (config_t, workers), .minimum = 1,
    .maximum = MAX_WORKERS },
  { "link_mbps", SCHEMA_REAL, offsetof (config_t, link_mbps), .minimum = 1,
    .maximum = MAX_LINK_MBPS },
  { "store", SCHEMA_STRINGS, offsetof (config_t, store), .is_required = true },
  { "peers", SCHEMA_STRINGS, offsetof (config_t, peers) },
  { "store_timeout", SCHEMA_DURATION, offsetof (config_t, store_timeout),
    .minimum = 10, .maximum = 60000 },
  { "stop_timeout", SCHEMA_DURATION, offsetof (config_t, stop_timeout),
    .minimum = 100, .maximum = 3600000 },
  { NULL, SCHEMA_END, 0 },
};

/* Create a config with default values.  Returns NULL when memory is
   exhausted.  */
config_t *
config_create (TALLOC_CTX *parent)
{
  config_t *config = talloc_zero (parent, config_t);

  if (config == NULL)
    return NULL;
  STAILQ_INIT (&config->store);
  STAILQ_INIT (&config->peers);
  STAILQ_INIT (&config->zones);
  config->listen = "127.0.0.1:0";
  config->admin = "127.0.0.1:0";
  config->upstream = "";
  config->engine = "unfenced";
  config->ready = "127.0.0.1:0";
  config->catalog = "platform";
  config->ingress = "platform";
  config->egress = "platform";
  config->service = "";
  config->rank_engine = "platform";
  config->store_kind = "etcd";
  config->bounds.retry_ratio = default_retry_ratio;
  config->bounds.retry_extra = default_retry_extra;
  config->bounds.retry_window = timespec_from_ms (DEFAULT_RETRY_WINDOW_MS);
  config->bounds.act_within = timespec_from_ms (DEFAULT_ACT_WITHIN_MS);
  config->bounds.leave_within = timespec_from_ms (DEFAULT_ACT_WITHIN_MS);
  config->workers = DEFAULT_WORKERS;
  config->link_mbps = DEFAULT_LINK_MBPS;
  config->store_timeout = timespec_from_ms (DEFAULT_STORE_TIMEOUT_MS);
  config->stop_timeout = timespec_from_ms (DEFAULT_STOP_TIMEOUT_MS);
  return config;
}

/* Free CONFIG.  */
void
config_destroy (config_t *config)
{
  talloc_free (config);
}

/* Read the configuration of a process from TEXT, the contents of FILE.  Every
   error in it is added to FINDINGS.  Returns NULL when there is any.  */
config_t *
config_parse (TALLOC_CTX *parent, const char *text, size_t size,
              const char *file, findings_t *findings)
{
  config_t *config = config_create (parent);
  schema_source_t source = { .file = file, .findings = findings };
  toml_node_t *root;

  if (config == NULL)
    return NULL;
  root = toml_parse (config, text, size, file, findings);
  if (root != NULL)
    schema_read (&source, root, config_fields, config);
  if (findings_count (findings) == 0)
    return config;
  config_destroy (config);
  return NULL;
}

/* Read the configuration of a process from FILE, like config_parse.  */
config_t *
config_load (TALLOC_CTX *parent, const char *file, findings_t *findings)
{
  config_t *config = NULL;
  size_t size;
  char *text = file_read (NULL, file, &size);

  if (text == NULL)
    findings_add (findings, file, 0, 0, "%s", status_message ());
  else
    config = config_parse (parent, text, size, file, findings);
  talloc_free (text);
  return config;
}

/* Return the store's URLs as a NULL-terminated array owned by CONFIG.  */
const char *const *
config_store_urls (const config_t *config)
{
  const schema_string_t *url;
  unsigned count = 0;
  const char **urls;

  STAILQ_FOREACH (url, &config->store, link)
    count++;
  urls = talloc_zero_array (config, const char *, count + 1);
  count = 0;
  STAILQ_FOREACH (url, &config->store, link)
    urls[count++] = url->text;
  return urls;
}
