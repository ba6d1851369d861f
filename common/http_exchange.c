#include "common/http_exchange.h"

#include "common/buffer.h"
#include "kernel/counter.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  /* libmicrohttpd's record of a field of a request's header.  */
  HTTP_FIELD_RECORD_BYTES = 64,
  /* Of the connection's memory that is kept for the reply.  */
  HTTP_REPLY_MEMORY_BYTES = 8 * 1024,
  REFUSAL_MAX_BYTES = 1024
};

COUNTER_DEFINE (exchanges_total, "siskin_http_requests_total",
                "HTTP requests received");
COUNTER_DEFINE (exchanges_timed_out, "siskin_http_slow_requests_total",
                "Requests cut off because they did not come whole in time");
COUNTER_DEFINE (exchanges_disconnected, "siskin_http_callers_gone_total",
                "Callers that went away before their answer's end");
COUNTER_DEFINE (bodies_too_large, "siskin_http_too_large_total",
                "Requests refused because their body exceeds the limit");
COUNTER_DEFINE (exchanges_refused, "siskin_http_no_memory_total",
                "Requests refused for lack of memory");

/* Schedule EXCHANGE to be resumed if it is suspended.  */
void
http_exchange_resume (http_exchange_t *exchange)
{
  if (!exchange->is_suspended)
    return;
  exchange->is_suspended = false;
  LIST_REMOVE (exchange, suspended_link);
  LIST_INSERT_HEAD (&exchange->server->resuming, exchange, suspended_link);
  http_server_schedule_resume (exchange->server);
}

/* Stop libmicrohttpd from processing the connection until there is data to
   send.  */
void
http_exchange_suspend (http_exchange_t *exchange)
{
  exchange->is_suspended = true;
  LIST_INSERT_HEAD (&exchange->server->suspended, exchange, suspended_link);
  MHD_suspend_connection (exchange->mhd_connection);
}

/* Call on_disconnect, once, unless the reply has ended.  */
static void
exchange_report_disconnect (http_exchange_t *exchange)
{
  if (exchange->is_client_gone || exchange->is_reply_ended)
    return;
  exchange->is_client_gone = true;
  exchange->is_reply_aborted = true;
  counter_add (&exchanges_disconnected, 1);
  if (exchange->server->ops->on_disconnect != NULL)
    exchange->server->ops->on_disconnect (exchange, exchange->server->data);
}

/* Detect that the client has closed the connection.  libmicrohttpd does not
   watch suspended connections, so the exchange does it.  */
static void
exchange_handle_disconnect (struct tevent_context *events,
                            struct tevent_fd *event, uint16_t flags,
                            void *data)
{
  http_exchange_t *exchange = data;
  char byte;
  ssize_t received = recv (http_connection_fd (exchange->connection), &byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);

  (void)events;
  (void)event;
  (void)flags;
  if (received < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  TALLOC_FREE (exchange->disconnect_event);
  if (received > 0)
    return; /* data of the next request */
  exchange_report_disconnect (exchange);
  exchange->is_reply_begun = true;
  http_exchange_resume (exchange);
}

/* Reserve memory for BYTES of body and reply in total, or release what is
   surplus.  Returns false if there is no room for more.  */
bool
http_exchange_charge (http_exchange_t *exchange, size_t bytes)
{
  size_t target
      = memory_round_up (bytes, HTTP_UNCHARGED_BYTES, HTTP_CHARGE_STEP_BYTES);
  size_t held = exchange->connection->memory.held - exchange->charged;

  if (target == exchange->charged)
    return true;
  if (!memory_set_held (&exchange->connection->memory, held + target))
    return false;
  exchange->charged = target;
  return true;
}

/* Update what is reserved after body or reply have become smaller.  */
void
http_exchange_discharge (http_exchange_t *exchange)
{
  http_exchange_charge (exchange,
                        exchange->body_capacity + exchange->pending_bytes);
}

static void
exchange_free_body (http_exchange_t *exchange)
{
  TALLOC_FREE (exchange->body);
  exchange->body_size = 0;
  exchange->body_capacity = 0;
  http_exchange_discharge (exchange);
}

/* Refuse a request that has not been received whole.  libmicrohttpd accepts no
   reply at this point, so it is written to the socket.  The caller closes the
   connection.  */
static void
exchange_refuse_early (http_exchange_t *exchange, unsigned http_status,
                       const char *reason, const char *text)
{
  const char *fields = exchange->server->ops->refusal_fields;
  char reply[REFUSAL_MAX_BYTES];
  int size
      = snprintf (reply, sizeof reply,
                  "HTTP/1.1 %u %s\r\nConnection: close\r\n"
                  "Content-Type: text/plain\r\nContent-Length: %zu\r\n"
                  "%s%s\r\n%s",
                  http_status, reason, strlen (text),
                  http_status == HTTP_UNAVAILABLE ? "Retry-After: 1\r\n" : "",
                  fields == NULL ? "" : fields, text);

  if (exchange->connection->is_refused)
    return;
  exchange->connection->is_refused = true;
  if (size > 0 && (size_t)size < sizeof reply)
    send (http_connection_fd (exchange->connection), reply, (size_t)size,
          MSG_DONTWAIT | MSG_NOSIGNAL);
  exchange_free_body (exchange);
}

static void
exchange_refuse_memory (http_exchange_t *exchange)
{
  counter_add (&exchanges_refused, 1);
  exchange_refuse_early (exchange, HTTP_UNAVAILABLE, "Service Unavailable",
                         "no memory for the request, which has not run\n");
}

static void
exchange_refuse_too_large (http_exchange_t *exchange)
{
  counter_add (&bodies_too_large, 1);
  exchange_refuse_early (exchange, MHD_HTTP_CONTENT_TOO_LARGE,
                         "Content Too Large",
                         "the request body is too large\n");
}

/* Return whether the request was refused before it was received whole.  */
bool
http_exchange_is_refused_early (const http_exchange_t *exchange)
{
  return exchange->connection->is_refused && !exchange->is_dispatched;
}

/* Give up EXCHANGE to make room for others.  The caller closes the
   connection.  */
void
http_exchange_drop (http_exchange_t *exchange)
{
  if (!exchange->is_dispatched)
    exchange_refuse_memory (exchange);
  else
    http_exchange_cut (exchange);
}

static void
exchange_watch_disconnect (http_exchange_t *exchange)
{
  exchange->disconnect_event
      = tevent_add_fd (worker_events (exchange->server->worker), exchange,
                       http_connection_fd (exchange->connection),
                       TEVENT_FD_READ, exchange_handle_disconnect, exchange);
}

/* The request was not completely received in time.  Shutting the connection
   down makes libmicrohttpd complete the exchange.  */
static void
exchange_handle_receive_timeout (worker_t *worker, void *data)
{
  http_exchange_t *exchange = data;

  (void)worker;
  exchange->receive_timer = NULL;
  counter_add (&exchanges_timed_out, 1);
  shutdown (http_connection_fd (exchange->connection), SHUT_RDWR);
}

/* Create an exchange when libmicrohttpd has received the request line, and
   start the receive timeout for the rest of the request.  DATA is the server.
   Returns NULL when memory is exhausted; the connection is closed then.  */
void *
http_exchange_create (void *data, const char *target,
                      struct MHD_Connection *mhd_connection)
{
  http_server_t *server = data;
  http_connection_t *connection
      = MHD_get_connection_info (mhd_connection,
                                 MHD_CONNECTION_INFO_SOCKET_CONTEXT)
            ->socket_context;
  http_exchange_t *exchange
      = connection == NULL ? NULL : talloc_zero (server, http_exchange_t);

  if (exchange == NULL)
    return NULL;
  exchange->server = server;
  exchange->mhd_connection = mhd_connection;
  exchange->connection = connection;
  connection->exchange = exchange;
  memory_holder_progress (&connection->memory);
  exchange->target = talloc_strdup (exchange, target);
  STAILQ_INIT (&exchange->headers);
  STAILQ_INIT (&exchange->chunks);
  exchange->receive_timer = worker_timer_start (
      server->worker, exchange, server->limits.receive_timeout,
      exchange_handle_receive_timeout, exchange);
  server->open_exchanges++;
  counter_add (&exchanges_total, 1);
  if (!memory_set_held (&connection->memory, HTTP_CONNECTION_MEMORY_BYTES))
    {
      exchange_refuse_memory (exchange);
      shutdown (http_connection_fd (exchange->connection), SHUT_RDWR);
    }
  return exchange;
}

static enum MHD_Result
exchange_add_header (void *data, enum MHD_ValueKind kind, const char *name,
                     const char *value)
{
  http_exchange_t *exchange = data;

  (void)kind;
  http_headers_add (&exchange->headers, exchange, name,
                    value == NULL ? "" : value);
  return MHD_YES;
}

/* Return the request's header fields in the order received, owned by
   EXCHANGE.  */
const http_headers_t *
http_exchange_headers (http_exchange_t *exchange)
{
  if (!exchange->has_headers)
    MHD_get_connection_values (exchange->mhd_connection, MHD_HEADER_KIND,
                               exchange_add_header, exchange);
  exchange->has_headers = true;
  return &exchange->headers;
}

/* Add a field to the sizes at DATA.  */
enum MHD_Result
field_sizes_add (void *data, enum MHD_ValueKind kind, const char *name,
                 const char *value)
{
  static const size_t separators = sizeof ": \r\n" - 1;
  field_sizes_t *sizes = data;

  (void)kind;
  sizes->count++;
  sizes->bytes += strlen (name) + separators;
  if (value != NULL)
    sizes->bytes += strlen (value);
  return MHD_YES;
}

/* Check the size of the request's header, whose fields libmicrohttpd has
   parsed: it must be within the limit, and leave memory for a reply.  */
static void
exchange_check_head (http_exchange_t *exchange)
{
  field_sizes_t sizes
      = { .bytes = strlen (exchange->method) + strlen (exchange->target) };

  MHD_get_connection_values (exchange->mhd_connection, MHD_HEADER_KIND,
                             field_sizes_add, &sizes);
  exchange->memory_used = sizes.bytes + sizes.count * HTTP_FIELD_RECORD_BYTES;
  exchange->is_head_too_large
      = sizes.bytes > exchange->server->limits.header_bytes
        || exchange->memory_used + HTTP_REPLY_MEMORY_BYTES
               > HTTP_CONNECTION_MEMORY_BYTES;
}

/* Read the declared length of the body, and check it against the limit.  */
static void
exchange_check_length (http_exchange_t *exchange)
{
  const char *text = http_exchange_header (exchange, "Content-Length");
  unsigned long long length = text == NULL ? 0 : strtoull (text, NULL, 10);

  exchange->is_body_too_large = length > exchange->server->limits.body_bytes;
  if (!exchange->is_body_too_large)
    exchange->body_length = (size_t)length;
}

/* Store METHOD and PATH of the request, and check the size of its header and
   of its body, if declared.  */
void
http_exchange_set_request_line (http_exchange_t *exchange, const char *method,
                                const char *path)
{
  exchange->method = talloc_strdup (exchange, method);
  exchange->path = talloc_strdup (exchange, path);
  exchange_check_head (exchange);
  exchange_check_length (exchange);
}

/* Return the capacity to give to a body of NEEDED bytes.  */
static size_t
exchange_body_capacity (const http_exchange_t *exchange, size_t needed)
{
  size_t capacity = buffer_capacity_for (needed);

  if (exchange->body_length >= needed && capacity > exchange->body_length)
    capacity = exchange->body_length;
  return capacity;
}

/* Make room for a body of NEEDED bytes.  Returns false when there is none.  */
static bool
exchange_grow_body (http_exchange_t *exchange, size_t needed)
{
  size_t capacity;
  char *larger;

  if (needed <= exchange->body_capacity)
    return true;
  capacity = exchange_body_capacity (exchange, needed);
  if (!http_exchange_charge (exchange, capacity + exchange->pending_bytes))
    return false;
  larger = talloc_realloc (exchange, exchange->body, char, capacity + 1);
  if (larger == NULL)
    return false;
  exchange->body = larger;
  exchange->body_capacity = capacity;
  return true;
}

/* Append SIZE bytes to the request's body.  Returns false when the request was
   refused: the body exceeds the limit, or there is no memory for it.  */
bool
http_exchange_append_body (http_exchange_t *exchange, const char *data,
                           size_t size)
{
  size_t needed = exchange->body_size + size;

  if (exchange->connection->is_refused)
    return false;
  memory_holder_progress (&exchange->connection->memory);
  if (needed > exchange->server->limits.body_bytes)
    {
      exchange_refuse_too_large (exchange);
      return false;
    }
  if (!exchange_grow_body (exchange, needed))
    {
      exchange_refuse_memory (exchange);
      return false;
    }
  memcpy (exchange->body + exchange->body_size, data, size);
  exchange->body[needed] = '\0';
  exchange->body_size = needed;
  return true;
}

/* Refuse the request, whose declared length exceeds the limit.  */
static void
exchange_reply_too_large (http_exchange_t *exchange)
{
  const http_server_t *server = exchange->server;

  counter_add (&bodies_too_large, 1);
  exchange->connection->is_refused = true;
  if (server->ops->on_too_large != NULL)
    server->ops->on_too_large (exchange, server->data);
  else
    http_reply_text (exchange, MHD_HTTP_CONTENT_TOO_LARGE, "text/plain",
                     "the request body is too large\n");
}

/* Pass the complete request to the server's owner, or reply with an error when
   it exceeds a limit.  */
void
http_exchange_dispatch (http_exchange_t *exchange)
{
  exchange->is_dispatched = true;
  TALLOC_FREE (exchange->receive_timer);
  http_exchange_update_waiting (exchange);
  exchange_watch_disconnect (exchange);
  if (exchange->is_head_too_large)
    {
      http_reply_text (exchange, MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
                       "text/plain", "the request's header is too large\n");
      return;
    }
  if (exchange->is_body_too_large)
    {
      exchange_reply_too_large (exchange);
      return;
    }
  exchange->server->ops->on_request (exchange, exchange->server->data);
}

/* Notify the owner that libmicrohttpd has completed the exchange, and free
   it.  */
void
http_exchange_finish (http_exchange_t *exchange)
{
  http_server_t *server = exchange->server;

  TALLOC_FREE (exchange->disconnect_event);
  if (exchange->is_dispatched)
    {
      exchange_report_disconnect (exchange);
      if (server->ops->on_finished != NULL)
        server->ops->on_finished (exchange, server->data);
    }
  if (exchange->response != NULL)
    MHD_destroy_response (exchange->response);
  server->open_exchanges--;
  http_exchange_free_chunks (exchange);
  exchange_free_body (exchange);
  exchange->connection->exchange = NULL;
  memory_holder_progress (&exchange->connection->memory);
  memory_holder_set_waiting (&exchange->connection->memory, true);
  http_server_end_exchange (server, exchange->connection);
  talloc_free (exchange);
}

/* Return the request's method.  */
const char *
http_exchange_method (const http_exchange_t *exchange)
{
  return exchange->method;
}

/* Return the request's target as received, including the query.  */
const char *
http_exchange_target (const http_exchange_t *exchange)
{
  return exchange->target;
}

/* Return the request's decoded path without the query.  */
const char *
http_exchange_path (const http_exchange_t *exchange)
{
  return exchange->path;
}

/* Return the value of the request's header field NAME, or NULL.  */
const char *
http_exchange_header (http_exchange_t *exchange, const char *name)
{
  return MHD_lookup_connection_value (exchange->mhd_connection,
                                      MHD_HEADER_KIND, name);
}

/* Return the value of the query parameter NAME, or NULL.  */
const char *
http_exchange_query (http_exchange_t *exchange, const char *name)
{
  return MHD_lookup_connection_value (exchange->mhd_connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

/* Return the request's body and set *SIZE.  A null byte follows the body.  */
const char *
http_exchange_body (const http_exchange_t *exchange, size_t *size)
{
  *size = exchange->body_size;
  return exchange->body == NULL ? "" : exchange->body;
}

/* Store DATA, which the owner can read with http_exchange_data.  */
void
http_exchange_set_data (http_exchange_t *exchange, void *data)
{
  exchange->data = data;
}

/* Return the pointer stored by http_exchange_set_data, or NULL.  */
void *
http_exchange_data (const http_exchange_t *exchange)
{
  return exchange->data;
}
