/* What claims cost the store, and how long they take, on a virtual clock.
   Agents ask for claims and record outcomes through a journal plug-in; the
   modelled store serves one call after the other.  Prints one line for each
   journal, number of agents and rate.  */

#include "kernel/plugin.h"
#include "kernel/scheduler.h"
#include "plugins/journal.h"
#include "tests/fake_store.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  SEED = 1,
  RUN_MS = 10000,
  DRAIN_MS = 5000,
  WAY_US = 1500,      /* to the store, and back */
  SERVICE_US = 2500,  /* of one call: 400 calls a second */
  REQUEST_US = 20000, /* from the grant to the outcome */
  DEADLINE_MS = 2000,
  AGENTS_MAX = 100,
  CLAIMS_MAX = 40000
};

struct store
{
  struct bench *bench;
  worker_t *worker;
};

typedef struct call
{
  store_t *store;
  const store_txn_t *txn;
  store_done_t done;
  void *data;
  store_result_t *result;
} call_t;

typedef struct request
{
  struct bench *bench;
  worker_t *worker;
  struct timespec asked_at;
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
  fake_store_t *pairs;
  struct timespec free_at; /* when the store has served what it has */
  const journal_ops_t *journal_ops;
  unsigned agent_count;
  agent_t agents[AGENTS_MAX];
  unsigned asked;
  unsigned granted;
  unsigned unavailable;
  unsigned calls;
  int64_t latency_us[CLAIMS_MAX];
} bench_t;

static void
call_return (worker_t *worker, void *data)
{
  call_t *call = data;

  (void)worker;
  call->done (STATUS_OK, call->result, call->data);
  talloc_free (call);
}

static void
call_serve (worker_t *worker, void *data)
{
  call_t *call = data;

  call->result = fake_store_apply (call->store->bench->pairs, call, call->txn);
  worker_timer_start (worker, call, timespec_from_us (WAY_US), call_return,
                      call);
}

/* Serve calls one after the other.  */
static struct timespec
bench_queue_call (bench_t *bench)
{
  struct timespec now = clock_monotonic (bench->clock);
  struct timespec arrival = timespec_add (now, timespec_from_us (WAY_US));

  if (timespec_compare (bench->free_at, arrival) < 0)
    bench->free_at = arrival;
  bench->free_at
      = timespec_add (bench->free_at, timespec_from_us (SERVICE_US));
  bench->calls++;
  return timespec_subtract (bench->free_at, now);
}

static status_t
model_transact (store_t *store, const store_txn_t *txn, store_done_t done,
                void *data)
{
  call_t *call = talloc_zero (NULL, call_t);

  call->store = store;
  call->txn = txn;
  call->done = done;
  call->data = data;
  worker_timer_start (store->worker, call, bench_queue_call (store->bench),
                      call_serve, call);
  return STATUS_OK;
}

typedef struct grant
{
  store_lease_done_t done;
  void *data;
} grant_t;

static void
grant_return (worker_t *worker, void *data)
{
  grant_t *grant = data;

  (void)worker;
  grant->done (STATUS_OK, 1, grant->data);
  talloc_free (grant);
}

static status_t
model_grant (store_t *store, struct timespec duration, store_lease_done_t done,
             void *data)
{
  grant_t *grant = talloc_zero (NULL, grant_t);

  (void)duration;
  grant->done = done;
  grant->data = data;
  worker_timer_start (store->worker, grant, bench_queue_call (store->bench),
                      grant_return, grant);
  return STATUS_OK;
}

static const store_ops_t model_ops = {
  .transact = model_transact,
  .grant = model_grant,
};

static void
request_end (worker_t *worker, void *data)
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
      bench->unavailable++;
      talloc_free (request);
      return;
    }
  bench->latency_us[bench->granted++] = timespec_to_us (
      timespec_subtract (clock_monotonic (bench->clock), request->asked_at));
  worker_timer_start (request->worker, request, timespec_from_us (REQUEST_US),
                      request_end, request);
}

static void
bench_ask (bench_t *bench)
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

  snprintf (key, sizeof key, "%u", bench->asked++);
  request->bench = bench;
  request->worker = claim.worker;
  request->asked_at = clock_monotonic (bench->clock);
  claim.deadline
      = timespec_add (request->asked_at, timespec_from_ms (DEADLINE_MS));
  request->claim = bench->journal_ops->claim (agent->journal, &claim,
                                              request_on_claim, request);
}

static void
agent_start (bench_t *bench, agent_t *agent, int64_t linger_ms)
{
  journal_options_t options
      = { .store_ops = &model_ops,
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

/* Return the latency, in milliseconds, below which PERCENT of 100 lie.  */
static double
bench_latency_ms (const bench_t *bench, unsigned percent)
{
  unsigned index = bench->granted * percent / 100;

  return bench->granted == 0 ? 0 : (double)bench->latency_us[index] / 1000;
}

static void
bench_print (bench_t *bench, const char *journal, int64_t linger_ms,
             unsigned rate)
{
  qsort (bench->latency_us, bench->granted, sizeof bench->latency_us[0],
         compare_latency);
  printf ("%-12s %6lld %6u %6u %8.2f %9.1f %9.1f %9.1f %11.1f\n", journal,
          (long long)linger_ms, bench->agent_count, rate,
          (double)bench->calls / bench->asked,
          (double)bench->calls * 1000 / RUN_MS, bench_latency_ms (bench, 50),
          bench_latency_ms (bench, 99),
          100.0 * bench->unavailable / bench->asked);
}

static void
bench_run (const char *journal, int64_t linger_ms, unsigned agent_count,
           unsigned rate)
{
  bench_t *bench = talloc_zero (NULL, bench_t);
  int64_t gap_us = 1000000 / rate;

  bench->clock = clock_create_virtual (bench, timespec_from_ms (1000));
  bench->scheduler = scheduler_create (bench, bench->clock, SEED);
  bench->pairs = fake_store_create (bench);
  bench->journal_ops = plugin_ops (PLUGIN_JOURNAL, journal);
  bench->agent_count = agent_count;
  for (unsigned i = 0; i < agent_count; i++)
    agent_start (bench, &bench->agents[i], linger_ms);
  for (int64_t at_us = 0; at_us < RUN_MS * 1000LL;)
    {
      int64_t step_us = 1
                        + (int64_t)scheduler_random (bench->scheduler,
                                                     (uint64_t)gap_us * 2);

      bench_ask (bench);
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

  printf ("%-12s %6s %6s %6s %8s %9s %9s %9s %11s\n", "journal", "linger",
          "agents", "rate/s", "calls/cl", "calls/s", "p50-ms", "p99-ms",
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
