/* Prints what clients experience while an availability zone is taken out of
   service and put back, or fails and recovers, in a simulation with virtual
   time and a fixed seed.  Usage: bench-zones [default|large] [SEED] [LOAD]  */

#include "bench/model.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  RAMP_MS = 90000,
  WARM_UP_MS = 150000,
  ZONE_OUT_MS = 210000,
  ZONE_BACK_MS = 330000,
  END_MS = 450000,
  SECOND_MS = 1000,
  SEED = 20260101,
  TAIL_PERCENTILE = 95,
  MIN_BALANCED_SECONDS = 5, /* in a row, for the load to stay balanced */
  /* Requests that arrive in this time before the zone goes out are counted
     with the outage, since it disrupts those that are still in progress.  */
  DISRUPTION_MARGIN_MS = 10000
};

/* The load counts as balanced up to this multiple of the imbalance before the
   zone goes out.  */
static const double imbalance_tolerance = 1.15;

/* How zone 0 goes out of service and comes back.  */
typedef struct scenario
{
  const char *name;
  model_change_t out_change;
  model_change_t back_change;
} scenario_t;

static const scenario_t scenarios[] = {
  { "out and back warm", MODEL_ZONE_OUT, MODEL_ZONE_BACK },
  { "out and back cold", MODEL_ZONE_OUT, MODEL_ZONE_BACK_COLD },
  { "fails and recovers", MODEL_ZONE_FAILS, MODEL_ZONE_RECOVERS },
};

/* Return the options of the small fleet.  */
static model_options_t
options_default (void)
{
  model_options_t options = model_options_default ();

  options.load = 0.55;
  options.ramp_ms = RAMP_MS;
  options.warm_up_ms = WARM_UP_MS;
  options.duration_ms = END_MS;
  options.seed = SEED;
  return options;
}

/* Return the options of the large fleet.  */
static model_options_t
options_large (void)
{
  model_options_t options = options_default ();

  options.zones = 4;
  options.entries = 21;
  options.upstreams = 168;
  options.models = 7;
  options.accounts = 210;
  options.maximum_requests = 32;
  options.load = 0.6;
  options.report_interval_ms = 1000;
  return options;
}

/* Return the 95th percentile of the time to first token in the worst second
   between FROM_MS and TO_MS.  */
static int64_t
max_tail_ms (const model_result_t *result, int64_t from_ms, int64_t to_ms)
{
  int64_t max = 0;

  for (int64_t at = from_ms; at < to_ms; at += SECOND_MS)
    {
      int64_t tail = model_first_token_percentile_ms (result, TAIL_PERCENTILE,
                                                      at, at + SECOND_MS, -1);

      max = tail > max ? tail : max;
    }
  return max;
}

/* Return the mean imbalance between FROM_MS and TO_MS.  */
static double
mean_imbalance (const model_t *model, int64_t from_ms, int64_t to_ms)
{
  double sum = 0;

  for (int64_t at = from_ms; at < to_ms; at += SECOND_MS)
    sum += model_imbalance (model, at / SECOND_MS);
  return sum * SECOND_MS / (double)(to_ms - from_ms);
}

/* Return the seconds from FROM_MS to the first MIN_BALANCED_SECONDS in a row
   whose imbalance is within the tolerance of BASELINE; -1 if there are none
   before TO_MS.  */
static int64_t
seconds_until_balanced (const model_t *model, int64_t from_ms, int64_t to_ms,
                        double baseline)
{
  unsigned balanced_seconds = 0;

  for (int64_t at = from_ms; at < to_ms; at += SECOND_MS)
    {
      balanced_seconds = model_imbalance (model, at / SECOND_MS)
                                 <= baseline * imbalance_tolerance
                             ? balanced_seconds + 1
                             : 0;
      if (balanced_seconds == MIN_BALANCED_SECONDS)
        return (at - from_ms) / SECOND_MS - MIN_BALANCED_SECONDS + 1;
    }
  return -1;
}

static void
count_failures (const model_result_t *result, size_t *refused, size_t *lost)
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

  model_schedule_change (model, ZONE_OUT_MS, scenario->out_change, 0);
  model_schedule_change (model, ZONE_BACK_MS, scenario->back_change, 0);
  model_run (model);
  model_result (model, &result);
  count_failures (&result, &refused, &lost);
  printf ("%-20s %9zu %6zu %8zu %10lld %10lld %10lld %10lld %11llu %9llu\n",
          scenario->name, result.count, lost, refused,
          (long long)max_tail_ms (&result, WARM_UP_MS,
                                  ZONE_OUT_MS - DISRUPTION_MARGIN_MS),
          (long long)max_tail_ms (&result, ZONE_OUT_MS - DISRUPTION_MARGIN_MS,
                                  ZONE_BACK_MS),
          (long long)max_tail_ms (&result, ZONE_BACK_MS, END_MS),
          (long long)seconds_until_balanced (
              model, ZONE_BACK_MS, END_MS,
              mean_imbalance (model, WARM_UP_MS, ZONE_OUT_MS)),
          (unsigned long long)result.cold_excess,
          (unsigned long long)result.reroutes);
  fflush (stdout);
  model_destroy (model);
}

int
main (int argc, char **argv)
{
  model_options_t options = argc > 1 && strcmp (argv[1], "large") == 0
                                ? options_large ()
                                : options_default ();

  if (argc > 2)
    options.seed = strtoull (argv[2], NULL, 10);
  if (argc > 3)
    options.load = strtod (argv[3], NULL);
  printf ("zone 0 of %u goes out at %d s and comes back at %d s; load %.2f; "
          "columns *_ms are the p95 of the time to first token in the worst "
          "second\n",
          options.zones, ZONE_OUT_MS / SECOND_MS, ZONE_BACK_MS / SECOND_MS,
          options.load);
  printf ("%-20s %9s %6s %8s %10s %10s %10s %10s %11s %9s\n", "scenario",
          "requests", "lost", "refused", "normal_ms", "out_ms", "back_ms",
          "balanced_s", "cold_excess", "rerouted");
  for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
    run_scenario (&options, &scenarios[i]);
  return EXIT_SUCCESS;
}
