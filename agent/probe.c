#include "agent/probe.h"

#include "kernel/counter.h"

#include <jansson.h>
#include <string.h>

enum
{
  PROBE_INTERVAL_MS = 500,
  PROBE_TIMEOUT_MS = 1000,
  PROBE_MAX_BYTES = 4096,
  HTTP_OK = 200
};

COUNTER_DEFINE (probes_total, "siskin_upstream_probes_total",
                "Load reports asked for");
COUNTER_DEFINE (restarts_total, "siskin_upstream_restarts_total",
                "New incarnations of the upstream seen");

struct probe
{
  probe_options_t options;
  char *incarnation; /* last one reported, or NULL */
  upstream_call_t *call;
  struct timespec asked_at;
  unsigned http_status;
  char *answer;
  size_t answer_size;
};

/* Read a load report.  Returns false when TEXT is none; members that it lacks
   are left empty.  */
bool
probe_report_parse (TALLOC_CTX *parent, const char *text, size_t size,
                    probe_report_t *report)
{
  json_t *root = json_loadb (text, size, 0, NULL);
  const json_t *running = json_object_get (root, "running");
  const char *incarnation
      = json_string_value (json_object_get (root, "incarnation"));

  memset (report, 0, sizeof *report);
  if (!json_is_object (root))
    {
      json_decref (root);
      return false;
    }
  report->incarnation
      = talloc_strdup (parent, incarnation == NULL ? "" : incarnation);
  report->admission.is_cold = json_is_true (json_object_get (root, "is_cold"));
  report->admission.has_running = json_is_integer (running);
  report->admission.running = (uint64_t)json_integer_value (running);
  json_decref (root);
  return true;
}

static void probe_arm (probe_t *probe);

static void
probe_note_incarnation (probe_t *probe, const char *incarnation)
{
  bool is_new = probe->incarnation != NULL
                && strcmp (probe->incarnation, incarnation) != 0;

  if (incarnation[0] == '\0')
    return;
  if (is_new)
    {
      counter_add (&restarts_total, 1);
      gate_note_cold (probe->options.gate, "new-incarnation");
    }
  talloc_free (probe->incarnation);
  probe->incarnation = talloc_strdup (probe, incarnation);
}

static void
probe_on_head (unsigned http_status, const char *content_type, void *data)
{
  probe_t *probe = data;

  (void)content_type;
  probe->http_status = http_status;
}

static bool
probe_on_data (const char *bytes, size_t size, void *data)
{
  probe_t *probe = data;

  if (probe->answer_size + size > PROBE_MAX_BYTES)
    return true;
  memcpy (probe->answer + probe->answer_size, bytes, size);
  probe->answer_size += size;
  return true;
}

/* An upstream without load reports answers with an error, which at least shows
   that it lives.  */
static void
probe_on_done (status_t status, bool may_have_run, void *data)
{
  probe_t *probe = data;
  TALLOC_CTX *scratch = talloc_new (probe);
  probe_report_t report;

  (void)may_have_run;
  probe->call = NULL;
  if (status != STATUS_OK && status != STATUS_TIMEOUT)
    gate_note_cold (probe->options.gate, "probe-failed");
  else if (status == STATUS_OK && probe->http_status == HTTP_OK
           && probe_report_parse (scratch, probe->answer, probe->answer_size,
                                  &report))
    {
      probe_note_incarnation (probe, report.incarnation);
      gate_note_report (probe->options.gate, &report.admission,
                        probe->asked_at);
    }
  talloc_free (scratch);
  probe_arm (probe);
}

static const upstream_call_ops_t probe_call_ops = {
  .on_head = probe_on_head,
  .on_data = probe_on_data,
  .on_done = probe_on_done,
};

static void
probe_ask (worker_t *worker, void *data)
{
  probe_t *probe = data;
  upstream_request_t request
      = { .method = "GET",
          .path = "/load",
          .content_type = "",
          .body = "",
          .timeout = timespec_from_ms (PROBE_TIMEOUT_MS),
          .key = "" };

  probe->answer_size = 0;
  probe->http_status = 0;
  probe->asked_at = clock_monotonic (worker_clock (worker));
  counter_add (&probes_total, 1);
  probe->call = probe->options.upstream_ops->start (
      probe->options.transport, &request, &probe_call_ops, probe);
  if (probe->call == NULL)
    probe_arm (probe);
}

static void
probe_arm (probe_t *probe)
{
  worker_timer_start (probe->options.worker, probe,
                      timespec_from_ms (PROBE_INTERVAL_MS), probe_ask, probe);
}

/* Start to probe.  The transport must outlive the probe's last call.  */
probe_t *
probe_create (TALLOC_CTX *parent, const probe_options_t *options)
{
  probe_t *probe = talloc_zero (parent, probe_t);

  if (probe == NULL)
    return NULL;
  probe->options = *options;
  probe->answer = talloc_array (probe, char, PROBE_MAX_BYTES);
  probe_arm (probe);
  return probe;
}
