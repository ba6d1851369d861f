#ifndef SISKIN_BENCH_MODEL_H
#define SISKIN_BENCH_MODEL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* A model of entries and agents, which run the product's own router and gate
   with any of their policies, before upstreams that are simple service-time
   models.  It runs on a virtual clock; the same options give the same run.  */
typedef struct model model_t;

typedef struct model_options
{
  const char *pick;
  const char *admission;
  const char *order;
  unsigned zones;
  unsigned entries;
  unsigned upstreams;
  unsigned models;
  unsigned accounts;
  unsigned maximum_requests; /* a warm upstream's limit */
  double load;               /* part of what the fleet bears */
  double hog_factor;         /* account 0 offers this many times its share */
  bool has_conversations;    /* prompts share prefixes */
  int64_t report_ms;         /* between load reports */
  int64_t cache_event_ms;    /* delay of cache events; 0 for none */
  unsigned cache_loss_percent;
  int64_t ramp_ms;    /* until the full load is offered */
  int64_t warm_up_ms; /* not counted */
  int64_t duration_ms;
  uint64_t seed;
} model_options_t;

/* One request.  */
typedef struct model_sample
{
  int64_t arrived_ms;
  int64_t first_ms; /* to the first token; -1 for none */
  int64_t ended_ms;
  unsigned account;
  uint64_t output_tokens;
  bool is_whole; /* the answer came whole and in time */
  bool is_refused;
  bool is_lost; /* cut off or of unknown outcome */
} model_sample_t;

typedef struct model_result
{
  const model_sample_t *samples;
  size_t count;
  uint64_t prompt_tokens;
  uint64_t cached_tokens;
  double hottest_ratio; /* busiest upstream's mean load to the mean of all */
  uint64_t cold_over;   /* starts above what a cold upstream bears */
  uint64_t retries;
  uint64_t reroutes;
  double decision_us; /* median of router_choose on this machine */
} model_result_t;

typedef enum model_change
{
  MODEL_ZONE_OUT, /* by the operators */
  MODEL_ZONE_BACK,
  MODEL_ZONE_BACK_COLD, /* all its upstreams were restarted */
  MODEL_ZONE_FAILS,     /* unannounced; all in it is lost */
  MODEL_ZONE_RECOVERS   /* cold */
} model_change_t;

model_options_t model_options_today (void);
model_t *model_create (TALLOC_CTX *parent, const model_options_t *options);
void model_destroy (model_t *model);
void model_change_at (model_t *model, int64_t at_ms, model_change_t change,
                      unsigned zone);
void model_run (model_t *model);
void model_result (model_t *model, model_result_t *result);
double model_imbalance (const model_t *model, int64_t second);

int64_t model_first_token_ms (const model_result_t *result, unsigned percent,
                              int64_t from_ms, int64_t to_ms,
                              int excluded_account);
double model_goodput (const model_result_t *result, int64_t from_ms,
                      int64_t to_ms);

#endif
