#ifndef SISKIN_RELAY_PASS_MODEL_H
#define SISKIN_RELAY_PASS_MODEL_H

#include "common/rules.h"

/* Predicts how long a pass of a group takes from what its ranks run, and how
   many requests a rank may have so that a pass stays within a limit.  It
   addresses the load condition in which requests of the same number make
   passes of very different length: each running request lengthens a pass by
   its context and its part of reading prompts.

   The part of a pass beyond that of an idle group is assumed to be
   proportional to what the engine profile gives for the requests of a mean
   rank; the factor is learned from observed passes.  It covers what the
   profile does not say: the work of experts, and how much more the busiest
   rank has than the mean.  */
typedef struct pass_model
{
  /* Sums of a least squares fit through the origin, in which older passes
     weigh less; both 0 before the first pass.  */
  double product_sum;
  double square_sum;
} pass_model_t;

/* What ranks run.  */
typedef struct pass_load
{
  double requests;
  double context_tokens;
} pass_load_t;

/* Typical requests of a service.  */
typedef struct pass_costs
{
  const engine_profile_t *engine;
  double mean_events; /* of a response, each of which takes one pass */
} pass_costs_t;

/* Return the time that LOAD adds to a pass by the engine profile.  */
double pass_load_ms (const pass_costs_t *costs, const pass_load_t *load);
/* Record a pass that took EXTRA_MS longer than an idle one, while the mean
   rank's load added LOAD_MS by the profile.  */
void pass_model_record (pass_model_t *model, double load_ms, double extra_ms);
double pass_model_factor (const pass_model_t *model);
/* Return how many requests a rank with RANK's load may have so that a pass
   takes at most LIMIT_EXTRA_MS longer than an idle one.  Further requests are
   taken to be as costly as the mean of those in GROUP.  */
double pass_model_limit (const pass_model_t *model, const pass_costs_t *costs,
                         const pass_load_t *rank, const pass_load_t *group,
                         double limit_extra_ms);

#endif
