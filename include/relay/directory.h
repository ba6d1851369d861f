#ifndef SISKIN_RELAY_DIRECTORY_H
#define SISKIN_RELAY_DIRECTORY_H

#include "relay/relay.h"

/* Keeps the relay's rules, its fleet and the number of relays at what the
   platform's store holds.  Belongs to worker 0.  */
discovery_t *discovery_create (TALLOC_CTX *parent, relay_t *relay);
void discovery_refresh (discovery_t *directory);
bool discovery_is_synced (const discovery_t *directory);

#endif
