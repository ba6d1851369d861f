#ifndef SISKIN_RELAY_READINESS_H
#define SISKIN_RELAY_READINESS_H

#include "relay/relay.h"

/* HTTP readiness probe, by which the platform decides whether this relay gets
   new connections.  Belongs to worker 0.  */
readiness_t *readiness_create (relay_t *relay, const char *address);
void readiness_destroy (readiness_t *readiness);

#endif
