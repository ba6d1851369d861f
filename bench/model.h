#ifndef SISKIN_BENCH_MODEL_H
#define SISKIN_BENCH_MODEL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* Discrete-event simulation of a fleet.  Entries and agents run the production
   router and gate with any of their policies; networks, upstreams and clients
   are simulated, an upstream by a simple service-time model.  Time is virtual,
   and the same options always give the same run.  */
typedef struct model model_t;

typedef struct model_options
{
  const char *pick;      /* name of the policy that chooses an upstream */
  const char *admission; /* name of the admission policy */
  const char *order;     /* name of the queueing policy */
  unsigned zones;
  unsigned entries;
  unsigned upstreams;
  unsigned models;
  unsigned accounts;
  unsigned maximum_requests; /* concurrent, on a warm upstream */
  double load;            /* offered, as a fraction of the fleet's capacity */
  double flood_factor;    /* account 0 offers its share times this */
  bool has_conversations; /* prompts continue earlier ones */
  int64_t report_interval_ms;   /* of load reports */
  int64_t cache_event_delay_ms; /* 0: no cache events are sent */
  unsigned cache_loss_percent;  /* of cache events */
  int64_t ramp_ms;              /* the offered load rises to LOAD */
  int64_t warm_up_ms;           /* before the measurement starts */
  int64_t duration_ms;
  uint64_t seed;
} model_options_t;

/* Outcome of one request.  Times are measured from the start of the run unless
   noted.  */
typedef struct model_sample
{
  int64_t arrived_ms;
  int64_t first_token_ms; /* from the arrival; -1 if there was none */
  int64_t ended_ms;
  unsigned account;
  uint64_t output_tokens;
  bool is_complete; /* complete response before the deadline */
  bool is_refused;  /* or got no response by its deadline */
  bool is_lost;     /* truncated or of unknown outcome */
} model_sample_t;

typedef struct model_result
{
  const model_sample_t *samples; /* owned by the model */
  size_t count;                  /* of samples */
  uint64_t prompt_tokens;
  uint64_t cached_tokens;
  /* Highest mean load of an upstream divided by the mean of all.  */
  double overall_imbalance;
  /* Requests started on a cold upstream above its limit in cold start.  */
  uint64_t cold_excess;
  uint64_t retries;   /* limited by the retry budget */
  uint64_t reroutes;  /* away from upstreams that are taken out of service */
  double decision_us; /* median real time of router_choose */
} model_result_t;

/* Change of an availability zone.  The first three are made by the operators
   through the settings, the last two are an unannounced failure.  */
typedef enum model_change
{
  MODEL_ZONE_OUT,
  MODEL_ZONE_BACK,
  MODEL_ZONE_BACK_COLD, /* its upstreams were restarted while it was out */
  MODEL_ZONE_FAILS,     /* the requests on its upstreams are lost */
  MODEL_ZONE_RECOVERS   /* its upstreams are restarted and cold */
} model_change_t;

model_options_t model_options_default (void);
model_t *model_create (TALLOC_CTX *parent, const model_options_t *options);
void model_destroy (model_t *model);
void model_schedule_change (model_t *model, int64_t at_ms,
                            model_change_t change, unsigned zone);
void model_run (model_t *model);
void model_result (model_t *model, model_result_t *result);
double model_imbalance (const model_t *model, int64_t second);

int64_t model_first_token_percentile_ms (const model_result_t *result,
                                         unsigned percentile, int64_t from_ms,
                                         int64_t to_ms, int excluded_account);
double model_goodput (const model_result_t *result, int64_t from_ms,
                      int64_t to_ms);

#endif
