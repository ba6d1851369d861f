#include "pilot/planner.h"

#include "kernel/plugin.h"

#include <string.h>

/* Minimum relative reduction of the experts' part of the step time for a
   map change.  */
static const double min_gain = 0.04;
/* Minimum reduction of a layer's time for each expert whose weights are
   loaded, as a fraction of the time of a balanced layer, for each second that
   loading them takes: the group is slower meanwhile.  */
static const double min_gain_per_load_s = 0.2;
/* How long a map is expected to match the load.  */
static const double horizon_s = 4.0;

struct planner
{
  placement_shape_t shape;
  const placement_ops_t *ops;
  placement_t *placement;
  placement_map_t *map;    /* map in use */
  bool *has_reply;         /* by rank: MAP contains its reply to
                              RANK_QUERY_HELD_EXPERTS */
  uint64_t *reply_version; /* by rank: the map version of that reply */
  /* Token counts since the last observation, by layer and expert.  */
  uint64_t *tokens;
  bool has_new_counts; /* TOKENS are not all zero */
  bool is_plan_due;    /* counts were observed since the last plan */
  uint64_t *work;      /* by rank: a constant, so that WORK / BUSY_US is the
                          relative speed */
  uint64_t *busy_us;
};

enum
{
  SPEED_SCALE = 1000000
};

/* Creates a planner for a group of RANK_COUNT engines of the profile
   ENGINE.  Returns NULL when they have no experts to move, the shape is
   out of range or memory is exhausted.  */
planner_t *
planner_create (TALLOC_CTX *parent, const engine_profile_t *engine,
                unsigned rank_count)
{
  planner_t *planner = talloc_zero (parent, planner_t);
  placement_config_t config
      = { .minimum_gain = min_gain,
          .max_loads_per_rank = engine->max_expert_loads,
          .min_gain_per_load = min_gain_per_load_s * engine->expert_load_s,
          .load_seconds = engine->expert_load_s,
          .horizon_seconds = horizon_s };
  placement_shape_t shape = { .layers = engine->layer_sets,
                              .ranks = rank_count,
                              .experts = engine->experts,
                              .slots = engine->expert_slots };

  if (planner == NULL || !engine->has_experts || engine->max_expert_loads == 0)
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
  planner->has_reply = talloc_zero_array (planner, bool, rank_count);
  planner->reply_version = talloc_zero_array (planner, uint64_t, rank_count);
  planner->tokens = talloc_zero_array (planner, uint64_t,
                                       (size_t)shape.layers * shape.experts);
  planner->work = talloc_array (planner, uint64_t, rank_count);
  planner->busy_us = talloc_array (planner, uint64_t, rank_count);
  for (unsigned i = 0; i < rank_count; i++)
    planner->work[i] = planner->busy_us[i] = SPEED_SCALE;
  return planner;
}

/* Frees PLANNER.  */
void
planner_destroy (planner_t *planner)
{
  talloc_free (planner);
}

/* Discards the known map in use, after a takeover or when the group was
   re-formed.  */
void
planner_forget_map (planner_t *planner)
{
  for (unsigned i = 0; i < planner->shape.ranks; i++)
    planner->has_reply[i] = false;
}

/* Returns whether it is known what RANK holds of the map VERSION.  */
bool
planner_knows_rank (const planner_t *planner, unsigned rank, uint64_t version)
{
  return planner->has_reply[rank] && planner->reply_version[rank] == version;
}

/* Returns the only rank whose part of the map VERSION is not known, or -1 if
   there is none or more than one.  */
int
planner_unknown_rank (const planner_t *planner, uint64_t version)
{
  int unknown = -1;

  for (unsigned i = 0; i < planner->shape.ranks; i++)
    {
      if (planner_knows_rank (planner, i, version))
        continue;
      if (unknown >= 0)
        return -1;
      unknown = (int)i;
    }
  return unknown;
}

/* Returns whether the map in use is known completely and has VERSION.  */
bool
planner_has_map (const planner_t *planner, uint64_t version)
{
  for (unsigned i = 0; i < planner->shape.ranks; i++)
    {
      if (!planner_knows_rank (planner, i, version))
        return false;
    }
  return placement_map_is_valid (planner->map);
}

/* Returns whether REPLY lists, layer by layer, experts that a rank of SHAPE
   can hold.  Layers at the end that are left out have none.  */
static bool
reply_fits_shape (const rank_reply_t *reply, const placement_shape_t *shape)
{
  size_t at = 0;

  for (unsigned layer = 0; layer < shape->layers; layer++)
    {
      uint64_t expert_count
          = at < reply->number_count ? reply->numbers[at++] : 0;

      if (expert_count > shape->slots
          || at + expert_count > reply->number_count)
        return false;
      for (; expert_count > 0; expert_count--)
        {
          if (reply->numbers[at++] >= shape->experts)
            return false;
        }
    }
  return true;
}

/* Adds to the map in use the experts that RANK holds, which REPLY lists layer
   by layer.  Returns false and does nothing when REPLY does not fit the
   planner's shape.  */
bool
planner_read_map (planner_t *planner, unsigned rank, const rank_reply_t *reply)
{
  const placement_shape_t *shape = &planner->shape;
  size_t at = 0;

  if (!reply_fits_shape (reply, shape))
    return false;
  for (unsigned layer = 0; layer < shape->layers; layer++)
    {
      uint64_t expert_count
          = at < reply->number_count ? reply->numbers[at++] : 0;

      for (unsigned slot = 0; slot < shape->slots; slot++)
        {
          placement_slot_t *entry
              = placement_map_slot (planner->map, layer, rank, slot);

          *entry = (placement_slot_t){ .expert = PLACEMENT_SLOT_FREE };
          if (slot >= expert_count)
            continue;
          entry->expert = (uint16_t)reply->numbers[at++];
          entry->share = PLACEMENT_SHARE_FULL;
        }
    }
  planner->has_reply[rank] = true;
  planner->reply_version[rank] = reply->version;
  return true;
}

/* Adds to the map in use, VERSION, what RANK holds in MAP.  */
void
planner_adopt_rank (planner_t *planner, unsigned rank,
                    const placement_map_t *map, uint64_t version)
{
  const placement_shape_t *shape = &planner->shape;

  for (unsigned layer = 0; layer < shape->layers; layer++)
    {
      for (unsigned slot = 0; slot < shape->slots; slot++)
        {
          uint16_t expert
              = placement_map_slot (map, layer, rank, slot)->expert;

          *placement_map_slot (planner->map, layer, rank, slot)
              = (placement_slot_t){ .expert = expert,
                                    .share = expert == PLACEMENT_SLOT_FREE
                                                 ? 0
                                                 : PLACEMENT_SHARE_FULL };
        }
    }
  planner->has_reply[rank] = true;
  planner->reply_version[rank] = version;
}

/* Returns the size of the reply of a rank with its counts, in numbers.  */
size_t
planner_count_numbers (const planner_t *planner)
{
  return (size_t)planner->shape.layers * planner->shape.experts;
}

/* Adds the token counts of a rank since its last reply.  Returns false and
   does nothing if the reply has another size than the group's.  */
bool
planner_add_counts (planner_t *planner, const rank_reply_t *reply)
{
  if (reply->number_count != planner_count_numbers (planner))
    return false;
  for (size_t i = 0; i < reply->number_count; i++)
    planner->tokens[i] += reply->numbers[i];
  planner->has_new_counts = true;
  return true;
}

/* Returns whether counts were added since the last plan.  */
bool
planner_has_new_counts (const planner_t *planner)
{
  return planner->has_new_counts || planner->is_plan_due;
}

/* Updates the popularity of the experts by the counts added since the last
   call.  */
void
planner_observe (planner_t *planner)
{
  placement_sample_t sample = { .tokens = planner->tokens,
                                .work = planner->work,
                                .busy_us = planner->busy_us };

  if (!planner->has_new_counts)
    return;
  planner->ops->observe (planner->placement, &sample);
  planner->has_new_counts = false;
  planner->is_plan_due = true;
  memset (planner->tokens, 0,
          planner_count_numbers (planner) * sizeof *planner->tokens);
}

/* Returns the map in use.  */
const placement_map_t *
planner_map (const planner_t *planner)
{
  return planner->map;
}

/* Sets the slowdown factor of RANK relative to its baseline; above 1 is
   slower.  The next plan uses it, also without new counts.  */
void
planner_set_slowdown (planner_t *planner, unsigned rank, double slowdown)
{
  if (!(slowdown > 1))
    slowdown = 1;
  planner->busy_us[rank] = (uint64_t)(slowdown * (double)SPEED_SCALE);
  if (planner->ops->set_speed != NULL)
    planner->ops->set_speed (planner->placement, rank, 1 / slowdown);
}

/* Plans from the counts so far.  Returns whether the map should change; the
   plan's map belongs to PARENT.  */
bool
planner_plan (planner_t *planner, TALLOC_CTX *parent, placement_plan_t *plan)
{
  planner_observe (planner);
  planner->is_plan_due = false;
  planner->ops->plan (planner->placement, parent, planner->map, plan);
  if (plan->is_change)
    placement_map_sort (plan->map);
  return plan->is_change;
}

/* Records that the group switched to MAP with VERSION.  */
void
planner_set_map (planner_t *planner, const placement_map_t *map,
                 uint64_t version)
{
  size_t slots
      = (size_t)map->shape.layers * map->shape.ranks * map->shape.slots;

  memcpy (planner->map->slots, map->slots, slots * sizeof *map->slots);
  for (unsigned i = 0; i < planner->shape.ranks; i++)
    {
      planner->has_reply[i] = true;
      planner->reply_version[i] = version;
    }
}
