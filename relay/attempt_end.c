#include "relay/forward.h"

#include "kernel/log.h"
#include "relay/attempt_timeout.h"
#include "relay/discovery.h"
#include "relay/feed.h"

/* What follows when an attempt has ended: its result, what is learned from it,
   and whether the request is sent again.  */

enum
{
  /* Attempts beyond the route's limit, for upstreams that did not run the
     request.  */
  MAX_EXTRA_ATTEMPTS = 2,
  MAX_UNREACHABLE_ATTEMPTS = 6,
  MAX_LOGGED_SEGMENTS = 16
};

/* Return the ids of the request's segments as text for the log, owned by
   PARENT; of a long prompt the last ones.  */
static const char *
forward_segments_text (TALLOC_CTX *parent, const forward_t *forward)
{
  unsigned count = forward->segment_count;
  unsigned first
      = count > MAX_LOGGED_SEGMENTS ? count - MAX_LOGGED_SEGMENTS : 0;
  char *text = talloc_strdup (parent, first == 0 ? "" : "...");

  for (unsigned i = first; i < count; i++)
    text = talloc_asprintf_append (text, "%s%llx", i == 0 ? "" : ",",
                                   (unsigned long long)forward->segments[i]);
  return text == NULL ? "" : text;
}

static void
forward_log_attempt_end (const forward_t *forward, fleet_result_t result)
{
  const forward_attempt_t *attempt = forward->attempt;

  log_event (
      result == FLEET_SERVED ? LOG_LEVEL_INFO : LOG_LEVEL_NOTICE,
      "attempt-ended",
      "request=%s upstream=%s result=%s status=%u ms=%lld "
      "silent_ms=%lld begun=%d events=%u segments=%s limit=%.3f error=\"%s\"",
      forward->request->id, attempt->choice.upstream,
      fleet_result_name (result), attempt->http_status,
      (long long)forward_ms_since (forward, attempt->sent_at),
      (long long)(forward->is_watched
                      ? forward_ms_since (forward, forward->last_received_at)
                      : 0),
      forward->is_head_sent, attempt->event_count,
      forward_segments_text (forward->attempt, forward), attempt->rate_limit,
      attempt->error == NULL ? "" : attempt->error);
}

/* The work of ATTEMPT, which has ended with RESULT, is no longer outstanding.
   Its last events may not have been recorded yet.  */
static void
forward_finish_work (const forward_t *forward, forward_attempt_t *attempt,
                     fleet_result_t result)
{
  fleet_t *fleet = forward->relay_worker->relay->fleet;

  fleet_record_events (fleet, &attempt->choice, attempt->event_count);
  fleet_finish_work (fleet, &attempt->choice, result,
                     forward_ms_since (forward, attempt->sent_at));
}

/* Free the current attempt, which has ended, and record RESULT in the
   fleet.  */
void
forward_finish_attempt (forward_t *forward, fleet_result_t result)
{
  forward_attempt_t *attempt = forward->attempt;

  forward_log_attempt_end (forward, result);
  forward->attempt = NULL;
  forward->is_paused = false;
  attempt_timeout_stop (forward);
  forward_finish_work (forward, attempt, result);
  fleet_release (forward->relay_worker->relay->fleet, attempt->choice.upstream,
                 &forward->criteria.work, result,
                 forward_ms_since (forward, attempt->sent_at));
  if (forward->criteria.tried_count < FLEET_MAX_TRIED)
    forward->criteria.tried[forward->criteria.tried_count++]
        = talloc_steal (forward, attempt->choice.upstream);
  talloc_free (attempt);
}

/* Abort the current attempt, if any.  Not callable from the attempt's own
   events.  */
void
forward_cancel_attempt (forward_t *forward, fleet_result_t result)
{
  if (forward->attempt == NULL)
    return;
  forward->relay_worker->relay->egress_ops->cancel (forward->attempt->call);
  forward_finish_attempt (forward, result);
}

/* Return whether the request may be sent again, and if so charge the retry
   budget.  CURRENT_ATTEMPTS is the number of attempts in progress (0 or 1),
   which may have run the request but are not counted in SENT_ATTEMPTS and
   RUN_ATTEMPTS yet.  */
bool
forward_reserve_retry (forward_t *forward, unsigned current_attempts)
{
  const route_t *route = forward->route;
  unsigned run_attempts = forward->run_attempts + current_attempts;
  const char *denial = NULL;

  if (run_attempts > 0 && !route_is_repeatable (route))
    denial = "not-repeatable";
  else if (forward->is_presumed_harmful)
    denial = "presumed-harmful";
  else if ((run_attempts > 0 && run_attempts >= route->max_attempts)
           || forward->sent_attempts + current_attempts
                  >= route->max_attempts + MAX_EXTRA_ATTEMPTS)
    denial = "attempts-used";
  else if (forward->unreachable_attempts > MAX_UNREACHABLE_ATTEMPTS)
    denial = "unreachable";
  else if (timespec_to_ms (forward_remaining_time (forward)) <= 0)
    denial = "no-time-left";
  /* A request that has reached no upstream yet is not charged as a retry.  */
  else if (forward->sent_attempts + current_attempts > 0
           && !retry_budget_take (forward->relay_worker->relay->budget,
                                  forward->criteria.service))
    denial = "no-budget";
  if (denial == NULL)
    return true;
  if (current_attempts == 0)
    log_event (LOG_LEVEL_NOTICE, "no-repeat",
               "request=%s why=%s sends=%u runs=%u attempts=%u",
               forward->request->id, denial, forward->sent_attempts,
               forward->run_attempts, route->max_attempts);
  return false;
}

static bool
status_is_failure (unsigned http_status)
{
  return http_status >= 500;
}

/* The upstream has answered the request whole, so it is not what crashes
   upstreams.  */
static void
forward_record_answer (const forward_t *forward)
{
  relay_t *relay = forward->relay_worker->relay;

  if (suspects_record_answer (relay->suspects, forward->segments,
                              forward->segment_count))
    feed_send_updates (relay->feed);
}

/* Return whether the response is complete after its call has ended with
   STATUS.  A stream that has sent nothing and ends with its connection has
   been broken off.  */
static bool
attempt_is_complete (const forward_attempt_t *attempt, status_t status)
{
  if (status != STATUS_OK)
    return false;
  if (attempt->events == NULL)
    return true;
  return event_stream_is_at_boundary (attempt->events)
         && !(attempt->has_open_end && attempt->event_count == 0);
}

/* Return the result of an attempt that has ended, as recorded by the
   fleet.  */
static fleet_result_t
attempt_result (const forward_attempt_t *attempt, bool is_complete,
                egress_reach_t reach)
{
  if (reach != EGRESS_SENT)
    return FLEET_UNREACHABLE;
  if (attempt->is_out_of_memory)
    return FLEET_CLIENT_LEFT;
  if (attempt->is_misdirected)
    return FLEET_MISDIRECTED;
  if (attempt->is_not_run)
    return FLEET_DECLINED;
  if (!is_complete || !attempt->is_usable)
    return FLEET_INTERRUPTED;
  return status_is_failure (attempt->http_status) ? FLEET_FAILED
                                                  : FLEET_SERVED;
}

/* The upstream broke the attempt off.  If it has crashed, the request may be
   the reason.  */
static void
forward_record_broken_attempt (forward_t *forward)
{
  relay_t *relay = forward->relay_worker->relay;
  const forward_attempt_t *attempt = forward->attempt;
  crash_attempt_t broken = {
    .request = forward->request->id,
    .upstream = attempt->choice.upstream,
    .address = attempt->choice.address,
    .segments = forward->segments,
    .segment_count = forward->segment_count,
    .evidence = { .crash = attempt->choice.incarnation,
                  .at = clock_monotonic (relay->clock),
                  .progress = attempt_progress (attempt),
                  .is_repeat = forward->broken_attempts++ > 0 },
  };

  forward->is_presumed_harmful
      = suspects_would_prove (relay->suspects, &broken.evidence,
                              broken.segments, broken.segment_count);
  if (crashes_record_attempt (relay->crashes, &broken))
    feed_send_updates (relay->feed);
}

/* Nothing listens at the upstream's address: its process has ended.  */
static void
forward_record_refused (const forward_t *forward)
{
  relay_t *relay = forward->relay_worker->relay;

  if (crashes_confirm_address (relay->crashes,
                               forward->attempt->choice.address))
    feed_send_updates (relay->feed);
}

/* Count the attempt.  A misdirected one shows that the listings are outdated,
   so the store is polled at once.  */
static void
forward_count_attempt (forward_t *forward, fleet_result_t result)
{
  if (result == FLEET_UNREACHABLE)
    forward->unreachable_attempts++;
  else
    forward->sent_attempts++;
  if (result == FLEET_MISDIRECTED)
    discovery_refresh (forward->relay_worker->relay->discovery);
  if (result != FLEET_UNREACHABLE && result != FLEET_MISDIRECTED
      && result != FLEET_DECLINED)
    forward->run_attempts++;
}

/* Send the complete buffered response to the client.  */
static void
forward_send_buffered (forward_t *forward, fleet_result_t result)
{
  forward_send_head (forward, true);
  forward_send_data (forward, forward->attempt->body,
                     forward->attempt->body_size);
  forward_finish_attempt (forward, result);
  forward_finish (forward, true);
}

/* The response that is being passed through to the client has ended.  If it is
   incomplete, resume an event stream at another upstream where the route
   allows it, otherwise truncate the client's response.  */
static void
forward_end_passthrough (forward_t *forward, fleet_result_t result,
                         bool is_complete)
{
  bool is_out_of_memory = forward->attempt->is_out_of_memory;

  forward_finish_attempt (forward, result);
  if (is_complete)
    forward_finish (forward, true);
  else if (!is_out_of_memory && forward->has_events
           && forward->route->is_resumable
           && forward_reserve_retry (forward, 0))
    forward_dispatch (forward);
  else
    forward_finish (forward, false);
}

/* The attempt returned no usable response, or a server error (5xx).  Retry if
   possible; otherwise send the server error if there is one, or fail.  */
static void
forward_end_unusable (forward_t *forward, fleet_result_t result)
{
  bool has_response = result == FLEET_FAILED;

  if (forward_reserve_retry (forward, 0))
    {
      forward_finish_attempt (forward, result);
      forward_dispatch (forward);
      return;
    }
  if (has_response)
    {
      forward_send_buffered (forward, result);
      return;
    }
  forward_finish_attempt (forward, result);
  if (forward->run_attempts > 0)
    forward_fail (forward, RELAY_OUTCOME_UNKNOWN, (struct timespec){ 0, 0 });
  else
    forward_fail_not_run (forward, fleet_result_name (result));
}

/* The attempt has ended: complete the response, retry or fail.  */
void
attempt_on_done (status_t status, egress_reach_t reach, void *data)
{
  forward_t *forward = data;
  forward_attempt_t *attempt = forward->attempt;
  bool is_complete = attempt_is_complete (attempt, status);
  fleet_result_t result = attempt_result (attempt, is_complete, reach);

  attempt->call = NULL;
  forward_count_attempt (forward, result);
  if (reach == EGRESS_REFUSED)
    forward_record_refused (forward);
  if (result == FLEET_INTERRUPTED)
    forward_record_broken_attempt (forward);
  else if (result == FLEET_SERVED || result == FLEET_FAILED)
    forward_record_answer (forward);
  if (status != STATUS_OK)
    attempt->error = talloc_strdup (attempt, status_message ());
  if (attempt->is_passthrough || forward->is_head_sent)
    forward_end_passthrough (forward, result,
                             is_complete && attempt->is_passthrough);
  else if (result == FLEET_SERVED)
    forward_send_buffered (forward, result);
  else
    forward_end_unusable (forward, result);
}
