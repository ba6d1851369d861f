#include "bench/model_state.h"
#include "kernel/plugin.h"
#include "plugins/pick/load.h"

#include <stdlib.h>

/* Reference to compare the prefix policy with: a policy that reads the
   simulated upstreams' prefix caches directly.  It limits cache affinity by
   load as the prefix policy does.  */
struct pick
{
  load_random_t random;
};

/* An upstream is chosen for its cache only up to this multiple of the average
   utilization plus this part of its limit, as in the prefix policy.  */
static const double max_load_ratio = 1.25;
static const double max_load_margin = 0.15;

static const model_t *observed_model;

/* Set the model whose caches the policy reads.  MODEL must outlive it.  */
void
perfect_set_model (const model_t *model)
{
  observed_model = model;
}

static pick_t *
perfect_create (TALLOC_CTX *parent, uint64_t seed)
{
  pick_t *pick = talloc_zero (parent, pick_t);

  pick->random.state = seed;
  return pick;
}

static void
perfect_destroy (pick_t *pick)
{
  talloc_free (pick);
}

/* Return the simulated upstream called NAME, a letter and its index.  */
static const model_upstream_t *
perfect_upstream (const char *name)
{
  return &observed_model->upstreams[strtoul (name + 1, NULL, 10)];
}

/* Choose the upstream with the longest cached prefix within the load limit;
   without one, the least loaded upstream.  */
static void
perfect_choose (pick_t *pick, const pick_request_t *work,
                const pick_candidate_t *const *candidates, size_t count,
                struct timespec now, pick_choice_t *choice)
{
  load_other_average_t others = load_average_others (candidates, count);
  double sum = 0;
  size_t max_cached = 0;

  for (size_t i = 0; i < count; i++)
    sum += load_estimate (candidates[i], work, &others, now).utilization;
  choice->index
      = load_pick_least (&pick->random, work, candidates, count, now);
  choice->reason = "perfect";
  for (size_t i = 0; i < count; i++)
    {
      load_t load = load_estimate (candidates[i], work, &others, now);
      size_t cached = fleet_cached_blocks (
          perfect_upstream (candidates[i]->name), work->prefix_blocks,
          work->prefix_block_count);

      if (cached <= max_cached || load.tier != LOAD_HAS_ROOM
          || load.utilization
                 > max_load_ratio * sum / (double)count + max_load_margin)
        continue;
      max_cached = cached;
      choice->index = i;
    }
}

static const pick_ops_t perfect_ops = {
  .create = perfect_create,
  .destroy = perfect_destroy,
  .choose = perfect_choose,
};

PLUGIN_REGISTER (perfect, PLUGIN_PICK, "perfect",
                 "longest cached prefix, read from the caches themselves",
                 &perfect_ops);
