#include "relay/attempt_timeout.h"

#include "kernel/counter.h"
#include "kernel/log.h"

enum
{
  CHECK_INTERVAL_MS = 50,
  /* Clients close a stream after two seconds without data, so its request is
     retried well before that.  */
  STREAM_IDLE_LIMIT_MS = 600,
  STREAM_START_LIMIT_MS = 900, /* limit before the first event */
  /* A request without a response is retried after this many times the mean
     response time of its service.  */
  MEAN_RESPONSE_FACTOR = 4
};

/* Share of the route's objective after which a request without a response is
   retried; the rest must be enough for the next upstream to respond.  */
static const double objective_ratio = 0.6;

COUNTER_DEFINE (
    timed_out_attempts, "siskin_relay_silent_attempts_total",
    "Attempts given up for another upstream, for want of an answer");

static int64_t
idle_ms (const forward_t *forward)
{
  struct timespec now = clock_monotonic (forward->relay_worker->relay->clock);

  return timespec_to_ms (timespec_subtract (now, forward->last_received_at));
}

/* Return how long FORWARD may go without data from its upstream before it is
   retried elsewhere.  */
static int64_t
idle_limit_ms (const forward_t *forward)
{
  int64_t objective_ms;
  int64_t mean_response_ms;

  if (forward->route->kind == ROUTE_STREAM)
    return forward->is_head_sent ? STREAM_IDLE_LIMIT_MS
                                 : STREAM_START_LIMIT_MS;
  objective_ms = (int64_t)((double)timespec_to_ms (forward->route->objective)
                           * objective_ratio);
  mean_response_ms = (int64_t)(MEAN_RESPONSE_FACTOR
                               * fleet_mean_response_ms (
                                   forward->relay_worker->relay->fleet,
                                   forward->criteria.service));
  return mean_response_ms > objective_ms ? mean_response_ms : objective_ms;
}

/* Retry the request at another upstream if its current one has sent nothing
   for too long, unless the silence is expected there or no retry is
   allowed.  */
static void
attempt_timeout_check (forward_t *forward)
{
  const forward_attempt_t *attempt = forward->attempt;
  int64_t waited_ms = idle_ms (forward);

  if (forward->is_paused || waited_ms < idle_limit_ms (forward)
      || fleet_is_silence_expected (forward->relay_worker->relay->fleet,
                                    attempt->choice.upstream,
                                    forward->last_received_at)
      || !forward_reserve_retry (forward, 1))
    return;
  log_event (LOG_LEVEL_NOTICE, "attempt-given-up",
             "request=%s upstream=%s silent_ms=%lld begun=%d",
             forward->request->id, attempt->choice.upstream,
             (long long)waited_ms, forward->is_head_sent);
  counter_add (&timed_out_attempts, 1);
  forward->sent_attempts++;
  forward->run_attempts++;
  forward_cancel_attempt (forward, FLEET_TIMED_OUT);
  forward_dispatch (forward);
}

/* Check the attempts that have been idle for at least an interval.  */
static void
attempt_timeout_check_all (worker_t *worker, void *data)
{
  relay_worker_t *relay_worker = data;
  forward_t *forward = TAILQ_FIRST (&relay_worker->watched);

  (void)worker;
  relay_worker->idle_check_timer = NULL;
  /* The list is ordered by the time of the last data received, oldest first,
     so the rest is more recent.  A retried request moves to the end.  */
  while (forward != NULL && idle_ms (forward) >= CHECK_INTERVAL_MS)
    {
      forward_t *next = TAILQ_NEXT (forward, watch_link);

      attempt_timeout_check (forward);
      forward = next;
    }
  if (!TAILQ_EMPTY (&relay_worker->watched))
    relay_worker->idle_check_timer = worker_timer_start (
        relay_worker->worker, worker_events (relay_worker->worker),
        timespec_from_ms (CHECK_INTERVAL_MS), attempt_timeout_check_all,
        relay_worker);
}

/* Start to watch the new attempt of FORWARD.  Requests that may run only once
   are not watched, as they cannot be retried.  */
void
attempt_timeout_start (forward_t *forward)
{
  relay_worker_t *relay_worker = forward->relay_worker;

  if (!route_is_repeatable (forward->route))
    return;
  forward->last_received_at = clock_monotonic (relay_worker->relay->clock);
  forward->is_watched = true;
  TAILQ_INSERT_TAIL (&relay_worker->watched, forward, watch_link);
  if (relay_worker->idle_check_timer == NULL)
    relay_worker->idle_check_timer = worker_timer_start (
        relay_worker->worker, worker_events (relay_worker->worker),
        timespec_from_ms (CHECK_INTERVAL_MS), attempt_timeout_check_all,
        relay_worker);
}

/* Restart the idle time: data has arrived from the upstream of FORWARD.  */
void
attempt_timeout_reset (forward_t *forward)
{
  relay_worker_t *relay_worker = forward->relay_worker;

  if (!forward->is_watched)
    return;
  forward->last_received_at = clock_monotonic (relay_worker->relay->clock);
  TAILQ_REMOVE (&relay_worker->watched, forward, watch_link);
  TAILQ_INSERT_TAIL (&relay_worker->watched, forward, watch_link);
}

/* Stop watching the attempt of FORWARD.  */
void
attempt_timeout_stop (forward_t *forward)
{
  if (!forward->is_watched)
    return;
  forward->is_watched = false;
  TAILQ_REMOVE (&forward->relay_worker->watched, forward, watch_link);
}
