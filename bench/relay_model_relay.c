#include "bench/relay_model_state.h"

#include <stdlib.h>

/* A relay of the model: the fleet, the queue, the retry budget and the pick
   plug-in are those of production.  */

enum
{
  IDLE_CONNECTION_MS = 4000, /* an idle connection is closed after this */
  BUDGET_WINDOW_S = 10,
  EVENTS_PER_WORK_RECORD = 4 /* as in relay/attempt.c */
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
  relay->client_timeouts = client_timeouts_create (model);
  relay->queue = request_queue_create (model);
  relay->queued_count = 0;
  for (unsigned i = 0; i < model->options.upstreams; i++)
    relay_add_upstream (model, relay, &model->upstreams[i]);
}

/* Stop RELAY, whose queue is not used any more.  */
void
model_destroy_relay (model_relay_t *relay)
{
  fleet_destroy (relay->fleet);
  retry_budget_destroy (relay->budget);
  client_timeouts_destroy (relay->client_timeouts);
  request_queue_destroy (relay->queue);
}

static uint64_t *
request_idle_since (relay_model_t *model, const model_request_t *request)
{
  return &model->idle_since_ms[(size_t)request->relay->index
                                   * model->options.upstreams
                               + request->upstream->index];
}

/* Count whether REQUEST, which is sent, needs a new connection.  */
void
model_count_connection (relay_model_t *model, const model_request_t *request)
{
  uint64_t *idle_since = request_idle_since (model, request);

  if (*idle_since != 0 && model->now_ms - *idle_since < IDLE_CONNECTION_MS)
    *idle_since = 0;
  else if (request->is_counted)
    model->new_connections++;
}

/* REQUEST has got an event from its upstream.  */
void
model_record_event (model_request_t *request)
{
  request->event_count++;
  if (request->event_count % EVENTS_PER_WORK_RECORD == 1)
    fleet_record_events (request->relay->fleet, &request->choice,
                         request->event_count);
}

/* Record in the fleet that the attempt of REQUEST has ended with RESULT, as
   relay/forward.c does.  */
void
model_finish_attempt (relay_model_t *model, model_request_t *request,
                      fleet_result_t result)
{
  fleet_t *fleet = request->relay->fleet;
  fleet_choice_t *choice = &request->choice;
  int64_t elapsed_ms = (int64_t)(model->now_ms - request->sent_ms);

  *request_idle_since (model, request) = model->now_ms;
  fleet_record_events (fleet, choice, request->event_count);
  fleet_finish_work (fleet, choice, result, elapsed_ms);
  fleet_release (fleet, choice->upstream, &request->criteria.work, result,
                 elapsed_ms);
  if (request->criteria.tried_count < FLEET_MAX_TRIED)
    request->criteria.tried[request->criteria.tried_count++]
        = request->upstream->id;
}
