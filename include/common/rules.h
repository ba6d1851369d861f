#ifndef SISKIN_COMMON_RULES_H
#define SISKIN_COMMON_RULES_H

#include "common/name_index.h"
#include "kernel/status.h"

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>
#include <time.h>

/* What the operators want: which requests go to which service, whose they
   are, and what clients may send.  One version is immutable and shared by
   reference.  */
typedef struct rules rules_t;

/* What may be repeated.  */
typedef enum route_kind
{
  ROUTE_REPEATABLE,   /* may run any number of times */
  ROUTE_AT_MOST_ONCE, /* runs at most once */
  ROUTE_STREAM        /* a stream of events; see is_resumable */
} route_kind_t;

/* A part of a route's traffic.  */
typedef struct route_target
{
  STAILQ_ENTRY (route_target) link;
  const char *service;
  unsigned weight;
} route_target_t;

/* A region whose upstreams a request may reach.  */
typedef struct route_region
{
  STAILQ_ENTRY (route_region) link;
  const char *name;
} route_region_t;

typedef struct route
{
  STAILQ_ENTRY (route) link;
  const char *name;
  const char *host;   /* lower case, without a port */
  const char *prefix; /* of the path; begins and ends with a slash */
  route_kind_t kind;
  bool is_resumable; /* a stream may go on at another upstream */
  bool is_public;    /* needs no key */
  struct timespec timeout;
  struct timespec objective; /* for the answer, or a stream's first event */
  struct timespec gap_limit; /* between events; zero for none */
  unsigned attempts;         /* upstreams that one request may be sent to */
  int64_t priority;          /* 0 comes first */
  STAILQ_HEAD (, route_target) targets;
  unsigned weight_total;
  STAILQ_HEAD (, route_region) regions; /* empty: any */
} route_t;

/* A customer of the operators.  */
typedef struct client_account
{
  STAILQ_ENTRY (client_account) link;
  const char *name;
  bool has_priority; /* takes the place of the route's */
  int64_t priority;
} client_account_t;

/* How a model engine works through its batch, in pass after pass.  */
typedef struct engine_profile
{
  unsigned token_steps_per_pass;  /* token steps in a pass that writes */
  double step_ms;                 /* each token step */
  double prompt_tokens_per_ms;    /* prompt tokens read in a ms */
  double typical_prompt_tokens;   /* tokens */
  double typical_response_tokens; /* tokens */
  bool has_experts;
  unsigned layers;      /* sets of layers that share a choice of experts */
  unsigned experts;     /* of a layer set */
  unsigned places;      /* replicas that a rank holds of a layer set */
  unsigned spare;       /* new experts that a rank may load at a time */
  double expert_load_s; /* a rank takes to load the weights of one */
  struct timespec group_recovery_time; /* until a broken group is open again */
} engine_profile_t;

typedef struct service_rule
{
  STAILQ_ENTRY (service_rule) link;
  const char *name;
  struct timespec cold_time; /* after a start */
  double cold_rate;          /* requests a second while cold; 0: any */
  /* The shortest that a route to the service has; zero for none.  */
  struct timespec gap_limit;
  bool has_engine;
  engine_profile_t engine;
} service_rule_t;

typedef struct client_limits
{
  size_t header_bytes;
  size_t body_bytes;
  struct timespec header_timeout;
  struct timespec idle_timeout;
} client_limits_t;

struct rules
{
  atomic_uint references;
  uint64_t version; /* rises from each to the next */
  client_limits_t limits;
  bool has_accounts; /* requests carry a key */
  STAILQ_HEAD (, route) routes;
  STAILQ_HEAD (, client_account) accounts;
  STAILQ_HEAD (, service_rule) services;
  name_index_t route_index; /* by host and prefix */
  name_index_t key_index;   /* client_account_t by key */
  name_index_t service_index;
};

rules_t *rules_create (uint64_t version);
route_t *rules_add_route (rules_t *rules, const char *name, const char *host,
                          const char *prefix);
void route_add_target (route_t *route, const char *service, unsigned weight);
void route_add_region (route_t *route, const char *region);
client_account_t *rules_add_account (rules_t *rules, const char *name);
void rules_add_key (rules_t *rules, const char *key,
                    const client_account_t *account);
service_rule_t *rules_add_service (rules_t *rules, const char *name);
void rules_finish (rules_t *rules);
rules_t *rules_retain (rules_t *rules);
void rules_release (rules_t *rules);

const route_t *rules_route (const rules_t *rules, const char *host,
                            const char *target);
const client_account_t *rules_account_by_key (const rules_t *rules,
                                              const char *key);
const service_rule_t *rules_service (const rules_t *rules, const char *name);
bool route_is_repeatable (const route_t *route);
bool route_allows_region (const route_t *route, const char *region);
const char *route_choose_target (const route_t *route, uint64_t draw);

#endif
