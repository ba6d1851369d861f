/* Plays a heavy load on relays with the fleet and policy of production and
   checks what clients get: capacity left free while requests are refused, or
   an upstream with more than it has room for, shows here.  Relays hear of the
   load late and do not agree with each other; the more relays there are, the
   smaller is each one's part of an upstream's free places.  */

#include "bench/relay_model.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

enum
{
  DURATION_MS = 9000,
  SLOTS = 6
};

/* Nine tenths of all slots are in use.  */
static const double heavy_load = 0.9;
/* The share of requests that has to be sent at once; the others wait for the
   next reports.  */
static const double min_sent_at_once = 0.95;
/* Attempts that reach a full upstream, a request.  */
static const double max_declined = 0.01;

static void
check_size (unsigned relays, unsigned upstreams)
{
  for (uint64_t seed = 1; seed <= 3; seed++)
    {
      relay_model_options_t options = { .relays = relays,
                                        .upstreams = upstreams,
                                        .slots = SLOTS,
                                        .load = heavy_load,
                                        .duration_ms = DURATION_MS,
                                        .seed = seed };
      relay_model_result_t result = relay_model_run (&options);

      assert_true (result.sent_at_once >= min_sent_at_once);
      assert_true (result.refused <= 0);
      assert_true (result.declined <= max_declined);
    }
}

static void
test_three_relays (void **state)
{
  (void)state;
  check_size (3, 16);
}

static void
test_fourteen_relays (void **state)
{
  (void)state;
  check_size (14, 64);
}

static void
test_fifty_relays (void **state)
{
  (void)state;
  check_size (53, 192);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_three_relays),
    cmocka_unit_test (test_fourteen_relays),
    cmocka_unit_test (test_fifty_relays),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
