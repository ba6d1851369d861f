#include "bench/model_state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  WAIT_STEP_US = 50000,
  KEEP_US = 1000000, /* of a request, for messages still on their way */
  CALLER_US = 1000,
  SAME_ZONE_US = 200,
  OTHER_ZONE_US = 1500,
  RAMP_STEPS = 20, /* the first part of the load that is offered */
  MAX_DECISIONS = 200000
};

/* A message between an entry and an upstream.  */
typedef struct report_message
{
  model_entry_t *entry;
  model_upstream_t *upstream;
  pick_report_t report;
  bool is_leaving;
} report_message_t;

typedef struct cache_message
{
  model_upstream_t *upstream;
  bool is_stored;
  size_t count;
  uint64_t blocks[MODEL_MAX_BLOCKS];
} cache_message_t;

static void request_route (model_t *model, model_request_t *request);

/* Return the time that a message takes between ENTRY and UPSTREAM.  */
int64_t
model_distance_us (const model_entry_t *entry,
                   const model_upstream_t *upstream)
{
  return entry->zone == upstream->zone ? SAME_ZONE_US : OTHER_ZONE_US;
}

static model_sample_t *
request_sample (model_t *model, const model_request_t *request)
{
  return &model->samples[request->sample];
}

static void
request_close (model_request_t *request)
{
  if (request->upstream != NULL)
    router_release (request->entry->router, request->upstream->name,
                    &request->route.work);
  request->upstream = NULL;
  LIST_REMOVE (request, open_link);
  request->is_ended = true;
}

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
  router_note_report (message->entry->router, message->upstream->name,
                      &message->report, message->is_leaving);
  talloc_free (message);
}

/* Send the present load of UPSTREAM to ENTRY.  */
void
model_report_to (model_t *model, const model_upstream_t *upstream,
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
  model_post (model, model_distance_us (entry, upstream), report_arrive,
              message);
}

static void
upstream_tick (model_t *model, void *data)
{
  model_upstream_t *upstream = data;

  if (!upstream->is_failed)
    {
      fleet_start_ready (model, upstream);
      for (size_t i = 0; i < upstream->linked_count; i++)
        model_report_to (model, upstream,
                         &model->entries[upstream->linked_entries[i]]);
    }
  model_post (model, model->options.report_ms * 1000, upstream_tick, upstream);
}

static void
cache_arrive (model_t *model, void *data)
{
  cache_message_t *message = data;
  const model_upstream_t *upstream = message->upstream;

  for (size_t i = 0; i < upstream->linked_count; i++)
    router_note_blocks (model->entries[upstream->linked_entries[i]].router,
                        upstream->name, message->blocks, message->count,
                        message->is_stored);
  talloc_free (message);
}

/* The upstream's cache took in BLOCKS or dropped them: the entries hear of it
   late, or not at all.  */
void
model_note_cached (model_t *model, model_upstream_t *upstream,
                   const uint64_t *blocks, size_t count, bool is_stored)
{
  cache_message_t *message;

  if (model->options.cache_event_ms == 0 || count == 0
      || model_draw (&model->fate_random) % 100
             < model->options.cache_loss_percent)
    return;
  message = talloc_zero (model, cache_message_t);
  message->upstream = upstream;
  message->is_stored = is_stored;
  message->count = count;
  memcpy (message->blocks, blocks, count * sizeof blocks[0]);
  model_post (model, model->options.cache_event_ms * 1000, cache_arrive,
              message);
}

/* The upstream made the first token of REQUEST.  */
void
model_first_token (model_t *model, model_request_t *request)
{
  model_sample_t *sample = request_sample (model, request);
  int64_t at_us = model->now_us
                  + model_distance_us (request->entry, request->upstream)
                  + CALLER_US;

  if (sample->first_ms < 0)
    sample->first_ms = (at_us - request->arrived_us) / 1000;
}

/* The upstream has ended REQUEST.  */
void
model_end (model_t *model, model_request_t *request, bool is_whole)
{
  model_sample_t *sample = request_sample (model, request);

  sample->is_whole = is_whole && model->now_us <= request->deadline_us;
  sample->ended_ms = model->now_us / 1000;
  sample->is_lost = !is_whole;
  model_report_to (model, request->upstream, request->entry);
  request_close (request);
}

/* Put REQUEST, which has not run or may run twice, elsewhere.  */
void
model_retry (model_t *model, model_request_t *request, refusal_t refusal,
             bool is_lost)
{
  model_upstream_t *upstream = request->upstream;
  router_t *router = request->entry->router;
  bool is_closed = refusal == REFUSAL_LEAVING || refusal == REFUSAL_ZONE_OUT;
  bool is_allowed = request->attempt < ROUTER_MAX_ATTEMPTS
                    && model->now_us < request->deadline_us
                    && refusal != REFUSAL_DEADLINE && !request->has_first;

  router_release (router, upstream->name, &request->route.work);
  request->upstream = NULL;
  if (is_allowed && is_closed)
    {
      router_note_closed (router, upstream->name);
      model->reroutes++;
    }
  else if (is_allowed && request->route.tried_count + 1 < 3
           && router_take_retry (router))
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
    model_retry (model, request, message->refusal, false);
  talloc_free (message);
}

/* The agent refused REQUEST, which has not run.  */
void
model_refused (model_t *model, model_request_t *request, refusal_t refusal)
{
  refusal_message_t *message = talloc_zero (model, refusal_message_t);

  message->request = request;
  message->refusal = refusal;
  message->attempt = request->attempt;
  model_report_to (model, request->upstream, request->entry);
  model_post (model, model_distance_us (request->entry, request->upstream),
              refusal_arrive, message);
}

static void
request_arrive (model_t *model, void *data)
{
  model_request_t *request = data;

  if (request->is_ended || request->upstream == NULL)
    return;
  model_report_to (model, request->upstream, request->entry);
  fleet_offer (model, request);
}

static model_upstream_t *
model_find (model_t *model, const char *name)
{
  return &model->upstreams[strtoul (name + 1, NULL, 10)];
}

static bool
request_choose (model_t *model, model_request_t *request,
                router_route_t *route, TALLOC_CTX *scratch)
{
  struct timespec begin;
  struct timespec end;
  status_t status;

  clock_gettime (CLOCK_MONOTONIC, &begin);
  status = router_choose (request->entry->router, scratch, 0, &request->route,
                          route);
  clock_gettime (CLOCK_MONOTONIC, &end);
  if (model->decision_count < MAX_DECISIONS)
    model->decisions[model->decision_count++]
        = (double)(end.tv_sec - begin.tv_sec) * 1e6
          + (double)(end.tv_nsec - begin.tv_nsec) / 1e3;
  return status == STATUS_OK;
}

static void
request_wait (model_t *model, void *data)
{
  model_request_t *request = data;

  if (!request->is_ended)
    request_route (model, request);
}

static void
request_route (model_t *model, model_request_t *request)
{
  TALLOC_CTX *scratch = talloc_new (model);
  router_route_t route = { 0 };

  if (model->now_us >= request->deadline_us)
    request_fail (model, request, false);
  else if (!request_choose (model, request, &route, scratch))
    model_post (model, WAIT_STEP_US, request_wait, request);
  else
    {
      request->attempt++;
      request->upstream = model_find (model, route.upstream);
      model_post (model, model_distance_us (request->entry, request->upstream),
                  request_arrive, request);
    }
  talloc_free (scratch);
}

static void
request_expire (model_t *model, void *data)
{
  model_request_t *request = data;

  if (!request->is_ended)
    {
      if (request->upstream != NULL)
        fleet_cancel (model, request);
      request_fail (model, request, false);
    }
  model_post (model, KEEP_US, request_free, request);
}

static void
request_take_sample (model_t *model, model_request_t *request)
{
  if (model->sample_count == model->sample_room)
    {
      model->sample_room = 2 * model->sample_room + 1024;
      model->samples = talloc_realloc (model, model->samples, model_sample_t,
                                       model->sample_room);
    }
  request->sample = model->sample_count++;
  model->samples[request->sample]
      = (model_sample_t){ .arrived_ms = model->now_us / 1000,
                          .first_ms = -1,
                          .account = request->account,
                          .output_tokens = request->output_tokens };
}

static void
request_fill (model_request_t *request)
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

static double
arrival_rate (const model_t *model)
{
  double ramp_us = (double)model->options.ramp_ms * 1000;
  double part = (double)model->now_us / ramp_us;

  if (ramp_us == 0 || part >= 1)
    return model->arrivals_per_us;
  return model->arrivals_per_us * fmax (part, 1.0 / RAMP_STEPS);
}

static void
workload_arrive (model_t *model, void *data)
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
  request->deadline_us = model->now_us + MODEL_DEADLINE_US;
  workload_fill (model, request);
  request_fill (request);
  request_take_sample (model, request);
  LIST_INSERT_HEAD (&model->open, request, open_link);
  model_post (model, MODEL_DEADLINE_US, request_expire, request);
  request_route (model, request);
  model_post (model, (int64_t)(-log (unit) / arrival_rate (model)) + 1,
              workload_arrive, NULL);
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

static void
entry_link (model_t *model, model_entry_t *entry)
{
  TALLOC_CTX *scratch = talloc_new (model);
  router_targets_t targets;
  router_target_t *target;

  router_targets (entry->router, scratch, &targets);
  SLIST_FOREACH (target, &targets, link)
    {
      model_upstream_t *upstream = model_find (model, target->upstream);

      upstream->linked_entries
          = talloc_realloc (model, upstream->linked_entries, unsigned,
                            upstream->linked_count + 1);
      upstream->linked_entries[upstream->linked_count++] = entry->index;
      router_set_reachable (entry->router, target->upstream, 0, true);
      model_report_to (model, upstream, entry);
    }
  talloc_free (scratch);
}

/* Return the sizes of today with the product's policies; the duration and the
   seed are the caller's.  */
model_options_t
model_options_today (void)
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
    .hog_factor = 1,
    .report_ms = 200,
  };
}

/* Create a model; the fleet is warm and idle.  */
model_t *
model_create (TALLOC_CTX *parent, const model_options_t *options)
{
  model_t *model = talloc_zero (parent, model_t);

  model->options = *options;
  model->clock = clock_create_virtual (model, timespec_from_ms (0));
  model->workload_random = options->seed;
  model->fate_random = ~options->seed;
  LIST_INIT (&model->open);
  model->decisions = talloc_array (model, double, MAX_DECISIONS);
  perfect_know (model);
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
    model_post (model,
                (int64_t)(model_draw (&model->fate_random)
                          % (uint64_t)(options->report_ms * 1000)),
                upstream_tick, &model->upstreams[i]);
  model_post (model, 0, workload_arrive, NULL);
  return model;
}

/* Free MODEL.  */
void
model_destroy (model_t *model)
{
  talloc_free (model);
}

/* Run for the time in the options, and on until all requests have ended.  */
void
model_run (model_t *model)
{
  int64_t end_us = model->options.duration_ms * 1000 + MODEL_DEADLINE_US;
  model_event_t event;

  while (model_next (model, &event) && event.at_us <= end_us)
    {
      clock_advance (model->clock,
                     timespec_from_us (event.at_us - model->now_us));
      model->now_us = event.at_us;
      event.handler (model, event.data);
    }
}
