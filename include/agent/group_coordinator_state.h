#ifndef SISKIN_AGENT_GROUP_COORDINATOR_STATE_H
#define SISKIN_AGENT_GROUP_COORDINATOR_STATE_H

#include "agent/group_coordinator.h"

/* Internal to group_coordinator.c, which takes the ranks from phase to phase,
   and to group_coordinator_target.c, which derives from the ranks' schedules
   the one that all are brought to.  */

struct group_coordinator
{
  group_coordinator_options_t options;
  group_coordinator_phase_t phase;
  group_fence_t fence;
  uint64_t initial_version; /* map to start with if no rank has one */
  uint64_t pending_version; /* map version of the requested switch, or 0 */
  /* The switch step minus the newest step that a rank has reported when all
     are prepared.  */
  uint64_t margin_steps;
  uint64_t arm_step;
  /* Schedule that every rank is brought to.  */
  group_schedule_t target_schedule;
  struct timespec resend_at;
  struct timespec deadline; /* for GROUP_PREPARING and GROUP_ARMING to end */
  group_rank_view_t *ranks;
};

bool coordinator_is_at_target (const group_coordinator_t *coordinator,
                               const group_rank_view_t *rank);
void coordinator_reconcile_command (const group_coordinator_t *coordinator,
                                    const group_rank_view_t *rank,
                                    group_command_t *command);
void coordinator_choose_target (group_coordinator_t *coordinator);
void coordinator_check_bases (const group_coordinator_t *coordinator);

#endif
