#include "pilot/switcher_state.h"

enum
{
  /* A rank that has not answered the claim of a round for this long is not
     waited for: the others prepare a map meanwhile.  The pilots of all ranks
     usually answer within some 60 ms.  */
  CLAIM_WAIT_MAX_MS = 250
};

/* Returns whether RANK has not answered the claim yet, or not reported after
   it.  */
static bool
is_rank_missing (const switcher_t *switcher, unsigned rank)
{
  const rank_view_t *view = &switcher->ranks[rank];

  return !view->is_done || !view->is_known
         || view->after_ticket < view->claim_ticket;
}

/* Returns whether RANK has answered the claim of this round.  */
bool
switcher_has_answered (const switcher_t *switcher, unsigned rank)
{
  return switcher->phase != SWITCHER_CLAIMING
         || !is_rank_missing (switcher, rank);
}

/* A command of the claim to the rank of VIEW was answered: the claim itself,
   or one to prepare a map early, whose outcome is then EARLY.  */
void
switcher_record_claim (const switcher_t *switcher, rank_view_t *view,
                       early_state_t early)
{
  if (switcher->phase != SWITCHER_CLAIMING)
    return;
  if (view->command.kind != RANK_COMMAND_PREPARE)
    view->claim_ticket = view->ticket;
  else if (view->command.version == switcher->version)
    view->early = early;
}

/* Returns whether the rank of VIEW is where no earlier switch is under way: it
   uses the map that this pilot's rank uses, and is neither armed nor held.  It
   has answered the claim, so that only this leader can change that.  */
static bool
is_unchanging (const switcher_t *switcher, const rank_view_t *view)
{
  return view->report.epoch == switcher->epoch && view->report.is_open
         && !view->report.is_armed && !view->report.is_held
         && view->report.map_version == switcher_map_version (switcher);
}

/* Returns whether a map may be prepared at the ranks that have answered the
   claim while others have not.  Weights that are loaded change no map in use;
   arming and releasing the group wait for all ranks (spec/pilot_switch.pml,
   EARLY).  */
bool
switcher_can_prepare_early (const switcher_t *switcher, struct timespec now)
{
  unsigned missing = 0;

  if (switcher->phase != SWITCHER_CLAIMING
      || switcher_phase_ms (switcher, now) < CLAIM_WAIT_MAX_MS
      || is_rank_missing (switcher, switcher->own_rank))
    return false;
  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      if (is_rank_missing (switcher, i))
        missing++;
      else if (!is_unchanging (switcher, &switcher->ranks[i]))
        return false;
    }
  return missing > 0;
}

/* Starts to prepare the map of the switch in progress at the ranks that have
   answered the claim.  */
void
switcher_begin_early (switcher_t *switcher)
{
  for (unsigned i = 0; i < switcher->rank_count; i++)
    switcher->ranks[i].early = EARLY_UNSENT;
}

/* Sends the map to the ranks that have answered the claim and have not got it
   yet.  Each gets it once, unless its outcome is unknown: the rank may wait
   for others for seconds.  */
void
switcher_prepare_early (switcher_t *switcher, struct timespec now)
{
  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      rank_view_t *view = &switcher->ranks[i];

      if (view->early == EARLY_UNSENT && !is_rank_missing (switcher, i)
          && rank_view_can_resend (view, now))
        switcher_send_command (switcher, i, RANK_COMMAND_PREPARE, 0);
    }
}

/* The recovery has finished.  Returns whether the map that was prepared
   meanwhile can be switched to: all ranks, now that all have answered, use the
   one that it was planned for.  Otherwise drops it.  */
bool
switcher_can_resume_early (switcher_t *switcher)
{
  if (switcher->map == NULL)
    return false;
  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      const rank_view_t *view = &switcher->ranks[i];

      if (is_unchanging (switcher, view)
          && view->report.map_version == switcher->early_base)
        continue;
      TALLOC_FREE (switcher->map);
      return false;
    }
  return true;
}

/* Goes on with the switch whose map was prepared early: what is left is to
   prepare it at the ranks that were missing.  */
void
switcher_resume_early (switcher_t *switcher, struct timespec now)
{
  switcher_enter (switcher, SWITCHER_PREPARING, now);
  for (unsigned i = 0; i < switcher->rank_count; i++)
    switcher->ranks[i].is_done = switcher->ranks[i].early == EARLY_ACCEPTED;
  switcher->ops->on_event (SWITCHER_RESUMED, "", switcher->data);
}
