#include "bench/model_state.h"
#include "kernel/table.h"

#include <math.h>
#include <string.h>

enum
{
  CACHE_BLOCKS = 2048,
  PREFILL_TOKENS_PER_STEP = 100 /* prompt tokens done in one token's time */
};

/* One stream on an idle upstream gets a token each 25 ms, and each of the
   streams on a full one 37 ms.  */
static const double steps_per_us = 1.0 / 25000;
static const double full_slowdown = 0.48;
static const double cold_slowdown = 3;
static const double overload_slowdown = 10;

static const uint64_t mean_tokens = 1300; /* of a request, in and out */
static const double mean_steps = 265;

/* A cached block; embedded in the upstream's cache.  */
typedef struct cache_node
{
  table_node_t node;
  TAILQ_ENTRY (cache_node) link;
  uint64_t block;
} cache_node_t;

struct model_cache
{
  table_t *table;
  TAILQ_HEAD (cache_use_list, cache_node) by_use;
};

static cache_node_t *
cache_find (const model_cache_t *cache, uint64_t block)
{
  table_node_t *node = table_find (cache->table, &block, sizeof block);

  return node == NULL ? NULL : CONTAINER_OF (node, cache_node_t, node);
}

static void
cache_drop (model_cache_t *cache, cache_node_t *node)
{
  table_remove (cache->table, &node->node);
  TAILQ_REMOVE (&cache->by_use, node, link);
  talloc_free (node);
}

static void
cache_use (model_t *model, model_upstream_t *upstream, uint64_t block)
{
  model_cache_t *cache = upstream->cache;
  cache_node_t *node = cache_find (cache, block);

  if (node != NULL)
    {
      TAILQ_REMOVE (&cache->by_use, node, link);
      TAILQ_INSERT_TAIL (&cache->by_use, node, link);
      return;
    }
  if (table_count (cache->table) >= CACHE_BLOCKS)
    {
      node = TAILQ_FIRST (&cache->by_use);
      model_note_cached (model, upstream, &node->block, 1, false);
      cache_drop (cache, node);
    }
  node = talloc_zero (cache, cache_node_t);
  node->block = block;
  table_insert (cache->table, &node->node, &node->block, sizeof node->block);
  TAILQ_INSERT_TAIL (&cache->by_use, node, link);
}

static void
cache_clear (model_cache_t *cache)
{
  while (!TAILQ_EMPTY (&cache->by_use))
    cache_drop (cache, TAILQ_FIRST (&cache->by_use));
}

/* Return how many of the leading BLOCKS the upstream's cache holds.  */
size_t
fleet_cached_blocks (const model_upstream_t *upstream, const uint64_t *blocks,
                     size_t count)
{
  size_t held = 0;

  while (held < count && cache_find (upstream->cache, blocks[held]) != NULL)
    held++;
  return held;
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
  TAILQ_INIT (&upstream->cache->by_use);
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

/* Return the requests a microsecond that the whole fleet bears.  */
double
fleet_capacity (const model_t *model)
{
  double pace = steps_per_us / (1 + full_slowdown);

  return pace / mean_steps * model->options.maximum_requests
         * model->options.upstreams;
}

static bool
upstream_is_cold (const model_t *model, const model_upstream_t *upstream)
{
  return model->now_us < upstream->cold_until_us;
}

static double
upstream_pace (const model_t *model, const model_upstream_t *upstream)
{
  double full = (double)mean_tokens * model->options.maximum_requests;
  double pace
      = steps_per_us
        / (1 + full_slowdown * (double)upstream->running_tokens / full);

  if (!upstream_is_cold (model, upstream))
    return pace;
  pace /= cold_slowdown;
  return upstream->running_count > MODEL_COLD_REQUESTS
             ? pace / overload_slowdown
             : pace;
}

static void
upstream_note_load (model_t *model, model_upstream_t *upstream)
{
  int64_t second = model->now_us / 1000000;
  double amount = (double)(model->now_us - upstream->progress_us)
                  * upstream->running_count;

  if (model->now_us <= model->options.duration_ms * 1000)
    upstream->load_integral += amount;
  if (second < MODEL_MAX_SECONDS)
    upstream->second_load[second] += amount;
}

static void
upstream_advance (model_t *model, model_upstream_t *upstream)
{
  upstream_note_load (model, upstream);
  upstream->progress += (double)(model->now_us - upstream->progress_us)
                        * upstream_pace (model, upstream);
  upstream->progress_us = model->now_us;
}

typedef struct progress_event
{
  model_upstream_t *upstream;
  uint64_t generation;
} progress_event_t;

static void upstream_arm (model_t *model, model_upstream_t *upstream);

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
  sample.first_token = request->first_token;
  request_stop (upstream, request);
  gate_finish (upstream->gate, &request->work, &sample);
  model_end (model, request, true);
}

static void
upstream_take_progress (model_t *model, model_upstream_t *upstream)
{
  static const double rounding = 1e-6;
  model_request_t *request = LIST_FIRST (&upstream->running);

  while (request != NULL)
    {
      model_request_t *next = LIST_NEXT (request, running_link);

      if (!request->has_first
          && request->first_target <= upstream->progress + rounding)
        {
          request->has_first = true;
          request->first_token = timespec_subtract (
              timespec_from_us (model->now_us), request->work.started_at);
          model_first_token (model, request);
        }
      if (request->end_target <= upstream->progress + rounding)
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
      upstream_take_progress (model, upstream);
      fleet_start_ready (model, upstream);
      upstream_arm (model, upstream);
    }
  talloc_free (event);
}

/* Return the time until the upstream has made STEPS, or until it turns warm
   and its pace changes.  */
static int64_t
upstream_delay_us (const model_t *model, const model_upstream_t *upstream,
                   double steps)
{
  int64_t delay
      = (int64_t)ceil (fmax (steps, 0) / upstream_pace (model, upstream)) + 1;

  if (upstream_is_cold (model, upstream)
      && model->now_us + delay > upstream->cold_until_us)
    return upstream->cold_until_us - model->now_us;
  return delay;
}

/* Wait for the next first token or end.  */
static void
upstream_arm (model_t *model, model_upstream_t *upstream)
{
  const model_request_t *request;
  progress_event_t *event;
  double nearest = INFINITY;

  upstream->generation++;
  LIST_FOREACH (request, &upstream->running, running_link)
    {
      double target
          = request->has_first ? request->end_target : request->first_target;

      nearest = fmin (nearest, target - upstream->progress);
    }
  if (!isfinite (nearest))
    return;
  event = talloc (model, progress_event_t);
  *event = (progress_event_t){ upstream, upstream->generation };
  model_post (model, upstream_delay_us (model, upstream, nearest),
              upstream_handle_progress, event);
}

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
    cache_use (model, upstream, request->blocks[i]);
  model_note_cached (model, upstream, request->blocks, request->block_count,
                     true);
  request->first_target
      = upstream->progress + 1 + (double)uncached / PREFILL_TOKENS_PER_STEP;
  request->end_target = request->first_target + (double)request->output_tokens;
  request->is_running = true;
  LIST_INSERT_HEAD (&upstream->running, request, running_link);
  upstream->running_count++;
  upstream->running_tokens += request->work.item.tokens;
  if (upstream_is_cold (model, upstream)
      && upstream->running_count > MODEL_COLD_REQUESTS)
    model->cold_over++;
  upstream_arm (model, upstream);
}

/* Start what the gate lets go and refuse what has waited too long.  */
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
      model_refused (model, CONTAINER_OF (work, model_request_t, work),
                     load.is_leaving ? REFUSAL_LEAVING : REFUSAL_DEADLINE);
    }
}

/* REQUEST has come to the agent of its upstream.  */
void
fleet_offer (model_t *model, model_request_t *request)
{
  model_upstream_t *upstream = request->upstream;
  gate_work_list_t dropped = STAILQ_HEAD_INITIALIZER (dropped);
  gate_refusal_t refusal = { 0 };
  gate_verdict_t verdict;
  gate_work_t *loser;

  if (upstream->is_failed)
    return;
  verdict = gate_offer (upstream->gate, &request->work, &refusal, &dropped);
  while ((loser = STAILQ_FIRST (&dropped)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&dropped, link);
      model_refused (model, CONTAINER_OF (loser, model_request_t, work),
                     REFUSAL_OVERLOAD);
    }
  if (verdict == GATE_START)
    request_start (model, request);
  else if (verdict == GATE_REFUSED)
    model_refused (model, request, refusal.refusal);
}

/* Take REQUEST off its upstream.  */
void
fleet_cancel (model_t *model, model_request_t *request)
{
  model_upstream_t *upstream = request->upstream;

  gate_withdraw (upstream->gate, &request->work);
  if (!request->is_running)
    return;
  upstream_advance (model, upstream);
  request_stop (upstream, request);
  gate_finish (upstream->gate, &request->work, NULL);
  upstream_arm (model, upstream);
}

/* The upstream starts anew, cold and with an empty cache.  What was on it is
   over.  */
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
        model_end (model, request, false);
    }
  cache_clear (upstream->cache);
  upstream->cold_until_us = model->now_us + MODEL_COLD_US;
  gate_note_cold (upstream->gate, "restarted");
  upstream_arm (model, upstream);
}
