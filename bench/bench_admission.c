/* What the gate's policies do to an upstream and to its callers, on a virtual
   clock.  The upstream bears two requests in cold start and falls over under
   more; one account may offer ten times its share.  Prints one line for each
   pair of policies.  */

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
  RUN_MS = 60000,
  COLD_BEARS = 2,
  COLD_MS = 5000,
  DOWN_MS = 1000,
  COLD_FIRST_MS = 400,
  COLD_REST_MS = 400,
  WARM_FIRST_MS = 50,
  WARM_REST_MS = 150,
  SILENT_RESTART_MS = 30000, /* turns cold without notice */
  PATIENCE_MS = 5000,
  REQUESTS_MAX = 20000,
  ACCOUNTS = 10,
  TOKENS = 100
};

typedef struct request
{
  STAILQ_ENTRY (request) link; /* while on the upstream */
  gate_work_t work;
  unsigned account;
  int64_t asked_ms;
  int64_t first_ms;
  int64_t ends_ms;
  bool has_first;
} request_t;

typedef struct bench
{
  clock_source_t *clock;
  gate_t *gate;
  int64_t now_ms;
  int64_t up_ms;   /* when the upstream comes up */
  int64_t warm_ms; /* when it is warm */
  STAILQ_HEAD (, request) running;
  unsigned running_count;
  unsigned request_count;
  request_t requests[REQUESTS_MAX];
  unsigned crashes;
  unsigned over;      /* requests over what the cold upstream bears */
  unsigned served[2]; /* of the flooding account, of the others */
  unsigned offered[2];
  unsigned wait_count;
  int64_t waits_ms[REQUESTS_MAX]; /* of the others, from offer to start */
} bench_t;

static char account_names[ACCOUNTS][16];

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
      policy, order, COLD_BEARS);
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

static void
upstream_start (bench_t *bench, request_t *request)
{
  bool is_cold = bench_is_cold (bench);

  request->first_ms
      = bench->now_ms + (is_cold ? COLD_FIRST_MS : WARM_FIRST_MS);
  request->ends_ms
      = request->first_ms + (is_cold ? COLD_REST_MS : WARM_REST_MS);
  request->has_first = false;
  bench->running_count++;
  STAILQ_INSERT_TAIL (&bench->running, request, link);
  if (request->account != 0)
    bench->waits_ms[bench->wait_count++] = bench->now_ms - request->asked_ms;
  if (is_cold && bench->running_count > COLD_BEARS)
    bench->over++;
}

static void
upstream_fall (bench_t *bench)
{
  request_t *request;

  while ((request = STAILQ_FIRST (&bench->running)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&bench->running, link);
      gate_finish (bench->gate, &request->work, NULL);
    }
  bench->running_count = 0;
  bench->crashes++;
  bench->up_ms = bench->now_ms + DOWN_MS;
  bench->warm_ms = bench->up_ms + COLD_MS;
  gate_note_cold (bench->gate, "connection-broken");
}

static void
request_end (bench_t *bench, request_t *request)
{
  admission_sample_t sample
      = { .tokens = TOKENS,
          .duration = timespec_from_ms (
              bench->now_ms - timespec_to_ms (request->work.started_at)),
          .first_token = timespec_from_ms (
              request->first_ms - timespec_to_ms (request->work.started_at)),
          .is_success = true };

  STAILQ_REMOVE (&bench->running, request, request, link);
  bench->running_count--;
  bench->served[request->account == 0 ? 0 : 1]++;
  gate_finish (bench->gate, &request->work, &sample);
}

static void
upstream_step (bench_t *bench)
{
  request_t *request;
  request_t *next;

  if (bench_is_cold (bench) && bench->running_count > COLD_BEARS)
    upstream_fall (bench);
  for (request = STAILQ_FIRST (&bench->running); request != NULL;
       request = next)
    {
      next = STAILQ_NEXT (request, link);
      if (!request->has_first && bench->now_ms >= request->first_ms)
        {
          request->has_first = true;
          gate_note_first_byte (bench->gate, &request->work);
        }
      if (bench->now_ms >= request->ends_ms)
        request_end (bench, request);
    }
}

static void
bench_offer (bench_t *bench, unsigned account)
{
  request_t *request = &bench->requests[bench->request_count++];
  gate_refusal_t refusal;
  gate_work_list_t dropped = STAILQ_HEAD_INITIALIZER (dropped);

  request->account = account;
  request->asked_ms = bench->now_ms;
  request->work.item = (order_item_t){ .account = account_names[account],
                                       .share = 10,
                                       .tokens = TOKENS,
                                       .deadline = timespec_from_ms (
                                           bench->now_ms + PATIENCE_MS) };
  bench->offered[account == 0 ? 0 : 1]++;
  if (gate_offer (bench->gate, &request->work, &refusal, &dropped)
      == GATE_START)
    upstream_start (bench, request);
}

static void
bench_take (bench_t *bench)
{
  gate_work_list_t started = STAILQ_HEAD_INITIALIZER (started);
  gate_work_list_t expired = STAILQ_HEAD_INITIALIZER (expired);
  gate_work_t *work;

  gate_check_timeouts (bench->gate);
  gate_dequeue_ready (bench->gate, &started, &expired);
  STAILQ_FOREACH (work, &started, link)
    upstream_start (bench, CONTAINER_OF (work, request_t, work));
}

/* Offer RATE requests a second in all for the others, FLOOD for account 0.  */
static void
bench_arrivals (bench_t *bench, unsigned rate, unsigned flood)
{
  if (random_next () % 1000 < (uint64_t)rate * STEP_MS)
    bench_offer (bench, 1 + (unsigned)(random_next () % (ACCOUNTS - 1)));
  if (random_next () % 1000 < (uint64_t)flood * STEP_MS)
    bench_offer (bench, 0);
}

static int
compare_wait (const void *left, const void *right)
{
  int64_t a = *(const int64_t *)left;
  int64_t b = *(const int64_t *)right;

  return a < b ? -1 : a > b;
}

static void
bench_print (bench_t *bench, const char *policy, const char *order,
             const char *load)
{
  qsort (bench->waits_ms, bench->wait_count, sizeof bench->waits_ms[0],
         compare_wait);
  printf ("%-10s %-5s %-6s %6u %8u %9.1f %9.1f %8.1f %8lld %8lld\n", policy,
          order, load, bench->crashes, bench->over,
          100.0 * bench->served[1] / bench->offered[1],
          bench->offered[0] == 0
              ? 0
              : 100.0 * bench->served[0] / bench->offered[0],
          (double)(bench->served[0] + bench->served[1]) * 1000 / RUN_MS,
          (long long)bench->waits_ms[bench->wait_count / 2],
          (long long)bench->waits_ms[bench->wait_count * 99 / 100]);
}

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
  bench->warm_ms = is_cold ? COLD_MS : 0;
  for (; bench->now_ms < RUN_MS; bench->now_ms += STEP_MS)
    {
      if (is_cold && bench->now_ms == SILENT_RESTART_MS)
        bench->warm_ms = bench->now_ms + COLD_MS;
      upstream_step (bench);
      if (bench->now_ms >= bench->up_ms)
        {
          bench_take (bench);
          bench_arrivals (bench, rate, flood);
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
  for (unsigned i = 0; i < ACCOUNTS; i++)
    snprintf (account_names[i], sizeof account_names[i], "a%u", i);
  printf ("%-10s %-5s %-6s %6s %8s %9s %9s %8s %8s %8s\n", "policy", "order",
          "load", "falls", "over", "others-%", "flood-%", "served/s", "p50-ms",
          "p99-ms");
  bench_run ("fixed", "fifo", 40, 0, true);
  bench_run ("slow-start", "fifo", 40, 0, true);
  bench_run ("slow-start", "fair", 40, 0, true);
  bench_run ("slow-start", "fifo", 57, 80, false);
  bench_run ("slow-start", "fair", 57, 80, false);
  bench_run ("slow-start", "fair", 57, 8, false);
  return EXIT_SUCCESS;
}
