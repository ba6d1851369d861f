#include "bench/relay_model_state.h"
#include "kernel/plugin.h"
#include "plugins/pick/load.h"

#include <math.h>
#include <stdlib.h>

/* Policies to compare those of production with: oracles that read the state of
   the simulated engines, and the least number of requests.  */
struct pick
{
  load_random_t random;
  uint64_t relay; /* index */
};

enum
{
  SAMPLED_CANDIDATES = 5 /* as in least-tokens */
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

  if (pick == NULL)
    return NULL;
  pick->random.state = seed;
  /* The model gives its relays consecutive seeds.  */
  pick->relay = seed - observed_model->options.seed;
  return pick;
}

static void
reference_destroy (pick_t *pick)
{
  talloc_free (pick);
}

static double
candidate_expected_ms (const pick_candidate_t *candidate,
                       const pick_request_t *request,
                       const model_relay_t *relay)
{
  unsigned index = (unsigned)atoi (candidate->name + 1);

  return model_expected_ms (observed_model, &observed_model->upstreams[index],
                            relay, (double)request->prompt_tokens);
}

/* Choose the upstream at which the request has its first event first, with the
   present state of all engines.  */
static void
oracle_choose (pick_t *pick, const pick_request_t *request,
               const pick_candidate_t *const *candidates, size_t count,
               struct timespec now, pick_choice_t *choice)
{
  double least_ms = INFINITY;

  (void)pick;
  (void)now;
  choice->reason = "oracle";
  for (size_t i = 0; i < count; i++)
    {
      double expected_ms
          = candidate_expected_ms (candidates[i], request, NULL);

      if (expected_ms >= least_ms)
        continue;
      least_ms = expected_ms;
      choice->index = i;
    }
}

/* The same among a few candidates, knowing the cost of every request, but not
   what other relays have sent within the delay of the reports.  */
static void
delayed_oracle_choose (pick_t *pick, const pick_request_t *request,
                       const pick_candidate_t *const *candidates, size_t count,
                       struct timespec now, pick_choice_t *choice)
{
  double least_ms = INFINITY;

  (void)now;
  choice->reason = "delayed-oracle";
  for (unsigned i = 0; i < SAMPLED_CANDIDATES; i++)
    {
      size_t index = (size_t)(load_random_next (&pick->random) % count);
      double expected_ms = candidate_expected_ms (
          candidates[index], request, &observed_model->relays[pick->relay]);

      if (expected_ms >= least_ms)
        continue;
      least_ms = expected_ms;
      choice->index = index;
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

static const pick_ops_t delayed_oracle_ops = {
  .create = reference_create,
  .destroy = reference_destroy,
  .choose = delayed_oracle_choose,
};

static const pick_ops_t least_requests_ops = {
  .create = reference_create,
  .destroy = reference_destroy,
  .choose = least_requests_choose,
};

PLUGIN_REGISTER (oracle, PLUGIN_PICK, "oracle",
                 "least expected time, read from the engines themselves",
                 &oracle_ops);
PLUGIN_REGISTER (delayed_oracle, PLUGIN_PICK, "delayed-oracle",
                 "least expected time, with the requests that reports show",
                 &delayed_oracle_ops);
PLUGIN_REGISTER (least_requests, PLUGIN_PICK, "least-requests",
                 "fewest requests among a few candidates; a baseline",
                 &least_requests_ops);
