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
   may be sent to it.  Thread-safe; independent of the message format.  */
typedef struct gate gate_t;

/* A unit of work, embedded in the request that it belongs to.  The caller sets
   all members of ITEM except policy_data.  */
typedef struct gate_work
{
  order_item_t item;
  STAILQ_ENTRY (gate_work) link; /* in a list returned to the caller */
  TAILQ_ENTRY (gate_work) awaiting_link;
  bool is_queued;
  bool is_started;
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
  uint64_t retry_after_ms;
} gate_refusal_t;

/* Load of the upstream, as reported to the entries.  */
typedef struct gate_load
{
  uint64_t outstanding_requests;
  uint64_t outstanding_tokens;
  uint64_t queued_requests;
  admission_limit_t limit;
  bool is_leaving;
} gate_load_t;

gate_t *gate_create (TALLOC_CTX *parent, const char *upstream,
                     const char *zone, const clock_source_t *clock);
void gate_destroy (gate_t *gate);
status_t gate_configure (gate_t *gate, const settings_t *settings);
void gate_set_leaving (gate_t *gate);
void gate_record_cold_start (gate_t *gate, const char *reason);
void gate_apply_report (gate_t *gate, const admission_report_t *report,
                        struct timespec requested_at);
void gate_set_restart_suspected (gate_t *gate, bool is_restart_suspected);
bool gate_is_open (gate_t *gate, refusal_t *refusal);
void gate_update_contact (gate_t *gate, const gate_contact_t *contact);
void gate_check_timeouts (gate_t *gate);
gate_verdict_t gate_offer (gate_t *gate, gate_work_t *work,
                           gate_refusal_t *refusal, gate_work_list_t *evicted);
void gate_record_first_byte (gate_t *gate, gate_work_t *work);
void gate_finish (gate_t *gate, gate_work_t *work,
                  const admission_sample_t *sample);
void gate_abort (gate_t *gate, gate_work_t *work);
bool gate_withdraw (gate_t *gate, gate_work_t *work);
void gate_dequeue_ready (gate_t *gate, gate_work_list_t *started,
                         gate_work_list_t *refused);
void gate_load (gate_t *gate, gate_load_t *load);

#endif
