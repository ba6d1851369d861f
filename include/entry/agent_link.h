#ifndef SISKIN_ENTRY_AGENT_LINK_H
#define SISKIN_ENTRY_AGENT_LINK_H

#include "entry/entry.h"

/* A worker's connection to the agent beside one upstream, with the calls that
   are there.  It outlives its place in the settings until the last of them has
   ended.  */
LIST_HEAD (call_list, call);

agent_link_t *agent_link_find (entry_worker_t *share, const char *upstream);
void agent_link_sync_targets (entry_worker_t *share);
void agent_link_ping_all (entry_worker_t *share);
status_t agent_link_send (agent_link_t *agent_link, const frame_t *frame);
bool agent_link_is_open (const agent_link_t *agent_link);
uint64_t agent_link_incarnation (const agent_link_t *agent_link);
const char *agent_link_upstream (const agent_link_t *agent_link);
entry_worker_t *agent_link_share (const agent_link_t *agent_link);
struct call_list *agent_link_calls (agent_link_t *agent_link);
void agent_link_attach (agent_link_t *agent_link, call_t *call);
void agent_link_detach (agent_link_t *agent_link, call_t *call);
void agent_link_close_all (entry_worker_t *share);

#endif
