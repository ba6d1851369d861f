#include "relay/pass_model.h"

#include "relay/work_model.h"

#include <math.h>

enum
{
  TOKENS_PER_CONTEXT_UNIT = 1000
};

/* Factor by which the weight of earlier passes falls with each new one, so
   that the fit follows a change of costs within about 20 passes.  */
static const double decay = 0.85;
/* A pass that is longer or shorter than predicted by more than this has
   another cause than the number of requests, such as a slow rank, which fewer
   requests do not cure.  */
static const double min_factor = 0.25;
static const double max_factor = 4;
/* Before any pass has been observed, the profile counts as much as a pass to
   which the load adds this time.  */
static const double assumed_load_ms = 20;

/* Return the passes in which a request is in the engine: one for each event,
   and those in which its prompt is read.  */
static double
request_passes (const pass_costs_t *costs, double prompt_tokens)
{
  double chunk = costs->engine->prompt_chunk_tokens;

  return fmax (costs->mean_events, 1)
         + (chunk > 0 ? ceil (prompt_tokens / chunk) : 1);
}

/* Return the time that LOAD adds to a pass by the engine profile: the token
   steps of its requests with their context, and the part of reading their
   prompts that falls into one pass.  The context of a request is about its
   prompt, which the reports do not show.  */
double
pass_load_ms (const pass_costs_t *costs, const pass_load_t *load)
{
  const engine_profile_t *engine = costs->engine;
  double context;
  double step_ms;

  if (load->requests <= 0)
    return 0;
  context = load->context_tokens / load->requests;
  step_ms = load->requests
            * (fmax (engine->request_step_ms, 0)
               + fmax (engine->context_step_ms, 0) * context
                     / TOKENS_PER_CONTEXT_UNIT);
  return step_ms * fmax (engine->token_steps_per_pass, 1)
         + load->requests * engine_read_ms (engine, context)
               / request_passes (costs, context);
}

/* Record a pass that took EXTRA_MS longer than an idle one, while the load of
   the mean rank added LOAD_MS by the profile.  */
void
pass_model_record (pass_model_t *model, double load_ms, double extra_ms)
{
  if (load_ms <= 0)
    return;
  if (model->square_sum <= 0)
    model->product_sum = model->square_sum = assumed_load_ms * assumed_load_ms;
  model->product_sum
      = decay * model->product_sum + load_ms * fmax (extra_ms, 0);
  model->square_sum = decay * model->square_sum + load_ms * load_ms;
}

/* Return the factor between what is observed and what the profile gives.  */
double
pass_model_factor (const pass_model_t *model)
{
  if (model->square_sum <= 0)
    return 1;
  return fmin (fmax (model->product_sum / model->square_sum, min_factor),
               max_factor);
}

/* Return how many requests a rank with the load of RANK may have, see the
   header.  */
double
pass_model_limit (const pass_model_t *model, const pass_costs_t *costs,
                  const pass_load_t *rank, const pass_load_t *group,
                  double limit_extra_ms)
{
  const engine_profile_t *engine = costs->engine;
  pass_load_t mean
      = { .requests = 1,
          .context_tokens = engine->typical_prompt_tokens
                            + engine->typical_response_tokens / 2 };
  double request_ms;
  double spare_ms;

  if (group->requests > 0)
    mean.context_tokens = group->context_tokens / group->requests;
  request_ms = pass_load_ms (costs, &mean);
  if (request_ms <= 0)
    return INFINITY;
  spare_ms = limit_extra_ms / pass_model_factor (model)
             - pass_load_ms (costs, rank);
  return fmax (rank->requests + spare_ms / request_ms, 0);
}
