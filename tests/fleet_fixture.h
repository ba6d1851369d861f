#ifndef SISKIN_TESTS_FLEET_FIXTURE_H
#define SISKIN_TESTS_FLEET_FIXTURE_H

#include "relay/fleet.h"

enum
{
  FLEET_FIXTURE_RANKS = 4,
  FLEET_FIXTURE_REPORT_MS = 100,
  FLEET_FIXTURE_STEP_MS = 50,
  FLEET_FIXTURE_SLOTS = 10
};

/* A fleet with one service, "model", whose upstreams u0 to u3 are in the zones
   a, b, a and b, and a virtual clock.  */
typedef struct fleet_fixture
{
  clock_source_t *clock;
  rules_t *rules;
  route_t *route;
  fleet_t *fleet;
  uint64_t step;
  unsigned silent_rank; /* it reports nothing; FLEET_FIXTURE_RANKS: none */
} fleet_fixture_t;

/* COLD_MS: time of the cold start that is left to each upstream.  */
fleet_fixture_t *fleet_fixture_create (int64_t cold_ms);
fleet_fixture_t *fleet_fixture_create_with_seed (int64_t cold_ms,
                                                 uint64_t seed);
void fleet_fixture_destroy (fleet_fixture_t *fixture);
void fleet_fixture_advance_ms (fleet_fixture_t *fixture, int64_t ms);
/* Reports the current step of the group from all ranks.  SLOW_RANK, unless it
   is FLEET_FIXTURE_RANKS, reports a slowdown.  */
void fleet_fixture_report (fleet_fixture_t *fixture, unsigned slow_rank);
/* Advances time by MS; the group takes a step every STEP_INTERVAL_MS and
   reports periodically.  */
void fleet_fixture_step_group (fleet_fixture_t *fixture, int64_t ms,
                               int64_t step_interval_ms);
/* Chooses an upstream other than TRIED, which may be NULL, and sets ID of SIZE
   to it, or to "" if there is none.  */
fleet_shortage_t fleet_fixture_choose (fleet_fixture_t *fixture, char *id,
                                       size_t size, const char *tried);
/* Returns how many of TRIES choices are EXPECTED_ID, or any if it is NULL.  */
unsigned fleet_fixture_count_chosen (fleet_fixture_t *fixture, unsigned tries,
                                     const char *expected_id);

#endif
