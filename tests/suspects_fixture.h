#ifndef SISKIN_TESTS_SUSPECTS_FIXTURE_H
#define SISKIN_TESTS_SUSPECTS_FIXTURE_H

#include "common/suspects.h"
#include "relay/crashes.h"

/* The suspects of a process and of a peer, upstreams that crash, and prompts,
   on a virtual clock.  */

enum
{
  HARMFUL = 0xdead, /* parts of prompts */
  SHARED = 0xa,
  OTHER = 0xb,
  GAP_MS = 1000, /* between crashes */
  LONG_GAP_MS = 2000,
  QUARANTINE_MS = 30000,
  MEMORY_MS = 600001,
  MANY = 10000,
  LONG_PROMPT = 4096 /* parts in a header of 16 KiB */
};

/* Two parts each.  */
extern const uint64_t harmful_prompt[];
extern const uint64_t sound_prompt[];

typedef struct fixture
{
  clock_source_t *clock;
  suspects_t *suspects;
  suspects_t *peer;
  crashes_t *crashes;
  uint64_t next_crash;
} fixture_t;

int fixture_set_up (void **state);
int fixture_tear_down (void **state);
void fixture_wait_ms (fixture_t *fixture, int64_t ms);
suspect_verdict_t prompt_verdict (suspects_t *suspects,
                                  const uint64_t *prompt);
void fixture_crash_with (fixture_t *fixture, uint64_t id,
                         const uint64_t *prompt, uint64_t progress);
void fixture_crash (fixture_t *fixture, const uint64_t *prompt);
void fixture_answer (fixture_t *fixture, const uint64_t *prompt);
void fixture_gossip (fixture_t *fixture, unsigned copies);

#endif
