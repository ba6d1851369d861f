#include "planner_fixture.h"

#include "kernel/random.h"

#include <math.h>

enum
{
  LAYERS = PLANNER_FIXTURE_LAYERS,
  SLOTS = PLANNER_FIXTURE_SLOTS,
  MAX_LOADS = 2,
  TOKENS_PER_RANK = 1500 /* in a layer, between two plans */
};

static const double exponent = 0.7;
static const double expert_load_s = 0.01;

/* Returns the profile of the engines.  */
engine_profile_t
planner_fixture_engine (unsigned experts)
{
  return (engine_profile_t){ .has_experts = true,
                             .layer_sets = LAYERS,
                             .experts = experts,
                             .expert_slots = SLOTS,
                             .max_expert_loads = MAX_LOADS,
                             .expert_load_s = expert_load_s };
}

/* Creates a planner that knows the first map.  */
planner_fixture_t *
planner_fixture_create (unsigned ranks, unsigned experts)
{
  planner_fixture_t *fixture = talloc_zero (NULL, planner_fixture_t);
  engine_profile_t engine = planner_fixture_engine (experts);
  uint64_t numbers[LAYERS * (SLOTS + 1)];

  random_set_seed (1);
  fixture->ranks = ranks;
  fixture->experts = experts;
  fixture->planner = planner_create (fixture, &engine, ranks);
  fixture->counts
      = talloc_zero_array (fixture, uint64_t, (size_t)LAYERS * experts);
  for (unsigned rank = 0; rank < ranks; rank++)
    {
      rank_reply_t reply = { .numbers = numbers };

      for (unsigned layer = 0; layer < LAYERS; layer++)
        {
          numbers[reply.number_count++] = experts / ranks;
          for (unsigned expert = rank; expert < experts; expert += ranks)
            numbers[reply.number_count++] = expert;
        }
      planner_read_map (fixture->planner, rank, &reply);
    }
  return fixture;
}

/* Frees FIXTURE.  */
void
planner_fixture_destroy (planner_fixture_t *fixture)
{
  talloc_free (fixture);
}

/* Gives the experts a new, random order of popularity.  */
void
planner_fixture_shift (planner_fixture_t *fixture)
{
  for (unsigned layer = 0; layer < LAYERS; layer++)
    {
      uint64_t *counts = &fixture->counts[(size_t)layer * fixture->experts];
      double total = 0;

      for (unsigned i = 0; i < fixture->experts; i++)
        total += pow (i + 1, -exponent);
      for (unsigned i = 0; i < fixture->experts; i++)
        {
          unsigned other = (unsigned)(random_next () % (i + 1));
          uint64_t count = (uint64_t)(pow (i + 1, -exponent) / total
                                      * TOKENS_PER_RANK * fixture->ranks);

          counts[i] = counts[other];
          counts[other] = count;
        }
    }
}

/* Plans from the counts of the present popularity.  */
placement_plan_t
planner_fixture_plan (planner_fixture_t *fixture)
{
  rank_reply_t reply = { .numbers = fixture->counts,
                         .number_count = (size_t)LAYERS * fixture->experts };
  placement_plan_t plan;

  planner_add_counts (fixture->planner, &reply);
  planner_plan (fixture->planner, fixture, &plan);
  return plan;
}

/* Records that the group uses the map of PLAN.  */
void
planner_fixture_use (planner_fixture_t *fixture, const placement_plan_t *plan,
                     uint64_t version)
{
  if (plan->is_change)
    planner_set_map (fixture->planner, plan->map, version);
}
