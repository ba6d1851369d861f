#include "common/http_client.h"
#include "kernel/clock.h"
#include "kernel/counter.h"
#include "kernel/plugin.h"
#include "plugins/store.h"
#include "plugins/store/etcd_json.h"

#include <stdlib.h>
#include <string.h>

enum
{
  MAX_ANSWER_BYTES = 16 * 1024 * 1024
};

COUNTER_DEFINE_LABELLED (calls_txn, "siskin_store_calls_total", "kind=\"txn\"",
                         "Calls to the key-value service");
COUNTER_DEFINE_LABELLED (calls_lease, "siskin_store_calls_total",
                         "kind=\"lease\"", "Calls to the key-value service");
COUNTER_DEFINE_LABELLED (calls_watch, "siskin_store_calls_total",
                         "kind=\"watch\"", "Calls to the key-value service");
COUNTER_DEFINE (calls_failed, "siskin_store_calls_failed_total",
                "Calls to the key-value service without an answer");

struct store
{
  worker_t *worker;
  http_client_t *client;
  char **urls;
  unsigned url_count;
  unsigned url_index; /* the one that answered last */
  struct timespec timeout;
};

typedef struct etcd_call etcd_call_t;

struct etcd_call
{
  store_t *store;
  http_call_t *http;
  unsigned url_index; /* the one this call went to */
  unsigned http_status;
  char *answer;
  size_t answer_size;
  store_done_t done;
  store_lease_done_t lease_done;
  void *data;
};

struct store_watch
{
  store_t *store;
  http_call_t *http;
  const store_watch_ops_t *ops;
  void *data;
  char *line;
  size_t line_size;
  unsigned http_status;
  bool is_dead; /* unwatched during a callback */
  bool is_in_callback;
};

static bool
buffer_append (TALLOC_CTX *parent, char **buffer, size_t *used,
               const char *bytes, size_t size)
{
  char *larger;

  if (*used + size > MAX_ANSWER_BYTES)
    return false;
  larger = *buffer;
  if (talloc_get_size (larger) < *used + size + 1)
    larger = talloc_realloc (parent, *buffer, char, (*used + size) * 2 + 1);
  if (larger == NULL)
    return false;
  memcpy (larger + *used, bytes, size);
  *used += size;
  larger[*used] = '\0';
  *buffer = larger;
  return true;
}

static http_call_t *
etcd_post (store_t *store, const char *path, json_t *body,
           struct timespec timeout, const http_call_ops_t *ops, void *data)
{
  char *text = json_dumps (body, JSON_COMPACT);
  char *url
      = talloc_asprintf (NULL, "%s%s", store->urls[store->url_index], path);
  http_call_options_t options = { .method = "POST",
                                  .url = url,
                                  .content_type = "application/json",
                                  .body = text,
                                  .body_size = strlen (text),
                                  .timeout = timeout };
  http_call_t *call = http_call_start (store->client, &options, ops, data);

  talloc_free (url);
  free (text);
  json_decref (body);
  return call;
}

static void
call_on_head (http_call_t *http, unsigned http_status,
              const char *content_type, void *data)
{
  etcd_call_t *call = data;

  (void)http;
  (void)content_type;
  call->http_status = http_status;
}

static bool
call_on_data (http_call_t *http, const char *bytes, size_t size, void *data)
{
  etcd_call_t *call = data;

  (void)http;
  buffer_append (call, &call->answer, &call->answer_size, bytes, size);
  return true;
}

/* Turn to the next address after a call that got no answer.  */
static void
store_rotate (etcd_call_t *call)
{
  counter_add (&calls_failed, 1);
  if (call->url_index == call->store->url_index)
    call->store->url_index
        = (call->store->url_index + 1) % call->store->url_count;
}

static status_t
call_parse (etcd_call_t *call, status_t status, json_t **root)
{
  *root = NULL;
  if (status != STATUS_OK)
    {
      store_rotate (call);
      return status;
    }
  if (call->http_status == 400)
    return status_set (STATUS_INVALID, "the store refused the call: %s",
                       call->answer == NULL ? "" : call->answer);
  if (call->http_status != 200 || call->answer == NULL)
    {
      store_rotate (call);
      return status_set (STATUS_UNAVAILABLE, "the store answered HTTP %u",
                         call->http_status);
    }
  *root = json_loads (call->answer, 0, NULL);
  if (*root == NULL)
    return status_set (STATUS_PROTOCOL, "the store's answer is not JSON");
  return STATUS_OK;
}

static void
call_on_txn_done (http_call_t *http, status_t status, bool may_have_run,
                  void *data)
{
  etcd_call_t *call = data;
  store_result_t *result = NULL;
  json_t *root;

  (void)http;
  (void)may_have_run;
  status = call_parse (call, status, &root);
  if (status == STATUS_OK)
    result = etcd_json_result (call, root);
  json_decref (root);
  call->done (status, result, call->data);
  talloc_free (call);
}

static void
call_on_lease_done (http_call_t *http, status_t status, bool may_have_run,
                    void *data)
{
  etcd_call_t *call = data;
  int64_t lease = 0;
  json_t *root;

  (void)http;
  (void)may_have_run;
  status = call_parse (call, status, &root);
  if (status == STATUS_OK)
    {
      const json_t *result = json_object_get (root, "result");
      const json_t *answer = result == NULL ? root : result;

      lease = etcd_json_int64 (answer, "ID");
      if (etcd_json_int64 (answer, "TTL") <= 0)
        status = status_set (STATUS_NOT_FOUND, "the lease has lapsed");
    }
  json_decref (root);
  call->lease_done (status, status == STATUS_OK ? lease : 0, call->data);
  talloc_free (call);
}

static const http_call_ops_t txn_call_ops = {
  .on_head = call_on_head,
  .on_data = call_on_data,
  .on_done = call_on_txn_done,
};

static const http_call_ops_t lease_call_ops = {
  .on_head = call_on_head,
  .on_data = call_on_data,
  .on_done = call_on_lease_done,
};

static store_t *
etcd_create (worker_t *worker, const store_options_t *options)
{
  store_t *store = talloc_zero (worker_events (worker), store_t);

  if (store == NULL)
    return NULL;
  store->worker = worker;
  store->timeout = options->timeout;
  while (options->urls[store->url_count] != NULL)
    store->url_count++;
  store->urls = talloc_zero_array (store, char *, store->url_count);
  for (unsigned i = 0; i < store->url_count; i++)
    store->urls[i] = talloc_strdup (store->urls, options->urls[i]);
  store->client = http_client_create (store, worker);
  if (store->url_count == 0 || store->client == NULL)
    {
      talloc_free (store);
      status_set (STATUS_INVALID, "the store needs an address");
      return NULL;
    }
  return store;
}

static void
etcd_destroy (store_t *store)
{
  talloc_free (store);
}

static etcd_call_t *
etcd_call_create (store_t *store, void *data)
{
  etcd_call_t *call = talloc_zero (store, etcd_call_t);

  if (call == NULL)
    return NULL;
  call->store = store;
  call->url_index = store->url_index;
  call->data = data;
  return call;
}

static status_t
etcd_transact (store_t *store, const store_txn_t *txn, store_done_t done,
               void *data)
{
  etcd_call_t *call = etcd_call_create (store, data);

  if (call == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a store call");
  call->done = done;
  counter_add (&calls_txn, 1);
  call->http = etcd_post (store, "/v3/kv/txn", etcd_json_txn (txn),
                          store->timeout, &txn_call_ops, call);
  if (call->http != NULL)
    return STATUS_OK;
  talloc_free (call);
  return STATUS_UNAVAILABLE;
}

static status_t
etcd_lease_call (store_t *store, const char *path, json_t *body,
                 store_lease_done_t done, void *data)
{
  etcd_call_t *call = etcd_call_create (store, data);

  if (call == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a store call");
  call->lease_done = done;
  counter_add (&calls_lease, 1);
  call->http
      = etcd_post (store, path, body, store->timeout, &lease_call_ops, call);
  if (call->http != NULL)
    return STATUS_OK;
  talloc_free (call);
  return STATUS_UNAVAILABLE;
}

static status_t
etcd_grant (store_t *store, struct timespec duration, store_lease_done_t done,
            void *data)
{
  json_t *body = json_object ();

  json_object_set_new (body, "TTL", json_integer (duration.tv_sec));
  return etcd_lease_call (store, "/v3/lease/grant", body, done, data);
}

static status_t
etcd_keep_alive (store_t *store, int64_t lease, store_lease_done_t done,
                 void *data)
{
  json_t *body = json_object ();

  json_object_set_new (body, "ID", json_integer (lease));
  return etcd_lease_call (store, "/v3/lease/keepalive", body, done, data);
}

static void
watch_handle_events (store_watch_t *watch, const json_t *result)
{
  const json_t *events = json_object_get (result, "events");
  const json_t *event;
  size_t index;

  if (json_array_size (events) == 0)
    watch->ops->on_progress (watch->data);
  json_array_foreach (events, index, event)
    {
      store_entry_t *entry
          = etcd_json_entry (watch, json_object_get (event, "kv"));
      const char *type = json_string_value (json_object_get (event, "type"));

      if (type != NULL && strcmp (type, "DELETE") == 0)
        entry->value = NULL;
      if (!watch->is_dead)
        watch->ops->on_change (entry, watch->data);
      talloc_free (entry);
    }
}

static void
watch_handle_line (store_watch_t *watch, const char *line, size_t size)
{
  json_t *root = json_loadb (line, size, 0, NULL);
  const json_t *result = json_object_get (root, "result");

  if (result != NULL && !watch->is_dead)
    watch_handle_events (watch, result);
  json_decref (root);
}

static void
watch_on_head (http_call_t *http, unsigned http_status,
               const char *content_type, void *data)
{
  store_watch_t *watch = data;

  (void)http;
  (void)content_type;
  watch->http_status = http_status;
}

static bool
watch_on_data (http_call_t *http, const char *bytes, size_t size, void *data)
{
  store_watch_t *watch = data;
  char *newline;

  (void)http;
  buffer_append (watch, &watch->line, &watch->line_size, bytes, size);
  watch->is_in_callback = true;
  while (watch->line_size > 0
         && (newline = memchr (watch->line, '\n', watch->line_size)) != NULL)
    {
      size_t length = (size_t)(newline - watch->line);

      watch_handle_line (watch, watch->line, length);
      watch->line_size -= length + 1;
      memmove (watch->line, newline + 1, watch->line_size);
    }
  watch->is_in_callback = false;
  return true;
}

static void
watch_on_done (http_call_t *http, status_t status, bool may_have_run,
               void *data)
{
  store_watch_t *watch = data;

  (void)http;
  (void)may_have_run;
  if (!watch->is_dead)
    watch->ops->on_broken (status == STATUS_OK ? STATUS_UNAVAILABLE : status,
                           watch->data);
  talloc_free (watch);
}

static const http_call_ops_t watch_call_ops = {
  .on_head = watch_on_head,
  .on_data = watch_on_data,
  .on_done = watch_on_done,
};

static store_watch_t *
etcd_watch (store_t *store, const char *key, const store_watch_ops_t *ops,
            void *data)
{
  store_watch_t *watch = talloc_zero (store, store_watch_t);
  struct timespec forever = { 0, 0 };
  json_t *body = json_object ();
  json_t *create = json_object ();

  if (watch == NULL)
    {
      json_decref (body);
      json_decref (create);
      return NULL;
    }
  watch->store = store;
  watch->ops = ops;
  watch->data = data;
  json_object_set_new (create, "key", etcd_json_bytes (key));
  json_object_set_new (create, "progress_notify", json_true ());
  json_object_set_new (body, "create_request", create);
  counter_add (&calls_watch, 1);
  watch->http
      = etcd_post (store, "/v3/watch", body, forever, &watch_call_ops, watch);
  if (watch->http == NULL)
    TALLOC_FREE (watch);
  return watch;
}

static void
etcd_unwatch (store_watch_t *watch)
{
  watch->is_dead = true;
  if (watch->is_in_callback)
    return;
  http_call_cancel (watch->http);
  talloc_free (watch);
}

static const store_ops_t etcd_ops = {
  .create = etcd_create,
  .destroy = etcd_destroy,
  .transact = etcd_transact,
  .grant = etcd_grant,
  .keep_alive = etcd_keep_alive,
  .watch = etcd_watch,
  .unwatch = etcd_unwatch,
};

PLUGIN_REGISTER (etcd, PLUGIN_STORE, "etcd",
                 "the JSON gateway of etcd's version 3 interface", &etcd_ops);
