#ifndef SISKIN_PILOT_ANSWER_TIME_H
#define SISKIN_PILOT_ANSWER_TIME_H

#include <stdbool.h>
#include <time.h>

/* How long the answers of a peer take: a smoothed mean and deviation, as in
   RFC 6298.  Zero-initialized: nothing is known.  */
typedef struct answer_time
{
  bool is_known;
  double mean_ms;
  double deviation_ms;
} answer_time_t;

/* Adds an answer that took DURATION.  */
void answer_time_add (answer_time_t *time, struct timespec duration);
/* Returns the time within which nearly all answers arrive, or UNKNOWN_MS if
   nothing is known.  Milliseconds.  */
double answer_time_limit_ms (const answer_time_t *time, double unknown_ms);

#endif
