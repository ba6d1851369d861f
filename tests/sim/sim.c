#include "sim.h"

#include "kernel/invariant.h"
#include "kernel/log.h"
#include "kernel/random.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  START_TIME_S = 1772366400, /* 2026-03-01 12:00 UTC on the virtual clock */
  SETTLE_MS = 60000,         /* all open calls must end in this time */
  DEFAULT_STEPS = 200000     /* scheduler events */
};

sim_t *sim_current;

static const char *const broken_names[SIM_BROKEN_COUNT] = {
  [SIM_BROKEN_NONE] = "nothing",        [SIM_BROKEN_CLAIMS] = "claims",
  [SIM_BROKEN_ADMISSION] = "admission", [SIM_BROKEN_OUTCOME] = "outcome",
  [SIM_BROKEN_RESPONSES] = "answers",   [SIM_BROKEN_SETTINGS] = "settings"
};

/* Print the violated guarantee and the command that reproduces it, and exit:
   with 0 if a mechanism was broken on purpose, so that a violation had to be
   detected, else with 1.  */
void
sim_fail (const char *format, ...)
{
  va_list arguments;

  fprintf (stderr, "at %.3f s: ",
           (double)timespec_to_ms (timespec_subtract (
               sim_now (), (struct timespec){ .tv_sec = START_TIME_S }))
               / 1000);
  va_start (arguments, format);
  vfprintf (stderr, format, arguments);
  va_end (arguments);
  fprintf (stderr,
           "\nreproduce with: sim --seed=%llu --steps=%u --broken=%s\n",
           (unsigned long long)sim_current->seed, sim_current->steps,
           broken_names[sim_current->broken_mechanism]);
  exit (sim_current->broken_mechanism == SIM_BROKEN_NONE ? EXIT_FAILURE
                                                         : EXIT_SUCCESS);
}

/* Return a random number below BOUND.  */
uint64_t
sim_random (uint64_t bound)
{
  return scheduler_random (sim_current->scheduler, bound);
}

/* Return true with a probability of PERCENT.  */
bool
sim_chance (unsigned percent)
{
  return sim_random (100) < percent;
}

/* Return the virtual time.  */
struct timespec
sim_now (void)
{
  return clock_monotonic (sim_current->clock);
}

/* Return a random delay of 1 to MAX_US microseconds.  */
struct timespec
sim_random_delay (int64_t max_us)
{
  return timespec_from_us (1 + (int64_t)sim_random ((uint64_t)max_us));
}

/* Return the milliseconds since THEN.  */
int64_t
sim_ms_since (struct timespec then)
{
  return timespec_to_ms (timespec_subtract (sim_now (), then));
}

/* Run HANDLER on the environment worker after DELAY, unless OWNER is freed
   before.  */
void
sim_schedule (TALLOC_CTX *owner, struct timespec delay,
              worker_handler_t handler, void *data)
{
  worker_timer_start (sim_current->environment_worker, owner, delay, handler,
                      data);
}

static void
sim_add_agent (const char *name, const char *zone, bool is_plain)
{
  sim_process_t *agent = sim_process_add (NODE_AGENT, name, zone);

  agent->upstream = sim_upstream_create (agent, is_plain);
}

static void
sim_add_processes (void)
{
  sim_process_t *process;

  sim_process_add (NODE_ENTRY, "entry-1", "tt-south-1");
  sim_process_add (NODE_ENTRY, "entry-2", "tt-south-2");
  sim_add_agent ("style-1", "tt-south-1", false);
  sim_add_agent ("style-2", "tt-south-2", false);
  sim_add_agent ("style-3", "tt-south-3", false);
  sim_add_agent ("booking-1", "tt-south-1", true);
  sim_add_agent ("booking-2", "tt-south-2", true);
  sim_add_agent ("booking-3", "tt-south-3", true);
  sim_operators_create ();
  STAILQ_FOREACH (process, &sim_current->processes, link)
    sim_process_start (process);
}

static void
sim_create (const sim_t *options)
{
  sim_t *sim = sim_current = talloc_zero (NULL, sim_t);

  sim->seed = options->seed;
  sim->steps = options->steps;
  sim->broken_mechanism = options->broken_mechanism;
  sim->clock = clock_create_virtual (
      sim, (struct timespec){ .tv_sec = START_TIME_S });
  sim->scheduler = scheduler_create (sim, sim->clock, sim->seed);
  sim->environment_pool = scheduler_create_pool (sim->scheduler, sim, 1);
  sim->environment_worker = pool_worker (sim->environment_pool, 0);
  STAILQ_INIT (&sim->processes);
  random_set_seed (sim->seed);
  sim_net_create ();
  sim_store_create ();
  sim_add_processes ();
  sim_clients_create ();
  sim_faults_create ();
}

/* Let the running faults end without starting new ones, and check that all
   open calls end.  */
static void
sim_settle (void)
{
  sim_current->is_settling = true;
  scheduler_run_for (sim_current->scheduler, timespec_from_ms (SETTLE_MS));
  if (sim_clients_open_count () != 0)
    sim_fail ("%zu calls did not end", sim_clients_open_count ());
}

static void
sim_report (void)
{
  const sim_counts_t *counts = &sim_current->counts;

  printf (
      "seed=%llu virtual-s=%lld calls=%llu ran=%llu not-run=%llu "
      "unknown=%llu truncated=%llu lost=%llu no-entry=%llu retries=%llu "
      "runs=%llu faults=%llu settings-changes=%llu cold-starts=%llu\n",
      (unsigned long long)sim_current->seed,
      (long long)(sim_now ().tv_sec - START_TIME_S),
      (unsigned long long)counts->calls, (unsigned long long)counts->ran,
      (unsigned long long)counts->not_run, (unsigned long long)counts->unknown,
      (unsigned long long)counts->truncated, (unsigned long long)counts->lost,
      (unsigned long long)counts->no_entry,
      (unsigned long long)counts->retries,
      (unsigned long long)counts->upstream_runs,
      (unsigned long long)counts->faults,
      (unsigned long long)counts->settings_changes,
      (unsigned long long)counts->cold_starts);
}

static void
sim_destroy (void)
{
  sim_process_t *process;

  STAILQ_FOREACH (process, &sim_current->processes, link)
    sim_process_kill (process);
  talloc_free (sim_current);
}

static const struct argp_option option_table[] = {
  { "seed", 's', "N", 0, "Seed of the random numbers", 0 },
  { "steps", 'n', "N", 0, "Events to run before new calls and faults stop",
    0 },
  { "broken", 'b', "MECHANISM", 0,
    "Disable MECHANISM (claims, admission, outcome, answers or settings) "
    "and expect a violation to be detected",
    0 },
  { "verbose", 'v', NULL, 0, "Write the logs of all processes to stderr", 0 },
  { NULL, 0, NULL, 0, NULL, 0 },
};

static error_t
parse_argument (int key, char *argument, struct argp_state *state)
{
  sim_t *options = state->input;

  switch (key)
    {
    case 's':
      options->seed = strtoull (argument, NULL, 10);
      return 0;
    case 'n':
      options->steps = (unsigned)strtoul (argument, NULL, 10);
      return 0;
    case 'v':
      log_init ("sim", "sim", LOG_LEVEL_NOTICE, STDERR_FILENO);
      return 0;
    case 'b':
      for (int i = 0; i < SIM_BROKEN_COUNT; i++)
        {
          if (strcmp (broken_names[i], argument) != 0)
            continue;
          options->broken_mechanism = (sim_broken_mechanism_t)i;
          return 0;
        }
      argp_error (state, "unknown mechanism '%s'", argument);
      return EINVAL;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Run a simulation.  Without a broken mechanism, exit with 0 if no guarantee
   was violated, else with 1.  With a broken mechanism, exit with 0 if a
   violation was detected, else with 1.  */
int
main (int argc, char **argv)
{
  sim_t options = { .seed = 1, .steps = DEFAULT_STEPS };
  struct argp argp = { .options = option_table,
                       .parser = parse_argument,
                       .doc = "Randomised simulation of entries and agents" };

  argp_parse (&argp, argc, argv, 0, NULL, &options);
  invariant_set_fatal (true);
  sim_create (&options);
  for (unsigned i = 0; i < options.steps; i++)
    scheduler_step (sim_current->scheduler);
  sim_settle ();
  sim_report ();
  sim_destroy ();
  if (options.broken_mechanism == SIM_BROKEN_NONE)
    return EXIT_SUCCESS;
  printf ("no violation was detected\n");
  return EXIT_FAILURE;
}
