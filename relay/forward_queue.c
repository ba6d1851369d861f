#include "relay/forward.h"

#include "kernel/log.h"
#include "kernel/table.h"
#include "relay/request_verdict.h"

enum
{
  QUEUE_RETRY_MS = 20 /* interval between attempts to send queued requests */
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
      && !request_queue_is_empty (relay_worker->queue))
    relay_worker->retry_timer = worker_timer_start (
        relay_worker->worker, worker_events (relay_worker->worker),
        timespec_from_ms (QUEUE_RETRY_MS), relay_worker_handle_retry,
        relay_worker);
}

static struct timespec
relay_worker_now (const relay_worker_t *relay_worker)
{
  return clock_monotonic (relay_worker->relay->clock);
}

/* Queue the request until it can be sent, or end it if it has waited for too
   long; see verdict_wait_end for IS_TEMPORARY.  WHY is for the log.
   Returns QUEUE_WAITS or QUEUE_ENDED.  */
queue_result_t
forward_wait_or_fail (forward_t *forward, bool is_temporary, const char *why)
{
  relay_worker_t *relay_worker = forward->relay_worker;
  struct timespec wait_end = verdict_wait_end (
      forward->arrived_at, forward->queued.give_up_at, is_temporary);

  if (timespec_compare (relay_worker_now (relay_worker), wait_end) >= 0
      || (forward->queued.class == NULL
          && !request_queue_add (relay_worker->queue, &forward->queued,
                                 relay_worker_now (relay_worker))))
    {
      forward_give_up (forward, why, forward_default_retry_after (forward));
      return QUEUE_ENDED;
    }
  if (!forward->has_waited)
    log_event (LOG_LEVEL_INFO, "waits",
               "request=%s service=%s urgency=%u late=%d why=%s",
               forward->request->id, forward->criteria.service,
               forward->criteria.urgency, forward->criteria.is_late, why);
  forward->has_waited = true;
  relay_worker_start_retry_timer (relay_worker);
  return QUEUE_WAITS;
}

/* Return whether more urgent requests are queued, which come first.  */
bool
forward_must_queue (const forward_t *forward)
{
  return request_queue_has_more_urgent (forward->relay_worker->queue,
                                        forward->criteria.service,
                                        forward->criteria.urgency);
}

static queue_result_t
forward_try_queued (queued_request_t *request, const queue_turn_t *turn,
                    void *data)
{
  forward_t *forward = CONTAINER_OF (request, forward_t, queued);

  (void)data;
  forward->criteria.is_late = turn->is_late;
  forward->criteria.is_guaranteed = turn->is_guaranteed;
  return forward_dispatch (forward);
}

/* Try again to send the queued requests.  */
void
forward_retry_queued (relay_worker_t *relay_worker)
{
  struct timespec now = relay_worker_now (relay_worker);
  queued_request_t *expired;

  request_queue_retry (relay_worker->queue, now, forward_try_queued, NULL);
  while ((expired = request_queue_find_expired (relay_worker->queue, now))
         != NULL)
    {
      forward_t *forward = CONTAINER_OF (expired, forward_t, queued);

      forward_give_up (forward, "no-capacity-in-time",
                       forward_default_retry_after (forward));
    }
  relay_worker_start_retry_timer (relay_worker);
}
