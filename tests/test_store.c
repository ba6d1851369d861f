/* Encoding for the store: a condition must be part of the transaction that it
   guards, or two writers could both succeed.  */

#include "plugins/store/etcd_json.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

static void
assert_json (json_t *actual, const char *expected)
{
  json_t *expected_json = json_loads (expected, 0, NULL);
  char *text = json_dumps (actual, JSON_COMPACT | JSON_SORT_KEYS);
  char *expected_text
      = json_dumps (expected_json, JSON_COMPACT | JSON_SORT_KEYS);

  assert_non_null (expected_json);
  assert_string_equal (text, expected_text);
  free (text);
  free (expected_text);
  json_decref (actual);
  json_decref (expected_json);
}

static void
test_nested_transaction_is_encoded (void **state)
{
  store_txn_t *txn = store_txn_create (NULL);
  store_op_t *inner = store_txn_then (txn, STORE_TXN, NULL, NULL);
  store_op_t *list;

  (void)state;
  store_txn_if_revision (txn, "a", 3);
  store_txn_if_absent (inner->txn, "b");
  store_txn_then (inner->txn, STORE_PUT, "b", "1")->lease = 9;
  store_txn_else (inner->txn, STORE_GET, "b", NULL);
  list = store_txn_else (txn, STORE_GET_PREFIX, "a/", NULL);
  list->limit = 2;
  assert_json (
      etcd_json_txn (txn),
      "{\"compare\":[{\"key\":\"YQ==\",\"mod_revision\":\"3\","
      "\"result\":\"EQUAL\",\"target\":\"MOD\"}],"
      "\"success\":[{\"request_txn\":{"
      "\"compare\":[{\"create_revision\":\"0\",\"key\":\"Yg==\","
      "\"result\":\"EQUAL\",\"target\":\"CREATE\"}],"
      "\"success\":[{\"request_put\":{\"key\":\"Yg==\",\"value\":\"MQ==\","
      "\"lease\":\"9\"}}],"
      "\"failure\":[{\"request_range\":{\"key\":\"Yg==\"}}]}}],"
      "\"failure\":[{\"request_range\":{\"key\":\"YS8=\",\"range_end\":\"YTA="
      "\",\"limit\":\"2\",\"sort_order\":\"DESCEND\",\"sort_target\":\"KEY\"}}"
      "]}");
  store_txn_destroy (txn);
}

/* The next page must begin after the last key: a client that got the same page
   again and again would never end.  */
static void
test_page_begins_after_the_last_key (void **state)
{
  store_txn_t *txn = store_txn_create (NULL);

  (void)state;
  store_txn_then (txn, STORE_GET_PREFIX, "a/", NULL)->after = "a/b";
  /* YS9iAA== is "a/b" with a null byte, the least key after it.  */
  assert_json (etcd_json_txn (txn),
               "{\"compare\":[],\"success\":[{\"request_range\":{\"key\":"
               "\"YS9iAA==\",\"range_end\":\"YTA=\"}}],\"failure\":[]}");
  store_txn_destroy (txn);
}

static void
test_nested_response_is_decoded (void **state)
{
  json_t *root = json_loads (
      "{\"header\":{\"revision\":\"12\"},\"succeeded\":true,\"responses\":["
      "{\"response_put\":{}},"
      "{\"response_txn\":{\"responses\":[{\"response_range\":{\"kvs\":["
      "{\"key\":\"Yg==\",\"value\":\"MQ==\",\"mod_revision\":\"7\"}]}}]}},"
      "{\"response_range\":{\"count\":\"0\"}}]}",
      0, NULL);
  store_result_t *result = etcd_json_result (NULL, root);
  const store_response_t *second
      = STAILQ_NEXT (STAILQ_FIRST (&result->responses), link);
  const store_entry_t *entry;

  (void)state;
  assert_true (result->succeeded);
  assert_int_equal (result->revision, 12);
  assert_null (store_result_entry (result, 0));
  assert_null (store_result_entry (result, 2));
  assert_int_equal (second->kind, STORE_TXN);
  assert_false (second->txn->succeeded);
  entry = store_result_entry (second->txn, 0);
  assert_string_equal (entry->key, "b");
  assert_string_equal (entry->value, "1");
  assert_int_equal (entry->mod_revision, 7);
  talloc_free (result);
  json_decref (root);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_nested_transaction_is_encoded),
    cmocka_unit_test (test_page_begins_after_the_last_key),
    cmocka_unit_test (test_nested_response_is_decoded),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
