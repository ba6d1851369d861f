#ifndef SISKIN_RELAY_EXPLANATION_H
#define SISKIN_RELAY_EXPLANATION_H

#include "relay/fleet_explanation.h"
#include "relay/relay.h"
#include "relay/request_verdict.h"

/* What a relay would do with a request that arrived now, and why, without
   making it.  The prompt is not part of the question, so quarantined prompts
   are not taken into account.  Independent of the encoding of messages.  */

/* The request that is asked about.  */
typedef struct placement_question
{
  const char *host;
  const char *path;
  const char *key; /* of the client's account; "" for none */
  uint64_t prompt_tokens;
  uint64_t output_tokens; /* upper bound */
  uint64_t hinted_tokens; /* client's estimate of the output; 0 for none */
  bool has_client_timeout;
  struct timespec client_timeout;
} placement_question_t;

/* The answer.  Strings belong to the talloc context that was given for it.  */
typedef struct placement_explanation
{
  /* RELAY_FAILURE_COUNT if the request has a route; otherwise only this and
     VERDICT are set.  */
  relay_failure_t failure;
  uint64_t rules_version;
  const char *route;
  /* That gets most requests of the route, and its share of them.  */
  const char *service;
  double service_share;
  const char *account; /* its name; NULL for none */
  struct timespec timeout;
  struct timespec waited; /* by the client, with other requests */
  unsigned urgency;
  bool is_late;
  /* Queued requests that come before, by urgency, and the time expected until
     it is the request's turn; of the first worker, whose queue it is.  */
  unsigned queued_before[RULES_MAX_URGENCY + 1];
  struct timespec expected_wait; /* zero if unknown */
  request_verdict_t verdict;
  struct timespec longest_wait; /* in the queue, if it waits */
  /* Told to a client that is refused, or given up after LONGEST_WAIT; zero for
     none.  */
  struct timespec retry_after;
  fleet_explanation_t fleet;
} placement_explanation_t;

/* Must be called on worker 0.  Returns false when memory is exhausted.  */
bool relay_explain (relay_t *relay, TALLOC_CTX *parent,
                    const placement_question_t *question,
                    placement_explanation_t *explanation);

#endif
