/* Measures the store calls and the latency of claims in a simulation with
   virtual time.  Agents request claims and record outcomes through a journal
   plug-in; the simulated store executes one call at a time.  Prints one line
   for each journal, number of agents and request rate.  */

#include "kernel/plugin.h"
#include "kernel/scheduler.h"
#include "plugins/journal.h"
#include "tests/fake_store.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  SEED = 1,
  DURATION_MS = 10000,
  DRAIN_MS = 5000,             /* after the last arrival, for pending claims */
  NETWORK_DELAY_US = 1500,     /* one way between agent and store */
  STORE_CALL_US = 2500,        /* execution: 400 calls a second */
  REQUEST_DURATION_US = 20000, /* from the grant of the claim to the outcome */
  REQUEST_TIMEOUT_MS = 2000,
  MAX_AGENTS = 100,
  MAX_CLAIMS = 40000
};

/* A client of the simulated store.  */
struct store
{
  struct bench *bench;
  worker_t *worker;
};

/* A call to the store on its way there or back.  */
typedef struct store_call
{
  store_t *store;
  const store_txn_t *txn;
  store_done_t done;
  void *data;
  store_result_t *result;
} store_call_t;

typedef struct request
{
  struct bench *bench;
  worker_t *worker;
  struct timespec requested_at; /* when the claim was requested */
  journal_claim_t *claim;
} request_t;

typedef struct agent
{
  pool_t *pool;
  store_t store;
  journal_t *journal;
} agent_t;

typedef struct bench
{
  clock_source_t *clock;
  scheduler_t *scheduler;
  fake_store_t *key_values;
  struct timespec store_idle_at; /* when it has executed all queued calls */
  const journal_ops_t *journal_ops;
  unsigned agent_count;
  agent_t agents[MAX_AGENTS];
  unsigned claim_count;
  unsigned granted_count;
  unsigned not_granted_count;
  unsigned store_call_count;
  int64_t latency_us[MAX_CLAIMS];
} bench_t;

/* Deliver the result of the call to its caller.  */
static void
store_call_return (worker_t *worker, void *data)
{
  store_call_t *store_call = data;

  (void)worker;
  store_call->done (STATUS_OK, store_call->result, store_call->data);
  talloc_free (store_call);
}

/* Execute the call in the store and send the result back.  */
static void
store_call_execute (worker_t *worker, void *data)
{
  store_call_t *store_call = data;

  store_call->result = fake_store_apply (store_call->store->bench->key_values,
                                         store_call, store_call->txn);
  worker_timer_start (worker, store_call, timespec_from_us (NETWORK_DELAY_US),
                      store_call_return, store_call);
}

/* Queue a call to the store and return the time until it has been executed.
   The store executes calls one after the other.  */
static struct timespec
bench_queue_call (bench_t *bench)
{
  struct timespec now = clock_monotonic (bench->clock);
  struct timespec arrival
      = timespec_add (now, timespec_from_us (NETWORK_DELAY_US));

  if (timespec_compare (bench->store_idle_at, arrival) < 0)
    bench->store_idle_at = arrival;
  bench->store_idle_at
      = timespec_add (bench->store_idle_at, timespec_from_us (STORE_CALL_US));
  bench->store_call_count++;
  return timespec_subtract (bench->store_idle_at, now);
}

static status_t
simulated_transact (store_t *store, const store_txn_t *txn, store_done_t done,
                    void *data)
{
  store_call_t *store_call = talloc_zero (NULL, store_call_t);

  store_call->store = store;
  store_call->txn = txn;
  store_call->done = done;
  store_call->data = data;
  worker_timer_start (store->worker, store_call,
                      bench_queue_call (store->bench), store_call_execute,
                      store_call);
  return STATUS_OK;
}

/* A granted lease on its way to the caller.  */
typedef struct lease_grant
{
  store_lease_done_t done;
  void *data;
} lease_grant_t;

/* Deliver the granted lease to its caller.  */
static void
lease_grant_return (worker_t *worker, void *data)
{
  lease_grant_t *grant = data;

  (void)worker;
  grant->done (STATUS_OK, 1, grant->data);
  talloc_free (grant);
}

static status_t
simulated_grant (store_t *store, struct timespec duration,
                 store_lease_done_t done, void *data)
{
  lease_grant_t *grant = talloc_zero (NULL, lease_grant_t);

  (void)duration;
  grant->done = done;
  grant->data = data;
  worker_timer_start (store->worker, grant, bench_queue_call (store->bench),
                      lease_grant_return, grant);
  return STATUS_OK;
}

static const store_ops_t simulated_store_ops = {
  .transact = simulated_transact,
  .grant = simulated_grant,
};

static void
request_finish (worker_t *worker, void *data)
{
  request_t *request = data;
  claim_record_t record = { 201, "application/json", "{}", 2 };

  (void)worker;
  request->bench->journal_ops->finish (request->claim, &record);
  talloc_free (request);
}

static void
request_on_claim (claim_verdict_t verdict, const claim_record_t *record,
                  void *data)
{
  request_t *request = data;
  bench_t *bench = request->bench;

  (void)record;
  if (verdict != CLAIM_GRANTED)
    {
      bench->not_granted_count++;
      talloc_free (request);
      return;
    }
  bench->latency_us[bench->granted_count++]
      = timespec_to_us (timespec_subtract (clock_monotonic (bench->clock),
                                           request->requested_at));
  worker_timer_start (request->worker, request,
                      timespec_from_us (REQUEST_DURATION_US), request_finish,
                      request);
}

/* Start a request at a random agent: request a claim on a new key.  */
static void
bench_request_claim (bench_t *bench)
{
  agent_t *agent
      = &bench
             ->agents[scheduler_random (bench->scheduler, bench->agent_count)];
  request_t *request = talloc_zero (NULL, request_t);
  char key[32];
  claim_request_t claim = { .worker = pool_worker (agent->pool, 0),
                            .key = key,
                            .account = "registries",
                            .service = "registry" };

  snprintf (key, sizeof key, "%u", bench->claim_count++);
  request->bench = bench;
  request->worker = claim.worker;
  request->requested_at = clock_monotonic (bench->clock);
  claim.deadline = timespec_add (request->requested_at,
                                 timespec_from_ms (REQUEST_TIMEOUT_MS));
  request->claim = bench->journal_ops->claim (agent->journal, &claim,
                                              request_on_claim, request);
}

static void
agent_create (bench_t *bench, agent_t *agent, int64_t linger_ms)
{
  journal_options_t options
      = { .store_ops = &simulated_store_ops,
          .store = &agent->store,
          .owner = "agent",
          .incarnation = (uint64_t)(agent - bench->agents) + 1,
          .limits = { { 86400, 0 }, timespec_from_ms (linger_ms) } };

  agent->pool = scheduler_create_pool (bench->scheduler, bench, 1);
  agent->store.bench = bench;
  agent->store.worker = pool_worker (agent->pool, 0);
  options.worker = agent->store.worker;
  agent->journal = bench->journal_ops->create (&options);
}

static int
compare_latency (const void *left, const void *right)
{
  int64_t a = *(const int64_t *)left;
  int64_t b = *(const int64_t *)right;

  return a < b ? -1 : a > b;
}

/* Return the latency at PERCENTILE in milliseconds.  The latencies must be
   sorted.  */
static double
bench_latency_ms (const bench_t *bench, unsigned percentile)
{
  unsigned index = bench->granted_count * percentile / 100;

  return bench->granted_count == 0 ? 0
                                   : (double)bench->latency_us[index] / 1000;
}

static void
bench_print (bench_t *bench, const char *journal, int64_t linger_ms,
             unsigned rate)
{
  qsort (bench->latency_us, bench->granted_count, sizeof bench->latency_us[0],
         compare_latency);
  printf ("%-12s %6lld %6u %6u %11.2f %9.1f %9.1f %9.1f %11.1f\n", journal,
          (long long)linger_ms, bench->agent_count, rate,
          (double)bench->store_call_count / bench->claim_count,
          (double)bench->store_call_count * 1000 / DURATION_MS,
          bench_latency_ms (bench, 50), bench_latency_ms (bench, 99),
          100.0 * bench->not_granted_count / bench->claim_count);
}

static void
bench_run (const char *journal, int64_t linger_ms, unsigned agent_count,
           unsigned rate)
{
  bench_t *bench = talloc_zero (NULL, bench_t);
  int64_t mean_interval_us = 1000000 / rate;

  bench->clock = clock_create_virtual (bench, timespec_from_ms (1000));
  bench->scheduler = scheduler_create (bench, bench->clock, SEED);
  bench->key_values = fake_store_create (bench);
  bench->journal_ops = plugin_ops (PLUGIN_JOURNAL, journal);
  bench->agent_count = agent_count;
  for (unsigned i = 0; i < agent_count; i++)
    agent_create (bench, &bench->agents[i], linger_ms);
  for (int64_t at_us = 0; at_us < DURATION_MS * 1000LL;)
    {
      int64_t step_us = 1
                        + (int64_t)scheduler_random (
                            bench->scheduler, (uint64_t)mean_interval_us * 2);

      bench_request_claim (bench);
      scheduler_run_for (bench->scheduler, timespec_from_us (step_us));
      at_us += step_us;
    }
  scheduler_run_for (bench->scheduler, timespec_from_ms (DRAIN_MS));
  bench_print (bench, journal, linger_ms, rate);
  talloc_free (bench);
}

int
main (void)
{
  const unsigned rates[] = { 10, 50, 150, 300, 600, 1200 };
  const unsigned agents[] = { 1, 6, 100 };

  printf ("%-12s %6s %6s %6s %11s %9s %9s %9s %11s\n", "journal", "linger",
          "agents", "rate/s", "calls/claim", "calls/s", "p50-ms", "p99-ms",
          "not-run-%");
  for (unsigned i = 0; i < sizeof agents / sizeof agents[0]; i++)
    {
      for (unsigned j = 0; j < sizeof rates / sizeof rates[0]; j++)
        {
          bench_run ("store-single", 0, agents[i], rates[j]);
          bench_run ("store", 0, agents[i], rates[j]);
          bench_run ("store", 5, agents[i], rates[j]);
          bench_run ("store", 20, agents[i], rates[j]);
        }
    }
  return EXIT_SUCCESS;
}
