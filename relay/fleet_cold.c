#include "relay/fleet_state.h"

/* The request rate of an upstream in cold start is shared by all relays: each
   relay limits itself to its share with a token bucket that holds half a
   second's worth of tokens, but at least one.  */
static const double bucket_capacity_s = 0.5;
static const double min_bucket_size = 1.0;
static const double us_per_s = 1000000;

/* Return whether UPSTREAM is in cold start, as far as is known.  */
bool
cold_start_is_active (const fleet_upstream_t *upstream, struct timespec now)
{
  return timespec_compare (now, upstream->cold_until) < 0;
}

static double
cold_rate_per_relay (const fleet_t *fleet, const fleet_upstream_t *upstream)
{
  return upstream->service->cold_rate / fleet->relays;
}

static double
bucket_size (double rate)
{
  double size = rate * bucket_capacity_s;

  return size > min_bucket_size ? size : min_bucket_size;
}

/* Return whether UPSTREAM may get one more request from this relay now: it is
   not in cold start, or its bucket holds a token.  */
bool
cold_start_has_token (const fleet_t *fleet, fleet_upstream_t *upstream,
                      struct timespec now)
{
  cold_bucket_t *bucket = &upstream->cold;
  double rate = cold_rate_per_relay (fleet, upstream);
  double size = bucket_size (rate);
  double elapsed_s;

  if (upstream->service->cold_rate <= 0
      || !cold_start_is_active (upstream, now))
    return true;
  elapsed_s
      = (double)timespec_to_us (timespec_subtract (now, bucket->filled_at))
        / us_per_s;
  bucket->tokens += elapsed_s * rate;
  if (bucket->tokens > size)
    bucket->tokens = size;
  bucket->filled_at = now;
  return bucket->tokens >= 1;
}

/* Consume a token for a request to UPSTREAM.  */
void
cold_start_consume_token (fleet_upstream_t *upstream)
{
  if (upstream->cold.tokens >= 1)
    upstream->cold.tokens -= 1;
}

/* Set the remaining cold start time of UPSTREAM to REMAINING.  */
void
cold_start_set_remaining (fleet_upstream_t *upstream, struct timespec now,
                          struct timespec remaining)
{
  if (!cold_start_is_active (upstream, now))
    upstream->cold = (cold_bucket_t){ .filled_at = now };
  upstream->cold_until = timespec_add (now, remaining);
}
