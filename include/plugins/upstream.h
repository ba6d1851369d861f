#ifndef SISKIN_PLUGINS_UPSTREAM_H
#define SISKIN_PLUGINS_UPSTREAM_H

#include "kernel/pool.h"
#include "kernel/status.h"

#include <stdbool.h>
#include <stddef.h>
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
} upstream_ops_t;

#endif
