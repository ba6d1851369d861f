#include "kernel/pool.h"

#include "kernel/lock.h"
#include "kernel/worker.h"

struct pool
{
  const clock_source_t *clock;
  void *context; /* belongs to the loop implementation */
  unsigned worker_count;
  worker_t **workers;
};

/* Run the tasks posted to WORKER.  Called by the loop implementations.  */
void
worker_run_tasks (worker_t *worker)
{
  struct task_queue batch = STAILQ_HEAD_INITIALIZER (batch);
  task_t *task;

  lock_acquire (worker->task_lock);
  STAILQ_CONCAT (&batch, &worker->tasks);
  lock_release (worker->task_lock);
  while ((task = STAILQ_FIRST (&batch)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&batch, link);
      task->run (task, worker);
    }
}

/* Disarm TIMER and remove it from WORKER.  The owner still frees it.  */
static void
timer_detach (worker_t *worker, worker_timer_t *timer)
{
  LIST_REMOVE (timer, link);
  if (timer->event != NULL)
    worker->ops->disarm (timer);
  timer->worker = NULL;
}

static int
worker_free (worker_t *worker)
{
  worker_timer_t *timer;

  worker->is_closing = true;
  while ((timer = LIST_FIRST (&worker->timers)) != NULL)
    timer_detach (worker, timer);
  talloc_free (worker->events);
  worker->ops->destroy (worker);
  return 0;
}

static worker_t *
worker_create (pool_t *pool, unsigned index, const worker_ops_t *ops)
{
  worker_t *worker = talloc_zero (NULL, worker_t);

  if (worker == NULL)
    return NULL;
  worker->pool = pool;
  worker->index = index;
  worker->ops = ops;
  STAILQ_INIT (&worker->tasks);
  LIST_INIT (&worker->timers);
  worker->events = tevent_context_init (NULL);
  worker->task_lock = lock_create (worker, LOCK_TASKS, "tasks");
  talloc_set_destructor (worker, worker_free);
  if (worker->events == NULL || worker->task_lock == NULL
      || ops->create (worker) != STATUS_OK)
    {
      talloc_free (worker);
      return NULL;
    }
  return worker;
}

static int
pool_free (pool_t *pool)
{
  for (unsigned i = 0; i < pool->worker_count; i++)
    talloc_free (pool->workers[i]);
  return 0;
}

/* Create a pool whose event loops are implemented by OPS, which gets CONTEXT
   from pool_context.  On failure returns NULL and sets the status message.  */
pool_t *
pool_create_with_ops (TALLOC_CTX *parent, unsigned worker_count,
                      const clock_source_t *clock, const worker_ops_t *ops,
                      void *context)
{
  pool_t *pool = talloc_zero (parent, pool_t);

  if (pool == NULL)
    return NULL;
  pool->clock = clock;
  pool->context = context;
  pool->workers = talloc_zero_array (pool, worker_t *, worker_count);
  talloc_set_destructor (pool, pool_free);
  for (unsigned i = 0; i < worker_count; i++)
    {
      pool->workers[i] = worker_create (pool, i, ops);
      if (pool->workers[i] == NULL)
        {
          talloc_free (pool);
          status_set (STATUS_NO_MEMORY, "cannot create worker %u", i);
          return NULL;
        }
      pool->worker_count++;
    }
  return pool;
}

/* Create a pool of WORKER_COUNT workers that use CLOCK.  pool_start starts the
   threads; until then the caller may set up the workers' event loops.  On
   failure returns NULL and sets the status message.  */
pool_t *
pool_create (TALLOC_CTX *parent, unsigned worker_count,
             const clock_source_t *clock)
{
  return pool_create_with_ops (parent, worker_count, clock, &worker_thread_ops,
                               NULL);
}

/* Free POOL and its workers.  The threads must have been joined.  */
void
pool_destroy (pool_t *pool)
{
  talloc_free (pool);
}

/* Start the worker threads.  Returns STATUS_IO when a thread cannot be
   created.  */
status_t
pool_start (pool_t *pool)
{
  for (unsigned i = 0; i < pool->worker_count; i++)
    {
      worker_t *worker = pool->workers[i];
      status_t status = worker->ops->start (worker);

      if (status != STATUS_OK)
        return status;
    }
  return STATUS_OK;
}

/* Ask all workers to leave their event loops.  Tasks that have not run yet are
   dropped.  May be called from any thread.  */
void
pool_stop (pool_t *pool)
{
  for (unsigned i = 0; i < pool->worker_count; i++)
    pool->workers[i]->ops->stop (pool->workers[i]);
}

/* Wait until all workers have left their event loops.  */
void
pool_join (pool_t *pool)
{
  for (unsigned i = 0; i < pool->worker_count; i++)
    pool->workers[i]->ops->join (pool->workers[i]);
}

/* Return the context that was passed to pool_create_with_ops.  */
void *
pool_context (const pool_t *pool)
{
  return pool->context;
}

/* Return the number of workers.  */
unsigned
pool_worker_count (const pool_t *pool)
{
  return pool->worker_count;
}

/* Return worker INDEX, counted from 0.  */
worker_t *
pool_worker (pool_t *pool, unsigned index)
{
  return pool->workers[index];
}

/* Return the worker's index in its pool, counted from 0.  */
unsigned
worker_index (const worker_t *worker)
{
  return worker->index;
}

/* Return the pool that WORKER belongs to.  */
pool_t *
worker_pool (const worker_t *worker)
{
  return worker->pool;
}

/* Return the worker's event loop.  Use it only on the worker's own thread.  */
struct tevent_context *
worker_events (const worker_t *worker)
{
  return worker->events;
}

/* Return the clock to use for decisions on WORKER.  */
const clock_source_t *
worker_clock (const worker_t *worker)
{
  return worker->pool->clock;
}

static void
worker_handle_drop (task_t *task, worker_t *worker)
{
  (void)task;
  atomic_store (&worker->is_drop_posted, false);
  memory_worker_drop (worker->memory);
}

/* Called by the budget when there are holders to be dropped.  */
static void
worker_post_drop (void *data)
{
  worker_t *worker = data;

  if (!atomic_exchange (&worker->is_drop_posted, true))
    worker_post (worker, &worker->drop_task);
}

/* Count what POOL's workers hold for peers in BUDGET.  */
void
pool_set_memory_budget (pool_t *pool, memory_budget_t *budget)
{
  for (unsigned i = 0; i < pool->worker_count; i++)
    {
      worker_t *worker = pool->workers[i];

      worker->memory = memory_budget_worker (budget, i);
      worker->drop_task.run = worker_handle_drop;
      memory_worker_set_wake (worker->memory, worker_post_drop, worker);
    }
}

/* Return the worker's part of the memory budget, NULL if there is none.  */
memory_worker_t *
worker_memory (const worker_t *worker)
{
  return worker->memory;
}

/* Queue TASK, which WORKER runs on its own thread.  TASK must not be queued
   already.  May be called from any thread; tasks that one thread posts run in
   that order.  */
void
worker_post (worker_t *worker, task_t *task)
{
  bool was_empty;

  lock_acquire (worker->task_lock);
  was_empty = STAILQ_EMPTY (&worker->tasks);
  STAILQ_INSERT_TAIL (&worker->tasks, task, link);
  lock_release (worker->task_lock);
  if (was_empty)
    worker->ops->wake (worker);
}

/* Free TIMER, which has expired, and run its handler.  Called by the loop
   implementations.  */
void
worker_timer_fire (worker_timer_t *timer)
{
  worker_handler_t handler = timer->handler;
  worker_t *worker = timer->worker;
  void *data = timer->data;

  talloc_free (timer);
  handler (worker, data);
}

static int
timer_free (worker_timer_t *timer)
{
  if (timer->worker != NULL)
    timer_detach (timer->worker, timer);
  return 0;
}

/* Run HANDLER once on WORKER after DELAY.  Must be called on WORKER's own
   thread.  OWNER is the talloc parent of the timer.  Freeing the timer,
   directly or with OWNER, cancels it.  The timer is freed automatically just
   before HANDLER runs.  No timer fires while the loop is being freed,
   including those started during that time.  Returns NULL when memory is
   exhausted.  */
worker_timer_t *
worker_timer_start (worker_t *worker, TALLOC_CTX *owner, struct timespec delay,
                    worker_handler_t handler, void *data)
{
  worker_timer_t *timer = talloc_zero (owner, worker_timer_t);

  if (timer == NULL)
    return NULL;
  timer->handler = handler;
  timer->data = data;
  if (worker->is_closing)
    return timer;
  timer->worker = worker;
  LIST_INSERT_HEAD (&worker->timers, timer, link);
  talloc_set_destructor (timer, timer_free);
  worker->ops->arm (timer, delay);
  return timer;
}

/* Run the event loop of WORKER, whose thread must not have been started, on
   the calling thread until a callback sets *IS_DONE.  For programs that
   perform a single operation.  */
void
worker_run_until (worker_t *worker, const bool *is_done)
{
  worker->ops->run_until (worker, is_done);
}
