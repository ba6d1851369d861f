#include "common/election.h"

#include "kernel/log.h"

#include <string.h>

enum
{
  RENEWALS_PER_LEASE = 3, /* renewals during the lifetime of a lease */
  RETRY_DELAY_MS = 900
};

struct election
{
  worker_t *worker;
  election_options_t options;
  const election_ops_t *ops;
  void *data;
  bool is_campaigning;
  bool is_taking_over;      /* the next write replaces another process's key */
  int64_t holder_revision;  /* revision of the key to replace; 0: write the key
                               only if it does not exist */
  char *displaced_holder;   /* value of the key to replace, or NULL */
  uint64_t displaced_fence; /* of that holder */
  bool is_leader;
  bool is_call_pending; /* a call to the store has not ended yet */
  /* The pending call was made before this process resigned, or before a
     restore of the store was noticed: either ended the lease that the call
     was about.  */
  bool is_call_outdated;
  bool is_destroyed;         /* freed when the pending call ends */
  struct timespec called_at; /* start of the last call */
  int64_t lease;             /* ID of this process's lease; 0: none */
  /* Start of the call that granted or last renewed the lease.  It lasts at
     least for its duration from then on.  */
  struct timespec renewed_at;
  worker_timer_t *timer;
  store_listener_t listener;
};

static void election_step (election_t *election);

static struct timespec
election_now (const election_t *election)
{
  return clock_monotonic (worker_clock (election->worker));
}

/* Handle the end of a call to the store.  Returns whether its result is to be
   used.  Otherwise the lease has ended during the call, and the next step of a
   new campaign is started; or ELECTION was destroyed and is freed.  */
static bool
election_end_call (election_t *election)
{
  bool is_outdated = election->is_call_outdated;

  election->is_call_pending = false;
  election->is_call_outdated = false;
  if (election->is_destroyed)
    {
      talloc_free (election);
      return false;
    }
  if (is_outdated)
    election_step (election);
  return !is_outdated;
}

static void
election_handle_timer (worker_t *worker, void *data)
{
  election_t *election = data;

  (void)worker;
  election->timer = NULL;
  election_step (election);
}

/* Run election_step after DELAY_MS, in place of a step scheduled before.  */
static void
election_schedule_step (election_t *election, int64_t delay_ms)
{
  TALLOC_FREE (election->timer);
  election->timer = worker_timer_start (election->worker, election,
                                        timespec_from_ms (delay_ms),
                                        election_handle_timer, election);
}

static int64_t
election_renewal_interval_ms (const election_t *election)
{
  return timespec_to_ms (election->options.duration) / RENEWALS_PER_LEASE;
}

static int64_t
election_lease_age_ms (const election_t *election)
{
  return timespec_to_ms (
      timespec_subtract (election_now (election), election->renewed_at));
}

/* Schedule the renewal for the time at which the lease is as old as the
   renewal interval.  */
static void
election_schedule_renewal (election_t *election)
{
  int64_t delay_ms = election_renewal_interval_ms (election)
                     - election_lease_age_ms (election);

  election_schedule_step (election, delay_ms > 0 ? delay_ms : 0);
}

/* Handle the expiry of the lease, and with it the end of the leadership if
   this process was the leader.  */
static void
election_lose (election_t *election)
{
  bool was_leader = election->is_leader;

  election->lease = 0;
  election->is_leader = false;
  if (was_leader)
    election->ops->on_lost (election->data);
}

static void
election_on_revoked (status_t status, int64_t lease, void *data)
{
  (void)data;
  log_event (LOG_LEVEL_NOTICE, "lease-ended", "lease=%lld status=%s",
             (long long)lease, status_name (status));
}

static void
election_revoke_lease (election_t *election, int64_t lease)
{
  if (lease != 0 && election->options.store_ops->revoke_lease != NULL)
    election->options.store_ops->revoke_lease (election->options.store, lease,
                                               election_on_revoked, NULL);
}

static void
election_on_granted (status_t status, int64_t lease, void *data)
{
  election_t *election = data;

  if (election->is_call_outdated)
    election_revoke_lease (election, lease);
  if (!election_end_call (election))
    return;
  if (status != STATUS_OK)
    {
      election_schedule_step (election, RETRY_DELAY_MS);
      return;
    }
  election->lease = lease;
  election->renewed_at = election->called_at;
  election_step (election);
}

static uint64_t
election_fence (const election_t *election, int64_t revision)
{
  return store_fence (election->options.store_ops, election->options.store,
                      revision);
}

/* Become the leader: the key holds this process's value, written at
   REVISION.  */
static void
election_win (election_t *election, int64_t revision)
{
  char *displaced_holder = election->displaced_holder;
  displaced_leader_t displaced
      = { displaced_holder, election->displaced_fence };

  election->is_leader = true;
  election->is_taking_over = false;
  election->holder_revision = 0;
  election->displaced_holder = NULL;
  election_schedule_renewal (election);
  election->ops->on_won (election_fence (election, revision),
                         displaced_holder == NULL ? NULL : &displaced,
                         election->data);
  talloc_free (displaced_holder);
}

static void
election_displace (election_t *election, const store_entry_t *entry)
{
  election->displaced_fence = election_fence (election, entry->mod_revision);
  talloc_free (election->displaced_holder);
  election->displaced_holder = talloc_strdup (election, entry->value);
}

/* The write found an existing key.  It belongs to another process, which is
   replaced on the next write if a takeover was requested; or to this process,
   from a write whose response was lost, or from an earlier term in a store
   that was restored, whose lease is replaced.  */
static void
election_handle_existing_key (election_t *election, const store_entry_t *entry)
{
  bool is_own
      = entry != NULL && strcmp (entry->value, election->options.holder) == 0;

  if (is_own && entry->lease == election->lease)
    {
      election_win (election, entry->mod_revision);
      return;
    }
  election->holder_revision = 0;
  if (entry != NULL && (is_own || election->is_taking_over))
    election->holder_revision = entry->mod_revision;
  if (entry != NULL && !is_own && election->is_taking_over)
    election_displace (election, entry);
  election_schedule_step (election,
                          election->holder_revision != 0 ? 0 : RETRY_DELAY_MS);
}

static void
election_on_written (status_t status, const store_result_t *result, void *data)
{
  election_t *election = data;

  if (!election_end_call (election))
    return;
  if (status == STATUS_NOT_FOUND)
    election->lease = 0;
  if (status != STATUS_OK)
    election_schedule_step (election, RETRY_DELAY_MS);
  else if (result->succeeded)
    election_win (election, result->revision);
  else
    election_handle_existing_key (election, store_result_entry (result, 0));
}

static void
election_on_renewed (status_t status, int64_t lease, void *data)
{
  election_t *election = data;

  (void)lease;
  if (!election_end_call (election))
    return;
  if (status == STATUS_OK)
    election->renewed_at = election->called_at;
  else if (status == STATUS_NOT_FOUND)
    election_lose (election);
  if (election->is_leader)
    election_schedule_step (election, election_renewal_interval_ms (election));
  else
    election_schedule_step (election,
                            status == STATUS_OK ? 0 : RETRY_DELAY_MS);
}

static status_t
election_write (election_t *election)
{
  const election_options_t *options = &election->options;
  store_txn_t *txn = store_txn_create (election);
  status_t status;

  if (election->holder_revision != 0)
    store_txn_if_revision (txn, options->key, election->holder_revision);
  else
    store_txn_if_absent (txn, options->key);
  store_txn_then (txn, STORE_PUT, options->key, options->holder)->lease
      = election->lease;
  store_txn_else (txn, STORE_GET, options->key, NULL);
  status = options->store_ops->transact (options->store, txn,
                                         election_on_written, election);
  store_txn_destroy (txn);
  return status;
}

/* Return whether the lease is due for renewal.  A process that campaigns while
   another one leads may have to renew its lease several times, so that it does
   not win with one that is about to end.  */
static bool
election_needs_renewal (const election_t *election)
{
  return election->is_leader
         || election_lease_age_ms (election)
                >= election_renewal_interval_ms (election);
}

/* Make the next call: first for a lease, then to write the key, then to renew
   the lease.  */
static void
election_step (election_t *election)
{
  const election_options_t *options = &election->options;
  status_t status;

  if (!election->is_campaigning || election->is_call_pending)
    return;
  election->is_call_pending = true;
  election->called_at = election_now (election);
  if (election->lease == 0)
    status = options->store_ops->grant (options->store, options->duration,
                                        election_on_granted, election);
  else if (election_needs_renewal (election))
    status = options->store_ops->keep_alive (options->store, election->lease,
                                             election_on_renewed, election);
  else
    status = election_write (election);
  if (status == STATUS_OK)
    return;
  election->is_call_pending = false;
  election_schedule_step (election, RETRY_DELAY_MS);
}

/* The store was restored from a copy.  The lease is void: the store may give
   its number to another process.  The key may be gone, or be an older one.  */
static void
election_handle_restored (void *data)
{
  election_t *election = data;

  if (!election->is_campaigning)
    return;
  election->holder_revision = 0;
  election->is_call_outdated = election->is_call_pending;
  election_lose (election);
  if (!election->is_call_pending)
    election_schedule_step (election, 0);
}

/* Create an election, in which this process takes part from election_campaign
   on.  The key and the holder name of OPTIONS are copied.  Returns NULL when
   memory is exhausted.
 */
election_t *
election_create (TALLOC_CTX *parent, worker_t *worker,
                 const election_options_t *options, const election_ops_t *ops,
                 void *data)
{
  election_t *election = talloc_zero (parent, election_t);

  if (election == NULL)
    return NULL;
  election->worker = worker;
  election->options = *options;
  election->options.key = talloc_strdup (election, options->key);
  election->options.holder = talloc_strdup (election, options->holder);
  election->ops = ops;
  election->data = data;
  election->listener = (store_listener_t){
    .on_restored = election_handle_restored,
    .data = election,
  };
  store_listen (options->store_ops, options->store, &election->listener);
  return election;
}

/* Resign, and free ELECTION once no call to the store is pending.  Must not be
   called from within the functions of election_ops_t.  */
void
election_destroy (election_t *election)
{
  election_resign (election);
  store_unlisten (election->options.store_ops, &election->listener);
  election->is_destroyed = true;
  if (!election->is_call_pending)
    talloc_free (election);
}

/* Try to become the leader until that succeeds, and renew the lease from then
   on.  */
void
election_campaign (election_t *election)
{
  if (election->is_campaigning)
    return;
  election->is_campaigning = true;
  election_step (election);
}

/* Take the leadership over from a leader that keeps its lease but does not
   respond.  The processes that it commands reject its fence as soon as they
   have received the next one.  Returns false when this process is the leader
   or is taking over already.  */
bool
election_take_over (election_t *election)
{
  if (election->is_leader || election->is_taking_over)
    return false;
  election->is_taking_over = true;
  if (!election->is_campaigning)
    election_campaign (election);
  else if (!election->is_call_pending)
    election_schedule_step (election, 0);
  return true;
}

/* Give up the leadership, or stop campaigning.  on_lost is not called.  */
void
election_resign (election_t *election)
{
  if (!election->is_campaigning)
    return;
  election->is_campaigning = false;
  election->is_call_outdated = election->is_call_pending;
  election->is_taking_over = false;
  election->holder_revision = 0;
  TALLOC_FREE (election->displaced_holder);
  election->is_leader = false;
  TALLOC_FREE (election->timer);
  election_revoke_lease (election, election->lease);
  election->lease = 0;
}

/* Return whether the lease may have expired, since it was not renewed for its
   duration.  */
bool
election_is_lease_over (const election_t *election)
{
  return election_lease_age_ms (election)
         >= timespec_to_ms (election->options.duration);
}
