#include "bench/relay_model_state.h"

/* Upstreams at which a request takes a random time, whatever else runs.  */

enum
{
  WORK_MIN_MS = 600,
  WORK_MAX_MS = 1800,
  STEP_MS = 50
};

static void
fixed_time_draw_cost (relay_model_t *model, model_request_t *request)
{
  request->work_ms
      = WORK_MIN_MS
        + (uint64_t)(model_random (model) * (WORK_MAX_MS - WORK_MIN_MS));
}

static double
fixed_time_slot_ms (const relay_model_t *model)
{
  (void)model;
  return (WORK_MIN_MS + WORK_MAX_MS) / 2.0;
}

static void
upstream_start (relay_model_t *model, model_upstream_t *upstream,
                model_request_t *request)
{
  request->ends_ms = model->now_ms + request->work_ms;
  TAILQ_INSERT_TAIL (&upstream->running, request, link);
  upstream->running_count++;
  model_record_start (model, request);
}

static bool
fixed_time_accept (relay_model_t *model, model_upstream_t *upstream,
                   model_request_t *request)
{
  if (upstream->running_count < model->options.slots)
    {
      upstream_start (model, upstream, request);
      return true;
    }
  if (upstream->queued_count >= MODEL_UPSTREAM_QUEUE_MAX)
    return false;
  TAILQ_INSERT_TAIL (&upstream->queued, request, link);
  upstream->queued_count++;
  return true;
}

static void
upstream_run (relay_model_t *model, model_upstream_t *upstream)
{
  model_request_t *request;
  model_request_t *next;

  for (request = TAILQ_FIRST (&upstream->running); request != NULL;
       request = next)
    {
      next = TAILQ_NEXT (request, link);
      if (request->ends_ms > model->now_ms)
        continue;
      TAILQ_REMOVE (&upstream->running, request, link);
      upstream->running_count--;
      model_finish_attempt (model, request, FLEET_SERVED);
      model_end_request (model, request, true);
    }
  while (upstream->queued_count > 0
         && upstream->running_count < model->options.slots)
    {
      request = TAILQ_FIRST (&upstream->queued);
      TAILQ_REMOVE (&upstream->queued, request, link);
      upstream->queued_count--;
      upstream_start (model, upstream, request);
    }
  if (model->now_ms >= MODEL_WARM_UP_MS)
    upstream->load_sum += upstream->running_count + upstream->queued_count;
}

static void
fixed_time_run (relay_model_t *model)
{
  for (unsigned i = 0; i < model->options.upstreams; i++)
    upstream_run (model, &model->upstreams[i]);
}

static fleet_report_t
fixed_time_report (const relay_model_t *model,
                   const model_upstream_t *upstream)
{
  return (fleet_report_t){ .group = upstream->group->name,
                           .epoch = upstream->group->epoch,
                           .is_open = true,
                           .step = model->now_ms / STEP_MS,
                           .running = upstream->running_count,
                           .waiting = upstream->queued_count,
                           .slowdown = 1 };
}

const model_engine_ops_t fixed_time_ops = {
  .draw_cost = fixed_time_draw_cost,
  .slot_ms = fixed_time_slot_ms,
  .accept = fixed_time_accept,
  .run = fixed_time_run,
  .report = fixed_time_report,
};
