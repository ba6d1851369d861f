#include "entry/call.h"

#include "kernel/counter.h"
#include "kernel/invariant.h"
#include "kernel/log.h"

#include <string.h>
#include <xxhash.h>

enum
{
  DEADLINE_GRACE_MS = 500, /* wait for the agent to report the outcome */
  UPSTREAM_WAIT_TIMEOUT_MS = 5000, /* wait for an available upstream */
  WAKE_DELAY_MS = 5,               /* batches events that may end a wait */
  NO_UPSTREAM_RETRY_AFTER_MS = 1000
};

COUNTER_DEFINE (calls_total, "siskin_calls_total", "Requests from callers");
COUNTER_DEFINE (calls_retried, "siskin_calls_retried_total",
                "Requests sent to a second upstream out of the budget");
COUNTER_DEFINE (calls_rerouted, "siskin_calls_rerouted_total",
                "Requests sent elsewhere because an upstream was closed");
GAUGE_DEFINE (calls_waiting, "siskin_calls_waiting",
              "Requests that no upstream can take yet");
COUNTER_DEFINE_LABELLED (ended_ran, "siskin_calls_ended_total",
                         "outcome=\"ran\"", "Requests answered");
COUNTER_DEFINE_LABELLED (ended_not_run, "siskin_calls_ended_total",
                         "outcome=\"not-run\"", "Requests answered");
COUNTER_DEFINE_LABELLED (ended_unknown, "siskin_calls_ended_total",
                         "outcome=\"unknown\"", "Requests answered");

static counter_t *const ended_counters[OUTCOME_COUNT] = {
  [OUTCOME_NOT_RUN] = &ended_not_run,
  [OUTCOME_RAN] = &ended_ran,
  [OUTCOME_UNKNOWN] = &ended_unknown,
};

/* Whether a request that one agent refused may be sent to another.  */
typedef enum retry_kind
{
  RETRY_NEVER,
  RETRY_BUDGETED, /* if the retry budget allows it */
  RETRY_FREE /* without budget: the choice was based on outdated state of an
                upstream that is closed */
} retry_kind_t;

static const retry_kind_t refusal_retry_kinds[REFUSAL_COUNT] = {
  [REFUSAL_OVERLOAD] = RETRY_BUDGETED, [REFUSAL_COLD] = RETRY_BUDGETED,
  [REFUSAL_UPSTREAM] = RETRY_BUDGETED, [REFUSAL_LEAVING] = RETRY_FREE,
  [REFUSAL_ZONE_OUT] = RETRY_FREE,     [REFUSAL_ISOLATED] = RETRY_FREE,
};

static void call_route (call_t *call);

/* End the current attempt: stop counting the call's work on its upstream and
   detach it from the link.  */
static void
call_release_upstream (call_t *call)
{
  if (call->agent_link == NULL)
    return;
  router_release (call->entry_worker->entry->router,
                  agent_link_upstream (call->agent_link), &call->work);
  agent_link_detach (call->agent_link, call);
  call->agent_link = NULL;
  TALLOC_FREE (call->resume_timer);
  call->is_link_lost = false;
}

static void
call_dequeue (call_t *call)
{
  if (!call->is_waiting)
    return;
  TAILQ_REMOVE (&call->entry_worker->waiting, call, wait_entry);
  call->entry_worker->waiting_count--;
  call->is_waiting = false;
  counter_add (&calls_waiting, -1);
}

static void
call_insert_in_table (call_t *call)
{
  table_t *calls = call->entry_worker->entry->calls;

  table_lock (calls);
  table_insert (calls, &call->node, &call->attempt_id,
                sizeof call->attempt_id);
  table_unlock (calls);
}

static void
call_remove_from_table (call_t *call)
{
  table_t *calls = call->entry_worker->entry->calls;

  table_lock (calls);
  table_remove (calls, &call->node);
  table_unlock (calls);
}

/* Report RESULT to the caller and free CALL.  If an earlier attempt may have
   run, the outcome is never reported as not run.  */
void
call_end (call_t *call, const call_result_t *result)
{
  call_result_t final = *result;

  if (final.outcome == OUTCOME_NOT_RUN && call->may_have_run)
    final.outcome = OUTCOME_UNKNOWN;
  INVARIANT (final.outcome != OUTCOME_NOT_RUN || !call->is_head_delivered,
             "not-run-has-no-answer");
  call_dequeue (call);
  call_release_upstream (call);
  call_remove_from_table (call);
  counter_add (ended_counters[final.outcome], 1);
  log_event (LOG_LEVEL_NOTICE, "call-ended",
             "request=%016llx-%llu outcome=%s refusal=%s complete=%d "
             "bytes=%llu attempts=%u detail=\"%s\"",
             (unsigned long long)call->id.incarnation,
             (unsigned long long)call->id.sequence,
             outcome_name (final.outcome), refusal_name (final.refusal),
             (int) final.is_complete, (unsigned long long)call->received_bytes,
             call->submit_count, final.detail == NULL ? "" : final.detail);
  if (!call->is_cancelled)
    call->ops->on_end (call, &final, call->data);
  call->entry_worker->open_calls--;
  talloc_free (call);
}

/* End CALL with a failure, before or during its response.  */
void
call_fail (call_t *call, outcome_t outcome, refusal_t refusal,
           const char *detail)
{
  call_result_t result
      = { .outcome = outcome, .refusal = refusal, .detail = detail };

  call_end (call, &result);
}

/* Send a control frame (CANCEL, ACK or RESUME) about CALL to its agent.  */
void
call_send_control (call_t *call, frame_type_t type, uint64_t offset,
                   bool is_final)
{
  frame_t frame = { .header = { .type = type, .request = call->attempt_id } };
  struct timespec now
      = clock_monotonic (worker_clock (call->entry_worker->worker));

  if (call->agent_link == NULL)
    return;
  if (type != FRAME_CANCEL)
    {
      frame.body.offset.offset = offset;
      frame.body.offset.is_final = is_final;
      frame.body.offset.age_ms = (uint64_t)timespec_to_ms (
          timespec_subtract (now, call->submitted_at));
    }
  agent_link_send (call->agent_link, &frame);
}

static int64_t
call_remaining_ms (const call_t *call)
{
  struct timespec now
      = clock_monotonic (worker_clock (call->entry_worker->worker));

  return timespec_to_ms (timespec_subtract (call->deadline, now));
}

/* Return whether another attempt is safe: no part of a response was passed on,
   the request has certainly not run or may run twice, and the time left
   exceeds the service's typical time to first byte.  */
static bool
call_may_retry (const call_t *call, const call_result_t *result)
{
  if (call->is_head_delivered || call->is_cancelled || call->is_expired
      || call->submit_count >= ROUTER_MAX_ATTEMPTS)
    return false;
  if (result->outcome != OUTCOME_NOT_RUN && !call->submit.is_repeatable)
    return false;
  return call_remaining_ms (call) > router_typical_first_byte_ms (
             call->entry_worker->entry->router, call->submit.service);
}

/* Take one retry from the budget and exclude the current upstream from the
   next choice.  Returns false when the settings or the budget do not allow a
   retry.  */
static bool
call_reserve_retry (call_t *call)
{
  entry_t *entry = call->entry_worker->entry;
  settings_t *settings = node_settings (entry->node);
  unsigned attempts
      = settings == NULL ? 1 : (unsigned)settings->retry.attempts;

  if (settings != NULL)
    settings_release (settings);
  if (call->tried_count + 1 >= attempts
      || call->tried_count + 1 >= ROUTER_MAX_ATTEMPTS
      || !router_reserve_retry (entry->router))
    return false;
  call->tried[call->tried_count++]
      = talloc_strdup (call, agent_link_upstream (call->agent_link));
  counter_add (&calls_retried, 1);
  return true;
}

/* Send the request to another upstream after RESULT of the current attempt, if
   that is safe and allowed.  Returns false when CALL has to end.  */
bool
call_retry (call_t *call, const call_result_t *result)
{
  retry_kind_t kind = refusal_retry_kinds[result->refusal];

  if (kind == RETRY_NEVER || !call_may_retry (call, result))
    return false;
  if (kind == RETRY_BUDGETED && !call_reserve_retry (call))
    return false;
  if (kind == RETRY_FREE)
    {
      router_exclude_until_report (call->entry_worker->entry->router,
                                   agent_link_upstream (call->agent_link));
      counter_add (&calls_rerouted, 1);
    }
  if (result->outcome != OUTCOME_NOT_RUN)
    call->may_have_run = true;
  call->last_refusal = *result;
  call->last_refusal.detail = "refused by an earlier upstream";
  call_release_upstream (call);
  call_route (call);
  return true;
}

static void
call_log_route (const call_t *call, const router_choice_t *choice)
{
  log_event (LOG_LEVEL_NOTICE, "routed",
             "request=%016llx-%llu job=%llu account=%s service=%s "
             "upstream=%s zone=%s policy=%s reason=%s candidates=%u "
             "attempt=%u",
             (unsigned long long)call->id.incarnation,
             (unsigned long long)call->id.sequence,
             (unsigned long long)call->attempt_id.sequence,
             call->submit.account, call->submit.service, choice->upstream,
             choice->zone, choice->policy, choice->reason, choice->candidates,
             call->submit_count);
}

/* Start a new attempt.  Each has its own id, so that the same agent can be
   tried again and late frames of an earlier attempt are not attributed to a
   later one.  */
static void
call_begin_attempt (call_t *call)
{
  if (call->submit_count > 0)
    {
      call_remove_from_table (call);
      call->attempt_id.sequence
          = atomic_fetch_add (&call->entry_worker->entry->last_sequence, 1)
            + 1;
      call_insert_in_table (call);
    }
  call->submit_count++;
}

/* Submit CALL to the agent of the chosen upstream.  */
static void
call_submit_to (call_t *call, const router_choice_t *choice)
{
  entry_worker_t *entry_worker = call->entry_worker;
  agent_link_t *agent_link = agent_link_find (entry_worker, choice->upstream);
  frame_t frame = { .header = { .type = FRAME_SUBMIT } };
  call_result_t not_sent = { .outcome = OUTCOME_NOT_RUN,
                             .refusal = REFUSAL_LEAVING,
                             .detail = "no connection to the agent" };
  int64_t remaining_ms = call_remaining_ms (call);

  if (agent_link == NULL)
    {
      router_release (entry_worker->entry->router, choice->upstream,
                      &call->work);
      call_fail (call, OUTCOME_NOT_RUN, REFUSAL_UPSTREAM, not_sent.detail);
      return;
    }
  call_begin_attempt (call);
  call->agent_link = agent_link;
  agent_link_attach (agent_link, call);
  call->submitted_at = clock_monotonic (worker_clock (entry_worker->worker));
  frame.header.request = call->attempt_id;
  frame.body.submit = call->submit;
  frame.body.submit.deadline_ms
      = remaining_ms > 0 ? (uint64_t)remaining_ms : 0;
  call_log_route (call, choice);
  if (agent_link_send (agent_link, &frame) == STATUS_OK)
    call->agent_incarnation = agent_link_incarnation (agent_link);
  else if (!call_retry (call, &not_sent))
    call_end (call, &not_sent);
}

/* No upstream has become available in time: end CALL with its last refusal, or
   as overload if it was never submitted.  */
static void
call_handle_wait_timeout (worker_t *worker, void *data)
{
  call_t *call = data;

  (void)worker;
  call->wait_timer = NULL;
  if (call->submit_count > 0)
    call_end (call, &call->last_refusal);
  else
    {
      call_result_t result = { .outcome = OUTCOME_NOT_RUN,
                               .refusal = REFUSAL_OVERLOAD,
                               .retry_after_ms = NO_UPSTREAM_RETRY_AFTER_MS,
                               .detail = "no upstream can take the request" };

      call_end (call, &result);
    }
}

/* Queue CALL until an upstream may have become available.
   UPSTREAM_WAIT_TIMEOUT_MS covers all waits until the next submission.  */
static void
call_enqueue (call_t *call)
{
  entry_worker_t *entry_worker = call->entry_worker;

  TAILQ_INSERT_TAIL (&entry_worker->waiting, call, wait_entry);
  entry_worker->waiting_count++;
  call->is_waiting = true;
  counter_add (&calls_waiting, 1);
  if (call->wait_timer != NULL)
    return;
  call->wait_timer = worker_timer_start (
      entry_worker->worker, call, timespec_from_ms (UPSTREAM_WAIT_TIMEOUT_MS),
      call_handle_wait_timeout, call);
  log_event (LOG_LEVEL_NOTICE, "call-waits",
             "request=%016llx-%llu service=%s reason=no-upstream",
             (unsigned long long)call->id.incarnation,
             (unsigned long long)call->id.sequence, call->submit.service);
}

/* Choose an upstream and submit CALL to it.  Without one, end CALL if a
   budgeted retry was refused before, and otherwise queue it.  */
static void
call_route (call_t *call)
{
  router_request_t request = { .service = call->submit.service,
                               .model = call->model,
                               .work = call->work,
                               .tried_count = call->tried_count };
  router_choice_t choice = { 0 };

  memcpy (request.tried, call->tried, sizeof request.tried);
  if (router_choose (call->entry_worker->entry->router, call,
                     worker_index (call->entry_worker->worker), &request,
                     &choice)
      == STATUS_OK)
    {
      TALLOC_FREE (call->wait_timer);
      call_submit_to (call, &choice);
    }
  else if (refusal_retry_kinds[call->last_refusal.refusal] == RETRY_BUDGETED)
    call_end (call, &call->last_refusal);
  else
    call_enqueue (call);
}

/* Route each waiting call once; those that still find no upstream are queued
   again.  */
static void
call_route_waiting (worker_t *worker, void *data)
{
  entry_worker_t *entry_worker = data;
  unsigned count = entry_worker->waiting_count;

  (void)worker;
  entry_worker->wake_timer = NULL;
  while (count-- > 0 && !TAILQ_EMPTY (&entry_worker->waiting))
    {
      call_t *call = TAILQ_FIRST (&entry_worker->waiting);

      call_dequeue (call);
      call_route (call);
    }
}

/* An upstream may have become available: after WAKE_DELAY_MS route all waiting
   calls, in order of arrival.  */
void
call_wake_waiting (entry_worker_t *entry_worker)
{
  if (entry_worker->waiting_count == 0 || entry_worker->wake_timer != NULL)
    return;
  entry_worker->wake_timer = worker_timer_start (
      entry_worker->worker, worker_events (entry_worker->worker),
      timespec_from_ms (WAKE_DELAY_MS), call_route_waiting, entry_worker);
}

static void
call_handle_deadline_grace (worker_t *worker, void *data)
{
  call_t *call = data;

  (void)worker;
  call->deadline_timer = NULL;
  call_fail (call, call->is_head_delivered ? OUTCOME_RAN : OUTCOME_UNKNOWN,
             REFUSAL_DEADLINE, "the agent did not say what became of it");
}

/* The deadline has passed.  Only the agent knows whether a submitted request
   has run: cancel it there and wait DEADLINE_GRACE_MS for the reply.  */
static void
call_handle_deadline (worker_t *worker, void *data)
{
  call_t *call = data;

  (void)worker;
  call->deadline_timer = NULL;
  if (call->agent_link == NULL)
    {
      call_fail (call, OUTCOME_NOT_RUN, REFUSAL_DEADLINE,
                 "the deadline passed before any upstream had it");
      return;
    }
  call->is_expired = true;
  call_send_control (call, FRAME_CANCEL, 0, false);
  call->deadline_timer = worker_timer_start (
      call->entry_worker->worker, call, timespec_from_ms (DEADLINE_GRACE_MS),
      call_handle_deadline_grace, call);
}

static void
call_copy_request (call_t *call, const call_request_t *request)
{
  call->submit = (frame_submit_t){
    .account = talloc_strdup (call, request->account),
    .service = talloc_strdup (call, request->service),
    .method = talloc_strdup (call, request->method),
    .path = talloc_strdup (call, request->path),
    .content_type = talloc_strdup (call, request->content_type),
    .key = talloc_strdup (call, request->key),
    .prompt_tokens = request->prompt_tokens,
    .output_tokens = request->output_tokens,
    .is_repeatable = request->is_repeatable,
    .body = { talloc_memdup (call, request->body.data, request->body.size),
              request->body.size },
  };
  call->model = talloc_strdup (call, request->model);
  call->work = (pick_request_t){
    .key_hash = request->key[0] == '\0'
                    ? 0
                    : XXH3_64bits (request->key, strlen (request->key)),
    .prompt_tokens = request->prompt_tokens,
    .output_tokens = request->output_tokens,
    .prefix_blocks = talloc_memdup (call, request->prefix_blocks,
                                    request->prefix_block_count
                                        * sizeof *request->prefix_blocks),
    .prefix_block_count = request->prefix_block_count,
  };
}

static void
call_handle_start (worker_t *worker, void *data)
{
  (void)worker;
  call_route (data);
}

/* Accept REQUEST and return its call.  The callbacks in OPS run from the event
   loop, never within this function.  Returns NULL when memory is
   exhausted.  */
call_t *
call_submit (entry_worker_t *entry_worker, const call_request_t *request,
             const call_ops_t *ops, void *data)
{
  entry_t *entry = entry_worker->entry;
  call_t *call = talloc_zero (worker_events (entry_worker->worker), call_t);

  if (call == NULL)
    return NULL;
  call->entry_worker = entry_worker;
  call->ops = ops;
  call->data = data;
  call->id.incarnation = node_incarnation (entry->node);
  call->id.sequence = atomic_fetch_add (&entry->last_sequence, 1) + 1;
  call->attempt_id = call->id;
  call->deadline
      = timespec_add (clock_monotonic (worker_clock (entry_worker->worker)),
                      request->deadline);
  call_copy_request (call, request);
  call->deadline_timer
      = worker_timer_start (entry_worker->worker, call, request->deadline,
                            call_handle_deadline, call);
  call_insert_in_table (call);
  entry_worker->open_calls++;
  counter_add (&calls_total, 1);
  worker_timer_start (entry_worker->worker, call, timespec_from_ms (0),
                      call_handle_start, call);
  return call;
}

/* The caller has disconnected: cancel the work and free CALL, without
   on_end.  */
void
call_cancel (call_t *call)
{
  call->is_cancelled = true;
  call_send_control (call, FRAME_CANCEL, 0, false);
  call_fail (call,
             call->agent_link == NULL ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN,
             REFUSAL_CANCELLED, "the caller disconnected");
}

/* Return the request's id, for logs and response headers.  */
request_id_t
call_id (const call_t *call)
{
  return call->id;
}
