#include "sim.h"

#include "agent/program.h"
#include "entry/program.h"

enum
{
  RESTART_DELAY_MAX_MS = 3000
};

/* Add a process in ZONE without starting it.  ZONE must outlive the
   simulation.  */
sim_process_t *
sim_process_add (node_role_t role, const char *name, const char *zone)
{
  sim_process_t *process = talloc_zero (sim_current, sim_process_t);

  process->sim = sim_current;
  process->role = role;
  process->name = talloc_strdup (process, name);
  process->zone = zone;
  process->index = sim_current->process_count++;
  STAILQ_INSERT_TAIL (&sim_current->processes, process, link);
  return process;
}

/* Return the running process that WORKER belongs to.  */
sim_process_t *
sim_process_of_worker (const worker_t *worker)
{
  sim_process_t *process;

  STAILQ_FOREACH (process, &sim_current->processes, link)
    {
      if (process->is_alive && process->pool == worker_pool (worker))
        return process;
    }
  sim_fail ("a worker belongs to no running process");
}

/* Check that no request was aborted by the graceful stop, and schedule the
   restart.  */
static void
process_finish_stop (worker_t *worker, void *data)
{
  sim_process_t *process = data;

  (void)worker;
  if (!process->is_stopping)
    return;
  if (process->role == NODE_ENTRY)
    sim_clients_check_stop (process);
  else if (sim_upstream_has_calls (process->upstream))
    sim_fail ("the graceful stop of %s aborted a request", process->name);
  sim_process_kill (process);
  sim_process_schedule_restart (process);
}

static void
process_on_finish (void *data)
{
  sim_schedule (data, timespec_from_ms (0), process_finish_stop, data);
}

/* Return the configuration for PROCESS, a child of its context.  */
static config_t *
process_config (sim_process_t *process)
{
  config_t *config = config_create (process->context);
  schema_string_t *url = talloc_zero (config, schema_string_t);

  config->name = process->name;
  config->zone = process->zone;
  config->listen = talloc_asprintf (config, "127.0.0.1:%u",
                                    SIM_FIRST_PORT + process->index);
  config->upstream = process->name;
  config->workers = SIM_WORKERS;
  url->text = process->name;
  STAILQ_INSERT_TAIL (&config->store, url, link);
  return config;
}

/* Start PROCESS without any state of an earlier run.  */
void
sim_process_start (sim_process_t *process)
{
  sim_t *sim = process->sim;
  daemon_parts_t parts = { .on_finish = process_on_finish, .data = process };

  process->context = talloc_new (process);
  process->pool
      = scheduler_create_pool (sim->scheduler, process->context, SIM_WORKERS);
  process->node = node_create (process->context, process->role, process->name,
                               process->zone, sim->clock);
  node_set_transport (process->node, sim_net_transport (process));
  process->is_alive = true;
  process->is_stopping = false;
  process->start_count++;
  parts.config = process_config (process);
  parts.node = process->node;
  parts.pool = process->pool;
  process->daemon = daemon_embed (
      process->context,
      process->role == NODE_ENTRY ? &entry_program : &agent_program, &parts);
  if (process->daemon == NULL)
    sim_fail ("%s failed to start: %s", process->name, status_message ());
}

/* End PROCESS immediately: close its connections and free all its state.  Does
   nothing if it is not running.  */
void
sim_process_kill (sim_process_t *process)
{
  if (!process->is_alive)
    return;
  sim_process_thaw (process);
  if (process->role == NODE_ENTRY)
    sim_clients_disconnect (process);
  daemon_destroy (process->daemon);
  pool_destroy (process->pool);
  process->is_alive = false;
  process->is_stopping = false;
  for (unsigned i = 0; i < SIM_WORKERS; i++)
    process->entry_workers[i] = NULL;
  sim_net_close_all (process);
  TALLOC_FREE (process->context);
}

static void
process_restart (worker_t *worker, void *data)
{
  sim_process_t *process = data;

  (void)worker;
  process->restart_timer = NULL;
  if (!process->is_alive)
    sim_process_start (process);
}

/* Start PROCESS after a random delay, unless a restart is already pending.  */
void
sim_process_schedule_restart (sim_process_t *process)
{
  if (process->restart_timer == NULL)
    process->restart_timer
        = worker_timer_start (process->sim->environment_worker, process,
                              sim_random_delay (RESTART_DELAY_MAX_MS * 1000LL),
                              process_restart, process);
}

/* Begin a graceful stop of PROCESS.  It is restarted afterwards.  */
void
sim_process_stop (sim_process_t *process)
{
  if (!process->is_alive || process->is_stopping)
    return;
  process->is_stopping = true;
  for (unsigned i = 0; i < SIM_WORKERS; i++)
    process->entry_workers[i] = NULL; /* clients use other entries */
  daemon_stop (process->daemon);
}

/* Suspend PROCESS, as SIGSTOP does.  */
void
sim_process_freeze (sim_process_t *process)
{
  if (!process->is_alive || process->is_frozen)
    return;
  process->is_frozen = true;
  sim_clients_record_pause (process);
  scheduler_freeze (process->sim->scheduler, process->pool);
}

/* Resume PROCESS after sim_process_freeze.  Overdue events run late.  */
void
sim_process_thaw (sim_process_t *process)
{
  if (!process->is_frozen)
    return;
  process->is_frozen = false;
  scheduler_thaw (process->sim->scheduler, process->pool);
}
