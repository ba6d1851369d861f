#include "plugins/pick/load.h"

#include "kernel/clock.h"

#include <math.h>
#include <string.h>

enum
{
  SAMPLED_CANDIDATES = 5, /* looked at before all others */
  TRUST_MS = 1000         /* after which a report weighs half */
};

/* Loads closer than this are equal, so that the zone decides.  */
static const double share_step = 1.0 / 64;

/* Return a number of a splitmix64 sequence.  */
uint64_t
load_random_next (load_random_t *random)
{
  uint64_t value = random->state += 0x9e3779b97f4a7c15;

  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

static double
above (uint64_t whole, uint64_t part)
{
  return whole > part ? (double)(whole - part) : 0;
}

static double
other_requests (const pick_candidate_t *candidate)
{
  const pick_report_t *report = &candidate->report;

  return above (report->outstanding_requests + report->queued_requests,
                candidate->requests_at_report);
}

static double
other_tokens (const pick_candidate_t *candidate)
{
  return above (candidate->report.outstanding_tokens,
                candidate->tokens_at_report);
}

/* Return what other entries have at the average one of the candidates.  */
load_other_entries_t
load_other_entries (const pick_candidate_t *const *candidates, size_t count)
{
  load_other_entries_t others = { 0, 0 };

  for (size_t i = 0; i < count; i++)
    {
      others.tokens += other_tokens (candidates[i]);
      others.requests += other_requests (candidates[i]);
    }
  others.tokens /= (double)count;
  others.requests /= (double)count;
  return others;
}

static double
blend (double reported, double average, double trust)
{
  return reported * trust + average * (1 - trust);
}

static double
report_trust (const pick_report_t *report, struct timespec now)
{
  double age = (double)timespec_to_ms (timespec_subtract (now, report->at));

  return TRUST_MS / (TRUST_MS + age);
}

/* Return what CANDIDATE would carry with WORK.  The entry knows its own part
   at any time; what others have there is taken from the last report, and the
   older that is the nearer to the average of OTHERS, which keeps entries from
   all running to the one upstream whose report was low.  */
load_t
load_estimate (const pick_candidate_t *candidate, const pick_request_t *work,
               const load_other_entries_t *others, struct timespec now)
{
  const pick_report_t *report = &candidate->report;
  double work_tokens = (double)(work->prompt_tokens + work->output_tokens);
  double trust = report_trust (report, now);
  double tokens = (double)candidate->outstanding_tokens + work_tokens
                  + blend (other_tokens (candidate), others->tokens, trust);
  double requests
      = (double)candidate->outstanding_requests + 1
        + blend (other_requests (candidate), others->requests, trust);
  load_t load = { LOAD_HAS_ROOM, tokens };

  if (report->limit_tokens > 0)
    load.share = fmax (tokens / (double)report->limit_tokens,
                       requests / (double)report->limit_requests);
  if (!report->is_known || report->is_cold)
    {
      if (requests > fmax (1, (double)report->limit_requests)
          || (requests > 1 && tokens > (double)report->limit_tokens))
        load.rank = LOAD_COLD_FULL;
    }
  else if (requests > (double)report->limit_requests
           || tokens > (double)report->limit_tokens)
    load.rank = LOAD_WILL_QUEUE;
  return load;
}

/* Return whether LEFT is the better place for the request.  */
bool
load_is_better (const load_t *left, const load_t *right)
{
  if (left->rank != right->rank)
    return left->rank < right->rank;
  return left->share < right->share;
}

/* The best place found so far.  */
typedef struct search
{
  const pick_request_t *work;
  const pick_candidate_t *const *candidates;
  load_other_entries_t others;
  struct timespec now;
  size_t best;
  load_t best_load;
  bool has_any;
} search_t;

static bool
search_prefers (const search_t *search, size_t index, const load_t *load)
{
  bool is_own;

  if (!search->has_any)
    return true;
  if (load->rank != search->best_load.rank
      || fabs (load->share - search->best_load.share) >= share_step)
    return load_is_better (load, &search->best_load);
  is_own = strcmp (search->candidates[index]->zone, search->work->zone) == 0;
  if (is_own
      != (strcmp (search->candidates[search->best]->zone, search->work->zone)
          == 0))
    return is_own;
  return load_is_better (load, &search->best_load);
}

static void
search_look_at (search_t *search, size_t index)
{
  load_t load = load_estimate (search->candidates[index], search->work,
                               &search->others, search->now);

  if (!search_prefers (search, index, &load))
    return;
  search->best = index;
  search->best_load = load;
  search->has_any = true;
}

/* Return the index of the least loaded of a few candidates drawn at random,
   or, when none of these has room, of all.  The draw keeps entries that know
   the same reports apart.  */
size_t
load_pick_least (load_random_t *random, const pick_request_t *work,
                 const pick_candidate_t *const *candidates, size_t count,
                 struct timespec now)
{
  search_t search = { .work = work,
                      .candidates = candidates,
                      .others = load_other_entries (candidates, count),
                      .now = now };

  for (unsigned i = 0; i < SAMPLED_CANDIDATES && count > SAMPLED_CANDIDATES;
       i++)
    search_look_at (&search, (size_t)(load_random_next (random) % count));
  if (search.has_any && search.best_load.rank == LOAD_HAS_ROOM)
    return search.best;
  for (size_t i = 0; i < count; i++)
    search_look_at (&search, i);
  return search.best;
}
