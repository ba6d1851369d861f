#include "agent/probe.h"

#include "kernel/counter.h"

#include <string.h>

enum
{
  PROBE_INTERVAL_MS = 500,
  PROBE_SOON_MS = 50, /* after the held connection was made anew */
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
  worker_timer_t *timer;
  bool is_asking;
  bool is_watched;
  bool cannot_watch; /* this kind of upstream */
};

static void probe_arm (probe_t *probe, int64_t delay_ms);

/* The connection that was held has ended: the upstream has restarted, or only
   closed it.  Until it says which it counts as cold.  */
static void
probe_on_broken (void *data)
{
  probe_t *probe = data;

  probe->is_watched = false;
  gate_set_restart_suspected (probe->options.gate, true);
  if (!probe->is_asking)
    probe_arm (probe, 0);
}

static void
probe_watch (probe_t *probe)
{
  const probe_options_t *options = &probe->options;

  if (!probe->is_watched && options->upstream_ops->watch != NULL)
    probe->is_watched = options->upstream_ops->watch (options->transport,
                                                      probe_on_broken, probe)
                        == STATUS_OK;
}

static void
probe_note_incarnation (probe_t *probe, const char *incarnation)
{
  bool is_same = probe->incarnation != NULL
                 && strcmp (probe->incarnation, incarnation) == 0;

  if (is_same && incarnation[0] != '\0')
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
probe_note_report (probe_t *probe, const upstream_report_t *report)
{
  admission_report_t word = { .is_cold = report->is_cold,
                              .has_running = report->has_running,
                              .running = report->running };

  probe_note_incarnation (probe, report->incarnation);
  gate_note_report (probe->options.gate, &word, probe->asked_at);
}

/* An upstream that lives but gives no reports has only the held connection to
   tell of a restart.  */
static void
probe_on_done (status_t status, const upstream_report_t *report, void *data)
{
  probe_t *probe = data;
  bool was_watched = probe->is_watched || probe->cannot_watch;

  probe->is_asking = false;
  if (status != STATUS_OK && status != STATUS_TIMEOUT)
    gate_note_cold (probe->options.gate, "probe-failed");
  else if (report != NULL)
    probe_note_report (probe, report);
  else if (status == STATUS_OK && !was_watched)
    gate_note_cold (probe->options.gate, "connection-broken");
  probe_watch (probe);
  if (status == STATUS_OK && was_watched)
    gate_set_restart_suspected (probe->options.gate, false);
  probe_arm (probe, was_watched ? PROBE_INTERVAL_MS : PROBE_SOON_MS);
}

static void
probe_ask (worker_t *worker, void *data)
{
  probe_t *probe = data;

  probe->timer = NULL;
  probe->is_asking = true;
  probe->asked_at = clock_monotonic (worker_clock (worker));
  counter_add (&probes_total, 1);
  if (probe->options.upstream_ops->probe (probe->options.transport,
                                          timespec_from_ms (PROBE_TIMEOUT_MS),
                                          probe_on_done, probe)
      == STATUS_OK)
    return;
  probe->is_asking = false;
  probe_arm (probe, PROBE_INTERVAL_MS);
}

static void
probe_arm (probe_t *probe, int64_t delay_ms)
{
  TALLOC_FREE (probe->timer);
  probe->timer
      = worker_timer_start (probe->options.worker, probe,
                            timespec_from_ms (delay_ms), probe_ask, probe);
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
  probe_watch (probe);
  probe_arm (probe, PROBE_SOON_MS);
  return probe;
}
