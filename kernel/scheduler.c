#include "kernel/scheduler.h"

#include "kernel/worker.h"

#include <sys/queue.h>

enum
{
  TASK_DELAY_MAX_US = 60,
  TIMER_DELAY_MAX_US = 800 /* beyond the time asked for */
};

typedef struct event event_t;

/* A timer of a worker, or its waking for tasks.  */
struct event
{
  TAILQ_ENTRY (event) link;
  struct timespec at;
  worker_t *worker;
  worker_timer_t *timer; /* NULL: run the posted tasks */
};

/* A pool whose events wait.  */
typedef struct frozen
{
  LIST_ENTRY (frozen) link;
  const pool_t *pool;
} frozen_t;

struct scheduler
{
  clock_source_t *clock;
  uint64_t state;
  TAILQ_HEAD (event_list, event) events; /* by time */
  LIST_HEAD (, frozen) frozen;
};

/* Create a scheduler that moves CLOCK, a virtual one, and draws from SEED.  */
scheduler_t *
scheduler_create (TALLOC_CTX *parent, clock_source_t *clock, uint64_t seed)
{
  scheduler_t *scheduler = talloc_zero (parent, scheduler_t);

  if (scheduler == NULL)
    return NULL;
  scheduler->clock = clock;
  scheduler->state = seed * 2 + 1;
  TAILQ_INIT (&scheduler->events);
  LIST_INIT (&scheduler->frozen);
  return scheduler;
}

/* Free SCHEDULER; its pools must be gone.  */
void
scheduler_destroy (scheduler_t *scheduler)
{
  talloc_free (scheduler);
}

/* Return a number below BOUND, by xorshift64*.  */
uint64_t
scheduler_random (scheduler_t *scheduler, uint64_t bound)
{
  uint64_t value = scheduler->state;

  value ^= value >> 12;
  value ^= value << 25;
  value ^= value >> 27;
  scheduler->state = value;
  return (value * 0x2545f4914f6cdd1d >> 16) % bound;
}

static void
scheduler_insert (scheduler_t *scheduler, event_t *event)
{
  event_t *later;

  TAILQ_FOREACH_REVERSE (later, &scheduler->events, event_list, link)
  {
    if (timespec_compare (later->at, event->at) <= 0)
      break;
  }
  if (later == NULL)
    TAILQ_INSERT_HEAD (&scheduler->events, event, link);
  else
    TAILQ_INSERT_AFTER (&scheduler->events, later, event, link);
}

static event_t *
scheduler_add (scheduler_t *scheduler, worker_t *worker, worker_timer_t *timer,
               struct timespec delay)
{
  event_t *event = talloc_zero (worker, event_t);

  event->worker = worker;
  event->timer = timer;
  event->at = timespec_add (clock_monotonic (scheduler->clock), delay);
  scheduler_insert (scheduler, event);
  return event;
}

static void
scheduler_remove (scheduler_t *scheduler, event_t *event)
{
  TAILQ_REMOVE (&scheduler->events, event, link);
  talloc_free (event);
}

static scheduler_t *
scheduler_of (const worker_t *worker)
{
  return pool_context (worker->pool);
}

static status_t
virtual_create (worker_t *worker)
{
  (void)worker;
  return STATUS_OK;
}

static void
virtual_destroy (worker_t *worker)
{
  if (worker->loop != NULL)
    scheduler_remove (scheduler_of (worker), worker->loop);
}

static status_t
virtual_start (worker_t *worker)
{
  (void)worker;
  return STATUS_OK;
}

static void
virtual_stop (worker_t *worker)
{
  (void)worker;
}

/* The loop's own datum is the event that will run the tasks.  */
static void
virtual_wake (worker_t *worker)
{
  scheduler_t *scheduler = scheduler_of (worker);
  uint64_t delay_us = scheduler_random (scheduler, TASK_DELAY_MAX_US);

  if (worker->loop == NULL)
    worker->loop = scheduler_add (scheduler, worker, NULL,
                                  timespec_from_us ((int64_t)delay_us));
}

static void
virtual_arm (worker_timer_t *timer, struct timespec delay)
{
  scheduler_t *scheduler = scheduler_of (timer->worker);
  uint64_t late_us = scheduler_random (scheduler, timespec_to_us (delay) == 0
                                                      ? TASK_DELAY_MAX_US
                                                      : TIMER_DELAY_MAX_US);

  timer->event = scheduler_add (
      scheduler, timer->worker, timer,
      timespec_add (delay, timespec_from_us ((int64_t)late_us)));
}

static void
virtual_disarm (worker_timer_t *timer)
{
  scheduler_remove (scheduler_of (timer->worker), timer->event);
}

static void
virtual_run_until (worker_t *worker, const bool *is_done)
{
  while (!*is_done && scheduler_step (scheduler_of (worker)))
    continue;
}

static const worker_ops_t virtual_ops = {
  .create = virtual_create,
  .destroy = virtual_destroy,
  .start = virtual_start,
  .stop = virtual_stop,
  .join = virtual_stop,
  .wake = virtual_wake,
  .arm = virtual_arm,
  .disarm = virtual_disarm,
  .run_until = virtual_run_until,
};

/* Create a pool whose tasks and timers are run by SCHEDULER.  */
pool_t *
scheduler_create_pool (scheduler_t *scheduler, TALLOC_CTX *parent,
                       unsigned worker_count)
{
  return pool_create_with_ops (parent, worker_count, scheduler->clock,
                               &virtual_ops, scheduler);
}

static frozen_t *
scheduler_find_frozen (const scheduler_t *scheduler, const pool_t *pool)
{
  frozen_t *frozen;

  LIST_FOREACH (frozen, &scheduler->frozen, link)
    {
      if (frozen->pool == pool)
        return frozen;
    }
  return NULL;
}

/* Let nothing of POOL run until scheduler_thaw, like a process that is paused
   while time passes.  */
void
scheduler_freeze (scheduler_t *scheduler, pool_t *pool)
{
  frozen_t *frozen;

  if (scheduler_find_frozen (scheduler, pool) != NULL)
    return;
  frozen = talloc_zero (scheduler, frozen_t);
  frozen->pool = pool;
  LIST_INSERT_HEAD (&scheduler->frozen, frozen, link);
}

/* Let POOL run again; what has become due meanwhile runs first.  */
void
scheduler_thaw (scheduler_t *scheduler, pool_t *pool)
{
  frozen_t *frozen = scheduler_find_frozen (scheduler, pool);

  if (frozen == NULL)
    return;
  LIST_REMOVE (frozen, link);
  talloc_free (frozen);
}

static event_t *
scheduler_next (const scheduler_t *scheduler)
{
  event_t *event;

  TAILQ_FOREACH (event, &scheduler->events, link)
    {
      if (scheduler_find_frozen (scheduler, event->worker->pool) == NULL)
        return event;
    }
  return NULL;
}

static void
scheduler_advance (scheduler_t *scheduler, struct timespec to)
{
  struct timespec now = clock_monotonic (scheduler->clock);

  if (timespec_compare (to, now) > 0)
    clock_advance (scheduler->clock, timespec_subtract (to, now));
}

static void
scheduler_run (scheduler_t *scheduler, event_t *event)
{
  worker_t *worker = event->worker;
  worker_timer_t *timer = event->timer;

  scheduler_advance (scheduler, event->at);
  scheduler_remove (scheduler, event);
  if (timer == NULL)
    {
      worker->loop = NULL;
      worker_run_tasks (worker);
      return;
    }
  timer->event = NULL;
  worker_timer_fire (timer);
}

/* Move the clock to the next event and run it.  Returns false when there is
   none.  */
bool
scheduler_step (scheduler_t *scheduler)
{
  event_t *event = scheduler_next (scheduler);

  if (event == NULL)
    return false;
  scheduler_run (scheduler, event);
  return true;
}

/* Run all events of the next DURATION.  */
void
scheduler_run_for (scheduler_t *scheduler, struct timespec duration)
{
  struct timespec end
      = timespec_add (clock_monotonic (scheduler->clock), duration);
  event_t *event;

  while ((event = scheduler_next (scheduler)) != NULL
         && timespec_compare (event->at, end) <= 0)
    scheduler_run (scheduler, event);
  scheduler_advance (scheduler, end);
}
