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
  UPSTREAM_PLAIN  /* a booking or registry service */
} upstream_kind_t;

typedef struct zone
{
  STAILQ_ENTRY (zone) link;
  const char *name;
  const char *region;
  bool serves; /* by the rules */
  bool is_out; /* taken out by an operator */
  unsigned line;
} zone_t;

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
  const char *kind_text;
  upstream_kind_t kind;
  const char *path; /* prefix of the request path */
  schema_strings_t models;
  const char *pick; /* name of a pick plug-in */
  unsigned line;
} service_t;

/* Requests that run at most once.  */
typedef struct at_most_once_rule
{
  STAILQ_ENTRY (at_most_once_rule) link;
  const char *service;
  const char *method; /* "": all but GET, HEAD and OPTIONS */
  const char *path;   /* prefix */
  unsigned line;
} at_most_once_rule_t;

/* An upstream as the asset register lists it.  */
typedef struct upstream
{
  STAILQ_ENTRY (upstream) link;
  const char *name;
  const char *address; /* of the agent beside it */
  const char *zone;
  upstream_kind_t kind;
  const char *service;
  const char *model;
  const char *group; /* lock-step group, or "" */
  int64_t rank;
  bool is_draining;
  unsigned line;
} upstream_t;

/* An entry VM as the asset register lists it.  */
typedef struct entry_vm
{
  STAILQ_ENTRY (entry_vm) link;
  const char *name;
  const char *address;
  const char *zone;
  const char *admin; /* where its health page is, or "" */
  unsigned line;
} entry_vm_t;

typedef struct request_limits
{
  int64_t body_bytes;
  struct timespec default_deadline;
  struct timespec maximum_deadline;
} request_limits_t;

typedef struct admission_settings
{
  const char *policy; /* name of an admission plug-in */
  const char *order;  /* name of an order plug-in */
  int64_t cold_requests;
  int64_t cold_tokens;
  int64_t maximum_requests;
  int64_t maximum_tokens;
  int64_t queue_requests;
  struct timespec slow_first_token; /* a sign of a cold upstream */
} admission_settings_t;

typedef struct retry_settings
{
  double budget_ratio; /* retries allowed for each first try */
  int64_t attempts;    /* including the first */
} retry_settings_t;

typedef struct claim_settings
{
  const char *journal; /* name of a journal plug-in */
  struct timespec retention;
  struct timespec linger; /* how long a claim waits for others */
  bool requires_key_time;
} claim_settings_t;

typedef struct placement_settings
{
  const char *policy; /* name of a placement plug-in */
  struct timespec interval;
  double minimum_gain; /* of step time, before a map is changed */
} placement_settings_t;

/* One revision of the settings; immutable and shared by reference.  */
typedef struct settings
{
  atomic_uint references;
  uint64_t revision;
  const char *change_id;
  const char *changed_by;
  const char *changed_why;
  const char *changed_at; /* UTC, ISO 8601 */
  const char *document;   /* what this was read from */
  size_t document_size;
  const char *site;
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

/* The parts that a revision is made of, as the store keeps them.  */
typedef struct settings_parts
{
  uint64_t revision;
  const char *change_id;
  const char *changed_by;
  const char *changed_why;
  const char *changed_at;
  const char *rules;     /* TOML */
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
