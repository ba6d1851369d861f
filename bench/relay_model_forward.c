#include "bench/relay_model_state.h"

#include "kernel/table.h"
#include "relay/request_verdict.h"

#include <stdlib.h>

/* The way of a request through a relay, with the queue and the verdicts of
   production; what happens to a request follows relay/forward.c.  */

enum
{
  /* As in relay/attempt_end.c.  */
  MAX_EXTRA_ATTEMPTS = 2,
  /* Added to the urgency in the queues of engines, as in relay/attempt.c.  */
  LATE_URGENCY_INCREMENT = 4
};

static int64_t
request_time_left_ms (const relay_model_t *model,
                      const model_request_t *request)
{
  return (int64_t)request->deadline_ms - (int64_t)model->now_ms;
}

static void
request_dequeue (model_request_t *request)
{
  if (request->queued.class == NULL)
    return;
  request_queue_remove (&request->queued);
  request->relay->queued_count--;
}

/* Refuse REQUEST; its client may return after RETRY_AFTER.  */
static queue_result_t
request_refuse (relay_model_t *model, model_request_t *request,
                struct timespec retry_after)
{
  request_dequeue (request);
  model_refuse (model, request, timespec_to_ms (retry_after));
  return QUEUE_ENDED;
}

static queue_result_t
request_refuse_by_default (relay_model_t *model, model_request_t *request)
{
  int64_t left_ms = request_time_left_ms (model, request);

  return request_refuse (model, request,
                         verdict_retry_after (timespec_from_ms (left_ms)));
}

/* Queue REQUEST, or refuse it if it has waited for too long.  */
static queue_result_t
request_wait_or_fail (relay_model_t *model, model_request_t *request,
                      bool is_temporary)
{
  model_relay_t *relay = request->relay;
  struct timespec now = clock_monotonic (model->clock);
  struct timespec end
      = verdict_wait_end (model_time (request->arrived_ms),
                          request->queued.give_up_at, is_temporary);

  if (timespec_compare (now, end) >= 0)
    return request_refuse_by_default (model, request);
  if (request->queued.class == NULL)
    {
      request_queue_add (relay->queue, &request->queued, now);
      relay->queued_count++;
    }
  request->has_waited = true;
  return QUEUE_WAITS;
}

/* Return what the verdict on REQUEST depends on.  */
static verdict_case_t
request_verdict_case (const relay_model_t *model,
                      const model_request_t *request)
{
  return (verdict_case_t){
    .fleet = request->relay->fleet,
    .queue = request->relay->queue,
    .service = request->criteria.service,
    .urgency = request->criteria.urgency,
    .now = clock_monotonic (model->clock),
    .arrived_at = model_time (request->arrived_ms),
    .give_up_at = request->queued.give_up_at,
    .deadline = model_time (request->deadline_ms),
    .has_waited = request->has_waited,
  };
}

/* Queue or refuse REQUEST as VERDICT says.  */
static queue_result_t
request_follow (relay_model_t *model, model_request_t *request,
                const request_verdict_t *verdict)
{
  return verdict->action == VERDICT_WAIT
             ? request_wait_or_fail (model, request, verdict->is_temporary)
             : request_refuse (model, request, verdict->retry_after);
}

/* No upstream can be chosen for REQUEST because of SHORTAGE.  */
static queue_result_t
request_handle_shortage (relay_model_t *model, model_request_t *request,
                         fleet_shortage_t shortage)
{
  verdict_case_t facts = request_verdict_case (model, request);
  request_verdict_t verdict
      = { .action = VERDICT_WAIT,
          .is_temporary = fleet_shortage_is_temporary (shortage) };
  queue_result_t result;

  if (!model->scenario.is_by_arrival)
    verdict = verdict_on_shortage (&facts, shortage);
  result = request_follow (model, request, &verdict);
  return result == QUEUE_WAITS && shortage == FLEET_ALL_FULL ? QUEUE_FULL
                                                             : result;
}

static fleet_shortage_t
request_choose (relay_model_t *model, model_request_t *request)
{
  int64_t started_ns = model_processor_ns ();
  fleet_shortage_t shortage = fleet_choose (
      request->relay->fleet, request, &request->criteria, &request->choice);

  model->choice_ns += model_processor_ns () - started_ns;
  model->choices++;
  if (shortage == FLEET_NO_SHORTAGE)
    request->upstream = &model->upstreams[atoi (request->choice.upstream + 1)];
  return shortage;
}

/* Return the urgency of REQUEST in the queues of engines, which know its class
   in any case.  */
static unsigned
request_engine_urgency (const relay_model_t *model,
                        const model_request_t *request)
{
  unsigned urgency = model->scenario.classes[request->class_index].priority;

  if (request->criteria.is_late)
    urgency += LATE_URGENCY_INCREMENT;
  return urgency < RULES_MAX_URGENCY ? urgency : RULES_MAX_URGENCY;
}

/* Send REQUEST to the chosen upstream.  That it is declined is known at the
   next tick.  */
static void
request_send (relay_model_t *model, model_request_t *request)
{
  request_dequeue (request);
  model_count_connection (model, request);
  request->sent_ms = model->now_ms;
  request->sent_attempts++;
  request->event_count = 0;
  request->urgency = request_engine_urgency (model, request);
  if (!model->engine_ops->accept (model, request->upstream, request))
    TAILQ_INSERT_TAIL (&model->declined, request, link);
  else if (!request->has_waited)
    model->sent_at_once += request->is_counted;
}

/* Send REQUEST to an upstream; if there is none, queue or refuse it.  */
static queue_result_t
request_dispatch (relay_model_t *model, model_request_t *request)
{
  fleet_shortage_t shortage = request_choose (model, request);

  if (shortage != FLEET_NO_SHORTAGE)
    return request_handle_shortage (model, request, shortage);
  request_send (model, request);
  return QUEUE_SENT;
}

/* Return for how long the client of REQUEST has waited before, as far as its
   relay knows.  */
static struct timespec
request_time_waited (const relay_model_t *model,
                     const model_request_t *request)
{
  const route_t *route = request->criteria.route;
  int64_t left_ms = request_time_left_ms (model, request);

  if (model->scenario.is_by_arrival)
    return (struct timespec){ 0, 0 };
  return client_timeouts_record (request->relay->client_timeouts, route->name,
                                 route->timeout, timespec_from_ms (left_ms));
}

/* Set the urgency of REQUEST, and until when it may be queued.  */
static void
request_classify (relay_model_t *model, model_request_t *request)
{
  const route_t *route = request->criteria.route;
  struct timespec now = clock_monotonic (model->clock);
  struct timespec waited = request_time_waited (model, request);
  int64_t left_ms = request_time_left_ms (model, request);

  request->criteria.urgency = model->scenario.is_by_arrival
                                  ? 0
                                  : rules_urgency (model->rules, route, NULL);
  request->criteria.is_late = verdict_is_late (route, waited);
  request->criteria.is_guaranteed = false;
  request->queued = (queued_request_t){
    .service = request->criteria.service,
    .urgency = request->criteria.urgency,
    .late_from = timespec_add (timespec_subtract (now, waited),
                               verdict_late_after (route)),
    .give_up_at
    = timespec_add (now, verdict_queue_time (timespec_from_ms (left_ms))),
  };
}

/* Try to send REQUEST, which has just arrived.  */
static void
request_dispatch_first (relay_model_t *model, model_request_t *request)
{
  request_queue_t *queue = request->relay->queue;
  const char *service = request->criteria.service;
  unsigned urgency = request->criteria.urgency;

  if (request_queue_has_more_urgent (queue, service, urgency))
    {
      verdict_case_t facts = request_verdict_case (model, request);
      request_verdict_t verdict = verdict_on_more_urgent (&facts);

      request_follow (model, request, &verdict);
    }
  else if (request_dispatch (model, request) == QUEUE_SENT)
    request_queue_count_sent (queue, service, urgency,
                              clock_monotonic (model->clock));
}

/* REQUEST arrives at RELAY.  */
void
model_relay_receive (relay_model_t *model, model_relay_t *relay,
                     model_request_t *request)
{
  request->relay = relay;
  request->arrived_ms = model->now_ms;
  request->has_waited = false;
  request->criteria.tried_count = 0;
  request->criteria.work.zone = relay->zone;
  retry_budget_count_request (relay->budget, request->criteria.service);
  request_classify (model, request);
  fleet_count_request (relay->fleet, request->criteria.service,
                       request->criteria.urgency);
  request_dispatch_first (model, request);
}

/* An upstream has declined REQUEST: send it to another one, or refuse it.  */
static void
request_handle_decline (relay_model_t *model, model_request_t *request)
{
  model->declined_attempts += request->is_counted;
  model_finish_attempt (model, request, FLEET_DECLINED);
  if (model->is_down)
    model_lose_request (model, request);
  else if (request->criteria.tried_count
               >= request->criteria.route->max_attempts + MAX_EXTRA_ATTEMPTS
           || request_time_left_ms (model, request) <= 0
           || !retry_budget_take (request->relay->budget,
                                  request->criteria.service))
    request_refuse_by_default (model, request);
  else
    request_dispatch (model, request);
}

/* Let the relays know which requests upstreams have declined.  */
void
model_run_declined (relay_model_t *model)
{
  model_requests_t declined = TAILQ_HEAD_INITIALIZER (declined);
  model_request_t *request;

  TAILQ_CONCAT (&declined, &model->declined, link);
  while ((request = TAILQ_FIRST (&declined)) != NULL)
    {
      TAILQ_REMOVE (&declined, request, link);
      request_handle_decline (model, request);
    }
}

static queue_result_t
request_retry (queued_request_t *queued, const queue_turn_t *turn, void *data)
{
  model_request_t *request = CONTAINER_OF (queued, model_request_t, queued);

  request->criteria.is_late = turn->is_late;
  request->criteria.is_guaranteed = turn->is_guaranteed;
  return request_dispatch (data, request);
}

static unsigned
queue_range (unsigned count)
{
  unsigned range = 0;

  if (count == 0)
    return 0;
  for (range = 1; range < RELAY_MODEL_QUEUE_RANGES - 1; range++)
    {
      if (count < 1U << (2 * range))
        break;
    }
  return range;
}

/* Try again to send the queued requests of RELAY.  */
void
model_relay_retry (relay_model_t *model, model_relay_t *relay)
{
  struct timespec now = clock_monotonic (model->clock);
  unsigned count = relay->queued_count;
  unsigned range = queue_range (count);
  int64_t started_ns = model_processor_ns ();
  queued_request_t *expired;

  request_queue_retry (relay->queue, now, request_retry, model);
  while ((expired = request_queue_find_expired (relay->queue, now)) != NULL)
    request_refuse_by_default (
        model, CONTAINER_OF (expired, model_request_t, queued));
  model->queue_times[range].ns += model_processor_ns () - started_ns;
  model->queue_times[range].sweeps++;
  model->queue_times[range].requests += count;
}

static queue_result_t
request_lose (queued_request_t *queued, const queue_turn_t *turn, void *data)
{
  model_request_t *request = CONTAINER_OF (queued, model_request_t, queued);

  (void)turn;
  request_dequeue (request);
  model_lose_request (data, request);
  return QUEUE_ENDED;
}

/* Lose all queued requests of RELAY.  */
void
model_relay_lose_queued (relay_model_t *model, model_relay_t *relay)
{
  request_queue_retry (relay->queue, clock_monotonic (model->clock),
                       request_lose, model);
}
