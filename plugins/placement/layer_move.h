#ifndef SISKIN_PLUGINS_PLACEMENT_LAYER_MOVE_H
#define SISKIN_PLUGINS_PLACEMENT_LAYER_MOVE_H

#include "plugins/placement/layer_search.h"

/* Private to layer_search.c and layer_move.c: the state of a search, and what
   a move does to it.  */

/* What a move does to the load of a rank.  */
typedef struct load_change
{
  unsigned rank;
  double change;
} load_change_t;

/* The state of the search on one layer.  */
struct layer_search
{
  const placement_shape_t *shape;
  const layer_search_options_t *options;
  double *popularity; /* by expert; sums to 1 */
  unsigned *replicas; /* by expert */
  bool *was_held;     /* by expert and rank: in the current map */
  bool *is_held;      /* by expert and rank: after the moves */
  /* By expert and number of the replica: the rank that holds it, in any
     order.  */
  unsigned *holders;
  double *load; /* by rank: its time relative to the mean rank's */
  double norm;  /* sum of the eighth powers of LOAD */
  const double *speed;
  unsigned *used;         /* by rank: slots in use */
  unsigned *held;         /* by rank: the USED experts that it holds */
  unsigned *loads;        /* by rank: experts to be loaded */
  unsigned total_loads;   /* of all ranks */
  double cost;            /* cost before the move being evaluated */
  load_change_t *changes; /* of the move being evaluated */
  unsigned change_count;
};

/* A change of the layer: EXPERT is moved or copied from the rank SOURCE to
   the rank TARGET, which may drop EVICTED, or give it to SOURCE in
   exchange.  Without a target, SOURCE only drops EXPERT.  */
typedef struct layer_move
{
  unsigned source;
  unsigned expert;
  bool is_copied; /* SOURCE keeps EXPERT */
  unsigned target;
  unsigned evicted; /* dropped by TARGET, or PLACEMENT_SLOT_FREE */
  bool is_swap;     /* SOURCE gets EVICTED */
  double gain;      /* reduction of the layer's cost */
} layer_move_t;

bool *layer_held_flag (const layer_search_t *search, unsigned rank,
                       unsigned expert);
bool layer_was_held (const layer_search_t *search, unsigned rank,
                     unsigned expert);
unsigned *layer_rank_held (const layer_search_t *search, unsigned rank);
void layer_change_load (layer_search_t *search, unsigned rank, double change);
double layer_replica_load (const layer_search_t *search, unsigned expert,
                           unsigned replicas, unsigned rank);
void layer_hold_expert (layer_search_t *search, unsigned rank,
                        unsigned expert);
double layer_cost (const layer_search_t *search);
/* Returns by how much MOVE would reduce the cost, without making it.  */
double layer_move_gain (layer_search_t *search, const layer_move_t *move);
void layer_apply_move (layer_search_t *search, const layer_move_t *move);

#endif
