#include "pilot/switcher_state.h"

#include "kernel/invariant.h"

enum
{
  /* A switch starts only if all reports are at most this old.  */
  REPORT_MAX_AGE_MS = 400,
  PREPARE_TIMEOUT_MS = 8000,
  /* An engine refuses a repeat while it loads the weights for an attempt whose
     answer was lost.  After this time the refusal counts.  */
  PREPARE_REFUSED_MS = 1000,
  /* When for this time no rank was armed, the switch is aborted and the group
     released.  While ranks are being armed, going on takes the group less time
     than an abort, for which all ranks have to answer several commands.  */
  ARM_TIMEOUT_MS = 700,
  /* The same while only the permit is missing, which needs no engine.  */
  PERMIT_TIMEOUT_MS = 400,
  /* A rank that reported within this time is expected to respond.  */
  RESPONSIVE_MAX_AGE_MS = 250,
  INITIAL_STEP_MS = 50
};

static const char *const phase_names[SWITCHER_PHASE_COUNT] = {
  [SWITCHER_OFF] = "off",
  [SWITCHER_CLAIMING] = "claiming",
  [SWITCHER_RECOVERING] = "resolving",
  [SWITCHER_IDLE] = "idle",
  [SWITCHER_PREPARING] = "preparing",
  [SWITCHER_HOLDING] = "holding",
  [SWITCHER_ARMING] = "arming",
  [SWITCHER_RELEASING] = "releasing",
  [SWITCHER_DISARMING] = "disarming",
};

/* Creates a switcher for a group of RANK_COUNT ranks in which this
   pilot's engine is OWN_RANK.  OPS and DATA must outlive it.  Returns NULL
   when memory is exhausted.  */
switcher_t *
switcher_create (TALLOC_CTX *parent, unsigned rank_count, unsigned own_rank,
                 const switcher_ops_t *ops, void *data)
{
  switcher_t *switcher = talloc_zero (parent, switcher_t);

  if (switcher == NULL)
    return NULL;
  switcher->ops = ops;
  switcher->data = data;
  switcher->rank_count = rank_count;
  switcher->own_rank = own_rank;
  switcher->holding_rank = own_rank;
  switcher->step_ms = INITIAL_STEP_MS;
  switcher->ranks = talloc_zero_array (switcher, rank_view_t, rank_count);
  switcher->trace = switch_trace_create (switcher);
  return switcher;
}

/* Frees SWITCHER.  */
void
switcher_destroy (switcher_t *switcher)
{
  talloc_free (switcher);
}

/* Returns the name of PHASE for the log.  */
const char *
switcher_phase_name (switcher_phase_t phase)
{
  return phase_names[phase];
}

/* Returns the current phase.  */
switcher_phase_t
switcher_phase (const switcher_t *switcher)
{
  return switcher->phase;
}

/* Returns the group's epoch as reported by the ranks.  */
uint64_t
switcher_epoch (const switcher_t *switcher)
{
  return switcher->epoch;
}

/* Returns the map version of the last switch started, successful or not; 0 for
   none.  */
uint64_t
switcher_last_version (const switcher_t *switcher)
{
  return switcher->version;
}

/* Returns the version of the map in use, from the last report of this pilot's
   rank.  */
uint64_t
switcher_map_version (const switcher_t *switcher)
{
  return switcher->ranks[switcher->own_rank].report.map_version;
}

/* Returns what the last switch or recovery has cost, for the log.  */
char *
switcher_describe (const switcher_t *switcher, TALLOC_CTX *parent)
{
  return switch_trace_format (switcher->trace, parent);
}

/* Sets the rank whose engine holds the group in later switches; ignored during
   a switch.  */
void
switcher_set_holding_rank (switcher_t *switcher, unsigned rank)
{
  bool is_between = switcher->phase == SWITCHER_IDLE
                    || switcher->phase == SWITCHER_CLAIMING;

  if (is_between && rank < switcher->rank_count)
    switcher->holding_rank = rank;
}

/* Starts leading with TERM, which is higher than that of any earlier
   leader.  DEPOSED is the previous leader if known, or NULL: its engine
   may be unreachable too, and the group is released without that engine
   once this is proven safe.  */
void
switcher_start_term (switcher_t *switcher, uint64_t term,
                     const switcher_deposed_t *deposed, struct timespec now)
{
  static const switcher_deposed_t nobody = { .rank = SWITCHER_NO_RANK };

  INVARIANT (term > switcher->term, "switcher-terms-rise");
  switcher->term = term;
  TALLOC_FREE (switcher->map);
  switcher->is_abandoned = false;
  switcher->deposed = deposed == NULL ? nobody : *deposed;
  switcher->round = 0;
  switcher->switches = 0;
  for (unsigned i = 0; i < switcher->rank_count; i++)
    switcher->ranks[i].is_known = false;
  switcher_begin_round (switcher, now);
}

/* Stops leading: no more commands are sent.  */
void
switcher_stop (switcher_t *switcher)
{
  switcher->phase = SWITCHER_OFF;
}

static void
prepare_ranks (switcher_t *switcher, struct timespec now)
{
  unsigned prepared = 0;

  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      rank_view_t *view = &switcher->ranks[i];

      if (switcher_has_prepared (switcher, view))
        prepared++;
      else if (view->is_refused && rank_view_is_current (view)
               && switcher_phase_ms (switcher, now) > PREPARE_REFUSED_MS)
        {
          switcher_abort (switcher, "prepare-refused", now);
          return;
        }
      else if (!view->is_refused && rank_view_can_send (view, now))
        switcher_send_command (switcher, i, RANK_COMMAND_PREPARE, 0);
    }
  if (prepared == switcher->rank_count)
    switcher_enter (switcher, SWITCHER_HOLDING, now);
  else if (switcher_phase_ms (switcher, now) > PREPARE_TIMEOUT_MS)
    switcher_abort (switcher, "prepare-timeout", now);
}

/* Returns whether all ranks have reported recently, so that the group is
   not held while it waits for an unreachable rank.  */
static bool
all_responsive (const switcher_t *switcher, struct timespec now)
{
  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      const rank_view_t *view = &switcher->ranks[i];

      if (timespec_to_ms (timespec_subtract (now, view->reported_at))
          > RESPONSIVE_MAX_AGE_MS)
        return false;
    }
  return true;
}

static void
hold_group (switcher_t *switcher, struct timespec now)
{
  rank_view_t *view = &switcher->ranks[switcher->holding_rank];

  if (view->is_done)
    {
      switcher->is_abandoned = !all_responsive (switcher, now);
      switcher_enter (
          switcher,
          switcher->is_abandoned ? SWITCHER_RELEASING : SWITCHER_ARMING, now);
      return;
    }
  if (!switcher->may_be_held
      && switcher_phase_ms (switcher, now) > SWITCHER_HOLD_TIMEOUT_MS)
    {
      switcher_abort (switcher, "hold-timeout", now);
      return;
    }
  if (!rank_view_can_send (view, now))
    return;
  if (!switcher->may_be_held)
    {
      switcher->step = switcher_choose_step (switcher);
      switcher->hold_at = now;
    }
  switcher->may_be_held = true;
  switcher_send_command (switcher, switcher->holding_rank, RANK_COMMAND_HOLD,
                         switcher->step);
}

/* Returns whether the pilot of the holding rank still has to permit that this
   pilot's rank, the last one, is armed.  */
static bool
needs_permit (const switcher_t *switcher)
{
  return switcher->holding_rank != switcher->own_rank
         && switcher->permitted_version != switcher->version;
}

/* Returns whether this pilot's rank, the last one, may be armed: the pilot of
   the holding rank has to permit it, see can_exclude_rank.  Requests the
   permit if needed.  */
static bool
has_permit (switcher_t *switcher, struct timespec now)
{
  if (!needs_permit (switcher))
    return true;
  if (timespec_compare (switcher->permit_retry_at, now) > 0)
    return false;
  switcher->permit_retry_at
      = timespec_add (now, timespec_from_ms (SWITCHER_RESEND_DELAY_MS));
  switcher->ops->request_permit (switcher->holding_rank, switcher->term,
                                 switcher->version, switcher->data);
  return false;
}

/* Aborts a switch for which ranks may be armed already: a new round makes
   the engines reject all earlier commands.  */
void
switcher_abort_with_new_round (switcher_t *switcher, const char *reason,
                               struct timespec now)
{
  TALLOC_FREE (switcher->map);
  switcher_begin_round (switcher, now);
  switcher->ops->on_event (SWITCHER_ABORTED, reason, switcher->data);
}

/* Returns whether so long no rank was armed, and no permit came, that the
   switch is aborted.  */
static bool
has_arming_stopped (const switcher_t *switcher, struct timespec now)
{
  bool is_permit_missing
      = needs_permit (switcher)
        && switcher_all_done_except (switcher, switcher->own_rank);

  return timespec_to_ms (timespec_subtract (now, switcher->progress_at))
         > (is_permit_missing ? PERMIT_TIMEOUT_MS : ARM_TIMEOUT_MS);
}

/* Arms all ranks, this pilot's rank last.  */
static void
arm_ranks (switcher_t *switcher, struct timespec now)
{
  unsigned own = switcher->own_rank;

  if (has_arming_stopped (switcher, now))
    {
      switcher_abort_with_new_round (switcher, "arm-timeout", now);
      return;
    }

  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      if (i != own && rank_view_can_send (&switcher->ranks[i], now))
        switcher_send_command (switcher, i, RANK_COMMAND_ARM, switcher->step);
    }
  if (switcher_all_done_except (switcher, own)
      && rank_view_can_send (&switcher->ranks[own], now)
      && has_permit (switcher, now))
    switcher_send_command (switcher, own, RANK_COMMAND_ARM, switcher->step);
  if (!switcher_all_done (switcher))
    return;
  answer_time_add (&switcher->arming_time,
                   timespec_subtract (now, switcher->hold_at));
  switcher_enter (switcher, SWITCHER_RELEASING, now);
}

static void
release_group (switcher_t *switcher, struct timespec now)
{
  rank_view_t *view = &switcher->ranks[switcher->holding_rank];

  if (!view->is_done)
    {
      if (rank_view_can_send (view, now))
        switcher_send_command (switcher, switcher->holding_rank,
                               RANK_COMMAND_RELEASE, switcher->step);
      return;
    }
  switcher->may_be_held = false;
  if (switcher->is_abandoned)
    {
      switcher_abort (switcher, "rank-not-heard", now);
      return;
    }
  TALLOC_FREE (switcher->map);
  switcher_enter (switcher, SWITCHER_IDLE, now);
  switcher->ops->on_event (switcher->is_advancing ? SWITCHER_ADVANCED
                                                  : SWITCHER_SWITCHED,
                           "", switcher->data);
  switcher->is_advancing = false;
}

/* Runs while idle.  A hold command whose outcome remained unknown may still be
   executed late and hold the group again: a new round makes the engines reject
   all such commands, and releases the group.  */
static void
check_unexpected_hold (switcher_t *switcher, struct timespec now)
{
  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      const rank_view_t *view = &switcher->ranks[i];

      if (view->report.is_held && rank_view_is_current (view)
          && !view->is_pending)
        {
          switcher_begin_round (switcher, now);
          return;
        }
    }
}

/* Advances the current phase.  To be called several times a second, in
   addition to the calls after each report and verdict.  */
void
switcher_tick (switcher_t *switcher, struct timespec now)
{
  switch (switcher->phase)
    {
    case SWITCHER_CLAIMING:
      switcher_claim (switcher, now);
      break;
    case SWITCHER_RECOVERING:
      switcher_recover (switcher, now);
      break;
    case SWITCHER_DISARMING:
      switcher_disarm (switcher, now);
      break;
    case SWITCHER_PREPARING:
      prepare_ranks (switcher, now);
      break;
    case SWITCHER_HOLDING:
      hold_group (switcher, now);
      break;
    case SWITCHER_ARMING:
      arm_ranks (switcher, now);
      break;
    case SWITCHER_RELEASING:
      release_group (switcher, now);
      break;
    case SWITCHER_IDLE:
      check_unexpected_hold (switcher, now);
      break;
    case SWITCHER_OFF:
    case SWITCHER_PHASE_COUNT:
      break;
    }
}

/* Returns whether this leader can stop now without leaving the group held.  */
bool
switcher_can_stop (const switcher_t *switcher)
{
  return !switcher->may_be_held && switcher->phase != SWITCHER_ARMING
         && switcher->phase != SWITCHER_RELEASING;
}

/* Returns whether a switch may start: the switcher is idle, all ranks use
   the same map, none is armed or held, and all have reported recently.  */
bool
switcher_is_ready (const switcher_t *switcher, struct timespec now)
{
  if (switcher->phase != SWITCHER_IDLE || !switcher_has_all_reports (switcher))
    return false;
  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      const rank_view_t *view = &switcher->ranks[i];

      if (view->is_pending || view->report.is_armed || view->report.is_held
          || view->report.map_version != switcher_map_version (switcher)
          || !rank_view_is_current (view)
          || timespec_to_ms (timespec_subtract (now, view->reported_at))
                 > REPORT_MAX_AGE_MS)
        return false;
    }
  return true;
}

/* Starts a switch to MAP, which is copied.  Returns false and does nothing
   unless switcher_is_ready or switcher_can_prepare_early.  */
bool
switcher_start_switch (switcher_t *switcher, const placement_map_t *map,
                       struct timespec now)
{
  bool is_ready = switcher_is_ready (switcher, now);

  if (!is_ready && !switcher_can_prepare_early (switcher, now))
    return false;
  talloc_free (switcher->map);
  switcher->map = placement_map_copy (switcher, map);
  if (switcher->map == NULL)
    return false;
  switcher->version
      = switcher->term * SWITCHER_FENCES_PER_TERM + ++switcher->switches;
  switcher->is_abandoned = switcher->is_advancing = false;
  switcher->early_base = switcher_map_version (switcher);
  if (is_ready)
    switcher_enter (switcher, SWITCHER_PREPARING, now);
  else
    switcher_begin_early (switcher);
  switcher_tick (switcher, now);
  return true;
}
