#ifndef SISKIN_ENTRY_AGENT_LINK_H
#define SISKIN_ENTRY_AGENT_LINK_H

#include "entry/entry.h"

LIST_HEAD (call_list, call);

/* An agent_link_t is one worker's connection to the agent that runs next to an
   upstream, with the calls submitted over it.  A connection that closes is
   opened again.  When the router no longer lists the upstream as a target, the
   link takes no new calls and stays until its last call has ended.  */
agent_link_t *agent_link_find (entry_worker_t *entry_worker,
                               const char *upstream);
void agent_link_sync_targets (entry_worker_t *entry_worker);
/* Sends a PING to all connected agents.  Each frame contains the revision of
   this entry's settings, so an agent learns of a new revision now and not with
   some later frame.  */
void agent_link_ping_all (entry_worker_t *entry_worker);
status_t agent_link_send (agent_link_t *agent_link, const frame_t *frame);
bool agent_link_is_open (const agent_link_t *agent_link);
uint64_t agent_link_incarnation (const agent_link_t *agent_link);
const char *agent_link_upstream (const agent_link_t *agent_link);
entry_worker_t *agent_link_entry_worker (const agent_link_t *agent_link);
struct call_list *agent_link_calls (agent_link_t *agent_link);
void agent_link_attach (agent_link_t *agent_link, call_t *call);
void agent_link_detach (agent_link_t *agent_link, call_t *call);
void agent_link_close_all (entry_worker_t *entry_worker);

#endif
