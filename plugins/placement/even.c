#include "kernel/plugin.h"
#include "plugins/placement.h"

#include <math.h>
#include <string.h>

/* A policy for engines that split the tokens of an expert evenly among its
   replicas and let a rank load only a few experts at a time.  A local
   search applies the move that helps the slowest rank most until no move
   helps.  */

enum
{
  /* Number of the slowest rank's most loaded experts that are tried as the
     expert to move.  */
  HOT_EXPERT_CANDIDATES = 4,
  /* Number of the least loaded ranks that are tried as the target of a
     move.  */
  TARGET_RANK_CANDIDATES = 4,
  MAX_MOVES_PER_LAYER = 64
};

/* Weight of the older counts when new ones are added.  */
static const double history_weight = 0.35;
/* Minimum reduction of a layer's cost by a move.  The unit is the time of
   a balanced layer.  */
static const double min_improvement = 1e-4;
/* Lower limit of the popularity: an expert without tokens may get some
   later.  */
static const double min_popularity = 1e-5;

struct placement
{
  placement_shape_t shape;
  placement_config_t config;
  double *counts; /* token counts by layer and expert, smoothed */
  double *speed;  /* by rank; 1 is the baseline */
};

/* The state of the search on one layer.  */
typedef struct layer_search
{
  const placement_shape_t *shape;
  unsigned max_loads_per_rank;
  double min_gain_per_load;
  double *popularity; /* by expert; sums to 1 */
  unsigned *replicas; /* by expert */
  bool *was_held;     /* by rank and expert: in the current map */
  bool *is_held;      /* by rank and expert: after the moves */
  double *load;       /* by rank: its time relative to the mean rank's */
  const double *speed;
  unsigned *used;  /* by rank: slots in use */
  unsigned *loads; /* by rank: experts to be loaded */
  double cost;     /* cost before the move being evaluated */
} layer_search_t;

/* A change of the layer: EXPERT is moved or copied from the rank SOURCE to
   the rank TARGET, which may drop EVICTED, or give it to SOURCE in
   exchange.  Without a target, SOURCE only drops EXPERT.  */
typedef struct move
{
  unsigned source;
  unsigned expert;
  bool is_copied; /* SOURCE keeps EXPERT */
  unsigned target;
  unsigned evicted; /* dropped by TARGET, or PLACEMENT_SLOT_FREE */
  bool is_swap;     /* SOURCE gets EVICTED */
  double gain;      /* reduction of the layer's cost */
} move_t;

static placement_t *
even_create (TALLOC_CTX *parent, const placement_shape_t *shape,
             const placement_config_t *config)
{
  placement_t *placement = talloc_zero (parent, placement_t);

  if (placement == NULL)
    return NULL;
  placement->shape = *shape;
  placement->config = *config;
  placement->counts = talloc_zero_array (
      placement, double, (size_t)shape->layers * shape->experts);
  placement->speed = talloc_array (placement, double, shape->ranks);
  for (unsigned i = 0; i < shape->ranks; i++)
    placement->speed[i] = 1.0;
  return placement;
}

static void
even_destroy (placement_t *placement)
{
  talloc_free (placement);
}

static void
even_observe (placement_t *placement, const placement_sample_t *sample)
{
  size_t count = (size_t)placement->shape.layers * placement->shape.experts;

  for (size_t i = 0; i < count; i++)
    placement->counts[i]
        = placement->counts[i] * history_weight + (double)sample->tokens[i];
  for (unsigned i = 0; i < placement->shape.ranks; i++)
    {
      if (sample->busy_us[i] > 0 && sample->work[i] > 0)
        placement->speed[i]
            = (double)sample->work[i] / (double)sample->busy_us[i];
    }
}

static bool *
held_flag (const layer_search_t *search, unsigned rank, unsigned expert)
{
  return &search->is_held[(size_t)rank * search->shape->experts + expert];
}

static bool
was_held (const layer_search_t *search, unsigned rank, unsigned expert)
{
  return search->was_held[(size_t)rank * search->shape->experts + expert];
}

/* Returns the load that a replica of EXPERT adds to RANK if the expert has
   REPLICAS of them.  */
static double
replica_load (const layer_search_t *search, unsigned expert, unsigned replicas,
              unsigned rank)
{
  return search->popularity[expert] * search->shape->ranks / replicas
         / search->speed[rank];
}

/* Changes the number of replicas of EXPERT and updates the load of the
   ranks that hold it.  */
static void
set_replica_count (layer_search_t *search, unsigned expert, unsigned replicas)
{
  unsigned before = search->replicas[expert];

  for (unsigned rank = 0; rank < search->shape->ranks; rank++)
    {
      if (*held_flag (search, rank, expert))
        search->load[rank] += replica_load (search, expert, replicas, rank)
                              - replica_load (search, expert, before, rank);
    }
  search->replicas[expert] = replicas;
}

static void
add_replica (layer_search_t *search, unsigned rank, unsigned expert)
{
  set_replica_count (search, expert, search->replicas[expert] + 1);
  *held_flag (search, rank, expert) = true;
  search->load[rank]
      += replica_load (search, expert, search->replicas[expert], rank);
  search->used[rank]++;
  if (!was_held (search, rank, expert))
    search->loads[rank]++;
}

static void
drop_replica (layer_search_t *search, unsigned rank, unsigned expert)
{
  search->load[rank]
      -= replica_load (search, expert, search->replicas[expert], rank);
  *held_flag (search, rank, expert) = false;
  set_replica_count (search, expert, search->replicas[expert] - 1);
  search->used[rank]--;
  if (!was_held (search, rank, expert))
    search->loads[rank]--;
}

/* Moves the replica of EXPERT from one rank to another.  */
static void
move_replica (layer_search_t *search, unsigned from, unsigned to,
              unsigned expert)
{
  add_replica (search, to, expert);
  drop_replica (search, from, expert);
}

static void
apply_move (layer_search_t *search, const move_t *move)
{
  if (move->is_swap)
    {
      move_replica (search, move->source, move->target, move->expert);
      move_replica (search, move->target, move->source, move->evicted);
      return;
    }
  if (move->target != PLACEMENT_SLOT_FREE
      && move->evicted != PLACEMENT_SLOT_FREE)
    drop_replica (search, move->target, move->evicted);
  if (move->target != PLACEMENT_SLOT_FREE)
    add_replica (search, move->target, move->expert);
  if (!move->is_copied)
    drop_replica (search, move->source, move->expert);
}

static void
undo_move (layer_search_t *search, const move_t *move)
{
  if (move->is_swap)
    {
      move_replica (search, move->source, move->target, move->evicted);
      move_replica (search, move->target, move->source, move->expert);
      return;
    }
  if (!move->is_copied)
    add_replica (search, move->source, move->expert);
  if (move->target != PLACEMENT_SLOT_FREE)
    drop_replica (search, move->target, move->expert);
  if (move->target != PLACEMENT_SLOT_FREE
      && move->evicted != PLACEMENT_SLOT_FREE)
    add_replica (search, move->target, move->evicted);
}

/* Returns a smooth approximation of the slowest rank's time (the 8-norm of
   the loads).  The other ranks contribute a little, so that moves that
   only prepare a later gain are recognized as progress.  */
static double
search_time (const layer_search_t *search)
{
  double sum = 0;

  for (unsigned rank = 0; rank < search->shape->ranks; rank++)
    {
      double square = search->load[rank] * search->load[rank];
      double fourth = square * square;

      sum += fourth * fourth;
    }
  return sqrt (sqrt (sqrt (sum)));
}

/* Returns the layer's time plus a penalty for each expert to be loaded.  */
static double
search_cost (const layer_search_t *search)
{
  unsigned loads = 0;

  for (unsigned rank = 0; rank < search->shape->ranks; rank++)
    loads += search->loads[rank];
  return search_time (search) + search->min_gain_per_load * loads;
}

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
  return was_held (search, rank, expert) || search->max_loads_per_rank == 0
         || search->loads[rank] < search->max_loads_per_rank;
}

static void
evaluate_move (layer_search_t *search, move_t *move, move_t *best)
{
  apply_move (search, move);
  move->gain = search->cost - search_cost (search);
  undo_move (search, move);
  if (move->gain > best->gain)
    *best = *move;
}

/* Evaluates moving, copying and swapping EXPERT from SOURCE to TARGET.  */
static void
evaluate_target (layer_search_t *search, unsigned source, unsigned expert,
                 unsigned target, move_t *best)
{
  move_t move = { .source = source,
                  .expert = expert,
                  .is_copied = true,
                  .target = target,
                  .evicted = PLACEMENT_SLOT_FREE };

  if (*held_flag (search, target, expert)
      || !can_load (search, target, expert))
    return;
  if (search->used[target] < search->shape->slots)
    {
      evaluate_move (search, &move, best);
      move.is_copied = false;
      evaluate_move (search, &move, best);
      return;
    }
  for (unsigned evicted = 0; evicted < search->shape->experts; evicted++)
    {
      if (!*held_flag (search, target, evicted))
        continue;
      move.evicted = evicted;
      move.is_swap = false;
      move.is_copied = true;
      if (search->replicas[evicted] > 1)
        evaluate_move (search, &move, best);
      move.is_swap = true;
      if (!*held_flag (search, source, evicted)
          && can_load (search, source, evicted))
        evaluate_move (search, &move, best);
    }
}

/* Fills RANKS with the least loaded ranks in ascending order.  RANKS has
   room for TARGET_RANK_CANDIDATES + 1.  Returns their number.  */
static unsigned
search_least_loaded (const layer_search_t *search, unsigned *ranks)
{
  unsigned count = 0;

  for (unsigned rank = 0; rank < search->shape->ranks; rank++)
    {
      unsigned position = count;

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

  for (unsigned expert = 0; expert < search->shape->experts; expert++)
    {
      unsigned position = count;
      double load;

      if (!*held_flag (search, rank, expert))
        continue;
      load = replica_load (search, expert, search->replicas[expert], rank);
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
find_best_move (layer_search_t *search, move_t *best)
{
  unsigned slowest = 0;
  unsigned targets[TARGET_RANK_CANDIDATES + 1];
  unsigned experts[HOT_EXPERT_CANDIDATES + 1];
  unsigned target_count = search_least_loaded (search, targets);
  unsigned expert_count;

  search_max_time (search, &slowest);
  expert_count = search_hottest_experts (search, slowest, experts);
  search->cost = search_cost (search);
  best->gain = min_improvement;
  best->source = PLACEMENT_SLOT_FREE;
  for (unsigned i = 0; i < expert_count; i++)
    {
      move_t drop = { .source = slowest,
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
              || *held_flag (search, rank, expert))
            continue;
          *held_flag (search, rank, expert) = true;
          search->replicas[expert]++;
          search->used[rank]++;
        }
    }
  memcpy (search->was_held, search->is_held,
          (size_t)shape->ranks * shape->experts * sizeof *search->is_held);
  for (unsigned rank = 0; rank < shape->ranks; rank++)
    {
      for (unsigned expert = 0; expert < shape->experts; expert++)
        {
          if (*held_flag (search, rank, expert))
            search->load[rank] += replica_load (
                search, expert, search->replicas[expert], rank);
        }
    }
}

static layer_search_t *
layer_search_create (const placement_t *placement, const placement_map_t *map,
                     unsigned layer, unsigned max_loads_per_rank)
{
  const placement_shape_t *shape = &placement->shape;
  size_t pairs = (size_t)shape->ranks * shape->experts;
  const double *counts = &placement->counts[(size_t)layer * shape->experts];
  layer_search_t *search = talloc_zero (NULL, layer_search_t);
  double total = 0;

  search->shape = shape;
  search->max_loads_per_rank = max_loads_per_rank;
  search->min_gain_per_load = placement->config.min_gain_per_load;
  search->speed = placement->speed;
  search->popularity = talloc_array (search, double, shape->experts);
  search->replicas = talloc_zero_array (search, unsigned, shape->experts);
  search->was_held = talloc_zero_array (search, bool, pairs);
  search->is_held = talloc_zero_array (search, bool, pairs);
  search->load = talloc_zero_array (search, double, shape->ranks);
  search->used = talloc_zero_array (search, unsigned, shape->ranks);
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

static void
search_write_map (const layer_search_t *search, placement_map_t *map,
                  unsigned layer)
{
  const placement_shape_t *shape = search->shape;

  for (unsigned rank = 0; rank < shape->ranks; rank++)
    {
      unsigned slot = 0;

      for (unsigned expert = 0; expert < shape->experts; expert++)
        {
          if (*held_flag (search, rank, expert))
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

/* Plans with at most MAX_LOADS_PER_RANK experts loaded by each rank in
   each layer.  Returns the highest number of experts that any rank loads
   over all layers.  */
static unsigned
plan_with_limit (const placement_t *placement, TALLOC_CTX *parent,
                 const placement_map_t *current, unsigned max_loads_per_rank,
                 placement_plan_t *plan)
{
  const placement_shape_t *shape = &placement->shape;
  unsigned *loads = talloc_zero_array (NULL, unsigned, shape->ranks);
  unsigned max_loads = 0;
  unsigned slowest;

  *plan = (placement_plan_t){ .map = placement_map_create (parent, shape),
                              .time_bound = shape->layers };
  for (unsigned layer = 0; layer < shape->layers; layer++)
    {
      layer_search_t *search = layer_search_create (placement, current, layer,
                                                    max_loads_per_rank);
      move_t move;

      plan->time_before += search_max_time (search, &slowest);
      for (unsigned i = 0;
           i < MAX_MOVES_PER_LAYER && find_best_move (search, &move); i++)
        apply_move (search, &move);
      plan->time_after += search_max_time (search, &slowest);
      for (unsigned rank = 0; rank < shape->ranks; rank++)
        loads[rank] += search->loads[rank];
      search_write_map (search, plan->map, layer);
      talloc_free (search);
    }
  for (unsigned rank = 0; rank < shape->ranks; rank++)
    max_loads = loads[rank] > max_loads ? loads[rank] : max_loads;
  talloc_free (loads);
  plan->moves = placement_map_moves (current, plan->map);
  return max_loads;
}

/* Returns the benefit of a plan: the step time saved, times how long the
   map remains useful after its weights are loaded.  */
static double
plan_benefit (const placement_t *placement, const placement_plan_t *plan,
              unsigned loads)
{
  const placement_config_t *config = &placement->config;
  double useful_s = config->horizon_seconds - config->load_seconds * loads;

  if (config->horizon_seconds <= 0)
    useful_s = 1;
  return useful_s <= 0 ? 0 : useful_s * (plan->time_before - plan->time_after);
}

/* Plans with increasing limits of loaded experts and keeps the plan with
   the highest benefit.  */
static void
even_plan (placement_t *placement, TALLOC_CTX *parent,
           const placement_map_t *current, placement_plan_t *plan)
{
  unsigned limit = placement->config.max_loads_per_rank;
  double best_benefit = 0;

  *plan = (placement_plan_t){ .reason = "gain-too-small" };
  for (unsigned max_loads = 1; max_loads <= limit || max_loads == 1;
       max_loads *= 2)
    {
      placement_plan_t candidate;
      unsigned loads = plan_with_limit (placement, parent, current, max_loads,
                                        &candidate);
      double benefit = plan_benefit (placement, &candidate, loads);
      double gain = 1.0 - candidate.time_after / candidate.time_before;

      if (plan->time_before == 0)
        {
          plan->time_before = plan->time_after = candidate.time_before;
          plan->time_bound = candidate.time_bound;
        }
      if (benefit <= best_benefit || gain < placement->config.minimum_gain)
        {
          talloc_free (candidate.map);
          continue;
        }
      best_benefit = benefit;
      talloc_free (plan->map);
      *plan = candidate;
      plan->is_change = true;
      plan->reason = "gain-pays-moves";
    }
}

static const placement_ops_t even_ops = {
  .create = even_create,
  .destroy = even_destroy,
  .observe = even_observe,
  .plan = even_plan,
};

PLUGIN_REGISTER (even, PLUGIN_PLACEMENT, "even",
                 "moves experts off the slowest rank; splits tokens evenly",
                 &even_ops);
