#include "sim.h"

#include "kernel/plugin.h"
#include "kernel/table.h"
#include "plugins/upstream.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  NETWORK_DELAY_MAX_US = 3000, /* between an agent and its upstream */
  CANCEL_DELAY_MAX_US = 20000, /* until an engine detects a cancelled call */
  WARM_FIRST_BYTE_MAX_MS = 60,
  COLD_FIRST_BYTE_MIN_MS = 300, /* more than slow_first_token in settings */
  COLD_FIRST_BYTE_MAX_MS = 500,
  CHUNK_INTERVAL_MAX_MS = 30,
  CHUNK_COUNT_MAX = 20, /* per response */
  COLD_START_MS = 2000,
  DOWNTIME_MIN_MS = 1000, /* long enough for at least one failed probe */
  DOWNTIME_MAX_MS = 3000,
  DELIVERY_MAX_BYTES = 16 * 1024,   /* per callback to the agent */
  LONG_RESPONSE_BYTES = 300 * 1024, /* exceeds the window to the entry */
  LONG_RESPONSE_INTERVAL = 41,      /* every n-th response is long */
  SHORT_RESPONSE_MAX_BYTES = 5000,
  CONNECTION_FAILURE_PERCENT = 2,      /* of requests */
  FAILURE_BEFORE_RESPONSE_PERCENT = 50 /* of connection failures */
};

/* Record of how often any upstream has run a request.  */
typedef struct run_history
{
  table_node_t node;
  uint64_t request_number;
  unsigned run_count;
  struct timespec last_started_at;
} run_history_t;

typedef struct run run_t;

struct sim_upstream
{
  sim_process_t *agent;
  bool is_plain;
  bool is_down;
  bool is_cold;
  unsigned running_requests;
  uint64_t incarnation;
  LIST_HEAD (, run) runs; /* also those that have not arrived yet */
  LIST_HEAD (, upstream_watch) watches;
  worker_timer_t *warm_timer;
};

struct upstream_transport
{
  worker_t *worker;
  sim_upstream_t *upstream;
};

/* An idle connection that an agent keeps open to detect a restart.  */
typedef struct upstream_watch
{
  LIST_ENTRY (upstream_watch) link;
  upstream_transport_t *transport;
  void (*on_broken) (void *data);
  void *data;
} upstream_watch_t;

/* A load probe whose result is pending.  */
typedef struct probe
{
  upstream_transport_t *transport;
  upstream_probe_done_t done;
  void *data;
} probe_t;

/* The upstream's side of a request, which may outlive the agent's call.  */
struct run
{
  LIST_ENTRY (run) link;
  sim_upstream_t *upstream;
  upstream_call_t *call; /* NULL once the agent has cancelled it */
  uint64_t request_number;
  size_t size; /* of the response */
  size_t chunk_bytes;
  size_t produced;   /* bytes of the response so far */
  size_t fail_after; /* bytes before the connection fails; SIZE_MAX: never */
  bool has_arrived;
};

/* The agent's side of a request.  */
struct upstream_call
{
  upstream_transport_t *transport;
  const upstream_call_ops_t *ops;
  void *data;
  run_t *run; /* NULL after its end or a timeout */
  uint64_t request_number;
  size_t available; /* bytes received from the upstream */
  size_t delivered; /* bytes passed to the agent */
  bool is_head_sent;
  bool is_paused;
  bool is_finished;
  status_t status;
  bool may_have_run;
  worker_timer_t *timer;
};

/* Return the run histories of all requests, created once per simulation.  A
   single thread uses the table, so it needs no lock.  */
static table_t *
current_run_histories (void)
{
  static table_t *histories;
  static const sim_t *owner;

  if (owner != sim_current)
    histories = table_create (sim_current, LOCK_LOG, "run-histories");
  owner = sim_current;
  return histories;
}

static run_history_t *
run_history_find (uint64_t request_number)
{
  table_node_t *node = table_find (current_run_histories (), &request_number,
                                   sizeof request_number);

  return node == NULL ? NULL : CONTAINER_OF (node, run_history_t, node);
}

/* Return how often request REQUEST_NUMBER has run on any upstream.  */
unsigned
sim_upstream_run_count (uint64_t request_number)
{
  const run_history_t *history = run_history_find (request_number);

  return history == NULL ? 0 : history->run_count;
}

/* Return whether request REQUEST_NUMBER was started at THEN or later.  */
unsigned
sim_upstream_has_run_since (uint64_t request_number, struct timespec then)
{
  const run_history_t *history = run_history_find (request_number);

  return history != NULL
         && timespec_compare (history->last_started_at, then) >= 0;
}

/* Return the size in bytes of the response to REQUEST_NUMBER.  The prime
   factor spreads the sizes of consecutive requests.  */
size_t
sim_response_size (uint64_t request_number)
{
  if (request_number % LONG_RESPONSE_INTERVAL == 0)
    return LONG_RESPONSE_BYTES;
  return 1 + (size_t)(request_number * 7919 % SHORT_RESPONSE_MAX_BYTES);
}

/* Return the byte at OFFSET of the response to REQUEST_NUMBER: a letter that
   depends on both, so that mixed-up or shifted responses are detected.  */
char
sim_response_byte (uint64_t request_number, size_t offset)
{
  uint64_t hash
      = (request_number + 1) * 0x9e3779b97f4a7c15 ^ (offset * 0x5851f42d);

  return (char)('a' + (hash >> 20) % 26);
}

static void call_deliver (worker_t *worker, void *data);

static void
call_schedule_delivery (upstream_call_t *call)
{
  if (call->timer == NULL)
    call->timer
        = worker_timer_start (call->transport->worker, call,
                              timespec_from_ms (0), call_deliver, call);
}

/* Pass the next bytes to the agent.  Return false if it paused the
   delivery.  */
static bool
call_deliver_chunk (upstream_call_t *call)
{
  char chunk[DELIVERY_MAX_BYTES];
  size_t size = call->available - call->delivered;

  if (size > sizeof chunk)
    size = sizeof chunk;
  for (size_t i = 0; i < size; i++)
    chunk[i] = sim_response_byte (call->request_number, call->delivered + i);
  if (!call->ops->on_data (chunk, size, call->data))
    {
      call->is_paused = true;
      return false;
    }
  call->delivered += size;
  return true;
}

/* Deliver the available bytes and, after the last one, the end of the call,
   which frees it.  A failure is reported without delivering the rest.  */
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
      if (!call_deliver_chunk (call))
        break;
    }
  if (!call->is_finished
      || (call->status == STATUS_OK && call->delivered < call->available))
    return;
  /* The agent forwards this text to the entry, so its length has an effect on
     the random short writes of a seed.  */
  if (call->status != STATUS_OK)
    status_set (call->status, "the upstream broke off");
  call->ops->on_done (call->status, call->may_have_run, call->data);
  talloc_free (call);
}

static void
call_finish (upstream_call_t *call, status_t status, bool may_have_run)
{
  call->is_finished = true;
  call->status = status;
  call->may_have_run = may_have_run;
  if (status != STATUS_OK
      && sim_current->broken_mechanism == SIM_BROKEN_OUTCOME)
    call->may_have_run = false;
  call_schedule_delivery (call);
}

/* End and free RUN, and finish its call, if any, with STATUS.  */
static void
run_end (run_t *run, status_t status, bool may_have_run)
{
  if (run->has_arrived)
    run->upstream->running_requests--;
  if (run->call != NULL)
    {
      run->call->run = NULL;
      call_finish (run->call, status, may_have_run);
    }
  LIST_REMOVE (run, link);
  talloc_free (run);
}

/* Record that RUN starts.  Fail if it is a booking that has run before, or if
   its request was reported to a client as not run.  */
static void
run_record_start (run_t *run)
{
  run_history_t *history = run_history_find (run->request_number);

  if (history == NULL)
    {
      history = talloc_zero (current_run_histories (), run_history_t);
      history->request_number = run->request_number;
      table_insert (current_run_histories (), &history->node,
                    &history->request_number, sizeof history->request_number);
    }
  history->run_count++;
  history->last_started_at = sim_now ();
  sim_current->counts.upstream_runs++;
  if (run->upstream->is_plain && history->run_count > 1)
    sim_fail ("booking %llu ran %u times",
              (unsigned long long)run->request_number, history->run_count);
  sim_clients_check_run (run->request_number);
}

/* Produce the next chunk of the response; end the run after the last chunk or
   when the connection fails.  */
static void
run_produce_chunk (worker_t *worker, void *data)
{
  run_t *run = data;

  (void)worker;
  run->produced += run->chunk_bytes;
  if (run->produced > run->size)
    run->produced = run->size;
  if (run->fail_after == 0)
    run->produced = 0;
  if (run->call != NULL && run->produced > 0)
    {
      run->call->available = run->produced;
      call_schedule_delivery (run->call);
    }
  if (run->produced >= run->fail_after)
    run_end (run, STATUS_UNAVAILABLE, true);
  else if (run->produced == run->size)
    run_end (run, STATUS_OK, true);
  else
    sim_schedule (run, sim_random_delay (CHUNK_INTERVAL_MAX_MS * 1000LL),
                  run_produce_chunk, run);
}

static struct timespec
run_first_byte_delay (const run_t *run)
{
  if (!run->upstream->is_cold)
    return sim_random_delay (WARM_FIRST_BYTE_MAX_MS * 1000LL);
  return timespec_add (
      timespec_from_ms (COLD_FIRST_BYTE_MIN_MS),
      sim_random_delay ((COLD_FIRST_BYTE_MAX_MS - COLD_FIRST_BYTE_MIN_MS)
                        * 1000LL));
}

/* The request reaches the upstream: run it, or fail it if the upstream is
   down. Check the limit of requests during a cold start.  */
static void
run_start (worker_t *worker, void *data)
{
  run_t *run = data;
  sim_upstream_t *upstream = run->upstream;

  (void)worker;
  if (upstream->is_down)
    {
      run_end (run, STATUS_UNAVAILABLE, false);
      return;
    }
  run->has_arrived = true;
  upstream->running_requests++;
  if (upstream->is_cold && upstream->running_requests > SIM_MAX_COLD_REQUESTS)
    sim_fail ("%s runs %u requests during its cold start",
              upstream->agent->name, upstream->running_requests);
  run_record_start (run);
  sim_schedule (run, run_first_byte_delay (run), run_produce_chunk, run);
}

static upstream_transport_t *
fake_upstream_create (worker_t *worker, const char *url)
{
  upstream_transport_t *transport
      = talloc_zero (worker_events (worker), upstream_transport_t);

  (void)url;
  transport->worker = worker;
  transport->upstream = sim_process_of_worker (worker)->upstream;
  return transport;
}

static void
fake_upstream_destroy (upstream_transport_t *transport)
{
  talloc_free (transport);
}

static void
run_abort (worker_t *worker, void *data)
{
  (void)worker;
  run_end (data, STATUS_UNAVAILABLE, true);
}

/* The agent no longer waits for the run of CALL.  A model engine aborts it
   when it detects that; a plain service completes it.  */
static int
call_detach_run (upstream_call_t *call)
{
  if (call->run == NULL)
    return 0;
  call->run->call = NULL;
  if (!call->run->upstream->is_plain)
    sim_schedule (call->run, sim_random_delay (CANCEL_DELAY_MAX_US), run_abort,
                  call->run);
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
  call_detach_run (call);
  call->run = NULL;
  call_finish (call, STATUS_TIMEOUT, true);
}

static upstream_call_t *
fake_upstream_start (upstream_transport_t *transport,
                     const upstream_request_t *request,
                     const upstream_call_ops_t *ops, void *data)
{
  sim_upstream_t *upstream = transport->upstream;
  upstream_call_t *call;
  run_t *run;
  char *text;

  call = talloc_zero (transport, upstream_call_t);
  run = talloc_zero (upstream, run_t);
  text = talloc_strndup (call, request->body, request->body_size);
  /* Checked when the agent sends the request, not when it arrives.  */
  sim_operators_check_new_work (upstream->agent);
  call->transport = transport;
  call->ops = ops;
  call->data = data;
  call->run = run;
  call->request_number = run->request_number = strtoull (text, NULL, 10);
  talloc_set_destructor (call, call_detach_run);
  run->upstream = upstream;
  run->call = call;
  run->size = sim_response_size (run->request_number);
  run->chunk_bytes = run->size / (1 + sim_random (CHUNK_COUNT_MAX)) + 1;
  run->fail_after = SIZE_MAX;
  if (!sim_current->is_settling && sim_chance (CONNECTION_FAILURE_PERCENT))
    run->fail_after = sim_chance (FAILURE_BEFORE_RESPONSE_PERCENT)
                          ? 0
                          : sim_random (run->size);
  LIST_INSERT_HEAD (&upstream->runs, run, link);
  sim_schedule (run, sim_random_delay (NETWORK_DELAY_MAX_US), run_start, run);
  worker_timer_start (transport->worker, call, request->timeout, call_time_out,
                      call);
  return call;
}

static void
fake_upstream_cancel (upstream_call_t *call)
{
  talloc_free (call);
}

static void
fake_upstream_proceed (upstream_call_t *call)
{
  call->is_paused = false;
  call_schedule_delivery (call);
}

static void
probe_respond (worker_t *worker, void *data)
{
  probe_t *probe = data;
  const sim_upstream_t *upstream = probe->transport->upstream;
  char incarnation[32];
  upstream_report_t report = { .incarnation = incarnation,
                               .has_running = true,
                               .running = upstream->running_requests };

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
fake_upstream_probe (upstream_transport_t *transport, struct timespec timeout,
                     upstream_probe_done_t done, void *data)
{
  probe_t *probe = talloc_zero (transport, probe_t);

  (void)timeout;
  probe->transport = transport;
  probe->done = done;
  probe->data = data;
  worker_timer_start (transport->worker, probe,
                      sim_random_delay (NETWORK_DELAY_MAX_US), probe_respond,
                      probe);
  return STATUS_OK;
}

static int
watch_free (upstream_watch_t *watch)
{
  LIST_REMOVE (watch, link);
  return 0;
}

static void
watch_break (worker_t *worker, void *data)
{
  upstream_watch_t *watch = data;

  (void)worker;
  watch->on_broken (watch->data);
  talloc_free (watch);
}

/* Watch the upstream's connection.  If the upstream is down, the watch fails
   at once.  */
static status_t
fake_upstream_watch (upstream_transport_t *transport,
                     void (*on_broken) (void *data), void *data)
{
  upstream_watch_t *watch = talloc_zero (transport, upstream_watch_t);

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

static const upstream_ops_t fake_upstream_ops = {
  .create = fake_upstream_create,
  .destroy = fake_upstream_destroy,
  .start = fake_upstream_start,
  .cancel = fake_upstream_cancel,
  .proceed = fake_upstream_proceed,
  .probe = fake_upstream_probe,
  .watch = fake_upstream_watch,
};

PLUGIN_REGISTER (http, PLUGIN_UPSTREAM, "http", "simulated in-memory upstream",
                 &fake_upstream_ops);

static void
upstream_finish_warm_up (worker_t *worker, void *data)
{
  sim_upstream_t *upstream = data;

  (void)worker;
  upstream->warm_timer = NULL;
  upstream->is_cold = false;
}

static void
upstream_finish_restart (worker_t *worker, void *data)
{
  sim_upstream_t *upstream = data;

  (void)worker;
  upstream->is_down = false;
  upstream->is_cold = true;
  upstream->incarnation++;
  sim_current->counts.cold_starts++;
  upstream->warm_timer = worker_timer_start (
      sim_current->environment_worker, upstream,
      timespec_from_ms (COLD_START_MS), upstream_finish_warm_up, upstream);
}

/* Create the upstream of AGENT, in cold start.  It belongs to AGENT.  */
sim_upstream_t *
sim_upstream_create (sim_process_t *agent, bool is_plain)
{
  sim_upstream_t *upstream = talloc_zero (agent, sim_upstream_t);

  upstream->agent = agent;
  upstream->is_plain = is_plain;
  LIST_INIT (&upstream->runs);
  LIST_INIT (&upstream->watches);
  upstream_finish_restart (sim_current->environment_worker, upstream);
  return upstream;
}

/* Return whether the agent still waits for a response from UPSTREAM.  */
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

/* Crash UPSTREAM, which aborts its requests, and restart it after a random
   delay in cold start.  Does nothing if it is already down.  */
void
sim_upstream_restart (sim_upstream_t *upstream)
{
  run_t *run;
  upstream_watch_t *watch;

  if (upstream->is_down)
    return;
  LIST_FOREACH (watch, &upstream->watches, link)
    worker_timer_start (watch->transport->worker, watch,
                        sim_random_delay (NETWORK_DELAY_MAX_US), watch_break,
                        watch);
  while ((run = LIST_FIRST (&upstream->runs)) != NULL)
    run_end (run, STATUS_UNAVAILABLE, true);
  TALLOC_FREE (upstream->warm_timer);
  upstream->is_down = true;
  sim_schedule (
      upstream,
      timespec_add (
          timespec_from_ms (DOWNTIME_MIN_MS),
          sim_random_delay ((DOWNTIME_MAX_MS - DOWNTIME_MIN_MS) * 1000LL)),
      upstream_finish_restart, upstream);
}
