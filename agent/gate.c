#include "agent/gate_state.h"

#include "kernel/counter.h"
#include "kernel/log.h"
#include "kernel/plugin.h"

#include <string.h>

enum
{
  /* Time for the upstream to stop work that was aborted.  */
  ABORTED_WORK_MAX_AGE_MS = 2000
};

GAUGE_DEFINE (outstanding_gauge, "siskin_gate_outstanding_requests",
              "Requests on the upstream");
GAUGE_DEFINE (queued_gauge, "siskin_gate_queued_requests",
              "Requests that wait for the upstream");
GAUGE_DEFINE (limit_gauge, "siskin_gate_limit_requests",
              "Requests that the upstream may have at once");

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
void
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
refusal_t
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

/* Set the gauges to the state at NOW.  The gate must be configured.  */
void
gate_update_gauges (const gate_t *gate, struct timespec now)
{
  admission_limit_t limit;

  gate_get_limit (gate, now, &limit);
  counter_set (&outstanding_gauge, (int64_t)gate->outstanding.requests);
  counter_set (&queued_gauge, (int64_t)gate->queued);
  counter_set (&limit_gauge, (int64_t)limit.requests);
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
