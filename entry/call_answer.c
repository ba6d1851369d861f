#include "entry/call.h"

#include "kernel/counter.h"
#include "kernel/log.h"

enum
{
  ACKNOWLEDGE_BYTES = 4096,  /* passed on between two acknowledgements */
  RESUME_PATIENCE_MS = 3000, /* for a lost connection to come back */
  RESTART_PATIENCE_MS = 500  /* when the request can start anew elsewhere */
};

COUNTER_DEFINE (calls_crossed, "siskin_calls_crossed_total",
                "Answers with a gap, an overlap or a wrong length");
COUNTER_DEFINE (calls_resumed, "siskin_calls_resumed_total",
                "Answers taken up again after a lost connection");

/* The answer cannot be made whole: end it, so that the caller sees it
   broken.  */
static void
call_break (call_t *call, const char *detail)
{
  counter_add (&calls_crossed, 1);
  call_send_plain (call, FRAME_CANCEL, 0, false);
  call_fail (call, OUTCOME_RAN, REFUSAL_UPSTREAM, detail);
}

static void
call_take_head (call_t *call, const frame_head_t *head)
{
  struct timespec now = clock_monotonic (worker_clock (call->share->worker));

  if (call->is_head_delivered)
    return;
  call->is_head_delivered = true;
  router_note_first_byte (
      call->share->entry->router, call->submit.service,
      timespec_to_ms (timespec_subtract (now, call->submitted_at)));
  call->ops->on_head (call, (unsigned)head->http_status, head->content_type,
                      call->data);
}

static void
call_take_chunk (call_t *call, const frame_chunk_t *chunk)
{
  uint64_t skip;

  if (chunk->offset > call->received || !call->is_head_delivered)
    {
      call_break (call, "a part of the answer is missing");
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

  if (end->length != call->received
      || (end->is_complete && !call->is_head_delivered))
    {
      counter_add (&calls_crossed, 1);
      result.is_complete = false;
    }
  if (call->is_head_delivered)
    result.outcome = OUTCOME_RAN;
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

  call_send_plain (call, FRAME_ACK, call->received, true);
  log_event (LOG_LEVEL_NOTICE, "refused",
             "request=%016llx-%llu upstream=%s refusal=%s outcome=%s",
             (unsigned long long)call->id.incarnation,
             (unsigned long long)call->id.sequence,
             agent_link_upstream (call->agent_link),
             refusal_name (result.refusal), outcome_name (result.outcome));
  if (call->is_expired && result.refusal == REFUSAL_CANCELLED)
    result.refusal = REFUSAL_DEADLINE;
  if (call->is_head_delivered)
    result.outcome = OUTCOME_RAN;
  if (!call_retry (call, &result))
    call_end (call, &result);
}

/* Return the call that the agent at AGENT_LINK may speak of under the id in
   FRAME, or NULL.  Only the owner of a call frees it, so that it stays valid
   after the lock is released.  */
static call_t *
call_of_frame (agent_link_t *agent_link, const frame_t *frame)
{
  entry_worker_t *share = agent_link_share (agent_link);
  const request_id_t *id = &frame->header.request;
  table_t *calls = share->entry->calls;
  table_node_t *node;
  call_t *call = NULL;

  table_lock (calls);
  node = table_find (calls, id, sizeof *id);
  if (node != NULL)
    call = CONTAINER_OF (node, call_t, node);
  if (call != NULL && call->share != share)
    call = NULL;
  table_unlock (calls);
  return call != NULL && call->agent_link == agent_link ? call : NULL;
}

/* The caller of a call that has ended wants no more: let the agent drop what
   it keeps.  */
static void
call_settle_ended (agent_link_t *agent_link, const frame_t *frame)
{
  frame_t settle
      = { .header = { .type = FRAME_ACK, .request = frame->header.request } };

  if (frame->header.type != FRAME_END && frame->header.type != FRAME_REFUSE)
    return;
  settle.body.offset.is_final = true;
  agent_link_send (agent_link, &settle);
}

/* Take FRAME, which came from the agent at AGENT_LINK.  A frame for a call
   that has ended, or that is elsewhere by now, is dropped.  */
void
call_handle_frame (agent_link_t *agent_link, const frame_t *frame)
{
  call_t *call = call_of_frame (agent_link, frame);

  if (call == NULL)
    {
      call_settle_ended (agent_link, frame);
      return;
    }
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

/* The agent that has the request cannot be asked any more.  */
static void
call_lose_agent (call_t *call, const char *detail)
{
  call_result_t result
      = { .outcome = call->is_head_delivered ? OUTCOME_RAN : OUTCOME_UNKNOWN,
          .refusal = REFUSAL_UPSTREAM,
          .detail = detail };

  if (!call_retry (call, &result))
    call_end (call, &result);
}

static void
call_give_up_resume (worker_t *worker, void *data)
{
  call_t *call = data;

  (void)worker;
  call->resume_timer = NULL;
  call_lose_agent (call, "the agent was lost");
}

/* The connection broke: its calls wait for it to come back.  */
void
call_handle_link_lost (agent_link_t *agent_link)
{
  call_t *call;

  LIST_FOREACH (call, agent_link_calls (agent_link), agent_entry)
    {
      bool can_restart
          = call->submit.is_repeatable && !call->is_head_delivered;

      call->is_link_lost = true;
      if (call->resume_timer != NULL)
        continue;
      call->resume_timer = worker_timer_start (
          call->share->worker, call,
          timespec_from_ms (can_restart ? RESTART_PATIENCE_MS
                                        : RESUME_PATIENCE_MS),
          call_give_up_resume, call);
    }
}

/* Ask for the rest of the answer and repeat the acknowledgement, which may
   have been lost with the connection and without which the agent may wait for
   room.  */
static void
call_resume (call_t *call)
{
  call->is_link_lost = false;
  TALLOC_FREE (call->resume_timer);
  counter_add (&calls_resumed, 1);
  call_send_plain (call, FRAME_RESUME, call->received, false);
  call->acknowledged = call->taken;
  call_send_plain (call, FRAME_ACK, call->taken, false);
  if (call->is_expired)
    call_send_plain (call, FRAME_CANCEL, 0, false);
}

/* The connection stands again.  The same run of the agent still has the
   requests; another run has no memory of them, so that they cannot be taken
   up again.  */
void
call_handle_link_open (agent_link_t *agent_link)
{
  uint64_t incarnation = agent_link_incarnation (agent_link);
  call_t *call = LIST_FIRST (agent_link_calls (agent_link));

  while (call != NULL)
    {
      call_t *next = LIST_NEXT (call, agent_entry);

      if (call->is_link_lost && call->agent_incarnation == incarnation)
        call_resume (call);
      else if (call->is_link_lost)
        call_lose_agent (call, "the agent was restarted");
      call = next;
    }
}

/* The caller has taken all of the answer but PENDING_BYTES; tell the agent now
   and then, so that it sends more and keeps less.  */
void
call_set_pending_bytes (call_t *call, uint64_t pending_bytes)
{
  uint64_t taken = call->received - pending_bytes;

  if (taken > call->taken)
    call->taken = taken;
  if (call->is_link_lost
      || call->taken < call->acknowledged + ACKNOWLEDGE_BYTES)
    return;
  call->acknowledged = call->taken;
  call_send_plain (call, FRAME_ACK, call->taken, false);
}
