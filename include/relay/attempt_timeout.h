#ifndef SISKIN_RELAY_ATTEMPT_TIMEOUT_H
#define SISKIN_RELAY_ATTEMPT_TIMEOUT_H

#include "relay/forward.h"

/* Detects attempts that have received no data from their upstream for too
   long, so that the request is retried at another upstream before the client
   gives up.  Watches only requests that are safe to run more than once
   (route_is_repeatable).  */

void attempt_timeout_start (forward_t *forward);
void attempt_timeout_reset (forward_t *forward);
void attempt_timeout_stop (forward_t *forward);

#endif
