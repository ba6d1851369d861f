#ifndef SISKIN_AGENT_GATE_H
#define SISKIN_AGENT_GATE_H

#include "agent/gate_rules.h"
#include "common/outcome.h"
#include "common/settings.h"
#include "kernel/clock.h"
#include "plugins/admission.h"
#include "plugins/order.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/* Admission control for the upstream: the only place that decides whether work
   may be sent to it.  Thread-safe.  Requests and replies are encoded
   elsewhere; the gate sees only the size, account and deadline of work.  */
typedef struct gate gate_t;

/* A unit of work, embedded in the request that it belongs to.  The caller sets
   all members of ITEM except policy_data.  */
typedef struct gate_work
{
  order_item_t item;
  STAILQ_ENTRY (gate_work) link;         /* in a list returned to the caller */
  TAILQ_ENTRY (gate_work) awaiting_link; /* while is_awaiting_first_byte */
  bool is_queued;                        /* in the gate's queue */
  bool is_started; /* counted as outstanding on the upstream */
  /* Started, and no byte of the response has arrived.  */
  bool is_awaiting_first_byte;
  struct timespec started_at;
  /* Why it was removed from the queue without being started.  */
  refusal_t refusal;
} gate_work_t;

STAILQ_HEAD (gate_work_list, gate_work);
typedef struct gate_work_list gate_work_list_t;

typedef enum gate_verdict
{
  GATE_START,
  GATE_QUEUED,
  GATE_REFUSED
} gate_verdict_t;

typedef struct gate_refusal
{
  refusal_t refusal;
  uint64_t retry_after_ms; /* suggested delay before a retry; 0: none */
} gate_refusal_t;

/* Load of the upstream, as reported to the entries.  */
typedef struct gate_load
{
  uint64_t outstanding_requests;
  uint64_t outstanding_tokens;
  uint64_t queued_requests;
  admission_limit_t limit;
  /* The gate is closed, for any of the reasons listed at gate_is_open.  */
  bool is_leaving;
} gate_load_t;

gate_t *gate_create (TALLOC_CTX *parent, const char *upstream,
                     const char *zone, const clock_source_t *clock);
void gate_destroy (gate_t *gate);
status_t gate_configure (gate_t *gate, const settings_t *settings);
/* Refuse all new work from now on, because the agent stops.  This is only one
   of the reasons for which gate_load_t has is_leaving set.  */
void gate_set_leaving (gate_t *gate);
void gate_record_cold_start (gate_t *gate, const char *reason);
void gate_apply_report (gate_t *gate, const admission_report_t *report,
                        struct timespec requested_at);
/* Set whether the upstream may have restarted.  While this is set, the limits
   of a cold start are not exceeded.  */
void gate_set_restart_suspected (gate_t *gate, bool is_restart_suspected);
/* Return whether work may be sent to the upstream now, and set REFUSAL if not.
   The gate is closed before the first settings arrive, while gate_is_isolated
   holds, while the settings take the zone out of service, while they drain the
   upstream or don't contain it, and while the agent stops.  */
bool gate_is_open (gate_t *gate, refusal_t *refusal);
void gate_update_contact (gate_t *gate, const gate_contact_t *contact);
/* Call this a few times a second.  */
void gate_check_timeouts (gate_t *gate);
/* Start, queue or refuse WORK.  REFUSAL is set if it is refused.  EVICTED
   receives queued work that is dropped in favour of WORK.  */
gate_verdict_t gate_offer (gate_t *gate, gate_work_t *work,
                           gate_refusal_t *refusal, gate_work_list_t *evicted);
void gate_record_first_byte (gate_t *gate, gate_work_t *work);
/* The three ways in which work leaves the gate.  gate_finish: started work has
   ended on the upstream, or was never sent (SAMPLE is NULL).  gate_abort: the
   agent has aborted started work, which the upstream may still be processing.
   gate_withdraw: remove work that may still be queued; returns false if it was
   started, and the caller then has to finish or abort it.  */
void gate_finish (gate_t *gate, gate_work_t *work,
                  const admission_sample_t *sample);
void gate_abort (gate_t *gate, gate_work_t *work);
bool gate_withdraw (gate_t *gate, gate_work_t *work);
/* Remove from the queue the work that may start now (STARTED) and the work
   that can no longer run (REFUSED).  */
void gate_dequeue_ready (gate_t *gate, gate_work_list_t *started,
                         gate_work_list_t *refused);
void gate_load (gate_t *gate, gate_load_t *load);

#endif
