#include "common/http_server.h"
#include "entry/entry.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "kernel/plugin.h"
#include "plugins/frontend/http_request.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  MAX_BODY_BYTES = 2 * 1024 * 1024,
  RESPONSE_HIGH_WATER_BYTES = 64 * 1024,
  HEADER_TEXT_BYTES = 40,
  MS_PER_S = 1000
};

COUNTER_DEFINE (rejected, "siskin_http_rejected_total",
                "Requests refused as malformed");
COUNTER_DEFINE (unavailable, "siskin_http_turned_away_total",
                "Requests refused because the entry stops or has no settings");

struct frontend
{
  entry_worker_t *entry_worker;
  http_server_t *server;
};

/* A client's request and its call.  */
typedef struct http_caller
{
  entry_worker_t *entry_worker;
  http_exchange_t *exchange;
  call_t *call;
  bool has_response_started;
} http_caller_t;

/* The HTTP status for each refusal.  */
static const unsigned refusal_statuses[REFUSAL_COUNT] = {
  [REFUSAL_NONE] = 502,        [REFUSAL_OVERLOAD] = 503,
  [REFUSAL_COLD] = 503,        [REFUSAL_LEAVING] = 503,
  [REFUSAL_ZONE_OUT] = 503,    [REFUSAL_DEADLINE] = 504,
  [REFUSAL_ISOLATED] = 503,    [REFUSAL_STORE] = 503,
  [REFUSAL_KEY_EXPIRED] = 409, [REFUSAL_KEY_REUSED] = 422,
  [REFUSAL_UPSTREAM] = 502,    [REFUSAL_CANCELLED] = 499,
  [REFUSAL_INVALID] = 400,
};

static void
http_format_request_id (const call_t *call, char *text, size_t size)
{
  request_id_t id = call_id (call);

  snprintf (text, size, "%016llx-%llu", (unsigned long long)id.incarnation,
            (unsigned long long)id.sequence);
}

/* Add the headers that every response has.  */
static void
http_add_headers (http_caller_t *caller, const call_t *call, outcome_t outcome)
{
  char text[HEADER_TEXT_BYTES];

  if (call != NULL)
    {
      http_format_request_id (call, text, sizeof text);
      http_reply_header (caller->exchange, "Siskin-Request", text);
    }
  http_reply_header (caller->exchange, "Siskin-Outcome",
                     outcome_name (outcome));
  if (atomic_load (&caller->entry_worker->entry->is_stopping))
    http_reply_header (caller->exchange, "Connection", "close");
}

static void
http_on_head (call_t *call, unsigned http_status, const char *content_type,
              void *data)
{
  http_caller_t *caller = data;

  http_add_headers (caller, call, OUTCOME_RAN);
  http_reply_begin (caller->exchange, http_status, content_type);
  caller->has_response_started = true;
}

/* Forward a part of the response.  The agent may send more as long as few
   bytes are queued for the client; otherwise http_on_drained reports when the
   client has received some.  */
static void
http_on_data (call_t *call, const char *bytes, size_t size, void *data)
{
  http_caller_t *caller = data;

  http_reply_data (caller->exchange, bytes, size);
  if (http_reply_pending (caller->exchange) <= RESPONSE_HIGH_WATER_BYTES)
    call_set_pending_bytes (call, 0);
}

static void
http_reply_error (http_caller_t *caller, unsigned http_status,
                  outcome_t outcome, refusal_t refusal, const char *message)
{
  json_t *root = json_pack ("{s:{s:s, s:s, s:s}}", "error", "outcome",
                            outcome_name (outcome), "refusal",
                            refusal_name (refusal), "message", message);
  char *text = json_dumps (root, JSON_COMPACT);

  http_reply_header (caller->exchange, "Siskin-Refusal",
                     refusal_name (refusal));
  http_reply_text (caller->exchange, http_status, "application/json",
                   text == NULL ? "{}" : text);
  free (text);
  json_decref (root);
}

/* Add a Retry-After header, rounded up to whole seconds.  */
static void
http_add_retry_after (http_caller_t *caller, uint64_t milliseconds)
{
  uint64_t seconds = (milliseconds + MS_PER_S - 1) / MS_PER_S;
  char text[HEADER_TEXT_BYTES];

  snprintf (text, sizeof text, "%llu",
            (unsigned long long)(seconds > 0 ? seconds : 1));
  http_reply_header (caller->exchange, "Retry-After", text);
}

static void
http_reply_refusal (http_caller_t *caller, const call_t *call,
                    const call_result_t *result)
{
  unsigned http_status = refusal_statuses[result->refusal];

  http_add_headers (caller, call, result->outcome);
  if (result->outcome == OUTCOME_NOT_RUN && http_status == 503)
    http_add_retry_after (caller, result->retry_after_ms);
  http_reply_error (caller, http_status, result->outcome, result->refusal,
                    result->detail == NULL ? "" : result->detail);
}

/* Finish the response.  One that is incomplete is aborted, so that the client
   notices the truncation.  */
static void
http_on_end (call_t *call, const call_result_t *result, void *data)
{
  http_caller_t *caller = data;

  caller->call = NULL;
  if (!caller->has_response_started)
    http_reply_refusal (caller, call, result);
  else if (result->is_complete)
    http_reply_end (caller->exchange);
  else
    http_reply_abort (caller->exchange);
}

static const call_ops_t http_call_ops = {
  .on_head = http_on_head,
  .on_data = http_on_data,
  .on_end = http_on_end,
};

/* Reject an invalid request.  */
static void
http_reject (http_caller_t *caller, const http_rejection_t *rejection)
{
  counter_add (&rejected, 1);
  http_add_headers (caller, NULL, OUTCOME_NOT_RUN);
  if (rejection->http_status == 405)
    http_reply_header (caller->exchange, "Allow",
                       "GET, POST, PUT, PATCH, DELETE");
  http_reply_error (caller, rejection->http_status, OUTCOME_NOT_RUN,
                    REFUSAL_INVALID, rejection->message);
}

/* Refuse a request that the client can retry at another entry.  */
static void
http_reply_unavailable (http_caller_t *caller, refusal_t refusal,
                        const char *message)
{
  counter_add (&unavailable, 1);
  http_add_headers (caller, NULL, OUTCOME_NOT_RUN);
  http_add_retry_after (caller, MS_PER_S);
  http_reply_error (caller, refusal_statuses[refusal], OUTCOME_NOT_RUN,
                    refusal, message);
}

static http_caller_t *
http_caller_create (frontend_t *frontend, http_exchange_t *exchange)
{
  http_caller_t *caller = talloc_zero (exchange, http_caller_t);

  if (caller == NULL)
    return NULL;
  caller->entry_worker = frontend->entry_worker;
  caller->exchange = exchange;
  http_exchange_set_data (exchange, caller);
  return caller;
}

static void
http_submit (http_caller_t *caller, const settings_t *settings)
{
  call_request_t request = { 0 };
  http_rejection_t rejection
      = http_request_read (caller->exchange, settings, &request);

  if (rejection.http_status != 0)
    {
      http_reject (caller, &rejection);
      return;
    }
  caller->call
      = call_submit (caller->entry_worker, &request, &http_call_ops, caller);
  if (caller->call == NULL)
    http_reply_unavailable (caller, REFUSAL_OVERLOAD, "out of memory");
}

static void
http_on_request (http_exchange_t *exchange, void *data)
{
  frontend_t *frontend = data;
  entry_t *entry = frontend->entry_worker->entry;
  http_caller_t *caller = http_caller_create (frontend, exchange);
  settings_t *settings = node_settings (entry->node);

  if (caller == NULL)
    http_reply_abort (exchange);
  else if (atomic_load (&entry->is_stopping))
    http_reply_unavailable (caller, REFUSAL_LEAVING, "this entry is stopping");
  else if (settings == NULL)
    http_reply_unavailable (caller, REFUSAL_ISOLATED, "no settings yet");
  else
    http_submit (caller, settings);
  if (settings != NULL)
    settings_release (settings);
}

static void
http_on_too_large (http_exchange_t *exchange, void *data)
{
  http_caller_t *caller = http_caller_create (data, exchange);
  const http_rejection_t rejection = { 413, "the request body is too large" };

  if (caller == NULL)
    http_reply_abort (exchange);
  else
    http_reject (caller, &rejection);
}

/* The client closed the connection: cancel its call.  */
static void
http_on_disconnect (http_exchange_t *exchange, void *data)
{
  http_caller_t *caller = http_exchange_data (exchange);

  (void)data;
  if (caller != NULL && caller->call != NULL)
    call_cancel (caller->call);
  if (caller != NULL)
    caller->call = NULL;
}

/* The client has received a part of the response: report how many bytes are
   still queued.  */
static void
http_on_drained (http_exchange_t *exchange, void *data)
{
  http_caller_t *caller = http_exchange_data (exchange);

  (void)data;
  if (caller != NULL && caller->call != NULL)
    call_set_pending_bytes (caller->call, http_reply_pending (exchange));
}

static const http_server_ops_t server_ops = {
  .on_request = http_on_request,
  .on_too_large = http_on_too_large,
  .on_disconnect = http_on_disconnect,
  .on_drained = http_on_drained,
  .refusal_fields = "Siskin-Outcome: not-run\r\n",
};

static frontend_t *
http_create (entry_worker_t *entry_worker, const char *address_text,
             uint16_t *port)
{
  frontend_t *frontend
      = talloc_zero (worker_events (entry_worker->worker), frontend_t);
  net_address_t address;

  if (frontend == NULL
      || net_address_parse (frontend, address_text, &address) != STATUS_OK)
    {
      talloc_free (frontend);
      return NULL;
    }
  if (*port != 0)
    address.port = *port;
  frontend->entry_worker = entry_worker;
  frontend->server = http_server_create (
      entry_worker->worker, &address, MAX_BODY_BYTES, &server_ops, frontend);
  if (frontend->server == NULL)
    {
      talloc_free (frontend);
      return NULL;
    }
  *port = http_server_port (frontend->server);
  return frontend;
}

static void
http_stop_listening (frontend_t *frontend)
{
  http_server_stop_listening (frontend->server);
}

static unsigned
http_open_count (const frontend_t *frontend)
{
  return http_server_open_exchanges (frontend->server);
}

static void
http_destroy (frontend_t *frontend)
{
  http_server_destroy (frontend->server);
  talloc_free (frontend);
}

static const frontend_ops_t http_ops = {
  .create = http_create,
  .stop_listening = http_stop_listening,
  .open_count = http_open_count,
  .destroy = http_destroy,
};

PLUGIN_REGISTER (http, PLUGIN_FRONTEND, "http",
                 "chat completions and other requests over HTTP", &http_ops);
