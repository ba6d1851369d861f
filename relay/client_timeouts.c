#include "relay/client_timeouts.h"

#include "kernel/clock.h"
#include "kernel/table.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

enum
{
  MAX_ROUTES = 1024, /* the one used least recently is forgotten */
  /* The usual timeout follows the median of the clients' timeouts: each moves
     it by this part of itself.  Hundreds of clients that come back after an
     outage move it little.  */
  STEP_DIVISOR = 512,
  /* At first it is the second longest of the timeouts, so that it is right as
     soon as two clients have come for the first time, and no single one can
     set it.  */
  FIRST_SAMPLES = 16,
  /* Clients' timeouts differ.  A shorter one tells of a wait if it differs by
     more than this many times the median of the deviations, which at first is
     taken to be a part of the usual timeout.  */
  MAX_DEVIATIONS = 3,
  FIRST_DEVIATION_DIVISOR = 16
};

typedef struct route_timeout
{
  table_node_t node;
  TAILQ_ENTRY (route_timeout) link;
  char *route;
  int64_t usual_us;
  int64_t deviation_us; /* median of the deviations from USUAL_US */
  int64_t longest_us;   /* of the first samples */
  unsigned samples;     /* up to FIRST_SAMPLES */
} route_timeout_t;

struct client_timeouts
{
  table_t *routes; /* by name; its lock protects the whole object */
  TAILQ_HEAD (route_timeouts, route_timeout) by_use; /* the last used first */
};

/* Create an object that knows no route.  Returns NULL when memory is
   exhausted.  */
client_timeouts_t *
client_timeouts_create (TALLOC_CTX *parent)
{
  client_timeouts_t *timeouts = talloc_zero (parent, client_timeouts_t);

  if (timeouts == NULL)
    return NULL;
  timeouts->routes = table_create (timeouts, LOCK_ACCOUNTS, "client-timeouts");
  TAILQ_INIT (&timeouts->by_use);
  return timeouts;
}

/* Free TIMEOUTS.  */
void
client_timeouts_destroy (client_timeouts_t *timeouts)
{
  talloc_free (timeouts);
}

static void
timeouts_forget_oldest (client_timeouts_t *timeouts)
{
  route_timeout_t *oldest = TAILQ_LAST (&timeouts->by_use, route_timeouts);

  TAILQ_REMOVE (&timeouts->by_use, oldest, link);
  table_remove (timeouts->routes, &oldest->node);
  talloc_free (oldest);
}

static route_timeout_t *
timeouts_add (client_timeouts_t *timeouts, const char *route)
{
  route_timeout_t *added = talloc_zero (timeouts, route_timeout_t);

  if (added == NULL)
    return NULL;
  added->route = talloc_strdup (added, route);
  if (added->route == NULL)
    {
      talloc_free (added);
      return NULL;
    }
  if (table_count (timeouts->routes) >= MAX_ROUTES)
    timeouts_forget_oldest (timeouts);
  table_insert (timeouts->routes, &added->node, added->route,
                strlen (added->route));
  TAILQ_INSERT_HEAD (&timeouts->by_use, added, link);
  return added;
}

static route_timeout_t *
timeouts_find_or_add (client_timeouts_t *timeouts, const char *route)
{
  table_node_t *node = table_find (timeouts->routes, route, strlen (route));
  route_timeout_t *known;

  if (node == NULL)
    return timeouts_add (timeouts, route);
  known = CONTAINER_OF (node, route_timeout_t, node);
  TAILQ_REMOVE (&timeouts->by_use, known, link);
  TAILQ_INSERT_HEAD (&timeouts->by_use, known, link);
  return known;
}

static void
route_record_first (route_timeout_t *route, int64_t timeout_us)
{
  int64_t longest_us = route->longest_us;

  route->samples++;
  if (timeout_us > longest_us)
    route->longest_us = timeout_us;
  if (timeout_us > route->usual_us)
    route->usual_us = timeout_us < longest_us ? timeout_us : longest_us;
  route->deviation_us = route->usual_us / FIRST_DEVIATION_DIVISOR;
}

/* Move *MEDIAN_US by a step towards VALUE_US.  */
static void
median_move (int64_t *median_us, int64_t value_us, int64_t step_us)
{
  if (value_us > *median_us)
    *median_us += step_us;
  else if (value_us < *median_us)
    *median_us -= step_us;
}

/* Move the usual timeout of ROUTE and its deviation towards TIMEOUT_US.  */
static void
route_record (route_timeout_t *route, int64_t timeout_us)
{
  int64_t step_us = route->usual_us / STEP_DIVISOR + 1;

  if (route->samples < FIRST_SAMPLES)
    {
      route_record_first (route, timeout_us);
      return;
    }
  median_move (&route->deviation_us, llabs (timeout_us - route->usual_us),
               step_us / FIRST_DEVIATION_DIVISOR + 1);
  median_move (&route->usual_us, timeout_us, step_us);
}

/* Return how long a client of ROUTE with TIMEOUT_US has waited.  */
static int64_t
route_waited_us (const route_timeout_t *route, int64_t timeout_us,
                 int64_t limit_us)
{
  int64_t usual_us = route->usual_us < limit_us ? route->usual_us : limit_us;
  int64_t waited_us = usual_us - timeout_us;

  return waited_us > MAX_DEVIATIONS * route->deviation_us ? waited_us : 0;
}

/* Return the time that the client of a request of ROUTE has waited before,
   without recording the request.  */
struct timespec
client_timeouts_waited (client_timeouts_t *timeouts, const char *route,
                        struct timespec limit, struct timespec client_timeout)
{
  int64_t waited_us = 0;
  table_node_t *node;

  if (timespec_to_us (limit) <= 0)
    return (struct timespec){ 0, 0 };
  table_lock (timeouts->routes);
  node = table_find (timeouts->routes, route, strlen (route));
  if (node != NULL)
    waited_us = route_waited_us (CONTAINER_OF (node, route_timeout_t, node),
                                 timespec_to_us (client_timeout),
                                 timespec_to_us (limit));
  table_unlock (timeouts->routes);
  return timespec_from_us (waited_us);
}

/* Record a request of ROUTE and return the time that its client has waited
   before.  */
struct timespec
client_timeouts_record (client_timeouts_t *timeouts, const char *route,
                        struct timespec limit, struct timespec client_timeout)
{
  int64_t limit_us = timespec_to_us (limit);
  int64_t timeout_us = timespec_to_us (client_timeout);
  int64_t waited_us = 0;
  route_timeout_t *known;

  if (limit_us <= 0)
    return (struct timespec){ 0, 0 };
  table_lock (timeouts->routes);
  known = timeouts_find_or_add (timeouts, route);
  if (known != NULL)
    {
      waited_us = route_waited_us (known, timeout_us, limit_us);
      route_record (known, timeout_us < limit_us ? timeout_us : limit_us);
    }
  table_unlock (timeouts->routes);
  return timespec_from_us (waited_us);
}
