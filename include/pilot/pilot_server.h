#ifndef SISKIN_PILOT_PILOT_SERVER_H
#define SISKIN_PILOT_PILOT_SERVER_H

#include "pilot/pilot.h"

/* Accepts connections from relays and from the group's leader: pushes the
   own engine's reports to them, and forwards the leader's commands and
   queries to the engine.  */
pilot_server_t *pilot_server_create (pilot_t *pilot, const char *address);
void pilot_server_destroy (pilot_server_t *server);
void pilot_server_handle_poll_started (pilot_server_t *server);
void pilot_server_push_report (pilot_server_t *server,
                               const rank_report_t *report);
uint64_t pilot_server_granted_version (const pilot_server_t *server);
void pilot_server_set_min_permit_term (pilot_server_t *server, uint64_t term);
uint64_t pilot_server_leader_term (const pilot_server_t *server);
void pilot_server_reset_leader_timeout (pilot_server_t *server);
int64_t pilot_server_leaderless_ms (const pilot_server_t *server);
const char *pilot_server_address (const pilot_server_t *server);

#endif
