#include "plugins/pick/load.h"

#include "kernel/clock.h"

#include <math.h>
#include <string.h>

enum
{
  SAMPLED_CANDIDATES = 5, /* number drawn at random before a full search */
  REPORT_HALF_WEIGHT_AGE_MS = 1000 /* age at which a report weighs one half */
};

/* Utilizations closer than this count as equal, so that the zone decides.  */
static const double equal_load_margin = 1.0 / 64;

/* Return the next number of a splitmix64 sequence.  */
uint64_t
load_random_next (load_random_t *random)
{
  uint64_t value = random->state += 0x9e3779b97f4a7c15;

  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

static double
subtract_clamped (uint64_t total, uint64_t part)
{
  return total > part ? (double)(total - part) : 0;
}

/* Return the requests that other entries have on CANDIDATE: those reported
   minus those of this entry at that time.  */
double
load_other_requests (const pick_candidate_t *candidate)
{
  const pick_report_t *report = &candidate->report;

  return subtract_clamped (report->outstanding_requests
                               + report->queued_requests,
                           candidate->requests_at_report);
}

/* Return the tokens that other entries have on CANDIDATE.  */
static double
other_tokens (const pick_candidate_t *candidate)
{
  return subtract_clamped (candidate->report.outstanding_tokens,
                           candidate->tokens_at_report);
}

/* Return the load that other entries cause, averaged over the COUNT
   CANDIDATES.  */
load_other_average_t
load_average_others (const pick_candidate_t *const *candidates, size_t count)
{
  load_other_average_t others = { 0, 0 };

  for (size_t i = 0; i < count; i++)
    {
      others.tokens += other_tokens (candidates[i]);
      others.requests += load_other_requests (candidates[i]);
    }
  others.tokens /= (double)count;
  others.requests /= (double)count;
  return others;
}

static double
weighted_mean (double reported, double average, double weight)
{
  return reported * weight + average * (1 - weight);
}

/* Return the weight of REPORT, from 1 when it is new towards 0 as it ages.  */
double
load_report_weight (const pick_report_t *report, struct timespec now)
{
  double age = (double)timespec_to_ms (timespec_subtract (now, report->at));

  return REPORT_HALF_WEIGHT_AGE_MS / (REPORT_HALF_WEIGHT_AGE_MS + age);
}

/* Estimate the load of CANDIDATE including REQUEST.  The part of this entry is
   known exactly.  The part of other entries is taken from the last report and
   moves towards the average in OTHERS as the report ages, so that the entries
   don't all choose the same upstream because of one old low report.  */
load_t
load_estimate (const pick_candidate_t *candidate,
               const pick_request_t *request,
               const load_other_average_t *others, struct timespec now)
{
  const pick_report_t *report = &candidate->report;
  double request_tokens
      = (double)(request->prompt_tokens + request->output_tokens);
  double weight = load_report_weight (report, now);
  double tokens
      = (double)candidate->outstanding_tokens + request_tokens
        + weighted_mean (other_tokens (candidate), others->tokens, weight);
  double requests = (double)candidate->outstanding_requests + 1
                    + weighted_mean (load_other_requests (candidate),
                                     others->requests, weight);
  load_t load = { LOAD_HAS_ROOM, tokens };

  if (report->limit_tokens > 0)
    load.utilization = fmax (tokens / (double)report->limit_tokens,
                             requests / (double)report->limit_requests);
  if (!report->is_known || report->is_cold)
    {
      if (requests > fmax (1, (double)report->limit_requests)
          || (requests > 1 && tokens > (double)report->limit_tokens))
        load.tier = LOAD_COLD_FULL;
    }
  else if (requests > (double)report->limit_requests
           || tokens > (double)report->limit_tokens)
    load.tier = LOAD_WILL_QUEUE;
  return load;
}

/* Return whether an upstream with the load LEFT is preferable to one with
   RIGHT.  */
bool
load_is_better (const load_t *left, const load_t *right)
{
  if (left->tier != right->tier)
    return left->tier < right->tier;
  return left->utilization < right->utilization;
}

/* A search for the least loaded candidate, with the best one so far.  */
typedef struct search
{
  const pick_request_t *request;
  const pick_candidate_t *const *candidates;
  load_other_average_t others;
  struct timespec now;
  size_t best;
  load_t best_load;
  bool has_any;
} search_t;

/* Return whether the candidate INDEX with LOAD is better than the best so far.
   At about equal load one in the zone of this entry is preferred.  */
static bool
search_prefers (const search_t *search, size_t index, const load_t *load)
{
  bool is_in_own_zone;

  if (!search->has_any)
    return true;
  if (load->tier != search->best_load.tier
      || fabs (load->utilization - search->best_load.utilization)
             >= equal_load_margin)
    return load_is_better (load, &search->best_load);
  is_in_own_zone
      = strcmp (search->candidates[index]->zone, search->request->zone) == 0;
  if (is_in_own_zone
      != (strcmp (search->candidates[search->best]->zone,
                  search->request->zone)
          == 0))
    return is_in_own_zone;
  return load_is_better (load, &search->best_load);
}

/* Consider the candidate INDEX.  Returns whether it has room.  */
static bool
search_consider (search_t *search, size_t index)
{
  load_t load = load_estimate (search->candidates[index], search->request,
                               &search->others, search->now);

  if (search_prefers (search, index, &load))
    {
      search->best = index;
      search->best_load = load;
      search->has_any = true;
    }
  return load.tier == LOAD_HAS_ROOM;
}

/* Return the index of the least loaded of a few candidates drawn at random
   among those that have room, or of all if none has.  The random draw makes
   entries with the same reports choose different upstreams.  */
size_t
load_pick_least (load_random_t *random, const pick_request_t *request,
                 const pick_candidate_t *const *candidates, size_t count,
                 struct timespec now)
{
  search_t search = { .request = request,
                      .candidates = candidates,
                      .others = load_average_others (candidates, count),
                      .now = now };
  size_t start;
  unsigned with_room = 0;

  for (unsigned i = 0; i < SAMPLED_CANDIDATES && count > SAMPLED_CANDIDATES;
       i++)
    search_consider (&search, (size_t)(load_random_next (random) % count));
  if (search.has_any && search.best_load.tier == LOAD_HAS_ROOM)
    return search.best;
  start = (size_t)(load_random_next (random) % count);
  for (size_t i = 0; i < count && with_room < SAMPLED_CANDIDATES; i++)
    with_room += search_consider (&search, (start + i) % count);
  return search.best;
}
