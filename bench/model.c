#include "bench/model_state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ROUTE_RETRY_INTERVAL_US = 50000,
  /* From a request's deadline until its memory is freed: messages in flight
     refer to it.  */
  FREE_DELAY_US = 1000000,
  CLIENT_DELAY_US = 1000, /* from the entry to the client */
  SAME_ZONE_DELAY_US = 200,
  CROSS_ZONE_DELAY_US = 1500,
  INITIAL_LOAD_DIVISOR = 20, /* the ramp starts at the full load over this */
  MAX_TRIED_UPSTREAMS = 3,   /* of one request, without reroutes */
  MAX_DECISION_SAMPLES = 200000
};

/* Load report of an upstream on its way to an entry.  */
typedef struct report_message
{
  model_entry_t *entry;
  model_upstream_t *upstream;
  pick_report_t report;
  bool is_leaving;
} report_message_t;

/* Cache event: BLOCKS were stored in the upstream's cache or evicted.  */
typedef struct cache_message
{
  model_upstream_t *upstream;
  bool is_stored;
  size_t count;
  uint64_t blocks[MODEL_MAX_BLOCKS];
} cache_message_t;

static void request_route (model_t *model, model_request_t *request);

/* Return the one-way network delay between ENTRY and the agent of UPSTREAM, in
   microseconds.  */
int64_t
model_network_delay_us (const model_entry_t *entry,
                        const model_upstream_t *upstream)
{
  return entry->zone == upstream->zone ? SAME_ZONE_DELAY_US
                                       : CROSS_ZONE_DELAY_US;
}

static model_sample_t *
request_sample (model_t *model, const model_request_t *request)
{
  return &model->samples[request->sample];
}

/* Release the request's upstream, if any, and mark the request as ended.  */
static void
request_close (model_request_t *request)
{
  if (request->upstream != NULL)
    router_release (request->entry->router, request->upstream->name,
                    &request->route.work);
  request->upstream = NULL;
  LIST_REMOVE (request, unfinished_link);
  request->is_ended = true;
}

/* Record that the request failed, as lost or as refused.  */
static void
request_fail (model_t *model, model_request_t *request, bool is_lost)
{
  model_sample_t *sample = request_sample (model, request);

  sample->is_lost = is_lost;
  sample->is_refused = !is_lost;
  request_close (request);
}

static void
request_free (model_t *model, void *data)
{
  (void)model;
  talloc_free (data);
}

static void
report_arrive (model_t *model, void *data)
{
  report_message_t *message = data;

  message->report.at = timespec_from_us (model->now_us);
  router_record_report (message->entry->router, message->upstream->name,
                        &message->report, message->is_leaving);
  talloc_free (message);
}

/* Send a report of the current load of UPSTREAM to ENTRY.  */
void
model_send_report (model_t *model, const model_upstream_t *upstream,
                   model_entry_t *entry)
{
  report_message_t *message = talloc_zero (model, report_message_t);
  gate_load_t load;

  gate_load (upstream->gate, &load);
  message->entry = entry;
  message->upstream = &model->upstreams[upstream->index];
  message->is_leaving = load.is_leaving;
  message->report = (pick_report_t){
    .is_known = true,
    .outstanding_requests = load.outstanding_requests,
    .outstanding_tokens = load.outstanding_tokens,
    .limit_requests = load.limit.requests,
    .limit_tokens = load.limit.tokens,
    .queued_requests = load.queued_requests,
    .is_cold = load.limit.is_cold,
  };
  model_schedule (model, model_network_delay_us (entry, upstream),
                  report_arrive, message);
}

/* Periodic task of an upstream's agent: start queued requests and send load
   reports.  */
static void
upstream_tick (model_t *model, void *data)
{
  model_upstream_t *upstream = data;

  if (!upstream->is_failed)
    {
      fleet_start_ready (model, upstream);
      for (size_t i = 0; i < upstream->linked_count; i++)
        model_send_report (model, upstream,
                           &model->entries[upstream->linked_entries[i]]);
    }
  model_schedule (model, model->options.report_interval_ms * 1000,
                  upstream_tick, upstream);
}

static void
cache_arrive (model_t *model, void *data)
{
  cache_message_t *message = data;
  const model_upstream_t *upstream = message->upstream;

  for (size_t i = 0; i < upstream->linked_count; i++)
    router_record_cached_blocks (
        model->entries[upstream->linked_entries[i]].router, upstream->name,
        message->blocks, message->count, message->is_stored);
  talloc_free (message);
}

/* Send a cache event about COUNT BLOCKS of UPSTREAM to the entries connected
   to it.  As set in the options, events are delayed, lost or switched off.  */
void
model_send_cache_event (model_t *model, model_upstream_t *upstream,
                        const uint64_t *blocks, size_t count, bool is_stored)
{
  cache_message_t *message;

  if (model->options.cache_event_delay_ms == 0 || count == 0
      || splitmix64_next (&model->environment_random) % 100
             < model->options.cache_loss_percent)
    return;
  message = talloc_zero (model, cache_message_t);
  message->upstream = upstream;
  message->is_stored = is_stored;
  message->count = count;
  memcpy (message->blocks, blocks, count * sizeof blocks[0]);
  model_schedule (model, model->options.cache_event_delay_ms * 1000,
                  cache_arrive, message);
}

/* Record the time at which the client receives the first token of REQUEST,
   which the upstream has just generated.  */
void
model_record_first_token (model_t *model, model_request_t *request)
{
  model_sample_t *sample = request_sample (model, request);
  int64_t at_us = model->now_us
                  + model_network_delay_us (request->entry, request->upstream)
                  + CLIENT_DELAY_US;

  if (sample->first_token_ms < 0)
    sample->first_token_ms = (at_us - request->arrived_us) / 1000;
}

/* Record the end of REQUEST on its upstream; IS_COMPLETE if the response was
   complete.  */
void
model_end_request (model_t *model, model_request_t *request, bool is_complete)
{
  model_sample_t *sample = request_sample (model, request);

  sample->is_complete = is_complete && model->now_us <= request->deadline_us;
  sample->ended_ms = model->now_us / 1000;
  sample->is_lost = !is_complete;
  model_send_report (model, request->upstream, request->entry);
  request_close (request);
}

/* Send REQUEST to another upstream after REFUSAL, if its deadline, its
   attempts and the retry budget allow it, or fail it.  It must not have run,
   or be safe to run twice.  IS_LOST if its outcome on the old upstream is
   unknown.  */
void
model_retry_request (model_t *model, model_request_t *request,
                     refusal_t refusal, bool is_lost)
{
  model_upstream_t *upstream = request->upstream;
  router_t *router = request->entry->router;
  bool is_closed = refusal == REFUSAL_LEAVING || refusal == REFUSAL_ZONE_OUT;
  bool is_allowed = request->attempt < ROUTER_MAX_ATTEMPTS
                    && model->now_us < request->deadline_us
                    && refusal != REFUSAL_DEADLINE
                    && !request->has_first_token;

  router_release (router, upstream->name, &request->route.work);
  request->upstream = NULL;
  if (is_allowed && is_closed)
    {
      router_exclude_until_report (router, upstream->name);
      model->reroutes++;
    }
  else if (is_allowed && request->route.tried_count + 1 < MAX_TRIED_UPSTREAMS
           && router_reserve_retry (router))
    {
      request->route.tried[request->route.tried_count++] = upstream->name;
      model->retries++;
    }
  else
    {
      request_fail (model, request, is_lost);
      return;
    }
  request_route (model, request);
}

/* Refusal on its way from an agent to the entry.  */
typedef struct refusal_message
{
  model_request_t *request;
  refusal_t refusal;
  unsigned attempt;
} refusal_message_t;

static void
refusal_arrive (model_t *model, void *data)
{
  refusal_message_t *message = data;
  model_request_t *request = message->request;

  if (!request->is_ended && request->attempt == message->attempt)
    model_retry_request (model, request, message->refusal, false);
  talloc_free (message);
}

/* Send the refusal of REQUEST, which has not run, from the agent to the
   entry.  */
void
model_refuse_request (model_t *model, model_request_t *request,
                      refusal_t refusal)
{
  refusal_message_t *message = talloc_zero (model, refusal_message_t);

  message->request = request;
  message->refusal = refusal;
  message->attempt = request->attempt;
  model_send_report (model, request->upstream, request->entry);
  model_schedule (model,
                  model_network_delay_us (request->entry, request->upstream),
                  refusal_arrive, message);
}

static void
request_arrive (model_t *model, void *data)
{
  model_request_t *request = data;

  if (request->is_ended || request->upstream == NULL)
    return;
  model_send_report (model, request->upstream, request->entry);
  fleet_offer_request (model, request);
}

/* Return the upstream called NAME, a letter and its index.  */
static model_upstream_t *
model_find_upstream (model_t *model, const char *name)
{
  return &model->upstreams[strtoul (name + 1, NULL, 10)];
}

/* Choose an upstream for the request and record the real time this took.  */
static bool
request_choose_upstream (model_t *model, model_request_t *request,
                         router_choice_t *route, TALLOC_CTX *scratch)
{
  struct timespec start;
  struct timespec end;
  status_t status;

  clock_gettime (CLOCK_MONOTONIC, &start);
  status = router_choose (request->entry->router, scratch, 0, &request->route,
                          route);
  clock_gettime (CLOCK_MONOTONIC, &end);
  if (model->decision_count < MAX_DECISION_SAMPLES)
    model->decision_times_us[model->decision_count++]
        = (double)(end.tv_sec - start.tv_sec) * 1e6
          + (double)(end.tv_nsec - start.tv_nsec) / 1e3;
  return status == STATUS_OK;
}

static void
request_retry_route (model_t *model, void *data)
{
  model_request_t *request = data;

  if (!request->is_ended)
    request_route (model, request);
}

/* Send the request to an upstream, or try again after an interval while none
   can be chosen.  Fails the request at its deadline.  */
static void
request_route (model_t *model, model_request_t *request)
{
  TALLOC_CTX *scratch = talloc_new (model);
  router_choice_t route = { 0 };

  if (model->now_us >= request->deadline_us)
    request_fail (model, request, false);
  else if (!request_choose_upstream (model, request, &route, scratch))
    model_schedule (model, ROUTE_RETRY_INTERVAL_US, request_retry_route,
                    request);
  else
    {
      request->attempt++;
      request->upstream = model_find_upstream (model, route.upstream);
      model_schedule (
          model, model_network_delay_us (request->entry, request->upstream),
          request_arrive, request);
    }
  talloc_free (scratch);
}

/* Handle the request's deadline.  */
static void
request_expire (model_t *model, void *data)
{
  model_request_t *request = data;

  if (!request->is_ended)
    {
      if (request->upstream != NULL)
        fleet_cancel_request (model, request);
      request_fail (model, request, false);
    }
  model_schedule (model, FREE_DELAY_US, request_free, request);
}

static void
request_create_sample (model_t *model, model_request_t *request)
{
  if (model->sample_count == model->sample_capacity)
    {
      model->sample_capacity = 2 * model->sample_capacity + 1024;
      model->samples = talloc_realloc (model, model->samples, model_sample_t,
                                       model->sample_capacity);
    }
  request->sample = model->sample_count++;
  model->samples[request->sample]
      = (model_sample_t){ .arrived_ms = model->now_us / 1000,
                          .first_token_ms = -1,
                          .account = request->account,
                          .output_tokens = request->output_tokens };
}

static void
request_set_properties (model_request_t *request)
{
  order_item_t *item = &request->work.item;

  request->route.service = "s";
  request->route.model
      = talloc_asprintf (request, "m%u", request->model_index);
  request->route.work = (pick_request_t){
    .key_hash = (uint64_t)request->arrived_us,
    .prompt_tokens = request->prompt_tokens,
    .output_tokens = request->output_tokens,
    .prefix_blocks = request->blocks,
    .prefix_block_count = request->block_count,
  };
  item->account = talloc_asprintf (request, "a%u", request->account);
  item->priority = 1;
  item->share = 1;
  item->tokens = request->prompt_tokens + request->output_tokens;
  item->deadline = timespec_from_us (request->deadline_us);
}

/* Return the current number of arrivals per microsecond.  */
static double
arrival_rate (const model_t *model)
{
  double ramp_us = (double)model->options.ramp_ms * 1000;
  double fraction = (double)model->now_us / ramp_us;

  if (ramp_us == 0 || fraction >= 1)
    return model->arrivals_per_us;
  return model->arrivals_per_us * fmax (fraction, 1.0 / INITIAL_LOAD_DIVISOR);
}

/* Create and route a request, and schedule the next arrival of the Poisson
   process.  */
static void
arrival_handle (model_t *model, void *data)
{
  model_request_t *request;
  double unit = 1 - model_random_unit (model);

  (void)data;
  if (model->now_us >= model->options.duration_ms * 1000)
    return;
  request = talloc_zero (model, model_request_t);
  request->entry
      = &model->entries[model_random (model) % model->options.entries];
  request->arrived_us = model->now_us;
  request->deadline_us = model->now_us + MODEL_CLIENT_TIMEOUT_US;
  workload_draw_request (model, request);
  request_set_properties (request);
  request_create_sample (model, request);
  LIST_INSERT_HEAD (&model->unfinished, request, unfinished_link);
  model_schedule (model, MODEL_CLIENT_TIMEOUT_US, request_expire, request);
  request_route (model, request);
  model_schedule (model, (int64_t)(-log (unit) / arrival_rate (model)) + 1,
                  arrival_handle, NULL);
}

static void
entry_create (model_t *model, unsigned index)
{
  model_entry_t *entry = &model->entries[index];
  char *zone;

  entry->index = index;
  entry->zone = index % model->options.zones;
  zone = talloc_asprintf (model, "z%u", entry->zone);
  entry->router
      = router_create (model, zone, model->clock, model_random (model), 1);
}

/* Connect the entry to the upstreams that its router selects.  */
static void
entry_link (model_t *model, model_entry_t *entry)
{
  TALLOC_CTX *scratch = talloc_new (model);
  router_target_list_t targets;
  router_target_t *target;

  router_list_targets (entry->router, scratch, &targets);
  SLIST_FOREACH (target, &targets, link)
    {
      model_upstream_t *upstream
          = model_find_upstream (model, target->upstream);

      upstream->linked_entries
          = talloc_realloc (model, upstream->linked_entries, unsigned,
                            upstream->linked_count + 1);
      upstream->linked_entries[upstream->linked_count++] = entry->index;
      router_set_reachable (entry->router, target->upstream, 0, true);
      model_send_report (model, upstream, entry);
    }
  talloc_free (scratch);
}

/* Return options for a small fleet with the default policies.  The caller sets
   the duration, the ramp, the warm-up time and the seed.  */
model_options_t
model_options_default (void)
{
  return (model_options_t){
    .pick = "least-tokens",
    .admission = "slow-start",
    .order = "fair",
    .zones = 3,
    .entries = 3,
    .upstreams = 12,
    .models = 1,
    .accounts = 10,
    .maximum_requests = 16,
    .load = 0.9,
    .flood_factor = 1,
    .report_interval_ms = 200,
  };
}

/* Create a model with a warm, idle fleet.  OPTIONS is copied.  */
model_t *
model_create (TALLOC_CTX *parent, const model_options_t *options)
{
  model_t *model = talloc_zero (parent, model_t);

  model->options = *options;
  model->clock = clock_create_virtual (model, timespec_from_ms (0));
  model->workload_random = options->seed;
  model->environment_random = ~options->seed;
  LIST_INIT (&model->unfinished);
  model->decision_times_us
      = talloc_array (model, double, MAX_DECISION_SAMPLES);
  perfect_set_model (model);
  fleet_create (model);
  workload_create (model);
  model->arrivals_per_us = fleet_capacity (model) * options->load;
  model->entries = talloc_zero_array (model, model_entry_t, options->entries);
  for (unsigned i = 0; i < options->entries; i++)
    entry_create (model, i);
  model_apply_settings (model);
  for (unsigned i = 0; i < options->entries; i++)
    entry_link (model, &model->entries[i]);
  for (unsigned i = 0; i < options->upstreams; i++)
    model_schedule (
        model,
        (int64_t)(splitmix64_next (&model->environment_random)
                  % (uint64_t)(options->report_interval_ms * 1000)),
        upstream_tick, &model->upstreams[i]);
  model_schedule (model, 0, arrival_handle, NULL);
  return model;
}

/* Free MODEL.  */
void
model_destroy (model_t *model)
{
  talloc_free (model);
}

/* Run for the duration in the options and then until every request has
   ended.  */
void
model_run (model_t *model)
{
  int64_t end_us = model->options.duration_ms * 1000 + MODEL_CLIENT_TIMEOUT_US;
  model_event_t event;

  while (model_pop_event (model, &event) && event.at_us <= end_us)
    {
      clock_advance (model->clock,
                     timespec_from_us (event.at_us - model->now_us));
      model->now_us = event.at_us;
      event.handler (model, event.data);
    }
}
