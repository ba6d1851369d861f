/* A pilot beside a slow engine, or one that was about to stop, campaigned like
   all others, and had to be replaced again soon.  */

#include "pilot/candidacy.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  RANKS = 63
};

static candidacy_t
candidacy_of (unsigned rank)
{
  return (candidacy_t){ .own_rank = rank, .rank_count = RANKS };
}

static void
test_ranks_campaign_in_turn (void **state)
{
  (void)state;
  for (unsigned i = 1; i < RANKS; i++)
    {
      candidacy_t before = candidacy_of (i - 1);
      candidacy_t candidacy = candidacy_of (i);

      assert_true (candidacy_delay_ms (&candidacy)
                   > candidacy_delay_ms (&before));
      assert_true (candidacy_accepts (&candidacy));
    }
}

/* All other pilots come first, but if there is none the slow one leads.  */
static void
test_slow_rank_campaigns_last (void **state)
{
  candidacy_t last = candidacy_of (RANKS - 1);
  candidacy_t slow = candidacy_of (0);

  (void)state;
  slow.is_slow = true;
  assert_true (candidacy_delay_ms (&slow) > candidacy_delay_ms (&last));
  assert_false (candidacy_accepts (&slow));
}

static void
test_stopping_pilot_does_not_campaign (void **state)
{
  candidacy_t stopping = candidacy_of (0);

  (void)state;
  stopping.is_stopping = true;
  assert_int_equal (candidacy_delay_ms (&stopping), -1);
  assert_false (candidacy_accepts (&stopping));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_ranks_campaign_in_turn),
    cmocka_unit_test (test_slow_rank_campaigns_last),
    cmocka_unit_test (test_stopping_pilot_does_not_campaign),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
