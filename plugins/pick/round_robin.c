#include "kernel/plugin.h"
#include "plugins/pick.h"

struct pick
{
  uint64_t next;
};

static pick_t *
round_robin_create (TALLOC_CTX *parent, uint64_t seed)
{
  pick_t *pick = talloc_zero (parent, pick_t);

  if (pick != NULL)
    pick->next = seed;
  return pick;
}

static void
round_robin_destroy (pick_t *pick)
{
  talloc_free (pick);
}

static void
round_robin_choose (pick_t *pick, const pick_request_t *request,
                    const pick_candidate_t *const *candidates, size_t count,
                    struct timespec now, pick_choice_t *choice)
{
  (void)request;
  (void)candidates;
  (void)now;
  choice->index = (size_t)(pick->next++ % count);
  choice->reason = "round-robin";
}

static pick_t *
round_robin_copy (TALLOC_CTX *parent, const pick_t *pick)
{
  return talloc_memdup (parent, pick, sizeof *pick);
}

static const pick_ops_t round_robin_ops = {
  .create = round_robin_create,
  .destroy = round_robin_destroy,
  .choose = round_robin_choose,
  .copy = round_robin_copy,
};

PLUGIN_REGISTER (round_robin, PLUGIN_PICK, "round-robin",
                 "each candidate in turn, regardless of load",
                 &round_robin_ops);
