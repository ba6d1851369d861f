/* Compare the placement policies on the same seeds and the same drift of
   expert popularity.  Usage: bench_placement [LAYERS [SEEDS]].

   64 ranks, 256 experts a layer, six slots a rank, Zipf exponent 1, one rank
   at 70 % speed.  Each ten minutes two tenths of the experts change places in
   popularity, in equal steps of its logarithm; a plan is made every ten
   seconds from the counts seen since the last.  All start from one map, packed
   for the popularity of the first second.  */

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
  TICKS_A_PLAN = 10, /* seconds */
  PLANS = 240,
  WARM_UP_PLANS = 12,
  TICKS_A_DRIFT = 600,
  SWAPS = EXPERTS / 10,
  TOKENS_A_TICK = 100000, /* of a layer */
  MOVES_LIMIT = 32        /* of a layer */
};

static const double slow_speed = 0.7;
static const double minimum_gain = 0.02;

/* What the traffic does: popularity moves from one order to the next.  */
typedef struct traffic
{
  uint64_t random;
  unsigned layers;
  unsigned *from; /* place in popularity, by layer and expert */
  unsigned *to;
  double *popularity;
  uint64_t *tokens; /* since the last plan */
} traffic_t;

typedef struct result
{
  double skew_sum;
  double skew_max;
  double planned_skew_max;
  double bound_ratio_sum;
  double bound_ratio_max;
  double moves;
  double plan_ms_max;
  double samples;
} result_t;

static uint64_t
traffic_random (traffic_t *traffic, uint64_t bound)
{
  traffic->random ^= traffic->random << 13;
  traffic->random ^= traffic->random >> 7;
  traffic->random ^= traffic->random << 17;
  return traffic->random % bound;
}

static void
swap_places (traffic_t *traffic, unsigned *places)
{
  for (unsigned i = 0; i < SWAPS; i++)
    {
      unsigned first = (unsigned)traffic_random (traffic, EXPERTS);
      unsigned second = (unsigned)traffic_random (traffic, EXPERTS);
      unsigned place = places[first];

      places[first] = places[second];
      places[second] = place;
    }
}

static traffic_t *
traffic_create (uint64_t seed, unsigned layers)
{
  traffic_t *traffic = talloc_zero (NULL, traffic_t);
  size_t count = (size_t)layers * EXPERTS;

  traffic->random = seed * 2654435761U + 88172645463325252U;
  traffic->layers = layers;
  traffic->from = talloc_array (traffic, unsigned, count);
  traffic->to = talloc_array (traffic, unsigned, count);
  traffic->popularity = talloc_array (traffic, double, count);
  traffic->tokens = talloc_zero_array (traffic, uint64_t, count);
  for (size_t i = 0; i < count; i++)
    traffic->to[i] = (unsigned)(i % EXPERTS);
  for (unsigned i = 0; i < layers; i++)
    {
      for (unsigned j = 0; j < EXPERTS / SWAPS; j++)
        swap_places (traffic, &traffic->to[(size_t)i * EXPERTS]);
    }
  return traffic;
}

static void
traffic_tick_layer (traffic_t *traffic, unsigned layer, unsigned tick)
{
  unsigned *from = &traffic->from[(size_t)layer * EXPERTS];
  unsigned *to = &traffic->to[(size_t)layer * EXPERTS];
  double *popularity = &traffic->popularity[(size_t)layer * EXPERTS];
  double part = (double)(tick % TICKS_A_DRIFT) / TICKS_A_DRIFT;
  double sum = 0;

  if (tick % TICKS_A_DRIFT == 0)
    {
      memcpy (from, to, EXPERTS * sizeof *from);
      swap_places (traffic, to);
    }
  for (unsigned i = 0; i < EXPERTS; i++)
    {
      popularity[i]
          = exp (-(1 - part) * log (from[i] + 1.0) - part * log (to[i] + 1.0));
      sum += popularity[i];
    }
  for (unsigned i = 0; i < EXPERTS; i++)
    {
      double mean;
      double noise = -6.0;

      popularity[i] /= sum;
      mean = popularity[i] * TOKENS_A_TICK;
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

/* The truth, in the form that the policies' beliefs have.  */
static estimate_t *
traffic_truth (const traffic_t *traffic, const placement_shape_t *shape)
{
  estimate_t *truth = estimate_create (NULL, shape);

  memcpy (truth->popularity, traffic->popularity,
          sizeof (double) * traffic->layers * EXPERTS);
  truth->speed[SLOW_RANK] = slow_speed;
  return truth;
}

/* Measure a map against the truth: slowest rank over mean, and over the least
   that its replicas allow.  */
static void
measure (const traffic_t *traffic, const placement_map_t *map, double *skew,
         double *bound_ratio)
{
  estimate_t *truth = traffic_truth (traffic, &map->shape);
  double time = 0;
  double mean = 0;
  double bound = 0;

  for (unsigned i = 0; i < map->shape.layers; i++)
    {
      layer_t *layer = layer_create (truth, truth, i, map);

      time += layer_time (layer);
      bound += layer_time_bound (layer);
      for (unsigned j = 0; j < RANKS; j++)
        mean += layer_rank_time (layer, j) / RANKS;
    }
  *skew = time / mean;
  *bound_ratio = time / bound;
  talloc_free (truth);
}

/* Show the policy what a group under MAP counts.  */
static void
show_sample (const placement_ops_t *ops, placement_t *placement,
             traffic_t *traffic, const placement_map_t *map)
{
  estimate_t *truth = traffic_truth (traffic, &map->shape);
  uint64_t work[RANKS] = { 0 };
  uint64_t busy[RANKS] = { 0 };
  placement_sample_t sample
      = { .tokens = traffic->tokens, .work = work, .busy_us = busy };

  for (unsigned i = 0; i < map->shape.layers; i++)
    {
      layer_t *layer = layer_create (truth, truth, i, map);

      for (unsigned j = 0; j < RANKS; j++)
        {
          double tokens = layer->ranks[j].load * TOKENS_A_TICK * TICKS_A_PLAN;

          work[j] += (uint64_t)tokens;
          busy[j] += (uint64_t)(tokens / layer->ranks[j].speed);
        }
    }
  ops->observe (placement, &sample);
  memset (traffic->tokens, 0, sizeof (uint64_t) * map->shape.layers * EXPERTS);
  talloc_free (truth);
}

static void
note_skew (result_t *result, double skew)
{
  result->skew_sum += skew;
  result->samples++;
  if (skew > result->skew_max)
    result->skew_max = skew;
}

static placement_map_t *
plan_once (const placement_ops_t *ops, placement_t *placement,
           TALLOC_CTX *parent, placement_map_t *map, bool is_counted,
           result_t *result)
{
  clock_source_t *clock = clock_create_system (NULL);
  struct timespec start = clock_monotonic (clock);
  placement_plan_t plan;
  double taken_ms;

  ops->plan (placement, parent, map, &plan);
  taken_ms = (double)timespec_to_us (
                 timespec_subtract (clock_monotonic (clock), start))
             / 1000.0;
  clock_destroy (clock);
  if (is_counted)
    {
      result->moves += plan.moves;
      if (taken_ms > result->plan_ms_max)
        result->plan_ms_max = taken_ms;
    }
  return plan.is_change ? plan.map : map;
}

/* The map that all policies start from.  */
static placement_map_t *
pack_first_map (traffic_t *traffic, const placement_shape_t *shape)
{
  const placement_ops_t *ops = plugin_ops (PLUGIN_PLACEMENT, "repack");
  placement_config_t config = { .minimum_gain = 0, .max_moves = 1 };
  placement_t *placement = ops->create (traffic, shape, &config);
  placement_map_t *even = placement_map_create_initial (traffic, shape);
  placement_plan_t plan;

  traffic_tick (traffic, 0);
  show_sample (ops, placement, traffic, even);
  ops->plan (placement, traffic, even, &plan);
  return plan.map;
}

static void
run_policy (const char *name, uint64_t seed, unsigned layers, result_t *result)
{
  const placement_ops_t *ops = plugin_ops (PLUGIN_PLACEMENT, name);
  placement_shape_t shape = {
    .layers = layers, .ranks = RANKS, .experts = EXPERTS, .slots = SLOTS
  };
  placement_config_t config
      = { .minimum_gain = minimum_gain, .max_moves = MOVES_LIMIT * layers };
  traffic_t *traffic = traffic_create (seed, layers);
  placement_t *placement = ops->create (traffic, &shape, &config);
  placement_map_t *map = pack_first_map (traffic, &shape);

  for (unsigned tick = 1; tick <= PLANS * TICKS_A_PLAN; tick++)
    {
      bool is_counted = tick >= WARM_UP_PLANS * TICKS_A_PLAN;
      double skew;
      double bound_ratio;

      traffic_tick (traffic, tick);
      measure (traffic, map, &skew, &bound_ratio);
      if (is_counted)
        note_skew (result, skew);
      if (tick % TICKS_A_PLAN != 0)
        continue;
      show_sample (ops, placement, traffic, map);
      map = plan_once (ops, placement, traffic, map, is_counted, result);
      measure (traffic, map, &skew, &bound_ratio);
      if (is_counted && skew > result->planned_skew_max)
        result->planned_skew_max = skew;
      result->bound_ratio_sum += is_counted ? bound_ratio : 0;
      if (is_counted && bound_ratio > result->bound_ratio_max)
        result->bound_ratio_max = bound_ratio;
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
  printf ("policy       | skew: mean, max | after a plan: skew max, over "
          "bound mean,"
          " max | moves a plan | plan ms max\n");
  while ((plugin = plugin_next (PLUGIN_PLACEMENT, plugin)) != NULL)
    {
      result_t result = { 0 };
      double plans = (double)seeds * (PLANS - WARM_UP_PLANS);

      for (unsigned seed = 1; seed <= seeds; seed++)
        run_policy (plugin->name, seed, layers, &result);
      printf ("%-12s | %.3f %.3f | %.3f %.3f %.3f | %.1f | %.1f\n",
              plugin->name, result.skew_sum / result.samples, result.skew_max,
              result.planned_skew_max, result.bound_ratio_sum / plans,
              result.bound_ratio_max, result.moves / plans,
              result.plan_ms_max);
    }
  return EXIT_SUCCESS;
}
