#ifndef SISKIN_AGENT_JOB_H
#define SISKIN_AGENT_JOB_H

#include "agent/agent.h"

/* A request at the agent, from its SUBMIT until its outcome need not be kept
   any longer.  The state that entries can query is guarded by the lock of the
   agent's job table; the rest belongs to the worker that received the
   SUBMIT.  */
typedef struct job job_t;

void job_submit (agent_worker_t *agent_worker, link_t *link,
                 const frame_t *frame);
void job_acknowledge (agent_worker_t *agent_worker, const frame_t *frame);
void job_cancel (agent_worker_t *agent_worker, const frame_t *frame);
void job_resume (agent_worker_t *agent_worker, link_t *link,
                 const frame_t *frame);
void job_detach_link (agent_t *agent, const link_t *link);
void job_post_start (gate_work_t *work);
void job_post_refusal (gate_work_t *work);
void job_tick_all (agent_t *agent);
size_t job_count_undelivered (agent_t *agent);
void job_free_all (agent_t *agent);

#endif
