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
  START_S = 1772366400, /* of the virtual clock, since the epoch */
  QUIET_MS = 60000,     /* in which all that is open has to end */
  DEFAULT_STEPS = 200000
};

sim_t *sim_current;

static const char *const broken_names[SIM_BROKEN_COUNT] = {
  [SIM_BROKEN_NOTHING] = "nothing",     [SIM_BROKEN_CLAIMS] = "claims",
  [SIM_BROKEN_ADMISSION] = "admission", [SIM_BROKEN_OUTCOME] = "outcome",
  [SIM_BROKEN_ANSWERS] = "answers",     [SIM_BROKEN_SETTINGS] = "settings"
};

/* Report that something does not hold, with the command that shows it again,
   and exit: with 0 when it was to be noticed.  */
void
sim_fail (const char *format, ...)
{
  va_list arguments;

  fprintf (stderr, "at %.3f s: ",
           (double)timespec_to_ms (timespec_subtract (
               sim_now (), (struct timespec){ .tv_sec = START_S }))
               / 1000);
  va_start (arguments, format);
  vfprintf (stderr, format, arguments);
  va_end (arguments);
  fprintf (stderr, "\nagain: sim --seed=%llu --steps=%u --broken=%s\n",
           (unsigned long long)sim_current->seed, sim_current->steps,
           broken_names[sim_current->broken]);
  exit (sim_current->broken == SIM_BROKEN_NOTHING ? EXIT_FAILURE
                                                  : EXIT_SUCCESS);
}

/* Return a number below BOUND.  */
uint64_t
sim_random (uint64_t bound)
{
  return scheduler_random (sim_current->scheduler, bound);
}

/* Return true in PERCENT of a hundred cases.  */
bool
sim_chance (unsigned percent)
{
  return sim_random (100) < percent;
}

/* Return the time of the run.  */
struct timespec
sim_now (void)
{
  return clock_monotonic (sim_current->clock);
}

/* Return a delay of at least 1 and less than MOST_US microseconds.  */
struct timespec
sim_delay (int64_t most_us)
{
  return timespec_from_us (1 + (int64_t)sim_random ((uint64_t)most_us));
}

/* Return the milliseconds since THEN.  */
int64_t
sim_ms_since (struct timespec then)
{
  return timespec_to_ms (timespec_subtract (sim_now (), then));
}

/* Run HANDLER outside the system after DELAY, unless OWNER is freed.  */
void
sim_after (TALLOC_CTX *owner, struct timespec delay, worker_handler_t handler,
           void *data)
{
  worker_timer_start (sim_current->world, owner, delay, handler, data);
}

static void
sim_add_agent (const char *name, const char *zone, bool is_plain)
{
  sim_process_t *agent = sim_process_add (NODE_AGENT, name, zone);

  agent->upstream = sim_upstream_create (agent, is_plain);
}

static void
sim_populate (void)
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
  sim->broken = options->broken;
  sim->clock
      = clock_create_virtual (sim, (struct timespec){ .tv_sec = START_S });
  sim->scheduler = scheduler_create (sim, sim->clock, sim->seed);
  sim->pool = scheduler_create_pool (sim->scheduler, sim, 1);
  sim->world = pool_worker (sim->pool, 0);
  STAILQ_INIT (&sim->processes);
  random_set_seed (sim->seed);
  sim_net_create ();
  sim_store_create ();
  sim_populate ();
  sim_callers_create ();
  sim_faults_create ();
}

/* End all faults, and see that all that was begun ends.  */
static void
sim_settle (void)
{
  sim_current->is_quiet = true;
  scheduler_run_for (sim_current->scheduler, timespec_from_ms (QUIET_MS));
  if (sim_callers_open () != 0)
    sim_fail ("%zu calls never ended", sim_callers_open ());
}

static void
sim_report (void)
{
  const sim_counts_t *counts = &sim_current->counts;

  printf (
      "seed=%llu virtual-s=%lld calls=%llu ran=%llu not-run=%llu "
      "unknown=%llu cut=%llu lost=%llu no-entry=%llu repeats=%llu "
      "runs=%llu faults=%llu changes=%llu cold-starts=%llu\n",
      (unsigned long long)sim_current->seed,
      (long long)(sim_now ().tv_sec - START_S),
      (unsigned long long)counts->calls, (unsigned long long)counts->ran,
      (unsigned long long)counts->not_run, (unsigned long long)counts->unknown,
      (unsigned long long)counts->cut, (unsigned long long)counts->lost,
      (unsigned long long)counts->refused_at_door,
      (unsigned long long)counts->repeats, (unsigned long long)counts->runs,
      (unsigned long long)counts->faults, (unsigned long long)counts->changes,
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

static const struct argp_option arguments[] = {
  { "seed", 's', "N", 0, "Draw everything from N", 0 },
  { "steps", 'n', "N", 0, "Events before faults and new calls end", 0 },
  { "broken", 'b', "MECHANISM", 0,
    "Put claims, admission, outcome, answers or settings out of action", 0 },
  { "verbose", 'v', NULL, 0, "Write the log of all processes", 0 },
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
          options->broken = (sim_broken_t)i;
          return 0;
        }
      argp_error (state, "no mechanism '%s'", argument);
      return EINVAL;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Exits with 0 when everything held, else with 1 and the command that repeats
   the run; with a broken mechanism the other way round.  */
int
main (int argc, char **argv)
{
  sim_t options = { .seed = 1, .steps = DEFAULT_STEPS };
  struct argp argp = { .options = arguments,
                       .parser = parse_argument,
                       .doc = "Randomised run of entries and agents" };

  argp_parse (&argp, argc, argv, 0, NULL, &options);
  invariant_set_fatal (true);
  sim_create (&options);
  for (unsigned i = 0; i < options.steps; i++)
    scheduler_step (sim_current->scheduler);
  sim_settle ();
  sim_report ();
  sim_destroy ();
  if (options.broken == SIM_BROKEN_NOTHING)
    return EXIT_SUCCESS;
  printf ("nothing was noticed\n");
  return EXIT_FAILURE;
}
