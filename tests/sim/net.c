#include "sim.h"

#include "kernel/table.h"

#include <string.h>

enum
{
  NET_DELAY_MAX_US = 4000,
  NET_IN_FLIGHT_BYTES = 48 * 1024,
  NET_RETRY_MS = 300, /* of a connection attempt over a cut path */
  NET_PART_PERCENT = 10,
  NET_ABRUPT_PERCENT = 30
};

typedef struct segment
{
  STAILQ_ENTRY (segment) link;
  struct timespec at; /* of its arrival */
  size_t size;
  size_t taken;
  char data[];
} segment_t;

typedef struct sim_stream
{
  stream_t base;
  LIST_ENTRY (sim_stream) link;
  sim_process_t *near;
  sim_process_t *far;
  struct sim_stream *peer; /* NULL once closed */
  worker_t *worker;        /* NULL until attached */
  worker_timer_t *timer;
  bool is_connected;
  bool is_failed; /* to connect */
  bool is_ended;  /* by the peer, after the input */
  bool is_broken;
  bool wants_write;
  STAILQ_HEAD (, segment) input;
  size_t input_bytes;
  struct timespec last_at; /* arrival of the newest input */
} sim_stream_t;

struct listener
{
  LIST_ENTRY (listener) link;
  sim_process_t *process;
  worker_t *worker;
  listener_handler_t handler;
  void *data;
};

typedef struct accepted
{
  listener_t *listener;
  stream_t *stream;
} accepted_t;

typedef struct sim_net
{
  LIST_HEAD (, sim_stream) streams;
  LIST_HEAD (, listener) listeners;
  bool is_cut[SIM_MAX_PROCESSES][SIM_MAX_PROCESSES];
} sim_net_t;

typedef struct sim_transport
{
  transport_t base;
  sim_process_t *process;
} sim_transport_t;

static sim_stream_t *
sim_of (stream_t *stream)
{
  return CONTAINER_OF (stream, sim_stream_t, base);
}

static bool
net_is_cut (const sim_process_t *left, const sim_process_t *right)
{
  return sim_current->net->is_cut[left->index][right->index];
}

static bool
stream_has_room (const sim_stream_t *stream)
{
  return stream->peer == NULL
         || stream->peer->input_bytes < NET_IN_FLIGHT_BYTES;
}

/* Return whether anything is to be reported, and set *AT to when.  */
static bool
stream_due (const sim_stream_t *stream, struct timespec *at)
{
  const segment_t *first = STAILQ_FIRST (&stream->input);

  *at = sim_now ();
  if (stream->is_failed || stream->is_broken)
    return true;
  if (!stream->is_connected)
    return false;
  if (stream->wants_write && stream_has_room (stream))
    return true;
  if (net_is_cut (stream->near, stream->far))
    return false;
  if (first == NULL && !stream->is_ended)
    return false;
  *at = first == NULL ? stream->last_at : first->at;
  return true;
}

static void stream_arm (sim_stream_t *stream);

static void
stream_fire (worker_t *worker, void *data)
{
  sim_stream_t *stream = data;
  struct timespec at;
  unsigned events = 0;

  (void)worker;
  stream->timer = NULL;
  if (stream->is_failed || stream->is_broken)
    events = STREAM_READABLE | STREAM_WRITABLE;
  else if (stream_due (stream, &at) && timespec_compare (at, sim_now ()) <= 0)
    events
        = STREAM_READABLE
          | (stream->wants_write && stream_has_room (stream) ? STREAM_WRITABLE
                                                             : 0);
  if (events == 0)
    stream_arm (stream);
  else
    stream->base.handler (&stream->base, events, stream->base.data);
}

/* Have the owner called when something is due.  */
static void
stream_arm (sim_stream_t *stream)
{
  struct timespec at;
  struct timespec delay;

  TALLOC_FREE (stream->timer);
  if (stream->worker == NULL || !stream_due (stream, &at))
    return;
  delay = timespec_subtract (at, sim_now ());
  if (delay.tv_sec < 0)
    delay = timespec_from_ms (0);
  stream->timer = worker_timer_start (stream->worker, stream, delay,
                                      stream_fire, stream);
}

static bool
sim_attach (stream_t *base, worker_t *worker)
{
  sim_stream_t *stream = sim_of (base);

  stream->worker = worker;
  stream->wants_write = true;
  stream_arm (stream);
  return true;
}

static void
sim_want_write (stream_t *base, bool is_wanted)
{
  sim_stream_t *stream = sim_of (base);

  stream->wants_write = is_wanted;
  stream_arm (stream);
}

static status_t
sim_finish_connect (stream_t *base)
{
  return sim_of (base)->is_connected ? STATUS_OK : STATUS_UNAVAILABLE;
}

static size_t
stream_take (sim_stream_t *stream, char *buffer, size_t size)
{
  size_t taken = 0;
  segment_t *first;

  while (taken < size && (first = STAILQ_FIRST (&stream->input)) != NULL
         && timespec_compare (first->at, sim_now ()) <= 0)
    {
      size_t part = first->size - first->taken;

      if (part > size - taken)
        part = size - taken;
      memcpy (buffer + taken, first->data + first->taken, part);
      first->taken += part;
      taken += part;
      if (first->taken < first->size)
        break;
      STAILQ_REMOVE_HEAD (&stream->input, link);
      talloc_free (first);
    }
  stream->input_bytes -= taken;
  return taken;
}

static ssize_t
sim_read (stream_t *base, char *buffer, size_t size)
{
  sim_stream_t *stream = sim_of (base);
  size_t taken;

  if (stream->is_broken)
    return STREAM_BROKEN;
  if (net_is_cut (stream->near, stream->far))
    return STREAM_WOULD_BLOCK;
  taken = stream_take (stream, buffer, size);
  stream_arm (stream);
  if (taken > 0 && stream->peer != NULL)
    stream_arm (stream->peer);
  if (taken > 0)
    return (ssize_t)taken;
  return stream->is_ended && STAILQ_EMPTY (&stream->input)
             ? 0
             : STREAM_WOULD_BLOCK;
}

/* Change a byte of a long write, which is most likely part of an answer.  */
static void
stream_corrupt (segment_t *segment)
{
  if (sim_current->broken == SIM_BROKEN_ANSWERS && segment->size > 600)
    segment->data[segment->size / 2] ^= 1;
}

static ssize_t
sim_write (stream_t *base, const char *bytes, size_t size)
{
  sim_stream_t *stream = sim_of (base);
  sim_stream_t *peer = stream->peer;
  struct timespec at = timespec_add (sim_now (), sim_delay (NET_DELAY_MAX_US));
  segment_t *segment;

  if (stream->is_broken || peer == NULL)
    return STREAM_BROKEN;
  if (!stream_has_room (stream))
    return STREAM_WOULD_BLOCK;
  if (size > NET_IN_FLIGHT_BYTES - peer->input_bytes)
    size = NET_IN_FLIGHT_BYTES - peer->input_bytes;
  if (sim_chance (NET_PART_PERCENT))
    size = 1 + sim_random (size);
  segment = talloc_size (peer, sizeof *segment + size);
  memcpy (segment->data, bytes, size);
  segment->size = size;
  segment->taken = 0;
  stream_corrupt (segment);
  if (timespec_compare (peer->last_at, at) > 0)
    at = peer->last_at;
  segment->at = peer->last_at = at;
  STAILQ_INSERT_TAIL (&peer->input, segment, link);
  peer->input_bytes += size;
  stream_arm (peer);
  return (ssize_t)size;
}

static void
sim_close (stream_t *base)
{
  sim_stream_t *stream = sim_of (base);
  sim_stream_t *peer = stream->peer;

  if (peer != NULL)
    {
      peer->peer = NULL;
      peer->is_ended = true;
      if (sim_chance (NET_ABRUPT_PERCENT)
          && !net_is_cut (stream->near, stream->far))
        peer->is_broken = true;
      stream_arm (peer);
    }
  LIST_REMOVE (stream, link);
  talloc_free (stream);
}

static const stream_ops_t sim_stream_ops = {
  .attach = sim_attach,
  .want_write = sim_want_write,
  .finish_connect = sim_finish_connect,
  .read = sim_read,
  .write = sim_write,
  .close = sim_close,
};

static sim_stream_t *
stream_create (sim_process_t *near, sim_process_t *far)
{
  sim_stream_t *stream = talloc_zero (NULL, sim_stream_t);

  stream->base.ops = &sim_stream_ops;
  stream->near = near;
  stream->far = far;
  STAILQ_INIT (&stream->input);
  LIST_INSERT_HEAD (&sim_current->net->streams, stream, link);
  return stream;
}

static void
listener_accept (worker_t *worker, void *data)
{
  accepted_t *accepted = data;
  stream_t *stream = accepted->stream;
  listener_t *listener = accepted->listener;

  (void)worker;
  talloc_free (accepted);
  listener->handler (stream, listener->data);
}

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

/* The attempt to connect reaches the other side.  */
static void
stream_arrive (worker_t *worker, void *data)
{
  sim_stream_t *stream = data;
  listener_t *listener = net_find_listener (stream->far);
  accepted_t *accepted;

  (void)worker;
  if (net_is_cut (stream->near, stream->far))
    {
      sim_after (stream, timespec_from_ms (NET_RETRY_MS), stream_arrive,
                 stream);
      return;
    }
  if (listener == NULL)
    stream->is_failed = true;
  else
    {
      stream->peer = stream_create (stream->far, stream->near);
      stream->peer->peer = stream;
      stream->is_connected = stream->peer->is_connected = true;
      accepted = talloc_zero (listener, accepted_t);
      accepted->listener = listener;
      accepted->stream = &stream->peer->base;
      worker_timer_start (listener->worker, accepted, timespec_from_ms (0),
                          listener_accept, accepted);
    }
  stream_arm (stream);
}

static stream_t *
net_connect_to (transport_t *base, const net_address_t *address)
{
  sim_transport_t *transport = CONTAINER_OF (base, sim_transport_t, base);
  sim_process_t *far;
  sim_stream_t *stream;

  STAILQ_FOREACH (far, &sim_current->processes, link)
    {
      if (far->index + SIM_FIRST_PORT != address->port)
        continue;
      stream = stream_create (transport->process, far);
      sim_after (stream, sim_delay (NET_DELAY_MAX_US), stream_arrive, stream);
      return &stream->base;
    }
  status_set (STATUS_IO, "nobody has port %u", address->port);
  return NULL;
}

static int
listener_free (listener_t *listener)
{
  LIST_REMOVE (listener, link);
  return 0;
}

static listener_t *
net_listen_on (transport_t *base, worker_t *worker,
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
net_stop_listening (listener_t *listener)
{
  talloc_free (listener);
}

static const transport_ops_t net_ops = {
  .connect = net_connect_to,
  .listen = net_listen_on,
  .stop_listening = net_stop_listening,
};

/* Create the network of the present run.  */
void
sim_net_create (void)
{
  sim_current->net = talloc_zero (sim_current, sim_net_t);
  LIST_INIT (&sim_current->net->streams);
  LIST_INIT (&sim_current->net->listeners);
}

/* Return the network as PROCESS uses it in its present run.  */
transport_t *
sim_net_transport (sim_process_t *process)
{
  sim_transport_t *transport = talloc_zero (process->memory, sim_transport_t);

  transport->base.ops = &net_ops;
  transport->process = process;
  return &transport->base;
}

/* Close what PROCESS, which is gone, has left open.  */
void
sim_net_drop (sim_process_t *process)
{
  sim_stream_t *stream;
  sim_stream_t *next;

  for (stream = LIST_FIRST (&sim_current->net->streams); stream != NULL;
       stream = next)
    {
      next = LIST_NEXT (stream, link);
      if (stream->near == process)
        sim_close (&stream->base);
    }
}

static bool
stream_is_between (const sim_stream_t *stream, const sim_process_t *left,
                   const sim_process_t *right)
{
  return (stream->near == left && stream->far == right)
         || (stream->near == right && stream->far == left);
}

/* Stop all traffic between LEFT and RIGHT, or let it through again; what was
   on its way arrives then.  */
void
sim_net_cut (sim_process_t *left, sim_process_t *right, bool is_cut)
{
  sim_net_t *net = sim_current->net;
  sim_stream_t *stream;

  net->is_cut[left->index][right->index] = is_cut;
  net->is_cut[right->index][left->index] = is_cut;
  LIST_FOREACH (stream, &net->streams, link)
    {
      if (stream_is_between (stream, left, right))
        stream_arm (stream);
    }
}

/* Break the connections between LEFT and RIGHT; what was on its way is
   lost.  */
void
sim_net_reset (sim_process_t *left, sim_process_t *right)
{
  sim_stream_t *stream;

  LIST_FOREACH (stream, &sim_current->net->streams, link)
    {
      if (!stream_is_between (stream, left, right))
        continue;
      stream->is_broken = true;
      stream_arm (stream);
    }
}
