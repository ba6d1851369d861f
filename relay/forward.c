#include "relay/forward.h"

#include "kernel/counter.h"
#include "kernel/histogram.h"
#include "kernel/log.h"
#include "kernel/random.h"
#include "relay/attempt_timeout.h"
#include "relay/feed.h"
#include "relay/request_digest.h"
#include "relay/request_verdict.h"

#include <string.h>

enum
{
  US_PER_MS = 1000
};

COUNTER_DEFINE (requests_total, "siskin_relay_requests_total",
                "Requests read from clients");
COUNTER_DEFINE_LABELLED (responses_complete, "siskin_relay_answers_total",
                         "end=\"whole\"", "Answers passed on");
COUNTER_DEFINE_LABELLED (responses_truncated, "siskin_relay_answers_total",
                         "end=\"broken-off\"", "Answers passed on");
COUNTER_DEFINE (clients_left, "siskin_relay_clients_left_total",
                "Clients that left before their answer's end");
COUNTER_DEFINE (failures_total, "siskin_relay_failures_total",
                "Requests that got no upstream's answer");
COUNTER_DEFINE (held_back, "siskin_relay_held_back_total",
                "Requests ended since a part of them crashes upstreams");
HISTOGRAM_DEFINE (first_byte_time, "siskin_relay_first_part_seconds",
                  "From a request's arrival to the first part of its answer");
HISTOGRAM_DEFINE (longest_gap, "siskin_relay_longest_gap_seconds",
                  "The longest wait between two parts of an answer");
HISTOGRAM_DEFINE (response_time, "siskin_relay_answer_seconds",
                  "From a request's arrival to the end of its answer");
HISTOGRAM_DEFINE (queue_time, "siskin_relay_queue_seconds",
                  "From a request's arrival to its first sending");

static const char *const failure_names[RELAY_FAILURE_COUNT] = {
  [RELAY_NO_RULES] = "no-rules-known-yet",     [RELAY_NO_ROUTE] = "no-route",
  [RELAY_NO_ACCOUNT] = "unknown-key",          [RELAY_NOT_RUN] = "not-run",
  [RELAY_OUTCOME_UNKNOWN] = "outcome-unknown", [RELAY_TIMEOUT] = "timeout",
};

/* Return the name of FAILURE for clients and the log.  */
const char *
relay_failure_name (relay_failure_t failure)
{
  return failure_names[failure];
}

static struct timespec
forward_now (const forward_t *forward)
{
  return clock_monotonic (forward->relay_worker->relay->clock);
}

/* Return the time since THEN, in milliseconds.  */
int64_t
forward_ms_since (const forward_t *forward, struct timespec then)
{
  return timespec_to_ms (timespec_subtract (forward_now (forward), then));
}

/* Return the time until the request's deadline, never negative.  */
struct timespec
forward_remaining_time (const forward_t *forward)
{
  struct timespec left
      = timespec_subtract (forward->deadline, forward_now (forward));

  return left.tv_sec < 0 ? (struct timespec){ 0, 0 } : left;
}

static int
forward_free (forward_t *forward)
{
  LIST_REMOVE (forward, link);
  request_queue_remove (&forward->queued);
  attempt_timeout_stop (forward);
  rules_release (forward->rules);
  return 0;
}

/* Return the time from the request's arrival to the first response data in
   milliseconds, -1 if the client has got none.  */
static int64_t
forward_first_data_ms (const forward_t *forward)
{
  if (timespec_is_zero (forward->first_data_at))
    return -1;
  return timespec_to_ms (
      timespec_subtract (forward->first_data_at, forward->arrived_at));
}

/* End the response to the client, record its times and free FORWARD.  Unless
   IS_COMPLETE the response is truncated.  */
void
forward_finish (forward_t *forward, bool is_complete)
{
  int64_t first_ms = forward_first_data_ms (forward);
  int64_t elapsed_ms = forward_ms_since (forward, forward->arrived_at);

  counter_add (is_complete ? &responses_complete : &responses_truncated, 1);
  histogram_record (&response_time, elapsed_ms);
  histogram_record (&longest_gap, forward->longest_gap_ms);
  if (first_ms >= 0)
    histogram_record (&first_byte_time, first_ms);
  log_event (is_complete ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, "answer-ended",
             "request=%s route=%s whole=%d ms=%lld first_ms=%lld gap_ms=%lld "
             "sends=%u runs=%u",
             forward->request->id, forward->route->name, is_complete,
             (long long)elapsed_ms, (long long)first_ms,
             (long long)forward->longest_gap_ms, forward->sent_attempts,
             forward->run_attempts);
  forward->ops->on_end (forward, is_complete, forward->data);
  talloc_free (forward);
}

/* Respond to the client with FAILURE instead of an upstream's response and
   free FORWARD.  No Retry-After is sent if RETRY_AFTER is zero.  */
void
forward_fail (forward_t *forward, relay_failure_t failure,
              struct timespec retry_after)
{
  counter_add (&failures_total, 1);
  log_event (LOG_LEVEL_WARN, "request-failed",
             "request=%s host=%s failure=%s ms=%lld sends=%u runs=%u "
             "unreachable=%u retry_after_ms=%lld",
             forward->request->id, forward->request->host,
             relay_failure_name (failure),
             (long long)forward_ms_since (forward, forward->arrived_at),
             forward->sent_attempts, forward->run_attempts,
             forward->unreachable_attempts,
             (long long)timespec_to_ms (retry_after));
  forward->ops->on_failure (forward, failure, retry_after, forward->data);
  talloc_free (forward);
}

/* Return the time after which the client may retry a request that found no
   upstream.  */
struct timespec
forward_default_retry_after (const forward_t *forward)
{
  return verdict_retry_after (forward_remaining_time (forward));
}

/* Fail the request with RELAY_NOT_RUN, as no upstream has run it or will run
   it.  WHY is for the log.  Frees FORWARD.  */
static void
forward_refuse (forward_t *forward, const char *why,
                struct timespec retry_after)
{
  log_event (LOG_LEVEL_NOTICE, "refused", "request=%s why=%s",
             forward->request->id, why);
  forward_fail (forward, RELAY_NOT_RUN, retry_after);
}

/* Refuse the request; the client may retry it as long as it has time.  */
void
forward_fail_not_run (forward_t *forward, const char *why)
{
  forward_refuse (forward, why, forward_default_retry_after (forward));
}

/* Abort the current attempt and end the request.  RAN_FAILURE is reported if
   an upstream may have run it.  */
static void
forward_abort (forward_t *forward, fleet_result_t result,
               relay_failure_t ran_failure)
{
  static const struct timespec no_retry_after = { 0, 0 };

  if (forward->attempt != NULL)
    {
      forward->run_attempts++;
      forward_cancel_attempt (forward, result);
    }
  if (forward->is_head_sent)
    forward_finish (forward, false);
  else
    forward_fail (forward,
                  forward->run_attempts > 0 ? ran_failure : RELAY_NOT_RUN,
                  no_retry_after);
}

/* The request's deadline has passed.  */
static void
forward_handle_deadline (worker_t *worker, void *data)
{
  forward_t *forward = data;

  (void)worker;
  forward->deadline_timer = NULL;
  forward_abort (forward, FLEET_TIMED_OUT, RELAY_TIMEOUT);
}

/* The process is about to end.  A response that has begun may still complete,
   so it is left alone.  */
void
forward_end_for_stop (forward_t *forward)
{
  if (!forward->is_head_sent)
    forward_abort (forward, FLEET_CLIENT_LEFT, RELAY_OUTCOME_UNKNOWN);
}

/* Set the request's deadline, and limit the time that it may be queued.  */
static void
forward_set_deadline (forward_t *forward)
{
  const relay_request_t *request = forward->request;
  struct timespec timeout = verdict_timeout (
      forward->route,
      request->has_client_timeout ? &request->client_timeout : NULL);

  forward->deadline = timespec_add (forward->arrived_at, timeout);
  forward->queued.give_up_at
      = timespec_add (forward->arrived_at, verdict_queue_time (timeout));
  forward->deadline_timer
      = worker_timer_start (forward->relay_worker->worker, forward, timeout,
                            forward_handle_deadline, forward);
}

/* End the request, which is not sent to another upstream.  WHY is for the
   log; RETRY_AFTER applies if no upstream has run it.  */
void
forward_give_up (forward_t *forward, const char *why,
                 struct timespec retry_after)
{
  if (forward->is_head_sent)
    forward_finish (forward, false);
  else if (forward->run_attempts > 0)
    forward_fail (forward, RELAY_OUTCOME_UNKNOWN, (struct timespec){ 0, 0 });
  else
    forward_refuse (forward, why, retry_after);
}

/* End the request, which is blamed for crashes.  */
static void
forward_refuse_suspect (forward_t *forward, const suspect_finding_t *finding)
{
  counter_add (&held_back, 1);
  log_event (LOG_LEVEL_NOTICE, "held-back",
             "request=%s segment=%llx crashes=%u crash=%llx",
             forward->request->id, (unsigned long long)finding->segment,
             finding->crash_count, (unsigned long long)finding->last_crash);
  forward_give_up (forward, "prompt-quarantined", finding->retry_after);
}

/* Return whether the request may be sent as far as its prompt is concerned.
   Otherwise it has been queued or ended, as *RESULT says.  */
static bool
forward_admit_prompt (forward_t *forward, queue_result_t *result)
{
  suspect_finding_t finding
      = suspects_check (forward->relay_worker->relay->suspects,
                        forward->segments, forward->segment_count);

  switch (finding.verdict)
    {
    case SUSPECT_ADMITTED:
      return true;
    case SUSPECT_PROBED:
      *result = forward_wait_or_fail (forward, true, "prompt-probed");
      return false;
    case SUSPECT_QUARANTINED:
      forward_refuse_suspect (forward, &finding);
      *result = QUEUE_ENDED;
      return false;
    }
  return true;
}

/* Return what the verdict on the request depends on.  */
static verdict_case_t
forward_verdict_case (const forward_t *forward)
{
  return (verdict_case_t){ .fleet = forward->relay_worker->relay->fleet,
                           .queue = forward->relay_worker->queue,
                           .service = forward->criteria.service,
                           .urgency = forward->criteria.urgency,
                           .now = forward_now (forward),
                           .arrived_at = forward->arrived_at,
                           .give_up_at = forward->queued.give_up_at,
                           .deadline = forward->deadline,
                           .has_waited = forward->has_waited };
}

/* Queue or end the request, which cannot be sent now, as VERDICT says.  */
static queue_result_t
forward_follow (forward_t *forward, const request_verdict_t *verdict)
{
  if (verdict->action == VERDICT_WAIT)
    return forward_wait_or_fail (forward, verdict->is_temporary, verdict->why);
  forward_give_up (forward, verdict->why, verdict->retry_after);
  return QUEUE_ENDED;
}

/* No upstream can be chosen because of SHORTAGE.  Queue the request, or end it
   if it has been queued for too long or is known to wait in vain.  */
static queue_result_t
forward_handle_shortage (forward_t *forward, fleet_shortage_t shortage)
{
  verdict_case_t facts = forward_verdict_case (forward);
  request_verdict_t verdict = verdict_on_shortage (&facts, shortage);
  queue_result_t result = forward_follow (forward, &verdict);

  return result == QUEUE_WAITS && shortage == FLEET_ALL_FULL ? QUEUE_FULL
                                                             : result;
}

/* Record that the request is about to be sent to CHOICE.  */
static void
forward_record_sending (const forward_t *forward, const fleet_choice_t *choice)
{
  if (forward->sent_attempts + forward->unreachable_attempts == 0)
    histogram_record (&queue_time,
                      forward_ms_since (forward, forward->arrived_at));
  log_event (
      LOG_LEVEL_INFO, "sent",
      "request=%s service=%s urgency=%u late=%d upstream=%s zone=%s "
      "reason=%s candidates=%u cold=%d running=%llu report_age_ms=%lld "
      "rules=%llu send=%u after_ms=%lld left_ms=%lld work_ms=%llu "
      "expected_events=%.1f backlog_ms=%llu",
      forward->request->id, forward->criteria.service,
      forward->criteria.urgency, forward->criteria.is_late, choice->upstream,
      choice->zone, choice->reason, choice->candidates, choice->is_cold,
      (unsigned long long)choice->running, (long long)choice->report_age_ms,
      (unsigned long long)forward->rules->version, forward->sent_attempts + 1,
      (long long)forward_ms_since (forward, forward->arrived_at),
      (long long)timespec_to_ms (forward_remaining_time (forward)),
      (unsigned long long)(choice->work.counted_us / US_PER_MS),
      choice->work.estimate.events,
      (unsigned long long)(choice->backlog_us / US_PER_MS));
}

/* The request cannot be sent to CHOICE, whose strings belong to CHOICE_CTX.
   Frees FORWARD.  */
static queue_result_t
forward_fail_to_send (forward_t *forward, fleet_choice_t *choice,
                      TALLOC_CTX *choice_ctx)
{
  fleet_t *fleet = forward->relay_worker->relay->fleet;

  fleet_finish_work (fleet, choice, FLEET_CLIENT_LEFT, 0);
  fleet_release (fleet, choice->upstream, &forward->criteria.work,
                 FLEET_CLIENT_LEFT, 0);
  talloc_free (choice_ctx);
  forward_fail_not_run (forward, "cannot-send");
  return QUEUE_ENDED;
}

/* Choose an upstream and send the request there.  If there is none, queue the
   request, or fail it if it has been queued for too long.  */
queue_result_t
forward_dispatch (forward_t *forward)
{
  relay_t *relay = forward->relay_worker->relay;
  queue_result_t result;
  TALLOC_CTX *choice_ctx;
  fleet_choice_t choice;
  fleet_shortage_t shortage;

  if (!forward_admit_prompt (forward, &result))
    return result;
  if (forward->has_last_event && forward->last_event > 0)
    forward->criteria.past_events = (uint64_t)forward->last_event;
  choice_ctx = talloc_new (forward);
  shortage
      = fleet_choose (relay->fleet, choice_ctx, &forward->criteria, &choice);
  if (shortage != FLEET_NO_SHORTAGE)
    {
      talloc_free (choice_ctx);
      return forward_handle_shortage (forward, shortage);
    }
  request_queue_remove (&forward->queued);
  if (suspects_record_sent (relay->suspects, forward->segments,
                            forward->segment_count))
    feed_send_updates (relay->feed);
  forward_record_sending (forward, &choice);
  if (attempt_start (forward, &choice, choice_ctx))
    return QUEUE_SENT;
  return forward_fail_to_send (forward, &choice, choice_ctx);
}

/* Find the request's route, account and service.  Returns RELAY_FAILURE_COUNT
   on success.  */
static relay_failure_t
forward_find_route (forward_t *forward)
{
  const relay_request_t *request = forward->request;
  relay_failure_t failure;

  forward->rules = relay_rules (forward->relay_worker->relay);
  failure
      = verdict_find_route (forward->rules, request->host, request->target,
                            request->key, &forward->route, &forward->account);
  if (failure != RELAY_FAILURE_COUNT)
    return failure;
  forward->criteria.service
      = route_choose_target (forward->route, random_next ());
  return forward->criteria.service == NULL ? RELAY_NO_ROUTE
                                           : RELAY_FAILURE_COUNT;
}

/* Set what the choice of an upstream depends on, but for the class of the
   request.  */
static void
forward_set_criteria (forward_t *forward)
{
  forward->criteria.route = forward->route;
  forward->criteria.work = (pick_request_t){
    .prompt_tokens = forward->request->prompt_tokens,
    .output_tokens = forward->request->output_tokens,
    .zone = daemon_config (forward->relay_worker->relay->daemon)->zone,
  };
  forward->criteria.hinted_tokens = forward->request->hinted_tokens;
  if (forward->account != NULL)
    forward->criteria.account = forward->account->name;
}

/* Return for how long the client has waited before, with other requests.  */
static struct timespec
forward_time_waited (const forward_t *forward)
{
  const relay_request_t *request = forward->request;

  if (!request->has_client_timeout)
    return (struct timespec){ 0, 0 };
  return client_timeouts_record (forward->relay_worker->relay->client_timeouts,
                                 forward->route->name, forward->route->timeout,
                                 request->client_timeout);
}

/* Set the request's urgency and the time from which on it is late.  */
static void
forward_classify (forward_t *forward)
{
  struct timespec late_after = verdict_late_after (forward->route);
  struct timespec waited = forward_time_waited (forward);

  forward->criteria.urgency
      = rules_urgency (forward->rules, forward->route, forward->account);
  forward->queued.service = forward->criteria.service;
  forward->queued.urgency = forward->criteria.urgency;
  forward->queued.late_from = timespec_add (
      timespec_subtract (forward->arrived_at, waited), late_after);
  forward->criteria.is_late = verdict_is_late (forward->route, waited);
}

/* Set what the request is known by if its upstream crashes.  */
static void
forward_identify (forward_t *forward)
{
  const relay_request_t *request = forward->request;

  if (request->segment_count > 0)
    {
      forward->segments = request->segments;
      forward->segment_count = request->segment_count;
      return;
    }
  forward->digest = request_digest (request);
  forward->segments = &forward->digest;
  forward->segment_count = 1;
}

/* Try to send a request that has just arrived.  */
static void
forward_dispatch_first (forward_t *forward)
{
  request_queue_t *queue = forward->relay_worker->queue;
  const char *service = forward->criteria.service;
  unsigned urgency = forward->criteria.urgency;

  if (forward_must_queue (forward))
    {
      verdict_case_t facts = forward_verdict_case (forward);
      request_verdict_t verdict = verdict_on_more_urgent (&facts);

      forward_follow (forward, &verdict);
    }
  else if (forward_dispatch (forward) == QUEUE_SENT)
    request_queue_count_sent (queue, service, urgency, forward_now (forward));
}

/* Start a request.  Sets *STARTED, which is NULL when memory is exhausted,
   before the first callback.  The request may end, and be freed, within the
   call: its last callback tells.  */
void
forward_start (relay_worker_t *relay_worker, const relay_request_t *request,
               const forward_ops_t *ops, void *data, forward_t **started)
{
  forward_t *forward
      = talloc_zero (worker_events (relay_worker->worker), forward_t);
  relay_failure_t failure;

  *started = forward;
  if (forward == NULL)
    {
      ops->on_failure (NULL, RELAY_NOT_RUN, (struct timespec){ 0, 0 }, data);
      return;
    }
  counter_add (&requests_total, 1);
  forward->relay_worker = relay_worker;
  forward->request = request;
  forward->ops = ops;
  forward->data = data;
  forward->arrived_at = forward_now (forward);
  forward->has_last_event = request->has_last_event;
  forward->last_event = request->last_event;
  LIST_INSERT_HEAD (&relay_worker->forwards, forward, link);
  talloc_set_destructor (forward, forward_free);
  forward_identify (forward);
  failure = forward_find_route (forward);
  if (failure != RELAY_FAILURE_COUNT)
    {
      forward_fail (forward, failure, verdict_failure_retry_after (failure));
      return;
    }
  forward_set_criteria (forward);
  forward_set_deadline (forward);
  if (relay_stops_before (relay_worker->relay, forward->deadline))
    {
      forward_fail_not_run (forward, "stopping");
      return;
    }
  retry_budget_count_request (relay_worker->relay->budget,
                              forward->criteria.service);
  forward_classify (forward);
  fleet_count_request (relay_worker->relay->fleet, forward->criteria.service,
                       forward->criteria.urgency);
  forward_dispatch_first (forward);
}

/* The client has disconnected: abort the current attempt and free FORWARD.  */
void
forward_cancel (forward_t *forward)
{
  counter_add (&clients_left, 1);
  log_event (LOG_LEVEL_NOTICE, "client-left", "request=%s ms=%lld sends=%u",
             forward->request->id,
             (long long)forward_ms_since (forward, forward->arrived_at),
             forward->sent_attempts + (forward->attempt != NULL));
  forward_cancel_attempt (forward, FLEET_CLIENT_LEFT);
  talloc_free (forward);
}
