#include "sim.h"

#include "kernel/plugin.h"
#include "kernel/table.h"
#include "plugins/upstream.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ARRIVAL_MAX_US = 3000,
  DROP_MAX_US = 20000, /* until a broken connection has been noticed */
  WARM_FIRST_MAX_MS = 60,
  COLD_FIRST_MIN_MS = 300, /* over the slow_first_token of the rules */
  COLD_FIRST_MAX_MS = 500,
  STEP_MAX_MS = 30,
  STEPS_MAX = 20,
  COLD_MS = 2000,
  DOWN_MIN_MS = 1000, /* at least one question for the load fails */
  DOWN_MAX_MS = 3000,
  PART_BYTES = 16 * 1024,
  LONG_ANSWER_BYTES = 300 * 1024, /* over the window to the entry */
  FAIL_PERCENT = 2                /* of requests: the connection breaks */
};

/* How often a request has run; numbers name requests.  */
typedef struct account_of
{
  table_node_t node;
  uint64_t number;
  unsigned runs;
  struct timespec last_at;
} account_of_t;

typedef struct run run_t;

struct sim_upstream
{
  sim_process_t *agent;
  bool is_plain;
  bool is_down;
  bool is_cold;
  unsigned open;
  uint64_t incarnation;
  LIST_HEAD (, run) runs;
  LIST_HEAD (, watch) watches;
  worker_timer_t *warm_timer;
};

struct upstream_transport
{
  worker_t *worker;
  sim_upstream_t *upstream;
};

/* A connection that an agent holds to hear of a restart.  */
typedef struct watch
{
  LIST_ENTRY (watch) link;
  upstream_transport_t *transport;
  void (*on_broken) (void *data);
  void *data;
} watch_t;

/* A load report on its way.  */
typedef struct probe
{
  upstream_transport_t *transport;
  upstream_probe_done_t done;
  void *data;
} probe_t;

/* A request on the upstream, which outlives the agent's interest.  */
struct run
{
  LIST_ENTRY (run) link;
  sim_upstream_t *upstream;
  upstream_call_t *call; /* NULL once the agent is gone */
  uint64_t number;
  size_t size;
  size_t part;
  size_t made;
  size_t fails_at; /* how much is made before the connection breaks */
  bool is_arrived;
};

/* The agent's side.  */
struct upstream_call
{
  upstream_transport_t *transport;
  const upstream_call_ops_t *ops;
  void *data;
  run_t *run; /* NULL once it ended */
  uint64_t number;
  size_t available;
  size_t delivered;
  bool is_head_sent;
  bool is_paused;
  bool is_over;
  status_t status;
  bool may_have_run;
  worker_timer_t *timer;
};

/* The accounts of all upstreams; one thread uses them, so the table is never
   locked.  */
static table_t *
the_accounts (void)
{
  static table_t *accounts;
  static const sim_t *owner;

  if (owner != sim_current)
    accounts = table_create (sim_current, LOCK_LOG, "accounts");
  owner = sim_current;
  return accounts;
}

static account_of_t *
account_find (uint64_t number)
{
  table_node_t *node = table_find (the_accounts (), &number, sizeof number);

  return node == NULL ? NULL : CONTAINER_OF (node, account_of_t, node);
}

/* Return how often request NUMBER ran.  */
unsigned
sim_upstream_runs (uint64_t number)
{
  const account_of_t *account = account_find (number);

  return account == NULL ? 0 : account->runs;
}

/* Return whether request NUMBER ran at THEN or later.  */
unsigned
sim_upstream_runs_since (uint64_t number, struct timespec then)
{
  const account_of_t *account = account_find (number);

  return account != NULL && timespec_compare (account->last_at, then) >= 0;
}

/* Return the size of the answer to request NUMBER.  */
size_t
sim_answer_size (uint64_t number)
{
  if (number % 41 == 0)
    return LONG_ANSWER_BYTES;
  return 1 + (size_t)(number * 7919 % 5000);
}

/* Return the byte at OFFSET of the answer to request NUMBER.  */
char
sim_answer_byte (uint64_t number, size_t offset)
{
  uint64_t mixed = (number + 1) * 0x9e3779b97f4a7c15 ^ (offset * 0x5851f42d);

  return (char)('a' + (mixed >> 20) % 26);
}

static void call_deliver (worker_t *worker, void *data);

static void
call_wake (upstream_call_t *call)
{
  if (call->timer == NULL)
    call->timer
        = worker_timer_start (call->transport->worker, call,
                              timespec_from_ms (0), call_deliver, call);
}

static bool
call_deliver_part (upstream_call_t *call)
{
  char part[PART_BYTES];
  size_t size = call->available - call->delivered;

  if (size > sizeof part)
    size = sizeof part;
  for (size_t i = 0; i < size; i++)
    part[i] = sim_answer_byte (call->number, call->delivered + i);
  if (!call->ops->on_data (part, size, call->data))
    {
      call->is_paused = true;
      return false;
    }
  call->delivered += size;
  return true;
}

static void
call_deliver (worker_t *worker, void *data)
{
  upstream_call_t *call = data;

  (void)worker;
  call->timer = NULL;
  if (call->available > 0 && !call->is_head_sent)
    {
      call->is_head_sent = true;
      call->ops->on_head (call->transport->upstream->is_plain ? 201 : 200,
                          "text/plain", call->data);
    }
  while (call->delivered < call->available && !call->is_paused)
    {
      if (!call_deliver_part (call))
        break;
    }
  if (!call->is_over
      || (call->status == STATUS_OK && call->delivered < call->available))
    return;
  if (call->status != STATUS_OK)
    status_set (call->status, "the upstream broke off");
  call->ops->on_done (call->status, call->may_have_run, call->data);
  talloc_free (call);
}

static void
call_finish (upstream_call_t *call, status_t status, bool may_have_run)
{
  call->is_over = true;
  call->status = status;
  call->may_have_run = may_have_run;
  if (status != STATUS_OK && sim_current->broken == SIM_BROKEN_OUTCOME)
    call->may_have_run = false;
  call_wake (call);
}

/* End RUN; its call, if any, gets STATUS.  */
static void
run_end (run_t *run, status_t status, bool may_have_run)
{
  if (run->is_arrived)
    run->upstream->open--;
  if (run->call != NULL)
    {
      run->call->run = NULL;
      call_finish (run->call, status, may_have_run);
    }
  LIST_REMOVE (run, link);
  talloc_free (run);
}

static void
run_account (run_t *run)
{
  account_of_t *account = account_find (run->number);

  if (account == NULL)
    {
      account = talloc_zero (the_accounts (), account_of_t);
      account->number = run->number;
      table_insert (the_accounts (), &account->node, &account->number,
                    sizeof account->number);
    }
  account->runs++;
  account->last_at = sim_now ();
  sim_current->counts.runs++;
  if (run->upstream->is_plain && account->runs > 1)
    sim_fail ("booking %llu ran %u times", (unsigned long long)run->number,
              account->runs);
  sim_callers_check_run (run->number);
}

static void
run_step (worker_t *worker, void *data)
{
  run_t *run = data;

  (void)worker;
  run->made += run->part;
  if (run->made > run->size)
    run->made = run->size;
  if (run->fails_at == 0)
    run->made = 0;
  if (run->call != NULL && run->made > 0)
    {
      run->call->available = run->made;
      call_wake (run->call);
    }
  if (run->made >= run->fails_at)
    run_end (run, STATUS_UNAVAILABLE, true);
  else if (run->made == run->size)
    run_end (run, STATUS_OK, true);
  else
    sim_after (run, sim_delay (STEP_MAX_MS * 1000LL), run_step, run);
}

static struct timespec
run_first_delay (const run_t *run)
{
  if (!run->upstream->is_cold)
    return sim_delay (WARM_FIRST_MAX_MS * 1000LL);
  return timespec_add (
      timespec_from_ms (COLD_FIRST_MIN_MS),
      sim_delay ((COLD_FIRST_MAX_MS - COLD_FIRST_MIN_MS) * 1000LL));
}

/* The request reaches the upstream.  */
static void
run_arrive (worker_t *worker, void *data)
{
  run_t *run = data;
  sim_upstream_t *upstream = run->upstream;

  (void)worker;
  if (upstream->is_down)
    {
      run_end (run, STATUS_UNAVAILABLE, false);
      return;
    }
  run->is_arrived = true;
  upstream->open++;
  if (upstream->is_cold && upstream->open > SIM_COLD_REQUESTS)
    sim_fail ("%s has %u requests in cold start", upstream->agent->name,
              upstream->open);
  run_account (run);
  sim_after (run, run_first_delay (run), run_step, run);
}

static upstream_transport_t *
fake_create (worker_t *worker, const char *url)
{
  upstream_transport_t *transport
      = talloc_zero (worker_events (worker), upstream_transport_t);

  (void)url;
  transport->worker = worker;
  transport->upstream = sim_process_of (worker)->upstream;
  return transport;
}

static void
fake_destroy (upstream_transport_t *transport)
{
  talloc_free (transport);
}

static void
run_drop (worker_t *worker, void *data)
{
  (void)worker;
  run_end (data, STATUS_UNAVAILABLE, true);
}

/* The agent no longer waits for the run: a model engine drops it once it has
   noticed, a plain service goes on.  */
static int
call_free (upstream_call_t *call)
{
  if (call->run == NULL)
    return 0;
  call->run->call = NULL;
  if (!call->run->upstream->is_plain)
    sim_after (call->run, sim_delay (DROP_MAX_US), run_drop, call->run);
  return 0;
}

static void
call_time_out (worker_t *worker, void *data)
{
  upstream_call_t *call = data;
  run_t *run = call->run;

  (void)worker;
  if (run == NULL)
    return;
  call_free (call);
  call->run = NULL;
  call_finish (call, STATUS_TIMEOUT, true);
}

static upstream_call_t *
fake_start (upstream_transport_t *transport, const upstream_request_t *request,
            const upstream_call_ops_t *ops, void *data)
{
  sim_upstream_t *upstream = transport->upstream;
  upstream_call_t *call;
  run_t *run;
  char *text;

  call = talloc_zero (transport, upstream_call_t);
  run = talloc_zero (upstream, run_t);
  text = talloc_strndup (call, request->body, request->body_size);
  /* New work is what the agent sends, even if it arrives a little later.  */
  sim_operators_check_work (upstream->agent);
  call->transport = transport;
  call->ops = ops;
  call->data = data;
  call->run = run;
  call->number = run->number = strtoull (text, NULL, 10);
  talloc_set_destructor (call, call_free);
  run->upstream = upstream;
  run->call = call;
  run->size = sim_answer_size (run->number);
  run->part = run->size / (1 + sim_random (STEPS_MAX)) + 1;
  run->fails_at = SIZE_MAX;
  if (!sim_current->is_quiet && sim_chance (FAIL_PERCENT))
    run->fails_at = sim_chance (50) ? 0 : sim_random (run->size);
  LIST_INSERT_HEAD (&upstream->runs, run, link);
  sim_after (run, sim_delay (ARRIVAL_MAX_US), run_arrive, run);
  worker_timer_start (transport->worker, call, request->timeout, call_time_out,
                      call);
  return call;
}

static void
fake_cancel (upstream_call_t *call)
{
  talloc_free (call);
}

static void
fake_proceed (upstream_call_t *call)
{
  call->is_paused = false;
  call_wake (call);
}

static void
probe_answer (worker_t *worker, void *data)
{
  probe_t *probe = data;
  const sim_upstream_t *upstream = probe->transport->upstream;
  char incarnation[32];
  upstream_report_t report = { .incarnation = incarnation,
                               .has_running = true,
                               .running = upstream->open };

  (void)worker;
  snprintf (incarnation, sizeof incarnation, "%llu",
            (unsigned long long)upstream->incarnation);
  if (upstream->is_down)
    probe->done (STATUS_UNAVAILABLE, NULL, probe->data);
  else
    probe->done (STATUS_OK, &report, probe->data);
  talloc_free (probe);
}

static status_t
fake_probe (upstream_transport_t *transport, struct timespec timeout,
            upstream_probe_done_t done, void *data)
{
  probe_t *probe = talloc_zero (transport, probe_t);

  (void)timeout;
  probe->transport = transport;
  probe->done = done;
  probe->data = data;
  worker_timer_start (transport->worker, probe, sim_delay (ARRIVAL_MAX_US),
                      probe_answer, probe);
  return STATUS_OK;
}

static int
watch_free (watch_t *watch)
{
  LIST_REMOVE (watch, link);
  return 0;
}

static void
watch_break (worker_t *worker, void *data)
{
  watch_t *watch = data;

  (void)worker;
  watch->on_broken (watch->data);
  talloc_free (watch);
}

/* A connection to an upstream that is down breaks at once.  */
static status_t
fake_watch (upstream_transport_t *transport, void (*on_broken) (void *data),
            void *data)
{
  watch_t *watch = talloc_zero (transport, watch_t);

  watch->transport = transport;
  watch->on_broken = on_broken;
  watch->data = data;
  LIST_INSERT_HEAD (&transport->upstream->watches, watch, link);
  talloc_set_destructor (watch, watch_free);
  if (transport->upstream->is_down)
    worker_timer_start (transport->worker, watch, timespec_from_ms (0),
                        watch_break, watch);
  return STATUS_OK;
}

static const upstream_ops_t fake_ops = {
  .create = fake_create,
  .destroy = fake_destroy,
  .start = fake_start,
  .cancel = fake_cancel,
  .proceed = fake_proceed,
  .probe = fake_probe,
  .watch = fake_watch,
};

PLUGIN_REGISTER (http, PLUGIN_UPSTREAM, "http", "an upstream in memory",
                 &fake_ops);

static void
upstream_warm (worker_t *worker, void *data)
{
  sim_upstream_t *upstream = data;

  (void)worker;
  upstream->warm_timer = NULL;
  upstream->is_cold = false;
}

static void
upstream_come_up (worker_t *worker, void *data)
{
  sim_upstream_t *upstream = data;

  (void)worker;
  upstream->is_down = false;
  upstream->is_cold = true;
  upstream->incarnation++;
  sim_current->counts.cold_starts++;
  upstream->warm_timer = worker_timer_start (sim_current->world, upstream,
                                             timespec_from_ms (COLD_MS),
                                             upstream_warm, upstream);
}

/* Create the upstream beside AGENT, in cold start.  */
sim_upstream_t *
sim_upstream_create (sim_process_t *agent, bool is_plain)
{
  sim_upstream_t *upstream = talloc_zero (agent, sim_upstream_t);

  upstream->agent = agent;
  upstream->is_plain = is_plain;
  LIST_INIT (&upstream->runs);
  LIST_INIT (&upstream->watches);
  upstream_come_up (sim_current->world, upstream);
  return upstream;
}

/* Return whether the agent still waits for an answer of UPSTREAM.  */
bool
sim_upstream_has_calls (const sim_upstream_t *upstream)
{
  const run_t *run;

  LIST_FOREACH (run, &upstream->runs, link)
    {
      if (run->call != NULL)
        return true;
    }
  return false;
}

/* Let UPSTREAM crash and come back in cold start.  */
void
sim_upstream_restart (sim_upstream_t *upstream)
{
  run_t *run;
  watch_t *watch;

  if (upstream->is_down)
    return;
  LIST_FOREACH (watch, &upstream->watches, link)
    worker_timer_start (watch->transport->worker, watch,
                        sim_delay (ARRIVAL_MAX_US), watch_break, watch);
  while ((run = LIST_FIRST (&upstream->runs)) != NULL)
    run_end (run, STATUS_UNAVAILABLE, true);
  TALLOC_FREE (upstream->warm_timer);
  upstream->is_down = true;
  sim_after (upstream,
             timespec_add (timespec_from_ms (DOWN_MIN_MS),
                           sim_delay ((DOWN_MAX_MS - DOWN_MIN_MS) * 1000LL)),
             upstream_come_up, upstream);
}
