#include "common/daemon.h"

#include "common/http_server.h"
#include "kernel/counter.h"
#include "kernel/histogram.h"
#include "kernel/log.h"
#include "kernel/table.h"

#include <argp.h>
#include <curl/curl.h>
#include <limits.h>
#include <malloc.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

enum
{
  ADMIN_MAX_BODY_BYTES = 4096,
  MEMORY_TRIM_INTERVAL_MS = 1000,
  /* Blocks of this size and more get memory pages of their own, which return
     to the system when the block is freed and can grow without a copy.  */
  MMAP_MIN_BYTES = 64 * 1024,
  HEAP_TRIM_BYTES = 1024 * 1024,
  BYTES_PER_MB = 1024 * 1024,
  EXIT_USAGE = 64,
  OPTION_CHECK = 0x100,
  EXIT_STOP_INCOMPLETE = 3 /* a graceful stop timed out or was aborted */
};

struct daemon
{
  const daemon_program_t *program;
  config_t *config;
  clock_source_t *clock;
  node_t *node;
  pool_t *pool;
  memory_budget_t *memory; /* NULL in an embedded daemon */
  http_server_t *admin;
  void *state;
  task_t stop_task;
  const char *config_file;
  struct timespec stop_timeout;
  void (*on_finish) (void *data);
  void *finish_data;
};

/* Task that passes the reloaded configuration to worker 0.  */
typedef struct daemon_reload
{
  task_t task;
  daemon_t *daemon;
  config_t *new_config;
} daemon_reload_t;

typedef struct daemon_arguments
{
  const char *config_file;
  log_level_t log_level;
  bool is_check_only;
} daemon_arguments_t;

static const struct argp_option daemon_options[] = {
  { "config", 'c', "FILE", 0, "Read this process's own settings from FILE",
    0 },
  { "check", OPTION_CHECK, NULL, 0,
    "Check the settings file, print its errors and exit", 0 },
  { "verbose", 'v', NULL, 0, "Also log debug messages", 0 },
  { NULL, 0, NULL, 0, NULL, 0 },
};

static error_t
daemon_parse_option (int key, char *argument, struct argp_state *state)
{
  daemon_arguments_t *arguments = state->input;

  switch (key)
    {
    case 'c':
      arguments->config_file = argument;
      return 0;
    case OPTION_CHECK:
      arguments->is_check_only = true;
      return 0;
    case 'v':
      arguments->log_level = LOG_LEVEL_DEBUG;
      return 0;
    case ARGP_KEY_ARG:
      argp_error (state, "unexpected argument '%s'", argument);
      return EINVAL;
    case ARGP_KEY_END:
      if (arguments->config_file == NULL)
        argp_error (state, "--config is missing");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
admin_on_request (http_exchange_t *exchange, void *data)
{
  daemon_t *daemon = data;
  const char *path = http_exchange_path (exchange);
  char *text;

  if (strcmp (path, "/metrics") == 0)
    {
      text = counter_render_all (exchange);
      text = talloc_asprintf_append_buffer (text, "%s",
                                            histogram_render_all (text));
      http_reply_text (exchange, 200, "text/plain; version=0.0.4", text);
      return;
    }
  if (strcmp (path, "/health") == 0)
    {
      settings_t *settings = node_settings (daemon->node);

      text = talloc_asprintf (
          exchange,
          "{\"name\":\"%s\",\"zone\":\"%s\",\"revision\":%llu,"
          "\"confirmed_age_ms\":%llu}\n",
          node_name (daemon->node), node_zone (daemon->node),
          settings == NULL ? 0ULL : (unsigned long long)settings->revision,
          (unsigned long long)node_confirmed_age_ms (daemon->node));
      http_reply_text (exchange, settings == NULL ? 503 : 200,
                       "application/json", text);
      if (settings != NULL)
        settings_release (settings);
      return;
    }
  if (daemon->program->on_admin_request == NULL
      || !daemon->program->on_admin_request (daemon->state, exchange))
    http_reply_text (exchange, 404, "text/plain", "not found\n");
}

static const http_server_ops_t admin_ops = {
  .on_request = admin_on_request,
};

static status_t
daemon_start_admin (daemon_t *daemon)
{
  net_address_t address;
  status_t status
      = net_address_parse (daemon, daemon->config->admin, &address);

  if (status != STATUS_OK)
    return status;
  daemon->admin
      = http_server_create (pool_worker (daemon->pool, 0), &address,
                            ADMIN_MAX_BODY_BYTES, &admin_ops, daemon);
  if (daemon->admin == NULL)
    return STATUS_IO;
  log_event (LOG_LEVEL_NOTICE, "admin-listening", "port=%u",
             http_server_port (daemon->admin));
  return STATUS_OK;
}

static void
daemon_handle_stop (task_t *task, worker_t *worker)
{
  daemon_t *daemon = CONTAINER_OF (task, daemon_t, stop_task);

  (void)worker;
  daemon->program->stop (daemon->state);
}

/* Begin the graceful stop.  Callable from any thread.  */
void
daemon_stop (daemon_t *daemon)
{
  daemon->stop_task.run = daemon_handle_stop;
  worker_post (pool_worker (daemon->pool, 0), &daemon->stop_task);
}

static void
daemon_raise_finish_signal (void *data)
{
  (void)data;
  kill (getpid (), SIGUSR1);
}

static void
daemon_block_signals (sigset_t *signals)
{
  sigemptyset (signals);
  sigaddset (signals, SIGTERM);
  sigaddset (signals, SIGINT);
  sigaddset (signals, SIGUSR1);
  sigaddset (signals, SIGHUP);
  pthread_sigmask (SIG_BLOCK, signals, NULL);
  signal (SIGPIPE, SIG_IGN);
}

static void
daemon_handle_reload (task_t *task, worker_t *worker)
{
  daemon_reload_t *reload = CONTAINER_OF (task, daemon_reload_t, task);
  const daemon_t *daemon = reload->daemon;

  (void)worker;
  if (daemon->program->reload != NULL)
    daemon->program->reload (daemon->state, reload->new_config);
  talloc_free (reload);
}

/* Read the process's configuration file again.  If it has an error, the
   current configuration stays.  */
static void
daemon_reload (daemon_t *daemon)
{
  daemon_reload_t *reload = talloc_zero (NULL, daemon_reload_t);
  findings_t *findings;

  if (reload == NULL)
    return;
  findings = findings_create (reload);
  reload->new_config = config_load (reload, daemon->config_file, findings);
  if (reload->new_config == NULL)
    {
      log_event (LOG_LEVEL_ERROR, "reload-refused", "file=%s findings=%zu",
                 daemon->config_file, findings_count (findings));
      findings_print (findings, stderr);
      talloc_free (reload);
      return;
    }
  log_event (LOG_LEVEL_NOTICE, "reloaded", "file=%s", daemon->config_file);
  daemon->stop_timeout = reload->new_config->stop_timeout;
  reload->daemon = daemon;
  reload->task.run = daemon_handle_reload;
  worker_post (pool_worker (daemon->pool, 0), &reload->task);
}

/* Wait for a signal that requests a stop and return it.  SIGHUP reloads the
   configuration meanwhile.  */
static int
daemon_wait_for_stop (daemon_t *daemon, const sigset_t *signals)
{
  for (;;)
    {
      int received = sigwaitinfo (signals, NULL);

      if (received == SIGHUP)
        daemon_reload (daemon);
      else if (received == SIGTERM || received == SIGINT)
        return received;
    }
}

/* Wait during the graceful stop and return the next of SIGNALS, or -1 when the
   stop timeout has passed.  SIGHUP is ignored.  */
static int
daemon_wait_for_finish (const daemon_t *daemon, const sigset_t *signals)
{
  struct timespec deadline
      = timespec_add (clock_monotonic (daemon->clock), daemon->stop_timeout);

  for (;;)
    {
      struct timespec remaining
          = timespec_subtract (deadline, clock_monotonic (daemon->clock));
      int received;

      if (remaining.tv_sec < 0)
        return -1;
      received = sigtimedwait (signals, NULL, &remaining);
      /* The wait is interrupted when the process was suspended.  */
      if (received > 0 && received != SIGHUP)
        return received;
    }
}

/* Wait for a stop signal, begin the graceful stop and wait for its end, a
   second signal or the stop timeout.  Returns the exit status.  */
static int
daemon_wait (daemon_t *daemon, const sigset_t *signals)
{
  int received = daemon_wait_for_stop (daemon, signals);

  log_event (LOG_LEVEL_NOTICE, "stopping", "signal=%d", received);
  daemon_stop (daemon);
  received = daemon_wait_for_finish (daemon, signals);
  if (received == SIGUSR1)
    return EXIT_SUCCESS;
  log_event (LOG_LEVEL_WARN, "stop-aborted", "reason=%s",
             received < 0 ? "timeout" : "second-signal");
  return EXIT_STOP_INCOMPLETE;
}

/* Return the bytes of memory that the process may use.  */
static size_t
daemon_available_bytes (const daemon_t *daemon)
{
  if (daemon->config->memory_mb > 0)
    return (size_t)(daemon->config->memory_mb * BYTES_PER_MB);
  return (size_t)sysconf (_SC_PHYS_PAGES) * (size_t)sysconf (_SC_PAGESIZE);
}

/* Return the number of descriptors that the process may open.  */
static unsigned
daemon_max_descriptors (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur > INT_MAX)
    return INT_MAX;
  return (unsigned)limit.rlim_cur;
}

static void
daemon_handle_trim (worker_t *worker, void *data)
{
  daemon_t *daemon = data;

  memory_budget_trim (daemon->memory);
  worker_timer_start (worker, worker_events (worker),
                      timespec_from_ms (MEMORY_TRIM_INTERVAL_MS),
                      daemon_handle_trim, daemon);
}

/* Create the pool of workers, with a limit on what they hold for peers.  The
   pool is freed first.  */
static status_t
daemon_create_pool (daemon_t *daemon)
{
  unsigned worker_count = (unsigned)daemon->config->workers;
  memory_limits_t limits = memory_limits_for (daemon_available_bytes (daemon),
                                              daemon_max_descriptors ());

  daemon->memory
      = memory_budget_create (daemon, daemon->clock, &limits, worker_count);
  daemon->pool = pool_create (daemon, worker_count, daemon->clock);
  if (daemon->memory == NULL || daemon->pool == NULL)
    return STATUS_NO_MEMORY;
  mallopt (M_MMAP_THRESHOLD, MMAP_MIN_BYTES);
  mallopt (M_TRIM_THRESHOLD, HEAP_TRIM_BYTES);
  pool_set_memory_budget (daemon->pool, daemon->memory);
  daemon_handle_trim (pool_worker (daemon->pool, 0), daemon);
  log_event (LOG_LEVEL_NOTICE, "memory-limit", "bytes=%zu connections=%u",
             limits.bytes, limits.connections);
  return STATUS_OK;
}

static status_t
daemon_set_up (daemon_t *daemon)
{
  status_t status;

  daemon->clock = clock_create_system (daemon);
  daemon->node
      = node_create (daemon, daemon->program->role, daemon->config->name,
                     daemon->config->zone, daemon->clock);
  if (daemon->node == NULL)
    return STATUS_NO_MEMORY;
  status = daemon_create_pool (daemon);
  if (status == STATUS_OK)
    status = daemon_start_admin (daemon);
  if (status != STATUS_OK)
    return status;
  return daemon->program->start (daemon, &daemon->state);
}

static int
daemon_run (daemon_t *daemon, const sigset_t *signals)
{
  status_t status;
  int exit_status = EXIT_FAILURE;

  status = daemon_set_up (daemon);
  if (status == STATUS_OK)
    status = pool_start (daemon->pool);
  if (status == STATUS_OK)
    exit_status = daemon_wait (daemon, signals);
  else
    log_event (LOG_LEVEL_ERROR, "start-failed", "error=\"%s\"",
               status_message ());
  if (daemon->pool != NULL)
    {
      pool_stop (daemon->pool);
      pool_join (daemon->pool);
    }
  if (daemon->state != NULL)
    daemon->program->destroy (daemon->state);
  return exit_status;
}

/* Run PROGRAM: read the command line and the configuration file, start
   the workers and wait for the signal to stop.  Returns the exit status: 0
   after a graceful stop, 1 when the program cannot start, 3 when a graceful
   stop timed out or was aborted by a second signal, 64 for an invalid command
   line.  */
int
daemon_main (const daemon_program_t *program, int argc, char **argv)
{
  daemon_arguments_t arguments = { .log_level = LOG_LEVEL_INFO };
  struct argp argp = { .options = daemon_options,
                       .parser = daemon_parse_option,
                       .doc = program->summary };
  daemon_t *daemon = talloc_zero (NULL, daemon_t);
  findings_t *findings = findings_create (daemon);
  sigset_t signals;
  int exit_status;

  argp_err_exit_status = EXIT_USAGE;
  argp_program_version = SISKIN_VERSION;
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  daemon->program = program;
  daemon->on_finish = daemon_raise_finish_signal;
  daemon->config = config_load (daemon, arguments.config_file, findings);
  if (daemon->config == NULL)
    {
      findings_print (findings, stderr);
      talloc_free (daemon);
      return EXIT_FAILURE;
    }
  if (arguments.is_check_only)
    {
      printf ("%s is valid\n", arguments.config_file);
      talloc_free (daemon);
      return EXIT_SUCCESS;
    }
  daemon->config_file = arguments.config_file;
  daemon->stop_timeout = daemon->config->stop_timeout;
  /* Must precede the creation of threads, which inherit the signal mask.  */
  daemon_block_signals (&signals);
  talloc_set_log_stderr ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  log_init (program->name, daemon->config->name, arguments.log_level,
            STDOUT_FILENO);
  exit_status = daemon_run (daemon, &signals);
  log_event (LOG_LEVEL_NOTICE, "stopped", "status=%d", exit_status);
  talloc_free (daemon);
  log_close ();
  curl_global_cleanup ();
  return exit_status;
}

/* Return the process's configuration.  */
const config_t *
daemon_config (const daemon_t *daemon)
{
  return daemon->config;
}

/* Return the process's identity, with the newest settings of the whole
   system.  */
node_t *
daemon_node (const daemon_t *daemon)
{
  return daemon->node;
}

/* Return the pool of workers.  */
pool_t *
daemon_pool (const daemon_t *daemon)
{
  return daemon->pool;
}

/* Report that the graceful stop is done.  Callable from any worker.  */
void
daemon_finish (daemon_t *daemon)
{
  daemon->on_finish (daemon->finish_data);
}

/* Start PROGRAM within the calling process, without signal handling and admin
   server, so that one process can run several programs, as the simulator does.
   Returns NULL with the status message set on failure.  */
daemon_t *
daemon_embed (TALLOC_CTX *parent, const daemon_program_t *program,
              const daemon_parts_t *parts)
{
  daemon_t *daemon = talloc_zero (parent, daemon_t);

  if (daemon == NULL)
    return NULL;
  daemon->program = program;
  daemon->config = parts->config;
  daemon->node = parts->node;
  daemon->pool = parts->pool;
  daemon->on_finish = parts->on_finish;
  daemon->finish_data = parts->data;
  if (program->start (daemon, &daemon->state) == STATUS_OK)
    return daemon;
  daemon_destroy (daemon);
  return NULL;
}

/* Free an embedded DAEMON.  Its workers must have stopped.  */
void
daemon_destroy (daemon_t *daemon)
{
  if (daemon->state != NULL)
    daemon->program->destroy (daemon->state);
  talloc_free (daemon);
}
