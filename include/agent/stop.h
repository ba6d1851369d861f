#ifndef SISKIN_AGENT_STOP_H
#define SISKIN_AGENT_STOP_H

#include "agent/agent.h"

void stop_begin (void *state);
void stop_post_check (agent_t *agent);
void stop_on_journal_idle (void *data);

#endif
