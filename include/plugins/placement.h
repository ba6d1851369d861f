#ifndef SISKIN_PLUGINS_PLACEMENT_H
#define SISKIN_PLUGINS_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* A policy that decides which experts' weights each rank of a lock-step
   group holds, and how the tokens of an expert are split among its
   replicas.  Each layer ends when its slowest rank does, so the step time
   is the sum over the layers of the slowest rank's time.  A policy belongs
   to one worker and must not block.  */
typedef struct placement placement_t;

enum
{
  PLACEMENT_MAX_RANKS = 1024,
  PLACEMENT_MAX_EXPERTS = 4096,
  PLACEMENT_MAX_LAYERS = 128,
  PLACEMENT_MAX_SLOTS = 64,
  PLACEMENT_SLOT_FREE = 65535, /* instead of an expert: the slot is unused */
  PLACEMENT_SHARE_FULL = 65535 /* all tokens of the expert */
};

typedef struct placement_shape
{
  unsigned layers;
  unsigned ranks;
  unsigned experts; /* experts in each layer */
  unsigned slots;   /* replicas that a rank can hold in each layer */
} placement_shape_t;

/* One replica: the rank holds EXPERT and gets SHARE of its tokens.  An
   unused slot has PLACEMENT_SLOT_FREE and share 0.  */
typedef struct placement_slot
{
  uint16_t expert;
  uint16_t share;
} placement_slot_t;

/* An expert map: the slots, ordered by layer, rank and slot.  */
typedef struct placement_map
{
  placement_shape_t shape;
  placement_slot_t *slots;
} placement_map_t;

typedef struct placement_config
{
  double minimum_gain; /* minimum relative reduction of step time */
  /* Maximum number of experts loaded for one change, over all ranks and
     layers; at least 1.  Used only by policies that also choose the shares of
     an expert's replicas.  */
  unsigned max_moves;
  /* The other fields are used only by policies that give all replicas of an
     expert equal shares; 0 means no limit or no cost.  */
  unsigned max_loads_per_rank; /* experts that a rank may load in each layer */
  /* Minimum reduction of a layer's time for each expert loaded, as a fraction
     of the time that the layer would take if all ranks had the same load.  */
  double min_gain_per_load;
  double load_seconds;    /* time to load one expert's weights on a rank */
  double horizon_seconds; /* how long a map is expected to match the load */
} placement_config_t;

/* Measurements since the last sample.  */
typedef struct placement_sample
{
  const uint64_t *tokens;  /* token counts by layer and expert */
  const uint64_t *work;    /* by rank: number of tokens computed */
  const uint64_t *busy_us; /* by rank: compute time, without waiting */
} placement_sample_t;

typedef struct placement_plan
{
  bool is_change;
  placement_map_t *map; /* new map; NULL unless IS_CHANGE */
  /* Number of experts whose weights ranks have to load, each rank and layer
     counted.  */
  unsigned moves;
  double time_before; /* estimated step time with the current map */
  double time_after;
  double time_bound; /* lower bound of the step time, however the tokens are
                        split among the ranks */
  /* The part that the newest counts have in common with the older ones, from 0
     to 1; 0 if the policy does not compare them.  */
  double overlap;
  const char *reason; /* constant string for the log */
} placement_plan_t;

typedef struct placement_ops
{
  placement_t *(*create) (TALLOC_CTX *parent, const placement_shape_t *shape,
                          const placement_config_t *config);
  void (*destroy) (placement_t *placement);
  void (*observe) (placement_t *placement, const placement_sample_t *sample);
  /* Sets the speed of RANK relative to its baseline at once, without a sample.
     NULL if the policy learns speeds from samples only.  */
  void (*set_speed) (placement_t *placement, unsigned rank, double speed);
  /* Fills PLAN; its map belongs to PARENT.  */
  void (*plan) (placement_t *placement, TALLOC_CTX *parent,
                const placement_map_t *current, placement_plan_t *plan);
} placement_ops_t;

placement_map_t *placement_map_create (TALLOC_CTX *parent,
                                       const placement_shape_t *shape);
placement_map_t *placement_map_create_initial (TALLOC_CTX *parent,
                                               const placement_shape_t *shape);
/* Like placement_map_create_initial, but with one replica of each expert; the
   remaining slots are free.  */
placement_map_t *
placement_map_create_rotation (TALLOC_CTX *parent,
                               const placement_shape_t *shape);
/* Returns a copy of MAP, or NULL when memory is exhausted.  */
placement_map_t *placement_map_copy (TALLOC_CTX *parent,
                                     const placement_map_t *map);
/* Sorts the experts of each rank and layer.  All ranks of a group must be
   given a map in the same order, since engines may compare maps literally.  */
void placement_map_sort (placement_map_t *map);
/* A hash of the experts that each rank holds, in any order.  */
uint64_t placement_map_digest (const placement_map_t *map);
placement_slot_t *placement_map_slot (const placement_map_t *map,
                                      unsigned layer, unsigned rank,
                                      unsigned slot);
bool placement_map_holds (const placement_map_t *map, unsigned layer,
                          unsigned rank, unsigned expert);
bool placement_map_is_valid (const placement_map_t *map);
/* Counts as placement_plan_t.moves.  */
unsigned placement_map_moves (const placement_map_t *from,
                              const placement_map_t *to);

#endif
