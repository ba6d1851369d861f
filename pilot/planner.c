#include "pilot/planner.h"

#include "kernel/plugin.h"

#include <string.h>

/* A map is changed when that makes the experts' part of a step this much
   shorter.  */
static const double least_gain = 0.04;
/* ... and when each weight that is loaded for it saves this part of a layer's
   time, at least.  */
static const double least_gain_a_move = 0.06;
/* For how long a map fits what is in demand.  */
static const double horizon_s = 4.0;

struct planner
{
  placement_shape_t shape;
  const placement_ops_t *ops;
  placement_t *placement;
  placement_map_t *map; /* in use */
  bool *has_held;       /* by rank: MAP holds what it told */
  uint64_t *held;       /* by rank: the version that this was of */
  uint64_t **counted;   /* by rank: its last counts, or NULL */
  uint64_t *tokens;     /* counted since the last plan, by layer and expert */
  uint64_t *work;       /* by rank, in place of its speed */
  uint64_t *busy_us;
};

enum
{
  SPEED_UNITS = 1000000
};

/* Create a planner for a group of engines like ENGINE.  Returns NULL when they
   have no experts to move.  */
planner_t *
planner_create (TALLOC_CTX *parent, const engine_profile_t *engine,
                unsigned rank_count)
{
  planner_t *planner = talloc_zero (parent, planner_t);
  placement_config_t config = { .minimum_gain = least_gain,
                                .max_loads_per_rank = engine->spare,
                                .min_gain_per_load = least_gain_a_move,
                                .load_seconds = engine->expert_load_s,
                                .horizon_seconds = horizon_s };
  placement_shape_t shape = { .layers = engine->layers,
                              .ranks = rank_count,
                              .experts = engine->experts,
                              .slots = engine->places };

  if (planner == NULL || !engine->has_experts || engine->spare == 0)
    {
      talloc_free (planner);
      return NULL;
    }
  planner->shape = shape;
  planner->ops = plugin_ops (PLUGIN_PLACEMENT, "even");
  planner->map = placement_map_create (planner, &shape);
  if (planner->ops == NULL || planner->map == NULL)
    {
      talloc_free (planner);
      return NULL;
    }
  planner->placement = planner->ops->create (planner, &shape, &config);
  planner->has_held = talloc_zero_array (planner, bool, rank_count);
  planner->held = talloc_zero_array (planner, uint64_t, rank_count);
  planner->counted = talloc_zero_array (planner, uint64_t *, rank_count);
  planner->tokens = talloc_zero_array (planner, uint64_t,
                                       (size_t)shape.layers * shape.experts);
  planner->work = talloc_array (planner, uint64_t, rank_count);
  planner->busy_us = talloc_array (planner, uint64_t, rank_count);
  for (unsigned i = 0; i < rank_count; i++)
    planner->work[i] = planner->busy_us[i] = SPEED_UNITS;
  return planner;
}

/* Free PLANNER.  */
void
planner_destroy (planner_t *planner)
{
  talloc_free (planner);
}

/* The map in use is not known any more.  */
void
planner_forget_map (planner_t *planner)
{
  for (unsigned i = 0; i < planner->shape.ranks; i++)
    {
      planner->has_held[i] = false;
      TALLOC_FREE (planner->counted[i]);
    }
}

/* Return whether the map of VERSION, which is in use, is known.  */
bool
planner_has_map (const planner_t *planner, uint64_t version)
{
  for (unsigned i = 0; i < planner->shape.ranks; i++)
    {
      if (!planner->has_held[i] || planner->held[i] != version)
        return false;
    }
  return placement_map_is_valid (planner->map);
}

/* Take in which experts RANK holds, layer by layer.  Returns false when it is
   not what the shape allows.  */
bool
planner_note_held (planner_t *planner, unsigned rank, const rank_reply_t *told)
{
  const placement_shape_t *shape = &planner->shape;
  size_t at = 0;

  for (unsigned layer = 0; layer < shape->layers; layer++)
    {
      uint64_t held = at < told->number_count ? told->numbers[at++] : 0;

      if (held > shape->slots || at + held > told->number_count)
        return false;
      for (unsigned slot = 0; slot < shape->slots; slot++)
        {
          placement_slot_t *place
              = placement_map_slot (planner->map, layer, rank, slot);

          *place = (placement_slot_t){ .expert = PLACEMENT_SLOT_FREE };
          if (slot >= held)
            continue;
          place->expert = (uint16_t)told->numbers[at++];
          place->share = PLACEMENT_SHARE_FULL;
          if (place->expert >= shape->experts)
            return false;
        }
    }
  planner->has_held[rank] = true;
  planner->held[rank] = told->version;
  return true;
}

/* Take in the counts of RANK since its engine's start.  */
void
planner_note_counts (planner_t *planner, unsigned rank,
                     const rank_reply_t *told)
{
  size_t count = (size_t)planner->shape.layers * planner->shape.experts;
  uint64_t *before = planner->counted[rank];

  if (told->number_count != count)
    return;
  for (size_t i = 0; i < count; i++)
    {
      uint64_t counted = before == NULL ? 0 : before[i];

      /* An engine that restarted counts anew.  */
      planner->tokens[i] += told->numbers[i] >= counted
                                ? told->numbers[i] - counted
                                : told->numbers[i];
    }
  talloc_free (before);
  planner->counted[rank]
      = talloc_memdup (planner, told->numbers, count * sizeof *told->numbers);
}

/* Note how fast RANK is; over 1 means slower than usual.  */
void
planner_note_pace (planner_t *planner, unsigned rank, double pace)
{
  planner->busy_us[rank]
      = (uint64_t)((pace > 1 ? pace : 1) * (double)SPEED_UNITS);
}

/* Plan with the counts since the last plan.  Returns whether the map should
   change; the plan's map belongs to PARENT.  */
bool
planner_plan (planner_t *planner, TALLOC_CTX *parent, placement_plan_t *plan)
{
  placement_sample_t sample = { .tokens = planner->tokens,
                                .work = planner->work,
                                .busy_us = planner->busy_us };
  size_t count = (size_t)planner->shape.layers * planner->shape.experts;

  planner->ops->observe (planner->placement, &sample);
  memset (planner->tokens, 0, count * sizeof *planner->tokens);
  planner->ops->plan (planner->placement, parent, planner->map, plan);
  return plan->is_change;
}

/* The group uses MAP from now on, as VERSION.  */
void
planner_adopt (planner_t *planner, const placement_map_t *map,
               uint64_t version)
{
  size_t slots
      = (size_t)map->shape.layers * map->shape.ranks * map->shape.slots;

  memcpy (planner->map->slots, map->slots, slots * sizeof *map->slots);
  for (unsigned i = 0; i < planner->shape.ranks; i++)
    {
      planner->has_held[i] = true;
      planner->held[i] = version;
    }
}
