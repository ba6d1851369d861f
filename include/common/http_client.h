#ifndef SISKIN_COMMON_HTTP_CLIENT_H
#define SISKIN_COMMON_HTTP_CLIENT_H

#include "common/http_header.h"
#include "kernel/memory_budget.h"
#include "kernel/pool.h"
#include "kernel/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <talloc.h>
#include <time.h>

enum
{
  /* A response that arrives more slowly than this for its stall timeout has
     stalled: a peer that sends a byte now and then must not keep a call
     open.  */
  HTTP_STALL_MIN_BYTES = 16 * 1024
};

/* An HTTP client on one worker's event loop.  */
typedef struct http_client http_client_t;

/* One request and its response.  */
typedef struct http_call http_call_t;

/* Status and header fields of a response; valid during on_head only.  */
typedef struct http_head
{
  unsigned http_status;
  const char *content_type;  /* "" for none */
  bool is_connection_reused; /* by an earlier call, which may have left data */
  http_headers_t headers;
} http_head_t;

typedef struct http_call_ops
{
  /* The status line and header fields of the response were received.  */
  void (*on_head) (http_call_t *call, const http_head_t *head, void *data);
  /* A part of the response body was received.  Returns false to pause the
     transfer until http_call_continue; on_data is then called with the same
     bytes again.  */
  bool (*on_data) (http_call_t *call, const char *bytes, size_t size,
                   void *data);
  /* The call ended; it is freed after this function.  MAY_HAVE_RUN is false
     only when no byte of the request was written to a socket.  */
  void (*on_done) (http_call_t *call, status_t status, bool may_have_run,
                   void *data);
} http_call_ops_t;

typedef struct http_call_options
{
  const char *method;
  const char *url;
  const char *target;            /* sent unchanged; NULL: taken from URL */
  const http_headers_t *headers; /* sent unchanged; NULL for none */
  const char *content_type;      /* "" or NULL for none */
  const char *body;
  size_t body_size;
  bool is_body_shared; /* not copied: it remains valid until the call ends */
  struct timespec timeout; /* of the whole call; zero for none */
  /* If it is set, TIMEOUT only limits the time until the response begins.
     From then on the call fails when less than HTTP_STALL_MIN_BYTES of its
     body arrive in this time.  Not for calls that are paused.  */
  struct timespec stall_timeout;
  struct timespec connect_timeout; /* zero for the default, 2 s */
  struct timespec send_timeout;    /* maximum time that sent data may remain
                                      unacknowledged at the TCP level; zero for
                                      the system's default */
  /* Open a new connection and close it after the call, so that the state of a
     reused connection cannot affect this call.  */
  bool has_own_connection;
  /* Fail the call when a reused connection turns out to be dead.  libcurl
     would otherwise silently send the request a second time.  */
  bool is_never_resent;
  unsigned idle_limit_s; /* reuse no connection that was idle for longer; 0:
                            libcurl's default */
} http_call_options_t;

http_client_t *http_client_create (TALLOC_CTX *parent, worker_t *worker);
void http_client_keep_connections (http_client_t *client, unsigned count);
void http_client_destroy (http_client_t *client);
http_call_t *http_call_start (http_client_t *client,
                              const http_call_options_t *options,
                              const http_call_ops_t *ops, void *data);
/* Abort and free CALL without calling on_done.  Must not be called from within
   the functions of http_call_ops_t.  */
void http_call_cancel (http_call_t *call);
/* Returns the account of what is held for CALL until it ends, for owners that
   keep its response.  */
memory_holder_t *http_call_memory (http_call_t *call);
void http_call_continue (http_call_t *call);
/* Returns, within on_done, whether the peer's address refused the connection:
   nothing listens there.  */
bool http_call_was_refused (const http_call_t *call);
/* Abort CALL from within its on_head or on_data.  on_done follows with an
   error, and the call is freed after it.  */
void http_call_fail (http_call_t *call);

#endif
