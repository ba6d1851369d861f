#include "relay/forward.h"

#include "kernel/counter.h"
#include "kernel/histogram.h"
#include "kernel/log.h"
#include "kernel/random.h"
#include "relay/silence.h"

#include <string.h>

enum
{
  DEFAULT_PATIENCE_MS = 60000, /* of a client that tells none */
  HOLD_MOST_MS = 1600,         /* clients leave silent streams after two s */
  HOLD_DIVISOR = 2,            /* part of the time left spent waiting */
  LATE_DIVISOR = 2, /* part of the objective after which a start is late */
  WAKE_MS = 20,     /* between tries for those that wait */
  EXTRA_SENDS = 2,  /* after upstreams that did not run the request */
  MAX_UNREACHABLE = 6,
  RETRY_AFTER_DIVISOR = 4, /* clients heed up to a third of their time left */
  RETRY_AFTER_LEAST_MS = 50
};

COUNTER_DEFINE (requests_total, "siskin_relay_requests_total",
                "Requests read from clients");
COUNTER_DEFINE_LABELLED (ended_whole, "siskin_relay_answers_total",
                         "end=\"whole\"", "Answers passed on");
COUNTER_DEFINE_LABELLED (ended_broken, "siskin_relay_answers_total",
                         "end=\"broken-off\"", "Answers passed on");
COUNTER_DEFINE (clients_left, "siskin_relay_clients_left_total",
                "Clients that left before their answer's end");
COUNTER_DEFINE (failures_total, "siskin_relay_failures_total",
                "Requests that got no upstream's answer");
HISTOGRAM_DEFINE (first_part, "siskin_relay_first_part_seconds",
                  "From a request's arrival to the first part of its answer");
HISTOGRAM_DEFINE (longest_gap, "siskin_relay_longest_gap_seconds",
                  "The longest wait between two parts of an answer");
HISTOGRAM_DEFINE (whole_time, "siskin_relay_answer_seconds",
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
  return clock_monotonic (forward->share->relay->clock);
}

static int64_t
ms_since (const forward_t *forward, struct timespec then)
{
  return timespec_to_ms (timespec_subtract (forward_now (forward), then));
}

/* Return the time until the request's deadline, never negative.  */
struct timespec
forward_time_left (const forward_t *forward)
{
  struct timespec left
      = timespec_subtract (forward->deadline, forward_now (forward));

  return left.tv_sec < 0 ? (struct timespec){ 0, 0 } : left;
}

static int
forward_free (forward_t *forward)
{
  LIST_REMOVE (forward, link);
  if (forward->is_waiting)
    TAILQ_REMOVE (&forward->share->waiting, forward, wait_link);
  attempt_timeout_stop (forward);
  rules_release (forward->rules);
  return 0;
}

/* Return after how many milliseconds the client got the first of its answer,
   -1 if it has not.  */
static int64_t
forward_first_ms (const forward_t *forward)
{
  if (timespec_is_zero (forward->first_at))
    return -1;
  return timespec_to_ms (
      timespec_subtract (forward->first_at, forward->arrived_at));
}

/* The client's answer is over.  */
void
forward_finish (forward_t *forward, bool is_complete)
{
  int64_t first_ms = forward_first_ms (forward);
  int64_t took_ms = ms_since (forward, forward->arrived_at);

  counter_add (is_complete ? &ended_whole : &ended_broken, 1);
  histogram_record (&whole_time, took_ms);
  histogram_record (&longest_gap, forward->longest_gap_ms);
  if (first_ms >= 0)
    histogram_record (&first_part, first_ms);
  log_event (is_complete ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, "answer-ended",
             "request=%s route=%s whole=%d ms=%lld first_ms=%lld gap_ms=%lld "
             "sends=%u runs=%u",
             forward->request->id, forward->route->name, is_complete,
             (long long)took_ms, (long long)first_ms,
             (long long)forward->longest_gap_ms, forward->sends,
             forward->runs);
  forward->ops->on_end (forward, is_complete, forward->data);
  talloc_free (forward);
}

/* The client gets no upstream's answer.  */
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
             (long long)ms_since (forward, forward->arrived_at),
             forward->sends, forward->runs, forward->unreachable,
             (long long)timespec_to_ms (retry_after));
  forward->ops->on_failure (forward, failure, retry_after, forward->data);
  talloc_free (forward);
}

/* No upstream ran the request and none will.  WHY is for the log.  */
void
forward_refuse (forward_t *forward, const char *why)
{
  int64_t left_ms = timespec_to_ms (forward_time_left (forward));
  int64_t retry_ms = left_ms / RETRY_AFTER_DIVISOR;

  log_event (LOG_LEVEL_NOTICE, "refused", "request=%s why=%s",
             forward->request->id, why);
  if (retry_ms < RETRY_AFTER_LEAST_MS)
    retry_ms = RETRY_AFTER_LEAST_MS;
  forward_fail (forward, RELAY_NOT_RUN, timespec_from_ms (retry_ms));
}

static void
forward_log_attempt (const forward_t *forward, fleet_result_t result)
{
  const forward_attempt_t *attempt = forward->attempt;

  log_event (result == FLEET_SERVED ? LOG_LEVEL_INFO : LOG_LEVEL_NOTICE,
             "attempt-ended",
             "request=%s upstream=%s result=%s status=%u ms=%lld "
             "silent_ms=%lld begun=%d error=\"%s\"",
             forward->request->id, attempt->choice.upstream,
             fleet_result_name (result), attempt->http_status,
             (long long)ms_since (forward, attempt->sent_at),
             (long long)(forward->is_watched
                             ? ms_since (forward, forward->heard_at)
                             : 0),
             forward->is_begun, attempt->error == NULL ? "" : attempt->error);
}

/* The attempt is over; RESULT is what the fleet learns of it.  */
void
forward_finish_attempt (forward_t *forward, fleet_result_t result)
{
  forward_attempt_t *attempt = forward->attempt;

  forward_log_attempt (forward, result);
  forward->attempt = NULL;
  forward->is_paused = false;
  attempt_timeout_stop (forward);
  fleet_release (forward->share->relay->fleet, attempt->choice.upstream,
                 &forward->wanted.work, result,
                 ms_since (forward, attempt->sent_at));
  if (forward->wanted.tried_count < FLEET_MAX_TRIED)
    forward->wanted.tried[forward->wanted.tried_count++]
        = talloc_steal (forward, attempt->choice.upstream);
  talloc_free (attempt);
}

/* Break the attempt off, not from within its own events.  */
void
forward_cancel_attempt (forward_t *forward, fleet_result_t result)
{
  if (forward->attempt == NULL)
    return;
  forward->share->relay->egress_ops->cancel (forward->attempt->call);
  forward_finish_attempt (forward, result);
}

static void
forward_handle_deadline (worker_t *worker, void *data)
{
  forward_t *forward = data;
  static const struct timespec no_advice = { 0, 0 };

  (void)worker;
  forward->deadline_timer = NULL;
  if (forward->attempt != NULL)
    {
      forward->runs++;
      forward_cancel_attempt (forward, FLEET_TIMED_OUT);
    }
  if (forward->is_begun)
    forward_finish (forward, false);
  else
    forward_fail (forward, forward->runs > 0 ? RELAY_TIMEOUT : RELAY_NOT_RUN,
                  no_advice);
}

static void
forward_set_deadline (forward_t *forward)
{
  const relay_request_t *request = forward->request;
  struct timespec patience = request->has_client_timeout
                                 ? request->patience
                                 : timespec_from_ms (DEFAULT_PATIENCE_MS);
  struct timespec timeout = forward->route->timeout;
  int64_t hold_ms;

  if (timespec_to_ms (timeout) > 0 && timespec_compare (timeout, patience) < 0)
    patience = timeout;
  hold_ms = timespec_to_ms (patience) / HOLD_DIVISOR;
  if (hold_ms > HOLD_MOST_MS)
    hold_ms = HOLD_MOST_MS;
  forward->deadline = timespec_add (forward->arrived_at, patience);
  forward->hold_until
      = timespec_add (forward->arrived_at, timespec_from_ms (hold_ms));
  forward->deadline_timer
      = worker_timer_start (forward->share->worker, forward, patience,
                            forward_handle_deadline, forward);
}

static void
share_handle_wake (worker_t *worker, void *data)
{
  relay_worker_t *share = data;

  (void)worker;
  share->wake_timer = NULL;
  forward_retry_queued (share);
}

static void
share_arm_wake (relay_worker_t *share)
{
  if (share->wake_timer == NULL && !TAILQ_EMPTY (&share->waiting))
    share->wake_timer = worker_timer_start (
        share->worker, worker_events (share->worker),
        timespec_from_ms (WAKE_MS), share_handle_wake, share);
}

static void
forward_stop_waiting (forward_t *forward)
{
  if (!forward->is_waiting)
    return;
  forward->is_waiting = false;
  TAILQ_REMOVE (&forward->share->waiting, forward, wait_link);
}

/* Let the request wait until an upstream can take it, or refuse it when it has
   waited long enough.  */
static void
forward_wait (forward_t *forward, fleet_shortage_t shortage)
{
  if (timespec_compare (forward_now (forward), forward->hold_until) >= 0)
    {
      if (forward->is_begun)
        forward_finish (forward, false);
      else if (forward->runs > 0)
        forward_fail (forward, RELAY_OUTCOME_UNKNOWN,
                      (struct timespec){ 0, 0 });
      else
        forward_refuse (forward, fleet_shortage_name (shortage));
      return;
    }
  if (!forward->is_waiting)
    {
      log_event (LOG_LEVEL_INFO, "waits", "request=%s service=%s why=%s",
                 forward->request->id, forward->wanted.service,
                 fleet_shortage_name (shortage));
      forward->is_waiting = true;
      TAILQ_INSERT_TAIL (&forward->share->waiting, forward, wait_link);
    }
  share_arm_wake (forward->share);
}

/* Return whether the answer to a request that is sent now will be late.  */
static bool
forward_is_late (const forward_t *forward)
{
  return ms_since (forward, forward->arrived_at)
         > timespec_to_ms (forward->route->objective) / LATE_DIVISOR;
}

/* Try once more for the waiting requests that are late, or for the others.
   Each keeps its place if it has to wait on.  */
static void
share_try_waiting (relay_worker_t *share, bool are_late)
{
  forward_t *forward = TAILQ_FIRST (&share->waiting);

  while (forward != NULL)
    {
      forward_t *next = TAILQ_NEXT (forward, wait_link);

      forward->wanted.is_late = forward_is_late (forward);
      if (forward->wanted.is_late == are_late)
        forward_dispatch (forward);
      forward = next;
    }
}

/* Try once more for the requests that wait: first those that can still be in
   time, each kind oldest first.  */
void
forward_retry_queued (relay_worker_t *share)
{
  share_try_waiting (share, false);
  share_try_waiting (share, true);
  share_arm_wake (share);
}

/* Find an upstream and send the request there.  */
void
forward_dispatch (forward_t *forward)
{
  relay_t *relay = forward->share->relay;
  TALLOC_CTX *memory = talloc_new (forward);
  fleet_choice_t choice;
  fleet_shortage_t shortage
      = fleet_choose (relay->fleet, memory, &forward->wanted, &choice);

  if (shortage != FLEET_SHORTAGE_NONE)
    {
      talloc_free (memory);
      forward_wait (forward, shortage);
      return;
    }
  forward_stop_waiting (forward);
  if (forward->sends + forward->unreachable == 0)
    histogram_record (&queue_time, ms_since (forward, forward->arrived_at));
  log_event (
      LOG_LEVEL_INFO, "sent",
      "request=%s service=%s upstream=%s zone=%s reason=%s "
      "candidates=%u cold=%d running=%llu report_age_ms=%lld rules=%llu "
      "send=%u after_ms=%lld left_ms=%lld",
      forward->request->id, forward->wanted.service, choice.upstream,
      choice.zone, choice.reason, choice.candidates, choice.is_cold,
      (unsigned long long)choice.running, (long long)choice.report_age_ms,
      (unsigned long long)forward->rules->version, forward->sends + 1,
      (long long)ms_since (forward, forward->arrived_at),
      (long long)timespec_to_ms (forward_time_left (forward)));
  if (attempt_start (forward, &choice, memory))
    return;
  fleet_release (relay->fleet, choice.upstream, &forward->wanted.work,
                 FLEET_CLIENT_LEFT, 0);
  talloc_free (memory);
  forward_refuse (forward, "cannot-send");
}

/* Return whether the request may be sent once more, and if so count that.
   UNDER_WAY sendings may have run, besides those that have ended.  */
bool
forward_take_retry (forward_t *forward, unsigned under_way)
{
  const route_t *route = forward->route;
  unsigned runs = forward->runs + under_way;
  const char *why_not = NULL;

  if (runs > 0 && !route_is_repeatable (route))
    why_not = "not-repeatable";
  else if ((runs > 0 && runs >= route->attempts)
           || forward->sends + under_way >= route->attempts + EXTRA_SENDS)
    why_not = "attempts-used";
  else if (forward->unreachable > MAX_UNREACHABLE)
    why_not = "unreachable";
  else if (timespec_to_ms (forward_time_left (forward)) <= 0)
    why_not = "no-time-left";
  /* One that reached no upstream is no repeat.  */
  else if (forward->sends + under_way > 0
           && !retry_budget_take (forward->share->relay->budget,
                                  forward->wanted.service))
    why_not = "no-budget";
  if (why_not == NULL)
    return true;
  if (under_way == 0)
    log_event (LOG_LEVEL_NOTICE, "no-repeat",
               "request=%s why=%s sends=%u runs=%u attempts=%u",
               forward->request->id, why_not, forward->sends, forward->runs,
               route->attempts);
  return false;
}

/* Find whose the request is and where it goes.  Returns RELAY_FAILURE_COUNT
   when it can be sent.  */
static relay_failure_t
forward_find_route (forward_t *forward)
{
  const relay_request_t *request = forward->request;

  forward->rules = relay_rules (forward->share->relay);
  if (forward->rules == NULL)
    return RELAY_NO_RULES;
  forward->route
      = rules_route (forward->rules, request->host, request->target);
  if (forward->route == NULL)
    return RELAY_NO_ROUTE;
  if (forward->rules->has_accounts && request->key[0] != '\0')
    forward->account = rules_account (forward->rules, request->key);
  if (forward->rules->has_accounts && forward->account == NULL
      && !forward->route->is_public)
    return RELAY_NO_ACCOUNT;
  forward->wanted.service
      = route_choose_target (forward->route, random_next ());
  return forward->wanted.service == NULL ? RELAY_NO_ROUTE
                                         : RELAY_FAILURE_COUNT;
}

/* Start a request.  Returns NULL when it has ended within the call, after its
   callback.  */
forward_t *
forward_start (relay_worker_t *share, const relay_request_t *request,
               const forward_ops_t *ops, void *data)
{
  forward_t *forward = talloc_zero (worker_events (share->worker), forward_t);
  relay_failure_t failure;

  if (forward == NULL)
    {
      ops->on_failure (NULL, RELAY_NOT_RUN, (struct timespec){ 0, 0 }, data);
      return NULL;
    }
  counter_add (&requests_total, 1);
  forward->share = share;
  forward->request = request;
  forward->ops = ops;
  forward->data = data;
  forward->arrived_at = forward_now (forward);
  forward->has_last_event = request->has_last_event;
  forward->last_event = request->last_event;
  LIST_INSERT_HEAD (&share->forwards, forward, link);
  talloc_set_destructor (forward, forward_free);
  failure = forward_find_route (forward);
  if (failure != RELAY_FAILURE_COUNT)
    {
      forward_fail (forward, failure,
                    failure == RELAY_NO_RULES
                        ? timespec_from_ms (RETRY_AFTER_LEAST_MS)
                        : (struct timespec){ 0, 0 });
      return NULL;
    }
  forward->wanted.route = forward->route;
  forward->wanted.work = (pick_request_t){
    .prompt_tokens = request->prompt_tokens,
    .output_tokens = request->output_tokens,
    .zone = daemon_config (share->relay->daemon)->zone,
  };
  forward_set_deadline (forward);
  retry_budget_count_request (share->relay->budget, forward->wanted.service);
  forward_dispatch (forward);
  return forward;
}

/* The client is gone: break off what is under way and free FORWARD.  */
void
forward_cancel (forward_t *forward)
{
  counter_add (&clients_left, 1);
  log_event (LOG_LEVEL_NOTICE, "client-left", "request=%s ms=%lld sends=%u",
             forward->request->id,
             (long long)ms_since (forward, forward->arrived_at),
             forward->sends + (forward->attempt != NULL));
  forward_cancel_attempt (forward, FLEET_CLIENT_LEFT);
  talloc_free (forward);
}
