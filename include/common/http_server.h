#ifndef SISKIN_COMMON_HTTP_SERVER_H
#define SISKIN_COMMON_HTTP_SERVER_H

#include "common/http_header.h"
#include "common/net.h"
#include "kernel/pool.h"
#include "kernel/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* An HTTP server on one worker's event loop.  Several workers can listen on
   the same port, each with its own server.  */
typedef struct http_server http_server_t;

/* One request and its reply.  The owner may use it from on_request or
   on_too_large until on_finished.  */
typedef struct http_exchange http_exchange_t;

typedef struct http_server_ops
{
  /* A complete request was received.  Reply with http_reply_*, within this
     function or later.  */
  void (*on_request) (http_exchange_t *exchange, void *data);
  /* The declared length of the body exceeds the limit, and it will not be
     read; reply with 413, within this function.  NULL: the server replies with
     a plain text.  */
  void (*on_too_large) (http_exchange_t *exchange, void *data);
  /* The client disconnected before the reply was complete.  Call no
     http_reply_* function afterwards; on_finished follows.  May be NULL.  */
  void (*on_disconnect) (http_exchange_t *exchange, void *data);
  /* libmicrohttpd has read data of the reply, so that http_reply_pending is
     lower now.  May be NULL.  */
  void (*on_drained) (http_exchange_t *exchange, void *data);
  /* The exchange is complete and is freed after this function.  May be
     NULL.  */
  void (*on_finished) (http_exchange_t *exchange, void *data);
  /* Header lines, each with its line end, of the replies that the server sends
     itself while a request is being received: it has not run.  NULL for
     none.  */
  const char *refusal_fields;
} http_server_ops_t;

/* Limits on the size of requests, the time to receive one and the time that a
   connection may be idle.  */
typedef struct http_server_limits
{
  size_t header_bytes; /* request line and header fields */
  size_t body_bytes;
  struct timespec receive_timeout; /* time from the request line to the last
                                      byte of the body; zero for 30 s */
  struct timespec idle_timeout;    /* rounded up to a second; zero for 15 s */
} http_server_limits_t;

http_server_t *http_server_create (worker_t *worker,
                                   const net_address_t *address,
                                   size_t body_limit,
                                   const http_server_ops_t *ops, void *data);
void http_server_destroy (http_server_t *server);
void http_server_set_limits (http_server_t *server,
                             const http_server_limits_t *limits);
void http_server_stop_listening (http_server_t *server);
unsigned http_server_close_idle (http_server_t *server);
uint16_t http_server_port (const http_server_t *server);
unsigned http_server_open_exchanges (const http_server_t *server);

const char *http_exchange_method (const http_exchange_t *exchange);
const char *http_exchange_target (const http_exchange_t *exchange);
const char *http_exchange_path (const http_exchange_t *exchange);
const char *http_exchange_header (http_exchange_t *exchange, const char *name);
const char *http_exchange_query (http_exchange_t *exchange, const char *name);
const http_headers_t *http_exchange_headers (http_exchange_t *exchange);
const char *http_exchange_body (const http_exchange_t *exchange, size_t *size);
void http_exchange_set_data (http_exchange_t *exchange, void *data);
void *http_exchange_data (const http_exchange_t *exchange);

void http_reply_header (http_exchange_t *exchange, const char *name,
                        const char *value);
void http_reply_length (http_exchange_t *exchange, uint64_t length);
void http_reply_begin (http_exchange_t *exchange, unsigned http_status,
                       const char *content_type);
status_t http_reply_data (http_exchange_t *exchange, const char *data,
                          size_t size);
void http_reply_end (http_exchange_t *exchange);
void http_reply_abort (http_exchange_t *exchange);
void http_reply_text (http_exchange_t *exchange, unsigned http_status,
                      const char *content_type, const char *text);
size_t http_reply_pending (const http_exchange_t *exchange);

#endif
