#include "plugins/placement/estimate.h"

#include <string.h>

/* Relative variance of the change of an expert's popularity per sample.  */
static const double drift_variance = 0.002;
/* Smoothing factors: weight of the newest value in the trend and the
   speed.  */
static const double trend_weight = 0.5;
static const double speed_weight = 0.3;
/* Forecast horizon, in samples: a sample is the mean of its interval, so
   it describes the middle of it, and the plan is for its end.  */
static const double trend_horizon = 0.5;
/* Lower limit of the popularity: an expert without tokens may get some
   later.  */
static const double min_popularity = 1e-6;

/* Creates an estimate in which all experts are equally popular and all
   ranks equally fast.  Returns NULL when memory is exhausted.  */
estimate_t *
estimate_create (TALLOC_CTX *parent, const placement_shape_t *shape)
{
  estimate_t *estimate = talloc_zero (parent, estimate_t);
  size_t experts = (size_t)shape->layers * shape->experts;

  if (estimate == NULL)
    return NULL;
  estimate->shape = *shape;
  estimate->popularity = talloc_array (estimate, double, experts);
  estimate->level = talloc_zero_array (estimate, double, experts);
  estimate->trend = talloc_zero_array (estimate, double, experts);
  estimate->speed = talloc_array (estimate, double, shape->ranks);
  for (size_t i = 0; i < experts; i++)
    estimate->popularity[i] = 1.0 / shape->experts;
  for (unsigned i = 0; i < shape->ranks; i++)
    estimate->speed[i] = 1.0;
  return estimate;
}

/* Returns the popularity of the experts of LAYER, as an array that the
   estimate owns.  */
const double *
estimate_popularity (const estimate_t *estimate, unsigned layer)
{
  return &estimate->popularity[(size_t)layer * estimate->shape.experts];
}

/* Returns the weight of a sample in which an expert got TOKENS.  The
   relative noise of a count falls with its size, the drift of the
   popularity does not.  */
static double
estimate_weight (const estimate_t *estimate, uint64_t tokens)
{
  if (!estimate->has_samples)
    return 1.0;
  return drift_variance / (drift_variance + 1.0 / ((double)tokens + 1.0));
}

/* Updates one layer's popularity.  The trend compensates the lag of the
   smoothing.  */
static void
estimate_update_layer (estimate_t *estimate, unsigned layer,
                       const uint64_t *tokens)
{
  unsigned experts = estimate->shape.experts;
  double *popularity = &estimate->popularity[(size_t)layer * experts];
  double *levels = &estimate->level[(size_t)layer * experts];
  double *trend = &estimate->trend[(size_t)layer * experts];
  double total = 0;
  double sum = 0;

  for (unsigned i = 0; i < experts; i++)
    total += (double)tokens[i];
  if (total <= 0)
    return;
  for (unsigned i = 0; i < experts; i++)
    {
      double fraction = (double)tokens[i] / total;
      double weight = estimate_weight (estimate, tokens[i]);
      double level
          = weight * fraction + (1.0 - weight) * (levels[i] + trend[i]);

      if (estimate->has_samples)
        trend[i] += trend_weight * (level - levels[i] - trend[i]);
      levels[i] = level;
      popularity[i] = level + trend_horizon * trend[i];
      if (popularity[i] < min_popularity)
        popularity[i] = min_popularity;
      sum += popularity[i];
    }
  for (unsigned i = 0; i < experts; i++)
    popularity[i] /= sum;
}

static void
estimate_update_speed (estimate_t *estimate, const placement_sample_t *sample)
{
  unsigned ranks = estimate->shape.ranks;
  double weight = estimate->has_samples ? speed_weight : 1.0;
  double mean = 0;
  unsigned known = 0;

  for (unsigned i = 0; i < ranks; i++)
    {
      if (sample->busy_us[i] == 0 || sample->work[i] == 0)
        continue;
      mean += (double)sample->work[i] / (double)sample->busy_us[i];
      known++;
    }
  if (known == 0)
    return;
  mean /= known;
  for (unsigned i = 0; i < ranks; i++)
    {
      if (sample->busy_us[i] == 0 || sample->work[i] == 0)
        continue;
      estimate->speed[i]
          += weight
             * ((double)sample->work[i] / (double)sample->busy_us[i] / mean
                - estimate->speed[i]);
    }
}

/* Updates the estimate with a sample.  */
void
estimate_update (estimate_t *estimate, const placement_sample_t *sample)
{
  for (unsigned layer = 0; layer < estimate->shape.layers; layer++)
    estimate_update_layer (
        estimate, layer,
        &sample->tokens[(size_t)layer * estimate->shape.experts]);
  estimate_update_speed (estimate, sample);
  estimate->has_samples = true;
}
