#include "agent/stop.h"

#include "agent/job.h"
#include "agent/peer.h"
#include "kernel/log.h"

enum
{
  /* Minimum time between the announcement of the stop to the entries and the
     exit.  Work that they sent before they received it arrives in that time
     and is refused, rather than lost with the connection.  */
  STOP_NOTICE_DELAY_MS = 300,
  /* Time for the entries to receive the last responses.  */
  DELIVERY_TIMEOUT_MS = 3000,
};

static size_t
stop_pending_writes (agent_t *agent)
{
  journal_t *journal = atomic_load (&agent->journal);

  return journal == NULL ? 0 : agent->journal_ops->pending (journal);
}

static void
stop_finish (agent_t *agent)
{
  if (agent->is_finished)
    return;
  agent->is_finished = true;
  daemon_finish (agent->daemon);
}

/* Finish although some entries have not received their results.  */
static void
stop_handle_delivery_timeout (worker_t *worker, void *data)
{
  agent_t *agent = data;

  (void)worker;
  log_event (LOG_LEVEL_WARN, "responses-not-delivered", "count=%zu",
             job_count_undelivered (agent));
  stop_finish (agent);
}

/* Finish once no job is running, every outcome has been written to the journal
   and the entries have received all results.  Only the last of these has a
   time limit.  */
static void
stop_check (agent_t *agent)
{
  if (!agent->is_stop_notice_over || atomic_load (&agent->unfinished_jobs) > 0
      || stop_pending_writes (agent) > 0)
    return;
  if (job_count_undelivered (agent) == 0)
    stop_finish (agent);
  else if (agent->delivery_timer == NULL)
    agent->delivery_timer
        = worker_timer_start (agent->workers[0].worker, agent,
                              timespec_from_ms (DELIVERY_TIMEOUT_MS),
                              stop_handle_delivery_timeout, agent);
}

static void
stop_run_check (task_t *task, worker_t *worker)
{
  agent_t *agent = CONTAINER_OF (task, agent_t, stop_task);

  (void)worker;
  atomic_store (&agent->is_stop_posted, false);
  stop_check (agent);
}

/* Check whether a planned stop can finish now.  Callable from any worker, with
   or without the job table locked.  */
void
stop_post_check (agent_t *agent)
{
  if (!atomic_load (&agent->is_stopping)
      || atomic_exchange (&agent->is_stop_posted, true))
    return;
  agent->stop_task.run = stop_run_check;
  worker_post (agent->workers[0].worker, &agent->stop_task);
}

/* The journal has written everything.  */
void
stop_on_journal_idle (void *data)
{
  stop_post_check (data);
}

static void
stop_handle_notice_end (worker_t *worker, void *data)
{
  agent_t *agent = data;

  (void)worker;
  agent->is_stop_notice_over = true;
  stop_check (agent);
}

/* Start a planned stop: refuse new and queued work, announce that to the
   entries and wait for running work.  */
void
stop_begin (void *state)
{
  agent_t *agent = state;

  atomic_store (&agent->is_stopping, true);
  gate_set_leaving (agent->gate);
  agent_dispatch_queued (agent);
  peer_post_load_reports (agent);
  worker_timer_start (agent->workers[0].worker, agent,
                      timespec_from_ms (STOP_NOTICE_DELAY_MS),
                      stop_handle_notice_end, agent);
}
