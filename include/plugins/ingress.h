#ifndef SISKIN_PLUGINS_INGRESS_H
#define SISKIN_PLUGINS_INGRESS_H

#include "common/http_header.h"
#include "common/rules.h"
#include "kernel/pool.h"
#include "relay/request.h"

#include <stdbool.h>
#include <stdint.h>

/* An ingress turns clients' messages into relay requests, and the answers
   back. Everything belongs to one worker.  */
typedef struct relay_worker relay_worker_t;
typedef struct ingress ingress_t;
typedef struct forward forward_t;

typedef struct ingress_ops
{
  /* Serve clients at ADDRESS on WORKER, that of SHARE; NULL with the status
     message set.  *PORT is 0 for a free port and set to the one taken.  */
  ingress_t *(*create) (relay_worker_t *share, worker_t *worker,
                        const char *address, uint16_t *port);
  void (*set_limits) (ingress_t *ingress, const client_limits_t *limits);
  /* Ask clients to take their next request elsewhere.  */
  void (*start_closing) (ingress_t *ingress);
  void (*stop_listening) (ingress_t *ingress);
  void (*close_idle) (ingress_t *ingress);
  /* Requests that are being received or answered.  */
  unsigned (*open_count) (const ingress_t *ingress);
  void (*destroy) (ingress_t *ingress);
} ingress_ops_t;

/* The start of an answer to a client.  */
typedef struct forward_head
{
  unsigned http_status;
  const http_headers_t *headers; /* end to end ones only */
  bool has_length;
  uint64_t length; /* of the whole body */
} forward_head_t;

/* How a forward tells its ingress of the answer: once on_head, then on_data,
   then on_end; or once on_failure.  */
typedef struct forward_ops
{
  void (*on_head) (forward_t *forward, const forward_head_t *head, void *data);
  void (*on_data) (forward_t *forward, const char *bytes, size_t size,
                   void *data);
  /* The forward is freed afterwards.  Not IS_COMPLETE: the answer broke off
     and must not look whole.  */
  void (*on_end) (forward_t *forward, bool is_complete, void *data);
  /* RETRY_AFTER is zero for no advice.  The forward is freed afterwards.  */
  void (*on_failure) (forward_t *forward, relay_failure_t failure,
                      struct timespec retry_after, void *data);
} forward_ops_t;

/* REQUEST belongs to the ingress and outlives the forward.  Returns NULL when
   memory is exhausted; callbacks may run before it returns.  */
forward_t *forward_start (relay_worker_t *share,
                          const relay_request_t *request,
                          const forward_ops_t *ops, void *data);
/* The client is gone; no callback follows and the forward is freed.  */
void forward_cancel (forward_t *forward);
/* The client has taken data; PENDING bytes are left to be sent.  */
void forward_note_pending (forward_t *forward, size_t pending);

#endif
