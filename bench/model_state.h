#ifndef SISKIN_BENCH_MODEL_STATE_H
#define SISKIN_BENCH_MODEL_STATE_H

#include "agent/gate.h"
#include "bench/model.h"
#include "common/settings.h"
#include "entry/router.h"
#include "kernel/clock.h"

#include <sys/queue.h>

enum
{
  MODEL_MAX_SECONDS = 600,
  MODEL_NAME_BYTES = 16,
  MODEL_BLOCK_TOKENS = 64,
  MODEL_MAX_BLOCKS = PICK_MAX_PREFIX_BLOCKS,
  MODEL_COLD_REQUESTS = 2,
  MODEL_COLD_US = 15000000,
  MODEL_DEADLINE_US = 60000000
};

typedef struct model_entry model_entry_t;
typedef struct model_upstream model_upstream_t;
typedef void (*model_handler_t) (model_t *model, void *data);

typedef struct model_event
{
  int64_t at_us;
  uint64_t order; /* among events of the same time */
  model_handler_t handler;
  void *data;
} model_event_t;

typedef struct model_request
{
  LIST_ENTRY (model_request) open_link;    /* of all that have not ended */
  LIST_ENTRY (model_request) running_link; /* on the upstream */
  gate_work_t work;
  model_entry_t *entry;
  model_upstream_t *upstream; /* where it was sent, or NULL */
  unsigned attempt;
  unsigned account;
  unsigned model_index;
  size_t sample; /* index */
  int64_t arrived_us;
  int64_t deadline_us;
  uint64_t prompt_tokens;
  uint64_t output_tokens;
  uint64_t blocks[MODEL_MAX_BLOCKS];
  size_t block_count;
  router_request_t route;
  struct timespec first_token; /* from its start */
  double first_target; /* progress of the upstream at the first token */
  double end_target;
  bool has_first;
  bool is_running;
  bool is_ended;
} model_request_t;

/* The blocks that an upstream's prefix cache holds, the latest used last.  */
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
  double progress; /* token steps since the start */
  int64_t progress_us;
  uint64_t generation; /* of the next progress event */
  int64_t cold_until_us;
  bool is_failed;
  model_cache_t *cache;
  unsigned *linked_entries;
  size_t linked_count;
  double load_integral; /* running requests times microseconds */
  double second_load[MODEL_MAX_SECONDS];
};

struct model_entry
{
  unsigned index;
  unsigned zone;
  router_t *router;
};

typedef struct model_conversation
{
  uint64_t blocks[MODEL_MAX_BLOCKS];
  size_t count;
} model_conversation_t;

struct model
{
  model_options_t options;
  clock_source_t *clock;
  int64_t now_us;
  uint64_t workload_random;
  uint64_t fate_random;
  model_event_t *events; /* a heap */
  size_t event_count;
  size_t event_room;
  uint64_t next_order;
  uint64_t revision;
  uint64_t zones_out; /* a bit for each */
  settings_t *settings;
  model_upstream_t *upstreams;
  model_entry_t *entries;
  LIST_HEAD (, model_request) open;
  model_conversation_t *conversations;
  size_t conversation_count;
  double arrivals_per_us;
  double account_weight;
  model_sample_t *samples;
  size_t sample_count;
  size_t sample_room;
  uint64_t prompt_tokens;
  uint64_t cached_tokens;
  uint64_t cold_over;
  uint64_t retries;
  uint64_t reroutes;
  double *decisions;
  size_t decision_count;
  size_t decision_room;
};

void model_post (model_t *model, int64_t delay_us, model_handler_t handler,
                 void *data);
bool model_next (model_t *model, model_event_t *event);
uint64_t model_draw (uint64_t *state);
uint64_t model_random (model_t *model);
double model_random_unit (model_t *model);

settings_t *model_settings (model_t *model);
void model_apply_settings (model_t *model);

void fleet_create (model_t *model);
double fleet_capacity (const model_t *model);
void fleet_offer (model_t *model, model_request_t *request);
void fleet_cancel (model_t *model, model_request_t *request);
void fleet_start_ready (model_t *model, model_upstream_t *upstream);
void fleet_restart (model_t *model, model_upstream_t *upstream, bool is_lost);
size_t fleet_cached_blocks (const model_upstream_t *upstream,
                            const uint64_t *blocks, size_t count);

void model_report_to (model_t *model, const model_upstream_t *upstream,
                      model_entry_t *entry);
int64_t model_distance_us (const model_entry_t *entry,
                           const model_upstream_t *upstream);
void model_first_token (model_t *model, model_request_t *request);
void model_end (model_t *model, model_request_t *request, bool is_whole);
void model_refused (model_t *model, model_request_t *request,
                    refusal_t refusal);
void model_retry (model_t *model, model_request_t *request, refusal_t refusal,
                  bool is_lost);
void model_note_cached (model_t *model, model_upstream_t *upstream,
                        const uint64_t *blocks, size_t count, bool is_stored);
void perfect_know (const model_t *model);
void workload_create (model_t *model);
void workload_fill (model_t *model, model_request_t *request);

#endif
