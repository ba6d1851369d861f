#ifndef SISKIN_PLUGINS_FRONTEND_H
#define SISKIN_PLUGINS_FRONTEND_H

#include "common/frame.h"
#include "common/outcome.h"
#include "kernel/status.h"
#include "plugins/pick.h"

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* A front end converts requests of a client protocol into typed calls.  All
   objects belong to one worker.  */
typedef struct entry_worker entry_worker_t;
typedef struct frontend frontend_t;
typedef struct call call_t;

typedef struct frontend_ops
{
  /* Listen on ADDRESS on the worker of ENTRY_WORKER.  PORT is both input and
     output.  Input: if *PORT is not 0, it is used instead of the port in
     ADDRESS.  Output: the port listened on.  If both are 0, a free port is
     chosen.  Returns NULL on failure.  */
  frontend_t *(*create) (entry_worker_t *entry_worker, const char *address,
                         uint16_t *port);
  /* Stop accepting connections; open requests continue.  */
  void (*stop_listening) (frontend_t *frontend);
  /* Return the number of open requests.  */
  unsigned (*open_count) (const frontend_t *frontend);
  void (*destroy) (frontend_t *frontend);
} frontend_ops_t;

/* A client request without its protocol encoding; copied by call_submit.  */
typedef struct call_request
{
  const char *account;
  const char *service;
  const char *model;
  const char *method;
  const char *path; /* including the query string */
  const char *content_type;
  const char *key;               /* idempotency key; "" if there is none */
  bool is_repeatable;            /* may run more than once */
  struct timespec deadline;      /* time allowed, from the submission on */
  uint64_t prompt_tokens;        /* estimate */
  uint64_t output_tokens;        /* estimate of the maximum */
  const uint64_t *prefix_blocks; /* as in pick_request_t */
  size_t prefix_block_count;
  blob_t body;
} call_request_t;

typedef struct call_result
{
  outcome_t outcome;
  refusal_t refusal;
  bool is_complete;        /* the complete response was forwarded */
  uint64_t retry_after_ms; /* suggested delay before a retry */
  const char *detail;      /* error message, or NULL */
} call_result_t;

typedef struct call_ops
{
  void (*on_head) (call_t *call, unsigned http_status,
                   const char *content_type, void *data);
  void (*on_data) (call_t *call, const char *bytes, size_t size, void *data);
  /* Last callback of a call, which is freed when it returns.  */
  void (*on_end) (call_t *call, const call_result_t *result, void *data);
} call_ops_t;

/* Start a call.  Returns NULL when memory is exhausted.  */
call_t *call_submit (entry_worker_t *entry_worker,
                     const call_request_t *request, const call_ops_t *ops,
                     void *data);
/* Cancel CALL and free it; no callback runs afterwards.  */
void call_cancel (call_t *call);
/* Flow control: of the response bytes that on_data of CALL has received so
   far, the last PENDING_BYTES are still to be sent to the client, and all
   before them have been sent.  The agent then sends more of the response and
   frees what was sent.  */
void call_set_pending_bytes (call_t *call, uint64_t pending_bytes);
request_id_t call_id (const call_t *call);

#endif
