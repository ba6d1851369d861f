#include "relay/forward.h"

#include "kernel/log.h"
#include "relay/attempt_timeout.h"
#include "relay/feed.h"

#include <string.h>

enum
{
  /* Added to the urgency of a late request; a higher value is served
     later.  */
  LATE_URGENCY_INCREMENT = 4,
  /* A response body up to this size is buffered until it is complete, so that
     the request can be retried at another upstream if the response is
     truncated.  */
  BUFFERED_BODY_MAX_BYTES = 64 * 1024,
  PENDING_HIGH_WATER_BYTES = 64 * 1024,
  EVENTS_PER_WORK_RECORD = 4,
  /* Response data up to this size is not accounted, and more is in steps, so
     that small responses and events do not take the budget's lock.  */
  UNCHARGED_BYTES = 16 * 1024,
  CHARGE_STEP_BYTES = 32 * 1024,
  /* Progress that is recorded first; then at each doubling.  */
  FIRST_RECORDED_PROGRESS = 8
};

static bool
status_is_success (unsigned http_status)
{
  return http_status >= 200 && http_status < 300;
}

/* Send the head of the response to the client.  */
void
forward_send_head (forward_t *forward, bool has_length)
{
  const forward_attempt_t *attempt = forward->attempt;
  forward_head_t head = { .http_status = attempt->http_status,
                          .headers = &attempt->headers,
                          .has_length = has_length,
                          .length = attempt->body_size };

  forward->is_head_sent = true;
  forward->ops->on_head (forward, &head, forward->data);
}

/* Record when data is sent to the client and the longest gap between two
   sends.  */
static void
forward_track_gap (forward_t *forward)
{
  struct timespec now = clock_monotonic (forward->relay_worker->relay->clock);
  int64_t gap_ms = 0;

  if (timespec_is_zero (forward->first_data_at))
    forward->first_data_at = now;
  else
    gap_ms = timespec_to_ms (timespec_subtract (now, forward->last_data_at));
  forward->last_data_at = now;
  if (gap_ms > forward->longest_gap_ms)
    forward->longest_gap_ms = gap_ms;
}

/* Return how far ATTEMPT has got.  */
uint64_t
attempt_progress (const forward_attempt_t *attempt)
{
  if (attempt->http_status == 0)
    return PROGRESS_NONE;
  return PROGRESS_BEGUN + attempt->event_count;
}

static bool
is_power_of_two (uint64_t number)
{
  return (number & (number - 1)) == 0;
}

/* Record how far the attempt has got, which clears the request of crashes of
   attempts that had got less far.  */
static void
forward_record_progress (const forward_t *forward)
{
  relay_t *relay = forward->relay_worker->relay;
  uint64_t progress = attempt_progress (forward->attempt);

  if (progress >= FIRST_RECORDED_PROGRESS && is_power_of_two (progress)
      && suspects_record_progress (relay->suspects, progress,
                                   forward->segments, forward->segment_count))
    feed_send_updates (relay->feed);
}

/* Count the work that is done.  The first event shows that the prompt has been
   read; a few later ones make no difference.  */
static void
forward_record_work (const forward_t *forward)
{
  forward_attempt_t *attempt = forward->attempt;

  if (attempt->event_count % EVENTS_PER_WORK_RECORD == 1)
    fleet_record_events (forward->relay_worker->relay->fleet, &attempt->choice,
                         attempt->event_count);
}

/* Send data of the response to the client.  */
void
forward_send_data (forward_t *forward, const char *bytes, size_t size)
{
  if (size == 0)
    return;
  forward_track_gap (forward);
  forward->ops->on_data (forward, bytes, size, forward->data);
}

/* Send an event to the client unless the client has received it already.  */
static void
attempt_on_event (const char *bytes, size_t size, bool has_id, int64_t id,
                  void *data)
{
  forward_t *forward = data;

  forward->attempt->event_count++;
  forward_record_progress (forward);
  forward_record_work (forward);
  if (has_id && forward->has_last_event && id <= forward->last_event)
    return;
  attempt_timeout_reset (forward);
  if (has_id)
    {
      forward->has_last_event = true;
      forward->last_event = id;
    }
  forward_send_data (forward, bytes, size);
}

/* Return whether the Content-Type in HEADERS is that of server-sent
   events.  */
static bool
headers_have_event_stream (const http_headers_t *headers)
{
  static const char media_type[] = "text/event-stream";
  const char *type = http_headers_find (headers, "Content-Type");

  return type != NULL
         && strncmp (type, media_type, sizeof media_type - 1) == 0;
}

/* Start to send the response to the client as it arrives, without buffering
   it.  */
static void
attempt_start_passthrough (forward_t *forward)
{
  forward_attempt_t *attempt = forward->attempt;

  attempt->is_passthrough = true;
  if (headers_have_event_stream (&attempt->headers))
    {
      forward->has_events = true;
      attempt->events
          = event_stream_create (attempt, attempt_on_event, forward);
    }
  if (!forward->is_head_sent)
    forward_send_head (forward, false);
}

static void
attempt_copy_headers (forward_attempt_t *attempt,
                      const http_headers_t *headers)
{
  const http_header_t *header;

  STAILQ_FOREACH (header, headers, link)
    http_headers_add (&attempt->headers, attempt, header->name, header->value);
}

/* Return whether the response is the chosen upstream's own: what has neither
   its proof nor its word that the request has not run comes from something
   else.  */
static bool
head_is_of_chosen_upstream (const egress_head_t *head)
{
  return !head->is_misdirected && !head->is_sender_unknown
         && (head->is_from_upstream || head->is_not_run);
}

/* Record whether the upstream names a rate limit.  A refusal without one says
   nothing.  */
static void
attempt_record_rate_limit (const forward_t *forward, const egress_head_t *head)
{
  relay_t *relay = forward->relay_worker->relay;
  uint64_t upstream = forward->attempt->choice.incarnation;

  if (!head_is_of_chosen_upstream (head)
      || (head->rate_limit < 0 && !status_is_success (head->http_status)))
    return;
  if (rate_limits_record (relay->limits, upstream, head->rate_limit))
    feed_send_updates (relay->feed);
}

/* Record whether the upstream leaves or wants no requests, which only it can
   say.  */
static void
attempt_record_notice (const forward_t *forward, const egress_head_t *head)
{
  const forward_attempt_t *attempt = forward->attempt;
  fleet_notice_t notice
      = { .is_leaving = head->is_leaving, .pause = head->pause };

  if (!head_is_of_chosen_upstream (head))
    return;
  fleet_record_notice (forward->relay_worker->relay->fleet,
                       attempt->choice.upstream, attempt->choice.incarnation,
                       &notice);
}

/* The upstream answers, so it was alive when the request was sent.  */
static void
attempt_record_alive (const forward_t *forward, const egress_head_t *head)
{
  const forward_attempt_t *attempt = forward->attempt;

  if (head_is_of_chosen_upstream (head))
    crashes_refute (forward->relay_worker->relay->crashes,
                    attempt->choice.address, attempt->sent_at);
}

/* Decide from the response head whether the response can be used.  */
static bool
attempt_on_head (const egress_head_t *head, void *data)
{
  forward_t *forward = data;
  forward_attempt_t *attempt = forward->attempt;
  bool is_success = status_is_success (head->http_status);
  bool is_stream = is_success && forward->route->kind == ROUTE_STREAM
                   && headers_have_event_stream (head->headers);

  attempt_timeout_reset (forward);
  attempt->http_status = head->http_status;
  if (head->is_for_other_request)
    return false;
  attempt->is_not_run = head->is_not_run;
  attempt->has_open_end = head->has_open_end;
  attempt->is_misdirected = head->is_misdirected;
  attempt->rate_limit = head->rate_limit;
  attempt_record_rate_limit (forward, head);
  attempt_record_notice (forward, head);
  attempt_record_alive (forward, head);
  if (head->load.is_known && head_is_of_chosen_upstream (head))
    fleet_record_load (forward->relay_worker->relay->fleet,
                       attempt->choice.upstream, head->load.running,
                       head->load.waiting, head->load.slots);
  attempt->is_usable = !head->is_not_run && head->is_from_upstream
                       && !(is_success && head->is_body_encoded);
  /* Once the client has the response head, only an event stream can continue
     its response.  */
  if (!attempt->is_usable || (forward->is_head_sent && !is_stream))
    return false;
  attempt_copy_headers (attempt, head->headers);
  if (is_stream)
    attempt_start_passthrough (forward);
  return true;
}

/* Account for BYTES of response data that are held.  Returns false if there is
   no room.  */
static bool
attempt_charge (forward_attempt_t *attempt, size_t bytes)
{
  return memory_set_held (
      &attempt->memory,
      memory_round_up (bytes, UNCHARGED_BYTES, CHARGE_STEP_BYTES));
}

/* Buffer response data.  If the body exceeds the buffer limit, or memory is
   exhausted, send what is buffered and pass the rest through.  */
static void
attempt_buffer_data (forward_t *forward, const char *bytes, size_t size)
{
  forward_attempt_t *attempt = forward->attempt;
  char *larger = NULL;

  if (attempt_charge (attempt, attempt->body_size + size))
    larger = talloc_realloc (attempt, attempt->body, char,
                             attempt->body_size + size);
  if (larger != NULL)
    {
      memcpy (larger + attempt->body_size, bytes, size);
      attempt->body = larger;
      attempt->body_size += size;
    }
  if (larger != NULL && attempt->body_size <= BUFFERED_BODY_MAX_BYTES)
    return;
  attempt_start_passthrough (forward);
  forward_send_data (forward, attempt->body, attempt->body_size);
  if (larger == NULL)
    forward_send_data (forward, bytes, size);
  TALLOC_FREE (attempt->body);
  attempt->body_size = 0;
  attempt_charge (attempt, 0);
}

/* Split data of an event stream into events and send them to the client.  */
static void
attempt_feed_events (forward_t *forward, const char *bytes, size_t size)
{
  forward_attempt_t *attempt = forward->attempt;
  size_t pending = event_stream_pending (attempt->events);

  if (!attempt_charge (attempt, pending + size))
    {
      attempt->is_out_of_memory = true;
      status_set (STATUS_NO_MEMORY, "no memory for an event");
    }
  else if (event_stream_feed (attempt->events, bytes, size) == STATUS_OK)
    {
      attempt_charge (attempt, event_stream_pending (attempt->events));
      return;
    }
  log_event (LOG_LEVEL_WARN, "bad-event",
             "request=%s upstream=%s error=\"%s\"", forward->request->id,
             attempt->choice.upstream, status_message ());
  forward->relay_worker->relay->egress_ops->fail (attempt->call);
}

static bool
attempt_on_data (const char *bytes, size_t size, void *data)
{
  forward_t *forward = data;
  forward_attempt_t *attempt = forward->attempt;

  if (forward->is_paused)
    return false;
  /* Bytes that complete no event are no progress of a stream.  */
  if (attempt->events == NULL)
    attempt_timeout_reset (forward);
  if (!attempt->is_passthrough)
    attempt_buffer_data (forward, bytes, size);
  else if (attempt->events == NULL)
    forward_send_data (forward, bytes, size);
  else
    attempt_feed_events (forward, bytes, size);
  return true;
}

static const egress_events_t attempt_events = {
  .on_head = attempt_on_head,
  .on_data = attempt_on_data,
  .on_done = attempt_on_done,
};

/* Return the urgency for the upstream's queue.  Late requests come after the
   others.  */
static int64_t
forward_urgency (const forward_t *forward)
{
  int64_t urgency = forward->criteria.urgency;

  if (forward->criteria.is_late)
    urgency += LATE_URGENCY_INCREMENT;
  return urgency < RULES_MAX_URGENCY ? urgency : RULES_MAX_URGENCY;
}

static int
attempt_free (forward_attempt_t *attempt)
{
  memory_holder_end (&attempt->memory);
  return 0;
}

/* Send the request to CHOICE, whose strings belong to CHOICE_CTX.  On success
   the attempt takes ownership of CHOICE_CTX.  Returns false if the request
   cannot be sent; nothing has been sent then.  */
bool
attempt_start (forward_t *forward, const fleet_choice_t *choice,
               TALLOC_CTX *choice_ctx)
{
  relay_t *relay = forward->relay_worker->relay;
  forward_attempt_t *attempt = talloc_zero (forward, forward_attempt_t);
  const client_account_t *account = forward->account;
  egress_send_t send = {
    .request = forward->request,
    .upstream = choice->upstream,
    .address = choice->address,
    .account = account == NULL ? NULL : account->name,
    .time_left = forward_remaining_time (forward),
    .has_urgency = true,
    .urgency = forward_urgency (forward),
    .has_resume_after = forward->has_last_event,
    .resume_after = forward->last_event,
    /* A retry uses a new connection, because data that an upstream left on a
       reused one may have made the first attempt fail.  */
    .needs_own_connection
    = !route_is_repeatable (forward->route) || forward->sent_attempts > 0,
  };

  if (attempt == NULL)
    return false;
  attempt->choice = *choice;
  attempt->sent_at = clock_monotonic (relay->clock);
  attempt->rate_limit = -1;
  memory_holder_start (&attempt->memory,
                       worker_memory (forward->relay_worker->worker), NULL);
  talloc_set_destructor (attempt, attempt_free);
  STAILQ_INIT (&attempt->headers);
  attempt->call = relay->egress_ops->send (forward->relay_worker->egress,
                                           &send, &attempt_events, forward);
  if (attempt->call == NULL)
    {
      talloc_free (attempt);
      return false;
    }
  talloc_steal (attempt, choice_ctx);
  forward->attempt = attempt;
  attempt_timeout_start (forward);
  return true;
}

/* PENDING_BYTES of the response wait to be sent to the client.  Reading from
   the upstream pauses while they exceed a limit.  */
void
forward_set_pending_bytes (forward_t *forward, size_t pending_bytes)
{
  bool was_paused = forward->is_paused;

  forward->is_paused = pending_bytes > PENDING_HIGH_WATER_BYTES;
  if (was_paused && !forward->is_paused && forward->attempt != NULL)
    forward->relay_worker->relay->egress_ops->proceed (forward->attempt->call);
}
