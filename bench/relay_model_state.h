#ifndef SISKIN_BENCH_RELAY_MODEL_STATE_H
#define SISKIN_BENCH_RELAY_MODEL_STATE_H

#include "bench/relay_model.h"
#include "kernel/clock.h"
#include "relay/client_timeouts.h"
#include "relay/fleet.h"
#include "relay/request_queue.h"
#include "relay/retry_budget.h"

/* State shared by the source files of the model.  */

enum
{
  MODEL_TICK_MS = 5,
  MODEL_WARM_UP_MS = 3000,      /* not counted */
  MODEL_UPSTREAM_QUEUE_MAX = 4, /* requests beyond the slots */
  MODEL_REPORT_RING = 4,        /* reports taken and not delivered yet */
  MODEL_BUCKETS = 4096,         /* of a tick each */
  MODEL_NAME_SIZE = 32
};

typedef struct relay_model relay_model_t;

/* A distribution of times.  */
typedef struct model_times
{
  uint64_t buckets[MODEL_BUCKETS];
  uint64_t count;
} model_times_t;

/* Sums behind a relay_model_outcome_t.  */
typedef struct model_tally
{
  uint64_t requests;
  uint64_t on_time;
  uint64_t late;
  uint64_t refused;
  uint64_t broken;
  uint64_t attempts;
  model_times_t refusals;
} model_tally_t;

/* A client's request, from its first arrival to its end.  */
typedef struct model_request
{
  TAILQ_ENTRY (model_request)
  link; /* of an upstream, of those that an upstream has declined, or of the
           clients that will return */
  queued_request_t queued; /* in RELAY's queue */
  struct model_relay *relay;
  struct model_upstream *upstream; /* NULL until placed */
  fleet_request_t criteria;
  fleet_choice_t choice; /* valid while it is at UPSTREAM */
  unsigned class_index;
  unsigned account;
  unsigned urgency;     /* in the engine's queue; 0 first */
  uint64_t started_ms;  /* first arrival */
  uint64_t arrived_ms;  /* at RELAY */
  uint64_t deadline_ms; /* of the client */
  bool has_waited;      /* at RELAY */
  uint64_t sent_ms;     /* to the upstream */
  uint64_t returns_ms;  /* when a refused client returns */
  bool has_returned;
  bool is_refused; /* for good */
  bool is_counted;
  unsigned sent_attempts;
  unsigned event_count; /* received from UPSTREAM */
  /* Time at an upstream without passes.  */
  uint64_t work_ms;
  uint64_t ends_ms;
  /* Cost at an engine: known to the engine and to the oracle only.  */
  unsigned events_left;
  double unread_tokens;
  double reading_tokens; /* in the pass under way */
  double context_tokens;
  double first_event_ms; /* 0 until it has come */
  double last_event_ms;
  double longest_gap_ms;
} model_request_t;

TAILQ_HEAD (model_requests, model_request);
typedef struct model_requests model_requests_t;

typedef struct model_relay
{
  fleet_t *fleet;
  retry_budget_t *budget;
  unsigned index;
  char zone[MODEL_NAME_SIZE];
  double weight; /* relative to the mean */
  client_timeouts_t *client_timeouts;
  request_queue_t *queue;
  unsigned queued_count;
} model_relay_t;

typedef struct model_upstream
{
  char id[MODEL_NAME_SIZE];
  char address[MODEL_NAME_SIZE];
  unsigned index;
  struct model_group *group;
  double speed; /* costs relative to the normal ones */
  model_requests_t running;
  model_requests_t queued; /* by urgency, then arrival */
  unsigned running_count;
  unsigned queued_count;
  fleet_report_t reports[MODEL_REPORT_RING];
  uint64_t load_sum; /* of running and queued requests, by tick */
} model_upstream_t;

/* Upstreams that execute their passes together.  */
typedef struct model_group
{
  char name[MODEL_NAME_SIZE];
  model_upstream_t *ranks;
  unsigned rank_count;
  bool is_open;
  double pace; /* time of a pass relative to the normal one */
  uint64_t epoch;
  uint64_t passes;
  double pass_ends_ms; /* 0 without a pass */
} model_group_t;

/* How upstreams run requests.  */
typedef struct model_engine_ops
{
  /* Draws the cost of REQUEST.  */
  void (*draw_cost) (relay_model_t *model, model_request_t *request);
  /* Returns the mean time for which a request takes a slot.  */
  double (*slot_ms) (const relay_model_t *model);
  /* Returns whether UPSTREAM has taken REQUEST.  */
  bool (*accept) (relay_model_t *model, model_upstream_t *upstream,
                  model_request_t *request);
  /* Runs all upstreams up to the present.  */
  void (*run) (relay_model_t *model);
  fleet_report_t (*report) (const relay_model_t *model,
                            const model_upstream_t *upstream);
} model_engine_ops_t;

extern const model_engine_ops_t fixed_time_ops; /* without passes */
extern const model_engine_ops_t lock_step_ops;

struct relay_model
{
  relay_model_options_t options;
  relay_model_scenario_t scenario; /* of the options, or the default */
  const model_engine_ops_t *engine_ops;
  clock_source_t *clock;
  uint64_t now_ms;
  uint64_t random_state;
  rules_t *rules;
  model_relay_t *relays;
  model_upstream_t *upstreams;
  model_group_t *groups;
  unsigned group_count;
  unsigned zone_count;
  model_requests_t declined;  /* by upstreams, which the relays don't know */
  model_requests_t returning; /* clients that were refused */
  uint64_t *idle_since_ms;    /* by relay and upstream; 0 for no connection */
  bool is_down;               /* the power failure lasts */
  model_times_t waits;
  model_times_t first_events;
  model_times_t gaps;
  double busiest_work_sum; /* by sample */
  unsigned work_samples;
  model_tally_t all;
  model_tally_t classes[RELAY_MODEL_MAX_CLASSES];
  model_tally_t first_account;
  model_tally_t other_accounts;
  uint64_t sent_at_once;
  uint64_t declined_attempts;
  uint64_t new_connections;
  uint64_t choices;
  uint64_t reports;
  int64_t choice_ns;
  int64_t report_ns;
  struct
  {
    uint64_t sweeps;
    uint64_t requests;
    int64_t ns;
  } queue_times[RELAY_MODEL_QUEUE_RANGES];
};

/* relay_model.c */
double model_random (relay_model_t *model);
double model_random_normal (relay_model_t *model);
bool model_span_covers (const relay_model_span_t *span, uint64_t now_ms);
struct timespec model_time (uint64_t at_ms);
const route_t *model_route (const relay_model_t *model, unsigned class_index);
int64_t model_processor_ns (void);

/* Engines (relay_model_engine.c).  A group that is closed loses its
   requests.  */
void model_group_set_open (relay_model_t *model, model_group_t *group,
                           bool is_open);

/* Work of requests at engines (relay_model_work.c).  */
double model_engine_read_ms (const relay_model_engine_t *engine, double tokens,
                             double prompt_tokens);
double model_engine_write_ms (const relay_model_engine_t *engine,
                              double context_tokens);
/* RELAY may be NULL.  */
double model_expected_ms (const relay_model_t *model,
                          const model_upstream_t *upstream,
                          const model_relay_t *relay, double prompt_tokens);
void model_sample_work (relay_model_t *model);

/* Policies that read the state of MODEL (pick_model.c).  */
void model_observe (const relay_model_t *model);

/* Relays (relay_model_relay.c).  */
void model_create_relay (relay_model_t *model, model_relay_t *relay);
void model_destroy_relay (model_relay_t *relay);
/* Count whether REQUEST, which is sent, needs a new connection.  */
void model_count_connection (relay_model_t *model,
                             const model_request_t *request);
/* REQUEST has got an event from its upstream.  */
void model_record_event (model_request_t *request);
/* The attempt of REQUEST has ended.  */
void model_finish_attempt (relay_model_t *model, model_request_t *request,
                           fleet_result_t result);

/* The way of a request through a relay (relay_model_forward.c).  */
void model_relay_receive (relay_model_t *model, model_relay_t *relay,
                          model_request_t *request);
void model_relay_retry (relay_model_t *model, model_relay_t *relay);
void model_relay_lose_queued (relay_model_t *model, model_relay_t *relay);
void model_run_declined (relay_model_t *model);

/* Clients (relay_model_clients.c).  */
void model_run_arrivals (relay_model_t *model);
void model_refuse (relay_model_t *model, model_request_t *request,
                   int64_t retry_after_ms);
/* The request has ended.  It is freed.  */
void model_end_request (relay_model_t *model, model_request_t *request,
                        bool is_complete);
void model_lose_request (relay_model_t *model, model_request_t *request);

/* Results (relay_model_result.c).  */
/* An upstream begins to run REQUEST.  */
void model_record_start (relay_model_t *model, const model_request_t *request);
void model_count_request (relay_model_t *model,
                          const model_request_t *request);
void model_count_refusal (relay_model_t *model,
                          const model_request_t *request);
void model_count_end (relay_model_t *model, const model_request_t *request,
                      bool is_complete);
relay_model_result_t model_result (const relay_model_t *model);

#endif
