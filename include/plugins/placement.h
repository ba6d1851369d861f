#ifndef SISKIN_PLUGINS_PLACEMENT_H
#define SISKIN_PLUGINS_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* Which experts' weights each rank of a lock-step group holds, and how the
   tokens of an expert are split among its replicas.  Each layer ends when its
   slowest rank does, so a step takes the sum over the layers of the slowest
   rank's time.  A policy belongs to one worker and must not block.  */
typedef struct placement placement_t;

enum
{
  PLACEMENT_MAX_RANKS = 1024,
  PLACEMENT_MAX_EXPERTS = 4096,
  PLACEMENT_MAX_LAYERS = 128,
  PLACEMENT_MAX_SLOTS = 64,
  PLACEMENT_SLOT_FREE
  = 65535, /* in place of an expert: the slot is not used */
  PLACEMENT_SHARE_FULL = 65535 /* all tokens of an expert */
};

typedef struct placement_shape
{
  unsigned layers;
  unsigned ranks;
  unsigned experts; /* of a layer */
  unsigned slots;   /* replicas that a rank holds of a layer */
} placement_shape_t;

/* One replica: EXPERT is held, and gets SHARE of the expert's tokens.  A free
   slot has PLACEMENT_SLOT_FREE and no share.  */
typedef struct placement_slot
{
  uint16_t expert;
  uint16_t share;
} placement_slot_t;

/* The expert map: the slots in the order layer, rank, slot.  */
typedef struct placement_map
{
  placement_shape_t shape;
  placement_slot_t *slots;
} placement_map_t;

typedef struct placement_config
{
  double minimum_gain; /* of step time, before the map is changed */
  unsigned max_moves;  /* weights loaded for one change; at least 1 */
  /* For policies that split tokens evenly; 0 for no limit or cost.  */
  unsigned max_loads_per_rank; /* weights of a layer that a rank may load */
  double min_gain_per_load; /* of a layer's time, that each weight loaded must
                         bring */
  double load_seconds;      /* a rank takes to load an expert's weights */
  double horizon_seconds;   /* for how long a map is expected to fit */
} placement_config_t;

/* What was seen since the last sample.  */
typedef struct placement_sample
{
  const uint64_t *tokens;  /* by layer and expert */
  const uint64_t *work;    /* by rank: tokens that it computed */
  const uint64_t *busy_us; /* by rank: without the wait for others */
} placement_sample_t;

typedef struct placement_plan
{
  bool is_change;
  placement_map_t *map; /* the new one; NULL unless IS_CHANGE */
  unsigned moves;       /* slots whose weights have to be loaded */
  double time_before;   /* of a step under the present map, estimated */
  double time_after;
  double time_bound;  /* no map with these replicas can be below it */
  const char *reason; /* a constant, for the log */
} placement_plan_t;

typedef struct placement_ops
{
  placement_t *(*create) (TALLOC_CTX *parent, const placement_shape_t *shape,
                          const placement_config_t *config);
  void (*destroy) (placement_t *placement);
  void (*observe) (placement_t *placement, const placement_sample_t *sample);
  /* PLAN's map belongs to PARENT.  */
  void (*plan) (placement_t *placement, TALLOC_CTX *parent,
                const placement_map_t *current, placement_plan_t *plan);
} placement_ops_t;

placement_map_t *placement_map_create (TALLOC_CTX *parent,
                                       const placement_shape_t *shape);
placement_map_t *placement_map_create_initial (TALLOC_CTX *parent,
                                               const placement_shape_t *shape);
placement_slot_t *placement_map_slot (const placement_map_t *map,
                                      unsigned layer, unsigned rank,
                                      unsigned slot);
bool placement_map_holds (const placement_map_t *map, unsigned layer,
                          unsigned rank, unsigned expert);
bool placement_map_is_valid (const placement_map_t *map);
unsigned placement_map_moves (const placement_map_t *from,
                              const placement_map_t *to);

#endif
