#include "pilot/switcher_state.h"

enum
{
  /* A rank whose last report is older is silent.  */
  SILENT_AGE_MS = 400
};

static int64_t
report_age_ms (const rank_view_t *view, struct timespec now)
{
  return timespec_to_ms (timespec_subtract (now, view->reported_at));
}

static bool
is_silent (const rank_view_t *view, struct timespec now)
{
  return !view->is_known || report_age_ms (view, now) > SILENT_AGE_MS;
}

/* Returns whether the current phase waits for RANK.  */
static bool
is_waited_for (const switcher_t *switcher, unsigned rank, struct timespec now)
{
  const rank_view_t *view = &switcher->ranks[rank];

  switch (switcher->phase)
    {
    case SWITCHER_CLAIMING:
    case SWITCHER_ARMING:
      return !view->is_done;
    case SWITCHER_PREPARING:
      return !switcher_has_prepared (switcher, view);
    case SWITCHER_HOLDING:
    case SWITCHER_RELEASING:
      return rank == switcher->holding_rank;
    case SWITCHER_RECOVERING:
    case SWITCHER_DISARMING:
      return !rank_view_is_current (view) || view->report.is_armed
             || view->report.is_held;
    case SWITCHER_IDLE:
      return is_silent (view, now);
    case SWITCHER_OFF:
    case SWITCHER_PHASE_COUNT:
      break;
    }
  return false;
}

/* Returns why the current phase waits for RANK.  */
static const char *
wait_reason (const switcher_t *switcher, unsigned rank, struct timespec now)
{
  const rank_view_t *view = &switcher->ranks[rank];

  if (is_silent (view, now))
    return "silent";
  if (!switcher_has_report (switcher, rank))
    return "group-not-open";
  if (view->is_refused)
    return "refused";
  if (view->is_pending)
    return "unanswered";
  if (switcher->phase == SWITCHER_PREPARING && view->is_done)
    return "loading";
  if (!rank_view_is_current (view))
    return "report-too-old";
  if (switcher->phase == SWITCHER_ARMING && rank == switcher->own_rank)
    return "last-to-be-armed";
  return "unsent";
}

/* Finds the rank that the current phase waits for, the first silent one if
   there are several.  */
void
switcher_find_wait (const switcher_t *switcher, struct timespec now,
                    switcher_wait_t *wait)
{
  *wait = (switcher_wait_t){ .rank = SWITCHER_NO_WAIT, .reason = "none" };
  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      const rank_view_t *view = &switcher->ranks[i];
      bool is_better = wait->rank == SWITCHER_NO_WAIT
                       || (is_silent (view, now)
                           && !is_silent (&switcher->ranks[wait->rank], now));

      if (!is_waited_for (switcher, i, now))
        continue;
      wait->missing++;
      if (is_better)
        wait->rank = (int)i;
    }
  if (wait->rank == SWITCHER_NO_WAIT)
    return;
  wait->reason = wait_reason (switcher, (unsigned)wait->rank, now);
  wait->report_age_ms = switcher->ranks[wait->rank].is_known
                            ? report_age_ms (&switcher->ranks[wait->rank], now)
                            : -1;
  wait->ms
      = switcher->phase == SWITCHER_IDLE
            ? wait->report_age_ms
            : timespec_to_ms (timespec_subtract (now, switcher->progress_at));
}

/* Returns WAIT as text owned by PARENT.  */
char *
switcher_describe_wait (const switcher_t *switcher,
                        const switcher_wait_t *wait, TALLOC_CTX *parent)
{
  return talloc_asprintf (parent,
                          "phase=%s missing=%u rank=%d reason=%s wait_ms=%lld "
                          "report_age_ms=%lld",
                          switcher_phase_name (switcher->phase), wait->missing,
                          wait->rank, wait->reason, (long long)wait->ms,
                          (long long)wait->report_age_ms);
}
