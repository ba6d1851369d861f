#include "sim.h"

#include "kernel/plugin.h"
#include "records.h"

#include <string.h>

enum
{
  STORE_DELAY_MAX_US = 2500, /* one way */
  STORE_REFUSAL_DELAY_MAX_US = 500,
  STORE_SLOW_DELAY_MAX_US = 1800 * 1000,
  STORE_SLOW_PERCENT = 10, /* of requests, while faulty */
  /* Percentage of the calls started while the store is unreachable that fail
     at once without being sent.  The others are sent, but are lost if the
     store is still unreachable when they arrive.  */
  STORE_REFUSAL_PERCENT = 50,
  STORE_LOSS_PERCENT = 12, /* of requests and of replies, while faulty */
  STORE_PROGRESS_INTERVAL_MS = 1000,
  /* Between events of a watch.  More than the maximum lateness of a timer, so
     that events stay in order.  */
  WATCH_MIN_INTERVAL_MS = 1
};

typedef struct sim_store
{
  records_t *records;
  bool is_down;
  bool is_faulty; /* calls may be lost or slow */
  LIST_HEAD (, store_watch) watches;
} sim_store_t;

/* The store client of a process.  */
struct store
{
  worker_t *worker;
  sim_process_t *process;
  struct timespec timeout;
};

typedef struct store_request store_request_t;

/* The client's side of a call; freed with the client.  */
typedef struct pending_call
{
  store_t *store;
  store_request_t *request; /* NULL after it was executed or lost */
  store_done_t done;
  void *data;
  status_t status;
  store_result_t *result;
} pending_call_t;

/* A call in transit to the store, which may outlive its client.  */
struct store_request
{
  pending_call_t *pending; /* NULL once the client is gone */
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
  struct timespec last_delivery_at; /* of the latest event */
};

/* A change of a watched key on its way to the client.  */
typedef struct watch_event
{
  store_watch_t *watch;
  store_entry_t entry;
} watch_event_t;

static sim_store_t *
current_store (void)
{
  return sim_current->store;
}

static bool
store_is_reachable (const sim_process_t *process)
{
  return !current_store ()->is_down && !process->is_store_unreachable;
}

static void
watch_deliver (worker_t *worker, void *data)
{
  watch_event_t *event = data;
  store_watch_t *watch = event->watch;

  (void)worker;
  talloc_steal (NULL, event); /* the callback may end the watch */
  if (store_is_reachable (watch->store->process))
    watch->ops->on_change (&event->entry, watch->data);
  talloc_free (event);
}

/* Return the delay of the next event of WATCH.  Events are delivered in
   order.  */
static struct timespec
watch_delay (store_watch_t *watch)
{
  struct timespec at
      = timespec_add (sim_now (), sim_random_delay (STORE_DELAY_MAX_US));
  struct timespec earliest = timespec_add (
      watch->last_delivery_at, timespec_from_ms (WATCH_MIN_INTERVAL_MS));

  watch->last_delivery_at
      = timespec_compare (at, earliest) > 0 ? at : earliest;
  return timespec_subtract (watch->last_delivery_at, sim_now ());
}

/* Send the current state of RECORD to the client of WATCH.  */
static void
watch_send (store_watch_t *watch, const record_t *record, bool is_deleted)
{
  watch_event_t *event = talloc_zero (watch, watch_event_t);

  event->watch = watch;
  event->entry.key = talloc_strdup (event, record->key);
  event->entry.mod_revision = record->revision;
  if (!is_deleted)
    event->entry.value = talloc_strdup (event, record_visible_value (record));
  worker_timer_start (watch->store->worker, event, watch_delay (watch),
                      watch_deliver, event);
}

static void
store_notify (const record_t *record, bool is_deleted)
{
  store_watch_t *watch;

  LIST_FOREACH (watch, &current_store ()->watches, link)
    {
      if (strcmp (watch->key, record->key) == 0)
        watch_send (watch, record, is_deleted);
    }
}

static store_t *
fake_store_create (worker_t *worker, const store_options_t *options)
{
  store_t *store = talloc_zero (worker_events (worker), store_t);

  store->worker = worker;
  store->process = sim_process_of_worker (worker);
  store->timeout = options->timeout;
  return store;
}

static void
fake_store_destroy (store_t *store)
{
  talloc_free (store);
}

static void
pending_finish (worker_t *worker, void *data)
{
  pending_call_t *pending = data;

  (void)worker;
  if (pending->status != STATUS_OK)
    status_set (pending->status, "the store did not respond");
  pending->done (pending->status, pending->result, pending->data);
  talloc_free (pending);
}

/* The call times out unless its reply is already on its way.  */
static void
pending_time_out (worker_t *worker, void *data)
{
  pending_call_t *pending = data;

  if (pending->result != NULL)
    return;
  pending->status = STATUS_TIMEOUT;
  pending_finish (worker, pending);
}

static int
pending_free (pending_call_t *pending)
{
  if (pending->request != NULL)
    pending->request->pending = NULL;
  return 0;
}

/* Fail PENDING with a status that means that no byte was sent.  */
static void
pending_refuse (pending_call_t *pending)
{
  pending->status = STATUS_UNAVAILABLE;
  worker_timer_start (pending->store->worker, pending,
                      sim_random_delay (STORE_REFUSAL_DELAY_MAX_US),
                      pending_finish, pending);
}

/* The request reaches the store.  A faulty store loses requests before they
   take effect and replies after it.  */
static void
request_arrive (worker_t *worker, void *data)
{
  store_request_t *request = data;
  pending_call_t *pending = request->pending;
  sim_store_t *store = current_store ();
  store_result_t *result;
  bool is_lost = !store_is_reachable (request->process)
                 || (store->is_faulty && sim_chance (STORE_LOSS_PERCENT));

  (void)worker;
  if (!is_lost)
    {
      result = records_apply (request, store->records, request->txn);
      is_lost = store->is_faulty && sim_chance (STORE_LOSS_PERCENT);
      if (!is_lost && pending != NULL)
        {
          pending->result = talloc_move (pending, &result);
          worker_timer_start (pending->store->worker, pending,
                              sim_random_delay (STORE_DELAY_MAX_US),
                              pending_finish, pending);
        }
    }
  if (pending != NULL)
    pending->request = NULL;
  talloc_free (request);
}

static status_t
fake_store_transact (store_t *store, const store_txn_t *txn, store_done_t done,
                     void *data)
{
  pending_call_t *pending = talloc_zero (store, pending_call_t);
  store_request_t *request;
  bool is_slow
      = current_store ()->is_faulty && sim_chance (STORE_SLOW_PERCENT);

  pending->store = store;
  pending->done = done;
  pending->data = data;
  if (!store_is_reachable (store->process)
      && sim_chance (STORE_REFUSAL_PERCENT))
    {
      pending_refuse (pending);
      return STATUS_OK;
    }
  request = talloc_zero (current_store (), store_request_t);
  pending->request = request;
  talloc_set_destructor (pending, pending_free);
  request->pending = pending;
  request->process = store->process;
  request->txn = records_copy_txn (request, txn);
  sim_schedule (request,
                sim_random_delay (is_slow ? STORE_SLOW_DELAY_MAX_US
                                          : STORE_DELAY_MAX_US),
                request_arrive, request);
  worker_timer_start (store->worker, pending, store->timeout, pending_time_out,
                      pending);
  return STATUS_OK;
}

static status_t
fake_store_grant (store_t *store, struct timespec duration,
                  store_lease_done_t done, void *data)
{
  (void)store;
  (void)duration;
  (void)done;
  (void)data;
  return status_set (STATUS_UNAVAILABLE,
                     "the simulated store does not support leases");
}

static status_t
fake_store_keep_alive (store_t *store, int64_t lease, store_lease_done_t done,
                       void *data)
{
  (void)lease;
  return fake_store_grant (store, timespec_from_ms (0), done, data);
}

static int
watch_free (store_watch_t *watch)
{
  LIST_REMOVE (watch, link);
  return 0;
}

/* Report progress of the watch at regular intervals.  */
static void
watch_progress (worker_t *worker, void *data)
{
  store_watch_t *watch = data;

  worker_timer_start (worker, watch,
                      timespec_from_ms (STORE_PROGRESS_INTERVAL_MS),
                      watch_progress, watch);
  if (store_is_reachable (watch->store->process))
    watch->ops->on_progress (watch->data);
}

static store_watch_t *
fake_store_watch (store_t *store, const char *key, int64_t start_revision,
                  const store_watch_ops_t *ops, void *data)
{
  store_watch_t *watch = talloc_zero (store, store_watch_t);
  const record_t *record = records_find (current_store ()->records, key);

  watch->store = store;
  watch->ops = ops;
  watch->data = data;
  watch->key = talloc_strdup (watch, key);
  LIST_INSERT_HEAD (&current_store ()->watches, watch, link);
  talloc_set_destructor (watch, watch_free);
  worker_timer_start (store->worker, watch,
                      sim_random_delay (STORE_DELAY_MAX_US), watch_progress,
                      watch);
  if (start_revision > 0 && record != NULL
      && record->revision >= start_revision)
    watch_send (watch, record, false);
  return watch;
}

static void
fake_store_unwatch (store_watch_t *watch)
{
  talloc_free (watch);
}

static const store_ops_t fake_store_ops = {
  .create = fake_store_create,
  .destroy = fake_store_destroy,
  .transact = fake_store_transact,
  .grant = fake_store_grant,
  .keep_alive = fake_store_keep_alive,
  .watch = fake_store_watch,
  .unwatch = fake_store_unwatch,
};

PLUGIN_REGISTER (etcd, PLUGIN_STORE, "etcd",
                 "simulated in-memory store with faults", &fake_store_ops);

/* Create the store of the current simulation.  */
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
  status_set (STATUS_UNAVAILABLE, "the connection of the watch was lost");
  talloc_free (watch);
  ops->on_broken (STATUS_UNAVAILABLE, watch_data);
}

/* Begin or end an outage.  At its begin all watches fail, each after a random
   delay.  */
void
sim_store_set_down (bool is_down)
{
  store_watch_t *watch;

  current_store ()->is_down = is_down;
  if (!is_down)
    return;
  LIST_FOREACH (watch, &current_store ()->watches, link)
    worker_timer_start (watch->store->worker, watch,
                        sim_random_delay (STORE_SLOW_DELAY_MAX_US),
                        watch_break, watch);
}

/* Return whether the store is in an outage.  */
bool
sim_store_is_down (void)
{
  return current_store ()->is_down;
}

/* Set whether some calls are slow, or lost before or after they take
   effect.  */
void
sim_store_set_faulty (bool is_faulty)
{
  current_store ()->is_faulty = is_faulty;
}

/* Return the value of KEY, or NULL if it does not exist.  *REVISION is set to
   the revision of its last change, 0 if it does not exist.  */
const char *
sim_store_read (const char *key, int64_t *revision)
{
  const record_t *record = records_find (current_store ()->records, key);

  *revision = record == NULL ? 0 : record->revision;
  return record == NULL ? NULL : record->value;
}

/* Set KEY to VALUE if its last change was at REVISION, 0 meaning that it must
   not exist.  Return whether it was written.  */
bool
sim_store_write_if_unchanged (const char *key, const char *value,
                              int64_t revision)
{
  int64_t current_revision;

  sim_store_read (key, &current_revision);
  if (current_revision != revision)
    return false;
  records_write (current_store ()->records, key, value);
  return true;
}
