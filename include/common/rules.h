#ifndef SISKIN_COMMON_RULES_H
#define SISKIN_COMMON_RULES_H

#include "common/name_index.h"
#include "common/priority_set.h"
#include "kernel/status.h"

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>
#include <talloc.h>
#include <time.h>

/* The operators' rules for relays, read from a catalog plug-in: the routes
   from requests to services, the client accounts and the limits on what
   clients may send.  Entries and agents do not use them; their counterpart is
   settings_t, one part of which, a TOML file, is also called rules (see
   settings_parts_t) but has another format.  A version is immutable and
   reference-counted.  */
typedef struct rules rules_t;

enum
{
  RULES_MAX_URGENCY = 9
};

/* Whether the requests of a route may be repeated.  */
typedef enum route_kind
{
  ROUTE_REPEATABLE,   /* may run any number of times */
  ROUTE_AT_MOST_ONCE, /* runs at most once */
  ROUTE_STREAM        /* the response is a stream of events; may be repeated
                         only if is_resumable is set */
} route_kind_t;

/* A service that gets WEIGHT of every weight_total requests of a route.  */
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
  const char *prefix; /* path prefix; begins and ends with a slash */
  route_kind_t kind;
  bool is_resumable; /* another upstream can continue an interrupted stream */
  bool is_public;    /* requests need no account key */
  struct timespec timeout;   /* of a request, with all its attempts */
  struct timespec objective; /* latency objective for the response, or a
                                stream's first event */
  struct timespec gap_limit; /* maximum time between two events of a stream;
                                zero for none */
  /* Maximum number of attempts that may have run a request, including the
     first.  Attempts that are known not to have run it do not count; the relay
     limits them separately.  */
  unsigned max_attempts;
  int64_t priority; /* 0 comes first; see rules_urgency */
  STAILQ_HEAD (, route_target) targets;
  unsigned weight_total;                /* sum of the weights of TARGETS */
  STAILQ_HEAD (, route_region) regions; /* allowed; any if empty */
} route_t;

/* A client account of a relay, identified by the key of a request.  The
   counterpart for entries and agents is account_t in settings.h.  */
typedef struct client_account
{
  STAILQ_ENTRY (client_account) link;
  const char *name;
  bool has_priority;
  int64_t priority; /* comes before the route's; see rules_urgency */
} client_account_t;

/* Performance and capacity of the model engines of a service.  An engine
   processes its running requests together, in repeated passes.  A pass that
   generates tokens consists of one or more token steps, each of which
   generates the next token.  The layers of the model are divided into layer
   sets: all layers of a set select the same experts for a token, so that a
   rank holds an expert in all layers of the set or in none.  */
typedef struct engine_profile
{
  unsigned token_steps_per_pass; /* in a pass that generates tokens */
  double step_ms;                /* duration of a token step */
  double prompt_tokens_per_ms;   /* prompt tokens processed per ms */
  /* Time that reading a prompt takes in addition, for each million pairs of
     its tokens.  */
  double million_pairs_ms;
  unsigned prompt_chunk_tokens; /* of a prompt, read in a pass at most */
  /* Time that each running request adds to a token step, and that each 1,000
     tokens of its context add.  */
  double request_step_ms;
  double context_step_ms;
  unsigned slots; /* requests that an engine runs at once */
  double typical_prompt_tokens;
  double typical_response_tokens;
  bool has_experts;
  unsigned layer_sets; /* number of them */
  unsigned experts;    /* per layer set */
  /* Experts of a layer set whose weights a rank can hold.  An expert that
     several ranks hold takes a slot on each of them.  */
  unsigned expert_slots;
  unsigned max_expert_loads; /* experts of a layer set that a rank can load for
                                one change of the expert map */
  /* Time for a rank to load the weights of one expert.  */
  double expert_load_s;
  /* Time from the failure of a group until it accepts requests again.  */
  struct timespec group_recovery_time;
  /* Age of the values in a report that is requested from another machine than
     the engine's own; zero if unknown.  */
  struct timespec report_lag;
} engine_profile_t;

typedef struct service_rule
{
  STAILQ_ENTRY (service_rule) link;
  const char *name;
  struct timespec cold_time; /* duration of the cold start of an upstream */
  double cold_rate; /* maximum requests per second to an upstream in cold
                       start; 0 for no limit */
  /* Minimum of the gap limits of the routes to the service; zero for none.  */
  struct timespec gap_limit;
  bool has_engine; /* ENGINE is set: the upstreams are model engines */
  engine_profile_t engine;
} service_rule_t;

/* Limits on requests from clients.  */
typedef struct client_limits
{
  size_t header_bytes; /* request line and header fields */
  size_t body_bytes;
  struct timespec header_timeout; /* maximum time to receive a request */
  struct timespec idle_timeout;   /* of a connection between two requests */
} client_limits_t;

struct rules
{
  atomic_uint references;
  uint64_t version; /* higher in each new version */
  client_limits_t limits;
  bool has_accounts; /* only public routes accept requests without an
                        account key */
  STAILQ_HEAD (, route) routes;
  STAILQ_HEAD (, client_account) accounts;
  STAILQ_HEAD (, service_rule) services;
  priority_set_t account_priorities;
  priority_set_t route_priorities;
  name_index_t route_index; /* finds routes by host and prefix */
  name_index_t key_index;   /* finds client accounts by key */
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
/* Returns the urgency of a request, from 0, the most urgent, to
   RULES_MAX_URGENCY.  ACCOUNT is NULL for none.  */
unsigned rules_urgency (const rules_t *rules, const route_t *route,
                        const client_account_t *account);
bool route_is_repeatable (const route_t *route);
bool route_allows_region (const route_t *route, const char *region);
const char *route_choose_target (const route_t *route, uint64_t random_number);

#endif
