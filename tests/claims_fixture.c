#include "claims_fixture.h"

#include "seeded_random.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static unsigned
fixture_random (fixture_t *fixture, unsigned below)
{
  return (unsigned)seeded_random_below (&fixture->random, below);
}

/* Return true with a probability of PERCENT, but never in fault-free mode.  */
static bool
fixture_chance (fixture_t *fixture, unsigned percent)
{
  return !fixture->is_fault_free && fixture_random (fixture, 100) < percent;
}

static struct timespec
fixture_now (const fixture_t *fixture)
{
  return timespec_from_ms (fixture->now_ms);
}

static void
process_start (process_t *process)
{
  fixture_t *fixture = process->fixture;
  claims_options_t options
      = { .owner = "agent",
          .incarnation = ++fixture->incarnation,
          .limits = { timespec_from_ms (86400000), timespec_from_ms (10) },
          .max_batch_steps = 4,
          .max_batches_in_flight = process->index + 1 };

  process->claims = claims_create (fixture, &options);
  process->lease_at_ms = -1;
}

/* Crash and restart PROCESS, which loses its state and its callers.  Calls
   that it has sent may still reach the store.  */
void
process_crash (process_t *process)
{
  store_call_t *store_call;
  caller_t *caller;
  caller_t *next;

  LIST_FOREACH (store_call, &process->fixture->store_calls, link)
    {
      if (store_call->process != process)
        continue;
      store_call->process = NULL;
      talloc_free (store_call->batch);
    }
  for (caller = LIST_FIRST (&process->fixture->callers); caller != NULL;
       caller = next)
    {
      next = LIST_NEXT (caller, link);
      if (caller->process != process)
        continue;
      LIST_REMOVE (caller, link);
      talloc_free (caller);
    }
  claims_destroy (process->claims);
  process_start (process);
}

static void
caller_end (caller_t *caller)
{
  LIST_REMOVE (caller, link);
  talloc_free (caller);
}

/* Record that the request of CALLER runs, and check that no other has run
   under its key.  */
static void
caller_record_run (caller_t *caller)
{
  fixture_t *fixture = caller->fixture;

  fixture->runs[caller->key]++;
  fixture->last_run_body[caller->key] = (int)caller->body;
  caller->is_running = true;
  if (fixture->runs[caller->key] > 1)
    fail_msg ("seed %u: key %u ran twice", fixture->seed, caller->key);
}

static void
caller_on_verdict (claim_verdict_t verdict, const claim_record_t *record,
                   void *data)
{
  caller_t *caller = data;
  fixture_t *fixture = caller->fixture;
  char expected[16];

  fixture->verdicts[verdict]++;
  if (verdict == CLAIM_GRANTED)
    {
      caller->ends_ms = fixture->now_ms + fixture_random (fixture, 300);
      if (fixture_chance (fixture, 15))
        caller->ends_ms += LONG_DELAY_MS;
      return;
    }
  if (verdict == CLAIM_FINISHED)
    {
      snprintf (expected, sizeof expected, "body %u", caller->body);
      assert_int_equal (fixture->last_run_body[caller->key],
                        (int)caller->body);
      assert_string_equal (record->body, expected);
    }
  if (verdict == CLAIM_KEY_REUSED && fixture->runs[caller->key] > 0
      && fixture->last_run_body[caller->key] == (int)caller->body)
    fail_msg ("seed %u: a repeat was rejected as a different request",
              fixture->seed);
  caller_end (caller);
}

/* Start a caller that requests KEY from PROCESS, in order to run the request
   BODY, and that waits for the verdict for up to TIMEOUT_MS.  */
void
caller_start (process_t *process, unsigned key, unsigned body,
              int64_t timeout_ms)
{
  fixture_t *fixture = process->fixture;
  caller_t *caller = talloc_zero (fixture, caller_t);
  char name[16];
  claim_request_t request
      = { .key = name,
          .account = "salon desk",
          .service = "booking",
          .fingerprint = body,
          .deadline = timespec_from_ms (fixture->now_ms + timeout_ms) };

  snprintf (name, sizeof name, "key/%u", key);
  caller->fixture = fixture;
  caller->process = process;
  caller->key = key;
  caller->body = body;
  LIST_INSERT_HEAD (&fixture->callers, caller, link);
  caller->claim
      = claims_submit (process->claims, &request, caller_on_verdict, caller,
                       fixture_now (fixture), fixture_now (fixture));
}

/* Advance the holder of a granted claim: it starts to run, ends, releases the
   claim without a run, or abandons it.  */
static void
caller_advance (caller_t *caller)
{
  fixture_t *fixture = caller->fixture;
  claim_record_t record = { .http_status = 201, .content_type = "text/plain" };
  char body[16];

  if (!caller->claim->is_delivered || caller->claim->verdict != CLAIM_GRANTED
      || fixture->now_ms < caller->ends_ms)
    return;
  if (!caller->is_running)
    {
      if (fixture_chance (fixture, 20))
        {
          claims_finish (caller->claim, NULL, fixture_now (fixture));
          caller_end (caller);
          return;
        }
      caller_record_run (caller);
      caller->ends_ms = fixture->now_ms + fixture_random (fixture, 200);
      return;
    }
  snprintf (body, sizeof body, "body %u", caller->body);
  record.body = body;
  record.body_size = strlen (body);
  if (fixture_chance (fixture, 20))
    claims_abandon (caller->claim, fixture_now (fixture));
  else
    claims_finish (caller->claim, &record, fixture_now (fixture));
  caller_end (caller);
}

/* Send BATCH to the store with random delays.  The response may be lost.  */
static void
store_call_send (process_t *process, claim_batch_t *batch)
{
  fixture_t *fixture = process->fixture;
  store_call_t *store_call = talloc_zero (fixture, store_call_t);

  store_call->process = process;
  store_call->batch = batch;
  store_call->txn = talloc_steal (store_call, batch->txn);
  store_call->applied_at_ms
      = fixture->now_ms + 1 + fixture_random (fixture, 20);
  if (fixture_chance (fixture, 10))
    store_call->applied_at_ms += LONG_DELAY_MS;
  store_call->response_at_ms
      = store_call->applied_at_ms + 1 + fixture_random (fixture, 20);
  if (fixture_chance (fixture, 15))
    store_call->response_at_ms = -1;
  store_call->timeout_at_ms = fixture->now_ms + CALL_TIMEOUT_MS;
  LIST_INSERT_HEAD (&fixture->store_calls, store_call, link);
}

static void
store_call_end (store_call_t *store_call, status_t status)
{
  process_t *process = store_call->process;

  store_call->process = NULL;
  if (process != NULL)
    claims_handle_batch_result (process->claims, store_call->batch, status,
                                store_call->result,
                                fixture_now (process->fixture));
}

static bool
process_is_paused (const process_t *process)
{
  return process->fixture->now_ms < process->paused_until_ms;
}

/* Execute STORE_CALL when it reaches the store, and pass its response or its
   timeout to the process.  */
static void
store_call_advance (fixture_t *fixture, store_call_t *store_call)
{
  if (!store_call->is_applied && fixture->now_ms >= store_call->applied_at_ms)
    {
      store_call->is_applied = true;
      store_call->result
          = fake_store_apply (fixture->store, store_call, store_call->txn);
    }
  if (store_call->process != NULL && process_is_paused (store_call->process))
    return;
  if (store_call->is_applied && store_call->response_at_ms >= 0
      && fixture->now_ms >= store_call->response_at_ms
      && store_call->response_at_ms <= store_call->timeout_at_ms)
    store_call_end (store_call, STATUS_OK);
  else if (fixture->now_ms >= store_call->timeout_at_ms)
    store_call_end (store_call, STATUS_TIMEOUT);
  if (store_call->process != NULL || !store_call->is_applied)
    return;
  LIST_REMOVE (store_call, link);
  talloc_free (store_call);
}

static void
process_deliver_verdicts (process_t *process)
{
  journal_claim_list_t decided = STAILQ_HEAD_INITIALIZER (decided);
  journal_claim_t *claim;

  claims_collect_decided (process->claims, &decided);
  while ((claim = STAILQ_FIRST (&decided)) != NULL)
    {
      bool is_granted = claim->verdict == CLAIM_GRANTED;

      STAILQ_REMOVE_HEAD (&decided, decided_link);
      claim->is_delivered = true;
      claim->done (claim->verdict,
                   claim->value == NULL ? NULL : &claim->value->record,
                   claim->data);
      if (!is_granted)
        claims_free_claim (claim);
    }
}

static void
process_advance (process_t *process)
{
  fixture_t *fixture = process->fixture;
  struct timespec now = fixture_now (fixture);
  struct timespec duration;
  claim_batch_t *batch;

  claims_expire_waiters (process->claims, now);
  if (claims_start_lease_request (process->claims, now, &duration))
    process->lease_at_ms = fixture->now_ms + fixture_random (fixture, 30);
  if (process->lease_at_ms >= 0 && fixture->now_ms >= process->lease_at_ms)
    {
      claims_handle_lease (process->claims,
                           fixture_chance (fixture, 20) ? 0 : 1, now);
      process->lease_at_ms = -1;
    }
  while ((batch = claims_next_batch (process->claims, now)) != NULL)
    store_call_send (process, batch);
  process_deliver_verdicts (process);
}

/* Advance the clock by one step.  */
void
fixture_advance (fixture_t *fixture)
{
  store_call_t *store_call;
  store_call_t *next_store_call;
  caller_t *caller;
  caller_t *next_caller;

  fixture->now_ms += STEP_MS;
  for (store_call = LIST_FIRST (&fixture->store_calls); store_call != NULL;
       store_call = next_store_call)
    {
      next_store_call = LIST_NEXT (store_call, link);
      store_call_advance (fixture, store_call);
    }
  for (caller = LIST_FIRST (&fixture->callers); caller != NULL;
       caller = next_caller)
    {
      next_caller = LIST_NEXT (caller, link);
      if (!process_is_paused (caller->process))
        caller_advance (caller);
    }
  for (unsigned i = 0; i < PROCESSES; i++)
    {
      if (!process_is_paused (&fixture->processes[i]))
        process_advance (&fixture->processes[i]);
    }
}

/* Inject random events: a new caller, a pause or a crash of a process.  */
void
fixture_inject_event (fixture_t *fixture)
{
  process_t *process
      = &fixture->processes[fixture_random (fixture, PROCESSES)];

  if (process_is_paused (process))
    return;
  if (fixture_chance (fixture, 10))
    caller_start (process, fixture_random (fixture, KEYS),
                  fixture_random (fixture, 10) / 9 % BODIES,
                  10 + fixture_random (fixture, 2000));
  if (fixture_chance (fixture, 1))
    process->paused_until_ms
        = fixture->now_ms + fixture_random (fixture, 5000);
  else if (fixture_random (fixture, 500) == 0)
    process_crash (process);
}

/* Create a fixture whose random events are determined by SEED.  */
fixture_t *
fixture_create (unsigned seed)
{
  fixture_t *fixture = talloc_zero (NULL, fixture_t);

  fixture->seed = seed;
  fixture->random = seed * 2654435761u + 1;
  fixture->store = fake_store_create (fixture);
  LIST_INIT (&fixture->store_calls);
  LIST_INIT (&fixture->callers);
  for (unsigned i = 0; i < PROCESSES; i++)
    {
      fixture->processes[i].fixture = fixture;
      fixture->processes[i].index = i;
      process_start (&fixture->processes[i]);
    }
  return fixture;
}

/* Free FIXTURE.  */
void
fixture_destroy (fixture_t *fixture)
{
  for (unsigned i = 0; i < PROCESSES; i++)
    claims_destroy (fixture->processes[i].claims);
  talloc_free (fixture);
}

/* Run without faults, and check that no caller and no write is pending at the
   end.  */
void
fixture_settle (fixture_t *fixture)
{
  fixture->is_fault_free = true;
  for (int64_t end = fixture->now_ms + SETTLE_MS; fixture->now_ms < end;)
    fixture_advance (fixture);
  assert_true (LIST_EMPTY (&fixture->callers));
  for (unsigned i = 0; i < PROCESSES; i++)
    assert_int_equal (claims_pending (fixture->processes[i].claims), 0);
}

/* Advance the clock by DURATION_MS.  */
void
fixture_run_ms (fixture_t *fixture, int64_t duration_ms)
{
  for (int64_t end = fixture->now_ms + duration_ms; fixture->now_ms < end;)
    fixture_advance (fixture);
}
