#include "kernel/plugin.h"
#include "plugins/placement/layer.h"

#include <string.h>

enum
{
  INITIAL_SWEEPS = 24, /* sweeps for the first split of the tokens */
  MOVE_SWEEPS = 2,     /* sweeps after each move */
  /* Number of ranks, those that finish first, that are tried as the target of
     a new replica.  */
  TARGET_RANK_CANDIDATES = 6
};

/* The search ends when the slowest rank's time is at most this multiple of
   the mean.  */
static const double max_imbalance = 1.01;
/* Minimum relative reduction, by a move, of the sum over the ranks of load
   times time.  */
static const double min_improvement = 1e-6;

struct placement
{
  placement_shape_t shape;
  placement_config_t config;
  estimate_t *estimate;
};

/* Replaces the replica EVICTED by one of EXPERT.  */
typedef struct move
{
  replica_t *evicted;
  unsigned expert;
  double cost; /* sum over the ranks of load times time, after the move */
} move_t;

/* The loads of a layer, to revert an evaluated move.  */
typedef struct snapshot
{
  double *ranks;
  double *replicas;
} snapshot_t;

static placement_t *
incremental_create (TALLOC_CTX *parent, const placement_shape_t *shape,
                    const placement_config_t *config)
{
  placement_t *placement = talloc_zero (parent, placement_t);

  if (placement == NULL)
    return NULL;
  placement->shape = *shape;
  placement->config = *config;
  placement->estimate = estimate_create (placement, shape);
  return placement;
}

static void
incremental_destroy (placement_t *placement)
{
  talloc_free (placement);
}

static void
incremental_observe (placement_t *placement, const placement_sample_t *sample)
{
  estimate_update (placement->estimate, sample);
}

static double
layer_cost (const layer_t *layer)
{
  double cost = 0;

  for (unsigned i = 0; i < layer->shape.ranks; i++)
    cost += layer->ranks[i].load * layer_rank_time (layer, i);
  return cost;
}

static void
snapshot_take (const layer_t *layer, snapshot_t *snapshot)
{
  for (unsigned i = 0; i < layer->shape.ranks; i++)
    snapshot->ranks[i] = layer->ranks[i].load;
  for (unsigned i = 0; i < layer->shape.ranks * layer->shape.slots; i++)
    snapshot->replicas[i] = layer->replicas[i].load;
}

static void
snapshot_restore (layer_t *layer, const snapshot_t *snapshot)
{
  for (unsigned i = 0; i < layer->shape.ranks; i++)
    layer->ranks[i].load = snapshot->ranks[i];
  for (unsigned i = 0; i < layer->shape.ranks * layer->shape.slots; i++)
    layer->replicas[i].load = snapshot->replicas[i];
}

static unsigned
layer_slowest_rank (const layer_t *layer)
{
  unsigned slowest = 0;

  for (unsigned i = 1; i < layer->shape.ranks; i++)
    {
      if (layer_rank_time (layer, i) > layer_rank_time (layer, slowest))
        slowest = i;
    }
  return slowest;
}

/* Returns the replica on RANK whose removal costs least: the one with the
   least load among experts with more than one replica.  Returns NULL when
   each is the only replica of its expert.  */
static replica_t *
layer_choose_evicted (const layer_t *layer, unsigned rank)
{
  replica_t *evicted = NULL;
  replica_t *replica;

  LIST_FOREACH (replica, &layer->ranks[rank].replicas, rank_link)
    {
      if (layer->experts[replica->expert].count > 1
          && (evicted == NULL || replica->load < evicted->load))
        evicted = replica;
    }
  return evicted;
}

/* Fills CANDIDATES with one replica to evict from each of the ranks that
   finish first, in the order of their times.  Returns their number.  */
static unsigned
layer_find_evicted (const layer_t *layer, replica_t **candidates)
{
  double times[TARGET_RANK_CANDIDATES];
  unsigned count = 0;

  for (unsigned i = 0; i < layer->shape.ranks; i++)
    {
      replica_t *evicted = layer_choose_evicted (layer, i);
      double time = layer_rank_time (layer, i);
      unsigned position;

      if (evicted == NULL
          || (count == TARGET_RANK_CANDIDATES && time >= times[count - 1]))
        continue;
      if (count < TARGET_RANK_CANDIDATES)
        count++;
      for (position = count - 1; position > 0 && times[position - 1] > time;
           position--)
        {
          times[position] = times[position - 1];
          candidates[position] = candidates[position - 1];
        }
      times[position] = time;
      candidates[position] = evicted;
    }
  return count;
}

static void
layer_evaluate_move (layer_t *layer, const snapshot_t *snapshot,
                     replica_t *evicted, unsigned expert, move_t *best)
{
  unsigned previous = evicted->expert;
  double cost;

  layer_replace_expert (layer, evicted, expert);
  cost = layer_cost (layer);
  if (best->evicted == NULL || cost < best->cost)
    *best = (move_t){ .evicted = evicted, .expert = expert, .cost = cost };
  layer_replace_expert (layer, evicted, previous);
  snapshot_restore (layer, snapshot);
}

/* Finds the best additional replica of an expert of the slowest rank.
   Sets BEST->evicted to NULL if there is none.  */
static void
layer_find_move (layer_t *layer, const snapshot_t *snapshot, move_t *best)
{
  unsigned slowest = layer_slowest_rank (layer);
  replica_t *candidates[TARGET_RANK_CANDIDATES];
  unsigned count = layer_find_evicted (layer, candidates);
  replica_t *replica;

  best->evicted = NULL;
  LIST_FOREACH (replica, &layer->ranks[slowest].replicas, rank_link)
    {
      for (unsigned i = 0; i < count; i++)
        {
          if (!layer_rank_holds (layer, candidates[i]->rank, replica->expert))
            layer_evaluate_move (layer, snapshot, candidates[i],
                                 replica->expert, best);
        }
    }
}

/* Adds replicas one by one while each reduces the cost.  Returns their
   number.  */
static unsigned
layer_improve (layer_t *layer, unsigned max_moves)
{
  const placement_shape_t *shape = &layer->shape;
  snapshot_t snapshot = {
    .ranks = talloc_array (layer, double, shape->ranks),
    .replicas = talloc_array (layer, double, shape->ranks * shape->slots),
  };
  unsigned moves = 0;

  while (moves < max_moves
         && layer_time (layer) > layer_mean_time (layer) * max_imbalance)
    {
      double cost = layer_cost (layer);
      move_t best;

      snapshot_take (layer, &snapshot);
      layer_find_move (layer, &snapshot, &best);
      if (best.evicted == NULL || best.cost > cost * (1 - min_improvement))
        break;
      layer_replace_expert (layer, best.evicted, best.expert);
      layer_balance (layer, MOVE_SWEEPS);
      moves++;
    }
  return moves;
}

/* Returns the minimum relative gain of a plan with MOVES loaded experts:
   half of the configured minimum without any, all of it with the maximum
   number.  */
static double
plan_min_gain (const placement_t *placement, unsigned moves)
{
  const placement_config_t *config = &placement->config;

  return config->minimum_gain / 2 * (1.0 + (double)moves / config->max_moves);
}

static double
plan_gain (const placement_plan_t *plan)
{
  return 1.0 - plan->time_after / plan->time_before;
}

/* Plans with at most MAX_MOVES loaded experts.  */
static void
plan_with_limit (const placement_t *placement, TALLOC_CTX *parent,
                 const placement_map_t *current, unsigned max_moves,
                 placement_plan_t *plan)
{
  *plan = (placement_plan_t){
    .is_change = true,
    .map = placement_map_create (parent, &placement->shape),
  };
  for (unsigned i = 0; i < placement->shape.layers; i++)
    {
      layer_t *layer = layer_create (NULL, placement->estimate, i, current);

      plan->time_before += layer_time (layer);
      layer_balance (layer, INITIAL_SWEEPS);
      layer_improve (layer, max_moves / placement->shape.layers);
      plan->time_after += layer_time (layer);
      plan->time_bound += layer_time_bound (layer);
      layer_write_map (layer, i, plan->map);
      talloc_free (layer);
    }
  plan->moves = placement_map_moves (current, plan->map);
}

/* Rebalances the token split, and moves experts only if the additional
   gain pays for their loads.  */
static void
incremental_plan (placement_t *placement, TALLOC_CTX *parent,
                  const placement_map_t *current, placement_plan_t *plan)
{
  placement_plan_t split;

  plan_with_limit (placement, parent, current, 0, &split);
  plan_with_limit (placement, parent, current, placement->config.max_moves,
                   plan);
  plan->reason = "gain-pays-moves";
  if (plan_gain (plan) - plan_min_gain (placement, plan->moves)
      <= plan_gain (&split) - plan_min_gain (placement, 0))
    {
      talloc_free (plan->map);
      *plan = split;
      plan->reason = "gain-by-split";
    }
  else
    talloc_free (split.map);
  if (plan_gain (plan) >= plan_min_gain (placement, plan->moves))
    return;
  TALLOC_FREE (plan->map);
  plan->is_change = false;
  plan->moves = 0;
  plan->time_after = plan->time_before;
  plan->reason = "gain-too-small";
}

static const placement_ops_t incremental_ops = {
  .create = incremental_create,
  .destroy = incremental_destroy,
  .observe = incremental_observe,
  .plan = incremental_plan,
};

PLUGIN_REGISTER (incremental, PLUGIN_PLACEMENT, "incremental",
                 "moves few experts, where the gain is worth the loads",
                 &incremental_ops);
