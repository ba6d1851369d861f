#ifndef SISKIN_RELAY_DISCOVERY_H
#define SISKIN_RELAY_DISCOVERY_H

#include "relay/relay.h"

/* Keeps the rules, the fleet and the number of relays in step with the
   platform's store.  Belongs to worker 0.  */
discovery_t *discovery_create (TALLOC_CTX *parent, relay_t *relay);
void discovery_refresh (discovery_t *discovery);
bool discovery_is_synced (const discovery_t *discovery);

#endif
