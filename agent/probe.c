#include "agent/probe.h"

#include "kernel/counter.h"

#include <string.h>

enum
{
  PROBE_INTERVAL_MS = 500,
  PROBE_TIMEOUT_MS = 1000
};

COUNTER_DEFINE (probes_total, "siskin_upstream_probes_total",
                "Load reports asked for");
COUNTER_DEFINE (restarts_total, "siskin_upstream_restarts_total",
                "New incarnations of the upstream seen");

struct probe
{
  probe_options_t options;
  char *incarnation; /* last one reported, or NULL */
  struct timespec asked_at;
};

static void probe_arm (probe_t *probe);

static void
probe_note_incarnation (probe_t *probe, const char *incarnation)
{
  if (incarnation[0] == '\0'
      || (probe->incarnation != NULL
          && strcmp (probe->incarnation, incarnation) == 0))
    return;
  if (probe->incarnation != NULL)
    {
      counter_add (&restarts_total, 1);
      gate_note_cold (probe->options.gate, "new-incarnation");
    }
  talloc_free (probe->incarnation);
  probe->incarnation = talloc_strdup (probe, incarnation);
}

static void
probe_on_done (status_t status, const upstream_report_t *report, void *data)
{
  probe_t *probe = data;
  admission_report_t word;

  if (status != STATUS_OK && status != STATUS_TIMEOUT)
    gate_note_cold (probe->options.gate, "probe-failed");
  if (report != NULL)
    {
      word = (admission_report_t){ .is_cold = report->is_cold,
                                   .has_running = report->has_running,
                                   .running = report->running };
      probe_note_incarnation (probe, report->incarnation);
      gate_note_report (probe->options.gate, &word, probe->asked_at);
    }
  probe_arm (probe);
}

static void
probe_ask (worker_t *worker, void *data)
{
  probe_t *probe = data;

  probe->asked_at = clock_monotonic (worker_clock (worker));
  counter_add (&probes_total, 1);
  if (probe->options.upstream_ops->probe (probe->options.transport,
                                          timespec_from_ms (PROBE_TIMEOUT_MS),
                                          probe_on_done, probe)
      != STATUS_OK)
    probe_arm (probe);
}

static void
probe_arm (probe_t *probe)
{
  worker_timer_start (probe->options.worker, probe,
                      timespec_from_ms (PROBE_INTERVAL_MS), probe_ask, probe);
}

/* Start to probe.  The transport must be destroyed before the probe.  Returns
   NULL when the transport has no way to ask.  */
probe_t *
probe_create (TALLOC_CTX *parent, const probe_options_t *options)
{
  probe_t *probe = talloc_zero (parent, probe_t);

  if (probe == NULL || options->upstream_ops->probe == NULL)
    {
      talloc_free (probe);
      return NULL;
    }
  probe->options = *options;
  probe_arm (probe);
  return probe;
}
