#include "common/transport.h"

#include "kernel/table.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  /* Pause after no connection could be accepted.  */
  ACCEPT_PAUSE_MS = 100
};

typedef struct tcp_stream
{
  stream_t base;
  int fd;
  struct tevent_fd *event;
} tcp_stream_t;

struct listener
{
  int fd;
  worker_t *worker;
  struct tevent_fd *event;
  listener_handler_t handler;
  void *data;
};

static tcp_stream_t *
tcp_of (stream_t *stream)
{
  return CONTAINER_OF (stream, tcp_stream_t, base);
}

static void
tcp_handle_event (struct tevent_context *events, struct tevent_fd *event,
                  uint16_t flags, void *data)
{
  tcp_stream_t *tcp = data;
  unsigned seen = 0;

  (void)events;
  (void)event;
  if ((flags & TEVENT_FD_READ) != 0)
    seen |= STREAM_READABLE;
  if ((flags & TEVENT_FD_WRITE) != 0)
    seen |= STREAM_WRITABLE;
  tcp->base.handler (&tcp->base, seen, tcp->base.data);
}

static bool
tcp_attach (stream_t *stream, worker_t *worker)
{
  tcp_stream_t *tcp = tcp_of (stream);

  tcp->event = tevent_add_fd (worker_events (worker), tcp, tcp->fd,
                              TEVENT_FD_READ | TEVENT_FD_WRITE,
                              tcp_handle_event, tcp);
  return tcp->event != NULL;
}

static void
tcp_want_write (stream_t *stream, bool is_wanted)
{
  tcp_stream_t *tcp = tcp_of (stream);

  if (is_wanted)
    TEVENT_FD_WRITEABLE (tcp->event);
  else
    TEVENT_FD_NOT_WRITEABLE (tcp->event);
}

static status_t
tcp_finish_connect (stream_t *stream)
{
  int error = 0;
  socklen_t length = sizeof error;

  if (getsockopt (tcp_of (stream)->fd, SOL_SOCKET, SO_ERROR, &error, &length)
          != 0
      || error != 0)
    return STATUS_UNAVAILABLE;
  return STATUS_OK;
}

/* Convert the result of recv or send to that of stream_read or
   stream_write.  */
static ssize_t
tcp_result (ssize_t result)
{
  if (result >= 0)
    return result;
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR
             ? STREAM_WOULD_BLOCK
             : STREAM_BROKEN;
}

static ssize_t
tcp_read (stream_t *stream, char *buffer, size_t size)
{
  return tcp_result (recv (tcp_of (stream)->fd, buffer, size, 0));
}

static ssize_t
tcp_write (stream_t *stream, const char *bytes, size_t size)
{
  return tcp_result (send (tcp_of (stream)->fd, bytes, size, MSG_NOSIGNAL));
}

static void
tcp_close (stream_t *stream)
{
  tcp_stream_t *tcp = tcp_of (stream);

  TALLOC_FREE (tcp->event);
  close (tcp->fd);
  talloc_free (tcp);
}

static const stream_ops_t tcp_stream_ops = {
  .attach = tcp_attach,
  .want_write = tcp_want_write,
  .finish_connect = tcp_finish_connect,
  .read = tcp_read,
  .write = tcp_write,
  .close = tcp_close,
};

/* Return a new stream on FD, or NULL when memory is exhausted; FD is closed
   then.  */
static stream_t *
tcp_create (int fd)
{
  tcp_stream_t *tcp = talloc_zero (NULL, tcp_stream_t);

  if (tcp == NULL)
    {
      close (fd);
      status_set (STATUS_NO_MEMORY, "no memory for a connection");
      return NULL;
    }
  net_set_nodelay (fd);
  tcp->base.ops = &tcp_stream_ops;
  tcp->fd = fd;
  return &tcp->base;
}

static stream_t *
tcp_connect (transport_t *transport, const net_address_t *address)
{
  int fd;

  (void)transport;
  return net_connect (address, &fd) == STATUS_OK ? tcp_create (fd) : NULL;
}

static void
listener_handle_pause_end (worker_t *worker, void *data)
{
  listener_t *listener = data;

  (void)worker;
  tevent_fd_set_flags (listener->event, TEVENT_FD_READ);
}

/* Descriptors or memory are exhausted.  The listening socket remains readable,
   so it is not watched for a short time.  */
static void
listener_pause (listener_t *listener)
{
  tevent_fd_set_flags (listener->event, 0);
  worker_timer_start (listener->worker, listener,
                      timespec_from_ms (ACCEPT_PAUSE_MS),
                      listener_handle_pause_end, listener);
}

static void
tcp_handle_accept (struct tevent_context *events, struct tevent_fd *event,
                   uint16_t flags, void *data)
{
  listener_t *listener = data;
  int fd = accept4 (listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  stream_t *stream = fd < 0 ? NULL : tcp_create (fd);

  (void)events;
  (void)event;
  (void)flags;
  if (stream != NULL)
    listener->handler (stream, listener->data);
  else if (fd < 0 && errno != EAGAIN && errno != EINTR
           && errno != ECONNABORTED)
    listener_pause (listener);
}

static listener_t *
tcp_listen (transport_t *transport, worker_t *worker,
            const net_address_t *address, uint16_t *port,
            listener_handler_t handler, void *data)
{
  listener_t *listener;
  int fd;

  (void)transport;
  if (net_listen (address, &fd, port) != STATUS_OK)
    return NULL;
  listener = talloc_zero (worker_events (worker), listener_t);
  if (listener == NULL)
    {
      close (fd);
      return NULL;
    }
  listener->fd = fd;
  listener->worker = worker;
  listener->handler = handler;
  listener->data = data;
  listener->event
      = tevent_add_fd (worker_events (worker), listener, fd, TEVENT_FD_READ,
                       tcp_handle_accept, listener);
  return listener;
}

static void
tcp_stop_listening (listener_t *listener)
{
  TALLOC_FREE (listener->event);
  close (listener->fd);
  talloc_free (listener);
}

static const transport_ops_t tcp_ops = {
  .connect = tcp_connect,
  .listen = tcp_listen,
  .stop_listening = tcp_stop_listening,
};

/* Return the transport over TCP.  */
transport_t *
transport_tcp (void)
{
  static transport_t tcp = { .ops = &tcp_ops };

  return &tcp;
}
