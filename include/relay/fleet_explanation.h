#ifndef SISKIN_RELAY_FLEET_EXPLANATION_H
#define SISKIN_RELAY_FLEET_EXPLANATION_H

#include "relay/fleet.h"

/* What decides where a request would be sent, as a value: for an operator who
   asks why requests of some kind wait, are refused or go to one upstream.  */

enum
{
  /* Upstreams of a service that are described; there are 680 in the largest
     known system.  */
  EXPLANATION_MAX_UPSTREAMS = 4096
};

/* The reason why an upstream cannot be chosen.  */
typedef enum fleet_obstacle
{
  OBSTACLE_NONE,
  OBSTACLE_DRAINING,
  OBSTACLE_REPLACED, /* another upstream responds at its address */
  OBSTACLE_ZONE_OUT,
  OBSTACLE_REGION, /* the route does not allow its region */
  OBSTACLE_TRIED,  /* by the same request */
  OBSTACLE_NO_GROUP,
  OBSTACLE_PAUSED,
  OBSTACLE_STALLED,
  OBSTACLE_COLD,
  OBSTACLE_LIMITED,
  OBSTACLE_SHARE_USED, /* this relay's share of the total capacity */
  OBSTACLE_FULL,       /* by its last report and what was sent since */
  OBSTACLE_COUNT
} fleet_obstacle_t;

/* How desirable an upstream is that can be chosen; one of a later value is
   chosen only if there is none of an earlier one.  */
typedef enum fleet_preference
{
  PREFER_WITHIN_SHARE, /* this relay's share of its capacity is not used */
  PREFER_HEALTHY,
  PREFER_SLOW,   /* slows down its group */
  PREFER_SILENT, /* its machine may be frozen */
  PREFER_EJECTED,
  PREFERENCE_COUNT
} fleet_preference_t;

/* Capacity in requests, of which thousandths are counted.  */
typedef struct capacity_explanation
{
  bool is_known; /* the last reports are recent; otherwise all is 0 */
  double free;   /* in the last reports, for all relays */
  double share;  /* of this relay */
  double sent;   /* by this relay since then */
} capacity_explanation_t;

typedef struct upstream_explanation
{
  const char *id;
  const char *zone;
  const char *group; /* "" for none */
  fleet_obstacle_t obstacle;
  fleet_preference_t preference;
  capacity_explanation_t capacity;
  uint64_t outstanding_requests; /* of this relay */
  uint64_t backlog_us;           /* work left of them */
  /* By the last report, of all relays.  */
  uint64_t running;
  uint64_t waiting;
  double slowdown;       /* 1 is normal; 0 if unknown */
  int64_t report_age_ms; /* -1 if there is none */
} upstream_explanation_t;

/* What fleet_choose would do.  Strings belong to the talloc context that was
   given for it.  */
typedef struct fleet_explanation
{
  /* FLEET_NO_SHORTAGE if an upstream would be chosen.  */
  fleet_shortage_t shortage;
  /* The upstream that would be chosen; NULL for none, or if the policy cannot
     foretell its choice among the candidates.  */
  const char *upstream;
  const char *reason;  /* of the policy; a constant, NULL without UPSTREAM */
  unsigned candidates; /* among which the policy chooses */
  work_estimate_t estimate;
  uint64_t work_us; /* expected in all */
  capacity_explanation_t total;
  double reserve; /* part of the share that is left to other requests */
  upstream_explanation_t *upstreams;
  unsigned upstream_count;    /* described */
  unsigned omitted_upstreams; /* beyond EXPLANATION_MAX_UPSTREAMS */
} fleet_explanation_t;

/* Explains what fleet_choose would do with REQUEST now, without changing
   anything.  Returns false when memory is exhausted.  */
bool fleet_explain (fleet_t *fleet, TALLOC_CTX *parent,
                    const fleet_request_t *request,
                    fleet_explanation_t *explanation);
const char *fleet_obstacle_name (fleet_obstacle_t obstacle);
const char *fleet_preference_name (fleet_preference_t preference);

#endif
