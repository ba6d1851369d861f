#ifndef SISKIN_COMMON_SETTINGS_H
#define SISKIN_COMMON_SETTINGS_H

#include "common/name_index.h"
#include "common/schema.h"
#include "kernel/findings.h"
#include "kernel/status.h"

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <time.h>

typedef enum upstream_kind
{
  UPSTREAM_MODEL, /* a model engine or one rank of a group */
  UPSTREAM_PLAIN  /* any other service, such as booking or a registry */
} upstream_kind_t;

/* An availability zone.  New requests are sent to its upstreams only if both
   SERVES is set and IS_OUT is not; see settings_zone_serves.  */
typedef struct zone
{
  STAILQ_ENTRY (zone) link;
  const char *name;
  const char *region;
  bool serves;   /* default true; the rules can disable the zone */
  bool is_out;   /* an operator has taken the zone out of service */
  unsigned line; /* LINE, here and below: of the rules or inventory */
} zone_t;

/* A client account.  Relays use client_account_t of rules.h instead.  */
typedef struct account
{
  STAILQ_ENTRY (account) link;
  const char *name;
  int64_t priority; /* 0 comes first */
  int64_t share;    /* weight among accounts of the same priority */
  unsigned line;
} account_t;

typedef struct service
{
  STAILQ_ENTRY (service) link;
  const char *name;
  const char *kind_text; /* KIND as written in the rules */
  upstream_kind_t kind;
  const char *path; /* prefix of the request path */
  schema_strings_t models;
  const char *pick; /* name of the plug-in that chooses an upstream */
  unsigned line;
} service_t;

/* Matches requests that must run at most once, because they are not safe to
   repeat.  */
typedef struct at_most_once_rule
{
  STAILQ_ENTRY (at_most_once_rule) link;
  const char *service;
  const char *method; /* "" matches all except GET, HEAD and OPTIONS */
  const char *path;   /* prefix of the request path */
  unsigned line;
} at_most_once_rule_t;

/* An upstream as listed in the inventory, which is an export of the asset
   register.  */
typedef struct upstream
{
  STAILQ_ENTRY (upstream) link;
  const char *name;
  const char *address; /* ADDRESS:PORT of the agent that runs beside it */
  const char *zone;
  upstream_kind_t kind;
  const char *service;
  const char *model;
  const char *group; /* lock-step group that it is a rank of, or "" */
  int64_t rank;
  bool is_draining;
  unsigned line;
} upstream_t;

/* An entry VM as listed in the inventory.  */
typedef struct entry_vm
{
  STAILQ_ENTRY (entry_vm) link;
  const char *name;
  const char *address;
  const char *zone;
  const char *admin; /* ADDRESS:PORT of its health page, or "" */
  unsigned line;
} entry_vm_t;

typedef struct request_limits
{
  int64_t body_bytes;               /* maximum size of a request body */
  struct timespec default_deadline; /* for requests that do not set one */
  struct timespec
      maximum_deadline; /* requests with a longer one are rejected */
} request_limits_t;

typedef struct admission_settings
{
  const char *policy; /* name of the plug-in that limits the requests which an
                         upstream runs at once */
  const char *order;  /* name of the plug-in that orders the queue */
  int64_t cold_requests; /* initial limits of an upstream in cold start */
  int64_t cold_tokens;
  int64_t maximum_requests; /* upper limits of an upstream */
  int64_t maximum_tokens;
  int64_t queue_requests; /* maximum length of an upstream's queue */
  /* A first token that takes longer indicates an upstream in cold start.  */
  struct timespec slow_first_token;
} admission_settings_t;

typedef struct retry_settings
{
  double budget_ratio; /* retries allowed per first attempt */
  int64_t attempts;    /* maximum for a request, including the first */
} retry_settings_t;

/* A claim is a record in the store that a process is about to run the request
   of an idempotency key, so that no process runs it a second time.  */
typedef struct claim_settings
{
  const char *journal;       /* name of the plug-in that writes the claims */
  struct timespec retention; /* lifetime of a claim and the recorded outcome */
  /* Maximum delay of a claim so that it can be written to the store together
     with others, in one transaction.  */
  struct timespec linger;
  bool requires_key_time; /* idempotency keys must carry their creation time */
} claim_settings_t;

typedef struct placement_settings
{
  const char *policy; /* name of the plug-in that computes the expert maps of
                         lock-step groups */
  struct timespec interval; /* between two computations */
  /* Reduction of the estimated step time, as a ratio, that justifies a switch
     to a new map; 0.02 is 2 %.  A plug-in may accept less for a map that
     requires few experts to be loaded.  */
  double minimum_gain;
} placement_settings_t;

/* One revision of the settings of entries and agents; immutable and
   reference-counted.  It is made from the rules (a TOML file), the inventory
   and the marks of zones and upstreams; see settings_parts_t.  Relays use
   rules_t instead, which is read from documents of another format.  */
typedef struct settings
{
  atomic_uint references;
  uint64_t revision;
  const char *change_id;
  const char *changed_by;  /* operator */
  const char *changed_why; /* the operator's reason */
  const char *changed_at;  /* UTC, ISO 8601 */
  const char *document;    /* the JSON document that this was read from */
  size_t document_size;
  const char *site; /* name of the installation that the settings are for */
  STAILQ_HEAD (, zone) zones;
  STAILQ_HEAD (, account) accounts;
  STAILQ_HEAD (, service) services;
  STAILQ_HEAD (, at_most_once_rule) at_most_once_rules;
  STAILQ_HEAD (, upstream) upstreams;
  STAILQ_HEAD (, entry_vm) entry_vms;
  name_index_t zone_index;
  name_index_t account_index;
  name_index_t service_index;
  name_index_t upstream_index;
  request_limits_t limits;
  admission_settings_t admission;
  retry_settings_t retry;
  claim_settings_t claims;
  placement_settings_t placement;
} settings_t;

/* The unparsed parts of a settings revision, as stored in its JSON
   document.  */
typedef struct settings_parts
{
  uint64_t revision;
  const char *change_id;
  const char *changed_by;
  const char *changed_why;
  const char *changed_at;
  const char *rules;     /* TOML; unrelated to rules_t of relays */
  const char *inventory; /* CSV, an export of the asset register */
  schema_strings_t zones_out;
  schema_strings_t draining; /* names of upstreams */
} settings_parts_t;

settings_t *settings_from_parts (const settings_parts_t *parts,
                                 const char *rules_file,
                                 const char *inventory_file,
                                 findings_t *findings);
status_t settings_from_document (const char *document, size_t size,
                                 settings_t **settings);
void settings_retain (settings_t *settings);
void settings_release (settings_t *settings);

settings_parts_t *settings_parts_create (TALLOC_CTX *parent);
void settings_parts_destroy (settings_parts_t *parts);
settings_parts_t *settings_parts_parse (TALLOC_CTX *parent,
                                        const char *document, size_t size);
char *settings_revision_key_value (TALLOC_CTX *parent, uint64_t revision,
                                   const char *change_id);
char *settings_parts_format (TALLOC_CTX *parent,
                             const settings_parts_t *parts);

const zone_t *settings_zone (const settings_t *settings, const char *name);
const account_t *settings_account (const settings_t *settings,
                                   const char *name);
const service_t *settings_service (const settings_t *settings,
                                   const char *name);
const service_t *settings_match_service (const settings_t *settings,
                                         const char *path, const char *model);
const upstream_t *settings_upstream (const settings_t *settings,
                                     const char *name);
bool settings_zone_serves (const settings_t *settings, const char *name);
bool settings_is_repeatable (const settings_t *settings, const char *service,
                             const char *method, const char *path);

#endif
