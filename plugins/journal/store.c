#include "kernel/counter.h"
#include "kernel/plugin.h"
#include "plugins/journal/claims.h"

enum
{
  GROUPED_MAX_BATCH_STEPS = 64,
  SINGLE_MAX_BATCHES_IN_FLIGHT = 64
};

COUNTER_DEFINE (calls_total, "siskin_claim_calls_total",
                "Store calls for claims and outcomes");
COUNTER_DEFINE (steps_total, "siskin_claim_steps_total",
                "Claims, outcomes and reads sent in those calls");

/* The table in CLAIMS is shared by all workers, and its lock protects all
   members except HAS_PENDING_WRITES and TIMER.  Store calls are made only by
   the worker that owns the store, which alone uses those two.  */
struct journal
{
  journal_options_t options;
  claims_t *claims;
  task_t wake_task;
  bool is_wake_posted;
  bool has_pending_writes; /* when last checked */
  worker_timer_t *timer;
};

typedef struct journal_call
{
  journal_t *journal;
  claim_batch_t *batch;
} journal_call_t;

static void journal_run_due (journal_t *journal);

static struct timespec
journal_now (const journal_t *journal)
{
  return clock_monotonic (worker_clock (journal->options.worker));
}

/* Make the worker that owns the store run what is due.  The table must be
   locked.  */
static void
journal_wake_locked (journal_t *journal)
{
  if (journal->is_wake_posted)
    return;
  journal->is_wake_posted = true;
  worker_post (journal->options.worker, &journal->wake_task);
}

static void
journal_run_wake (task_t *task, worker_t *worker)
{
  journal_t *journal = CONTAINER_OF (task, journal_t, wake_task);

  (void)worker;
  table_lock (journal->claims->entries);
  journal->is_wake_posted = false;
  table_unlock (journal->claims->entries);
  journal_run_due (journal);
}

/* Deliver a verdict to the caller.  Runs on the caller's worker.  */
static void
claim_run_verdict (task_t *task, worker_t *worker)
{
  journal_claim_t *claim = CONTAINER_OF (task, journal_claim_t, task);
  journal_t *journal = claim->claims->context;
  table_t *entries = claim->claims->entries;
  claim_verdict_t verdict = claim->verdict;

  (void)worker;
  table_lock (entries);
  claim->is_delivered = true;
  if (claim->is_abandoned && verdict == CLAIM_GRANTED)
    {
      claims_finish (claim, NULL, journal_now (journal));
      journal_wake_locked (journal);
      claim = NULL;
    }
  table_unlock (entries);
  if (claim == NULL)
    return;
  if (!claim->is_abandoned)
    claim->done (verdict,
                 verdict == CLAIM_FINISHED ? &claim->value->record : NULL,
                 claim->data);
  if (verdict == CLAIM_GRANTED)
    return;
  table_lock (entries);
  claims_free_claim (claim);
  table_unlock (entries);
}

static void
journal_handle_timer (worker_t *worker, void *data)
{
  journal_t *journal = data;

  (void)worker;
  journal->timer = NULL;
  journal_run_due (journal);
}

static void
journal_handle_lease (journal_t *journal, int64_t lease)
{
  table_lock (journal->claims->entries);
  claims_handle_lease (journal->claims, lease, journal_now (journal));
  table_unlock (journal->claims->entries);
}

static void
journal_on_lease (status_t status, int64_t lease, void *data)
{
  (void)status;
  journal_handle_lease (data, lease);
  journal_run_due (data);
}

/* Pass the result of a store call to the claims and free CALL.  */
static void
journal_end_call (journal_call_t *call, status_t status,
                  const store_result_t *result)
{
  journal_t *journal = call->journal;

  table_lock (journal->claims->entries);
  claims_handle_batch_result (journal->claims, call->batch, status, result,
                              journal_now (journal));
  table_unlock (journal->claims->entries);
  talloc_free (call);
}

static void
journal_on_call_done (status_t status, const store_result_t *result,
                      void *data)
{
  journal_call_t *call = data;
  journal_t *journal = call->journal;

  journal_end_call (call, status, result);
  journal_run_due (journal);
}

/* Send BATCH to the store.  */
static void
journal_send_batch (journal_t *journal, claim_batch_t *batch)
{
  journal_call_t *call = talloc_zero (journal, journal_call_t);
  status_t status;

  call->journal = journal;
  call->batch = batch;
  counter_add (&calls_total, 1);
  counter_add (&steps_total, batch->count);
  status = journal->options.store_ops->transact (
      journal->options.store, batch->txn, journal_on_call_done, call);
  if (status != STATUS_OK)
    journal_end_call (call, status, NULL);
}

static void
journal_grant_lease (journal_t *journal, struct timespec duration)
{
  if (journal->options.store_ops->grant (journal->options.store, duration,
                                         journal_on_lease, journal)
      != STATUS_OK)
    journal_handle_lease (journal, 0);
}

/* Post the claims that are decided or have reached their deadline to the
   workers of their callers.  */
static void
journal_send_verdicts (journal_t *journal)
{
  journal_claim_list_t decided = STAILQ_HEAD_INITIALIZER (decided);
  journal_claim_t *claim;

  table_lock (journal->claims->entries);
  claims_expire_waiters (journal->claims, journal_now (journal));
  claims_collect_decided (journal->claims, &decided);
  table_unlock (journal->claims->entries);
  while ((claim = STAILQ_FIRST (&decided)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&decided, decided_link);
      claim->task.run = claim_run_verdict;
      worker_post (claim->worker, &claim->task);
    }
}

static void
journal_request_lease_if_due (journal_t *journal)
{
  struct timespec duration;
  bool is_wanted;

  table_lock (journal->claims->entries);
  is_wanted = claims_start_lease_request (journal->claims,
                                          journal_now (journal), &duration);
  table_unlock (journal->claims->entries);
  if (is_wanted)
    journal_grant_lease (journal, duration);
}

static void
journal_send_batches (journal_t *journal)
{
  claim_batch_t *batch;

  do
    {
      table_lock (journal->claims->entries);
      batch = claims_next_batch (journal->claims, journal_now (journal));
      table_unlock (journal->claims->entries);
      if (batch != NULL)
        journal_send_batch (journal, batch);
    }
  while (batch != NULL);
}

/* Set the timer for the next timed action.  */
static void
journal_arm_timer (journal_t *journal)
{
  struct timespec now = journal_now (journal);
  struct timespec wake = now;
  struct timespec delay;
  bool is_needed;

  table_lock (journal->claims->entries);
  is_needed = claims_next_wake (journal->claims, now, &wake);
  table_unlock (journal->claims->entries);
  TALLOC_FREE (journal->timer);
  delay = timespec_subtract (wake, now);
  if (is_needed)
    journal->timer
        = worker_timer_start (journal->options.worker, journal,
                              delay.tv_sec < 0 ? timespec_from_ms (0) : delay,
                              journal_handle_timer, journal);
}

/* Call on_idle when the last pending write has ended.  */
static void
journal_check_idle (journal_t *journal)
{
  bool had_pending_writes = journal->has_pending_writes;
  size_t pending;

  table_lock (journal->claims->entries);
  pending = claims_pending (journal->claims);
  table_unlock (journal->claims->entries);
  journal->has_pending_writes = pending > 0;
  if (had_pending_writes && pending == 0 && journal->options.on_idle != NULL)
    journal->options.on_idle (journal->options.data);
}

/* Run all actions that are due: deliver verdicts, request a lease and send
   batches.  Runs on the worker that owns the store.  */
static void
journal_run_due (journal_t *journal)
{
  journal_send_verdicts (journal);
  journal_request_lease_if_due (journal);
  journal_send_batches (journal);
  journal_arm_timer (journal);
  journal_check_idle (journal);
}

static journal_t *
journal_create (const journal_options_t *options, unsigned max_batch_steps,
                unsigned max_batches_in_flight)
{
  journal_t *journal = talloc_zero (NULL, journal_t);
  claims_options_t claims_options
      = { .owner = options->owner,
          .incarnation = options->incarnation,
          .limits = options->limits,
          .max_batch_steps = max_batch_steps,
          .max_batches_in_flight = max_batches_in_flight };

  if (journal == NULL)
    return NULL;
  journal->options = *options;
  journal->wake_task.run = journal_run_wake;
  journal->claims = claims_create (journal, &claims_options);
  if (journal->claims == NULL)
    {
      talloc_free (journal);
      return NULL;
    }
  journal->claims->context = journal;
  return journal;
}

/* Create a journal that sends one call at a time, with many steps.  */
static journal_t *
grouped_create (const journal_options_t *options)
{
  return journal_create (options, GROUPED_MAX_BATCH_STEPS, 1);
}

/* Create a journal that sends one step per call, and many calls at a time.  */
static journal_t *
single_create (const journal_options_t *options)
{
  return journal_create (options, 1, SINGLE_MAX_BATCHES_IN_FLIGHT);
}

static void
journal_destroy (journal_t *journal)
{
  claims_destroy (journal->claims);
  talloc_free (journal);
}

static void
journal_configure (journal_t *journal, const journal_limits_t *limits)
{
  table_lock (journal->claims->entries);
  journal->claims->options.limits = *limits;
  table_unlock (journal->claims->entries);
}

static journal_claim_t *
journal_claim_key (journal_t *journal, const claim_request_t *request,
                   journal_claim_done_t done, void *data)
{
  struct timespec realtime
      = clock_realtime (worker_clock (journal->options.worker));
  journal_claim_t *claim;

  table_lock (journal->claims->entries);
  claim = claims_submit (journal->claims, request, done, data,
                         journal_now (journal), realtime);
  if (claim != NULL)
    journal_wake_locked (journal);
  table_unlock (journal->claims->entries);
  return claim;
}

static void
journal_finish (journal_claim_t *claim, const claim_record_t *record)
{
  claims_t *claims = claim->claims;
  journal_t *journal = claims->context;

  table_lock (claims->entries);
  claims_finish (claim, record, journal_now (journal));
  journal_wake_locked (journal);
  table_unlock (claims->entries);
}

static void
journal_abandon (journal_claim_t *claim)
{
  claims_t *claims = claim->claims;
  journal_t *journal = claims->context;

  table_lock (claims->entries);
  claims_abandon (claim, journal_now (journal));
  journal_wake_locked (journal);
  table_unlock (claims->entries);
}

static size_t
journal_pending (journal_t *journal)
{
  size_t pending;

  table_lock (journal->claims->entries);
  pending = claims_pending (journal->claims);
  table_unlock (journal->claims->entries);
  return pending;
}

static const journal_ops_t grouped_ops = {
  .create = grouped_create,
  .destroy = journal_destroy,
  .configure = journal_configure,
  .claim = journal_claim_key,
  .finish = journal_finish,
  .abandon = journal_abandon,
  .pending = journal_pending,
};

static const journal_ops_t single_ops = {
  .create = single_create,
  .destroy = journal_destroy,
  .configure = journal_configure,
  .claim = journal_claim_key,
  .finish = journal_finish,
  .abandon = journal_abandon,
  .pending = journal_pending,
};

PLUGIN_REGISTER (journal_store, PLUGIN_JOURNAL, "store",
                 "claims in the key-value service, batched", &grouped_ops);
PLUGIN_REGISTER (journal_store_single, PLUGIN_JOURNAL, "store-single",
                 "one call for each claim; a baseline", &single_ops);
