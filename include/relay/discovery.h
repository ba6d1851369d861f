#ifndef SISKIN_RELAY_DISCOVERY_H
#define SISKIN_RELAY_DISCOVERY_H

#include "relay/relay.h"

/* Reads the rules, the upstreams, the zones that are out of service, the
   pilots and the other relays from the platform's store, and applies every
   change to the relay.  Belongs to worker 0.  */
discovery_t *discovery_create (TALLOC_CTX *parent, relay_t *relay);
void discovery_refresh (discovery_t *discovery);
bool discovery_is_synced (const discovery_t *discovery);

#endif
