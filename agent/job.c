#include "agent/job_state.h"

#include "agent/claim_key.h"
#include "kernel/counter.h"

#include <string.h>

enum
{
  JOB_RETENTION_TICKS = 120, /* how long an outcome is kept, in seconds */
  /* Seconds without a connection after which work is cancelled.  */
  JOB_ORPHAN_TICKS = 15
};

COUNTER_DEFINE (jobs_total, "siskin_jobs_total", "Requests submitted");

static void
job_run_start (task_t *task, worker_t *worker)
{
  job_t *job = CONTAINER_OF (task, job_t, start_task);

  (void)worker;
  job_start (job);
  job_end_task (job);
}

static void
job_run_refusal (task_t *task, worker_t *worker)
{
  job_t *job = CONTAINER_OF (task, job_t, refusal_task);

  (void)worker;
  job_refuse (job, OUTCOME_NOT_RUN, job->work.refusal, 0, "left the queue");
  job_end_task (job);
}

static void
job_run_continue (task_t *task, worker_t *worker)
{
  job_t *job = CONTAINER_OF (task, job_t, continue_task);

  (void)worker;
  if (job->call != NULL)
    job->agent->upstream_ops->proceed (job->call);
  job_end_task (job);
}

/* Abort work that the client no longer wants.  A request that must not be
   repeated keeps running, since its outcome has to be recorded.  A request
   that has left the queue but has not been sent ends when it is about to be
   sent.  */
static void
job_abort (job_t *job)
{
  job->is_cancelled = true;
  if (job->state == JOB_WAITING)
    {
      if (gate_withdraw (job->agent->gate, &job->work))
        job_refuse (job, OUTCOME_NOT_RUN, REFUSAL_CANCELLED, 0, "cancelled");
      return;
    }
  if (job->state != JOB_RUNNING || !job->is_repeatable)
    return;
  job->agent->upstream_ops->cancel (job->call);
  job->call = NULL;
  job_end (job, OUTCOME_RAN, REFUSAL_CANCELLED, false, 0, "cancelled");
  gate_abort (job->agent->gate, &job->work);
}

static void
job_run_cancel (task_t *task, worker_t *worker)
{
  job_t *job = CONTAINER_OF (task, job_t, cancel_task);

  (void)worker;
  if (job->state != JOB_ENDED && !job->is_cancelled)
    job_abort (job);
  job_end_task (job);
}

/* Post the cancellation of JOB unless that has been done.  Called with the
   table locked.  */
static void
job_post_cancel_locked (job_t *job)
{
  if (job->is_cancel_posted || job->output.is_ended)
    return;
  job->is_cancel_posted = true;
  job_post_locked (job, &job->cancel_task, job->agent_worker->worker);
}

/* Post the start of WORK to the worker that owns its job.  */
void
job_post_start (gate_work_t *work)
{
  job_t *job = CONTAINER_OF (work, job_t, work);

  table_lock (job->agent->jobs);
  job_post_locked (job, &job->start_task, job->agent_worker->worker);
  table_unlock (job->agent->jobs);
}

/* Post the refusal of WORK, which was removed from the queue, to the worker
   that owns its job.  */
void
job_post_refusal (gate_work_t *work)
{
  job_t *job = CONTAINER_OF (work, job_t, work);

  table_lock (job->agent->jobs);
  job_post_locked (job, &job->refusal_task, job->agent_worker->worker);
  table_unlock (job->agent->jobs);
}

/* Create a job that belongs to AGENT_WORKER.  Returns NULL when out of
   memory.  */
job_t *
job_create (agent_worker_t *agent_worker, const request_id_t *id)
{
  job_t *job = talloc_zero (NULL, job_t);

  if (job == NULL)
    return NULL;
  job->id = *id;
  job->agent = agent_worker->agent;
  job->agent_worker = agent_worker;
  job->send_task.run = job_run_send;
  job->start_task.run = job_run_start;
  job->refusal_task.run = job_run_refusal;
  job->cancel_task.run = job_run_cancel;
  job->continue_task.run = job_run_continue;
  return job;
}

static void
job_copy_submit (job_t *job, const frame_submit_t *submit)
{
  job->account = talloc_strdup (job, submit->account);
  job->service = talloc_strdup (job, submit->service);
  job->method = talloc_strdup (job, submit->method);
  job->path = talloc_strdup (job, submit->path);
  job->content_type = talloc_strdup (job, submit->content_type);
  job->key = talloc_strdup (job, submit->key);
  job->body = talloc_memdup (job, submit->body.data, submit->body.size);
  job->body_size = submit->body.size;
  job->is_repeatable = submit->is_repeatable;
  job->claim_key
      = job->key[0] != '\0' ? job->key : claim_key_generate (job, &job->id);
}

/* Return whether the client's idempotency key may be claimed; refuse the job
   if not.  */
static bool
job_check_key (job_t *job)
{
  const clock_source_t *clock = worker_clock (job->agent_worker->worker);
  settings_t *settings = node_settings (job->agent->node);
  claim_key_rules_t rules
      = { .time_to_deadline = timespec_subtract (job->work.item.deadline,
                                                 clock_monotonic (clock)) };
  claim_key_verdict_t verdict;

  if (settings == NULL || job->is_repeatable || job->key[0] == '\0')
    {
      if (settings != NULL)
        settings_release (settings);
      return true;
    }
  rules.requires_time = settings->claims.requires_key_time;
  rules.retention = settings->claims.retention;
  settings_release (settings);
  verdict = claim_key_check (job->key, &rules, clock_realtime (clock));
  if (verdict == CLAIM_KEY_MALFORMED)
    job_refuse (job, OUTCOME_NOT_RUN, REFUSAL_INVALID, 0,
                "the key must begin with its UTC time of issue, as in "
                "20260301T120000Z-");
  else if (verdict == CLAIM_KEY_EXPIRED)
    job_refuse (job, OUTCOME_NOT_RUN, REFUSAL_KEY_EXPIRED, 0,
                "the key's time of issue is too far from now");
  return verdict == CLAIM_KEY_USABLE;
}

static void
job_fill_work (job_t *job, const frame_submit_t *submit)
{
  order_item_t *item = &job->work.item;
  settings_t *settings = node_settings (job->agent->node);
  const account_t *account = NULL;

  item->account = job->account;
  item->priority = 1;
  item->share = 1;
  item->tokens = submit->prompt_tokens + submit->output_tokens;
  item->deadline = timespec_add (
      clock_monotonic (worker_clock (job->agent_worker->worker)),
      timespec_from_ms ((int64_t)submit->deadline_ms));
  if (settings == NULL)
    return;
  account = settings_account (settings, job->account);
  if (account != NULL)
    {
      item->priority = account->priority;
      item->share = account->share;
    }
  settings_release (settings);
}

/* Offer the job to the gate: start, queue or refuse it.  */
static void
job_offer (job_t *job)
{
  gate_refusal_t refusal;
  gate_work_list_t evicted = STAILQ_HEAD_INITIALIZER (evicted);
  gate_verdict_t verdict
      = gate_offer (job->agent->gate, &job->work, &refusal, &evicted);
  gate_work_t *evicted_work;

  while ((evicted_work = STAILQ_FIRST (&evicted)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&evicted, link);
      job_post_refusal (evicted_work);
    }
  if (verdict == GATE_START)
    job_start (job);
  else if (verdict == GATE_REFUSED)
    job_refuse (job, OUTCOME_NOT_RUN, refusal.refusal, refusal.retry_after_ms,
                "refused at the gate");
}

/* Process the SUBMIT in FRAME, which arrived on LINK.  A request whose id is
   already known is ignored.  */
void
job_submit (agent_worker_t *agent_worker, link_t *link, const frame_t *frame)
{
  job_t *job = job_create (agent_worker, &frame->header.request);
  status_t status;

  if (job == NULL)
    return;
  job_copy_submit (job, &frame->body.submit);
  job->output.link = link;
  job->output.link_worker = agent_worker->worker;
  table_lock (agent_worker->agent->jobs);
  status = table_insert (agent_worker->agent->jobs, &job->node, &job->id,
                         sizeof job->id);
  table_unlock (agent_worker->agent->jobs);
  if (status != STATUS_OK)
    {
      talloc_free (job);
      return;
    }
  counter_add (&jobs_total, 1);
  atomic_fetch_add (&agent_worker->agent->unfinished_jobs, 1);
  job_fill_work (job, &frame->body.submit);
  if (job_check_key (job))
    job_offer (job);
}

/* Process a CANCEL: the entry no longer wants the response, but may wait for
   the outcome.  */
void
job_cancel (agent_worker_t *agent_worker, const frame_t *frame)
{
  job_t *job;

  table_lock (agent_worker->agent->jobs);
  job = job_find (agent_worker->agent, &frame->header.request);
  if (job != NULL)
    job_post_cancel_locked (job);
  table_unlock (agent_worker->agent->jobs);
}

/* Advance the age of JOB by one second, and cancel it if it has been without a
   connection for too long.  */
static void
job_tick_locked (job_t *job)
{
  job_output_t *output = &job->output;

  if (output->is_ended)
    {
      output->ticks_since_end++;
      return;
    }
  if (output->link != NULL)
    return;
  output->ticks_without_link++;
  if (output->ticks_without_link == JOB_ORPHAN_TICKS)
    job_post_cancel_locked (job);
}

/* Return whether the job can be freed.  An outcome is kept for
   JOB_RETENTION_TICKS even after the entry has received it, so that a delayed
   RESUME or SUBMIT with the same id is not treated as new.  The response
   itself is freed as soon as it has been delivered.  */
static bool
job_is_expired_locked (job_t *job)
{
  job_output_t *output = &job->output;

  if (!output->is_ended || job->posted_tasks > 0)
    return false;
  if (output->is_delivered)
    {
      TALLOC_FREE (output->buffer);
      output->buffered = 0;
      TALLOC_FREE (job->body);
      TALLOC_FREE (job->record);
    }
  return output->ticks_since_end >= JOB_RETENTION_TICKS;
}

/* Advance the age of all jobs by one second and free the expired ones.  Ticks
   are counted instead of comparing times, so that time in which this process
   was paused does not count.  */
void
job_tick_all (agent_t *agent)
{
  table_node_t *node;
  table_node_t *next;

  table_lock (agent->jobs);
  for (node = table_next (agent->jobs, NULL); node != NULL; node = next)
    {
      job_t *job = CONTAINER_OF (node, job_t, node);

      next = table_next (agent->jobs, node);
      job_tick_locked (job);
      if (!job_is_expired_locked (job))
        continue;
      table_remove (agent->jobs, node);
      talloc_free (job);
    }
  table_unlock (agent->jobs);
}

/* Return the number of ended jobs whose result a connected entry has not yet
   received.  */
size_t
job_count_undelivered (agent_t *agent)
{
  table_node_t *node;
  size_t count = 0;

  table_lock (agent->jobs);
  TABLE_FOREACH (node, agent->jobs)
    {
      const job_output_t *output = &CONTAINER_OF (node, job_t, node)->output;

      if (output->is_ended && !output->is_delivered && output->link != NULL)
        count++;
    }
  table_unlock (agent->jobs);
  return count;
}

/* Free all jobs.  The workers must have stopped.  */
void
job_free_all (agent_t *agent)
{
  table_node_t *node;

  while ((node = table_next (agent->jobs, NULL)) != NULL)
    {
      table_remove (agent->jobs, node);
      talloc_free (CONTAINER_OF (node, job_t, node));
    }
}
