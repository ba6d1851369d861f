#include "common/http_exchange.h"

#include "kernel/counter.h"
#include "kernel/log.h"

#include <string.h>
#include <sys/socket.h>

/* The reply of an exchange, which libmicrohttpd reads as it becomes
   available.  */

enum
{
  HTTP_REPLY_BLOCK_BYTES = 4 * 1024, /* read by libmicrohttpd at once */
  /* What libmicrohttpd adds to the fields of a reply's header.  */
  HTTP_REPLY_OVERHEAD_BYTES = 1024,
  HTTP_BAD_GATEWAY = 502
};

COUNTER_DEFINE (replies_replaced, "siskin_http_replies_replaced_total",
                "Replies whose header was too large to send");
COUNTER_DEFINE (exchanges_cut, "siskin_http_cut_total",
                "Replies cut for lack of memory because they were not read");

/* Free the data that has not been sent.  */
void
http_exchange_free_chunks (http_exchange_t *exchange)
{
  reply_chunk_t *chunk;

  while ((chunk = STAILQ_FIRST (&exchange->chunks)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&exchange->chunks, link);
      talloc_free (chunk);
    }
  exchange->pending_bytes = 0;
}

/* Give up a reply that the client does not read.  A reset also frees what the
   system holds of it.  The owner learns of the disconnect from the event
   loop.  */
void
http_exchange_cut (http_exchange_t *exchange)
{
  static const struct linger reset_on_close = { .l_onoff = 1, .l_linger = 0 };

  if (exchange->is_cut)
    return;
  exchange->is_cut = true;
  counter_add (&exchanges_cut, 1);
  http_exchange_free_chunks (exchange);
  exchange->is_reply_aborted = true;
  setsockopt (http_connection_fd (exchange->connection), SOL_SOCKET, SO_LINGER,
              &reset_on_close, sizeof reset_on_close);
  shutdown (http_connection_fd (exchange->connection), SHUT_RDWR);
}

/* Once the request was received, the process waits for the client only while a
   part of the reply is unread.  */
void
http_exchange_update_waiting (http_exchange_t *exchange)
{
  memory_holder_set_waiting (&exchange->connection->memory,
                             exchange->pending_bytes > HTTP_UNCHARGED_BYTES);
}

/* Called by libmicrohttpd to read up to SIZE bytes of the reply's body.
   Suspends the exchange when there is no data yet.  */
static ssize_t
exchange_read_reply (void *data, uint64_t position, char *buffer, size_t size)
{
  http_exchange_t *exchange = data;
  size_t copied = 0;
  reply_chunk_t *chunk;

  (void)position;
  while (copied < size && (chunk = STAILQ_FIRST (&exchange->chunks)) != NULL)
    {
      size_t part = chunk->size - chunk->consumed;

      if (part > size - copied)
        part = size - copied;
      memcpy (buffer + copied, chunk->data + chunk->consumed, part);
      chunk->consumed += part;
      copied += part;
      if (chunk->consumed < chunk->size)
        continue;
      STAILQ_REMOVE_HEAD (&exchange->chunks, link);
      talloc_free (chunk);
    }
  exchange->pending_bytes -= copied;
  if (copied > 0)
    {
      memory_holder_progress (&exchange->connection->memory);
      http_exchange_discharge (exchange);
      http_exchange_update_waiting (exchange);
      if (exchange->server->ops->on_drained != NULL
          && !exchange->is_reply_ended && !exchange->is_client_gone)
        exchange->server->ops->on_drained (exchange, exchange->server->data);
      return (ssize_t)copied;
    }
  if (exchange->is_reply_aborted)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (exchange->is_reply_ended)
    return MHD_CONTENT_READER_END_OF_STREAM;
  http_exchange_suspend (exchange);
  return 0;
}

/* Pass the reply, whose status must be known, to libmicrohttpd, which reads
   the body as it becomes available.  */
enum MHD_Result
http_exchange_queue_reply (http_exchange_t *exchange)
{
  enum MHD_Result result;

  if (exchange->is_client_gone && exchange->response == NULL)
    return MHD_NO;
  exchange->is_reply_queued = true;
  result = MHD_queue_response (exchange->mhd_connection, exchange->http_status,
                               exchange->response);
  MHD_destroy_response (exchange->response);
  exchange->response = NULL;
  return result;
}

static void
exchange_create_response (http_exchange_t *exchange)
{
  if (exchange->response == NULL)
    exchange->response = MHD_create_response_from_callback (
        exchange->has_length ? exchange->length : MHD_SIZE_UNKNOWN,
        HTTP_REPLY_BLOCK_BYTES, exchange_read_reply, exchange, NULL);
}

/* Send the reply with a Content-Length of LENGTH instead of chunked.  Must be
   called before all other http_reply_* functions.  */
void
http_reply_length (http_exchange_t *exchange, uint64_t length)
{
  exchange->has_length = true;
  exchange->length = length;
}

/* Add a header field to the reply.  Must be called before
   http_reply_begin.  */
void
http_reply_header (http_exchange_t *exchange, const char *name,
                   const char *value)
{
  exchange_create_response (exchange);
  MHD_add_response_header (exchange->response, name, value);
}

/* Return whether the memory of the connection can hold the reply's header.  */
static bool
exchange_reply_fits (const http_exchange_t *exchange)
{
  field_sizes_t sizes = { .bytes = HTTP_REPLY_OVERHEAD_BYTES };

  MHD_get_response_headers (exchange->response, field_sizes_add, &sizes);
  return exchange->memory_used + sizes.bytes <= HTTP_CONNECTION_MEMORY_BYTES;
}

/* Replace the reply by an error that fits.  With the reply as it is,
   libmicrohttpd would close the connection without any.  */
static void
exchange_replace_reply (http_exchange_t *exchange)
{
  static const char text[] = "the header of the answer is too large\n";

  counter_add (&replies_replaced, 1);
  log_event (LOG_LEVEL_WARN, "reply-replaced", "status=%u target=%s",
             exchange->http_status, exchange->path);
  MHD_destroy_response (exchange->response);
  exchange->response = NULL;
  exchange->http_status = HTTP_BAD_GATEWAY;
  http_reply_length (exchange, sizeof text - 1);
  exchange_create_response (exchange);
  http_reply_data (exchange, text, sizeof text - 1);
  exchange->is_reply_replaced = true;
}

/* Start the reply; the body follows with http_reply_data.  CONTENT_TYPE may be
   NULL or "" for none.  */
void
http_reply_begin (http_exchange_t *exchange, unsigned http_status,
                  const char *content_type)
{
  exchange_create_response (exchange);
  if (content_type != NULL && content_type[0] != '\0')
    MHD_add_response_header (exchange->response, "Content-Type", content_type);
  exchange->http_status = http_status;
  if (!exchange_reply_fits (exchange))
    exchange_replace_reply (exchange);
  exchange->is_reply_begun = true;
  http_exchange_resume (exchange);
}

/* Append a copy of DATA to the reply's body.  Returns STATUS_NO_MEMORY on
   failure; the reply is cut then.  */
status_t
http_reply_data (http_exchange_t *exchange, const char *data, size_t size)
{
  reply_chunk_t *chunk;

  if (size == 0 || exchange->is_reply_replaced || exchange->is_cut)
    return STATUS_OK;
  chunk = http_exchange_charge (exchange, exchange->body_capacity
                                              + exchange->pending_bytes + size)
              ? talloc_size (exchange, sizeof *chunk + size)
              : NULL;
  if (chunk == NULL)
    {
      http_exchange_cut (exchange);
      return status_set (STATUS_NO_MEMORY, "no memory for a reply");
    }
  chunk->size = size;
  chunk->consumed = 0;
  memcpy (chunk->data, data, size);
  STAILQ_INSERT_TAIL (&exchange->chunks, chunk, link);
  exchange->pending_bytes += size;
  http_exchange_update_waiting (exchange);
  if (exchange->is_reply_begun)
    http_exchange_resume (exchange);
  return STATUS_OK;
}

/* End the reply; the appended data is still sent.  */
void
http_reply_end (http_exchange_t *exchange)
{
  exchange->is_reply_ended = true;
  TALLOC_FREE (exchange->disconnect_event);
  http_exchange_resume (exchange);
}

/* Close the connection after the appended data was sent and before the end of
   the reply, so that the client detects that the reply is incomplete.  */
void
http_reply_abort (http_exchange_t *exchange)
{
  exchange->is_reply_aborted = true;
  exchange->is_reply_ended = true;
  TALLOC_FREE (exchange->disconnect_event);
  http_exchange_resume (exchange);
}

/* Send a complete reply with the null-terminated body TEXT.  */
void
http_reply_text (http_exchange_t *exchange, unsigned http_status,
                 const char *content_type, const char *text)
{
  http_reply_begin (exchange, http_status, content_type);
  http_reply_data (exchange, text, strlen (text));
  http_reply_end (exchange);
}

/* Return the number of bytes of the reply's body that libmicrohttpd has not
   read yet.  */
size_t
http_reply_pending (const http_exchange_t *exchange)
{
  return exchange->pending_bytes;
}
