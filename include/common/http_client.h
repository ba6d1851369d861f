#ifndef SISKIN_COMMON_HTTP_CLIENT_H
#define SISKIN_COMMON_HTTP_CLIENT_H

#include "common/http_header.h"
#include "kernel/pool.h"
#include "kernel/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <talloc.h>
#include <time.h>

/* An HTTP client on one worker's loop.  */
typedef struct http_client http_client_t;
typedef struct http_call http_call_t;

/* The start of an answer; valid during the call that hands it over.  */
typedef struct http_head
{
  unsigned http_status;
  const char *content_type; /* "" for none */
  http_headers_t headers;
} http_head_t;

typedef struct http_call_ops
{
  /* The answer's status line and headers have come.  */
  void (*on_head) (http_call_t *call, const http_head_t *head, void *data);
  /* Returns false to pause the transfer until http_call_continue, in which
     case the same bytes come again.  */
  bool (*on_data) (http_call_t *call, const char *bytes, size_t size,
                   void *data);
  /* The call ended; it is freed afterwards.  MAY_HAVE_RUN is false only when
     not one byte of the request was handed to the network.  */
  void (*on_done) (http_call_t *call, status_t status, bool may_have_run,
                   void *data);
} http_call_ops_t;

typedef struct http_call_options
{
  const char *method;
  const char *url;
  const char *target;            /* sent as it is; NULL: taken from URL */
  const http_headers_t *headers; /* sent as they are; NULL for none */
  const char *content_type;      /* "" or NULL for none */
  const char *body;
  size_t body_size;
  struct timespec timeout;         /* zero for none */
  struct timespec connect_timeout; /* zero for the client's own */
  struct timespec send_timeout;    /* for bytes sent to be acknowledged by the
                                      peer's host; zero for the system's */
  /* Use a connection of its own, so that what an earlier call left behind on a
     kept one cannot spoil this one.  */
  bool has_own_connection;
  /* End the call with an error when a kept connection turns out to be dead:
     libcurl would silently send the request a second time.  */
  bool is_never_resent;
  unsigned idle_limit_s; /* no use of connections idle for longer; 0: the
                            client's own limit */
} http_call_options_t;

http_client_t *http_client_create (TALLOC_CTX *parent, worker_t *worker);
void http_client_keep_connections (http_client_t *client, unsigned count);
void http_client_destroy (http_client_t *client);
http_call_t *http_call_start (http_client_t *client,
                              const http_call_options_t *options,
                              const http_call_ops_t *ops, void *data);
void http_call_cancel (http_call_t *call);
void http_call_continue (http_call_t *call);
void http_call_fail (http_call_t *call);

#endif
