#ifndef SISKIN_RELAY_EVENT_RATE_H
#define SISKIN_RELAY_EVENT_RATE_H

#include <time.h>

enum
{
  /* A rate is averaged over about this time.  */
  EVENT_RATE_WINDOW_MS = 1000
};

/* The rate of some kind of event, as of its last one; zeroed before the
   first.  */
typedef struct event_rate
{
  double per_s;
  struct timespec updated_at;
} event_rate_t;

void event_rate_count (event_rate_t *rate, struct timespec now);
double event_rate_at (const event_rate_t *rate, struct timespec now);

#endif
