#ifndef SISKIN_PILOT_PILOT_SERVER_H
#define SISKIN_PILOT_PILOT_SERVER_H

#include "pilot/pilot.h"

/* Accepts connections from relays and from the group's leader: pushes the
   reports of this pilot's engine to them, and forwards the leader's commands
   and queries to the engine.  While the engine holds the group, the leader
   also needs this pilot's permit to arm its own rank
   (RANK_QUERY_ARM_PERMISSION).  */
pilot_server_t *pilot_server_create (pilot_t *pilot, const char *address);
void pilot_server_destroy (pilot_server_t *server);
/* A poll of the engine starts: its report will show the effect of the commands
   that have finished by now.  */
void pilot_server_handle_poll_started (pilot_server_t *server);
/* IS_CHANGING: the engine was polled earlier than usual, as it changes its
   map; a report that shows nothing new may be left out.  */
void pilot_server_push_report (pilot_server_t *server,
                               const rank_report_t *report, bool is_changing);
/* The last map version for which this pilot has granted a leader the permit to
   arm its own rank (RANK_QUERY_ARM_PERMISSION); 0 for none.  */
uint64_t pilot_server_granted_version (const pilot_server_t *server);
/* Denies permits to the leaders of terms before TERM.  Called before this
   pilot takes over: what it has granted the former leader must not change
   later.  */
void pilot_server_set_min_permit_term (pilot_server_t *server, uint64_t term);
uint64_t pilot_server_leader_term (const pilot_server_t *server);
/* The time without a frame of a leader, pilot_server_leaderless_ms, decides
   when this pilot campaigns.  */
void pilot_server_reset_leader_timeout (pilot_server_t *server);
int64_t pilot_server_leaderless_ms (const pilot_server_t *server);
const char *pilot_server_address (const pilot_server_t *server);

void pilot_server_push_engine_lost (pilot_server_t *server);

#endif
