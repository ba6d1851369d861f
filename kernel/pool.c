#include "kernel/pool.h"

#include "kernel/lock.h"

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

STAILQ_HEAD (task_queue, task);

/* Each worker owns one talloc tree and one event loop; other threads reach it
   only through its task queue.  */
struct worker
{
  pool_t *pool;
  unsigned index;
  pthread_t thread;
  bool is_started;
  struct tevent_context *events;
  struct tevent_fd *wakeup_event;
  int wakeup_fd;
  lock_t *task_lock;
  struct task_queue tasks;
  LIST_HEAD (, worker_timer) timers;
  atomic_bool is_stopping;
};

/* A one-shot timer.  */
struct worker_timer
{
  LIST_ENTRY (worker_timer) link;
  worker_t *worker;
  struct tevent_timer *event;
  worker_handler_t handler;
  void *data;
};

struct pool
{
  const clock_source_t *clock;
  unsigned worker_count;
  worker_t **workers;
};

static void
worker_take_tasks (worker_t *worker, struct task_queue *taken)
{
  STAILQ_INIT (taken);
  lock_acquire (worker->task_lock);
  STAILQ_CONCAT (taken, &worker->tasks);
  lock_release (worker->task_lock);
}

static void
worker_handle_wakeup (struct tevent_context *events, struct tevent_fd *event,
                      uint16_t flags, void *data)
{
  worker_t *worker = data;
  struct task_queue taken;
  uint64_t posted;
  task_t *task;

  (void)events;
  (void)event;
  (void)flags;
  if (read (worker->wakeup_fd, &posted, sizeof posted) < 0)
    return;
  worker_take_tasks (worker, &taken);
  while ((task = STAILQ_FIRST (&taken)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&taken, link);
      task->run (task, worker);
    }
}

static void *
worker_main (void *data)
{
  worker_t *worker = data;

  while (!atomic_load (&worker->is_stopping))
    {
      if (tevent_loop_once (worker->events) != 0)
        break;
    }
  return NULL;
}

static void
worker_wake (worker_t *worker)
{
  uint64_t one = 1;
  ssize_t written;

  do
    written = write (worker->wakeup_fd, &one, sizeof one);
  while (written < 0 && errno == EINTR);
}

static int
worker_free (worker_t *worker)
{
  worker_timer_t *timer;

  /* Timers may belong to objects that the loop's memory holds.  */
  while ((timer = LIST_FIRST (&worker->timers)) != NULL)
    talloc_free (timer);
  talloc_free (worker->events);
  if (worker->wakeup_fd >= 0)
    close (worker->wakeup_fd);
  return 0;
}

static worker_t *
worker_create (pool_t *pool, unsigned index)
{
  worker_t *worker = talloc_zero (NULL, worker_t);

  if (worker == NULL)
    return NULL;
  worker->pool = pool;
  worker->index = index;
  STAILQ_INIT (&worker->tasks);
  LIST_INIT (&worker->timers);
  worker->wakeup_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  worker->events = tevent_context_init (NULL);
  worker->task_lock = lock_create (worker, LOCK_TASKS, "tasks");
  talloc_set_destructor (worker, worker_free);
  if (worker->wakeup_fd < 0 || worker->events == NULL
      || worker->task_lock == NULL)
    {
      talloc_free (worker);
      return NULL;
    }
  worker->wakeup_event
      = tevent_add_fd (worker->events, worker->events, worker->wakeup_fd,
                       TEVENT_FD_READ, worker_handle_wakeup, worker);
  return worker;
}

static int
pool_free (pool_t *pool)
{
  for (unsigned i = 0; i < pool->worker_count; i++)
    talloc_free (pool->workers[i]);
  return 0;
}

/* Create a pool of WORKER_COUNT workers that read CLOCK.  The threads start
   with pool_start; until then the caller may set up the workers' loops.
   Returns NULL with the status message set.  */
pool_t *
pool_create (TALLOC_CTX *parent, unsigned worker_count,
             const clock_source_t *clock)
{
  pool_t *pool = talloc_zero (parent, pool_t);

  if (pool == NULL)
    return NULL;
  pool->clock = clock;
  pool->workers = talloc_zero_array (pool, worker_t *, worker_count);
  talloc_set_destructor (pool, pool_free);
  for (unsigned i = 0; i < worker_count; i++)
    {
      pool->workers[i] = worker_create (pool, i);
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

/* Free POOL and its workers' loops.  The threads must have been joined.  */
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
      int error = pthread_create (&worker->thread, NULL, worker_main, worker);

      if (error != 0)
        return status_set (STATUS_IO, "cannot start worker: %s",
                           strerror (error));
      worker->is_started = true;
    }
  return STATUS_OK;
}

/* Ask all workers to leave their loops.  Returns at once; callable from any
   thread.  */
void
pool_stop (pool_t *pool)
{
  for (unsigned i = 0; i < pool->worker_count; i++)
    {
      atomic_store (&pool->workers[i]->is_stopping, true);
      worker_wake (pool->workers[i]);
    }
}

/* Wait until all workers have left their loops.  */
void
pool_join (pool_t *pool)
{
  for (unsigned i = 0; i < pool->worker_count; i++)
    {
      if (!pool->workers[i]->is_started)
        continue;
      pthread_join (pool->workers[i]->thread, NULL);
      pool->workers[i]->is_started = false;
    }
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

/* Return the worker's place in its pool, from 0.  */
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

/* Return the worker's event loop, to be used on its own thread only.  */
struct tevent_context *
worker_events (const worker_t *worker)
{
  return worker->events;
}

/* Return the clock that the worker's decisions use.  */
const clock_source_t *
worker_clock (const worker_t *worker)
{
  return worker->pool->clock;
}

/* Have WORKER run TASK on its own thread.  Callable from any thread; tasks of
   one sender run in the order posted.  */
void
worker_post (worker_t *worker, task_t *task)
{
  bool was_empty;

  lock_acquire (worker->task_lock);
  was_empty = STAILQ_EMPTY (&worker->tasks);
  STAILQ_INSERT_TAIL (&worker->tasks, task, link);
  lock_release (worker->task_lock);
  if (was_empty)
    worker_wake (worker);
}

static void
timer_fire (struct tevent_context *events, struct tevent_timer *event,
            struct timeval now, void *data)
{
  worker_timer_t *timer = data;
  worker_handler_t handler = timer->handler;
  worker_t *worker = timer->worker;
  void *handler_data = timer->data;

  (void)events;
  (void)event;
  (void)now;
  timer->event = NULL; /* tevent frees it */
  talloc_free (timer);
  handler (worker, handler_data);
}

static int
timer_free (worker_timer_t *timer)
{
  LIST_REMOVE (timer, link);
  TALLOC_FREE (timer->event);
  return 0;
}

/* Have WORKER, whose thread this is, run HANDLER once after DELAY.  The timer
   belongs to OWNER; freeing it cancels it, and it is freed just before HANDLER
   runs.  Returns NULL when memory is exhausted.  */
worker_timer_t *
worker_timer_start (worker_t *worker, TALLOC_CTX *owner, struct timespec delay,
                    worker_handler_t handler, void *data)
{
  worker_timer_t *timer = talloc_zero (owner, worker_timer_t);
  struct timeval wait = timespec_to_timeval (delay);

  if (timer == NULL)
    return NULL;
  timer->worker = worker;
  timer->handler = handler;
  timer->data = data;
  timer->event
      = tevent_add_timer (worker->events, worker->events,
                          tevent_timeval_current_ofs ((uint32_t)wait.tv_sec,
                                                      (uint32_t)wait.tv_usec),
                          timer_fire, timer);
  LIST_INSERT_HEAD (&worker->timers, timer, link);
  talloc_set_destructor (timer, timer_free);
  return timer;
}

/* Run the loop of a WORKER whose thread was not started, on the calling
   thread, until a callback sets *IS_DONE.  For programs that do one thing.  */
void
worker_run_until (worker_t *worker, const bool *is_done)
{
  while (!*is_done)
    {
      if (tevent_loop_once (worker->events) != 0)
        break;
    }
}
