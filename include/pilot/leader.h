#ifndef SISKIN_PILOT_LEADER_H
#define SISKIN_PILOT_LEADER_H

#include "pilot/pilot.h"

/* Seeks to lead the group of the own engine when nobody does, and while it
   leads keeps the group's expert map at what is in demand.  */
leader_t *leader_create (pilot_t *pilot);
void leader_stop (leader_t *leader);
void leader_note_own_report (leader_t *leader, const rank_report_t *report);
void leader_note_asking (leader_t *leader);
bool leader_is_switching (const leader_t *leader);
bool leader_is_stopped (const leader_t *leader);

#endif
