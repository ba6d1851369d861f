#include "pilot/switcher_state.h"

/* Enters PHASE and resets the ranks' results of the previous stage.  */
void
switcher_enter (switcher_t *switcher, switcher_phase_t phase,
                struct timespec now)
{
  if (switcher->phase == SWITCHER_IDLE || switcher->phase == SWITCHER_OFF)
    switch_trace_start (switcher->trace);
  switch_trace_enter (switcher->trace, phase, now);
  switcher->phase = phase;
  switcher->stage++;
  switcher->phase_at = now;
  switcher->progress_at = now;
  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      switcher->ranks[i].is_done = false;
      switcher->ranks[i].is_refused = false;
    }
}

/* Returns the time since the phase was entered, in milliseconds.  */
int64_t
switcher_phase_ms (const switcher_t *switcher, struct timespec now)
{
  return timespec_to_ms (timespec_subtract (now, switcher->phase_at));
}

/* Starts a round with a new fencing token and sends that token to every
   engine.  */
void
switcher_begin_round (switcher_t *switcher, struct timespec now)
{
  switcher->round++;
  switcher->is_excluding_deposed = false;
  switcher->is_advancing = false;
  switcher->used_step = 0;
  switcher_enter (switcher, SWITCHER_CLAIMING, now);
}

/* Returns whether COMMAND, to be sent in the current stage, repeats the last
   command to the rank.  */
static bool
switcher_is_repeat (const switcher_t *switcher, const rank_view_t *view,
                    const rank_command_t *command)
{
  return view->sent_stage == switcher->stage
         && rank_command_is_same (&view->command, command);
}

/* Sends a command to RANK with the current fencing token, epoch and
   version.  */
void
switcher_send_command (switcher_t *switcher, unsigned rank,
                       rank_command_kind_t kind, uint64_t step)
{
  rank_view_t *view = &switcher->ranks[rank];
  rank_command_t command = {
    .kind = kind,
    .fence = switcher->term * SWITCHER_FENCES_PER_TERM + switcher->round,
    .epoch = switcher->epoch,
    .version = kind == RANK_COMMAND_DISARM ? view->report.armed_version
                                           : switcher->version,
    .step = step,
    .map = switcher->map,
  };

  view->is_pending = true;
  view->ticket++;
  if (!switcher_is_repeat (switcher, view, &command))
    view->first_ticket = view->ticket;
  view->sent_stage = switcher->stage;
  view->command = command;
  view->command.map = NULL;
  if ((kind == RANK_COMMAND_HOLD || kind == RANK_COMMAND_RELEASE)
      && step > switcher->used_step)
    switcher->used_step = step;
  switch_trace_count_command (switcher->trace);
  switcher->ops->send_command (rank, view->ticket, &command, switcher->data);
}

/* Returns whether a command may be sent to the rank now, even if the command
   of this stage has succeeded before.  */
bool
rank_view_can_resend (const rank_view_t *view, struct timespec now)
{
  return !view->is_pending && timespec_compare (view->retry_at, now) <= 0;
}

/* Returns whether the command of this stage has not succeeded yet and may be
   sent now.  */
bool
rank_view_can_send (const rank_view_t *view, struct timespec now)
{
  return !view->is_done && rank_view_can_resend (view, now);
}

/* Returns whether the newest report was taken after the last command had
   finished, so that it shows its effect.  */
bool
rank_view_is_current (const rank_view_t *view)
{
  return view->is_known && view->after_ticket >= view->finished_ticket;
}

/* Returns whether the command of this stage succeeded at all ranks except
   EXCLUDED.  */
bool
switcher_all_done_except (const switcher_t *switcher, unsigned excluded)
{
  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      if (i != excluded && !switcher->ranks[i].is_done)
        return false;
    }
  return true;
}

/* Returns whether the command of this stage succeeded at all ranks.  */
bool
switcher_all_done (const switcher_t *switcher)
{
  return switcher_all_done_except (switcher, SWITCHER_NO_RANK);
}

/* Returns whether RANK has reported the current epoch and an open group.  */
bool
switcher_has_report (const switcher_t *switcher, unsigned rank)
{
  const rank_view_t *view = &switcher->ranks[rank];

  return view->is_known && view->report.epoch == switcher->epoch
         && view->report.is_open;
}

/* Returns whether all ranks have reported the current epoch and an open
   group.  */
bool
switcher_has_all_reports (const switcher_t *switcher)
{
  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      if (!switcher_has_report (switcher, i))
        return false;
    }
  return true;
}

/* Returns the number of armed ranks.  Sets *IS_SAME to whether they are
   armed with the same version for the same step.  */
unsigned
switcher_count_armed (const switcher_t *switcher, bool *is_same)
{
  const rank_report_t *first = NULL;
  unsigned count = 0;

  *is_same = true;
  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      const rank_report_t *report = &switcher->ranks[i].report;

      if (!report->is_armed)
        continue;
      if (first == NULL)
        first = report;
      *is_same = *is_same && report->armed_version == first->armed_version
                 && report->armed_step == first->armed_step;
      count++;
    }
  return count;
}

/* Returns whether the rank has loaded the weights of the switch in
   progress.  */
bool
switcher_has_prepared (const switcher_t *switcher, const rank_view_t *view)
{
  return view->report.has_prepared
         && view->report.prepared_version == switcher->version;
}
