#include "sim.h"

#include "kernel/plugin.h"
#include "records.h"

#include <string.h>

enum
{
  STORE_DELAY_MAX_US = 2500,
  STORE_SLOW_MAX_US = 1800 * 1000,
  STORE_SLOW_PERCENT = 10,
  STORE_LOST_PERCENT = 12, /* of calls, while the store is faulty */
  STORE_PROGRESS_MS = 1000,
  WATCH_GAP_MS = 1 /* more than a timer may be late */
};

typedef struct sim_store
{
  records_t *records;
  bool is_down;
  bool is_faulty;
  LIST_HEAD (, store_watch) watches;
} sim_store_t;

/* A process's connection.  */
struct store
{
  worker_t *worker;
  sim_process_t *process;
  struct timespec timeout;
};

typedef struct request request_t;

/* A call as its caller sees it; gone with the caller.  */
typedef struct pending
{
  store_t *store;
  request_t *request; /* NULL once answered or lost */
  store_done_t done;
  void *data;
  status_t status;
  store_result_t *result;
} pending_t;

/* A call on its way to the store, which outlives its caller.  */
struct request
{
  pending_t *pending;
  sim_process_t *process;
  store_txn_t *txn;
};

struct store_watch
{
  LIST_ENTRY (store_watch) link;
  store_t *store;
  const store_watch_ops_t *ops;
  void *data;
  char *key;
  struct timespec last_at; /* of the newest change */
};

typedef struct change
{
  store_watch_t *watch;
  store_entry_t entry;
} change_t;

static sim_store_t *
the_store (void)
{
  return sim_current->store;
}

static bool
store_is_reachable (const sim_process_t *process)
{
  return !the_store ()->is_down && !process->is_store_cut;
}

static void
watch_deliver (worker_t *worker, void *data)
{
  change_t *change = data;
  store_watch_t *watch = change->watch;

  (void)worker;
  talloc_steal (NULL, change); /* the callback may end the watch */
  if (store_is_reachable (watch->store->process))
    watch->ops->on_change (&change->entry, watch->data);
  talloc_free (change);
}

/* Return how long the next change takes; changes keep their order.  */
static struct timespec
watch_delay (store_watch_t *watch)
{
  struct timespec at
      = timespec_add (sim_now (), sim_delay (STORE_DELAY_MAX_US));
  struct timespec least
      = timespec_add (watch->last_at, timespec_from_ms (WATCH_GAP_MS));

  watch->last_at = timespec_compare (at, least) > 0 ? at : least;
  return timespec_subtract (watch->last_at, sim_now ());
}

static void
watch_send (store_watch_t *watch, const record_t *record, bool is_deleted)
{
  change_t *change = talloc_zero (watch, change_t);

  change->watch = watch;
  change->entry.key = talloc_strdup (change, record->key);
  change->entry.mod_revision = record->revision;
  if (!is_deleted)
    change->entry.value = talloc_strdup (change, record_seen (record));
  worker_timer_start (watch->store->worker, change, watch_delay (watch),
                      watch_deliver, change);
}

static void
store_notify (const record_t *record, bool is_deleted)
{
  store_watch_t *watch;

  LIST_FOREACH (watch, &the_store ()->watches, link)
    {
      if (strcmp (watch->key, record->key) == 0)
        watch_send (watch, record, is_deleted);
    }
}

static store_t *
sim_create (worker_t *worker, const store_options_t *options)
{
  store_t *store = talloc_zero (worker_events (worker), store_t);

  store->worker = worker;
  store->process = sim_process_of (worker);
  store->timeout = options->timeout;
  return store;
}

static void
sim_destroy (store_t *store)
{
  talloc_free (store);
}

static void
pending_finish (worker_t *worker, void *data)
{
  pending_t *pending = data;

  (void)worker;
  if (pending->status != STATUS_OK)
    status_set (pending->status, "the store did not answer");
  pending->done (pending->status, pending->result, pending->data);
  talloc_free (pending);
}

static void
pending_time_out (worker_t *worker, void *data)
{
  pending_t *pending = data;

  if (pending->result != NULL)
    return;
  pending->status = STATUS_TIMEOUT;
  pending_finish (worker, pending);
}

static int
pending_free (pending_t *pending)
{
  if (pending->request != NULL)
    pending->request->pending = NULL;
  return 0;
}

/* Answer at once that nothing was sent.  */
static void
pending_refuse (pending_t *pending)
{
  pending->status = STATUS_UNAVAILABLE;
  worker_timer_start (pending->store->worker, pending, sim_delay (500),
                      pending_finish, pending);
}

/* The call has come to the store.  */
static void
request_arrive (worker_t *worker, void *data)
{
  request_t *request = data;
  pending_t *pending = request->pending;
  sim_store_t *store = the_store ();
  store_result_t *result;
  bool is_lost = !store_is_reachable (request->process)
                 || (store->is_faulty && sim_chance (STORE_LOST_PERCENT));

  (void)worker;
  if (!is_lost)
    {
      result = records_apply (request, store->records, request->txn);
      is_lost = store->is_faulty && sim_chance (STORE_LOST_PERCENT);
      if (!is_lost && pending != NULL)
        {
          pending->result = talloc_move (pending, &result);
          worker_timer_start (pending->store->worker, pending,
                              sim_delay (STORE_DELAY_MAX_US), pending_finish,
                              pending);
        }
    }
  if (pending != NULL)
    pending->request = NULL;
  talloc_free (request);
}

static status_t
sim_transact (store_t *store, const store_txn_t *txn, store_done_t done,
              void *data)
{
  pending_t *pending = talloc_zero (store, pending_t);
  request_t *request;
  bool is_slow = the_store ()->is_faulty && sim_chance (STORE_SLOW_PERCENT);

  pending->store = store;
  pending->done = done;
  pending->data = data;
  if (!store_is_reachable (store->process) && sim_chance (50))
    {
      pending_refuse (pending);
      return STATUS_OK;
    }
  request = talloc_zero (the_store (), request_t);
  pending->request = request;
  talloc_set_destructor (pending, pending_free);
  request->pending = pending;
  request->process = store->process;
  request->txn = records_copy_txn (request, txn);
  sim_after (request,
             sim_delay (is_slow ? STORE_SLOW_MAX_US : STORE_DELAY_MAX_US),
             request_arrive, request);
  worker_timer_start (store->worker, pending, store->timeout, pending_time_out,
                      pending);
  return STATUS_OK;
}

static status_t
sim_grant (store_t *store, struct timespec duration, store_lease_done_t done,
           void *data)
{
  (void)store;
  (void)duration;
  (void)done;
  (void)data;
  return status_set (STATUS_UNAVAILABLE, "leases are not part of this run");
}

static status_t
sim_keep_alive (store_t *store, int64_t lease, store_lease_done_t done,
                void *data)
{
  (void)lease;
  return sim_grant (store, timespec_from_ms (0), done, data);
}

static int
watch_free (store_watch_t *watch)
{
  LIST_REMOVE (watch, link);
  return 0;
}

static void
watch_progress (worker_t *worker, void *data)
{
  store_watch_t *watch = data;

  worker_timer_start (worker, watch, timespec_from_ms (STORE_PROGRESS_MS),
                      watch_progress, watch);
  if (store_is_reachable (watch->store->process))
    watch->ops->on_progress (watch->data);
}

static store_watch_t *
sim_watch (store_t *store, const char *key, int64_t start_revision,
           const store_watch_ops_t *ops, void *data)
{
  store_watch_t *watch = talloc_zero (store, store_watch_t);
  const record_t *record = records_find (the_store ()->records, key);

  watch->store = store;
  watch->ops = ops;
  watch->data = data;
  watch->key = talloc_strdup (watch, key);
  LIST_INSERT_HEAD (&the_store ()->watches, watch, link);
  talloc_set_destructor (watch, watch_free);
  worker_timer_start (store->worker, watch, sim_delay (STORE_DELAY_MAX_US),
                      watch_progress, watch);
  if (start_revision > 0 && record != NULL
      && record->revision >= start_revision)
    watch_send (watch, record, false);
  return watch;
}

static void
sim_unwatch (store_watch_t *watch)
{
  talloc_free (watch);
}

static const store_ops_t sim_ops = {
  .create = sim_create,
  .destroy = sim_destroy,
  .transact = sim_transact,
  .grant = sim_grant,
  .keep_alive = sim_keep_alive,
  .watch = sim_watch,
  .unwatch = sim_unwatch,
};

PLUGIN_REGISTER (etcd, PLUGIN_STORE, "etcd", "a store in memory with faults",
                 &sim_ops);

/* Create the store of the present run.  */
void
sim_store_create (void)
{
  sim_store_t *store = talloc_zero (sim_current, sim_store_t);

  sim_current->store = store;
  store->records = records_create (store, store_notify);
  LIST_INIT (&store->watches);
}

static void
watch_break (worker_t *worker, void *data)
{
  store_watch_t *watch = data;
  const store_watch_ops_t *ops = watch->ops;
  void *watch_data = watch->data;

  (void)worker;
  status_set (STATUS_UNAVAILABLE, "the watch broke");
  talloc_free (watch);
  ops->on_broken (STATUS_UNAVAILABLE, watch_data);
}

/* Begin or end an outage.  */
void
sim_store_set_down (bool is_down)
{
  store_watch_t *watch;

  the_store ()->is_down = is_down;
  if (!is_down)
    return;
  LIST_FOREACH (watch, &the_store ()->watches, link)
    worker_timer_start (watch->store->worker, watch,
                        sim_delay (STORE_SLOW_MAX_US), watch_break, watch);
}

/* Return whether the store is in an outage.  */
bool
sim_store_is_down (void)
{
  return the_store ()->is_down;
}

/* Choose whether calls are lost, before or after they took effect, or late. */
void
sim_store_set_faulty (bool is_faulty)
{
  the_store ()->is_faulty = is_faulty;
}

/* Return the value of KEY, or NULL, and when it was changed.  */
const char *
sim_store_read (const char *key, int64_t *revision)
{
  const record_t *record = records_find (the_store ()->records, key);

  *revision = record == NULL ? 0 : record->revision;
  return record == NULL ? NULL : record->value;
}

/* Write KEY if it was last changed at REVISION.  */
bool
sim_store_replace (const char *key, const char *value, int64_t revision)
{
  int64_t present;

  sim_store_read (key, &present);
  if (present != revision)
    return false;
  records_write (the_store ()->records, key, value);
  return true;
}
