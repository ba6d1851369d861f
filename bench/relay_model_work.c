#include "bench/relay_model_state.h"

#include <math.h>

/* The work of the requests at an upstream, which only the engine knows.  */

enum
{
  WORK_SAMPLE_MS = 100
};

static const double tokens_per_k = 1000;
static const double ms_per_s = 1000;
static const double pairs_per_million = 1000000;

/* Return the cost in ms of reading TOKENS of a prompt of PROMPT_TOKENS.  */
double
model_engine_read_ms (const relay_model_engine_t *engine, double tokens,
                      double prompt_tokens)
{
  return tokens * ms_per_s / engine->read_per_s
         + engine->pairs_per_m * tokens * prompt_tokens / pairs_per_million;
}

/* Return the cost in ms of writing an event with CONTEXT_TOKENS.  */
double
model_engine_write_ms (const relay_model_engine_t *engine,
                       double context_tokens)
{
  return engine->stride
         * (engine->per_seq_ms
            + engine->context_per_k * context_tokens / tokens_per_k);
}

/* The work of some requests.  */
typedef struct work_sum
{
  unsigned requests;
  unsigned least_events; /* left of the request that ends first */
  double read_ms;        /* what is left of the prompts */
  double write_ms;       /* an event of each */
  double rest_ms;        /* all events that are left */
} work_sum_t;

/* Add REQUESTS to SUM.  If RELAY is given, those of other relays only if a
   report that has arrived there can include them.  */
static void
work_sum_add (work_sum_t *sum, const relay_model_t *model,
              const model_requests_t *requests, const model_relay_t *relay)
{
  const relay_model_engine_t *engine = &model->scenario.engine;
  const model_request_t *request;

  TAILQ_FOREACH (request, requests, link)
    {
      double write_ms
          = model_engine_write_ms (engine, request->context_tokens);

      if (relay != NULL && request->relay != relay
          && model->now_ms - request->sent_ms
                 < model->scenario.report_delay_ms)
        continue;
      if (sum->requests == 0 || request->events_left < sum->least_events)
        sum->least_events = request->events_left;
      sum->requests++;
      sum->read_ms += model_engine_read_ms (engine, request->unread_tokens,
                                            request->context_tokens);
      sum->write_ms += write_ms;
      sum->rest_ms += write_ms * request->events_left;
    }
}

static work_sum_t
upstream_work (const relay_model_t *model, const model_upstream_t *upstream,
               const model_relay_t *relay)
{
  work_sum_t sum = { 0 };

  work_sum_add (&sum, model, &upstream->running, relay);
  work_sum_add (&sum, model, &upstream->queued, relay);
  return sum;
}

/* Return the time until a request with PROMPT_TOKENS that UPSTREAM gets now
   would have its first event, as far as that depends on the upstream: until a
   slot is free, and the own part of the passes until all prompts are read.  If
   RELAY is given, requests that other relays have sent within the delay of
   reports are left out.  */
double
model_expected_ms (const relay_model_t *model,
                   const model_upstream_t *upstream,
                   const model_relay_t *relay, double prompt_tokens)
{
  const relay_model_engine_t *engine = &model->scenario.engine;
  work_sum_t sum = upstream_work (model, upstream, relay);
  double prompt_ms
      = model_engine_read_ms (engine, prompt_tokens, prompt_tokens);
  double wait_ms = 0;

  if (sum.requests >= model->options.slots)
    wait_ms = sum.least_events * (1 + sum.requests - model->options.slots)
              * (engine->stride * engine->step_ms
                 + upstream->speed * sum.write_ms);
  return wait_ms + upstream->speed * (sum.read_ms + sum.write_ms + prompt_ms);
}

/* Record from time to time how unequally the work is distributed.  */
void
model_sample_work (relay_model_t *model)
{
  double most_ms = 0;
  double sum_ms = 0;

  if (!model_span_covers (&model->scenario.counted, model->now_ms)
      || model->now_ms % WORK_SAMPLE_MS != 0)
    return;
  for (unsigned i = 0; i < model->options.upstreams; i++)
    {
      const model_upstream_t *upstream = &model->upstreams[i];
      work_sum_t sum = upstream_work (model, upstream, NULL);
      double work_ms = upstream->speed * (sum.read_ms + sum.rest_ms);

      most_ms = fmax (most_ms, work_ms);
      sum_ms += work_ms;
    }
  if (sum_ms <= 0)
    return;
  model->busiest_work_sum += most_ms * model->options.upstreams / sum_ms;
  model->work_samples++;
}
