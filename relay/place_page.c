#include "relay/place_page.h"

#include "relay/explanation.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Of the answer; upstreams that would exceed it are omitted.  */
  MAX_ANSWER_BYTES = 4 * 1024 * 1024,
  /* Part of it for all but the upstreams.  */
  ANSWER_HEAD_BYTES = 64 * 1024,
  MAX_TOKENS = 1000000000,
  MAX_TIMEOUT_MS = 24 * 60 * 60 * 1000,
  US_PER_MS = 1000,
  HTTP_OK = 200,
  HTTP_BAD_REQUEST = 400,
  HTTP_METHOD_NOT_ALLOWED = 405,
  HTTP_UNAVAILABLE = 503
};

static const char *const action_names[] = {
  [VERDICT_SEND] = "send",
  [VERDICT_WAIT] = "wait",
  [VERDICT_REFUSE] = "refuse",
};

/* The fields of a question.  */
typedef struct question_fields
{
  const char *host;
  const char *path;
  const char *key;
  json_int_t prompt_tokens;
  json_int_t output_tokens;
  json_int_t hinted_tokens;
  json_int_t timeout_ms; /* -1 for none */
} question_fields_t;

static bool
is_in_range (json_int_t value, json_int_t max)
{
  return value >= 0 && value <= max;
}

/* Return what is wrong with FIELDS, or NULL.  The text quotes none of them, as
   one may be a key.  */
static const char *
find_fault (const question_fields_t *fields)
{
  if (fields->host[0] == '\0')
    return "host must not be empty";
  if (fields->path[0] != '/')
    return "path must begin with a slash";
  if (!is_in_range (fields->prompt_tokens, MAX_TOKENS)
      || !is_in_range (fields->output_tokens, MAX_TOKENS)
      || !is_in_range (fields->hinted_tokens, MAX_TOKENS))
    return "numbers of tokens must be from 0 to 1000000000";
  if (fields->timeout_ms != -1
      && !is_in_range (fields->timeout_ms, MAX_TIMEOUT_MS))
    return "timeout_ms must be from 0 to 86400000";
  return NULL;
}

/* Read QUESTION from ROOT, whose strings it refers to.  Returns what is wrong,
   or NULL.  */
static const char *
decode_question (json_t *root, placement_question_t *question)
{
  question_fields_t fields = { .key = "", .timeout_ms = -1 };
  const char *fault;

  if (!json_is_object (root))
    return "the question must be a JSON object";
  if (json_unpack (root, "{s:s,s:s,s?s,s?I,s?I,s?I,s?I!}", "host",
                   &fields.host, "path", &fields.path, "key", &fields.key,
                   "prompt_tokens", &fields.prompt_tokens, "output_tokens",
                   &fields.output_tokens, "hinted_tokens",
                   &fields.hinted_tokens, "timeout_ms", &fields.timeout_ms)
      != 0)
    return "host and path must be strings; key, prompt_tokens, output_tokens, "
           "hinted_tokens and timeout_ms are optional, nothing else is "
           "allowed";
  fault = find_fault (&fields);
  if (fault != NULL)
    return fault;
  *question = (placement_question_t){
    .host = fields.host,
    .path = fields.path,
    .key = fields.key,
    .prompt_tokens = (uint64_t)fields.prompt_tokens,
    .output_tokens = (uint64_t)fields.output_tokens,
    .hinted_tokens = (uint64_t)fields.hinted_tokens,
    .has_client_timeout = fields.timeout_ms >= 0,
    .client_timeout = timespec_from_ms (fields.timeout_ms),
  };
  return NULL;
}

static json_int_t
us_to_ms (uint64_t us)
{
  return (json_int_t)(us / US_PER_MS);
}

static json_t *
encode_capacity (const capacity_explanation_t *capacity)
{
  if (!capacity->is_known)
    return json_null ();
  return json_pack ("{s:f,s:f,s:f}", "free", capacity->free, "share",
                    capacity->share, "sent", capacity->sent);
}

static json_t *
encode_upstream (const upstream_explanation_t *upstream)
{
  return json_pack (
      "{s:s,s:s,s:s,s:s,s:s,s:o,s:I,s:I,s:I,s:I,s:f,s:I}", "id", upstream->id,
      "zone", upstream->zone, "group", upstream->group, "obstacle",
      fleet_obstacle_name (upstream->obstacle), "preference",
      fleet_preference_name (upstream->preference), "capacity",
      encode_capacity (&upstream->capacity), "own_requests",
      (json_int_t)upstream->outstanding_requests, "backlog_ms",
      us_to_ms (upstream->backlog_us), "running",
      (json_int_t)upstream->running, "waiting", (json_int_t)upstream->waiting,
      "slowdown", upstream->slowdown, "report_age_ms",
      (json_int_t)upstream->report_age_ms);
}

/* Append the upstreams to LIST as far as the size of the answer allows.
   Returns how many are omitted.  */
static unsigned
encode_upstreams (const fleet_explanation_t *fleet, json_t *list)
{
  size_t size = ANSWER_HEAD_BYTES;
  unsigned count = 0;

  for (; count < fleet->upstream_count; count++)
    {
      json_t *object = encode_upstream (&fleet->upstreams[count]);

      size += json_dumpb (object, NULL, 0, 0) + strlen (", ");
      if (size > MAX_ANSWER_BYTES || json_array_append_new (list, object) != 0)
        break;
    }
  return fleet->upstream_count - count + fleet->omitted_upstreams;
}

static json_t *
encode_queue (const placement_explanation_t *explanation)
{
  json_t *classes = json_array ();
  json_int_t before = 0;

  for (unsigned urgency = 0; urgency <= explanation->urgency; urgency++)
    {
      json_int_t count = explanation->queued_before[urgency];

      before += count;
      json_array_append_new (
          classes,
          json_pack ("{s:i,s:I}", "urgency", (int)urgency, "before", count));
    }
  return json_pack ("{s:I,s:o,s:I}", "before", before, "classes", classes,
                    "expected_wait_ms",
                    (json_int_t)timespec_to_ms (explanation->expected_wait));
}

/* Add what is known of a request that has a route to ANSWER.  */
static void
encode_placement (const placement_explanation_t *explanation, json_t *answer)
{
  const fleet_explanation_t *fleet = &explanation->fleet;
  json_t *upstreams = json_array ();
  unsigned omitted = encode_upstreams (fleet, upstreams);
  json_t *details = json_pack (
      "{s:s,s:s,s:f,s:s?,s:I,s:i,s:b,s:I,s:I,s:I,s:f,s:o,s:I,s:s?,s:s?,s:i,"
      "s:o,s:f,s:o,s:i}",
      "route", explanation->route, "service", explanation->service,
      "service_share", explanation->service_share, "account",
      explanation->account, "rules", (json_int_t)explanation->rules_version,
      "urgency", (int)explanation->urgency, "late", (int)explanation->is_late,
      "waited_ms", (json_int_t)timespec_to_ms (explanation->waited),
      "timeout_ms", (json_int_t)timespec_to_ms (explanation->timeout),
      "work_ms", us_to_ms (fleet->work_us), "expected_events",
      fleet->estimate.events, "queue", encode_queue (explanation),
      "longest_wait_ms",
      (json_int_t)timespec_to_ms (explanation->longest_wait), "upstream",
      explanation->verdict.action == VERDICT_SEND ? fleet->upstream : NULL,
      "reason", fleet->reason, "candidates", (int)fleet->candidates,
      "capacity", encode_capacity (&fleet->total), "reserve", fleet->reserve,
      "upstreams", upstreams, "omitted_upstreams", (int)omitted);

  json_object_update (answer, details);
  json_decref (details);
}

/* Return the answer as JSON.  */
static json_t *
encode_answer (const placement_explanation_t *explanation)
{
  json_t *answer = json_pack (
      "{s:s,s:s?,s:I}", "action", action_names[explanation->verdict.action],
      "why", explanation->verdict.why, "retry_after_ms",
      (json_int_t)timespec_to_ms (explanation->retry_after));

  if (explanation->failure == RELAY_FAILURE_COUNT)
    encode_placement (explanation, answer);
  return answer;
}

/* Reply with ANSWER, which is freed.  */
static void
reply_json (http_exchange_t *exchange, unsigned http_status, json_t *answer)
{
  char *text = json_dumps (answer, JSON_PRESERVE_ORDER);

  json_decref (answer);
  http_reply_text (exchange, text == NULL ? HTTP_UNAVAILABLE : http_status,
                   "application/json", text == NULL ? "{}" : text);
  free (text);
}

static void
reply_error (http_exchange_t *exchange, unsigned http_status,
             const char *error)
{
  reply_json (exchange, http_status, json_pack ("{s:s}", "error", error));
}

static void
reply_explanation (relay_t *relay, http_exchange_t *exchange,
                   const placement_question_t *question)
{
  TALLOC_CTX *context = talloc_new (exchange);
  placement_explanation_t explanation;

  if (context != NULL
      && relay_explain (relay, context, question, &explanation))
    reply_json (exchange, HTTP_OK, encode_answer (&explanation));
  else
    reply_error (exchange, HTTP_UNAVAILABLE, "out of memory");
  talloc_free (context);
}

/* Reply to a question that was sent to the page.  Neither replies nor the log
   contain any of its text, as it may have an account's key.  */
void
place_page_reply (relay_t *relay, http_exchange_t *exchange)
{
  placement_question_t question;
  const char *fault;
  const char *body;
  json_t *root;
  size_t size;

  if (strcmp (http_exchange_method (exchange), "POST") != 0)
    {
      reply_error (exchange, HTTP_METHOD_NOT_ALLOWED,
                   "the method must be POST");
      return;
    }
  body = http_exchange_body (exchange, &size);
  root = json_loadb (body, size, JSON_REJECT_DUPLICATES, NULL);
  fault = decode_question (root, &question);
  if (fault != NULL)
    reply_error (exchange, HTTP_BAD_REQUEST, fault);
  else
    reply_explanation (relay, exchange, &question);
  json_decref (root);
}
