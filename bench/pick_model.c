#include "bench/relay_model_state.h"
#include "kernel/plugin.h"
#include "plugins/pick/load.h"

#include <math.h>
#include <stdlib.h>

/* Policies to compare those of production with: an oracle that reads the state
   of the simulated engines, and the least number of requests.  */
struct pick
{
  load_random_t random;
};

enum
{
  SAMPLED_CANDIDATES = 5 /* as in the production policies */
};

static const relay_model_t *observed_model;

/* Set the model that the oracle reads.  MODEL must outlive its use.  */
void
model_observe (const relay_model_t *model)
{
  observed_model = model;
}

static pick_t *
reference_create (TALLOC_CTX *parent, uint64_t seed)
{
  pick_t *pick = talloc_zero (parent, pick_t);

  if (pick != NULL)
    pick->random.state = seed;
  return pick;
}

static void
reference_destroy (pick_t *pick)
{
  talloc_free (pick);
}

/* Choose the upstream at which the request has its first event first, and
   among those that are close, the one with the least work left.  */
static void
oracle_choose (pick_t *pick, const pick_request_t *request,
               const pick_candidate_t *const *candidates, size_t count,
               struct timespec now, pick_choice_t *choice)
{
  double least = INFINITY;

  (void)pick;
  (void)request;
  (void)now;
  choice->reason = "oracle";
  for (size_t i = 0; i < count; i++)
    {
      unsigned index = (unsigned)atoi (candidates[i]->name + 1);
      double cost = model_expected_ms (observed_model,
                                       &observed_model->upstreams[index]);

      if (cost >= least)
        continue;
      least = cost;
      choice->index = i;
    }
}

static uint64_t
candidate_requests (const pick_candidate_t *candidate)
{
  const pick_report_t *report = &candidate->report;
  uint64_t reported = report->outstanding_requests + report->queued_requests;

  if (reported < candidate->requests_at_report)
    return candidate->outstanding_requests;
  return candidate->outstanding_requests + reported
         - candidate->requests_at_report;
}

/* Choose the upstream with the fewest requests among a few.  */
static void
least_requests_choose (pick_t *pick, const pick_request_t *request,
                       const pick_candidate_t *const *candidates, size_t count,
                       struct timespec now, pick_choice_t *choice)
{
  uint64_t least = UINT64_MAX;

  (void)request;
  (void)now;
  choice->reason = "least-requests";
  for (unsigned i = 0; i < SAMPLED_CANDIDATES; i++)
    {
      size_t index = (size_t)(load_random_next (&pick->random) % count);
      uint64_t requests = candidate_requests (candidates[index]);

      if (requests >= least)
        continue;
      least = requests;
      choice->index = index;
    }
}

static const pick_ops_t oracle_ops = {
  .create = reference_create,
  .destroy = reference_destroy,
  .choose = oracle_choose,
};

static const pick_ops_t least_requests_ops = {
  .create = reference_create,
  .destroy = reference_destroy,
  .choose = least_requests_choose,
};

PLUGIN_REGISTER (oracle, PLUGIN_PICK, "oracle",
                 "least expected time, read from the engines themselves",
                 &oracle_ops);
PLUGIN_REGISTER (least_requests, PLUGIN_PICK, "least-requests",
                 "fewest requests among a few candidates; a baseline",
                 &least_requests_ops);
