/* Prints what each class of requests gets while capacity is scarce, in a
   simulation with virtual time, with relays as in production and with relays
   that queue in order of arrival.  Usage: bench-priorities [SEED].  */

#include "bench/relay_scenarios.h"

#include <stdio.h>
#include <stdlib.h>

typedef relay_model_scenario_t (*scenario_create_t) (const relay_site_t *site);

static const struct play
{
  const char *name;
  scenario_create_t create;
} plays[] = {
  { "normal load", relay_scenario_classes },
  { "a third of the upstreams out, burst of batch", relay_scenario_scarce },
  { "an account at ten times its share", relay_scenario_account },
  { "after a power failure", relay_scenario_power },
  { "no group open", relay_scenario_closed },
  { "one group 12 times as slow", relay_scenario_slow },
};

static void
print_outcome (const char *name, const relay_model_outcome_t *outcome)
{
  printf (
      "    %-14s %7llu  %7.3f %6.3f %7.3f %6.3f %7.3f  %8.2f  %9.0f %5.0f\n",
      name, (unsigned long long)outcome->requests, outcome->on_time,
      outcome->late, outcome->refused, outcome->broken, outcome->place_share,
      outcome->attempts, outcome->refusal_ms[0], outcome->refusal_ms[1]);
}

/* Print the processor time of decisions, and of trying the queue by its
   length.  */
static void
print_times (const relay_model_result_t *result)
{
  printf ("    choice %.2f us; sweep of the queue, requests: us:",
          result->choice_us);
  for (unsigned i = 0; i < RELAY_MODEL_QUEUE_RANGES; i++)
    {
      const relay_model_queue_time_t *times = &result->queue_times[i];

      if (times->sweeps > 0)
        printf ("  %.1f: %.1f", times->requests, times->sweep_us);
    }
  putchar ('\n');
}

static void
run_play (const struct play *play, const relay_site_t *site,
          bool is_by_arrival, uint64_t seed)
{
  relay_model_scenario_t scenario = play->create (site);
  relay_model_options_t options
      = relay_scenario_options (site, &scenario, seed);
  relay_model_result_t result;

  scenario.is_by_arrival = is_by_arrival;
  result = relay_model_run (&options);
  printf ("%s, %u relays x %u upstreams, queue %s\n", play->name, site->relays,
          site->upstreams, is_by_arrival ? "by arrival" : "of production");
  puts ("    class         requests  on-time   late refused broken  places  "
        "attempts  refusal p50   p99 ms");
  for (unsigned i = 0; i < scenario.class_count; i++)
    print_outcome (scenario.classes[i].name, &result.classes[i]);
  print_outcome ("all", &result.all);
  if (scenario.accounts > 0)
    {
      print_outcome ("first account", &result.first_account);
      print_outcome ("other accounts", &result.other_accounts);
    }
  printf (
      "    first event p99 %.0f ms, longest gap p99 %.0f ms, declined %.3f, "
      "busiest %.2f\n",
      result.first_event_p99_ms, result.gap_p99_ms, result.declined,
      result.busiest_ratio);
  print_times (&result);
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  uint64_t seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 1;

  for (size_t i = 0; i < sizeof plays / sizeof plays[0]; i++)
    for (unsigned j = 0; j < RELAY_SITES; j++)
      {
        run_play (&plays[i], &relay_sites[j], true, seed);
        run_play (&plays[i], &relay_sites[j], false, seed);
      }
  return 0;
}
