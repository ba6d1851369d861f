#ifndef SISKIN_RELAY_FLEET_H
#define SISKIN_RELAY_FLEET_H

#include "common/rate_limits.h"
#include "common/rules.h"
#include "common/upstream_listing.h"
#include "kernel/clock.h"
#include "plugins/pick.h"
#include "relay/work_model.h"

#include <stdbool.h>
#include <stdint.h>
#include <talloc.h>
#include <time.h>

/* The upstreams that this relay knows, and the choice of one for each request.
   Callable from every worker; independent of the encoding of messages.  */
typedef struct fleet fleet_t;

enum
{
  FLEET_MAX_TRIED = 16,
  /* A request that no upstream can take is queued for this long at most:
     clients close streams without data after 2 s.  */
  FLEET_MAX_QUEUE_MS = 1600
};

/* The properties of a request that determine the choice.  */
typedef struct fleet_request
{
  const char *service;
  const route_t *route; /* limits the regions of the upstream */
  /* The request has waited so long that it is likely to miss the response time
     objective of its route.  It gets only a part of the capacity, so that it
     does not make requests miss theirs that can still meet it.  */
  bool is_late;
  unsigned urgency; /* see rules_urgency */
  /* The request may use capacity that is reserved for more urgent ones.  */
  bool is_guaranteed;
  pick_request_t work; /* size and prompt prefix of the request */
  const char *account; /* of the client; NULL for none */
  /* The client's estimate of the output tokens; 0 for none.  */
  uint64_t hinted_tokens;
  uint64_t past_events; /* of a stream, that the client already has */
  const char *tried[FLEET_MAX_TRIED]; /* ids of upstreams to exclude */
  unsigned tried_count;
} fleet_request_t;

/* The reason why no upstream can be chosen.  If the upstreams are excluded for
   different reasons, the one that is listed last here is reported.  So an ALL_
   value means that at least one upstream is excluded for this reason, and each
   of the others for this one or one listed before it.  */
typedef enum fleet_shortage
{
  FLEET_NO_SHORTAGE, /* an upstream was chosen */
  FLEET_NO_UPSTREAM, /* no upstream is known for the service */
  /* Draining, replaced by another upstream at the same address, in a zone that
     is out of service, in a region that the route does not allow, or tried
     before.  */
  FLEET_NO_ALLOWED_UPSTREAM,
  /* In groups that have been closed for so long that a request would wait in
     vain.  */
  FLEET_NO_GROUP,
  FLEET_ALL_PAUSED,  /* have asked this relay for no requests for a time */
  FLEET_ALL_COLD,    /* in cold start, and at the rate limit for it */
  FLEET_ALL_LIMITED, /* at the rate limit that they have named */
  /* They have reported no free capacity, or this relay has used its share of
     the total.  */
  FLEET_ALL_FULL,
  FLEET_ALL_STALLED, /* in a group that takes no steps */
  FLEET_SHORTAGE_COUNT
} fleet_shortage_t;

/* The work of a request at the upstream that was chosen for it, and the part
   of it that is counted there.  */
typedef struct fleet_work
{
  work_estimate_t estimate;
  uint64_t instance; /* of the upstream, as the fleet knows it */
  uint64_t events;   /* received */
  uint64_t counted_us;
  uint64_t counted_read_us; /* part of it until the prompt is read */
} fleet_work_t;

/* The chosen upstream.  Strings belong to the caller's talloc context.  */
typedef struct fleet_choice
{
  const char *upstream; /* id */
  uint64_t incarnation; /* hash of the id and the start time */
  const char *address;
  const char *zone;
  const char *reason;  /* a constant, for the log */
  bool is_cold;        /* the upstream is in cold start */
  unsigned candidates; /* eligible upstreams among which it was chosen */
  /* Requests of this relay outstanding there before this one.  */
  uint64_t running;
  /* Age of the upstream's load report; -1 if there is none.  */
  int64_t report_age_ms;
  fleet_work_t work;
  /* Work of this relay's requests there before this one.  */
  uint64_t backlog_us;
} fleet_choice_t;

/* The result of a request at an upstream.  */
typedef enum fleet_result
{
  FLEET_SERVED,
  FLEET_FAILED,      /* server error (5xx) */
  FLEET_DECLINED,    /* the upstream, full or draining, did not run it */
  FLEET_MISDIRECTED, /* another upstream has the address now */
  FLEET_UNREACHABLE, /* no connection, so the request was not sent */
  FLEET_INTERRUPTED, /* truncated, missing or unusable response */
  FLEET_TIMED_OUT,   /* aborted because no data arrived in time */
  FLEET_CLIENT_LEFT  /* the client disconnected, or this process has no memory
                        for the response; says nothing about the
                        upstream */
} fleet_result_t;

/* What a listing has changed.  */
typedef enum fleet_update
{
  FLEET_UNCHANGED,
  FLEET_CHANGED,         /* the upstream is new, or its state changed */
  FLEET_LISTING_OUTDATED /* older than what is known; has no effect */
} fleet_update_t;

/* What an upstream says of itself in a response.  */
typedef struct fleet_notice
{
  bool is_leaving;
  struct timespec pause; /* for which it wants no requests of this relay */
} fleet_notice_t;

/* A report on an upstream from the pilot beside it.  */
typedef struct fleet_report
{
  const char *group; /* "" for none */
  uint64_t epoch;
  bool is_open; /* the group takes steps */
  uint64_t step;
  uint64_t running;
  uint64_t waiting;
  uint64_t used_tokens;  /* in use in the KV cache */
  uint64_t total_tokens; /* capacity of the KV cache */
  /* Step time relative to its baseline; 1 is normal, higher is slower.  */
  double slowdown;
} fleet_report_t;

/* Returns a hash that identifies an upstream from its start, in milliseconds,
   to its end, in all processes.  */
uint64_t fleet_incarnation (const char *id, int64_t started_ms);
fleet_t *fleet_create (TALLOC_CTX *parent, const char *zone,
                       const clock_source_t *clock, uint64_t seed);
void fleet_destroy (fleet_t *fleet);
void fleet_add_zone (fleet_t *fleet, const char *zone, const char *region);
void fleet_configure (fleet_t *fleet, const rules_t *rules);
/* Returns false and does nothing if the service or the policy is unknown.  */
bool fleet_set_policy (fleet_t *fleet, const char *name, const char *policy);
void fleet_set_share (fleet_t *fleet, const rate_share_t *share);
/* LIMITS must remain valid; without it no upstream has a limit.  */
void fleet_set_rate_limits (fleet_t *fleet, rate_limits_t *limits);
fleet_update_t fleet_update_upstream (fleet_t *fleet,
                                      const upstream_listing_t *listing);
bool fleet_remove_upstream (fleet_t *fleet, const char *id);
void fleet_set_zone_out (fleet_t *fleet, const char *zone, bool is_out);
unsigned fleet_upstream_count (fleet_t *fleet);

/* Counts a request for SERVICE that has arrived, for the capacity that is
   reserved for those of its urgency.  */
void fleet_count_request (fleet_t *fleet, const char *service,
                          unsigned urgency);
fleet_shortage_t fleet_choose (fleet_t *fleet, TALLOC_CTX *parent,
                               const fleet_request_t *request,
                               fleet_choice_t *choice);
/* Must be called once for each successful fleet_choose: when the attempt has
   ended, ELAPSED_MS milliseconds after the request was sent to the upstream,
   or at once with 0 if it could not be sent.  */
void fleet_release (fleet_t *fleet, const char *id, const pick_request_t *work,
                    fleet_result_t result, int64_t elapsed_ms);
/* Must be called when EVENTS events in all have been received from the chosen
   upstream; it need not be called for each one.  */
void fleet_record_events (fleet_t *fleet, fleet_choice_t *choice,
                          uint64_t events);
/* Must be called once before fleet_release, with the same result and time,
   after the last call of fleet_record_events.  */
void fleet_finish_work (fleet_t *fleet, fleet_choice_t *choice,
                        fleet_result_t result, int64_t elapsed_ms);
/* 0 if it is unknown.  */
double fleet_mean_response_ms (fleet_t *fleet, const char *service);
/* Returns whether a known reason explains that the upstream ID has sent no
   data since LAST_RECEIVED_AT: requests are queued there, or its group has
   taken no steps or only a few since then.  */
bool fleet_is_silence_expected (fleet_t *fleet, const char *id,
                                struct timespec last_received_at);
/* The load of an upstream comes from two sources.  A response header gives the
   load of the upstream that served the request, whose id is known.  A pilot
   reports on the engine beside it, which it knows by its address only.  While
   the last report of a pilot is recent, loads of response headers are
   ignored.  */
void fleet_record_load (fleet_t *fleet, const char *id, uint64_t running,
                        uint64_t waiting, uint64_t slots);
bool fleet_record_report (fleet_t *fleet, const char *address,
                          const fleet_report_t *report);
void fleet_record_notice (fleet_t *fleet, const char *id, uint64_t incarnation,
                          const fleet_notice_t *notice);
struct timespec fleet_pause_left (fleet_t *fleet, const char *service);
bool fleet_shortage_is_temporary (fleet_shortage_t shortage);
const char *fleet_shortage_name (fleet_shortage_t shortage);
const char *fleet_result_name (fleet_result_t result);

#endif
