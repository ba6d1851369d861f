#ifndef SISKIN_AGENT_PEER_H
#define SISKIN_AGENT_PEER_H

#include "agent/agent.h"

bool peer_load_is_due (const frame_load_t *sent, const frame_load_t *load,
                       int64_t since_ms, unsigned peer_count);
void peer_accept (stream_t *stream, void *data);
void peer_report_load (agent_worker_t *agent_worker);
void peer_announce_revision (agent_worker_t *agent_worker);
void peer_post_load_reports (agent_t *agent);
void peer_update_contact (agent_worker_t *agent_worker);

#endif
