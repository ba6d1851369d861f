#include "sim.h"

#include "entry/entry.h"
#include "kernel/plugin.h"

#include <stdio.h>
#include <string.h>

enum
{
  CALL_PAUSE_MAX_US = 70000, /* between two calls */
  BOOKING_PERCENT = 30,
  CANCEL_PERCENT = 4,
  SLOW_READER_PERCENT = 10,
  SLOW_READ_MAX_MS = 400,
  REPEAT_PERCENT = 40, /* of bookings */
  REPEAT_MAX_MS = 15000,
  TWICE_PERCENT = 15, /* the same booking through two entries at once */
  DEADLINE_MIN_MS = 500,
  DEADLINE_MAX_MS = 12000,
  LATE_MS = 2000, /* how long after its deadline a call may still end */
  OK_MIN = 200,
  OK_MAX = 299
};

/* What callers know of a request.  */
typedef struct promise
{
  table_node_t node;
  uint64_t number;
  bool is_not_run; /* a caller was told so and nobody asked again */
  unsigned open;   /* calls for it that have not ended */
  char *key;
} promise_t;

/* One call.  */
typedef struct caller
{
  LIST_ENTRY (caller) link;
  promise_t *promise;
  bool is_booking;
  sim_process_t *entry;
  entry_worker_t *share;
  call_t *call; /* NULL until submitted and once ended */
  struct timespec started_at;
  struct timespec deadline;
  unsigned http_status;
  size_t received;
  bool is_slow;
  bool is_entry_paused; /* at any time meanwhile */
} caller_t;

typedef struct sim_callers
{
  LIST_HEAD (, caller) open;
  table_t *promises; /* one thread uses it, so it is never locked */
  uint64_t next_number;
} sim_callers_t;

struct frontend
{
  entry_worker_t *share;
};

static void caller_start (promise_t *promise, bool is_booking);

static sim_callers_t *
the_callers (void)
{
  return sim_current->callers;
}

static promise_t *
promise_find (uint64_t number)
{
  table_node_t *node
      = table_find (the_callers ()->promises, &number, sizeof number);

  return node == NULL ? NULL : CONTAINER_OF (node, promise_t, node);
}

static promise_t *
promise_create (void)
{
  promise_t *promise = talloc_zero (the_callers (), promise_t);
  time_t seconds = clock_realtime (sim_current->clock).tv_sec;
  struct tm fields;
  char text[32];

  promise->number = ++the_callers ()->next_number;
  gmtime_r (&seconds, &fields);
  strftime (text, sizeof text, "%Y%m%dT%H%M%SZ-", &fields);
  promise->key = talloc_asprintf (promise, "%s%llu", text,
                                  (unsigned long long)promise->number);
  table_insert (the_callers ()->promises, &promise->node, &promise->number,
                sizeof promise->number);
  return promise;
}

/* Request NUMBER runs: fail if its caller was told otherwise.  */
void
sim_callers_check_run (uint64_t number)
{
  if (promise_find (number)->is_not_run)
    sim_fail ("request %llu runs after its caller heard that it did not",
              (unsigned long long)number);
}

typedef struct repeat
{
  promise_t *promise;
} repeat_t;

static void
repeat_run (worker_t *worker, void *data)
{
  repeat_t *repeat = data;

  (void)worker;
  sim_current->counts.repeats++;
  caller_start (repeat->promise, true);
  talloc_free (repeat);
}

static void
caller_repeat_later (const caller_t *caller)
{
  repeat_t *repeat = talloc_zero (the_callers (), repeat_t);

  repeat->promise = caller->promise;
  sim_after (repeat, sim_delay (REPEAT_MAX_MS * 1000LL), repeat_run, repeat);
}

static void
caller_end (caller_t *caller)
{
  caller->promise->open--;
  if (caller->is_booking && !sim_current->is_quiet
      && sim_chance (REPEAT_PERCENT))
    caller_repeat_later (caller);
  LIST_REMOVE (caller, link);
  talloc_free (caller);
}

static void
caller_check_not_run (caller_t *caller)
{
  uint64_t number = caller->promise->number;

  if (caller->received > 0)
    sim_fail ("request %llu had an answer and did not run",
              (unsigned long long)number);
  if (!caller->is_booking || caller->promise->open == 1)
    {
      if (sim_upstream_runs_since (number, caller->started_at))
        sim_fail ("request %llu ran and its caller heard that it did not",
                  (unsigned long long)number);
      caller->promise->is_not_run = sim_upstream_runs (number) == 0;
    }
}

static void
caller_check_whole (const caller_t *caller)
{
  uint64_t number = caller->promise->number;

  if (caller->http_status < OK_MIN || caller->http_status > OK_MAX)
    sim_fail ("request %llu ended whole with status %u",
              (unsigned long long)number, caller->http_status);
  if (caller->received != sim_answer_size (number))
    sim_fail ("request %llu ended whole with %zu of %zu bytes",
              (unsigned long long)number, caller->received,
              sim_answer_size (number));
  if (sim_upstream_runs (number) == 0)
    sim_fail ("request %llu has an answer and never ran",
              (unsigned long long)number);
}

static void
caller_check_time (const caller_t *caller)
{
  int64_t late
      = sim_ms_since (timespec_add (caller->started_at, caller->deadline));

  if (late > LATE_MS && !caller->is_entry_paused)
    sim_fail ("request %llu ended %lld ms after its deadline",
              (unsigned long long)caller->promise->number, (long long)late);
}

static void
caller_on_head (call_t *call, unsigned http_status, const char *content_type,
                void *data)
{
  caller_t *caller = data;

  (void)call;
  (void)content_type;
  caller->http_status = http_status;
}

static void
caller_take (worker_t *worker, void *data)
{
  caller_t *caller = data;

  (void)worker;
  if (caller->call != NULL)
    call_set_pending_bytes (caller->call, 0);
}

static void
caller_on_data (call_t *call, const char *bytes, size_t size, void *data)
{
  caller_t *caller = data;

  for (size_t i = 0; i < size; i++)
    {
      if (bytes[i]
          != sim_answer_byte (caller->promise->number, caller->received + i))
        sim_fail ("request %llu got a wrong byte at %zu",
                  (unsigned long long)caller->promise->number,
                  caller->received + i);
    }
  caller->received += size;
  if (caller->is_slow)
    worker_timer_start (caller->share->worker, caller,
                        sim_delay (SLOW_READ_MAX_MS * 1000LL), caller_take,
                        caller);
  else
    call_set_pending_bytes (call, 0);
}

static void
caller_on_end (call_t *call, const call_result_t *result, void *data)
{
  caller_t *caller = data;
  sim_counts_t *counts = &sim_current->counts;

  (void)call;
  caller->call = NULL;
  caller_check_time (caller);
  if (result->is_complete)
    caller_check_whole (caller);
  else if (result->outcome == OUTCOME_RAN)
    counts->cut++;
  if (result->outcome == OUTCOME_NOT_RUN)
    caller_check_not_run (caller);
  if (result->outcome == OUTCOME_RAN)
    counts->ran++;
  else if (result->outcome == OUTCOME_NOT_RUN)
    counts->not_run++;
  else
    counts->unknown++;
  caller_end (caller);
}

static const call_ops_t caller_ops = {
  .on_head = caller_on_head,
  .on_data = caller_on_data,
  .on_end = caller_on_end,
};

static void
caller_cancel (worker_t *worker, void *data)
{
  caller_t *caller = data;

  (void)worker;
  if (caller->call == NULL)
    return;
  call_cancel (caller->call);
  caller->call = NULL;
  sim_current->counts.lost++;
  caller_end (caller);
}

static void
caller_submit (worker_t *worker, void *data)
{
  caller_t *caller = data;
  bool is_booking = caller->is_booking;
  char body[32];
  call_request_t request
      = { .account = sim_chance (20) ? "salon-desk" : "style-app",
          .service = is_booking ? "booking" : "style",
          .model = is_booking ? "" : "style-assistant",
          .method = "POST",
          .path = is_booking ? "/bookings" : "/v1/chat/completions",
          .content_type = "application/json",
          .key = is_booking ? caller->promise->key : "",
          .is_repeatable = !is_booking,
          .deadline = caller->deadline,
          .prompt_tokens = is_booking ? 1 : 20,
          .output_tokens = is_booking ? 0 : 50 };

  snprintf (body, sizeof body, "%llu",
            (unsigned long long)caller->promise->number);
  request.body = (blob_t){ body, strlen (body) };
  caller->call = call_submit (caller->share, &request, &caller_ops, caller);
  if (!sim_current->is_quiet && sim_chance (CANCEL_PERCENT))
    worker_timer_start (worker, caller,
                        sim_delay (timespec_to_us (caller->deadline)),
                        caller_cancel, caller);
}

/* The balancer in front: any entry that takes work.  */
static entry_worker_t *
caller_find_share (sim_process_t **entry)
{
  sim_process_t *process;
  entry_worker_t *found = NULL;
  uint64_t seen = 0;

  STAILQ_FOREACH (process, &sim_current->processes, link)
    {
      for (unsigned i = 0; i < SIM_WORKERS; i++)
        {
          if (process->shares[i] == NULL || sim_random (++seen) != 0)
            continue;
          found = process->shares[i];
          *entry = process;
        }
    }
  return found;
}

/* Call for PROMISE through some entry.  */
static void
caller_start (promise_t *promise, bool is_booking)
{
  sim_process_t *entry = NULL;
  entry_worker_t *share = caller_find_share (&entry);
  caller_t *caller;

  if (share == NULL)
    {
      sim_current->counts.refused_at_door++;
      return;
    }
  caller = talloc_zero (the_callers (), caller_t);
  caller->promise = promise;
  caller->is_booking = is_booking;
  caller->entry = entry;
  caller->share = share;
  caller->started_at = sim_now ();
  caller->deadline = timespec_add (
      timespec_from_ms (DEADLINE_MIN_MS),
      sim_delay ((DEADLINE_MAX_MS - DEADLINE_MIN_MS) * 1000LL));
  caller->is_slow = sim_chance (SLOW_READER_PERCENT);
  caller->is_entry_paused = entry->is_frozen;
  promise->is_not_run = false;
  promise->open++;
  LIST_INSERT_HEAD (&the_callers ()->open, caller, link);
  sim_current->counts.calls++;
  worker_timer_start (share->worker, caller, timespec_from_ms (0),
                      caller_submit, caller);
}

static void
callers_act (worker_t *worker, void *data)
{
  bool is_booking = sim_chance (BOOKING_PERCENT);
  promise_t *promise;

  (void)worker;
  if (sim_current->is_quiet)
    return;
  promise = promise_create ();
  caller_start (promise, is_booking);
  if (is_booking && sim_chance (TWICE_PERCENT))
    caller_start (promise, true);
  sim_after (data, sim_delay (CALL_PAUSE_MAX_US), callers_act, data);
}

/* Let the callers begin.  */
void
sim_callers_create (void)
{
  sim_callers_t *callers = talloc_zero (sim_current, sim_callers_t);

  sim_current->callers = callers;
  LIST_INIT (&callers->open);
  callers->promises = table_create (callers, LOCK_LOG, "promises");
  sim_after (callers, sim_delay (CALL_PAUSE_MAX_US), callers_act, callers);
}

/* ENTRY dies: its callers' connections break.  */
void
sim_callers_note_lost (sim_process_t *entry)
{
  caller_t *caller;
  caller_t *next;

  for (caller = LIST_FIRST (&the_callers ()->open); caller != NULL;
       caller = next)
    {
      next = LIST_NEXT (caller, link);
      if (caller->entry != entry)
        continue;
      sim_current->counts.lost++;
      caller_end (caller);
    }
}

/* ENTRY is paused; its callers may hear later than they should.  */
void
sim_callers_note_pause (const sim_process_t *entry)
{
  caller_t *caller;

  LIST_FOREACH (caller, &the_callers ()->open, link)
    caller->is_entry_paused |= caller->entry == entry;
}

/* ENTRY ends its planned stop: fail if a request is still open.  */
void
sim_callers_check_stop (const sim_process_t *entry)
{
  const caller_t *caller;

  LIST_FOREACH (caller, &the_callers ()->open, link)
    {
      if (caller->entry == entry)
        sim_fail ("the planned stop of %s cut request %llu off", entry->name,
                  (unsigned long long)caller->promise->number);
    }
}

/* Return how many calls have not ended.  */
size_t
sim_callers_open (void)
{
  const caller_t *caller;
  size_t count = 0;

  LIST_FOREACH (caller, &the_callers ()->open, link)
    count++;
  return count;
}

static frontend_t *
fake_create (entry_worker_t *share, const char *address, uint16_t *port)
{
  frontend_t *frontend
      = talloc_zero (worker_events (share->worker), frontend_t);

  (void)address;
  *port = 1;
  frontend->share = share;
  sim_process_of (share->worker)->shares[worker_index (share->worker)] = share;
  return frontend;
}

static void
fake_stop_listening (frontend_t *frontend)
{
  (void)frontend;
}

static unsigned
fake_open_count (const frontend_t *frontend)
{
  const caller_t *caller;
  unsigned count = 0;

  LIST_FOREACH (caller, &the_callers ()->open, link)
    count += caller->share == frontend->share;
  return count;
}

static void
fake_destroy (frontend_t *frontend)
{
  talloc_free (frontend);
}

static const frontend_ops_t fake_ops = {
  .create = fake_create,
  .stop_listening = fake_stop_listening,
  .open_count = fake_open_count,
  .destroy = fake_destroy,
};

PLUGIN_REGISTER (http, PLUGIN_FRONTEND, "http", "callers in memory",
                 &fake_ops);
