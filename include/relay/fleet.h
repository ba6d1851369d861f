#ifndef SISKIN_RELAY_FLEET_H
#define SISKIN_RELAY_FLEET_H

#include "common/rules.h"
#include "common/upstream_listing.h"
#include "kernel/clock.h"
#include "plugins/pick.h"

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <time.h>

/* The upstreams that this relay knows and the choice among them.  Safe to call
   from every worker; it knows no messages.  */
typedef struct fleet fleet_t;

enum
{
  FLEET_MAX_TRIED = 16
};

/* What the choice has to know of a request.  */
typedef struct fleet_request
{
  const char *service;
  const route_t *route; /* for the regions it allows */
  bool is_late; /* it gets only room that others are not about to need */
  pick_request_t work;
  const char *tried[FLEET_MAX_TRIED]; /* ids of upstreams to leave out */
  unsigned tried_count;
} fleet_request_t;

/* Why no upstream can be chosen.  */
typedef enum fleet_shortage
{
  FLEET_SHORTAGE_NONE,
  FLEET_NONE_LISTED,  /* the service has no upstream, as far as is known */
  FLEET_NONE_ALLOWED, /* all are leaving, in zones out, or were tried */
  FLEET_ALL_COLD,     /* those left bear no more while in cold start */
  FLEET_ALL_FAILING,  /* those left do not answer */
  FLEET_ALL_FULL,     /* one request more would slow the others too much */
  FLEET_ALL_STALLED,  /* the groups of those left take no steps */
  FLEET_SHORTAGE_COUNT
} fleet_shortage_t;

/* Where a request goes; strings belong to the caller's talloc context.  */
typedef struct fleet_choice
{
  const char *upstream; /* id */
  const char *address;
  const char *zone;
  const char *reason; /* a constant, for the log */
  bool is_cold;
  unsigned candidates;
  uint64_t running;      /* requests of this relay there, without this one */
  int64_t report_age_ms; /* of the upstream's load; -1: never told */
} fleet_choice_t;

/* How a request at an upstream ended, for the choice.  */
typedef enum fleet_result
{
  FLEET_SERVED,
  FLEET_FAILED,      /* it answered with a failure of its own */
  FLEET_DECLINED,    /* it did not run the request: full or leaving */
  FLEET_MISDIRECTED, /* another upstream has its address */
  FLEET_UNREACHABLE, /* no connection */
  FLEET_INTERRUPTED, /* the answer broke off, or none came */
  FLEET_TIMED_OUT,   /* given up for want of an answer */
  FLEET_CLIENT_LEFT  /* ended by the client */
} fleet_result_t;

/* What the pilot beside an upstream tells of it.  */
typedef struct fleet_report
{
  const char *group; /* "" for none */
  uint64_t epoch;
  bool is_open; /* the group takes steps */
  uint64_t step;
  uint64_t running;
  uint64_t waiting;
  uint64_t used_tokens;
  uint64_t total_tokens;
  double pace; /* over 1: slower than usual */
} fleet_report_t;

fleet_t *fleet_create (TALLOC_CTX *parent, const char *zone,
                       const clock_source_t *clock, uint64_t seed);
void fleet_destroy (fleet_t *fleet);
void fleet_add_zone (fleet_t *fleet, const char *zone, const char *region);
void fleet_configure (fleet_t *fleet, const rules_t *rules);
void fleet_set_relays (fleet_t *fleet, unsigned count);
bool fleet_update_upstream (fleet_t *fleet, const upstream_listing_t *listing);
bool fleet_remove_upstream (fleet_t *fleet, const char *id);
void fleet_set_zone_out (fleet_t *fleet, const char *zone, bool is_out);
unsigned fleet_upstream_count (fleet_t *fleet);

fleet_shortage_t fleet_choose (fleet_t *fleet, TALLOC_CTX *parent,
                               const fleet_request_t *request,
                               fleet_choice_t *choice);
void fleet_release (fleet_t *fleet, const char *id, const pick_request_t *work,
                    fleet_result_t result, int64_t took_ms);
double fleet_mean_response_ms (fleet_t *fleet, const char *service);
bool fleet_is_silence_expected (fleet_t *fleet, const char *id,
                                struct timespec heard_at);
void fleet_record_load (fleet_t *fleet, const char *id, uint64_t running,
                        uint64_t waiting, uint64_t slots);
bool fleet_record_report (fleet_t *fleet, const char *address,
                          const fleet_report_t *report);
const char *fleet_shortage_name (fleet_shortage_t shortage);
const char *fleet_result_name (fleet_result_t result);

#endif
