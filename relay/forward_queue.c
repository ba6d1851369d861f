#include "relay/forward.h"

#include "kernel/log.h"

enum
{
  QUEUE_RETRY_MS = 20, /* interval between attempts to send queued requests */
  /* A request for which no upstream may be used waits this long: enough for a
     refresh of the listings, which may show a new one.  */
  UNUSABLE_QUEUE_MAX_MS = 100,
  /* A request is late once its objective divided by this has passed.  */
  LATE_START_DIVISOR = 2
};

static void
relay_worker_handle_retry (worker_t *worker, void *data)
{
  relay_worker_t *relay_worker = data;

  (void)worker;
  relay_worker->retry_timer = NULL;
  forward_retry_queued (relay_worker);
}

static void
relay_worker_start_retry_timer (relay_worker_t *relay_worker)
{
  if (relay_worker->retry_timer == NULL
      && !TAILQ_EMPTY (&relay_worker->queued))
    relay_worker->retry_timer = worker_timer_start (
        relay_worker->worker, worker_events (relay_worker->worker),
        timespec_from_ms (QUEUE_RETRY_MS), relay_worker_handle_retry,
        relay_worker);
}

/* Take the request out of the queue if it is there.  */
void
forward_dequeue (forward_t *forward)
{
  if (!forward->is_queued)
    return;
  forward->is_queued = false;
  TAILQ_REMOVE (&forward->relay_worker->queued, forward, queue_link);
}

static struct timespec
forward_now (const forward_t *forward)
{
  return clock_monotonic (forward->relay_worker->relay->clock);
}

static int64_t
forward_age_ms (const forward_t *forward)
{
  return timespec_to_ms (
      timespec_subtract (forward_now (forward), forward->arrived_at));
}

/* Queue the request until it can be sent, or end it if it has waited for too
   long.  An upstream that is full, cold or stalled will take requests again,
   which IS_TEMPORARY says; otherwise the client does better to come back.  WHY
   is for the log.  */
void
forward_wait_or_fail (forward_t *forward, bool is_temporary, const char *why)
{
  if (timespec_compare (forward_now (forward), forward->queue_until) >= 0
      || (!is_temporary && forward_age_ms (forward) >= UNUSABLE_QUEUE_MAX_MS))
    {
      forward_give_up (forward, why, forward_default_retry_after (forward));
      return;
    }
  if (!forward->is_queued)
    {
      log_event (LOG_LEVEL_INFO, "waits", "request=%s service=%s why=%s",
                 forward->request->id, forward->criteria.service, why);
      forward->is_queued = true;
      TAILQ_INSERT_TAIL (&forward->relay_worker->queued, forward, queue_link);
    }
  relay_worker_start_retry_timer (forward->relay_worker);
}

/* Return whether a request sent now is likely to miss its objective.  */
static bool
forward_is_late (const forward_t *forward)
{
  return forward_age_ms (forward)
         > timespec_to_ms (forward->route->objective) / LATE_START_DIVISOR;
}

/* Try again to send the queued requests whose lateness is ARE_LATE.  A request
   that remains queued keeps its place.  */
static void
relay_worker_retry_queued (relay_worker_t *relay_worker, bool are_late)
{
  forward_t *forward = TAILQ_FIRST (&relay_worker->queued);

  while (forward != NULL)
    {
      forward_t *next = TAILQ_NEXT (forward, queue_link);

      forward->criteria.is_late = forward_is_late (forward);
      if (forward->criteria.is_late == are_late)
        forward_dispatch (forward);
      forward = next;
    }
}

/* Try again to send the queued requests, those that can still meet their
   objective first, each group in order of arrival.  */
void
forward_retry_queued (relay_worker_t *relay_worker)
{
  relay_worker_retry_queued (relay_worker, false);
  relay_worker_retry_queued (relay_worker, true);
  relay_worker_start_retry_timer (relay_worker);
}
