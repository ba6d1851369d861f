/* Compares the gate's admission and queueing policies in a simulation with
   virtual time.  An upstream in cold start can serve two concurrent requests
   and crashes under more; one account may offer a multiple of its share.
   Prints one line for each pair of policies and load.  */

#include "agent/gate.h"
#include "kernel/random.h"
#include "kernel/table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SEED = 1,
  STEP_MS = 5,
  DURATION_MS = 60000,
  COLD_MAX_REQUESTS = 2, /* more crash an upstream in cold start */
  COLD_START_MS = 5000,
  RESTART_MS = 1000, /* from a crash until the upstream accepts requests */
  COLD_FIRST_TOKEN_MS = 400,
  COLD_STREAMING_MS = 400, /* from the first token to the last */
  WARM_FIRST_TOKEN_MS = 50,
  WARM_STREAMING_MS = 150,
  /* The upstream becomes cold then without notice to the gate.  */
  UNANNOUNCED_RESTART_MS = 30000,
  CLIENT_TIMEOUT_MS = 5000,
  MAX_REQUESTS = 20000,
  ACCOUNT_COUNT = 10,
  FLOODING_ACCOUNT = 0,
  REQUEST_TOKENS = 100
};

typedef struct request
{
  STAILQ_ENTRY (request) link; /* while running on the upstream */
  gate_work_t work;
  unsigned account;
  int64_t arrived_ms;
  int64_t first_token_ms;
  int64_t end_ms;
  bool has_first_token;
} request_t;

typedef struct bench
{
  clock_source_t *clock;
  gate_t *gate;
  int64_t now_ms;
  int64_t available_ms; /* when the upstream accepts requests again */
  int64_t warm_ms;      /* end of its cold start */
  STAILQ_HEAD (, request) running;
  unsigned running_count;
  unsigned request_count;
  request_t requests[MAX_REQUESTS];
  unsigned crashes;
  unsigned excess_starts; /* of requests above COLD_MAX_REQUESTS */
  /* Requests of the flooding account [0] and of the others [1].  */
  unsigned served[2];
  unsigned offered[2];
  unsigned queue_time_count;
  int64_t queue_times_ms[MAX_REQUESTS]; /* of the other accounts */
} bench_t;

static char account_names[ACCOUNT_COUNT][16];

static settings_t *
bench_settings (bench_t *bench, const char *policy, const char *order)
{
  settings_parts_t *parts = settings_parts_create (bench);
  findings_t *findings = findings_create (bench);
  settings_t *settings;

  parts->revision = 1;
  parts->change_id = parts->changed_by = parts->changed_why = "bench";
  parts->changed_at = "2026-03-01T12:00:00Z";
  parts->rules = talloc_asprintf (
      bench,
      "[site]\nname = \"bench\"\n[[zone]]\nname = \"a\"\nregion = \"r\"\n"
      "[[account]]\nname = \"a0\"\n"
      "[[service]]\nname = \"style\"\nkind = \"model\"\npath = \"/v1/\"\n"
      "models = [\"m\"]\n"
      "[admission]\npolicy = \"%s\"\norder = \"%s\"\ncold_requests = %d\n"
      "cold_tokens = 4096\nmaximum_requests = 16\nmaximum_tokens = 65536\n"
      "queue_requests = 64\nslow_first_token = \"300 ms\"\n",
      policy, order, COLD_MAX_REQUESTS);
  parts->inventory = "name,address,zone,kind,service,model,group,rank\n"
                     "up,127.0.0.1:1,a,model,style,m,,\n";
  settings = settings_from_parts (parts, "rules", "inventory", findings);
  findings_print (findings, stderr);
  return settings;
}

static bool
bench_is_cold (const bench_t *bench)
{
  return bench->now_ms < bench->warm_ms;
}

/* Start the request on the upstream.  */
static void
upstream_start (bench_t *bench, request_t *request)
{
  bool is_cold = bench_is_cold (bench);

  request->first_token_ms
      = bench->now_ms + (is_cold ? COLD_FIRST_TOKEN_MS : WARM_FIRST_TOKEN_MS);
  request->end_ms = request->first_token_ms
                    + (is_cold ? COLD_STREAMING_MS : WARM_STREAMING_MS);
  request->has_first_token = false;
  bench->running_count++;
  STAILQ_INSERT_TAIL (&bench->running, request, link);
  if (request->account != FLOODING_ACCOUNT)
    bench->queue_times_ms[bench->queue_time_count++]
        = bench->now_ms - request->arrived_ms;
  if (is_cold && bench->running_count > COLD_MAX_REQUESTS)
    bench->excess_starts++;
}

/* Abort all running requests; the upstream restarts and is then cold.  */
static void
upstream_crash (bench_t *bench)
{
  request_t *request;

  while ((request = STAILQ_FIRST (&bench->running)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&bench->running, link);
      gate_finish (bench->gate, &request->work, NULL);
    }
  bench->running_count = 0;
  bench->crashes++;
  bench->available_ms = bench->now_ms + RESTART_MS;
  bench->warm_ms = bench->available_ms + COLD_START_MS;
  gate_record_cold_start (bench->gate, "connection-broken");
}

static void
request_complete (bench_t *bench, request_t *request)
{
  admission_sample_t sample
      = { .tokens = REQUEST_TOKENS,
          .duration = timespec_from_ms (
              bench->now_ms - timespec_to_ms (request->work.started_at)),
          .first_token
          = timespec_from_ms (request->first_token_ms
                              - timespec_to_ms (request->work.started_at)),
          .is_success = true };

  STAILQ_REMOVE (&bench->running, request, request, link);
  bench->running_count--;
  bench->served[request->account == FLOODING_ACCOUNT ? 0 : 1]++;
  gate_finish (bench->gate, &request->work, &sample);
}

/* Update the upstream's state to the current time: crash if overloaded, and
   complete first tokens and requests that are due.  */
static void
upstream_update (bench_t *bench)
{
  request_t *request;
  request_t *next;

  if (bench_is_cold (bench) && bench->running_count > COLD_MAX_REQUESTS)
    upstream_crash (bench);
  for (request = STAILQ_FIRST (&bench->running); request != NULL;
       request = next)
    {
      next = STAILQ_NEXT (request, link);
      if (!request->has_first_token
          && bench->now_ms >= request->first_token_ms)
        {
          request->has_first_token = true;
          gate_record_first_byte (bench->gate, &request->work);
        }
      if (bench->now_ms >= request->end_ms)
        request_complete (bench, request);
    }
}

/* Offer a new request of the account to the gate.  */
static void
bench_offer (bench_t *bench, unsigned account)
{
  request_t *request = &bench->requests[bench->request_count++];
  gate_refusal_t refusal;
  gate_work_list_t evicted = STAILQ_HEAD_INITIALIZER (evicted);

  request->account = account;
  request->arrived_ms = bench->now_ms;
  request->work.item = (order_item_t){
    .account = account_names[account],
    .share = 10,
    .tokens = REQUEST_TOKENS,
    .deadline = timespec_from_ms (bench->now_ms + CLIENT_TIMEOUT_MS)
  };
  bench->offered[account == FLOODING_ACCOUNT ? 0 : 1]++;
  if (gate_offer (bench->gate, &request->work, &refusal, &evicted)
      == GATE_START)
    upstream_start (bench, request);
}

/* Start the queued requests that the gate admits.  */
static void
bench_start_queued (bench_t *bench)
{
  gate_work_list_t started = STAILQ_HEAD_INITIALIZER (started);
  gate_work_list_t expired = STAILQ_HEAD_INITIALIZER (expired);
  gate_work_t *work;

  gate_check_timeouts (bench->gate);
  gate_dequeue_ready (bench->gate, &started, &expired);
  STAILQ_FOREACH (work, &started, link)
    upstream_start (bench, CONTAINER_OF (work, request_t, work));
}

/* Offer the requests of one simulation step: on average FLOOD per second for
   the flooding account and RATE for the other accounts together.  */
static void
bench_generate_arrivals (bench_t *bench, unsigned rate, unsigned flood)
{
  if (random_next () % 1000 < (uint64_t)rate * STEP_MS)
    bench_offer (bench, 1 + (unsigned)(random_next () % (ACCOUNT_COUNT - 1)));
  if (random_next () % 1000 < (uint64_t)flood * STEP_MS)
    bench_offer (bench, FLOODING_ACCOUNT);
}

static int
compare_times (const void *left, const void *right)
{
  int64_t a = *(const int64_t *)left;
  int64_t b = *(const int64_t *)right;

  return a < b ? -1 : a > b;
}

static void
bench_print (bench_t *bench, const char *policy, const char *order,
             const char *load)
{
  qsort (bench->queue_times_ms, bench->queue_time_count,
         sizeof bench->queue_times_ms[0], compare_times);
  printf (
      "%-10s %-5s %-6s %7u %8u %9.1f %9.1f %8.1f %8lld %8lld\n", policy, order,
      load, bench->crashes, bench->excess_starts,
      100.0 * bench->served[1] / bench->offered[1],
      bench->offered[0] == 0 ? 0
                             : 100.0 * bench->served[0] / bench->offered[0],
      (double)(bench->served[0] + bench->served[1]) * 1000 / DURATION_MS,
      (long long)bench->queue_times_ms[bench->queue_time_count / 2],
      (long long)bench->queue_times_ms[bench->queue_time_count * 99 / 100]);
}

/* Run one simulation and print its result.  IS_COLD selects a start and a
   restart in cold state.  */
static void
bench_run (const char *policy, const char *order, unsigned rate,
           unsigned flood, bool is_cold)
{
  bench_t *bench = talloc_zero (NULL, bench_t);
  settings_t *settings = bench_settings (bench, policy, order);

  random_set_seed (SEED);
  bench->clock = clock_create_virtual (bench, timespec_from_ms (0));
  bench->gate = gate_create (bench, "up", "a", bench->clock);
  gate_configure (bench->gate, settings);
  STAILQ_INIT (&bench->running);
  bench->warm_ms = is_cold ? COLD_START_MS : 0;
  for (; bench->now_ms < DURATION_MS; bench->now_ms += STEP_MS)
    {
      if (is_cold && bench->now_ms == UNANNOUNCED_RESTART_MS)
        bench->warm_ms = bench->now_ms + COLD_START_MS;
      upstream_update (bench);
      if (bench->now_ms >= bench->available_ms)
        {
          bench_start_queued (bench);
          bench_generate_arrivals (bench, rate, flood);
        }
      clock_advance (bench->clock, timespec_from_ms (STEP_MS));
    }
  bench_print (bench, policy, order, is_cold ? "cold" : "flood");
  settings_release (settings);
  talloc_free (bench);
}

int
main (void)
{
  for (unsigned i = 0; i < ACCOUNT_COUNT; i++)
    snprintf (account_names[i], sizeof account_names[i], "a%u", i);
  printf ("%-10s %-5s %-6s %7s %8s %9s %9s %8s %8s %8s\n", "policy", "order",
          "load", "crashes", "excess", "others-%", "flood-%", "served/s",
          "p50-ms", "p99-ms");
  bench_run ("fixed", "fifo", 40, 0, true);
  bench_run ("slow-start", "fifo", 40, 0, true);
  bench_run ("slow-start", "fair", 40, 0, true);
  bench_run ("slow-start", "fifo", 57, 80, false);
  bench_run ("slow-start", "fair", 57, 80, false);
  bench_run ("slow-start", "fair", 57, 8, false);
  return EXIT_SUCCESS;
}
