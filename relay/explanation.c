#include "relay/explanation.h"

/* What an explanation is made from.  */
typedef struct explained_request
{
  relay_t *relay;
  const rules_t *rules;
  const placement_question_t *question;
  const route_t *route;
  const client_account_t *account;
  const request_queue_t *queue;
  struct timespec now;
  fleet_request_t criteria;
} explained_request_t;

/* Return the target of ROUTE that gets most of its requests, or NULL.  */
static const route_target_t *
heaviest_target (const route_t *route)
{
  const route_target_t *heaviest = NULL;
  const route_target_t *target;

  STAILQ_FOREACH (target, &route->targets, link)
    {
      if (target->weight > 0
          && (heaviest == NULL || target->weight > heaviest->weight))
        heaviest = target;
    }
  return heaviest;
}

/* Find the route and the service of REQUEST, and set them in EXPLANATION.  */
static relay_failure_t
explain_route (explained_request_t *request, TALLOC_CTX *parent,
               placement_explanation_t *explanation)
{
  const placement_question_t *question = request->question;
  const route_target_t *target;
  relay_failure_t failure
      = verdict_find_route (request->rules, question->host, question->path,
                            question->key, &request->route, &request->account);

  if (failure != RELAY_FAILURE_COUNT)
    return failure;
  target = heaviest_target (request->route);
  if (target == NULL)
    return RELAY_NO_ROUTE;
  explanation->rules_version = request->rules->version;
  explanation->route = talloc_strdup (parent, request->route->name);
  explanation->service = talloc_strdup (parent, target->service);
  explanation->service_share
      = (double)target->weight / request->route->weight_total;
  if (request->account != NULL)
    explanation->account = talloc_strdup (parent, request->account->name);
  return RELAY_FAILURE_COUNT;
}

/* Set the request's class in EXPLANATION, and what the choice depends on.  */
static void
explain_class (explained_request_t *request,
               placement_explanation_t *explanation)
{
  const placement_question_t *question = request->question;
  const route_t *route = request->route;

  explanation->timeout = verdict_timeout (
      route, question->has_client_timeout ? &question->client_timeout : NULL);
  if (question->has_client_timeout)
    explanation->waited
        = client_timeouts_waited (request->relay->client_timeouts, route->name,
                                  route->timeout, question->client_timeout);
  explanation->urgency
      = rules_urgency (request->rules, route, request->account);
  explanation->is_late = verdict_is_late (route, explanation->waited);
  request->criteria = (fleet_request_t){
    .service = explanation->service,
    .route = route,
    .is_late = explanation->is_late,
    .urgency = explanation->urgency,
    .work = { .prompt_tokens = question->prompt_tokens,
              .output_tokens = question->output_tokens,
              .zone = daemon_config (request->relay->daemon)->zone },
    .account = explanation->account,
    .hinted_tokens = question->hinted_tokens,
  };
}

static void
explain_queue (const explained_request_t *request,
               placement_explanation_t *explanation)
{
  const char *service = explanation->service;
  unsigned urgency = explanation->urgency;

  for (unsigned other = 0; other <= urgency; other++)
    explanation->queued_before[other]
        = request_queue_count_before (request->queue, service, other, urgency,
                                      explanation->is_late, request->now);
  explanation->expected_wait = request_queue_expected_wait (
      request->queue, service, urgency, request->now);
}

/* Return what becomes of the request that EXPLANATION describes.  */
static request_verdict_t
judge (const explained_request_t *request,
       const placement_explanation_t *explanation, const verdict_case_t *facts)
{
  if (relay_stops_before (request->relay, facts->deadline))
    return (request_verdict_t){
      .action = VERDICT_REFUSE,
      .why = "stopping",
      .retry_after = verdict_retry_after (explanation->timeout),
    };
  if (request_queue_has_more_urgent (request->queue, explanation->service,
                                     explanation->urgency))
    return verdict_on_more_urgent (facts);
  if (explanation->fleet.shortage != FLEET_NO_SHORTAGE)
    return verdict_on_shortage (facts, explanation->fleet.shortage);
  return (request_verdict_t){ .action = VERDICT_SEND };
}

static void
explain_verdict (const explained_request_t *request,
                 placement_explanation_t *explanation)
{
  struct timespec now = request->now;
  verdict_case_t facts = {
    .fleet = request->relay->fleet,
    .queue = request->queue,
    .service = explanation->service,
    .urgency = explanation->urgency,
    .now = now,
    .arrived_at = now,
    .give_up_at
    = timespec_add (now, verdict_queue_time (explanation->timeout)),
    .deadline = timespec_add (now, explanation->timeout),
  };
  request_verdict_t verdict = judge (request, explanation, &facts);

  explanation->verdict = verdict;
  explanation->retry_after = verdict.retry_after;
  if (verdict.action != VERDICT_WAIT)
    return;
  explanation->longest_wait = timespec_subtract (
      verdict_wait_end (now, facts.give_up_at, verdict.is_temporary), now);
  explanation->retry_after = verdict_retry_after (
      timespec_subtract (explanation->timeout, explanation->longest_wait));
}

/* Implement relay_explain for the rules in REQUEST, which may be NULL.  */
static bool
explain_by_rules (explained_request_t *request, TALLOC_CTX *parent,
                  placement_explanation_t *explanation)
{
  explanation->failure = explain_route (request, parent, explanation);
  if (explanation->failure != RELAY_FAILURE_COUNT)
    {
      explanation->retry_after
          = verdict_failure_retry_after (explanation->failure);
      explanation->verdict = (request_verdict_t){
        .action = VERDICT_REFUSE,
        .why = relay_failure_name (explanation->failure),
        .retry_after = explanation->retry_after,
      };
      return true;
    }
  if (explanation->route == NULL || explanation->service == NULL)
    return false;
  explain_class (request, explanation);
  explain_queue (request, explanation);
  if (!fleet_explain (request->relay->fleet, parent, &request->criteria,
                      &explanation->fleet))
    return false;
  explain_verdict (request, explanation);
  return true;
}

/* Explain what RELAY would do with the request in QUESTION if it arrived now
   at the first worker.  Changes nothing.  Returns false when memory is
   exhausted.  */
bool
relay_explain (relay_t *relay, TALLOC_CTX *parent,
               const placement_question_t *question,
               placement_explanation_t *explanation)
{
  rules_t *rules = relay_rules (relay);
  explained_request_t request = { .relay = relay,
                                  .rules = rules,
                                  .question = question,
                                  .queue = relay->workers[0].queue,
                                  .now = clock_monotonic (relay->clock) };
  bool is_whole;

  *explanation = (placement_explanation_t){ 0 };
  is_whole = explain_by_rules (&request, parent, explanation);
  rules_release (rules);
  return is_whole;
}
