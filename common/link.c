#include "common/link_state.h"

#include "kernel/counter.h"
#include "kernel/log.h"
#include "kernel/table.h"

#include <arpa/inet.h>
#include <string.h>

enum
{
  LINK_READ_SIZE_BYTES = 64 * 1024,
  /* Input buffers of more than this size are freed when they are empty.  */
  LINK_IDLE_INPUT_MAX_BYTES = 128 * 1024,
  /* Maximum size of a frame before the peer's FRAME_HELLO.  */
  LINK_HELLO_MAX_BYTES = 16 * 1024,
  /* Input and output up to this size are not accounted, and more is in steps,
     so that ordinary frames do not take the budget's lock.  */
  LINK_UNCHARGED_BYTES = 16 * 1024,
  LINK_CHARGE_STEP_BYTES = 16 * 1024,
  LINK_OUTPUT_MAX_BYTES
  = 32 * 1024 * 1024, /* maximum queued for a slow peer */
  LINK_HELLO_TIMEOUT_MS = 3000,
  LINK_PING_INTERVAL_MS = 1000,
  LINK_RECEIVE_TIMEOUT_MS = 4000 /* a link without received data is closed */
};

COUNTER_DEFINE (frames_sent, "siskin_frames_sent_total", "Frames sent");
COUNTER_DEFINE (frames_received, "siskin_frames_received_total",
                "Frames received");
COUNTER_DEFINE (frame_bytes_sent, "siskin_frame_bytes_sent_total",
                "Bytes of frames sent");
COUNTER_DEFINE (bad_peers, "siskin_bad_peers_total",
                "Connections ended for a frame outside the protocol");

static void
link_handle_close (worker_t *worker, void *data)
{
  link_t *link = data;

  (void)worker;
  link->ops->on_closed (link, link->close_reason, link->data);
  talloc_free (link);
}

/* Close the connection.  on_closed is called from the event loop soon
   afterwards, never within this function.  REASON is not copied and must
   remain valid until then.  */
void
link_close (link_t *link, const char *reason)
{
  if (link->is_closed)
    return;
  link->is_closed = true;
  link->close_reason = reason;
  if (link->requested_revision > node_settings_revision (link->node))
    node_cancel_settings_fetch (link->node, link->requested_revision);
  TALLOC_FREE (link->timer);
  stream_close (link->stream);
  link->stream = NULL;
  worker_timer_start (link->worker, link, timespec_from_ms (0),
                      link_handle_close, link);
}

/* Return what to account for input and output.  */
static size_t
link_charge (const link_t *link)
{
  return memory_round_up (link->input_used + link->output_bytes,
                          LINK_UNCHARGED_BYTES, LINK_CHARGE_STEP_BYTES);
}

/* The link waits for its peer while it holds much for it, and before the
   peer's FRAME_HELLO.  */
static void
link_update_waiting (link_t *link)
{
  memory_holder_set_waiting (&link->memory,
                             !link->has_hello || link_charge (link) > 0);
}

/* Account for input and output.  Returns false if there is no room for
   more.  */
static bool
link_update_memory (link_t *link)
{
  link_update_waiting (link);
  return memory_set_held (&link->memory, link_charge (link));
}

/* Account for a frame that was queued.  It is not refused, since the peer
   would miss it.  */
static void
link_charge_output (link_t *link)
{
  size_t target = link_charge (link);

  if (target > link->memory.held)
    memory_charge (&link->memory, target - link->memory.held);
  link_update_waiting (link);
}

static void
link_handle_drop (memory_holder_t *holder, memory_reason_t reason)
{
  link_t *link = CONTAINER_OF (holder, link_t, memory);

  (void)reason;
  log_event (LOG_LEVEL_NOTICE, "peer-dropped", "peer=%s input=%zu output=%zu",
             link_peer_name (link), link->input_used, link->output_bytes);
  link_close (link, "memory-pressure");
}

static const memory_holder_ops_t link_memory_ops
    = { .drop = link_handle_drop };

/* Write queued frames until the stream would block, and request
   STREAM_WRITABLE events while frames remain.  */
static void
link_flush (link_t *link)
{
  outgoing_frame_t *first;

  while ((first = STAILQ_FIRST (&link->output)) != NULL)
    {
      ssize_t written
          = stream_write (link->stream, first->data + first->written,
                          first->size - first->written);

      if (written == STREAM_WOULD_BLOCK)
        break;
      if (written < 0)
        {
          link_close (link, "write-failed");
          return;
        }
      first->written += (size_t)written;
      link->output_bytes -= (size_t)written;
      memory_holder_progress (&link->memory);
      if (first->written < first->size)
        break;
      STAILQ_REMOVE_HEAD (&link->output, link);
      talloc_free (first);
    }
  stream_want_write (link->stream, !STAILQ_EMPTY (&link->output));
  link_update_memory (link);
}

/* Queue FRAME for the peer.  Sets the members of the header that describe the
   sender.  Returns STATUS_UNAVAILABLE on a closed link, STATUS_TOO_LARGE for
   an oversized frame or when too much data is queued because the peer does not
   read, and STATUS_NO_MEMORY.  After an error the frame was not sent; after
   STATUS_OK it may or may not arrive.  */
status_t
link_send (link_t *link, const frame_t *frame)
{
  frame_t stamped = *frame;
  outgoing_frame_t *out;

  if (link->is_closed)
    return status_set (STATUS_UNAVAILABLE, "link is closed");
  if (link->output_bytes > LINK_OUTPUT_MAX_BYTES)
    {
      link_close (link, "peer-does-not-read");
      return status_set (STATUS_TOO_LARGE, "peer does not read");
    }
  node_fill_header (link->node, &stamped.header);
  stamped.header.sent_ms = link_now_ms (link);
  stamped.header.echo_ms = link->peer_sent_ms;
  out = talloc_zero (link, outgoing_frame_t);
  if (out == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a frame");
  out->data = frame_encode (out, &stamped, &out->size);
  if (out->data == NULL)
    {
      talloc_free (out);
      return status_set (STATUS_TOO_LARGE, "frame is over %d bytes",
                         FRAME_MAX_BYTES);
    }
  counter_add (&frames_sent, 1);
  counter_add (&frame_bytes_sent, (int64_t)out->size);
  STAILQ_INSERT_TAIL (&link->output, out, link);
  link->output_bytes += out->size;
  link->last_sent = clock_monotonic (worker_clock (link->worker));
  if (link->is_connected)
    link_flush (link);
  if (!link->is_closed)
    link_charge_output (link);
  return STATUS_OK;
}

static void
link_handle_hello (link_t *link, const frame_t *frame)
{
  const frame_hello_t *hello = &frame->body.hello;

  if (hello->version != FRAME_PROTOCOL_VERSION
      || hello->role >= NODE_ROLE_COUNT)
    {
      counter_add (&bad_peers, 1);
      link_close (link, "bad-hello");
      return;
    }
  link->has_hello = true;
  link->peer_name = talloc_strdup (link, hello->name);
  link->peer_zone = talloc_strdup (link, hello->zone);
  link->peer_role = (node_role_t)hello->role;
  link->peer_incarnation = frame->header.incarnation;
  link->ops->on_open (link, hello, link->data);
}

static void
link_dispatch (link_t *link, const frame_t *frame)
{
  link_update_echo (link, &frame->header);
  if (!link->has_hello && frame->header.type != FRAME_HELLO)
    {
      counter_add (&bad_peers, 1);
      link_close (link, "no-hello");
      return;
    }
  link_update_clock_offset (link, &frame->header);
  switch (frame->header.type)
    {
    case FRAME_HELLO:
      link_handle_hello (link, frame);
      break;
    case FRAME_PING:
      break;
    case FRAME_SETTINGS_REQUEST:
      link_send_settings (link);
      break;
    case FRAME_SETTINGS:
      link_adopt_settings (link, frame);
      break;
    default:
      link->ops->on_frame (link, frame, link->data);
      break;
    }
  if (!link->is_closed)
    link_request_newer_settings (link, &frame->header);
  if (!link->is_closed)
    link_report_revision (link, &frame->header);
}

static bool
link_handle_payload (link_t *link, const char *payload, size_t size)
{
  TALLOC_CTX *scratch = talloc_new (link);
  frame_t frame;
  status_t status = frame_decode (scratch, payload, size, &frame);

  if (status != STATUS_OK)
    {
      counter_add (&bad_peers, 1);
      log_event (LOG_LEVEL_WARN, "bad-peer", "peer=%s error=\"%s\"",
                 link_peer_name (link), status_message ());
      link_close (link, "bad-frame");
    }
  else
    {
      counter_add (&frames_received, 1);
      link_dispatch (link, &frame);
    }
  talloc_free (scratch);
  return !link->is_closed;
}

/* Handle and remove the complete frames in the input buffer.  Returns false
   when the link was closed.  */
static bool
link_parse_input (link_t *link)
{
  size_t consumed = 0;

  while (link->input_used - consumed >= FRAME_PREFIX_BYTES)
    {
      uint32_t prefix;
      size_t size;

      memcpy (&prefix, link->input + consumed, FRAME_PREFIX_BYTES);
      size = ntohl (prefix);
      if (size > (link->has_hello ? FRAME_MAX_BYTES : LINK_HELLO_MAX_BYTES))
        {
          counter_add (&bad_peers, 1);
          link_close (link, "oversized-frame");
          return false;
        }
      if (link->input_used - consumed < FRAME_PREFIX_BYTES + size)
        break;
      if (!link_handle_payload (
              link, link->input + consumed + FRAME_PREFIX_BYTES, size))
        return false;
      consumed += FRAME_PREFIX_BYTES + size;
    }
  if (consumed > 0)
    {
      memmove (link->input, link->input + consumed,
               link->input_used - consumed);
      link->input_used -= consumed;
    }
  return true;
}

static void
link_read (link_t *link)
{
  ssize_t received;

  if (talloc_get_size (link->input) < link->input_used + LINK_READ_SIZE_BYTES)
    {
      size_t new_size = link->input_used + LINK_READ_SIZE_BYTES;
      char *larger = talloc_realloc (link, link->input, char, new_size);

      if (larger == NULL)
        {
          link_close (link, "no-memory");
          return;
        }
      link->input = larger;
    }
  received = stream_read (link->stream, link->input + link->input_used,
                          LINK_READ_SIZE_BYTES);
  if (received == STREAM_WOULD_BLOCK)
    return;
  if (received <= 0)
    {
      link_close (link, received == 0 ? "peer-closed" : "read-failed");
      return;
    }
  link->last_received = clock_monotonic (worker_clock (link->worker));
  link->input_used += (size_t)received;
  memory_holder_progress (&link->memory);
  if (!link_parse_input (link))
    return;
  if (link->input_used == 0
      && talloc_get_size (link->input) > LINK_IDLE_INPUT_MAX_BYTES)
    TALLOC_FREE (link->input);
  if (!link_update_memory (link))
    link_close (link, "no-memory");
}

static bool
link_finish_connect (link_t *link)
{
  if (stream_finish_connect (link->stream) != STATUS_OK)
    {
      link_close (link, "connect-failed");
      return false;
    }
  link->is_connected = true;
  link->last_received = clock_monotonic (worker_clock (link->worker));
  return true;
}

static void
link_handle_event (stream_t *stream, unsigned events, void *data)
{
  link_t *link = data;

  (void)stream;
  if (!link->is_connected && !link_finish_connect (link))
    return;
  if ((events & STREAM_WRITABLE) != 0)
    link_flush (link);
  if (!link->is_closed && (events & STREAM_READABLE) != 0)
    link_read (link);
}

static void link_arm_timer (link_t *link);

static void
link_handle_timer (worker_t *worker, void *data)
{
  link_t *link = data;
  struct timespec current = clock_monotonic (worker_clock (link->worker));
  frame_t ping = { .header = { .type = FRAME_PING } };
  int64_t silent_ms;

  (void)worker;
  link->timer = NULL;
  silent_ms
      = timespec_to_ms (timespec_subtract (current, link->last_received));
  if (silent_ms
      >= (link->has_hello ? LINK_RECEIVE_TIMEOUT_MS : LINK_HELLO_TIMEOUT_MS))
    {
      link_close (link, "peer-silent");
      return;
    }
  if (timespec_to_ms (timespec_subtract (current, link->last_sent))
      >= LINK_PING_INTERVAL_MS)
    link_send (link, &ping);
  if (!link->is_closed)
    link_arm_timer (link);
}

static void
link_arm_timer (link_t *link)
{
  link->timer = worker_timer_start (link->worker, link,
                                    timespec_from_ms (LINK_PING_INTERVAL_MS),
                                    link_handle_timer, link);
}

static int
link_free (link_t *link)
{
  if (link->stream != NULL)
    stream_close (link->stream);
  memory_holder_end (&link->memory);
  return 0;
}

static link_t *
link_create (worker_t *worker, node_t *node, stream_t *stream,
             const link_ops_t *ops, void *data)
{
  link_t *link = talloc_zero (worker_events (worker), link_t);
  frame_t hello;

  if (link == NULL || !stream_attach (stream, worker, link_handle_event, link))
    {
      talloc_free (link);
      stream_close (stream);
      return NULL;
    }
  link->worker = worker;
  link->node = node;
  link->ops = ops;
  link->data = data;
  link->stream = stream;
  STAILQ_INIT (&link->output);
  link->last_received = clock_monotonic (worker_clock (worker));
  talloc_set_destructor (link, link_free);
  link_arm_timer (link);
  node_fill_hello (node, &hello);
  link_send (link, &hello);
  return link;
}

/* Create a link on STREAM, a connection accepted from a peer, and become the
   owner of STREAM.  Must be called on WORKER's thread, like all functions of a
   link.  Returns NULL when memory is exhausted or there are too many
   connections; STREAM is closed then.  */
link_t *
link_accept (worker_t *worker, node_t *node, stream_t *stream,
             const link_ops_t *ops, void *data)
{
  link_t *link;

  if (!memory_admit_connection (worker_memory (worker)))
    {
      stream_close (stream);
      return NULL;
    }
  link = link_create (worker, node, stream, ops, data);
  if (link != NULL)
    memory_holder_start_connection (&link->memory, worker_memory (worker),
                                    &link_memory_ops);
  return link;
}

/* Start to connect to ADDRESS.  Frames sent before the connection is
   established are queued.  Returns NULL with the status message set when the
   attempt cannot be started; later failures lead to on_closed.  */
link_t *
link_connect (worker_t *worker, node_t *node, const net_address_t *address,
              const link_ops_t *ops, void *data)
{
  stream_t *stream = transport_connect (node_transport (node), address);

  link_t *link
      = stream == NULL ? NULL : link_create (worker, node, stream, ops, data);

  if (link != NULL)
    memory_holder_start (&link->memory, worker_memory (worker),
                         &link_memory_ops);
  return link;
}

/* Return whether the peer's FRAME_HELLO was received and the link is not
   closed.  */
bool
link_is_open (const link_t *link)
{
  return link->has_hello && !link->is_closed;
}

/* Return the peer's name, or "?" before its FRAME_HELLO was received.  */
const char *
link_peer_name (const link_t *link)
{
  return link->peer_name == NULL ? "?" : link->peer_name;
}

/* Return the peer's availability zone, or "?" before its FRAME_HELLO was
   received.  */
const char *
link_peer_zone (const link_t *link)
{
  return link->peer_zone == NULL ? "?" : link->peer_zone;
}

/* Return the peer's incarnation, or 0 before its FRAME_HELLO was received.  */
uint64_t
link_peer_incarnation (const link_t *link)
{
  return link->peer_incarnation;
}

/* Return the peer's role; meaningful once the link is open.  */
node_role_t
link_peer_role (const link_t *link)
{
  return link->peer_role;
}

/* Return the worker that owns LINK.  */
worker_t *
link_worker (const link_t *link)
{
  return link->worker;
}
