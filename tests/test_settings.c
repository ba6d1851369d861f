/* Checks of the settings document: every fault must be reported with its
   place, and an ambiguous path must not make a request repeatable.  */

#include "common/settings.h"
#include "kernel/plugin.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#define RULES_HEAD                                                            \
  "[site]\nname = \"s\"\n"                                                    \
  "[[zone]]\nname = \"z1\"\n[[zone]]\nname = \"z2\"\n"
#define RULES_SERVICES                                                        \
  "[[service]]\nname = \"chat\"\nkind = \"model\"\npath = \"/v1/\"\n"         \
  "models = [\"m\"]\n"                                                        \
  "[[service]]\nname = \"booking\"\npath = \"/bookings\"\n"
#define RULES RULES_HEAD RULES_SERVICES
#define INVENTORY_HEAD "name,address,zone,kind,service,model,group,rank,rack\n"
#define INVENTORY                                                             \
  INVENTORY_HEAD "e1,10.0.0.1:80,z1,entry,,,,,R1\n"                           \
                 "u1,10.0.0.2:70,z1,model,chat,m,g,0,R1\n"                    \
                 "u2,10.0.0.3:70,z2,model,chat,m,g,1,\"R2, left\"\n"          \
                 "b1,10.0.0.4:70,z2,plain,booking,,,,R2\n"

static settings_t *
read_settings (findings_t *findings, const char *rules, const char *inventory)
{
  settings_parts_t *parts = settings_parts_create (findings);

  parts->rules = rules;
  parts->inventory = inventory;
  return settings_from_parts (parts, "rules", "inventory", findings);
}

static char *
findings_text (findings_t *findings)
{
  char *text = talloc_strdup (findings, "");
  const finding_t *finding;

  for (finding = findings_first (findings); finding != NULL;
       finding = STAILQ_NEXT (finding, link))
    text = talloc_asprintf_append_buffer (text, "%s:%u:%u: %s\n",
                                          finding->file, finding->line,
                                          finding->column, finding->message);
  return text;
}

static void
assert_findings (const char *rules, const char *inventory,
                 const char *expected)
{
  findings_t *findings = findings_create (NULL);

  assert_null (read_settings (findings, rules, inventory));
  assert_string_equal (findings_text (findings), expected);
  findings_destroy (findings);
}

static void
test_good_settings_are_indexed (void **state)
{
  findings_t *findings = findings_create (NULL);
  settings_t *settings = read_settings (findings, RULES, INVENTORY);

  (void)state;
  assert_non_null (settings);
  assert_string_equal (settings_upstream (settings, "u2")->zone, "z2");
  assert_int_equal (settings_upstream (settings, "u2")->rank, 1);
  assert_null (settings_upstream (settings, "e1"));
  assert_null (settings_upstream (settings, ""));
  assert_null (settings_account (settings, "unknown"));
  assert_string_equal (settings_match_service (settings, "/v1/x", "m")->name,
                       "chat");
  assert_null (settings_match_service (settings, "/v1/x", "other"));
  assert_null (settings_match_service (settings, "/bookings2", ""));
  settings_release (settings);
  findings_destroy (findings);
}

/* Return the names of all plug-ins of KIND, formatted as in a finding.  */
static char *
known_plugins (TALLOC_CTX *parent, plugin_kind_t kind)
{
  char *text = talloc_strdup (parent, "");
  const plugin_t *plugin;

  for (plugin = plugin_next (kind, NULL); plugin != NULL;
       plugin = plugin_next (kind, plugin))
    text = talloc_asprintf_append_buffer (
        text, "%s%s", text[0] == '\0' ? "" : ", ", plugin->name);
  return text;
}

static void
test_findings_report_line_and_column (void **state)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  char *expected;

  (void)state;
  expected = talloc_asprintf (
      scratch,
      "rules:29:8: 'typo' is not a known setting\n"
      "rules:8:8: zone 'z1' is already defined on line 3\n"
      "rules:20:8: path '/bookings/' is also that of service 'booking' on "
      "line 14, and both have a model in common\n"
      "rules:23:8: path '/other' is outside '/bookings', the path of service "
      "'booking'\n"
      "rules:25:20: 'default_deadline' exceeds 'maximum_deadline'\n"
      "rules:28:17: 'cold_requests' exceeds 'maximum_requests'\n"
      "rules:17:8: unknown pick 'dice'; available: %s\n",
      known_plugins (scratch, PLUGIN_PICK));
  assert_findings (
      RULES_HEAD "[[zone]]\nname = \"z1\"\n" RULES_SERVICES "pick = \"dice\"\n"
                 "[[service]]\nname = \"more\"\npath = \"/bookings/\"\n"
                 "[[repeat_never]]\nservice = \"booking\"\npath = \"/other\"\n"
                 "[limits]\ndefault_deadline = \"9 s\"\n"
                 "maximum_deadline = \"8 s\"\n"
                 "[admission]\ncold_requests = 99\ntypo = 1\n",
      INVENTORY, expected);
  talloc_free (scratch);
}

static void
test_inventory_findings (void **state)
{
  (void)state;
  assert_findings (
      RULES,
      INVENTORY "u1,10.0.0.9:70,z1,plain,booking,,,,\n"
                "e1,host,z9,entry,,,,,\n"
                "b1,10.0.0.8:70,z1,entry,,,,,\n"
                "u3,10.0.0.5:70,z1,model,booking,m,g,3,\n"
                "u4,10.0.0.5:71,z1,model,chat,n,,,\n"
                "u5,10.0.0.5:72,z1,model,chat,m,g,1,\n",
      "inventory:7:4: address 'host' is not ADDRESS:PORT\n"
      "inventory:7:9: zone 'z9' is not a zone defined in the settings\n"
      "inventory:7:1: name 'e1' is already used on line 2\n"
      "inventory:8:1: name 'b1' is already used by the upstream on line 5\n"
      "inventory:6:1: name 'u1' is already defined on line 3\n"
      "inventory:9:19: the kind of service 'booking' is plain\n"
      "inventory:10:30: model 'n' is not one of the models of service 'chat'\n"
      "inventory:11:34: rank 1 of group 'g' is already used by 'u2'\n"
      "inventory:9:37: rank 2 of group 'g' is missing before rank 3\n"
      "inventory:9:35: group 'g' has members of different services or "
      "models\n");
}

static void
test_empty_inventory (void **state)
{
  (void)state;
  assert_findings (RULES, "", "inventory:0:0: the inventory is empty\n");
  assert_findings (RULES, INVENTORY_HEAD,
                   "inventory:0:0: the inventory lists no upstream\n");
  assert_findings (RULES, "name,zone\n",
                   "inventory:1:1: column 'address' is missing\n"
                   "inventory:1:1: column 'kind' is missing\n"
                   "inventory:1:1: column 'service' is missing\n");
}

/* A request must not run twice if its path is ambiguous and servers may
   resolve it to a path that must run at most once.  */
static void
test_ambiguous_paths_are_not_repeatable (void **state)
{
  findings_t *findings = findings_create (NULL);
  settings_t *settings
      = read_settings (findings,
                       RULES "[[repeat_never]]\nservice = \"booking\"\n"
                             "path = \"/bookings/new\"\n",
                       INVENTORY);
  static const char *const ambiguous[]
      = { "/bookings/%6eew", "/bookings//new", "/bookings/./new",
          "/bookings/x/../new", "/bookings/new;a=1" };

  (void)state;
  assert_non_null (settings);
  for (size_t i = 0; i < sizeof ambiguous / sizeof *ambiguous; i++)
    assert_false (
        settings_is_repeatable (settings, "booking", "POST", ambiguous[i]));
  assert_false (settings_is_repeatable (settings, "booking", "PUT",
                                        "/bookings/new?x=%20"));
  assert_true (
      settings_is_repeatable (settings, "booking", "GET", "/bookings/new"));
  assert_true (settings_is_repeatable (settings, "booking", "POST",
                                       "/bookings/newer?x=a//b"));
  assert_true (settings_is_repeatable (settings, "chat", "POST", "/v1/x"));
  settings_release (settings);
  findings_destroy (findings);
}

static void
test_document_keeps_zones_out_and_draining (void **state)
{
  settings_parts_t *parts = settings_parts_create (NULL);
  schema_string_t zone = { .text = "z2" };
  schema_string_t upstream = { .text = "b1" };
  settings_t *settings;
  char *document;

  (void)state;
  parts->revision = 7;
  parts->changed_why = "maintenance";
  parts->rules = RULES;
  parts->inventory = INVENTORY;
  STAILQ_INSERT_TAIL (&parts->zones_out, &zone, link);
  STAILQ_INSERT_TAIL (&parts->draining, &upstream, link);
  document = settings_parts_format (parts, parts);
  assert_int_equal (
      settings_from_document (document, strlen (document), &settings),
      STATUS_OK);
  assert_int_equal (settings->revision, 7);
  assert_string_equal (settings->changed_why, "maintenance");
  assert_true (settings_zone_serves (settings, "z1"));
  assert_false (settings_zone_serves (settings, "z2"));
  assert_false (settings_zone_serves (settings, "z9"));
  assert_true (settings_upstream (settings, "b1")->is_draining);
  settings_release (settings);
  assert_int_equal (settings_from_document ("{}", 2, &settings),
                    STATUS_INVALID);
  settings_parts_destroy (parts);
}

/* A peer's settings document with a key of very many parts: it must be refused
   with its place; the parser's recursion overflowed the stack.  */
static void
test_deep_keys_are_refused (void **state)
{
  enum
  {
    PARTS = 500000
  };
  char *key = talloc_zero_array (NULL, char, 2 * PARTS);
  char *rules;

  (void)state;
  for (size_t i = 0; i < talloc_get_size (key) - 1; i++)
    key[i] = i % 2 == 0 ? 'a' : '.';
  rules = talloc_asprintf (key, "\n%s=1\n", key);
  assert_findings (rules, INVENTORY,
                   "rules:2:64: a key has more than 32 parts\n");
  talloc_free (key);
}

/* Dots in strings and comments, and in the keys of several lines, are no parts
   of one key.  */
static void
test_dots_outside_keys_are_not_counted (void **state)
{
  findings_t *findings = findings_create (NULL);
  const char *dots = "......................................";
  char *rules = talloc_asprintf (
      findings, RULES "# %s\n[[account]]\nname = \"%s\\\"%s\" # %s\n", dots,
      dots, dots, dots);
  settings_t *settings = read_settings (findings, rules, INVENTORY);

  (void)state;
  assert_string_equal (findings_text (findings), "");
  settings_release (settings);
  findings_destroy (findings);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_good_settings_are_indexed),
    cmocka_unit_test (test_findings_report_line_and_column),
    cmocka_unit_test (test_inventory_findings),
    cmocka_unit_test (test_empty_inventory),
    cmocka_unit_test (test_ambiguous_paths_are_not_repeatable),
    cmocka_unit_test (test_document_keeps_zones_out_and_draining),
    cmocka_unit_test (test_deep_keys_are_refused),
    cmocka_unit_test (test_dots_outside_keys_are_not_counted),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
