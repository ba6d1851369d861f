#ifndef SISKIN_RELAY_PLACE_PAGE_H
#define SISKIN_RELAY_PLACE_PAGE_H

#include "common/http_server.h"
#include "relay/relay.h"

/* The page /place of the admin port: where a request would be sent now, and
   why.  Question and answer are JSON.  Must be called on worker 0.  */
void place_page_reply (relay_t *relay, http_exchange_t *exchange);

#endif
