#ifndef SISKIN_RELAY_CLIENT_TIMEOUTS_H
#define SISKIN_RELAY_CLIENT_TIMEOUTS_H

#include <talloc.h>
#include <time.h>

/* How long the clients of each route usually wait.  A client that sends a
   request again, after a refusal or a lost connection, waits only for the rest
   of its time, so a shorter timeout shows for how long it has waited already.
   It addresses the load condition after an outage: requests of clients that
   come back would count as new, and make those late that are.  Callable from
   every worker.  */
typedef struct client_timeouts client_timeouts_t;

client_timeouts_t *client_timeouts_create (TALLOC_CTX *parent);
void client_timeouts_destroy (client_timeouts_t *timeouts);
/* Records a request of ROUTE, whose name it is, and returns the time that its
   client has waited before.  LIMIT is the route's timeout, CLIENT_TIMEOUT that
   of the client.  */
struct timespec client_timeouts_record (client_timeouts_t *timeouts,
                                        const char *route,
                                        struct timespec limit,
                                        struct timespec client_timeout);
/* Returns the same without recording a request.  */
struct timespec client_timeouts_waited (client_timeouts_t *timeouts,
                                        const char *route,
                                        struct timespec limit,
                                        struct timespec client_timeout);

#endif
