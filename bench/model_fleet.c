#include "bench/model_state.h"
#include "kernel/table.h"

#include <math.h>
#include <string.h>

enum
{
  CACHE_BLOCKS = 2048,          /* of each upstream's prefix cache */
  PREFILL_TOKENS_PER_STEP = 100 /* prompt tokens processed in one step */
};

/* Service-time model: an upstream executes decoding steps, in each of which
   every running request gets one token.  A step takes 25 ms for one stream on
   an otherwise idle upstream and 37 ms at full load, which is the maximum
   number of requests of mean size, and grows linearly with the running tokens
   in between.  */
static const double idle_steps_per_us = 1.0 / 25000;
static const double full_load_slowdown = 0.48; /* 37 ms = 1.48 * 25 ms */

/* Factors for the length of a step in cold start, and in addition with more
   than MODEL_COLD_MAX_REQUESTS running.  */
static const double cold_start_slowdown = 3;
static const double cold_overload_slowdown = 10;

/* Of a request.  Tokens are those of prompt and output, steps those of prefill
   and decoding.  */
static const uint64_t mean_request_tokens = 1300;
static const double mean_request_steps = 265;

/* A cached block, in the cache's table and in its list.  */
typedef struct cache_node
{
  table_node_t node;
  TAILQ_ENTRY (cache_node) link;
  uint64_t block;
} cache_node_t;

struct model_cache
{
  table_t *table;
  TAILQ_HEAD (cache_lru_list, cache_node) lru; /* last used at the tail */
};

static cache_node_t *
cache_find (const model_cache_t *cache, uint64_t block)
{
  table_node_t *node = table_find (cache->table, &block, sizeof block);

  return node == NULL ? NULL : CONTAINER_OF (node, cache_node_t, node);
}

static void
cache_evict (model_cache_t *cache, cache_node_t *node)
{
  table_remove (cache->table, &node->node);
  TAILQ_REMOVE (&cache->lru, node, link);
  talloc_free (node);
}

/* Mark the block as last used; add it if needed, and then evict the least
   recently used block if the cache is full.  */
static void
cache_touch (model_t *model, model_upstream_t *upstream, uint64_t block)
{
  model_cache_t *cache = upstream->cache;
  cache_node_t *node = cache_find (cache, block);

  if (node != NULL)
    {
      TAILQ_REMOVE (&cache->lru, node, link);
      TAILQ_INSERT_TAIL (&cache->lru, node, link);
      return;
    }
  if (table_count (cache->table) >= CACHE_BLOCKS)
    {
      node = TAILQ_FIRST (&cache->lru);
      model_send_cache_event (model, upstream, &node->block, 1, false);
      cache_evict (cache, node);
    }
  node = talloc_zero (cache, cache_node_t);
  node->block = block;
  table_insert (cache->table, &node->node, &node->block, sizeof node->block);
  TAILQ_INSERT_TAIL (&cache->lru, node, link);
}

static void
cache_clear (model_cache_t *cache)
{
  while (!TAILQ_EMPTY (&cache->lru))
    cache_evict (cache, TAILQ_FIRST (&cache->lru));
}

/* Return how many of the first of COUNT BLOCKS, without a gap, are in the
   upstream's cache.  */
size_t
fleet_cached_blocks (const model_upstream_t *upstream, const uint64_t *blocks,
                     size_t count)
{
  size_t cached_count = 0;

  while (cached_count < count
         && cache_find (upstream->cache, blocks[cached_count]) != NULL)
    cached_count++;
  return cached_count;
}

static void
upstream_create (model_t *model, unsigned index)
{
  model_upstream_t *upstream = &model->upstreams[index];

  snprintf (upstream->name, sizeof upstream->name, "u%03u", index);
  upstream->index = index;
  upstream->zone = index % model->options.zones;
  upstream->model_index = index / model->options.zones % model->options.models;
  upstream->gate = gate_create (model, upstream->name,
                                talloc_asprintf (model, "z%u", upstream->zone),
                                model->clock);
  LIST_INIT (&upstream->running);
  upstream->cache = talloc_zero (model, model_cache_t);
  upstream->cache->table
      = table_create (upstream->cache, LOCK_REQUESTS, "cache");
  TAILQ_INIT (&upstream->cache->lru);
}

/* Create the upstreams, all warm.  */
void
fleet_create (model_t *model)
{
  model->upstreams
      = talloc_zero_array (model, model_upstream_t, model->options.upstreams);
  for (unsigned i = 0; i < model->options.upstreams; i++)
    upstream_create (model, i);
}

/* Return the fleet's capacity in requests per microsecond: what it serves at
   full load with requests of mean size.  */
double
fleet_capacity (const model_t *model)
{
  double rate = idle_steps_per_us / (1 + full_load_slowdown);

  return rate / mean_request_steps * model->options.maximum_requests
         * model->options.upstreams;
}

static bool
upstream_is_cold (const model_t *model, const model_upstream_t *upstream)
{
  return model->now_us < upstream->cold_until_us;
}

/* Return the current number of steps per microsecond.  */
static double
upstream_step_rate (const model_t *model, const model_upstream_t *upstream)
{
  double full = (double)mean_request_tokens * model->options.maximum_requests;
  double rate
      = idle_steps_per_us
        / (1 + full_load_slowdown * (double)upstream->running_tokens / full);

  if (!upstream_is_cold (model, upstream))
    return rate;
  rate /= cold_start_slowdown;
  return upstream->running_count > MODEL_COLD_MAX_REQUESTS
             ? rate / cold_overload_slowdown
             : rate;
}

/* Add the load since the last update to the integrals.  */
static void
upstream_record_load (model_t *model, model_upstream_t *upstream)
{
  int64_t second = model->now_us / 1000000;
  double request_us = (double)(model->now_us - upstream->progress_us)
                      * upstream->running_count;

  if (model->now_us <= model->options.duration_ms * 1000)
    upstream->load_integral += request_us;
  if (second < MODEL_MAX_SECONDS)
    upstream->load_per_second[second] += request_us;
}

/* Update load and progress to the current time.  Must be called before the
   step rate changes.  */
static void
upstream_advance (model_t *model, model_upstream_t *upstream)
{
  upstream_record_load (model, upstream);
  upstream->progress += (double)(model->now_us - upstream->progress_us)
                        * upstream_step_rate (model, upstream);
  upstream->progress_us = model->now_us;
}

/* The next first token or end of a request on an upstream; ignored if the
   upstream's generation has changed.  */
typedef struct progress_event
{
  model_upstream_t *upstream;
  uint64_t generation;
} progress_event_t;

static void upstream_schedule_progress (model_t *model,
                                        model_upstream_t *upstream);

static void
request_stop (model_upstream_t *upstream, model_request_t *request)
{
  LIST_REMOVE (request, running_link);
  request->is_running = false;
  upstream->running_count--;
  upstream->running_tokens -= request->work.item.tokens;
}

static void
request_finish (model_t *model, model_upstream_t *upstream,
                model_request_t *request)
{
  struct timespec now = timespec_from_us (model->now_us);
  admission_sample_t sample
      = { .tokens = request->work.item.tokens, .is_success = true };

  sample.duration = timespec_subtract (now, request->work.started_at);
  sample.first_token = request->first_token_delay;
  request_stop (upstream, request);
  gate_finish (upstream->gate, &request->work, &sample);
  model_end_request (model, request, true);
}

/* Record the first tokens and ends that the progress has reached.  */
static void
upstream_apply_progress (model_t *model, model_upstream_t *upstream)
{
  static const double rounding_tolerance = 1e-6; /* steps */
  model_request_t *request = LIST_FIRST (&upstream->running);

  while (request != NULL)
    {
      model_request_t *next = LIST_NEXT (request, running_link);

      if (!request->has_first_token
          && request->first_token_target
                 <= upstream->progress + rounding_tolerance)
        {
          request->has_first_token = true;
          request->first_token_delay = timespec_subtract (
              timespec_from_us (model->now_us), request->work.started_at);
          model_record_first_token (model, request);
        }
      if (request->end_target <= upstream->progress + rounding_tolerance)
        request_finish (model, upstream, request);
      request = next;
    }
}

static void
upstream_handle_progress (model_t *model, void *data)
{
  progress_event_t *event = data;
  model_upstream_t *upstream = event->upstream;

  if (event->generation == upstream->generation)
    {
      upstream_advance (model, upstream);
      upstream_apply_progress (model, upstream);
      fleet_start_ready (model, upstream);
      upstream_schedule_progress (model, upstream);
    }
  talloc_free (event);
}

/* Return the time until the upstream has executed STEPS more steps, or until
   the end of its cold start, which changes the rate, if that is earlier.  */
static int64_t
upstream_delay_us (const model_t *model, const model_upstream_t *upstream,
                   double steps)
{
  int64_t delay
      = (int64_t)ceil (fmax (steps, 0) / upstream_step_rate (model, upstream))
        + 1;

  if (upstream_is_cold (model, upstream)
      && model->now_us + delay > upstream->cold_until_us)
    return upstream->cold_until_us - model->now_us;
  return delay;
}

/* Schedule an event for the next first token or end of a request, and
   invalidate the previous one.  */
static void
upstream_schedule_progress (model_t *model, model_upstream_t *upstream)
{
  const model_request_t *request;
  progress_event_t *event;
  double min_steps = INFINITY;

  upstream->generation++;
  LIST_FOREACH (request, &upstream->running, running_link)
    {
      double target = request->has_first_token ? request->end_target
                                               : request->first_token_target;

      min_steps = fmin (min_steps, target - upstream->progress);
    }
  if (!isfinite (min_steps))
    return;
  event = talloc (model, progress_event_t);
  *event = (progress_event_t){ upstream, upstream->generation };
  model_schedule (model, upstream_delay_us (model, upstream, min_steps),
                  upstream_handle_progress, event);
}

/* Start the request on its upstream and put its blocks into the cache.  */
static void
request_start (model_t *model, model_request_t *request)
{
  model_upstream_t *upstream = request->upstream;
  size_t cached
      = fleet_cached_blocks (upstream, request->blocks, request->block_count);
  uint64_t uncached = request->prompt_tokens - cached * MODEL_BLOCK_TOKENS;

  upstream_advance (model, upstream);
  if (model->now_us >= model->options.warm_up_ms * 1000)
    {
      model->prompt_tokens += request->prompt_tokens;
      model->cached_tokens += cached * MODEL_BLOCK_TOKENS;
    }
  for (size_t i = 0; i < request->block_count; i++)
    cache_touch (model, upstream, request->blocks[i]);
  model_send_cache_event (model, upstream, request->blocks,
                          request->block_count, true);
  request->first_token_target
      = upstream->progress + 1 + (double)uncached / PREFILL_TOKENS_PER_STEP;
  request->end_target
      = request->first_token_target + (double)request->output_tokens;
  request->is_running = true;
  LIST_INSERT_HEAD (&upstream->running, request, running_link);
  upstream->running_count++;
  upstream->running_tokens += request->work.item.tokens;
  if (upstream_is_cold (model, upstream)
      && upstream->running_count > MODEL_COLD_MAX_REQUESTS)
    model->cold_excess++;
  upstream_schedule_progress (model, upstream);
}

/* Start the queued requests that the gate of UPSTREAM admits and refuse those
   that it has removed from the queue.  */
void
fleet_start_ready (model_t *model, model_upstream_t *upstream)
{
  gate_work_list_t started = STAILQ_HEAD_INITIALIZER (started);
  gate_work_list_t expired = STAILQ_HEAD_INITIALIZER (expired);
  gate_work_t *work;

  gate_dequeue_ready (upstream->gate, &started, &expired);
  while ((work = STAILQ_FIRST (&started)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&started, link);
      request_start (model, CONTAINER_OF (work, model_request_t, work));
    }
  while ((work = STAILQ_FIRST (&expired)) != NULL)
    {
      gate_load_t load;

      STAILQ_REMOVE_HEAD (&expired, link);
      gate_load (upstream->gate, &load);
      model_refuse_request (model, CONTAINER_OF (work, model_request_t, work),
                            load.is_leaving ? REFUSAL_LEAVING
                                            : REFUSAL_DEADLINE);
    }
}

/* Handle the arrival of REQUEST at the agent of its upstream: start, queue or
   refuse it.  A failed upstream does not respond.  */
void
fleet_offer_request (model_t *model, model_request_t *request)
{
  model_upstream_t *upstream = request->upstream;
  gate_work_list_t evicted = STAILQ_HEAD_INITIALIZER (evicted);
  gate_refusal_t refusal = { 0 };
  gate_verdict_t verdict;
  gate_work_t *evicted_work;

  if (upstream->is_failed)
    return;
  verdict = gate_offer (upstream->gate, &request->work, &refusal, &evicted);
  while ((evicted_work = STAILQ_FIRST (&evicted)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&evicted, link);
      model_refuse_request (model,
                            CONTAINER_OF (evicted_work, model_request_t, work),
                            REFUSAL_OVERLOAD);
    }
  if (verdict == GATE_START)
    request_start (model, request);
  else if (verdict == GATE_REFUSED)
    model_refuse_request (model, request, refusal.refusal);
}

/* Remove REQUEST from its upstream's queue, or stop it if it is running.  */
void
fleet_cancel_request (model_t *model, model_request_t *request)
{
  model_upstream_t *upstream = request->upstream;

  gate_withdraw (upstream->gate, &request->work);
  if (!request->is_running)
    return;
  upstream_advance (model, upstream);
  request_stop (upstream, request);
  gate_finish (upstream->gate, &request->work, NULL);
  upstream_schedule_progress (model, upstream);
}

/* Restart UPSTREAM: it is cold, its cache is empty and its running requests
   are stopped.  IS_LOST if the entries learn at once that these were lost.  */
void
fleet_restart (model_t *model, model_upstream_t *upstream, bool is_lost)
{
  model_request_t *request;

  upstream_advance (model, upstream);
  while ((request = LIST_FIRST (&upstream->running)) != NULL)
    {
      request_stop (upstream, request);
      gate_finish (upstream->gate, &request->work, NULL);
      if (is_lost)
        model_end_request (model, request, false);
    }
  cache_clear (upstream->cache);
  upstream->cold_until_us = model->now_us + MODEL_COLD_START_US;
  gate_record_cold_start (upstream->gate, "restarted");
  upstream_schedule_progress (model, upstream);
}
