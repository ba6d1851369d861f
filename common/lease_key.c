#include "common/lease_key.h"

#include "kernel/log.h"

#include <string.h>
#include <xxhash.h>

enum
{
  RENEWALS_PER_LEASE = 3, /* renewals during the lifetime of a lease */
  RETRY_DELAY_MS = 700,
  /* After a restore of the store all processes write their keys again, spread
     over this time.  */
  RESTORE_SPREAD_MS = 1000
};

struct lease_key
{
  worker_t *worker;
  lease_key_options_t options;
  int64_t lease;    /* ID of the lease; 0: none */
  int64_t revision; /* of the key, as far as is known; 0: it does not exist */
  bool is_written;
  bool is_value_changed; /* the value was set after the last write began */
  bool is_withdrawn;
  bool is_call_pending; /* a call to the store has not ended yet */
  /* A restore of the store, which voided the lease, was noticed after the
     pending call was sent.  */
  bool is_call_outdated;
  worker_timer_t *timer;
  store_listener_t listener;
};

static void lease_key_step (lease_key_t *key);

static void
lease_key_handle_timer (worker_t *worker, void *data)
{
  lease_key_t *key = data;

  (void)worker;
  key->timer = NULL;
  lease_key_step (key);
}

/* Run lease_key_step after DELAY_MS, in place of a step scheduled before.  */
static void
lease_key_schedule_step (lease_key_t *key, int64_t delay_ms)
{
  TALLOC_FREE (key->timer);
  if (key->is_withdrawn)
    return;
  key->timer
      = worker_timer_start (key->worker, key, timespec_from_ms (delay_ms),
                            lease_key_handle_timer, key);
}

static void
lease_key_schedule_renewal (lease_key_t *key)
{
  lease_key_schedule_step (key, timespec_to_ms (key->options.duration)
                                    / RENEWALS_PER_LEASE);
}

/* Run lease_key_step at a time that differs between keys.  */
static void
lease_key_schedule_restart (lease_key_t *key)
{
  uint64_t hash = XXH3_64bits (key->options.key, strlen (key->options.key));

  lease_key_schedule_step (key, (int64_t)(hash % RESTORE_SPREAD_MS));
}

/* Handle the end of a call to the store.  Returns whether its result is to be
   used: it is not when the store was restored during the call.  */
static bool
lease_key_end_call (lease_key_t *key)
{
  bool is_outdated = key->is_call_outdated;

  key->is_call_pending = false;
  key->is_call_outdated = false;
  if (is_outdated)
    lease_key_schedule_restart (key);
  return !is_outdated;
}

/* Log the failed STEP and retry.  STATUS_NOT_FOUND means that the lease has
   expired, so that a new lease is needed.  */
static void
lease_key_handle_failure (lease_key_t *key, const char *step, status_t status)
{
  log_event (LOG_LEVEL_WARN, "registration-failed",
             "key=%s step=%s status=%s error=\"%s\"", key->options.key, step,
             status_name (status), status_message ());
  if (status == STATUS_NOT_FOUND)
    {
      key->lease = 0;
      key->revision = 0;
      key->is_written = false;
    }
  lease_key_schedule_step (key, RETRY_DELAY_MS);
}

static void
lease_key_on_granted (status_t status, int64_t lease, void *data)
{
  lease_key_t *key = data;

  if (!lease_key_end_call (key))
    return;
  if (status != STATUS_OK)
    {
      lease_key_handle_failure (key, "grant", status);
      return;
    }
  key->lease = lease;
  lease_key_step (key);
}

/* Return whether ENTRY is what this process writes, from a write whose
   response was lost.  */
static bool
lease_key_is_own_entry (const lease_key_t *key, const store_entry_t *entry)
{
  return entry != NULL && entry->lease == key->lease
         && strcmp (entry->value, key->options.value) == 0;
}

/* The write found the key changed, by another run of this process or by an
   earlier write of this one.  Returns whether it is as it should be.  */
static bool
lease_key_handle_conflict (lease_key_t *key, const store_entry_t *entry)
{
  key->revision = entry == NULL ? 0 : entry->mod_revision;
  if (lease_key_is_own_entry (key, entry))
    return true;
  log_event (LOG_LEVEL_NOTICE, "registration-replaced",
             "key=%s lease=%lld found_lease=%lld found_revision=%lld",
             key->options.key, (long long)key->lease,
             entry == NULL ? 0 : (long long)entry->lease,
             (long long)key->revision);
  return false;
}

/* Continue after a write.  A write without a response is retried: its
   condition tells whether it has taken effect.  */
static void
lease_key_on_written (status_t status, const store_result_t *result,
                      void *data)
{
  lease_key_t *key = data;

  if (!lease_key_end_call (key))
    return;
  if (status != STATUS_OK)
    {
      lease_key_handle_failure (key, "write", status);
      return;
    }
  if (result->succeeded)
    key->revision = result->revision;
  else if (!lease_key_handle_conflict (key, store_result_entry (result, 0)))
    {
      lease_key_step (key);
      return;
    }
  if (!key->is_written)
    log_event (LOG_LEVEL_NOTICE, "registered", "key=%s lease=%lld",
               key->options.key, (long long)key->lease);
  key->is_written = !key->is_value_changed;
  if (key->is_written)
    lease_key_schedule_renewal (key);
  else
    lease_key_step (key);
}

static void
lease_key_on_renewed (status_t status, int64_t lease, void *data)
{
  lease_key_t *key = data;

  (void)lease;
  if (!lease_key_end_call (key))
    return;
  if (status != STATUS_OK)
    lease_key_handle_failure (key, "keep", status);
  else
    lease_key_schedule_renewal (key);
}

/* Write the key on condition that it is as it is known to be.  A write that
   the store carries out late would otherwise replace the key of a later run of
   this process, and take it away with its lease.  */
static status_t
lease_key_write (lease_key_t *key)
{
  store_txn_t *txn = store_txn_create (key);
  status_t status;

  key->is_value_changed = false;
  if (key->revision == 0)
    store_txn_if_absent (txn, key->options.key);
  else
    store_txn_if_revision (txn, key->options.key, key->revision);
  store_txn_then (txn, STORE_PUT, key->options.key, key->options.value)->lease
      = key->lease;
  store_txn_else (txn, STORE_GET, key->options.key, NULL);
  status = key->options.store_ops->transact (key->options.store, txn,
                                             lease_key_on_written, key);
  store_txn_destroy (txn);
  return status;
}

/* Send the next request: first for a lease, then to write the key, then to
   renew the lease.  */
static void
lease_key_step (lease_key_t *key)
{
  const store_ops_t *ops = key->options.store_ops;
  status_t status;

  if (key->is_withdrawn)
    return;
  key->is_call_pending = true;
  if (key->lease == 0)
    status = ops->grant (key->options.store, key->options.duration,
                         lease_key_on_granted, key);
  else if (!key->is_written)
    status = lease_key_write (key);
  else
    status = ops->keep_alive (key->options.store, key->lease,
                              lease_key_on_renewed, key);
  if (status == STATUS_OK)
    return;
  key->is_call_pending = false;
  lease_key_handle_failure (key, "call", status);
}

/* The store was restored from a copy.  The lease is void: the store may give
   its number to another process, and the key may be gone.  */
static void
lease_key_handle_restored (void *data)
{
  lease_key_t *key = data;

  key->lease = 0;
  key->revision = 0;
  key->is_written = false;
  key->is_call_outdated = key->is_call_pending;
  if (!key->is_call_pending)
    lease_key_schedule_restart (key);
}

/* Start to write and renew the key described by OPTIONS.  Strings of OPTIONS
   are copied.  The store must be destroyed before the lease key.  Returns NULL
   when memory is exhausted.  */
lease_key_t *
lease_key_create (TALLOC_CTX *parent, worker_t *worker,
                  const lease_key_options_t *options)
{
  lease_key_t *key = talloc_zero (parent, lease_key_t);

  if (key == NULL)
    return NULL;
  key->worker = worker;
  key->options = *options;
  key->options.key = talloc_strdup (key, options->key);
  key->options.value = talloc_strdup (key, options->value);
  key->listener = (store_listener_t){
    .on_restored = lease_key_handle_restored,
    .data = key,
  };
  store_listen (options->store_ops, options->store, &key->listener);
  lease_key_schedule_step (key, 0);
  return key;
}

/* Write a copy of VALUE to the key as the next step, and again after each new
   lease.  */
void
lease_key_set_value (lease_key_t *key, const char *value)
{
  talloc_free ((char *)key->options.value);
  key->options.value = talloc_strdup (key, value);
  key->is_written = false;
  key->is_value_changed = true;
  if (key->timer != NULL)
    lease_key_schedule_step (key, 0);
}

static void
lease_key_on_revoked (status_t status, int64_t lease, void *data)
{
  const lease_key_t *key = data;

  (void)lease;
  log_event (LOG_LEVEL_NOTICE, "registration-ended", "key=%s status=%s",
             key->options.key, status_name (status));
}

/* Stop renewing the key and revoke its lease, which deletes the key from the
   store.  KEY itself is not freed.  For a planned shutdown.  */
void
lease_key_withdraw (lease_key_t *key)
{
  if (key->is_withdrawn)
    return;
  key->is_withdrawn = true;
  TALLOC_FREE (key->timer);
  if (key->lease != 0 && key->options.store_ops->revoke_lease != NULL)
    key->options.store_ops->revoke_lease (key->options.store, key->lease,
                                          lease_key_on_revoked, key);
}
