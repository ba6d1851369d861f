#include "bench/relay_model_state.h"

#include <math.h>

/* The clients of the model: their arrivals, and what they do after a refusal
   or a loss.  */

enum
{
  /* Clients honour Retry-After up to the time that they have left divided by
     this.  */
  RETRY_AFTER_MAX_DIVISOR = 3,
  RECONNECT_MAX_MS = 500 /* after the end of a power failure */
};

static void
request_arrive (relay_model_t *model, model_request_t *request,
                model_relay_t *relay)
{
  if (!model->is_down)
    model_relay_receive (model, relay, request);
  else
    model_lose_request (model, request);
}

/* Return the rate of the first account relative to that of each other.  */
static double
model_first_account_factor (const relay_model_t *model)
{
  const relay_model_scenario_t *scenario = &model->scenario;

  return model_span_covers (&scenario->first_account_time, model->now_ms)
             ? scenario->first_account_factor
             : 1;
}

static unsigned
model_random_account (relay_model_t *model)
{
  const relay_model_scenario_t *scenario = &model->scenario;
  double first = model_first_account_factor (model);
  double drawn;

  if (scenario->accounts == 0)
    return 0;
  drawn = model_random (model) * (scenario->accounts - 1 + first);
  return drawn < first ? 0 : 1 + (unsigned)(drawn - first);
}

static void
model_add_request (relay_model_t *model, model_relay_t *relay,
                   unsigned class_index)
{
  const relay_model_class_t *class = &model->scenario.classes[class_index];
  model_request_t *request = talloc_zero (model, model_request_t);

  request->class_index = class_index;
  request->started_ms = model->now_ms;
  request->is_counted
      = model_span_covers (&model->scenario.counted, model->now_ms);
  request->account = model_random_account (model);
  request->deadline_ms = model->now_ms + class->timeout_ms;
  request->criteria
      = (fleet_request_t){ .service = "model",
                           .route = model_route (model, class_index) };
  if (model->scenario.accounts > 0)
    request->criteria.account
        = talloc_asprintf (request, "account-%u", request->account);
  model->engine_ops->draw_cost (model, request);
  model_count_request (model, request);
  request_arrive (model, request, relay);
}

/* Return a random number with the Poisson distribution of MEAN.  */
static unsigned
model_random_poisson (relay_model_t *model, double mean)
{
  double limit = exp (-mean);
  double product = model_random (model);
  unsigned count = 0;

  while (product > limit)
    {
      product *= model_random (model);
      count++;
    }
  return count;
}

/* Return the arrivals at a relay in a tick if all classes have their normal
   rate.  */
static double
model_mean_arrivals (const relay_model_t *model)
{
  const relay_model_options_t *options = &model->options;
  const relay_model_scenario_t *scenario = &model->scenario;
  double mean = options->load * options->upstreams * options->slots
                / model->engine_ops->slot_ms (model) * MODEL_TICK_MS
                / options->relays;

  if (scenario->accounts > 0)
    mean *= (scenario->accounts - 1 + model_first_account_factor (model))
            / scenario->accounts;
  if (scenario->swing_period_ms > 0)
    mean *= 1
            + scenario->swing
                  * sin (2 * M_PI * (double)model->now_ms
                         / scenario->swing_period_ms);
  return mean;
}

static double
model_class_share (const relay_model_t *model, unsigned class_index)
{
  const relay_model_scenario_t *scenario = &model->scenario;
  double share = scenario->classes[class_index].share;

  if (class_index == scenario->class_count - 1
      && model_span_covers (&scenario->burst, model->now_ms))
    share *= scenario->burst_factor;
  return share;
}

/* Let the clients return whose time has come.  */
static void
model_run_returning (relay_model_t *model)
{
  model_request_t *request;
  model_request_t *next;

  for (request = TAILQ_FIRST (&model->returning); request != NULL;
       request = next)
    {
      next = TAILQ_NEXT (request, link);
      if (request->returns_ms > model->now_ms)
        continue;
      TAILQ_REMOVE (&model->returning, request, link);
      if (request->deadline_ms <= model->now_ms)
        model_end_request (model, request, false);
      else
        request_arrive (model, request,
                        &model->relays[(unsigned)(model_random (model)
                                                  * model->options.relays)]);
    }
}

/* Let the requests of this tick arrive.  */
void
model_run_arrivals (relay_model_t *model)
{
  double mean = model_mean_arrivals (model);

  model_run_returning (model);
  for (unsigned i = 0; i < model->options.relays; i++)
    {
      model_relay_t *relay = &model->relays[i];

      for (unsigned j = 0; j < model->scenario.class_count; j++)
        {
          unsigned count = model_random_poisson (
              model, mean * relay->weight * model_class_share (model, j));

          while (count-- > 0)
            model_add_request (model, relay, j);
        }
    }
}

/* The relay refuses REQUEST, which is in no queue any more.  Its client
   returns once.  */
void
model_refuse (relay_model_t *model, model_request_t *request,
              int64_t retry_after_ms)
{
  uint64_t deadline_ms = request->deadline_ms;
  uint64_t left_ms
      = deadline_ms > model->now_ms ? deadline_ms - model->now_ms : 0;
  uint64_t delay_ms = left_ms / RETRY_AFTER_MAX_DIVISOR;

  model_count_refusal (model, request);
  if (!model->scenario.clients_return || request->has_returned || left_ms == 0)
    {
      request->is_refused = true;
      model_end_request (model, request, false);
      return;
    }
  request->has_returned = true;
  if ((uint64_t)retry_after_ms < delay_ms)
    delay_ms = (uint64_t)retry_after_ms;
  request->returns_ms = model->now_ms + delay_ms;
  TAILQ_INSERT_TAIL (&model->returning, request, link);
}

/* REQUEST, which is in no queue any more, is lost with a process.  Unless it
   has got a part of its response, its client connects again after the power
   failure, if there is one.  */
void
model_lose_request (relay_model_t *model, model_request_t *request)
{
  const relay_model_span_t *failure = &model->scenario.power_failure;

  if (request->first_event_ms > 0
      || !model_span_covers (failure, model->now_ms))
    {
      model_end_request (model, request, false);
      return;
    }
  request->returns_ms
      = failure->end_ms + (uint64_t)(model_random (model) * RECONNECT_MAX_MS);
  TAILQ_INSERT_TAIL (&model->returning, request, link);
}

/* REQUEST has ended.  It is freed.  */
void
model_end_request (relay_model_t *model, model_request_t *request,
                   bool is_complete)
{
  model_count_end (model, request, is_complete);
  talloc_free (request);
}
