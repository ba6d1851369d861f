#include "relay/fleet_state.h"

#include "kernel/log.h"

enum
{
  /* Ejection after the first connection failure; doubles with each further
     one.  */
  EJECTION_MIN_MS = 500,
  EJECTION_MAX_MS = 4000,
  FAILURE_EJECTION_MS = 2000 /* when most of the recent requests have failed */
};

/* Weight of the newest request in the failure ratio.  */
static const double failure_ratio_weight = 0.2;
/* An upstream whose failure ratio exceeds this is ejected.  */
static const double max_failure_ratio = 0.6;

static void
eject (fleet_upstream_t *upstream, struct timespec now, int64_t duration_ms,
       const char *why)
{
  struct timespec until = timespec_add (now, timespec_from_ms (duration_ms));

  if (timespec_compare (until, upstream->health.ejected_until) <= 0)
    return;
  upstream->health.ejected_until = until;
  log_event (LOG_LEVEL_NOTICE, "upstream-ejected",
             "upstream=%s why=%s duration_ms=%lld failures=%u", upstream->id,
             why, (long long)duration_ms, upstream->health.connect_failures);
}

static void
record_unreachable (fleet_upstream_t *upstream, struct timespec now)
{
  int64_t duration_ms = EJECTION_MIN_MS;

  for (unsigned i = 0;
       i < upstream->health.connect_failures && duration_ms < EJECTION_MAX_MS;
       i++)
    duration_ms *= 2;
  upstream->health.connect_failures++;
  eject (upstream, now,
         duration_ms < EJECTION_MAX_MS ? duration_ms : EJECTION_MAX_MS,
         "unreachable");
}

static void
record_response (fleet_upstream_t *upstream, bool is_failure,
                 struct timespec now)
{
  upstream_health_t *health = &upstream->health;

  health->failure_ratio
      += failure_ratio_weight * ((is_failure ? 1 : 0) - health->failure_ratio);
  if (health->failure_ratio <= max_failure_ratio)
    return;
  eject (upstream, now, FAILURE_EJECTION_MS, "failures");
  /* Lowered so that the upstream is tried again after the ejection.  */
  health->failure_ratio = max_failure_ratio / 2;
}

/* Record the result of a request to UPSTREAM.  */
void
health_record_result (fleet_upstream_t *upstream, fleet_result_t result,
                      struct timespec now)
{
  switch (result)
    {
    case FLEET_SERVED:
      upstream->health.connect_failures = 0;
      record_response (upstream, false, now);
      break;
    case FLEET_FAILED:
    case FLEET_INTERRUPTED:
    case FLEET_TIMED_OUT:
      record_response (upstream, true, now);
      break;
    case FLEET_UNREACHABLE:
      record_unreachable (upstream, now);
      break;
    case FLEET_MISDIRECTED:
    case FLEET_DECLINED:
    case FLEET_CLIENT_LEFT:
      break;
    }
}

/* Return whether UPSTREAM is ejected now.  */
bool
health_is_ejected (const fleet_upstream_t *upstream, struct timespec now)
{
  return timespec_compare (now, upstream->health.ejected_until) < 0;
}
