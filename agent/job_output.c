#include "agent/job_state.h"

#include "agent/stop.h"
#include "kernel/counter.h"
#include "kernel/invariant.h"
#include "kernel/log.h"

#include <string.h>

enum
{
  JOB_LOW_WATER_BYTES = 128 * 1024, /* a paused transfer resumes below this */
  JOB_RESUME_MAX_AGE_MS = 60000     /* well below the retention of outcomes */
};

COUNTER_DEFINE_LABELLED (ended_ran, "siskin_jobs_ended_total",
                         "outcome=\"ran\"", "Requests ended at the agent");
COUNTER_DEFINE_LABELLED (ended_not_run, "siskin_jobs_ended_total",
                         "outcome=\"not-run\"", "Requests ended at the agent");
COUNTER_DEFINE_LABELLED (ended_unknown, "siskin_jobs_ended_total",
                         "outcome=\"unknown\"", "Requests ended at the agent");

static counter_t *const ended_counters[OUTCOME_COUNT] = {
  [OUTCOME_NOT_RUN] = &ended_not_run,
  [OUTCOME_RAN] = &ended_ran,
  [OUTCOME_UNKNOWN] = &ended_unknown,
};
COUNTER_DEFINE (jobs_resumed, "siskin_jobs_resumed_total",
                "Requests taken up again over a new connection");

/* Return the job with ID, or NULL.  Called with the table locked.  */
job_t *
job_find (agent_t *agent, const request_id_t *id)
{
  table_node_t *node = table_find (agent->jobs, id, sizeof *id);

  return node == NULL ? NULL : CONTAINER_OF (node, job_t, node);
}

/* Post TASK of JOB to WORKER.  Called with the table locked.  */
void
job_post_locked (job_t *job, task_t *task, worker_t *worker)
{
  job->posted_tasks++;
  worker_post (worker, task);
}

/* Finish a task of JOB.  Must be the task's last action, since the job may be
   freed afterwards.  */
void
job_end_task (job_t *job)
{
  table_t *jobs = job->agent->jobs;

  table_lock (jobs);
  job->posted_tasks--;
  table_unlock (jobs);
}

/* Schedule sending on the worker that owns the entry's connection.  Called
   with the table locked.  */
void
job_schedule_send_locked (job_t *job)
{
  if (job->output.link == NULL || job->output.is_send_posted)
    return;
  job->output.is_send_posted = true;
  job_post_locked (job, &job->send_task, job->output.link_worker);
}

static void
job_send_head_locked (job_t *job)
{
  frame_t frame = { .header = { .type = FRAME_HEAD, .request = job->id } };

  frame.body.head.http_status = job->output.http_status;
  frame.body.head.content_type = job->output.content_type;
  link_send (job->output.link, &frame);
  job->output.is_head_sent = true;
}

static void
job_send_data_locked (job_t *job)
{
  job_output_t *output = &job->output;
  frame_t frame = { .header = { .type = FRAME_CHUNK, .request = job->id } };

  while (output->sent < output->acknowledged + output->buffered)
    {
      size_t start = (size_t)(output->sent - output->acknowledged);
      size_t size = output->buffered - start;

      if (size > FRAME_CHUNK_BYTES)
        size = FRAME_CHUNK_BYTES;
      frame.body.chunk.offset = output->sent;
      frame.body.chunk.data = (blob_t){ output->buffer + start, size };
      if (link_send (output->link, &frame) != STATUS_OK)
        return;
      output->sent += size;
    }
}

static void
job_send_end_locked (job_t *job)
{
  job_output_t *output = &job->output;
  frame_t frame = { .header = { .request = job->id } };

  if (output->refusal != REFUSAL_NONE)
    {
      frame.header.type = FRAME_REFUSE;
      frame.body.refuse.refusal = output->refusal;
      frame.body.refuse.outcome = output->outcome;
      frame.body.refuse.retry_after_ms = output->retry_after_ms;
      frame.body.refuse.detail = output->detail;
    }
  else
    {
      frame.header.type = FRAME_END;
      frame.body.end.outcome = output->outcome;
      frame.body.end.length = output->acknowledged + output->buffered;
      frame.body.end.is_complete = output->is_complete;
      frame.body.end.detail = output->detail;
    }
  link_send (output->link, &frame);
  output->is_end_sent = true;
}

static void
job_send_locked (job_t *job)
{
  job_output_t *output = &job->output;

  if (output->is_head_known && !output->is_head_sent)
    job_send_head_locked (job);
  job_send_data_locked (job);
  if (output->is_ended && !output->is_end_sent)
    job_send_end_locked (job);
}

/* Send pending output on the entry's connection.  A RESUME may have moved the
   job to a connection of another worker since this task was posted.  */
void
job_run_send (task_t *task, worker_t *worker)
{
  job_t *job = CONTAINER_OF (task, job_t, send_task);
  job_output_t *output = &job->output;
  table_t *jobs = job->agent->jobs;

  table_lock (jobs);
  job->posted_tasks--;
  output->is_send_posted = false;
  if (output->link != NULL && output->link_worker != worker)
    job_schedule_send_locked (job);
  else if (output->link != NULL)
    job_send_locked (job);
  table_unlock (jobs);
}

/* End the job.  REFUSAL is REFUSAL_NONE if the upstream responded; IS_COMPLETE
   tells whether the response is complete.  */
void
job_end (job_t *job, outcome_t outcome, refusal_t refusal, bool is_complete,
         uint64_t retry_after_ms, const char *detail)
{
  job_output_t *output = &job->output;

  if (job->state == JOB_ENDED)
    return;
  INVARIANT (outcome != OUTCOME_NOT_RUN || !job->is_forwarded,
             "not-run-never-forwarded");
  job->state = JOB_ENDED;
  table_lock (job->agent->jobs);
  output->outcome = outcome;
  output->refusal = refusal;
  output->is_complete = is_complete;
  output->retry_after_ms = retry_after_ms;
  output->detail = talloc_strdup (job, detail);
  output->is_ended = true;
  job_schedule_send_locked (job);
  table_unlock (job->agent->jobs);
  counter_add (ended_counters[outcome], 1);
  log_event (LOG_LEVEL_NOTICE, "job-ended",
             "request=%016llx-%llu outcome=%s refusal=%s complete=%d",
             (unsigned long long)job->id.incarnation,
             (unsigned long long)job->id.sequence, outcome_name (outcome),
             refusal_name (refusal), (int)is_complete);
  atomic_fetch_sub (&job->agent->unfinished_jobs, 1);
  stop_post_check (job->agent);
}

/* End the job without a response from the upstream.  */
void
job_refuse (job_t *job, outcome_t outcome, refusal_t refusal,
            uint64_t retry_after_ms, const char *detail)
{
  job_end (job, outcome, refusal, false, retry_after_ms, detail);
}

/* Buffer BYTES of the response until the entry acknowledges them.  Called with
   the table locked.  Returns false when out of memory.  */
bool
job_append_locked (job_t *job, const char *bytes, size_t size)
{
  job_output_t *output = &job->output;
  size_t needed = output->buffered + size;
  char *resized = output->buffer;

  if (talloc_get_size (resized) < needed)
    resized = talloc_realloc (job, output->buffer, char, needed * 2);
  if (resized == NULL)
    return false;
  memcpy (resized + output->buffered, bytes, size);
  output->buffer = resized;
  output->buffered = needed;
  return true;
}

static void
job_handle_delivered_locked (job_t *job)
{
  job->output.is_delivered = true;
  stop_post_check (job->agent);
}

/* Process an ACK: the entry has forwarded the response up to the offset in
   FRAME.  */
void
job_acknowledge (agent_worker_t *agent_worker, const frame_t *frame)
{
  agent_t *agent = agent_worker->agent;
  const frame_offset_t *ack = &frame->body.offset;
  job_output_t *output;
  job_t *job;

  table_lock (agent->jobs);
  job = job_find (agent, &frame->header.request);
  if (job != NULL)
    {
      output = &job->output;
      if (ack->offset > output->acknowledged
          && ack->offset <= output->acknowledged + output->buffered)
        {
          size_t acknowledged_size
              = (size_t)(ack->offset - output->acknowledged);

          output->buffered -= acknowledged_size;
          memmove (output->buffer, output->buffer + acknowledged_size,
                   output->buffered);
          output->acknowledged = ack->offset;
        }
      if (ack->is_final && output->is_ended)
        job_handle_delivered_locked (job);
      if (output->is_paused && output->buffered < JOB_LOW_WATER_BYTES)
        {
          output->is_paused = false;
          job_post_locked (job, &job->continue_task,
                           job->agent_worker->worker);
        }
    }
  table_unlock (agent->jobs);
}

/* Refuse an unknown request.  The job that is inserted makes a SUBMIT of the
   same request be ignored if it is still in transit on an older connection.
   Called with the table locked.  */
static void
job_refuse_unknown_locked (agent_worker_t *agent_worker, link_t *link,
                           const frame_t *frame)
{
  bool is_recent = frame->body.offset.age_ms < JOB_RESUME_MAX_AGE_MS;
  job_t *job = job_create (agent_worker, &frame->header.request);

  if (job == NULL)
    return;
  table_insert (agent_worker->agent->jobs, &job->node, &job->id,
                sizeof job->id);
  job->state = JOB_ENDED;
  job->output.link = link;
  job->output.link_worker = agent_worker->worker;
  job->output.is_ended = true;
  job->output.outcome = is_recent ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN;
  job->output.refusal = REFUSAL_UPSTREAM;
  job->output.detail = talloc_strdup (job, "the agent has no such request");
  job_schedule_send_locked (job);
}

/* Continue sending a response on LINK from the offset in FRAME, after the
   connection of the SUBMIT was lost.  */
void
job_resume (agent_worker_t *agent_worker, link_t *link, const frame_t *frame)
{
  agent_t *agent = agent_worker->agent;
  const frame_offset_t *resume = &frame->body.offset;
  job_output_t *output;
  job_t *job;

  table_lock (agent->jobs);
  job = job_find (agent, &frame->header.request);
  if (job == NULL)
    job_refuse_unknown_locked (agent_worker, link, frame);
  else
    {
      output = &job->output;
      output->link = link;
      output->link_worker = agent_worker->worker;
      output->ticks_without_link = 0;
      output->is_head_sent = false;
      output->is_end_sent = false;
      output->sent = resume->offset < output->acknowledged
                         ? output->acknowledged
                         : resume->offset;
      job_schedule_send_locked (job);
    }
  table_unlock (agent->jobs);
  counter_add (&jobs_resumed, 1);
}

/* Remove all references to LINK, which has been closed.  */
void
job_detach_link (agent_t *agent, const link_t *link)
{
  table_node_t *node;

  table_lock (agent->jobs);
  TABLE_FOREACH (node, agent->jobs)
    {
      job_t *job = CONTAINER_OF (node, job_t, node);

      if (job->output.link == link)
        job->output.link = NULL;
    }
  table_unlock (agent->jobs);
}
