#include "pilot/reporter.h"

#include "kernel/log.h"
#include "pilot/leader.h"
#include "pilot/pilot_server.h"

enum
{
  POLL_INTERVAL_MS = 100,
  SWITCH_POLL_INTERVAL_MS = 25, /* while a switch is in progress */
  CHANGE_MAX_MS = 2000          /* from a prepared map to its first step */
};

struct reporter
{
  pilot_t *pilot;
  rank_report_t last; /* last report of the engine, valid if IS_KNOWN */
  char *group;
  bool is_known;
  bool is_failing;
  bool is_polling;
  worker_timer_t *timer;
  /* The last map version that the engine was told to prepare, and when; 0 if
     none.  */
  uint64_t prepared_version;
  struct timespec prepared_at;
};

static void reporter_poll (worker_t *worker, void *data);

static void
reporter_start_timer (reporter_t *reporter, int64_t delay_ms)
{
  TALLOC_FREE (reporter->timer);
  reporter->timer = worker_timer_start (reporter->pilot->worker, reporter,
                                        timespec_from_ms (delay_ms),
                                        reporter_poll, reporter);
}

/* Return whether the engine that sent REPORT has started since its last
   report.  */
static bool
reporter_sees_restart (const reporter_t *reporter, const rank_report_t *report)
{
  return reporter->is_known && report->started_ms > reporter->last.started_ms;
}

static void
reporter_store_report (reporter_t *reporter, const rank_report_t *report)
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

/* Returns whether the engine is loading the weights of a map or is armed with
   one: the leader waits for the end of that.  */
static bool
reporter_is_changing (const reporter_t *reporter)
{
  const rank_report_t *last = &reporter->last;
  struct timespec now = pilot_now (reporter->pilot);
  bool is_loading = reporter->prepared_version > last->prepared_version
                    && reporter->prepared_version > last->map_version;

  return (is_loading || last->is_armed)
         && timespec_to_ms (timespec_subtract (now, reporter->prepared_at))
                < CHANGE_MAX_MS;
}

/* Returns the time until the next poll of the engine, in milliseconds.  */
static int64_t
reporter_interval_ms (const reporter_t *reporter)
{
  return leader_is_switching (reporter->pilot->leader)
                 || reporter_is_changing (reporter)
             ? SWITCH_POLL_INTERVAL_MS
             : POLL_INTERVAL_MS;
}

static void
reporter_on_report (status_t status, const rank_report_t *report, void *data)
{
  reporter_t *reporter = data;
  pilot_t *pilot = reporter->pilot;

  bool was_changing = reporter_is_changing (reporter);

  reporter->is_polling = false;
  if ((status != STATUS_OK) != reporter->is_failing)
    log_event (status == STATUS_OK ? LOG_LEVEL_NOTICE : LOG_LEVEL_WARN,
               status == STATUS_OK ? "engine-regained" : "engine-lost",
               "upstream=%s error=\"%s\"", pilot_upstream (pilot),
               status == STATUS_OK ? "" : status_message ());
  if (status != STATUS_OK ? !reporter->is_failing
                          : reporter_sees_restart (reporter, report))
    pilot_server_push_engine_lost (pilot->server);
  reporter->is_failing = status != STATUS_OK;
  if (status == STATUS_OK)
    reporter_store_report (reporter, report);
  reporter_start_timer (reporter, reporter_interval_ms (reporter));
  if (status != STATUS_OK)
    return;
  pilot_register (pilot, &reporter->last);
  pilot_server_push_report (pilot->server, &reporter->last, was_changing);
  leader_handle_own_report (pilot->leader, &reporter->last);
}

static void
reporter_poll (worker_t *worker, void *data)
{
  reporter_t *reporter = data;
  pilot_t *pilot = reporter->pilot;

  (void)worker;
  reporter->timer = NULL;
  if (reporter->is_polling)
    return;
  pilot_server_handle_poll_started (pilot->server);
  leader_handle_poll_started (pilot->leader);
  reporter->is_polling = true;
  if (pilot->engine_ops->report (pilot->engine, reporter_on_report, reporter)
      == STATUS_OK)
    return;
  reporter->is_polling = false;
  reporter_start_timer (reporter, POLL_INTERVAL_MS);
}

/* Creates a reporter and starts polling.  Returns NULL when memory is
   exhausted.  */
reporter_t *
reporter_create (pilot_t *pilot)
{
  reporter_t *reporter
      = talloc_zero (worker_events (pilot->worker), reporter_t);

  if (reporter == NULL)
    return NULL;
  reporter->pilot = pilot;
  reporter_start_timer (reporter, 0);
  return reporter;
}

/* Polls the engine as soon as possible, unless a poll is in progress.  */
void
reporter_poll_now (reporter_t *reporter)
{
  if (!reporter->is_polling)
    reporter_start_timer (reporter, 0);
}

/* The engine has begun to load the weights of the map VERSION: polls it often
   until it has switched to that.  */
void
reporter_expect_prepared (reporter_t *reporter, uint64_t version)
{
  reporter->prepared_version = version;
  reporter->prepared_at = pilot_now (reporter->pilot);
}
