#ifndef SISKIN_PILOT_REPORTER_H
#define SISKIN_PILOT_REPORTER_H

#include "pilot/pilot.h"

/* Asks the own engine several times a second how it is, which costs nothing
   from the engine's own machine, and tells those who want to know.  */
reporter_t *reporter_create (pilot_t *pilot);
void reporter_hurry (reporter_t *reporter);

#endif
