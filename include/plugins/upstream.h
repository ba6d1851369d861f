#ifndef SISKIN_PLUGINS_UPSTREAM_H
#define SISKIN_PLUGINS_UPSTREAM_H

#include "kernel/pool.h"
#include "kernel/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/* Connection of an agent to its upstream.  It belongs to one worker.  */
typedef struct upstream_transport upstream_transport_t;
typedef struct upstream_call upstream_call_t;

typedef struct upstream_request
{
  const char *method;
  const char *path;
  const char *content_type;
  const char *body;
  size_t body_size;
  struct timespec timeout; /* of the complete call */
  /* No layer below may send the request again: not the transport and not its
     HTTP client.  */
  bool must_not_resend;
  const char *key; /* idempotency key to forward; "" if there is none */
} upstream_request_t;

typedef struct upstream_call_ops
{
  void (*on_head) (unsigned http_status, const char *content_type, void *data);
  /* Return false to pause the call; the same bytes are delivered again after
     proceed.  */
  bool (*on_data) (const char *bytes, size_t size, void *data);
  /* Last callback of a call, which is freed when it returns.  MAY_HAVE_RUN is
     false only if no byte of the request was sent.  */
  void (*on_done) (status_t status, bool may_have_run, void *data);
} upstream_call_ops_t;

/* Status that an upstream reports to its agent when probed.  */
typedef struct upstream_report
{
  const char *incarnation; /* changes at each restart; "" if not reported */
  bool is_cold;
  bool has_running; /* RUNNING was reported */
  uint64_t running; /* requests in progress */
} upstream_report_t;

/* REPORT is valid during the call.  It is NULL unless STATUS is STATUS_OK, or
   if the upstream responds but does not support reports.  */
typedef void (*upstream_probe_done_t) (status_t status,
                                       const upstream_report_t *report,
                                       void *data);

typedef struct upstream_ops
{
  upstream_transport_t *(*create) (worker_t *worker, const char *url);
  void (*destroy) (upstream_transport_t *transport);
  /* Start a call.  Returns NULL if it could not be started; nothing was sent
     then.  */
  upstream_call_t *(*start) (upstream_transport_t *transport,
                             const upstream_request_t *request,
                             const upstream_call_ops_t *ops, void *data);
  /* Cancel CALL and free it; no callback runs afterwards.  */
  void (*cancel) (upstream_call_t *call);
  /* Resume delivery after on_data has returned false.  */
  void (*proceed) (upstream_call_t *call);
  /* Request a report; DONE runs from the event loop unless the transport is
     destroyed first.  This function pointer is NULL if the protocol has no
     such request.  */
  status_t (*probe) (upstream_transport_t *transport, struct timespec timeout,
                     upstream_probe_done_t done, void *data);
  /* Keep an idle connection open, so that a restart of the upstream is
     detected at once by its closing.  ON_BROKEN runs once from the event loop,
     unless the transport is destroyed first; the watch is freed afterwards.
     This function pointer is NULL if the transport cannot detect that.  */
  status_t (*watch) (upstream_transport_t *transport,
                     void (*on_broken) (void *data), void *data);
} upstream_ops_t;

#endif
