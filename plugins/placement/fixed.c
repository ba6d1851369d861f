#include "kernel/plugin.h"
#include "plugins/placement/layer.h"

struct placement
{
  placement_shape_t shape;
  estimate_t *estimate;
};

static placement_t *
fixed_create (TALLOC_CTX *parent, const placement_shape_t *shape,
              const placement_config_t *config)
{
  placement_t *placement = talloc_zero (parent, placement_t);

  (void)config;
  if (placement == NULL)
    return NULL;
  placement->shape = *shape;
  placement->estimate = estimate_create (placement, shape);
  return placement;
}

static void
fixed_destroy (placement_t *placement)
{
  talloc_free (placement);
}

static void
fixed_observe (placement_t *placement, const placement_sample_t *sample)
{
  estimate_update (placement->estimate, sample);
}

/* Leave the map as it is; the times are for the log.  */
static void
fixed_plan (placement_t *placement, TALLOC_CTX *parent,
            const placement_map_t *current, placement_plan_t *plan)
{
  (void)parent;
  *plan = (placement_plan_t){ .reason = "policy-never-moves" };
  for (unsigned i = 0; i < placement->shape.layers; i++)
    {
      layer_t *layer = layer_create (NULL, placement->estimate, i, current);

      plan->time_before += layer_time (layer);
      plan->time_bound += layer_time_bound (layer);
      talloc_free (layer);
    }
  plan->time_after = plan->time_before;
}

static const placement_ops_t fixed_ops = {
  .create = fixed_create,
  .destroy = fixed_destroy,
  .observe = fixed_observe,
  .plan = fixed_plan,
};

PLUGIN_REGISTER (fixed, PLUGIN_PLACEMENT, "fixed", "never moves an expert",
                 &fixed_ops);
