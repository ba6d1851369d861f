#ifndef SISKIN_KERNEL_WORKER_H
#define SISKIN_KERNEL_WORKER_H

#include "kernel/lock.h"
#include "kernel/pool.h"

/* Interface between a pool and the implementations of its event loops.  */

STAILQ_HEAD (task_queue, task);

/* An implementation of a worker's event loop.  */
typedef struct worker_ops
{
  status_t (*create) (worker_t *worker);
  void (*destroy) (worker_t *worker);
  status_t (*start) (worker_t *worker);
  void (*stop) (worker_t *worker);
  void (*join) (worker_t *worker);
  /* Make the loop call worker_run_tasks on the worker's thread.
     Thread-safe.  */
  void (*wake) (worker_t *worker);
  /* Make the loop call worker_timer_fire once, after DELAY.  */
  void (*arm) (worker_timer_t *timer, struct timespec delay);
  void (*disarm) (worker_timer_t *timer);
  /* Run the loop on the calling thread until *IS_DONE is set.  */
  void (*run_until) (worker_t *worker, const bool *is_done);
} worker_ops_t;

/* Each worker owns one talloc tree and one event loop; other threads reach it
   only through its task queue.  */
struct worker
{
  pool_t *pool;
  unsigned index;
  const worker_ops_t *ops;
  void *loop_state; /* private to the implementation */
  struct tevent_context *events;
  lock_t *task_lock;
  struct task_queue tasks;
  LIST_HEAD (, worker_timer) timers;
  memory_worker_t *memory; /* NULL for none */
  task_t drop_task;        /* drops holders of memory */
  atomic_bool is_drop_posted;
  bool is_closing; /* the loop is being freed; timers are not armed */
};

/* A one-shot timer.  */
struct worker_timer
{
  LIST_ENTRY (worker_timer) link;
  /* NULL after the worker's loop was freed.  The timer then never fires; its
     memory still belongs to the talloc parent given at its start.  */
  worker_t *worker;
  void *event; /* private to the implementation; NULL if not armed */
  worker_handler_t handler;
  void *data;
};

/* Event loops that run on threads of their own.  */
extern const worker_ops_t worker_thread_ops;

/* Create a pool with the event loops of OPS.  pool_context returns CONTEXT,
   the data that the implementation shares among its workers.  */
pool_t *pool_create_with_ops (TALLOC_CTX *parent, unsigned worker_count,
                              const clock_source_t *clock,
                              const worker_ops_t *ops, void *context);
void *pool_context (const pool_t *pool);
void worker_run_tasks (worker_t *worker);
void worker_timer_fire (worker_timer_t *timer);

#endif
