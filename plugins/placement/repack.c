#include "kernel/plugin.h"
#include "plugins/placement/layer.h"

#include <stdlib.h>

struct placement
{
  placement_shape_t shape;
  estimate_t *estimate;
};

/* A replica that has to be put somewhere.  */
typedef struct parcel
{
  unsigned expert;
  double load;
} parcel_t;

typedef struct packing
{
  const estimate_t *estimate;
  placement_map_t *map;
  unsigned layer;
  unsigned *used;  /* slots, by rank */
  double *load;    /* by rank */
  unsigned *count; /* replicas, by expert */
} packing_t;

static placement_t *
repack_create (TALLOC_CTX *parent, const placement_shape_t *shape,
               const placement_config_t *config)
{
  placement_t *placement = talloc_zero (parent, placement_t);

  (void)config;
  if (placement == NULL)
    return NULL;
  placement->shape = *shape;
  placement->estimate = estimate_create (placement, shape);
  return placement;
}

static void
repack_destroy (placement_t *placement)
{
  talloc_free (placement);
}

static void
repack_observe (placement_t *placement, const placement_sample_t *sample)
{
  estimate_update (placement->estimate, sample);
}

/* Give the free slots one by one to the expert with most tokens a replica.  */
static void
packing_count_replicas (packing_t *packing)
{
  const placement_shape_t *shape = &packing->map->shape;
  const double *popularity
      = estimate_popularity (packing->estimate, packing->layer);
  unsigned left = shape->ranks * shape->slots - shape->experts;

  for (unsigned i = 0; i < shape->experts; i++)
    packing->count[i] = 1;
  for (; left > 0; left--)
    {
      unsigned best = 0;

      for (unsigned i = 1; i < shape->experts; i++)
        {
          if (packing->count[i] < shape->ranks
              && popularity[i] / packing->count[i]
                     > popularity[best] / packing->count[best])
            best = i;
        }
      packing->count[best]++;
    }
}

static bool
packing_holds (const packing_t *packing, unsigned rank, unsigned expert)
{
  for (unsigned i = 0; i < packing->used[rank]; i++)
    {
      if (placement_map_slot (packing->map, packing->layer, rank, i)->expert
          == expert)
        return true;
    }
  return false;
}

/* Return the rank that would end first with PARCEL; one that holds the expert
   already only if no other has a free slot.  */
static unsigned
packing_choose_rank (const packing_t *packing, const parcel_t *parcel)
{
  const placement_shape_t *shape = &packing->map->shape;
  unsigned best = 0;
  double best_time = 0;
  bool is_found = false;

  for (unsigned pass = 0; pass < 2 && !is_found; pass++)
    {
      for (unsigned i = 0; i < shape->ranks; i++)
        {
          double time = (packing->load[i] + parcel->load)
                        / packing->estimate->speed[i];

          if (packing->used[i] == shape->slots
              || (pass == 0 && packing_holds (packing, i, parcel->expert))
              || (is_found && time >= best_time))
            continue;
          best = i;
          best_time = time;
          is_found = true;
        }
    }
  return best;
}

static int
parcel_compare (const void *left, const void *right)
{
  const parcel_t *first = left;
  const parcel_t *second = right;

  if (first->load != second->load)
    return first->load > second->load ? -1 : 1;
  return first->expert < second->expert ? -1 : 1;
}

static parcel_t *
packing_list_parcels (const packing_t *packing, TALLOC_CTX *parent)
{
  const placement_shape_t *shape = &packing->map->shape;
  const double *popularity
      = estimate_popularity (packing->estimate, packing->layer);
  size_t total = (size_t)shape->ranks * shape->slots;
  parcel_t *parcels = talloc_zero_array (parent, parcel_t, total);
  size_t next = 0;

  for (unsigned i = 0; i < shape->experts; i++)
    {
      for (unsigned j = 0; j < packing->count[i]; j++)
        parcels[next++]
            = (parcel_t){ .expert = i,
                          .load = popularity[i] / packing->count[i] };
    }
  qsort (parcels, total, sizeof *parcels, parcel_compare);
  return parcels;
}

/* Longest processing time first, from scratch.  */
static void
packing_fill (packing_t *packing)
{
  const placement_shape_t *shape = &packing->map->shape;
  parcel_t *parcels;

  packing_count_replicas (packing);
  parcels = packing_list_parcels (packing, packing->map);
  for (unsigned i = 0; i < shape->ranks * shape->slots; i++)
    {
      unsigned rank = packing_choose_rank (packing, &parcels[i]);
      placement_slot_t *slot = placement_map_slot (
          packing->map, packing->layer, rank, packing->used[rank]);
      unsigned count = packing->count[parcels[i].expert];

      slot->expert = (uint16_t)parcels[i].expert;
      slot->share = (uint16_t)(PLACEMENT_SHARE_FULL / count);
      packing->used[rank]++;
      packing->load[rank] += parcels[i].load;
    }
  talloc_free (parcels);
}

/* Pack every layer anew, whatever the present map is.  */
static void
repack_plan (placement_t *placement, TALLOC_CTX *parent,
             const placement_map_t *current, placement_plan_t *plan)
{
  const placement_shape_t *shape = &placement->shape;

  *plan = (placement_plan_t){ .is_change = true,
                              .map = placement_map_create (parent, shape),
                              .reason = "full-repack" };
  for (unsigned i = 0; i < shape->layers; i++)
    {
      TALLOC_CTX *scratch = talloc_new (NULL);
      layer_t *before
          = layer_create (scratch, placement->estimate, i, current);
      packing_t packing = {
        .estimate = placement->estimate,
        .map = plan->map,
        .layer = i,
        .used = talloc_zero_array (scratch, unsigned, shape->ranks),
        .load = talloc_zero_array (scratch, double, shape->ranks),
        .count = talloc_zero_array (scratch, unsigned, shape->experts),
      };
      layer_t *after;

      packing_fill (&packing);
      after = layer_create (scratch, placement->estimate, i, plan->map);
      plan->time_before += layer_time (before);
      plan->time_after += layer_time (after);
      plan->time_bound += layer_time_bound (after);
      talloc_free (scratch);
    }
  plan->moves = placement_map_moves (current, plan->map);
}

static const placement_ops_t repack_ops = {
  .create = repack_create,
  .destroy = repack_destroy,
  .observe = repack_observe,
  .plan = repack_plan,
};

PLUGIN_REGISTER (repack, PLUGIN_PLACEMENT, "repack",
                 "packs all experts anew each time", &repack_ops);
