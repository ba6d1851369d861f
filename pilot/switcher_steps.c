#include "pilot/switcher_state.h"

enum
{
  /* How far ahead the switch step is at least, as time for the commands to
     reach all ranks before the group stops at that step.  */
  LOOKAHEAD_MS = 120,
  LOOKAHEAD_MAX_STEPS = 24,
  /* A step used before that is further ahead comes from a wrong report.  */
  USED_STEPS_AHEAD_MAX = 1000,
  /* Maximum interval between two reports used to measure the step time.  */
  STEP_SAMPLE_MAX_MS = 1000
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

/* Returns the step at which to hold and switch: far enough ahead for the
   commands to arrive before it begins, and after those used before.  */
uint64_t
switcher_choose_step (const switcher_t *switcher)
{
  double arming_ms
      = answer_time_limit_ms (&switcher->arming_time, LOOKAHEAD_MS);
  double lookahead_ms = arming_ms > LOOKAHEAD_MS ? arming_ms : LOOKAHEAD_MS;
  uint64_t lookahead = (uint64_t)(lookahead_ms / switcher->step_ms) + 2;
  uint64_t step;

  if (lookahead > LOOKAHEAD_MAX_STEPS)
    lookahead = LOOKAHEAD_MAX_STEPS;
  switch_trace_set_lookahead (switcher->trace, lookahead);
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

  if (step > switcher->sampled_step && switcher->sampled_step > 0
      && elapsed_ms < STEP_SAMPLE_MAX_MS)
    switcher->step_ms
        += smoothing
           * (elapsed_ms / (double)(step - switcher->sampled_step)
              - switcher->step_ms);
  if (step == switcher->sampled_step && elapsed_ms < STEP_SAMPLE_MAX_MS)
    return;
  switcher->sampled_step = step;
  switcher->sampled_at = now;
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
