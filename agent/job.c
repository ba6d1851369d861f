#include "agent/job.h"

#include "agent/claim_key.h"
#include "kernel/counter.h"
#include "kernel/invariant.h"
#include "kernel/log.h"

#include <string.h>
#include <xxhash.h>

enum
{
  JOB_WINDOW_BYTES = 256 * 1024, /* sent or waiting, not acknowledged */
  JOB_RETENTION_TICKS = 120,     /* seconds that an outcome is kept */
  JOB_RESUME_MAX_AGE_MS = 60000, /* well under the retention */
  JOB_ORPHAN_TICKS = 15          /* without a link: cancel the work */
};

COUNTER_DEFINE (jobs_total, "siskin_jobs_total", "Requests submitted");
COUNTER_DEFINE_LABELLED (ended_ran, "siskin_jobs_ended_total",
                         "outcome=\"ran\"", "Requests ended at the agent");
COUNTER_DEFINE_LABELLED (ended_not_run, "siskin_jobs_ended_total",
                         "outcome=\"not-run\"", "Requests ended at the agent");
COUNTER_DEFINE_LABELLED (ended_unknown, "siskin_jobs_ended_total",
                         "outcome=\"unknown\"", "Requests ended at the agent");
COUNTER_DEFINE (jobs_resumed, "siskin_jobs_resumed_total",
                "Requests taken up again over a new connection");

typedef enum job_state
{
  JOB_WAITING,  /* at the gate */
  JOB_CLAIMING, /* for its idempotency key */
  JOB_RUNNING,  /* on the upstream */
  JOB_ENDED
} job_state_t;

/* The part that entries ask about; under the lock of the job table.  */
typedef struct job_output
{
  link_t *link; /* the entry's connection, or NULL */
  worker_t *link_worker;
  bool is_pump_posted;
  bool is_head_known;
  bool is_head_sent;
  unsigned http_status;
  char *content_type;
  char *buffer; /* from offset ACKNOWLEDGED on */
  size_t buffered;
  uint64_t acknowledged;
  uint64_t sent;
  bool is_ended;
  bool is_end_sent;
  bool is_settled; /* the entry has received the end */
  bool is_complete;
  bool is_paused;
  outcome_t outcome;
  refusal_t refusal; /* REFUSAL_NONE: ended with END */
  uint64_t retry_after_ms;
  char *detail;
  unsigned ticks_without_link;
  unsigned ticks_since_end;
} job_output_t;

struct job
{
  table_node_t node;
  request_id_t id;
  agent_t *agent;
  agent_worker_t *share;
  gate_work_t work;
  job_state_t state;
  bool is_cancelled;
  bool has_forwarded; /* the upstream may have seen it */
  bool is_repeatable;
  char *account;
  char *service;
  char *method;
  char *path;
  char *content_type;
  char *key;       /* the caller's, or "" */
  char *claim_key; /* what the request is claimed by */
  char *body;
  size_t body_size;
  upstream_call_t *call;
  journal_claim_t *claim;
  bool has_first_byte;
  struct timespec first_byte_at;
  char *record; /* copy of the answer, for the journal */
  size_t record_size;
  bool is_record_too_large;
  task_t pump_task;
  task_t start_task;
  task_t expiry_task;
  task_t cancel_task;
  task_t continue_task;
  unsigned posted; /* tasks under way; under the table's lock */
  job_output_t output;
};

enum
{
  JOB_RECORD_MAX_BYTES = 64 * 1024
};

static void job_start (job_t *job);
static void job_pump (job_t *job);

static job_t *
job_find (agent_t *agent, const request_id_t *id)
{
  table_node_t *node = table_find (agent->jobs, id, sizeof *id);

  return node == NULL ? NULL : CONTAINER_OF (node, job_t, node);
}

/* Post TASK of JOB to WORKER; the table is locked.  */
static void
job_post_locked (job_t *job, task_t *task, worker_t *worker)
{
  job->posted++;
  worker_post (worker, task);
}

static void
job_note_task (job_t *job)
{
  table_lock (job->agent->jobs);
  job->posted--;
  table_unlock (job->agent->jobs);
}

/* Have the worker of the entry's connection send what is due.  The table is
   locked.  */
static void
job_wake_pump_locked (job_t *job)
{
  if (job->output.link == NULL || job->output.is_pump_posted)
    return;
  job->output.is_pump_posted = true;
  job_post_locked (job, &job->pump_task, job->output.link_worker);
}

static void
job_run_pump (task_t *task, worker_t *worker)
{
  job_t *job = CONTAINER_OF (task, job_t, pump_task);

  (void)worker;
  job_pump (job);
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

/* Send what is due on the entry's connection; runs on its worker.  */
static void
job_pump (job_t *job)
{
  job_output_t *output = &job->output;
  table_t *jobs = job->agent->jobs;

  table_lock (jobs);
  job->posted--;
  output->is_pump_posted = false;
  if (output->link != NULL)
    {
      if (output->is_head_known && !output->is_head_sent)
        job_send_head_locked (job);
      job_send_data_locked (job);
      if (output->is_ended && !output->is_end_sent)
        job_send_end_locked (job);
    }
  table_unlock (jobs);
}

static void
job_count_end (outcome_t outcome)
{
  if (outcome == OUTCOME_RAN)
    counter_add (&ended_ran, 1);
  else if (outcome == OUTCOME_NOT_RUN)
    counter_add (&ended_not_run, 1);
  else
    counter_add (&ended_unknown, 1);
}

/* Record the job's end.  REFUSAL is REFUSAL_NONE when the upstream's answer
   ended, whole if IS_COMPLETE.  */
static void
job_end (job_t *job, outcome_t outcome, refusal_t refusal, bool is_complete,
         uint64_t retry_after_ms, const char *detail)
{
  job_output_t *output = &job->output;

  if (job->state == JOB_ENDED)
    return;
  INVARIANT (outcome != OUTCOME_NOT_RUN || !job->has_forwarded,
             "not-run-never-forwarded");
  job->state = JOB_ENDED;
  table_lock (job->agent->jobs);
  output->outcome = outcome;
  output->refusal = refusal;
  output->is_complete = is_complete;
  output->retry_after_ms = retry_after_ms;
  output->detail = talloc_strdup (job, detail);
  output->is_ended = true;
  job_wake_pump_locked (job);
  table_unlock (job->agent->jobs);
  job_count_end (outcome);
  log_event (LOG_LEVEL_INFO, "job-ended",
             "request=%016llx-%llu outcome=%s refusal=%s complete=%d",
             (unsigned long long)job->id.incarnation,
             (unsigned long long)job->id.sequence, outcome_name (outcome),
             refusal_name (refusal), (int)is_complete);
  atomic_fetch_sub (&job->agent->open_jobs, 1);
}

static void
job_refuse (job_t *job, outcome_t outcome, refusal_t refusal,
            uint64_t retry_after_ms, const char *detail)
{
  job_end (job, outcome, refusal, false, retry_after_ms, detail);
}

/* Give the job's place at the gate back and let others start.  */
static void
job_leave_gate (job_t *job, const admission_sample_t *sample)
{
  gate_finish (job->agent->gate, &job->work, sample);
  agent_start_ready (job->agent);
}

static void
job_keep_for_record (job_t *job, const char *bytes, size_t size)
{
  char *larger;

  if (job->claim == NULL || job->is_record_too_large)
    return;
  if (job->record_size + size > JOB_RECORD_MAX_BYTES)
    {
      job->is_record_too_large = true;
      TALLOC_FREE (job->record);
      return;
    }
  larger
      = talloc_realloc (job, job->record, char, job->record_size + size + 1);
  if (larger == NULL)
    return;
  memcpy (larger + job->record_size, bytes, size);
  job->record = larger;
  job->record_size += size;
}

static void
job_on_head (unsigned http_status, const char *content_type, void *data)
{
  job_t *job = data;

  job->has_first_byte = true;
  job->first_byte_at = clock_monotonic (worker_clock (job->share->worker));
  table_lock (job->agent->jobs);
  job->output.is_head_known = true;
  job->output.http_status = http_status;
  job->output.content_type = talloc_strdup (job, content_type);
  job_wake_pump_locked (job);
  table_unlock (job->agent->jobs);
}

static bool
job_append_locked (job_t *job, const char *bytes, size_t size)
{
  job_output_t *output = &job->output;
  size_t needed = output->buffered + size;
  char *larger = output->buffer;

  if (talloc_get_size (larger) < needed)
    larger = talloc_realloc (job, output->buffer, char, needed * 2);
  if (larger == NULL)
    return false;
  memcpy (larger + output->buffered, bytes, size);
  output->buffer = larger;
  output->buffered = needed;
  return true;
}

static bool
job_on_data (const char *bytes, size_t size, void *data)
{
  job_t *job = data;
  job_output_t *output = &job->output;
  bool is_taken;

  table_lock (job->agent->jobs);
  is_taken = output->buffered < JOB_WINDOW_BYTES
             && job_append_locked (job, bytes, size);
  output->is_paused = !is_taken;
  if (is_taken)
    job_wake_pump_locked (job);
  table_unlock (job->agent->jobs);
  if (is_taken)
    job_keep_for_record (job, bytes, size);
  return is_taken;
}

static void
job_finish_claim (job_t *job, bool has_run, bool is_complete)
{
  claim_record_t record = { .http_status = job->output.http_status,
                            .content_type = job->output.content_type,
                            .body = job->record == NULL ? "" : job->record,
                            .body_size = job->record_size };

  if (job->claim == NULL)
    return;
  if (job->is_record_too_large)
    record.body = NULL;
  if (!has_run)
    job->agent->journal_ops->finish (job->claim, NULL);
  else if (is_complete)
    job->agent->journal_ops->finish (job->claim, &record);
  else
    job->agent->journal_ops->abandon (job->claim);
  job->claim = NULL;
}

static void
job_note_sample (job_t *job, bool is_success)
{
  struct timespec now = clock_monotonic (worker_clock (job->share->worker));
  admission_sample_t sample
      = { .tokens = job->work.item.tokens, .is_success = is_success };

  sample.duration = timespec_subtract (now, job->work.started_at);
  sample.first_token
      = job->has_first_byte
            ? timespec_subtract (job->first_byte_at, job->work.started_at)
            : sample.duration;
  job_leave_gate (job, &sample);
}

static void
job_on_done (status_t status, bool may_have_run, void *data)
{
  job_t *job = data;
  bool is_complete = status == STATUS_OK;

  job->call = NULL;
  job->has_forwarded = may_have_run;
  job_finish_claim (job, may_have_run, is_complete);
  if (is_complete)
    job_end (job, OUTCOME_RAN, REFUSAL_NONE, true, 0, "");
  else if (!may_have_run)
    job_refuse (job, OUTCOME_NOT_RUN, REFUSAL_UPSTREAM, 0, status_message ());
  else if (job->has_first_byte)
    job_end (job, OUTCOME_RAN, REFUSAL_NONE, false, 0, status_message ());
  else
    job_refuse (job, OUTCOME_UNKNOWN, REFUSAL_UPSTREAM, 0, status_message ());
  if (!is_complete)
    gate_note_cold (job->agent->gate, "upstream-failed");
  job_note_sample (job, is_complete && job->output.http_status < 500);
}

static const upstream_call_ops_t job_call_ops = {
  .on_head = job_on_head,
  .on_data = job_on_data,
  .on_done = job_on_done,
};

static void
job_forward (job_t *job)
{
  struct timespec now = clock_monotonic (worker_clock (job->share->worker));
  upstream_request_t request = { .method = job->method,
                                 .path = job->path,
                                 .content_type = job->content_type,
                                 .body = job->body,
                                 .body_size = job->body_size,
                                 .is_sent_once = !job->is_repeatable,
                                 .key = job->key };

  request.timeout = timespec_subtract (job->work.item.deadline, now);
  if (request.timeout.tv_sec < 0)
    {
      job_finish_claim (job, false, false);
      job_refuse (job, OUTCOME_NOT_RUN, REFUSAL_DEADLINE, 0, "deadline");
      job_leave_gate (job, NULL);
      return;
    }
  job->state = JOB_RUNNING;
  job->has_forwarded = true;
  job->call = job->agent->upstream_ops->start (job->share->transport, &request,
                                               &job_call_ops, job);
  log_event (LOG_LEVEL_INFO, "job-forwarded",
             "request=%016llx-%llu account=%s service=%s tokens=%llu",
             (unsigned long long)job->id.incarnation,
             (unsigned long long)job->id.sequence, job->account, job->service,
             (unsigned long long)job->work.item.tokens);
  if (job->call != NULL)
    return;
  job->has_forwarded = false;
  job_finish_claim (job, false, false);
  job_refuse (job, OUTCOME_NOT_RUN, REFUSAL_UPSTREAM, 0, status_message ());
  job_leave_gate (job, NULL);
}

static void
job_answer_from_record (job_t *job, const claim_record_t *record)
{
  if (record->body == NULL)
    {
      job_refuse (job, OUTCOME_RAN, REFUSAL_NONE, 0, "");
      return;
    }
  job_on_head (record->http_status, record->content_type, job);
  table_lock (job->agent->jobs);
  job_append_locked (job, record->body, record->body_size);
  table_unlock (job->agent->jobs);
  job_end (job, OUTCOME_RAN, REFUSAL_NONE, true, 0, "recorded");
}

static void
job_on_claimed (claim_verdict_t verdict, const claim_record_t *record,
                void *data)
{
  job_t *job = data;

  if (verdict == CLAIM_GRANTED && job->is_cancelled)
    {
      job_finish_claim (job, false, false);
      job_refuse (job, OUTCOME_NOT_RUN, REFUSAL_CANCELLED, 0, "cancelled");
      job_leave_gate (job, NULL);
      return;
    }
  if (verdict == CLAIM_GRANTED)
    {
      job_forward (job);
      return;
    }
  job->claim = NULL;
  switch (verdict)
    {
    case CLAIM_FINISHED:
      job_answer_from_record (job, record);
      break;
    case CLAIM_KEY_REUSED:
      job_refuse (job, OUTCOME_NOT_RUN, REFUSAL_KEY_REUSED, 0,
                  "the key belongs to a different request");
      break;
    case CLAIM_UNAVAILABLE:
      job_refuse (job, OUTCOME_NOT_RUN, REFUSAL_STORE, 0,
                  "the key could not be claimed in time");
      break;
    default:
      job_refuse (job, OUTCOME_UNKNOWN, REFUSAL_STORE, 0,
                  "claimed before, no outcome recorded");
      break;
    }
  job_leave_gate (job, NULL);
}

static uint64_t
job_fingerprint (const job_t *job)
{
  uint64_t parts[3] = { XXH3_64bits (job->method, strlen (job->method)),
                        XXH3_64bits (job->path, strlen (job->path)),
                        XXH3_64bits (job->body, job->body_size) };

  return XXH3_64bits (parts, sizeof parts);
}

/* The gate has let the job start: claim its key if it may run only once, then
   hand it to the upstream.  */
static void
job_start (job_t *job)
{
  journal_t *journal = atomic_load (&job->agent->journal);
  claim_request_t request = { .worker = job->share->worker,
                              .key = job->claim_key,
                              .account = job->account,
                              .service = job->service,
                              .deadline = job->work.item.deadline };

  if (job->is_cancelled || job->state == JOB_ENDED)
    {
      job_refuse (job, OUTCOME_NOT_RUN, REFUSAL_CANCELLED, 0, "cancelled");
      job_leave_gate (job, NULL);
      return;
    }
  if (job->is_repeatable)
    {
      job_forward (job);
      return;
    }
  job->state = JOB_CLAIMING;
  request.fingerprint = job_fingerprint (job);
  if (journal != NULL)
    job->claim = job->agent->journal_ops->claim (journal, &request,
                                                 job_on_claimed, job);
  if (job->claim != NULL)
    return;
  job_refuse (job, OUTCOME_NOT_RUN, REFUSAL_STORE, 0, "no claim journal");
  job_leave_gate (job, NULL);
}

static void
job_run_start (task_t *task, worker_t *worker)
{
  job_t *job = CONTAINER_OF (task, job_t, start_task);

  (void)worker;
  job_note_task (job);
  job_start (job);
}

static void
job_run_expiry (task_t *task, worker_t *worker)
{
  job_t *job = CONTAINER_OF (task, job_t, expiry_task);
  gate_load_t load;

  (void)worker;
  job_note_task (job);
  gate_load (job->agent->gate, &load);
  job_refuse (job, OUTCOME_NOT_RUN,
              load.is_leaving ? REFUSAL_LEAVING : REFUSAL_DEADLINE, 0,
              "left the queue");
}

static void
job_run_continue (task_t *task, worker_t *worker)
{
  job_t *job = CONTAINER_OF (task, job_t, continue_task);

  (void)worker;
  job_note_task (job);
  if (job->call != NULL)
    job->agent->upstream_ops->proceed (job->call);
}

/* Break off what the caller no longer wants.  A request that may not be
   repeated runs on, since its outcome still has to be recorded.  */
static void
job_run_cancel (task_t *task, worker_t *worker)
{
  job_t *job = CONTAINER_OF (task, job_t, cancel_task);

  (void)worker;
  job_note_task (job);
  if (job->state == JOB_ENDED || job->is_cancelled)
    return;
  job->is_cancelled = true;
  if (job->state == JOB_WAITING)
    {
      gate_withdraw (job->agent->gate, &job->work);
      if (!job->work.is_started)
        job_refuse (job, OUTCOME_NOT_RUN, REFUSAL_CANCELLED, 0, "cancelled");
      return;
    }
  if (job->state != JOB_RUNNING || !job->is_repeatable)
    return;
  job->agent->upstream_ops->cancel (job->call);
  job->call = NULL;
  job_end (job, OUTCOME_RAN, REFUSAL_CANCELLED, false, 0, "cancelled");
  job_leave_gate (job, NULL);
}

/* Post WORK, which may start, to its worker.  */
void
job_post_start (gate_work_t *work)
{
  job_t *job = CONTAINER_OF (work, job_t, work);

  table_lock (job->agent->jobs);
  job_post_locked (job, &job->start_task, job->share->worker);
  table_unlock (job->agent->jobs);
}

/* Post WORK, which has left the queue without a start, to its worker.  */
void
job_post_expiry (gate_work_t *work)
{
  job_t *job = CONTAINER_OF (work, job_t, work);

  table_lock (job->agent->jobs);
  job_post_locked (job, &job->expiry_task, job->share->worker);
  table_unlock (job->agent->jobs);
}

static job_t *
job_create (agent_worker_t *share, const request_id_t *id)
{
  job_t *job = talloc_zero (NULL, job_t);

  if (job == NULL)
    return NULL;
  job->id = *id;
  job->agent = share->agent;
  job->share = share;
  job->pump_task.run = job_run_pump;
  job->start_task.run = job_run_start;
  job->expiry_task.run = job_run_expiry;
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

/* Return whether the caller's key may be claimed; if not, refuse the job.  */
static bool
job_check_key (job_t *job)
{
  const clock_source_t *clock = worker_clock (job->share->worker);
  settings_t *settings = node_settings (job->agent->node);
  claim_key_rules_t rules
      = { .patience = timespec_subtract (job->work.item.deadline,
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
  item->deadline
      = timespec_add (clock_monotonic (worker_clock (job->share->worker)),
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

static void
job_offer (job_t *job)
{
  gate_refusal_t refusal;
  gate_work_list_t dropped = STAILQ_HEAD_INITIALIZER (dropped);
  gate_verdict_t verdict
      = gate_offer (job->agent->gate, &job->work, &refusal, &dropped);
  gate_work_t *loser;

  while ((loser = STAILQ_FIRST (&dropped)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&dropped, link);
      job_post_expiry (loser);
    }
  if (verdict == GATE_START)
    job_start (job);
  else if (verdict == GATE_REFUSED)
    job_refuse (job, OUTCOME_NOT_RUN, refusal.refusal, refusal.retry_after_ms,
                "refused at the gate");
}

/* Take the request in FRAME, a SUBMIT that came over LINK.  A request whose id
   is known already is not taken twice.  */
void
job_submit (agent_worker_t *share, link_t *link, const frame_t *frame)
{
  job_t *job = job_create (share, &frame->header.request);
  status_t status;

  if (job == NULL)
    return;
  job_copy_submit (job, &frame->body.submit);
  job->output.link = link;
  job->output.link_worker = share->worker;
  table_lock (share->agent->jobs);
  status = table_insert (share->agent->jobs, &job->node, &job->id,
                         sizeof job->id);
  table_unlock (share->agent->jobs);
  if (status != STATUS_OK)
    {
      talloc_free (job);
      return;
    }
  counter_add (&jobs_total, 1);
  atomic_fetch_add (&share->agent->open_jobs, 1);
  job_fill_work (job, &frame->body.submit);
  if (job_check_key (job))
    job_offer (job);
}

/* The entry has passed the answer on up to the offset in FRAME.  */
void
job_acknowledge (agent_worker_t *share, const frame_t *frame)
{
  agent_t *agent = share->agent;
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
          size_t taken = (size_t)(ack->offset - output->acknowledged);

          output->buffered -= taken;
          memmove (output->buffer, output->buffer + taken, output->buffered);
          output->acknowledged = ack->offset;
        }
      if (ack->is_final && output->is_ended)
        output->is_settled = true;
      if (output->is_paused && output->buffered < JOB_WINDOW_BYTES / 2)
        {
          output->is_paused = false;
          job_post_locked (job, &job->continue_task, job->share->worker);
        }
    }
  table_unlock (agent->jobs);
}

/* The entry no longer wants the answer.  */
void
job_cancel (agent_worker_t *share, const frame_t *frame)
{
  job_t *job;

  table_lock (share->agent->jobs);
  job = job_find (share->agent, &frame->header.request);
  if (job != NULL && !job->output.is_ended)
    job_post_locked (job, &job->cancel_task, job->share->worker);
  table_unlock (share->agent->jobs);
}

/* Leave a mark that the request was never taken, so that a SUBMIT still on its
   way over an older connection is ignored.  The table is locked.  */
static void
job_refuse_unseen_locked (agent_worker_t *share, link_t *link,
                          const frame_t *frame)
{
  bool is_recent = frame->body.offset.age_ms < JOB_RESUME_MAX_AGE_MS;
  job_t *job = job_create (share, &frame->header.request);

  if (job == NULL)
    return;
  table_insert (share->agent->jobs, &job->node, &job->id, sizeof job->id);
  job->state = JOB_ENDED;
  job->output.link = link;
  job->output.link_worker = share->worker;
  job->output.is_ended = true;
  job->output.outcome = is_recent ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN;
  job->output.refusal = REFUSAL_UPSTREAM;
  job->output.detail = talloc_strdup (job, "the agent has no such request");
  job_wake_pump_locked (job);
}

/* Take a request up again over LINK from the offset in FRAME, after the
   connection that it was submitted on broke.  */
void
job_resume (agent_worker_t *share, link_t *link, const frame_t *frame)
{
  agent_t *agent = share->agent;
  const frame_offset_t *wanted = &frame->body.offset;
  job_output_t *output;
  job_t *job;

  table_lock (agent->jobs);
  job = job_find (agent, &frame->header.request);
  if (job == NULL)
    job_refuse_unseen_locked (share, link, frame);
  else
    {
      output = &job->output;
      output->link = link;
      output->link_worker = share->worker;
      output->ticks_without_link = 0;
      output->is_head_sent = false;
      output->is_end_sent = false;
      output->sent = wanted->offset < output->acknowledged
                         ? output->acknowledged
                         : wanted->offset;
      job_wake_pump_locked (job);
    }
  table_unlock (agent->jobs);
  counter_add (&jobs_resumed, 1);
}

/* LINK is gone: nothing may be sent on it any more.  */
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

static void
job_age_locked (job_t *job)
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
    job_post_locked (job, &job->cancel_task, job->share->worker);
}

/* An outcome is kept for JOB_RETENTION_TICKS even once the entry has it, so
   that a late RESUME or SUBMIT of the same id cannot be taken for new; a
   settled job keeps no answer.  */
static bool
job_is_expired_locked (job_t *job)
{
  job_output_t *output = &job->output;

  if (!output->is_ended || job->posted > 0)
    return false;
  if (output->is_settled)
    {
      TALLOC_FREE (output->buffer);
      output->buffered = 0;
      TALLOC_FREE (job->body);
      TALLOC_FREE (job->record);
    }
  return output->ticks_since_end >= JOB_RETENTION_TICKS;
}

/* Count one second of every job's age, as seen by a process that runs: time in
   which it was paused does not count.  Frees what has expired.  */
void
job_age_all (agent_t *agent)
{
  table_node_t *node;
  table_node_t *next;

  table_lock (agent->jobs);
  for (node = table_next (agent->jobs, NULL); node != NULL; node = next)
    {
      job_t *job = CONTAINER_OF (node, job_t, node);

      next = table_next (agent->jobs, node);
      job_age_locked (job);
      if (!job_is_expired_locked (job))
        continue;
      table_remove (agent->jobs, node);
      talloc_free (job);
    }
  table_unlock (agent->jobs);
}

/* Free all jobs; the workers are at rest.  */
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
