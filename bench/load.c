/* Load generator: sends chat requests from a number of concurrent callers and
   prints the latencies as one line of JSON.

   bench-load URL ACCOUNT CALLERS REQUESTS TOKENS [REPORT-AFTER-MS]

   Each caller sends one request after another until REQUESTS have been sent in
   total.  With REPORT-AFTER-MS the tool prints its report and exits after that
   time, even if requests are still in progress.  */

#include "common/http_client.h"
#include "kernel/clock.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HTTP_CLASS_DIVISOR = 100,
  HTTP_CLASS_SUCCESS = 2,
  FULL_PERCENT = 100,
  REQUEST_TIMEOUT_S = 120
};

/* State of a run.  The latency arrays hold successful requests only.  */
typedef struct load
{
  worker_t *worker;
  const clock_source_t *clock;
  http_client_t *client;
  http_call_options_t options;
  http_headers_t headers;
  unsigned request_count; /* to send in total */
  unsigned sent_count;
  unsigned finished_count;
  unsigned complete_count; /* complete responses with a 2xx status */
  uint64_t bytes;
  int64_t *first_us; /* to the first byte of the body */
  int64_t *total_us; /* to the end */
  struct timespec started;
  bool is_done;
} load_t;

/* Sends one request at a time.  */
typedef struct caller
{
  load_t *load;
  struct timespec started;
  unsigned http_status;
  bool has_first_byte;
  int64_t first_us;
} caller_t;

static void caller_send (caller_t *caller);

static int64_t
microseconds_since (const load_t *load, struct timespec start)
{
  return timespec_to_us (
      timespec_subtract (clock_monotonic (load->clock), start));
}

static void
caller_on_head (http_call_t *call, const http_head_t *head, void *data)
{
  caller_t *caller = data;

  (void)call;
  caller->http_status = head->http_status;
}

static bool
caller_on_data (http_call_t *call, const char *bytes, size_t size, void *data)
{
  caller_t *caller = data;

  (void)call;
  (void)bytes;
  caller->load->bytes += size;
  if (!caller->has_first_byte)
    caller->first_us = microseconds_since (caller->load, caller->started);
  caller->has_first_byte = true;
  return true;
}

static void
caller_on_done (http_call_t *call, status_t status, bool may_have_run,
                void *data)
{
  caller_t *caller = data;
  load_t *load = caller->load;

  (void)call;
  (void)may_have_run;
  if (status == STATUS_OK
      && caller->http_status / HTTP_CLASS_DIVISOR == HTTP_CLASS_SUCCESS)
    {
      load->first_us[load->complete_count] = caller->first_us;
      load->total_us[load->complete_count++]
          = microseconds_since (load, caller->started);
    }
  load->finished_count++;
  if (load->sent_count < load->request_count)
    caller_send (caller);
  else if (load->finished_count == load->request_count)
    load->is_done = true;
}

static const http_call_ops_t caller_ops = {
  .on_head = caller_on_head,
  .on_data = caller_on_data,
  .on_done = caller_on_done,
};

static void
caller_send (caller_t *caller)
{
  load_t *load = caller->load;

  load->sent_count++;
  caller->started = clock_monotonic (load->clock);
  caller->has_first_byte = false;
  caller->http_status = 0;
  if (http_call_start (load->client, &load->options, &caller_ops, caller)
      == NULL)
    {
      fprintf (stderr, "%s\n", status_message ());
      exit (EXIT_FAILURE);
    }
}

static int
compare_numbers (const void *left, const void *right)
{
  int64_t a = *(const int64_t *)left;
  int64_t b = *(const int64_t *)right;

  return (a > b) - (a < b);
}

/* Return the value at PERCENT, or -1 if there are no values.  */
static long long
percentile (const int64_t *sorted, unsigned count, unsigned percent)
{
  if (count == 0)
    return -1;
  return sorted[(size_t)(count - 1) * percent / FULL_PERCENT];
}

/* Print the result as JSON: [median, 99th percentile] of each latency.  */
static void
load_print (load_t *load)
{
  int64_t elapsed_us = microseconds_since (load, load->started);

  qsort (load->first_us, load->complete_count, sizeof *load->first_us,
         compare_numbers);
  qsort (load->total_us, load->complete_count, sizeof *load->total_us,
         compare_numbers);
  printf ("{\"sent\":%u,\"whole\":%u,\"took_us\":%lld,\"bytes\":%llu,"
          "\"first_us\":[%lld,%lld],\"total_us\":[%lld,%lld]}\n",
          load->sent_count, load->complete_count, (long long)elapsed_us,
          (unsigned long long)load->bytes,
          percentile (load->first_us, load->complete_count, 50),
          percentile (load->first_us, load->complete_count, 99),
          percentile (load->total_us, load->complete_count, 50),
          percentile (load->total_us, load->complete_count, 99));
}

static void
load_handle_report_time (worker_t *worker, void *data)
{
  load_t *load = data;

  (void)worker;
  load->is_done = true;
}

static load_t *
load_create (TALLOC_CTX *memory, char **argv)
{
  load_t *load = talloc_zero (memory, load_t);
  pool_t *pool;

  load->clock = clock_create_system (memory);
  pool = pool_create (memory, 1, load->clock);
  load->worker = pool_worker (pool, 0);
  load->client = http_client_create (load, load->worker);
  load->request_count = (unsigned)strtoul (argv[4], NULL, 10);
  load->first_us = talloc_zero_array (load, int64_t, load->request_count);
  load->total_us = talloc_zero_array (load, int64_t, load->request_count);
  load->options.method = "POST";
  load->options.url = argv[1];
  load->options.content_type = "application/json";
  load->options.timeout.tv_sec = REQUEST_TIMEOUT_S;
  STAILQ_INIT (&load->headers);
  http_headers_add (&load->headers, load, "Siskin-Account", argv[2]);
  load->options.headers = &load->headers;
  load->options.body = talloc_asprintf (
      load,
      "{\"model\":\"style-assistant\",\"stream\":true,\"max_tokens\":%s,"
      "\"messages\":[{\"role\":\"user\",\"content\":\"an outfit\"}]}",
      argv[5]);
  load->options.body_size = strlen (load->options.body);
  return load;
}

int
main (int argc, char **argv)
{
  TALLOC_CTX *memory = talloc_new (NULL);
  unsigned callers;
  load_t *load;

  if (argc < 6)
    {
      fprintf (
          stderr,
          "usage: %s URL ACCOUNT CALLERS REQUESTS TOKENS [REPORT-AFTER-MS]\n",
          argv[0]);
      return EXIT_FAILURE;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  load = load_create (memory, argv);
  callers = (unsigned)strtoul (argv[3], NULL, 10);
  load->started = clock_monotonic (load->clock);
  for (unsigned i = 0; i < callers && load->sent_count < load->request_count;
       i++)
    {
      caller_t *caller = talloc_zero (load, caller_t);

      caller->load = load;
      caller_send (caller);
    }
  if (argc > 6)
    worker_timer_start (load->worker, load,
                        timespec_from_ms (strtoll (argv[6], NULL, 10)),
                        load_handle_report_time, load);
  worker_run_until (load->worker, &load->is_done);
  load_print (load);
  http_client_destroy (load->client);
  talloc_free (memory);
  curl_global_cleanup ();
  return EXIT_SUCCESS;
}
