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

/* The one place that decides whether work may reach the upstream.  Safe to
   call from every worker; it knows no messages.  */
typedef struct gate gate_t;

/* A piece of work; embedded in the request it stands for.  The caller sets the
   members of ITEM but policy_data.  */
typedef struct gate_work
{
  order_item_t item;
  STAILQ_ENTRY (gate_work) link; /* in a list handed to the caller */
  TAILQ_ENTRY (gate_work) unanswered_link;
  bool is_queued;
  bool is_started;
  bool is_unanswered; /* started, and no byte of the answer has come */
  struct timespec started_at;
  refusal_t refusal; /* why it left the queue without a start */
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

/* How loaded the upstream is, as told to the entries.  */
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
void gate_note_cold (gate_t *gate, const char *reason);
void gate_note_report (gate_t *gate, const admission_report_t *report,
                       struct timespec asked_at);
void gate_set_restart_suspected (gate_t *gate, bool is_suspected);
bool gate_is_open (gate_t *gate, refusal_t *refusal);
void gate_note_contact (gate_t *gate, const gate_contact_t *contact);
void gate_check_timeouts (gate_t *gate);
gate_verdict_t gate_offer (gate_t *gate, gate_work_t *work,
                           gate_refusal_t *refusal, gate_work_list_t *dropped);
void gate_note_first_byte (gate_t *gate, gate_work_t *work);
void gate_finish (gate_t *gate, gate_work_t *work,
                  const admission_sample_t *sample);
void gate_abort (gate_t *gate, gate_work_t *work);
bool gate_withdraw (gate_t *gate, gate_work_t *work);
void gate_dequeue_ready (gate_t *gate, gate_work_list_t *started,
                         gate_work_list_t *expired);
void gate_load (gate_t *gate, gate_load_t *load);

#endif
