#include "relay/request_verdict.h"

#include "kernel/clock.h"

enum
{
  DEFAULT_CLIENT_TIMEOUT_MS = 60000, /* if the client sends no deadline */
  /* A request may be queued for its timeout divided by this at most.  */
  QUEUE_TIME_DIVISOR = 2,
  /* A request for which no upstream may be used waits this long: enough for a
     refresh of the listings, which may show a new one.  */
  UNUSABLE_QUEUE_MAX_MS = 100,
  /* Retry-After is the remaining time divided by this; clients accept up to a
     third of the remaining time.  */
  RETRY_AFTER_DIVISOR = 4,
  RETRY_AFTER_MIN_MS = 50,
  /* A request is late once its objective divided by this has passed.  */
  LATE_START_DIVISOR = 2
};

/* Find the route and the account of a request.  Returns RELAY_FAILURE_COUNT on
   success.  */
relay_failure_t
verdict_find_route (const rules_t *rules, const char *host, const char *target,
                    const char *key, const route_t **route,
                    const client_account_t **account)
{
  *account = NULL;
  *route = rules == NULL ? NULL : rules_route (rules, host, target);
  if (rules == NULL)
    return RELAY_NO_RULES;
  if (*route == NULL)
    return RELAY_NO_ROUTE;
  if (rules->has_accounts && key[0] != '\0')
    *account = rules_account_by_key (rules, key);
  if (rules->has_accounts && *account == NULL && !(*route)->is_public)
    return RELAY_NO_ACCOUNT;
  return RELAY_FAILURE_COUNT;
}

/* Return the time after which to retry a request that has no route because of
   FAILURE, zero for none.  */
struct timespec
verdict_failure_retry_after (relay_failure_t failure)
{
  return timespec_from_ms (failure == RELAY_NO_RULES ? RETRY_AFTER_MIN_MS : 0);
}

/* Return the timeout of a request of ROUTE: that of the client or of the
   route, whichever is shorter.  */
struct timespec
verdict_timeout (const route_t *route, const struct timespec *client_timeout)
{
  struct timespec timeout = client_timeout != NULL
                                ? *client_timeout
                                : timespec_from_ms (DEFAULT_CLIENT_TIMEOUT_MS);

  if (timespec_to_ms (route->timeout) > 0
      && timespec_compare (route->timeout, timeout) < 0)
    return route->timeout;
  return timeout;
}

/* Return how long a request with TIMEOUT may be queued.  */
struct timespec
verdict_queue_time (struct timespec timeout)
{
  int64_t queue_ms = timespec_to_ms (timeout) / QUEUE_TIME_DIVISOR;

  return timespec_from_ms (queue_ms > FLEET_MAX_QUEUE_MS ? FLEET_MAX_QUEUE_MS
                                                         : queue_ms);
}

/* Return the time after which a request of ROUTE is likely to miss its
   objective.  */
struct timespec
verdict_late_after (const route_t *route)
{
  return timespec_from_ms (timespec_to_ms (route->objective)
                           / LATE_START_DIVISOR);
}

/* Return whether a request of ROUTE is late whose client has WAITED.  */
bool
verdict_is_late (const route_t *route, struct timespec waited)
{
  int64_t late_ms = timespec_to_ms (verdict_late_after (route));

  return late_ms > 0 && timespec_to_ms (waited) >= late_ms;
}

/* Return the time after which a client that has REMAINING time may retry.  */
struct timespec
verdict_retry_after (struct timespec remaining)
{
  int64_t retry_ms = timespec_to_ms (remaining) / RETRY_AFTER_DIVISOR;

  return timespec_from_ms (retry_ms < RETRY_AFTER_MIN_MS ? RETRY_AFTER_MIN_MS
                                                         : retry_ms);
}

/* Return when a request that is queued is given up.  */
struct timespec
verdict_wait_end (struct timespec arrived_at, struct timespec give_up_at,
                  bool is_temporary)
{
  struct timespec unusable_end
      = timespec_add (arrived_at, timespec_from_ms (UNUSABLE_QUEUE_MAX_MS));

  return !is_temporary && timespec_compare (unusable_end, give_up_at) < 0
             ? unusable_end
             : give_up_at;
}

static request_verdict_t
refuse (const char *why, struct timespec retry_after)
{
  return (request_verdict_t){ .action = VERDICT_REFUSE,
                              .why = why,
                              .retry_after = retry_after };
}

static request_verdict_t
refuse_by_default (const verdict_case_t *facts, const char *why)
{
  return refuse (why, verdict_retry_after (
                          timespec_subtract (facts->deadline, facts->now)));
}

/* Let the request wait if it may be queued for longer.  */
static request_verdict_t
wait_if_allowed (const verdict_case_t *facts, const char *why,
                 bool is_temporary)
{
  struct timespec end
      = verdict_wait_end (facts->arrived_at, facts->give_up_at, is_temporary);

  if (timespec_compare (facts->now, end) >= 0)
    return refuse_by_default (facts, why);
  return (request_verdict_t){ .action = VERDICT_WAIT,
                              .why = why,
                              .is_temporary = is_temporary };
}

/* Return whether the requests before this one, which has not been queued yet,
   would take longer than it may be queued: it would wait in vain.  */
static bool
is_hopeless (const verdict_case_t *facts)
{
  struct timespec wait = request_queue_expected_wait (
      facts->queue, facts->service, facts->urgency, facts->now);

  return !facts->has_waited
         && timespec_compare (timespec_add (facts->now, wait),
                              facts->give_up_at)
                >= 0;
}

/* Return the verdict if all upstreams that may be used have asked for no
   requests.  Unless one takes requests again while this one may be queued, it
   is refused at once, and its client told when to come back.  */
static request_verdict_t
judge_paused (const verdict_case_t *facts)
{
  const char *why = fleet_shortage_name (FLEET_ALL_PAUSED);
  struct timespec left = fleet_pause_left (facts->fleet, facts->service);

  if (timespec_compare (timespec_add (facts->now, left), facts->give_up_at)
      >= 0)
    return refuse (why, left);
  return wait_if_allowed (facts, why, true);
}

/* Return the verdict on a request for which no upstream can be chosen because
   of SHORTAGE.  */
request_verdict_t
verdict_on_shortage (const verdict_case_t *facts, fleet_shortage_t shortage)
{
  const char *why = fleet_shortage_name (shortage);

  if (shortage == FLEET_ALL_PAUSED)
    return judge_paused (facts);
  if (shortage == FLEET_ALL_FULL && is_hopeless (facts))
    return refuse_by_default (facts, "queue-too-long");
  if (shortage == FLEET_NO_GROUP)
    return refuse_by_default (facts, why);
  return wait_if_allowed (facts, why, fleet_shortage_is_temporary (shortage));
}

/* Return the verdict on a request that comes after more urgent ones, which are
   queued.  */
request_verdict_t
verdict_on_more_urgent (const verdict_case_t *facts)
{
  if (is_hopeless (facts))
    return refuse_by_default (facts, "queue-too-long");
  return wait_if_allowed (facts, "more-urgent-first", true);
}
