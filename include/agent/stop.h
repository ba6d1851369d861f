#ifndef SISKIN_AGENT_STOP_H
#define SISKIN_AGENT_STOP_H

#include "agent/agent.h"

/* Start a planned stop: refuse work that has not started and wait for the
   rest.  STATE is the agent_t.  */
void stop_begin (void *state);
/* Check soon whether a planned stop can finish; call this whenever something
   that it waits for has ended.  Callable from any worker.  */
void stop_post_check (agent_t *agent);
void stop_on_journal_idle (void *data);

#endif
