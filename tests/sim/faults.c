#include "sim.h"

#include "kernel/log.h"

enum
{
  FAULT_PAUSE_MAX_MS = 1500,
  PAUSE_MAX_MS = 12000,
  CUT_MAX_MS = 8000,
  OUTAGE_MAX_MS = 10000,
  STORE_FAULTY_MAX_MS = 8000
};

typedef enum fault
{
  FAULT_KILL,
  FAULT_PAUSE,
  FAULT_CUT,
  FAULT_RESET,
  FAULT_STOP,
  FAULT_COLD,
  FAULT_STORE_DOWN,
  FAULT_STORE_FAULTY,
  FAULT_STORE_CUT,
  FAULT_COUNT
} fault_t;

static const char *const fault_names[]
    = { "kill", "pause",      "cut",          "reset",    "stop",
        "cold", "store-down", "store-faulty", "store-cut" };

/* What has to be undone.  */
typedef struct undo
{
  fault_t fault;
  sim_process_t *left;
  sim_process_t *right;
} undo_t;

static bool is_store_cut; /* from one process at a time */

static sim_process_t *
random_process (void)
{
  uint64_t skip = sim_random (sim_current->process_count);
  sim_process_t *process = STAILQ_FIRST (&sim_current->processes);

  while (skip-- > 0)
    process = STAILQ_NEXT (process, link);
  return process;
}

static void
fault_log (const char *what, fault_t fault, const sim_process_t *left,
           const sim_process_t *right)
{
  log_event (LOG_LEVEL_NOTICE, what, "fault=%s left=%s right=%s at_ms=%lld",
             fault_names[fault], left == NULL ? "" : left->name,
             right == NULL ? "" : right->name,
             (long long)timespec_to_ms (sim_now ()));
}

static void
fault_undo (const undo_t *undo)
{
  switch (undo->fault)
    {
    case FAULT_PAUSE:
      sim_process_thaw (undo->left);
      break;
    case FAULT_CUT:
      sim_net_cut (undo->left, undo->right, false);
      break;
    case FAULT_STORE_DOWN:
      sim_store_set_down (false);
      break;
    case FAULT_STORE_FAULTY:
      sim_store_set_faulty (false);
      break;
    case FAULT_STORE_CUT:
      undo->left->is_store_cut = false;
      is_store_cut = false;
      break;
    default:
      break;
    }
}

static void
undo_run (worker_t *worker, void *data)
{
  const undo_t *undo = data;

  (void)worker;
  fault_log ("fault-ends", undo->fault, undo->left, undo->right);
  fault_undo (undo);
  talloc_free (data);
}

static void
undo_later (fault_t fault, sim_process_t *left, sim_process_t *right,
            int64_t most_ms)
{
  undo_t *undo = talloc_zero (sim_current, undo_t);

  undo->fault = fault;
  undo->left = left;
  undo->right = right;
  sim_after (undo, sim_delay (most_ms * 1000), undo_run, undo);
}

static void
fault_cause (fault_t fault, sim_process_t *left, sim_process_t *right)
{
  switch (fault)
    {
    case FAULT_KILL:
      sim_process_kill (left);
      sim_process_restart_later (left);
      break;
    case FAULT_PAUSE:
      sim_process_freeze (left);
      undo_later (fault, left, NULL, PAUSE_MAX_MS);
      break;
    case FAULT_CUT:
      sim_net_cut (left, right, true);
      undo_later (fault, left, right, CUT_MAX_MS);
      break;
    case FAULT_RESET:
      sim_net_reset (left, right);
      break;
    case FAULT_STOP:
      sim_process_stop (left);
      break;
    case FAULT_COLD:
      if (left->upstream != NULL)
        sim_upstream_restart (left->upstream);
      break;
    case FAULT_STORE_DOWN:
      sim_store_set_down (true);
      undo_later (fault, NULL, NULL, OUTAGE_MAX_MS);
      break;
    case FAULT_STORE_FAULTY:
      sim_store_set_faulty (true);
      undo_later (fault, NULL, NULL, STORE_FAULTY_MAX_MS);
      break;
    case FAULT_STORE_CUT:
      if (is_store_cut)
        return;
      is_store_cut = left->is_store_cut = true;
      undo_later (fault, left, NULL, CUT_MAX_MS);
      break;
    case FAULT_COUNT:
      break;
    }
}

static void
faults_act (worker_t *worker, void *data)
{
  sim_process_t *left = random_process ();
  sim_process_t *right = random_process ();
  fault_t fault;

  (void)worker;
  if (sim_current->is_quiet)
    return;
  sim_after (data, sim_delay (FAULT_PAUSE_MAX_MS * 1000LL), faults_act, data);
  sim_current->counts.faults++;
  fault = (fault_t)sim_random (FAULT_COUNT);
  fault_log ("fault-begins", fault, left, right);
  fault_cause (fault, left, right);
}

/* Let faults begin.  */
void
sim_faults_create (void)
{
  TALLOC_CTX *memory = talloc_new (sim_current);

  sim_after (memory, sim_delay (FAULT_PAUSE_MAX_MS * 1000LL), faults_act,
             memory);
}
