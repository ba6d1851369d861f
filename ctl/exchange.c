#include "ctl/exchange.h"

#include <string.h>

enum
{
  PATIENCE_MS = 10000, /* over all attempts */
  FIRST_DELAY_MS = 100,
  MAX_DELAY_MS = 1000
};

static void
exchange_take_response (txn_outcome_t *exchange,
                        const store_response_t *response, unsigned index)
{
  const store_entry_t *found;

  STAILQ_FOREACH (found, &response->entries, link)
    {
      txn_outcome_entry_t *entry
          = talloc_zero (exchange->memory, txn_outcome_entry_t);

      entry->response = index;
      entry->value = talloc_strdup (entry, found->value);
      entry->mod_revision = found->mod_revision;
      STAILQ_INSERT_TAIL (&exchange->entries, entry, link);
    }
}

static void
exchange_handle_done (status_t status, const store_result_t *result,
                      void *data)
{
  txn_outcome_t *exchange = data;
  const store_response_t *response;
  unsigned index = 0;

  exchange->is_done = true;
  exchange->status = status;
  if (status != STATUS_OK)
    return;
  exchange->succeeded = result->succeeded;
  STAILQ_FOREACH (response, &result->responses, link)
    exchange_take_response (exchange, response, index++);
}

static void
exchange_try (ctl_t *ctl, const store_txn_t *txn, txn_outcome_t *exchange)
{
  exchange->attempts++;
  exchange->is_done = false;
  exchange->status = ctl->store_ops->transact (ctl->store, txn,
                                               exchange_handle_done, exchange);
  if (exchange->status == STATUS_OK)
    worker_run_until (ctl->worker, &exchange->is_done);
  if (exchange->status != STATUS_OK && exchange->status != STATUS_UNAVAILABLE
      && exchange->status != STATUS_INVALID)
    exchange->may_have_run = true;
}

static void
exchange_handle_timer (worker_t *worker, void *data)
{
  (void)worker;
  *(bool *)data = true;
}

/* Let DELAY pass.  */
void
ctl_sleep (ctl_t *ctl, struct timespec delay)
{
  bool is_done = false;

  worker_timer_start (ctl->worker, ctl->memory, delay, exchange_handle_timer,
                      &is_done);
  worker_run_until (ctl->worker, &is_done);
}

/* Carry TXN out, again and again while the store does not answer, so TXN must
   bear to be carried out twice.  EXCHANGE then tells the outcome; returns its
   status, with the status message set.  */
status_t
txn_run (ctl_t *ctl, const store_txn_t *txn, txn_outcome_t *exchange)
{
  struct timespec start = clock_monotonic (ctl->clock);
  int64_t delay_ms = FIRST_DELAY_MS;

  memset (exchange, 0, sizeof *exchange);
  exchange->memory = ctl->memory;
  STAILQ_INIT (&exchange->entries);
  for (;;)
    {
      exchange_try (ctl, txn, exchange);
      if (exchange->status == STATUS_OK || exchange->status == STATUS_INVALID
          || timespec_to_ms (
                 timespec_subtract (clock_monotonic (ctl->clock), start))
                 >= PATIENCE_MS)
        return exchange->status;
      ctl_sleep (ctl, timespec_from_ms (delay_ms));
      delay_ms = delay_ms * 2 > MAX_DELAY_MS ? MAX_DELAY_MS : delay_ms * 2;
    }
}

/* Return the first entry found by the read at index RESPONSE, or NULL.  */
const txn_outcome_entry_t *
txn_outcome_find (const txn_outcome_t *exchange, unsigned response)
{
  const txn_outcome_entry_t *entry;

  STAILQ_FOREACH (entry, &exchange->entries, link)
    {
      if (entry->response == response)
        return entry;
    }
  return NULL;
}
