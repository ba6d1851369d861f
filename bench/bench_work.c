/* Prints how well pick policies place requests whose costs differ much, in a
   simulation with virtual time.  Usage: bench-work [LOAD] [SEED], where SEED
   is that of the first run.  */

#include "bench/relay_scenarios.h"
#include "kernel/plugin.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  SLOTS = 10,
  /* Only the time for a choice is measured.  */
  CHOICE_DURATION_MS = 4000,
  CHOICE_RELAYS = 15
};

enum
{
  ROUND_ROBIN,
  LEAST_REQUESTS,
  LEAST_TOKENS,
  LEAST_WORK,
  DELAYED_ORACLE,
  ORACLE,
  POLICIES
};

/* A policy that is not registered is passed over.  */
static const char *const policies[POLICIES] = {
  [ROUND_ROBIN] = "round-robin",       [LEAST_REQUESTS] = "least-requests",
  [LEAST_TOKENS] = "least-tokens",     [LEAST_WORK] = "least-work",
  [DELAYED_ORACLE] = "delayed-oracle", [ORACLE] = "oracle",
};

static const unsigned choice_upstreams[] = { 64, 680 };

/* Runs at each site: a small one needs more for the same number of
   requests.  */
static const unsigned runs[RELAY_SITES] = { 8, 3, 2 };

static relay_model_result_t
run_policy (const relay_site_t *site, relay_model_scenario_t *scenario,
            const char *policy, relay_model_options_t options)
{
  options.slots = SLOTS;
  options.scenario = scenario;
  options.relays = site->relays;
  options.upstreams = site->upstreams;
  scenario->policy = policy;
  return relay_model_run (&options);
}

/* Add the part PART of the figures of RESULT to SUM.  */
static void
result_add_part (relay_model_result_t *sum, const relay_model_result_t *result,
                 double part)
{
  sum->all.on_time += result->all.on_time * part;
  sum->all.late += result->all.late * part;
  sum->all.refused += result->all.refused * part;
  sum->all.attempts += result->all.attempts * part;
  sum->first_event_p99_ms += result->first_event_p99_ms * part;
  sum->gap_p99_ms += result->gap_p99_ms * part;
  sum->busiest_work += result->busiest_work * part;
  sum->choice_us += result->choice_us * part;
}

/* Return the mean result of COUNT runs with different seeds.  */
static relay_model_result_t
run_policy_repeatedly (const relay_site_t *site,
                       relay_model_scenario_t *scenario, const char *policy,
                       relay_model_options_t options, unsigned count)
{
  relay_model_result_t sum = { 0 };

  for (unsigned i = 0; i < count; i++, options.seed++)
    {
      relay_model_result_t result
          = run_policy (site, scenario, policy, options);

      result_add_part (&sum, &result, 1.0 / count);
    }
  return sum;
}

/* Print RESULT of the policy NAME.  TOKENS and ORACLE are those of the
   policies between which its place is shown: 0 is as good as least-tokens, 1
   as good as the oracle.  */
static void
print_result (const char *name, const relay_model_result_t *result,
              const relay_model_result_t *tokens,
              const relay_model_result_t *oracle)
{
  double way = oracle->all.on_time - tokens->all.on_time;

  printf ("    %-14s  %7.3f %6.3f %7.3f  %5.2f  %8.2f  %12.0f  %10.0f  %7.2f  "
          "%9.2f\n",
          name, result->all.on_time, result->all.late, result->all.refused,
          way > 0 ? (result->all.on_time - tokens->all.on_time) / way : 0,
          result->all.attempts, result->first_event_p99_ms, result->gap_p99_ms,
          result->busiest_work, result->choice_us);
}

/* Print what the policies achieve at SITE in the mean of COUNT runs.  */
static void
compare_policies (const relay_site_t *site, bool has_long_prompts, double load,
                  uint64_t seed, unsigned count)
{
  relay_model_scenario_t scenario
      = relay_scenario_costs (site, has_long_prompts);
  relay_model_options_t options
      = relay_scenario_options (site, &scenario, seed);
  relay_model_result_t results[POLICIES];

  options.load = load;
  for (unsigned i = 0; i < POLICIES; i++)
    {
      if (plugin_ops (PLUGIN_PICK, policies[i]) != NULL)
        results[i] = run_policy_repeatedly (site, &scenario, policies[i],
                                            options, count);
    }
  printf ("%u relays x %u upstreams, groups of %u, prompts of %.0f\n"
          "    policy          on-time   late refused    way  attempts  first "
          "p99 ms  gap p99 ms  busiest  choice us\n",
          site->relays, site->upstreams, site->group_size,
          scenario.cost.prompt_tokens);
  for (unsigned i = 0; i < POLICIES; i++)
    {
      if (plugin_ops (PLUGIN_PICK, policies[i]) != NULL)
        print_result (policies[i], &results[i], &results[LEAST_TOKENS],
                      &results[ORACLE]);
    }
  fflush (stdout);
}

/* Print the processor time for a choice among many upstreams.  */
static void
measure_choices (double load, uint64_t seed)
{
  puts ("processor time for a choice, us");
  for (unsigned i = 0; i < POLICIES; i++)
    {
      if (plugin_ops (PLUGIN_PICK, policies[i]) == NULL)
        continue;
      printf ("    %-14s", policies[i]);
      for (unsigned j = 0;
           j < sizeof choice_upstreams / sizeof choice_upstreams[0]; j++)
        {
          relay_site_t site = { CHOICE_RELAYS, choice_upstreams[j], 1 };
          relay_model_scenario_t scenario
              = relay_scenario_costs (&site, false);
          relay_model_options_t options
              = relay_scenario_options (&site, &scenario, seed);

          options.load = load;
          options.duration_ms = CHOICE_DURATION_MS;
          printf (
              "  %u upstreams: %.2f", site.upstreams,
              run_policy (&site, &scenario, policies[i], options).choice_us);
        }
      putchar ('\n');
    }
}

int
main (int argc, char **argv)
{
  double load = argc > 1 ? strtod (argv[1], NULL) : 0.6;
  uint64_t seed = argc > 2 ? strtoull (argv[2], NULL, 10) : 1;

  for (unsigned i = 0; i < RELAY_SITES; i++)
    {
      relay_site_t alone = relay_sites[i];

      alone.group_size = 1;
      compare_policies (&alone, false, load, seed, runs[i]);
      compare_policies (&alone, true, load, seed, runs[i]);
      compare_policies (&relay_sites[i], true, load, seed, runs[i]);
    }
  measure_choices (load, seed);
  return 0;
}
