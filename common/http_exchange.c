#include "common/http_exchange.h"

#include "kernel/counter.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  HTTP_BLOCK_BYTES = 4 * 1024
};

COUNTER_DEFINE (exchanges_total, "siskin_http_requests_total",
                "HTTP requests received");
COUNTER_DEFINE (exchanges_slow, "siskin_http_slow_requests_total",
                "Requests cut off because they did not come whole in time");
COUNTER_DEFINE (exchanges_gone, "siskin_http_callers_gone_total",
                "Callers that went away before their answer's end");

static void
exchange_resume (http_exchange_t *exchange)
{
  if (!exchange->is_suspended)
    return;
  exchange->is_suspended = false;
  LIST_REMOVE (exchange, suspended_link);
  LIST_INSERT_HEAD (&exchange->server->resuming, exchange, suspended_link);
  http_server_kick (exchange->server);
}

/* Have libmicrohttpd leave the connection alone until there is something to
   send.  */
void
http_exchange_suspend (http_exchange_t *exchange)
{
  exchange->is_suspended = true;
  LIST_INSERT_HEAD (&exchange->server->suspended, exchange, suspended_link);
  MHD_suspend_connection (exchange->connection);
}

static void
exchange_note_gone (http_exchange_t *exchange)
{
  if (exchange->is_gone || exchange->is_ended)
    return;
  exchange->is_gone = true;
  exchange->is_aborted = true;
  counter_add (&exchanges_gone, 1);
  if (exchange->server->ops->on_disconnect != NULL)
    exchange->server->ops->on_disconnect (exchange, exchange->server->data);
}

static int
exchange_fd (const http_exchange_t *exchange)
{
  return MHD_get_connection_info (exchange->connection,
                                  MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

/* libmicrohttpd does not watch a suspended connection, so the exchange looks
   for the caller's hangup itself.  */
static void
exchange_handle_hangup (struct tevent_context *events, struct tevent_fd *event,
                        uint16_t flags, void *data)
{
  http_exchange_t *exchange = data;
  char byte;
  ssize_t got
      = recv (exchange_fd (exchange), &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  (void)events;
  (void)event;
  (void)flags;
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  TALLOC_FREE (exchange->hangup_event);
  if (got > 0)
    return; /* the next request on this connection */
  exchange_note_gone (exchange);
  exchange->is_begun = true;
  exchange_resume (exchange);
}

static void
exchange_watch_hangup (http_exchange_t *exchange)
{
  exchange->hangup_event
      = tevent_add_fd (worker_events (exchange->server->worker), exchange,
                       exchange_fd (exchange), TEVENT_FD_READ,
                       exchange_handle_hangup, exchange);
}

static ssize_t
exchange_read_reply (void *data, uint64_t position, char *buffer, size_t size)
{
  http_exchange_t *exchange = data;
  size_t copied = 0;
  reply_chunk_t *chunk;

  (void)position;
  while (copied < size && (chunk = STAILQ_FIRST (&exchange->chunks)) != NULL)
    {
      size_t part = chunk->size - chunk->taken;

      if (part > size - copied)
        part = size - copied;
      memcpy (buffer + copied, chunk->data + chunk->taken, part);
      chunk->taken += part;
      copied += part;
      if (chunk->taken < chunk->size)
        continue;
      STAILQ_REMOVE_HEAD (&exchange->chunks, link);
      talloc_free (chunk);
    }
  exchange->pending -= copied;
  if (copied > 0)
    {
      if (exchange->server->ops->on_drained != NULL && !exchange->is_ended
          && !exchange->is_gone)
        exchange->server->ops->on_drained (exchange, exchange->server->data);
      return (ssize_t)copied;
    }
  if (exchange->is_aborted)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (exchange->is_ended)
    return MHD_CONTENT_READER_END_OF_STREAM;
  http_exchange_suspend (exchange);
  return 0;
}

/* The request has not come whole in time; libmicrohttpd sees the end of the
   connection and gives the exchange back.  */
static void
exchange_handle_receive_timeout (worker_t *worker, void *data)
{
  http_exchange_t *exchange = data;

  (void)worker;
  exchange->receive_timer = NULL;
  counter_add (&exchanges_slow, 1);
  shutdown (exchange_fd (exchange), SHUT_RDWR);
}

/* Start an exchange at its request line; the rest of the request may take its
   time.  */
void *
http_exchange_create (void *data, const char *target,
                      struct MHD_Connection *connection)
{
  http_server_t *server = data;
  http_exchange_t *exchange = talloc_zero (server, http_exchange_t);

  if (exchange == NULL)
    return NULL;
  exchange->server = server;
  exchange->connection = connection;
  exchange->channel = MHD_get_connection_info (
                          connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
                          ->socket_context;
  if (exchange->channel != NULL)
    exchange->channel->exchanges++;
  exchange->target = talloc_strdup (exchange, target);
  STAILQ_INIT (&exchange->headers);
  STAILQ_INIT (&exchange->chunks);
  exchange->receive_timer = worker_timer_start (
      server->worker, exchange, server->limits.receive_timeout,
      exchange_handle_receive_timeout, exchange);
  server->open_exchanges++;
  counter_add (&exchanges_total, 1);
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

/* Return the request's header fields in the order sent, owned by
   EXCHANGE.  */
const http_headers_t *
http_exchange_headers (http_exchange_t *exchange)
{
  if (!exchange->has_headers)
    MHD_get_connection_values (exchange->connection, MHD_HEADER_KIND,
                               exchange_add_header, exchange);
  exchange->has_headers = true;
  return &exchange->headers;
}

static enum MHD_Result
exchange_add_size (void *data, enum MHD_ValueKind kind, const char *name,
                   const char *value)
{
  static const size_t separators = sizeof ": \r\n" - 1;
  size_t *total = data;

  (void)kind;
  *total += strlen (name) + separators;
  if (value != NULL)
    *total += strlen (value);
  return MHD_YES;
}

static size_t
exchange_head_bytes (const http_exchange_t *exchange)
{
  size_t total = strlen (exchange->method) + strlen (exchange->target);

  MHD_get_connection_values (exchange->connection, MHD_HEADER_KIND,
                             exchange_add_size, &total);
  return total;
}

/* Note what libmicrohttpd has parsed of the request line.  */
void
http_exchange_begin (http_exchange_t *exchange, const char *method,
                     const char *path)
{
  exchange->method = talloc_strdup (exchange, method);
  exchange->path = talloc_strdup (exchange, path);
  exchange->is_head_large
      = exchange_head_bytes (exchange) > exchange->server->limits.header_bytes;
}

/* Append a part of the request's body.  */
void
http_exchange_take_body (http_exchange_t *exchange, const char *data,
                         size_t size)
{
  size_t needed = exchange->body_size + size;
  char *larger;

  if (exchange->is_too_large)
    return;
  if (needed > exchange->server->limits.body_bytes)
    {
      exchange->is_too_large = true;
      TALLOC_FREE (exchange->body);
      return;
    }
  larger = exchange->body;
  if (talloc_get_size (exchange->body) < needed + 1)
    larger = talloc_realloc (exchange, exchange->body, char, needed * 2 + 1);
  if (larger == NULL)
    return;
  memcpy (larger + exchange->body_size, data, size);
  larger[needed] = '\0';
  exchange->body = larger;
  exchange->body_size = needed;
}

/* The request has come whole: hand it to the server's owner.  */
void
http_exchange_dispatch (http_exchange_t *exchange)
{
  exchange->is_dispatched = true;
  TALLOC_FREE (exchange->receive_timer);
  exchange_watch_hangup (exchange);
  if (exchange->is_head_large)
    {
      http_reply_text (exchange, MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
                       "text/plain", "the request's header is too large\n");
      return;
    }
  if (exchange->is_too_large && exchange->server->ops->on_too_large != NULL)
    {
      exchange->server->ops->on_too_large (exchange, exchange->server->data);
      return;
    }
  if (exchange->is_too_large)
    {
      http_reply_text (exchange, MHD_HTTP_CONTENT_TOO_LARGE, "text/plain",
                       "the request body is too large\n");
      return;
    }
  exchange->server->ops->on_request (exchange, exchange->server->data);
}

/* Hand the reply, whose status is known, to libmicrohttpd.  */
enum MHD_Result
http_exchange_queue_reply (http_exchange_t *exchange)
{
  enum MHD_Result result;

  if (exchange->is_gone && exchange->response == NULL)
    return MHD_NO;
  exchange->is_queued = true;
  result = MHD_queue_response (exchange->connection, exchange->http_status,
                               exchange->response);
  MHD_destroy_response (exchange->response);
  exchange->response = NULL;
  return result;
}

/* The exchange is over on libmicrohttpd's side: tell the owner and free it. */
void
http_exchange_finish (http_exchange_t *exchange)
{
  http_server_t *server = exchange->server;

  TALLOC_FREE (exchange->hangup_event);
  if (exchange->is_dispatched)
    {
      exchange_note_gone (exchange);
      if (server->ops->on_finished != NULL)
        server->ops->on_finished (exchange, server->data);
    }
  if (exchange->response != NULL)
    MHD_destroy_response (exchange->response);
  server->open_exchanges--;
  if (exchange->channel != NULL)
    {
      exchange->channel->exchanges--;
      http_server_end_exchange (server, exchange->channel);
    }
  talloc_free (exchange);
}

/* Return the request's method.  */
const char *
http_exchange_method (const http_exchange_t *exchange)
{
  return exchange->method;
}

/* Return the request's target as sent, with the query.  */
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

/* Return the value of the request header NAME, or NULL.  */
const char *
http_exchange_header (http_exchange_t *exchange, const char *name)
{
  return MHD_lookup_connection_value (exchange->connection, MHD_HEADER_KIND,
                                      name);
}

/* Return the value of the query argument NAME, or NULL.  */
const char *
http_exchange_query (http_exchange_t *exchange, const char *name)
{
  return MHD_lookup_connection_value (exchange->connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

/* Return the request's body, terminated by a null byte beyond *SIZE.  */
const char *
http_exchange_body (const http_exchange_t *exchange, size_t *size)
{
  *size = exchange->body_size;
  return exchange->body == NULL ? "" : exchange->body;
}

/* Keep DATA with the exchange for its owner.  */
void
http_exchange_set_data (http_exchange_t *exchange, void *data)
{
  exchange->data = data;
}

/* Return what http_exchange_set_data kept.  */
void *
http_exchange_data (const http_exchange_t *exchange)
{
  return exchange->data;
}

static void
exchange_create_response (http_exchange_t *exchange)
{
  if (exchange->response == NULL)
    exchange->response = MHD_create_response_from_callback (
        exchange->has_length ? exchange->length : MHD_SIZE_UNKNOWN,
        HTTP_BLOCK_BYTES, exchange_read_reply, exchange, NULL);
}

/* Have the reply carry the LENGTH of its body in place of being chunked; to be
   called before any other function of the reply.  */
void
http_reply_length (http_exchange_t *exchange, uint64_t length)
{
  exchange->has_length = true;
  exchange->length = length;
}

/* Add a header to the reply; to be called before http_reply_begin.  */
void
http_reply_header (http_exchange_t *exchange, const char *name,
                   const char *value)
{
  exchange_create_response (exchange);
  MHD_add_response_header (exchange->response, name, value);
}

/* Start the reply.  */
void
http_reply_begin (http_exchange_t *exchange, unsigned http_status,
                  const char *content_type)
{
  exchange_create_response (exchange);
  if (content_type != NULL && content_type[0] != '\0')
    MHD_add_response_header (exchange->response, "Content-Type", content_type);
  exchange->http_status = http_status;
  exchange->is_begun = true;
  exchange_resume (exchange);
}

/* Append a copy of DATA to the reply's body.  Returns STATUS_NO_MEMORY.  */
status_t
http_reply_data (http_exchange_t *exchange, const char *data, size_t size)
{
  reply_chunk_t *chunk;

  if (size == 0)
    return STATUS_OK;
  chunk = talloc_size (exchange, sizeof *chunk + size);
  if (chunk == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a reply");
  chunk->size = size;
  chunk->taken = 0;
  memcpy (chunk->data, data, size);
  STAILQ_INSERT_TAIL (&exchange->chunks, chunk, link);
  exchange->pending += size;
  if (exchange->is_begun)
    exchange_resume (exchange);
  return STATUS_OK;
}

/* End the reply; what was appended is still delivered.  */
void
http_reply_end (http_exchange_t *exchange)
{
  exchange->is_ended = true;
  TALLOC_FREE (exchange->hangup_event);
  exchange_resume (exchange);
}

/* Break the connection off after what was appended, so that the caller cannot
   take the reply for a whole one.  */
void
http_reply_abort (http_exchange_t *exchange)
{
  exchange->is_aborted = true;
  exchange->is_ended = true;
  TALLOC_FREE (exchange->hangup_event);
  exchange_resume (exchange);
}

/* Send a whole reply.  */
void
http_reply_text (http_exchange_t *exchange, unsigned http_status,
                 const char *content_type, const char *text)
{
  http_reply_begin (exchange, http_status, content_type);
  http_reply_data (exchange, text, strlen (text));
  http_reply_end (exchange);
}

/* Return how many bytes of the reply the caller has not taken yet.  */
size_t
http_reply_pending (const http_exchange_t *exchange)
{
  return exchange->pending;
}
