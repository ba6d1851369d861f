#ifndef SISKIN_AGENT_GATE_STATE_H
#define SISKIN_AGENT_GATE_STATE_H

#include "agent/aborted_work.h"
#include "agent/gate.h"
#include "kernel/lock.h"

/* Internal to gate.c, which keeps what the gate knows of the upstream, and to
   gate_queue.c, which starts, queues and refuses work.  The functions need the
   lock.  */

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

void gate_get_limit (const gate_t *gate, struct timespec now,
                     admission_limit_t *limit);
refusal_t gate_closed_reason (const gate_t *gate, struct timespec now);
void gate_update_gauges (const gate_t *gate, struct timespec now);

#endif
