#include "agent/gate.h"

#include "agent/broken_off.h"
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
  BROKEN_OFF_MAX_MS = 2000 /* for the upstream to drop what was cancelled */
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
  bool is_isolated; /* as last logged */
  bool is_suspected;
  gate_contact_t contact;
  struct timespec contact_at;
  admission_config_t config;
  struct timespec slow_first_token;
  gate_latency_t pace;
  TAILQ_HEAD (, gate_work) unanswered; /* oldest first */
  aborted_work_list_t broken_off;
  uint64_t queue_limit;
  uint64_t queued;
  admission_outstanding_t outstanding; /* what was broken off included */
};

/* Create the gate of UPSTREAM in ZONE, both kept by reference.  It refuses all
   work until it has been configured.  */
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
  TAILQ_INIT (&gate->unanswered);
  STAILQ_INIT (&gate->broken_off.items);
  return gate;
}

/* Free GATE; no work may be queued or started.  */
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

/* Put SETTINGS in force.  The policies are chosen by the first settings seen;
   later ones change their numbers.  Returns STATUS_NOT_FOUND when a policy
   does not exist.  */
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

/* Refuse all new work from now on, for the planned stop.  */
void
gate_set_leaving (gate_t *gate)
{
  lock_acquire (gate->lock);
  gate->is_leaving = true;
  lock_release (gate->lock);
}

/* Note a sign that the upstream is in cold start.  */
void
gate_note_cold (gate_t *gate, const char *reason)
{
  lock_acquire (gate->lock);
  if (gate->admission != NULL)
    gate->admission_ops->note_cold (gate->admission,
                                    clock_monotonic (gate->clock), reason);
  lock_release (gate->lock);
  log_event (LOG_LEVEL_NOTICE, "upstream-cold", "upstream=%s reason=%s",
             gate->upstream, reason);
}

/* Stop to count what was broken off and is gone.  */
static void
gate_uncount (gate_t *gate, const admission_outstanding_t *gone)
{
  gate->outstanding.requests -= gone->requests;
  gate->outstanding.tokens -= gone->tokens;
}

/* Take in the upstream's own word, asked for at ASKED_AT.  Of what was broken
   off before that, no more can be left than the upstream has at all.  */
void
gate_note_report (gate_t *gate, const admission_report_t *report,
                  struct timespec asked_at)
{
  admission_outstanding_t gone = { 0, 0 };

  lock_acquire (gate->lock);
  if (gate->admission != NULL)
    gate->admission_ops->note_report (gate->admission, report,
                                      clock_monotonic (gate->clock));
  if (report->has_running)
    aborted_work_limit_count (&gate->broken_off, report->running, asked_at,
                              &gone);
  gate_uncount (gate, &gone);
  lock_release (gate->lock);
}

/* Return whether the gate is isolated at NOW.  What is known of the contact
   grows older, also while this process is paused.  */
static bool
gate_is_cut_off (const gate_t *gate, struct timespec now)
{
  gate_contact_t contact = gate->contact;
  int64_t age_ms = timespec_to_ms (timespec_subtract (now, gate->contact_at));

  contact.confirmed_age_ms += (uint64_t)age_ms;
  contact.other_zone_age_ms += (uint64_t)age_ms;
  return gate_is_isolated (&contact);
}

/* Take in how recently others were heard.  */
void
gate_note_contact (gate_t *gate, const gate_contact_t *contact)
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

/* Note whether the upstream may have restarted: until it is known that it has
   not, it gets no more than it bears in cold start.  */
void
gate_set_restart_suspected (gate_t *gate, bool is_suspected)
{
  lock_acquire (gate->lock);
  gate->is_suspected = is_suspected;
  lock_release (gate->lock);
}

/* Set LIMIT to what the upstream may have at NOW.  */
static void
gate_limit (const gate_t *gate, struct timespec now, admission_limit_t *limit)
{
  gate->admission_ops->limit (gate->admission, now, limit);
  if (!gate->is_suspected)
    return;
  if (limit->requests > gate->config.cold_requests)
    limit->requests = gate->config.cold_requests;
  if (limit->tokens > gate->config.cold_tokens)
    limit->tokens = gate->config.cold_tokens;
  limit->is_cold = true;
}

static bool
gate_has_slow_start (gate_t *gate, struct timespec now)
{
  gate_work_t *oldest = TAILQ_FIRST (&gate->unanswered);

  if (oldest == NULL
      || timespec_compare (timespec_subtract (now, oldest->started_at),
                           gate->slow_first_token)
             <= 0)
    return false;
  TAILQ_REMOVE (&gate->unanswered, oldest, unanswered_link);
  oldest->is_unanswered = false;
  return true;
}

/* Look for work whose first byte is overdue, and stop counting what was broken
   off long ago.  To be called a few times a second.  */
void
gate_check_timeouts (gate_t *gate)
{
  struct timespec now = clock_monotonic (gate->clock);
  struct timespec oldest
      = timespec_subtract (now, timespec_from_ms (BROKEN_OFF_MAX_MS));
  admission_outstanding_t gone = { 0, 0 };
  bool is_slow;

  lock_acquire (gate->lock);
  is_slow = gate_has_slow_start (gate, now);
  aborted_work_remove_until (&gate->broken_off, oldest, &gone);
  gate_uncount (gate, &gone);
  lock_release (gate->lock);
  if (is_slow)
    gate_note_cold (gate, "slow-first-token");
}

/* Return why no work may start at NOW, REFUSAL_NONE when it may.  */
static refusal_t
gate_closed_by (const gate_t *gate, struct timespec now)
{
  if (!gate->is_configured || gate_is_cut_off (gate, now))
    return REFUSAL_ISOLATED;
  if (gate->is_zone_out)
    return REFUSAL_ZONE_OUT;
  if (gate->is_draining || gate->is_leaving)
    return REFUSAL_LEAVING;
  return REFUSAL_NONE;
}

/* Return whether work may be handed to the upstream at this moment, and set
   REFUSAL if not.  */
bool
gate_is_open (gate_t *gate, refusal_t *refusal)
{
  lock_acquire (gate->lock);
  *refusal = gate_closed_by (gate, clock_monotonic (gate->clock));
  lock_release (gate->lock);
  return *refusal == REFUSAL_NONE;
}

static bool
gate_has_room (const gate_t *gate, uint64_t tokens, struct timespec now)
{
  admission_limit_t limit;

  gate_limit (gate, now, &limit);
  if (gate->outstanding.requests >= limit.requests)
    return false;
  /* A single request larger than the token limit runs alone.  */
  return gate->outstanding.requests == 0
         || gate->outstanding.tokens + tokens <= limit.tokens;
}

static void
gate_start (gate_t *gate, gate_work_t *work, struct timespec now)
{
  admission_limit_t limit;

  work->is_started = true;
  work->started_at = now;
  work->is_unanswered = true;
  TAILQ_INSERT_TAIL (&gate->unanswered, work, unanswered_link);
  gate->outstanding.requests++;
  gate->outstanding.tokens += work->item.tokens;
  gate_limit (gate, now, &limit);
  INVARIANT (gate->outstanding.requests <= limit.requests, "admission-limit");
}

static void
gate_update_gauges (const gate_t *gate, struct timespec now)
{
  admission_limit_t limit;

  gate_limit (gate, now, &limit);
  counter_set (&outstanding_gauge, (int64_t)gate->outstanding.requests);
  counter_set (&queued_gauge, (int64_t)gate->queued);
  counter_set (&limit_gauge, (int64_t)limit.requests);
}

static bool
gate_is_cold (const gate_t *gate, struct timespec now)
{
  admission_limit_t limit;

  gate_limit (gate, now, &limit);
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

static void
gate_expire (gate_t *gate, order_item_t *item, struct timespec now,
             refusal_t refusal, gate_work_list_t *expired)
{
  gate_work_t *work = gate_dequeue (gate, item, now, false);

  work->refusal = refusal;
  STAILQ_INSERT_TAIL (expired, work, link);
}

static gate_verdict_t
gate_enqueue (gate_t *gate, gate_work_t *work, struct timespec now,
              gate_refusal_t *refusal, gate_work_list_t *dropped)
{
  order_item_t *victim = NULL;

  if (gate->queued >= gate->queue_limit)
    victim = gate->order_ops->victim (gate->order, &work->item);
  if (victim == &work->item)
    {
      refusal->refusal
          = gate_is_cold (gate, now) ? REFUSAL_COLD : REFUSAL_OVERLOAD;
      refusal->retry_after_ms = RETRY_AFTER_MS;
      return GATE_REFUSED;
    }
  if (victim != NULL)
    {
      gate_expire (gate, victim, now, REFUSAL_OVERLOAD, dropped);
    }
  gate->order_ops->push (gate->order, &work->item, now);
  work->is_queued = true;
  gate->queued++;
  return GATE_QUEUED;
}

/* Decide on new WORK.  REFUSAL is set when the verdict is GATE_REFUSED.  Work
   that lost its place in the queue to WORK is appended to DROPPED.  */
gate_verdict_t
gate_offer (gate_t *gate, gate_work_t *work, gate_refusal_t *refusal,
            gate_work_list_t *dropped)
{
  struct timespec now = clock_monotonic (gate->clock);
  gate_verdict_t verdict;

  lock_acquire (gate->lock);
  refusal->retry_after_ms = 0;
  refusal->refusal = gate_closed_by (gate, now);
  if (refusal->refusal != REFUSAL_NONE)
    verdict = GATE_REFUSED;
  else if (!gate_latency_allows (&gate->pace, work->item.tokens,
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
    verdict = gate_enqueue (gate, work, now, refusal, dropped);
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
gate_end_unanswered (gate_t *gate, gate_work_t *work)
{
  if (!work->is_unanswered)
    return;
  work->is_unanswered = false;
  TAILQ_REMOVE (&gate->unanswered, work, unanswered_link);
}

/* The first byte of the answer to WORK has come.  */
void
gate_note_first_byte (gate_t *gate, gate_work_t *work)
{
  lock_acquire (gate->lock);
  gate_end_unanswered (gate, work);
  lock_release (gate->lock);
}

/* Account for the end of started WORK.  SAMPLE is NULL when the upstream never
   saw it.  */
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
      gate_end_unanswered (gate, work);
      gate->outstanding.requests--;
      gate->outstanding.tokens -= work->item.tokens;
      if (sample != NULL)
        {
          gate_latency_note (&gate->pace, sample, now);
          gate->admission_ops->note_end (gate->admission, sample, &before,
                                         now);
        }
      gate_update_gauges (gate, now);
    }
  lock_release (gate->lock);
}

/* Started WORK was broken off on this side.  It keeps its place until the
   upstream is known to have dropped it, or some time has passed.  */
void
gate_abort (gate_t *gate, gate_work_t *work)
{
  lock_acquire (gate->lock);
  if (work->is_started)
    {
      work->is_started = false;
      gate_end_unanswered (gate, work);
      aborted_work_add (&gate->broken_off, gate, work->item.tokens,
                        clock_monotonic (gate->clock));
    }
  lock_release (gate->lock);
}

/* Take WORK out of the queue if it is there.  Returns false when it has been
   let start instead.  */
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

/* Append to STARTED the queued work that may start now, and to EXPIRED what
   can no longer meet its deadline or, on a closed gate, may not start any
   more.  */
void
gate_dequeue_ready (gate_t *gate, gate_work_list_t *started,
                    gate_work_list_t *expired)
{
  struct timespec now = clock_monotonic (gate->clock);
  refusal_t closed_by;
  order_item_t *item;

  lock_acquire (gate->lock);
  closed_by = gate_closed_by (gate, now);
  while (gate->queued > 0
         && (item = gate->order_ops->late (gate->order, now)) != NULL)
    gate_expire (gate, item, now, REFUSAL_DEADLINE, expired);
  while (gate->queued > 0
         && (item = gate->order_ops->peek (gate->order, now)) != NULL)
    {
      if (closed_by != REFUSAL_NONE)
        gate_expire (gate, item, now, closed_by, expired);
      else if (!gate_latency_allows (&gate->pace, item->tokens, item->deadline,
                                     now))
        gate_expire (gate, item, now, REFUSAL_DEADLINE, expired);
      else if (gate_has_room (gate, item->tokens, now))
        gate_start_queued (gate, item, now, started);
      else
        break;
    }
  if (gate->is_configured)
    gate_update_gauges (gate, now);
  lock_release (gate->lock);
}

/* Set LOAD to the present state.  */
void
gate_load (gate_t *gate, gate_load_t *load)
{
  struct timespec now = clock_monotonic (gate->clock);

  memset (load, 0, sizeof *load);
  lock_acquire (gate->lock);
  load->outstanding_requests = gate->outstanding.requests;
  load->outstanding_tokens = gate->outstanding.tokens;
  load->queued_requests = gate->queued;
  load->is_leaving = gate_closed_by (gate, now) != REFUSAL_NONE;
  if (gate->admission != NULL)
    gate_limit (gate, now, &load->limit);
  lock_release (gate->lock);
}
