#include "bench/relay_model.h"

#include "kernel/clock.h"
#include "relay/fleet.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  TICK_MS = 5,
  RETRY_INTERVAL_MS = 20,   /* between attempts to place waiting requests */
  WAIT_MAX_MS = 1600,       /* in a relay, until the request is refused */
  REPORT_INTERVAL_MS = 100, /* of an upstream */
  REPORT_DELAY_MS = 15,     /* until a relay has the report */
  UPSTREAM_QUEUE_MAX = 4,   /* requests beyond the slots */
  WORK_MIN_MS = 600,
  WORK_MAX_MS = 1800,
  STEP_MS = 50,
  IDLE_CONNECTION_MS = 4000, /* an idle connection is closed after this */
  WARM_UP_MS = 3000,         /* not counted */
  WAIT_BUCKETS = 4096,       /* of a tick each */
  MS_PER_S = 1000,
  NAME_SIZE = 32
};

static const double report_loss = 0.01;
/* The busiest relay gets this many times the mean of the arrivals.  */
static const double relay_weight_max = 1.8;

typedef struct model_request
{
  STAILQ_ENTRY (model_request) link; /* of a relay's or upstream's queue */
  struct model_relay *relay;
  struct model_upstream *upstream; /* NULL until placed */
  fleet_request_t criteria;
  uint64_t arrived_ms;
  uint64_t work_ms;
  uint64_t ends_ms;
  bool is_counted; /* arrived after the warm-up */
} model_request_t;

STAILQ_HEAD (model_queue, model_request);

typedef struct model_relay
{
  fleet_t *fleet;
  unsigned index;
  double weight; /* relative to the mean */
  struct model_queue waiting;
} model_relay_t;

typedef struct model_upstream
{
  char address[NAME_SIZE];
  unsigned index;
  struct model_queue running;
  struct model_queue queued;
  unsigned running_count;
  unsigned queued_count;
  fleet_report_t report; /* taken, not delivered yet */
  uint64_t load_sum;     /* of running and queued requests, by tick */
} model_upstream_t;

typedef struct relay_model
{
  relay_model_options_t options;
  clock_source_t *clock;
  uint64_t now_ms;
  uint64_t random_state;
  route_t *route;
  model_relay_t *relays;
  model_upstream_t *upstreams;
  uint64_t *idle_since_ms; /* by relay and upstream; 0 for no connection */
  uint64_t waits[WAIT_BUCKETS];
  uint64_t started;
  uint64_t requests;
  uint64_t sent_at_once;
  uint64_t refused;
  uint64_t declined;
  uint64_t new_connections;
  uint64_t choices;
  uint64_t reports;
  int64_t choice_ns;
  int64_t report_ns;
} relay_model_t;

/* Return a random number from 0 to below 1.  */
static double
model_random (relay_model_t *model)
{
  static const double range = 4294967296.0;

  model->random_state
      = model->random_state * 6364136223846793005ULL + 1442695040888963407;
  return (double)(model->random_state >> 32) / range;
}

static int64_t
processor_time_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return now.tv_sec * 1000000000LL + now.tv_nsec;
}

static void
upstream_start (relay_model_t *model, model_upstream_t *upstream,
                model_request_t *request)
{
  uint64_t waited_ms = model->now_ms - request->arrived_ms;
  uint64_t bucket = waited_ms / TICK_MS;

  request->ends_ms = model->now_ms + request->work_ms;
  STAILQ_INSERT_TAIL (&upstream->running, request, link);
  upstream->running_count++;
  if (!request->is_counted)
    return;
  model->waits[bucket < WAIT_BUCKETS ? bucket : WAIT_BUCKETS - 1]++;
  model->started++;
}

static void
model_count_connection (relay_model_t *model, const model_request_t *request)
{
  uint64_t *idle_since = &model->idle_since_ms[(size_t)request->relay->index
                                                   * model->options.upstreams
                                               + request->upstream->index];

  if (*idle_since != 0 && model->now_ms - *idle_since < IDLE_CONNECTION_MS)
    *idle_since = 0;
  else if (request->is_counted)
    model->new_connections++;
}

/* Deliver REQUEST to its upstream.  Returns false if that one declines it,
   since it is full.  */
static bool
upstream_accept (relay_model_t *model, model_request_t *request)
{
  model_upstream_t *upstream = request->upstream;

  model_count_connection (model, request);
  if (upstream->running_count < model->options.slots)
    {
      upstream_start (model, upstream, request);
      return true;
    }
  if (upstream->queued_count >= UPSTREAM_QUEUE_MAX)
    return false;
  STAILQ_INSERT_TAIL (&upstream->queued, request, link);
  upstream->queued_count++;
  return true;
}

static void
request_release (model_request_t *request, fleet_result_t result,
                 int64_t elapsed_ms)
{
  char id[NAME_SIZE];

  snprintf (id, sizeof id, "u%u", request->upstream->index);
  fleet_release (request->relay->fleet, id, &request->criteria.work, result,
                 elapsed_ms);
}

/* Place REQUEST.  Returns false if it has to wait.  */
static bool
request_place (relay_model_t *model, model_request_t *request)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  fleet_choice_t choice;
  int64_t started_ns = processor_time_ns ();
  fleet_shortage_t shortage
      = fleet_choose (request->relay->fleet, ctx, &request->criteria, &choice);
  bool is_placed = false;

  model->choice_ns += processor_time_ns () - started_ns;
  model->choices++;
  if (shortage == FLEET_NO_SHORTAGE)
    {
      request->upstream = &model->upstreams[atoi (choice.upstream + 1)];
      is_placed = upstream_accept (model, request);
      if (!is_placed)
        {
          model->declined++;
          request_release (request, FLEET_DECLINED, 0);
        }
    }
  talloc_free (ctx);
  return is_placed;
}

static void
model_add_request (relay_model_t *model, model_relay_t *relay)
{
  model_request_t *request = talloc_zero (model, model_request_t);

  request->relay = relay;
  request->arrived_ms = model->now_ms;
  request->work_ms
      = WORK_MIN_MS
        + (uint64_t)(model_random (model) * (WORK_MAX_MS - WORK_MIN_MS));
  request->is_counted = model->now_ms >= WARM_UP_MS;
  request->criteria = (fleet_request_t){ .service = "model",
                                         .route = model->route,
                                         .work = { .zone = "z" } };
  model->requests += request->is_counted;
  if (request_place (model, request))
    {
      model->sent_at_once += request->is_counted;
      return;
    }
  STAILQ_INSERT_TAIL (&relay->waiting, request, link);
}

/* Return a random number with the Poisson distribution of MEAN.  */
static unsigned
model_random_poisson (relay_model_t *model, double mean)
{
  double limit = exp (-mean);
  double product = model_random (model);
  unsigned count = 0;

  while (product > limit)
    {
      product *= model_random (model);
      count++;
    }
  return count;
}

/* Let the requests of this tick arrive.  */
static void
model_run_arrivals (relay_model_t *model)
{
  const relay_model_options_t *options = &model->options;
  double mean_work_ms = (WORK_MIN_MS + WORK_MAX_MS) / 2.0;
  double mean = options->load * options->upstreams * options->slots
                / mean_work_ms * TICK_MS / options->relays;

  for (unsigned i = 0; i < options->relays; i++)
    {
      model_relay_t *relay = &model->relays[i];
      unsigned count = model_random_poisson (model, mean * relay->weight);

      for (unsigned j = 0; j < count; j++)
        model_add_request (model, relay);
    }
}

static void
model_run_waiting (relay_model_t *model, model_relay_t *relay)
{
  model_request_t *request = STAILQ_FIRST (&relay->waiting);

  while (request != NULL)
    {
      model_request_t *next = STAILQ_NEXT (request, link);
      bool is_over = model->now_ms - request->arrived_ms >= WAIT_MAX_MS;

      if (is_over)
        model->refused += request->is_counted;
      STAILQ_REMOVE (&relay->waiting, request, model_request, link);
      if (is_over)
        talloc_free (request);
      else if (!request_place (model, request))
        {
          if (next != NULL)
            STAILQ_INSERT_HEAD (&relay->waiting, request, link);
          else
            STAILQ_INSERT_TAIL (&relay->waiting, request, link);
        }
      request = next;
    }
}

static void
upstream_run (relay_model_t *model, model_upstream_t *upstream)
{
  model_request_t *request = STAILQ_FIRST (&upstream->running);

  while (request != NULL)
    {
      model_request_t *next = STAILQ_NEXT (request, link);

      if (request->ends_ms <= model->now_ms)
        {
          STAILQ_REMOVE (&upstream->running, request, model_request, link);
          upstream->running_count--;
          model->idle_since_ms[(size_t)request->relay->index
                                   * model->options.upstreams
                               + upstream->index]
              = model->now_ms;
          request_release (request, FLEET_SERVED, (int64_t)request->work_ms);
          talloc_free (request);
        }
      request = next;
    }
  while (upstream->queued_count > 0
         && upstream->running_count < model->options.slots)
    {
      request = STAILQ_FIRST (&upstream->queued);
      STAILQ_REMOVE_HEAD (&upstream->queued, link);
      upstream->queued_count--;
      upstream_start (model, upstream, request);
    }
  if (model->now_ms >= WARM_UP_MS)
    upstream->load_sum += upstream->running_count + upstream->queued_count;
}

static void
model_deliver_report (relay_model_t *model, const model_upstream_t *upstream)
{
  int64_t started_ns;

  for (unsigned i = 0; i < model->options.relays; i++)
    {
      if (model_random (model) < report_loss)
        continue;
      started_ns = processor_time_ns ();
      fleet_record_report (model->relays[i].fleet, upstream->address,
                           &upstream->report);
      model->report_ns += processor_time_ns () - started_ns;
      model->reports++;
    }
}

/* Take the report of UPSTREAM when its time has come, and deliver the last one
   after its delay.  The upstreams report at different times.  */
static void
upstream_report (relay_model_t *model, model_upstream_t *upstream)
{
  uint64_t phase_ms = (model->now_ms + (uint64_t)upstream->index * TICK_MS)
                      % REPORT_INTERVAL_MS;

  if (phase_ms == 0)
    upstream->report = (fleet_report_t){ .group = "g",
                                         .epoch = 1,
                                         .is_open = true,
                                         .step = model->now_ms / STEP_MS,
                                         .running = upstream->running_count,
                                         .waiting = upstream->queued_count,
                                         .slowdown = 1 };
  else if (phase_ms == REPORT_DELAY_MS && upstream->report.epoch != 0)
    model_deliver_report (model, upstream);
}

static void
model_tick (relay_model_t *model)
{
  clock_advance (model->clock, timespec_from_ms (TICK_MS));
  model->now_ms += TICK_MS;
  for (unsigned i = 0; i < model->options.upstreams; i++)
    {
      upstream_run (model, &model->upstreams[i]);
      upstream_report (model, &model->upstreams[i]);
    }
  model_run_arrivals (model);
  for (unsigned i = 0; i < model->options.relays; i++)
    {
      if ((model->now_ms + (uint64_t)i * TICK_MS) % RETRY_INTERVAL_MS == 0)
        model_run_waiting (model, &model->relays[i]);
    }
}

static rules_t *
model_create_rules (void)
{
  rules_t *rules = rules_create (1);
  route_t *route = rules_add_route (rules, "chat", "host", "/");

  route->kind = ROUTE_STREAM;
  route_add_target (route, "model", 1);
  rules_add_service (rules, "model");
  rules_finish (rules);
  return rules;
}

static void
model_create_relay (relay_model_t *model, model_relay_t *relay,
                    const rules_t *rules)
{
  relay->fleet = fleet_create (model, "z", model->clock,
                               model->options.seed + relay->index);
  fleet_add_zone (relay->fleet, "z", "region");
  fleet_configure (relay->fleet, rules);
  fleet_set_share (relay->fleet,
                   &(rate_share_t){ .relays = model->options.relays });
  STAILQ_INIT (&relay->waiting);
  for (unsigned i = 0; i < model->options.upstreams; i++)
    {
      char id[NAME_SIZE];
      upstream_listing_t listing = { .id = id,
                                     .service = "model",
                                     .address = model->upstreams[i].address,
                                     .zone = "z",
                                     .slots = model->options.slots };

      snprintf (id, sizeof id, "u%u", i);
      fleet_update_upstream (relay->fleet, &listing);
    }
}

static void
model_create_parties (relay_model_t *model, const rules_t *rules)
{
  const relay_model_options_t *options = &model->options;

  for (unsigned i = 0; i < options->upstreams; i++)
    {
      model_upstream_t *upstream = &model->upstreams[i];

      upstream->index = i;
      snprintf (upstream->address, sizeof upstream->address, "10.0.%u.%u:80",
                i / 250, i % 250);
      STAILQ_INIT (&upstream->running);
      STAILQ_INIT (&upstream->queued);
    }
  for (unsigned i = 0; i < options->relays; i++)
    {
      model_relay_t *relay = &model->relays[i];

      relay->index = i;
      /* From 2 - RELAY_WEIGHT_MAX to RELAY_WEIGHT_MAX.  */
      relay->weight
          = 2 - relay_weight_max
            + 2 * (relay_weight_max - 1) * (i + 0.5) / options->relays;
      model_create_relay (model, relay, rules);
    }
}

/* Return the time in ms below which the share SHARE of the waits is.  */
static double
model_wait_percentile (const relay_model_t *model, double share)
{
  uint64_t below = 0;

  for (unsigned i = 0; i < WAIT_BUCKETS; i++)
    {
      below += model->waits[i];
      if ((double)below >= share * (double)model->started)
        return i * TICK_MS;
    }
  return WAIT_BUCKETS * TICK_MS;
}

static double
model_busiest_ratio (const relay_model_t *model)
{
  uint64_t most = 0;
  uint64_t total = 0;

  for (unsigned i = 0; i < model->options.upstreams; i++)
    {
      uint64_t load_sum = model->upstreams[i].load_sum;

      total += load_sum;
      if (load_sum > most)
        most = load_sum;
    }
  return (double)most * model->options.upstreams / (double)total;
}

static relay_model_result_t
model_result (const relay_model_t *model)
{
  double requests = (double)model->requests;

  return (relay_model_result_t){
    .requests = model->requests,
    .sent_at_once = (double)model->sent_at_once / requests,
    .refused = (double)model->refused / requests,
    .declined = (double)model->declined / requests,
    .new_connections = (double)model->new_connections / requests,
    .wait_p50_ms = model_wait_percentile (model, 0.5),
    .wait_p99_ms = model_wait_percentile (model, 0.99),
    .busiest_ratio = model_busiest_ratio (model),
    .choice_us = (double)model->choice_ns / 1000 / (double)model->choices,
    .report_us = (double)model->report_ns / 1000 / (double)model->reports,
  };
}

/* Run the simulation and return what clients got.  */
relay_model_result_t
relay_model_run (const relay_model_options_t *options)
{
  relay_model_t *model = talloc_zero (NULL, relay_model_t);
  relay_model_result_t result;
  rules_t *rules = model_create_rules ();

  model->options = *options;
  model->random_state = options->seed;
  model->clock
      = clock_create_virtual (model, (struct timespec){ .tv_sec = 100 });
  model->route = STAILQ_FIRST (&rules->routes);
  model->relays = talloc_zero_array (model, model_relay_t, options->relays);
  model->upstreams
      = talloc_zero_array (model, model_upstream_t, options->upstreams);
  model->idle_since_ms = talloc_zero_array (
      model, uint64_t, (size_t)options->relays * options->upstreams);
  model_create_parties (model, rules);
  while (model->now_ms < options->duration_ms)
    model_tick (model);
  result = model_result (model);
  for (unsigned i = 0; i < options->relays; i++)
    fleet_destroy (model->relays[i].fleet);
  talloc_free (model);
  rules_release (rules);
  return result;
}
