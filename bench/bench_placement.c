/* Compares the placement policies on the same seeds and the same drift of
   expert popularity.  Usage: bench-placement [LAYERS [SEEDS]].

   The group has 64 ranks with six slots each and 256 experts per layer; one
   rank runs at 70 % speed.  Popularity follows Zipf's law with exponent 1.  In
   each ten minutes two tenths of the experts exchange their positions in the
   popularity order, in equal steps of the logarithm of popularity.  Every ten
   seconds a plan is made from the counts since the previous plan.  All
   policies start from the same map, packed for the popularity of the first
   second.  */

#include "kernel/clock.h"
#include "kernel/plugin.h"
#include "plugins/placement.h"
#include "plugins/placement/layer.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  RANKS = 64,
  EXPERTS = 256,
  SLOTS = 6,
  SLOW_RANK = 17,
  TICKS_PER_PLAN = 10, /* one tick is a second */
  PLANS = 240,
  WARM_UP_PLANS = 12, /* excluded from the results */
  TICKS_PER_DRIFT = 600,
  SWAPS_PER_DRIFT = EXPERTS / 10, /* each moves two experts */
  TOKENS_PER_TICK = 100000,       /* per layer */
  MAX_MOVES = 32                  /* per layer */
};

static const double slow_rank_speed = 0.7;
static const double minimum_gain = 0.02;

/* Popularity of the experts over time.  It drifts from one popularity order to
   the next.  */
typedef struct traffic
{
  uint64_t random;
  unsigned layers;
  /* Positions in the popularity order at the start and the end of the current
     drift, by layer and expert; 0 is the most popular.  */
  unsigned *old_positions;
  unsigned *new_positions;
  double *popularity; /* current share of tokens, by layer and expert */
  uint64_t *tokens;   /* counts since the last plan, likewise */
} traffic_t;

/* Skew is the slowest rank's time divided by the mean of all ranks; the bound
   ratio is that time divided by the lower bound for the map's replicas.  */
typedef struct result
{
  double skew_sum;
  double max_skew;
  double max_skew_after_plan;
  double bound_ratio_sum;
  double max_bound_ratio;
  double moves;
  double max_plan_ms;
  double samples;
} result_t;

/* Return a xorshift random number below BOUND.  */
static uint64_t
traffic_random (traffic_t *traffic, uint64_t bound)
{
  traffic->random ^= traffic->random << 13;
  traffic->random ^= traffic->random >> 7;
  traffic->random ^= traffic->random << 17;
  return traffic->random % bound;
}

/* Exchange the positions of SWAPS_PER_DRIFT random pairs of experts of one
   layer.  */
static void
swap_positions (traffic_t *traffic, unsigned *positions)
{
  for (unsigned i = 0; i < SWAPS_PER_DRIFT; i++)
    {
      unsigned first = (unsigned)traffic_random (traffic, EXPERTS);
      unsigned second = (unsigned)traffic_random (traffic, EXPERTS);
      unsigned position = positions[first];

      positions[first] = positions[second];
      positions[second] = position;
    }
}

static traffic_t *
traffic_create (uint64_t seed, unsigned layers)
{
  traffic_t *traffic = talloc_zero (NULL, traffic_t);
  size_t count = (size_t)layers * EXPERTS;

  traffic->random = seed * 2654435761U + 88172645463325252U;
  traffic->layers = layers;
  traffic->old_positions = talloc_array (traffic, unsigned, count);
  traffic->new_positions = talloc_array (traffic, unsigned, count);
  traffic->popularity = talloc_array (traffic, double, count);
  traffic->tokens = talloc_zero_array (traffic, uint64_t, count);
  for (size_t i = 0; i < count; i++)
    traffic->new_positions[i] = (unsigned)(i % EXPERTS);
  for (unsigned i = 0; i < layers; i++)
    {
      for (unsigned j = 0; j < EXPERTS / SWAPS_PER_DRIFT; j++)
        swap_positions (traffic, &traffic->new_positions[(size_t)i * EXPERTS]);
    }
  return traffic;
}

/* Set the layer's popularity at TICK and count the tokens of one tick.  The
   counts are normally distributed: NOISE is the sum of twelve uniform numbers
   minus six.  */
static void
traffic_tick_layer (traffic_t *traffic, unsigned layer, unsigned tick)
{
  unsigned *old_positions = &traffic->old_positions[(size_t)layer * EXPERTS];
  unsigned *new_positions = &traffic->new_positions[(size_t)layer * EXPERTS];
  double *popularity = &traffic->popularity[(size_t)layer * EXPERTS];
  double fraction = (double)(tick % TICKS_PER_DRIFT) / TICKS_PER_DRIFT;
  double sum = 0;

  if (tick % TICKS_PER_DRIFT == 0)
    {
      memcpy (old_positions, new_positions, EXPERTS * sizeof *old_positions);
      swap_positions (traffic, new_positions);
    }
  for (unsigned i = 0; i < EXPERTS; i++)
    {
      popularity[i] = exp (-(1 - fraction) * log (old_positions[i] + 1.0)
                           - fraction * log (new_positions[i] + 1.0));
      sum += popularity[i];
    }
  for (unsigned i = 0; i < EXPERTS; i++)
    {
      double mean;
      double noise = -6.0;

      popularity[i] /= sum;
      mean = popularity[i] * TOKENS_PER_TICK;
      for (unsigned j = 0; j < 12; j++)
        noise += (double)traffic_random (traffic, 1000000) / 1000000.0;
      mean += noise * sqrt (mean);
      traffic->tokens[(size_t)layer * EXPERTS + i]
          += mean > 0 ? (uint64_t)mean : 0;
    }
}

static void
traffic_tick (traffic_t *traffic, unsigned tick)
{
  for (unsigned i = 0; i < traffic->layers; i++)
    traffic_tick_layer (traffic, i, tick);
}

/* Return the actual popularity and rank speeds, as an estimate without error.
   The caller frees it.  */
static estimate_t *
traffic_estimate (const traffic_t *traffic, const placement_shape_t *shape)
{
  estimate_t *actual = estimate_create (NULL, shape);

  memcpy (actual->popularity, traffic->popularity,
          sizeof (double) * traffic->layers * EXPERTS);
  actual->speed[SLOW_RANK] = slow_rank_speed;
  return actual;
}

/* Compute the skew of MAP under the actual popularity and speeds, and its
   bound ratio: the slowest rank's time over the lower bound for MAP's
   replicas.  */
static void
measure_map (const traffic_t *traffic, const placement_map_t *map,
             double *skew, double *bound_ratio)
{
  estimate_t *actual = traffic_estimate (traffic, &map->shape);
  double time = 0;
  double mean = 0;
  double bound = 0;

  for (unsigned i = 0; i < map->shape.layers; i++)
    {
      layer_t *layer = layer_create (actual, actual, i, map);

      time += layer_time (layer);
      bound += layer_time_bound (layer);
      for (unsigned j = 0; j < RANKS; j++)
        mean += layer_rank_time (layer, j) / RANKS;
    }
  *skew = time / mean;
  *bound_ratio = time / bound;
  talloc_free (actual);
}

/* Pass the policy the counters that a group with MAP would have reported since
   the last plan, and reset the token counts.  */
static void
traffic_report_sample (const placement_ops_t *ops, placement_t *placement,
                       traffic_t *traffic, const placement_map_t *map)
{
  estimate_t *actual = traffic_estimate (traffic, &map->shape);
  uint64_t work[RANKS] = { 0 };
  uint64_t busy[RANKS] = { 0 };
  placement_sample_t sample
      = { .tokens = traffic->tokens, .work = work, .busy_us = busy };

  for (unsigned i = 0; i < map->shape.layers; i++)
    {
      layer_t *layer = layer_create (actual, actual, i, map);

      for (unsigned j = 0; j < RANKS; j++)
        {
          double tokens
              = layer->ranks[j].load * TOKENS_PER_TICK * TICKS_PER_PLAN;

          work[j] += (uint64_t)tokens;
          busy[j] += (uint64_t)(tokens / layer->ranks[j].speed);
        }
    }
  ops->observe (placement, &sample);
  memset (traffic->tokens, 0, sizeof (uint64_t) * map->shape.layers * EXPERTS);
  talloc_free (actual);
}

static void
record_skew (result_t *result, double skew)
{
  result->skew_sum += skew;
  result->samples++;
  if (skew > result->max_skew)
    result->max_skew = skew;
}

/* Let the policy make a plan and add it to the result if it is counted.
   Returns the map to use from now on.  */
static placement_map_t *
run_plan (const placement_ops_t *ops, placement_t *placement,
          TALLOC_CTX *parent, placement_map_t *map, bool is_counted,
          result_t *result)
{
  clock_source_t *clock = clock_create_system (NULL);
  struct timespec start = clock_monotonic (clock);
  placement_plan_t plan;
  double elapsed_ms;

  ops->plan (placement, parent, map, &plan);
  elapsed_ms = (double)timespec_to_us (
                   timespec_subtract (clock_monotonic (clock), start))
               / 1000.0;
  clock_destroy (clock);
  if (is_counted)
    {
      result->moves += plan.moves;
      if (elapsed_ms > result->max_plan_ms)
        result->max_plan_ms = elapsed_ms;
    }
  return plan.is_change ? plan.map : map;
}

/* Return the map that all policies start with.  */
static placement_map_t *
create_initial_map (traffic_t *traffic, const placement_shape_t *shape)
{
  const placement_ops_t *ops = plugin_ops (PLUGIN_PLACEMENT, "repack");
  placement_config_t config = { .minimum_gain = 0, .max_moves = 1 };
  placement_t *placement = ops->create (traffic, shape, &config);
  placement_map_t *initial = placement_map_create_initial (traffic, shape);
  placement_plan_t plan;

  traffic_tick (traffic, 0);
  traffic_report_sample (ops, placement, traffic, initial);
  ops->plan (placement, traffic, initial, &plan);
  return plan.map;
}

/* Run the policy called NAME with one seed and add its figures to RESULT.  */
static void
run_policy (const char *name, uint64_t seed, unsigned layers, result_t *result)
{
  const placement_ops_t *ops = plugin_ops (PLUGIN_PLACEMENT, name);
  placement_shape_t shape = {
    .layers = layers, .ranks = RANKS, .experts = EXPERTS, .slots = SLOTS
  };
  placement_config_t config
      = { .minimum_gain = minimum_gain, .max_moves = MAX_MOVES * layers };
  traffic_t *traffic = traffic_create (seed, layers);
  placement_t *placement = ops->create (traffic, &shape, &config);
  placement_map_t *map = create_initial_map (traffic, &shape);

  for (unsigned tick = 1; tick <= PLANS * TICKS_PER_PLAN; tick++)
    {
      bool is_counted = tick >= WARM_UP_PLANS * TICKS_PER_PLAN;
      double skew;
      double bound_ratio;

      traffic_tick (traffic, tick);
      measure_map (traffic, map, &skew, &bound_ratio);
      if (is_counted)
        record_skew (result, skew);
      if (tick % TICKS_PER_PLAN != 0)
        continue;
      traffic_report_sample (ops, placement, traffic, map);
      map = run_plan (ops, placement, traffic, map, is_counted, result);
      measure_map (traffic, map, &skew, &bound_ratio);
      if (is_counted && skew > result->max_skew_after_plan)
        result->max_skew_after_plan = skew;
      result->bound_ratio_sum += is_counted ? bound_ratio : 0;
      if (is_counted && bound_ratio > result->max_bound_ratio)
        result->max_bound_ratio = bound_ratio;
    }
  talloc_free (traffic);
}

int
main (int argc, char **argv)
{
  unsigned layers = argc > 1 ? (unsigned)strtoul (argv[1], NULL, 10) : 1;
  unsigned seeds = argc > 2 ? (unsigned)strtoul (argv[2], NULL, 10) : 5;
  const plugin_t *plugin = NULL;

  printf ("%u layers, %u seeds, %d plans each\n", layers, seeds,
          PLANS - WARM_UP_PLANS);
  printf (
      "policy       | skew: mean, max | after a plan: max skew, bound ratio: "
      "mean, max"
      " | moves per plan | max plan ms\n");
  while ((plugin = plugin_next (PLUGIN_PLACEMENT, plugin)) != NULL)
    {
      result_t result = { 0 };
      double plans = (double)seeds * (PLANS - WARM_UP_PLANS);

      for (unsigned seed = 1; seed <= seeds; seed++)
        run_policy (plugin->name, seed, layers, &result);
      printf ("%-12s | %.3f %.3f | %.3f %.3f %.3f | %.1f | %.1f\n",
              plugin->name, result.skew_sum / result.samples, result.max_skew,
              result.max_skew_after_plan, result.bound_ratio_sum / plans,
              result.max_bound_ratio, result.moves / plans,
              result.max_plan_ms);
    }
  return EXIT_SUCCESS;
}
