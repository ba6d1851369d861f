#include "pilot/switcher_state.h"

/* What the reports of ranks and the outcomes of commands change.  */

/* Handles a new epoch: the group was re-formed, and its engines have lost
   prepared maps, fencing tokens and pending commands.  Late commands carry
   the old epoch and are rejected.  */
static void
handle_new_epoch (switcher_t *switcher, uint64_t epoch, struct timespec now)
{
  bool was_leading = switcher->phase != SWITCHER_OFF;

  switcher->epoch = epoch;
  switcher->used_step = 0;
  switcher->may_be_held = false;
  TALLOC_FREE (switcher->map);
  if (!was_leading)
    return;
  switcher_begin_round (switcher, now);
  switcher->ops->on_event (SWITCHER_RESTARTED, "", switcher->data);
}

/* Handles a report of RANK, taken after all commands up to AFTER_TICKET
   had finished.  Reports of an earlier epoch are ignored.  */
void
switcher_handle_report (switcher_t *switcher, unsigned rank,
                        const rank_report_t *report, uint64_t after_ticket,
                        struct timespec now)
{
  rank_view_t *view;

  if (rank >= switcher->rank_count || report->epoch < switcher->epoch)
    return;
  if (report->epoch > switcher->epoch)
    handle_new_epoch (switcher, report->epoch, now);
  view = &switcher->ranks[rank];
  view->report = *report;
  view->report.group = "";
  view->reported_at = now;
  view->after_ticket = after_ticket;
  view->is_known = true;
  if (rank == switcher->own_rank)
    {
      switcher_measure_step_time (switcher, report->step, now);
      switch_trace_observe (switcher->trace, switcher_is_stopped (switcher),
                            now);
    }
  switcher_tick (switcher, now);
}

/* Handles a rejected hold command: the step has begun already, or the
   engine is held at another step.  Retries with a later step after newer
   reports.  */
static void
retry_hold (switcher_t *switcher, struct timespec now)
{
  switcher->may_be_held = false;
  if (switcher->is_advancing)
    switcher_enter (switcher, SWITCHER_RECOVERING, now);
  else if (switcher_phase_ms (switcher, now) > SWITCHER_HOLD_TIMEOUT_MS)
    switcher_abort (switcher, "hold-refused", now);
  else
    switcher->ranks[switcher->holding_rank].retry_at
        = timespec_add (now, timespec_from_ms (SWITCHER_RESEND_DELAY_MS));
}

static void
handle_conflict (switcher_t *switcher, rank_view_t *view, struct timespec now)
{
  switch (switcher->phase)
    {
    case SWITCHER_PREPARING:
      /* A prepare command whose outcome was unknown may have been executed;
         the next report shows it.  */
      view->is_refused = true;
      break;
    case SWITCHER_HOLDING:
      retry_hold (switcher, now);
      break;
    case SWITCHER_ARMING:
      switcher_abort_with_new_round (switcher, "arm-refused", now);
      break;
    case SWITCHER_CLAIMING:
      switcher_record_claim (switcher, view, EARLY_REFUSED);
      view->retry_at
          = timespec_add (now, timespec_from_ms (SWITCHER_RESEND_DELAY_MS));
      break;
    default:
      view->retry_at
          = timespec_add (now, timespec_from_ms (SWITCHER_RESEND_DELAY_MS));
      break;
    }
}

/* Handles the permission of the holding rank's pilot to arm this pilot's rank
   with VERSION.  */
void
switcher_handle_permit (switcher_t *switcher, uint64_t version,
                        struct timespec now)
{
  if (switcher->phase != SWITCHER_ARMING || version != switcher->version)
    return;
  switcher->permitted_version = version;
  switcher->progress_at = now;
  switcher_tick (switcher, now);
}

/* Returns whether the outcome VERDICT of the command TICKET ends the command
   in progress: it is that command, or an earlier one that it repeats, which
   was carried out and answered late.  */
static bool
verdict_ends_command (const rank_view_t *view, uint64_t ticket,
                      rank_verdict_t verdict)
{
  if (!view->is_pending || ticket > view->ticket)
    return false;
  return ticket == view->ticket
         || (verdict == RANK_DONE && ticket >= view->first_ticket);
}

/* The command of this stage succeeded at the rank of VIEW.  */
static void
handle_done (switcher_t *switcher, rank_view_t *view, struct timespec now)
{
  bool is_early = switcher->phase == SWITCHER_CLAIMING
                  && view->command.kind == RANK_COMMAND_PREPARE;

  switcher_record_claim (switcher, view, EARLY_ACCEPTED);
  if (is_early)
    return;
  view->is_done = true;
  switcher->progress_at = now;
  switch_trace_count_done (switcher->trace,
                           (unsigned)(view - switcher->ranks));
}

/* Handles the outcome of the command TICKET to RANK.  */
void
switcher_handle_verdict (switcher_t *switcher, unsigned rank, uint64_t ticket,
                         rank_verdict_t verdict, struct timespec now)
{
  rank_view_t *view;

  if (rank >= switcher->rank_count)
    return;
  view = &switcher->ranks[rank];
  if (!verdict_ends_command (view, ticket, verdict))
    return;
  view->is_pending = false;
  if (verdict == RANK_DONE || verdict == RANK_CONFLICT
      || verdict == RANK_MALFORMED)
    view->finished_ticket = ticket;
  if (switcher->phase == SWITCHER_OFF)
    return;
  switch (verdict)
    {
    case RANK_DONE:
      if (view->sent_stage == switcher->stage)
        handle_done (switcher, view, now);
      break;
    case RANK_FENCED:
      switcher->phase = SWITCHER_OFF;
      switcher->ops->on_event (SWITCHER_DEPOSED, "", switcher->data);
      return;
    case RANK_CONFLICT:
    case RANK_MALFORMED:
      if (view->sent_stage == switcher->stage)
        handle_conflict (switcher, view, now);
      break;
    case RANK_OUTCOME_UNKNOWN:
      break;
    case RANK_UNREACHABLE:
    case RANK_BASE_UNKNOWN:
    case RANK_VERDICT_COUNT:
      view->retry_at
          = timespec_add (now, timespec_from_ms (SWITCHER_RESEND_DELAY_MS));
      break;
    }
  switcher_tick (switcher, now);
}
