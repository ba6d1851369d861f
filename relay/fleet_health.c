#include "relay/fleet_state.h"

#include "kernel/log.h"

enum
{
  SHUN_FIRST_MS = 500, /* after an upstream could not be reached */
  SHUN_MOST_MS = 4000,
  SHUN_TROUBLE_MS = 2000 /* after most of its answers were failures */
};

/* Weight of the newest request in the share of failures.  */
static const double trouble_weight = 0.2;
/* Above this share an upstream is left alone for a while.  */
static const double trouble_limit = 0.6;

static void
shun (fleet_upstream_t *upstream, struct timespec now, int64_t for_ms,
      const char *why)
{
  struct timespec until = timespec_add (now, timespec_from_ms (for_ms));

  if (timespec_compare (until, upstream->health.ejected_until) <= 0)
    return;
  upstream->health.ejected_until = until;
  log_event (LOG_LEVEL_NOTICE, "upstream-shunned",
             "upstream=%s why=%s for_ms=%lld failures=%u", upstream->id, why,
             (long long)for_ms, upstream->health.failures);
}

static void
note_unreachable (fleet_upstream_t *upstream, struct timespec now)
{
  int64_t for_ms = SHUN_FIRST_MS;

  for (unsigned i = 0; i < upstream->health.failures && for_ms < SHUN_MOST_MS;
       i++)
    for_ms *= 2;
  upstream->health.failures++;
  shun (upstream, now, for_ms < SHUN_MOST_MS ? for_ms : SHUN_MOST_MS,
        "unreachable");
}

static void
note_answer (fleet_upstream_t *upstream, bool is_failure, struct timespec now)
{
  upstream_health_t *health = &upstream->health;

  health->trouble += trouble_weight * ((is_failure ? 1 : 0) - health->trouble);
  if (health->trouble <= trouble_limit)
    return;
  shun (upstream, now, SHUN_TROUBLE_MS, "failures");
  health->trouble = trouble_limit / 2; /* to be tried again */
}

/* Note how a request at UPSTREAM ended.  */
void
health_record_result (fleet_upstream_t *upstream, fleet_result_t result,
                      struct timespec now)
{
  switch (result)
    {
    case FLEET_SERVED:
      upstream->health.failures = 0;
      note_answer (upstream, false, now);
      break;
    case FLEET_FAILED:
    case FLEET_INTERRUPTED:
    case FLEET_TIMED_OUT:
      note_answer (upstream, true, now);
      break;
    case FLEET_UNREACHABLE:
      note_unreachable (upstream, now);
      break;
    case FLEET_MISDIRECTED:
    case FLEET_DECLINED:
    case FLEET_CLIENT_LEFT:
      break;
    }
}

/* Return whether UPSTREAM is to be left alone for now.  */
bool
health_is_ejected (const fleet_upstream_t *upstream, struct timespec now)
{
  return timespec_compare (now, upstream->health.ejected_until) < 0;
}
