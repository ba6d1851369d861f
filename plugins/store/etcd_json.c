#include "plugins/store/etcd_json.h"

#include "common/base64.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  INT64_TEXT_MAX_BYTES = 24
};

/* The gateway encodes 64-bit numbers as strings.  */
static json_t *
json_int64 (int64_t value)
{
  char text[INT64_TEXT_MAX_BYTES];

  snprintf (text, sizeof text, "%lld", (long long)value);
  return json_string (text);
}

/* Return the 64-bit number under KEY of OBJECT, or 0 if there is none.  */
int64_t
etcd_json_int64 (const json_t *object, const char *key)
{
  const json_t *value = json_object_get (object, key);

  if (json_is_integer (value))
    return json_integer_value (value);
  if (json_is_string (value))
    return strtoll (json_string_value (value), NULL, 10);
  return 0;
}

/* Return SIZE BYTES in the gateway's encoding of bytes, which is base64.  */
static json_t *
json_encode_bytes (const char *bytes, size_t size)
{
  char *encoded = base64_encode_text (NULL, bytes, size);
  json_t *value = json_string (encoded);

  talloc_free (encoded);
  return value;
}

/* Return TEXT in the gateway's encoding of bytes.  */
json_t *
etcd_json_bytes (const char *text)
{
  return json_encode_bytes (text, strlen (text));
}

/* Return the bytes under KEY of OBJECT, or "" if there are none.  */
static char *
json_decode_bytes (TALLOC_CTX *parent, const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  char *decoded = NULL;

  if (text != NULL)
    decoded = base64_decode_text (parent, text, NULL);
  return decoded == NULL ? talloc_strdup (parent, "") : decoded;
}

static json_t *
json_compare (const store_compare_t *compare)
{
  json_t *object = json_object ();

  json_object_set_new (object, "key", etcd_json_bytes (compare->key));
  json_object_set_new (object, "result", json_string ("EQUAL"));
  switch (compare->kind)
    {
    case STORE_KEY_ABSENT:
      json_object_set_new (object, "target", json_string ("CREATE"));
      json_object_set_new (object, "create_revision", json_string ("0"));
      break;
    case STORE_MOD_REVISION_IS:
      json_object_set_new (object, "target", json_string ("MOD"));
      json_object_set_new (object, "mod_revision",
                           json_int64 (compare->revision));
      break;
    case STORE_VALUE_IS:
      json_object_set_new (object, "target", json_string ("VALUE"));
      json_object_set_new (object, "value", etcd_json_bytes (compare->value));
      break;
    }
  return object;
}

/* Return the first key of the range of OP.  The least key after another one is
   that with a null byte at its end.  */
static json_t *
json_range_start (const store_op_t *op)
{
  if (op->kind == STORE_GET_PREFIX && op->after != NULL)
    return json_encode_bytes (op->after, strlen (op->after) + 1);
  return etcd_json_bytes (op->key);
}

/* Return the range of OP.  The range of a prefix ends at the prefix with its
   last byte incremented.  */
static json_t *
json_range (const store_op_t *op)
{
  json_t *range = json_object ();
  char *end;

  json_object_set_new (range, "key", json_range_start (op));
  if (op->kind == STORE_GET)
    return range;
  end = talloc_strdup (NULL, op->key);
  end[strlen (end) - 1]++;
  json_object_set_new (range, "range_end", etcd_json_bytes (end));
  talloc_free (end);
  if (op->limit > 0)
    {
      json_object_set_new (range, "limit", json_int64 (op->limit));
      json_object_set_new (range, "sort_order", json_string ("DESCEND"));
      json_object_set_new (range, "sort_target", json_string ("KEY"));
    }
  return range;
}

static json_t *
json_op (const store_op_t *op)
{
  json_t *object = json_object ();
  json_t *inner;

  switch (op->kind)
    {
    case STORE_GET:
    case STORE_GET_PREFIX:
      json_object_set_new (object, "request_range", json_range (op));
      break;
    case STORE_PUT:
      inner = json_object ();
      json_object_set_new (inner, "key", etcd_json_bytes (op->key));
      json_object_set_new (inner, "value", etcd_json_bytes (op->value));
      if (op->lease != 0)
        json_object_set_new (inner, "lease", json_int64 (op->lease));
      json_object_set_new (object, "request_put", inner);
      break;
    case STORE_DELETE:
      inner = json_object ();
      json_object_set_new (inner, "key", etcd_json_bytes (op->key));
      json_object_set_new (object, "request_delete_range", inner);
      break;
    case STORE_TXN:
      json_object_set_new (object, "request_txn", etcd_json_txn (op->txn));
      break;
    }
  return object;
}

/* Return TXN as the body of a kv/txn call; the caller owns the reference.  */
json_t *
etcd_json_txn (const store_txn_t *txn)
{
  json_t *compares = json_array ();
  json_t *success = json_array ();
  json_t *failure = json_array ();
  const store_compare_t *compare;
  const store_op_t *op;
  json_t *root = json_object ();

  STAILQ_FOREACH (compare, &txn->compares, link)
    json_array_append_new (compares, json_compare (compare));
  STAILQ_FOREACH (op, &txn->success, link)
    json_array_append_new (success, json_op (op));
  STAILQ_FOREACH (op, &txn->failure, link)
    json_array_append_new (failure, json_op (op));
  json_object_set_new (root, "compare", compares);
  json_object_set_new (root, "success", success);
  json_object_set_new (root, "failure", failure);
  return root;
}

/* Return the key-value pair KV as an entry owned by PARENT, or NULL when
   memory is exhausted.  */
store_entry_t *
etcd_json_entry (TALLOC_CTX *parent, const json_t *kv)
{
  store_entry_t *entry = talloc_zero (parent, store_entry_t);

  if (entry == NULL)
    return NULL;
  entry->key = json_decode_bytes (entry, kv, "key");
  entry->value = json_decode_bytes (entry, kv, "value");
  entry->value_size = strlen (entry->value);
  entry->mod_revision = etcd_json_int64 (kv, "mod_revision");
  entry->lease = etcd_json_int64 (kv, "lease");
  return entry;
}

static void
result_add_range (store_response_t *response, const json_t *range)
{
  const json_t *kv;
  size_t index;

  json_array_foreach (json_object_get (range, "kvs"), index, kv)
    {
      store_entry_t *entry = etcd_json_entry (response, kv);

      if (entry != NULL)
        STAILQ_INSERT_TAIL (&response->entries, entry, link);
    }
  response->has_more = json_is_true (json_object_get (range, "more"));
}

static void
result_add_response (store_result_t *result, const json_t *item)
{
  store_response_t *response = talloc_zero (result, store_response_t);
  const json_t *inner;

  if (response == NULL)
    return;
  STAILQ_INIT (&response->entries);
  if ((inner = json_object_get (item, "response_range")) != NULL)
    {
      response->kind = STORE_GET;
      result_add_range (response, inner);
    }
  else if ((inner = json_object_get (item, "response_txn")) != NULL)
    {
      response->kind = STORE_TXN;
      response->txn = etcd_json_result (response, inner);
    }
  else if (json_object_get (item, "response_delete_range") != NULL)
    response->kind = STORE_DELETE;
  else
    response->kind = STORE_PUT;
  STAILQ_INSERT_TAIL (&result->responses, response, link);
}

/* Return the response ROOT to a kv/txn call as a result owned by PARENT, or
   NULL when memory is exhausted.  */
store_result_t *
etcd_json_result (TALLOC_CTX *parent, const json_t *root)
{
  store_result_t *result = talloc_zero (parent, store_result_t);
  const json_t *item;
  size_t index;

  if (result == NULL)
    return NULL;
  STAILQ_INIT (&result->responses);
  result->succeeded = json_is_true (json_object_get (root, "succeeded"));
  result->revision
      = etcd_json_int64 (json_object_get (root, "header"), "revision");
  json_array_foreach (json_object_get (root, "responses"), index, item)
    result_add_response (result, item);
  return result;
}
