#ifndef SISKIN_ENTRY_CALL_H
#define SISKIN_ENTRY_CALL_H

#include "entry/agent_link.h"
#include "entry/entry.h"

/* A caller's request in the entry.  It belongs to one worker.  */
struct call
{
  table_node_t node;
  LIST_ENTRY (call) agent_entry; /* in the call list of AGENT_LINK */
  TAILQ_ENTRY (call) wait_entry; /* in entry_worker_t.waiting */
  request_id_t id;         /* id of the request, for logs and the caller */
  request_id_t attempt_id; /* id of the attempt, for frames; new for each */
  entry_worker_t *entry_worker;
  const call_ops_t *ops;
  void *data;
  frame_submit_t submit;
  char *model; /* see router_request_t */
  /* Size and prompt prefix, for the choice of an upstream.  */
  pick_request_t work;
  struct timespec deadline; /* monotonic */
  agent_link_t *agent_link; /* link of the current attempt; NULL between two */
  /* Incarnation of the agent process that received the SUBMIT frame.  */
  uint64_t agent_incarnation;
  struct timespec submitted_at;           /* start of the current attempt */
  const char *tried[ROUTER_MAX_ATTEMPTS]; /* upstreams not to choose again */
  unsigned tried_count;
  unsigned submit_count; /* attempts so far */
  bool is_waiting;       /* entry_worker_t.waiting contains it */
  /* The connection of AGENT_LINK was lost during the attempt.  The attempt is
     resumed when it is open again, or ended by RESUME_TIMER.  */
  bool is_link_lost;
  bool is_head_delivered; /* the caller has the response head */
  /* The deadline has passed, and the agent was asked to cancel the attempt.
     The call remains for a limited time until the agent replies whether the
     request has run.  */
  bool is_expired;
  /* The caller has disconnected.  The call is freed at once, without
     call_ops_t.on_end.  */
  bool is_cancelled;
  bool may_have_run; /* an earlier attempt may have run the request */
  /* The result of the last attempt after which the request was to be sent to
     another upstream.  If none is available, the call ends with this
     result.  */
  call_result_t last_refusal;
  /* Bytes of the response body: received from the agent, taken by the caller,
     and acknowledged to the agent as taken.  */
  uint64_t received_bytes;
  uint64_t consumed_bytes;
  uint64_t acknowledged_bytes;
  worker_timer_t *deadline_timer;
  worker_timer_t *resume_timer; /* limits the wait for a lost connection */
  worker_timer_t *wait_timer;   /* limits the wait for an upstream */
};

void call_end (call_t *call, const call_result_t *result);
/* Ends CALL with a failure that the entry itself has found, such as a passed
   deadline.  REFUSAL is the reason reported to the caller.  A refusal by the
   agent goes to call_retry and call_end instead.  */
void call_fail (call_t *call, outcome_t outcome, refusal_t refusal,
                const char *detail);
/* TYPE is FRAME_CANCEL, which ignores the other arguments, FRAME_ACK or
   FRAME_RESUME.  OFFSET is, for FRAME_ACK, the number of response bytes that
   the caller has taken, and for FRAME_RESUME the number received so far.  With
   IS_FINAL a FRAME_ACK tells the agent that the attempt has ended here, so
   that the agent can discard it.  */
void call_send_control (call_t *call, frame_type_t type, uint64_t offset,
                        bool is_final);
/* Sends the request to another upstream, or queues it until one is available,
   after the current attempt has failed with RESULT.  Returns false, and does
   nothing, when a retry is not safe or not allowed: the caller then has to end
   CALL.  After true, CALL may have been freed.  */
bool call_retry (call_t *call, const call_result_t *result);
void call_wake_waiting (entry_worker_t *entry_worker);

/* An agent_link_t calls these when a frame about a call has arrived, when its
   connection was lost, and when its connection is open (again).  They handle
   the event for the calls that are submitted over the link.  */
void call_handle_frame (agent_link_t *agent_link, const frame_t *frame);
void call_handle_link_lost (agent_link_t *agent_link);
void call_handle_link_open (agent_link_t *agent_link);

#endif
