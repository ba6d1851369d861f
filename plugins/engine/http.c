#include "common/base64.h"
#include "common/buffer.h"
#include "common/http_client.h"
#include "kernel/plugin.h"
#include "plugins/engine.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ORDER_TIMEOUT_MS = 1000,
  ANSWER_MAX_BYTES = 8 * 1024 * 1024,
  HTTP_OK = 200,
  HTTP_CONFLICT = 409 /* old fence; the state comes all the same */
};

static const char *const order_names[] = {
  [GROUP_ENGINE_READ] = "read",     [GROUP_ENGINE_PREPARE] = "prepare",
  [GROUP_ENGINE_JOIN] = "join",     [GROUP_ENGINE_ARM] = "arm",
  [GROUP_ENGINE_COMMIT] = "commit", [GROUP_ENGINE_ABORT] = "abort",
};

struct engine
{
  http_client_t *client;
  char *url;
  bool checks_fence;
};

typedef struct engine_call
{
  engine_done_t done;
  void *data;
  unsigned http_status;
  buffer_t body;
} engine_call_t;

static engine_t *
engine_create (worker_t *worker, const char *url, bool checks_fence)
{
  engine_t *engine = talloc_zero (worker_events (worker), engine_t);

  if (engine == NULL)
    return NULL;
  engine->url = talloc_asprintf (engine, "%s/group/order", url);
  engine->client = http_client_create (engine, worker);
  engine->checks_fence = checks_fence;
  return engine;
}

static engine_t *
fenced_create (worker_t *worker, const char *url)
{
  return engine_create (worker, url, true);
}

static engine_t *
unfenced_create (worker_t *worker, const char *url)
{
  return engine_create (worker, url, false);
}

static void
engine_destroy (engine_t *engine)
{
  talloc_free (engine);
}

static uint64_t
number_of (const json_t *object, const char *key)
{
  return (uint64_t)json_integer_value (json_object_get (object, key));
}

static void
read_tokens (TALLOC_CTX *parent, const json_t *root, engine_response_t *answer)
{
  json_t *list = json_object_get (root, "tokens");
  uint64_t *tokens;

  answer->token_count = json_array_size (list);
  tokens = talloc_zero_array (parent, uint64_t, answer->token_count + 1);
  for (size_t i = 0; i < answer->token_count; i++)
    tokens[i] = (uint64_t)json_integer_value (json_array_get (list, i));
  answer->tokens = tokens;
}

static void
read_maps (TALLOC_CTX *parent, const json_t *root, engine_response_t *answer)
{
  const char *text = json_string_value (json_object_get (root, "maps"));

  if (text == NULL)
    return;
  answer->maps.data = base64_decode_text (parent, text, &answer->maps.size);
  if (answer->maps.data == NULL)
    answer->maps.size = 0;
}

/* Whether ROOT is an engine's state; fills ANSWER.  */
static bool
read_answer (TALLOC_CTX *parent, const json_t *root, engine_response_t *answer)
{
  group_engine_state_t *state = &answer->state;
  uint64_t phase = number_of (root, "phase");

  state->incarnation = number_of (root, "incarnation");
  if (state->incarnation == 0 || phase > GROUP_COMMITTED)
    return false;
  state->schedule.phase = (group_phase_t)phase;
  state->schedule.base = number_of (root, "base");
  state->schedule.next = number_of (root, "next");
  state->schedule.step = number_of (root, "step");
  state->loading = number_of (root, "loading");
  state->current_step = number_of (root, "current_step");
  answer->shape.layers = (unsigned)number_of (root, "layers");
  answer->shape.ranks = (unsigned)number_of (root, "ranks");
  answer->shape.experts = (unsigned)number_of (root, "experts");
  answer->shape.slots = (unsigned)number_of (root, "slots");
  answer->work = number_of (root, "work");
  answer->busy_us = number_of (root, "busy_us");
  read_tokens (parent, root, answer);
  read_maps (parent, root, answer);
  return true;
}

static void
call_on_head (http_call_t *http, const http_head_t *head, void *data)
{
  engine_call_t *call = data;

  (void)http;
  call->http_status = head->http_status;
}

static bool
call_on_data (http_call_t *http, const char *bytes, size_t size, void *data)
{
  engine_call_t *call = data;

  (void)http;
  /* What is cut short is found to be malformed.  */
  buffer_append (call, &call->body, bytes, size);
  return true;
}

static void
call_on_done (http_call_t *http, status_t status, bool may_have_run,
              void *data)
{
  engine_call_t *call = data;
  engine_response_t answer = { .work = 0 };
  json_t *root = NULL;

  (void)http;
  (void)may_have_run;
  if (status == STATUS_OK && call->http_status != HTTP_OK
      && call->http_status != HTTP_CONFLICT)
    status = status_set (STATUS_UNAVAILABLE, "engine answered %u",
                         call->http_status);
  if (status == STATUS_OK)
    {
      root = json_loadb (call->body.text == NULL ? "" : call->body.text,
                         call->body.size, 0, NULL);
      if (root == NULL || !read_answer (call, root, &answer))
        status = status_set (STATUS_PROTOCOL, "engine's state is malformed");
    }
  call->done (status, status == STATUS_OK ? &answer : NULL, call->data);
  json_decref (root);
  talloc_free (call);
}

static const http_call_ops_t call_ops = {
  .on_head = call_on_head,
  .on_data = call_on_data,
  .on_done = call_on_done,
};

static char *
order_text (TALLOC_CTX *parent, const engine_t *engine,
            const group_engine_command_t *order, blob_t maps, bool wants_maps)
{
  const group_schedule_t *schedule = &order->schedule;
  char *encoded = base64_encode_text (parent, maps.data, maps.size);
  json_t *root = json_object ();
  char *dumped;
  char *text;

  json_object_set_new (root, "kind", json_string (order_names[order->kind]));
  json_object_set_new (root, "phase", json_integer (schedule->phase));
  json_object_set_new (root, "base",
                       json_integer ((json_int_t)schedule->base));
  json_object_set_new (root, "next",
                       json_integer ((json_int_t)schedule->next));
  json_object_set_new (root, "step",
                       json_integer ((json_int_t)schedule->step));
  if (engine->checks_fence)
    {
      json_object_set_new (root, "epoch",
                           json_integer ((json_int_t)order->fence.epoch));
      json_object_set_new (root, "round",
                           json_integer ((json_int_t)order->fence.round));
    }
  if (maps.size > 0)
    json_object_set_new (root, "maps", json_string (encoded));
  json_object_set_new (root, "wants_maps", json_boolean (wants_maps));
  dumped = json_dumps (root, JSON_COMPACT);
  text = talloc_strdup (parent, dumped);
  free (dumped);
  json_decref (root);
  return text;
}

static status_t
engine_order (engine_t *engine, const group_engine_command_t *order,
              blob_t maps, bool wants_maps, engine_done_t done, void *data)
{
  engine_call_t *call = talloc_zero (engine, engine_call_t);
  http_call_options_t options
      = { .method = "POST",
          .url = engine->url,
          .content_type = "application/json",
          .timeout = timespec_from_ms (ORDER_TIMEOUT_MS),
          .is_sent_once = true };

  call->body.what = "the engine's state";
  call->body.limit = ANSWER_MAX_BYTES;
  call->done = done;
  call->data = data;
  options.body = order_text (call, engine, order, maps, wants_maps);
  options.body_size = strlen (options.body);
  if (http_call_start (engine->client, &options, &call_ops, call) != NULL)
    return STATUS_OK;
  talloc_free (call);
  return status_set (STATUS_UNAVAILABLE, "the order cannot be sent");
}

static const engine_ops_t fenced_ops = {
  .create = fenced_create,
  .destroy = engine_destroy,
  .order = engine_order,
};

static const engine_ops_t unfenced_ops = {
  .create = unfenced_create,
  .destroy = engine_destroy,
  .order = engine_order,
};

PLUGIN_REGISTER (fenced, PLUGIN_ENGINE, "fenced",
                 "HTTP orders to an engine that refuses old fences",
                 &fenced_ops);
PLUGIN_REGISTER (unfenced, PLUGIN_ENGINE, "unfenced",
                 "HTTP orders to an engine that ignores fences",
                 &unfenced_ops);
