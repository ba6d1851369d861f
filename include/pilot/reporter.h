#ifndef SISKIN_PILOT_REPORTER_H
#define SISKIN_PILOT_REPORTER_H

#include "pilot/pilot.h"

/* Polls the report of this pilot's engine several times a second and passes it
   to the leader and, through the pilot server, to the connected relays and
   leaders.  Calls from its own machine cost an engine nothing, unlike calls
   from other machines, so such frequent polls do not slow it down.  */
reporter_t *reporter_create (pilot_t *pilot);
void reporter_poll_now (reporter_t *reporter);
void reporter_expect_prepared (reporter_t *reporter, uint64_t version);

#endif
