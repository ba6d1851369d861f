#include "relay/fleet_state.h"

/* The free capacity of a service's upstreams is shared by all relays, each of
   which gets the same reports.  This relay may send as many requests as its
   share of the total, to any of the upstreams that have capacity.  The total
   is divided, and not the capacity of each upstream, because that one is
   smaller than the number of relays on a large site.  */

enum
{
  PER_REQUEST = QUOTA_UNITS_PER_REQUEST,
  /* The share is rounded up or down anew after this time: about the interval
     at which the reports of an upstream follow one another.  */
  ROUNDING_INTERVAL_MS = 100
};

static int64_t
capacity_units (double requests)
{
  return requests <= 0 ? 0 : (int64_t)(requests * PER_REQUEST);
}

static void
service_add_quota (fleet_service_t *service, const fleet_quota_t *quota,
                   int64_t sign)
{
  service->quota.free += sign * quota->free;
  service->quota.late_free += sign * quota->late_free;
  service->quota.sent += sign * quota->sent;
}

/* Forget the reported capacity of UPSTREAM: it is removed, or its last report
   is too old.  */
void
quota_forget (fleet_upstream_t *upstream)
{
  if (!upstream->has_quota)
    return;
  service_add_quota (upstream->service, &upstream->quota, -1);
  TAILQ_REMOVE (&upstream->service->reported, upstream, reported_link);
  upstream->has_quota = false;
  upstream->quota = (fleet_quota_t){ 0 };
}

/* Set the capacity in a new report of UPSTREAM, in requests: CAPACITY, and
   LATE_CAPACITY for late requests.  The requests that this relay sent before
   are part of the report.  */
void
quota_set (fleet_t *fleet, fleet_upstream_t *upstream, double capacity,
           double late_capacity)
{
  quota_forget (upstream);
  upstream->quota
      = (fleet_quota_t){ .free = capacity_units (capacity),
                         .late_free = capacity_units (late_capacity) };
  upstream->quota_rounding = capacity_units (fleet_random (fleet));
  upstream->has_quota = true;
  service_add_quota (upstream->service, &upstream->quota, 1);
  TAILQ_INSERT_TAIL (&upstream->service->reported, upstream, reported_link);
}

/* Count a request that was sent to UPSTREAM.  */
void
quota_count_sent (fleet_upstream_t *upstream)
{
  if (!upstream->has_quota)
    return;
  upstream->quota.sent += PER_REQUEST;
  upstream->service->quota.sent += PER_REQUEST;
}

static void
service_expire_reports (const fleet_t *fleet, fleet_service_t *service)
{
  fleet_upstream_t *oldest;

  while ((oldest = TAILQ_FIRST (&service->reported)) != NULL
         && !fleet_upstream_has_recent_report (fleet, oldest))
    quota_forget (oldest);
}

/* Draw at random whether the share is rounded up or down, so that the shares
   of all relays add up to about the total.  */
static void
service_draw_rounding (fleet_t *fleet, fleet_service_t *service)
{
  struct timespec now = clock_monotonic (fleet->clock);

  if (timespec_to_ms (timespec_subtract (now, service->rounded_at))
      < ROUNDING_INTERVAL_MS)
    return;
  service->rounded_at = now;
  service->quota_rounding = capacity_units (fleet_random (fleet));
}

/* Return whether this relay has used its share of the capacity that the
   upstreams of SERVICE have reported.  */
bool
quota_is_share_used (fleet_t *fleet, fleet_service_t *service, bool is_late)
{
  const fleet_quota_t *quota = &service->quota;
  int64_t share;

  service_expire_reports (fleet, service);
  service_draw_rounding (fleet, service);
  share = (is_late ? quota->late_free : quota->free) / fleet->share.relays
          + service->quota_rounding;
  return quota->sent + PER_REQUEST > share;
}

/* Return whether this relay has sent as many requests to UPSTREAM as it had
   capacity for at its last report.  */
bool
quota_is_upstream_full (const fleet_upstream_t *upstream, bool is_late)
{
  const fleet_quota_t *quota = &upstream->quota;
  int64_t free = is_late ? quota->late_free : quota->free;

  return quota->sent + PER_REQUEST > free + upstream->quota_rounding;
}

/* Return whether a request to UPSTREAM stays within this relay's share of the
   capacity of that upstream alone.  The random rounding gives the free places
   of an upstream to different relays, so that requests sent within the shares
   seldom meet at the same place.  */
bool
quota_is_within_share (const fleet_t *fleet, const fleet_upstream_t *upstream,
                       bool is_late)
{
  const fleet_quota_t *quota = &upstream->quota;
  int64_t free = is_late ? quota->late_free : quota->free;

  return quota->sent + PER_REQUEST
         <= free / fleet->share.relays + upstream->quota_rounding;
}
