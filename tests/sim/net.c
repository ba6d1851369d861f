#include "sim.h"

#include "kernel/table.h"

#include <string.h>

enum
{
  NET_DELAY_MAX_US = 4000,             /* one way */
  NET_MAX_IN_FLIGHT_BYTES = 48 * 1024, /* per direction of a connection */
  NET_CONNECT_RETRY_MS = 300, /* of a connection attempt during a partition */
  NET_SHORT_WRITE_PERCENT = 10,
  NET_RESET_ON_CLOSE_PERCENT = 30, /* the peer loses unread data */
  CORRUPTION_THRESHOLD_BYTES = 600
};

/* Bytes of one write on their way to the receiver.  */
typedef struct segment
{
  STAILQ_ENTRY (segment) link;
  struct timespec arrives_at;
  size_t size;
  size_t consumed;
  char data[];
} segment_t;

/* One end of a connection.  */
typedef struct sim_stream
{
  stream_t base;
  LIST_ENTRY (sim_stream) link;
  sim_process_t *local;
  sim_process_t *remote;
  /* NULL before connecting and after the peer closed.  */
  struct sim_stream *peer;
  worker_t *worker; /* NULL until attached */
  worker_timer_t *timer;
  bool is_connected;
  bool is_connect_failed;
  bool is_peer_closed; /* reported as end of stream after INPUT */
  bool is_reset;
  bool wants_write;
  STAILQ_HEAD (, segment) input;
  size_t input_bytes;
  struct timespec last_arrival_at; /* of the last segment of INPUT */
} sim_stream_t;

struct listener
{
  LIST_ENTRY (listener) link;
  sim_process_t *process;
  worker_t *worker;
  listener_handler_t handler;
  void *data;
};

/* A connection that is about to be passed to its listener.  */
typedef struct pending_accept
{
  listener_t *listener;
  stream_t *stream;
} pending_accept_t;

typedef struct sim_net
{
  LIST_HEAD (, sim_stream) streams;
  LIST_HEAD (, listener) listeners;
  bool is_partitioned[SIM_MAX_PROCESSES][SIM_MAX_PROCESSES];
} sim_net_t;

typedef struct sim_transport
{
  transport_t base;
  sim_process_t *process;
} sim_transport_t;

static sim_stream_t *
stream_from_base (stream_t *stream)
{
  return CONTAINER_OF (stream, sim_stream_t, base);
}

static bool
net_is_partitioned (const sim_process_t *left, const sim_process_t *right)
{
  return sim_current->net->is_partitioned[left->index][right->index];
}

static bool
stream_has_send_space (const sim_stream_t *stream)
{
  return stream->peer == NULL
         || stream->peer->input_bytes < NET_MAX_IN_FLIGHT_BYTES;
}

/* Return whether STREAM has an event to report, now or later, and set *AT to
   its time.  Failures, resets and send space are reported at once, input at
   its arrival; during a partition no input is reported.  */
static bool
stream_find_next_event (const sim_stream_t *stream, struct timespec *at)
{
  const segment_t *first = STAILQ_FIRST (&stream->input);

  *at = sim_now ();
  if (stream->is_connect_failed || stream->is_reset)
    return true;
  if (!stream->is_connected)
    return false;
  if (stream->wants_write && stream_has_send_space (stream))
    return true;
  if (net_is_partitioned (stream->local, stream->remote))
    return false;
  if (first == NULL && !stream->is_peer_closed)
    return false;
  *at = first == NULL ? stream->last_arrival_at : first->arrives_at;
  return true;
}

static void stream_schedule_events (sim_stream_t *stream);

static void
stream_report_events (worker_t *worker, void *data)
{
  sim_stream_t *stream = data;
  struct timespec at;
  unsigned events = 0;

  (void)worker;
  stream->timer = NULL;
  if (stream->is_connect_failed || stream->is_reset)
    events = STREAM_READABLE | STREAM_WRITABLE;
  else if (stream_find_next_event (stream, &at)
           && timespec_compare (at, sim_now ()) <= 0)
    events = STREAM_READABLE
             | (stream->wants_write && stream_has_send_space (stream)
                    ? STREAM_WRITABLE
                    : 0);
  if (events == 0)
    stream_schedule_events (stream);
  else
    stream->base.handler (&stream->base, events, stream->base.data);
}

/* Start the timer for the next event of STREAM, replacing a running one.  Does
   nothing before the stream is attached to a worker.  */
static void
stream_schedule_events (sim_stream_t *stream)
{
  struct timespec at;
  struct timespec delay;

  TALLOC_FREE (stream->timer);
  if (stream->worker == NULL || !stream_find_next_event (stream, &at))
    return;
  delay = timespec_subtract (at, sim_now ());
  if (delay.tv_sec < 0)
    delay = timespec_from_ms (0);
  stream->timer = worker_timer_start (stream->worker, stream, delay,
                                      stream_report_events, stream);
}

static bool
fake_stream_attach (stream_t *base, worker_t *worker)
{
  sim_stream_t *stream = stream_from_base (base);

  stream->worker = worker;
  stream->wants_write = true;
  stream_schedule_events (stream);
  return true;
}

static void
fake_stream_want_write (stream_t *base, bool is_wanted)
{
  sim_stream_t *stream = stream_from_base (base);

  stream->wants_write = is_wanted;
  stream_schedule_events (stream);
}

static status_t
fake_stream_finish_connect (stream_t *base)
{
  return stream_from_base (base)->is_connected ? STATUS_OK
                                               : STATUS_UNAVAILABLE;
}

/* Move up to SIZE bytes of arrived input to BUFFER and return their number. */
static size_t
stream_copy_input (sim_stream_t *stream, char *buffer, size_t size)
{
  size_t copied = 0;
  segment_t *first;

  while (copied < size && (first = STAILQ_FIRST (&stream->input)) != NULL
         && timespec_compare (first->arrives_at, sim_now ()) <= 0)
    {
      size_t part = first->size - first->consumed;

      if (part > size - copied)
        part = size - copied;
      memcpy (buffer + copied, first->data + first->consumed, part);
      first->consumed += part;
      copied += part;
      if (first->consumed < first->size)
        break;
      STAILQ_REMOVE_HEAD (&stream->input, link);
      talloc_free (first);
    }
  stream->input_bytes -= copied;
  return copied;
}

static ssize_t
fake_stream_read (stream_t *base, char *buffer, size_t size)
{
  sim_stream_t *stream = stream_from_base (base);
  size_t copied;

  if (stream->is_reset)
    return STREAM_BROKEN;
  if (net_is_partitioned (stream->local, stream->remote))
    return STREAM_WOULD_BLOCK;
  copied = stream_copy_input (stream, buffer, size);
  stream_schedule_events (stream);
  if (copied > 0 && stream->peer != NULL)
    stream_schedule_events (stream->peer);
  if (copied > 0)
    return (ssize_t)copied;
  return stream->is_peer_closed && STAILQ_EMPTY (&stream->input)
             ? 0
             : STREAM_WOULD_BLOCK;
}

/* With broken responses, corrupt a byte of a long write, which most likely
   belongs to a response.  */
static void
stream_corrupt (segment_t *segment)
{
  if (sim_current->broken_mechanism == SIM_BROKEN_RESPONSES
      && segment->size > CORRUPTION_THRESHOLD_BYTES)
    segment->data[segment->size / 2] ^= 1;
}

static ssize_t
fake_stream_write (stream_t *base, const char *bytes, size_t size)
{
  sim_stream_t *stream = stream_from_base (base);
  sim_stream_t *peer = stream->peer;
  struct timespec at
      = timespec_add (sim_now (), sim_random_delay (NET_DELAY_MAX_US));
  segment_t *segment;

  if (stream->is_reset || peer == NULL)
    return STREAM_BROKEN;
  if (!stream_has_send_space (stream))
    return STREAM_WOULD_BLOCK;
  if (size > NET_MAX_IN_FLIGHT_BYTES - peer->input_bytes)
    size = NET_MAX_IN_FLIGHT_BYTES - peer->input_bytes;
  if (sim_chance (NET_SHORT_WRITE_PERCENT))
    size = 1 + sim_random (size);
  segment = talloc_size (peer, sizeof *segment + size);
  memcpy (segment->data, bytes, size);
  segment->size = size;
  segment->consumed = 0;
  stream_corrupt (segment);
  if (timespec_compare (peer->last_arrival_at, at) > 0)
    at = peer->last_arrival_at;
  segment->arrives_at = peer->last_arrival_at = at;
  STAILQ_INSERT_TAIL (&peer->input, segment, link);
  peer->input_bytes += size;
  stream_schedule_events (peer);
  return (ssize_t)size;
}

static void
fake_stream_close (stream_t *base)
{
  sim_stream_t *stream = stream_from_base (base);
  sim_stream_t *peer = stream->peer;

  if (peer != NULL)
    {
      peer->peer = NULL;
      peer->is_peer_closed = true;
      if (sim_chance (NET_RESET_ON_CLOSE_PERCENT)
          && !net_is_partitioned (stream->local, stream->remote))
        peer->is_reset = true;
      stream_schedule_events (peer);
    }
  LIST_REMOVE (stream, link);
  talloc_free (stream);
}

static const stream_ops_t fake_stream_ops = {
  .attach = fake_stream_attach,
  .want_write = fake_stream_want_write,
  .finish_connect = fake_stream_finish_connect,
  .read = fake_stream_read,
  .write = fake_stream_write,
  .close = fake_stream_close,
};

static sim_stream_t *
stream_create (sim_process_t *local, sim_process_t *remote)
{
  sim_stream_t *stream = talloc_zero (NULL, sim_stream_t);

  stream->base.ops = &fake_stream_ops;
  stream->local = local;
  stream->remote = remote;
  STAILQ_INIT (&stream->input);
  LIST_INSERT_HEAD (&sim_current->net->streams, stream, link);
  return stream;
}

static void
listener_accept (worker_t *worker, void *data)
{
  pending_accept_t *pending_accept = data;
  stream_t *stream = pending_accept->stream;
  listener_t *listener = pending_accept->listener;

  (void)worker;
  talloc_free (pending_accept);
  listener->handler (stream, listener->data);
}

/* Return the listener of PROCESS, or NULL if it does not listen.  */
static listener_t *
net_find_listener (const sim_process_t *process)
{
  listener_t *listener;

  LIST_FOREACH (listener, &sim_current->net->listeners, link)
    {
      if (listener->process == process)
        return listener;
    }
  return NULL;
}

/* The connection attempt reaches the remote process: connect, fail if it does
   not listen, or retry later during a partition.  */
static void
stream_complete_connect (worker_t *worker, void *data)
{
  sim_stream_t *stream = data;
  listener_t *listener = net_find_listener (stream->remote);
  pending_accept_t *pending_accept;

  (void)worker;
  if (net_is_partitioned (stream->local, stream->remote))
    {
      sim_schedule (stream, timespec_from_ms (NET_CONNECT_RETRY_MS),
                    stream_complete_connect, stream);
      return;
    }
  if (listener == NULL)
    stream->is_connect_failed = true;
  else
    {
      stream->peer = stream_create (stream->remote, stream->local);
      stream->peer->peer = stream;
      stream->is_connected = stream->peer->is_connected = true;
      pending_accept = talloc_zero (listener, pending_accept_t);
      pending_accept->listener = listener;
      pending_accept->stream = &stream->peer->base;
      worker_timer_start (listener->worker, pending_accept,
                          timespec_from_ms (0), listener_accept,
                          pending_accept);
    }
  stream_schedule_events (stream);
}

static stream_t *
fake_transport_connect (transport_t *base, const net_address_t *address)
{
  sim_transport_t *transport = CONTAINER_OF (base, sim_transport_t, base);
  sim_process_t *remote;
  sim_stream_t *stream;

  STAILQ_FOREACH (remote, &sim_current->processes, link)
    {
      if (remote->index + SIM_FIRST_PORT != address->port)
        continue;
      stream = stream_create (transport->process, remote);
      sim_schedule (stream, sim_random_delay (NET_DELAY_MAX_US),
                    stream_complete_connect, stream);
      return &stream->base;
    }
  status_set (STATUS_IO, "no process has port %u", address->port);
  return NULL;
}

static int
listener_free (listener_t *listener)
{
  LIST_REMOVE (listener, link);
  return 0;
}

static listener_t *
fake_transport_listen (transport_t *base, worker_t *worker,
                       const net_address_t *address, uint16_t *port,
                       listener_handler_t handler, void *data)
{
  listener_t *listener = talloc_zero (worker_events (worker), listener_t);

  listener->process = CONTAINER_OF (base, sim_transport_t, base)->process;
  listener->worker = worker;
  listener->handler = handler;
  listener->data = data;
  LIST_INSERT_HEAD (&sim_current->net->listeners, listener, link);
  talloc_set_destructor (listener, listener_free);
  *port = address->port;
  return listener;
}

static void
fake_transport_stop_listening (listener_t *listener)
{
  talloc_free (listener);
}

static const transport_ops_t fake_transport_ops = {
  .connect = fake_transport_connect,
  .listen = fake_transport_listen,
  .stop_listening = fake_transport_stop_listening,
};

/* Create the network of the current simulation.  */
void
sim_net_create (void)
{
  sim_current->net = talloc_zero (sim_current, sim_net_t);
  LIST_INIT (&sim_current->net->streams);
  LIST_INIT (&sim_current->net->listeners);
}

/* Return the transport for PROCESS, which is freed when the process ends.  */
transport_t *
sim_net_transport (sim_process_t *process)
{
  sim_transport_t *transport = talloc_zero (process->context, sim_transport_t);

  transport->base.ops = &fake_transport_ops;
  transport->process = process;
  return &transport->base;
}

/* Close all connections of PROCESS after it was killed.  */
void
sim_net_close_all (sim_process_t *process)
{
  sim_stream_t *stream;
  sim_stream_t *next;

  for (stream = LIST_FIRST (&sim_current->net->streams); stream != NULL;
       stream = next)
    {
      next = LIST_NEXT (stream, link);
      if (stream->local == process)
        fake_stream_close (&stream->base);
    }
}

static bool
stream_is_between (const sim_stream_t *stream, const sim_process_t *left,
                   const sim_process_t *right)
{
  return (stream->local == left && stream->remote == right)
         || (stream->local == right && stream->remote == left);
}

/* Begin or end a network partition between LEFT and RIGHT.  Data in flight is
   delivered when the partition ends.  */
void
sim_net_set_partition (sim_process_t *left, sim_process_t *right,
                       bool is_partitioned)
{
  sim_net_t *net = sim_current->net;
  sim_stream_t *stream;

  net->is_partitioned[left->index][right->index] = is_partitioned;
  net->is_partitioned[right->index][left->index] = is_partitioned;
  LIST_FOREACH (stream, &net->streams, link)
    {
      if (stream_is_between (stream, left, right))
        stream_schedule_events (stream);
    }
}

/* Reset all connections between LEFT and RIGHT.  Data in flight is lost.  */
void
sim_net_reset (sim_process_t *left, sim_process_t *right)
{
  sim_stream_t *stream;

  LIST_FOREACH (stream, &sim_current->net->streams, link)
    {
      if (!stream_is_between (stream, left, right))
        continue;
      stream->is_reset = true;
      stream_schedule_events (stream);
    }
}
