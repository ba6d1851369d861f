/* Plans of expert maps: each expert must be held by some rank, within the
   limits on slots and moves, and only for a gain that pays for the moves.  */

#include "kernel/plugin.h"
#include "plugins/placement.h"
#include "plugins/placement/layer.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  RANKS = 8,
  EXPERTS = 32,
  SLOTS = 6,
  SAMPLE_TOKENS = 1000000,
  MAX_MOVES = 8,
  SLOW_RANK = 3
};

static const placement_shape_t shape
    = { .layers = 2, .ranks = RANKS, .experts = EXPERTS, .slots = SLOTS };
static const placement_config_t config
    = { .minimum_gain = 0.02, .max_moves = MAX_MOVES };

/* A group whose expert popularity follows Zipf's law, and the policy under
   test.  */
typedef struct group
{
  const placement_ops_t *ops;
  placement_t *placement;
  placement_map_t *map;
  placement_plan_t plan;
  uint64_t tokens[2 * EXPERTS];
  uint64_t work[RANKS];
  uint64_t busy_us[RANKS];
} group_t;

static group_t *
group_create_with (const char *policy, const placement_config_t *limits)
{
  group_t *group = talloc_zero (NULL, group_t);

  group->ops = plugin_ops (PLUGIN_PLACEMENT, policy);
  assert_non_null (group->ops);
  group->placement = group->ops->create (group, &shape, limits);
  group->map = placement_map_create_initial (group, &shape);
  for (unsigned i = 0; i < 2 * EXPERTS; i++)
    group->tokens[i] = SAMPLE_TOKENS / (i % EXPERTS + 1);
  for (unsigned i = 0; i < RANKS; i++)
    {
      group->work[i] = SAMPLE_TOKENS;
      group->busy_us[i] = SAMPLE_TOKENS;
    }
  return group;
}

static group_t *
group_create (const char *policy)
{
  return group_create_with (policy, &config);
}

static void
group_plan (group_t *group)
{
  placement_sample_t sample = { .tokens = group->tokens,
                                .work = group->work,
                                .busy_us = group->busy_us };

  group->ops->observe (group->placement, &sample);
  group->ops->plan (group->placement, group, group->map, &group->plan);
  if (!group->plan.is_change)
    return;
  assert_true (placement_map_is_valid (group->plan.map));
  assert_int_equal (placement_map_moves (group->map, group->plan.map),
                    group->plan.moves);
  group->map = group->plan.map;
}

static void
test_first_map_holds_every_expert (void **state)
{
  placement_shape_t too_small = shape;
  placement_map_t *map = placement_map_create_initial (NULL, &shape);

  (void)state;
  assert_true (placement_map_is_valid (map));
  assert_int_equal (placement_map_moves (map, map), 0);
  placement_map_slot (map, 1, 0, 0)->expert = EXPERTS;
  assert_false (placement_map_is_valid (map));
  talloc_free (map);
  too_small.slots = 3;
  assert_null (placement_map_create_initial (NULL, &too_small));
}

static void
test_fixed_never_moves (void **state)
{
  group_t *group = group_create ("fixed");

  (void)state;
  group_plan (group);
  assert_false (group->plan.is_change);
  assert_true (group->plan.time_before > 2 * group->plan.time_bound);
  talloc_free (group);
}

static void
test_repack_balances_from_scratch (void **state)
{
  group_t *group = group_create ("repack");

  (void)state;
  group_plan (group);
  assert_true (group->plan.is_change);
  assert_true (group->plan.time_after < 1.2 * group->plan.time_bound);
  assert_true (group->plan.moves > 2 * MAX_MOVES);
  talloc_free (group);
}

static void
test_incremental_obeys_max_moves (void **state)
{
  group_t *group = group_create ("incremental");

  (void)state;
  for (unsigned i = 0; i < 12; i++)
    {
      group_plan (group);
      assert_true (group->plan.moves <= MAX_MOVES);
      assert_true (group->plan.time_after <= group->plan.time_before);
    }
  assert_true (group->plan.time_after < 1.05 * group->plan.time_bound);
  talloc_free (group);
}

static void
test_incremental_keeps_map_when_gain_is_small (void **state)
{
  group_t *group = group_create ("incremental");

  (void)state;
  for (unsigned i = 0; i < 12; i++)
    group_plan (group);
  group_plan (group);
  assert_false (group->plan.is_change);
  assert_string_equal (group->plan.reason, "gain-too-small");
  talloc_free (group);
}

static double
rank_load (const group_t *group, unsigned rank)
{
  estimate_t *estimate = estimate_create (NULL, &shape);
  placement_sample_t sample = { .tokens = group->tokens,
                                .work = group->work,
                                .busy_us = group->busy_us };
  layer_t *layer;
  double load;

  estimate_update (estimate, &sample);
  layer = layer_create (estimate, estimate, 0, group->map);
  load = layer->ranks[rank].load;
  talloc_free (estimate);
  return load;
}

static void
test_incremental_relieves_slow_rank (void **state)
{
  group_t *group = group_create ("incremental");
  double load;

  (void)state;
  for (unsigned i = 0; i < 12; i++)
    group_plan (group);
  load = rank_load (group, SLOW_RANK);
  group->busy_us[SLOW_RANK] = SAMPLE_TOKENS * 10 / 7;
  for (unsigned i = 0; i < 24; i++)
    group_plan (group);
  assert_true (rank_load (group, SLOW_RANK) < 0.8 * load);
  assert_true (group->plan.time_after < 1.05 * group->plan.time_bound);
  talloc_free (group);
}

static void
test_incremental_follows_new_popular_expert (void **state)
{
  group_t *group = group_create ("incremental");

  (void)state;
  for (unsigned i = 0; i < 12; i++)
    group_plan (group);
  group->tokens[EXPERTS - 1] = SAMPLE_TOKENS;
  group_plan (group);
  assert_true (group->plan.is_change);
  for (unsigned i = 0; i < 12; i++)
    group_plan (group);
  assert_true (group->plan.time_after < 1.05 * group->plan.time_bound);
  talloc_free (group);
}

static const placement_config_t even_config
    = { .minimum_gain = 0.02, .max_loads_per_rank = 2 };

/* Leaves one replica of each expert and frees the other slots.  */
static void
group_free_spare_slots (group_t *group)
{
  for (unsigned layer = 0; layer < shape.layers; layer++)
    {
      for (unsigned i = EXPERTS; i < RANKS * SLOTS; i++)
        *placement_map_slot (group->map, layer, i % RANKS, i / RANKS)
            = (placement_slot_t){ .expert = PLACEMENT_SLOT_FREE };
    }
}

/* Returns the maximum number of experts of a layer that any rank loads to
   go from one map to the other.  */
static unsigned
max_rank_loads (const placement_map_t *from, const placement_map_t *to)
{
  unsigned max_loads = 0;

  for (unsigned layer = 0; layer < shape.layers; layer++)
    {
      for (unsigned rank = 0; rank < RANKS; rank++)
        {
          unsigned loads = 0;

          for (unsigned slot = 0; slot < SLOTS; slot++)
            {
              unsigned expert
                  = placement_map_slot (to, layer, rank, slot)->expert;

              if (expert != PLACEMENT_SLOT_FREE
                  && !placement_map_holds (from, layer, rank, expert))
                loads++;
            }
          max_loads = loads > max_loads ? loads : max_loads;
        }
    }
  return max_loads;
}

static bool
has_replica_twice (const placement_map_t *map)
{
  for (unsigned layer = 0; layer < shape.layers; layer++)
    {
      for (unsigned rank = 0; rank < RANKS; rank++)
        {
          for (unsigned slot = 1; slot < SLOTS; slot++)
            {
              for (unsigned before = 0; before < slot; before++)
                {
                  unsigned expert
                      = placement_map_slot (map, layer, rank, slot)->expert;

                  if (expert != PLACEMENT_SLOT_FREE
                      && placement_map_slot (map, layer, rank, before)->expert
                             == expert)
                    return true;
                }
            }
        }
    }
  return false;
}

static void
test_even_obeys_max_loads_per_rank (void **state)
{
  group_t *group = group_create_with ("even", &even_config);

  (void)state;
  group_free_spare_slots (group);
  assert_true (placement_map_is_valid (group->map));
  for (unsigned i = 0; i < 8; i++)
    {
      const placement_map_t *before = group->map;

      group_plan (group);
      assert_true (max_rank_loads (before, group->map)
                   <= even_config.max_loads_per_rank);
      assert_false (has_replica_twice (group->map));
      assert_true (group->plan.time_after <= group->plan.time_before);
    }
  assert_true (group->plan.time_after < 1.15 * group->plan.time_bound);
  talloc_free (group);
}

static void
test_even_keeps_map_when_gain_is_small (void **state)
{
  group_t *group = group_create_with ("even", &even_config);

  (void)state;
  group_free_spare_slots (group);
  for (unsigned i = 0; i < 20; i++)
    group_plan (group);
  assert_false (group->plan.is_change);
  assert_string_equal (group->plan.reason, "gain-too-small");
  talloc_free (group);
}

/* Loading the weights takes longer than the map is expected to match the
   load.  */
static void
test_even_rejects_change_loaded_too_late (void **state)
{
  placement_config_t slow = even_config;
  group_t *group;

  (void)state;
  slow.load_seconds = 10;
  slow.horizon_seconds = 5;
  group = group_create_with ("even", &slow);
  group_free_spare_slots (group);
  group_plan (group);
  assert_false (group->plan.is_change);
  talloc_free (group);
}

static void
test_even_relieves_slow_rank (void **state)
{
  group_t *group = group_create_with ("even", &even_config);
  double load;

  (void)state;
  group_free_spare_slots (group);
  for (unsigned i = 0; i < 8; i++)
    group_plan (group);
  load = rank_load (group, SLOW_RANK);
  group->busy_us[SLOW_RANK] = (uint64_t)SAMPLE_TOKENS * 2;
  for (unsigned i = 0; i < 12; i++)
    group_plan (group);
  assert_true (rank_load (group, SLOW_RANK) < 0.8 * load);
  talloc_free (group);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_first_map_holds_every_expert),
    cmocka_unit_test (test_fixed_never_moves),
    cmocka_unit_test (test_repack_balances_from_scratch),
    cmocka_unit_test (test_incremental_obeys_max_moves),
    cmocka_unit_test (test_incremental_keeps_map_when_gain_is_small),
    cmocka_unit_test (test_incremental_relieves_slow_rank),
    cmocka_unit_test (test_incremental_follows_new_popular_expert),
    cmocka_unit_test (test_even_obeys_max_loads_per_rank),
    cmocka_unit_test (test_even_keeps_map_when_gain_is_small),
    cmocka_unit_test (test_even_rejects_change_loaded_too_late),
    cmocka_unit_test (test_even_relieves_slow_rank),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
