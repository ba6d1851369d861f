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
  /* At its limit, and in cold start or without a load report; less preferred
     than LOAD_WILL_QUEUE.  */
  LOAD_COLD_FULL
} load_tier_t;

/* Load of an upstream including the request to be placed.  Of two upstreams
   the one in the lower tier is better, and within a tier the one with the
   lower utilization.  UTILIZATION is the fraction of the limit that is in use.
   If no limit is known, it is the number of tokens instead, which normally
   exceeds any fraction, so upstreams with a known limit are preferred.  */
typedef struct load
{
  load_tier_t tier;
  double utilization;
} load_t;

/* Load that other entries cause on an upstream according to its last report,
   averaged over the candidates.  It replaces an upstream's own report
   gradually as that ages, so that the entries don't all choose the same
   upstream because of one old low report.  */
typedef struct load_other_average
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
double load_other_requests (const pick_candidate_t *candidate);
double load_report_weight (const pick_report_t *report, struct timespec now);
uint64_t load_random_next (load_random_t *random);
size_t load_pick_least (load_random_t *random, const pick_request_t *request,
                        const pick_candidate_t *const *candidates,
                        size_t count, struct timespec now);

#endif
