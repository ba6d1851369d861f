#include "pilot/reporter.h"

#include "kernel/log.h"
#include "pilot/leader.h"
#include "pilot/servant.h"

enum
{
  POLL_MS = 100,
  HURRY_MS = 25 /* while a switch is under way */
};

struct reporter
{
  pilot_t *pilot;
  rank_report_t last; /* of the engine; no ranks until it is known */
  char *group;
  bool is_known;
  bool is_failing;
  bool is_asking;
  worker_timer_t *timer;
};

static void reporter_poll (worker_t *worker, void *data);

static void
reporter_arm (reporter_t *reporter, int64_t delay_ms)
{
  TALLOC_FREE (reporter->timer);
  reporter->timer = worker_timer_start (reporter->pilot->worker, reporter,
                                        timespec_from_ms (delay_ms),
                                        reporter_poll, reporter);
}

static void
reporter_keep (reporter_t *reporter, const rank_report_t *report)
{
  if (reporter->is_known
      && (reporter->last.epoch != report->epoch
          || reporter->last.is_open != report->is_open))
    log_event (LOG_LEVEL_NOTICE, "group-changed",
               "group=%s rank=%llu epoch=%llu open=%d step=%llu",
               report->group, (unsigned long long)report->rank,
               (unsigned long long)report->epoch, report->is_open,
               (unsigned long long)report->step);
  talloc_free (reporter->group);
  reporter->group = talloc_strdup (reporter, report->group);
  reporter->last = *report;
  reporter->last.group = reporter->group;
  reporter->is_known = true;
}

static void
reporter_on_report (status_t status, const rank_report_t *report, void *data)
{
  reporter_t *reporter = data;
  pilot_t *pilot = reporter->pilot;

  reporter->is_asking = false;
  reporter_arm (reporter,
                leader_is_switching (pilot->leader) ? HURRY_MS : POLL_MS);
  if ((status != STATUS_OK) != reporter->is_failing)
    log_event (status == STATUS_OK ? LOG_LEVEL_NOTICE : LOG_LEVEL_WARN,
               status == STATUS_OK ? "engine-regained" : "engine-lost",
               "upstream=%s error=\"%s\"", pilot_upstream (pilot),
               status == STATUS_OK ? "" : status_message ());
  reporter->is_failing = status != STATUS_OK;
  if (status != STATUS_OK)
    return;
  reporter_keep (reporter, report);
  pilot_note_report (pilot, &reporter->last);
  servant_push_report (pilot->servant, &reporter->last);
  leader_note_own_report (pilot->leader, &reporter->last);
}

static void
reporter_poll (worker_t *worker, void *data)
{
  reporter_t *reporter = data;
  pilot_t *pilot = reporter->pilot;

  (void)worker;
  reporter->timer = NULL;
  if (reporter->is_asking)
    return;
  servant_note_asking (pilot->servant);
  leader_note_asking (pilot->leader);
  reporter->is_asking = true;
  if (pilot->engine_ops->report (pilot->engine, reporter_on_report, reporter)
      == STATUS_OK)
    return;
  reporter->is_asking = false;
  reporter_arm (reporter, POLL_MS);
}

/* Start to ask.  Returns NULL when memory is exhausted.  */
reporter_t *
reporter_create (pilot_t *pilot)
{
  reporter_t *reporter
      = talloc_zero (worker_events (pilot->worker), reporter_t);

  if (reporter == NULL)
    return NULL;
  reporter->pilot = pilot;
  reporter_arm (reporter, 0);
  return reporter;
}

/* Ask the engine again soon.  */
void
reporter_hurry (reporter_t *reporter)
{
  if (!reporter->is_asking)
    reporter_arm (reporter, 0);
}
