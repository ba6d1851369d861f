/* Records of suspects between processes: those that come late, twice or
   through a codec must not change the result or be sent around for ever.  */

#include "suspects_fixture.h"

#include "kernel/plugin.h"
#include "plugins/gossip.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

static void
test_peers_learn_from_each_other_whatever_comes_twice (void **state)
{
  fixture_t *fixture = *state;

  fixture_answer (fixture, sound_prompt);
  fixture_crash (fixture, harmful_prompt);
  fixture_crash (fixture, harmful_prompt);
  fixture_gossip (fixture, 3);
  assert_int_equal (prompt_verdict (fixture->peer, harmful_prompt),
                    SUSPECT_QUARANTINED);
  assert_int_equal (prompt_verdict (fixture->peer, sound_prompt),
                    SUSPECT_ADMITTED);
}

/* Otherwise each pilot would send a record to all relays once it hears of
   it.  */
static void
test_repeats_are_learned_and_not_passed_on (void **state)
{
  fixture_t *fixture = *state;
  const gossip_topic_ops_t *topic
      = plugin_ops (PLUGIN_GOSSIP, GOSSIP_SUSPECTS);
  frame_t *frames;
  unsigned count;

  fixture_answer (fixture, sound_prompt);
  fixture_crash (fixture, harmful_prompt);
  fixture_crash (fixture, harmful_prompt);
  frames = topic->list (fixture->suspects, fixture, &count);
  assert_int_equal (count, 1);
  assert_false (topic->merge (fixture->peer, fixture, &frames[0]));
  assert_int_equal (prompt_verdict (fixture->peer, harmful_prompt),
                    SUSPECT_QUARANTINED);
}

/* Each process has room for the last crashes only.  */
static void
test_full_records_converge (void **state)
{
  fixture_t *fixture = *state;
  suspect_record_t *records;
  unsigned count;

  for (unsigned i = 0; i < SUSPECT_MAX_CRASHES + 3; i++)
    {
      fixture_crash (fixture, harmful_prompt);
      if (i == SUSPECT_MAX_CRASHES)
        fixture_gossip (fixture, 1);
    }
  records = suspects_list (fixture, fixture->peer, &count);
  assert_int_equal (count, 2);
  for (unsigned i = 0; i < count; i++)
    assert_false (suspects_merge (fixture->suspects, &records[i]));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (
        test_peers_learn_from_each_other_whatever_comes_twice, fixture_set_up,
        fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_repeats_are_learned_and_not_passed_on, fixture_set_up,
        fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_full_records_converge,
                                     fixture_set_up, fixture_tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
