#include "common/http_client.h"
#include "common/net.h"
#include "kernel/plugin.h"
#include "plugins/upstream.h"
#include "plugins/upstream/report.h"

#include <string.h>
#include <talloc.h>
#include <unistd.h>

enum
{
  REPORT_MAX_BYTES = 4096,
  HTTP_OK = 200
};

#define HTTP_SCHEME "http://"

struct upstream_transport
{
  worker_t *worker;
  http_client_t *client;
  char *url;
};

struct upstream_call
{
  http_call_t *http;
  const upstream_call_ops_t *ops;
  void *data;
};

static void
call_on_head (http_call_t *http, const http_head_t *head, void *data)
{
  upstream_call_t *call = data;

  (void)http;
  call->ops->on_head (head->http_status, head->content_type, call->data);
}

static bool
call_on_data (http_call_t *http, const char *bytes, size_t size, void *data)
{
  upstream_call_t *call = data;

  (void)http;
  return call->ops->on_data (bytes, size, call->data);
}

static void
call_on_done (http_call_t *http, status_t status, bool may_have_run,
              void *data)
{
  upstream_call_t *call = data;

  (void)http;
  call->ops->on_done (status, may_have_run, call->data);
  talloc_free (call);
}

static const http_call_ops_t call_ops = {
  .on_head = call_on_head,
  .on_data = call_on_data,
  .on_done = call_on_done,
};

static upstream_transport_t *
transport_create (worker_t *worker, const char *url)
{
  upstream_transport_t *transport
      = talloc_zero (worker_events (worker), upstream_transport_t);

  if (transport == NULL)
    return NULL;
  transport->worker = worker;
  transport->url = talloc_strdup (transport, url);
  transport->client = http_client_create (transport, worker);
  return transport;
}

static void
transport_destroy (upstream_transport_t *transport)
{
  talloc_free (transport);
}

static upstream_call_t *
transport_start (upstream_transport_t *transport,
                 const upstream_request_t *request,
                 const upstream_call_ops_t *ops, void *data)
{
  upstream_call_t *call = talloc_zero (transport, upstream_call_t);
  http_call_options_t options
      = { .method = request->method,
          .content_type = request->content_type,
          .body = request->body,
          .body_size = request->body_size,
          .timeout = request->timeout,
          .has_own_connection = request->must_not_resend };
  http_headers_t headers = STAILQ_HEAD_INITIALIZER (headers);

  if (call == NULL)
    return NULL;
  call->ops = ops;
  call->data = data;
  options.url = talloc_asprintf (call, "%s%s", transport->url, request->path);
  if (request->key[0] != '\0')
    {
      http_headers_add (&headers, call, "Idempotency-Key", request->key);
      options.headers = &headers;
    }
  call->http = http_call_start (transport->client, &options, &call_ops, call);
  if (call->http == NULL)
    TALLOC_FREE (call);
  return call;
}

static void
transport_cancel (upstream_call_t *call)
{
  http_call_cancel (call->http);
  talloc_free (call);
}

static void
transport_proceed (upstream_call_t *call)
{
  http_call_continue (call->http);
}

/* A pending request for a load report.  */
typedef struct upstream_probe
{
  upstream_probe_done_t done;
  void *data;
  unsigned http_status;
  size_t size;
  char text[REPORT_MAX_BYTES];
} upstream_probe_t;

static void
probe_on_head (http_call_t *http, const http_head_t *head, void *data)
{
  upstream_probe_t *probe = data;

  (void)http;
  probe->http_status = head->http_status;
}

/* Collect the report.  Data that doesn't fit into the buffer is discarded,
   which leaves the report malformed.  */
static bool
probe_on_data (http_call_t *http, const char *bytes, size_t size, void *data)
{
  upstream_probe_t *probe = data;

  (void)http;
  if (probe->size + size > sizeof probe->text)
    return true;
  memcpy (probe->text + probe->size, bytes, size);
  probe->size += size;
  return true;
}

/* Pass on the report.  An upstream that doesn't support reports responds with
   an HTTP error, which still shows that it is running: the status is STATUS_OK
   without a report.  */
static void
probe_on_done (http_call_t *http, status_t status, bool may_have_run,
               void *data)
{
  upstream_probe_t *probe = data;
  upstream_report_t report;
  bool has_report
      = status == STATUS_OK && probe->http_status == HTTP_OK
        && upstream_report_parse (probe, probe->text, probe->size, &report);

  (void)http;
  (void)may_have_run;
  probe->done (status, has_report ? &report : NULL, probe->data);
  talloc_free (probe);
}

static const http_call_ops_t probe_ops = {
  .on_head = probe_on_head,
  .on_data = probe_on_data,
  .on_done = probe_on_done,
};

static status_t
transport_probe (upstream_transport_t *transport, struct timespec timeout,
                 upstream_probe_done_t done, void *data)
{
  upstream_probe_t *probe = talloc_zero (transport, upstream_probe_t);
  http_call_options_t options = { .method = "GET", .timeout = timeout };

  if (probe == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a probe");
  probe->done = done;
  probe->data = data;
  options.url = talloc_asprintf (probe, "%s/load", transport->url);
  if (http_call_start (transport->client, &options, &probe_ops, probe) != NULL)
    return STATUS_OK;
  talloc_free (probe);
  return STATUS_UNAVAILABLE;
}

/* An idle connection that is monitored to detect when the upstream closes
   it.  */
typedef struct upstream_watch
{
  int fd;
  void (*on_broken) (void *data);
  void *data;
} upstream_watch_t;

static int
watch_free (upstream_watch_t *watch)
{
  close (watch->fd);
  return 0;
}

/* The connection became readable.  No request was sent on it, so this means
   that it was closed.  */
static void
watch_handle_event (struct tevent_context *events, struct tevent_fd *event,
                    uint16_t flags, void *data)
{
  upstream_watch_t *watch = data;

  (void)events;
  (void)event;
  (void)flags;
  watch->on_broken (watch->data);
  talloc_free (watch);
}

static status_t
transport_watch (upstream_transport_t *transport,
                 void (*on_broken) (void *data), void *data)
{
  upstream_watch_t *watch;
  net_address_t address;
  int fd;
  status_t status;

  if (strncmp (transport->url, HTTP_SCHEME, strlen (HTTP_SCHEME)) != 0)
    return status_set (STATUS_INVALID, "only %s upstreams can be watched",
                       HTTP_SCHEME);
  status = net_address_parse (transport, transport->url + strlen (HTTP_SCHEME),
                              &address);
  if (status == STATUS_OK)
    status = net_connect (&address, &fd);
  if (status != STATUS_OK)
    return status;
  watch = talloc_zero (transport, upstream_watch_t);
  watch->fd = fd;
  watch->on_broken = on_broken;
  watch->data = data;
  talloc_set_destructor (watch, watch_free);
  tevent_add_fd (worker_events (transport->worker), watch, fd, TEVENT_FD_READ,
                 watch_handle_event, watch);
  return STATUS_OK;
}

static const upstream_ops_t http_ops = {
  .create = transport_create,
  .destroy = transport_destroy,
  .start = transport_start,
  .cancel = transport_cancel,
  .proceed = transport_proceed,
  .probe = transport_probe,
  .watch = transport_watch,
};

PLUGIN_REGISTER (http, PLUGIN_UPSTREAM, "http", "HTTP by libcurl", &http_ops);
