#include "relay/forward.h"

#include "kernel/log.h"
#include "relay/directory.h"
#include "relay/silence.h"

#include <string.h>

enum
{
  URGENCY_MOST = 9,
  LATE_URGENCY = 4, /* steps that a late request stands back */
  /* An answer up to this size is passed on only once it is whole, so that
     another upstream can be asked when it breaks off.  */
  HELD_BODY_BYTES = 64 * 1024,
  PENDING_HIGH_WATER_BYTES = 64 * 1024
};

static bool
status_is_success (unsigned http_status)
{
  return http_status >= 200 && http_status < 300;
}

static bool
status_is_failure (unsigned http_status)
{
  return http_status >= 500;
}

static void
pass_head (forward_t *forward, bool has_length)
{
  const forward_attempt_t *attempt = forward->attempt;
  forward_head_t head = { .http_status = attempt->http_status,
                          .headers = &attempt->headers,
                          .has_length = has_length,
                          .length = attempt->body_size };

  forward->is_begun = true;
  forward->ops->on_head (forward, &head, forward->data);
}

/* Note how long the client waits between the parts of its answer.  */
static void
note_progress (forward_t *forward)
{
  struct timespec now = clock_monotonic (forward->share->relay->clock);
  int64_t gap_ms = 0;

  if (timespec_is_zero (forward->first_at))
    forward->first_at = now;
  else
    gap_ms = timespec_to_ms (timespec_subtract (now, forward->last_at));
  forward->last_at = now;
  if (gap_ms > forward->longest_gap_ms)
    forward->longest_gap_ms = gap_ms;
}

static void
pass_data (forward_t *forward, const char *bytes, size_t size)
{
  if (size == 0)
    return;
  note_progress (forward);
  forward->ops->on_data (forward, bytes, size, forward->data);
}

/* Pass an event on unless the client has it already.  */
static void
attempt_take_event (const char *bytes, size_t size, bool has_id, int64_t id,
                    void *data)
{
  forward_t *forward = data;

  if (has_id && forward->has_last_event && id <= forward->last_event)
    return;
  if (has_id)
    {
      forward->has_last_event = true;
      forward->last_event = id;
    }
  pass_data (forward, bytes, size);
}

/* Return whether HEADERS say that a stream of events follows.  */
static bool
headers_tell_events (const http_headers_t *headers)
{
  static const char wanted[] = "text/event-stream";
  const char *type = http_headers_find (headers, "Content-Type");

  return type != NULL && strncmp (type, wanted, sizeof wanted - 1) == 0;
}

/* Have the answer go on to the client as it comes.  */
static void
attempt_start_passing (forward_t *forward)
{
  forward_attempt_t *attempt = forward->attempt;

  attempt->is_passed = true;
  if (headers_tell_events (&attempt->headers))
    {
      forward->has_events = true;
      attempt->events
          = event_stream_create (attempt, attempt_take_event, forward);
    }
  if (!forward->is_begun)
    pass_head (forward, false);
}

static void
attempt_keep_headers (forward_attempt_t *attempt,
                      const http_headers_t *headers)
{
  const http_header_t *header;

  STAILQ_FOREACH (header, headers, link)
    http_headers_add (&attempt->headers, attempt, header->name, header->value);
}

static bool
attempt_on_head (const egress_head_t *head, void *data)
{
  forward_t *forward = data;
  forward_attempt_t *attempt = forward->attempt;
  bool is_success = status_is_success (head->http_status);
  bool is_stream = is_success && forward->route->kind == ROUTE_STREAM
                   && headers_tell_events (head->headers);

  attempt_timeout_reset (forward);
  attempt->http_status = head->http_status;
  if (head->is_other_request)
    return false;
  attempt->is_not_run = head->is_not_run;
  attempt->is_misdirected = head->is_misdirected;
  if (head->load.is_known)
    fleet_record_load (forward->share->relay->fleet, attempt->choice.upstream,
                       head->load.running, head->load.waiting,
                       head->load.slots);
  attempt->is_usable = !head->is_not_run && head->is_from_upstream
                       && !(is_success && head->is_body_encoded);
  /* A stream goes on only with events.  */
  if (!attempt->is_usable || (forward->is_begun && !is_stream))
    return false;
  attempt_keep_headers (attempt, head->headers);
  if (is_stream)
    attempt_start_passing (forward);
  return true;
}

/* Keep the body of an answer that is not passed on yet.  One that grows too
   large is passed on as it comes.  */
static void
attempt_hold_data (forward_t *forward, const char *bytes, size_t size)
{
  forward_attempt_t *attempt = forward->attempt;
  char *larger = talloc_realloc (attempt, attempt->body, char,
                                 attempt->body_size + size);

  if (larger != NULL)
    {
      memcpy (larger + attempt->body_size, bytes, size);
      attempt->body = larger;
      attempt->body_size += size;
    }
  if (larger != NULL && attempt->body_size <= HELD_BODY_BYTES)
    return;
  attempt_start_passing (forward);
  pass_data (forward, attempt->body, attempt->body_size);
  if (larger == NULL)
    pass_data (forward, bytes, size);
  TALLOC_FREE (attempt->body);
  attempt->body_size = 0;
}

static bool
attempt_on_data (const char *bytes, size_t size, void *data)
{
  forward_t *forward = data;
  forward_attempt_t *attempt = forward->attempt;

  if (forward->is_paused)
    return false;
  attempt_timeout_reset (forward);
  if (!attempt->is_passed)
    attempt_hold_data (forward, bytes, size);
  else if (attempt->events == NULL)
    pass_data (forward, bytes, size);
  else if (event_stream_feed (attempt->events, bytes, size) != STATUS_OK)
    {
      log_event (LOG_LEVEL_WARN, "bad-event", "request=%s error=\"%s\"",
                 forward->request->id, status_message ());
      event_stream_reset (attempt->events);
    }
  return true;
}

/* What the fleet learns of an attempt that has ended.  */
static fleet_result_t
attempt_result (const forward_attempt_t *attempt, status_t status,
                bool may_have_run)
{
  if (!may_have_run)
    return FLEET_UNREACHABLE;
  if (attempt->is_misdirected)
    return FLEET_MISDIRECTED;
  if (attempt->is_not_run)
    return FLEET_DECLINED;
  if (status != STATUS_OK || !attempt->is_usable)
    return FLEET_INTERRUPTED;
  return status_is_failure (attempt->http_status) ? FLEET_FAILED
                                                  : FLEET_SERVED;
}

static void
forward_count (forward_t *forward, fleet_result_t result)
{
  if (result == FLEET_UNREACHABLE)
    forward->unreachable++;
  else
    forward->sends++;
  if (result == FLEET_MISDIRECTED)
    discovery_refresh (forward->share->relay->directory);
  if (result != FLEET_UNREACHABLE && result != FLEET_MISDIRECTED
      && result != FLEET_DECLINED)
    forward->runs++;
}

/* Pass a whole answer on that was held.  */
static void
forward_deliver (forward_t *forward, fleet_result_t result)
{
  pass_head (forward, true);
  pass_data (forward, forward->attempt->body, forward->attempt->body_size);
  forward_finish_attempt (forward, result);
  forward_finish (forward, true);
}

/* The answer that the client has the start of has ended, whole or not.  */
static void
forward_end_passed (forward_t *forward, fleet_result_t result, bool is_whole)
{
  forward_finish_attempt (forward, result);
  if (is_whole)
    forward_finish (forward, true);
  else if (forward->has_events && forward->route->is_resumable
           && forward_take_retry (forward, 0))
    forward_dispatch (forward);
  else
    forward_finish (forward, false);
}

/* No answer that could be passed on has come, or one that tells of a failure
   of the upstream's own.  */
static void
forward_end_unserved (forward_t *forward, fleet_result_t result)
{
  bool has_answer = result == FLEET_FAILED;

  if (forward_take_retry (forward, 0))
    {
      forward_finish_attempt (forward, result);
      forward_dispatch (forward);
      return;
    }
  if (has_answer)
    {
      forward_deliver (forward, result);
      return;
    }
  forward_finish_attempt (forward, result);
  if (forward->runs > 0)
    forward_fail (forward, RELAY_OUTCOME_UNKNOWN, (struct timespec){ 0, 0 });
  else
    forward_refuse (forward, fleet_result_name (result));
}

static void
attempt_on_done (status_t status, bool may_have_run, void *data)
{
  forward_t *forward = data;
  forward_attempt_t *attempt = forward->attempt;
  fleet_result_t result = attempt_result (attempt, status, may_have_run);
  bool is_whole = status == STATUS_OK
                  && (attempt->events == NULL
                      || event_stream_is_at_boundary (attempt->events));

  attempt->call = NULL;
  forward_count (forward, result);
  if (status != STATUS_OK)
    attempt->error = talloc_strdup (attempt, status_message ());
  if (attempt->is_passed || forward->is_begun)
    forward_end_passed (forward, result, is_whole && attempt->is_passed);
  else if (result == FLEET_SERVED)
    forward_deliver (forward, result);
  else
    forward_end_unserved (forward, result);
}

static const egress_events_t attempt_events = {
  .on_head = attempt_on_head,
  .on_data = attempt_on_data,
  .on_done = attempt_on_done,
};

/* How soon upstreams should admit the request; those that are late anyway come
   after the others.  */
static int64_t
forward_urgency (const forward_t *forward)
{
  const client_account_t *account = forward->account;
  int64_t urgency = account != NULL && account->has_priority
                        ? account->priority
                        : forward->route->priority;

  if (forward->wanted.is_late)
    urgency += LATE_URGENCY;
  return urgency < URGENCY_MOST ? urgency : URGENCY_MOST;
}

/* Send the request to CHOICE, whose strings are in MEMORY.  Returns false when
   it cannot be sent; nothing was.  Else MEMORY belongs to the attempt.  */
bool
attempt_start (forward_t *forward, const fleet_choice_t *choice,
               TALLOC_CTX *memory)
{
  relay_t *relay = forward->share->relay;
  forward_attempt_t *attempt = talloc_zero (forward, forward_attempt_t);
  const client_account_t *account = forward->account;
  egress_send_t send = {
    .request = forward->request,
    .upstream = choice->upstream,
    .address = choice->address,
    .account = account == NULL ? NULL : account->name,
    .time_left = forward_time_left (forward),
    .has_urgency = true,
    .urgency = forward_urgency (forward),
    .has_resume_after = forward->has_last_event,
    .resume_after = forward->last_event,
    /* What an upstream has left on a kept connection may have spoilt the
       first sending.  */
    .is_sent_once
    = !route_is_repeatable (forward->route) || forward->sends > 0,
  };

  if (attempt == NULL)
    return false;
  attempt->choice = *choice;
  attempt->sent_at = clock_monotonic (relay->clock);
  STAILQ_INIT (&attempt->headers);
  attempt->call = relay->egress_ops->send (forward->share->egress, &send,
                                           &attempt_events, forward);
  if (attempt->call == NULL)
    {
      talloc_free (attempt);
      return false;
    }
  talloc_steal (attempt, memory);
  forward->attempt = attempt;
  attempt_timeout_start (forward);
  return true;
}

/* The client has taken data; PENDING bytes are left to be sent to it.  */
void
forward_note_pending (forward_t *forward, size_t pending)
{
  bool was_paused = forward->is_paused;

  forward->is_paused = pending > PENDING_HIGH_WATER_BYTES;
  if (was_paused && !forward->is_paused && forward->attempt != NULL)
    forward->share->relay->egress_ops->proceed (forward->attempt->call);
}
