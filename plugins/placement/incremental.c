#include "kernel/plugin.h"
#include "plugins/placement/layer.h"

#include <string.h>

enum
{
  FIRST_SWEEPS = 24, /* to split the tokens anew */
  MOVE_SWEEPS = 2,   /* after each move */
  TARGET_RANKS = 6   /* idle ranks tried for a new replica */
};

/* Moves go on until the slowest rank is this close to the mean.  */
static const double close_enough = 1.01;
/* A move has to lower the sum of load times time by this part.  */
static const double least_improvement = 1e-6;

struct placement
{
  placement_shape_t shape;
  placement_config_t config;
  estimate_t *estimate;
};

/* A replica of EXPERT in place of VICTIM.  */
typedef struct move
{
  replica_t *victim;
  unsigned expert;
  double cost; /* sum of load times time, afterwards */
} move_t;

/* The loads of a layer, to undo a trial.  */
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

/* Return the replica on RANK that is missed least: of an expert with others,
   with the least load.  NULL when each is its expert's last.  */
static replica_t *
layer_victim (const layer_t *layer, unsigned rank)
{
  replica_t *victim = NULL;
  replica_t *replica;

  LIST_FOREACH (replica, &layer->ranks[rank].replicas, rank_link)
    {
      if (layer->experts[replica->expert].count > 1
          && (victim == NULL || replica->load < victim->load))
        victim = replica;
    }
  return victim;
}

/* Collect the ranks that end first, with a victim each.  */
static unsigned
layer_idle_victims (const layer_t *layer, replica_t **victims)
{
  double times[TARGET_RANKS];
  unsigned count = 0;

  for (unsigned i = 0; i < layer->shape.ranks; i++)
    {
      replica_t *victim = layer_victim (layer, i);
      double time = layer_rank_time (layer, i);
      unsigned place;

      if (victim == NULL
          || (count == TARGET_RANKS && time >= times[count - 1]))
        continue;
      if (count < TARGET_RANKS)
        count++;
      for (place = count - 1; place > 0 && times[place - 1] > time; place--)
        {
          times[place] = times[place - 1];
          victims[place] = victims[place - 1];
        }
      times[place] = time;
      victims[place] = victim;
    }
  return count;
}

static void
layer_try_move (layer_t *layer, const snapshot_t *snapshot, replica_t *victim,
                unsigned expert, move_t *best)
{
  unsigned before = victim->expert;
  double cost;

  layer_replace_expert (layer, victim, expert);
  cost = layer_cost (layer);
  if (best->victim == NULL || cost < best->cost)
    *best = (move_t){ .victim = victim, .expert = expert, .cost = cost };
  layer_replace_expert (layer, victim, before);
  snapshot_restore (layer, snapshot);
}

/* Find the replica of an expert of the slowest rank that relieves it most.  */
static void
layer_find_move (layer_t *layer, const snapshot_t *snapshot, move_t *best)
{
  unsigned slowest = layer_slowest_rank (layer);
  replica_t *victims[TARGET_RANKS];
  unsigned count = layer_idle_victims (layer, victims);
  replica_t *replica;

  best->victim = NULL;
  LIST_FOREACH (replica, &layer->ranks[slowest].replicas, rank_link)
    {
      for (unsigned i = 0; i < count; i++)
        {
          if (!layer_rank_holds (layer, victims[i]->rank, replica->expert))
            layer_try_move (layer, snapshot, victims[i], replica->expert,
                            best);
        }
    }
}

/* Add replicas one by one while each helps.  Returns their number.  */
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
         && layer_time (layer) > layer_mean_time (layer) * close_enough)
    {
      double cost = layer_cost (layer);
      move_t best;

      snapshot_take (layer, &snapshot);
      layer_find_move (layer, &snapshot, &best);
      if (best.victim == NULL || best.cost > cost * (1 - least_improvement))
        break;
      layer_replace_expert (layer, best.victim, best.expert);
      layer_balance (layer, MOVE_SWEEPS);
      moves++;
    }
  return moves;
}

/* The part of step time that a change has to gain: half of the operators'
   limit if no weights move, all of it for as many as may.  */
static double
plan_price (const placement_t *placement, unsigned moves)
{
  const placement_config_t *config = &placement->config;

  return config->minimum_gain / 2 * (1.0 + (double)moves / config->max_moves);
}

static double
plan_gain (const placement_plan_t *plan)
{
  return 1.0 - plan->time_after / plan->time_before;
}

/* Plan with at most MAX_MOVES moves.  */
static void
plan_within (const placement_t *placement, TALLOC_CTX *parent,
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
      layer_balance (layer, FIRST_SWEEPS);
      layer_improve (layer, max_moves / placement->shape.layers);
      plan->time_after += layer_time (layer);
      plan->time_bound += layer_time_bound (layer);
      layer_write_map (layer, i, plan->map);
      talloc_free (layer);
    }
  plan->moves = placement_map_moves (current, plan->map);
}

/* Split the tokens anew, and move weights as far as the gain pays for it.  */
static void
incremental_plan (placement_t *placement, TALLOC_CTX *parent,
                  const placement_map_t *current, placement_plan_t *plan)
{
  placement_plan_t split;

  plan_within (placement, parent, current, 0, &split);
  plan_within (placement, parent, current, placement->config.max_moves, plan);
  plan->reason = "gain-pays-moves";
  if (plan_gain (plan) - plan_price (placement, plan->moves)
      <= plan_gain (&split) - plan_price (placement, 0))
    {
      talloc_free (plan->map);
      *plan = split;
      plan->reason = "gain-by-split";
    }
  else
    talloc_free (split.map);
  if (plan_gain (plan) >= plan_price (placement, plan->moves))
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
                 "moves few experts where it pays", &incremental_ops);
