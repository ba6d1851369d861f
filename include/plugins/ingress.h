#ifndef SISKIN_PLUGINS_INGRESS_H
#define SISKIN_PLUGINS_INGRESS_H

#include "common/http_header.h"
#include "common/rules.h"
#include "kernel/pool.h"
#include "relay/request.h"

#include <stdbool.h>
#include <stdint.h>

/* An ingress decodes clients' messages into relay requests and encodes the
   responses.  Everything belongs to one worker.  */
typedef struct relay_worker relay_worker_t;
typedef struct ingress ingress_t;
typedef struct forward forward_t;

typedef struct ingress_ops
{
  /* Serve clients at ADDRESS on WORKER, whose relay state is RELAY_WORKER.
     If *PORT is not 0, it is used instead of the port of ADDRESS, so that all
     workers share the port that the first one was given.  On return *PORT is
     the port in use.  Returns NULL with the status message set on failure.  */
  ingress_t *(*create) (relay_worker_t *relay_worker, worker_t *worker,
                        const char *address, uint16_t *port);
  void (*set_limits) (ingress_t *ingress, const client_limits_t *limits);
  /* Ask clients in each further response to close the connection, so that they
     send their next request elsewhere.  The first step of a planned stop,
     which calls stop_listening when no new connections are expected any more,
     and then close_idle.  */
  void (*start_closing) (ingress_t *ingress);
  void (*stop_listening) (ingress_t *ingress);
  /* Close the connections without a request in progress, except those on which
     one has arrived, and return the number of these.  */
  unsigned (*close_idle) (ingress_t *ingress);
  /* Return the number of requests in progress: being received, or without a
     complete response.  */
  unsigned (*open_count) (const ingress_t *ingress);
  void (*destroy) (ingress_t *ingress);
} ingress_ops_t;

/* Status and header of the response to a client.  */
typedef struct forward_head
{
  unsigned http_status;
  const http_headers_t *headers; /* end-to-end fields only */
  bool has_length;
  uint64_t length; /* size of the complete body in bytes */
} forward_head_t;

/* The callbacks of a forwarded request, which pass the response to its
   ingress: on_head once, then on_data, then on_end; or on_failure once.  */
typedef struct forward_ops
{
  void (*on_head) (forward_t *forward, const forward_head_t *head, void *data);
  void (*on_data) (forward_t *forward, const char *bytes, size_t size,
                   void *data);
  /* The forward is freed afterwards.  Without IS_COMPLETE the response was cut
     short and must not look complete to the client.  */
  void (*on_end) (forward_t *forward, bool is_complete, void *data);
  /* RETRY_AFTER is zero when there is no advice when to retry.  The forward is
     freed afterwards.  */
  void (*on_failure) (forward_t *forward, relay_failure_t failure,
                      struct timespec retry_after, void *data);
} forward_ops_t;

/* Forward REQUEST, which belongs to the ingress and outlives the forward, on
   the worker of RELAY_WORKER.  Sets *STARTED before any callback, to NULL when
   memory is exhausted.  Callbacks may run before it returns, also the last
   one, after which the forward is freed.  */
void forward_start (relay_worker_t *relay_worker,
                    const relay_request_t *request, const forward_ops_t *ops,
                    void *data, forward_t **started);
/* The client has disconnected: free the forward without further callbacks.  */
void forward_cancel (forward_t *forward);
/* PENDING_BYTES of the response wait to be sent to the client.  Above a limit
   the forward stops reading from the upstream, until a later call gives a
   lower number.  */
void forward_set_pending_bytes (forward_t *forward, size_t pending_bytes);

#endif
