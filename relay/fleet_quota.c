#include "relay/fleet_state.h"

/* The free capacity of the upstreams that a request may use is shared by all
   relays, each of which gets the same reports.  This relay may send as many
   requests as its share of the total, to any of the upstreams that have
   capacity.  The total is divided, and not the capacity of each upstream,
   because that one is smaller than the number of relays on a large site.  */

enum
{
  PER_REQUEST = QUOTA_UNITS_PER_REQUEST,
  /* The share is rounded up or down anew after this time: about the interval
     at which the reports of an upstream follow one another.  */
  ROUNDING_INTERVAL_MS = 100,
  /* Requests that may be queued at an upstream beyond those it is running.  */
  MAX_QUEUED_REQUESTS = 1,
  /* The share of this relay is reserved for more urgent requests up to all but
     this part, so that less urgent ones are never starved.  */
  UNRESERVED_DIVISOR = 8
};

/* Share of the request limit that late requests may use.  */
static const double late_limit_ratio = 0.75;

static int64_t
capacity_units (double requests)
{
  return requests <= 0 ? 0 : (int64_t)(requests * PER_REQUEST);
}

/* Set the capacity in a new report of UPSTREAM, which may have LIMIT requests
   at once and has CURRENT.  The requests that this relay sent before are part
   of the report.  IS_FILLING: its group has opened and ends no requests
   yet.  */
void
quota_set (fleet_t *fleet, fleet_upstream_t *upstream, double limit,
           double current, bool is_filling)
{
  fleet_quota_t *quota = &upstream->quota;

  *quota = (fleet_quota_t){
    .free = capacity_units (limit + MAX_QUEUED_REQUESTS - current),
    .late_free = capacity_units (limit * late_limit_ratio - current),
    .idle = capacity_units (limit - current),
  };
  quota->class_late_free = is_filling ? quota->late_free : quota->free;
  upstream->quota_rounding = capacity_units (fleet_random (fleet));
}

/* Record that UPSTREAM has no free capacity.  */
void
quota_clear (fleet_upstream_t *upstream)
{
  upstream->quota = (fleet_quota_t){ 0 };
}

/* Return whether the reported capacity of UPSTREAM is known and recent.  */
bool
quota_is_known (const fleet_t *fleet, const fleet_upstream_t *upstream)
{
  return fleet_upstream_has_recent_report (fleet, upstream);
}

/* Count a request that was sent to UPSTREAM.  */
void
quota_count_sent (fleet_upstream_t *upstream)
{
  upstream->quota.sent += PER_REQUEST;
}

/* A request to UPSTREAM that took DURATION has ended.  If it was sent after
   the last report, its place is free again: where responses are short and
   reports are late, this relay would have used its share otherwise, although
   nothing runs.  */
void
quota_count_ended (const fleet_t *fleet, fleet_upstream_t *upstream,
                   struct timespec duration)
{
  struct timespec sent_at
      = timespec_subtract (clock_monotonic (fleet->clock), duration);

  if (timespec_compare (sent_at, upstream->reported_at) > 0
      && upstream->quota.sent >= PER_REQUEST)
    upstream->quota.sent -= PER_REQUEST;
}

/* Add the capacity of UPSTREAM, if it is known, to TOTAL.  */
void
quota_add (const fleet_t *fleet, fleet_quota_t *total,
           const fleet_upstream_t *upstream)
{
  if (!quota_is_known (fleet, upstream))
    return;
  total->free += upstream->quota.free;
  total->late_free += upstream->quota.late_free;
  total->class_late_free += upstream->quota.class_late_free;
  total->idle += upstream->quota.idle;
  total->sent += upstream->quota.sent;
}

static bool
rounding_is_due (const fleet_service_t *service, struct timespec now)
{
  return timespec_to_ms (timespec_subtract (now, service->rounded_at))
         >= ROUNDING_INTERVAL_MS;
}

/* Draw at random whether the share is rounded up or down, so that the shares
   of all relays add up to about the total.  */
void
quota_draw_rounding (fleet_t *fleet, fleet_service_t *service,
                     struct timespec now)
{
  if (!rounding_is_due (service, now))
    return;
  service->rounded_at = now;
  service->quota_rounding = capacity_units (fleet_random (fleet));
}

/* Return the rounding that a request at NOW gets.  */
static int64_t
service_rounding_at (const fleet_t *fleet, const fleet_service_t *service,
                     struct timespec now)
{
  return rounding_is_due (service, now)
             ? capacity_units (fleet_next_random (fleet))
             : service->quota_rounding;
}

/* Return how much of QUOTA USE permits.  */
static int64_t
quota_usable (const fleet_quota_t *quota, const quota_use_t *use)
{
  int64_t usable = use->reserve > 0 ? quota->idle : quota->free;
  int64_t late_free
      = use->has_classes ? quota->class_late_free : quota->late_free;

  return use->is_late && late_free < usable ? late_free : usable;
}

/* Return what this relay may use at NOW of TOTAL, the capacity that the
   upstreams of SERVICE have reported that the request may use.  */
quota_share_t
quota_share_at (const fleet_t *fleet, const fleet_service_t *service,
                const fleet_quota_t *total, const quota_use_t *use,
                struct timespec now)
{
  quota_share_t share
      = { .free = quota_usable (total, use),
          .share = quota_usable (total, use) / fleet->share.relays,
          .reserve = capacity_units (use->reserve),
          .rounding = service_rounding_at (fleet, service, now),
          .sent = total->sent };

  if (share.reserve > share.share - share.share / UNRESERVED_DIVISOR)
    share.reserve = share.share - share.share / UNRESERVED_DIVISOR;
  return share;
}

/* Return whether this relay has used its share.  */
bool
quota_is_share_used (const quota_share_t *share)
{
  return share->sent + PER_REQUEST
         > share->share - share->reserve + share->rounding;
}

static int64_t
upstream_share (const fleet_t *fleet, const fleet_upstream_t *upstream,
                const quota_use_t *use)
{
  return quota_usable (&upstream->quota, use) / fleet->share.relays
         + upstream->quota_rounding;
}

/* Return what this relay may use of the free capacity of UPSTREAM.  */
quota_share_t
quota_upstream_share (const fleet_t *fleet, const fleet_upstream_t *upstream,
                      const quota_use_t *use)
{
  return (quota_share_t){ .free = quota_usable (&upstream->quota, use),
                          .share = upstream_share (fleet, upstream, use),
                          .sent = upstream->quota.sent };
}

/* Return whether this relay has sent as many requests to UPSTREAM as it had
   capacity for at its last report.  */
bool
quota_is_upstream_full (const fleet_upstream_t *upstream,
                        const quota_use_t *use)
{
  const fleet_quota_t *quota = &upstream->quota;

  return quota->sent + PER_REQUEST
         > quota_usable (quota, use) + upstream->quota_rounding;
}

/* Return whether a request to UPSTREAM stays within this relay's share of the
   capacity of that upstream alone.  The random rounding gives the free places
   of an upstream to different relays, so that requests sent within the shares
   seldom meet at the same place.  */
bool
quota_is_within_share (const fleet_t *fleet, const fleet_upstream_t *upstream,
                       const quota_use_t *use)
{
  return upstream->quota.sent + PER_REQUEST
         <= upstream_share (fleet, upstream, use);
}
