#ifndef SISKIN_TESTS_PLANNER_FIXTURE_H
#define SISKIN_TESTS_PLANNER_FIXTURE_H

#include "pilot/planner.h"

/* A planner for a group whose ranks choose experts by Zipf's law, in an order
   of popularity that shifts at once.  For tests and measurement programs.  */

enum
{
  PLANNER_FIXTURE_LAYERS = 12,
  PLANNER_FIXTURE_SLOTS = 5
};

typedef struct planner_fixture
{
  planner_t *planner;
  unsigned ranks;
  unsigned experts;
  uint64_t *counts; /* of all ranks, by layer and expert */
} planner_fixture_t;

engine_profile_t planner_fixture_engine (unsigned experts);
/* Creates a planner that knows the first map, in which each expert has one
   replica.  The experts have no order of popularity yet.  */
planner_fixture_t *planner_fixture_create (unsigned ranks, unsigned experts);
void planner_fixture_destroy (planner_fixture_t *fixture);
/* Gives the experts a new, random order of popularity.  */
void planner_fixture_shift (planner_fixture_t *fixture);
/* Adds the counts of the present popularity, and plans.  */
placement_plan_t planner_fixture_plan (planner_fixture_t *fixture);
/* Records that the group uses the map of PLAN, if it has one.  */
void planner_fixture_use (planner_fixture_t *fixture,
                          const placement_plan_t *plan, uint64_t version);

#endif
