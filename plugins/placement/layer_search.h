#ifndef SISKIN_PLUGINS_PLACEMENT_LAYER_SEARCH_H
#define SISKIN_PLUGINS_PLACEMENT_LAYER_SEARCH_H

#include "plugins/placement.h"

/* Local search for a better placement of the experts of one layer, whose
   replicas share the tokens of an expert evenly.  It applies the move that
   helps the slowest rank most, one at a time.  */
typedef struct layer_search layer_search_t;

/* The limits of a search, and how much a move has to gain.  */
typedef struct layer_search_options
{
  /* Experts that a rank may load in the layer; 0 for no limit.  */
  unsigned max_loads_per_rank;
  /* By rank: experts that it may still load, in all layers together.  Each
     load of a search counts.  NULL for no limit.  */
  unsigned *loads_left;
  /* Minimum reduction of the layer's time for each expert loaded, as a
     fraction of the time of a balanced layer.  */
  double min_gain_per_load;
} layer_search_options_t;

/* COUNTS has the tokens of each expert, SPEED the speed of each rank relative
   to the baseline; OPTIONS and SPEED must outlive the search.  Returns NULL
   when memory is exhausted.  */
layer_search_t *layer_search_create (TALLOC_CTX *parent,
                                     const placement_map_t *map,
                                     unsigned layer, const double *counts,
                                     const double *speed,
                                     const layer_search_options_t *options);
void layer_search_destroy (layer_search_t *search);
/* Applies the best move.  Returns false if none gains enough.  */
bool layer_search_step (layer_search_t *search);
/* Time of the slowest rank, as a multiple of the time of a balanced layer.  */
double layer_search_time (const layer_search_t *search);
/* Experts that RANK has to load.  */
unsigned layer_search_loads (const layer_search_t *search, unsigned rank);
void layer_search_write_map (const layer_search_t *search,
                             placement_map_t *map, unsigned layer);

#endif
