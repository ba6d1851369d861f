#include "bench/relay_model_state.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

enum
{
  RETRY_INTERVAL_MS = 20,   /* between attempts to place waiting requests */
  REPORT_INTERVAL_MS = 100, /* of an upstream */
  REPORT_DELAY_MS = 15,     /* until a relay has the report */
  DEFAULT_TIMEOUT_MS = 8000,
  MAX_ATTEMPTS = 2, /* that may have run a request */
  ZONES = 3,        /* of a scenario */
  START_S = 100     /* of the virtual clock */
};

static const double report_loss = 0.01;

/* All requests are of one class and take a random time each, which no
   objective limits.  */
static const relay_model_scenario_t plain_scenario
    = { .classes = { { .name = "all",
                       .objective_ms = 2 * DEFAULT_TIMEOUT_MS,
                       .timeout_ms = DEFAULT_TIMEOUT_MS,
                       .share = 1 } },
        .class_count = 1 };

/* Return a random number from 0 to below 1.  */
double
model_random (relay_model_t *model)
{
  static const double range = 4294967296.0;

  model->random_state
      = model->random_state * 6364136223846793005ULL + 1442695040888963407;
  return (double)(model->random_state >> 32) / range;
}

/* Return a random number with the normal distribution.  */
double
model_random_normal (relay_model_t *model)
{
  double radius = sqrt (-2 * log (1 - model_random (model)));

  return radius * cos (2 * M_PI * model_random (model));
}

/* Return whether NOW_MS is within SPAN.  */
bool
model_span_covers (const relay_model_span_t *span, uint64_t now_ms)
{
  return now_ms >= span->start_ms && now_ms < span->end_ms;
}

/* Return the time of the virtual clock at AT_MS.  */
struct timespec
model_time (uint64_t at_ms)
{
  return timespec_add ((struct timespec){ .tv_sec = START_S },
                       timespec_from_ms ((int64_t)at_ms));
}

/* Return the route of the class CLASS_INDEX.  */
const route_t *
model_route (const relay_model_t *model, unsigned class_index)
{
  const route_t *route = STAILQ_FIRST (&model->rules->routes);

  while (class_index-- > 0)
    route = STAILQ_NEXT (route, link);
  return route;
}

/* Return the processor time that this thread has used, in ns.  */
int64_t
model_processor_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return now.tv_sec * 1000000000LL + now.tv_nsec;
}

static void
model_deliver_report (relay_model_t *model, const model_upstream_t *upstream,
                      const fleet_report_t *report)
{
  for (unsigned i = 0; i < model->options.relays; i++)
    {
      model_relay_t *relay = &model->relays[i];
      int64_t started_ns = model_processor_ns ();
      bool is_state_changed;

      if (model_random (model) < report_loss)
        continue;
      is_state_changed
          = fleet_record_report (relay->fleet, upstream->address, report);
      model->report_ns += model_processor_ns () - started_ns;
      model->reports++;
      if (is_state_changed)
        model_relay_retry (model, relay);
    }
}

/* Take the report of UPSTREAM when its time has come, and deliver the one
   whose delay is over.  The upstreams report at different times.  */
static void
upstream_report (relay_model_t *model, model_upstream_t *upstream)
{
  uint64_t at_ms = model->now_ms + (uint64_t)upstream->index * MODEL_TICK_MS;
  uint64_t delay_ms = model->scenario.report_delay_ms;
  uint64_t delivered_ms = at_ms - delay_ms;
  fleet_report_t *reports = upstream->reports;

  if (at_ms % REPORT_INTERVAL_MS == 0)
    reports[at_ms / REPORT_INTERVAL_MS % MODEL_REPORT_RING]
        = model->engine_ops->report (model, upstream);
  if (at_ms >= delay_ms && delivered_ms % REPORT_INTERVAL_MS == 0)
    {
      const fleet_report_t *report
          = &reports[delivered_ms / REPORT_INTERVAL_MS % MODEL_REPORT_RING];

      if (report->epoch != 0)
        model_deliver_report (model, upstream, report);
    }
}

/* All relays and engines fail, or start again with nothing known.  */
static void
model_set_power (relay_model_t *model, bool is_on)
{
  model->is_down = !is_on;
  for (unsigned i = 0; i < model->options.relays; i++)
    {
      model_relay_t *relay = &model->relays[i];

      if (is_on)
        {
          model_destroy_relay (relay);
          model_create_relay (model, relay);
        }
      else
        model_relay_lose_queued (model, relay);
    }
}

static bool
groups_are_open (const relay_model_t *model)
{
  const relay_model_scenario_t *scenario = &model->scenario;
  relay_model_span_t forming = scenario->power_failure;

  if (forming.end_ms > 0)
    forming.end_ms += scenario->recovery_ms;
  return !model_span_covers (&forming, model->now_ms)
         && !model_span_covers (&scenario->groups_closed, model->now_ms);
}

/* Begin and end the failures of the scenario.  */
static void
model_run_failures (relay_model_t *model)
{
  const relay_model_scenario_t *scenario = &model->scenario;
  const relay_model_span_t *out = &scenario->zone_out;
  bool is_down = model_span_covers (&scenario->power_failure, model->now_ms);

  for (unsigned i = 0; i < model->group_count; i++)
    model_group_set_open (model, &model->groups[i], groups_are_open (model));
  if (is_down != model->is_down)
    model_set_power (model, !is_down);
  if (scenario->slow_factor > 0)
    model->groups[0].pace
        = model_span_covers (&scenario->slow_group, model->now_ms)
              ? scenario->slow_factor
              : 1;
  if (out->end_ms == 0
      || (model->now_ms != out->start_ms && model->now_ms != out->end_ms))
    return;
  for (unsigned i = 0; i < model->options.relays; i++)
    fleet_set_zone_out (model->relays[i].fleet, "z0",
                        model->now_ms == out->start_ms);
}

static void
model_tick (relay_model_t *model)
{
  clock_advance (model->clock, timespec_from_ms (MODEL_TICK_MS));
  model->now_ms += MODEL_TICK_MS;
  model_run_failures (model);
  model->engine_ops->run (model);
  model_run_declined (model);
  for (unsigned i = 0; i < model->options.upstreams && !model->is_down; i++)
    upstream_report (model, &model->upstreams[i]);
  model_run_arrivals (model);
  for (unsigned i = 0; i < model->options.relays; i++)
    {
      if ((model->now_ms + (uint64_t)i * MODEL_TICK_MS) % RETRY_INTERVAL_MS
          == 0)
        model_relay_retry (model, &model->relays[i]);
    }
}

static void
rules_add_class (rules_t *rules, const relay_model_class_t *class)
{
  char prefix[MODEL_NAME_SIZE];
  route_t *route;

  snprintf (prefix, sizeof prefix, "/%s/", class->name);
  route = rules_add_route (rules, class->name, "host", prefix);
  route->kind = ROUTE_STREAM;
  route->priority = class->priority;
  route->objective = timespec_from_ms (class->objective_ms);
  route->gap_limit = timespec_from_ms (class->gap_limit_ms);
  route->timeout = timespec_from_ms (class->timeout_ms);
  route->max_attempts = MAX_ATTEMPTS;
  route_add_target (route, "model", 1);
}

static rules_t *
model_create_rules (const relay_model_scenario_t *scenario, unsigned slots)
{
  static const double ms_per_s = 1000;
  const relay_model_engine_t *engine = &scenario->engine;
  rules_t *rules = rules_create (1);
  service_rule_t *service;

  for (unsigned i = 0; i < scenario->class_count; i++)
    rules_add_class (rules, &scenario->classes[i]);
  service = rules_add_service (rules, "model");
  service->has_engine = engine->stride > 0;
  if (service->has_engine)
    service->engine = (engine_profile_t){
      .token_steps_per_pass = engine->stride,
      .step_ms = engine->step_ms,
      .prompt_tokens_per_ms = engine->read_per_s / ms_per_s,
      .million_pairs_ms = engine->pairs_per_m,
      .prompt_chunk_tokens = engine->chunk,
      .request_step_ms = engine->per_seq_ms,
      .context_step_ms = engine->context_per_k,
      .slots = slots,
      .typical_prompt_tokens = scenario->cost.prompt_tokens,
      .typical_response_tokens = scenario->cost.events * engine->stride,
      .group_recovery_time = timespec_from_ms (scenario->recovery_ms),
      .report_lag = timespec_from_ms (scenario->report_delay_ms),
    };
  rules_finish (rules);
  return rules;
}

static void
model_create_group (relay_model_t *model, model_group_t *group, unsigned first,
                    unsigned size)
{
  unsigned left = model->options.upstreams - first;

  snprintf (group->name, sizeof group->name, "g%u", first);
  group->ranks = &model->upstreams[first];
  group->rank_count = left < size ? left : size;
  group->is_open = true;
  group->pace = 1;
  group->epoch = 1;
  for (unsigned i = 0; i < group->rank_count; i++)
    group->ranks[i].group = group;
}

static void
model_create_upstreams (relay_model_t *model)
{
  const relay_model_engine_t *engine = &model->scenario.engine;
  unsigned count = model->options.upstreams;
  unsigned size = engine->group_size > 0 ? engine->group_size : count;
  unsigned speeds = 0;

  while (speeds < RELAY_MODEL_MAX_SPEEDS && engine->speeds[speeds] > 0)
    speeds++;
  for (unsigned i = 0; i < count; i++)
    {
      model_upstream_t *upstream = &model->upstreams[i];

      upstream->index = i;
      upstream->speed = speeds == 0 ? 1 : engine->speeds[i % speeds];
      snprintf (upstream->id, sizeof upstream->id, "u%u", i);
      snprintf (upstream->address, sizeof upstream->address, "10.0.%u.%u:80",
                i / 250, i % 250);
      TAILQ_INIT (&upstream->running);
      TAILQ_INIT (&upstream->queued);
    }
  model->groups = talloc_zero_array (model, model_group_t, count);
  for (unsigned first = 0; first < count; first += size)
    model_create_group (model, &model->groups[model->group_count++], first,
                        size);
}

static void
model_create_relays (relay_model_t *model)
{
  /* The busiest relay gets this many times the mean of the arrivals.  */
  static const double weight_max = 1.8;
  unsigned count = model->options.relays;

  model->relays = talloc_zero_array (model, model_relay_t, count);
  for (unsigned i = 0; i < count; i++)
    {
      model_relay_t *relay = &model->relays[i];

      relay->index = i;
      /* From 2 - WEIGHT_MAX to WEIGHT_MAX.  */
      relay->weight
          = 2 - weight_max + 2 * (weight_max - 1) * (i + 0.5) / count;
      model_create_relay (model, relay);
    }
}

static relay_model_t *
model_create (const relay_model_options_t *options)
{
  relay_model_t *model = talloc_zero (NULL, relay_model_t);

  model->options = *options;
  model->scenario
      = options->scenario == NULL ? plain_scenario : *options->scenario;
  if (model->scenario.report_delay_ms == 0)
    model->scenario.report_delay_ms = REPORT_DELAY_MS;
  if (model->scenario.counted.end_ms == 0)
    model->scenario.counted
        = (relay_model_span_t){ MODEL_WARM_UP_MS, options->duration_ms };
  model->engine_ops
      = model->scenario.engine.stride > 0 ? &lock_step_ops : &fixed_time_ops;
  model->random_state = options->seed;
  model->clock
      = clock_create_virtual (model, (struct timespec){ .tv_sec = START_S });
  model->rules = model_create_rules (&model->scenario, options->slots);
  model->upstreams
      = talloc_zero_array (model, model_upstream_t, options->upstreams);
  model->idle_since_ms = talloc_zero_array (
      model, uint64_t, (size_t)options->relays * options->upstreams);
  model->zone_count = options->scenario == NULL ? 1 : ZONES;
  TAILQ_INIT (&model->declined);
  TAILQ_INIT (&model->returning);
  model_create_upstreams (model);
  model_observe (model);
  model_create_relays (model);
  return model;
}

/* Return whether the result will not change any more.  */
static bool
model_is_finished (const relay_model_t *model)
{
  const model_tally_t *all = &model->all;

  return model->now_ms >= model->options.duration_ms
         || (model->now_ms >= model->scenario.counted.end_ms
             && all->on_time + all->late + all->refused + all->broken
                    == all->requests);
}

/* Run the simulation and return what clients got.  */
relay_model_result_t
relay_model_run (const relay_model_options_t *options)
{
  relay_model_t *model = model_create (options);
  relay_model_result_t result;
  rules_t *rules = model->rules;

  while (!model_is_finished (model))
    model_tick (model);
  result = model_result (model);
  for (unsigned i = 0; i < options->relays; i++)
    model_destroy_relay (&model->relays[i]);
  talloc_free (model);
  rules_release (rules);
  return result;
}
