#ifndef SISKIN_TESTS_CALL_FIXTURE_H
#define SISKIN_TESTS_CALL_FIXTURE_H

#include "entry/call.h"
#include "fake_agent.h"

#include <tevent.h>

/* An entry with one worker, fake agents, and a caller of one request.  */

enum
{
  AGENT_COUNT = 2,
  SHORT_DEADLINE_MS = 1000,
  LONG_DEADLINE_MS = 20000
};

typedef struct fixture
{
  clock_source_t *clock;
  pool_t *pool;
  worker_t *worker;
  node_t *node;
  entry_t entry;
  entry_worker_t entry_worker;
  fake_agent_t agents[AGENT_COUNT];
  uint64_t revision;
  const char *budget_ratio;
  unsigned heads;
  unsigned ends;
  char data[64];
  size_t size;
  call_result_t result;
} fixture_t;

/* Run the event loop until CONDITION holds.  The alarm ends the test if it
   never does.  */
#define RUN_UNTIL(fixture, condition)                                         \
  while (!(condition))                                                        \
  tevent_loop_once (worker_events ((fixture)->worker))

int fixture_set_up (void **state);
int fixture_tear_down (void **state);
void fixture_configure (fixture_t *fixture, unsigned listed);
void fixture_submit (fixture_t *fixture, bool is_repeatable,
                     int64_t deadline_ms);
fake_agent_t *fixture_submit_to_agent (fixture_t *fixture, unsigned listed,
                                       bool is_repeatable,
                                       int64_t deadline_ms);
fake_agent_t *fixture_other_agent (fixture_t *fixture,
                                   const fake_agent_t *agent);
void fixture_expect_complete (fixture_t *fixture);
void fixture_expect_end (fixture_t *fixture, outcome_t outcome,
                         refusal_t refusal);

#endif
