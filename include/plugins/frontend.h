#ifndef SISKIN_PLUGINS_FRONTEND_H
#define SISKIN_PLUGINS_FRONTEND_H

#include "common/frame.h"
#include "common/outcome.h"
#include "kernel/status.h"
#include "plugins/pick.h"

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* A front end turns a caller's protocol into typed calls.  Everything belongs
   to one worker.  */
typedef struct entry_worker entry_worker_t;
typedef struct frontend frontend_t;
typedef struct call call_t;

typedef struct frontend_ops
{
  /* Serve the entry's address on the worker of SHARE.  *PORT is 0 for a free
     port and set to the one taken.  */
  frontend_t *(*create) (entry_worker_t *share, const char *address,
                         uint16_t *port);
  void (*stop_listening) (frontend_t *frontend);
  unsigned (*open_count) (const frontend_t *frontend);
  void (*destroy) (frontend_t *frontend);
} frontend_ops_t;

/* A request as the rest of the entry sees it; copied by call_submit.  */
typedef struct call_request
{
  const char *account;
  const char *service;
  const char *model;
  const char *method;
  const char *path;
  const char *content_type;
  const char *key; /* idempotency key, "" for none */
  bool is_repeatable;
  struct timespec deadline; /* from now */
  uint64_t prompt_tokens;
  uint64_t output_tokens;
  const uint64_t *prefix_blocks;
  size_t prefix_block_count;
  blob_t body;
} call_request_t;

typedef struct call_result
{
  outcome_t outcome;
  refusal_t refusal;
  bool is_complete;
  uint64_t retry_after_ms;
  const char *detail;
} call_result_t;

typedef struct call_ops
{
  void (*on_head) (call_t *call, unsigned http_status,
                   const char *content_type, void *data);
  void (*on_data) (call_t *call, const char *bytes, size_t size, void *data);
  /* The call is freed afterwards.  */
  void (*on_end) (call_t *call, const call_result_t *result, void *data);
} call_ops_t;

call_t *call_submit (entry_worker_t *share, const call_request_t *request,
                     const call_ops_t *ops, void *data);
void call_cancel (call_t *call);
void call_set_pending_bytes (call_t *call, uint64_t pending_bytes);
request_id_t call_id (const call_t *call);

#endif
