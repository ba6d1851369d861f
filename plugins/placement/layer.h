#ifndef SISKIN_PLUGINS_PLACEMENT_LAYER_H
#define SISKIN_PLUGINS_PLACEMENT_LAYER_H

#include "plugins/placement/estimate.h"

#include <sys/queue.h>

/* One layer of a map as a bipartite graph of experts and ranks, whose
   edges are the replicas.  Load is a fraction of the layer's tokens.  */
typedef struct replica
{
  LIST_ENTRY (replica) expert_link;
  LIST_ENTRY (replica) rank_link;
  unsigned expert;
  unsigned rank;
  unsigned slot;
  double load;
} replica_t;

typedef struct layer_expert
{
  LIST_HEAD (, replica) replicas;
  unsigned count;
  double popularity;
} layer_expert_t;

typedef struct layer_rank
{
  LIST_HEAD (, replica) replicas;
  double speed;
  double load;
} layer_rank_t;

typedef struct layer
{
  placement_shape_t shape;
  layer_expert_t *experts;
  layer_rank_t *ranks;
  replica_t *replicas;
} layer_t;

layer_t *layer_create (TALLOC_CTX *parent, const estimate_t *estimate,
                       unsigned index, const placement_map_t *map);
/* Calls layer_split_expert for each expert with several replicas in turn,
   SWEEPS times.  More sweeps come closer to the minimum of the layer's
   time.  */
void layer_balance (layer_t *layer, unsigned sweeps);
/* Splits the tokens of the expert INDEX among its replicas so that their ranks
   finish at the same time, as far as the ranks' other load allows.  */
void layer_split_expert (layer_t *layer, unsigned index);
void layer_replace_expert (layer_t *layer, replica_t *replica,
                           unsigned expert);
bool layer_rank_holds (const layer_t *layer, unsigned rank, unsigned expert);
double layer_time (const layer_t *layer);
double layer_rank_time (const layer_t *layer, unsigned rank);
double layer_mean_time (const layer_t *layer);
double layer_time_bound (const layer_t *layer);
void layer_write_map (const layer_t *layer, unsigned index,
                      placement_map_t *map);

#endif
