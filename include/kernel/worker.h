#ifndef SISKIN_KERNEL_WORKER_H
#define SISKIN_KERNEL_WORKER_H

#include "kernel/lock.h"
#include "kernel/pool.h"

/* What the implementations of a pool's loops share.  */

STAILQ_HEAD (task_queue, task);

/* How the loop of a worker runs.  */
typedef struct worker_ops
{
  status_t (*create) (worker_t *worker);
  void (*destroy) (worker_t *worker);
  status_t (*start) (worker_t *worker);
  void (*stop) (worker_t *worker);
  void (*join) (worker_t *worker);
  /* Have worker_run_tasks run soon; callable from any thread.  */
  void (*wake) (worker_t *worker);
  /* Have worker_timer_fire run once after DELAY.  */
  void (*arm) (worker_timer_t *timer, struct timespec delay);
  void (*disarm) (worker_timer_t *timer);
  void (*run_until) (worker_t *worker, const bool *is_done);
} worker_ops_t;

/* Each worker owns one talloc tree and one event loop; other threads reach it
   only through its task queue.  */
struct worker
{
  pool_t *pool;
  unsigned index;
  const worker_ops_t *ops;
  void *loop; /* the implementation's own */
  struct tevent_context *events;
  lock_t *task_lock;
  struct task_queue tasks;
  LIST_HEAD (, worker_timer) timers;
  bool is_closing; /* the loop is being freed; no timer is armed any more */
};

/* A one-shot timer.  */
struct worker_timer
{
  LIST_ENTRY (worker_timer) link;
  worker_t *worker; /* NULL once its loop is gone */
  void *event;      /* the implementation's own; NULL when not armed */
  worker_handler_t handler;
  void *data;
};

extern const worker_ops_t worker_thread_ops;

pool_t *pool_create_with_ops (TALLOC_CTX *parent, unsigned worker_count,
                              const clock_source_t *clock,
                              const worker_ops_t *ops, void *context);
void *pool_context (const pool_t *pool);
void worker_run_tasks (worker_t *worker);
void worker_timer_fire (worker_timer_t *timer);

#endif
