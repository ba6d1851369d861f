#ifndef SISKIN_RELAY_FEED_H
#define SISKIN_RELAY_FEED_H

#include "relay/relay.h"

/* Connects to the pilots, passes their rank reports to the fleet and exchanges
   with other relays what they have learned.  Belongs to worker 0.  */
feed_t *feed_create (TALLOC_CTX *parent, relay_t *relay);
/* VALUE is the value of the key that the pilot NAME registers in the store;
   NULL when the key was deleted.  */
void feed_update_pilot (feed_t *feed, const char *name, const char *value);

/* Sends what this relay has learned to other relays.  Callable from every
   worker.  */
void feed_send_updates (feed_t *feed);

#endif
