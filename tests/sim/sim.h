#ifndef SISKIN_TESTS_SIM_H
#define SISKIN_TESTS_SIM_H

#include "common/daemon.h"
#include "common/transport.h"
#include "kernel/scheduler.h"
#include "plugins/frontend.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/* A randomised run: the entry and the agent as they are, many of each in one
   process, on a virtual clock, with a network, a store, upstreams and callers
   that misbehave by a seed.  */

enum
{
  SIM_MAX_PROCESSES = 16,
  SIM_WORKERS = 2,
  SIM_FIRST_PORT = 7000,
  SIM_BOUND_MS = 5000, /* from a change's acceptance to the last new work */
  SIM_COLD_REQUESTS = 2
};

#define SIM_ADMISSION "slow-start"

typedef struct sim sim_t;
typedef struct sim_upstream sim_upstream_t;

/* A mechanism put out of action, to show that the run notices.  */
typedef enum sim_broken
{
  SIM_BROKEN_NOTHING,
  SIM_BROKEN_CLAIMS,    /* every claim is granted */
  SIM_BROKEN_ADMISSION, /* an upstream in cold start gets the maximum */
  SIM_BROKEN_OUTCOME,   /* a lost answer is reported as never sent */
  SIM_BROKEN_ANSWERS,   /* bytes of answers are changed on the way */
  SIM_BROKEN_SETTINGS,  /* agents do not hear of newer settings */
  SIM_BROKEN_COUNT
} sim_broken_t;

typedef struct sim_process
{
  STAILQ_ENTRY (sim_process) link;
  sim_t *sim;
  node_role_t role;
  const char *name;
  const char *zone;
  unsigned index;
  bool is_alive;
  bool is_frozen;
  bool is_stopping;
  bool is_store_cut;
  unsigned run;       /* counts restarts */
  TALLOC_CTX *memory; /* of the present run */
  pool_t *pool;
  node_t *node;
  daemon_t *daemon;
  entry_worker_t *shares[SIM_WORKERS]; /* of an entry's front end */
  sim_upstream_t *upstream;            /* of an agent */
  worker_timer_t *restart_timer;
} sim_process_t;

typedef struct sim_counts
{
  uint64_t calls;
  uint64_t ran;
  uint64_t not_run;
  uint64_t unknown;
  uint64_t cut;
  uint64_t lost; /* with the entry that had them */
  uint64_t refused_at_door;
  uint64_t repeats;
  uint64_t runs;
  uint64_t faults;
  uint64_t changes;
  uint64_t cold_starts;
} sim_counts_t;

struct sim
{
  uint64_t seed;
  unsigned steps;
  sim_broken_t broken;
  clock_source_t *clock;
  scheduler_t *scheduler;
  pool_t *pool; /* of what is outside the system */
  worker_t *world;
  unsigned process_count;
  STAILQ_HEAD (, sim_process) processes;
  struct sim_net *net;
  struct sim_store *store;
  struct sim_zones *zones;
  struct sim_callers *callers;
  bool is_quiet; /* no more faults and calls */
  sim_counts_t counts;
};

/* The run under way; plug-ins have no other way to find it.  */
extern sim_t *sim_current;

void sim_fail (const char *format, ...)
    __attribute__ ((format (printf, 1, 2), noreturn));
uint64_t sim_random (uint64_t bound);
bool sim_chance (unsigned percent);
struct timespec sim_now (void);
struct timespec sim_delay (int64_t most_us);
int64_t sim_ms_since (struct timespec then);
void sim_after (TALLOC_CTX *owner, struct timespec delay,
                worker_handler_t handler, void *data);

/* Processes.  */
sim_process_t *sim_process_add (node_role_t role, const char *name,
                                const char *zone);
sim_process_t *sim_process_of (const worker_t *worker);
void sim_process_start (sim_process_t *process);
void sim_process_kill (sim_process_t *process);
void sim_process_restart_later (sim_process_t *process);
void sim_process_stop (sim_process_t *process);
void sim_process_freeze (sim_process_t *process);
void sim_process_thaw (sim_process_t *process);

/* The network between processes.  */
void sim_net_create (void);
transport_t *sim_net_transport (sim_process_t *process);
void sim_net_drop (sim_process_t *process);
void sim_net_cut (sim_process_t *left, sim_process_t *right, bool is_cut);
void sim_net_reset (sim_process_t *left, sim_process_t *right);

/* The platform's key-value service.  */
void sim_store_create (void);
void sim_store_set_down (bool is_down);
bool sim_store_is_down (void);
void sim_store_set_faulty (bool is_faulty);
const char *sim_store_read (const char *key, int64_t *revision);
bool sim_store_replace (const char *key, const char *value, int64_t revision);

/* Operators and what they have accepted.  */
void sim_operators_create (void);
void sim_operators_check_work (const sim_process_t *agent);

/* Upstreams.  */
sim_upstream_t *sim_upstream_create (sim_process_t *agent, bool is_plain);
bool sim_upstream_has_calls (const sim_upstream_t *upstream);
void sim_upstream_restart (sim_upstream_t *upstream);
unsigned sim_upstream_runs (uint64_t number);
unsigned sim_upstream_runs_since (uint64_t number, struct timespec then);
size_t sim_answer_size (uint64_t number);
char sim_answer_byte (uint64_t number, size_t offset);

/* Callers.  */
void sim_callers_create (void);
void sim_callers_note_lost (sim_process_t *entry);
void sim_callers_note_pause (const sim_process_t *entry);
void sim_callers_check_run (uint64_t number);
void sim_callers_check_stop (const sim_process_t *entry);
size_t sim_callers_open (void);

/* Faults.  */
void sim_faults_create (void);

#endif
