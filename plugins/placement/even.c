#include "kernel/plugin.h"
#include "plugins/placement.h"
#include "plugins/placement/layer_search.h"

#include <math.h>
#include <string.h>

/* A policy for engines that split the tokens of an expert evenly among its
   replicas and let a rank load only a few experts at a time.  */

enum
{
  MAX_MOVES_PER_LAYER = 64, /* in a stage */
  MAX_STAGES = 16
};

/* Weight of the older counts when new ones are added.  */
static const double history_weight = 0.6;
/* The new counts have less in common with the older ones than usual by more
   than this many deviations if the popularity has shifted.  The older ones are
   dropped then.  */
static const double shift_deviations = 4;
/* Weights of the newest overlap in its mean and deviation, and the least
   deviation.  */
static const double overlap_mean_gain = 1.0 / 8;
static const double overlap_deviation_gain = 1.0 / 4;
static const double min_overlap_deviation = 0.003;
/* A search is made only if the step time has grown by this part since one has
   found nothing.  */
static const double min_growth = 0.02;
/* A search is made again if the speed of a rank has changed by this factor:
   experts may come back to it although the step time has not grown.  */
static const double min_speed_change = 1.15;
/* Time from the plan to the switch, in seconds, apart from loading the
   weights: the commands to all ranks.  */
static const double switch_s = 0.2;

struct placement
{
  placement_shape_t shape;
  placement_config_t config;
  double *counts; /* token counts by layer and expert, smoothed */
  double *speed;  /* by rank; 1 is the baseline */
  /* Least step time at which a search has found no better map; 0 if there was
     none yet.  */
  double settled_time;
  /* The speed of a rank has changed since the last plan.  A rank that has
     recovered takes from each of many others too little to gain what a change
     usually has to.  */
  bool has_new_speed;
  bool has_counts;
  double overlap; /* of the newest counts with the older ones */
  /* What is usual for OVERLAP; a mean of 0: not known yet.  */
  double overlap_mean;
  double overlap_deviation;
};

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

/* Returns the part that the distributions of LEFT and RIGHT over COUNT experts
   have in common, from 0 to 1, or 1 if one of them is empty.  */
static double
distribution_overlap (const double *left, const uint64_t *right,
                      unsigned count)
{
  double left_total = 0;
  double right_total = 0;
  double overlap = 0;

  for (unsigned i = 0; i < count; i++)
    {
      left_total += left[i];
      right_total += (double)right[i];
    }
  if (left_total <= 0 || right_total <= 0)
    return 1;
  for (unsigned i = 0; i < count; i++)
    overlap += fmin (left[i] / left_total, (double)right[i] / right_total);
  return overlap;
}

/* Returns the part that SAMPLE has in common with the older counts, on average
   over the layers, whose experts are chosen for the same tokens.  */
static double
even_overlap (const placement_t *placement, const placement_sample_t *sample)
{
  const placement_shape_t *shape = &placement->shape;
  double overlap = 0;

  for (unsigned layer = 0; layer < shape->layers; layer++)
    {
      size_t first = (size_t)layer * shape->experts;

      overlap += distribution_overlap (&placement->counts[first],
                                       &sample->tokens[first], shape->experts);
    }
  return overlap / shape->layers;
}

/* Returns whether the overlap of the newest counts shows a shift of the
   popularity, and learns from it what is usual.  An unusual one counts only in
   part, so that one shift doesn't hide the next.  */
static bool
even_has_shifted (placement_t *placement)
{
  double limit = shift_deviations * placement->overlap_deviation;
  double error = placement->overlap - placement->overlap_mean;
  bool is_shift = error < -limit;

  if (placement->overlap_mean <= 0)
    {
      placement->overlap_mean = placement->overlap;
      placement->overlap_deviation = (1 - placement->overlap) / 2;
      return false;
    }
  error = fmax (-limit, fmin (error, limit));
  placement->overlap_mean += overlap_mean_gain * error;
  placement->overlap_deviation
      += overlap_deviation_gain
         * (fabs (error) - placement->overlap_deviation);
  placement->overlap_deviation
      = fmax (placement->overlap_deviation, min_overlap_deviation);
  return is_shift;
}

static void
even_observe (placement_t *placement, const placement_sample_t *sample)
{
  size_t count = (size_t)placement->shape.layers * placement->shape.experts;
  double weight = history_weight;

  placement->overlap = even_overlap (placement, sample);
  if (placement->has_counts && even_has_shifted (placement))
    weight = 0;
  placement->has_counts = true;

  for (size_t i = 0; i < count; i++)
    placement->counts[i]
        = placement->counts[i] * weight + (double)sample->tokens[i];
  for (unsigned i = 0; i < placement->shape.ranks; i++)
    {
      if (sample->busy_us[i] > 0 && sample->work[i] > 0)
        placement->speed[i]
            = (double)sample->work[i] / (double)sample->busy_us[i];
    }
}

static void
even_set_speed (placement_t *placement, unsigned rank, double speed)
{
  double change = speed / placement->speed[rank];

  if (change > min_speed_change || change < 1 / min_speed_change)
    {
      placement->settled_time = 0;
      placement->has_new_speed = true;
    }
  placement->speed[rank] = speed;
}

/* A plan in the making: a search for each layer.  */
typedef struct even_draft
{
  const placement_t *placement;
  layer_search_options_t options;
  layer_search_t **searches; /* by layer */
} even_draft_t;

static double
draft_time (const even_draft_t *draft)
{
  double time = 0;

  for (unsigned i = 0; i < draft->placement->shape.layers; i++)
    time += layer_search_time (draft->searches[i]);
  return time;
}

/* Returns the highest number of experts that a rank has to load.  */
static unsigned
draft_max_loads (const even_draft_t *draft)
{
  const placement_shape_t *shape = &draft->placement->shape;
  unsigned max_loads = 0;

  for (unsigned rank = 0; rank < shape->ranks; rank++)
    {
      unsigned loads = 0;

      for (unsigned i = 0; i < shape->layers; i++)
        loads += layer_search_loads (draft->searches[i], rank);
      if (loads > max_loads)
        max_loads = loads;
    }
  return max_loads;
}

/* Starts a plan from CURRENT in which no rank loads an expert yet.  Returns
   NULL when memory is exhausted.  */
static even_draft_t *
draft_create (const placement_t *placement, const placement_map_t *current)
{
  const placement_shape_t *shape = &placement->shape;
  even_draft_t *draft = talloc_zero (NULL, even_draft_t);
  bool is_complete;

  if (draft == NULL)
    return NULL;
  draft->placement = placement;
  draft->options = (layer_search_options_t){
    .max_loads_per_rank = placement->config.max_loads_per_rank,
    .loads_left = talloc_zero_array (draft, unsigned, shape->ranks),
    .min_gain_per_load = placement->config.min_gain_per_load,
  };
  draft->searches = talloc_zero_array (draft, layer_search_t *, shape->layers);
  is_complete = draft->options.loads_left != NULL && draft->searches != NULL;
  for (unsigned i = 0; is_complete && i < shape->layers; i++)
    {
      draft->searches[i] = layer_search_create (
          draft, current, i, &placement->counts[(size_t)i * shape->experts],
          placement->speed, &draft->options);
      is_complete = draft->searches[i] != NULL;
    }
  if (!is_complete)
    TALLOC_FREE (draft);
  return draft;
}

/* Moves experts in rounds of one move for each layer, so that the layers share
   the loads, until no layer can be improved.  */
static void
draft_run (even_draft_t *draft)
{
  unsigned layers = draft->placement->shape.layers;
  bool is_finished[PLACEMENT_MAX_LAYERS] = { false };
  bool is_improved = true;

  for (unsigned i = 0; i < MAX_MOVES_PER_LAYER && is_improved; i++)
    {
      is_improved = false;
      for (unsigned layer = 0; layer < layers; layer++)
        {
          if (is_finished[layer])
            continue;
          is_finished[layer] = !layer_search_step (draft->searches[layer]);
          is_improved = is_improved || !is_finished[layer];
        }
    }
}

/* Lets each rank load MORE experts.  */
static void
draft_allow_loads (even_draft_t *draft, unsigned more)
{
  for (unsigned i = 0; i < draft->placement->shape.ranks; i++)
    draft->options.loads_left[i] += more;
}

/* A possible plan: the map after LOADS loads of a rank at most.  */
typedef struct even_stage
{
  unsigned loads;
  double time_after;
  placement_map_t *map;
} even_stage_t;

/* Improves DRAFT with more and more loads and fills STAGES, which has room
   for MAX_STAGES, with the maps on the way.  Returns their number.  */
static unsigned
draft_run_stages (even_draft_t *draft, even_stage_t *stages)
{
  const placement_shape_t *shape = &draft->placement->shape;
  unsigned limit = draft->placement->config.max_loads_per_rank * shape->layers;
  unsigned count = 0;

  for (unsigned loads = 1; loads / 2 < limit && count < MAX_STAGES; loads *= 2)
    {
      even_stage_t *stage = &stages[count];

      draft_allow_loads (draft, loads - loads / 2);
      draft_run (draft);
      stage->loads = draft_max_loads (draft);
      stage->time_after = draft_time (draft);
      stage->map = placement_map_create (draft, shape);
      if (stage->map == NULL)
        break;
      for (unsigned i = 0; i < shape->layers; i++)
        layer_search_write_map (draft->searches[i], stage->map, i);
      count++;
    }
  return count;
}

/* Returns the time from a plan to its switch, in seconds.  */
static double
switch_delay_s (const placement_config_t *config, unsigned loads)
{
  return switch_s + config->load_seconds * loads;
}

/* Returns the sum of the step time over the horizon if the group switches to
   STAGE first and to LAST, the best map, after that.  */
static double
stage_cost (const placement_config_t *config, double time_before,
            const even_stage_t *stage, const even_stage_t *last)
{
  double first_s = switch_delay_s (config, stage->loads);
  double second_s = last->loads > stage->loads
                        ? switch_delay_s (config, last->loads - stage->loads)
                        : 0;
  double rest_s = config->horizon_seconds - first_s - second_s;

  return time_before * first_s + stage->time_after * second_s
         + last->time_after * (rest_s > 0 ? rest_s : 0);
}

/* Returns whether a search can be spared, as the step time TIME has hardly
   grown since the last one that found nothing.  */
static bool
even_is_settled (placement_t *placement, double time)
{
  if (time > placement->settled_time * (1 + min_growth))
    return false;
  placement->settled_time = fmin (placement->settled_time, time);
  return true;
}

/* Chooses among maps with more and more loads: more of them make a better map,
   which is in use later.  */
static void
even_plan (placement_t *placement, TALLOC_CTX *parent,
           const placement_map_t *current, placement_plan_t *plan)
{
  const placement_config_t *config = &placement->config;
  even_draft_t *draft = draft_create (placement, current);
  even_stage_t stages[MAX_STAGES];
  double minimum_gain = placement->has_new_speed ? 0 : config->minimum_gain;
  double best_cost;
  unsigned count;

  *plan = (placement_plan_t){ .reason = "gain-too-small",
                              .time_bound = placement->shape.layers,
                              .overlap = placement->overlap };
  if (draft == NULL)
    return;
  placement->has_new_speed = false;
  plan->time_before = plan->time_after = draft_time (draft);
  if (even_is_settled (placement, plan->time_before))
    {
      talloc_free (draft);
      return;
    }
  best_cost = config->horizon_seconds > 0
                  ? plan->time_before * config->horizon_seconds
                  : INFINITY;
  count = draft_run_stages (draft, stages);
  for (unsigned i = 0; i < count; i++)
    {
      double cost = stage_cost (config, plan->time_before, &stages[i],
                                &stages[count - 1]);

      if (cost >= best_cost
          || 1.0 - stages[i].time_after / plan->time_before < minimum_gain)
        continue;
      best_cost = cost;
      plan->is_change = true;
      plan->reason = "gain-pays-moves";
      plan->time_after = stages[i].time_after;
      plan->map = stages[i].map;
    }
  if (plan->is_change)
    {
      talloc_steal (parent, plan->map);
      plan->moves = placement_map_moves (current, plan->map);
    }
  else
    placement->settled_time = plan->time_before;
  talloc_free (draft);
}

static const placement_ops_t even_ops = {
  .create = even_create,
  .destroy = even_destroy,
  .observe = even_observe,
  .set_speed = even_set_speed,
  .plan = even_plan,
};

PLUGIN_REGISTER (even, PLUGIN_PLACEMENT, "even",
                 "moves experts off the slowest rank; splits tokens evenly",
                 &even_ops);
