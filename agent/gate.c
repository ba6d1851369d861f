#include "agent/gate.h"

#include "kernel/counter.h"
#include "kernel/invariant.h"
#include "kernel/lock.h"
#include "kernel/log.h"
#include "kernel/plugin.h"
#include "kernel/table.h"

#include <string.h>

enum
{
  RETRY_AFTER_MS = 500
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
  uint64_t queue_limit;
  uint64_t queued;
  uint64_t outstanding_requests;
  uint64_t outstanding_tokens;
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
  log_event (LOG_LEVEL_INFO, "upstream-cold", "upstream=%s reason=%s",
             gate->upstream, reason);
}

static bool
gate_is_closed (const gate_t *gate, gate_refusal_t *refusal)
{
  refusal->retry_after_ms = 0;
  if (!gate->is_configured)
    refusal->refusal = REFUSAL_ISOLATED;
  else if (gate->is_zone_out)
    refusal->refusal = REFUSAL_ZONE_OUT;
  else if (gate->is_draining || gate->is_leaving)
    refusal->refusal = REFUSAL_LEAVING;
  else
    return false;
  return true;
}

static bool
gate_has_room (const gate_t *gate, uint64_t tokens, struct timespec now)
{
  admission_limit_t limit;

  gate->admission_ops->limit (gate->admission, now, &limit);
  if (gate->outstanding_requests >= limit.requests)
    return false;
  /* A single request larger than the token limit runs alone.  */
  return gate->outstanding_requests == 0
         || gate->outstanding_tokens + tokens <= limit.tokens;
}

static void
gate_start (gate_t *gate, gate_work_t *work, struct timespec now)
{
  admission_limit_t limit;

  work->is_started = true;
  work->started_at = now;
  gate->outstanding_requests++;
  gate->outstanding_tokens += work->item.tokens;
  gate->admission_ops->limit (gate->admission, now, &limit);
  INVARIANT (gate->outstanding_requests <= limit.requests, "admission-limit");
}

static void
gate_update_gauges (const gate_t *gate, struct timespec now)
{
  admission_limit_t limit;

  gate->admission_ops->limit (gate->admission, now, &limit);
  counter_set (&outstanding_gauge, (int64_t)gate->outstanding_requests);
  counter_set (&queued_gauge, (int64_t)gate->queued);
  counter_set (&limit_gauge, (int64_t)limit.requests);
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
      refusal->refusal = REFUSAL_OVERLOAD;
      refusal->retry_after_ms = RETRY_AFTER_MS;
      return GATE_REFUSED;
    }
  if (victim != NULL)
    {
      gate_work_t *loser = CONTAINER_OF (victim, gate_work_t, item);

      gate->order_ops->remove (gate->order, victim, now, false);
      loser->is_queued = false;
      gate->queued--;
      STAILQ_INSERT_TAIL (dropped, loser, link);
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
  if (gate_is_closed (gate, refusal))
    verdict = GATE_REFUSED;
  else if (timespec_compare (work->item.deadline, now) <= 0)
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

/* Account for the end of started WORK.  SAMPLE is NULL when the upstream never
   saw it.  */
void
gate_finish (gate_t *gate, gate_work_t *work, const admission_sample_t *sample)
{
  struct timespec now = clock_monotonic (gate->clock);

  lock_acquire (gate->lock);
  if (work->is_started)
    {
      work->is_started = false;
      gate->outstanding_requests--;
      gate->outstanding_tokens -= work->item.tokens;
      if (sample != NULL)
        gate->admission_ops->note_end (gate->admission, sample,
                                       gate->outstanding_requests, now);
      gate_update_gauges (gate, now);
    }
  lock_release (gate->lock);
}

/* Take WORK out of the queue if it is there.  */
void
gate_withdraw (gate_t *gate, gate_work_t *work)
{
  lock_acquire (gate->lock);
  if (work->is_queued)
    {
      gate->order_ops->remove (gate->order, &work->item,
                               clock_monotonic (gate->clock), false);
      work->is_queued = false;
      gate->queued--;
    }
  lock_release (gate->lock);
}

/* Append to STARTED the queued work that may start now, and to EXPIRED what
   has missed its deadline or, on a closed gate, may not start any more.  */
void
gate_take_ready (gate_t *gate, gate_work_list_t *started,
                 gate_work_list_t *expired)
{
  struct timespec now = clock_monotonic (gate->clock);
  gate_refusal_t refusal;
  order_item_t *item;

  lock_acquire (gate->lock);
  while (gate->queued > 0
         && (item = gate->order_ops->peek (gate->order, now)) != NULL)
    {
      gate_work_t *work = CONTAINER_OF (item, gate_work_t, item);
      bool is_late = timespec_compare (item->deadline, now) <= 0
                     || gate_is_closed (gate, &refusal);

      if (!is_late && !gate_has_room (gate, item->tokens, now))
        break;
      gate->order_ops->remove (gate->order, item, now, !is_late);
      work->is_queued = false;
      gate->queued--;
      if (!is_late)
        gate_start (gate, work, now);
      STAILQ_INSERT_TAIL (is_late ? expired : started, work, link);
    }
  if (gate->is_configured)
    gate_update_gauges (gate, now);
  lock_release (gate->lock);
}

/* Set LOAD to the present state.  */
void
gate_load (gate_t *gate, gate_load_t *load)
{
  gate_refusal_t refusal;

  memset (load, 0, sizeof *load);
  lock_acquire (gate->lock);
  load->outstanding_requests = gate->outstanding_requests;
  load->outstanding_tokens = gate->outstanding_tokens;
  load->queued_requests = gate->queued;
  load->is_leaving = gate_is_closed (gate, &refusal);
  if (gate->admission != NULL)
    gate->admission_ops->limit (gate->admission, clock_monotonic (gate->clock),
                                &load->limit);
  lock_release (gate->lock);
}
