#include "kernel/heap.h"
#include "kernel/histogram.h"
#include "kernel/log.h"
#include "kernel/table.h"
#include "kernel/worker.h"

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/timerfd.h>
#include <unistd.h>

enum
{
  /* Handlers that run for longer without a wait are logged: all connections of
     the worker wait for them.  */
  BUSY_LOG_MS = 50
};

HISTOGRAM_DEFINE (busy_time, "siskin_worker_busy_seconds",
                  "Time for which a worker ran handlers without a wait");

/* The state of a tevent loop that runs on its own thread.  Timers are kept
   here, on the monotonic clock, because tevent's own timers depend on the time
   of day, which can be changed at any time.  */
typedef struct thread_loop
{
  pthread_t thread;
  bool is_started;
  struct tevent_fd *wakeup_event;
  int wakeup_fd;
  struct tevent_fd *timer_event;
  int timer_fd;
  heap_t timers;             /* of thread_timer_t, ordered by due time */
  struct timespec alarm_due; /* when timer_fd expires; zero if not set */
  struct timespec waited_at; /* end of the last wait */
  atomic_bool is_stopping;
} thread_loop_t;

/* An armed timer.  It is in the heap or, when its delay is zero, a tevent
   immediate event, which needs no system call.  */
typedef struct thread_timer
{
  heap_node_t node;
  struct timespec due;                /* monotonic */
  struct tevent_immediate *immediate; /* NULL when in the heap */
  worker_timer_t *timer;
} thread_timer_t;

static bool
thread_timer_before (const heap_node_t *left, const heap_node_t *right)
{
  const thread_timer_t *a = CONTAINER_OF (left, const thread_timer_t, node);
  const thread_timer_t *b = CONTAINER_OF (right, const thread_timer_t, node);

  return timespec_compare (a->due, b->due) < 0;
}

static struct timespec
thread_now (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return now;
}

static thread_timer_t *
thread_first_timer (const thread_loop_t *loop)
{
  heap_node_t *node = heap_first (&loop->timers);

  return node == NULL ? NULL : CONTAINER_OF (node, thread_timer_t, node);
}

/* Set timer_fd to expire when the first timer is due.  It is only ever moved
   to an earlier time, since a wake-up for a cancelled timer is harmless.  */
static void
thread_set_alarm (thread_loop_t *loop)
{
  const thread_timer_t *first = thread_first_timer (loop);
  struct itimerspec alarm = { .it_value = { 0, 0 } };

  if (first == NULL
      || (loop->alarm_due.tv_sec != 0
          && timespec_compare (loop->alarm_due, first->due) <= 0))
    return;
  loop->alarm_due = first->due;
  alarm.it_value = first->due;
  timerfd_settime (loop->timer_fd, TFD_TIMER_ABSTIME, &alarm, NULL);
}

/* Run the timers that are due.  */
static void
thread_handle_alarm (struct tevent_context *events, struct tevent_fd *event,
                     uint16_t flags, void *data)
{
  worker_t *worker = data;
  thread_loop_t *loop = worker->loop_state;
  struct timespec now = thread_now ();
  thread_timer_t *first;
  uint64_t expiration_count;

  (void)events;
  (void)event;
  (void)flags;
  if (read (loop->timer_fd, &expiration_count, sizeof expiration_count) < 0)
    return;
  loop->alarm_due = (struct timespec){ 0, 0 };
  while ((first = thread_first_timer (loop)) != NULL
         && timespec_compare (first->due, now) <= 0)
    {
      worker_timer_t *timer = first->timer;

      heap_remove (&loop->timers, &first->node);
      timer->event = NULL; /* its memory is freed with TIMER */
      worker_timer_fire (timer);
    }
  thread_set_alarm (loop);
}

/* Run the tasks posted since thread_wake.  */
static void
thread_handle_wakeup (struct tevent_context *events, struct tevent_fd *event,
                      uint16_t flags, void *data)
{
  worker_t *worker = data;
  thread_loop_t *loop = worker->loop_state;
  uint64_t wakeup_count;

  (void)events;
  (void)event;
  (void)flags;
  if (read (loop->wakeup_fd, &wakeup_count, sizeof wakeup_count) < 0)
    return;
  worker_run_tasks (worker);
}

/* Records for how long handlers have run since the last wait.  */
static void
thread_record_busy (const thread_loop_t *loop)
{
  int64_t busy_ms
      = timespec_to_ms (timespec_subtract (thread_now (), loop->waited_at));

  histogram_record (&busy_time, busy_ms);
  if (busy_ms >= BUSY_LOG_MS)
    log_event (LOG_LEVEL_NOTICE, "worker-busy", "ms=%lld", (long long)busy_ms);
}

static void
thread_handle_trace (enum tevent_trace_point point, void *data)
{
  thread_loop_t *loop = data;

  if (point == TEVENT_TRACE_AFTER_WAIT)
    loop->waited_at = thread_now ();
  else if (point == TEVENT_TRACE_BEFORE_WAIT
           && !timespec_is_zero (loop->waited_at))
    thread_record_busy (loop);
}

static status_t
thread_create (worker_t *worker)
{
  thread_loop_t *loop = talloc_zero (worker, thread_loop_t);

  if (loop == NULL)
    return STATUS_NO_MEMORY;
  worker->loop_state = loop;
  heap_init (&loop->timers, thread_timer_before);
  tevent_set_trace_callback (worker->events, thread_handle_trace, loop);
  loop->wakeup_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  loop->timer_fd
      = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  if (loop->wakeup_fd < 0 || loop->timer_fd < 0)
    return status_set (STATUS_IO, "cannot create eventfd or timerfd: %s",
                       strerror (errno));
  loop->timer_event
      = tevent_add_fd (worker->events, worker->events, loop->timer_fd,
                       TEVENT_FD_READ, thread_handle_alarm, worker);
  loop->wakeup_event
      = tevent_add_fd (worker->events, worker->events, loop->wakeup_fd,
                       TEVENT_FD_READ, thread_handle_wakeup, worker);
  return STATUS_OK;
}

static void
thread_destroy (worker_t *worker)
{
  thread_loop_t *loop = worker->loop_state;

  if (loop == NULL)
    return;
  if (loop->wakeup_fd >= 0)
    close (loop->wakeup_fd);
  if (loop->timer_fd >= 0)
    close (loop->timer_fd);
}

static void *
thread_main (void *data)
{
  worker_t *worker = data;
  thread_loop_t *loop = worker->loop_state;

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
  thread_loop_t *loop = worker->loop_state;
  int error = pthread_create (&loop->thread, NULL, thread_main, worker);

  if (error != 0)
    return status_set (STATUS_IO, "cannot start worker thread: %s",
                       strerror (error));
  loop->is_started = true;
  return STATUS_OK;
}

static void
thread_wake (worker_t *worker)
{
  thread_loop_t *loop = worker->loop_state;
  uint64_t one = 1;
  ssize_t written;

  do
    written = write (loop->wakeup_fd, &one, sizeof one);
  while (written < 0 && errno == EINTR);
}

static void
thread_stop (worker_t *worker)
{
  thread_loop_t *loop = worker->loop_state;

  atomic_store (&loop->is_stopping, true);
  thread_wake (worker);
}

static void
thread_join (worker_t *worker)
{
  thread_loop_t *loop = worker->loop_state;

  if (loop->is_started)
    pthread_join (loop->thread, NULL);
  loop->is_started = false;
}

static void
thread_handle_immediate (struct tevent_context *events,
                         struct tevent_immediate *immediate, void *data)
{
  worker_timer_t *timer = data;

  (void)events;
  (void)immediate;
  timer->event = NULL; /* its memory is freed with TIMER */
  worker_timer_fire (timer);
}

static void
thread_arm (worker_timer_t *timer, struct timespec delay)
{
  thread_loop_t *loop = timer->worker->loop_state;
  thread_timer_t *armed = talloc_zero (timer, thread_timer_t);

  if (armed == NULL)
    return;
  armed->timer = timer;
  timer->event = armed;
  if (timespec_is_zero (delay))
    {
      armed->immediate = tevent_create_immediate (armed);
      tevent_schedule_immediate (armed->immediate, timer->worker->events,
                                 thread_handle_immediate, timer);
      return;
    }
  armed->due = timespec_add (thread_now (), delay);
  heap_insert (&loop->timers, &armed->node);
  thread_set_alarm (loop);
}

static void
thread_disarm (worker_timer_t *timer)
{
  thread_loop_t *loop = timer->worker->loop_state;
  thread_timer_t *armed = timer->event;

  if (armed->immediate != NULL)
    TALLOC_FREE (armed->immediate);
  else
    heap_remove (&loop->timers, &armed->node);
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

/* Event loops of tevent, each on its own thread.  */
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
