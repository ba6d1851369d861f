#include "plugins/store/etcd.h"

#include "kernel/counter.h"
#include "plugins/store/etcd_json.h"

#include <stdio.h>
#include <string.h>

enum
{
  REVISION_TEXT_MAX_BYTES = 24
};

COUNTER_DEFINE_LABELLED (calls_watch, "siskin_store_calls_total",
                         "kind=\"watch\"", "Calls to the key-value service");

struct store_watch
{
  store_t *store;
  http_call_t *http; /* NULL once the call has ended */
  const store_watch_ops_t *ops;
  void *data;
  buffer_t line;
  unsigned url_index; /* address that this watch was sent to */
  unsigned http_status;
  bool is_ended; /* no further callback runs */
  /* In a callback of HTTP, which can't be cancelled now.  */
  bool is_in_callback;
};

static void
watch_finish (worker_t *worker, void *data)
{
  store_watch_t *watch = data;

  (void)worker;
  if (watch->http != NULL)
    http_call_cancel (watch->http);
  talloc_free (watch);
}

/* End WATCH.  Within a callback of its HTTP call the call can't be cancelled,
   so a timer ends WATCH afterwards.  */
static void
watch_end (store_watch_t *watch)
{
  watch->is_ended = true;
  if (watch->is_in_callback)
    worker_timer_start (watch->store->worker, watch, (struct timespec){ 0, 0 },
                        watch_finish, watch);
  else
    watch_finish (watch->store->worker, watch);
}

/* Report the failure of WATCH to its owner, and end it.  */
static void
watch_fail (store_watch_t *watch, status_t status)
{
  if (watch->is_ended)
    return;
  watch->is_ended = true;
  watch->ops->on_broken (status, watch->data);
  watch_end (watch);
}

static void
watch_handle_event (store_watch_t *watch, const json_t *event)
{
  store_entry_t *entry
      = etcd_json_entry (watch, json_object_get (event, "kv"));
  const char *type = json_string_value (json_object_get (event, "type"));

  if (entry == NULL)
    return;
  if (type != NULL && strcmp (type, "DELETE") == 0)
    entry->value = NULL;
  watch->ops->on_change (entry, watch->data);
  talloc_free (entry);
}

/* Handle a message of the watch.  One without events is a progress
   notification.  */
static void
watch_handle_result (store_watch_t *watch, const json_t *result)
{
  const json_t *events = json_object_get (result, "events");
  const json_t *event;
  size_t index;

  if (json_is_true (json_object_get (result, "canceled")))
    {
      watch_fail (watch,
                  status_set (STATUS_NOT_FOUND, "the store ended the watch"));
      return;
    }
  if (json_is_true (json_object_get (result, "created")))
    return;
  if (json_array_size (events) == 0)
    watch->ops->on_progress (watch->data);
  json_array_foreach (events, index, event)
    {
      if (!watch->is_ended)
        watch_handle_event (watch, event);
    }
}

static void
watch_handle_line (store_watch_t *watch, const char *line, size_t size)
{
  json_t *root = json_loadb (line, size, 0, NULL);
  const json_t *result = json_object_get (root, "result");

  if (result != NULL)
    watch_handle_result (watch, result);
  else if (root == NULL || json_object_get (root, "error") != NULL)
    watch_fail (watch,
                status_set (STATUS_PROTOCOL,
                            "the store sent an error for the watch: %.*s",
                            (int)size, line));
  json_decref (root);
}

/* Handle all complete lines received so far; each is a JSON object.  */
static void
watch_parse_lines (store_watch_t *watch)
{
  size_t consumed = 0;

  while (!watch->is_ended)
    {
      char *start = watch->line.text + consumed;
      char *newline = memchr (start, '\n', watch->line.size - consumed);

      if (newline == NULL)
        break;
      if (newline > start)
        watch_handle_line (watch, start, (size_t)(newline - start));
      consumed = (size_t)(newline - watch->line.text) + 1;
    }
  watch->line.size -= consumed;
  memmove (watch->line.text, watch->line.text + consumed, watch->line.size);
}

static void
watch_on_head (http_call_t *http, const http_head_t *head, void *data)
{
  store_watch_t *watch = data;

  (void)http;
  watch->http_status = head->http_status;
}

static bool
watch_on_data (http_call_t *http, const char *bytes, size_t size, void *data)
{
  store_watch_t *watch = data;
  status_t status;

  (void)http;
  if (watch->is_ended || watch->http_status != 200)
    return true;
  watch->is_in_callback = true;
  status = buffer_append (watch, &watch->line, bytes, size);
  if (status == STATUS_OK)
    watch_parse_lines (watch);
  else
    watch_fail (watch, status);
  watch->is_in_callback = false;
  return true;
}

/* Handle the end of the HTTP call, which ends the watch too.  */
static void
watch_on_done (http_call_t *http, status_t status, bool may_have_run,
               void *data)
{
  store_watch_t *watch = data;

  (void)http;
  (void)may_have_run;
  watch->http = NULL;
  if (watch->is_ended)
    return; /* the timer for watch_finish is running */
  etcd_select_next_url (watch->store, watch->url_index);
  if (status == STATUS_OK)
    status = status_set (STATUS_UNAVAILABLE, "the store ended the watch");
  watch_fail (watch, status);
}

static const http_call_ops_t watch_call_ops = {
  .on_head = watch_on_head,
  .on_data = watch_on_data,
  .on_done = watch_on_done,
};

static json_t *
watch_request (const char *key, int64_t start_revision)
{
  json_t *body = json_object ();
  json_t *create = json_object ();
  char text[REVISION_TEXT_MAX_BYTES];

  snprintf (text, sizeof text, "%lld", (long long)start_revision);
  json_object_set_new (create, "key", etcd_json_bytes (key));
  json_object_set_new (create, "progress_notify", json_true ());
  if (start_revision > 0)
    json_object_set_new (create, "start_revision", json_string (text));
  json_object_set_new (body, "create_request", create);
  return body;
}

/* Watch KEY from START_REVISION on, or from now on if that is 0.  Returns NULL
   if the watch could not be started.  */
store_watch_t *
etcd_watch (store_t *store, const char *key, int64_t start_revision,
            const store_watch_ops_t *ops, void *data)
{
  store_watch_t *watch = talloc_zero (store, store_watch_t);
  struct timespec no_timeout = { 0, 0 };

  if (watch == NULL)
    return NULL;
  watch->store = store;
  watch->line.description = "the store's response";
  watch->line.limit = ETCD_MAX_RESPONSE_BYTES;
  watch->ops = ops;
  watch->data = data;
  watch->url_index = store->url_index;
  counter_add (&calls_watch, 1);
  watch->http
      = etcd_post (store, "/v3/watch", watch_request (key, start_revision),
                   no_timeout, &watch_call_ops, watch);
  if (watch->http == NULL)
    TALLOC_FREE (watch);
  return watch;
}

/* End WATCH; none of its callbacks runs afterwards.  May be called from
   them.  */
void
etcd_unwatch (store_watch_t *watch)
{
  if (!watch->is_ended)
    watch_end (watch);
}
