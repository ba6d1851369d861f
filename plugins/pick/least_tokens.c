#include "kernel/plugin.h"
#include "plugins/pick/load.h"

struct pick
{
  load_random_t random;
};

static pick_t *
least_tokens_create (TALLOC_CTX *parent, uint64_t seed)
{
  pick_t *pick = talloc_zero (parent, pick_t);

  if (pick != NULL)
    pick->random.state = seed;
  return pick;
}

static void
least_tokens_destroy (pick_t *pick)
{
  talloc_free (pick);
}

static void
least_tokens_choose (pick_t *pick, const pick_request_t *request,
                     const pick_candidate_t *const *candidates, size_t count,
                     struct timespec now, pick_choice_t *choice)
{
  choice->index
      = load_pick_least (&pick->random, request, candidates, count, now);
  choice->reason = "least-loaded";
}

static pick_t *
least_tokens_copy (TALLOC_CTX *parent, const pick_t *pick)
{
  return talloc_memdup (parent, pick, sizeof *pick);
}

static const pick_ops_t least_tokens_ops = {
  .create = least_tokens_create,
  .destroy = least_tokens_destroy,
  .choose = least_tokens_choose,
  .copy = least_tokens_copy,
};

PLUGIN_REGISTER (least_tokens, PLUGIN_PICK, "least-tokens",
                 "least load by own requests and reports weighted by age",
                 &least_tokens_ops);
