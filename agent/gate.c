#include "agent/gate.h"

#include "agent/aborted_work.h"
#include "kernel/counter.h"
#include "kernel/invariant.h"
#include "kernel/lock.h"
#include "kernel/log.h"
#include "kernel/plugin.h"
#include "kernel/table.h"

#include <string.h>

enum
{
  RETRY_AFTER_MS = 500,
  /* Time for the upstream to stop work that was aborted.  */
  ABORTED_WORK_MAX_AGE_MS = 2000
};

COUNTER_DEFINE_LABELLED (offers_started, "siskin_gate_offers_total",
                         "verdict=\"start\"", "Work offered to the gate");
COUNTER_DEFINE_LABELLED (offers_queued, "siskin_gate_offers_total",
                         "verdict=\"queued\"", "Work offered to the gate");
COUNTER_DEFINE_LABELLED (offers_refused, "siskin_gate_offers_total",
                         "verdict=\"refused\"", "Work offered to the gate");
GAUGE_DEFINE (outstanding_gauge, "siskin_gate_outstanding_requests",
              "Requests on the upstream");
GAUGE_DEFINE (queued_gauge, "siskin_gate_queued_requests",
              "Requests that wait for the upstream");
GAUGE_DEFINE (limit_gauge, "siskin_gate_limit_requests",
              "Requests that the upstream may have at once");

struct gate
{
  const char *upstream;
  const char *zone;
  const clock_source_t *clock;
  lock_t *lock;
  const admission_ops_t *admission_ops;
  admission_t *admission;
  const order_ops_t *order_ops;
  order_t *order;
  bool is_configured;
  bool is_zone_out;
  bool is_draining;
  bool is_leaving;
  bool is_isolated; /* the state that was logged last */
  bool is_restart_suspected;
  gate_contact_t contact;
  struct timespec contact_at;
  admission_config_t config;
  struct timespec slow_first_token;
  gate_latency_t latency;
  TAILQ_HEAD (, gate_work) awaiting_first_byte; /* oldest first */
  aborted_work_list_t aborted_work;
  uint64_t queue_limit;
  uint64_t queued;
  /* Includes aborted work that may still run.  */
  admission_outstanding_t outstanding;
};

/* Create the gate of UPSTREAM in ZONE; both strings must outlive it.  All work
   is refused until gate_configure has succeeded.  */
gate_t *
gate_create (TALLOC_CTX *parent, const char *upstream, const char *zone,
             const clock_source_t *clock)
{
  gate_t *gate = talloc_zero (parent, gate_t);

  if (gate == NULL)
    return NULL;
  gate->upstream = upstream;
  gate->zone = zone;
  gate->clock = clock;
  gate->lock = lock_create (gate, LOCK_ADMISSION, "gate");
  TAILQ_INIT (&gate->awaiting_first_byte);
  STAILQ_INIT (&gate->aborted_work.items);
  return gate;
}

/* Free GATE.  No work may be queued or running.  */
void
gate_destroy (gate_t *gate)
{
  talloc_free (gate);
}

static admission_config_t
gate_admission_config (const settings_t *settings)
{
  const admission_settings_t *from = &settings->admission;

  return (admission_config_t){
    .cold_requests = (uint64_t)from->cold_requests,
    .cold_tokens = (uint64_t)from->cold_tokens,
    .maximum_requests = (uint64_t)from->maximum_requests,
    .maximum_tokens = (uint64_t)from->maximum_tokens,
    .slow_first_token = from->slow_first_token,
  };
}

static status_t
gate_create_policies (gate_t *gate, const settings_t *settings)
{
  admission_config_t config = gate_admission_config (settings);

  gate->admission_ops
      = plugin_ops (PLUGIN_ADMISSION, settings->admission.policy);
  gate->order_ops = plugin_ops (PLUGIN_ORDER, settings->admission.order);
  if (gate->admission_ops == NULL || gate->order_ops == NULL)
    return STATUS_NOT_FOUND;
  gate->admission = gate->admission_ops->create (
      gate, &config, clock_monotonic (gate->clock));
  gate->order = gate->order_ops->create (gate);
  return STATUS_OK;
}

/* Apply SETTINGS.  The first settings choose the policy plug-ins; later ones
   only change their parameters.  Returns STATUS_NOT_FOUND when a policy
   plug-in does not exist.  */
status_t
gate_configure (gate_t *gate, const settings_t *settings)
{
  const upstream_t *upstream = settings_upstream (settings, gate->upstream);
  admission_config_t config = gate_admission_config (settings);
  status_t status = STATUS_OK;

  lock_acquire (gate->lock);
  if (gate->admission == NULL)
    status = gate_create_policies (gate, settings);
  else
    gate->admission_ops->configure (gate->admission, &config);
  if (status == STATUS_OK)
    {
      gate->config = config;
      gate->slow_first_token = settings->admission.slow_first_token;
      gate->queue_limit = (uint64_t)settings->admission.queue_requests;
      gate->is_zone_out = !settings_zone_serves (settings, gate->zone);
      gate->is_draining = upstream == NULL || upstream->is_draining;
      gate->is_configured = true;
    }
  lock_release (gate->lock);
  return status;
}

/* Refuse all new work from now on, for a planned stop.  */
void
gate_set_leaving (gate_t *gate)
{
  lock_acquire (gate->lock);
  gate->is_leaving = true;
  lock_release (gate->lock);
}

/* Record a sign that the upstream is in cold start.  */
void
gate_record_cold_start (gate_t *gate, const char *reason)
{
  lock_acquire (gate->lock);
  if (gate->admission != NULL)
    gate->admission_ops->record_cold_start (
        gate->admission, clock_monotonic (gate->clock), reason);
  lock_release (gate->lock);
  log_event (LOG_LEVEL_NOTICE, "upstream-cold", "upstream=%s reason=%s",
             gate->upstream, reason);
}

/* Subtract aborted work that has ended from the outstanding work.  */
static void
gate_subtract_ended (gate_t *gate, const admission_outstanding_t *released)
{
  gate->outstanding.requests -= released->requests;
  gate->outstanding.tokens -= released->tokens;
}

/* Process a load report of the upstream that was requested at REQUESTED_AT.
   The number of running requests in it is an upper bound for the work that was
   aborted before that and still runs.  */
void
gate_apply_report (gate_t *gate, const admission_report_t *report,
                   struct timespec requested_at)
{
  admission_outstanding_t released = { 0, 0 };

  lock_acquire (gate->lock);
  if (gate->admission != NULL)
    gate->admission_ops->record_report (gate->admission, report,
                                        clock_monotonic (gate->clock));
  if (report->has_running)
    aborted_work_limit_count (&gate->aborted_work, report->running,
                              requested_at, &released);
  gate_subtract_ended (gate, &released);
  lock_release (gate->lock);
}

/* Return whether the gate is isolated at NOW.  Adds the time since the last
   gate_update_contact to the ages, so that time in which this process was
   paused counts as well.  */
static bool
gate_is_isolated_at (const gate_t *gate, struct timespec now)
{
  gate_contact_t contact = gate->contact;
  int64_t age_ms = timespec_to_ms (timespec_subtract (now, gate->contact_at));

  contact.confirmed_age_ms += (uint64_t)age_ms;
  contact.other_zone_age_ms += (uint64_t)age_ms;
  return gate_is_isolated (&contact);
}

/* Record how recently the settings could be verified.  */
void
gate_update_contact (gate_t *gate, const gate_contact_t *contact)
{
  bool is_isolated = gate_is_isolated (contact);
  bool was_isolated;

  lock_acquire (gate->lock);
  was_isolated = gate->is_isolated;
  gate->is_isolated = is_isolated;
  gate->contact = *contact;
  gate->contact_at = clock_monotonic (gate->clock);
  lock_release (gate->lock);
  if (is_isolated != was_isolated)
    log_event (LOG_LEVEL_WARN, is_isolated ? "isolated" : "contact-restored",
               "upstream=%s confirmed_age_ms=%llu other_zone_age_ms=%llu",
               gate->upstream, (unsigned long long)contact->confirmed_age_ms,
               (unsigned long long)contact->other_zone_age_ms);
}

/* Set whether the upstream may have restarted.  Until that is ruled out, the
   limits of a cold start apply.  */
void
gate_set_restart_suspected (gate_t *gate, bool is_restart_suspected)
{
  lock_acquire (gate->lock);
  gate->is_restart_suspected = is_restart_suspected;
  lock_release (gate->lock);
}

/* Set LIMIT to the upstream's limits at NOW.  */
static void
gate_get_limit (const gate_t *gate, struct timespec now,
                admission_limit_t *limit)
{
  gate->admission_ops->limit (gate->admission, now, limit);
  if (!gate->is_restart_suspected)
    return;
  if (limit->requests > gate->config.cold_requests)
    limit->requests = gate->config.cold_requests;
  if (limit->tokens > gate->config.cold_tokens)
    limit->tokens = gate->config.cold_tokens;
  limit->is_cold = true;
}

/* Return whether the first byte of the oldest work without one is overdue.
   Such work is removed from the list, so that it is reported only once.  */
static bool
gate_remove_overdue (gate_t *gate, struct timespec now)
{
  gate_work_t *oldest = TAILQ_FIRST (&gate->awaiting_first_byte);

  if (oldest == NULL
      || timespec_compare (timespec_subtract (now, oldest->started_at),
                           gate->slow_first_token)
             <= 0)
    return false;
  TAILQ_REMOVE (&gate->awaiting_first_byte, oldest, awaiting_link);
  oldest->is_awaiting_first_byte = false;
  return true;
}

/* Report the upstream as cold if a first byte is overdue, and stop counting
   aborted work that is older than ABORTED_WORK_MAX_AGE_MS.  Call this a few
   times a second.  */
void
gate_check_timeouts (gate_t *gate)
{
  struct timespec now = clock_monotonic (gate->clock);
  struct timespec oldest
      = timespec_subtract (now, timespec_from_ms (ABORTED_WORK_MAX_AGE_MS));
  admission_outstanding_t released = { 0, 0 };
  bool is_slow;

  lock_acquire (gate->lock);
  is_slow = gate_remove_overdue (gate, now);
  aborted_work_remove_until (&gate->aborted_work, oldest, &released);
  gate_subtract_ended (gate, &released);
  lock_release (gate->lock);
  if (is_slow)
    gate_record_cold_start (gate, "slow-first-token");
}

/* Return why no work may start at NOW, or REFUSAL_NONE if it may.  */
static refusal_t
gate_closed_reason (const gate_t *gate, struct timespec now)
{
  if (!gate->is_configured || gate_is_isolated_at (gate, now))
    return REFUSAL_ISOLATED;
  if (gate->is_zone_out)
    return REFUSAL_ZONE_OUT;
  if (gate->is_draining || gate->is_leaving)
    return REFUSAL_LEAVING;
  return REFUSAL_NONE;
}

/* Return whether work may be sent to the upstream now.  If not, *REFUSAL is
   the reason, see gate_closed_reason.  */
bool
gate_is_open (gate_t *gate, refusal_t *refusal)
{
  lock_acquire (gate->lock);
  *refusal = gate_closed_reason (gate, clock_monotonic (gate->clock));
  lock_release (gate->lock);
  return *refusal == REFUSAL_NONE;
}

static bool
gate_has_room (const gate_t *gate, uint64_t tokens, struct timespec now)
{
  admission_limit_t limit;

  gate_get_limit (gate, now, &limit);
  if (gate->outstanding.requests >= limit.requests)
    return false;
  /* A single request larger than the token limit may run alone.  */
  return gate->outstanding.requests == 0
         || gate->outstanding.tokens + tokens <= limit.tokens;
}

/* Count WORK as running on the upstream.  */
static void
gate_start (gate_t *gate, gate_work_t *work, struct timespec now)
{
  admission_limit_t limit;

  work->is_started = true;
  work->started_at = now;
  work->is_awaiting_first_byte = true;
  TAILQ_INSERT_TAIL (&gate->awaiting_first_byte, work, awaiting_link);
  gate->outstanding.requests++;
  gate->outstanding.tokens += work->item.tokens;
  gate_get_limit (gate, now, &limit);
  INVARIANT (gate->outstanding.requests <= limit.requests, "admission-limit");
}

static void
gate_update_gauges (const gate_t *gate, struct timespec now)
{
  admission_limit_t limit;

  gate_get_limit (gate, now, &limit);
  counter_set (&outstanding_gauge, (int64_t)gate->outstanding.requests);
  counter_set (&queued_gauge, (int64_t)gate->queued);
  counter_set (&limit_gauge, (int64_t)limit.requests);
}

static bool
gate_is_cold (const gate_t *gate, struct timespec now)
{
  admission_limit_t limit;

  gate_get_limit (gate, now, &limit);
  return limit.is_cold;
}

static gate_work_t *
gate_dequeue (gate_t *gate, order_item_t *item, struct timespec now,
              bool is_served)
{
  gate_work_t *work = CONTAINER_OF (item, gate_work_t, item);

  gate->order_ops->remove (gate->order, item, now, is_served);
  work->is_queued = false;
  gate->queued--;
  return work;
}

/* Remove ITEM from the queue and append its work to REFUSED with the reason
   REFUSAL.  */
static void
gate_refuse_queued (gate_t *gate, order_item_t *item, struct timespec now,
                    refusal_t refusal, gate_work_list_t *refused)
{
  gate_work_t *work = gate_dequeue (gate, item, now, false);

  work->refusal = refusal;
  STAILQ_INSERT_TAIL (refused, work, link);
}

/* Queue WORK.  If the queue is full, the queueing policy selects the work to
   refuse, which may be WORK itself.  */
static gate_verdict_t
gate_enqueue (gate_t *gate, gate_work_t *work, struct timespec now,
              gate_refusal_t *refusal, gate_work_list_t *evicted)
{
  order_item_t *evicted_item = NULL;

  if (gate->queued >= gate->queue_limit)
    evicted_item = gate->order_ops->choose_drop (gate->order, &work->item);
  if (evicted_item == &work->item)
    {
      refusal->refusal
          = gate_is_cold (gate, now) ? REFUSAL_COLD : REFUSAL_OVERLOAD;
      refusal->retry_after_ms = RETRY_AFTER_MS;
      return GATE_REFUSED;
    }
  if (evicted_item != NULL)
    {
      gate_refuse_queued (gate, evicted_item, now, REFUSAL_OVERLOAD, evicted);
    }
  gate->order_ops->push (gate->order, &work->item, now);
  work->is_queued = true;
  gate->queued++;
  return GATE_QUEUED;
}

/* Start, queue or refuse new WORK.  REFUSAL is set when the verdict is
   GATE_REFUSED.  Queued work that was evicted in favour of WORK is appended to
   EVICTED.  */
gate_verdict_t
gate_offer (gate_t *gate, gate_work_t *work, gate_refusal_t *refusal,
            gate_work_list_t *evicted)
{
  struct timespec now = clock_monotonic (gate->clock);
  gate_verdict_t verdict;

  lock_acquire (gate->lock);
  refusal->retry_after_ms = 0;
  refusal->refusal = gate_closed_reason (gate, now);
  if (refusal->refusal != REFUSAL_NONE)
    verdict = GATE_REFUSED;
  else if (!gate_latency_allows (&gate->latency, work->item.tokens,
                                 work->item.deadline, now))
    {
      refusal->refusal = REFUSAL_DEADLINE;
      verdict = GATE_REFUSED;
    }
  else if (gate->queued == 0 && gate_has_room (gate, work->item.tokens, now))
    {
      gate_start (gate, work, now);
      verdict = GATE_START;
    }
  else
    verdict = gate_enqueue (gate, work, now, refusal, evicted);
  if (gate->is_configured)
    gate_update_gauges (gate, now);
  lock_release (gate->lock);
  counter_add (verdict == GATE_START    ? &offers_started
               : verdict == GATE_QUEUED ? &offers_queued
                                        : &offers_refused,
               1);
  return verdict;
}

static void
gate_stop_awaiting (gate_t *gate, gate_work_t *work)
{
  if (!work->is_awaiting_first_byte)
    return;
  work->is_awaiting_first_byte = false;
  TAILQ_REMOVE (&gate->awaiting_first_byte, work, awaiting_link);
}

/* Record that the first byte of the response to WORK has arrived.  */
void
gate_record_first_byte (gate_t *gate, gate_work_t *work)
{
  lock_acquire (gate->lock);
  gate_stop_awaiting (gate, work);
  lock_release (gate->lock);
}

/* Record the end of WORK, if it was started.  SAMPLE is NULL when the upstream
   did not receive the work.  */
void
gate_finish (gate_t *gate, gate_work_t *work, const admission_sample_t *sample)
{
  struct timespec now = clock_monotonic (gate->clock);
  admission_outstanding_t before;

  lock_acquire (gate->lock);
  if (work->is_started)
    {
      before = gate->outstanding;
      work->is_started = false;
      gate_stop_awaiting (gate, work);
      gate->outstanding.requests--;
      gate->outstanding.tokens -= work->item.tokens;
      if (sample != NULL)
        {
          gate_latency_record (&gate->latency, sample, now);
          gate->admission_ops->record_end (gate->admission, sample, &before,
                                           now);
        }
      gate_update_gauges (gate, now);
    }
  lock_release (gate->lock);
}

/* Record that started WORK was aborted by this agent.  It counts as
   outstanding until a report shows that the upstream has dropped it, or until
   ABORTED_WORK_MAX_AGE_MS have passed.  */
void
gate_abort (gate_t *gate, gate_work_t *work)
{
  lock_acquire (gate->lock);
  if (work->is_started)
    {
      work->is_started = false;
      gate_stop_awaiting (gate, work);
      aborted_work_add (&gate->aborted_work, gate, work->item.tokens,
                        clock_monotonic (gate->clock));
    }
  lock_release (gate->lock);
}

/* Remove WORK from the queue if it is queued.  Returns false when it has
   already been started.  */
bool
gate_withdraw (gate_t *gate, gate_work_t *work)
{
  bool is_started;

  lock_acquire (gate->lock);
  if (work->is_queued)
    gate_dequeue (gate, &work->item, clock_monotonic (gate->clock), false);
  is_started = work->is_started;
  lock_release (gate->lock);
  return !is_started;
}

static void
gate_start_queued (gate_t *gate, order_item_t *item, struct timespec now,
                   gate_work_list_t *started)
{
  gate_work_t *work = gate_dequeue (gate, item, now, true);

  gate_start (gate, work, now);
  STAILQ_INSERT_TAIL (started, work, link);
}

/* Append to STARTED the queued work that may start now, and to REFUSED the
   queued work that cannot meet its deadline or that a closed gate no longer
   admits.  */
void
gate_dequeue_ready (gate_t *gate, gate_work_list_t *started,
                    gate_work_list_t *refused)
{
  struct timespec now = clock_monotonic (gate->clock);
  refusal_t closed_reason;
  order_item_t *item;

  lock_acquire (gate->lock);
  closed_reason = gate_closed_reason (gate, now);
  while (gate->queued > 0
         && (item = gate->order_ops->find_expired (gate->order, now)) != NULL)
    gate_refuse_queued (gate, item, now, REFUSAL_DEADLINE, refused);
  while (gate->queued > 0
         && (item = gate->order_ops->peek (gate->order, now)) != NULL)
    {
      if (closed_reason != REFUSAL_NONE)
        gate_refuse_queued (gate, item, now, closed_reason, refused);
      else if (!gate_latency_allows (&gate->latency, item->tokens,
                                     item->deadline, now))
        gate_refuse_queued (gate, item, now, REFUSAL_DEADLINE, refused);
      else if (gate_has_room (gate, item->tokens, now))
        gate_start_queued (gate, item, now, started);
      else
        break;
    }
  if (gate->is_configured)
    gate_update_gauges (gate, now);
  lock_release (gate->lock);
}

/* Set LOAD to the current load.  */
void
gate_load (gate_t *gate, gate_load_t *load)
{
  struct timespec now = clock_monotonic (gate->clock);

  memset (load, 0, sizeof *load);
  lock_acquire (gate->lock);
  load->outstanding_requests = gate->outstanding.requests;
  load->outstanding_tokens = gate->outstanding.tokens;
  load->queued_requests = gate->queued;
  load->is_leaving = gate_closed_reason (gate, now) != REFUSAL_NONE;
  if (gate->admission != NULL)
    gate_get_limit (gate, now, &load->limit);
  lock_release (gate->lock);
}
