#ifndef SISKIN_RELAY_SILENCE_H
#define SISKIN_RELAY_SILENCE_H

#include "relay/forward.h"

/* Watches the attempts of a worker for upstreams that have fallen silent, so
   that what may run again is sent elsewhere before its client leaves.  */

void silence_start (forward_t *forward);
void silence_note (forward_t *forward);
void silence_end (forward_t *forward);

#endif
