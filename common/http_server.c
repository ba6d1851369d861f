#include "common/http_server.h"

#include "kernel/counter.h"
#include "kernel/log.h"

#include <errno.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

enum
{
  HTTP_IDLE_TIMEOUT_S = 15, /* for a caller that neither sends nor reads */
  HTTP_CONNECTION_MEMORY = 32 * 1024,
  HTTP_CONNECTION_LIMIT = 20000,
  HTTP_BLOCK_BYTES = 16 * 1024
};

COUNTER_DEFINE (exchanges_total, "siskin_http_requests_total",
                "HTTP requests received");
COUNTER_DEFINE (exchanges_gone, "siskin_http_callers_gone_total",
                "Callers that went away before their answer's end");

typedef struct reply_chunk
{
  STAILQ_ENTRY (reply_chunk) link;
  size_t size;
  size_t taken;
  char data[];
} reply_chunk_t;

struct http_server
{
  worker_t *worker;
  const http_server_ops_t *ops;
  void *data;
  size_t body_limit;
  struct MHD_Daemon *daemon;
  struct tevent_fd *event;
  struct tevent_timer *timer;
  struct tevent_immediate *kick;
  bool is_kicked;
  uint16_t port;
  MHD_socket listen_fd;
  unsigned open_exchanges;
};

struct http_exchange
{
  http_server_t *server;
  struct MHD_Connection *connection;
  void *data;
  char *method;
  char *path;
  char *body;
  size_t body_size;
  bool is_too_large;
  bool is_dispatched;
  bool is_suspended;
  bool is_begun;  /* the reply's status is known */
  bool is_queued; /* the reply is with libmicrohttpd */
  bool is_ended;
  bool is_aborted;
  bool is_gone;
  struct MHD_Response *response; /* until it is queued */
  unsigned http_status;
  struct tevent_fd *hangup_event;
  STAILQ_HEAD (, reply_chunk) chunks;
  size_t pending;
};

static void http_server_run (http_server_t *server);

static void
http_server_handle_kick (struct tevent_context *events,
                         struct tevent_immediate *immediate, void *data)
{
  http_server_t *server = data;

  (void)events;
  (void)immediate;
  server->is_kicked = false;
  http_server_run (server);
}

/* Run the daemon from the loop soon, once for any number of calls.  */
static void
http_server_kick (http_server_t *server)
{
  if (server->is_kicked)
    return;
  server->is_kicked = true;
  tevent_schedule_immediate (server->kick, worker_events (server->worker),
                             http_server_handle_kick, server);
}

static void
http_server_handle_timer (struct tevent_context *events,
                          struct tevent_timer *timer, struct timeval now,
                          void *data)
{
  http_server_t *server = data;

  (void)events;
  (void)timer;
  (void)now;
  server->timer = NULL;
  http_server_run (server);
}

static void
http_server_handle_event (struct tevent_context *events,
                          struct tevent_fd *event, uint16_t flags, void *data)
{
  (void)events;
  (void)event;
  (void)flags;
  http_server_run (data);
}

static void
http_server_run (http_server_t *server)
{
  MHD_UNSIGNED_LONG_LONG timeout_ms;

  MHD_run (server->daemon);
  TALLOC_FREE (server->timer);
  if (MHD_get_timeout (server->daemon, &timeout_ms) != MHD_YES)
    return;
  server->timer = tevent_add_timer (
      worker_events (server->worker), server,
      tevent_timeval_current_ofs ((uint32_t)(timeout_ms / 1000),
                                  (uint32_t)(timeout_ms % 1000) * 1000),
      http_server_handle_timer, server);
}

static void
exchange_resume (http_exchange_t *exchange)
{
  if (!exchange->is_suspended)
    return;
  exchange->is_suspended = false;
  MHD_resume_connection (exchange->connection);
  http_server_kick (exchange->server);
}

static void
exchange_suspend (http_exchange_t *exchange)
{
  exchange->is_suspended = true;
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
  exchange->server->ops->on_gone (exchange, exchange->server->data);
}

/* libmicrohttpd does not watch a suspended connection, so the exchange looks
   for the caller's hangup itself.  */
static void
exchange_handle_hangup (struct tevent_context *events, struct tevent_fd *event,
                        uint16_t flags, void *data)
{
  http_exchange_t *exchange = data;
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  char byte;
  ssize_t got = recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

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
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  exchange->hangup_event = tevent_add_fd (
      worker_events (exchange->server->worker), exchange, info->connect_fd,
      TEVENT_FD_READ, exchange_handle_hangup, exchange);
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
  exchange_suspend (exchange);
  return 0;
}

static http_exchange_t *
exchange_create (http_server_t *server, struct MHD_Connection *connection,
                 const char *method, const char *path)
{
  http_exchange_t *exchange = talloc_zero (server, http_exchange_t);

  if (exchange == NULL)
    return NULL;
  exchange->server = server;
  exchange->connection = connection;
  exchange->method = talloc_strdup (exchange, method);
  exchange->path = talloc_strdup (exchange, path);
  STAILQ_INIT (&exchange->chunks);
  server->open_exchanges++;
  counter_add (&exchanges_total, 1);
  return exchange;
}

static void
exchange_take_body (http_exchange_t *exchange, const char *data, size_t size)
{
  size_t needed = exchange->body_size + size;
  char *larger;

  if (exchange->is_too_large)
    return;
  if (needed > exchange->server->body_limit)
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

static void
exchange_dispatch (http_exchange_t *exchange)
{
  exchange->is_dispatched = true;
  if (exchange->is_too_large)
    {
      http_reply_text (exchange, MHD_HTTP_CONTENT_TOO_LARGE, "text/plain",
                       "the request body is too large\n");
      return;
    }
  exchange->server->ops->on_request (exchange, exchange->server->data);
}

static enum MHD_Result
exchange_queue_reply (http_exchange_t *exchange)
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

static enum MHD_Result
http_server_handle_access (void *data, struct MHD_Connection *connection,
                           const char *url, const char *method,
                           const char *version, const char *upload,
                           size_t *upload_size, void **state)
{
  http_server_t *server = data;
  http_exchange_t *exchange = *state;

  (void)version;
  if (exchange == NULL)
    {
      *state = exchange_create (server, connection, method, url);
      return *state == NULL ? MHD_NO : MHD_YES;
    }
  if (*upload_size > 0)
    {
      exchange_take_body (exchange, upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  if (!exchange->is_dispatched)
    {
      exchange_watch_hangup (exchange);
      exchange_dispatch (exchange);
    }
  if (exchange->is_begun)
    return exchange_queue_reply (exchange);
  exchange_suspend (exchange);
  return MHD_YES;
}

static void
http_server_handle_completed (void *data, struct MHD_Connection *connection,
                              void **state,
                              enum MHD_RequestTerminationCode code)
{
  http_server_t *server = data;
  http_exchange_t *exchange = *state;

  (void)connection;
  (void)code;
  if (exchange == NULL)
    return;
  *state = NULL;
  TALLOC_FREE (exchange->hangup_event);
  if (exchange->is_dispatched)
    {
      exchange_note_gone (exchange);
      server->ops->on_finished (exchange, server->data);
    }
  if (exchange->response != NULL)
    MHD_destroy_response (exchange->response);
  server->open_exchanges--;
  talloc_free (exchange);
}

static int
http_server_free (http_server_t *server)
{
  TALLOC_FREE (server->event);
  TALLOC_FREE (server->timer);
  if (server->daemon != NULL)
    MHD_stop_daemon (server->daemon);
  return 0;
}

/* Serve ADDRESS on WORKER's loop; port 0 takes a free one.  A body over
   BODY_LIMIT bytes is answered with 413.  Returns NULL with the status message
   set when the address cannot be bound.  */
http_server_t *
http_server_create (worker_t *worker, const net_address_t *address,
                    size_t body_limit, const http_server_ops_t *ops,
                    void *data)
{
  http_server_t *server = talloc_zero (worker_events (worker), http_server_t);
  const union MHD_DaemonInfo *info;
  int fd;

  if (server == NULL)
    return NULL;
  server->worker = worker;
  server->ops = ops;
  server->data = data;
  server->body_limit = body_limit;
  server->kick = tevent_create_immediate (server);
  if (net_listen (address, &fd, &server->port) != STATUS_OK)
    {
      talloc_free (server);
      return NULL;
    }
  server->listen_fd = fd;
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
      http_server_handle_access, server, MHD_OPTION_LISTEN_SOCKET, fd,
      MHD_OPTION_NOTIFY_COMPLETED, http_server_handle_completed, server,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)HTTP_IDLE_TIMEOUT_S,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)HTTP_CONNECTION_MEMORY,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)HTTP_CONNECTION_LIMIT,
      MHD_OPTION_END);
  if (server->daemon == NULL)
    {
      close (fd);
      talloc_free (server);
      status_set (STATUS_IO, "cannot start the HTTP server");
      return NULL;
    }
  talloc_set_destructor (server, http_server_free);
  info = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  server->event
      = tevent_add_fd (worker_events (worker), server, info->epoll_fd,
                       TEVENT_FD_READ, http_server_handle_event, server);
  return server;
}

/* Stop SERVER and cut off what is still open.  */
void
http_server_destroy (http_server_t *server)
{
  talloc_free (server);
}

/* Take no new connections; those that are open go on.  */
void
http_server_stop_listening (http_server_t *server)
{
  MHD_socket fd = MHD_quiesce_daemon (server->daemon);

  if (fd != MHD_INVALID_SOCKET)
    close (fd);
  http_server_kick (server);
}

/* Return the port that the server listens on.  */
uint16_t
http_server_port (const http_server_t *server)
{
  return server->port;
}

/* Return how many requests are being received or answered.  */
unsigned
http_server_open_exchanges (const http_server_t *server)
{
  return server->open_exchanges;
}

/* Return the request's method.  */
const char *
http_exchange_method (const http_exchange_t *exchange)
{
  return exchange->method;
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
        MHD_SIZE_UNKNOWN, HTTP_BLOCK_BYTES, exchange_read_reply, exchange,
        NULL);
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
