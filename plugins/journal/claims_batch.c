#include "kernel/invariant.h"
#include "kernel/log.h"
#include "plugins/journal/claims.h"

#include <string.h>

enum
{
  RETRY_DELAY_MIN_MS = 50,
  RETRY_DELAY_MAX_MS = 1000,
  RETRY_MAX_DOUBLINGS = 5,
  /* After this many consecutive failed calls the lease may have expired and
     is discarded.  */
  LEASE_DISCARD_FAILURES = 3,
  LEASE_BUCKETS_PER_RETENTION = 16,
  LEASE_BUCKET_MIN_S = 5,
  LEASE_BUCKET_MAX_S = 3600,
  REJECTED_STEP_DELAY_MS = 1000, /* before a rejected step is sent again */
  BATCH_MAX_BYTES = 512 * 1024
};

/* Return the duration of a lease bucket: the period in which all claims use
   the same lease.  */
static struct timespec
lease_bucket (const claims_t *claims)
{
  struct timespec bucket = { 0, 0 };

  bucket.tv_sec
      = claims->options.limits.retention.tv_sec / LEASE_BUCKETS_PER_RETENTION;
  if (bucket.tv_sec < LEASE_BUCKET_MIN_S)
    bucket.tv_sec = LEASE_BUCKET_MIN_S;
  if (bucket.tv_sec > LEASE_BUCKET_MAX_S)
    bucket.tv_sec = LEASE_BUCKET_MAX_S;
  return bucket;
}

/* Return whether the lease was granted at least BUCKETS buckets ago.  */
static bool
lease_is_older (const claims_t *claims, int64_t buckets, struct timespec now)
{
  struct timespec age = timespec_subtract (now, claims->lease_granted_at);

  return age.tv_sec >= buckets * lease_bucket (claims).tv_sec;
}

/* Return whether the lease may be used.  A lease lasts for the retention plus
   two buckets: it is renewed after the first and must not be used after the
   second, so that every claim is kept for at least the retention.  */
static bool
lease_is_usable (const claims_t *claims, struct timespec now)
{
  return claims->lease != 0 && !lease_is_older (claims, 2, now);
}

/* Handle a failed call: delay the next one exponentially.  */
static void
claims_handle_failure (claims_t *claims, struct timespec now)
{
  unsigned doublings = claims->failures < RETRY_MAX_DOUBLINGS
                           ? claims->failures
                           : RETRY_MAX_DOUBLINGS;
  int64_t delay = (int64_t)RETRY_DELAY_MIN_MS << doublings;

  if (delay > RETRY_DELAY_MAX_MS)
    delay = RETRY_DELAY_MAX_MS;
  claims->failures++;
  claims->retry_at = timespec_add (now, timespec_from_ms (delay));
}

/* Return whether the caller must now request a lease that lasts for DURATION,
   which is set.  The request counts as started.  An idle process needs no
   lease.  */
bool
claims_start_lease_request (claims_t *claims, struct timespec now,
                            struct timespec *duration)
{
  struct timespec bucket = lease_bucket (claims);

  if (claims->is_lease_requested || TAILQ_EMPTY (&claims->queue)
      || timespec_compare (now, claims->retry_at) < 0
      || (claims->lease != 0 && !lease_is_older (claims, 1, now)))
    return false;
  claims->is_lease_requested = true;
  claims->lease_requested_at = now;
  *duration = timespec_add (claims->options.limits.retention,
                            timespec_add (bucket, bucket));
  return true;
}

/* Handle the result of a lease request: LEASE, or 0 on failure.  */
void
claims_handle_lease (claims_t *claims, int64_t lease, struct timespec now)
{
  claims->is_lease_requested = false;
  if (lease == 0)
    {
      claims_handle_failure (claims, now);
      return;
    }
  claims->lease = lease;
  claims->lease_granted_at = claims->lease_requested_at;
}

static void
txn_then_put (store_txn_t *txn, const char *path, const char *value,
              int64_t lease)
{
  store_txn_then (txn, STORE_PUT, path, value)->lease = lease;
}

/* Claim the key of ENTRY if it is free, else read its value.  When a claim is
   retried after a lost response, the read returns the value of the first
   attempt.  */
static void
txn_add_claim (store_txn_t *txn, const claim_entry_t *entry, int64_t lease)
{
  if (entry->expected == NULL)
    store_txn_if_absent (txn, entry->path);
  else
    store_txn_if_value (txn, entry->path, entry->expected);
  txn_then_put (txn, entry->path, entry->value, lease);
  store_txn_else (txn, STORE_GET, entry->path, NULL);
}

/* Write the outcome of ENTRY if the claim is still in place, else read the
   value.  */
static void
txn_add_record (store_txn_t *txn, const claim_entry_t *entry, int64_t lease)
{
  store_txn_if_value (txn, entry->path, entry->value);
  txn_then_put (txn, entry->path, entry->outcome, lease);
  store_txn_else (txn, STORE_GET, entry->path, NULL);
}

/* Release the key of ENTRY.  If the claim is not in the store, it may still be
   delayed on the way there; replacing the value that it expects makes it fail
   when it arrives.  */
static void
txn_add_release (store_txn_t *txn, const claim_entry_t *entry, int64_t lease)
{
  store_txn_t *inner;

  store_txn_if_value (txn, entry->path, entry->value);
  txn_then_put (txn, entry->path, entry->released, lease);
  inner = store_txn_else (txn, STORE_TXN, NULL, NULL)->txn;
  if (entry->expected == NULL)
    store_txn_if_absent (inner, entry->path);
  else
    store_txn_if_value (inner, entry->path, entry->expected);
  txn_then_put (inner, entry->path, entry->released, lease);
  store_txn_else (inner, STORE_GET, entry->path, NULL);
}

/* Return the approximate size of the step of ENTRY in a call.  */
static size_t
entry_bytes (const claim_entry_t *entry)
{
  return strlen (entry->path) + strlen (entry->value)
         + (entry->outcome == NULL ? 0 : strlen (entry->outcome));
}

/* Move ENTRY from the queue to BATCH and add its step to the transaction.  */
static void
batch_add (claims_t *claims, claim_batch_t *batch, claim_entry_t *entry)
{
  store_txn_t *txn;

  TAILQ_REMOVE (&claims->queue, entry, queue_link);
  entry->is_queued = false;
  entry->is_in_flight = true;
  batch->entries[batch->count++] = entry;
  if (entry->step == CLAIM_STEP_READ)
    {
      store_txn_then (batch->txn, STORE_GET, entry->path, NULL);
      return;
    }
  txn = store_txn_then (batch->txn, STORE_TXN, NULL, NULL)->txn;
  if (entry->step == CLAIM_STEP_RECORD)
    txn_add_record (txn, entry, claims->lease);
  else if (entry->step == CLAIM_STEP_RELEASE)
    txn_add_release (txn, entry, claims->lease);
  else
    {
      entry->may_have_claimed_before = entry->may_have_claimed;
      entry->may_have_claimed = true;
      txn_add_claim (txn, entry, claims->lease);
    }
}

/* Return whether the queue holds a step that is due, and set SEND_AT to the
   time at which it may be sent.  A batch that is not full waits for the linger
   time, unless claims arrive so rarely that none is expected within it.  */
static bool
claims_send_time (const claims_t *claims, struct timespec now,
                  struct timespec *send_at)
{
  struct timespec linger = claims->options.limits.linger;
  const claim_entry_t *entry;
  struct timespec first = now;
  unsigned due = 0;

  if (claims->options.max_batch_steps == 1
      || claims->mean_arrival_gap_us >= timespec_to_us (linger))
    linger = timespec_from_ms (0);
  TAILQ_FOREACH (entry, &claims->queue, queue_link)
    {
      if (timespec_compare (entry->due, now) > 0)
        continue;
      due++;
      if (timespec_compare (entry->queued_at, first) < 0)
        first = entry->queued_at;
    }
  *send_at = due >= claims->options.max_batch_steps
                 ? now
                 : timespec_add (first, linger);
  return due > 0;
}

/* Build a batch of the steps that are due.  Returns NULL when memory is
   exhausted.  */
static claim_batch_t *
claims_build_batch (claims_t *claims, struct timespec now)
{
  claim_batch_t *batch = talloc_zero (NULL, claim_batch_t);
  size_t bytes = 0;
  claim_entry_t *entry;
  claim_entry_t *next;

  if (batch == NULL)
    return NULL;
  batch->txn = store_txn_create (batch);
  batch->entries = talloc_zero_array (batch, claim_entry_t *,
                                      claims->options.max_batch_steps);
  for (entry = TAILQ_FIRST (&claims->queue);
       entry != NULL && batch->count < claims->batch_limit; entry = next)
    {
      next = TAILQ_NEXT (entry, queue_link);
      if (timespec_compare (entry->due, now) > 0)
        continue;
      bytes += entry_bytes (entry);
      if (batch->count > 0 && bytes > BATCH_MAX_BYTES)
        break;
      batch_add (claims, batch, entry);
    }
  return batch;
}

/* Return the next call to the store, or NULL if none is due.  The caller
   executes it and passes the result to claims_handle_batch_result.  */
claim_batch_t *
claims_next_batch (claims_t *claims, struct timespec now)
{
  struct timespec send_at;
  claim_batch_t *batch;

  if (claims->batches_in_flight >= claims->options.max_batches_in_flight
      || timespec_compare (now, claims->retry_at) < 0
      || !lease_is_usable (claims, now)
      || !claims_send_time (claims, now, &send_at)
      || timespec_compare (now, send_at) < 0)
    return NULL;
  batch = claims_build_batch (claims, now);
  if (batch != NULL)
    claims->batches_in_flight++;
  return batch;
}

/* Return the entry found by the first read in RESULT, or NULL.  */
static const store_entry_t *
result_first_entry (const store_result_t *result)
{
  return store_result_entry (result, 0);
}

/* Handle the result of writing the outcome of ENTRY.  */
static void
entry_handle_record_result (claims_t *claims, claim_entry_t *entry,
                            const store_result_t *result)
{
  const store_entry_t *found
      = result->succeeded ? NULL : result_first_entry (result);

  if (!result->succeeded && found == NULL)
    log_event (LOG_LEVEL_ERROR, "claim-expired", "path=%s", entry->path);
  INVARIANT (found == NULL || strcmp (found->value, entry->outcome) == 0,
             "claim-kept-by-owner");
  claims_handle_recorded (claims, entry);
}

/* Handle the result of claiming the key of ENTRY.  */
static void
entry_handle_claim_result (claims_t *claims, claim_entry_t *entry,
                           const store_result_t *result, struct timespec now)
{
  const store_entry_t *found
      = result->succeeded ? NULL : result_first_entry (result);

  if (result->succeeded)
    claims_handle_granted (claims, entry, now);
  else if (found == NULL)
    claims_handle_absent (claims, entry, now);
  else
    claims_handle_value (claims, entry, found->value, now);
}

static void
entry_handle_response (claims_t *claims, claim_entry_t *entry,
                       const store_response_t *response, struct timespec now)
{
  const store_entry_t *found;

  switch (entry->step)
    {
    case CLAIM_STEP_READ:
      found = STAILQ_FIRST (&response->entries);
      if (found == NULL)
        claims_handle_absent (claims, entry, now);
      else
        claims_handle_value (claims, entry, found->value, now);
      break;
    case CLAIM_STEP_RECORD:
      entry_handle_record_result (claims, entry, response->txn);
      break;
    case CLAIM_STEP_RELEASE:
      claims_handle_released (claims, entry, now);
      break;
    default:
      entry_handle_claim_result (claims, entry, response->txn, now);
      break;
    }
}

static bool
response_matches_step (const claim_entry_t *entry,
                       const store_response_t *response)
{
  return entry->step == CLAIM_STEP_READ ? response->kind == STORE_GET
                                        : response->txn != NULL;
}

/* Return whether RESULT has the expected kind of response for each step.  */
static bool
batch_matches_result (const claim_batch_t *batch, const store_result_t *result)
{
  const store_response_t *response = STAILQ_FIRST (&result->responses);

  for (unsigned i = 0; i < batch->count; i++)
    {
      if (response == NULL
          || !response_matches_step (batch->entries[i], response))
        return false;
      response = STAILQ_NEXT (response, link);
    }
  return true;
}

/* Handle a call that the store rejected because of its content.  Batches are
   halved until the invalid step is alone in its call, where it is delayed
   without blocking the others.  */
static void
batch_handle_rejection (claims_t *claims, claim_batch_t *batch,
                        struct timespec now)
{
  if (batch->count > 1)
    {
      claims->batch_limit = batch->count / 2;
      return;
    }
  batch->entries[0]->due
      = timespec_add (now, timespec_from_ms (REJECTED_STEP_DELAY_MS));
  log_event (LOG_LEVEL_ERROR, "claim-step-refused", "path=%s error=\"%s\"",
             batch->entries[0]->path, status_message ());
}

/* Reset the failures and let batches grow towards their maximum again.  */
static void
batch_handle_success (claims_t *claims)
{
  claims->failures = 0;
  claims->batch_limit *= 2;
  if (claims->batch_limit > claims->options.max_batch_steps)
    claims->batch_limit = claims->options.max_batch_steps;
}

/* Handle a failed call: queue each step again unchanged, so that it is sent in
   another batch.  */
static void
batch_requeue (claims_t *claims, claim_batch_t *batch, status_t status,
               struct timespec now)
{
  bool has_no_effect = status == STATUS_INVALID || status == STATUS_NOT_FOUND
                       || status == STATUS_UNAVAILABLE;

  claims_handle_failure (claims, now);
  if (status == STATUS_NOT_FOUND || claims->failures >= LEASE_DISCARD_FAILURES)
    claims->lease = 0;
  if (status == STATUS_INVALID)
    batch_handle_rejection (claims, batch, now);
  for (unsigned i = 0; i < batch->count; i++)
    {
      batch->entries[i]->is_in_flight = false;
      if (has_no_effect)
        batch->entries[i]->may_have_claimed
            = batch->entries[i]->may_have_claimed_before;
      claims_requeue (claims, batch->entries[i]);
      claims_cleanup_entry (claims, batch->entries[i], now);
    }
}

/* Handle the end of the call for BATCH with STATUS and RESULT from the store
   client.  Frees BATCH.  */
void
claims_handle_batch_result (claims_t *claims, claim_batch_t *batch,
                            status_t status, const store_result_t *result,
                            struct timespec now)
{
  const store_response_t *response;

  claims->batches_in_flight--;
  if (status != STATUS_OK || !batch_matches_result (batch, result))
    batch_requeue (claims, batch, status, now);
  else
    {
      batch_handle_success (claims);
      response = STAILQ_FIRST (&result->responses);
      for (unsigned i = 0; i < batch->count; i++)
        {
          batch->entries[i]->is_in_flight = false;
          entry_handle_response (claims, batch->entries[i], response, now);
          response = STAILQ_NEXT (response, link);
        }
    }
  talloc_free (batch);
}

static void
wake_set_earliest (struct timespec *wake, bool *is_set,
                   struct timespec candidate)
{
  if (!*is_set || timespec_compare (candidate, *wake) < 0)
    *wake = candidate;
  *is_set = true;
}

/* Set WAKE to the time at which a queued step can be sent, if that is earlier.
   Nothing can be sent while the calls in flight are at their maximum or a
   lease is awaited.  */
static void
wake_for_queue (const claims_t *claims, struct timespec now,
                struct timespec *wake, bool *is_set)
{
  const claim_entry_t *entry;
  struct timespec send_at;

  if (claims->batches_in_flight >= claims->options.max_batches_in_flight
      || (claims->is_lease_requested && !lease_is_usable (claims, now)))
    return;
  if (timespec_compare (now, claims->retry_at) < 0)
    {
      if (!TAILQ_EMPTY (&claims->queue))
        wake_set_earliest (wake, is_set, claims->retry_at);
      return;
    }
  if (claims_send_time (claims, now, &send_at))
    wake_set_earliest (wake, is_set, send_at);
  TAILQ_FOREACH (entry, &claims->queue, queue_link)
    {
      if (timespec_compare (entry->due, now) > 0)
        wake_set_earliest (wake, is_set, entry->due);
    }
}

/* Set WAKE to the time of the next timed action.  Returns false if there is
   none until the next function call or store response.  */
bool
claims_next_wake (const claims_t *claims, struct timespec now,
                  struct timespec *wake)
{
  const journal_claim_t *claim;
  bool is_set = false;

  LIST_FOREACH (claim, &claims->all, all_link)
    {
      if (!claim->is_decided)
        wake_set_earliest (wake, &is_set, claim->deadline);
    }
  wake_for_queue (claims, now, wake, &is_set);
  return is_set;
}
