#ifndef SISKIN_PILOT_LEADER_H
#define SISKIN_PILOT_LEADER_H

#include "pilot/pilot.h"

/* Campaigns for the leadership of the group of this pilot's engine while the
   group has no leader.  While leader, it keeps the group's expert map matched
   to the load of the experts.  */
leader_t *leader_create (pilot_t *pilot);
void leader_stop (leader_t *leader);
void leader_handle_own_report (leader_t *leader, const rank_report_t *report);
/* A poll of this pilot's engine starts: its report will show the effect of the
   commands that have finished by now.  */
void leader_handle_poll_started (leader_t *leader);
/* The leader of TERM stops and asks this pilot to lead.  */
void leader_handle_request_to_lead (leader_t *leader, uint64_t term);
bool leader_is_switching (const leader_t *leader);
bool leader_is_stopped (const leader_t *leader);

#endif
