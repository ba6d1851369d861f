#include "relay/silence.h"

#include "kernel/counter.h"
#include "kernel/log.h"

enum
{
  SWEEP_MS = 50,
  /* Clients leave a silent stream after two seconds.  */
  STREAM_SILENCE_MS = 600,
  STREAM_START_MS = 900, /* until its first event */
  USUAL_TIMES = 4        /* an answer that takes so many times the usual */
};

/* The part of its objective after which a request without an answer is sent
   elsewhere: what is left must do for the other upstream.  */
static const double objective_part = 0.6;

COUNTER_DEFINE (silent_attempts, "siskin_relay_silent_attempts_total",
                "Attempts given up for another upstream, for want of an "
                "answer");

static int64_t
silent_ms (const forward_t *forward)
{
  struct timespec now = clock_monotonic (forward->share->relay->clock);

  return timespec_to_ms (timespec_subtract (now, forward->heard_at));
}

/* Return how long the upstream of FORWARD may be silent.  */
static int64_t
allowed_ms (const forward_t *forward)
{
  int64_t objective_ms;
  int64_t usual_ms;

  if (forward->route->kind == ROUTE_STREAM)
    return forward->is_begun ? STREAM_SILENCE_MS : STREAM_START_MS;
  objective_ms = (int64_t)((double)timespec_to_ms (forward->route->objective)
                           * objective_part);
  usual_ms = (int64_t)(USUAL_TIMES
                       * fleet_mean_response_ms (forward->share->relay->fleet,
                                                 forward->wanted.service));
  return usual_ms > objective_ms ? usual_ms : objective_ms;
}

/* Send the request elsewhere if its upstream has been silent for too long, and
   others in its place would not have been.  */
static void
silence_check (forward_t *forward)
{
  const forward_attempt_t *attempt = forward->attempt;
  int64_t waited_ms = silent_ms (forward);

  if (forward->is_paused || waited_ms < allowed_ms (forward)
      || fleet_is_silence_expected (forward->share->relay->fleet,
                                    attempt->choice.upstream,
                                    forward->heard_at)
      || !forward_take_retry (forward, 1))
    return;
  log_event (LOG_LEVEL_NOTICE, "attempt-given-up",
             "request=%s upstream=%s silent_ms=%lld begun=%d",
             forward->request->id, attempt->choice.upstream,
             (long long)waited_ms, forward->is_begun);
  counter_add (&silent_attempts, 1);
  forward->sends++;
  forward->runs++;
  forward_cancel_attempt (forward, FLEET_TIMED_OUT);
  forward_dispatch (forward);
}

static void
silence_sweep (worker_t *worker, void *data)
{
  relay_worker_t *share = data;
  forward_t *forward = TAILQ_FIRST (&share->heard);

  (void)worker;
  share->sweep_timer = NULL;
  /* Those heard last come last; what is sent again goes to the end.  */
  while (forward != NULL && silent_ms (forward) >= SWEEP_MS)
    {
      forward_t *next = TAILQ_NEXT (forward, heard_link);

      silence_check (forward);
      forward = next;
    }
  if (!TAILQ_EMPTY (&share->heard))
    share->sweep_timer = worker_timer_start (
        share->worker, worker_events (share->worker),
        timespec_from_ms (SWEEP_MS), silence_sweep, share);
}

/* An attempt of FORWARD has begun.  Those that may run only once are not
   watched.  */
void
attempt_timeout_start (forward_t *forward)
{
  relay_worker_t *share = forward->share;

  if (!route_is_repeatable (forward->route))
    return;
  forward->heard_at = clock_monotonic (share->relay->clock);
  forward->is_watched = true;
  TAILQ_INSERT_TAIL (&share->heard, forward, heard_link);
  if (share->sweep_timer == NULL)
    share->sweep_timer = worker_timer_start (
        share->worker, worker_events (share->worker),
        timespec_from_ms (SWEEP_MS), silence_sweep, share);
}

/* Something has come from FORWARD's upstream.  */
void
attempt_timeout_reset (forward_t *forward)
{
  relay_worker_t *share = forward->share;

  if (!forward->is_watched)
    return;
  forward->heard_at = clock_monotonic (share->relay->clock);
  TAILQ_REMOVE (&share->heard, forward, heard_link);
  TAILQ_INSERT_TAIL (&share->heard, forward, heard_link);
}

/* The attempt of FORWARD is over.  */
void
attempt_timeout_stop (forward_t *forward)
{
  if (!forward->is_watched)
    return;
  forward->is_watched = false;
  TAILQ_REMOVE (&forward->share->heard, forward, heard_link);
}
