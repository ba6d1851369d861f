#ifndef SISKIN_RELAY_DIRECTORY_H
#define SISKIN_RELAY_DIRECTORY_H

#include "relay/relay.h"

/* Keeps the relay's rules, its fleet and the number of relays at what the
   platform's store holds.  Belongs to worker 0.  */
directory_t *directory_create (TALLOC_CTX *parent, relay_t *relay);
void directory_hurry (directory_t *directory);
bool directory_is_synced (const directory_t *directory);

#endif
