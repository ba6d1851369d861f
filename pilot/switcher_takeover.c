#include "pilot/switcher_state.h"

/* Let the group go on wherever it is held.  Returns whether it is held
   nowhere.  */
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
      if (rank_view_may_repeat (view, now) && rank_view_is_newer (view))
        switcher_send_order (switcher, i, RANK_COMMAND_RELEASE,
                             view->report.held);
    }
  return is_free;
}

/* The engine of the leader before cannot be reached, as if its machine were
   gone.  Return whether the group may go on all the same.  If that leader has
   prepared a map, every engine had seen its fence, so that nothing of leaders
   before it is left.  It armed its own rank last, and only with the permit of
   the pilot whose engine holds the group.  If that is this process, which
   gives no permit any more, the own rank is not armed with what it did not
   permit, and will not be.  */
static bool
may_go_without (const switcher_t *switcher, unsigned missing)
{
  const rank_report_t *own = &switcher->ranks[switcher->own_rank].report;
  bool has_prepared = false;

  if (!own->is_held || switcher->deposed.permitted == SWITCHER_ANY_VERSION)
    return false;

  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      const rank_view_t *view = &switcher->ranks[i];

      if (i == missing)
        continue;
      if (!view->is_done || !rank_view_is_newer (view))
        return false;
      if (view->report.is_armed
          && view->report.armed == switcher->deposed.permitted)
        return false;
      has_prepared = has_prepared
                     || (view->report.has_prepared
                         && view->report.prepared / SWITCHER_FENCES_A_TERM
                                == switcher->deposed.term);
    }
  return has_prepared;
}

/* Disarm and release the ranks that can be reached.  */
static void
go_without (switcher_t *switcher, unsigned missing, struct timespec now)
{
  bool is_armed = false;

  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      rank_view_t *view = &switcher->ranks[i];

      if (i == missing || !view->report.is_armed)
        continue;
      is_armed = true;
      if (rank_view_may_repeat (view, now) && rank_view_is_newer (view))
        switcher_send_order (switcher, i, RANK_COMMAND_DISARM, 0);
    }
  if (!is_armed)
    release_all (switcher, now);
}

/* Show the fence to all engines.  One is never held at step 0, so the order
   changes nothing else.  */
void
switcher_claim (switcher_t *switcher, struct timespec now)
{
  unsigned deposed = switcher->deposed.rank;

  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      if (switcher_knows (switcher, i)
          && rank_view_may_send (&switcher->ranks[i], now))
        switcher_send_order (switcher, i, RANK_COMMAND_RELEASE, 0);
    }
  if (switcher_all_done (switcher))
    switcher_enter (switcher, SWITCHER_RESOLVING, now);
  else if (deposed < switcher->rank_count
           && switcher_all_done_but (switcher, deposed)
           && (switcher->is_going_without
               || may_go_without (switcher, deposed)))
    {
      switcher->is_going_without = true;
      go_without (switcher, deposed, now);
    }
}

/* Nothing is under way any more.  */
void
switcher_settle (switcher_t *switcher, struct timespec now)
{
  switcher->may_be_held = false;
  switcher_enter (switcher, SWITCHER_IDLE, now);
  switcher->ops->on_event (SWITCHER_SETTLED, "", switcher->data);
}

/* End what an earlier leader, or an earlier round, left behind.  All engines
   refuse its orders by now, so what they report stays.  */
void
switcher_resolve (switcher_t *switcher, struct timespec now)
{
  bool is_same;
  unsigned armed;

  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      if (!rank_view_is_newer (&switcher->ranks[i]))
        return;
    }
  armed = switcher_count_armed (switcher, &is_same);
  if (armed > 0 && (armed < switcher->rank_count || !is_same))
    {
      switcher_enter (switcher, SWITCHER_DISARMING, now);
      return;
    }
  if (release_all (switcher, now))
    switcher_settle (switcher, now);
}

/* Take back what ranks were armed with.  */
void
switcher_disarm (switcher_t *switcher, struct timespec now)
{
  bool is_free = true;

  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      rank_view_t *view = &switcher->ranks[i];

      if (!rank_view_is_newer (view))
        is_free = false;
      else if (view->report.is_armed)
        {
          is_free = false;
          if (rank_view_may_repeat (view, now))
            switcher_send_order (switcher, i, RANK_COMMAND_DISARM, 0);
        }
    }
  if (is_free)
    switcher_enter (switcher, SWITCHER_RESOLVING, now);
}

/* Drop the switch under way, for REASON.  */
void
switcher_give_up (switcher_t *switcher, const char *reason,
                  struct timespec now)
{
  TALLOC_FREE (switcher->map);
  switcher_enter (switcher, SWITCHER_IDLE, now);
  switcher->ops->on_event (SWITCHER_GIVEN_UP, reason, switcher->data);
}
