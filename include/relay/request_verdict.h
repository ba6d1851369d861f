#ifndef SISKIN_RELAY_REQUEST_VERDICT_H
#define SISKIN_RELAY_REQUEST_VERDICT_H

#include "common/rules.h"
#include "relay/fleet.h"
#include "relay/request.h"
#include "relay/request_queue.h"

#include <stdbool.h>
#include <time.h>

/* The rules by which a request is classified on arrival, and by which one that
   cannot be sent waits or is refused.  They change nothing, so that a request
   can also be judged without being made.  */

typedef enum verdict_action
{
  VERDICT_SEND,
  VERDICT_WAIT,
  VERDICT_REFUSE
} verdict_action_t;

typedef struct request_verdict
{
  verdict_action_t action;
  const char *why;   /* a constant, for the log; NULL to send */
  bool is_temporary; /* of a request that waits, see verdict_wait_end */
  struct timespec retry_after; /* of a request that is refused */
} request_verdict_t;

/* What a verdict depends on.  All times are monotonic.  */
typedef struct verdict_case
{
  fleet_t *fleet;
  const request_queue_t *queue;
  const char *service;
  unsigned urgency;
  struct timespec now;
  struct timespec arrived_at;
  struct timespec give_up_at; /* it is queued until then at most */
  struct timespec deadline;
  bool has_waited; /* it has been queued */
} verdict_case_t;

/* Sets *ROUTE and *ACCOUNT, which is NULL for none, of a request with KEY.
   RULES is NULL before any are known.  Returns RELAY_FAILURE_COUNT on
   success.  */
relay_failure_t verdict_find_route (const rules_t *rules, const char *host,
                                    const char *target, const char *key,
                                    const route_t **route,
                                    const client_account_t **account);
struct timespec verdict_failure_retry_after (relay_failure_t failure);
/* Returns the time that a request may take.  CLIENT_TIMEOUT is NULL if the
   client names none.  */
struct timespec verdict_timeout (const route_t *route,
                                 const struct timespec *client_timeout);
struct timespec verdict_queue_time (struct timespec timeout);
/* Returns the time after which a request of ROUTE is likely to miss its
   objective.  */
struct timespec verdict_late_after (const route_t *route);
/* Returns whether a request of ROUTE is likely to miss its objective if its
   client has WAITED before it arrived.  */
bool verdict_is_late (const route_t *route, struct timespec waited);
struct timespec verdict_retry_after (struct timespec remaining);
/* Returns when a request that is queued is given up.  An upstream that is
   full, cold or stalled will take requests again, which IS_TEMPORARY says;
   otherwise the client does better to come back.  */
struct timespec verdict_wait_end (struct timespec arrived_at,
                                  struct timespec give_up_at,
                                  bool is_temporary);
/* The verdict if no upstream can be chosen because of SHORTAGE, and if more
   urgent requests are queued.  */
request_verdict_t verdict_on_shortage (const verdict_case_t *facts,
                                       fleet_shortage_t shortage);
request_verdict_t verdict_on_more_urgent (const verdict_case_t *facts);

#endif
