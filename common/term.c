#include "common/term.h"

#include "kernel/log.h"

#include <string.h>

enum
{
  KEEP_DIVISOR = 3, /* renewals within the duration of a lease */
  RETRY_MS = 900
};

struct term
{
  worker_t *worker;
  term_options_t options;
  const term_ops_t *ops;
  void *data;
  bool is_sought;
  bool is_seized;   /* to be taken from its holder */
  int64_t revision; /* of the holder's key, while it is being taken; or 0 */
  char *seized_from;
  bool is_held;
  bool is_asking;  /* a call is under way */
  bool is_retired; /* to be freed when it ends */
  int64_t lease;   /* 0 for none */
  worker_timer_t *timer;
};

static void term_act (term_t *term);

/* A call has ended.  Returns whether the term lives on.  */
static bool
term_end_call (term_t *term)
{
  term->is_asking = false;
  if (!term->is_retired)
    return true;
  talloc_free (term);
  return false;
}

static void
term_handle_timer (worker_t *worker, void *data)
{
  term_t *term = data;

  (void)worker;
  term->timer = NULL;
  term_act (term);
}

static void
term_act_in (term_t *term, int64_t delay_ms)
{
  TALLOC_FREE (term->timer);
  term->timer
      = worker_timer_start (term->worker, term, timespec_from_ms (delay_ms),
                            term_handle_timer, term);
}

static void
term_lose (term_t *term)
{
  bool was_held = term->is_held;

  term->lease = 0;
  term->is_held = false;
  if (was_held)
    term->ops->on_lost (term->data);
}

static void
term_on_ended (status_t status, int64_t lease, void *data)
{
  (void)data;
  log_event (LOG_LEVEL_NOTICE, "lease-ended", "lease=%lld status=%s",
             (long long)lease, status_name (status));
}

static void
term_end_lease (term_t *term, int64_t lease)
{
  if (lease != 0 && term->options.store_ops->revoke_lease != NULL)
    term->options.store_ops->revoke_lease (term->options.store, lease,
                                           term_on_ended, NULL);
}

static void
term_on_granted (status_t status, int64_t lease, void *data)
{
  term_t *term = data;

  if (!term->is_sought)
    term_end_lease (term, lease);
  if (!term_end_call (term) || !term->is_sought)
    return;
  if (status != STATUS_OK)
    {
      term_act_in (term, RETRY_MS);
      return;
    }
  term->lease = lease;
  term_act (term);
}

static void
term_win (term_t *term, uint64_t fence)
{
  char *seized_from = term->seized_from;
  term_displaced_t seized = { seized_from, (uint64_t)term->revision };

  term->is_held = true;
  term->is_seized = false;
  term->revision = 0;
  term->seized_from = NULL;
  term_act_in (term, timespec_to_ms (term->options.duration) / KEEP_DIVISOR);
  term->ops->on_won (fence, seized_from == NULL ? NULL : &seized, term->data);
  talloc_free (seized_from);
}

/* The key is there already: somebody else's, or this process's own, from a
   write whose answer was lost.  */
static void
term_note_holder (term_t *term, const store_entry_t *entry)
{
  if (entry != NULL && strcmp (entry->value, term->options.holder) == 0
      && entry->lease == term->lease)
    {
      term_win (term, (uint64_t)entry->mod_revision);
      return;
    }
  term->revision = 0;
  if (entry != NULL && term->is_seized)
    {
      term->revision = entry->mod_revision;
      talloc_free (term->seized_from);
      term->seized_from = talloc_strdup (term, entry->value);
    }
  term_act_in (term, term->revision != 0 ? 0 : RETRY_MS);
}

static void
term_on_written (status_t status, const store_result_t *result, void *data)
{
  term_t *term = data;

  if (!term_end_call (term) || !term->is_sought)
    return;
  if (status == STATUS_NOT_FOUND)
    term->lease = 0;
  if (status != STATUS_OK)
    term_act_in (term, RETRY_MS);
  else if (result->succeeded)
    term_win (term, (uint64_t)result->revision);
  else
    term_note_holder (term, store_result_entry (result, 0));
}

static void
term_on_kept (status_t status, int64_t lease, void *data)
{
  term_t *term = data;

  (void)lease;
  if (!term_end_call (term) || !term->is_sought)
    return;
  if (status == STATUS_NOT_FOUND)
    term_lose (term);
  term_act_in (term, timespec_to_ms (term->options.duration) / KEEP_DIVISOR);
}

static status_t
term_write (term_t *term)
{
  const term_options_t *options = &term->options;
  store_txn_t *txn = store_txn_create (term);
  status_t status;

  if (term->revision != 0)
    store_txn_if_revision (txn, options->key, term->revision);
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

/* Take the next step: a lease, then the key, then renewals.  */
static void
term_act (term_t *term)
{
  const term_options_t *options = &term->options;
  status_t status;

  if (!term->is_sought || term->is_asking)
    return;
  term->is_asking = true;
  if (term->lease == 0)
    status = options->store_ops->grant (options->store, options->duration,
                                        term_on_granted, term);
  else if (!term->is_held)
    status = term_write (term);
  else
    status = options->store_ops->keep_alive (options->store, term->lease,
                                             term_on_kept, term);
  if (status == STATUS_OK)
    return;
  term->is_asking = false;
  term_act_in (term, RETRY_MS);
}

/* Create a term that is not sought yet.  Returns NULL when memory is
   exhausted.  */
term_t *
term_create (TALLOC_CTX *parent, worker_t *worker,
             const term_options_t *options, const term_ops_t *ops, void *data)
{
  term_t *term = talloc_zero (parent, term_t);

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

/* Give the term up, and free TERM once no call is under way.  Not to be called
   from its own operations.  */
void
term_destroy (term_t *term)
{
  term_resign (term);
  term->is_retired = true;
  if (!term->is_asking)
    talloc_free (term);
}

/* Try to win the term, as long as it takes, and keep it then.  */
void
term_campaign (term_t *term)
{
  if (term->is_sought)
    return;
  term->is_sought = true;
  term_act (term);
}

/* Take the term from its holder, who is in the way and does not answer: its
   fence is void as soon as the next one has been shown.  Returns whether this
   is new.  */
bool
term_take_over (term_t *term)
{
  if (term->is_held || term->is_seized)
    return false;
  term->is_seized = true;
  if (!term->is_sought)
    term_campaign (term);
  else if (!term->is_asking)
    term_act_in (term, 0);
  return true;
}

/* Give the term up, or stop to try.  on_lost does not run.  */
void
term_resign (term_t *term)
{
  if (!term->is_sought)
    return;
  term->is_sought = false;
  term->is_seized = false;
  term->revision = 0;
  TALLOC_FREE (term->seized_from);
  term->is_held = false;
  TALLOC_FREE (term->timer);
  term_end_lease (term, term->lease);
  term->lease = 0;
}
