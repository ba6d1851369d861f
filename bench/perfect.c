#include "bench/model_state.h"
#include "kernel/plugin.h"
#include "plugins/pick/load.h"

#include <stdlib.h>

/* The prefix policy with perfect knowledge of all caches, to compare with.  It
   keeps to the same bounds of load.  */
struct pick
{
  load_random_t random;
};

static const double hot_ratio = 1.25;
static const double hot_slack = 0.15;

static const model_t *known_model;

/* Make MODEL the one whose caches the policy knows.  */
void
perfect_know (const model_t *model)
{
  known_model = model;
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

static const model_upstream_t *
perfect_upstream (const char *name)
{
  return &known_model->upstreams[strtoul (name + 1, NULL, 10)];
}

static void
perfect_choose (pick_t *pick, const pick_request_t *work,
                const pick_candidate_t *const *candidates, size_t count,
                struct timespec now, pick_choice_t *choice)
{
  load_other_entries_t others = load_other_entries (candidates, count);
  double sum = 0;
  size_t deepest = 0;

  for (size_t i = 0; i < count; i++)
    sum += load_estimate (candidates[i], work, &others, now).share;
  choice->index
      = load_pick_least (&pick->random, work, candidates, count, now);
  choice->reason = "perfect";
  for (size_t i = 0; i < count; i++)
    {
      load_t load = load_estimate (candidates[i], work, &others, now);
      size_t depth = fleet_cached_blocks (
          perfect_upstream (candidates[i]->name), work->prefix_blocks,
          work->prefix_block_count);

      if (depth <= deepest || load.rank != LOAD_HAS_ROOM
          || load.share > hot_ratio * sum / (double)count + hot_slack)
        continue;
      deepest = depth;
      choice->index = i;
    }
}

static const pick_ops_t perfect_ops = {
  .create = perfect_create,
  .destroy = perfect_destroy,
  .choose = perfect_choose,
};

PLUGIN_REGISTER (perfect, PLUGIN_PICK, "perfect",
                 "prefixes with perfect knowledge of all caches",
                 &perfect_ops);
