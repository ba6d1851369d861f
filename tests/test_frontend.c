/* Targets and keys of callers: two spellings of a path must not get past a
   rule that applies to one of them.  */

#include "plugins/frontend/http_request.h"
#include "plugins/frontend/http_target.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

typedef struct example
{
  const char *text;
  const char *path; /* NULL: rejected */
  const char *path_and_query;
} example_t;

static const example_t examples[] = {
  { "/bookings", "/bookings", "/bookings" },
  { "//bookings", "/bookings", "/bookings" },
  { "/./bookings", "/bookings", "/bookings" },
  { "/x/../bookings", "/bookings", "/bookings" },
  { "/x/%2e%2E/bookings", "/bookings", "/bookings" },
  { "/%62ookings", "/bookings", "/bookings" },
  { "/bookings///7/", "/bookings/7/", "/bookings/7/" },
  { "/bookings/.", "/bookings/", "/bookings/" },
  { "/bookings/..", "/", "/" },
  { "/a%20b%c3%a9", "/a%20b%C3%A9", "/a%20b%C3%A9" },
  { "/a%3Ab", "/a:b", "/a:b" },
  { "/bookings?day=1&x=%2f..", "/bookings", "/bookings?day=1&x=%2f.." },
  { "/", "/", "/" },
  { "", NULL, NULL },
  { "bookings", NULL, NULL },
  { "http://host/bookings", NULL, NULL },
  { "/..", NULL, NULL },
  { "/x/../../bookings", NULL, NULL },
  { "/x%2f..%2fbookings", NULL, NULL },
  { "/bookings%00", NULL, NULL },
  { "/bookings%252e", NULL, NULL },
  { "/bookings;v=1", NULL, NULL },
  { "/bookings%3bv=1", NULL, NULL },
  { "/x\\..\\bookings", NULL, NULL },
  { "/bookings%5c", NULL, NULL },
  { "/bookings%2", NULL, NULL },
  { "/bookings%zz", NULL, NULL },
  { "/book ings", NULL, NULL },
  { "/bookings#x", NULL, NULL },
  { "/bookings?x#y", NULL, NULL },
};

static void
test_target_is_canonicalized (void **state)
{
  TALLOC_CTX *scratch = talloc_new (NULL);
  http_target_t target;

  (void)state;
  for (size_t i = 0; i < sizeof examples / sizeof examples[0]; i++)
    {
      bool is_valid = http_target_parse (scratch, examples[i].text, &target);

      if (is_valid != (examples[i].path != NULL))
        fail_msg ("%s is %s", examples[i].text,
                  is_valid ? "accepted" : "rejected");
      if (!is_valid)
        continue;
      assert_string_equal (target.path, examples[i].path);
      assert_string_equal (target.text, examples[i].path_and_query);
    }
  talloc_free (scratch);
}

static void
test_key_characters_are_checked (void **state)
{
  char long_key[202];

  (void)state;
  memset (long_key, 'k', sizeof long_key);
  long_key[201] = '\0';
  assert_true (http_request_is_valid_key ("20260101T000000Z-a_b.c~d:/+=@"));
  assert_true (http_request_is_valid_key (long_key + 1));
  assert_false (http_request_is_valid_key (long_key));
  assert_false (http_request_is_valid_key (""));
  assert_false (http_request_is_valid_key ("a b"));
  assert_false (http_request_is_valid_key ("a\r\nX: y"));
  assert_false (http_request_is_valid_key ("\"a\""));
  assert_false (http_request_is_valid_key ("\xc3\xa9"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_target_is_canonicalized),
    cmocka_unit_test (test_key_characters_are_checked),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
