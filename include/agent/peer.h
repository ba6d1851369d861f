#ifndef SISKIN_AGENT_PEER_H
#define SISKIN_AGENT_PEER_H

#include "agent/agent.h"

/* Return whether a peer that received the load SENT SINCE_MS ago must now
   receive LOAD.  PEER_COUNT limits the rate of reports.  */
bool peer_load_is_due (const frame_load_t *sent, const frame_load_t *load,
                       int64_t since_ms, unsigned peer_count);
void peer_accept (stream_t *stream, void *data);
/* Send the upstream's load to the peers of AGENT_WORKER whose report is due;
   peer_post_load_reports makes every worker do so.  */
void peer_report_load (agent_worker_t *agent_worker);
/* Send the revision of the current settings to the peers of AGENT_WORKER.  */
void peer_announce_revision (agent_worker_t *agent_worker);
void peer_post_load_reports (agent_t *agent);
/* Update the time of the last contact with another zone from the connections
   of AGENT_WORKER.  */
void peer_update_contact (agent_worker_t *agent_worker);

#endif
