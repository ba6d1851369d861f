#include "pilot/switcher_state.h"

/* Releases the group at every rank that holds it.  Returns whether none
   does.  */
static bool
release_all (switcher_t *switcher, struct timespec now)
{
  bool is_free = true;

  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      rank_view_t *view = &switcher->ranks[i];

      if (!view->report.is_held)
        continue;
      is_free = false;
      if (rank_view_can_resend (view, now) && rank_view_is_current (view))
        switcher_send_command (switcher, i, RANK_COMMAND_RELEASE,
                               view->report.hold_step);
    }
  return is_free;
}

/* Returns whether the group may be released although the previous leader's
   engine, MISSING, cannot be reached, as when its machine is gone.  If
   that leader has prepared a map, every engine had seen its fencing token,
   so no command of an earlier leader is still valid.  That leader armed its
   own rank last, and only with the permit of the pilot whose engine holds the
   group.  If that pilot is this process, which grants no more permits, the
   missing rank is not armed with a version that this process did not
   permit, and cannot be armed with one later.  */
static bool
can_exclude_rank (const switcher_t *switcher, unsigned missing)
{
  const rank_report_t *own = &switcher->ranks[switcher->own_rank].report;
  bool has_prepared = false;

  if (!own->is_held
      || switcher->deposed.granted_version == SWITCHER_UNKNOWN_VERSION)
    return false;

  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      const rank_view_t *view = &switcher->ranks[i];

      if (i == missing)
        continue;
      if (!view->is_done || !rank_view_is_current (view))
        return false;
      if (view->report.is_armed
          && view->report.armed_version == switcher->deposed.granted_version)
        return false;
      has_prepared
          = has_prepared
            || (view->report.has_prepared
                && view->report.prepared_version / SWITCHER_FENCES_PER_TERM
                       == switcher->deposed.term);
    }
  return has_prepared;
}

/* Disarms and then releases the ranks other than MISSING.  */
static void
release_without_rank (switcher_t *switcher, unsigned missing,
                      struct timespec now)
{
  bool is_armed = false;

  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      rank_view_t *view = &switcher->ranks[i];

      if (i == missing || !view->report.is_armed)
        continue;
      is_armed = true;
      if (rank_view_can_resend (view, now) && rank_view_is_current (view))
        switcher_send_command (switcher, i, RANK_COMMAND_DISARM, 0);
    }
  if (!is_armed)
    release_all (switcher, now);
}

/* Sends the fencing token to all engines, and starts the recovery when all
   have accepted it.  The token is sent with a release of step 0: no engine is
   ever held at step 0, so the command has no other effect.  If only the
   previous leader's engine does not reply, the group is released without that
   engine as soon as can_exclude_rank allows it.  */
void
switcher_claim (switcher_t *switcher, struct timespec now)
{
  unsigned deposed = switcher->deposed.rank;

  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      if (switcher_has_report (switcher, i)
          && rank_view_can_send (&switcher->ranks[i], now))
        switcher_send_command (switcher, i, RANK_COMMAND_RELEASE, 0);
    }
  if (switcher_all_done (switcher))
    switcher_enter (switcher, SWITCHER_RECOVERING, now);
  else if (deposed < switcher->rank_count
           && switcher_all_done_except (switcher, deposed)
           && (switcher->is_excluding_deposed
               || can_exclude_rank (switcher, deposed)))
    {
      switcher->is_excluding_deposed = true;
      release_without_rank (switcher, deposed, now);
    }
  if (switcher->phase == SWITCHER_CLAIMING && switcher->map != NULL)
    switcher_prepare_early (switcher, now);
}

/* Enters the idle phase: nothing of an earlier term or round is left.  A
   switch whose map was prepared early goes on instead.  */
static void
finish_recovery (switcher_t *switcher, struct timespec now)
{
  switcher->may_be_held = false;
  if (switcher_can_resume_early (switcher))
    {
      switcher_resume_early (switcher, now);
      return;
    }
  switcher_enter (switcher, SWITCHER_IDLE, now);
  switcher->ops->on_event (SWITCHER_RECOVERED, "", switcher->data);
}

/* Reverts what an earlier leader, or an earlier round of this term, left
   unfinished: disarms the ranks unless all are armed alike, and releases the
   group.  All engines reject the earlier commands by now, so the state that
   they report is final.  */
void
switcher_recover (switcher_t *switcher, struct timespec now)
{
  bool is_same;
  unsigned armed;

  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      if (!rank_view_is_current (&switcher->ranks[i]))
        return;
    }
  armed = switcher_count_armed (switcher, &is_same);
  if (switcher_can_advance (switcher))
    {
      switcher_enter (switcher, SWITCHER_HOLDING, now);
      return;
    }
  if (armed > 0 && (armed < switcher->rank_count || !is_same))
    {
      switcher_enter (switcher, SWITCHER_DISARMING, now);
      return;
    }
  if (release_all (switcher, now))
    finish_recovery (switcher, now);
}

/* Disarms all armed ranks, then returns to the recovery.  */
void
switcher_disarm (switcher_t *switcher, struct timespec now)
{
  bool is_free = true;

  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      rank_view_t *view = &switcher->ranks[i];

      if (!rank_view_is_current (view))
        is_free = false;
      else if (view->report.is_armed)
        {
          is_free = false;
          if (rank_view_can_resend (view, now))
            switcher_send_command (switcher, i, RANK_COMMAND_DISARM, 0);
        }
    }
  if (is_free)
    switcher_enter (switcher, SWITCHER_RECOVERING, now);
}

/* Aborts the switch in progress for REASON, before any rank is armed.  */
void
switcher_abort (switcher_t *switcher, const char *reason, struct timespec now)
{
  TALLOC_FREE (switcher->map);
  switcher_enter (switcher, SWITCHER_IDLE, now);
  switcher->ops->on_event (SWITCHER_ABORTED, reason, switcher->data);
}
