#include "pilot/answer_time.h"

#include "kernel/clock.h"

#include <math.h>

static const double us_per_ms = 1000;
static const double mean_gain = 1.0 / 8;
static const double deviation_gain = 1.0 / 4;
static const double deviations = 4;

/* Adds an answer that took DURATION.  */
void
answer_time_add (answer_time_t *time, struct timespec duration)
{
  double sample_ms = (double)timespec_to_us (duration) / us_per_ms;
  double error_ms = sample_ms - time->mean_ms;

  if (!time->is_known)
    {
      *time = (answer_time_t){ .is_known = true,
                               .mean_ms = sample_ms,
                               .deviation_ms = sample_ms / 2 };
      return;
    }
  time->deviation_ms
      += deviation_gain * (fabs (error_ms) - time->deviation_ms);
  time->mean_ms += mean_gain * error_ms;
}

/* Returns the time within which nearly all answers arrive, or UNKNOWN_MS if
   nothing is known.  */
double
answer_time_limit_ms (const answer_time_t *time, double unknown_ms)
{
  return time->is_known ? time->mean_ms + deviations * time->deviation_ms
                        : unknown_ms;
}
