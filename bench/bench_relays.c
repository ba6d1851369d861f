/* Prints how well relays place requests as relays and upstreams are added at
   the same load for each upstream, in a simulation with virtual time.  Usage:
   bench-relays [LOAD] [SEED]  */

#include "bench/relay_model.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  DURATION_MS = 13000,
  SLOTS = 6
};

static const struct size
{
  unsigned relays;
  unsigned upstreams;
} sizes[] = { { 3, 16 }, { 14, 64 }, { 53, 192 }, { 200, 800 } };

int
main (int argc, char **argv)
{
  relay_model_options_t options
      = { .slots = SLOTS,
          .load = argc > 1 ? strtod (argv[1], NULL) : 0.8,
          .duration_ms = DURATION_MS,
          .seed = argc > 2 ? strtoull (argv[2], NULL, 10) : 1 };

  puts ("relays x upstreams  at-once refused declined new-conns  wait p50 p99 "
        "ms  busiest  choice us report us");
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      relay_model_result_t result;

      options.relays = sizes[i].relays;
      options.upstreams = sizes[i].upstreams;
      result = relay_model_run (&options);
      printf ("%6u x %-9u  %7.3f %7.4f %8.4f %9.3f  %8.0f %6.0f  %7.3f  "
              "%9.2f %9.2f\n",
              options.relays, options.upstreams, result.sent_at_once,
              result.refused, result.declined, result.new_connections,
              result.wait_p50_ms, result.wait_p99_ms, result.busiest_ratio,
              result.choice_us, result.report_us);
      fflush (stdout);
    }
  return 0;
}
