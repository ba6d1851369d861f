#include "sim.h"

#include "kernel/log.h"

enum
{
  FAULT_INTERVAL_MAX_MS = 1500,
  PAUSE_MAX_MS = 12000,
  PARTITION_MAX_MS = 8000,
  STORE_OUTAGE_MAX_MS = 10000,
  STORE_FAULTY_MAX_MS = 8000
};

typedef enum fault
{
  FAULT_KILL,
  FAULT_PAUSE,
  FAULT_PARTITION,
  FAULT_RESET,
  FAULT_GRACEFUL_STOP,
  FAULT_UPSTREAM_RESTART,
  FAULT_STORE_DOWN,
  FAULT_STORE_FAULTY,
  FAULT_STORE_PARTITION,
  FAULT_COUNT
} fault_t;

static const char *const fault_names[]
    = { "kill", "pause",      "partition",    "reset",          "stop",
        "cold", "store-down", "store-faulty", "store-partition" };

/* A fault that ends after a random time, and the processes it affects.  */
typedef struct active_fault
{
  fault_t fault;
  sim_process_t *target;
  sim_process_t *peer;
} active_fault_t;

/* Whether any process is partitioned from the store; at most one is.  */
static bool has_store_partition;

static sim_process_t *
process_choose_random (void)
{
  uint64_t skip = sim_random (sim_current->process_count);
  sim_process_t *process = STAILQ_FIRST (&sim_current->processes);

  while (skip-- > 0)
    process = STAILQ_NEXT (process, link);
  return process;
}

static void
fault_log (const char *event, fault_t fault, const sim_process_t *target,
           const sim_process_t *peer)
{
  log_event (LOG_LEVEL_NOTICE, event, "fault=%s target=%s peer=%s at_ms=%lld",
             fault_names[fault], target == NULL ? "" : target->name,
             peer == NULL ? "" : peer->name,
             (long long)timespec_to_ms (sim_now ()));
}

static void
fault_revert (const active_fault_t *active)
{
  switch (active->fault)
    {
    case FAULT_PAUSE:
      sim_process_thaw (active->target);
      break;
    case FAULT_PARTITION:
      sim_net_set_partition (active->target, active->peer, false);
      break;
    case FAULT_STORE_DOWN:
      sim_store_set_down (false);
      break;
    case FAULT_STORE_FAULTY:
      sim_store_set_faulty (false);
      break;
    case FAULT_STORE_PARTITION:
      active->target->is_store_unreachable = false;
      has_store_partition = false;
      break;
    default:
      break;
    }
}

static void
fault_expire (worker_t *worker, void *data)
{
  const active_fault_t *active = data;

  (void)worker;
  fault_log ("fault-ends", active->fault, active->target, active->peer);
  fault_revert (active);
  talloc_free (data);
}

/* Revert FAULT after a random delay of up to MAX_MS.  */
static void
fault_schedule_end (fault_t fault, sim_process_t *target, sim_process_t *peer,
                    int64_t max_ms)
{
  active_fault_t *active = talloc_zero (sim_current, active_fault_t);

  active->fault = fault;
  active->target = target;
  active->peer = peer;
  sim_schedule (active, sim_random_delay (max_ms * 1000), fault_expire,
                active);
}

static void
fault_apply (fault_t fault, sim_process_t *target, sim_process_t *peer)
{
  switch (fault)
    {
    case FAULT_KILL:
      sim_process_kill (target);
      sim_process_schedule_restart (target);
      break;
    case FAULT_PAUSE:
      sim_process_freeze (target);
      fault_schedule_end (fault, target, NULL, PAUSE_MAX_MS);
      break;
    case FAULT_PARTITION:
      sim_net_set_partition (target, peer, true);
      fault_schedule_end (fault, target, peer, PARTITION_MAX_MS);
      break;
    case FAULT_RESET:
      sim_net_reset (target, peer);
      break;
    case FAULT_GRACEFUL_STOP:
      sim_process_stop (target);
      break;
    case FAULT_UPSTREAM_RESTART:
      if (target->upstream != NULL)
        sim_upstream_restart (target->upstream);
      break;
    case FAULT_STORE_DOWN:
      sim_store_set_down (true);
      fault_schedule_end (fault, NULL, NULL, STORE_OUTAGE_MAX_MS);
      break;
    case FAULT_STORE_FAULTY:
      sim_store_set_faulty (true);
      fault_schedule_end (fault, NULL, NULL, STORE_FAULTY_MAX_MS);
      break;
    case FAULT_STORE_PARTITION:
      if (has_store_partition)
        return;
      has_store_partition = target->is_store_unreachable = true;
      fault_schedule_end (fault, target, NULL, PARTITION_MAX_MS);
      break;
    case FAULT_COUNT:
      break;
    }
}

/* Inject one random fault and schedule the next.  The processes are chosen for
   each fault, also for faults that affect none or one of them.  */
static void
faults_inject_next (worker_t *worker, void *data)
{
  sim_process_t *target = process_choose_random ();
  sim_process_t *peer = process_choose_random ();
  fault_t fault;

  (void)worker;
  if (sim_current->is_settling)
    return;
  sim_schedule (data, sim_random_delay (FAULT_INTERVAL_MAX_MS * 1000LL),
                faults_inject_next, data);
  sim_current->counts.faults++;
  fault = (fault_t)sim_random (FAULT_COUNT);
  fault_log ("fault-begins", fault, target, peer);
  fault_apply (fault, target, peer);
}

/* Start the fault injection.  */
void
sim_faults_create (void)
{
  TALLOC_CTX *context = talloc_new (sim_current);

  sim_schedule (context, sim_random_delay (FAULT_INTERVAL_MAX_MS * 1000LL),
                faults_inject_next, context);
}
