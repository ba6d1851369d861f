#ifndef SISKIN_PLUGINS_PICK_LOAD_H
#define SISKIN_PLUGINS_PICK_LOAD_H

#include "plugins/pick.h"

#include <stdbool.h>
#include <stdint.h>

/* Whether an upstream can start a request at once; lower is better.  */
typedef enum load_tier
{
  LOAD_HAS_ROOM,
  LOAD_WILL_QUEUE, /* it is at its limit */
  LOAD_COLD_FULL   /* it is in cold start and bears no more */
} load_tier_t;

/* What an upstream would carry with the request.  SHARE is the part of its
   limit.  */
typedef struct load
{
  load_tier_t rank;
  double share;
} load_t;

/* What other entries have at the average upstream, by the last reports.  */
typedef struct load_other_entries
{
  double tokens;
  double requests;
} load_other_entries_t;

typedef struct load_random
{
  uint64_t state;
} load_random_t;

load_other_entries_t
load_other_entries (const pick_candidate_t *const *candidates, size_t count);
load_t load_estimate (const pick_candidate_t *candidate,
                      const pick_request_t *work,
                      const load_other_entries_t *others, struct timespec now);
bool load_is_better (const load_t *left, const load_t *right);
uint64_t load_random_next (load_random_t *random);
size_t load_pick_least (load_random_t *random, const pick_request_t *work,
                        const pick_candidate_t *const *candidates,
                        size_t count, struct timespec now);

#endif
