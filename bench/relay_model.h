#ifndef SISKIN_BENCH_RELAY_MODEL_H
#define SISKIN_BENCH_RELAY_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/* A simulation in virtual time of relays that place streams on the upstreams
   of one service.  Each relay has a fleet of its own, as in production, and
   knows the load only from reports that are late and sometimes lost.  */

enum
{
  RELAY_MODEL_MAX_CLASSES = 4,
  RELAY_MODEL_MAX_SPEEDS = 3,
  /* Ranges of the queue length of a relay: empty, then below 4, 16, 64 and
     256, then more.  */
  RELAY_MODEL_QUEUE_RANGES = 6
};

/* A part of the virtual time; empty if END_MS is 0.  */
typedef struct relay_model_span
{
  uint64_t start_ms;
  uint64_t end_ms;
} relay_model_span_t;

/* Requests with a route of their own.  The account of the requests may
   override the priority of the route; the model has no such accounts.  */
typedef struct relay_model_class
{
  const char *name;
  unsigned priority;
  unsigned objective_ms;
  unsigned gap_limit_ms;
  unsigned timeout_ms;
  double share; /* of the arrivals, in normal times */
} relay_model_class_t;

/* The costs of a pass of an engine, and how many requests it runs.  */
typedef struct relay_model_engine
{
  unsigned group_size; /* ranks that execute their passes together */
  unsigned stride;     /* token steps in a pass */
  double step_ms;
  double per_seq_ms;    /* of a token step, for each running request */
  double context_per_k; /* of a token step, for 1,000 tokens of context */
  double read_per_s;    /* prompt tokens */
  double pairs_per_m;   /* ms for a million pairs of prompt tokens */
  unsigned chunk;       /* prompt tokens that a rank reads in a pass at most */
  uint64_t kv_tokens;
  /* Costs of the upstreams in turn, relative to the normal ones; 0 ends.  */
  double speeds[RELAY_MODEL_MAX_SPEEDS];
} relay_model_engine_t;

/* The cost of requests.  Spreads are standard deviations over the mean of
   log-normal distributions; 0 makes all requests alike.  */
typedef struct relay_model_cost
{
  double events; /* mean */
  double event_spread;
  double prompt_tokens; /* mean */
  double prompt_spread;
  /* The client's estimate is off by e to the power of a normal number with
     this standard deviation.  */
  double estimate_error;
} relay_model_cost_t;

/* Load and failures that the model plays.  */
typedef struct relay_model_scenario
{
  relay_model_class_t classes[RELAY_MODEL_MAX_CLASSES];
  unsigned class_count;
  relay_model_engine_t engine;
  relay_model_cost_t cost;
  const char *policy; /* pick plug-in; NULL for the fleet's own */
  /* Relays queue requests in order of arrival: they do not tell classes apart,
     nor clients that come back, nor refuse what would wait in vain.  */
  bool is_by_arrival;
  unsigned report_delay_ms;   /* until a relay has a report; 0 for 15 */
  relay_model_span_t counted; /* arrivals that the result counts */
  double swing; /* the arrivals vary by this part, with SWING_PERIOD_MS */
  unsigned swing_period_ms;
  relay_model_span_t burst; /* of the last class, to BURST_FACTOR its rate */
  double burst_factor;
  relay_model_span_t zone_out;      /* one of three zones */
  relay_model_span_t power_failure; /* of all relays and engines */
  unsigned recovery_ms; /* until groups are open after a power failure */
  relay_model_span_t groups_closed; /* all groups */
  relay_model_span_t slow_group;    /* the first one */
  double slow_factor;
  bool clients_return; /* once after a refusal */
  /* Accounts with equal shares, or 0 for one account; for a time the first one
     has FIRST_ACCOUNT_FACTOR times its share on top of the others.  */
  unsigned accounts;
  relay_model_span_t first_account_time;
  double first_account_factor;
} relay_model_scenario_t;

typedef struct relay_model_options
{
  unsigned relays;
  unsigned upstreams;
  unsigned slots; /* requests that an upstream runs at once */
  double load;    /* share of all slots that the arriving work takes */
  uint64_t duration_ms;
  uint64_t seed;
  /* NULL: all requests are of one class and take a random time each.  */
  const relay_model_scenario_t *scenario;
} relay_model_options_t;

/* What the clients of one class or account got, as shares of their
   requests.  */
typedef struct relay_model_outcome
{
  uint64_t requests;
  double on_time;
  double late;
  double refused;
  double broken;      /* lost with a relay or an engine, or out of time */
  double place_share; /* part of all requests that were served */
  double attempts;    /* requests sent to upstreams, for one that is served */
  double refusal_ms[2]; /* time to a refusal: median and 99th percentile */
} relay_model_outcome_t;

/* Processor time of a relay to try its queued requests once.  */
typedef struct relay_model_queue_time
{
  uint64_t sweeps;
  double requests; /* mean number of queued requests */
  double sweep_us;
} relay_model_queue_time_t;

/* What clients got, over the whole run.  */
typedef struct relay_model_result
{
  uint64_t requests;
  double sent_at_once; /* share of the requests that never waited in a relay */
  double refused;      /* share that no upstream took in time */
  double declined;     /* attempts that a full upstream declined, a request */
  double new_connections; /* a request */
  double wait_p50_ms;     /* from the arrival until an upstream runs it */
  double wait_p99_ms;
  /* Mean load of the busiest upstream, relative to that of all.  */
  double busiest_ratio;
  double choice_us; /* processor time of fleet_choose */
  double report_us; /* processor time of fleet_record_report */
  /* The rest is set for a scenario only.  */
  relay_model_outcome_t all;
  relay_model_outcome_t classes[RELAY_MODEL_MAX_CLASSES];
  relay_model_outcome_t first_account;
  relay_model_outcome_t other_accounts;
  double first_event_p99_ms;
  double gap_p99_ms; /* of the longest gap of each served stream */
  /* Work left at the upstream that has most, relative to the mean, at a random
     time.  */
  double busiest_work;
  relay_model_queue_time_t queue_times[RELAY_MODEL_QUEUE_RANGES];
} relay_model_result_t;

relay_model_result_t relay_model_run (const relay_model_options_t *options);

#endif
