#ifndef SISKIN_PLUGINS_PLACEMENT_ESTIMATE_H
#define SISKIN_PLUGINS_PLACEMENT_ESTIMATE_H

#include "plugins/placement.h"

/* A policy's estimate of the group: each expert's fraction of its layer's
   tokens, smoothed with a trend (Holt's double exponential smoothing), and
   each rank's speed relative to the mean.  */
typedef struct estimate
{
  placement_shape_t shape;
  /* Forecast fraction of the layer's tokens, from LEVEL and TREND, by layer
     and expert; sums to 1 in each layer.  */
  double *popularity;
  double *level; /* smoothed fraction, not forecast; by layer and expert */
  double *trend; /* smoothed change of the level per sample */
  double *speed; /* by rank; 1 is the mean */
  bool has_samples;
} estimate_t;

estimate_t *estimate_create (TALLOC_CTX *parent,
                             const placement_shape_t *shape);
void estimate_update (estimate_t *estimate, const placement_sample_t *sample);
const double *estimate_popularity (const estimate_t *estimate, unsigned layer);

#endif
