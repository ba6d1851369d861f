/* Prints what callers see while an availability zone leaves and comes back, on
   a virtual clock with a fixed seed.  usage:
   bench-zones [today|large] [SEED] [LOAD]  */

#include "bench/model.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  RAMP_MS = 90000,
  WARM_UP_MS = 150000,
  LEAVES_MS = 210000,
  RETURNS_MS = 330000,
  END_MS = 450000,
  SECOND_MS = 1000,
  SEED = 20260101,
  TAIL_PERCENT = 95,
  EVEN_SECONDS = 5, /* in a row, for the load to count as even */
  MARGIN_MS
  = 10000 /* before the zone leaves; what is under way then suffers */
};

/* The steady imbalance may be passed by this much.  */
static const double even_tolerance = 1.15;

typedef struct scenario
{
  const char *name;
  model_change_t leaves;
  model_change_t returns;
} scenario_t;

static const scenario_t scenarios[] = {
  { "out and back warm", MODEL_ZONE_OUT, MODEL_ZONE_BACK },
  { "out and back cold", MODEL_ZONE_OUT, MODEL_ZONE_BACK_COLD },
  { "fails and recovers", MODEL_ZONE_FAILS, MODEL_ZONE_RECOVERS },
};

static model_options_t
options_today (void)
{
  model_options_t options = model_options_today ();

  options.load = 0.55;
  options.ramp_ms = RAMP_MS;
  options.warm_up_ms = WARM_UP_MS;
  options.duration_ms = END_MS;
  options.seed = SEED;
  return options;
}

static model_options_t
options_large (void)
{
  model_options_t options = options_today ();

  options.zones = 4;
  options.entries = 21;
  options.upstreams = 168;
  options.models = 7;
  options.accounts = 210;
  options.maximum_requests = 32;
  options.load = 0.6;
  options.report_ms = 1000;
  return options;
}

static int64_t
worst_second (const model_result_t *result, int64_t from_ms, int64_t to_ms)
{
  int64_t worst = 0;

  for (int64_t at = from_ms; at < to_ms; at += SECOND_MS)
    {
      int64_t tail = model_first_token_ms (result, TAIL_PERCENT, at,
                                           at + SECOND_MS, -1);

      worst = tail > worst ? tail : worst;
    }
  return worst;
}

static double
steady_imbalance (const model_t *model, int64_t from_ms, int64_t to_ms)
{
  double sum = 0;

  for (int64_t at = from_ms; at < to_ms; at += SECOND_MS)
    sum += model_imbalance (model, at / SECOND_MS);
  return sum * SECOND_MS / (double)(to_ms - from_ms);
}

/* Return the seconds from FROM_MS until the load stays as even as STEADY; -1
   when it does not.  */
static int64_t
seconds_until_even (const model_t *model, int64_t from_ms, int64_t to_ms,
                    double steady)
{
  unsigned even = 0;

  for (int64_t at = from_ms; at < to_ms; at += SECOND_MS)
    {
      even = model_imbalance (model, at / SECOND_MS) <= steady * even_tolerance
                 ? even + 1
                 : 0;
      if (even == EVEN_SECONDS)
        return (at - from_ms) / SECOND_MS - EVEN_SECONDS + 1;
    }
  return -1;
}

static void
count_ends (const model_result_t *result, size_t *refused, size_t *lost)
{
  *refused = *lost = 0;
  for (size_t i = 0; i < result->count; i++)
    {
      *refused += result->samples[i].is_refused;
      *lost += result->samples[i].is_lost;
    }
}

static void
run_scenario (const model_options_t *options, const scenario_t *scenario)
{
  model_t *model = model_create (NULL, options);
  model_result_t result;
  size_t refused;
  size_t lost;

  model_change_at (model, LEAVES_MS, scenario->leaves, 0);
  model_change_at (model, RETURNS_MS, scenario->returns, 0);
  model_run (model);
  model_result (model, &result);
  count_ends (&result, &refused, &lost);
  printf ("%-20s %9zu %6zu %8zu %10lld %10lld %10lld %8lld %9llu %9llu\n",
          scenario->name, result.count, lost, refused,
          (long long)worst_second (&result, WARM_UP_MS, LEAVES_MS - MARGIN_MS),
          (long long)worst_second (&result, LEAVES_MS - MARGIN_MS, RETURNS_MS),
          (long long)worst_second (&result, RETURNS_MS, END_MS),
          (long long)seconds_until_even (
              model, RETURNS_MS, END_MS,
              steady_imbalance (model, WARM_UP_MS, LEAVES_MS)),
          (unsigned long long)result.cold_over,
          (unsigned long long)result.reroutes);
  fflush (stdout);
  model_destroy (model);
}

int
main (int argc, char **argv)
{
  model_options_t options = argc > 1 && strcmp (argv[1], "large") == 0
                                ? options_large ()
                                : options_today ();

  if (argc > 2)
    options.seed = strtoull (argv[2], NULL, 10);
  if (argc > 3)
    options.load = strtod (argv[3], NULL);
  printf ("zone 0 of %u leaves at %d s and returns at %d s; load %.2f; "
          "columns *_ms are the p95 to the first token in the worst second\n",
          options.zones, LEAVES_MS / SECOND_MS, RETURNS_MS / SECOND_MS,
          options.load);
  printf ("%-20s %9s %6s %8s %10s %10s %10s %8s %9s %9s\n", "scenario",
          "requests", "lost", "refused", "steady_ms", "out_ms", "back_ms",
          "even_s", "cold_over", "rerouted");
  for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
    run_scenario (&options, &scenarios[i]);
  return EXIT_SUCCESS;
}
