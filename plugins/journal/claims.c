#include "plugins/journal/claims.h"

#include "kernel/counter.h"
#include "kernel/invariant.h"
#include "kernel/log.h"

#include <string.h>

enum
{
  READ_DELAY_MIN_MS = 50,
  READ_DELAY_MAX_MS = 1000,
  /* Above this, outcomes are queued without the response body.  */
  QUEUED_OUTCOMES_MAX_BYTES = 8 * 1024 * 1024,
  ARRIVAL_GAP_MAX_US = 1000000,
  ARRIVAL_GAP_SMOOTHING_DIVISOR = 8
};

COUNTER_DEFINE_LABELLED (granted_total, "siskin_claims_total",
                         "verdict=\"granted\"", "Claims decided");
COUNTER_DEFINE_LABELLED (finished_total, "siskin_claims_total",
                         "verdict=\"finished\"", "Claims decided");
COUNTER_DEFINE_LABELLED (unknown_total, "siskin_claims_total",
                         "verdict=\"unknown\"", "Claims decided");
COUNTER_DEFINE_LABELLED (reused_total, "siskin_claims_total",
                         "verdict=\"key-reused\"", "Claims decided");
COUNTER_DEFINE_LABELLED (unavailable_total, "siskin_claims_total",
                         "verdict=\"unavailable\"", "Claims decided");
COUNTER_DEFINE (released_total, "siskin_claims_released_total",
                "Claims given back without a run");
COUNTER_DEFINE (recorded_total, "siskin_claims_recorded_total",
                "Outcomes written under their keys");
GAUGE_DEFINE (open_claims, "siskin_claims_open",
              "Keys asked for, held or waiting to be written");

static counter_t *const verdict_counters[] = {
  [CLAIM_GRANTED] = &granted_total,         [CLAIM_FINISHED] = &finished_total,
  [CLAIM_UNKNOWN] = &unknown_total,         [CLAIM_KEY_REUSED] = &reused_total,
  [CLAIM_UNAVAILABLE] = &unavailable_total,
};

/* Create an empty set of claims owned by PARENT.  OPTIONS is copied, but the
   string OPTIONS->owner must outlive the claims.  Returns NULL when memory is
   exhausted.  */
claims_t *
claims_create (TALLOC_CTX *parent, const claims_options_t *options)
{
  claims_t *claims = talloc_zero (parent, claims_t);

  if (claims == NULL)
    return NULL;
  claims->entries = table_create (claims, LOCK_CLAIMS, "claims");
  claims->options = *options;
  claims->batch_limit = options->max_batch_steps;
  claims->mean_arrival_gap_us = ARRIVAL_GAP_MAX_US;
  TAILQ_INIT (&claims->queue);
  LIST_INIT (&claims->all);
  STAILQ_INIT (&claims->decided);
  return claims;
}

/* Free CLAIMS with all its claims; nothing may use them any longer.  */
void
claims_destroy (claims_t *claims)
{
  table_node_t *node;
  journal_claim_t *claim;

  while ((claim = LIST_FIRST (&claims->all)) != NULL)
    claims_free_claim (claim);
  while ((node = table_next (claims->entries, NULL)) != NULL)
    {
      table_remove (claims->entries, node);
      talloc_free (CONTAINER_OF (node, claim_entry_t, node));
    }
  talloc_free (claims);
}

/* Free CLAIM, which no entry may refer to any longer.  */
void
claims_free_claim (journal_claim_t *claim)
{
  LIST_REMOVE (claim, all_link);
  talloc_free (claim);
}

/* Put ENTRY back into the queue, keeping its step and times.  */
void
claims_requeue (claims_t *claims, claim_entry_t *entry)
{
  if (entry->is_queued || entry->is_in_flight)
    return;
  entry->is_queued = true;
  TAILQ_INSERT_TAIL (&claims->queue, entry, queue_link);
}

/* Queue STEP of ENTRY, to be sent at DUE or later.  */
static void
claims_enqueue (claims_t *claims, claim_entry_t *entry, claim_step_t step,
                struct timespec due, struct timespec now)
{
  entry->step = step;
  entry->due = due;
  entry->queued_at = now;
  claims_requeue (claims, entry);
}

static void
claims_dequeue (claims_t *claims, claim_entry_t *entry)
{
  if (!entry->is_queued)
    return;
  entry->is_queued = false;
  TAILQ_REMOVE (&claims->queue, entry, queue_link);
}

/* Remove ENTRY from the table and free it.  */
static void
claims_drop (claims_t *claims, claim_entry_t *entry)
{
  claims_dequeue (claims, entry);
  if (entry->outcome != NULL)
    claims->outcome_bytes -= strlen (entry->outcome);
  table_remove (claims->entries, &entry->node);
  counter_add (&open_claims, -1);
  talloc_free (entry);
}

/* Prepare a new attempt to claim the key of ENTRY, with a new attempt id, for
   the request of the waiter that has waited longest.  */
static void
entry_prepare_claim (claims_t *claims, claim_entry_t *entry)
{
  const claims_options_t *options = &claims->options;
  const journal_claim_t *first = TAILQ_FIRST (&entry->waiters);
  claim_value_t value = { .state = CLAIM_STATE_RUNNING };

  if (first != NULL)
    entry->fingerprint = first->fingerprint;
  talloc_free (entry->claim_attempt_id);
  talloc_free (entry->value);
  entry->claim_attempt_id
      = talloc_asprintf (entry, "%s/%016llx/%llu", options->owner,
                         (unsigned long long)options->incarnation,
                         (unsigned long long)++claims->sequence);
  value.claim_attempt_id = entry->claim_attempt_id;
  value.fingerprint = entry->fingerprint;
  value.claimed_at_ms = entry->claimed_at_ms;
  entry->value = claim_value_format (entry, &value);
  value.state = CLAIM_STATE_RELEASED;
  talloc_free (entry->released);
  entry->released = claim_value_format (entry, &value);
  entry->delay_ms = READ_DELAY_MIN_MS;
}

static claim_entry_t *
claims_find (claims_t *claims, const char *path)
{
  table_node_t *node = table_find (claims->entries, path, strlen (path));

  return node == NULL ? NULL : CONTAINER_OF (node, claim_entry_t, node);
}

static claim_entry_t *
claims_add_entry (claims_t *claims, const claim_request_t *request,
                  const char *path, struct timespec now,
                  struct timespec realtime)
{
  claim_entry_t *entry = talloc_zero (NULL, claim_entry_t);

  if (entry == NULL)
    return NULL;
  TAILQ_INIT (&entry->waiters);
  entry->path = talloc_strdup (entry, path);
  entry->fingerprint = request->fingerprint;
  entry->claimed_at_ms = timespec_to_ms (realtime);
  entry_prepare_claim (claims, entry);
  table_insert (claims->entries, &entry->node, entry->path,
                strlen (entry->path));
  counter_add (&open_claims, 1);
  claims_enqueue (claims, entry, CLAIM_STEP_CLAIM, now, now);
  return entry;
}

/* Set the verdict of CLAIM, which is then to be delivered.  */
static void
claims_decide (claims_t *claims, journal_claim_t *claim,
               claim_verdict_t verdict)
{
  claim_entry_t *entry = claim->entry;

  TAILQ_REMOVE (&entry->waiters, claim, wait_link);
  claim->is_decided = true;
  claim->verdict = verdict;
  if (verdict == CLAIM_GRANTED)
    entry->owner = claim;
  else
    claim->entry = NULL;
  counter_add (verdict_counters[verdict], 1);
  STAILQ_INSERT_TAIL (&claims->decided, claim, decided_link);
}

/* Decide all waiters of ENTRY by TEXT, the value of an ended request.  */
static void
entry_decide_waiters (claims_t *claims, claim_entry_t *entry, const char *text)
{
  journal_claim_t *claim;

  while ((claim = TAILQ_FIRST (&entry->waiters)) != NULL)
    {
      claim->value = claim_value_parse (claim, text);
      if (claim->value->fingerprint != claim->fingerprint)
        claims_decide (claims, claim, CLAIM_KEY_REUSED);
      else if (claim->value->state == CLAIM_STATE_FINISHED)
        claims_decide (claims, claim, CLAIM_FINISHED);
      else
        claims_decide (claims, claim, CLAIM_UNKNOWN);
    }
}

/* Update the average time between requests for a claim.  */
static void
claims_record_arrival (claims_t *claims, struct timespec now)
{
  int64_t gap = timespec_to_us (timespec_subtract (now, claims->last_arrival));

  if (gap > ARRIVAL_GAP_MAX_US)
    gap = ARRIVAL_GAP_MAX_US;
  claims->mean_arrival_gap_us
      += (gap - claims->mean_arrival_gap_us) / ARRIVAL_GAP_SMOOTHING_DIVISOR;
  claims->last_arrival = now;
}

/* The key of ENTRY is used by the request with FINGERPRINT: reject the waiters
   that request it for a different one.  */
static void
entry_reject_mismatches (claims_t *claims, claim_entry_t *entry,
                         uint64_t fingerprint)
{
  journal_claim_t *claim;
  journal_claim_t *next;

  for (claim = TAILQ_FIRST (&entry->waiters); claim != NULL; claim = next)
    {
      next = TAILQ_NEXT (claim, wait_link);
      if (claim->fingerprint != fingerprint)
        claims_decide (claims, claim, CLAIM_KEY_REUSED);
    }
}

/* Add CLAIM to the waiters of ENTRY, or decide it at once if the state of
   ENTRY allows that.  */
static void
entry_attach (claims_t *claims, claim_entry_t *entry, journal_claim_t *claim)
{
  claim->entry = entry;
  TAILQ_INSERT_TAIL (&entry->waiters, claim, wait_link);
  if (entry->step == CLAIM_STEP_HOLD)
    entry_reject_mismatches (claims, entry, entry->fingerprint);
  else if (entry->step == CLAIM_STEP_RECORD)
    entry_decide_waiters (claims, entry, entry->outcome);
}

/* Request a claim on the key of REQUEST.  The verdict is returned by
   claims_collect_decided.  Returns NULL when memory is exhausted.  */
journal_claim_t *
claims_submit (claims_t *claims, const claim_request_t *request,
               journal_claim_done_t done, void *data, struct timespec now,
               struct timespec realtime)
{
  journal_claim_t *claim = talloc_zero (NULL, journal_claim_t);
  claim_entry_t *entry;
  char *path;

  if (claim == NULL)
    return NULL;
  claim->claims = claims;
  claim->worker = request->worker;
  claim->deadline = request->deadline;
  claim->fingerprint = request->fingerprint;
  claim->done = done;
  claim->data = data;
  LIST_INSERT_HEAD (&claims->all, claim, all_link);
  path = claim_path (claim, request);
  claims_record_arrival (claims, now);
  entry = claims_find (claims, path);
  if (entry == NULL)
    entry = claims_add_entry (claims, request, path, now, realtime);
  if (entry == NULL)
    {
      claims_free_claim (claim);
      return NULL;
    }
  entry_attach (claims, entry, claim);
  return claim;
}

/* Prepare the outcome of ENTRY for writing.  The response body is dropped if
   too many bytes of outcomes are queued already.  */
static void
entry_set_outcome (claims_t *claims, claim_entry_t *entry, claim_state_t state,
                   const claim_record_t *record)
{
  claim_value_t value = { .state = state,
                          .claim_attempt_id = entry->claim_attempt_id,
                          .fingerprint = entry->fingerprint,
                          .claimed_at_ms = entry->claimed_at_ms };

  if (record != NULL)
    value.record = *record;
  if (claims->outcome_bytes > QUEUED_OUTCOMES_MAX_BYTES)
    value.record.body = NULL;
  entry->outcome = claim_value_format (entry, &value);
  claims->outcome_bytes += strlen (entry->outcome);
}

/* Handle the end of the request that holds the granted CLAIM.  Its outcome is
   RECORD, or it did not run if RECORD is NULL.  Frees CLAIM.  */
void
claims_finish (journal_claim_t *claim, const claim_record_t *record,
               struct timespec now)
{
  claims_t *claims = claim->claims;
  claim_entry_t *entry = claim->entry;

  entry->owner = NULL;
  if (record == NULL)
    claims_enqueue (claims, entry, CLAIM_STEP_RELEASE, now, now);
  else
    {
      entry_set_outcome (claims, entry, CLAIM_STATE_FINISHED, record);
      entry_decide_waiters (claims, entry, entry->outcome);
      claims_enqueue (claims, entry, CLAIM_STEP_RECORD, now, now);
    }
  claims_free_claim (claim);
}

/* Give up CLAIM.  If it was granted and delivered, the key is recorded with an
   unknown outcome, since the request may have run.  If its verdict is still
   being delivered, the claim is released or freed on delivery.  */
void
claims_abandon (journal_claim_t *claim, struct timespec now)
{
  claims_t *claims = claim->claims;
  claim_entry_t *entry = claim->entry;

  if (claim->is_decided && !claim->is_delivered)
    {
      claim->is_abandoned = true;
      return;
    }
  if (claim->is_decided)
    {
      entry->owner = NULL;
      entry_set_outcome (claims, entry, CLAIM_STATE_UNKNOWN, NULL);
      entry_decide_waiters (claims, entry, entry->outcome);
      claims_enqueue (claims, entry, CLAIM_STEP_RECORD, now, now);
    }
  else
    {
      TAILQ_REMOVE (&entry->waiters, claim, wait_link);
      claims_cleanup_entry (claims, entry, now);
    }
  claims_free_claim (claim);
}

/* Drop ENTRY if it has no waiters and no pending write.  A claim that may have
   taken effect is released first.  */
void
claims_cleanup_entry (claims_t *claims, claim_entry_t *entry,
                      struct timespec now)
{
  if (entry->owner != NULL || entry->is_in_flight
      || !TAILQ_EMPTY (&entry->waiters))
    return;
  if (entry->step == CLAIM_STEP_CLAIM && entry->may_have_claimed)
    claims_enqueue (claims, entry, CLAIM_STEP_RELEASE, now, now);
  else if (entry->step == CLAIM_STEP_CLAIM || entry->step == CLAIM_STEP_READ)
    claims_drop (claims, entry);
}

static bool
claim_is_expired (const journal_claim_t *claim, struct timespec now)
{
  return timespec_compare (claim->deadline, now) <= 0;
}

/* Decide the waiters of ENTRY whose deadline has passed.  */
static void
entry_expire (claims_t *claims, claim_entry_t *entry, struct timespec now)
{
  bool has_not_run
      = entry->step == CLAIM_STEP_CLAIM || entry->step == CLAIM_STEP_RELEASE;
  journal_claim_t *claim;
  journal_claim_t *next;

  for (claim = TAILQ_FIRST (&entry->waiters); claim != NULL; claim = next)
    {
      next = TAILQ_NEXT (claim, wait_link);
      if (claim_is_expired (claim, now))
        claims_decide (claims, claim,
                       has_not_run ? CLAIM_UNAVAILABLE : CLAIM_UNKNOWN);
    }
}

/* Decide the undecided claims whose deadline has passed.  */
void
claims_expire_waiters (claims_t *claims, struct timespec now)
{
  table_node_t *node;
  table_node_t *next;

  for (node = table_next (claims->entries, NULL); node != NULL; node = next)
    {
      claim_entry_t *entry = CONTAINER_OF (node, claim_entry_t, node);

      next = table_next (claims->entries, node);
      entry_expire (claims, entry, now);
      claims_cleanup_entry (claims, entry, now);
    }
}

/* Move the decided claims to the end of DECIDED.  */
void
claims_collect_decided (claims_t *claims, journal_claim_list_t *decided)
{
  STAILQ_CONCAT (decided, &claims->decided);
}

/* Return the number of keys with a pending write.  */
size_t
claims_pending (const claims_t *claims)
{
  table_node_t *node;
  size_t count = 0;

  TABLE_FOREACH (node, claims->entries)
    {
      const claim_entry_t *entry = CONTAINER_OF (node, claim_entry_t, node);

      if (entry->step != CLAIM_STEP_HOLD && entry->step != CLAIM_STEP_READ)
        count++;
    }
  return count;
}

/* Return the waiter that has waited longest among those for the request that
   ENTRY was claimed for.  */
static journal_claim_t *
entry_find_next_owner (const claim_entry_t *entry)
{
  journal_claim_t *claim;

  TAILQ_FOREACH (claim, &entry->waiters, wait_link)
    {
      if (claim->fingerprint == entry->fingerprint)
        return claim;
    }
  return NULL;
}

/* Handle a successful claim on the key of ENTRY.  It is granted to the waiter
   that has waited longest for the request that it was claimed for, or released
   if there is none.  */
void
claims_handle_granted (claims_t *claims, claim_entry_t *entry,
                       struct timespec now)
{
  journal_claim_t *claim;

  entry->may_have_claimed = false;
  entry_expire (claims, entry, now);
  claim = entry_find_next_owner (entry);
  if (claim == NULL)
    {
      claims_enqueue (claims, entry, CLAIM_STEP_RELEASE, now, now);
      return;
    }
  INVARIANT (entry->owner == NULL, "claim-one-owner");
  entry->step = CLAIM_STEP_HOLD;
  claims_decide (claims, claim, CLAIM_GRANTED);
  entry_reject_mismatches (claims, entry, entry->fingerprint);
}

/* Claim the key of ENTRY again, replacing the value EXPECTED, or requiring
   that the key is absent if that is NULL.  */
static void
entry_retry_claim (claims_t *claims, claim_entry_t *entry,
                   const char *expected, struct timespec now)
{
  char *copy = expected == NULL ? NULL : talloc_strdup (entry, expected);

  entry->may_have_claimed = false;
  talloc_free (entry->expected);
  entry->expected = copy;
  entry_prepare_claim (claims, entry);
  claims_enqueue (claims, entry, CLAIM_STEP_CLAIM, now, now);
  claims_cleanup_entry (claims, entry, now);
}

/* The store does not have the key of ENTRY: claim it again.  */
void
claims_handle_absent (claims_t *claims, claim_entry_t *entry,
                      struct timespec now)
{
  entry_retry_claim (claims, entry, NULL, now);
}

/* Read the key of ENTRY again after an exponentially growing delay.  */
static void
entry_schedule_read (claims_t *claims, claim_entry_t *entry,
                     struct timespec now)
{
  struct timespec due = timespec_add (now, timespec_from_ms (entry->delay_ms));

  entry->may_have_claimed = false;
  entry->delay_ms *= 2;
  if (entry->delay_ms > READ_DELAY_MAX_MS)
    entry->delay_ms = READ_DELAY_MAX_MS;
  claims_enqueue (claims, entry, CLAIM_STEP_READ, due, now);
  claims_cleanup_entry (claims, entry, now);
}

/* Handle the value TEXT found under the key of ENTRY.  A malformed value is
   treated as a claim whose request may be running.  */
void
claims_handle_value (claims_t *claims, claim_entry_t *entry, const char *text,
                     struct timespec now)
{
  claim_value_t *value = claim_value_parse (NULL, text);

  if (strcmp (text, entry->value) == 0)
    claims_handle_granted (claims, entry, now);
  else if (value == NULL || value->state == CLAIM_STATE_RUNNING)
    {
      if (value != NULL)
        entry_reject_mismatches (claims, entry, value->fingerprint);
      entry_schedule_read (claims, entry, now);
    }
  else if (value->state == CLAIM_STATE_RELEASED)
    entry_retry_claim (claims, entry, text, now);
  else
    {
      entry->may_have_claimed = false;
      entry_decide_waiters (claims, entry, text);
      claims_cleanup_entry (claims, entry, now);
    }
  talloc_free (value);
}

/* Handle the completed write of the outcome of ENTRY.  */
void
claims_handle_recorded (claims_t *claims, claim_entry_t *entry)
{
  counter_add (&recorded_total, 1);
  claims_drop (claims, entry);
}

/* Handle the release of the key of ENTRY, which is claimed again if there are
   waiters.  */
void
claims_handle_released (claims_t *claims, claim_entry_t *entry,
                        struct timespec now)
{
  char *released = talloc_steal (NULL, entry->released);

  counter_add (&released_total, 1);
  entry->may_have_claimed = false;
  entry->released = NULL;
  entry_retry_claim (claims, entry, released, now);
  talloc_free (released);
}
