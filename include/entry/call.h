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
  request_id_t id;               /* reported to the caller */
  request_id_t attempt_id;       /* sent to the agent; new for each attempt */
  entry_worker_t *entry_worker;
  const call_ops_t *ops;
  void *data;
  frame_submit_t submit;
  char *model;
  pick_request_t work;
  struct timespec deadline;   /* monotonic */
  agent_link_t *agent_link;   /* of the current attempt, or NULL */
  uint64_t agent_incarnation; /* of the agent that received the SUBMIT */
  struct timespec submitted_at;
  const char *tried[ROUTER_MAX_ATTEMPTS]; /* upstreams not to choose again */
  unsigned tried_count;
  unsigned submit_count; /* attempts so far */
  bool is_waiting;
  bool is_link_lost;
  bool is_head_delivered;
  bool is_expired;   /* the deadline has passed */
  bool is_cancelled; /* by the caller */
  bool may_have_run; /* in an earlier attempt */
  call_result_t last_refusal;
  uint64_t received_bytes;     /* of the response, from the agent */
  uint64_t consumed_bytes;     /* of the response, by the caller */
  uint64_t acknowledged_bytes; /* to the agent */
  worker_timer_t *deadline_timer;
  worker_timer_t *resume_timer;
  worker_timer_t *wait_timer;
};

void call_end (call_t *call, const call_result_t *result);
void call_fail (call_t *call, outcome_t outcome, refusal_t refusal,
                const char *detail);
void call_send_control (call_t *call, frame_type_t type, uint64_t offset,
                        bool is_final);
bool call_retry (call_t *call, const call_result_t *result);
void call_wake_waiting (entry_worker_t *entry_worker);

/* Events of a link for the calls that use it.  */
void call_handle_frame (agent_link_t *agent_link, const frame_t *frame);
void call_handle_link_lost (agent_link_t *agent_link);
void call_handle_link_open (agent_link_t *agent_link);

#endif
