#include "agent/stop.h"

#include "agent/job.h"
#include "agent/peer.h"
#include "kernel/log.h"

enum
{
  NOTICE_MS = 300,  /* for work that the entries sent before they heard */
  SETTLE_MS = 3000, /* for the entries to take the last answers */
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

static void
stop_handle_settle (worker_t *worker, void *data)
{
  agent_t *agent = data;

  (void)worker;
  log_event (LOG_LEVEL_WARN, "answers-not-taken", "count=%zu",
             job_count_undelivered (agent));
  stop_finish (agent);
}

/* Finish once no request runs, every outcome is written and the entries have
   taken every answer; for the last there is a time limit.  */
static void
stop_check (agent_t *agent)
{
  if (!agent->is_notice_over || atomic_load (&agent->open_jobs) > 0
      || stop_pending_writes (agent) > 0)
    return;
  if (job_count_undelivered (agent) == 0)
    stop_finish (agent);
  else if (agent->settle_timer == NULL)
    agent->settle_timer = worker_timer_start (agent->workers[0].worker, agent,
                                              timespec_from_ms (SETTLE_MS),
                                              stop_handle_settle, agent);
}

static void
stop_run_check (task_t *task, worker_t *worker)
{
  agent_t *agent = CONTAINER_OF (task, agent_t, stop_task);

  (void)worker;
  atomic_store (&agent->is_stop_posted, false);
  stop_check (agent);
}

/* Something that a planned stop waits for may have come about.  Callable from
   every worker, with the job table locked or not.  */
void
stop_note_progress (agent_t *agent)
{
  if (!atomic_load (&agent->is_stopping)
      || atomic_exchange (&agent->is_stop_posted, true))
    return;
  agent->stop_task.run = stop_run_check;
  worker_post (agent->workers[0].worker, &agent->stop_task);
}

/* The journal has nothing left to write.  */
void
stop_on_journal_idle (void *data)
{
  stop_note_progress (data);
}

static void
stop_handle_notice (worker_t *worker, void *data)
{
  agent_t *agent = data;

  (void)worker;
  agent->is_notice_over = true;
  stop_check (agent);
}

/* Planned stop: refuse new work, hand queued work back, tell the entries, and
   finish what runs.  */
void
stop_begin (void *state)
{
  agent_t *agent = state;

  atomic_store (&agent->is_stopping, true);
  gate_set_leaving (agent->gate);
  agent_start_ready (agent);
  peer_announce_everywhere (agent);
  worker_timer_start (agent->workers[0].worker, agent,
                      timespec_from_ms (NOTICE_MS), stop_handle_notice, agent);
}
