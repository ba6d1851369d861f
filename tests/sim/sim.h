#ifndef SISKIN_TESTS_SIM_H
#define SISKIN_TESTS_SIM_H

#include "common/daemon.h"
#include "common/transport.h"
#include "kernel/scheduler.h"
#include "plugins/frontend.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/* A randomised simulation: several entries and agents, running their
   production code in one process, on a virtual clock.  The network, the store,
   the upstreams, the clients and the operators are simulated; their behaviour
   and the faults are derived from a seed.  The simulation checks the system's
   guarantees and calls sim_fail when one is violated.  */

enum
{
  SIM_MAX_PROCESSES = 16,
  SIM_WORKERS = 2, /* per process */
  SIM_FIRST_PORT = 7000,
  SIM_MAX_PROPAGATION_MS = 5000, /* for a settings change to take effect in all
                                    processes, from its first read by any */
  SIM_MAX_COLD_REQUESTS = 2      /* concurrent, on an upstream in cold start */
};

#define SIM_ADMISSION_POLICY "slow-start"

typedef struct sim sim_t;
typedef struct sim_upstream sim_upstream_t;

/* A mechanism that is disabled on purpose, to test that the simulation detects
   the resulting violation.  */
typedef enum sim_broken_mechanism
{
  SIM_BROKEN_NONE,
  SIM_BROKEN_CLAIMS,    /* every claim is granted */
  SIM_BROKEN_ADMISSION, /* an upstream in cold start gets the normal limit */
  SIM_BROKEN_OUTCOME,   /* a lost response is reported as "not sent" */
  SIM_BROKEN_RESPONSES, /* response bytes are corrupted in transit */
  SIM_BROKEN_SETTINGS,  /* processes never receive newer settings */
  SIM_BROKEN_COUNT
} sim_broken_mechanism_t;

/* A simulated entry or agent process.  */
typedef struct sim_process
{
  STAILQ_ENTRY (sim_process) link;
  sim_t *sim;
  node_role_t role;
  const char *name;
  const char *zone;
  unsigned index; /* its port is SIM_FIRST_PORT + index */
  bool is_alive;
  bool is_frozen;
  bool is_stopping;
  bool is_store_unreachable;
  unsigned start_count;
  TALLOC_CTX *context; /* parent of everything freed when the process ends */
  pool_t *pool;
  node_t *node;
  daemon_t *daemon;
  entry_worker_t *entry_workers[SIM_WORKERS]; /* that accept calls, or NULL */
  sim_upstream_t *upstream;                   /* agents only */
  worker_timer_t *restart_timer;
} sim_process_t;

typedef struct sim_counts
{
  uint64_t calls;
  uint64_t ran;       /* calls with OUTCOME_RAN */
  uint64_t not_run;   /* calls with OUTCOME_NOT_RUN */
  uint64_t unknown;   /* calls with OUTCOME_UNKNOWN */
  uint64_t truncated; /* calls with OUTCOME_RAN, incomplete response */
  uint64_t lost;      /* calls cancelled, or whose entry was killed */
  uint64_t no_entry;  /* calls not made because no entry accepted any */
  uint64_t retries;   /* of bookings, by clients */
  uint64_t upstream_runs;
  uint64_t faults;
  uint64_t settings_changes;
  uint64_t cold_starts;
} sim_counts_t;

struct sim
{
  uint64_t seed;
  unsigned steps;
  sim_broken_mechanism_t broken_mechanism;
  clock_source_t *clock;
  scheduler_t *scheduler;
  pool_t *environment_pool;
  worker_t *environment_worker; /* runs all that is not part of the system
                                   under test */
  unsigned process_count;
  STAILQ_HEAD (, sim_process) processes;
  struct sim_net *net;
  struct sim_store *store;
  struct sim_operators *operators;
  struct sim_clients *clients;
  bool is_settling; /* final phase: no new faults, calls or changes */
  sim_counts_t counts;
};

/* The current simulation.  A global, because the plug-in interfaces have no
   parameter that could carry it.  */
extern sim_t *sim_current;

void sim_fail (const char *format, ...)
    __attribute__ ((format (printf, 1, 2), noreturn));
uint64_t sim_random (uint64_t bound);
bool sim_chance (unsigned percent);
struct timespec sim_now (void);
struct timespec sim_random_delay (int64_t max_us);
int64_t sim_ms_since (struct timespec then);
void sim_schedule (TALLOC_CTX *owner, struct timespec delay,
                   worker_handler_t handler, void *data);

/* Processes under test.  */
sim_process_t *sim_process_add (node_role_t role, const char *name,
                                const char *zone);
sim_process_t *sim_process_of_worker (const worker_t *worker);
void sim_process_start (sim_process_t *process);
void sim_process_kill (sim_process_t *process);
void sim_process_schedule_restart (sim_process_t *process);
void sim_process_stop (sim_process_t *process);
void sim_process_freeze (sim_process_t *process);
void sim_process_thaw (sim_process_t *process);

/* Simulated network between the processes.  */
void sim_net_create (void);
transport_t *sim_net_transport (sim_process_t *process);
void sim_net_close_all (sim_process_t *process);
void sim_net_set_partition (sim_process_t *left, sim_process_t *right,
                            bool is_partitioned);
void sim_net_reset (sim_process_t *left, sim_process_t *right);

/* Simulated key-value store of the platform.  */
void sim_store_create (void);
void sim_store_set_down (bool is_down);
bool sim_store_is_down (void);
void sim_store_set_faulty (bool is_faulty);
const char *sim_store_read (const char *key, int64_t *revision);
bool sim_store_write_if_unchanged (const char *key, const char *value,
                                   int64_t revision);

/* Simulated operators, who change the settings.  */
void sim_operators_create (void);
void sim_operators_check_new_work (const sim_process_t *agent);

/* Simulated upstreams.  */
sim_upstream_t *sim_upstream_create (sim_process_t *agent, bool is_plain);
bool sim_upstream_has_calls (const sim_upstream_t *upstream);
void sim_upstream_restart (sim_upstream_t *upstream);
unsigned sim_upstream_run_count (uint64_t request_number);
unsigned sim_upstream_has_run_since (uint64_t request_number,
                                     struct timespec then);
size_t sim_response_size (uint64_t request_number);
char sim_response_byte (uint64_t request_number, size_t offset);

/* Simulated clients.  */
void sim_clients_create (void);
void sim_clients_disconnect (sim_process_t *entry);
void sim_clients_record_pause (const sim_process_t *entry);
void sim_clients_check_run (uint64_t request_number);
void sim_clients_check_stop (const sim_process_t *entry);
size_t sim_clients_open_count (void);

/* Fault injection.  */
void sim_faults_create (void);

#endif
