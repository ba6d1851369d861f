#include "common/http_server.h"
#include "entry/entry.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "kernel/plugin.h"
#include "plugins/frontend/chat.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  BODY_LIMIT_BYTES = 2 * 1024 * 1024,
  REPLY_HIGH_WATER_BYTES = 64 * 1024,
  KEY_MAX_BYTES = 200,
  ACCOUNT_MAX_BYTES = 100,
  PLAIN_TOKENS = 1, /* the weight of a call that generates no text */
  MS_PER_S = 1000
};

COUNTER_DEFINE (rejected, "siskin_http_rejected_total",
                "Requests refused as malformed");

struct frontend
{
  entry_worker_t *share;
  http_server_t *server;
};

/* One caller's request.  */
typedef struct http_caller
{
  http_exchange_t *exchange;
  call_t *call;
  bool has_begun;
} http_caller_t;

/* The HTTP status for each reason to refuse.  */
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
http_add_request_header (http_exchange_t *exchange, const call_t *call)
{
  request_id_t id = call_id (call);
  char text[64];

  snprintf (text, sizeof text, "%016llx-%llu",
            (unsigned long long)id.incarnation,
            (unsigned long long)id.sequence);
  http_reply_header (exchange, "Siskin-Request", text);
}

static void
http_on_head (call_t *call, unsigned http_status, const char *content_type,
              void *data)
{
  http_caller_t *caller = data;

  http_add_request_header (caller->exchange, call);
  http_reply_header (caller->exchange, "Siskin-Outcome",
                     outcome_name (OUTCOME_RAN));
  http_reply_begin (caller->exchange, http_status, content_type);
  caller->has_begun = true;
}

static void
http_on_data (call_t *call, const char *bytes, size_t size, void *data)
{
  http_caller_t *caller = data;

  http_reply_data (caller->exchange, bytes, size);
  if (http_reply_pending (caller->exchange) <= REPLY_HIGH_WATER_BYTES)
    call_note_taken (call, 0);
}

static void
http_reply_refusal (http_caller_t *caller, const call_t *call,
                    const call_result_t *result)
{
  http_exchange_t *exchange = caller->exchange;
  char *text;
  uint64_t seconds = (result->retry_after_ms + MS_PER_S - 1) / MS_PER_S;

  http_add_request_header (exchange, call);
  http_reply_header (exchange, "Siskin-Outcome",
                     outcome_name (result->outcome));
  http_reply_header (exchange, "Siskin-Refusal",
                     refusal_name (result->refusal));
  if (result->outcome == OUTCOME_NOT_RUN)
    {
      text = talloc_asprintf (exchange, "%llu",
                              (unsigned long long)(seconds > 0 ? seconds : 1));
      http_reply_header (exchange, "Retry-After", text);
    }
  text = talloc_asprintf (
      exchange, "{\"error\":{\"outcome\":\"%s\",\"refusal\":\"%s\"}}\n",
      outcome_name (result->outcome), refusal_name (result->refusal));
  http_reply_text (exchange, refusal_statuses[result->refusal],
                   "application/json", text);
}

static void
http_on_end (call_t *call, const call_result_t *result, void *data)
{
  http_caller_t *caller = data;

  caller->call = NULL;
  if (!caller->has_begun)
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

static void
http_reject (http_exchange_t *exchange, unsigned http_status,
             const char *message)
{
  char *text = talloc_asprintf (
      exchange,
      "{\"error\":{\"outcome\":\"not-run\",\"refusal\":\"invalid\","
      "\"message\":\"%s\"}}\n",
      message);

  counter_add (&rejected, 1);
  http_reply_header (exchange, "Siskin-Outcome", "not-run");
  http_reply_text (exchange, http_status, "application/json", text);
}

static bool
http_read_deadline (http_exchange_t *exchange, const settings_t *settings,
                    struct timespec *deadline)
{
  const char *text = http_exchange_header (exchange, "Siskin-Deadline");

  *deadline = settings->limits.default_deadline;
  if (text == NULL)
    return true;
  return schema_parse_duration (text, deadline)
         && timespec_to_ms (*deadline) > 0
         && timespec_compare (*deadline, settings->limits.maximum_deadline)
                <= 0;
}

static const char *
http_header_or_empty (http_exchange_t *exchange, const char *name)
{
  const char *value = http_exchange_header (exchange, name);

  return value == NULL ? "" : value;
}

/* Fill REQUEST from the exchange.  Returns the HTTP status to reject it with
   and sets *MESSAGE, or 0.  */
static unsigned
http_read_request (http_exchange_t *exchange, const settings_t *settings,
                   call_request_t *request, const char **message)
{
  const service_t *service;
  chat_request_t chat = { .model = "" };

  request->method = http_exchange_method (exchange);
  request->path = http_exchange_path (exchange);
  request->content_type = http_header_or_empty (exchange, "Content-Type");
  request->account = http_header_or_empty (exchange, "Siskin-Account");
  request->key = http_header_or_empty (exchange, "Idempotency-Key");
  request->body.data = http_exchange_body (exchange, &request->body.size);
  if (request->account[0] == '\0'
      || strlen (request->account) > ACCOUNT_MAX_BYTES
      || settings_account (settings, request->account) == NULL)
    {
      *message = "header Siskin-Account must name a client account";
      return 401;
    }
  if (strlen (request->key) > KEY_MAX_BYTES)
    {
      *message = "header Idempotency-Key is over 200 bytes";
      return 400;
    }
  if (!http_read_deadline (exchange, settings, &request->deadline))
    {
      *message = "header Siskin-Deadline must be a duration such as 2.5 s";
      return 400;
    }
  if (request->body.size > (size_t)settings->limits.body_bytes)
    {
      *message = "the request body is too large";
      return 413;
    }
  if (chat_is_path (request->path)
      && !chat_read (exchange, request->body.data, request->body.size, &chat))
    {
      *message = "the body is not a chat completions request";
      return 400;
    }
  service = settings_route (settings, request->path, chat.model);
  if (service == NULL)
    {
      *message = "no service has this path and model";
      return 404;
    }
  request->service = service->name;
  request->model = chat.model;
  request->prompt_tokens
      = service->kind == UPSTREAM_MODEL ? chat.prompt_tokens : PLAIN_TOKENS;
  request->output_tokens
      = service->kind == UPSTREAM_MODEL ? chat.output_tokens : 0;
  request->prefix_blocks = chat.prefix_blocks;
  request->prefix_block_count = chat.prefix_block_count;
  request->is_repeatable = settings_is_repeatable (
      settings, service->name, request->method, request->path);
  return 0;
}

static void
http_on_request (http_exchange_t *exchange, void *data)
{
  frontend_t *frontend = data;
  entry_worker_t *share = frontend->share;
  settings_t *settings = node_settings (share->entry->node);
  http_caller_t *caller = talloc_zero (exchange, http_caller_t);
  call_request_t request = { 0 };
  const char *message = "";
  unsigned http_status;

  caller->exchange = exchange;
  http_exchange_set_data (exchange, caller);
  if (settings == NULL)
    {
      http_reply_header (exchange, "Retry-After", "1");
      http_reject (exchange, 503, "no settings yet");
      return;
    }
  http_status = http_read_request (exchange, settings, &request, &message);
  if (http_status != 0)
    http_reject (exchange, http_status, message);
  else
    caller->call = call_submit (share, &request, &http_call_ops, caller);
  settings_release (settings);
}

static void
http_on_gone (http_exchange_t *exchange, void *data)
{
  http_caller_t *caller = http_exchange_data (exchange);

  (void)data;
  if (caller != NULL && caller->call != NULL)
    call_cancel (caller->call);
  if (caller != NULL)
    caller->call = NULL;
}

static void
http_on_drained (http_exchange_t *exchange, void *data)
{
  http_caller_t *caller = http_exchange_data (exchange);

  (void)data;
  if (caller->call != NULL)
    call_note_taken (caller->call, http_reply_pending (exchange));
}

static void
http_on_finished (http_exchange_t *exchange, void *data)
{
  (void)exchange;
  (void)data;
}

static const http_server_ops_t server_ops = {
  .on_request = http_on_request,
  .on_gone = http_on_gone,
  .on_drained = http_on_drained,
  .on_finished = http_on_finished,
};

static frontend_t *
http_create (entry_worker_t *share, const char *address_text, uint16_t *port)
{
  frontend_t *frontend
      = talloc_zero (worker_events (share->worker), frontend_t);
  net_address_t address;

  if (frontend == NULL
      || net_address_parse (frontend, address_text, &address) != STATUS_OK)
    {
      talloc_free (frontend);
      return NULL;
    }
  if (*port != 0)
    address.port = *port;
  frontend->share = share;
  frontend->server = http_server_create (
      share->worker, &address, BODY_LIMIT_BYTES, &server_ops, frontend);
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
                 "chat completions and plain calls over HTTP", &http_ops);
