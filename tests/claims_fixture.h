#ifndef SISKIN_TESTS_CLAIMS_FIXTURE_H
#define SISKIN_TESTS_CLAIMS_FIXTURE_H

#include "fake_store.h"
#include "plugins/journal/claims.h"

/* Simulates several processes with their claims, callers, and a store whose
   calls are delayed and whose responses can be lost, on a virtual clock.  */

enum
{
  PROCESSES = 3,
  KEYS = 3,
  BODIES = 2, /* number of different requests that use a key */
  SEEDS = 300,
  STEPS_PER_SEED = 1500,
  STEP_MS = 5,
  CALL_TIMEOUT_MS = 200,
  LONG_DELAY_MS = 3000,
  SETTLE_MS = 30000 /* after it, without faults, nothing is pending */
};

/* A pending store call.  */
typedef struct store_call
{
  LIST_ENTRY (store_call) link;
  struct process *process; /* NULL after a crash or the call's end */
  store_txn_t *txn;
  claim_batch_t *batch;
  store_result_t *result;
  int64_t applied_at_ms;
  int64_t response_at_ms; /* -1: the response is lost */
  int64_t timeout_at_ms;
  bool is_applied;
} store_call_t;

/* A caller that requests a key from one process.  */
typedef struct caller
{
  LIST_ENTRY (caller) link;
  struct fixture *fixture;
  struct process *process;
  journal_claim_t *claim;
  unsigned key;
  unsigned body;
  int64_t ends_ms; /* end of the current phase, before or during the run */
  bool is_running;
} caller_t;

/* One process with its claims.  */
typedef struct process
{
  struct fixture *fixture;
  claims_t *claims;
  unsigned index;
  int64_t paused_until_ms;
  int64_t lease_at_ms; /* response to the lease request; -1: none pending */
} process_t;

typedef struct fixture
{
  unsigned seed;
  uint64_t random;
  uint64_t incarnation;
  int64_t now_ms;
  bool is_fault_free; /* no random faults */
  fake_store_t *store;
  process_t processes[PROCESSES];
  LIST_HEAD (, store_call) store_calls;
  LIST_HEAD (, caller) callers;
  unsigned runs[KEYS]; /* runs of requests by key; must not exceed 1 */
  int last_run_body[KEYS];
  unsigned verdicts[CLAIM_UNAVAILABLE + 1];
} fixture_t;

fixture_t *fixture_create (unsigned seed);
void fixture_destroy (fixture_t *fixture);
void fixture_advance (fixture_t *fixture);
void fixture_inject_event (fixture_t *fixture);
void fixture_settle (fixture_t *fixture);
void process_crash (process_t *process);
void caller_start (process_t *process, unsigned key, unsigned body,
                   int64_t timeout_ms);
void fixture_run_ms (fixture_t *fixture, int64_t duration_ms);

#endif
