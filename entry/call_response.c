#include "entry/call.h"

#include "common/http_header.h"
#include "kernel/counter.h"
#include "kernel/log.h"

enum
{
  ACK_INTERVAL_BYTES = 4096, /* consumed between two acknowledgements */
  RESUME_TIMEOUT_MS = 3000, /* wait for a lost connection to be opened again */
  /* Same, if another upstream can be tried.  */
  RESUME_TIMEOUT_RETRYABLE_MS = 500
};

COUNTER_DEFINE (responses_inconsistent, "siskin_calls_crossed_total",
                "Answers with a gap, an overlap, a wrong length or status");
COUNTER_DEFINE (calls_resumed, "siskin_calls_resumed_total",
                "Answers taken up again after a lost connection");

/* The response cannot be completed: abort it, so that the caller sees that it
   is truncated.  */
static void
call_abort_response (call_t *call, const char *detail)
{
  counter_add (&responses_inconsistent, 1);
  call_send_control (call, FRAME_CANCEL, 0, false);
  call_fail (call, OUTCOME_RAN, REFUSAL_UPSTREAM, detail);
}

static void
call_handle_head (call_t *call, const frame_head_t *head)
{
  struct timespec now
      = clock_monotonic (worker_clock (call->entry_worker->worker));

  if (call->is_head_delivered)
    return;
  if (!http_status_is_valid (head->http_status))
    {
      call_abort_response (call, "the answer has no valid status");
      return;
    }
  call->is_head_delivered = true;
  router_record_first_byte (
      call->entry_worker->entry->router, call->submit.service,
      timespec_to_ms (timespec_subtract (now, call->submitted_at)));
  call->ops->on_head (call, (unsigned)head->http_status, head->content_type,
                      call->data);
}

/* Pass on the new bytes of a chunk.  After a resumption it may overlap bytes
   that were received before.  */
static void
call_handle_chunk (call_t *call, const frame_chunk_t *chunk)
{
  uint64_t skip;

  if (chunk->offset > call->received_bytes || !call->is_head_delivered)
    {
      call_abort_response (call, "a part of the answer is missing");
      return;
    }
  skip = call->received_bytes - chunk->offset;
  if (skip >= chunk->data.size)
    return;
  call->received_bytes += chunk->data.size - skip;
  call->ops->on_data (call, chunk->data.data + skip, chunk->data.size - skip,
                      call->data);
}

/* Acknowledge and report the end of the response, which is incomplete if its
   length differs from the bytes received.  */
static void
call_handle_end (call_t *call, const frame_end_t *end)
{
  call_result_t result = { .outcome = (outcome_t)end->outcome,
                           .is_complete = end->is_complete,
                           .detail = end->detail };

  if (end->length != call->received_bytes
      || (end->is_complete && !call->is_head_delivered))
    {
      counter_add (&responses_inconsistent, 1);
      result.is_complete = false;
    }
  if (call->is_head_delivered)
    result.outcome = OUTCOME_RAN;
  call_send_control (call, FRAME_ACK, call->received_bytes, true);
  call_end (call, &result);
}

/* Acknowledge a refusal and retry the request at another upstream or end
   it.  */
static void
call_handle_refusal (call_t *call, const frame_refuse_t *refuse)
{
  call_result_t result = { .outcome = (outcome_t)refuse->outcome,
                           .refusal = (refusal_t)refuse->refusal,
                           .retry_after_ms = refuse->retry_after_ms,
                           .detail = refuse->detail };

  call_send_control (call, FRAME_ACK, call->received_bytes, true);
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

/* Return the call that the id in FRAME stands for if it is submitted over
   AGENT_LINK, or NULL.  Only the worker that owns a call frees it, so it stays
   valid after the lock is released.  */
static call_t *
call_find_for_frame (agent_link_t *agent_link, const frame_t *frame)
{
  entry_worker_t *entry_worker = agent_link_entry_worker (agent_link);
  const request_id_t *id = &frame->header.request;
  table_t *calls = entry_worker->entry->calls;
  table_node_t *node;
  call_t *call = NULL;

  table_lock (calls);
  node = table_find (calls, id, sizeof *id);
  if (node != NULL)
    call = CONTAINER_OF (node, call_t, node);
  if (call != NULL && call->entry_worker != entry_worker)
    call = NULL;
  table_unlock (calls);
  return call != NULL && call->agent_link == agent_link ? call : NULL;
}

/* If FRAME ends a call that has already ended here, acknowledge it, so that
   the agent discards what it keeps for the call.  */
static void
call_acknowledge_ended (agent_link_t *agent_link, const frame_t *frame)
{
  frame_t ack
      = { .header = { .type = FRAME_ACK, .request = frame->header.request } };

  if (frame->header.type != FRAME_END && frame->header.type != FRAME_REFUSE)
    return;
  ack.body.offset.is_final = true;
  agent_link_send (agent_link, &ack);
}

/* Handle FRAME from the agent at AGENT_LINK.  A frame for a call that has
   ended, or that is now submitted elsewhere, is dropped.  */
void
call_handle_frame (agent_link_t *agent_link, const frame_t *frame)
{
  call_t *call = call_find_for_frame (agent_link, frame);

  if (call == NULL)
    {
      call_acknowledge_ended (agent_link, frame);
      return;
    }
  switch (frame->header.type)
    {
    case FRAME_HEAD:
      call_handle_head (call, &frame->body.head);
      break;
    case FRAME_CHUNK:
      call_handle_chunk (call, &frame->body.chunk);
      break;
    case FRAME_END:
      call_handle_end (call, &frame->body.end);
      break;
    case FRAME_REFUSE:
      call_handle_refusal (call, &frame->body.refuse);
      break;
    default:
      break;
    }
}

/* The agent can no longer report on CALL: retry it at another upstream or end
   it.  */
static void
call_handle_agent_lost (call_t *call, const char *detail)
{
  call_result_t result
      = { .outcome = call->is_head_delivered ? OUTCOME_RAN : OUTCOME_UNKNOWN,
          .refusal = REFUSAL_UPSTREAM,
          .detail = detail };

  if (!call_retry (call, &result))
    call_end (call, &result);
}

static void
call_handle_resume_timeout (worker_t *worker, void *data)
{
  call_t *call = data;

  (void)worker;
  call->resume_timer = NULL;
  call_handle_agent_lost (call, "the agent was lost");
}

/* The connection was lost: give each of its calls a time limit to wait for
   reconnection.  */
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
          call->entry_worker->worker, call,
          timespec_from_ms (can_restart ? RESUME_TIMEOUT_RETRYABLE_MS
                                        : RESUME_TIMEOUT_MS),
          call_handle_resume_timeout, call);
    }
}

/* Request the rest of the response and repeat the acknowledgement, which may
   have been lost with the connection and without which the agent may wait for
   buffer space.  */
static void
call_resume (call_t *call)
{
  call->is_link_lost = false;
  TALLOC_FREE (call->resume_timer);
  counter_add (&calls_resumed, 1);
  call_send_control (call, FRAME_RESUME, call->received_bytes, false);
  call->acknowledged_bytes = call->consumed_bytes;
  call_send_control (call, FRAME_ACK, call->consumed_bytes, false);
  if (call->is_expired)
    call_send_control (call, FRAME_CANCEL, 0, false);
}

/* The connection is open again.  If the agent is still the same incarnation,
   it has the requests and they are resumed.  A restarted agent has no record
   of them, so they cannot be resumed.  */
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
        call_handle_agent_lost (call, "the agent was restarted");
      call = next;
    }
}

/* The caller has consumed all of the response but PENDING_BYTES.  Acknowledge
   this to the agent every ACK_INTERVAL_BYTES, so that it sends more and frees
   what it retains.  */
void
call_set_pending_bytes (call_t *call, uint64_t pending_bytes)
{
  uint64_t consumed_bytes = call->received_bytes - pending_bytes;

  if (consumed_bytes > call->consumed_bytes)
    call->consumed_bytes = consumed_bytes;
  if (call->is_link_lost
      || call->consumed_bytes < call->acknowledged_bytes + ACK_INTERVAL_BYTES)
    return;
  call->acknowledged_bytes = call->consumed_bytes;
  call_send_control (call, FRAME_ACK, call->consumed_bytes, false);
}
