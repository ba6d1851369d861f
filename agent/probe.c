#include "agent/probe.h"

#include "kernel/counter.h"

#include <string.h>

enum
{
  PROBE_INTERVAL_MS = 500,
  /* Delay of the next probe after the watch connection was opened again.  */
  PROBE_AFTER_WATCH_MS = 50,
  PROBE_TIMEOUT_MS = 1000
};

COUNTER_DEFINE (probes_total, "siskin_upstream_probes_total",
                "Load reports asked for");
COUNTER_DEFINE (restarts_total, "siskin_upstream_restarts_total",
                "New incarnations of the upstream seen");

struct probe
{
  probe_options_t options;
  char *incarnation; /* last reported one, or NULL */
  struct timespec requested_at;
  worker_timer_t *timer;
  bool is_in_progress;
  bool is_watching;
  bool cannot_watch; /* this kind of upstream has no watch connections */
};

static void probe_arm (probe_t *probe, int64_t delay_ms);

/* The watch connection was closed: the upstream has restarted or has just
   closed the connection.  It is treated as cold until a probe shows which.  */
static void
probe_on_broken (void *data)
{
  probe_t *probe = data;

  probe->is_watching = false;
  gate_set_restart_suspected (probe->options.gate, true);
  if (!probe->is_in_progress)
    probe_arm (probe, 0);
}

static void
probe_watch (probe_t *probe)
{
  const probe_options_t *options = &probe->options;

  if (!probe->is_watching && options->upstream_ops->watch != NULL)
    probe->is_watching = options->upstream_ops->watch (options->transport,
                                                       probe_on_broken, probe)
                         == STATUS_OK;
}

/* Report a restart if INCARNATION differs from the last one or is empty.  */
static void
probe_update_incarnation (probe_t *probe, const char *incarnation)
{
  bool is_same = probe->incarnation != NULL
                 && strcmp (probe->incarnation, incarnation) == 0;

  if (is_same && incarnation[0] != '\0')
    return;
  if (probe->incarnation != NULL)
    {
      counter_add (&restarts_total, 1);
      gate_record_cold_start (probe->options.gate, "new-incarnation");
    }
  talloc_free (probe->incarnation);
  probe->incarnation = talloc_strdup (probe, incarnation);
}

static void
probe_handle_report (probe_t *probe, const upstream_report_t *report)
{
  admission_report_t admission_report = { .is_cold = report->is_cold,
                                          .has_running = report->has_running,
                                          .running = report->running };

  probe_update_incarnation (probe, report->incarnation);
  gate_apply_report (probe->options.gate, &admission_report,
                     probe->requested_at);
}

/* Process the result of a probe.  If the upstream responds but has no load
   reports, only the watch connection can show a restart.  */
static void
probe_on_done (status_t status, const upstream_report_t *report, void *data)
{
  probe_t *probe = data;
  bool was_watching = probe->is_watching || probe->cannot_watch;

  probe->is_in_progress = false;
  if (status != STATUS_OK && status != STATUS_TIMEOUT)
    gate_record_cold_start (probe->options.gate, "probe-failed");
  else if (report != NULL)
    probe_handle_report (probe, report);
  else if (status == STATUS_OK && !was_watching)
    gate_record_cold_start (probe->options.gate, "connection-broken");
  probe_watch (probe);
  if (status == STATUS_OK && was_watching)
    gate_set_restart_suspected (probe->options.gate, false);
  probe_arm (probe, was_watching ? PROBE_INTERVAL_MS : PROBE_AFTER_WATCH_MS);
}

static void
probe_send (worker_t *worker, void *data)
{
  probe_t *probe = data;

  probe->timer = NULL;
  probe->is_in_progress = true;
  probe->requested_at = clock_monotonic (worker_clock (worker));
  counter_add (&probes_total, 1);
  if (probe->options.upstream_ops->probe (probe->options.transport,
                                          timespec_from_ms (PROBE_TIMEOUT_MS),
                                          probe_on_done, probe)
      == STATUS_OK)
    return;
  probe->is_in_progress = false;
  probe_arm (probe, PROBE_INTERVAL_MS);
}

static void
probe_arm (probe_t *probe, int64_t delay_ms)
{
  TALLOC_FREE (probe->timer);
  probe->timer
      = worker_timer_start (probe->options.worker, probe,
                            timespec_from_ms (delay_ms), probe_send, probe);
}

/* Start probing.  The transport must be destroyed before the probe.  Returns
   NULL when the transport has no probe operation.  */
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
  probe_watch (probe);
  probe_arm (probe, PROBE_AFTER_WATCH_MS);
  return probe;
}
