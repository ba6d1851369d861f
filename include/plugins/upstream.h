#ifndef SISKIN_PLUGINS_UPSTREAM_H
#define SISKIN_PLUGINS_UPSTREAM_H

#include "kernel/pool.h"
#include "kernel/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/* The way from an agent to its upstream, on one worker.  */
typedef struct upstream_transport upstream_transport_t;
typedef struct upstream_call upstream_call_t;

typedef struct upstream_request
{
  const char *method;
  const char *path;
  const char *content_type;
  const char *body;
  size_t body_size;
  struct timespec timeout;
  bool is_sent_once; /* must not be sent a second time by any layer */
  const char *key;   /* idempotency key to pass on, "" for none */
} upstream_request_t;

typedef struct upstream_call_ops
{
  void (*on_head) (unsigned http_status, const char *content_type, void *data);
  /* Returns false to pause; the same bytes come again after continue.  */
  bool (*on_data) (const char *bytes, size_t size, void *data);
  /* The call ended and is gone.  MAY_HAVE_RUN is false only when no byte of
     the request left this process.  */
  void (*on_done) (status_t status, bool may_have_run, void *data);
} upstream_call_ops_t;

/* How an upstream says that it is.  */
typedef struct upstream_report
{
  const char *incarnation; /* "" when it names none */
  bool is_cold;
  bool has_running;
  uint64_t running; /* requests that it has */
} upstream_report_t;

/* REPORT is NULL when STATUS is not STATUS_OK or the upstream lives but gives
   no reports; it is valid during the call.  */
typedef void (*upstream_probe_done_t) (status_t status,
                                       const upstream_report_t *report,
                                       void *data);

typedef struct upstream_ops
{
  upstream_transport_t *(*create) (worker_t *worker, const char *url);
  void (*destroy) (upstream_transport_t *transport);
  /* NULL when the call cannot start; nothing was sent then.  */
  upstream_call_t *(*start) (upstream_transport_t *transport,
                             const upstream_request_t *request,
                             const upstream_call_ops_t *ops, void *data);
  void (*cancel) (upstream_call_t *call);
  void (*proceed) (upstream_call_t *call);
  /* Ask for a report; DONE runs from the loop unless the transport is
     destroyed before.  NULL when there is no way to ask.  */
  status_t (*probe) (upstream_transport_t *transport, struct timespec timeout,
                     upstream_probe_done_t done, void *data);
  /* Hold a connection that no request uses, so that its end tells at once of a
     restart.  ON_BROKEN runs once from the loop, unless the transport is
     destroyed before; then the watch is gone.  NULL when there is none.  */
  status_t (*watch) (upstream_transport_t *transport,
                     void (*on_broken) (void *data), void *data);
} upstream_ops_t;

#endif
