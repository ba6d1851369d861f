#include "pilot/switcher_state.h"

enum
{
  /* How far ahead the switch step is at least, as time for the commands to
     reach all ranks before the group stops at that step.  */
  LOOKAHEAD_MS = 120,
  LOOKAHEAD_MAX_STEPS = 24,
  /* A step used before that is further ahead comes from a wrong report.  */
  USED_STEPS_AHEAD_MAX = 1000,
  /* Maximum interval between two reports used to measure the step time, and
     the same if the group was not held meanwhile: steps take up to a second
     while one rank is slow.  */
  STEP_SAMPLE_MAX_MS = 1000,
  FREE_STEP_SAMPLE_MAX_MS = 3000
};

static uint64_t
latest_step (const switcher_t *switcher)
{
  uint64_t step = 0;

  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      if (switcher->ranks[i].report.step > step)
        step = switcher->ranks[i].report.step;
    }
  return step;
}

/* Returns the duration of the step in progress, as far as it is known: that of
   the steps before, or longer if reports show that it has taken longer
   already.  */
static double
current_step_ms (const switcher_t *switcher)
{
  const rank_view_t *own = &switcher->ranks[switcher->own_rank];
  double elapsed_ms = (double)timespec_to_ms (
      timespec_subtract (own->reported_at, switcher->sampled_at));

  return !switcher->was_stopped && elapsed_ms > switcher->step_ms
             ? elapsed_ms
             : switcher->step_ms;
}

/* Returns the time that arming all ranks takes.  */
static double
arming_limit_ms (const switcher_t *switcher)
{
  double arming_ms
      = answer_time_limit_ms (&switcher->arming_time, LOOKAHEAD_MS);

  return arming_ms > LOOKAHEAD_MS ? arming_ms : LOOKAHEAD_MS;
}

/* Returns whether a step takes longer than arming all ranks.  */
bool
switcher_has_long_steps (const switcher_t *switcher)
{
  return current_step_ms (switcher) >= arming_limit_ms (switcher);
}

/* Returns the step after the newest one known.  */
uint64_t
switcher_next_step (const switcher_t *switcher)
{
  return latest_step (switcher) + 1;
}

/* Returns how many steps after the newest one known the group is to switch, so
   that the commands arrive before.  If a step takes longer than arming, the
   next one is chosen: one step more costs more than a group that is held until
   the last rank is armed, and a hold that comes too late is tried again.  */
static uint64_t
choose_lookahead (const switcher_t *switcher)
{
  uint64_t lookahead
      = (uint64_t)(arming_limit_ms (switcher) / current_step_ms (switcher))
        + 2;

  if (switcher_has_long_steps (switcher))
    return 1;
  return lookahead > LOOKAHEAD_MAX_STEPS ? LOOKAHEAD_MAX_STEPS : lookahead;
}

/* Returns the step at which to hold and switch: far enough ahead for the
   commands to arrive before it begins, and after those used before.  */
uint64_t
switcher_choose_step (const switcher_t *switcher)
{
  uint64_t lookahead = choose_lookahead (switcher);
  uint64_t step;

  switch_trace_set_lookahead (switcher->trace, lookahead);
  /* The round is new, and no release was sent in it.  */
  if (switcher->is_advancing)
    return switcher_next_step (switcher);
  step = latest_step (switcher) + lookahead;
  if (switcher->used_step < step
      || switcher->used_step - step > USED_STEPS_AHEAD_MAX)
    return step;
  return switcher->used_step + 1;
}

/* Updates the measured step time from a report of this pilot's
   engine.  */
void
switcher_measure_step_time (switcher_t *switcher, uint64_t step,
                            struct timespec now)
{
  static const double smoothing = 0.3;
  double elapsed_ms
      = (double)timespec_to_us (timespec_subtract (now, switcher->sampled_at))
        / 1000;
  int64_t max_ms;

  switcher->was_stopped
      = switcher->was_stopped || switcher_is_stopped (switcher);
  max_ms
      = switcher->was_stopped ? STEP_SAMPLE_MAX_MS : FREE_STEP_SAMPLE_MAX_MS;
  if (step > switcher->sampled_step && switcher->sampled_step > 0
      && elapsed_ms < (double)max_ms)
    switcher->step_ms
        += smoothing
           * (elapsed_ms / (double)(step - switcher->sampled_step)
              - switcher->step_ms);
  if (step == switcher->sampled_step && elapsed_ms < (double)max_ms)
    return;
  switcher->was_stopped = switcher_is_stopped (switcher);
  switcher->sampled_step = step;
  switcher->sampled_at = now;
}

/* The steps take FACTOR times as long from now on.  */
void
switcher_scale_step_time (switcher_t *switcher, double factor)
{
  if (factor > 0)
    switcher->step_ms *= factor;
}

/* Returns whether the group is stopped: the last step begun, as this pilot's
   rank reports it, is the one before a hold.  */
bool
switcher_is_stopped (const switcher_t *switcher)
{
  uint64_t next = switcher->ranks[switcher->own_rank].report.step + 1;

  if (switcher->may_be_held && switcher->step == next)
    return true;
  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      const rank_report_t *report = &switcher->ranks[i].report;

      if (report->is_held && report->hold_step == next)
        return true;
    }
  return false;
}
