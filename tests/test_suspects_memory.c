/* The memory for suspects is bounded: clients that make up prompts must
   neither fill a process nor push a harmful part out.  */

#include "suspects_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <xxhash.h>

static void
test_memory_is_bounded (void **state)
{
  fixture_t *fixture = *state;
  unsigned count;

  for (uint64_t i = 0; i < MANY; i++)
    {
      uint64_t made_up[] = { MANY + i, (uint64_t)2 * MANY + i };

      suspects_record_answer (fixture->suspects, &i, 1);
      fixture_crash_with (fixture, i, made_up, PROGRESS_BEGUN);
    }
  talloc_free (suspects_list (fixture, fixture->suspects, &count));
  assert_in_range (count, 1, 200);
  assert_in_range (talloc_total_size (fixture->suspects), 0, 4 << 20);
}

/* A client may make up thousands of parts, whose requests share upstreams with
   the harmful one.  */
static void
test_made_up_parts_push_out_no_suspect (void **state)
{
  fixture_t *fixture = *state;
  uint64_t *made_up = talloc_array (fixture, uint64_t, LONG_PROMPT);

  fixture_crash (fixture, harmful_prompt);
  for (uint64_t i = 0; i < 10; i++)
    {
      crash_evidence_t evidence = { .crash = MANY + i,
                                    .at = clock_monotonic (fixture->clock),
                                    .progress = PROGRESS_BEGUN };

      for (uint64_t part = 0; part < LONG_PROMPT; part++)
        made_up[part] = MANY + i * LONG_PROMPT + part;
      suspects_record_crash (fixture->suspects, &evidence, made_up,
                             LONG_PROMPT);
      suspects_record_answer (fixture->suspects, made_up, LONG_PROMPT);
    }
  fixture_crash (fixture, harmful_prompt);
  assert_int_equal (prompt_verdict (fixture->suspects, harmful_prompt),
                    SUSPECT_QUARANTINED);
}

/* One of very many new parts of a prompt is found, though few of them are
   remembered at a crash.  */
static void
test_harmful_part_of_a_very_long_prompt_is_found (void **state)
{
  fixture_t *fixture = *state;
  uint64_t *prompt = talloc_array (fixture, uint64_t, LONG_PROMPT);
  const uint64_t harmful[] = { HARMFUL, HARMFUL };
  unsigned crashes = 0;

  while (prompt_verdict (fixture->suspects, harmful) != SUSPECT_QUARANTINED)
    {
      crash_evidence_t evidence
          = { .crash = XXH3_64bits (&crashes, 4), .progress = PROGRESS_BEGUN };

      assert_true (crashes < MANY);
      fixture_wait_ms (fixture, GAP_MS);
      evidence.at = clock_monotonic (fixture->clock);
      for (uint64_t part = 0; part < LONG_PROMPT; part++)
        prompt[part] = MANY + crashes * LONG_PROMPT + part;
      prompt[LONG_PROMPT - 2] = HARMFUL;
      suspects_record_crash (fixture->suspects, &evidence, prompt,
                             LONG_PROMPT);
      crashes++;
    }
  print_message ("%u crashes\n", crashes);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_memory_is_bounded, fixture_set_up,
                                     fixture_tear_down),
    cmocka_unit_test_setup_teardown (test_made_up_parts_push_out_no_suspect,
                                     fixture_set_up, fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        test_harmful_part_of_a_very_long_prompt_is_found, fixture_set_up,
        fixture_tear_down),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
