#ifndef SISKIN_PLUGINS_PICK_LOAD_H
#define SISKIN_PLUGINS_PICK_LOAD_H

#include "plugins/pick.h"

#include <stdbool.h>
#include <stdint.h>

/* Whether an upstream can start a request immediately; lower is better.  */
typedef enum load_tier
{
  LOAD_HAS_ROOM,
  LOAD_WILL_QUEUE, /* at its limit: the request would be queued */
  LOAD_COLD_FULL   /* in cold start and at its cold-start limit */
} load_tier_t;

/* Load of an upstream including the request to be placed.  UTILIZATION is the
   used part of its limit, or the number of tokens if no limit is known.  */
typedef struct load
{
  load_tier_t tier;
  double utilization;
} load_t;

/* Average load of other entries on an upstream, by the last reports.  */
typedef struct load_average_others
{
  double tokens;
  double requests;
} load_other_average_t;

typedef struct load_random
{
  uint64_t state;
} load_random_t;

load_other_average_t
load_average_others (const pick_candidate_t *const *candidates, size_t count);
load_t load_estimate (const pick_candidate_t *candidate,
                      const pick_request_t *request,
                      const load_other_average_t *others, struct timespec now);
bool load_is_better (const load_t *left, const load_t *right);
uint64_t load_random_next (load_random_t *random);
size_t load_pick_least (load_random_t *random, const pick_request_t *request,
                        const pick_candidate_t *const *candidates,
                        size_t count, struct timespec now);

#endif
