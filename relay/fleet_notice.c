#include "relay/fleet_state.h"

#include "kernel/log.h"

/* What an upstream says of itself in its responses.  It holds for its present
   run, whatever its listings say, since these may be outdated.  */

static void
notice_leaving (fleet_upstream_t *upstream)
{
  if (upstream->is_draining)
    return;
  upstream->is_draining = true;
  log_event (LOG_LEVEL_NOTICE, "upstream-leaving", "upstream=%s why=response",
             upstream->id);
}

static void
notice_pause (fleet_upstream_t *upstream, struct timespec now,
              struct timespec pause)
{
  struct timespec until = timespec_add (now, pause);

  if (timespec_compare (until, upstream->paused_until) <= 0)
    return;
  upstream->paused_until = until;
  log_event (LOG_LEVEL_NOTICE, "upstream-paused", "upstream=%s ms=%lld",
             upstream->id, (long long)timespec_to_ms (pause));
}

/* Record NOTICE, with which the run INCARNATION of the upstream ID has
   responded to a request of this relay.  */
void
fleet_record_notice (fleet_t *fleet, const char *id, uint64_t incarnation,
                     const fleet_notice_t *notice)
{
  fleet_upstream_t *upstream;

  if (!notice->is_leaving && timespec_is_zero (notice->pause))
    return;
  table_lock (fleet->table);
  upstream = fleet_find (fleet, id);
  if (upstream != NULL && upstream->incarnation == incarnation)
    {
      if (notice->is_leaving)
        notice_leaving (upstream);
      if (!timespec_is_zero (notice->pause))
        notice_pause (upstream, clock_monotonic (fleet->clock), notice->pause);
    }
  table_unlock (fleet->table);
}

/* Return whether UPSTREAM has asked for no requests until after NOW.  */
bool
upstream_is_paused (const fleet_upstream_t *upstream, struct timespec now)
{
  return timespec_compare (now, upstream->paused_until) < 0;
}

/* Return the time until the first upstream of SERVICE that is paused takes
   requests again; zero if none is.  */
struct timespec
fleet_pause_left (fleet_t *fleet, const char *service)
{
  struct timespec now = clock_monotonic (fleet->clock);
  struct timespec left = { 0, 0 };
  const fleet_service_t *known;
  const fleet_upstream_t *upstream;

  table_lock (fleet->table);
  known = fleet_find_service (fleet, service);
  if (known != NULL)
    STAILQ_FOREACH (upstream, &known->upstreams, link)
      {
        struct timespec rest = timespec_subtract (upstream->paused_until, now);

        if (upstream->is_draining || !upstream_is_paused (upstream, now))
          continue;
        if (timespec_is_zero (left) || timespec_compare (rest, left) < 0)
          left = rest;
      }
  table_unlock (fleet->table);
  return left;
}
