#include "plugins/placement/layer_search.h"

#include "plugins/placement/layer_move.h"

#include <string.h>

enum
{
  /* Number of the slowest rank's most loaded experts that are tried as the
     expert to move.  */
  HOT_EXPERT_CANDIDATES = 4,
  /* Number of ranks with and without a spare slot that are tried as the target
     of a move.  */
  TARGET_RANK_CANDIDATES = 4
};

/* Minimum reduction of a layer's cost by a move.  The unit is the time of
   a balanced layer.  */
static const double min_improvement = 1e-4;
/* Lower limit of the popularity: an expert without tokens may get some
   later.  */
static const double min_popularity = 1e-5;

static double
search_max_time (const layer_search_t *search, unsigned *slowest)
{
  double max_time = 0;

  for (unsigned rank = 0; rank < search->shape->ranks; rank++)
    {
      if (search->load[rank] <= max_time)
        continue;
      max_time = search->load[rank];
      *slowest = rank;
    }
  return max_time;
}

static bool
can_load (const layer_search_t *search, unsigned rank, unsigned expert)
{
  const layer_search_options_t *options = search->options;

  if (layer_was_held (search, rank, expert))
    return true;
  if (options->loads_left != NULL && options->loads_left[rank] == 0)
    return false;
  return options->max_loads_per_rank == 0
         || search->loads[rank] < options->max_loads_per_rank;
}

static void
evaluate_move (layer_search_t *search, layer_move_t *move, layer_move_t *best)
{
  move->gain = layer_move_gain (search, move);
  if (move->gain > best->gain)
    *best = *move;
}

/* Evaluates moving, copying and swapping EXPERT from SOURCE to TARGET.  */
static void
evaluate_target (layer_search_t *search, unsigned source, unsigned expert,
                 unsigned target, layer_move_t *best)
{
  layer_move_t move = { .source = source,
                        .expert = expert,
                        .is_copied = true,
                        .target = target,
                        .evicted = PLACEMENT_SLOT_FREE };
  const unsigned *held = layer_rank_held (search, target);

  if (*layer_held_flag (search, target, expert)
      || !can_load (search, target, expert))
    return;
  if (search->used[target] < search->shape->slots)
    {
      evaluate_move (search, &move, best);
      move.is_copied = false;
      evaluate_move (search, &move, best);
      return;
    }
  for (unsigned i = 0; i < search->shape->slots; i++)
    {
      unsigned evicted = held[i];

      move.evicted = evicted;
      move.is_swap = false;
      move.is_copied = true;
      if (search->replicas[evicted] > 1)
        evaluate_move (search, &move, best);
      move.is_swap = true;
      if (!*layer_held_flag (search, source, evicted)
          && can_load (search, source, evicted))
        evaluate_move (search, &move, best);
    }
}

/* Returns whether RANK can take an expert without giving another one away: it
   has a free slot, or holds an expert that other ranks hold too.  */
static bool
rank_has_spare_slot (const layer_search_t *search, unsigned rank)
{
  if (search->used[rank] < search->shape->slots)
    return true;
  for (unsigned i = 0; i < search->used[rank]; i++)
    {
      if (search->replicas[layer_rank_held (search, rank)[i]] > 1)
        return true;
    }
  return false;
}

/* Fills RANKS with the least loaded ranks in ascending order, of those with a
   spare slot if HAS_SPARE_SLOT, otherwise of the others.  RANKS has room for
   TARGET_RANK_CANDIDATES + 1.  Returns their number.  */
static unsigned
search_least_loaded (const layer_search_t *search, bool has_spare_slot,
                     unsigned *ranks)
{
  unsigned count = 0;

  for (unsigned rank = 0; rank < search->shape->ranks; rank++)
    {
      unsigned position = count;

      if (rank_has_spare_slot (search, rank) != has_spare_slot)
        continue;
      while (position > 0
             && search->load[ranks[position - 1]] > search->load[rank])
        position--;
      if (position == TARGET_RANK_CANDIDATES)
        continue;
      if (count < TARGET_RANK_CANDIDATES)
        count++;
      memmove (&ranks[position + 1], &ranks[position],
               (count - 1 - position) * sizeof *ranks);
      ranks[position] = rank;
    }
  return count;
}

/* Fills EXPERTS with the experts that load RANK most, in descending order.
   EXPERTS has room for HOT_EXPERT_CANDIDATES + 1.  Returns their number.  */
static unsigned
search_hottest_experts (const layer_search_t *search, unsigned rank,
                        unsigned *experts)
{
  double loads[HOT_EXPERT_CANDIDATES];
  unsigned count = 0;

  for (unsigned i = 0; i < search->used[rank]; i++)
    {
      unsigned expert = layer_rank_held (search, rank)[i];
      unsigned position = count;
      double load;

      load = layer_replica_load (search, expert, search->replicas[expert],
                                 rank);
      while (position > 0 && loads[position - 1] < load)
        position--;
      if (position == HOT_EXPERT_CANDIDATES)
        continue;
      if (count < HOT_EXPERT_CANDIDATES)
        count++;
      memmove (&experts[position + 1], &experts[position],
               (count - 1 - position) * sizeof *experts);
      memmove (&loads[position + 1], &loads[position],
               (count - 1 - position) * sizeof *loads);
      experts[position] = expert;
      loads[position] = load;
    }
  return count;
}

static bool
find_best_move (layer_search_t *search, layer_move_t *best)
{
  unsigned slowest = 0;
  unsigned targets[2 * (TARGET_RANK_CANDIDATES + 1)];
  unsigned experts[HOT_EXPERT_CANDIDATES + 1];
  unsigned target_count = search_least_loaded (search, false, targets);
  unsigned expert_count;

  target_count += search_least_loaded (search, true, &targets[target_count]);
  search_max_time (search, &slowest);
  expert_count = search_hottest_experts (search, slowest, experts);
  search->cost = layer_cost (search);
  best->gain = min_improvement;
  best->source = PLACEMENT_SLOT_FREE;
  for (unsigned i = 0; i < expert_count; i++)
    {
      layer_move_t drop = { .source = slowest,
                            .expert = experts[i],
                            .target = PLACEMENT_SLOT_FREE,
                            .evicted = PLACEMENT_SLOT_FREE };

      if (search->replicas[experts[i]] > 1)
        evaluate_move (search, &drop, best);
      for (unsigned j = 0; j < target_count; j++)
        {
          if (targets[j] != slowest)
            evaluate_target (search, slowest, experts[i], targets[j], best);
        }
    }
  return best->source != PLACEMENT_SLOT_FREE;
}

static void
search_read_map (layer_search_t *search, const placement_map_t *map,
                 unsigned layer)
{
  const placement_shape_t *shape = search->shape;

  for (unsigned rank = 0; rank < shape->ranks; rank++)
    {
      for (unsigned slot = 0; slot < shape->slots; slot++)
        {
          unsigned expert
              = placement_map_slot (map, layer, rank, slot)->expert;

          if (expert == PLACEMENT_SLOT_FREE
              || *layer_held_flag (search, rank, expert))
            continue;
          layer_hold_expert (search, rank, expert);
          search->replicas[expert]++;
        }
    }
  memcpy (search->was_held, search->is_held,
          (size_t)shape->ranks * shape->experts * sizeof *search->is_held);
  for (unsigned rank = 0; rank < shape->ranks; rank++)
    {
      for (unsigned expert = 0; expert < shape->experts; expert++)
        {
          if (*layer_held_flag (search, rank, expert))
            layer_change_load (search, rank,
                               layer_replica_load (search, expert,
                                                   search->replicas[expert],
                                                   rank));
        }
    }
}

/* Creates a search that starts from LAYER of MAP.  Returns NULL when memory is
   exhausted.  */
layer_search_t *
layer_search_create (TALLOC_CTX *parent, const placement_map_t *map,
                     unsigned layer, const double *counts, const double *speed,
                     const layer_search_options_t *options)
{
  const placement_shape_t *shape = &map->shape;
  size_t pairs = (size_t)shape->ranks * shape->experts;
  layer_search_t *search = talloc_zero (parent, layer_search_t);
  double total = 0;

  if (search == NULL)
    return NULL;
  search->shape = shape;
  search->options = options;
  search->speed = speed;
  search->popularity = talloc_array (search, double, shape->experts);
  search->replicas = talloc_zero_array (search, unsigned, shape->experts);
  search->was_held = talloc_zero_array (search, bool, pairs);
  search->is_held = talloc_zero_array (search, bool, pairs);
  search->load = talloc_zero_array (search, double, shape->ranks);
  search->holders = talloc_zero_array (search, unsigned, pairs);
  /* A move changes the load of the holders of two experts and of its source
     and target.  */
  search->changes
      = talloc_array (search, load_change_t, 2 * (size_t)shape->ranks + 2);
  search->used = talloc_zero_array (search, unsigned, shape->ranks);
  /* A move may use one slot more for a moment.  */
  search->held = talloc_zero_array (search, unsigned,
                                    (size_t)shape->ranks *(shape->slots + 1));
  search->loads = talloc_zero_array (search, unsigned, shape->ranks);
  for (unsigned i = 0; i < shape->experts; i++)
    total += counts[i];
  for (unsigned i = 0; i < shape->experts; i++)
    {
      search->popularity[i]
          = total > 0 ? counts[i] / total : 1.0 / shape->experts;
      if (search->popularity[i] < min_popularity)
        search->popularity[i] = min_popularity;
    }
  search_read_map (search, map, layer);
  return search;
}

/* Frees SEARCH.  */
void
layer_search_destroy (layer_search_t *search)
{
  talloc_free (search);
}

/* Applies the best move.  Returns false if none gains enough.  */
bool
layer_search_step (layer_search_t *search)
{
  layer_move_t move;

  if (!find_best_move (search, &move))
    return false;
  layer_apply_move (search, &move);
  return true;
}

/* Returns the time of the slowest rank.  */
double
layer_search_time (const layer_search_t *search)
{
  unsigned slowest;

  return search_max_time (search, &slowest);
}

/* Returns the number of experts that RANK has to load.  */
unsigned
layer_search_loads (const layer_search_t *search, unsigned rank)
{
  return search->loads[rank];
}

/* Writes the placement after the moves to LAYER of MAP.  */
void
layer_search_write_map (const layer_search_t *search, placement_map_t *map,
                        unsigned layer)
{
  const placement_shape_t *shape = search->shape;

  for (unsigned rank = 0; rank < shape->ranks; rank++)
    {
      unsigned slot = 0;

      for (unsigned expert = 0; expert < shape->experts; expert++)
        {
          if (*layer_held_flag (search, rank, expert))
            *placement_map_slot (map, layer, rank, slot++)
                = (placement_slot_t){
                    .expert = (uint16_t)expert,
                    .share = (uint16_t)(PLACEMENT_SHARE_FULL
                                        / search->replicas[expert])
                  };
        }
      while (slot < shape->slots)
        *placement_map_slot (map, layer, rank, slot++)
            = (placement_slot_t){ .expert = PLACEMENT_SLOT_FREE };
    }
}
