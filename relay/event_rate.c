#include "relay/event_rate.h"

#include "kernel/clock.h"

#include <math.h>

static const double ms_per_s = 1000;

/* Return the rate at NOW, a second.  */
double
event_rate_at (const event_rate_t *rate, struct timespec now)
{
  double elapsed_ms
      = (double)timespec_to_ms (timespec_subtract (now, rate->updated_at));

  return rate->per_s * exp (-elapsed_ms / EVENT_RATE_WINDOW_MS);
}

/* Count an event at NOW.  */
void
event_rate_count (event_rate_t *rate, struct timespec now)
{
  rate->per_s = event_rate_at (rate, now) + ms_per_s / EVENT_RATE_WINDOW_MS;
  rate->updated_at = now;
}
