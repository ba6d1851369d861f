#include "relay/fleet_state.h"

#include <math.h>

/* The request rate of an upstream in cold start is shared by all relays: each
   relay limits itself to its share with a token bucket that holds what is
   filled in this time, so that the relays together exceed the rate by this
   part in a second at most.  */
static const double bucket_capacity_s = 0.5;
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
  return upstream->service->cold_rate / fleet->share.relays;
}

/* Limit TOKENS to what the bucket holds at RATE.  If that is less than one
   token, as among many relays, a token can be used for as long as the bucket
   takes to fill and is lost then.  The result does not depend on how often the
   tokens were limited meanwhile.  */
static double
limit_tokens (double tokens, double rate)
{
  double size = rate * bucket_capacity_s;

  if (size >= 1)
    return fmin (tokens, size);
  return tokens > 1 + size ? tokens - ceil (tokens - (1 + size)) : tokens;
}

static bool
cold_start_is_limited (const fleet_upstream_t *upstream, struct timespec now)
{
  return upstream->service->cold_rate > 0
         && cold_start_is_active (upstream, now);
}

/* Return the tokens that the bucket of UPSTREAM holds at NOW.  */
static double
cold_tokens_at (const fleet_t *fleet, const fleet_upstream_t *upstream,
                struct timespec now)
{
  const cold_bucket_t *bucket = &upstream->cold;
  double rate = cold_rate_per_relay (fleet, upstream);
  double elapsed_s
      = (double)timespec_to_us (timespec_subtract (now, bucket->filled_at))
        / us_per_s;

  return limit_tokens (bucket->tokens + elapsed_s * rate, rate);
}

/* Return whether UPSTREAM may get one more request from this relay now: it is
   not in cold start, or its bucket holds a token.  */
bool
cold_start_has_token (const fleet_t *fleet, const fleet_upstream_t *upstream,
                      struct timespec now)
{
  return !cold_start_is_limited (upstream, now)
         || cold_tokens_at (fleet, upstream, now) >= 1;
}

/* Consume a token for a request to UPSTREAM at NOW.  */
void
cold_start_consume_token (const fleet_t *fleet, fleet_upstream_t *upstream,
                          struct timespec now)
{
  if (!cold_start_is_limited (upstream, now))
    return;
  upstream->cold
      = (cold_bucket_t){ .tokens = cold_tokens_at (fleet, upstream, now) - 1,
                         .filled_at = now };
}

/* Set the remaining cold start time of UPSTREAM to REMAINING.  The bucket
   starts at a random level, so that the relays get their first tokens one
   after the other from the start on.  */
void
cold_start_set_remaining (fleet_t *fleet, fleet_upstream_t *upstream,
                          struct timespec now, struct timespec remaining)
{
  if (!cold_start_is_active (upstream, now))
    upstream->cold
        = (cold_bucket_t){ .tokens = fleet_random (fleet), .filled_at = now };
  upstream->cold_until = timespec_add (now, remaining);
}
