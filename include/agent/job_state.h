#ifndef SISKIN_AGENT_JOB_STATE_H
#define SISKIN_AGENT_JOB_STATE_H

/* Private to the job's source files.  */

#include "agent/job.h"

typedef enum job_state
{
  JOB_WAITING,  /* queued by the gate */
  JOB_CLAIMING, /* claims its idempotency key */
  JOB_RUNNING,  /* sent to the upstream */
  JOB_ENDED
} job_state_t;

/* Response and outcome, as reported to the entry.  Guarded by the lock of the
   job table.  */
typedef struct job_output
{
  link_t *link;          /* connection to the entry, or NULL */
  worker_t *link_worker; /* owner of LINK */
  bool is_send_posted;   /* the job's SEND_TASK is queued */
  bool is_head_known;
  bool is_head_sent;
  unsigned http_status;
  char *content_type;
  char *buffer;          /* response bytes from offset ACKNOWLEDGED on */
  size_t buffered;       /* size of BUFFER's content in bytes */
  uint64_t acknowledged; /* response bytes that the entry has forwarded */
  uint64_t sent;         /* response bytes sent to the entry */
  bool is_ended;
  bool is_end_sent;
  bool is_delivered; /* the entry has acknowledged the end */
  bool is_complete;  /* the upstream sent its response to the end */
  bool is_paused;    /* the buffer is full; the upstream call is paused */
  outcome_t outcome;
  /* The end is sent as an END frame if this is REFUSAL_NONE, otherwise as a
     REFUSE frame.  */
  refusal_t refusal;
  uint64_t retry_after_ms;
  char *detail;
  unsigned ticks_without_link; /* seconds */
  unsigned ticks_since_end;    /* seconds */
} job_output_t;

struct job
{
  table_node_t node;
  request_id_t id;
  agent_t *agent;
  agent_worker_t *agent_worker;
  gate_work_t work;
  job_state_t state;
  bool is_cancelled;
  bool is_forwarded;  /* the upstream may have received it */
  bool is_repeatable; /* may run more than once */
  char *account;
  char *service;
  char *method;
  char *path;
  char *content_type;
  char *key;       /* idempotency key sent by the client, or "" */
  char *claim_key; /* key under which the request is claimed */
  char *body;
  size_t body_size;
  upstream_call_t *call;
  journal_claim_t *claim;
  bool has_first_byte;
  struct timespec first_byte_at;
  char *record; /* copy of the response for the journal */
  size_t record_size;
  bool is_record_too_large;
  task_t send_task;
  task_t start_task;
  task_t refusal_task;
  task_t cancel_task;
  task_t continue_task;  /* resumes the paused upstream call */
  bool is_cancel_posted; /* guarded by the table's lock */
  /* Tasks posted but not finished; guarded by the table's lock.  */
  unsigned posted_tasks;
  job_output_t output;
};

/* job_output.c: results sent to the entry.  The functions ending in _locked,
   and job_find, are called with the job table locked.  */
job_t *job_find (agent_t *agent, const request_id_t *id);
void job_post_locked (job_t *job, task_t *task, worker_t *worker);
void job_end_task (job_t *job);
void job_schedule_send_locked (job_t *job);
void job_run_send (task_t *task, worker_t *worker);
bool job_append_locked (job_t *job, const char *bytes, size_t size);
void job_end (job_t *job, outcome_t outcome, refusal_t refusal,
              bool is_complete, uint64_t retry_after_ms, const char *detail);
void job_refuse (job_t *job, outcome_t outcome, refusal_t refusal,
                 uint64_t retry_after_ms, const char *detail);

/* job_run.c: the claim and the call to the upstream.  */
void job_start (job_t *job);
/* Return the job's share of the admission limit to the gate, and start queued
   work that now fits.  SAMPLE is NULL when the upstream did not receive the
   job.  */
void job_release_admission (job_t *job, const admission_sample_t *sample);

job_t *job_create (agent_worker_t *agent_worker, const request_id_t *id);

#endif
