#include "kernel/worker.h"

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* A loop on a thread of its own.  */
typedef struct thread_loop
{
  pthread_t thread;
  bool is_started;
  struct tevent_fd *wakeup_event;
  int wakeup_fd;
  atomic_bool is_stopping;
} thread_loop_t;

static void
thread_handle_wakeup (struct tevent_context *events, struct tevent_fd *event,
                      uint16_t flags, void *data)
{
  worker_t *worker = data;
  thread_loop_t *loop = worker->loop;
  uint64_t posted;

  (void)events;
  (void)event;
  (void)flags;
  if (read (loop->wakeup_fd, &posted, sizeof posted) < 0)
    return;
  worker_run_tasks (worker);
}

static status_t
thread_create (worker_t *worker)
{
  thread_loop_t *loop = talloc_zero (worker, thread_loop_t);

  if (loop == NULL)
    return STATUS_NO_MEMORY;
  worker->loop = loop;
  loop->wakeup_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (loop->wakeup_fd < 0)
    return status_set (STATUS_IO, "no eventfd: %s", strerror (errno));
  loop->wakeup_event
      = tevent_add_fd (worker->events, worker->events, loop->wakeup_fd,
                       TEVENT_FD_READ, thread_handle_wakeup, worker);
  return STATUS_OK;
}

static void
thread_destroy (worker_t *worker)
{
  thread_loop_t *loop = worker->loop;

  if (loop != NULL && loop->wakeup_fd >= 0)
    close (loop->wakeup_fd);
}

static void *
thread_main (void *data)
{
  worker_t *worker = data;
  thread_loop_t *loop = worker->loop;

  while (!atomic_load (&loop->is_stopping))
    {
      if (tevent_loop_once (worker->events) != 0)
        break;
    }
  return NULL;
}

static status_t
thread_start (worker_t *worker)
{
  thread_loop_t *loop = worker->loop;
  int error = pthread_create (&loop->thread, NULL, thread_main, worker);

  if (error != 0)
    return status_set (STATUS_IO, "cannot start worker: %s", strerror (error));
  loop->is_started = true;
  return STATUS_OK;
}

static void
thread_wake (worker_t *worker)
{
  thread_loop_t *loop = worker->loop;
  uint64_t one = 1;
  ssize_t written;

  do
    written = write (loop->wakeup_fd, &one, sizeof one);
  while (written < 0 && errno == EINTR);
}

static void
thread_stop (worker_t *worker)
{
  thread_loop_t *loop = worker->loop;

  atomic_store (&loop->is_stopping, true);
  thread_wake (worker);
}

static void
thread_join (worker_t *worker)
{
  thread_loop_t *loop = worker->loop;

  if (loop->is_started)
    pthread_join (loop->thread, NULL);
  loop->is_started = false;
}

static void
thread_handle_timer (struct tevent_context *events, struct tevent_timer *event,
                     struct timeval now, void *data)
{
  worker_timer_t *timer = data;

  (void)events;
  (void)event;
  (void)now;
  timer->event = NULL; /* tevent frees it */
  worker_timer_fire (timer);
}

static void
thread_arm (worker_timer_t *timer, struct timespec delay)
{
  struct tevent_context *events = timer->worker->events;
  struct timeval wait = timespec_to_timeval (delay);

  timer->event
      = tevent_add_timer (events, events,
                          tevent_timeval_current_ofs ((uint32_t)wait.tv_sec,
                                                      (uint32_t)wait.tv_usec),
                          thread_handle_timer, timer);
}

static void
thread_disarm (worker_timer_t *timer)
{
  talloc_free (timer->event);
}

static void
thread_run_until (worker_t *worker, const bool *is_done)
{
  while (!*is_done)
    {
      if (tevent_loop_once (worker->events) != 0)
        break;
    }
}

/* Loops of tevent on threads.  */
const worker_ops_t worker_thread_ops = {
  .create = thread_create,
  .destroy = thread_destroy,
  .start = thread_start,
  .stop = thread_stop,
  .join = thread_join,
  .wake = thread_wake,
  .arm = thread_arm,
  .disarm = thread_disarm,
  .run_until = thread_run_until,
};
