#include "relay/fleet_state.h"

#include <string.h>

enum
{
  /* The store may be restored from a copy in which an upstream that has left
     is still listed; the listing then ends with the lease that it had.  */
  DEPARTED_RETENTION_MS = 60000,
  MAX_DEPARTED = 2048
};

static void
departed_drop (fleet_t *fleet, departed_run_t *departed)
{
  TAILQ_REMOVE (&fleet->departed, departed, link);
  fleet->departed_count--;
  talloc_free (departed);
}

static void
departed_drop_expired (fleet_t *fleet, struct timespec now)
{
  struct timespec retention = timespec_from_ms (DEPARTED_RETENTION_MS);
  departed_run_t *oldest;

  while (
      (oldest = TAILQ_FIRST (&fleet->departed)) != NULL
      && (fleet->departed_count > MAX_DEPARTED
          || timespec_compare (timespec_add (oldest->left_at, retention), now)
                 <= 0))
    departed_drop (fleet, oldest);
}

static departed_run_t *
departed_find (const fleet_t *fleet, const char *id, int64_t started_ms)
{
  departed_run_t *departed;

  TAILQ_FOREACH (departed, &fleet->departed, link)
    {
      if (departed->started_ms == started_ms && strcmp (departed->id, id) == 0)
        return departed;
    }
  return NULL;
}

/* Remember that the run of UPSTREAM has left.  A run whose listings can't be
   ordered is not remembered.  */
void
departed_add (fleet_t *fleet, const fleet_upstream_t *upstream)
{
  departed_run_t *departed;

  if (upstream->started_ms == 0 || upstream->heartbeat == 0)
    return;
  departed = departed_find (fleet, upstream->id, upstream->started_ms);
  if (departed != NULL)
    departed_drop (fleet, departed);
  departed = talloc_zero (fleet, departed_run_t);
  if (departed == NULL)
    return;
  departed->id = talloc_strdup (departed, upstream->id);
  departed->started_ms = upstream->started_ms;
  departed->heartbeat = upstream->heartbeat;
  departed->left_at = clock_monotonic (fleet->clock);
  departed->is_draining = upstream->is_draining;
  departed->paused_until = upstream->paused_until;
  TAILQ_INSERT_TAIL (&fleet->departed, departed, link);
  fleet->departed_count++;
  departed_drop_expired (fleet, departed->left_at);
}

/* Return whether LISTING is one that a run has made before it left.  A run
   that is listed again, since only its lease had expired, has sent further
   heartbeats.  */
bool
departed_covers (fleet_t *fleet, const upstream_listing_t *listing)
{
  const departed_run_t *departed;

  departed_drop_expired (fleet, clock_monotonic (fleet->clock));
  departed = departed_find (fleet, listing->id, listing->started_ms);
  return departed != NULL && listing->heartbeat <= departed->heartbeat;
}

/* The run of UPSTREAM is listed again: what it said of itself before still
   holds.  */
void
departed_restore (const fleet_t *fleet, fleet_upstream_t *upstream)
{
  const departed_run_t *departed
      = departed_find (fleet, upstream->id, upstream->started_ms);

  if (departed == NULL)
    return;
  upstream->is_draining |= departed->is_draining;
  upstream->paused_until = departed->paused_until;
}
