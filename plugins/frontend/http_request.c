#include "plugins/frontend/http_request.h"

#include "plugins/frontend/chat.h"
#include "plugins/frontend/http_target.h"

#include <ctype.h>
#include <string.h>

enum
{
  KEY_MAX_BYTES = 200,
  ACCOUNT_MAX_BYTES = 100,
  CONTENT_TYPE_MAX_BYTES = 200,
  TARGET_MAX_BYTES = 2000,
  NON_MODEL_TOKENS = 1 /* cost of a request that generates no text */
};

static const http_rejection_t accepted = { 0, "" };

static const char *const methods[]
    = { "GET", "POST", "PUT", "PATCH", "DELETE", NULL };

static bool
is_method (const char *text)
{
  for (const char *const *method = methods; *method != NULL; method++)
    {
      if (strcmp (*method, text) == 0)
        return true;
    }
  return false;
}

/* Return whether TEXT can be an idempotency key.  */
bool
http_request_is_valid_key (const char *text)
{
  size_t length = strlen (text);

  if (length == 0 || length > KEY_MAX_BYTES)
    return false;
  for (; *text != '\0'; text++)
    {
      if (isalnum ((unsigned char)*text) == 0
          && strchr ("-._~:/+=@", *text) == NULL)
        return false;
    }
  return true;
}

static const char *
header_or_empty (http_exchange_t *exchange, const char *name)
{
  const char *value = http_exchange_header (exchange, name);

  return value == NULL ? "" : value;
}

static bool
read_deadline (http_exchange_t *exchange, const settings_t *settings,
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

static http_rejection_t
read_request_line (http_exchange_t *exchange, call_request_t *request,
                   http_target_t *target)
{
  const char *text = http_exchange_target (exchange);

  request->method = http_exchange_method (exchange);
  if (!is_method (request->method))
    return (http_rejection_t){ 405, "the method is not supported" };
  if (strlen (text) > TARGET_MAX_BYTES)
    return (http_rejection_t){ 414, "the target is over 2000 bytes" };
  if (!http_target_parse (exchange, text, target))
    return (http_rejection_t){ 400, "the target is malformed or ambiguous" };
  request->path = target->text;
  return accepted;
}

static http_rejection_t
read_headers (http_exchange_t *exchange, const settings_t *settings,
              call_request_t *request)
{
  const char *key = http_exchange_header (exchange, "Idempotency-Key");

  request->account = header_or_empty (exchange, "Siskin-Account");
  request->content_type = header_or_empty (exchange, "Content-Type");
  request->key = key == NULL ? "" : key;
  if (request->account[0] == '\0'
      || strlen (request->account) > ACCOUNT_MAX_BYTES
      || settings_account (settings, request->account) == NULL)
    return (http_rejection_t){
      401, "header Siskin-Account must name a client account"
    };
  if (strlen (request->content_type) > CONTENT_TYPE_MAX_BYTES)
    return (http_rejection_t){ 431, "header Content-Type is too long" };
  if (key != NULL && !http_request_is_valid_key (key))
    return (http_rejection_t){ 400,
                               "header Idempotency-Key must be 1 to 200 "
                               "letters, digits or characters of -._~:/+=@" };
  if (!read_deadline (exchange, settings, &request->deadline))
    return (http_rejection_t){
      400, "header Siskin-Deadline must be a duration such as 2.5 s, up to "
           "the maximum"
    };
  return accepted;
}

static http_rejection_t
read_body (http_exchange_t *exchange, const settings_t *settings,
           const http_target_t *target, call_request_t *request,
           chat_request_t *chat)
{
  request->body.data = http_exchange_body (exchange, &request->body.size);
  if (request->body.size > (size_t)settings->limits.body_bytes)
    return (http_rejection_t){ 413, "the request body is too large" };
  if (chat_is_completions_path (target->path)
      && !chat_read (exchange, request->body.data, request->body.size, chat))
    return (http_rejection_t){ 400,
                               "the body is not a chat completions request" };
  return accepted;
}

/* Return whether the request may run more than once.  The rules must allow it
   for the path both with and without a trailing slash, since many servers
   treat these two alike.  */
static bool
is_repeatable (http_exchange_t *exchange, const settings_t *settings,
               const call_request_t *request, const char *path)
{
  const char *with_slash = talloc_asprintf (exchange, "%s/", path);

  return with_slash != NULL
         && settings_is_repeatable (settings, request->service,
                                    request->method, path)
         && settings_is_repeatable (settings, request->service,
                                    request->method, with_slash);
}

/* Route the request to a service, and set the members that depend on it.  */
static http_rejection_t
find_service (http_exchange_t *exchange, const settings_t *settings,
              const http_target_t *target, const chat_request_t *chat,
              call_request_t *request)
{
  const service_t *service
      = settings_match_service (settings, target->path, chat->model);
  bool is_model;

  if (service == NULL)
    return (http_rejection_t){ 404, "no service has this path and model" };
  is_model = service->kind == UPSTREAM_MODEL;
  request->service = service->name;
  request->model = chat->model;
  request->prompt_tokens = is_model ? chat->prompt_tokens : NON_MODEL_TOKENS;
  request->output_tokens = is_model ? chat->output_tokens : 0;
  request->prefix_blocks = chat->prefix_blocks;
  request->prefix_block_count = chat->prefix_block_count;
  request->is_repeatable
      = is_repeatable (exchange, settings, request, target->path);
  if (!request->is_repeatable && request->key[0] == '\0')
    return (http_rejection_t){
      400, "this request may run only once and needs an Idempotency-Key"
    };
  return accepted;
}

/* Fill REQUEST from EXCHANGE, which owns its strings.  Returns the reason if
   the request is rejected.  */
http_rejection_t
http_request_read (http_exchange_t *exchange, const settings_t *settings,
                   call_request_t *request)
{
  chat_request_t chat = { .model = "" };
  http_target_t target;
  http_rejection_t rejection = read_request_line (exchange, request, &target);

  if (rejection.http_status == 0)
    rejection = read_headers (exchange, settings, request);
  if (rejection.http_status == 0)
    rejection = read_body (exchange, settings, &target, request, &chat);
  if (rejection.http_status == 0)
    rejection = find_service (exchange, settings, &target, &chat, request);
  return rejection;
}
