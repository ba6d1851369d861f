#ifndef SISKIN_RELAY_SILENCE_H
#define SISKIN_RELAY_SILENCE_H

#include "relay/forward.h"

/* Watches the attempts of a worker for upstreams that have fallen silent, so
   that what may run again is sent elsewhere before its client leaves.  */

void attempt_timeout_start (forward_t *forward);
void attempt_timeout_reset (forward_t *forward);
void attempt_timeout_stop (forward_t *forward);

#endif
