#include "kernel/clock.h"
#include "kernel/plugin.h"
#include "plugins/pick/load.h"

#include <math.h>
#include <string.h>

/* The choice for requests of very unequal cost: the least expected wait, by
   the work that is left at an upstream instead of the number of requests or
   their maximum length.  */

enum
{
  /* Candidates drawn at random.  The more entries choose at the same time from
     the same old reports, the fewer each one compares: the best of five was
     then the best for many entries, which met in its queue.  */
  SAMPLED_MAX = 5, /* for a few entries */
  SAMPLED_MIN = 2,
  SAMPLED_PER_ENTRIES = 10, /* divided by the entries, beyond SAMPLED_MIN */
  /* Older reports say nothing about an upstream.  */
  REPORT_MAX_AGE_MS = 1500
};

/* Part of what a report says that others have at an upstream which counts for
   the wait.  The others see the same differences and even them out
   meanwhile.  */
static const double report_trust = 0.5;

/* Expected waits closer than this part of the longer one count as equal, so
   that the zone decides.  */
static const double equal_wait_ratio = 1.0 / 64;

/* What keeps a request from being run at once; lower is better.  */
typedef enum work_tier
{
  WORK_RUNS_AT_ONCE,
  WORK_WAITS_FOR_SLOT,
  WORK_HAS_NO_CACHE /* its tokens do not fit into the KV cache */
} work_tier_t;

typedef struct work_wait
{
  work_tier_t tier;
  double us;
} work_wait_t;

/* A search for the candidate with the shortest wait.  */
typedef struct work_search
{
  const pick_request_t *request;
  const pick_candidate_t *const *candidates;
  struct timespec now;
  double mean_others; /* requests of others at a candidate, on average */
  bool has_best;
  size_t best;
  work_wait_t best_wait;
} work_search_t;

struct pick
{
  load_random_t random;
};

static pick_t *
least_work_create (TALLOC_CTX *parent, uint64_t seed)
{
  pick_t *pick = talloc_zero (parent, pick_t);

  if (pick != NULL)
    pick->random.state = seed;
  return pick;
}

static void
least_work_destroy (pick_t *pick)
{
  talloc_free (pick);
}

static bool
report_is_recent (const pick_report_t *report, struct timespec now)
{
  return timespec_to_ms (timespec_subtract (now, report->at))
         < REPORT_MAX_AGE_MS;
}

/* Return the number of requests that others are expected to have at CANDIDATE:
   those of its last report, of which TRUST counts and the less the older it
   is, and for the rest the mean.  */
static double
expected_others (const work_search_t *search,
                 const pick_candidate_t *candidate, double trust)
{
  double weight;

  if (!report_is_recent (&candidate->report, search->now))
    return search->mean_others;
  weight = trust * load_report_weight (&candidate->report, search->now);
  return weight * load_other_requests (candidate)
         + (1 - weight) * search->mean_others;
}

/* Return how many requests more than CANDIDATE has slots it would have with
   one more; 0 if there is a slot for that.  */
static double
requests_over_slots (const work_search_t *search,
                     const pick_candidate_t *candidate)
{
  double slots = fmax ((double)candidate->report.limit_requests, 1);
  double requests = (double)candidate->outstanding_requests
                    + expected_others (search, candidate, 1);

  return fmax (requests + 1 - slots, 0);
}

/* Return whether REQUEST fits into what CANDIDATE reported as free of its KV
   cache, less what has been sent there since.  */
static bool
fits_cache (const pick_candidate_t *candidate, const pick_request_t *request,
            struct timespec now)
{
  const pick_report_t *report = &candidate->report;
  uint64_t needed = request->prompt_tokens + request->output_tokens;

  if (report->total_cache_tokens == 0 || !report_is_recent (report, now))
    return true;
  if (candidate->outstanding_tokens > candidate->tokens_at_report)
    needed += candidate->outstanding_tokens - candidate->tokens_at_report;
  return report->used_cache_tokens + needed <= report->total_cache_tokens;
}

/* Return how long passes take for REQUESTS requests with WORK_US of work left,
   by what REQUEST tells of the mean: the mean of a pass that has all of them
   and one that has as many as the work that is left makes up, which is what
   later passes have.  */
static double
pass_us (const pick_request_t *request, double requests, double work_us)
{
  return (requests * (double)request->mean_work_us + work_us) / 2
         / fmax (request->mean_passes, 1);
}

/* Return how long the request is expected to wait for its first event at
   CANDIDATE: until it has a slot, for which enough of the requests there have
   to end, which they do evenly over the time that their work takes; then until
   the prompts before its own, and its own, are read; then for a pass.  Prompts
   of other entries don't count: they have been read by the time that a report
   shows their requests.  */
static work_wait_t
candidate_wait (const work_search_t *search, const pick_candidate_t *candidate)
{
  const pick_request_t *request = search->request;
  const pick_report_t *report = &candidate->report;
  double others = expected_others (search, candidate, report_trust);
  double over = requests_over_slots (search, candidate);
  double requests = (double)candidate->outstanding_requests + others;
  double work_us = (double)candidate->outstanding_work_us
                   + others * (double)request->mean_work_us;
  double read_us
      = (double)candidate->outstanding_read_us + (double)request->read_us;
  work_wait_t wait = { .us = read_us * fmax (candidate->read_stretch, 1)
                             + pass_us (request, requests + 1,
                                        work_us + (double)request->work_us) };

  if (over > 0)
    {
      wait.tier = WORK_WAITS_FOR_SLOT;
      wait.us += work_us * over / fmax (requests, 1);
    }
  if (!fits_cache (candidate, request, search->now))
    wait.tier = WORK_HAS_NO_CACHE;
  if (report_is_recent (report, search->now))
    wait.us *= fmax (report->slowdown, 1);
  return wait;
}

static bool
is_in_zone (const work_search_t *search, size_t index)
{
  return strcmp (search->candidates[index]->zone, search->request->zone) == 0;
}

/* Return whether the candidate INDEX with WAIT is better than the best so
   far.  */
static bool
search_prefers (const work_search_t *search, size_t index,
                const work_wait_t *wait)
{
  const work_wait_t *best = &search->best_wait;

  if (!search->has_best)
    return true;
  if (wait->tier != best->tier)
    return wait->tier < best->tier;
  if (fabs (wait->us - best->us)
          <= equal_wait_ratio * fmax (wait->us, best->us)
      && is_in_zone (search, index) != is_in_zone (search, search->best))
    return is_in_zone (search, index);
  return wait->us < best->us;
}

/* Consider the candidate INDEX.  Returns whether it can run the request at
   once.  */
static bool
search_consider (work_search_t *search, size_t index)
{
  work_wait_t wait = candidate_wait (search, search->candidates[index]);

  if (search_prefers (search, index, &wait))
    {
      search->best = index;
      search->best_wait = wait;
      search->has_best = true;
    }
  return wait.tier == WORK_RUNS_AT_ONCE;
}

/* Draw COUNT candidates of TOTAL into SAMPLE.  */
static void
draw_sample (load_random_t *random, size_t *sample, size_t count, size_t total)
{
  for (size_t i = 0; i < count; i++)
    sample[i]
        = count == total ? i : (size_t)(load_random_next (random) % total);
}

/* Return the mean number of requests of others at the COUNT candidates in
   SAMPLE that have reported recently, 0 if none has.  */
static double
sample_mean_others (const work_search_t *search, const size_t *sample,
                    size_t count)
{
  double others = 0;
  unsigned recent = 0;

  for (size_t i = 0; i < count; i++)
    {
      const pick_candidate_t *candidate = search->candidates[sample[i]];

      if (!report_is_recent (&candidate->report, search->now))
        continue;
      others += load_other_requests (candidate);
      recent++;
    }
  return recent == 0 ? 0 : others / recent;
}

/* Return how many of COUNT candidates to draw for REQUEST.  */
static size_t
sample_size (const pick_request_t *request, size_t count)
{
  unsigned entries = request->entries > 0 ? request->entries : 1;
  size_t size = SAMPLED_MIN + SAMPLED_PER_ENTRIES / entries;

  if (size > SAMPLED_MAX)
    size = SAMPLED_MAX;
  return size < count ? size : count;
}

/* Choose the best of a few candidates drawn at random, or of more if none of
   them can run the request at once.  */
static void
least_work_choose (pick_t *pick, const pick_request_t *request,
                   const pick_candidate_t *const *candidates, size_t count,
                   struct timespec now, pick_choice_t *choice)
{
  work_search_t search
      = { .request = request, .candidates = candidates, .now = now };
  size_t sampled = sample_size (request, count);
  size_t start = (size_t)(load_random_next (&pick->random) % count);
  size_t sample[SAMPLED_MAX];
  unsigned can_run = 0;

  draw_sample (&pick->random, sample, sampled, count);
  search.mean_others = sample_mean_others (&search, sample, sampled);
  for (size_t i = 0; i < sampled; i++)
    search_consider (&search, sample[(start + i) % sampled]);
  if (search.best_wait.tier != WORK_RUNS_AT_ONCE)
    {
      for (size_t i = 0; i < count && can_run < sampled; i++)
        can_run += search_consider (&search, (start + i) % count);
    }
  choice->index = search.best;
  choice->reason = "least-work";
}

static pick_t *
least_work_copy (TALLOC_CTX *parent, const pick_t *pick)
{
  return talloc_memdup (parent, pick, sizeof *pick);
}

static const pick_ops_t least_work_ops = {
  .create = least_work_create,
  .destroy = least_work_destroy,
  .choose = least_work_choose,
  .copy = least_work_copy,
};

PLUGIN_REGISTER (least_work, PLUGIN_PICK, "least-work",
                 "least expected wait by the work that is left at upstreams",
                 &least_work_ops);
