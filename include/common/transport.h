#ifndef SISKIN_COMMON_TRANSPORT_H
#define SISKIN_COMMON_TRANSPORT_H

#include "common/net.h"
#include "kernel/pool.h"

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

/* How the system's processes reach each other: streams of bytes.  Both sides
   of a stream embed stream_t in an object of their own.  */
typedef struct transport transport_t;
typedef struct listener listener_t;
typedef struct stream stream_t;
typedef struct stream_ops stream_ops_t;

enum
{
  STREAM_READABLE = 1,
  STREAM_WRITABLE = 2,
  STREAM_WOULD_BLOCK = -1, /* from read or write: nothing can be done now */
  STREAM_BROKEN = -2       /* from read or write */
};

/* EVENTS is a set of STREAM_READABLE and STREAM_WRITABLE.  */
typedef void (*stream_handler_t) (stream_t *stream, unsigned events,
                                  void *data);

struct stream
{
  const stream_ops_t *ops;
  stream_handler_t handler;
  void *data;
};

struct stream_ops
{
  /* Report both events on WORKER, to which the stream then belongs.  Returns
     false when memory is exhausted.  */
  bool (*attach) (stream_t *stream, worker_t *worker);
  /* Whether STREAM_WRITABLE is to be reported.  */
  void (*want_write) (stream_t *stream, bool is_wanted);
  /* The result of connecting, once an event was reported.  */
  status_t (*finish_connect) (stream_t *stream);
  /* How many bytes were taken, 0 at the end of the stream, or
     STREAM_WOULD_BLOCK or STREAM_BROKEN.  */
  ssize_t (*read) (stream_t *stream, char *buffer, size_t size);
  ssize_t (*write) (stream_t *stream, const char *bytes, size_t size);
  /* Close and free the stream; no event follows.  */
  void (*close) (stream_t *stream);
};

/* STREAM is the handler's to attach, on any worker, or to close.  */
typedef void (*listener_handler_t) (stream_t *stream, void *data);

typedef struct transport_ops
{
  /* NULL with the status message set when it cannot even start.  */
  stream_t *(*connect) (transport_t *transport, const net_address_t *address);
  /* NULL with the status message set; *PORT is the one taken.  */
  listener_t *(*listen) (transport_t *transport, worker_t *worker,
                         const net_address_t *address, uint16_t *port,
                         listener_handler_t handler, void *data);
  void (*stop_listening) (listener_t *listener);
} transport_ops_t;

struct transport
{
  const transport_ops_t *ops;
};

transport_t *transport_tcp (void);
stream_t *transport_connect (transport_t *transport,
                             const net_address_t *address);
listener_t *transport_listen (transport_t *transport, worker_t *worker,
                              const net_address_t *address, uint16_t *port,
                              listener_handler_t handler, void *data);
void transport_stop_listening (transport_t *transport, listener_t *listener);
bool stream_attach (stream_t *stream, worker_t *worker,
                    stream_handler_t handler, void *data);
void stream_want_write (stream_t *stream, bool is_wanted);
status_t stream_finish_connect (stream_t *stream);
ssize_t stream_read (stream_t *stream, char *buffer, size_t size);
ssize_t stream_write (stream_t *stream, const char *bytes, size_t size);
void stream_close (stream_t *stream);

#endif
