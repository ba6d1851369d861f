#include "suspects_fixture.h"

#include "kernel/plugin.h"
#include "plugins/gossip.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

const uint64_t harmful_prompt[] = { SHARED, HARMFUL };
const uint64_t sound_prompt[] = { SHARED, OTHER };

/* Create the fixture of a test.  */
int
fixture_set_up (void **state)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);

  fixture->clock
      = clock_create_virtual (fixture, (struct timespec){ .tv_sec = 1000 });
  fixture->suspects = suspects_create (fixture, fixture->clock);
  fixture->peer = suspects_create (fixture, fixture->clock);
  fixture->crashes
      = crashes_create (fixture, fixture->clock, fixture->suspects);
  *state = fixture;
  return 0;
}

/* Free it.  */
int
fixture_tear_down (void **state)
{
  talloc_free (*state);
  return 0;
}

/* Advance the clock by MS.  */
void
fixture_wait_ms (fixture_t *fixture, int64_t ms)
{
  clock_advance (fixture->clock, timespec_from_ms (ms));
}

/* Return what SUSPECTS decide on PROMPT.  */
suspect_verdict_t
prompt_verdict (suspects_t *suspects, const uint64_t *prompt)
{
  return suspects_check (suspects, prompt, 2).verdict;
}

/* The upstream of the crash ID was busy with PROMPT, of which it had written
   PROGRESS.  */
void
fixture_crash_with (fixture_t *fixture, uint64_t id, const uint64_t *prompt,
                    uint64_t progress)
{
  crash_evidence_t evidence = { .crash = id,
                                .at = clock_monotonic (fixture->clock),
                                .progress = progress };

  suspects_record_crash (fixture->suspects, &evidence, prompt, 2);
}

/* An upstream crashes with PROMPT, for which a response was begun.  */
void
fixture_crash (fixture_t *fixture, const uint64_t *prompt)
{
  fixture_wait_ms (fixture, GAP_MS);
  fixture_crash_with (fixture, ++fixture->next_crash, prompt, PROGRESS_BEGUN);
}

/* A request with PROMPT gets its whole response.  */
void
fixture_answer (fixture_t *fixture, const uint64_t *prompt)
{
  suspects_record_answer (fixture->suspects, prompt, 2);
}

/* Send all of FIXTURE's updates to its peer, COPIES times, as frames.  */
void
fixture_gossip (fixture_t *fixture, unsigned copies)
{
  const gossip_topic_ops_t *topic
      = plugin_ops (PLUGIN_GOSSIP, GOSSIP_SUSPECTS);
  TALLOC_CTX *scratch = talloc_new (fixture);
  frame_t frame;

  while (topic->take_update (fixture->suspects, scratch, &frame))
    {
      for (unsigned i = 0; i < copies; i++)
        {
          size_t size;
          char *encoded = frame_encode (scratch, &frame, &size);
          frame_t decoded;

          assert_int_equal (frame_decode (scratch,
                                          encoded + FRAME_PREFIX_BYTES,
                                          size - FRAME_PREFIX_BYTES, &decoded),
                            STATUS_OK);
          assert_int_equal (topic->merge (fixture->peer, scratch, &decoded),
                            i == 0);
        }
    }
  talloc_free (scratch);
}
