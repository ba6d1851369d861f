#include "kernel/plugin.h"
#include "plugins/placement.h"

#include <math.h>
#include <string.h>

/* For engines that split the tokens of an expert evenly among the ranks that
   hold it, and that let a rank load few weights at a time: single steps that
   relieve the busiest rank, as long as they help.  */

enum
{
  HOT_EXPERTS = 4, /* of the busiest rank, tried in each step */
  IDLE_RANKS = 4,  /* tried in each step to take one over */
  STEPS_A_LAYER = 64
};

/* Part of the older counts in the estimate when new ones come.  */
static const double memory = 0.35;
/* A step has to lower the time of a layer, in mean ranks, by this much.  */
static const double least_improvement = 1e-4;
/* Experts that got no token are not believed to be without any for good.  */
static const double popularity_floor = 1e-5;

struct placement
{
  placement_shape_t shape;
  placement_config_t config;
  double *counts; /* by layer and expert, smoothed */
  double *speed;  /* by rank; 1 is the usual */
};

/* A layer while steps are tried on it.  */
typedef struct layer_work
{
  const placement_shape_t *shape;
  unsigned max_loads_per_rank;
  double min_gain_per_load;
  double *popularity; /* by expert; 1 in sum */
  unsigned *replicas; /* by expert */
  bool *was_held;     /* by rank and expert: under the present map */
  bool *is_held;      /* by rank and expert */
  double *load;       /* by rank: time over that of a mean rank */
  const double *speed;
  unsigned *used;  /* by rank: slots */
  unsigned *fresh; /* by rank: weights to be loaded */
  double value;    /* before the step that is tried; the less the better */
} layer_work_t;

/* A step: RANK gives up EXPERT unless it is PLACEMENT_SLOT_FREE, and takes
   TAKEN, and the other way round for OTHER.  */
typedef struct step
{
  unsigned rank;
  unsigned expert; /* moves or is copied from RANK */
  bool is_copied;  /* RANK keeps it */
  unsigned other;
  unsigned victim; /* that OTHER gives up, or PLACEMENT_SLOT_FREE */
  bool is_swap;    /* RANK takes the victim */
  double gain;     /* of the layer's time, less what the loads cost */
} step_t;

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
        = placement->counts[i] * memory + (double)sample->tokens[i];
  for (unsigned i = 0; i < placement->shape.ranks; i++)
    {
      if (sample->busy_us[i] > 0 && sample->work[i] > 0)
        placement->speed[i]
            = (double)sample->work[i] / (double)sample->busy_us[i];
    }
}

static bool *
held (const layer_work_t *work, unsigned rank, unsigned expert)
{
  return &work->is_held[(size_t)rank * work->shape->experts + expert];
}

static bool
was_held (const layer_work_t *work, unsigned rank, unsigned expert)
{
  return work->was_held[(size_t)rank * work->shape->experts + expert];
}

/* The part of a rank's time that a replica of EXPERT takes, with REPLICAS of
   it.  */
static double
replica_load (const layer_work_t *work, unsigned expert, unsigned replicas,
              unsigned rank)
{
  return work->popularity[expert] * work->shape->ranks / replicas
         / work->speed[rank];
}

/* Change the number of replicas of EXPERT, for the ranks that hold it.  */
static void
change_replicas (layer_work_t *work, unsigned expert, unsigned replicas)
{
  unsigned before = work->replicas[expert];

  for (unsigned rank = 0; rank < work->shape->ranks; rank++)
    {
      if (*held (work, rank, expert))
        work->load[rank] += replica_load (work, expert, replicas, rank)
                            - replica_load (work, expert, before, rank);
    }
  work->replicas[expert] = replicas;
}

static void
add_replica (layer_work_t *work, unsigned rank, unsigned expert)
{
  change_replicas (work, expert, work->replicas[expert] + 1);
  *held (work, rank, expert) = true;
  work->load[rank]
      += replica_load (work, expert, work->replicas[expert], rank);
  work->used[rank]++;
  if (!was_held (work, rank, expert))
    work->fresh[rank]++;
}

static void
drop_replica (layer_work_t *work, unsigned rank, unsigned expert)
{
  work->load[rank]
      -= replica_load (work, expert, work->replicas[expert], rank);
  *held (work, rank, expert) = false;
  change_replicas (work, expert, work->replicas[expert] - 1);
  work->used[rank]--;
  if (!was_held (work, rank, expert))
    work->fresh[rank]--;
}

/* Move the replica of EXPERT from one rank to another.  */
static void
move_replica (layer_work_t *work, unsigned from, unsigned to, unsigned expert)
{
  add_replica (work, to, expert);
  drop_replica (work, from, expert);
}

static void
take_step (layer_work_t *work, const step_t *step)
{
  if (step->is_swap)
    {
      move_replica (work, step->rank, step->other, step->expert);
      move_replica (work, step->other, step->rank, step->victim);
      return;
    }
  if (step->other != PLACEMENT_SLOT_FREE
      && step->victim != PLACEMENT_SLOT_FREE)
    drop_replica (work, step->other, step->victim);
  if (step->other != PLACEMENT_SLOT_FREE)
    add_replica (work, step->other, step->expert);
  if (!step->is_copied)
    drop_replica (work, step->rank, step->expert);
}

static void
undo_step (layer_work_t *work, const step_t *step)
{
  if (step->is_swap)
    {
      move_replica (work, step->rank, step->other, step->victim);
      move_replica (work, step->other, step->rank, step->expert);
      return;
    }
  if (!step->is_copied)
    add_replica (work, step->rank, step->expert);
  if (step->other != PLACEMENT_SLOT_FREE)
    drop_replica (work, step->other, step->expert);
  if (step->other != PLACEMENT_SLOT_FREE
      && step->victim != PLACEMENT_SLOT_FREE)
    add_replica (work, step->other, step->victim);
}

/* Return about the slowest rank's time.  The others count a little, so that
   steps that prepare its relief are seen to help.  */
static double
layer_time (const layer_work_t *work)
{
  double sum = 0;

  for (unsigned rank = 0; rank < work->shape->ranks; rank++)
    {
      double square = work->load[rank] * work->load[rank];
      double fourth = square * square;

      sum += fourth * fourth;
    }
  return sqrt (sqrt (sqrt (sum)));
}

/* The time of the layer and what the weights to be loaded cost.  */
static double
layer_value (const layer_work_t *work)
{
  unsigned loads = 0;

  for (unsigned rank = 0; rank < work->shape->ranks; rank++)
    loads += work->fresh[rank];
  return layer_time (work) + work->min_gain_per_load * loads;
}

static double
layer_slowest (const layer_work_t *work, unsigned *slowest)
{
  double most = 0;

  for (unsigned rank = 0; rank < work->shape->ranks; rank++)
    {
      if (work->load[rank] <= most)
        continue;
      most = work->load[rank];
      *slowest = rank;
    }
  return most;
}

static bool
may_load (const layer_work_t *work, unsigned rank, unsigned expert)
{
  return was_held (work, rank, expert) || work->max_loads_per_rank == 0
         || work->fresh[rank] < work->max_loads_per_rank;
}

static void
try_step (layer_work_t *work, step_t *step, step_t *best)
{
  take_step (work, step);
  step->gain = work->value - layer_value (work);
  undo_step (work, step);
  if (step->gain > best->gain)
    *best = *step;
}

/* Try to have OTHER take EXPERT of RANK over, or a part of its tokens.  */
static void
try_other (layer_work_t *work, unsigned rank, unsigned expert, unsigned other,
           step_t *best)
{
  step_t step = { .rank = rank,
                  .expert = expert,
                  .is_copied = true,
                  .other = other,
                  .victim = PLACEMENT_SLOT_FREE };

  if (*held (work, other, expert) || !may_load (work, other, expert))
    return;
  if (work->used[other] < work->shape->slots)
    {
      try_step (work, &step, best);
      step.is_copied = false;
      try_step (work, &step, best);
      return;
    }
  for (unsigned victim = 0; victim < work->shape->experts; victim++)
    {
      if (!*held (work, other, victim))
        continue;
      step.victim = victim;
      step.is_swap = false;
      step.is_copied = true;
      if (work->replicas[victim] > 1)
        try_step (work, &step, best);
      step.is_swap = true;
      if (!*held (work, rank, victim) && may_load (work, rank, victim))
        try_step (work, &step, best);
    }
}

/* Sort the ranks with the least load to the front of RANKS.  */
static unsigned
idle_ranks (const layer_work_t *work, unsigned *ranks)
{
  unsigned count = 0;

  for (unsigned rank = 0; rank < work->shape->ranks; rank++)
    {
      unsigned place = count;

      while (place > 0 && work->load[ranks[place - 1]] > work->load[rank])
        place--;
      if (place == IDLE_RANKS)
        continue;
      if (count < IDLE_RANKS)
        count++;
      memmove (&ranks[place + 1], &ranks[place],
               (count - 1 - place) * sizeof *ranks);
      ranks[place] = rank;
    }
  return count;
}

/* Sort the experts that load RANK most to the front of EXPERTS.  */
static unsigned
hot_experts (const layer_work_t *work, unsigned rank, unsigned *experts)
{
  double loads[HOT_EXPERTS];
  unsigned count = 0;

  for (unsigned expert = 0; expert < work->shape->experts; expert++)
    {
      unsigned place = count;
      double load;

      if (!*held (work, rank, expert))
        continue;
      load = replica_load (work, expert, work->replicas[expert], rank);
      while (place > 0 && loads[place - 1] < load)
        place--;
      if (place == HOT_EXPERTS)
        continue;
      if (count < HOT_EXPERTS)
        count++;
      memmove (&experts[place + 1], &experts[place],
               (count - 1 - place) * sizeof *experts);
      memmove (&loads[place + 1], &loads[place],
               (count - 1 - place) * sizeof *loads);
      experts[place] = expert;
      loads[place] = load;
    }
  return count;
}

static bool
find_step (layer_work_t *work, step_t *best)
{
  unsigned slowest = 0;
  unsigned others[IDLE_RANKS + 1];
  unsigned experts[HOT_EXPERTS + 1];
  unsigned other_count = idle_ranks (work, others);
  unsigned expert_count;

  layer_slowest (work, &slowest);
  expert_count = hot_experts (work, slowest, experts);
  work->value = layer_value (work);
  best->gain = least_improvement;
  best->rank = PLACEMENT_SLOT_FREE;
  for (unsigned i = 0; i < expert_count; i++)
    {
      step_t drop = { .rank = slowest,
                      .expert = experts[i],
                      .other = PLACEMENT_SLOT_FREE,
                      .victim = PLACEMENT_SLOT_FREE };

      if (work->replicas[experts[i]] > 1)
        try_step (work, &drop, best);
      for (unsigned j = 0; j < other_count; j++)
        {
          if (others[j] != slowest)
            try_other (work, slowest, experts[i], others[j], best);
        }
    }
  return best->rank != PLACEMENT_SLOT_FREE;
}

static void
layer_read_map (layer_work_t *work, const placement_map_t *map, unsigned layer)
{
  const placement_shape_t *shape = work->shape;

  for (unsigned rank = 0; rank < shape->ranks; rank++)
    {
      for (unsigned slot = 0; slot < shape->slots; slot++)
        {
          unsigned expert
              = placement_map_slot (map, layer, rank, slot)->expert;

          if (expert == PLACEMENT_SLOT_FREE || *held (work, rank, expert))
            continue;
          *held (work, rank, expert) = true;
          work->replicas[expert]++;
          work->used[rank]++;
        }
    }
  memcpy (work->was_held, work->is_held,
          (size_t)shape->ranks * shape->experts * sizeof *work->is_held);
  for (unsigned rank = 0; rank < shape->ranks; rank++)
    {
      for (unsigned expert = 0; expert < shape->experts; expert++)
        {
          if (*held (work, rank, expert))
            work->load[rank]
                += replica_load (work, expert, work->replicas[expert], rank);
        }
    }
}

static layer_work_t *
layer_work_create (const placement_t *placement, const placement_map_t *map,
                   unsigned layer, unsigned max_loads_per_rank)
{
  const placement_shape_t *shape = &placement->shape;
  size_t pairs = (size_t)shape->ranks * shape->experts;
  const double *counts = &placement->counts[(size_t)layer * shape->experts];
  layer_work_t *work = talloc_zero (NULL, layer_work_t);
  double total = 0;

  work->shape = shape;
  work->max_loads_per_rank = max_loads_per_rank;
  work->min_gain_per_load = placement->config.min_gain_per_load;
  work->speed = placement->speed;
  work->popularity = talloc_array (work, double, shape->experts);
  work->replicas = talloc_zero_array (work, unsigned, shape->experts);
  work->was_held = talloc_zero_array (work, bool, pairs);
  work->is_held = talloc_zero_array (work, bool, pairs);
  work->load = talloc_zero_array (work, double, shape->ranks);
  work->used = talloc_zero_array (work, unsigned, shape->ranks);
  work->fresh = talloc_zero_array (work, unsigned, shape->ranks);
  for (unsigned i = 0; i < shape->experts; i++)
    total += counts[i];
  for (unsigned i = 0; i < shape->experts; i++)
    {
      work->popularity[i]
          = total > 0 ? counts[i] / total : 1.0 / shape->experts;
      if (work->popularity[i] < popularity_floor)
        work->popularity[i] = popularity_floor;
    }
  layer_read_map (work, map, layer);
  return work;
}

static void
layer_write_map (const layer_work_t *work, placement_map_t *map,
                 unsigned layer)
{
  const placement_shape_t *shape = work->shape;

  for (unsigned rank = 0; rank < shape->ranks; rank++)
    {
      unsigned slot = 0;

      for (unsigned expert = 0; expert < shape->experts; expert++)
        {
          if (*held (work, rank, expert))
            *placement_map_slot (map, layer, rank, slot++)
                = (placement_slot_t){ .expert = (uint16_t)expert,
                                      .share
                                      = (uint16_t)(PLACEMENT_SHARE_FULL
                                                   / work->replicas[expert]) };
        }
      while (slot < shape->slots)
        *placement_map_slot (map, layer, rank, slot++)
            = (placement_slot_t){ .expert = PLACEMENT_SLOT_FREE };
    }
}

/* Plan with at most MAX_LOADS_PER_RANK weights loaded by each rank for a
   layer. Returns how many the rank with the most loads for all layers.  */
static unsigned
plan_within (const placement_t *placement, TALLOC_CTX *parent,
             const placement_map_t *current, unsigned max_loads_per_rank,
             placement_plan_t *plan)
{
  const placement_shape_t *shape = &placement->shape;
  unsigned *loads = talloc_zero_array (NULL, unsigned, shape->ranks);
  unsigned most = 0;
  unsigned slowest;

  *plan = (placement_plan_t){ .map = placement_map_create (parent, shape),
                              .time_bound = shape->layers };
  for (unsigned layer = 0; layer < shape->layers; layer++)
    {
      layer_work_t *work
          = layer_work_create (placement, current, layer, max_loads_per_rank);
      step_t step;

      plan->time_before += layer_slowest (work, &slowest);
      for (unsigned i = 0; i < STEPS_A_LAYER && find_step (work, &step); i++)
        take_step (work, &step);
      plan->time_after += layer_slowest (work, &slowest);
      for (unsigned rank = 0; rank < shape->ranks; rank++)
        loads[rank] += work->fresh[rank];
      layer_write_map (work, plan->map, layer);
      talloc_free (work);
    }
  for (unsigned rank = 0; rank < shape->ranks; rank++)
    most = loads[rank] > most ? loads[rank] : most;
  talloc_free (loads);
  plan->moves = placement_map_moves (current, plan->map);
  return most;
}

/* What a plan is worth: the time saved while its map fits, which is the
   shorter the longer its weights take to load.  */
static double
plan_worth (const placement_t *placement, const placement_plan_t *plan,
            unsigned loads)
{
  const placement_config_t *config = &placement->config;
  double left = config->horizon_seconds - config->load_seconds * loads;

  if (config->horizon_seconds <= 0)
    left = 1;
  return left <= 0 ? 0 : left * (plan->time_before - plan->time_after);
}

/* Weigh changes that load more and more weights.  */
static void
even_plan (placement_t *placement, TALLOC_CTX *parent,
           const placement_map_t *current, placement_plan_t *plan)
{
  unsigned limit = placement->config.max_loads_per_rank;
  double best_worth = 0;

  *plan = (placement_plan_t){ .reason = "gain-too-small" };
  for (unsigned moves = 1; moves <= limit || moves == 1; moves *= 2)
    {
      placement_plan_t tried;
      unsigned loads = plan_within (placement, parent, current, moves, &tried);
      double worth = plan_worth (placement, &tried, loads);
      double gain = 1.0 - tried.time_after / tried.time_before;

      if (plan->time_before == 0)
        {
          plan->time_before = plan->time_after = tried.time_before;
          plan->time_bound = tried.time_bound;
        }
      if (worth <= best_worth || gain < placement->config.minimum_gain)
        {
          talloc_free (tried.map);
          continue;
        }
      best_worth = worth;
      talloc_free (plan->map);
      *plan = tried;
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
                 "relieves the busiest rank; tokens are split evenly",
                 &even_ops);
