/* Documents of the platform: a malformed one must change nothing, and an
   upstream or rule must never be made up of half a document.  */

#include "kernel/clock.h"
#include "kernel/plugin.h"
#include "plugins/catalog.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <jansson.h>

static const char good_listing[]
    = "{\"service\":\"model\",\"address\":\"10.1.0.4:80\",\"zone\":\"a\","
      "\"slots\":4,\"state\":\"ready\",\"cold_left_ms\":250,\"born\":7,"
      "\"more\":{}}";

static const char good_rules[]
    = "{\"version\":5,\"routes\":[{\"name\":\"look\",\"host\":\"a.example\","
      "\"prefix\":\"/look/\",\"kind\":\"streaming\",\"service\":\"model\","
      "\"timeout_ms\":3000,\"slo_ms\":400,\"gap_slo_ms\":120,"
      "\"max_attempts\":2,\"resumable\":true}],"
      "\"services\":[{\"name\":\"model\",\"health_path\":\"/health\","
      "\"max_conns\":9,\"cold_s\":1,\"cold_per_s\":2,\"engine\":{\"slots\":4,"
      "\"read_per_s\":60000,\"pairs_per_m\":0.5,\"chunk\":512,"
      "\"per_seq_ms\":0.3,\"context_per_k\":0.25,\"stride\":-3,"
      "\"sets\":2,\"experts\":12,\"placements\":5,"
      "\"expert_mb\":10,\"link_mbps\":1000,\"form_ms\":300,"
      "\"report_lag_ms\":200}}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":100,"
      "\"header_timeout_ms\":5000,\"idle_timeout_ms\":4000},"
      "\"tenants\":[{\"name\":\"t\",\"keys\":[\"k\"]}]}";

static const catalog_ops_t *
catalog (void)
{
  return plugin_ops (PLUGIN_CATALOG, "platform");
}

static status_t
read_listing (TALLOC_CTX *context, const char *text,
              upstream_listing_t *listing)
{
  return catalog ()->read_upstream (context, "i-1", text, strlen (text),
                                    listing);
}

/* Return GOOD with the field NAME set to the JSON text VALUE, or removed if
   VALUE is NULL.  The caller frees the result.  */
static char *
replace_field (const char *good, const char *name, const char *value)
{
  json_t *json = json_loads (good, 0, NULL);
  char *text;

  if (value == NULL)
    json_object_del (json, name);
  else
    json_object_set_new (json, name,
                         json_loads (value, JSON_DECODE_ANY, NULL));
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  return text;
}

static void
test_listing_is_decoded (void **state)
{
  TALLOC_CTX *context = talloc_new (NULL);
  upstream_listing_t listing;

  (void)state;
  assert_int_equal (read_listing (context, good_listing, &listing), STATUS_OK);
  assert_string_equal (listing.id, "i-1");
  assert_string_equal (listing.service, "model");
  assert_string_equal (listing.address, "10.1.0.4:80");
  assert_string_equal (listing.zone, "a");
  assert_int_equal (listing.slots, 4);
  assert_false (listing.is_draining);
  assert_int_equal (timespec_to_ms (listing.cold_start_remaining), 250);
  assert_int_equal (listing.started_ms, 7);
  talloc_free (context);
}

static void
test_malformed_listing_is_rejected (void **state)
{
  static const char *const changes[][2] = {
    { "service", NULL },
    { "service", "7" },
    { "address", NULL },
    { "address", "\"\"" },
    { "address", "\"10.1.0.4\"" },
    { "address", "\"h/x?y:80\"" },
    { "address", "\"10.1.0.4:99999\"" },
    { "address", "[\"10.1.0.4:80\"]" },
    { "zone", NULL },
    { "zone", "{}" },
    { "slots", NULL },
    { "slots", "\"4\"" },
    { "slots", "-1" },
    { "state", "\"asleep\"" },
    { "state", NULL },
    { "cold_left_ms", "\"soon\"" },
    { "cold_left_ms", "1e300" },
    { "cold_left_ms", "-5" },
    { "slots", "9223372036854775807" },
    { "address", "\"10.1.0.4:0\"" },
    { "address", "\"10.1.0.4:-18446744073709551535\"" },
    { "address", "\"0.0.0.0:80\"" },
    { "version", "[[[]]]" },
    { "born", "1e300" },
    { "sequence", "true" },
  };
  TALLOC_CTX *context = talloc_new (NULL);
  upstream_listing_t listing;

  (void)state;
  for (size_t i = 0; i < sizeof changes / sizeof changes[0]; i++)
    {
      char *text = replace_field (good_listing, changes[i][0], changes[i][1]);

      if (read_listing (context, text, &listing) != STATUS_INVALID)
        fail_msg ("accepted: %s", text);
      free (text);
    }
  assert_int_equal (read_listing (context, "", &listing), STATUS_INVALID);
  assert_int_equal (read_listing (context, "[]", &listing), STATUS_INVALID);
  assert_int_equal (read_listing (context, "null", &listing), STATUS_INVALID);
  talloc_free (context);
}

static void
test_rules_are_decoded (void **state)
{
  const service_rule_t *service;
  const route_t *route;
  rules_t *rules;

  (void)state;
  assert_int_equal (
      catalog_read_rules (catalog (), good_rules, strlen (good_rules), &rules),
      STATUS_OK);
  assert_int_equal (rules->version, 5);
  assert_int_equal (rules->limits.body_bytes, 100);
  assert_int_equal (timespec_to_ms (rules->limits.idle_timeout), 4000);
  route = rules_route (rules, "a.example", "/look/x?y");
  assert_non_null (route);
  assert_int_equal (route->kind, ROUTE_STREAM);
  assert_true (route->is_resumable);
  assert_int_equal (route->max_attempts, 2);
  assert_int_equal (timespec_to_ms (route->gap_limit), 120);
  assert_null (rules_route (rules, "b.example", "/look/x"));
  assert_non_null (rules_account_by_key (rules, "k"));
  assert_null (rules_account_by_key (rules, "j"));
  service = rules_service (rules, "model");
  assert_true (service->has_engine);
  assert_int_equal (service->engine.prompt_tokens_per_ms, 60);
  assert_true (service->engine.million_pairs_ms == 0.5);
  assert_true (service->engine.request_step_ms == 0.3);
  assert_true (service->engine.context_step_ms == 0.25);
  assert_int_equal (service->engine.prompt_chunk_tokens, 512);
  assert_int_equal (service->engine.slots, 4);
  /* A negative number of steps must not become a huge one.  */
  assert_int_equal (service->engine.token_steps_per_pass, 1);
  assert_int_equal (timespec_to_ms (service->engine.group_recovery_time), 300);
  assert_int_equal (timespec_to_ms (service->engine.report_lag), 200);
  rules_release (rules);
}

/* Reading any document gives rules or an error, never both or neither.  */
static void
test_malformed_rules_give_rules_or_an_error (void **state)
{
  static const char *const values[]
      = { "null", "7", "-1", "\"x\"", "[]", "[7]", "[{}]", "{}", "true" };
  static const char *const fields[]
      = { "version", "routes", "services", "limits", "tenants" };
  rules_t *rules;

  (void)state;
  for (size_t field = 0; field < sizeof fields / sizeof fields[0]; field++)
    for (size_t value = 0; value < sizeof values / sizeof values[0]; value++)
      {
        char *text = replace_field (good_rules, fields[field], values[value]);
        status_t status
            = catalog_read_rules (catalog (), text, strlen (text), &rules);

        assert_int_equal (status == STATUS_OK, rules != NULL);
        if (status == STATUS_OK)
          rules_release (rules);
        free (text);
      }
  for (size_t size = 0; size < strlen (good_rules); size++)
    assert_int_equal (
        catalog_read_rules (catalog (), good_rules, size, &rules),
        STATUS_INVALID);
  assert_non_null (strstr (status_message (), "line 1"));
}

static void
test_keys_are_classified (void **state)
{
  const char *name;
  char *key = talloc_asprintf (NULL, "%sx", catalog ()->upstream_prefix);

  (void)state;
  assert_int_equal (catalog ()->classify (key, &name), CATALOG_UPSTREAM);
  assert_string_equal (name, "x");
  talloc_free (key);
  key = talloc_asprintf (NULL, "%sx", catalog ()->own_prefix);
  assert_int_equal (catalog ()->classify (key, &name), CATALOG_OWN);
  talloc_free (key);
  assert_int_equal (catalog ()->classify ("", &name), CATALOG_OTHER);
  assert_int_equal (catalog ()->classify ("zzz", &name), CATALOG_OTHER);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_listing_is_decoded),
    cmocka_unit_test (test_malformed_listing_is_rejected),
    cmocka_unit_test (test_rules_are_decoded),
    cmocka_unit_test (test_malformed_rules_give_rules_or_an_error),
    cmocka_unit_test (test_keys_are_classified),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
