#include "pilot/switcher_state.h"

/* Go on to PHASE; what was done in the one before counts no more.  */
void
switcher_enter (switcher_t *switcher, switcher_phase_t phase,
                struct timespec now)
{
  switcher->phase = phase;
  switcher->stage++;
  switcher->phase_at = now;
  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      switcher->ranks[i].is_done = false;
      switcher->ranks[i].is_refused = false;
    }
}

/* Return how long the switcher has been in its phase, in milliseconds.  */
int64_t
switcher_phase_ms (const switcher_t *switcher, struct timespec now)
{
  return timespec_to_ms (timespec_subtract (now, switcher->phase_at));
}

/* Have every engine see the fence of a new round.  */
void
switcher_begin_round (switcher_t *switcher, struct timespec now)
{
  switcher->round++;
  switcher->is_going_without = false;
  switcher_enter (switcher, SWITCHER_CLAIMING, now);
}

/* Send an order to RANK.  */
void
switcher_send_order (switcher_t *switcher, unsigned rank,
                     rank_command_kind_t kind, uint64_t step)
{
  rank_view_t *view = &switcher->ranks[rank];
  rank_command_t order = {
    .kind = kind,
    .fence = switcher->term * SWITCHER_FENCES_A_TERM + switcher->round,
    .epoch = switcher->epoch,
    .version
    = kind == RANK_COMMAND_DISARM ? view->report.armed : switcher->version,
    .step = step,
    .map = switcher->map,
  };

  view->is_pending = true;
  view->sent_in = switcher->stage;
  view->ticket++;
  switcher->ops->order (rank, view->ticket, &order, switcher->data);
}

/* Whether an order may be sent once more.  */
bool
rank_view_may_repeat (const rank_view_t *view, struct timespec now)
{
  return !view->is_pending && timespec_compare (view->again_at, now) <= 0;
}

/* Whether the order of this stage may be sent now.  */
bool
rank_view_may_send (const rank_view_t *view, struct timespec now)
{
  return !view->is_done && rank_view_may_repeat (view, now);
}

/* Whether the newest report of VIEW is of a time after its last order was
   over.  */
bool
rank_view_is_newer (const rank_view_t *view)
{
  return view->is_known && view->after_ticket >= view->over_ticket;
}

/* Whether the order of this stage is done at all ranks but EXCUSED.  */
bool
switcher_all_done_but (const switcher_t *switcher, unsigned excused)
{
  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      if (i != excused && !switcher->ranks[i].is_done)
        return false;
    }
  return true;
}

/* Whether the order of this stage is done at all ranks.  */
bool
switcher_all_done (const switcher_t *switcher)
{
  return switcher_all_done_but (switcher, SWITCHER_NO_RANK);
}

/* Whether RANK has reported, of the present epoch and an open group.  */
bool
switcher_knows (const switcher_t *switcher, unsigned rank)
{
  const rank_view_t *view = &switcher->ranks[rank];

  return view->is_known && view->report.epoch == switcher->epoch
         && view->report.is_open;
}

/* Whether all ranks have reported, of the same epoch and an open group.  */
bool
switcher_knows_all (const switcher_t *switcher)
{
  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      if (!switcher_knows (switcher, i))
        return false;
    }
  return true;
}

/* Return how many ranks are armed.  Sets *IS_SAME to whether they are armed
   alike.  */
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
      *is_same = *is_same && report->armed == first->armed
                 && report->armed_step == first->armed_step;
      count++;
    }
  return count;
}

/* Whether the rank of VIEW has the weights of the switch under way.  */
bool
switcher_has_prepared (const switcher_t *switcher, const rank_view_t *view)
{
  return view->report.has_prepared
         && view->report.prepared == switcher->version;
}
