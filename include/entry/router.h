#ifndef SISKIN_ENTRY_ROUTER_H
#define SISKIN_ENTRY_ROUTER_H

#include "common/outcome.h"
#include "common/settings.h"
#include "kernel/clock.h"
#include "kernel/table.h"
#include "plugins/pick.h"

#include <stdbool.h>
#include <stdint.h>

/* The entry's table of upstreams and the choice among them.  Safe to call from
   every worker.  Independent of the messages in which requests arrive.  */
typedef struct router router_t;

enum
{
  ROUTER_MAX_ATTEMPTS = 10
};

/* The properties of a request that the choice of an upstream depends on.  */
typedef struct router_request
{
  const char *service;
  /* A service may have several models, and an upstream of it may serve one of
     them or all.  "" accepts any upstream of the service.  */
  const char *model;
  pick_request_t work;
  const char *tried[ROUTER_MAX_ATTEMPTS]; /* names of upstreams to exclude */
  unsigned tried_count;
} router_request_t;

/* Result of router_choose: the upstream chosen for a request.  The strings
   belong to the talloc context given to router_choose, except REASON, which is
   a constant.  */
typedef struct router_choice
{
  const char *upstream;
  const char *zone;
  const char *policy;  /* name of the pick policy */
  const char *reason;  /* why the policy chose it, for the log */
  unsigned candidates; /* eligible upstreams among which it was chosen */
} router_choice_t;

/* An upstream in the subset that this entry keeps connections to.  */
typedef struct router_target
{
  SLIST_ENTRY (router_target) link;
  const char *upstream;
  const char *address;
} router_target_t;

SLIST_HEAD (router_target_list, router_target);
typedef struct router_target_list router_target_list_t;

router_t *router_create (TALLOC_CTX *parent, const char *zone,
                         const clock_source_t *clock, uint64_t seed,
                         unsigned worker_count);
void router_destroy (router_t *router);
status_t router_configure (router_t *router, const settings_t *settings);
void router_list_targets (router_t *router, TALLOC_CTX *parent,
                          router_target_list_t *targets);
/* Records whether WORKER has an open connection to the agent of the upstream
   NAME.  */
void router_set_reachable (router_t *router, const char *name, unsigned worker,
                           bool is_reachable);
/* IS_LEAVING: the agent reports that it accepts no new requests.  */
void router_record_report (router_t *router, const char *name,
                           const pick_report_t *report, bool is_leaving);
status_t router_choose (router_t *router, TALLOC_CTX *parent, unsigned worker,
                        const router_request_t *request,
                        router_choice_t *choice);
void router_release (router_t *router, const char *name,
                     const pick_request_t *work);
bool router_reserve_retry (router_t *router);
/* Excludes the upstream NAME until its next report, because its agent has
   refused a request and accepts no new ones.  */
void router_exclude_until_report (router_t *router, const char *name);
/* Records that the upstream NAME has stored the prompt prefixes BLOCKS
   (hashes, see pick_request_t) in its cache or, unless IS_STORED, has evicted
   them.  */
void router_record_cached_blocks (router_t *router, const char *name,
                                  const uint64_t *blocks, size_t count,
                                  bool is_stored);
/* NAME is a service in both.  The typical time to first byte decides whether a
   retry can still meet the deadline of a request; it is 0 until a first value
   is recorded, so that any time left is enough.  */
void router_record_first_byte (router_t *router, const char *name,
                               int64_t milliseconds);
int64_t router_typical_first_byte_ms (router_t *router, const char *name);

#endif
