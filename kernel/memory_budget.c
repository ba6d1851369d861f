#include "kernel/memory_state.h"

#include "kernel/counter.h"
#include "kernel/log.h"

#include <malloc.h>

enum
{
  /* Memory of a program without load.  Of the rest peers may use a half; the
     other one is for the program's tables, what the allocator cannot return
     (measured: a fifth of what is held) and holders to be dropped.  */
  PROGRAM_BYTES = 16 * 1024 * 1024,
  BUDGET_DIVISOR = 2,
  /* The least part of all memory, where there is little.  */
  MIN_BUDGET_DIVISOR = 4,
  /* Part of the budget that is kept for small holders.  */
  SMALL_PART_DIVISOR = 4,
  /* Holders to be dropped keep their memory until their worker runs.  It may
     exceed the limit by this part meanwhile.  */
  OVERSHOOT_DIVISOR = 8,
  /* Part of the descriptors for connections of peers.  The other half is for
     those to upstreams, as each request may need one, and for own use.  */
  CONNECTIONS_DIVISOR = 2,
  LOG_INTERVAL_MS = 1000
};

GAUGE_DEFINE (held_bytes, "siskin_memory_held_bytes", "Memory held for peers");
GAUGE_DEFINE (limit_bytes, "siskin_memory_limit_bytes",
              "Memory that may be held for peers");
GAUGE_DEFINE (open_connections, "siskin_connections",
              "Connections accepted and still open");
COUNTER_DEFINE_LABELLED (dropped_total, "siskin_memory_dropped_total",
                         "reason=\"total\"",
                         "Peers dropped to make room, by what ran short");
COUNTER_DEFINE_LABELLED (dropped_large, "siskin_memory_dropped_total",
                         "reason=\"large\"",
                         "Peers dropped to make room, by what ran short");
COUNTER_DEFINE_LABELLED (dropped_connections, "siskin_memory_dropped_total",
                         "reason=\"connections\"",
                         "Peers dropped to make room, by what ran short");
COUNTER_DEFINE_LABELLED (refused_total, "siskin_memory_refused_total",
                         "reason=\"total\"",
                         "Peers refused for lack of room, by what ran short");
COUNTER_DEFINE_LABELLED (refused_large, "siskin_memory_refused_total",
                         "reason=\"large\"",
                         "Peers refused for lack of room, by what ran short");
COUNTER_DEFINE_LABELLED (refused_connections, "siskin_memory_refused_total",
                         "reason=\"connections\"",
                         "Peers refused for lack of room, by what ran short");

static counter_t *const dropped_counters[MEMORY_REASON_COUNT] = {
  [MEMORY_REASON_TOTAL] = &dropped_total,
  [MEMORY_REASON_LARGE] = &dropped_large,
  [MEMORY_REASON_CONNECTIONS] = &dropped_connections,
};

static counter_t *const refused_counters[MEMORY_REASON_COUNT] = {
  [MEMORY_REASON_TOTAL] = &refused_total,
  [MEMORY_REASON_LARGE] = &refused_large,
  [MEMORY_REASON_CONNECTIONS] = &refused_connections,
};

/* Return the limits of a process that may use AVAILABLE_BYTES of memory and
   MAX_DESCRIPTORS.  */
memory_limits_t
memory_limits_for (size_t available_bytes, unsigned max_descriptors)
{
  size_t bytes = available_bytes / MIN_BUDGET_DIVISOR;

  if (available_bytes > PROGRAM_BYTES
      && (available_bytes - PROGRAM_BYTES) / BUDGET_DIVISOR > bytes)
    bytes = (available_bytes - PROGRAM_BYTES) / BUDGET_DIVISOR;
  return (memory_limits_t){
    .bytes = bytes,
    .connections = max_descriptors / CONNECTIONS_DIVISOR,
  };
}

/* Create a budget for WORKER_COUNT workers.  Returns NULL when memory is
   exhausted.  */
memory_budget_t *
memory_budget_create (TALLOC_CTX *parent, const clock_source_t *clock,
                      const memory_limits_t *limits, unsigned worker_count)
{
  memory_budget_t *budget = talloc_zero_size (
      parent, sizeof *budget + worker_count * sizeof budget->workers[0]);

  if (budget == NULL)
    return NULL;
  budget->clock = clock;
  budget->lock = lock_create (budget, LOCK_MEMORY, "memory");
  budget->limits = *limits;
  budget->large_limit = limits->bytes - limits->bytes / SMALL_PART_DIVISOR;
  for (unsigned i = 0; i < MEMORY_CLASS_COUNT; i++)
    TAILQ_INIT (&budget->waiting[i]);
  for (unsigned i = 0; i < worker_count; i++)
    {
      budget->workers[i].budget = budget;
      TAILQ_INIT (&budget->workers[i].chosen);
    }
  if (budget->lock == NULL)
    {
      talloc_free (budget);
      return NULL;
    }
  counter_set (&limit_bytes, (int64_t)limits->bytes);
  return budget;
}

/* Free BUDGET.  All holders must have ended.  */
void
memory_budget_destroy (memory_budget_t *budget)
{
  talloc_free (budget);
}

/* Return the part of worker INDEX, owned by BUDGET.  */
memory_worker_t *
memory_budget_worker (memory_budget_t *budget, unsigned index)
{
  return &budget->workers[index];
}

/* Set the function that makes WORKER call memory_worker_drop.  */
void
memory_worker_set_wake (memory_worker_t *worker, void (*wake) (void *data),
                        void *data)
{
  worker->wake = wake;
  worker->wake_data = data;
}

/* Return the bytes that are held now.  */
size_t
memory_budget_held (memory_budget_t *budget)
{
  size_t held;

  lock_acquire (budget->lock);
  held = budget->held;
  lock_release (budget->lock);
  return held;
}

/* After memory ran short, return what was freed to the system.  The allocator
   does so by itself only at the end of its heap.  */
void
memory_budget_trim (memory_budget_t *budget)
{
  bool is_due;

  lock_acquire (budget->lock);
  is_due = budget->needs_trim;
  budget->needs_trim = false;
  lock_release (budget->lock);
  if (is_due)
    malloc_trim (0);
}

static int64_t
budget_now_ms (const memory_budget_t *budget)
{
  return timespec_to_ms (clock_monotonic (budget->clock));
}

/* Add BYTES of a holder to what is HELD, of which LARGE_HELD are those of
   large ones.  */
static void
account_add (size_t bytes, size_t *held, size_t *large_held)
{
  *held += bytes;
  if (memory_is_large (bytes))
    *large_held += bytes;
}

static void
account_remove (size_t bytes, size_t *held, size_t *large_held)
{
  *held -= bytes;
  if (memory_is_large (bytes))
    *large_held -= bytes;
}

/* Change what HOLDER holds to BYTES.  */
static void
holder_set_held (memory_holder_t *holder, size_t bytes)
{
  memory_budget_t *budget = holder->owner->budget;
  bool changes_class
      = memory_size_class (bytes) != memory_size_class (holder->held);
  bool was_listed = holder->is_listed;

  if (changes_class)
    memory_holder_unlist (holder);
  account_remove (holder->held, &budget->held, &budget->large_held);
  account_add (bytes, &budget->held, &budget->large_held);
  if (holder->is_chosen)
    {
      account_remove (holder->held, &budget->leaving, &budget->large_leaving);
      account_add (bytes, &budget->leaving, &budget->large_leaving);
    }
  holder->held = bytes;
  if (changes_class && was_listed)
    memory_holder_list (holder);
  counter_set (&held_bytes, (int64_t)budget->held);
}

/* Have HOLDER dropped by its worker.  */
static void
budget_drop (memory_budget_t *budget, memory_holder_t *holder,
             memory_reason_t reason)
{
  memory_worker_t *worker = holder->owner;
  bool was_empty = TAILQ_EMPTY (&worker->chosen);

  memory_holder_unlist (holder);
  holder->is_chosen = true;
  holder->is_drop_pending = true;
  holder->reason = reason;
  account_add (holder->held, &budget->leaving, &budget->large_leaving);
  if (holder->is_connection)
    budget->connections_leaving++;
  TAILQ_INSERT_TAIL (&worker->chosen, holder, link);
  counter_add (dropped_counters[reason], 1);
  budget->dropped_count++;
  budget->needs_trim = true;
  if (was_empty && worker->wake != NULL)
    worker->wake (worker->wake_data);
}

/* Drop others so that HOLDER can hold BYTES.  Returns false if there is no
   room.  */
static bool
budget_make_room (memory_budget_t *budget, const memory_holder_t *holder,
                  size_t bytes, memory_reason_t *reason)
{
  int64_t now_ms = budget_now_ms (budget);
  memory_holder_t *chosen;

  for (;;)
    {
      size_t held = budget->held - budget->leaving;
      size_t large_held = budget->large_held - budget->large_leaving;

      account_remove (holder->held, &held, &large_held);
      account_add (bytes, &held, &large_held);
      if (held > budget->limits.bytes)
        *reason = MEMORY_REASON_TOTAL;
      else if (memory_is_large (bytes) && large_held > budget->large_limit)
        *reason = MEMORY_REASON_LARGE;
      else
        break;
      chosen = memory_budget_choose (budget, holder, *reason, now_ms);
      if (chosen == NULL)
        return false;
      budget_drop (budget, chosen, *reason);
    }
  return true;
}

/* Return whether HOLDER could hold BYTES before the holders that are to be
   dropped have released theirs.  */
static bool
budget_bears (const memory_budget_t *budget, const memory_holder_t *holder,
              size_t bytes)
{
  return budget->held - holder->held + bytes
         <= budget->limits.bytes + budget->limits.bytes / OVERSHOOT_DIVISOR;
}

/* Count a refusal.  */
static void
budget_count_refusal (memory_budget_t *budget, memory_reason_t reason)
{
  counter_add (refused_counters[reason], 1);
  budget->refused_count++;
  budget->needs_trim = true;
}

/* Release the lock, and log what was dropped and refused since the last log
   line unless that was a short time ago.  */
static void
budget_unlock (memory_budget_t *budget)
{
  memory_budget_t copy;
  bool is_due
      = budget->dropped_count + budget->refused_count > 0
        && budget_now_ms (budget) - budget->logged_ms >= LOG_INTERVAL_MS;

  if (is_due)
    {
      copy = *budget;
      budget->logged_ms = budget_now_ms (budget);
      budget->dropped_count = 0;
      budget->refused_count = 0;
    }
  lock_release (budget->lock);
  if (is_due)
    log_event (LOG_LEVEL_WARN, "memory-pressure",
               "held=%zu large=%zu limit=%zu connections=%u dropped=%u "
               "refused=%u",
               copy.held, copy.large_held, copy.limits.bytes, copy.connections,
               copy.dropped_count, copy.refused_count);
}

/* Return whether WORKER may accept another connection.  If there are as many
   as allowed, the one that is longest without progress is dropped.  */
bool
memory_admit_connection (memory_worker_t *worker)
{
  memory_budget_t *budget = worker == NULL ? NULL : worker->budget;
  memory_holder_t *chosen;
  unsigned limit;
  bool is_admitted = true;

  if (budget == NULL)
    return true;
  limit = budget->limits.connections;
  lock_acquire (budget->lock);
  if (budget->connections - budget->connections_leaving >= limit)
    {
      chosen = memory_budget_choose (budget, NULL, MEMORY_REASON_CONNECTIONS,
                                     budget_now_ms (budget));
      if (chosen != NULL)
        budget_drop (budget, chosen, MEMORY_REASON_CONNECTIONS);
      is_admitted = chosen != NULL
                    && budget->connections < limit + limit / OVERSHOOT_DIVISOR;
    }
  if (!is_admitted)
    budget_count_refusal (budget, MEMORY_REASON_CONNECTIONS);
  budget_unlock (budget);
  return is_admitted;
}

/* Start to count for HOLDER, which is zeroed, on WORKER.  It holds nothing and
   does not wait for its peer yet.  OPS may be NULL if it never does.  */
void
memory_holder_start (memory_holder_t *holder, memory_worker_t *worker,
                     const memory_holder_ops_t *ops)
{
  holder->owner = worker;
  holder->ops = ops;
  if (worker != NULL)
    holder->progressed_ms = budget_now_ms (worker->budget);
}

/* Start to count for HOLDER, a connection that waits for its peer.  */
void
memory_holder_start_connection (memory_holder_t *holder,
                                memory_worker_t *worker,
                                const memory_holder_ops_t *ops)
{
  memory_budget_t *budget;

  memory_holder_start (holder, worker, ops);
  if (worker == NULL)
    return;
  budget = worker->budget;
  lock_acquire (budget->lock);
  holder->is_connection = true;
  holder->is_waiting = true;
  budget->connections++;
  counter_set (&open_connections, budget->connections);
  memory_holder_list (holder);
  lock_release (budget->lock);
}

/* Release all that HOLDER holds, and forget it.  It may be started again.  */
void
memory_holder_end (memory_holder_t *holder)
{
  memory_budget_t *budget
      = holder->owner == NULL ? NULL : holder->owner->budget;

  if (budget == NULL)
    return;
  lock_acquire (budget->lock);
  holder_set_held (holder, 0);
  memory_holder_unlist (holder);
  if (holder->is_drop_pending)
    TAILQ_REMOVE (&holder->owner->chosen, holder, link);
  if (holder->is_connection)
    {
      budget->connections--;
      counter_set (&open_connections, budget->connections);
      if (holder->is_chosen)
        budget->connections_leaving--;
    }
  lock_release (budget->lock);
  *holder = (memory_holder_t){ .owner = NULL };
}

/* Set whether HOLDER waits for its peer.  */
void
memory_holder_set_waiting (memory_holder_t *holder, bool is_waiting)
{
  if (holder->owner == NULL || holder->is_waiting == is_waiting)
    return;
  lock_acquire (holder->owner->budget->lock);
  holder->is_waiting = is_waiting;
  if (is_waiting)
    memory_holder_list (holder);
  else
    memory_holder_unlist (holder);
  lock_release (holder->owner->budget->lock);
}

/* Record that the peer has made progress.  Takes no lock.  */
void
memory_holder_progress (memory_holder_t *holder)
{
  if (holder->owner != NULL)
    atomic_store_explicit (&holder->progressed_ms,
                           budget_now_ms (holder->owner->budget),
                           memory_order_relaxed);
}

/* Reserve BYTES more for HOLDER.  Returns false if there is no room.  */
bool
memory_reserve (memory_holder_t *holder, size_t bytes)
{
  return memory_set_held (holder, holder->held + bytes);
}

/* Count BYTES more for HOLDER.  */
void
memory_charge (memory_holder_t *holder, size_t bytes)
{
  memory_budget_t *budget
      = holder->owner == NULL ? NULL : holder->owner->budget;
  memory_reason_t reason;

  if (budget == NULL || bytes == 0)
    return;
  lock_acquire (budget->lock);
  budget_make_room (budget, holder, holder->held + bytes, &reason);
  holder_set_held (holder, holder->held + bytes);
  budget_unlock (budget);
}

/* Return what to account for BYTES, in steps of STEP_BYTES.  */
size_t
memory_round_up (size_t bytes, size_t uncharged_bytes, size_t step_bytes)
{
  if (bytes <= uncharged_bytes)
    return 0;
  return (bytes + step_bytes - 1) / step_bytes * step_bytes;
}

/* Change what HOLDER holds to BYTES.  Returns false if there is no room for
   more, or HOLDER is to be dropped.  */
bool
memory_set_held (memory_holder_t *holder, size_t bytes)
{
  memory_budget_t *budget
      = holder->owner == NULL ? NULL : holder->owner->budget;
  memory_reason_t reason = MEMORY_REASON_TOTAL;
  bool is_granted = true;

  if (budget == NULL || bytes == holder->held)
    return true;
  lock_acquire (budget->lock);
  if (bytes > holder->held)
    {
      is_granted = !holder->is_chosen && budget_bears (budget, holder, bytes)
                   && budget_make_room (budget, holder, bytes, &reason);
      if (!is_granted && !holder->is_chosen)
        budget_count_refusal (budget, reason);
    }
  if (is_granted)
    holder_set_held (holder, bytes);
  budget_unlock (budget);
  return is_granted;
}

/* Drop the holders of WORKER that were chosen.  Called on its thread.  */
void
memory_worker_drop (memory_worker_t *worker)
{
  memory_budget_t *budget = worker->budget;
  memory_holder_t *holder;

  for (;;)
    {
      lock_acquire (budget->lock);
      holder = TAILQ_FIRST (&worker->chosen);
      if (holder != NULL)
        {
          holder->is_drop_pending = false;
          TAILQ_REMOVE (&worker->chosen, holder, link);
        }
      lock_release (budget->lock);
      if (holder == NULL)
        return;
      holder->ops->drop (holder, holder->reason);
    }
}
