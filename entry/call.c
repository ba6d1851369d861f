#include "entry/call.h"

#include "kernel/counter.h"
#include "kernel/invariant.h"
#include "kernel/log.h"

#include <string.h>
#include <xxhash.h>

enum
{
  RESUME_PATIENCE_MS = 3000, /* for a lost connection to come back */
  DEADLINE_GRACE_MS = 250    /* for the agent's own word on the deadline */
};

COUNTER_DEFINE (calls_total, "siskin_calls_total", "Requests from callers");
COUNTER_DEFINE (calls_retried, "siskin_calls_retried_total",
                "Requests sent to a second upstream");
COUNTER_DEFINE (calls_crossed, "siskin_calls_crossed_total",
                "Answers with a gap, an overlap or a wrong length");
COUNTER_DEFINE_LABELLED (ended_ran, "siskin_calls_ended_total",
                         "outcome=\"ran\"", "Requests answered");
COUNTER_DEFINE_LABELLED (ended_not_run, "siskin_calls_ended_total",
                         "outcome=\"not-run\"", "Requests answered");
COUNTER_DEFINE_LABELLED (ended_unknown, "siskin_calls_ended_total",
                         "outcome=\"unknown\"", "Requests answered");

/* A request at the entry.  */
struct call
{
  table_node_t node;
  request_id_t id;
  entry_worker_t *share;
  const call_ops_t *ops;
  void *data;
  frame_submit_t submit;
  char *model;
  pick_work_t work;
  struct timespec deadline; /* monotonic */
  const char *upstream;     /* where it is now, or NULL */
  struct timespec submitted_at;
  uint64_t agent_incarnation;
  const char *tried[ROUTER_MAX_ATTEMPTS];
  unsigned tried_count;
  bool is_link_lost;
  bool is_head_delivered;
  bool is_cancelled;
  uint64_t received; /* offset up to which the answer has come */
  uint64_t acknowledged;
  worker_timer_t *deadline_timer;
  worker_timer_t *resume_timer;
};

static void call_route (call_t *call);

static call_t *
call_find (entry_t *entry, const request_id_t *id)
{
  table_node_t *node;

  table_lock (entry->calls);
  node = table_find (entry->calls, id, sizeof *id);
  table_unlock (entry->calls);
  return node == NULL ? NULL : CONTAINER_OF (node, call_t, node);
}

static void
call_leave_upstream (call_t *call)
{
  if (call->upstream == NULL)
    return;
  router_release (call->share->entry->router, call->upstream, &call->work);
  call->upstream = NULL;
  TALLOC_FREE (call->resume_timer);
  call->is_link_lost = false;
}

static void
call_count_end (outcome_t outcome)
{
  if (outcome == OUTCOME_RAN)
    counter_add (&ended_ran, 1);
  else if (outcome == OUTCOME_NOT_RUN)
    counter_add (&ended_not_run, 1);
  else
    counter_add (&ended_unknown, 1);
}

static void
call_end (call_t *call, const call_result_t *result)
{
  entry_t *entry = call->share->entry;

  INVARIANT (result->outcome != OUTCOME_NOT_RUN || call->received == 0,
             "not-run-has-no-answer");
  call_leave_upstream (call);
  table_lock (entry->calls);
  table_remove (entry->calls, &call->node);
  table_unlock (entry->calls);
  call_count_end (result->outcome);
  log_event (LOG_LEVEL_INFO, "call-ended",
             "request=%016llx-%llu outcome=%s refusal=%s complete=%d "
             "bytes=%llu attempts=%u",
             (unsigned long long)call->id.incarnation,
             (unsigned long long)call->id.sequence,
             outcome_name (result->outcome), refusal_name (result->refusal),
             (int)result->is_complete, (unsigned long long)call->received,
             call->tried_count);
  if (!call->is_cancelled)
    call->ops->on_end (call, result, call->data);
  atomic_fetch_sub (&entry->open_calls, 1);
  talloc_free (call);
}

static void
call_fail (call_t *call, outcome_t outcome, refusal_t refusal,
           const char *detail)
{
  call_result_t result
      = { .outcome = outcome, .refusal = refusal, .detail = detail };

  call_end (call, &result);
}

static void
call_send_plain (call_t *call, frame_type_t type, uint64_t offset,
                 bool is_final)
{
  agent_link_t *agent_link;
  frame_t frame = { .header = { .type = type, .request = call->id } };
  struct timespec now = clock_monotonic (worker_clock (call->share->worker));

  if (call->upstream == NULL)
    return;
  agent_link = agent_link_find (call->share, call->upstream);
  if (agent_link == NULL)
    return;
  if (type != FRAME_CANCEL)
    {
      frame.body.offset.offset = offset;
      frame.body.offset.is_final = is_final;
      frame.body.offset.age_ms = (uint64_t)timespec_to_ms (
          timespec_subtract (now, call->submitted_at));
    }
  agent_link_send (agent_link, &frame);
}

static bool
call_is_late (const call_t *call)
{
  return timespec_compare (call->deadline, clock_monotonic (worker_clock (
                                               call->share->worker)))
         <= 0;
}

/* Send the request to another upstream, which is safe only while it is certain
   that it has not run or running twice does no harm and nothing of the answer
   was passed on.  Returns false when it must not or cannot be.  */
static bool
call_retry (call_t *call, outcome_t outcome)
{
  settings_t *settings = node_settings (call->share->entry->node);
  unsigned attempts
      = settings == NULL ? 1 : (unsigned)settings->retry.attempts;

  if (settings != NULL)
    settings_release (settings);
  if (call->is_head_delivered || call->is_cancelled || call_is_late (call)
      || call->tried_count >= attempts
      || call->tried_count >= ROUTER_MAX_ATTEMPTS)
    return false;
  if (outcome != OUTCOME_NOT_RUN && !call->submit.is_repeatable)
    return false;
  if (!router_take_retry (call->share->entry->router))
    return false;
  counter_add (&calls_retried, 1);
  call_leave_upstream (call);
  call_route (call);
  return true;
}

static void
call_submit_to (call_t *call, const router_route_t *route)
{
  agent_link_t *agent_link = agent_link_find (call->share, route->upstream);
  frame_t frame = { .header = { .type = FRAME_SUBMIT, .request = call->id } };
  struct timespec now = clock_monotonic (worker_clock (call->share->worker));
  int64_t left = timespec_to_ms (timespec_subtract (call->deadline, now));

  call->upstream = route->upstream;
  call->tried[call->tried_count++] = route->upstream;
  call->submitted_at = now;
  frame.body.submit = call->submit;
  frame.body.submit.deadline_ms = left > 0 ? (uint64_t)left : 0;
  log_event (LOG_LEVEL_INFO, "routed",
             "request=%016llx-%llu account=%s service=%s upstream=%s zone=%s "
             "policy=%s reason=%s candidates=%u attempt=%u",
             (unsigned long long)call->id.incarnation,
             (unsigned long long)call->id.sequence, call->submit.account,
             call->submit.service, route->upstream, route->zone, route->policy,
             route->reason, route->candidates, call->tried_count);
  if (agent_link != NULL && agent_link_send (agent_link, &frame) == STATUS_OK)
    return;
  if (!call_retry (call, OUTCOME_NOT_RUN))
    call_fail (call, OUTCOME_NOT_RUN, REFUSAL_UPSTREAM, "not sent");
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
      != STATUS_OK)
    {
      call_fail (call, OUTCOME_NOT_RUN, REFUSAL_OVERLOAD,
                 "no upstream can take the request");
      return;
    }
  call_submit_to (call, &route);
}

static void
call_handle_deadline (worker_t *worker, void *data)
{
  call_t *call = data;

  (void)worker;
  call->deadline_timer = NULL;
  call_send_plain (call, FRAME_CANCEL, 0, false);
  call_fail (call, call->is_head_delivered ? OUTCOME_RAN : OUTCOME_UNKNOWN,
             REFUSAL_DEADLINE, "the deadline has passed");
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
  call->work = (pick_work_t){
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
  int64_t patience_ms = timespec_to_ms (request->deadline) + DEADLINE_GRACE_MS;

  if (call == NULL)
    return NULL;
  call->share = share;
  call->ops = ops;
  call->data = data;
  call->id.incarnation = node_incarnation (entry->node);
  call->id.sequence = atomic_fetch_add (&entry->next_sequence, 1) + 1;
  call->deadline = timespec_add (
      clock_monotonic (worker_clock (share->worker)), request->deadline);
  call_copy (call, request);
  call->deadline_timer = worker_timer_start (share->worker, call,
                                             timespec_from_ms (patience_ms),
                                             call_handle_deadline, call);
  table_lock (entry->calls);
  table_insert (entry->calls, &call->node, &call->id, sizeof call->id);
  table_unlock (entry->calls);
  atomic_fetch_add (&entry->open_calls, 1);
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
  call_fail (call, call->upstream == NULL ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN,
             REFUSAL_CANCELLED, "the caller went away");
}

/* The caller has taken all of the answer but PENDING_BYTES; tell the agent, so
   that it sends more.  */
void
call_note_taken (call_t *call, uint64_t pending_bytes)
{
  uint64_t taken = call->received - pending_bytes;

  if (call->is_link_lost || taken <= call->acknowledged)
    return;
  call->acknowledged = taken;
  call_send_plain (call, FRAME_ACK, taken, false);
}

/* Return the request's id, for logs and the answer's headers.  */
request_id_t
call_id (const call_t *call)
{
  return call->id;
}

static void
call_take_head (call_t *call, const frame_head_t *head)
{
  if (call->is_head_delivered)
    return;
  call->is_head_delivered = true;
  call->ops->on_head (call, (unsigned)head->http_status, head->content_type,
                      call->data);
}

static void
call_take_chunk (call_t *call, const frame_chunk_t *chunk)
{
  uint64_t skip;

  if (chunk->offset > call->received)
    {
      counter_add (&calls_crossed, 1);
      return;
    }
  skip = call->received - chunk->offset;
  if (skip >= chunk->data.size)
    return;
  call->received += chunk->data.size - skip;
  call->ops->on_data (call, chunk->data.data + skip, chunk->data.size - skip,
                      call->data);
}

static void
call_take_end (call_t *call, const frame_end_t *end)
{
  call_result_t result = { .outcome = (outcome_t)end->outcome,
                           .is_complete = end->is_complete,
                           .detail = end->detail };

  if (end->length != call->received)
    {
      counter_add (&calls_crossed, 1);
      result.is_complete = false;
    }
  call_send_plain (call, FRAME_ACK, call->received, true);
  call_end (call, &result);
}

static void
call_take_refusal (call_t *call, const frame_refuse_t *refuse)
{
  call_result_t result = { .outcome = (outcome_t)refuse->outcome,
                           .refusal = (refusal_t)refuse->refusal,
                           .retry_after_ms = refuse->retry_after_ms,
                           .detail = refuse->detail };

  call_send_plain (call, FRAME_ACK, 0, true);
  log_event (LOG_LEVEL_INFO, "refused",
             "request=%016llx-%llu upstream=%s refusal=%s outcome=%s",
             (unsigned long long)call->id.incarnation,
             (unsigned long long)call->id.sequence, call->upstream,
             refusal_name (result.refusal), outcome_name (result.outcome));
  if (result.refusal != REFUSAL_KEY_REUSED
      && result.refusal != REFUSAL_KEY_EXPIRED
      && call_retry (call, result.outcome))
    return;
  call_end (call, &result);
}

/* Take FRAME, which came from the agent of an upstream.  A frame for a call
   that has ended is dropped.  */
void
call_handle_frame (entry_worker_t *share, const frame_t *frame)
{
  call_t *call = call_find (share->entry, &frame->header.request);

  if (call == NULL || call->share != share || call->upstream == NULL)
    return;
  switch (frame->header.type)
    {
    case FRAME_HEAD:
      call_take_head (call, &frame->body.head);
      break;
    case FRAME_CHUNK:
      call_take_chunk (call, &frame->body.chunk);
      break;
    case FRAME_END:
      call_take_end (call, &frame->body.end);
      break;
    case FRAME_REFUSE:
      call_take_refusal (call, &frame->body.refuse);
      break;
    default:
      break;
    }
}

static void
call_give_up_resume (worker_t *worker, void *data)
{
  call_t *call = data;

  (void)worker;
  call->resume_timer = NULL;
  if (!call_retry (call, OUTCOME_UNKNOWN))
    call_fail (call, call->is_head_delivered ? OUTCOME_RAN : OUTCOME_UNKNOWN,
               REFUSAL_UPSTREAM, "the agent was lost");
}

/* Return the next call after PREVIOUS that is at UPSTREAM on this worker.  */
static call_t *
call_next_at (entry_worker_t *share, const char *upstream,
              const call_t *previous)
{
  table_t *calls = share->entry->calls;
  table_node_t *node;
  call_t *found = NULL;

  table_lock (calls);
  for (node = table_next (calls, previous == NULL ? NULL : &previous->node);
       node != NULL && found == NULL; node = table_next (calls, node))
    {
      call_t *call = CONTAINER_OF (node, call_t, node);

      if (call->share == share && call->upstream != NULL
          && strcmp (call->upstream, upstream) == 0)
        found = call;
    }
  table_unlock (calls);
  return found;
}

/* The connection to the agent of UPSTREAM broke: its calls wait for it to come
   back.  */
void
call_handle_link_lost (entry_worker_t *share, const char *upstream)
{
  for (call_t *call = call_next_at (share, upstream, NULL); call != NULL;
       call = call_next_at (share, upstream, call))
    {
      call->is_link_lost = true;
      if (call->resume_timer == NULL)
        call->resume_timer = worker_timer_start (
            share->worker, call, timespec_from_ms (RESUME_PATIENCE_MS),
            call_give_up_resume, call);
    }
}

/* The connection to the agent of UPSTREAM stands again: ask for the rest of
   the answers from the same run of the agent; another run has no memory of
   them, so for those the resume timer decides at once.  */
void
call_handle_link_open (entry_worker_t *share, const char *upstream,
                       uint64_t incarnation)
{
  call_t *next;

  for (call_t *call = call_next_at (share, upstream, NULL); call != NULL;
       call = next)
    {
      next = call_next_at (share, upstream, call);
      if (call->agent_incarnation == 0 && !call->is_link_lost)
        call->agent_incarnation = incarnation;
      if (!call->is_link_lost)
        continue;
      call->is_link_lost = false;
      TALLOC_FREE (call->resume_timer);
      call_send_plain (call, FRAME_RESUME, call->received, false);
    }
}
