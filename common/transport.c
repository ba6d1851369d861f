#include "common/transport.h"

/* Start a connection to ADDRESS.  Returns NULL with the status message set
   when it cannot even start.  */
stream_t *
transport_connect (transport_t *transport, const net_address_t *address)
{
  return transport->ops->connect (transport, address);
}

/* Listen on ADDRESS; port 0 takes a free one.  HANDLER is called on WORKER
   with each connection.  Returns NULL with the status message set when the
   address cannot be bound.  */
listener_t *
transport_listen (transport_t *transport, worker_t *worker,
                  const net_address_t *address, uint16_t *port,
                  listener_handler_t handler, void *data)
{
  return transport->ops->listen (transport, worker, address, port, handler,
                                 data);
}

/* Take no more connections and free LISTENER.  */
void
transport_stop_listening (transport_t *transport, listener_t *listener)
{
  transport->ops->stop_listening (listener);
}

/* Give STREAM to WORKER, whose thread this is, and report its events to
   HANDLER.  Returns false when memory is exhausted.  */
bool
stream_attach (stream_t *stream, worker_t *worker, stream_handler_t handler,
               void *data)
{
  stream->handler = handler;
  stream->data = data;
  return stream->ops->attach (stream, worker);
}

/* Choose whether HANDLER hears of room to write; at first it does.  */
void
stream_want_write (stream_t *stream, bool is_wanted)
{
  stream->ops->want_write (stream, is_wanted);
}

/* Return the result of connecting, once an event was reported.  */
status_t
stream_finish_connect (stream_t *stream)
{
  return stream->ops->finish_connect (stream);
}

/* Read up to SIZE bytes.  Returns how many, 0 at the end, or
   STREAM_WOULD_BLOCK or STREAM_BROKEN.  */
ssize_t
stream_read (stream_t *stream, char *buffer, size_t size)
{
  return stream->ops->read (stream, buffer, size);
}

/* Write up to SIZE bytes.  Returns how many were taken, or STREAM_WOULD_BLOCK
   or STREAM_BROKEN; what was taken may still be lost.  */
ssize_t
stream_write (stream_t *stream, const char *bytes, size_t size)
{
  return stream->ops->write (stream, bytes, size);
}

/* Close and free STREAM.  */
void
stream_close (stream_t *stream)
{
  stream->ops->close (stream);
}
