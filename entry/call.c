#include "entry/call.h"

#include "kernel/counter.h"
#include "kernel/invariant.h"
#include "kernel/log.h"

#include <string.h>
#include <xxhash.h>

enum
{
  DEADLINE_GRACE_MS = 500, /* for the agent's own word on the deadline */
  WAIT_PATIENCE_MS = 5000, /* for some upstream to become available */
  WAKE_DELAY_MS = 5,       /* gathers events that may end a wait */
  NO_UPSTREAM_RETRY_MS = 1000
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

/* What a refusal by one agent means for trying another.  */
typedef enum retry_kind
{
  RETRY_NEVER,
  RETRY_BUDGETED, /* costs a retry, of which there are few */
  RETRY_FREE      /* the upstream is closed: the choice was out of date */
} retry_kind_t;

static const retry_kind_t refusal_retry_kinds[REFUSAL_COUNT] = {
  [REFUSAL_OVERLOAD] = RETRY_BUDGETED, [REFUSAL_COLD] = RETRY_BUDGETED,
  [REFUSAL_UPSTREAM] = RETRY_BUDGETED, [REFUSAL_LEAVING] = RETRY_FREE,
  [REFUSAL_ZONE_OUT] = RETRY_FREE,     [REFUSAL_ISOLATED] = RETRY_FREE,
};

static void call_route (call_t *call);

static void
call_leave_upstream (call_t *call)
{
  if (call->agent_link == NULL)
    return;
  router_release (call->share->entry->router,
                  agent_link_upstream (call->agent_link), &call->work);
  agent_link_detach (call->agent_link, call);
  call->agent_link = NULL;
  TALLOC_FREE (call->resume_timer);
  call->is_link_lost = false;
}

static void
call_stop_waiting (call_t *call)
{
  if (!call->is_waiting)
    return;
  TAILQ_REMOVE (&call->share->waiting, call, wait_entry);
  call->share->waiting_count--;
  call->is_waiting = false;
  counter_add (&calls_waiting, -1);
}

static void
call_enter_table (call_t *call)
{
  table_t *calls = call->share->entry->calls;

  table_lock (calls);
  table_insert (calls, &call->node, &call->attempt_id,
                sizeof call->attempt_id);
  table_unlock (calls);
}

static void
call_leave_table (call_t *call)
{
  table_t *calls = call->share->entry->calls;

  table_lock (calls);
  table_remove (calls, &call->node);
  table_unlock (calls);
}

/* Tell the caller how its request ended and free CALL.  What an earlier
   attempt may have done counts: such a request is never said not to have
   run.  */
void
call_end (call_t *call, const call_result_t *result)
{
  call_result_t final = *result;

  if (final.outcome == OUTCOME_NOT_RUN && call->may_have_run)
    final.outcome = OUTCOME_UNKNOWN;
  INVARIANT (final.outcome != OUTCOME_NOT_RUN || !call->is_head_delivered,
             "not-run-has-no-answer");
  call_stop_waiting (call);
  call_leave_upstream (call);
  call_leave_table (call);
  counter_add (ended_counters[final.outcome], 1);
  log_event (LOG_LEVEL_NOTICE, "call-ended",
             "request=%016llx-%llu outcome=%s refusal=%s complete=%d "
             "bytes=%llu attempts=%u detail=\"%s\"",
             (unsigned long long)call->id.incarnation,
             (unsigned long long)call->id.sequence,
             outcome_name (final.outcome), refusal_name (final.refusal),
             (int) final.is_complete, (unsigned long long)call->received,
             call->submit_count, final.detail == NULL ? "" : final.detail);
  if (!call->is_cancelled)
    call->ops->on_end (call, &final, call->data);
  call->share->open_calls--;
  talloc_free (call);
}

/* End CALL without an answer or in the middle of one.  */
void
call_fail (call_t *call, outcome_t outcome, refusal_t refusal,
           const char *detail)
{
  call_result_t result
      = { .outcome = outcome, .refusal = refusal, .detail = detail };

  call_end (call, &result);
}

/* Send a frame without content about CALL to the agent that has it.  */
void
call_send_plain (call_t *call, frame_type_t type, uint64_t offset,
                 bool is_final)
{
  frame_t frame = { .header = { .type = type, .request = call->attempt_id } };
  struct timespec now = clock_monotonic (worker_clock (call->share->worker));

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
call_left_ms (const call_t *call)
{
  struct timespec now = clock_monotonic (worker_clock (call->share->worker));

  return timespec_to_ms (timespec_subtract (call->deadline, now));
}

/* Return whether the rules allow another attempt: nothing of an answer was
   passed on, it is certain that the request has not run or running twice does
   no harm, and there is time.  */
static bool
call_may_repeat (const call_t *call, const call_result_t *result)
{
  if (call->is_head_delivered || call->is_cancelled || call->is_expired
      || call->submit_count >= ROUTER_MAX_ATTEMPTS)
    return false;
  if (result->outcome != OUTCOME_NOT_RUN && !call->submit.is_repeatable)
    return false;
  return call_left_ms (call) > router_typical_first_byte_ms (
             call->share->entry->router, call->submit.service);
}

static bool
call_take_retry (call_t *call)
{
  entry_t *entry = call->share->entry;
  settings_t *settings = node_settings (entry->node);
  unsigned attempts
      = settings == NULL ? 1 : (unsigned)settings->retry.attempts;

  if (settings != NULL)
    settings_release (settings);
  if (call->tried_count + 1 >= attempts
      || call->tried_count + 1 >= ROUTER_MAX_ATTEMPTS
      || !router_take_retry (entry->router))
    return false;
  call->tried[call->tried_count++]
      = talloc_strdup (call, agent_link_upstream (call->agent_link));
  counter_add (&calls_retried, 1);
  return true;
}

/* Send the request to another upstream after RESULT of the present attempt, if
   that is safe and allowed.  Returns false when CALL has to end.  */
bool
call_retry (call_t *call, const call_result_t *result)
{
  retry_kind_t kind = refusal_retry_kinds[result->refusal];

  if (kind == RETRY_NEVER || !call_may_repeat (call, result))
    return false;
  if (kind == RETRY_BUDGETED && !call_take_retry (call))
    return false;
  if (kind == RETRY_FREE)
    {
      router_note_closed (call->share->entry->router,
                          agent_link_upstream (call->agent_link));
      counter_add (&calls_rerouted, 1);
    }
  if (result->outcome != OUTCOME_NOT_RUN)
    call->may_have_run = true;
  call->last_refusal = *result;
  call->last_refusal.detail = "refused by an earlier upstream";
  call_leave_upstream (call);
  call_route (call);
  return true;
}

static void
call_log_route (const call_t *call, const router_route_t *route)
{
  log_event (LOG_LEVEL_NOTICE, "routed",
             "request=%016llx-%llu job=%llu account=%s service=%s "
             "upstream=%s zone=%s policy=%s reason=%s candidates=%u "
             "attempt=%u",
             (unsigned long long)call->id.incarnation,
             (unsigned long long)call->id.sequence,
             (unsigned long long)call->attempt_id.sequence,
             call->submit.account, call->submit.service, route->upstream,
             route->zone, route->policy, route->reason, route->candidates,
             call->submit_count);
}

/* Each attempt has an id of its own, so that an agent can be tried again and
   nothing late from one attempt is taken for another.  */
static void
call_renew_attempt (call_t *call)
{
  if (call->submit_count > 0)
    {
      call_leave_table (call);
      call->attempt_id.sequence
          = atomic_fetch_add (&call->share->entry->next_sequence, 1) + 1;
      call_enter_table (call);
    }
  call->submit_count++;
}

static void
call_submit_to (call_t *call, const router_route_t *route)
{
  entry_worker_t *share = call->share;
  agent_link_t *agent_link = agent_link_find (share, route->upstream);
  frame_t frame = { .header = { .type = FRAME_SUBMIT } };
  call_result_t not_sent = { .outcome = OUTCOME_NOT_RUN,
                             .refusal = REFUSAL_LEAVING,
                             .detail = "no connection to the agent" };
  int64_t left = call_left_ms (call);

  if (agent_link == NULL)
    {
      router_release (share->entry->router, route->upstream, &call->work);
      call_fail (call, OUTCOME_NOT_RUN, REFUSAL_UPSTREAM, not_sent.detail);
      return;
    }
  call_renew_attempt (call);
  call->agent_link = agent_link;
  agent_link_attach (agent_link, call);
  call->submitted_at = clock_monotonic (worker_clock (share->worker));
  frame.header.request = call->attempt_id;
  frame.body.submit = call->submit;
  frame.body.submit.deadline_ms = left > 0 ? (uint64_t)left : 0;
  call_log_route (call, route);
  if (agent_link_send (agent_link, &frame) == STATUS_OK)
    call->agent_incarnation = agent_link_incarnation (agent_link);
  else if (!call_retry (call, &not_sent))
    call_end (call, &not_sent);
}

static void
call_give_up_wait (worker_t *worker, void *data)
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
                               .retry_after_ms = NO_UPSTREAM_RETRY_MS,
                               .detail = "no upstream can take the request" };

      call_end (call, &result);
    }
}

/* No upstream can take the request now: wait until something changes.  */
static void
call_wait (call_t *call)
{
  entry_worker_t *share = call->share;

  TAILQ_INSERT_TAIL (&share->waiting, call, wait_entry);
  share->waiting_count++;
  call->is_waiting = true;
  counter_add (&calls_waiting, 1);
  if (call->wait_timer != NULL)
    return;
  call->wait_timer = worker_timer_start (share->worker, call,
                                         timespec_from_ms (WAIT_PATIENCE_MS),
                                         call_give_up_wait, call);
  log_event (LOG_LEVEL_NOTICE, "call-waits",
             "request=%016llx-%llu service=%s reason=no-upstream",
             (unsigned long long)call->id.incarnation,
             (unsigned long long)call->id.sequence, call->submit.service);
}

static void
call_route (call_t *call)
{
  router_request_t request = { .service = call->submit.service,
                               .model = call->model,
                               .work = call->work,
                               .tried_count = call->tried_count };
  router_route_t route = { 0 };

  memcpy (request.tried, call->tried, sizeof request.tried);
  if (router_choose (call->share->entry->router, call,
                     worker_index (call->share->worker), &request, &route)
      == STATUS_OK)
    {
      TALLOC_FREE (call->wait_timer);
      call_submit_to (call, &route);
    }
  else if (refusal_retry_kinds[call->last_refusal.refusal] == RETRY_BUDGETED)
    call_end (call, &call->last_refusal);
  else
    call_wait (call);
}

static void
call_run_waiting (worker_t *worker, void *data)
{
  entry_worker_t *share = data;
  unsigned count = share->waiting_count;

  (void)worker;
  share->wake_timer = NULL;
  while (count-- > 0 && !TAILQ_EMPTY (&share->waiting))
    {
      call_t *call = TAILQ_FIRST (&share->waiting);

      call_stop_waiting (call);
      call_route (call);
    }
}

/* Something changed that may let a waiting call go: look at all of them
   soon, in the order in which they came.  */
void
call_wake_waiting (entry_worker_t *share)
{
  if (share->waiting_count == 0 || share->wake_timer != NULL)
    return;
  share->wake_timer = worker_timer_start (
      share->worker, worker_events (share->worker),
      timespec_from_ms (WAKE_DELAY_MS), call_run_waiting, share);
}

static void
call_handle_grace_end (worker_t *worker, void *data)
{
  call_t *call = data;

  (void)worker;
  call->deadline_timer = NULL;
  call_fail (call, call->is_head_delivered ? OUTCOME_RAN : OUTCOME_UNKNOWN,
             REFUSAL_DEADLINE, "the agent did not say what became of it");
}

/* The deadline has passed.  Only the agent knows whether a request that was
   submitted has run: cancel it there and wait a little for its word.  */
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
  call_send_plain (call, FRAME_CANCEL, 0, false);
  call->deadline_timer = worker_timer_start (
      call->share->worker, call, timespec_from_ms (DEADLINE_GRACE_MS),
      call_handle_grace_end, call);
}

static void
call_copy (call_t *call, const call_request_t *request)
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
call_run_route (worker_t *worker, void *data)
{
  (void)worker;
  call_route (data);
}

/* Take REQUEST on.  The callbacks in OPS come from the loop, never within this
   function.  Returns NULL when memory is exhausted.  */
call_t *
call_submit (entry_worker_t *share, const call_request_t *request,
             const call_ops_t *ops, void *data)
{
  entry_t *entry = share->entry;
  call_t *call = talloc_zero (worker_events (share->worker), call_t);

  if (call == NULL)
    return NULL;
  call->share = share;
  call->ops = ops;
  call->data = data;
  call->id.incarnation = node_incarnation (entry->node);
  call->id.sequence = atomic_fetch_add (&entry->next_sequence, 1) + 1;
  call->attempt_id = call->id;
  call->deadline = timespec_add (
      clock_monotonic (worker_clock (share->worker)), request->deadline);
  call_copy (call, request);
  call->deadline_timer = worker_timer_start (
      share->worker, call, request->deadline, call_handle_deadline, call);
  call_enter_table (call);
  share->open_calls++;
  counter_add (&calls_total, 1);
  worker_timer_start (share->worker, call, timespec_from_ms (0),
                      call_run_route, call);
  return call;
}

/* The caller went away: cancel the work and free CALL, without on_end.  */
void
call_cancel (call_t *call)
{
  call->is_cancelled = true;
  call_send_plain (call, FRAME_CANCEL, 0, false);
  call_fail (call,
             call->agent_link == NULL ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN,
             REFUSAL_CANCELLED, "the caller went away");
}

/* Return the request's id, for logs and the answer's headers.  */
request_id_t
call_id (const call_t *call)
{
  return call->id;
}
