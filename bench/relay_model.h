#ifndef SISKIN_BENCH_RELAY_MODEL_H
#define SISKIN_BENCH_RELAY_MODEL_H

#include <stdint.h>

/* A simulation in virtual time of relays that place streams on the upstreams
   of one service.  Each relay has a fleet of its own, as in production, and
   knows the load only from reports that are late and sometimes lost.  */
typedef struct relay_model_options
{
  unsigned relays;
  unsigned upstreams;
  unsigned slots; /* requests that an upstream runs at once */
  double load;    /* share of all slots that the arriving work takes */
  uint64_t duration_ms;
  uint64_t seed;
} relay_model_options_t;

/* What clients got, over the whole run.  */
typedef struct relay_model_result
{
  uint64_t requests;
  double sent_at_once; /* share of the requests that never waited in a relay */
  double refused;      /* share that no upstream took in time */
  double declined;     /* attempts that a full upstream declined, a request */
  double new_connections; /* a request */
  double wait_p50_ms;     /* from the arrival until an upstream runs it */
  double wait_p99_ms;
  /* Mean load of the busiest upstream, relative to that of all.  */
  double busiest_ratio;
  double choice_us; /* processor time of fleet_choose */
  double report_us; /* processor time of fleet_record_report */
} relay_model_result_t;

relay_model_result_t relay_model_run (const relay_model_options_t *options);

#endif
