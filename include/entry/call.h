#ifndef SISKIN_ENTRY_CALL_H
#define SISKIN_ENTRY_CALL_H

#include "entry/agent_link.h"
#include "entry/entry.h"

/* A request at the entry; belongs to one worker.  */
struct call
{
  table_node_t node;
  LIST_ENTRY (call) agent_entry; /* among the calls at AGENT_LINK */
  TAILQ_ENTRY (call) wait_entry; /* among those without an upstream */
  request_id_t id;               /* as the caller knows it */
  request_id_t attempt_id;       /* as the agent knows it */
  entry_worker_t *share;
  const call_ops_t *ops;
  void *data;
  frame_submit_t submit;
  char *model;
  pick_request_t work;
  struct timespec deadline;   /* monotonic */
  agent_link_t *agent_link;   /* where it is now, or NULL */
  uint64_t agent_incarnation; /* of the agent that got the SUBMIT */
  struct timespec submitted_at;
  const char *tried[ROUTER_MAX_ATTEMPTS];
  unsigned tried_count;
  unsigned submit_count;
  bool is_waiting;
  bool is_link_lost;
  bool is_head_delivered;
  bool is_expired;
  bool is_cancelled;
  bool may_have_run; /* in an earlier attempt */
  call_result_t last_refusal;
  uint64_t received; /* offset up to which the answer has come */
  uint64_t taken;    /* by the caller */
  uint64_t acknowledged;
  worker_timer_t *deadline_timer;
  worker_timer_t *resume_timer;
  worker_timer_t *wait_timer;
};

void call_end (call_t *call, const call_result_t *result);
void call_fail (call_t *call, outcome_t outcome, refusal_t refusal,
                const char *detail);
void call_send_plain (call_t *call, frame_type_t type, uint64_t offset,
                      bool is_final);
bool call_retry (call_t *call, const call_result_t *result);
void call_wake_waiting (entry_worker_t *share);

/* What the connections tell the calls that go over them.  */
void call_handle_frame (agent_link_t *agent_link, const frame_t *frame);
void call_handle_link_lost (agent_link_t *agent_link);
void call_handle_link_open (agent_link_t *agent_link);

#endif
