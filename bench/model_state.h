#ifndef SISKIN_BENCH_MODEL_STATE_H
#define SISKIN_BENCH_MODEL_STATE_H

#include "agent/gate.h"
#include "bench/model.h"
#include "common/settings.h"
#include "entry/router.h"
#include "kernel/clock.h"

#include <sys/queue.h>

/* Internal state of the simulation, shared by its source files.  */

enum
{
  MODEL_MAX_SECONDS = 600, /* for which the load is recorded */
  MODEL_NAME_BYTES = 16,
  MODEL_BLOCK_TOKENS = 64, /* of a prefix cache block */
  MODEL_MAX_BLOCKS = PICK_MAX_PREFIX_BLOCKS,
  MODEL_COLD_MAX_REQUESTS = 2, /* more overload a cold upstream */
  MODEL_COLD_START_US = 15000000,
  MODEL_CLIENT_TIMEOUT_US = 60000000
};

typedef struct model_entry model_entry_t;
typedef struct model_upstream model_upstream_t;
typedef void (*model_handler_t) (model_t *model, void *data);

typedef struct model_event
{
  int64_t at_us;
  uint64_t sequence; /* order of events with the same time */
  model_handler_t handler;
  void *data;
} model_event_t;

typedef struct model_request
{
  LIST_ENTRY (model_request) unfinished_link; /* in the model */
  LIST_ENTRY (model_request) running_link;    /* in the upstream */
  gate_work_t work;
  model_entry_t *entry;
  model_upstream_t *upstream; /* that it was sent to, or NULL */
  unsigned attempt;           /* number of upstreams it was sent to */
  unsigned account;
  unsigned model_index;
  size_t sample; /* index of its model_sample_t */
  int64_t arrived_us;
  int64_t deadline_us;
  uint64_t prompt_tokens;
  uint64_t output_tokens;
  uint64_t blocks[MODEL_MAX_BLOCKS]; /* hashes of the prompt's blocks */
  size_t block_count;
  router_request_t route;
  struct timespec first_token_delay; /* since it was started */
  /* Values of the upstream's progress at the first and the last token.  */
  double first_token_target;
  double end_target;
  bool has_first_token;
  bool is_running;
  bool is_ended;
} model_request_t;

/* Prefix cache of an upstream, with least-recently-used eviction.  */
typedef struct model_cache model_cache_t;

struct model_upstream
{
  char name[MODEL_NAME_BYTES];
  unsigned index;
  unsigned zone;
  unsigned model_index;
  gate_t *gate;
  LIST_HEAD (, model_request) running;
  unsigned running_count;
  uint64_t running_tokens;
  double progress;     /* decoding steps executed, one token per stream each */
  int64_t progress_us; /* when PROGRESS was last updated */
  uint64_t generation; /* progress events of an older one are ignored */
  int64_t cold_until_us;
  bool is_failed; /* its zone has failed */
  model_cache_t *cache;
  unsigned *linked_entries; /* indices of the entries connected to it */
  size_t linked_count;
  double load_integral; /* running requests times microseconds */
  double load_per_second[MODEL_MAX_SECONDS]; /* the same for each second */
};

struct model_entry
{
  unsigned index;
  unsigned zone;
  router_t *router;
};

/* The prompt of a conversation, which grows with each turn.  */
typedef struct model_conversation
{
  uint64_t blocks[MODEL_MAX_BLOCKS]; /* hashes */
  size_t count;
} model_conversation_t;

struct model
{
  model_options_t options;
  clock_source_t *clock;
  int64_t now_us;
  /* State of the random numbers for the requests, which must not depend on the
     policies, and of those for delays and losses.  */
  uint64_t workload_random;
  uint64_t environment_random;
  model_event_t *events; /* binary heap, the earliest first */
  size_t event_count;
  size_t event_capacity;
  uint64_t next_sequence;
  uint64_t revision;  /* of the settings */
  uint64_t zones_out; /* bit mask by zone */
  settings_t *settings;
  model_upstream_t *upstreams;
  model_entry_t *entries;
  LIST_HEAD (, model_request) unfinished;
  model_conversation_t *conversations; /* by account */
  size_t conversation_count;
  double arrivals_per_us;      /* at full load */
  double total_account_weight; /* the weight of accounts but 0 is 1 */
  model_sample_t *samples;
  size_t sample_count;
  size_t sample_capacity;
  /* The following are as in model_result_t.  */
  uint64_t prompt_tokens;
  uint64_t cached_tokens;
  uint64_t cold_excess;
  uint64_t retries;
  uint64_t reroutes;
  double *decision_times_us;
  size_t decision_count;
  size_t decision_capacity;
};

void model_schedule (model_t *model, int64_t delay_us, model_handler_t handler,
                     void *data);
bool model_pop_event (model_t *model, model_event_t *event);
uint64_t splitmix64_next (uint64_t *state);
uint64_t model_random (model_t *model);
double model_random_unit (model_t *model);

settings_t *model_settings (model_t *model);
void model_apply_settings (model_t *model);

void fleet_create (model_t *model);
double fleet_capacity (const model_t *model);
void fleet_offer_request (model_t *model, model_request_t *request);
void fleet_cancel_request (model_t *model, model_request_t *request);
void fleet_start_ready (model_t *model, model_upstream_t *upstream);
void fleet_restart (model_t *model, model_upstream_t *upstream, bool is_lost);
size_t fleet_cached_blocks (const model_upstream_t *upstream,
                            const uint64_t *blocks, size_t count);

void model_send_report (model_t *model, const model_upstream_t *upstream,
                        model_entry_t *entry);
int64_t model_network_delay_us (const model_entry_t *entry,
                                const model_upstream_t *upstream);
void model_record_first_token (model_t *model, model_request_t *request);
void model_end_request (model_t *model, model_request_t *request,
                        bool is_complete);
void model_refuse_request (model_t *model, model_request_t *request,
                           refusal_t refusal);
void model_retry_request (model_t *model, model_request_t *request,
                          refusal_t refusal, bool is_lost);
void model_send_cache_event (model_t *model, model_upstream_t *upstream,
                             const uint64_t *blocks, size_t count,
                             bool is_stored);
void perfect_set_model (const model_t *model);
void workload_create (model_t *model);
void workload_draw_request (model_t *model, model_request_t *request);

#endif
