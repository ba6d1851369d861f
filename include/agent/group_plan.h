#ifndef SISKIN_AGENT_GROUP_PLAN_H
#define SISKIN_AGENT_GROUP_PLAN_H

#include "agent/group.h"

/* The coordinator's planner: collects the ranks' counters, runs the placement
   policy and starts the switch.  */
typedef struct group_plan group_plan_t;

group_plan_t *group_plan_create (group_t *group,
                                 group_coordinator_t *coordinator);
void group_plan_configure (group_plan_t *plan);
void group_plan_reset (group_plan_t *plan);
bool group_plan_is_due (const group_plan_t *plan, struct timespec now);
void group_plan_handle_counts (group_plan_t *plan,
                               const frame_map_counts_t *counts);
void group_plan_run (group_plan_t *plan, struct timespec now);

#endif
