#include "bench/relay_model_state.h"

enum
{
  NS_PER_US = 1000,
  TALLIES = 3 /* that a request counts in: all, its class, its account */
};

static void
times_add (model_times_t *times, double time_ms)
{
  uint64_t bucket = (uint64_t)(time_ms / MODEL_TICK_MS);

  times->buckets[bucket < MODEL_BUCKETS ? bucket : MODEL_BUCKETS - 1]++;
  times->count++;
}

/* Return the time in ms below which the share SHARE of TIMES is.  */
static double
times_percentile (const model_times_t *times, double share)
{
  uint64_t below = 0;

  for (unsigned i = 0; i < MODEL_BUCKETS; i++)
    {
      below += times->buckets[i];
      if ((double)below >= share * (double)times->count)
        return i * MODEL_TICK_MS;
    }
  return MODEL_BUCKETS * MODEL_TICK_MS;
}

/* Record that an upstream begins to run REQUEST.  */
void
model_record_start (relay_model_t *model, const model_request_t *request)
{
  if (request->is_counted)
    times_add (&model->waits, (double)(model->now_ms - request->started_ms));
}

static void
request_tallies (relay_model_t *model, const model_request_t *request,
                 model_tally_t *tallies[TALLIES])
{
  tallies[0] = &model->all;
  tallies[1] = &model->classes[request->class_index];
  tallies[2]
      = request->account == 0 ? &model->first_account : &model->other_accounts;
}

/* Count the first arrival of REQUEST.  */
void
model_count_request (relay_model_t *model, const model_request_t *request)
{
  model_tally_t *tallies[TALLIES];

  request_tallies (model, request, tallies);
  for (unsigned i = 0; i < TALLIES && request->is_counted; i++)
    tallies[i]->requests++;
}

/* Count that a relay has refused REQUEST.  */
void
model_count_refusal (relay_model_t *model, const model_request_t *request)
{
  model_tally_t *tallies[TALLIES];

  request_tallies (model, request, tallies);
  for (unsigned i = 0; i < TALLIES && request->is_counted; i++)
    times_add (&tallies[i]->refusals,
               (double)(model->now_ms - request->arrived_ms));
}

static bool
request_is_on_time (const relay_model_t *model, const model_request_t *request)
{
  const relay_model_class_t *class = &model->scenario
                                          .classes[request->class_index];

  return request->first_event_ms - (double)request->started_ms
             <= class->objective_ms
         && request->longest_gap_ms <= class->gap_limit_ms;
}

/* Count the end of REQUEST, which is served if IS_COMPLETE.  */
void
model_count_end (relay_model_t *model, const model_request_t *request,
                 bool is_complete)
{
  model_tally_t *tallies[TALLIES];

  if (!request->is_counted)
    return;
  request_tallies (model, request, tallies);
  for (unsigned i = 0; i < TALLIES; i++)
    {
      tallies[i]->attempts += request->sent_attempts;
      if (request->is_refused)
        tallies[i]->refused++;
      else if (!is_complete)
        tallies[i]->broken++;
      else if (request_is_on_time (model, request))
        tallies[i]->on_time++;
      else
        tallies[i]->late++;
    }
  if (!is_complete)
    return;
  times_add (&model->first_events,
             request->first_event_ms - (double)request->started_ms);
  times_add (&model->gaps, request->longest_gap_ms);
}

static double
ratio (uint64_t part, uint64_t whole)
{
  return whole == 0 ? 0 : (double)part / (double)whole;
}

static relay_model_outcome_t
tally_outcome (const relay_model_t *model, const model_tally_t *tally)
{
  uint64_t served = tally->on_time + tally->late;

  return (relay_model_outcome_t){
    .requests = tally->requests,
    .on_time = ratio (tally->on_time, tally->requests),
    .late = ratio (tally->late, tally->requests),
    .refused = ratio (tally->refused, tally->requests),
    .broken = ratio (tally->broken, tally->requests),
    .place_share = ratio (served, model->all.on_time + model->all.late),
    .attempts = ratio (tally->attempts, served),
    .refusal_ms = { times_percentile (&tally->refusals, 0.5),
                    times_percentile (&tally->refusals, 0.99) },
  };
}

static double
model_busiest_ratio (const relay_model_t *model)
{
  uint64_t most = 0;
  uint64_t total = 0;

  for (unsigned i = 0; i < model->options.upstreams; i++)
    {
      uint64_t load_sum = model->upstreams[i].load_sum;

      total += load_sum;
      if (load_sum > most)
        most = load_sum;
    }
  return (double)most * model->options.upstreams / (double)total;
}

static void
result_add_queue_times (relay_model_result_t *result,
                        const relay_model_t *model)
{
  for (unsigned i = 0; i < RELAY_MODEL_QUEUE_RANGES; i++)
    {
      uint64_t sweeps = model->queue_times[i].sweeps;

      result->queue_times[i] = (relay_model_queue_time_t){
        .sweeps = sweeps,
        .requests = ratio (model->queue_times[i].requests, sweeps),
        .sweep_us
        = ratio ((uint64_t)model->queue_times[i].ns, sweeps) / NS_PER_US,
      };
    }
}

/* Return the result of the run.  */
relay_model_result_t
model_result (const relay_model_t *model)
{
  uint64_t requests = model->all.requests;
  relay_model_result_t result = {
    .requests = requests,
    .sent_at_once = ratio (model->sent_at_once, requests),
    .refused = ratio (model->all.refused, requests),
    .declined = ratio (model->declined_attempts, requests),
    .new_connections = ratio (model->new_connections, requests),
    .wait_p50_ms = times_percentile (&model->waits, 0.5),
    .wait_p99_ms = times_percentile (&model->waits, 0.99),
    .busiest_ratio = model_busiest_ratio (model),
    .choice_us
    = ratio ((uint64_t)model->choice_ns, model->choices) / NS_PER_US,
    .report_us
    = ratio ((uint64_t)model->report_ns, model->reports) / NS_PER_US,
    .all = tally_outcome (model, &model->all),
    .first_account = tally_outcome (model, &model->first_account),
    .other_accounts = tally_outcome (model, &model->other_accounts),
    .first_event_p99_ms = times_percentile (&model->first_events, 0.99),
    .busiest_work = model->work_samples == 0
                        ? 0
                        : model->busiest_work_sum / model->work_samples,
    .gap_p99_ms = times_percentile (&model->gaps, 0.99),
  };

  for (unsigned i = 0; i < model->scenario.class_count; i++)
    result.classes[i] = tally_outcome (model, &model->classes[i]);
  result_add_queue_times (&result, model);
  return result;
}
