#include "relay/fleet_state.h"

/* What an upstream in cold start bears is shared by all relays: each sends at
   most its part, and no more at once than a part of a second's worth.  */
static const double bucket_seconds = 0.5;
static const double bucket_least = 1.0;
static const double us_per_s = 1000000;

/* Return whether UPSTREAM is in cold start, as far as is known.  */
bool
cold_is_cold (const fleet_upstream_t *upstream, struct timespec now)
{
  return timespec_compare (now, upstream->cold_until) < 0;
}

static double
cold_share (const fleet_t *fleet, const fleet_upstream_t *upstream)
{
  return upstream->service->cold_rate / fleet->relays;
}

static double
bucket_size (double share)
{
  double size = share * bucket_seconds;

  return size > bucket_least ? size : bucket_least;
}

/* Return whether UPSTREAM may get one more request from this relay now, if it
   is in cold start.  */
bool
cold_has_token (const fleet_t *fleet, fleet_upstream_t *upstream,
                struct timespec now)
{
  cold_bucket_t *bucket = &upstream->cold;
  double share = cold_share (fleet, upstream);
  double size = bucket_size (share);
  double passed;

  if (upstream->service->cold_rate <= 0 || !cold_is_cold (upstream, now))
    return true;
  passed = (double)timespec_to_us (timespec_subtract (now, bucket->filled_at))
           / us_per_s;
  bucket->tokens += passed * share;
  if (bucket->tokens > size)
    bucket->tokens = size;
  bucket->filled_at = now;
  return bucket->tokens >= 1;
}

/* Count a request that was sent to UPSTREAM.  */
void
cold_consume_token (fleet_upstream_t *upstream)
{
  if (upstream->cold.tokens >= 1)
    upstream->cold.tokens -= 1;
}

/* Note that UPSTREAM is in cold start for COLD_LEFT from now on.  */
void
cold_set_time_left (fleet_upstream_t *upstream, struct timespec now,
                    struct timespec cold_left)
{
  if (!cold_is_cold (upstream, now))
    upstream->cold = (cold_bucket_t){ .filled_at = now };
  upstream->cold_until = timespec_add (now, cold_left);
}
