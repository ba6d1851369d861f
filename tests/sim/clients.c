#include "sim.h"

#include "entry/entry.h"
#include "kernel/plugin.h"

#include <stdio.h>
#include <string.h>

enum
{
  CALL_INTERVAL_MAX_US = 70000, /* between two new requests */
  BOOKING_PERCENT = 30,         /* of requests; the others are for a model */
  CANCEL_PERCENT = 4,
  SLOW_READER_PERCENT = 10,
  SLOW_READ_DELAY_MAX_MS = 400,
  SALON_DESK_PERCENT = 20, /* of calls, from the account with priority */
  RETRY_PERCENT = 40,      /* of bookings, sent again with the same key */
  RETRY_DELAY_MAX_MS = 15000,
  DUPLICATE_PERCENT = 15, /* of bookings, sent twice at the same time */
  DEADLINE_MIN_MS = 500,
  DEADLINE_MAX_MS = 12000,
  DEADLINE_TOLERANCE_MS = 2000, /* for the end of a call after its deadline */
  HTTP_SUCCESS_MIN = 200,
  HTTP_SUCCESS_MAX = 299
};

/* A request, which clients may send several times with the same key.  */
typedef struct client_request
{
  table_node_t node;
  uint64_t number;
  bool is_known_not_run; /* reported as not run and not sent again since */
  unsigned open_calls;   /* calls for it that have not ended */
  char *key;             /* idempotency key, begins with its creation time */
} client_request_t;

/* A client with one call of a request.  */
typedef struct client
{
  LIST_ENTRY (client) link;
  client_request_t *request;
  bool is_booking; /* must run at most once */
  sim_process_t *entry;
  entry_worker_t *entry_worker;
  call_t *call; /* NULL before the submission and after the end */
  struct timespec started_at;
  struct timespec deadline; /* relative to STARTED_AT */
  unsigned http_status;
  size_t received_bytes;
  bool is_slow_reader;
  bool was_entry_paused; /* at any time during the call */
} client_t;

typedef struct sim_clients
{
  LIST_HEAD (, client) open_clients;
  table_t *requests; /* by number; used by one thread, needs no lock */
  uint64_t next_number;
} sim_clients_t;

struct frontend
{
  entry_worker_t *entry_worker;
};

static void client_start (client_request_t *request, bool is_booking);

static sim_clients_t *
current_clients (void)
{
  return sim_current->clients;
}

static client_request_t *
client_request_find (uint64_t request_number)
{
  table_node_t *node = table_find (current_clients ()->requests,
                                   &request_number, sizeof request_number);

  return node == NULL ? NULL : CONTAINER_OF (node, client_request_t, node);
}

/* Create a request with the next number and a new idempotency key.  */
static client_request_t *
client_request_create (void)
{
  client_request_t *request
      = talloc_zero (current_clients (), client_request_t);
  time_t seconds = clock_realtime (sim_current->clock).tv_sec;
  struct tm fields;
  char text[32];

  request->number = ++current_clients ()->next_number;
  gmtime_r (&seconds, &fields);
  strftime (text, sizeof text, "%Y%m%dT%H%M%SZ-", &fields);
  request->key = talloc_asprintf (request, "%s%llu", text,
                                  (unsigned long long)request->number);
  table_insert (current_clients ()->requests, &request->node, &request->number,
                sizeof request->number);
  return request;
}

/* An upstream starts to run REQUEST_NUMBER: fail if it was reported as
   not run and has not been sent again.  */
void
sim_clients_check_run (uint64_t request_number)
{
  if (client_request_find (request_number)->is_known_not_run)
    sim_fail ("request %llu runs after it was reported as not run",
              (unsigned long long)request_number);
}

/* A booking that will be sent again.  */
typedef struct retry
{
  client_request_t *request;
} retry_t;

static void
retry_run (worker_t *worker, void *data)
{
  retry_t *retry = data;

  (void)worker;
  sim_current->counts.retries++;
  client_start (retry->request, true);
  talloc_free (retry);
}

static void
client_schedule_retry (const client_t *client)
{
  retry_t *retry = talloc_zero (current_clients (), retry_t);

  retry->request = client->request;
  sim_schedule (retry, sim_random_delay (RETRY_DELAY_MAX_MS * 1000LL),
                retry_run, retry);
}

/* Free CLIENT after the end of its call; some bookings are sent again
   later.  */
static void
client_end (client_t *client)
{
  client->request->open_calls--;
  if (client->is_booking && !sim_current->is_settling
      && sim_chance (RETRY_PERCENT))
    client_schedule_retry (client);
  LIST_REMOVE (client, link);
  talloc_free (client);
}

/* Check an outcome "not run".  While other calls of the same booking are open,
   they may run it.  */
static void
client_check_not_run (client_t *client)
{
  uint64_t request_number = client->request->number;

  if (client->received_bytes > 0)
    sim_fail ("request %llu was reported as not run after a partial response",
              (unsigned long long)request_number);
  if (!client->is_booking || client->request->open_calls == 1)
    {
      if (sim_upstream_has_run_since (request_number, client->started_at))
        sim_fail ("request %llu ran but was reported as not run",
                  (unsigned long long)request_number);
      client->request->is_known_not_run
          = sim_upstream_run_count (request_number) == 0;
    }
}

static void
client_check_complete (const client_t *client)
{
  uint64_t request_number = client->request->number;

  if (client->http_status < HTTP_SUCCESS_MIN
      || client->http_status > HTTP_SUCCESS_MAX)
    sim_fail ("request %llu was reported as complete with HTTP status %u",
              (unsigned long long)request_number, client->http_status);
  if (client->received_bytes != sim_response_size (request_number))
    sim_fail ("request %llu was reported as complete after %zu of %zu bytes",
              (unsigned long long)request_number, client->received_bytes,
              sim_response_size (request_number));
  if (sim_upstream_run_count (request_number) == 0)
    sim_fail ("request %llu has a complete response but never ran",
              (unsigned long long)request_number);
}

static void
client_check_deadline (const client_t *client)
{
  int64_t late_ms
      = sim_ms_since (timespec_add (client->started_at, client->deadline));

  if (late_ms > DEADLINE_TOLERANCE_MS && !client->was_entry_paused)
    sim_fail ("request %llu ended %lld ms after its deadline",
              (unsigned long long)client->request->number, (long long)late_ms);
}

static void
client_on_head (call_t *call, unsigned http_status, const char *content_type,
                void *data)
{
  client_t *client = data;

  (void)call;
  (void)content_type;
  client->http_status = http_status;
}

/* A slow client has read all data received so far.  */
static void
client_finish_read (worker_t *worker, void *data)
{
  client_t *client = data;

  (void)worker;
  if (client->call != NULL)
    call_set_pending_bytes (client->call, 0);
}

static void
client_on_data (call_t *call, const char *bytes, size_t size, void *data)
{
  client_t *client = data;

  for (size_t i = 0; i < size; i++)
    {
      if (bytes[i]
          != sim_response_byte (client->request->number,
                                client->received_bytes + i))
        sim_fail ("request %llu received a wrong byte at offset %zu",
                  (unsigned long long)client->request->number,
                  client->received_bytes + i);
    }
  client->received_bytes += size;
  if (client->is_slow_reader)
    worker_timer_start (client->entry_worker->worker, client,
                        sim_random_delay (SLOW_READ_DELAY_MAX_MS * 1000LL),
                        client_finish_read, client);
  else
    call_set_pending_bytes (call, 0);
}

static void
client_on_end (call_t *call, const call_result_t *result, void *data)
{
  client_t *client = data;
  sim_counts_t *counts = &sim_current->counts;

  (void)call;
  client->call = NULL;
  client_check_deadline (client);
  if (result->is_complete)
    client_check_complete (client);
  else if (result->outcome == OUTCOME_RAN)
    counts->truncated++;
  if (result->outcome == OUTCOME_NOT_RUN)
    client_check_not_run (client);
  if (result->outcome == OUTCOME_RAN)
    counts->ran++;
  else if (result->outcome == OUTCOME_NOT_RUN)
    counts->not_run++;
  else
    counts->unknown++;
  client_end (client);
}

static const call_ops_t client_ops = {
  .on_head = client_on_head,
  .on_data = client_on_data,
  .on_end = client_on_end,
};

static void
client_cancel (worker_t *worker, void *data)
{
  client_t *client = data;

  (void)worker;
  if (client->call == NULL)
    return;
  call_cancel (client->call);
  client->call = NULL;
  sim_current->counts.lost++;
  client_end (client);
}

static void
client_submit (worker_t *worker, void *data)
{
  client_t *client = data;
  bool is_booking = client->is_booking;
  char body[32];
  call_request_t call_request
      = { .account
          = sim_chance (SALON_DESK_PERCENT) ? "salon-desk" : "style-app",
          .service = is_booking ? "booking" : "style",
          .model = is_booking ? "" : "style-assistant",
          .method = "POST",
          .path = is_booking ? "/bookings" : "/v1/chat/completions",
          .content_type = "application/json",
          .key = is_booking ? client->request->key : "",
          .is_repeatable = !is_booking,
          .deadline = client->deadline,
          .prompt_tokens = is_booking ? 1 : 20,
          .output_tokens = is_booking ? 0 : 50 };

  snprintf (body, sizeof body, "%llu",
            (unsigned long long)client->request->number);
  call_request.body = (blob_t){ body, strlen (body) };
  client->call
      = call_submit (client->entry_worker, &call_request, &client_ops, client);
  if (!sim_current->is_settling && sim_chance (CANCEL_PERCENT))
    worker_timer_start (worker, client,
                        sim_random_delay (timespec_to_us (client->deadline)),
                        client_cancel, client);
}

/* Choose a worker of an entry that accepts calls, like the load balancer in
   front of the entries.  Set *ENTRY to its process.  Return NULL if there is
   none.  Each of the workers is equally likely (reservoir sampling).  */
static entry_worker_t *
client_choose_entry (sim_process_t **entry)
{
  sim_process_t *process;
  entry_worker_t *found = NULL;
  uint64_t candidate_count = 0;

  STAILQ_FOREACH (process, &sim_current->processes, link)
    {
      for (unsigned i = 0; i < SIM_WORKERS; i++)
        {
          if (process->entry_workers[i] == NULL
              || sim_random (++candidate_count) != 0)
            continue;
          found = process->entry_workers[i];
          *entry = process;
        }
    }
  return found;
}

/* Send REQUEST through any entry.  */
static void
client_start (client_request_t *request, bool is_booking)
{
  sim_process_t *entry = NULL;
  entry_worker_t *entry_worker = client_choose_entry (&entry);
  client_t *client;

  if (entry_worker == NULL)
    {
      sim_current->counts.no_entry++;
      return;
    }
  client = talloc_zero (current_clients (), client_t);
  client->request = request;
  client->is_booking = is_booking;
  client->entry = entry;
  client->entry_worker = entry_worker;
  client->started_at = sim_now ();
  client->deadline = timespec_add (
      timespec_from_ms (DEADLINE_MIN_MS),
      sim_random_delay ((DEADLINE_MAX_MS - DEADLINE_MIN_MS) * 1000LL));
  client->is_slow_reader = sim_chance (SLOW_READER_PERCENT);
  client->was_entry_paused = entry->is_frozen;
  request->is_known_not_run = false;
  request->open_calls++;
  LIST_INSERT_HEAD (&current_clients ()->open_clients, client, link);
  sim_current->counts.calls++;
  worker_timer_start (entry_worker->worker, client, timespec_from_ms (0),
                      client_submit, client);
}

/* Send a new request, some bookings twice, and schedule the next.  */
static void
clients_send_next (worker_t *worker, void *data)
{
  bool is_booking = sim_chance (BOOKING_PERCENT);
  client_request_t *request;

  (void)worker;
  if (sim_current->is_settling)
    return;
  request = client_request_create ();
  client_start (request, is_booking);
  if (is_booking && sim_chance (DUPLICATE_PERCENT))
    client_start (request, true);
  sim_schedule (data, sim_random_delay (CALL_INTERVAL_MAX_US),
                clients_send_next, data);
}

/* Start the clients.  */
void
sim_clients_create (void)
{
  sim_clients_t *clients = talloc_zero (sim_current, sim_clients_t);

  sim_current->clients = clients;
  LIST_INIT (&clients->open_clients);
  clients->requests = table_create (clients, LOCK_LOG, "requests");
  sim_schedule (clients, sim_random_delay (CALL_INTERVAL_MAX_US),
                clients_send_next, clients);
}

/* ENTRY was killed: its clients lose their connections.  */
void
sim_clients_disconnect (sim_process_t *entry)
{
  client_t *client;
  client_t *next;

  for (client = LIST_FIRST (&current_clients ()->open_clients); client != NULL;
       client = next)
    {
      next = LIST_NEXT (client, link);
      if (client->entry != entry)
        continue;
      sim_current->counts.lost++;
      client_end (client);
    }
}

/* ENTRY is suspended: its clients may get results after their deadlines.  */
void
sim_clients_record_pause (const sim_process_t *entry)
{
  client_t *client;

  LIST_FOREACH (client, &current_clients ()->open_clients, link)
    client->was_entry_paused |= client->entry == entry;
}

/* ENTRY completes its graceful stop: fail if a request is still open.  */
void
sim_clients_check_stop (const sim_process_t *entry)
{
  const client_t *client;

  LIST_FOREACH (client, &current_clients ()->open_clients, link)
    {
      if (client->entry == entry)
        sim_fail ("the graceful stop of %s aborted request %llu", entry->name,
                  (unsigned long long)client->request->number);
    }
}

/* Return the number of calls that have not ended.  */
size_t
sim_clients_open_count (void)
{
  const client_t *client;
  size_t count = 0;

  LIST_FOREACH (client, &current_clients ()->open_clients, link)
    count++;
  return count;
}

static frontend_t *
fake_frontend_create (entry_worker_t *entry_worker, const char *address,
                      uint16_t *port)
{
  frontend_t *frontend
      = talloc_zero (worker_events (entry_worker->worker), frontend_t);

  (void)address;
  *port = 1;
  frontend->entry_worker = entry_worker;
  sim_process_of_worker (entry_worker->worker)
      ->entry_workers[worker_index (entry_worker->worker)]
      = entry_worker;
  return frontend;
}

static void
fake_frontend_stop_listening (frontend_t *frontend)
{
  (void)frontend;
}

static unsigned
fake_frontend_open_count (const frontend_t *frontend)
{
  const client_t *client;
  unsigned count = 0;

  LIST_FOREACH (client, &current_clients ()->open_clients, link)
    count += client->entry_worker == frontend->entry_worker;
  return count;
}

static void
fake_frontend_destroy (frontend_t *frontend)
{
  talloc_free (frontend);
}

static const frontend_ops_t fake_frontend_ops = {
  .create = fake_frontend_create,
  .stop_listening = fake_frontend_stop_listening,
  .open_count = fake_frontend_open_count,
  .destroy = fake_frontend_destroy,
};

PLUGIN_REGISTER (http, PLUGIN_FRONTEND, "http", "simulated in-memory clients",
                 &fake_frontend_ops);
