#include "agent/job_state.h"

#include "agent/claim_key.h"
#include "kernel/log.h"

#include <string.h>
#include <xxhash.h>

enum
{
  /* The upstream call is paused at this number of unacknowledged bytes.  */
  JOB_WINDOW_BYTES = 256 * 1024,
  JOB_RECORD_MAX_BYTES = 64 * 1024,
  CONTENT_TYPE_MAX_BYTES = 1024, /* longer ones are truncated */
  /* Extra time to learn an outcome that must be recorded.  */
  OUTCOME_GRACE_MS = 30000,
  HTTP_TOO_MANY_REQUESTS = 429,
  HTTP_SERVER_ERROR = 500,
  HTTP_UNAVAILABLE = 503
};

/* Give the job's share of the admission limit back to the gate and start
   queued work.  SAMPLE is NULL when the upstream did not receive the job.  */
void
job_release_admission (job_t *job, const admission_sample_t *sample)
{
  gate_finish (job->agent->gate, &job->work, sample);
  agent_dispatch_queued (job->agent);
}

/* Append BYTES to the copy of the response that the journal stores.  A
   response that is too large is not stored.  */
static void
job_append_record (job_t *job, const char *bytes, size_t size)
{
  char *resized;

  if (job->claim == NULL || job->is_record_too_large)
    return;
  if (job->record_size + size > JOB_RECORD_MAX_BYTES)
    {
      job->is_record_too_large = true;
      TALLOC_FREE (job->record);
      return;
    }
  resized
      = talloc_realloc (job, job->record, char, job->record_size + size + 1);
  if (resized == NULL)
    return;
  memcpy (resized + job->record_size, bytes, size);
  job->record = resized;
  job->record_size += size;
}

static void
job_set_head_locked (job_t *job, unsigned http_status,
                     const char *content_type)
{
  job->output.is_head_known = true;
  job->output.http_status = http_status;
  job->output.content_type
      = talloc_strndup (job, content_type, CONTENT_TYPE_MAX_BYTES);
}

static void
job_on_head (unsigned http_status, const char *content_type, void *data)
{
  job_t *job = data;

  job->has_first_byte = true;
  job->first_byte_at
      = clock_monotonic (worker_clock (job->agent_worker->worker));
  gate_record_first_byte (job->agent->gate, &job->work);
  table_lock (job->agent->jobs);
  job_set_head_locked (job, http_status, content_type);
  job_schedule_send_locked (job);
  table_unlock (job->agent->jobs);
}

static bool
job_on_data (const char *bytes, size_t size, void *data)
{
  job_t *job = data;
  job_output_t *output = &job->output;
  bool is_accepted;

  table_lock (job->agent->jobs);
  is_accepted = output->buffered < JOB_WINDOW_BYTES
                && job_append_locked (job, bytes, size);
  output->is_paused = !is_accepted;
  if (is_accepted)
    job_schedule_send_locked (job);
  table_unlock (job->agent->jobs);
  if (is_accepted)
    job_append_record (job, bytes, size);
  return is_accepted;
}

/* Finish the claim: as not run, with the recorded response, or abandon it if
   the response is incomplete and the outcome therefore unknown.  */
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
job_finish_with_sample (job_t *job, bool is_success)
{
  struct timespec now
      = clock_monotonic (worker_clock (job->agent_worker->worker));
  admission_sample_t sample
      = { .tokens = job->work.item.tokens, .is_success = is_success };

  sample.duration = timespec_subtract (now, job->work.started_at);
  sample.first_token
      = job->has_first_byte
            ? timespec_subtract (job->first_byte_at, job->work.started_at)
            : sample.duration;
  job_release_admission (job, &sample);
}

/* Return the reason why the end of the call indicates a cold upstream, or
   NULL.  A timeout is no indication: a slow first byte has been reported by
   then.  */
static const char *
job_cold_reason (const job_t *job, status_t status, bool may_have_run)
{
  unsigned http_status = job->output.http_status;

  if (status == STATUS_OK)
    return http_status == HTTP_UNAVAILABLE
                   || http_status == HTTP_TOO_MANY_REQUESTS
               ? "upstream-refused"
               : NULL;
  if (!may_have_run)
    return "no-connection";
  return status == STATUS_TIMEOUT ? NULL : "connection-broken";
}

/* Report the result of the call to the gate and release the job's admission.
   After a timeout the upstream may still be working, so the job continues to
   count as aborted work.  */
static void
job_finish_at_gate (job_t *job, status_t status, bool may_have_run)
{
  const char *reason = job_cold_reason (job, status, may_have_run);

  if (reason != NULL)
    gate_record_cold_start (job->agent->gate, reason);
  if (status == STATUS_TIMEOUT && may_have_run)
    {
      gate_abort (job->agent->gate, &job->work);
      return;
    }
  job_finish_with_sample (
      job, status == STATUS_OK && job->output.http_status < HTTP_SERVER_ERROR);
}

static void
job_on_done (status_t status, bool may_have_run, void *data)
{
  job_t *job = data;
  bool is_complete = status == STATUS_OK;

  job->call = NULL;
  job->is_forwarded = may_have_run;
  job_finish_claim (job, may_have_run, is_complete);
  if (is_complete)
    job_end (job, OUTCOME_RAN, REFUSAL_NONE, true, 0, "");
  else if (!may_have_run)
    job_refuse (job, OUTCOME_NOT_RUN, REFUSAL_UPSTREAM, 0, status_message ());
  else if (job->has_first_byte)
    job_end (job, OUTCOME_RAN, REFUSAL_NONE, false, 0, status_message ());
  else
    job_refuse (job, OUTCOME_UNKNOWN, REFUSAL_UPSTREAM, 0, status_message ());
  job_finish_at_gate (job, status, may_have_run);
}

static const upstream_call_ops_t job_call_ops = {
  .on_head = job_on_head,
  .on_data = job_on_data,
  .on_done = job_on_done,
};

/* Return whether the job may still be sent to the upstream, which may be long
   after the gate started it; refuse it if not.  */
static bool
job_may_forward (job_t *job, struct timespec now)
{
  refusal_t refusal = REFUSAL_NONE;

  if (timespec_compare (job->work.item.deadline, now) <= 0)
    refusal = REFUSAL_DEADLINE;
  else if (gate_is_open (job->agent->gate, &refusal))
    return true;
  job_finish_claim (job, false, false);
  job_refuse (job, OUTCOME_NOT_RUN, refusal, 0, "not handed to the upstream");
  job_release_admission (job, NULL);
  return false;
}

static void
job_forward (job_t *job)
{
  struct timespec now
      = clock_monotonic (worker_clock (job->agent_worker->worker));
  upstream_request_t request = { .method = job->method,
                                 .path = job->path,
                                 .content_type = job->content_type,
                                 .body = job->body,
                                 .body_size = job->body_size,
                                 .must_not_resend = !job->is_repeatable,
                                 .key = job->key };

  if (!job_may_forward (job, now))
    return;
  request.timeout = timespec_subtract (job->work.item.deadline, now);
  if (!job->is_repeatable)
    request.timeout
        = timespec_add (request.timeout, timespec_from_ms (OUTCOME_GRACE_MS));
  job->state = JOB_RUNNING;
  job->is_forwarded = true;
  job->call = job->agent->upstream_ops->start (job->agent_worker->transport,
                                               &request, &job_call_ops, job);
  log_event (LOG_LEVEL_NOTICE, "job-forwarded",
             "request=%016llx-%llu account=%s service=%s tokens=%llu",
             (unsigned long long)job->id.incarnation,
             (unsigned long long)job->id.sequence, job->account, job->service,
             (unsigned long long)job->work.item.tokens);
  if (job->call != NULL)
    return;
  job->is_forwarded = false;
  job_finish_claim (job, false, false);
  job_refuse (job, OUTCOME_NOT_RUN, REFUSAL_UPSTREAM, 0, status_message ());
  job_release_admission (job, NULL);
}

static void
job_respond_from_record (job_t *job, const claim_record_t *record)
{
  if (record->body == NULL)
    {
      job_refuse (job, OUTCOME_RAN, REFUSAL_NONE, 0, "");
      return;
    }
  table_lock (job->agent->jobs);
  job_set_head_locked (job, record->http_status, record->content_type);
  job_append_locked (job, record->body, record->body_size);
  table_unlock (job->agent->jobs);
  job_end (job, OUTCOME_RAN, REFUSAL_NONE, true, 0, "recorded");
}

/* Process the result of the claim: forward the job, respond with the recorded
   response, or refuse the job.  */
static void
job_on_claimed (claim_verdict_t verdict, const claim_record_t *record,
                void *data)
{
  job_t *job = data;

  if (verdict == CLAIM_GRANTED && job->is_cancelled)
    {
      job_finish_claim (job, false, false);
      job_refuse (job, OUTCOME_NOT_RUN, REFUSAL_CANCELLED, 0, "cancelled");
      job_release_admission (job, NULL);
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
      job_respond_from_record (job, record);
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
  job_release_admission (job, NULL);
}

static uint64_t
job_fingerprint (const job_t *job)
{
  uint64_t parts[3] = { XXH3_64bits (job->method, strlen (job->method)),
                        XXH3_64bits (job->path, strlen (job->path)),
                        XXH3_64bits (job->body, job->body_size) };

  return XXH3_64bits (parts, sizeof parts);
}

/* Start a job that the gate has admitted: claim its key if it must run only
   once, then send it to the upstream.  */
void
job_start (job_t *job)
{
  journal_t *journal = atomic_load (&job->agent->journal);
  claim_request_t request = { .worker = job->agent_worker->worker,
                              .key = job->claim_key,
                              .account = job->account,
                              .service = job->service,
                              .deadline = job->work.item.deadline };

  if (job->is_cancelled || job->state == JOB_ENDED)
    {
      job_refuse (job, OUTCOME_NOT_RUN, REFUSAL_CANCELLED, 0, "cancelled");
      job_release_admission (job, NULL);
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
  job_release_admission (job, NULL);
}
