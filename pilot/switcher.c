#include "pilot/switcher_state.h"

#include "kernel/invariant.h"

enum
{
  FRESH_MS = 400,  /* reports older than this start no switch */
  RESEND_MS = 100, /* after an order that may not have arrived */
  PREPARE_TIMEOUT_MS = 8000,
  HOLD_TIMEOUT_MS = 2000,
  ARM_TIMEOUT_MS = 700, /* then the group goes on without the switch */
  HEARD_MS = 250,       /* a rank that reported so lately will take an order */
  /* Time that orders take to reach all ranks: the group is held at a step that
     it gets to about so much later.  Longer while orders get lost, so that
     they can be sent again before the group stands still.  */
  AHEAD_MS = 120,
  AHEAD_LOSSY_MS = 500,
  LOSSY_MS = 6000, /* after an order that was lost */
  AHEAD_MOST_STEPS = 24,
  USUAL_STEP_MS = 50
};

static const char *const phase_names[SWITCHER_PHASE_COUNT] = {
  [SWITCHER_OFF] = "off",
  [SWITCHER_CLAIMING] = "claiming",
  [SWITCHER_RESOLVING] = "resolving",
  [SWITCHER_IDLE] = "idle",
  [SWITCHER_PREPARING] = "preparing",
  [SWITCHER_HOLDING] = "holding",
  [SWITCHER_ARMING] = "arming",
  [SWITCHER_RELEASING] = "releasing",
  [SWITCHER_DISARMING] = "disarming",
};

/* Create a switcher for a group in which the caller's own engine has the rank
   OWN_RANK.  */
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
  switcher->holder = own_rank;
  switcher->step_ms = USUAL_STEP_MS;
  switcher->ranks = talloc_zero_array (switcher, rank_view_t, rank_count);
  return switcher;
}

/* Free SWITCHER.  */
void
switcher_destroy (switcher_t *switcher)
{
  talloc_free (switcher);
}

/* Return the name of PHASE for the log.  */
const char *
switcher_phase_name (switcher_phase_t phase)
{
  return phase_names[phase];
}

/* Return what the switcher is at.  */
switcher_phase_t
switcher_phase (const switcher_t *switcher)
{
  return switcher->phase;
}

/* Return the group's epoch, as the ranks report it.  */
uint64_t
switcher_epoch (const switcher_t *switcher)
{
  return switcher->epoch;
}

/* Return the newest version that a switch has used.  */
uint64_t
switcher_version (const switcher_t *switcher)
{
  return switcher->version;
}

/* Return the version of the map that the ranks report to use.  */
uint64_t
switcher_map (const switcher_t *switcher)
{
  return switcher->ranks[switcher->own_rank].report.map;
}

/* Have the group be held by RANK in switches from now on.  */
void
switcher_set_holder (switcher_t *switcher, unsigned rank)
{
  if (switcher->phase == SWITCHER_IDLE && rank < switcher->rank_count)
    switcher->holder = rank;
}

/* Start to lead with TERM, which is higher than that of any earlier leader.
   DEPOSED is the leader before, if it is known, or NULL: its engine may be out
   of reach with it, and the group need not be held for it when that is seen to
   be safe.  */
void
switcher_lead (switcher_t *switcher, uint64_t term,
               const switcher_deposed_t *deposed, struct timespec now)
{
  static const switcher_deposed_t nobody = { .rank = SWITCHER_NO_RANK };

  INVARIANT (term > switcher->term, "switcher-terms-rise");
  switcher->term = term;
  switcher->is_abandoned = false;
  switcher->deposed = deposed == NULL ? nobody : *deposed;
  switcher->round = 0;
  switcher->switches = 0;
  for (unsigned i = 0; i < switcher->rank_count; i++)
    switcher->ranks[i].is_known = false;
  switcher_begin_round (switcher, now);
}

/* Send no more orders.  */
void
switcher_stop (switcher_t *switcher)
{
  switcher->phase = SWITCHER_OFF;
}

static uint64_t
newest_step (const switcher_t *switcher)
{
  uint64_t step = 0;

  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      if (switcher->ranks[i].report.step > step)
        step = switcher->ranks[i].report.step;
    }
  return step;
}

/* The step at which the group is to be held and to switch: far enough ahead
   for the orders to arrive before it begins.  */
static uint64_t
step_ahead (const switcher_t *switcher, struct timespec now)
{
  int64_t lost_ms
      = timespec_to_ms (timespec_subtract (now, switcher->lost_at));
  bool is_lossy = switcher->has_lost && lost_ms < LOSSY_MS;
  double ahead_ms = is_lossy ? AHEAD_LOSSY_MS : AHEAD_MS;
  uint64_t ahead = (uint64_t)(ahead_ms / switcher->step_ms) + 2;

  if (ahead > AHEAD_MOST_STEPS)
    ahead = AHEAD_MOST_STEPS;
  return newest_step (switcher) + ahead;
}

static void
prepare (switcher_t *switcher, struct timespec now)
{
  unsigned prepared = 0;

  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      rank_view_t *view = &switcher->ranks[i];

      if (switcher_has_prepared (switcher, view))
        prepared++;
      else if (view->is_refused && rank_view_is_newer (view))
        {
          switcher_give_up (switcher, "prepare-refused", now);
          return;
        }
      else if (!view->is_refused && rank_view_may_send (view, now))
        switcher_send_order (switcher, i, RANK_COMMAND_PREPARE, 0);
    }
  if (prepared == switcher->rank_count)
    switcher_enter (switcher, SWITCHER_HOLDING, now);
  else if (switcher_phase_ms (switcher, now) > PREPARE_TIMEOUT_MS)
    switcher_give_up (switcher, "prepare-timeout", now);
}

/* Whether all ranks have reported lately, so that none is likely to be out of
   reach while the group is held for it.  */
static bool
all_heard (const switcher_t *switcher, struct timespec now)
{
  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      const rank_view_t *view = &switcher->ranks[i];

      if (timespec_to_ms (timespec_subtract (now, view->reported_at))
          > HEARD_MS)
        return false;
    }
  return true;
}

static void
hold (switcher_t *switcher, struct timespec now)
{
  rank_view_t *view = &switcher->ranks[switcher->holder];

  if (view->is_done)
    {
      switcher->is_abandoned = !all_heard (switcher, now);
      switcher_enter (
          switcher,
          switcher->is_abandoned ? SWITCHER_RELEASING : SWITCHER_ARMING, now);
      return;
    }
  if (!switcher->may_be_held
      && switcher_phase_ms (switcher, now) > HOLD_TIMEOUT_MS)
    {
      switcher_give_up (switcher, "hold-timeout", now);
      return;
    }
  if (!rank_view_may_send (view, now))
    return;
  if (!switcher->may_be_held)
    switcher->step = step_ahead (switcher, now);
  switcher->may_be_held = true;
  switcher_send_order (switcher, switcher->holder, RANK_COMMAND_HOLD,
                       switcher->step);
}

/* Return whether the own rank may be armed, after all others; see
   may_go_without.  */
static bool
has_permit (switcher_t *switcher, struct timespec now)
{
  if (switcher->holder == switcher->own_rank
      || switcher->permitted == switcher->version)
    return true;
  if (timespec_compare (switcher->permit_again_at, now) > 0)
    return false;
  switcher->permit_again_at = timespec_add (now, timespec_from_ms (RESEND_MS));
  switcher->ops->ask_permit (switcher->holder, switcher->term,
                             switcher->version, switcher->data);
  return false;
}

/* Nobody may switch: a new round makes all earlier orders void.  */
static void
call_off (switcher_t *switcher, const char *reason, struct timespec now)
{
  TALLOC_FREE (switcher->map);
  switcher_begin_round (switcher, now);
  switcher->ops->on_event (SWITCHER_GIVEN_UP, reason, switcher->data);
}

/* Arm all ranks, the own one last.  */
static void
arm (switcher_t *switcher, struct timespec now)
{
  unsigned own = switcher->own_rank;

  if (switcher_phase_ms (switcher, now) > ARM_TIMEOUT_MS)
    {
      call_off (switcher, "arm-timeout", now);
      return;
    }

  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      if (i != own && rank_view_may_send (&switcher->ranks[i], now))
        switcher_send_order (switcher, i, RANK_COMMAND_ARM, switcher->step);
    }
  if (switcher_all_done_but (switcher, own)
      && rank_view_may_send (&switcher->ranks[own], now)
      && has_permit (switcher, now))
    switcher_send_order (switcher, own, RANK_COMMAND_ARM, switcher->step);
  if (switcher_all_done (switcher))
    switcher_enter (switcher, SWITCHER_RELEASING, now);
}

static void
release (switcher_t *switcher, struct timespec now)
{
  rank_view_t *view = &switcher->ranks[switcher->holder];

  if (!view->is_done)
    {
      if (rank_view_may_send (view, now))
        switcher_send_order (switcher, switcher->holder, RANK_COMMAND_RELEASE,
                             switcher->step);
      return;
    }
  switcher->may_be_held = false;
  if (switcher->is_abandoned)
    {
      switcher_give_up (switcher, "rank-not-heard", now);
      return;
    }
  TALLOC_FREE (switcher->map);
  switcher_enter (switcher, SWITCHER_IDLE, now);
  switcher->ops->on_event (SWITCHER_SWITCHED, "", switcher->data);
}

/* Nothing is under way.  An order to hold that was lost may be carried out
   late all the same and hold the group again: a new round fences off all such
   orders, and ends what they did.  */
static void
watch (switcher_t *switcher, struct timespec now)
{
  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      const rank_view_t *view = &switcher->ranks[i];

      if (view->report.is_held && rank_view_is_newer (view)
          && !view->is_pending)
        {
          switcher_begin_round (switcher, now);
          return;
        }
    }
}

/* Take the next steps.  To be called a few times a second, besides after each
   report and verdict.  */
void
switcher_tick (switcher_t *switcher, struct timespec now)
{
  switch (switcher->phase)
    {
    case SWITCHER_CLAIMING:
      switcher_claim (switcher, now);
      break;
    case SWITCHER_RESOLVING:
      switcher_resolve (switcher, now);
      break;
    case SWITCHER_DISARMING:
      switcher_disarm (switcher, now);
      break;
    case SWITCHER_PREPARING:
      prepare (switcher, now);
      break;
    case SWITCHER_HOLDING:
      hold (switcher, now);
      break;
    case SWITCHER_ARMING:
      arm (switcher, now);
      break;
    case SWITCHER_RELEASING:
      release (switcher, now);
      break;
    case SWITCHER_IDLE:
      watch (switcher, now);
      break;
    case SWITCHER_OFF:
    case SWITCHER_PHASE_COUNT:
      break;
    }
}

/* Return whether a switch may start: nothing is under way and all ranks have
   reported lately.  */
bool
switcher_is_ready (const switcher_t *switcher, struct timespec now)
{
  if (switcher->phase != SWITCHER_IDLE || !switcher_knows_all (switcher))
    return false;
  for (unsigned i = 0; i < switcher->rank_count; i++)
    {
      const rank_view_t *view = &switcher->ranks[i];

      if (view->is_pending || view->report.is_armed || view->report.is_held
          || view->report.map != switcher_map (switcher)
          || !rank_view_is_newer (view)
          || timespec_to_ms (timespec_subtract (now, view->reported_at))
                 > FRESH_MS)
        return false;
    }
  return true;
}

/* Start to switch to MAP.  Returns false, and does nothing, unless
   switcher_is_ready.  */
bool
switcher_start (switcher_t *switcher, const placement_map_t *map,
                struct timespec now)
{
  size_t slots
      = (size_t)map->shape.layers * map->shape.ranks * map->shape.slots;

  if (!switcher_is_ready (switcher, now))
    return false;
  switcher->map = talloc_zero (switcher, placement_map_t);
  switcher->map->shape = map->shape;
  switcher->map->slots
      = talloc_memdup (switcher->map, map->slots, slots * sizeof *map->slots);
  switcher->version
      = switcher->term * SWITCHER_FENCES_A_TERM + ++switcher->switches;
  switcher->is_abandoned = false;
  switcher_enter (switcher, SWITCHER_PREPARING, now);
  switcher_tick (switcher, now);
  return true;
}

/* The group formed anew.  Its engines have forgotten maps, fences and what
   they were ordered; late orders name the old epoch.  */
static void
restart (switcher_t *switcher, uint64_t epoch, struct timespec now)
{
  bool was_leading = switcher->phase != SWITCHER_OFF;

  switcher->epoch = epoch;
  switcher->may_be_held = false;
  TALLOC_FREE (switcher->map);
  if (!was_leading)
    return;
  switcher_begin_round (switcher, now);
  switcher->ops->on_event (SWITCHER_RESTARTED, "", switcher->data);
}

/* Learn how long a step takes from reports of the own engine.  */
static void
note_pace (switcher_t *switcher, uint64_t step, struct timespec now)
{
  static const double weight = 0.3;
  double passed_ms
      = (double)timespec_to_us (timespec_subtract (now, switcher->paced_at))
        / 1000;

  if (step > switcher->paced_step && switcher->paced_step > 0
      && passed_ms < 1000)
    switcher->step_ms += weight
                         * (passed_ms / (double)(step - switcher->paced_step)
                            - switcher->step_ms);
  if (step == switcher->paced_step && passed_ms < 1000)
    return;
  switcher->paced_step = step;
  switcher->paced_at = now;
}

/* Take in what the engine of RANK reports.  It was asked after all orders up
   to AFTER_TICKET were over.  */
void
switcher_note_report (switcher_t *switcher, unsigned rank,
                      const rank_report_t *report, uint64_t after_ticket,
                      struct timespec now)
{
  rank_view_t *view;

  if (rank >= switcher->rank_count || report->epoch < switcher->epoch)
    return;
  if (report->epoch > switcher->epoch)
    restart (switcher, report->epoch, now);
  view = &switcher->ranks[rank];
  view->report = *report;
  view->report.group = "";
  view->reported_at = now;
  view->after_ticket = after_ticket;
  view->is_known = true;
  if (rank == switcher->own_rank)
    note_pace (switcher, report->step, now);
  switcher_tick (switcher, now);
}

/* An order to hold was refused: the step has begun already, or the engine is
   held elsewhere.  Try a later step once newer reports have come.  */
static void
retry_hold (switcher_t *switcher, struct timespec now)
{
  switcher->may_be_held = false;
  if (switcher_phase_ms (switcher, now) > HOLD_TIMEOUT_MS)
    switcher_give_up (switcher, "hold-refused", now);
  else
    switcher->ranks[switcher->holder].again_at
        = timespec_add (now, timespec_from_ms (RESEND_MS));
}

static void
note_conflict (switcher_t *switcher, rank_view_t *view, struct timespec now)
{
  switch (switcher->phase)
    {
    case SWITCHER_PREPARING:
      /* An order that seemed lost may have been carried out; the next report
         tells.  */
      view->is_refused = true;
      break;
    case SWITCHER_HOLDING:
      retry_hold (switcher, now);
      break;
    case SWITCHER_ARMING:
      call_off (switcher, "arm-refused", now);
      break;
    default:
      view->again_at = timespec_add (now, timespec_from_ms (RESEND_MS));
      break;
    }
}

/* The holder's pilot lets the own rank be armed with VERSION.  */
void
switcher_note_permit (switcher_t *switcher, uint64_t version,
                      struct timespec now)
{
  if (switcher->phase != SWITCHER_ARMING || version != switcher->version)
    return;
  switcher->permitted = version;
  switcher_tick (switcher, now);
}

/* Take in what became of the order with TICKET to RANK.  */
void
switcher_note_verdict (switcher_t *switcher, unsigned rank, uint64_t ticket,
                       rank_verdict_t verdict, struct timespec now)
{
  rank_view_t *view;

  if (rank >= switcher->rank_count)
    return;
  view = &switcher->ranks[rank];
  if (!view->is_pending || view->ticket != ticket)
    return;
  view->is_pending = false;
  if (verdict == RANK_DONE || verdict == RANK_CONFLICT
      || verdict == RANK_MALFORMED)
    view->over_ticket = ticket;
  if (switcher->phase == SWITCHER_OFF)
    return;
  switch (verdict)
    {
    case RANK_DONE:
      if (view->sent_in == switcher->stage)
        view->is_done = true;
      break;
    case RANK_FENCED:
      switcher->phase = SWITCHER_OFF;
      switcher->ops->on_event (SWITCHER_DEPOSED, "", switcher->data);
      return;
    case RANK_CONFLICT:
    case RANK_MALFORMED:
      if (view->sent_in == switcher->stage)
        note_conflict (switcher, view, now);
      break;
    case RANK_LOST:
      switcher->has_lost = true;
      switcher->lost_at = now;
      break;
    case RANK_UNREACHABLE:
    case RANK_VERDICT_COUNT:
      view->again_at = timespec_add (now, timespec_from_ms (RESEND_MS));
      break;
    }
  switcher_tick (switcher, now);
}
