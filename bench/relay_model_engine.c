#include "bench/relay_model_state.h"

#include <math.h>

/* Engines that run their requests in passes: all ranks of a group begin a pass
   together and wait for the slowest.  */

static void
rank_end_request (relay_model_t *model, model_upstream_t *rank,
                  model_request_t *request, fleet_result_t result)
{
  TAILQ_REMOVE (&rank->running, request, link);
  rank->running_count--;
  model_finish_attempt (model, request, result);
  model_end_request (model, request, result == FLEET_SERVED);
}

/* Start queued requests in the slots of RANK that are free.  */
static void
rank_admit (relay_model_t *model, model_upstream_t *rank)
{
  while (rank->queued_count > 0 && rank->running_count < model->options.slots)
    {
      model_request_t *request = TAILQ_FIRST (&rank->queued);

      TAILQ_REMOVE (&rank->queued, request, link);
      rank->queued_count--;
      TAILQ_INSERT_TAIL (&rank->running, request, link);
      rank->running_count++;
      model_record_start (model, request);
    }
}

/* Divide the chunk of a pass among the prompts of RANK, and return its own
   part of the pass in ms.  */
static double
rank_begin_pass (relay_model_t *model, model_upstream_t *rank)
{
  const relay_model_engine_t *engine = &model->scenario.engine;
  double chunk = engine->chunk;
  model_request_t *request;
  double part_ms = 0;

  rank_admit (model, rank);
  TAILQ_FOREACH (request, &rank->running, link)
    {
      request->reading_tokens = fmin (request->unread_tokens, chunk);
      chunk -= request->reading_tokens;
      part_ms += model_engine_read_ms (engine, request->reading_tokens,
                                       request->context_tokens)
                 + model_engine_write_ms (engine, request->context_tokens);
    }
  return part_ms * rank->speed;
}

static void
group_begin_pass (relay_model_t *model, model_group_t *group, double now_ms)
{
  const relay_model_engine_t *engine = &model->scenario.engine;
  double slowest_ms = 0;
  bool has_work = false;

  for (unsigned i = 0; i < group->rank_count; i++)
    {
      model_upstream_t *rank = &group->ranks[i];

      slowest_ms = fmax (slowest_ms, rank_begin_pass (model, rank));
      has_work |= rank->running_count > 0;
    }
  group->pass_ends_ms
      = has_work ? now_ms
                       + group->pace
                             * (engine->stride * engine->step_ms + slowest_ms)
                 : 0;
}

/* REQUEST gets what the pass has produced.  */
static void
request_end_pass (relay_model_t *model, model_request_t *request)
{
  double now_ms = request->upstream->group->pass_ends_ms;

  request->unread_tokens -= request->reading_tokens;
  if (request->unread_tokens > 0)
    return;
  if (request->first_event_ms <= 0)
    request->first_event_ms = now_ms;
  else
    request->longest_gap_ms
        = fmax (request->longest_gap_ms, now_ms - request->last_event_ms);
  request->last_event_ms = now_ms;
  request->context_tokens += model->scenario.engine.stride;
  request->events_left--;
  model_record_event (request);
}

static void
rank_end_pass (relay_model_t *model, model_upstream_t *rank)
{
  model_request_t *request;
  model_request_t *next;

  for (request = TAILQ_FIRST (&rank->running); request != NULL; request = next)
    {
      next = TAILQ_NEXT (request, link);
      request_end_pass (model, request);
      if (request->events_left == 0)
        rank_end_request (model, rank, request, FLEET_SERVED);
      else if (model->now_ms >= request->deadline_ms)
        rank_end_request (model, rank, request, FLEET_CLIENT_LEFT);
    }
}

static bool
group_has_work (const model_group_t *group)
{
  for (unsigned i = 0; i < group->rank_count; i++)
    {
      if (group->ranks[i].running_count + group->ranks[i].queued_count > 0)
        return true;
    }
  return false;
}

static void
group_run (relay_model_t *model, model_group_t *group)
{
  if (!group->is_open)
    return;
  if (group->pass_ends_ms <= 0 && group_has_work (group))
    group_begin_pass (model, group, (double)model->now_ms);
  while (group->pass_ends_ms > 0
         && group->pass_ends_ms <= (double)model->now_ms)
    {
      for (unsigned i = 0; i < group->rank_count; i++)
        rank_end_pass (model, &group->ranks[i]);
      group->passes++;
      group_begin_pass (model, group, group->pass_ends_ms);
    }
}

static void
lock_step_run (relay_model_t *model)
{
  for (unsigned i = 0; i < model->group_count; i++)
    group_run (model, &model->groups[i]);
  model_sample_work (model);
  if (model->now_ms < MODEL_WARM_UP_MS)
    return;
  for (unsigned i = 0; i < model->options.upstreams; i++)
    model->upstreams[i].load_sum += model->upstreams[i].running_count
                                    + model->upstreams[i].queued_count;
}

/* Queue REQUEST behind those that are as urgent.  */
static bool
lock_step_accept (relay_model_t *model, model_upstream_t *upstream,
                  model_request_t *request)
{
  model_request_t *other;

  if (!upstream->group->is_open
      || upstream->running_count + upstream->queued_count
             >= model->options.slots + MODEL_UPSTREAM_QUEUE_MAX)
    return false;
  upstream->queued_count++;
  TAILQ_FOREACH (other, &upstream->queued, link)
    {
      if (other->urgency > request->urgency)
        {
          TAILQ_INSERT_BEFORE (other, request, link);
          return true;
        }
    }
  TAILQ_INSERT_TAIL (&upstream->queued, request, link);
  return true;
}

static fleet_report_t
lock_step_report (const relay_model_t *model, const model_upstream_t *upstream)
{
  const model_group_t *group = upstream->group;
  const model_request_t *request;
  double used_tokens = 0;

  TAILQ_FOREACH (request, &upstream->running, link)
    used_tokens += request->context_tokens;
  return (fleet_report_t){ .group = group->name,
                           .epoch = group->epoch,
                           .is_open = group->is_open,
                           .step = group->passes,
                           .running = upstream->running_count,
                           .waiting = upstream->queued_count,
                           .used_tokens = (uint64_t)used_tokens,
                           .total_tokens = model->scenario.engine.kv_tokens,
                           .slowdown = upstream->speed * group->pace };
}

/* Return a random number with the log-normal distribution of MEAN and of
   SPREAD, the standard deviation over the mean.  */
static double
random_cost (relay_model_t *model, double mean, double spread)
{
  double variance = log (1 + spread * spread);

  return spread > 0 ? mean
                          * exp (sqrt (variance) * model_random_normal (model)
                                 - variance / 2)
                    : mean;
}

static void
lock_step_draw_cost (relay_model_t *model, model_request_t *request)
{
  /* Clients allow a multiple of the output that they expect of a request in
     general.  */
  static const double max_output_ratio = 4;
  const relay_model_cost_t *cost = &model->scenario.cost;
  double events = random_cost (model, cost->events, cost->event_spread);

  events = fmin (fmax (round (events), 1), max_output_ratio * cost->events);
  request->events_left = (unsigned)events;
  request->unread_tokens = request->context_tokens
      = ceil (random_cost (model, cost->prompt_tokens, cost->prompt_spread));
  request->criteria.hinted_tokens = (uint64_t)llround (
      events * model->scenario.engine.stride
      * exp (cost->estimate_error * model_random_normal (model)));
  request->criteria.work.prompt_tokens = (uint64_t)request->unread_tokens;
  request->criteria.work.output_tokens
      = (uint64_t)(max_output_ratio * cost->events
                   * model->scenario.engine.stride);
}

/* Return the mean own part of a pass for reading prompts while all slots are
   in use.  In a group, nearly every pass has a rank that reads a full chunk.
 */
static double
mean_read_ms (const relay_model_t *model)
{
  const relay_model_engine_t *engine = &model->scenario.engine;
  const relay_model_cost_t *cost = &model->scenario.cost;

  if (engine->group_size > 1)
    return model_engine_read_ms (engine, engine->chunk, cost->prompt_tokens);
  return model->options.slots
         * model_engine_read_ms (engine, cost->prompt_tokens,
                                 cost->prompt_tokens)
         / cost->events;
}

/* Return the costs of an upstream in the mean, or of the one that a group
   waits for, relative to the normal ones.  */
static double
model_mean_speed (const relay_model_t *model)
{
  unsigned count = model->options.upstreams;
  double sum = 0;
  double most = 0;

  for (unsigned i = 0; i < count; i++)
    {
      sum += model->upstreams[i].speed;
      most = fmax (most, model->upstreams[i].speed);
    }
  return model->scenario.engine.group_size > 1 ? most : sum / count;
}

/* A request takes a slot for a pass of a full engine for each event.  */
static double
lock_step_slot_ms (const relay_model_t *model)
{
  const relay_model_engine_t *engine = &model->scenario.engine;
  const relay_model_cost_t *cost = &model->scenario.cost;
  double tokens = cost->prompt_tokens + cost->events * engine->stride / 2;
  double own_ms = model->options.slots * model_engine_write_ms (engine, tokens)
                  + mean_read_ms (model);

  return cost->events
         * (engine->stride * engine->step_ms
            + own_ms * model_mean_speed (model));
}

const model_engine_ops_t lock_step_ops = {
  .draw_cost = lock_step_draw_cost,
  .slot_ms = lock_step_slot_ms,
  .accept = lock_step_accept,
  .run = lock_step_run,
  .report = lock_step_report,
};

static void
rank_lose_requests (relay_model_t *model, model_requests_t *requests)
{
  model_request_t *request;

  while ((request = TAILQ_FIRST (requests)) != NULL)
    {
      TAILQ_REMOVE (requests, request, link);
      model_finish_attempt (model, request, FLEET_INTERRUPTED);
      model_lose_request (model, request);
    }
}

/* Open or close GROUP.  A group that is closed loses its requests.  */
void
model_group_set_open (relay_model_t *model, model_group_t *group, bool is_open)
{
  if (is_open == group->is_open)
    return;
  group->is_open = is_open;
  group->pass_ends_ms = 0;
  if (is_open)
    {
      group->epoch++;
      return;
    }
  for (unsigned i = 0; i < group->rank_count; i++)
    {
      model_upstream_t *rank = &group->ranks[i];

      rank_lose_requests (model, &rank->running);
      rank_lose_requests (model, &rank->queued);
      rank->running_count = rank->queued_count = 0;
    }
}
