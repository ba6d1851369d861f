#include "bench/relay_model_state.h"

#include "kernel/table.h"

#include <stdlib.h>

/* A relay of the model: the fleet, the retry budget and the pick plug-in are
   those of production.  */

enum
{
  IDLE_CONNECTION_MS = 4000, /* an idle connection is closed after this */
  /* Attempts beyond the route's limit, for upstreams that did not run the
     request; as in relay/forward.c.  */
  MAX_EXTRA_ATTEMPTS = 2,
  BUDGET_WINDOW_S = 10,
  /* Urgency in the queues of engines, as in relay/attempt.c.  */
  URGENCY_MAX = 9,
  LATE_URGENCY_INCREMENT = 4
};

static const double retry_ratio = 0.1;
static const double retry_extra = 10;

static void
relay_add_upstream (const relay_model_t *model, model_relay_t *relay,
                    const model_upstream_t *upstream)
{
  char zone[MODEL_NAME_SIZE];
  upstream_listing_t listing = { .id = upstream->id,
                                 .service = "model",
                                 .address = upstream->address,
                                 .zone = zone,
                                 .slots = model->options.slots };

  snprintf (zone, sizeof zone, "z%u", upstream->index % model->zone_count);
  fleet_update_upstream (relay->fleet, &listing);
}

/* Start RELAY, which knows the listings and no reports yet.  */
void
model_create_relay (relay_model_t *model, model_relay_t *relay)
{
  retry_limits_t limits = { .ratio = retry_ratio,
                            .extra = retry_extra,
                            .window = { .tv_sec = BUDGET_WINDOW_S },
                            .is_first_start = true };
  const char *policy = model->scenario.policy;

  snprintf (relay->zone, sizeof relay->zone, "z%u",
            relay->index % model->zone_count);
  relay->fleet = fleet_create (model, relay->zone, model->clock,
                               model->options.seed + relay->index);
  for (unsigned i = 0; i < model->zone_count; i++)
    {
      char zone[MODEL_NAME_SIZE];

      snprintf (zone, sizeof zone, "z%u", i);
      fleet_add_zone (relay->fleet, zone, "region");
    }
  fleet_configure (relay->fleet, model->rules);
  if (policy != NULL && !fleet_set_policy (relay->fleet, "model", policy))
    abort ();
  fleet_set_share (relay->fleet,
                   &(rate_share_t){ .relays = model->options.relays });
  relay->budget = retry_budget_create (model, model->clock, &limits);
  retry_budget_set_relays (relay->budget, model->options.relays);
  relay->queue = model->queue_ops->create (model);
  for (unsigned i = 0; i < model->options.upstreams; i++)
    relay_add_upstream (model, relay, &model->upstreams[i]);
}

/* Stop RELAY, whose queue is empty or not used any more.  */
void
model_destroy_relay (model_relay_t *relay)
{
  fleet_destroy (relay->fleet);
  retry_budget_destroy (relay->budget);
  talloc_free (relay->queue);
}

static uint64_t *
request_idle_since (relay_model_t *model, const model_request_t *request)
{
  return &model->idle_since_ms[(size_t)request->relay->index
                                   * model->options.upstreams
                               + request->upstream->index];
}

static void
model_count_connection (relay_model_t *model, const model_request_t *request)
{
  uint64_t *idle_since = request_idle_since (model, request);

  if (*idle_since != 0 && model->now_ms - *idle_since < IDLE_CONNECTION_MS)
    *idle_since = 0;
  else if (request->is_counted)
    model->new_connections++;
}

/* Record in the fleet that the attempt of REQUEST has ended with RESULT.  */
void
model_finish_attempt (relay_model_t *model, model_request_t *request,
                      fleet_result_t result)
{
  int64_t elapsed_ms = result == FLEET_DECLINED
                           ? 0
                           : (int64_t)(model->now_ms - request->sent_ms);

  *request_idle_since (model, request) = model->now_ms;
  fleet_release (request->relay->fleet, request->upstream->id,
                 &request->criteria.work, result, elapsed_ms);
}

static fleet_shortage_t
request_choose (relay_model_t *model, model_request_t *request)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  fleet_choice_t choice;
  int64_t started_ns = model_processor_ns ();
  fleet_shortage_t shortage
      = fleet_choose (request->relay->fleet, ctx, &request->criteria, &choice);

  model->choice_ns += model_processor_ns () - started_ns;
  model->choices++;
  if (shortage == FLEET_NO_SHORTAGE)
    request->upstream = &model->upstreams[atoi (choice.upstream + 1)];
  talloc_free (ctx);
  return shortage;
}

static void
request_dequeue (relay_model_t *model, model_request_t *request)
{
  if (request->item.is_queued)
    model->queue_ops->remove (request->relay->queue, &request->item);
  request->item.is_queued = false;
}

static unsigned
request_urgency (const model_request_t *request)
{
  unsigned urgency = request->item.priority;

  if (request->criteria.is_late)
    urgency += LATE_URGENCY_INCREMENT;
  return urgency < URGENCY_MAX ? urgency : URGENCY_MAX;
}

/* Send REQUEST to the chosen upstream.  Returns whether that takes it.  */
static bool
request_send (relay_model_t *model, model_request_t *request)
{
  model_count_connection (model, request);
  request->sent_ms = model->now_ms;
  request->sent_attempts++;
  request->urgency = request_urgency (request);
  if (model->engine_ops->accept (model, request->upstream, request))
    return true;
  model->declined += request->is_counted;
  model_finish_attempt (model, request, FLEET_DECLINED);
  if (request->criteria.tried_count < FLEET_MAX_TRIED)
    request->criteria.tried[request->criteria.tried_count++]
        = request->upstream->id;
  return false;
}

static queue_result_t
request_refuse (relay_model_t *model, model_request_t *request,
                int64_t retry_after_ms)
{
  request_dequeue (model, request);
  model_refuse (model, request, retry_after_ms);
  return QUEUE_ENDED;
}

/* Queue REQUEST, or refuse it.  */
static queue_result_t
request_wait (relay_model_t *model, model_request_t *request,
              fleet_shortage_t shortage)
{
  int64_t retry_after_ms = model->queue_ops->refuse_ms (
      request->relay->queue, &request->item, request->relay->fleet, shortage,
      model->now_ms);

  if (retry_after_ms >= 0)
    return request_refuse (model, request, retry_after_ms);
  if (!request->item.is_queued)
    model->queue_ops->add (request->relay->queue, &request->item);
  request->item.is_queued = true;
  return QUEUE_STAYS;
}

/* Send REQUEST to an upstream, and to others while they decline it; if there
   is none, queue or refuse it.  */
static queue_result_t
request_dispatch (relay_model_t *model, model_request_t *request)
{
  while (true)
    {
      fleet_shortage_t shortage = request_choose (model, request);

      if (shortage != FLEET_NO_SHORTAGE)
        return request_wait (model, request, shortage);
      if (request_send (model, request))
        {
          request_dequeue (model, request);
          return QUEUE_SENT;
        }
      if (request->criteria.tried_count
              >= request->criteria.route->max_attempts + MAX_EXTRA_ATTEMPTS
          || !retry_budget_take (request->relay->budget, "model"))
        return request_refuse (
            model, request,
            queue_default_retry_ms (&request->item, model->now_ms));
    }
}

/* REQUEST arrives at RELAY.  */
void
model_relay_receive (relay_model_t *model, model_relay_t *relay,
                     model_request_t *request)
{
  request->relay = relay;
  request->item.arrived_ms = model->now_ms;
  request->item.is_late = request->criteria.is_late = false;
  request->criteria.tried_count = 0;
  request->criteria.work.zone = relay->zone;
  retry_budget_count_request (relay->budget, "model");
  if (request_dispatch (model, request) == QUEUE_SENT)
    model->sent_at_once += request->is_counted;
}

static queue_result_t
request_retry (queue_item_t *item, void *data)
{
  model_request_t *request = CONTAINER_OF (item, model_request_t, item);

  request->criteria.is_late = item->is_late;
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
  unsigned count = model->queue_ops->count (relay->queue);
  unsigned range = queue_range (count);
  int64_t started_ns = model_processor_ns ();

  model->queue_ops->retry (relay->queue, model->now_ms, request_retry, model);
  model->queue_times[range].ns += model_processor_ns () - started_ns;
  model->queue_times[range].sweeps++;
  model->queue_times[range].requests += count;
}
