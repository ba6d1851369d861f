#include "plugins/store/etcd.h"

#include "kernel/clock.h"
#include "kernel/counter.h"
#include "kernel/plugin.h"
#include "plugins/store/etcd_json.h"

#include <stdlib.h>
#include <string.h>

COUNTER_DEFINE_LABELLED (calls_read, "siskin_store_calls_total",
                         "kind=\"read\"", "Calls to the key-value service");
COUNTER_DEFINE_LABELLED (calls_write, "siskin_store_calls_total",
                         "kind=\"write\"", "Calls to the key-value service");
COUNTER_DEFINE_LABELLED (calls_lease, "siskin_store_calls_total",
                         "kind=\"lease\"", "Calls to the key-value service");
COUNTER_DEFINE (calls_failed, "siskin_store_calls_failed_total",
                "Calls to the key-value service without an answer");

typedef struct etcd_call etcd_call_t;

struct etcd_call
{
  store_t *store;
  http_call_t *http;
  unsigned url_index; /* address that this call was sent to */
  unsigned http_status;
  buffer_t response;
  status_t receive_status; /* error while receiving the response */
  store_done_t done;
  store_lease_done_t lease_done;
  void *data;
};

/* Start a POST of BODY to PATH at the current address.  Takes over the
   caller's reference to BODY.  Returns NULL if the call can't be started.  */
http_call_t *
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
                                  .timeout = timeout,
                                  .stall_timeout = timeout };
  http_call_t *call = http_call_start (store->client, &options, ops, data);

  talloc_free (url);
  free (text);
  json_decref (body);
  return call;
}

static void
call_on_head (http_call_t *http, const http_head_t *head, void *data)
{
  etcd_call_t *call = data;

  (void)http;
  call->http_status = head->http_status;
}

static bool
call_on_data (http_call_t *http, const char *bytes, size_t size, void *data)
{
  etcd_call_t *call = data;

  call->response.memory = http_call_memory (http);
  call->receive_status = buffer_append (call, &call->response, bytes, size);
  if (call->receive_status != STATUS_OK)
    http_call_fail (http);
  return true;
}

/* Count a failed call to URL_INDEX and, unless another call has done so
   already, switch to the next address.  */
void
etcd_select_next_url (store_t *store, unsigned url_index)
{
  counter_add (&calls_failed, 1);
  if (url_index == store->url_index)
    store->url_index = (store->url_index + 1) % store->url_count;
}

/* Map the gateway's HTTP status to a status.  The gateway rejects an invalid
   call with 400 or 413, and one that refers to an expired lease with 404.  */
static status_t
call_check_response (etcd_call_t *call)
{
  if (call->http_status == 400 || call->http_status == 413)
    return status_set (STATUS_INVALID, "the store rejected the call: %s",
                       call->response.text == NULL ? "" : call->response.text);
  if (call->http_status == 404)
    return status_set (STATUS_NOT_FOUND,
                       "the store responded with HTTP 404: %s",
                       call->response.text == NULL ? "" : call->response.text);
  if (call->http_status == 200 && call->response.text != NULL)
    return STATUS_OK;
  etcd_select_next_url (call->store, call->url_index);
  return status_set (STATUS_IO, "the store responded with HTTP %u",
                     call->http_status);
}

/* Check the result of CALL and parse its response into *ROOT, which the caller
   releases.  *ROOT is NULL on error.  */
static status_t
call_parse (etcd_call_t *call, status_t status, bool may_have_run,
            json_t **root)
{
  *root = NULL;
  if (call->receive_status != STATUS_OK)
    return call->receive_status;
  if (status != STATUS_OK)
    {
      etcd_select_next_url (call->store, call->url_index);
      if (!may_have_run)
        return STATUS_UNAVAILABLE;
      return status == STATUS_UNAVAILABLE ? STATUS_IO : status;
    }
  status = call_check_response (call);
  if (status != STATUS_OK)
    return status;
  *root = json_loadb (call->response.text, call->response.size, 0, NULL);
  if (*root == NULL)
    return status_set (STATUS_PROTOCOL, "the store's response is not JSON");
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
  status = call_parse (call, status, may_have_run, &root);
  if (status == STATUS_OK)
    result = etcd_json_result (call, root);
  json_decref (root);
  call->done (status, result, call->data);
  talloc_free (call);
}

/* Handle the response to a lease call.  A keep-alive response is wrapped in
   "result", and one of an expired lease has a TTL of 0.  */
static void
call_on_lease_done (http_call_t *http, status_t status, bool may_have_run,
                    void *data)
{
  etcd_call_t *call = data;
  int64_t lease = 0;
  json_t *root;

  (void)http;
  status = call_parse (call, status, may_have_run, &root);
  if (status == STATUS_OK)
    {
      const json_t *result = json_object_get (root, "result");
      const json_t *response = result == NULL ? root : result;

      lease = etcd_json_int64 (response, "ID");
      if (etcd_json_int64 (response, "TTL") <= 0)
        status = status_set (STATUS_NOT_FOUND, "the lease has expired");
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
      status_set (STATUS_INVALID, "the store has no address");
      return NULL;
    }
  return store;
}

static void
etcd_destroy (store_t *store)
{
  talloc_free (store);
}

/* Create a call, which its callback frees.  Returns NULL when memory is
   exhausted.  */
static etcd_call_t *
etcd_call_create (store_t *store, void *data)
{
  etcd_call_t *call = talloc_zero (store, etcd_call_t);

  if (call == NULL)
    return NULL;
  call->store = store;
  call->response.description = "the store's response";
  call->response.limit = ETCD_MAX_RESPONSE_BYTES;
  call->url_index = store->url_index;
  call->data = data;
  return call;
}

static bool txn_writes (const store_txn_t *txn);

static bool
op_writes (const store_op_t *op)
{
  switch (op->kind)
    {
    case STORE_GET:
    case STORE_GET_PREFIX:
      return false;
    case STORE_PUT:
    case STORE_DELETE:
      return true;
    case STORE_TXN:
      return txn_writes (op->txn);
    }
  return true;
}

/* Return whether TXN can write, for the counters.  */
static bool
txn_writes (const store_txn_t *txn)
{
  const store_op_t *op;
  bool writes = false;

  STAILQ_FOREACH (op, &txn->success, link)
    writes = writes || op_writes (op);
  STAILQ_FOREACH (op, &txn->failure, link)
    writes = writes || op_writes (op);
  return writes;
}

static status_t
etcd_transact (store_t *store, const store_txn_t *txn, store_done_t done,
               void *data)
{
  etcd_call_t *call = etcd_call_create (store, data);

  if (call == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a store call");
  call->done = done;
  counter_add (txn_writes (txn) ? &calls_write : &calls_read, 1);
  call->http = etcd_post (store, "/v3/kv/txn", etcd_json_txn (txn),
                          store->timeout, &txn_call_ops, call);
  if (call->http != NULL)
    return STATUS_OK;
  talloc_free (call);
  return STATUS_UNAVAILABLE;
}

/* Start a lease call; like etcd_post it takes over the reference to BODY.  */
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
                 "etcd by the JSON gateway of its version 3 API", &etcd_ops);
