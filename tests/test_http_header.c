/* The status line of a response: bytes that are no answer must not be taken
   for one, whatever the HTTP library makes of them.  */

#include "common/http_header.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

static bool
is_valid (const char *line)
{
  return http_status_line_is_valid (line, strlen (line));
}

static void
test_status_has_three_digits_of_a_known_class (void **state)
{
  static const char *const valid[]
      = { "HTTP/1.1 100 Continue\r\n", "HTTP/1.1 200 OK\r\n",
          "HTTP/1.1 599 \r\n", "HTTP/1.0 404\n", "HTTP/2 200" };
  static const char *const invalid[]
      = { "HTTP/1.1 000 OK\r\n",
          "HTTP/1.1 099 OK\r\n",
          "HTTP/1.1 600 OK\r\n",
          "HTTP/1.1 999 OK\r\n",
          "HTTP/1.1 20 OK\r\n",
          "HTTP/1.1 2000 OK\r\n",
          "HTTP/1.1 0200 OK\r\n",
          "HTTP/1.1 -20 OK\r\n",
          "HTTP/1.1 +20 OK\r\n",
          "HTTP/1.1 2 0 OK\r\n",
          "HTTP/1.1 200OK\r\n",
          "HTTP/1.1 abc\r\n",
          "HTTP/1.1 \r\n",
          "HTTP/1.1\r\n",
          "HTTP/1.1 18446744073709551816 OK\r\n" };

  (void)state;
  for (size_t i = 0; i < sizeof valid / sizeof valid[0]; i++)
    assert_true (is_valid (valid[i]));
  for (size_t i = 0; i < sizeof invalid / sizeof invalid[0]; i++)
    assert_false (is_valid (invalid[i]));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_status_has_three_digits_of_a_known_class),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
