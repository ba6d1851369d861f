#ifndef SISKIN_AGENT_AGENT_H
#define SISKIN_AGENT_AGENT_H

#include "agent/gate.h"
#include "agent/group.h"
#include "agent/probe.h"
#include "common/daemon.h"
#include "common/link.h"
#include "kernel/table.h"
#include "plugins/journal.h"
#include "plugins/store.h"
#include "plugins/upstream.h"

#include <stdatomic.h>
#include <stdbool.h>
#include <sys/queue.h>

typedef struct agent agent_t;

/* A connection from an entry or from another agent of the group; owned by one
   worker.  */
typedef struct agent_peer
{
  LIST_ENTRY (agent_peer) peer_link;
  agent_t *agent;
  link_t *link;
  frame_load_t sent_load; /* last load report sent to this peer */
  struct timespec sent_load_at;
} agent_peer_t;

/* Per-worker state of the agent.  */
typedef struct agent_worker
{
  agent_t *agent;
  worker_t *worker;
  upstream_transport_t *transport;
  store_t *store;
  worker_timer_t *timer;
  node_subscription_t subscription; /* to new settings */
  LIST_HEAD (, agent_peer) peers;
  task_t load_report_task;           /* sends the due load reports */
  atomic_bool is_load_report_posted; /* LOAD_REPORT_TASK is queued */
} agent_worker_t;

struct agent
{
  daemon_t *daemon;
  node_t *node; /* identity and current settings of this process */
  gate_t *gate;
  probe_t *probe;
  /* Used on worker 0 only; NULL if the upstream is in no group.  */
  group_t *group;
  const upstream_ops_t *upstream_ops;
  const store_ops_t *store_ops;
  const journal_ops_t *journal_ops; /* set before JOURNAL is set */
  _Atomic (journal_t *) journal;    /* NULL until the first settings arrive */
  unsigned worker_count;
  agent_worker_t *workers;
  table_t *jobs;               /* job_t by request id */
  atomic_uint unfinished_jobs; /* jobs that have not ended */
  /* Revision of the settings applied last; worker 0 only.  */
  uint64_t configured_revision;
  listener_t *listener;
  uint64_t next_worker;   /* gets the next connection; worker 0 only */
  uint64_t ticks;         /* timer ticks so far; worker 0 only */
  atomic_uint peer_count; /* open connections, on all workers */
  /* Monotonic time at which the last frame from a process in another zone
     arrived; 0 before the first.  */
  atomic_int_fast64_t other_zone_contact_ms;
  atomic_bool has_other_zone; /* a process in another zone has connected */
  atomic_bool is_stopping;
  atomic_bool is_stop_posted;
  task_t stop_task;
  /* The entries have had time to learn of the stop: STOP_NOTICE_DELAY_MS have
     passed since it was announced to them in a load report.  Work that they
     sent before they received it is refused in that time.  Worker 0 only.  */
  bool is_stop_notice_over;
  bool is_finished; /* the stop is complete; worker 0 only */
  /* Limits how long a stop waits until the entries have received all results;
     worker 0 only.  */
  worker_timer_t *delivery_timer;
};

agent_worker_t *agent_worker_of (agent_t *agent, const worker_t *worker);
void agent_dispatch_queued (agent_t *agent);

#endif
