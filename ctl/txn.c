#include "ctl/txn.h"

#include <string.h>

enum
{
  RETRY_TIMEOUT_MS = 10000, /* no retry is scheduled after this */
  INITIAL_RETRY_DELAY_MS = 100,
  MAX_RETRY_DELAY_MS = 1000
};

/* Copy the entries of RESPONSE, the result of the read at INDEX.  */
static void
txn_outcome_add_response (txn_outcome_t *outcome,
                          const store_response_t *response, unsigned index)
{
  const store_entry_t *found;

  STAILQ_FOREACH (found, &response->entries, link)
    {
      txn_outcome_entry_t *entry
          = talloc_zero (outcome->memory, txn_outcome_entry_t);

      entry->response = index;
      entry->value = talloc_strdup (entry, found->value);
      entry->mod_revision = found->mod_revision;
      STAILQ_INSERT_TAIL (&outcome->entries, entry, link);
    }
}

static void
txn_handle_done (status_t status, const store_result_t *result, void *data)
{
  txn_outcome_t *outcome = data;
  const store_response_t *response;
  unsigned index = 0;

  outcome->is_done = true;
  outcome->status = status;
  if (status != STATUS_OK)
    return;
  outcome->succeeded = result->succeeded;
  STAILQ_FOREACH (response, &result->responses, link)
    txn_outcome_add_response (outcome, response, index++);
}

/* Run TXN once.  A failed write is known to have had no effect only if nothing
   was sent (STATUS_UNAVAILABLE) or the store rejected it (STATUS_INVALID).  */
static void
txn_attempt (ctl_t *ctl, const store_txn_t *txn, txn_outcome_t *outcome)
{
  outcome->attempts++;
  outcome->is_done = false;
  outcome->status
      = ctl->store_ops->transact (ctl->store, txn, txn_handle_done, outcome);
  if (outcome->status == STATUS_OK)
    worker_run_until (ctl->worker, &outcome->is_done);
  if (outcome->status != STATUS_OK && outcome->status != STATUS_UNAVAILABLE
      && outcome->status != STATUS_INVALID)
    outcome->may_have_run = true;
}

static void
sleep_handle_timer (worker_t *worker, void *data)
{
  (void)worker;
  *(bool *)data = true;
}

/* Run the event loop until DELAY has passed.  */
void
ctl_sleep (ctl_t *ctl, struct timespec delay)
{
  bool is_done = false;

  worker_timer_start (ctl->worker, ctl->memory, delay, sleep_handle_timer,
                      &is_done);
  worker_run_until (ctl->worker, &is_done);
}

/* Run TXN and wait for its outcome, which is stored in OUTCOME.  It is retried
   with exponential delay while the store does not respond, so TXN must be safe
   to execute twice.  Returns the status of the last attempt, with the status
   message set on failure.  */
status_t
txn_run (ctl_t *ctl, const store_txn_t *txn, txn_outcome_t *outcome)
{
  struct timespec start = clock_monotonic (ctl->clock);
  int64_t delay_ms = INITIAL_RETRY_DELAY_MS;

  memset (outcome, 0, sizeof *outcome);
  outcome->memory = ctl->memory;
  STAILQ_INIT (&outcome->entries);
  for (;;)
    {
      txn_attempt (ctl, txn, outcome);
      if (outcome->status == STATUS_OK || outcome->status == STATUS_INVALID
          || timespec_to_ms (
                 timespec_subtract (clock_monotonic (ctl->clock), start))
                 >= RETRY_TIMEOUT_MS)
        return outcome->status;
      ctl_sleep (ctl, timespec_from_ms (delay_ms));
      delay_ms = delay_ms * 2 > MAX_RETRY_DELAY_MS ? MAX_RETRY_DELAY_MS
                                                   : delay_ms * 2;
    }
}

/* Return the first entry returned by the read at index RESPONSE, or NULL.  */
const txn_outcome_entry_t *
txn_outcome_find (const txn_outcome_t *outcome, unsigned response)
{
  const txn_outcome_entry_t *entry;

  STAILQ_FOREACH (entry, &outcome->entries, link)
    {
      if (entry->response == response)
        return entry;
    }
  return NULL;
}
