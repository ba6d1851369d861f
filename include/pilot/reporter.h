#ifndef SISKIN_PILOT_REPORTER_H
#define SISKIN_PILOT_REPORTER_H

#include "pilot/pilot.h"

/* Polls the own engine's report several times a second, which costs
   nothing from the engine's own machine, and passes it to the leader and
   to the connected clients.  */
reporter_t *reporter_create (pilot_t *pilot);
void reporter_poll_now (reporter_t *reporter);

#endif
