#include "relay/fleet_state.h"

/* Capacity that is kept free for the more urgent requests of a service.  It
   addresses the load condition in which less urgent requests would take every
   place just before urgent ones arrive, which then wait for one to end.  */

enum
{
  /* From the sending of a request until the reports of its upstream show what
     is free after it, so that an urgent request can be sent instead of a less
     urgent one.  */
  REPORT_DELAY_MS = 200
};

static const double ms_per_s = 1000;
/* Below it, a rate counts as none.  */
static const double min_rate_per_s = 0.05;

/* Count a request for SERVICE of URGENCY that has arrived.  */
void
fleet_count_request (fleet_t *fleet, const char *service, unsigned urgency)
{
  struct timespec now = clock_monotonic (fleet->clock);
  fleet_service_t *known;

  table_lock (fleet->table);
  known = fleet_find_service (fleet, service);
  if (known != NULL)
    event_rate_count (&known->arrivals[urgency], now);
  table_unlock (fleet->table);
}

/* Return whether requests for SERVICE that differ in urgency arrive.  */
static bool
service_has_classes (const fleet_service_t *service, struct timespec now)
{
  unsigned classes = 0;

  for (unsigned urgency = 0; urgency <= RULES_MAX_URGENCY; urgency++)
    {
      if (event_rate_at (&service->arrivals[urgency], now) > min_rate_per_s)
        classes++;
    }
  return classes > 1;
}

/* Return how REQUEST for SERVICE may use the reported capacity.  It leaves
   room for the requests that are expected at this relay until the next reports
   show their effect: the more urgent ones and, if it is late, those of its own
   urgency, which can still meet their objective.  */
quota_use_t
service_quota_use (const fleet_service_t *service,
                   const fleet_request_t *request, struct timespec now)
{
  quota_use_t use = { .is_late = request->is_late };
  unsigned reserved = request->urgency + (request->is_late ? 1 : 0);
  double per_s = 0;

  if (!service_has_classes (service, now))
    return use;
  use.has_classes = true;
  if (request->is_guaranteed)
    {
      use.is_late = false;
      return use;
    }
  for (unsigned urgency = 0; urgency < reserved; urgency++)
    per_s += event_rate_at (&service->arrivals[urgency], now);
  use.reserve = per_s * REPORT_DELAY_MS / ms_per_s;
  return use;
}
