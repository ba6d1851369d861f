#include "kernel/plugin.h"
#include "plugins/pick.h"

struct pick
{
  uint64_t next; /* start of the next search; rotates, so that ties do too */
};

static pick_t *
least_reported_create (TALLOC_CTX *parent, uint64_t seed)
{
  pick_t *pick = talloc_zero (parent, pick_t);

  if (pick != NULL)
    pick->next = seed;
  return pick;
}

static void
least_reported_destroy (pick_t *pick)
{
  talloc_free (pick);
}

static uint64_t
reported_tokens (const pick_candidate_t *candidate)
{
  return candidate->report.outstanding_tokens;
}

/* Choose the candidate with the fewest reported tokens.  */
static void
least_reported_choose (pick_t *pick, const pick_request_t *request,
                       const pick_candidate_t *const *candidates, size_t count,
                       struct timespec now, pick_choice_t *choice)
{
  size_t first = (size_t)(pick->next++ % count);

  (void)request;
  (void)now;
  choice->index = first;
  choice->reason = "least-reported";
  for (size_t i = 1; i < count; i++)
    {
      size_t index = (first + i) % count;

      if (reported_tokens (candidates[index])
          < reported_tokens (candidates[choice->index]))
        choice->index = index;
    }
}

static pick_t *
least_reported_copy (TALLOC_CTX *parent, const pick_t *pick)
{
  return talloc_memdup (parent, pick, sizeof *pick);
}

static const pick_ops_t least_reported_ops = {
  .create = least_reported_create,
  .destroy = least_reported_destroy,
  .choose = least_reported_choose,
  .copy = least_reported_copy,
};

PLUGIN_REGISTER (least_reported, PLUGIN_PICK, "least-reported",
                 "least outstanding tokens by the last report; a baseline",
                 &least_reported_ops);
