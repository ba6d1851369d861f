#include "common/http_exchange.h"

#include "kernel/log.h"
#include "kernel/table.h"

#include <errno.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

enum
{
  HTTP_IDLE_TIMEOUT_S = 15,        /* of a connection without traffic */
  HTTP_RECEIVE_TIMEOUT_MS = 30000, /* from the request line to the last byte */
  RESUME_DELAY_US_PER_EXCHANGE = 2, /* see http_server_schedule_resume */
  /* Beyond any limit of the memory budget, which applies first.  */
  HTTP_MAX_CONNECTIONS = 20000,
  /* After a refusal, see http_server_linger.  */
  LINGER_MS = 1000,
  LINGER_MAX_CONNECTIONS = 32,
  LINGER_RECEIVE_BUFFER_BYTES = 4 * 1024,
  TCP_FLAGS_OFFSET = 13 /* in a TCP header, bytes */
};

static void http_server_run (http_server_t *server);

static void
http_server_resume (http_exchange_t *exchange)
{
  LIST_REMOVE (exchange, suspended_link);
  MHD_resume_connection (exchange->mhd_connection);
}

static void
http_server_handle_resume_timer (worker_t *worker, void *data)
{
  http_server_t *server = data;
  http_exchange_t *exchange;

  (void)worker;
  server->resume_timer = NULL;
  while ((exchange = LIST_FIRST (&server->resuming)) != NULL)
    http_server_resume (exchange);
  http_server_run (server);
}

/* Schedule the exchanges on the list resuming to be resumed, and the daemon to
   run, once for any number of calls.  Whenever a connection is resumed,
   libmicrohttpd iterates over all suspended connections.  A delay proportional
   to the number of exchanges bounds the share of the worker's time that these
   iterations take.  */
void
http_server_schedule_resume (http_server_t *server)
{
  if (server->resume_timer != NULL)
    return;
  server->resume_timer
      = worker_timer_start (server->worker, server,
                            timespec_from_us ((int64_t)server->open_exchanges
                                              * RESUME_DELAY_US_PER_EXCHANGE),
                            http_server_handle_resume_timer, server);
}

static void
http_server_handle_timer (worker_t *worker, void *data)
{
  http_server_t *server = data;

  (void)worker;
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

/* Let libmicrohttpd process its connections, and arm the timer for its next
   timeout.  */
static void
http_server_run (http_server_t *server)
{
  MHD_UNSIGNED_LONG_LONG timeout_ms;

  MHD_run (server->daemon);
  TALLOC_FREE (server->timer);
  if (MHD_get_timeout (server->daemon, &timeout_ms) != MHD_YES)
    return;
  server->timer = worker_timer_start (server->worker, server,
                                      timespec_from_ms ((int64_t)timeout_ms),
                                      http_server_handle_timer, server);
}

static int64_t
idle_timeout_s (const http_server_limits_t *limits)
{
  const struct timespec *timeout = &limits->idle_timeout;

  return timeout->tv_sec + (timeout->tv_nsec > 0 ? 1 : 0);
}

/* Return the descriptor of CONNECTION.  */
int
http_connection_fd (const http_connection_t *connection)
{
  return MHD_get_connection_info (connection->mhd_connection,
                                  MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

/* Make libmicrohttpd close CONNECTION.  */
static void
connection_close (const http_connection_t *connection)
{
  shutdown (http_connection_fd (connection), SHUT_RDWR);
}

static int
lingering_free (http_lingering_t *lingering)
{
  close (lingering->fd);
  lingering->server->lingering_count--;
  return 0;
}

static void
lingering_handle_end (worker_t *worker, void *data)
{
  (void)worker;
  talloc_free (data);
}

/* CONNECTION, on which a request was refused, is being closed.  Keep its
   socket for a short time without reading: closing a socket with unread data
   resets the connection, and the client could lose the refusal.  */
static void
http_server_linger (http_server_t *server, const http_connection_t *connection)
{
  static const int buffer_bytes = LINGER_RECEIVE_BUFFER_BYTES;
  http_lingering_t *lingering;

  if (server->lingering_count >= LINGER_MAX_CONNECTIONS)
    return;
  lingering = talloc_zero (server, http_lingering_t);
  if (lingering == NULL)
    return;
  lingering->server = server;
  lingering->fd = fcntl (http_connection_fd (connection), F_DUPFD_CLOEXEC, 0);
  if (lingering->fd < 0)
    {
      talloc_free (lingering);
      return;
    }
  server->lingering_count++;
  talloc_set_destructor (lingering, lingering_free);
  setsockopt (lingering->fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
              sizeof buffer_bytes);
  shutdown (lingering->fd, SHUT_WR);
  worker_timer_start (server->worker, lingering, timespec_from_ms (LINGER_MS),
                      lingering_handle_end, lingering);
}

/* Drop the connection to make room for others.  */
static void
connection_handle_drop (memory_holder_t *holder, memory_reason_t reason)
{
  http_connection_t *connection
      = CONTAINER_OF (holder, http_connection_t, memory);

  (void)reason;
  if (connection->exchange != NULL)
    http_exchange_drop (connection->exchange);
  connection_close (connection);
}

static const memory_holder_ops_t connection_memory_ops
    = { .drop = connection_handle_drop };

/* Called by libmicrohttpd before it serves a new connection.  */
static enum MHD_Result
http_server_handle_accept (void *data, const struct sockaddr *address,
                           socklen_t length)
{
  const http_server_t *server = data;

  (void)address;
  (void)length;
  return memory_admit_connection (worker_memory (server->worker)) ? MHD_YES
                                                                  : MHD_NO;
}

/* Called by libmicrohttpd when a connection is opened or closed.  */
static void
http_server_handle_connection (void *data,
                               struct MHD_Connection *mhd_connection,
                               void **state,
                               enum MHD_ConnectionNotificationCode code)
{
  http_server_t *server = data;
  http_connection_t *connection = *state;

  if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
      *state = NULL;
      if (connection == NULL)
        return;
      if (connection->is_refused)
        http_server_linger (server, connection);
      LIST_REMOVE (connection, link);
      memory_holder_end (&connection->memory);
      talloc_free (connection);
      return;
    }
  connection = talloc_zero (server, http_connection_t);
  if (connection == NULL)
    return;
  connection->server = server;
  connection->mhd_connection = mhd_connection;
  LIST_INSERT_HEAD (&server->connections, connection, link);
  *state = connection;
  memory_holder_start_connection (&connection->memory,
                                  worker_memory (server->worker),
                                  &connection_memory_ops);
  if (!memory_reserve (&connection->memory, HTTP_IDLE_CONNECTION_BYTES))
    connection_close (connection);
}

/* After an exchange on CONNECTION has ended, set the current idle timeout, and
   close the connection if the server closes idle connections.  */
void
http_server_end_exchange (const http_server_t *server,
                          const http_connection_t *connection)
{
  if (server->is_closing_idle)
    connection_close (connection);
  MHD_set_connection_option (connection->mhd_connection,
                             MHD_CONNECTION_OPTION_TIMEOUT,
                             (unsigned)idle_timeout_s (&server->limits));
}

/* Called by libmicrohttpd several times for each request: after the header,
   for each part of the body, after the body and, when the exchange was
   suspended, after each resume until the reply is queued.  */
static enum MHD_Result
http_server_handle_access (void *data, struct MHD_Connection *mhd_connection,
                           const char *url, const char *method,
                           const char *version, const char *upload,
                           size_t *upload_size, void **state)
{
  http_exchange_t *exchange = *state;

  (void)data;
  (void)mhd_connection;
  (void)version;
  if (exchange == NULL)
    return MHD_NO;
  if (exchange->method == NULL)
    {
      http_exchange_set_request_line (exchange, method, url);
      if (http_exchange_is_refused_early (exchange))
        return MHD_NO;
      if (!exchange->is_body_too_large)
        return MHD_YES;
    }
  if (*upload_size > 0)
    {
      if (!http_exchange_append_body (exchange, upload, *upload_size))
        return MHD_NO;
      *upload_size = 0;
      return MHD_YES;
    }
  if (http_exchange_is_refused_early (exchange))
    return MHD_NO;
  if (!exchange->is_dispatched)
    http_exchange_dispatch (exchange);
  if (exchange->is_reply_begun)
    return http_exchange_queue_reply (exchange);
  http_exchange_suspend (exchange);
  return MHD_YES;
}

static void
http_server_handle_completed (void *data,
                              struct MHD_Connection *mhd_connection,
                              void **state,
                              enum MHD_RequestTerminationCode code)
{
  http_exchange_t *exchange = *state;

  (void)data;
  (void)mhd_connection;
  (void)code;
  if (exchange == NULL)
    return;
  *state = NULL;
  http_exchange_finish (exchange);
}

static int
http_server_free (http_server_t *server)
{
  http_exchange_t *exchange;

  TALLOC_FREE (server->event);
  TALLOC_FREE (server->timer);
  TALLOC_FREE (server->resume_timer);
  /* MHD_stop_daemon aborts the process when connections are suspended.  */
  while ((exchange = LIST_FIRST (&server->suspended)) != NULL)
    http_server_resume (exchange);
  while ((exchange = LIST_FIRST (&server->resuming)) != NULL)
    http_server_resume (exchange);
  if (server->daemon != NULL)
    MHD_stop_daemon (server->daemon);
  return 0;
}

/* Serve ADDRESS on WORKER's event loop; port 0 selects a free one.  Requests
   with a body larger than BODY_LIMIT bytes get a 413 response.  Returns NULL
   with the status message set when the server cannot be started.  */
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
  http_server_set_limits (
      server,
      &(http_server_limits_t){ .header_bytes = HTTP_CONNECTION_MEMORY_BYTES,
                               .body_bytes = body_limit });
  LIST_INIT (&server->connections);
  LIST_INIT (&server->suspended);
  LIST_INIT (&server->resuming);
  if (net_listen (address, &fd, &server->port) != STATUS_OK)
    {
      talloc_free (server);
      return NULL;
    }
  server->listen_fd = fd;
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, http_server_handle_accept,
      server, http_server_handle_access, server, MHD_OPTION_LISTEN_SOCKET, fd,
      MHD_OPTION_URI_LOG_CALLBACK, http_exchange_create, server,
      MHD_OPTION_NOTIFY_COMPLETED, http_server_handle_completed, server,
      MHD_OPTION_NOTIFY_CONNECTION, http_server_handle_connection, server,
      MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned)idle_timeout_s (&server->limits),
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)HTTP_CONNECTION_MEMORY_BYTES,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)HTTP_MAX_CONNECTIONS,
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

/* Stop SERVER, close all its connections and free it.  */
void
http_server_destroy (http_server_t *server)
{
  talloc_free (server);
}

/* Set the limits for requests that start from now on.  */
void
http_server_set_limits (http_server_t *server,
                        const http_server_limits_t *limits)
{
  server->limits = *limits;
  if (timespec_to_ms (limits->idle_timeout) <= 0)
    server->limits.idle_timeout = (struct timespec){ HTTP_IDLE_TIMEOUT_S, 0 };
  if (timespec_to_ms (limits->receive_timeout) <= 0)
    server->limits.receive_timeout
        = timespec_from_ms (HTTP_RECEIVE_TIMEOUT_MS);
}

/* Let no further connection be established on the listening socket.  Those in
   its backlog when it is closed are reset, although their clients may have
   sent a request; a client whose SYN is dropped is refused once it is
   closed.  */
static void
http_server_drop_connects (MHD_socket listen_fd)
{
  static struct sock_filter drop_syn[] = {
    BPF_STMT (BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
    BPF_JUMP (BPF_JMP | BPF_JSET | BPF_K, TH_SYN, 0, 1),
    BPF_STMT (BPF_RET | BPF_K, 0),
    BPF_STMT (BPF_RET | BPF_K, UINT32_MAX),
  };
  static const struct sock_fprog filter
      = { .len = sizeof drop_syn / sizeof *drop_syn, .filter = drop_syn };

  if (setsockopt (listen_fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter,
                  sizeof filter)
      != 0)
    log_event (LOG_LEVEL_NOTICE, "connects-not-dropped", "error=\"%s\"",
               strerror (errno));
}

/* Accept the connections in the backlog of the listening socket, which would
   be reset when it is closed.  */
static void
http_server_accept_backlog (http_server_t *server, MHD_socket listen_fd)
{
  struct sockaddr_storage address;
  socklen_t length = sizeof address;
  int fd;

  while ((fd = accept4 (listen_fd, (struct sockaddr *)&address, &length,
                        SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      MHD_add_connection (server->daemon, fd, (struct sockaddr *)&address,
                          length);
      length = sizeof address;
    }
}

/* Stop accepting connections; open ones continue to be served.  */
void
http_server_stop_listening (http_server_t *server)
{
  MHD_socket fd = MHD_quiesce_daemon (server->daemon);

  if (fd == MHD_INVALID_SOCKET)
    return;
  http_server_drop_connects (fd);
  http_server_accept_backlog (server, fd);
  close (fd);
  http_server_schedule_resume (server);
}

/* Return whether bytes have arrived on CONNECTION that were not read yet.  */
static bool
connection_has_unread (const http_connection_t *connection)
{
  char byte;

  return recv (http_connection_fd (connection), &byte, 1,
               MSG_PEEK | MSG_DONTWAIT)
         > 0;
}

/* Close the connections without a request in progress, and from now on every
   connection as soon as its request has ended.  A connection on which a
   request has arrived but was not read yet stays open for it.  Returns the
   number of those; the caller calls again until there are none.  */
unsigned
http_server_close_idle (http_server_t *server)
{
  const http_connection_t *connection;
  unsigned unread = 0;

  server->is_closing_idle = true;
  LIST_FOREACH (connection, &server->connections, link)
    {
      if (connection->exchange != NULL)
        continue;
      if (connection_has_unread (connection))
        unread++;
      else
        connection_close (connection);
    }
  if (unread > 0)
    http_server_schedule_resume (server);
  return unread;
}

/* Return the port that the server listens on.  */
uint16_t
http_server_port (const http_server_t *server)
{
  return server->port;
}

/* Return the number of requests that are being received or replied to.  */
unsigned
http_server_open_exchanges (const http_server_t *server)
{
  return server->open_exchanges;
}
