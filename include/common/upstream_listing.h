#ifndef SISKIN_COMMON_UPSTREAM_LISTING_H
#define SISKIN_COMMON_UPSTREAM_LISTING_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* What an upstream reports about itself in the platform's upstream list.  The
   strings belong to the talloc context that the listing was read into.  */
typedef struct upstream_listing
{
  const char *id; /* usually a new one after each start */
  const char *service;
  const char *address; /* IP:PORT */
  const char *zone;
  unsigned slots; /* requests that it can run at once */
  bool is_draining;
  struct timespec cold_start_remaining; /* remaining time of its cold start */
  int64_t started_ms; /* Unix time of its start; 0 if not reported */
  /* Number of the heartbeat with which the upstream wrote the listing; rises
     from its start on.  0 if not reported.  */
  int64_t heartbeat;
} upstream_listing_t;

#endif
