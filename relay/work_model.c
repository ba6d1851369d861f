#include "relay/work_model.h"

#include "kernel/clock.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

enum
{
  MODEL_SETS = 64,
  SET_ORIGINS = 4, /* 256 origins in all */
  /* The weight of a new value in an average falls to one in this many, so that
     after 50 responses a former value has 8% of its weight left.  */
  AVERAGE_MAX_COUNT = 20,
  /* An average starts from what is assumed without any response, which counts
     as this many.  */
  ASSUMED_COUNT = 2,
  DEFAULT_TIMEOUT_MS = 60000,
  US_PER_MS = 1000,
  TOKENS_PER_CONTEXT_UNIT = 1000
};

static const double pairs_per_million = 1e6;
/* A response that is longer than expected is assumed to go on for as long as
   was expected at first, as if lengths were memoryless.  */
static const double assumed_overrun_ratio = 1;

/* A moving average; 0 values if COUNT is 0.  */
typedef struct average
{
  double mean;
  unsigned count;
} average_t;

/* What is known of the responses of one route and account.  */
typedef struct origin
{
  uint64_t hash;
  struct timespec used_at;
  /* The clients' estimates and the actual number of events, over the same
     responses.  Their ratio corrects an estimate.  It is not the average of
     the ratios, in which one estimate of a single token would outweigh many
     good ones.  */
  average_t hinted_events;
  average_t events_of_hinted;
  average_t events; /* of all responses */
  /* By how much responses exceeded what was expected, relative to that, over
     those that did.  */
  average_t overrun_ratio;
  average_t response_ms;
  bool is_used;
} origin_t;

struct work_model
{
  origin_t origins[MODEL_SETS][SET_ORIGINS];
};

static average_t
average_assumed (double value)
{
  return (average_t){ .mean = value, .count = ASSUMED_COUNT };
}

static void
average_add (average_t *average, double value)
{
  if (average->count < AVERAGE_MAX_COUNT)
    average->count++;
  average->mean += (value - average->mean) / average->count;
}

/* Return the hash of the requests of ROUTE from ACCOUNT, which is NULL for
   none.  */
uint64_t
work_origin (const char *route, const char *account)
{
  uint64_t seed
      = account == NULL ? 0 : XXH3_64bits (account, strlen (account));

  return XXH3_64bits_withSeed (route, strlen (route), seed);
}

/* Create a model that has seen no responses.  Returns NULL when memory is
   exhausted.  */
work_model_t *
work_model_create (TALLOC_CTX *parent)
{
  return talloc_zero (parent, work_model_t);
}

/* Free MODEL.  */
void
work_model_destroy (work_model_t *model)
{
  talloc_free (model);
}

/* Return the index of the origin HASH in its set, or SET_ORIGINS if it is
   unknown.  */
static unsigned
model_index (const work_model_t *model, uint64_t hash)
{
  const origin_t *set = model->origins[hash % MODEL_SETS];
  unsigned i = 0;

  while (i < SET_ORIGINS && !(set[i].is_used && set[i].hash == hash))
    i++;
  return i;
}

/* Return the origin HASH, or NULL if it is unknown.  */
static origin_t *
model_find (work_model_t *model, uint64_t hash)
{
  unsigned index = model_index (model, hash);

  return index < SET_ORIGINS ? &model->origins[hash % MODEL_SETS][index]
                             : NULL;
}

/* Return the origin HASH; a new one replaces the least recently used of its
   set.  */
static origin_t *
model_find_or_add (work_model_t *model, uint64_t hash)
{
  origin_t *set = model->origins[hash % MODEL_SETS];
  origin_t *origin = model_find (model, hash);

  if (origin != NULL)
    return origin;
  origin = set;
  for (unsigned i = 1; i < SET_ORIGINS && origin->is_used; i++)
    {
      if (!set[i].is_used
          || timespec_compare (set[i].used_at, origin->used_at) < 0)
        origin = &set[i];
    }
  *origin
      = (origin_t){ .hash = hash,
                    .is_used = true,
                    .overrun_ratio = average_assumed (assumed_overrun_ratio) };
  return origin;
}

/* Return the events that REQUEST is expected to get in all, by what is known
   of its ORIGIN, which may be NULL.  */
static double
expected_events (const origin_t *origin, double hinted_events,
                 double typical_events)
{
  if (hinted_events > 0)
    {
      if (origin == NULL || origin->hinted_events.mean <= 0)
        return hinted_events;
      return hinted_events * origin->events_of_hinted.mean
             / origin->hinted_events.mean;
    }
  if (origin == NULL || origin->events.count == 0)
    return typical_events;
  return origin->events.mean;
}

/* Set the expected events of ESTIMATE.  They are at least one, and no more
   than the tokens that the request may generate.  */
static void
estimate_output (work_estimate_t *estimate, const origin_t *origin,
                 const engine_profile_t *engine, const work_request_t *request)
{
  double event_tokens = fmax (engine->token_steps_per_pass, 1);
  double hinted_tokens = (double)request->hinted_tokens;
  double max_tokens = (double)request->max_tokens;
  double events;

  if (max_tokens > 0)
    hinted_tokens = fmin (hinted_tokens, max_tokens);
  estimate->hinted_events = hinted_tokens / event_tokens;
  events = expected_events (origin, estimate->hinted_events,
                            engine->typical_response_tokens / event_tokens);
  if (max_tokens > 0)
    events = fmin (events, max_tokens);
  events = fmax (events, 1);
  estimate->overrun_events
      = fmax (events
                  * (origin == NULL ? assumed_overrun_ratio
                                    : origin->overrun_ratio.mean),
              1);
  estimate->is_partial = request->past_events > 0;
  estimate->events = fmax (events - (double)request->past_events, 1);
}

/* Return the time that the engine takes to read a prompt of TOKENS.  */
double
engine_read_ms (const engine_profile_t *engine, double tokens)
{
  double pairs = tokens * tokens / 2;
  double ms = pairs / pairs_per_million * fmax (engine->million_pairs_ms, 0);

  if (engine->prompt_tokens_per_ms > 0)
    ms += tokens / engine->prompt_tokens_per_ms;
  return ms;
}

/* Return the time that an event takes of the engine: its token steps for a
   request of CONTEXT_TOKENS, with its part of their fixed time.  */
static double
event_ms (const engine_profile_t *engine, double context_tokens)
{
  double step_ms = fmax (engine->request_step_ms, 0)
                   + fmax (engine->context_step_ms, 0) * context_tokens
                         / TOKENS_PER_CONTEXT_UNIT
                   + fmax (engine->step_ms, 0) / fmax (engine->slots, 1);

  return step_ms * fmax (engine->token_steps_per_pass, 1);
}

static uint64_t
bounded_us (double ms, uint64_t max_us)
{
  return ms * US_PER_MS < (double)max_us ? (uint64_t)(ms * US_PER_MS) : max_us;
}

/* Estimate the work of REQUEST without changing MODEL.  */
work_estimate_t
work_model_estimate (const work_model_t *model, const engine_profile_t *engine,
                     const work_request_t *request)
{
  unsigned index = model_index (model, request->origin);
  const origin_t *origin
      = index < SET_ORIGINS
            ? &model->origins[request->origin % MODEL_SETS][index]
            : NULL;
  double prompt_tokens = (double)request->prompt_tokens;
  int64_t max_ms
      = request->timeout_ms > 0 ? request->timeout_ms : DEFAULT_TIMEOUT_MS;
  work_estimate_t estimate
      = { .origin = request->origin, .max_us = (uint64_t)max_ms * US_PER_MS };
  double output_tokens;

  if (engine == NULL)
    {
      if (origin != NULL)
        estimate.read_us
            = bounded_us (origin->response_ms.mean, estimate.max_us);
      return estimate;
    }
  estimate_output (&estimate, origin, engine, request);
  output_tokens = estimate.events * fmax (engine->token_steps_per_pass, 1);
  estimate.read_us
      = bounded_us (engine_read_ms (engine, prompt_tokens), estimate.max_us);
  estimate.event_us = bounded_us (
      event_ms (engine, prompt_tokens + output_tokens / 2), estimate.max_us);
  return estimate;
}

/* Record that a request of ORIGIN has been estimated, so that what is known of
   others is replaced first.  */
void
work_model_use (work_model_t *model, uint64_t origin, struct timespec now)
{
  origin_t *known = model_find (model, origin);

  if (known != NULL)
    known->used_at = now;
}

/* Return the events that are still expected after EVENTS have been received.
   They go from those expected at first, in a straight line, to the usual
   overrun once as many have been received: fewer if responses end as expected,
   the same if their lengths are memoryless, more if those are
   heavy-tailed.  */
static double
events_left (const work_estimate_t *estimate, double events)
{
  double part = fmin (events / estimate->events, 1);

  return estimate->events
         + part * (estimate->overrun_events - estimate->events);
}

/* Return the work that is left of a request after EVENTS have been
   received.  */
uint64_t
work_left_us (const work_estimate_t *estimate, uint64_t events)
{
  double left_us = events == 0 ? (double)estimate->read_us : 0;

  if (estimate->events > 0)
    left_us
        += events_left (estimate, (double)events) * (double)estimate->event_us;
  return left_us < (double)estimate->max_us ? (uint64_t)left_us
                                            : estimate->max_us;
}

static void
origin_record_events (origin_t *origin, const work_estimate_t *estimate,
                      double events)
{
  if (origin->events.count == 0)
    origin->events = average_assumed (estimate->events);
  average_add (&origin->events, events);
  if (events > estimate->events)
    average_add (&origin->overrun_ratio,
                 (events - estimate->events) / estimate->events);
  if (estimate->hinted_events <= 0)
    return;
  if (origin->hinted_events.count == 0)
    origin->hinted_events = origin->events_of_hinted
        = average_assumed (estimate->hinted_events);
  average_add (&origin->hinted_events, estimate->hinted_events);
  average_add (&origin->events_of_hinted, events);
}

/* Learn from RESPONSE, of which ESTIMATE was made.  One that has continued an
   earlier response says nothing about the length of whole ones.  */
void
work_model_record (work_model_t *model, const work_estimate_t *estimate,
                   const work_response_t *response, struct timespec now)
{
  origin_t *origin = model_find_or_add (model, estimate->origin);

  origin->used_at = now;
  average_add (&origin->response_ms, (double)response->elapsed_ms);
  if (response->events > 0 && estimate->events > 0 && !estimate->is_partial)
    origin_record_events (origin, estimate, (double)response->events);
}
