#ifndef SISKIN_RELAY_READINESS_H
#define SISKIN_RELAY_READINESS_H

#include "relay/relay.h"

/* Tells by HTTP whether this relay should get new connections.  Belongs to
   worker 0.  */
readiness_t *readiness_create (relay_t *relay, const char *address);
void readiness_destroy (readiness_t *readiness);

#endif
