#ifndef SISKIN_RELAY_FLEET_STATE_H
#define SISKIN_RELAY_FLEET_STATE_H

#include "kernel/histogram.h"
#include "kernel/table.h"
#include "relay/event_rate.h"
#include "relay/fleet.h"
#include "relay/fleet_explanation.h"
#include "relay/pass_model.h"

#include <sys/queue.h>

/* State shared by the source files of the fleet.  */
typedef struct fleet_service fleet_service_t;
typedef struct fleet_upstream fleet_upstream_t;

/* An availability zone.  */
typedef struct fleet_zone
{
  SLIST_ENTRY (fleet_zone) link;
  char *name;
  char *region;
  bool is_out;
} fleet_zone_t;

/* Token bucket that limits the requests to an upstream in cold start.  */
typedef struct cold_bucket
{
  double tokens;
  struct timespec filled_at; /* last time that tokens were added */
} cold_bucket_t;

/* Recent failures of an upstream.  */
typedef struct upstream_health
{
  unsigned connect_failures; /* consecutive connection failures */
  /* Before this time the upstream is chosen only if no upstream that is not
     ejected can be chosen.  */
  struct timespec ejected_until;
  double failure_ratio; /* moving average of the share of failed requests */
} upstream_health_t;

enum
{
  QUOTA_UNITS_PER_REQUEST = 1000
};

/* Capacity for requests that was free in the last reports, and the requests
   that this relay has sent since.  In units of a thousandth of a request, so
   that sums are exact.  */
typedef struct fleet_quota
{
  int64_t free;
  /* The same for requests that are likely to miss their response time
     objective (fleet_request_t.is_late); at most FREE.  */
  int64_t late_free;
  /* The same where the requests of the service differ in urgency.  */
  int64_t class_late_free;
  /* The part of FREE that can run at once, without being queued.  */
  int64_t idle;
  int64_t sent;
} fleet_quota_t;

/* The capacity that one request may use.  */
typedef struct quota_use
{
  bool is_late;
  /* The requests of the service differ in urgency, so that RESERVE says what
     this one has to leave to others.  */
  bool has_classes;
  /* Requests that this relay has to leave room for, those more urgent.  Where
     there are any, this one is not queued at an upstream.  */
  double reserve;
} quota_use_t;

/* What this relay may use of the capacity of all upstreams that a request may
   use, in the units of fleet_quota_t.  */
typedef struct quota_share
{
  int64_t free;    /* in all, for all relays */
  int64_t share;   /* of this relay */
  int64_t reserve; /* part of SHARE that is left to other requests */
  int64_t rounding;
  int64_t sent; /* since the last reports */
} quota_share_t;

/* The work of a request before an upstream is chosen.  */
typedef struct work_sizing
{
  work_estimate_t estimate;
  pick_request_t request; /* what the policy sees */
  double mean_work_us;    /* of the service's requests, with this one */
} work_sizing_t;

/* What a choice sees of one upstream.  */
typedef struct upstream_verdict
{
  fleet_obstacle_t obstacle;
  fleet_preference_t preference;
} upstream_verdict_t;

/* The upstream that is found for a request, and why.  */
typedef struct upstream_choice
{
  fleet_shortage_t shortage;  /* FLEET_NO_SHORTAGE if there are candidates */
  fleet_upstream_t *upstream; /* NULL for none */
  const char *reason;         /* a constant */
  unsigned count;             /* of the candidates */
  work_sizing_t sizing;       /* valid if there is an UPSTREAM */
  quota_use_t use;
  quota_share_t share;
} upstream_choice_t;

/* A group of upstreams, its ranks, that take their steps together.  */
typedef struct fleet_group
{
  LIST_ENTRY (fleet_group) link;
  char *name;
  uint64_t epoch;
  bool is_open;                 /* it takes steps */
  struct timespec closed_since; /* valid unless IS_OPEN */
  unsigned known_ranks;         /* upstreams whose group it is */
  uint64_t running_requests;    /* sum over them, as last reported */
  uint64_t cache_tokens;        /* in use in their KV caches, likewise */
  pass_model_t passes;
  uint64_t step;
  struct timespec last_step_at; /* when the last step was observed */
  struct timespec last_report_at;
  bool is_stalled; /* has work but takes no steps */
  /* When the group was last seen not IS_OPEN or in a new epoch.  Its streams
     could get no data until then, so the silence of a stream is measured from
     the later of this time and its last data.  */
  struct timespec last_disrupted_at;
  double mean_step_ms; /* moving average; 0 if unknown */
  /* Mean time of the steps between the last two reports that showed progress;
     unlike MEAN_STEP_MS it includes a stall of the group.  */
  double last_step_ms;
} fleet_group_t;

/* Requests whose work is counted, and what is left of it.  */
typedef struct fleet_backlog
{
  uint64_t requests;
  uint64_t work_us;
  uint64_t read_us; /* part of it until their prompts are read */
} fleet_backlog_t;

struct fleet_upstream
{
  table_node_t node;
  table_node_t address_node;
  STAILQ_ENTRY (fleet_upstream) link; /* in SERVICE's list */
  fleet_service_t *service;
  char *id;
  char *address;
  fleet_zone_t *zone;
  int64_t started_ms;
  uint64_t incarnation;         /* see fleet_incarnation */
  unsigned slots;               /* requests that it can run at once */
  int64_t heartbeat;            /* of its newest listing */
  bool is_draining;             /* its listing or a response says so */
  struct timespec paused_until; /* it wants no requests of this relay */
  /* Another upstream is taken to be at its address until then.  */
  struct timespec replaced_until;
  struct timespec cold_until; /* monotonic */
  cold_bucket_t cold;
  upstream_health_t health;
  fleet_group_t *group; /* NULL if none is known */
  /* The last report showed that it slows down its group.  The report may be
     outdated, which fleet_upstream_is_slow takes into account.  */
  bool is_slow;
  struct timespec reported_at;   /* last report of its pilot */
  fleet_quota_t quota;           /* valid while quota_is_known */
  int64_t quota_rounding;        /* below QUOTA_UNITS_PER_REQUEST; random */
  fleet_preference_t preference; /* set and used within fleet_choose */
  fleet_backlog_t backlog;       /* of this relay's requests */
  /* Differs from that of an upstream with the same id that was removed, also
     if that is the same run.  */
  uint64_t instance;
  /* What the policy sees of the upstream.  Kept up to date; its strings belong
     to the upstream.  */
  pick_candidate_t candidate;
};

struct fleet_service
{
  STAILQ_ENTRY (fleet_service) link;
  char *name;
  bool is_in_rules;
  struct timespec cold_time; /* duration of a cold start */
  /* Limit on the requests per second of all relays together to an upstream in
     cold start; 0: no limit.  */
  double cold_rate;
  /* Step time of a group without requests, from the engine profile in the
     rules.  Together with the measured step time it gives the number of
     requests that keeps the step time within STEP_LIMIT_MS.  */
  double idle_step_ms;
  /* Longest step time allowed.  A stream gets data at every step, so this is
     service_rule_t.gap_limit, the limit of the time between two events of a
     stream that the rules set for the service.  */
  double step_limit_ms;
  /* Typical number of prompt and output tokens of one request, which converts
     numbers of requests into tokens: each request takes one slot.  0 if
     unknown.  */
  double tokens_per_slot;
  bool has_engine; /* ENGINE is set */
  engine_profile_t engine;
  fleet_backlog_t backlog;   /* sum over UPSTREAMS */
  double mean_work_us;       /* moving average over new requests */
  double mean_events;        /* likewise, over responses */
  histogram_t *output_ratio; /* NULL without an engine */
  /* Moving average of the time to a complete response.  */
  double mean_response_ms;
  const pick_ops_t *ops;
  pick_t *pick;
  STAILQ_HEAD (, fleet_upstream) upstreams;
  int64_t quota_rounding; /* below QUOTA_UNITS_PER_REQUEST; random */
  struct timespec rounded_at;
  event_rate_t arrivals[RULES_MAX_URGENCY + 1]; /* by urgency */
};

/* An upstream, from its start to its end, that has left.  */
typedef struct departed_run
{
  TAILQ_ENTRY (departed_run) link;
  char *id;
  int64_t started_ms;
  int64_t heartbeat; /* of its last listing */
  struct timespec left_at;
  /* What it said of itself, which holds if it is listed again.  */
  bool is_draining;
  struct timespec paused_until;
} departed_run_t;

struct fleet
{
  const char *zone; /* zone of this relay */
  const clock_source_t *clock;
  uint64_t seed;         /* given to the policies; differs between relays */
  uint64_t random_state; /* state of the random number generator */
  rate_share_t share;    /* of the system's limits */
  rate_limits_t *limits; /* of the upstreams; NULL if there are none */
  work_model_t *work;
  uint64_t last_instance;          /* of fleet_upstream_t */
  struct timespec spread_shown_at; /* see work_show_spread */
  /* Entries of fleet_upstream_t by id; its lock protects the whole fleet.  */
  table_t *table;
  table_t *by_address; /* the same entries; protected by TABLE's lock */
  STAILQ_HEAD (, fleet_service) services;
  SLIST_HEAD (, fleet_zone) zones;
  LIST_HEAD (, fleet_group) groups;
  TAILQ_HEAD (, departed_run) departed; /* the oldest first */
  unsigned departed_count;
  /* Scratch arrays of fleet_choose with room for every upstream.  */
  const pick_candidate_t **candidates;
  fleet_upstream_t **candidate_upstreams;
};

fleet_upstream_t *fleet_find (const fleet_t *fleet, const char *id);
fleet_upstream_t *fleet_find_by_address (const fleet_t *fleet,
                                         const char *address);
/* Return a random number from 0 to below 1.  */
double fleet_random (fleet_t *fleet);
/* Return the one that fleet_random will return next.  */
double fleet_next_random (const fleet_t *fleet);
fleet_service_t *fleet_find_service (const fleet_t *fleet, const char *name);
/* Returns false, and changes nothing, when memory is exhausted.  */
bool service_set_policy (const fleet_t *fleet, fleet_service_t *service,
                         const pick_ops_t *ops);

/* Cold start of an upstream, whose requests are limited until its caches are
   filled (fleet_cold.c).  */
bool cold_start_is_active (const fleet_upstream_t *upstream,
                           struct timespec now);
bool cold_start_has_token (const fleet_t *fleet,
                           const fleet_upstream_t *upstream,
                           struct timespec now);
void cold_start_consume_token (const fleet_t *fleet,
                               fleet_upstream_t *upstream,
                               struct timespec now);
/* REMAINING comes from each listing of the upstream.  When its zone returns to
   service, it is the service's cold time until the next listing.  */
void cold_start_set_remaining (fleet_t *fleet, fleet_upstream_t *upstream,
                               struct timespec now, struct timespec remaining);

/* The rules of choice, which change nothing but the policy; the table must be
   locked (fleet_choice.c).  */
upstream_choice_t choice_find (const fleet_t *fleet,
                               const fleet_service_t *service,
                               const fleet_request_t *request, pick_t *pick,
                               struct timespec now);
upstream_verdict_t choice_verdict (const fleet_t *fleet,
                                   const upstream_choice_t *choice,
                                   const fleet_upstream_t *upstream,
                                   const fleet_request_t *request,
                                   struct timespec now);
bool fleet_upstream_is_replaced (const fleet_upstream_t *upstream,
                                 struct timespec now);
int64_t fleet_upstream_report_age_ms (const fleet_upstream_t *upstream,
                                      struct timespec now);

/* The load of an upstream and the state of its group, as last reported
   (fleet_report.c).  */
bool fleet_upstream_is_stalled (const fleet_t *fleet,
                                const fleet_upstream_t *upstream);
/* Whether the group of UPSTREAM has been closed for so long that a request
   would wait for it in vain.  HAS_CLASSES: the requests of its service differ
   in urgency.  */
bool fleet_upstream_has_lost_group (const fleet_t *fleet,
                                    const fleet_upstream_t *upstream,
                                    bool has_classes, struct timespec now);
bool fleet_upstream_is_full (const fleet_t *fleet,
                             const fleet_upstream_t *upstream,
                             const quota_use_t *use, bool is_share_used);
void fleet_upstream_record_load (const fleet_t *fleet,
                                 fleet_upstream_t *upstream, uint64_t running,
                                 uint64_t waiting);
bool fleet_upstream_has_recent_report (const fleet_t *fleet,
                                       const fleet_upstream_t *upstream);
bool fleet_upstream_is_silence_expected (const fleet_t *fleet,
                                         const fleet_upstream_t *upstream,
                                         struct timespec last_received_at);
/* False if the last report is too old to tell.  */
bool fleet_upstream_is_silent (const fleet_t *fleet,
                               const fleet_upstream_t *upstream);
bool fleet_upstream_is_slow (const fleet_t *fleet,
                             const fleet_upstream_t *upstream);

void fleet_upstream_set_group (fleet_upstream_t *upstream,
                               fleet_group_t *group);

/* The limit of a group in work (fleet_limit.c).  */
void group_record_pass (const fleet_service_t *service, fleet_group_t *group,
                        double pass_ms);
double work_request_limit (const fleet_upstream_t *upstream, double limit_ms);

/* This relay's share of the free capacity of a service (fleet_quota.c).  */
void quota_set (fleet_t *fleet, fleet_upstream_t *upstream, double limit,
                double current, bool is_filling);
void quota_clear (fleet_upstream_t *upstream);
bool quota_is_known (const fleet_t *fleet, const fleet_upstream_t *upstream);
void quota_count_sent (fleet_upstream_t *upstream);
void quota_count_ended (const fleet_t *fleet, fleet_upstream_t *upstream,
                        struct timespec duration);
void quota_add (const fleet_t *fleet, fleet_quota_t *total,
                const fleet_upstream_t *upstream);
void quota_draw_rounding (fleet_t *fleet, fleet_service_t *service,
                          struct timespec now);
quota_share_t quota_share_at (const fleet_t *fleet,
                              const fleet_service_t *service,
                              const fleet_quota_t *total,
                              const quota_use_t *use, struct timespec now);
bool quota_is_share_used (const quota_share_t *share);
quota_share_t quota_upstream_share (const fleet_t *fleet,
                                    const fleet_upstream_t *upstream,
                                    const quota_use_t *use);
bool quota_is_upstream_full (const fleet_upstream_t *upstream,
                             const quota_use_t *use);
bool quota_is_within_share (const fleet_t *fleet,
                            const fleet_upstream_t *upstream,
                            const quota_use_t *use);

/* Capacity that is kept for more urgent requests (fleet_reserve.c).  */
quota_use_t service_quota_use (const fleet_service_t *service,
                               const fleet_request_t *request,
                               struct timespec now);

/* The work of this relay's requests (fleet_work.c).  The table must be
   locked.  */
void service_set_engine (fleet_t *fleet, fleet_service_t *service,
                         const service_rule_t *rule);
/* Estimates the work of REQUEST without changing what is learned from it; see
   work_use_sizing.  */
work_sizing_t work_size_request (const fleet_t *fleet,
                                 const fleet_service_t *service,
                                 const fleet_request_t *request);
void work_use_sizing (fleet_t *fleet, fleet_service_t *service,
                      const work_sizing_t *sizing, struct timespec now);
double service_mean_events (const fleet_service_t *service);
void work_set_read_stretch (fleet_upstream_t *upstream);
void work_show_spread (fleet_t *fleet, struct timespec now);
void work_add_request (fleet_upstream_t *upstream, fleet_work_t *work);
void work_drop_upstream (fleet_upstream_t *upstream);

/* What upstreams say of themselves in responses (fleet_notice.c).  */
bool upstream_is_paused (const fleet_upstream_t *upstream,
                         struct timespec now);

/* Upstreams that have left, whose listings a restored store may show again
   (fleet_departed.c).  */
void departed_add (fleet_t *fleet, const fleet_upstream_t *upstream);
bool departed_covers (fleet_t *fleet, const upstream_listing_t *listing);
void departed_restore (const fleet_t *fleet, fleet_upstream_t *upstream);

/* Ejection of an upstream after failures (fleet_health.c).  */
void health_record_result (fleet_upstream_t *upstream, fleet_result_t result,
                           struct timespec now);
bool health_is_ejected (const fleet_upstream_t *upstream, struct timespec now);

#endif
