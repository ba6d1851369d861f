#ifndef SISKIN_RELAY_ATTEMPT_TIMEOUT_H
#define SISKIN_RELAY_ATTEMPT_TIMEOUT_H

#include "relay/forward.h"

/* Detects attempts of a worker that receive no data from their upstream, so
   that requests that may run again are retried elsewhere before the client
   gives up.  */

void attempt_timeout_start (forward_t *forward);
void attempt_timeout_reset (forward_t *forward);
void attempt_timeout_stop (forward_t *forward);

#endif
