#include "common/http_client_state.h"

#include "kernel/clock.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>

enum
{
  CONNECT_TIMEOUT_MS = 2000,
  /* libcurl can lose a timer that ends less than a millisecond after another
     one of the same call.  */
  MIN_TIMER_GAP_MS = 10,
  /* Of the header and the trailer of a response, interim responses
     included.  */
  MAX_HEADER_BYTES = 64 * 1024,
  /* Accounted for a call: the buffers of libcurl and the header.  */
  CALL_BYTES = 32 * 1024
};

/* Return whether the peer of CALL, which has ended, refused the connection. */
bool
http_call_was_refused (const http_call_t *call)
{
  long error = 0;

  curl_easy_getinfo (call->easy, CURLINFO_OS_ERRNO, &error);
  return error == ECONNREFUSED;
}

/* Report the end of CALL with STATUS and free it.  */
void
http_call_finish (http_call_t *call, status_t status)
{
  long sent = 0;

  curl_easy_getinfo (call->easy, CURLINFO_REQUEST_SIZE, &sent);
  call->ops->on_done (call, status, sent > 0, call->data);
  talloc_free (call);
}

static void call_handle_timer (worker_t *worker, void *data);

/* Start the time in which the next part of the response must arrive.  */
static void
call_start_timer (http_call_t *call, struct timespec delay)
{
  TALLOC_FREE (call->timer);
  call->checked_bytes = call->body_bytes;
  call->timer = worker_timer_start (call->client->worker, call, delay,
                                    call_handle_timer, call);
}

/* End CALL unless enough of its response has arrived since the timer was
   started.  */
static void
call_handle_timer (worker_t *worker, void *data)
{
  http_call_t *call = data;

  (void)worker;
  call->timer = NULL;
  if (call->body_bytes - call->checked_bytes >= HTTP_STALL_MIN_BYTES)
    call_start_timer (call, call->stall_timeout);
  else if (!call->is_head_reported)
    http_call_finish (call,
                      status_set (STATUS_TIMEOUT, "no response in time"));
  else
    http_call_finish (call, status_set (STATUS_TIMEOUT,
                                        "the response stalled after %zu bytes",
                                        call->body_bytes));
}

/* Report the status and header fields of the response, once and before its
   body.  */
static void
call_report_head (http_call_t *call)
{
  long http_status = 0;
  long new_connections = 0;
  const char *content_type;

  if (call->is_head_reported)
    return;
  call->is_head_reported = true;
  if (call->timer != NULL)
    call_start_timer (call, call->stall_timeout);
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &http_status);
  curl_easy_getinfo (call->easy, CURLINFO_NUM_CONNECTS, &new_connections);
  call->head.is_connection_reused = new_connections == 0;
  content_type = http_headers_find (&call->head.headers, "Content-Type");
  call->head.http_status = (unsigned)http_status;
  call->head.content_type = content_type == NULL ? "" : content_type;
  call->ops->on_head (call, &call->head, call->data);
}

/* Add a line of the response header.  A status line starts a new response: the
   fields before it belong to an interim response (1xx) and are discarded.
   Returns false for a line that no answer has.  */
static bool
call_parse_header_line (http_call_t *call, const char *line, size_t size)
{
  static const char status_line[] = "HTTP/";
  http_header_t *header;

  if (size >= sizeof status_line - 1
      && memcmp (line, status_line, sizeof status_line - 1) == 0)
    {
      while ((header = STAILQ_FIRST (&call->head.headers)) != NULL)
        {
          STAILQ_REMOVE_HEAD (&call->head.headers, link);
          talloc_free (header);
        }
      return http_status_line_is_valid (line, size);
    }
  return http_headers_add_line (&call->head.headers, call, line, size)
         == STATUS_OK;
}

/* Called by libcurl with each line of the response header.  */
static size_t
call_handle_header (char *bytes, size_t size, size_t count, void *data)
{
  http_call_t *call = data;
  long http_status = 0;
  size_t length = size * count;

  call->header_bytes += length;
  if (call->header_bytes > MAX_HEADER_BYTES)
    call->is_failed = true;
  if (call->is_head_reported) /* trailer fields after the body */
    return call->is_failed ? 0 : length;
  if (length <= 2 && (bytes[0] == '\r' || bytes[0] == '\n'))
    {
      curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &http_status);
      if (http_status >= 200)
        call_report_head (call);
    }
  else if (!call_parse_header_line (call, bytes, length))
    call->is_failed = true;
  return call->is_failed ? 0 : length;
}

/* Called by libcurl with each part of the response body.  */
static size_t
call_handle_data (char *bytes, size_t size, size_t count, void *data)
{
  http_call_t *call = data;

  if (!call->ops->on_data (call, bytes, size * count, call->data))
    {
      call->is_paused = true;
      return CURL_WRITEFUNC_PAUSE;
    }
  call->body_bytes += size * count;
  return call->is_failed ? 0 : size * count;
}

/* Make an unfinished CALL reset its connection when it is closed.  With an
   orderly close, unsent data of the request would still be delivered later. */
static void
call_reset_connection (const http_call_t *call)
{
  static const struct linger reset_on_close = { .l_onoff = 1, .l_linger = 0 };

  if (!call->is_finished && call->fd != CURL_SOCKET_BAD)
    setsockopt (call->fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
                sizeof reset_on_close);
}

static int
call_free (http_call_t *call)
{
  call_reset_connection (call);
  LIST_REMOVE (call, link);
  if (call->easy != NULL)
    {
      curl_multi_remove_handle (call->client->multi, call->easy);
      curl_easy_cleanup (call->easy);
    }
  curl_slist_free_all (call->headers);
  memory_holder_end (&call->memory);
  return 0;
}

/* Close the connection when data remains unacknowledged for the send timeout.
   The system's own retransmission timeout takes minutes.  */
static int
call_set_send_timeout (void *data, curl_socket_t fd, curlsocktype purpose)
{
  const http_call_t *call = data;
  unsigned timeout_ms = (unsigned)timespec_to_ms (call->send_timeout);

  if (purpose == CURLSOCKTYPE_IPCXN && timeout_ms > 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                sizeof timeout_ms);
  return CURL_SOCKOPT_OK;
}

/* Called by libcurl before it sends the request, which happens a second time
   when a reused connection turned out to be dead.  */
static int
call_handle_send (void *data, char *peer, char *own, int peer_port,
                  int own_port)
{
  http_call_t *call = data;

  (void)peer;
  (void)own;
  (void)peer_port;
  (void)own_port;
  call->send_count++;
  return call->is_never_resent && call->send_count > 1 ? CURL_PREREQFUNC_ABORT
                                                       : CURL_PREREQFUNC_OK;
}

static void
call_add_header (http_call_t *call, const char *name, const char *value)
{
  /* libcurl removes a field given as "Name:"; "Name;" sends an empty value. */
  char *line = value[0] == '\0'
                   ? talloc_asprintf (call, "%s;", name)
                   : talloc_asprintf (call, "%s: %s", name, value);

  if (line != NULL)
    call->headers = curl_slist_append (call->headers, line);
  talloc_free (line);
}

static void
call_set_headers (http_call_t *call, const http_call_options_t *options)
{
  const http_header_t *header;
  bool has_type
      = options->content_type != NULL && options->content_type[0] != '\0';

  call->headers = curl_slist_append (NULL, "Expect:");
  if (has_type)
    call_add_header (call, "Content-Type", options->content_type);
  if (options->headers != NULL)
    {
      call->headers = curl_slist_append (call->headers, "Accept:");
      if (!has_type
          && http_headers_find (options->headers, "Content-Type") == NULL)
        call->headers = curl_slist_append (call->headers, "Content-Type:");
      STAILQ_FOREACH (header, options->headers, link)
        call_add_header (call, header->name, header->value);
    }
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers);
}

/* Set the body to be sent.  Returns false when memory is exhausted.  */
static bool
call_set_body (http_call_t *call, const http_call_options_t *options)
{
  const char *body = options->body;

  if (options->body_size == 0 && strcasecmp (options->method, "POST") != 0
      && strcasecmp (options->method, "PUT") != 0)
    return true;
  if (options->body_size > 0 && !options->is_body_shared)
    {
      body = call->body
          = talloc_memdup (call, options->body, options->body_size);
      if (body == NULL)
        return false;
      memory_charge (&call->memory, options->body_size);
    }
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t)options->body_size);
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS,
                    options->body_size == 0 ? "" : body);
  return true;
}

/* Return the time to connect, which must not end shortly before the timeout of
   the whole call.  */
static int64_t
connect_timeout_ms (const http_call_options_t *options)
{
  int64_t total_ms = timespec_to_ms (options->timeout);
  int64_t connect_ms = timespec_to_ms (options->connect_timeout);

  if (connect_ms <= 0)
    connect_ms = CONNECT_TIMEOUT_MS;
  if (total_ms > connect_ms && total_ms - connect_ms < MIN_TIMER_GAP_MS)
    return total_ms;
  return connect_ms;
}

static void
call_set_timeouts (http_call_t *call, const http_call_options_t *options)
{
  if (timespec_is_zero (options->stall_timeout))
    curl_easy_setopt (call->easy, CURLOPT_TIMEOUT_MS,
                      (long)timespec_to_ms (options->timeout));
  else
    call_start_timer (call, options->timeout);
  /* All addresses are IP numbers: there is no other address family to wait for
     after a refused connection.  */
  curl_easy_setopt (call->easy, CURLOPT_HAPPY_EYEBALLS_TIMEOUT_MS, 1L);
  curl_easy_setopt (call->easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)connect_timeout_ms (options));
  if (options->idle_limit_s > 0)
    curl_easy_setopt (call->easy, CURLOPT_MAXAGE_CONN,
                      (long)options->idle_limit_s);
  curl_easy_setopt (call->easy, CURLOPT_SOCKOPTFUNCTION,
                    call_set_send_timeout);
  curl_easy_setopt (call->easy, CURLOPT_SOCKOPTDATA, call);
}

/* Return a call with OPTIONS that has no libcurl handle yet, or NULL when
   memory is exhausted.  */
static http_call_t *
call_create (http_client_t *client, const http_call_options_t *options,
             const http_call_ops_t *ops, void *data)
{
  http_call_t *call = talloc_zero (client, http_call_t);

  if (call == NULL)
    return NULL;
  call->client = client;
  call->ops = ops;
  call->data = data;
  call->send_timeout = options->send_timeout;
  call->stall_timeout = options->stall_timeout;
  call->is_never_resent = options->is_never_resent;
  call->fd = CURL_SOCKET_BAD;
  STAILQ_INIT (&call->head.headers);
  LIST_INSERT_HEAD (&client->calls, call, link);
  memory_holder_start (&call->memory, worker_memory (client->worker), NULL);
  memory_charge (&call->memory, CALL_BYTES);
  talloc_set_destructor (call, call_free);
  return call;
}

/* Set what is to be sent.  */
static void
call_set_request (http_call_t *call, const http_call_options_t *options)
{
  CURL *easy = call->easy;

  curl_easy_setopt (easy, CURLOPT_URL, options->url);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  if (options->target != NULL)
    curl_easy_setopt (easy, CURLOPT_REQUEST_TARGET, options->target);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, options->method);
  if (strcasecmp (options->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  call_set_headers (call, options);
  if (options->has_own_connection)
    {
      curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
    }
}

/* Set the functions that libcurl calls.  */
static void
call_set_handlers (http_call_t *call)
{
  CURL *easy = call->easy;

  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_ERRORBUFFER, call->error);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, call_handle_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, call_handle_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, call_handle_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
}

/* Start a call.  OPTIONS is copied; OPS must remain valid until the call ends.
   The functions in OPS are called from the event loop, never within this
   function.  Returns NULL with the status message set when the call cannot be
   started; nothing was sent then.  */
http_call_t *
http_call_start (http_client_t *client, const http_call_options_t *options,
                 const http_call_ops_t *ops, void *data)
{
  http_call_t *call = call_create (client, options, ops, data);

  if (call == NULL)
    return NULL;
  call->easy = curl_easy_init ();
  if (call->easy == NULL || !call_set_body (call, options))
    {
      talloc_free (call);
      status_set (STATUS_NO_MEMORY, "no memory for an HTTP call");
      return NULL;
    }
  call_set_request (call, options);
  call_set_handlers (call);
  call_set_timeouts (call, options);
  if (curl_multi_add_handle (client->multi, call->easy) != CURLM_OK)
    {
      talloc_free (call);
      status_set (STATUS_IO, "cannot start an HTTP call");
      return NULL;
    }
  return call;
}

/* Abort and free CALL without calling on_done.  Must not be called from within
   the functions of http_call_ops_t.  */
void
http_call_cancel (http_call_t *call)
{
  talloc_free (call);
}

/* Return the account of what is held for CALL until it ends.  */
memory_holder_t *
http_call_memory (http_call_t *call)
{
  return &call->memory;
}

/* Continue a call that was paused by on_data.  */
void
http_call_continue (http_call_t *call)
{
  if (!call->is_paused)
    return;
  call->is_paused = false;
  curl_easy_pause (call->easy, CURLPAUSE_CONT);
}

/* Abort CALL from within its on_head or on_data.  on_done follows with an
   error, and the call is freed after it.  */
void
http_call_fail (http_call_t *call)
{
  call->is_failed = true;
}
