#ifndef SISKIN_PLUGINS_PLACEMENT_ESTIMATE_H
#define SISKIN_PLUGINS_PLACEMENT_ESTIMATE_H

#include "plugins/placement.h"

/* What a policy believes of the group: each expert's part of its layer's
   tokens, and each rank's speed with 1 for the mean.  */
typedef struct estimate
{
  placement_shape_t shape;
  double *popularity; /* by layer and expert; 1 in sum for a layer */
  double *level;      /* the same, as last seen and smoothed */
  double *trend;      /* change of the level from sample to sample */
  double *speed;      /* by rank */
  bool has_samples;
} estimate_t;

estimate_t *estimate_create (TALLOC_CTX *parent,
                             const placement_shape_t *shape);
void estimate_update (estimate_t *estimate, const placement_sample_t *sample);
const double *estimate_popularity (const estimate_t *estimate, unsigned layer);

#endif
