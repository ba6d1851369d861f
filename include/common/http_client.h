#ifndef SISKIN_COMMON_HTTP_CLIENT_H
#define SISKIN_COMMON_HTTP_CLIENT_H

#include "kernel/pool.h"
#include "kernel/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <talloc.h>
#include <time.h>

/* An HTTP client on one worker's loop.  */
typedef struct http_client http_client_t;
typedef struct http_call http_call_t;

typedef struct http_call_ops
{
  /* The answer's status line and headers have come.  */
  void (*on_head) (http_call_t *call, unsigned http_status,
                   const char *content_type, void *data);
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
  const char *content_type; /* "" or NULL for none */
  const char *body;
  size_t body_size;
  struct timespec timeout; /* zero for none */
  /* Use a connection of its own: libcurl silently sends a request a second
     time when a kept connection turns out to be dead.  */
  bool is_sent_once;
  const char *extra_header; /* "Name: value", or NULL */
} http_call_options_t;

http_client_t *http_client_create (TALLOC_CTX *parent, worker_t *worker);
void http_client_destroy (http_client_t *client);
http_call_t *http_call_start (http_client_t *client,
                              const http_call_options_t *options,
                              const http_call_ops_t *ops, void *data);
void http_call_cancel (http_call_t *call);
void http_call_continue (http_call_t *call);

#endif
