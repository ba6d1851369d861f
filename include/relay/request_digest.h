#ifndef SISKIN_RELAY_REQUEST_DIGEST_H
#define SISKIN_RELAY_REQUEST_DIGEST_H

#include "relay/request.h"

/* Returns a digest of what the client asks for: the method, host, target and
   body.  It is the same for a request that the client sends again.  */
uint64_t request_digest (const relay_request_t *request);

#endif
