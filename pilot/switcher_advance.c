#include "pilot/switcher_state.h"

/* Returns whether the map of this leader's last switch is armed at all ranks
   for a step after the next one, so that it can be in use earlier.  */
static bool
is_armed_ahead (const switcher_t *switcher)
{
  const rank_report_t *own = &switcher->ranks[switcher->own_rank].report;
  bool is_same;

  if (switcher_count_armed (switcher, &is_same) < switcher->rank_count
      || !is_same || own->armed_version != switcher->version)
    return false;
  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      if (switcher->ranks[i].report.is_held)
        return false;
    }
  return own->armed_step > switcher_next_step (switcher);
}

/* Moves the switch for which all ranks are armed to the next step: it was
   planned some steps ahead, and these have become long.  A new round makes the
   engines reject late copies of the commands that armed them for the later
   step; the next step is held while they are armed again
   (spec/pilot_switch.pml, ADVANCE).  Returns false and does nothing if that
   isn't possible or doesn't pay.  */
bool
switcher_advance (switcher_t *switcher, struct timespec now)
{
  if (switcher->phase != SWITCHER_IDLE || !switcher_has_all_reports (switcher)
      || switcher->advanced_version == switcher->version
      || !switcher_has_long_steps (switcher) || !is_armed_ahead (switcher))
    return false;
  switcher->advanced_version = switcher->version;
  switcher_begin_round (switcher, now);
  switcher->is_advancing = true;
  return true;
}

/* The engines reject all commands of the rounds before.  Returns whether the
   switch is still to be moved.  */
bool
switcher_can_advance (const switcher_t *switcher)
{
  return switcher->is_advancing && is_armed_ahead (switcher);
}
