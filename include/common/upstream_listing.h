#ifndef SISKIN_COMMON_UPSTREAM_LISTING_H
#define SISKIN_COMMON_UPSTREAM_LISTING_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* What an upstream says of itself in the platform's list.  Strings belong to
   the talloc context that the listing was read into.  */
typedef struct upstream_listing
{
  const char *id; /* of this upstream; mostly new with each start */
  const char *service;
  const char *address; /* IP:PORT */
  const char *zone;
  unsigned slots; /* requests at once */
  bool is_draining;
  struct timespec cold_start_remaining; /* it is in cold start for so long */
  int64_t started_ms; /* Unix time of its start; 0: not told */
} upstream_listing_t;

#endif
