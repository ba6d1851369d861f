#include "common/term.h"

#include "kernel/log.h"

#include <string.h>

enum
{
  RENEWALS_PER_LEASE = 3, /* renewals during the lifetime of a lease */
  RETRY_DELAY_MS = 900
};

struct term
{
  worker_t *worker;
  election_options_t options;
  const election_ops_t *ops;
  void *data;
  bool is_campaigning;
  bool is_taking_over;     /* overwrite the key of the present holder */
  int64_t holder_revision; /* of the key to overwrite; 0: write a new key */
  char *displaced_holder;  /* name in the key to overwrite, or NULL */
  bool is_held;            /* this process is the leader */
  bool is_call_pending;    /* to the store */
  bool is_destroyed;       /* free when the pending call ends */
  int64_t lease;           /* 0: none */
  worker_timer_t *timer;
};

static void term_step (election_t *term);

/* Note that a call to the store has ended.  Frees TERM and returns false when
   it was destroyed during the call.  */
static bool
term_end_call (election_t *term)
{
  term->is_call_pending = false;
  if (!term->is_destroyed)
    return true;
  talloc_free (term);
  return false;
}

static void
term_handle_timer (worker_t *worker, void *data)
{
  election_t *term = data;

  (void)worker;
  term->timer = NULL;
  term_step (term);
}

/* Run term_step after DELAY_MS, in place of a step scheduled before.  */
static void
term_schedule_step (election_t *term, int64_t delay_ms)
{
  TALLOC_FREE (term->timer);
  term->timer
      = worker_timer_start (term->worker, term, timespec_from_ms (delay_ms),
                            term_handle_timer, term);
}

/* The lease has expired, and with it the leadership if it was held.  */
static void
term_lose (election_t *term)
{
  bool was_held = term->is_held;

  term->lease = 0;
  term->is_held = false;
  if (was_held)
    term->ops->on_lost (term->data);
}

static void
term_on_revoked (status_t status, int64_t lease, void *data)
{
  (void)data;
  log_event (LOG_LEVEL_NOTICE, "lease-ended", "lease=%lld status=%s",
             (long long)lease, status_name (status));
}

static void
term_revoke_lease (election_t *term, int64_t lease)
{
  if (lease != 0 && term->options.store_ops->revoke_lease != NULL)
    term->options.store_ops->revoke_lease (term->options.store, lease,
                                           term_on_revoked, NULL);
}

static void
term_on_granted (status_t status, int64_t lease, void *data)
{
  election_t *term = data;

  if (!term->is_campaigning)
    term_revoke_lease (term, lease);
  if (!term_end_call (term) || !term->is_campaigning)
    return;
  if (status != STATUS_OK)
    {
      term_schedule_step (term, RETRY_DELAY_MS);
      return;
    }
  term->lease = lease;
  term_step (term);
}

/* The key is held by this process; FENCE is the key's revision.  */
static void
term_win (election_t *term, uint64_t fence)
{
  char *displaced_holder = term->displaced_holder;
  displaced_leader_t displaced
      = { displaced_holder, (uint64_t)term->holder_revision };

  term->is_held = true;
  term->is_taking_over = false;
  term->holder_revision = 0;
  term->displaced_holder = NULL;
  term_schedule_step (term, timespec_to_ms (term->options.duration)
                                / RENEWALS_PER_LEASE);
  term->ops->on_won (fence, displaced_holder == NULL ? NULL : &displaced,
                     term->data);
  talloc_free (displaced_holder);
}

/* The write found an existing key.  It belongs to another process, which is
   replaced on the next write if a takeover was requested, or to this process,
   from a write whose response was lost.  */
static void
term_handle_existing_key (election_t *term, const store_entry_t *entry)
{
  if (entry != NULL && strcmp (entry->value, term->options.holder) == 0
      && entry->lease == term->lease)
    {
      term_win (term, (uint64_t)entry->mod_revision);
      return;
    }
  term->holder_revision = 0;
  if (entry != NULL && term->is_taking_over)
    {
      term->holder_revision = entry->mod_revision;
      talloc_free (term->displaced_holder);
      term->displaced_holder = talloc_strdup (term, entry->value);
    }
  term_schedule_step (term, term->holder_revision != 0 ? 0 : RETRY_DELAY_MS);
}

static void
term_on_written (status_t status, const store_result_t *result, void *data)
{
  election_t *term = data;

  if (!term_end_call (term) || !term->is_campaigning)
    return;
  if (status == STATUS_NOT_FOUND)
    term->lease = 0;
  if (status != STATUS_OK)
    term_schedule_step (term, RETRY_DELAY_MS);
  else if (result->succeeded)
    term_win (term, (uint64_t)result->revision);
  else
    term_handle_existing_key (term, store_result_entry (result, 0));
}

static void
term_on_renewed (status_t status, int64_t lease, void *data)
{
  election_t *term = data;

  (void)lease;
  if (!term_end_call (term) || !term->is_campaigning)
    return;
  if (status == STATUS_NOT_FOUND)
    term_lose (term);
  term_schedule_step (term, timespec_to_ms (term->options.duration)
                                / RENEWALS_PER_LEASE);
}

static status_t
term_write (election_t *term)
{
  const election_options_t *options = &term->options;
  store_txn_t *txn = store_txn_create (term);
  status_t status;

  if (term->holder_revision != 0)
    store_txn_if_revision (txn, options->key, term->holder_revision);
  else
    store_txn_if_absent (txn, options->key);
  store_txn_then (txn, STORE_PUT, options->key, options->holder)->lease
      = term->lease;
  store_txn_else (txn, STORE_GET, options->key, NULL);
  status = options->store_ops->transact (options->store, txn, term_on_written,
                                         term);
  store_txn_destroy (txn);
  return status;
}

/* Send the next request: first for a lease, then to write the key, then to
   renew the lease.  */
static void
term_step (election_t *term)
{
  const election_options_t *options = &term->options;
  status_t status;

  if (!term->is_campaigning || term->is_call_pending)
    return;
  term->is_call_pending = true;
  if (term->lease == 0)
    status = options->store_ops->grant (options->store, options->duration,
                                        term_on_granted, term);
  else if (!term->is_held)
    status = term_write (term);
  else
    status = options->store_ops->keep_alive (options->store, term->lease,
                                             term_on_renewed, term);
  if (status == STATUS_OK)
    return;
  term->is_call_pending = false;
  term_schedule_step (term, RETRY_DELAY_MS);
}

/* Create a term; election_campaign starts the election.  The key and the
   holder name of OPTIONS are copied.  Returns NULL when memory is exhausted.
 */
election_t *
election_create (TALLOC_CTX *parent, worker_t *worker,
                 const election_options_t *options, const election_ops_t *ops,
                 void *data)
{
  election_t *term = talloc_zero (parent, election_t);

  if (term == NULL)
    return NULL;
  term->worker = worker;
  term->options = *options;
  term->options.key = talloc_strdup (term, options->key);
  term->options.holder = talloc_strdup (term, options->holder);
  term->ops = ops;
  term->data = data;
  return term;
}

/* Resign, and free TERM once no call to the store is pending.  Must not be
   called from within the functions of election_ops_t.  */
void
election_destroy (election_t *term)
{
  election_resign (term);
  term->is_destroyed = true;
  if (!term->is_call_pending)
    talloc_free (term);
}

/* Try to become the leader until it succeeds, and renew the lease from then
   on.  */
void
election_campaign (election_t *term)
{
  if (term->is_campaigning)
    return;
  term->is_campaigning = true;
  term_step (term);
}

/* Take the leadership over from a holder that keeps its lease but does not
   respond.  The fence of that holder is rejected as soon as the led processes
   have received the next one.  Returns false when this process is the leader
   or is taking over already.  */
bool
election_take_over (election_t *term)
{
  if (term->is_held || term->is_taking_over)
    return false;
  term->is_taking_over = true;
  if (!term->is_campaigning)
    election_campaign (term);
  else if (!term->is_call_pending)
    term_schedule_step (term, 0);
  return true;
}

/* Give up the leadership, or stop campaigning.  on_lost is not called.  */
void
election_resign (election_t *term)
{
  if (!term->is_campaigning)
    return;
  term->is_campaigning = false;
  term->is_taking_over = false;
  term->holder_revision = 0;
  TALLOC_FREE (term->displaced_holder);
  term->is_held = false;
  TALLOC_FREE (term->timer);
  term_revoke_lease (term, term->lease);
  term->lease = 0;
}
