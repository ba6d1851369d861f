#ifndef SISKIN_AGENT_GROUP_ROUTE_H
#define SISKIN_AGENT_GROUP_ROUTE_H

#include "agent/agent.h"

void group_route_configure (agent_t *agent, const settings_t *settings);
void group_route_command (agent_worker_t *share, const link_t *link,
                          const frame_t *frame);

#endif
