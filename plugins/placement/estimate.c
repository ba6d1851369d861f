#include "plugins/placement/estimate.h"

#include <string.h>

/* Relative variance of an expert's popularity from sample to sample.  */
static const double drift_variance = 0.002;
/* Weights of the newest change in the trend, and of the newest speed.  */
static const double trend_weight = 0.5;
static const double speed_weight = 0.3;
/* A sample shows the middle of the time since the last; the plan is for its
   end.  In samples.  */
static const double trend_lead = 0.5;
/* Experts that got no token are not believed to be without any for good.  */
static const double popularity_floor = 1e-6;

/* Create an estimate in which all experts and ranks are alike.  */
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

/* Return the popularity of the experts of LAYER.  */
const double *
estimate_popularity (const estimate_t *estimate, unsigned layer)
{
  return &estimate->popularity[(size_t)layer * estimate->shape.experts];
}

/* The weight of a sample in which an expert got TOKENS: the noise of a count
   falls with its size, the drift does not.  */
static double
estimate_weight (const estimate_t *estimate, uint64_t tokens)
{
  if (!estimate->has_samples)
    return 1.0;
  return drift_variance / (drift_variance + 1.0 / ((double)tokens + 1.0));
}

/* Smooth one layer's popularity; the trend looks ahead by as much as smoothing
   lags behind.  */
static void
estimate_note_layer (estimate_t *estimate, unsigned layer,
                     const uint64_t *tokens)
{
  unsigned experts = estimate->shape.experts;
  double *popularity = &estimate->popularity[(size_t)layer * experts];
  double *level_of = &estimate->level[(size_t)layer * experts];
  double *trend = &estimate->trend[(size_t)layer * experts];
  double total = 0;
  double sum = 0;

  for (unsigned i = 0; i < experts; i++)
    total += (double)tokens[i];
  if (total <= 0)
    return;
  for (unsigned i = 0; i < experts; i++)
    {
      double seen = (double)tokens[i] / total;
      double weight = estimate_weight (estimate, tokens[i]);
      double level = weight * seen + (1.0 - weight) * (level_of[i] + trend[i]);

      if (estimate->has_samples)
        trend[i] += trend_weight * (level - level_of[i] - trend[i]);
      level_of[i] = level;
      popularity[i] = level + trend_lead * trend[i];
      if (popularity[i] < popularity_floor)
        popularity[i] = popularity_floor;
      sum += popularity[i];
    }
  for (unsigned i = 0; i < experts; i++)
    popularity[i] /= sum;
}

static void
estimate_note_speed (estimate_t *estimate, const placement_sample_t *sample)
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

/* Take a sample into account.  */
void
estimate_update (estimate_t *estimate, const placement_sample_t *sample)
{
  for (unsigned layer = 0; layer < estimate->shape.layers; layer++)
    estimate_note_layer (
        estimate, layer,
        &sample->tokens[(size_t)layer * estimate->shape.experts]);
  estimate_note_speed (estimate, sample);
  estimate->has_samples = true;
}
