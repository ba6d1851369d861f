#ifndef SISKIN_RELAY_FLEET_STATE_H
#define SISKIN_RELAY_FLEET_STATE_H

#include "kernel/table.h"
#include "relay/fleet.h"

#include <sys/queue.h>

/* What the parts of the fleet share.  */
typedef struct fleet_service fleet_service_t;

/* Requests an upstream in cold start may still get: a bucket of tokens.  */
typedef struct cold_bucket
{
  double tokens;
  struct timespec filled_at;
} cold_bucket_t;

/* How an upstream has answered lately.  */
typedef struct upstream_health
{
  unsigned failures;             /* in a row, that say it cannot be reached */
  struct timespec ejected_until; /* not chosen before, if others can be */
  double trouble; /* share of failed requests, newer ones weighing more */
} upstream_health_t;

/* A lock-step group of upstreams.  */
typedef struct fleet_group
{
  LIST_ENTRY (fleet_group) link;
  char *name;
  uint64_t epoch;
  bool is_open;
  uint64_t step;
  struct timespec stepped_at; /* it was seen to take a step */
  struct timespec told_at;
  bool is_stalled;           /* it has work and takes no step */
  struct timespec formed_at; /* it was seen in a new epoch, or broken */
  double step_ms;            /* moving average; 0 until it is known */
  double last_step_ms;       /* whatever it was, even a stall */
} fleet_group_t;

typedef struct fleet_upstream
{
  table_node_t node;
  STAILQ_ENTRY (fleet_upstream) link; /* of SERVICE */
  fleet_service_t *service;
  char *id;
  char *address;
  char *zone;
  const char *region;
  int64_t started_ms;
  unsigned slots; /* requests at once */
  bool is_draining;
  bool is_replaced;           /* another upstream answers at its address */
  struct timespec cold_until; /* monotonic */
  cold_bucket_t cold;
  upstream_health_t health;
  fleet_group_t *group; /* NULL when it is in none, as far as is known */
  bool is_slow;         /* by its last report */
  /* Requests that this relay may send until the next report: its part of the
     room that the last one showed, and of that for late requests.  */
  unsigned quota;
  unsigned late_quota;
  unsigned sent; /* since that report */
  struct timespec reported_at;
  pick_candidate_t candidate; /* kept current; strings are the upstream's */
} fleet_upstream_t;

struct fleet_service
{
  STAILQ_ENTRY (fleet_service) link;
  char *name;
  struct timespec cold_time;
  double cold_rate;     /* of all relays together; 0: no limit */
  double idle_step_ms;  /* a step of a group, without any request */
  double step_limit_ms; /* a step that takes longer makes streams late */
  double tokens_a_slot; /* usual size of a request, 0 if unknown */
  double usual_ms;      /* moving average of the time to a whole answer */
  const pick_ops_t *ops;
  pick_t *pick;
  STAILQ_HEAD (, fleet_upstream) upstreams;
};

/* An availability zone.  */
typedef struct fleet_zone
{
  SLIST_ENTRY (fleet_zone) link;
  char *name;
  char *region;
  bool is_out;
} fleet_zone_t;

struct fleet
{
  const char *zone;
  const clock_source_t *clock;
  uint64_t seed;
  uint64_t draws;  /* state of the random numbers */
  unsigned relays; /* of the whole system; at least 1 */
  table_t *table;  /* fleet_upstream_t by id; guards the whole fleet */
  STAILQ_HEAD (, fleet_service) services;
  SLIST_HEAD (, fleet_zone) zones;
  LIST_HEAD (, fleet_group) groups;
  const pick_candidate_t **candidates; /* room for every upstream */
  fleet_upstream_t **chosen_from;
};

fleet_upstream_t *fleet_find (const fleet_t *fleet, const char *id);
fleet_service_t *fleet_find_service (const fleet_t *fleet, const char *name);
fleet_zone_t *fleet_find_or_add_zone (fleet_t *fleet, const char *name);

bool cold_is_cold (const fleet_upstream_t *upstream, struct timespec now);
bool cold_has_token (const fleet_t *fleet, fleet_upstream_t *upstream,
                     struct timespec now);
void cold_consume_token (fleet_upstream_t *upstream);
void cold_set_time_left (fleet_upstream_t *upstream, struct timespec now,
                         struct timespec cold_left);

bool report_is_stalled (const fleet_t *fleet,
                        const fleet_upstream_t *upstream);
bool report_is_full (const fleet_t *fleet, const fleet_upstream_t *upstream,
                     bool is_late);
void report_record_load (const fleet_t *fleet, fleet_upstream_t *upstream,
                         uint64_t running, uint64_t waiting);
bool report_is_recent (const fleet_t *fleet, const fleet_upstream_t *upstream);
bool report_is_silence_expected (const fleet_t *fleet,
                                 const fleet_upstream_t *upstream,
                                 struct timespec heard_at);
bool report_is_slow (const fleet_t *fleet, const fleet_upstream_t *upstream);

void health_record_result (fleet_upstream_t *upstream, fleet_result_t result,
                           struct timespec now);
bool health_is_ejected (const fleet_upstream_t *upstream, struct timespec now);

#endif
