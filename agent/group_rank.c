#include "agent/group_rank.h"

#include "kernel/clock.h"
#include "kernel/invariant.h"

struct group_rank
{
  group_rank_options_t options;
  uint64_t incarnation;
  group_fence_t promised;
  uint64_t closed_version; /* newest version that was committed or aborted */
  group_engine_state_t engine;
  bool is_engine_known; /* ENGINE is as of the last order */
  bool is_order_open;   /* an order's answer has not come */
  struct timespec read_at;
  bool has_waiting;
  group_command_t waiting; /* the newest order, until the engine is known */
  bool has_current;
  group_command_t current; /* the order that the engine carries out */
};

/* Create the state of a rank whose engine's state is not known yet; the first
   tick asks for it.  */
group_rank_t *
group_rank_create (TALLOC_CTX *parent, const group_rank_options_t *options,
                   struct timespec now)
{
  group_rank_t *rank = talloc_zero (parent, group_rank_t);

  if (rank == NULL)
    return NULL;
  rank->options = *options;
  rank->incarnation = options->incarnation;
  rank->read_at = now;
  return rank;
}

/* Free RANK.  */
void
group_rank_destroy (group_rank_t *rank)
{
  talloc_free (rank);
}

/* Return whether no order may still change the engine's known state.  */
bool
group_rank_is_idle (const group_rank_t *rank)
{
  return rank->is_engine_known && !rank->is_order_open;
}

/* Return the incarnation that orders must name.  */
uint64_t
group_rank_incarnation (const group_rank_t *rank)
{
  return rank->incarnation;
}

/* Return the highest fence that RANK has promised to keep.  */
group_fence_t
group_rank_highest_fence (const group_rank_t *rank)
{
  return rank->promised;
}

/* Return the engine's state as last read.  */
const group_engine_state_t *
group_rank_engine (const group_rank_t *rank)
{
  return &rank->engine;
}

static void
rank_reply (group_rank_t *rank, const group_command_t *order, bool is_accepted)
{
  group_reply_t reply = { .kind = order->kind,
                          .rank = rank->options.rank,
                          .incarnation = rank->incarnation,
                          .command_fence = order->fence,
                          .promised = rank->promised,
                          .is_accepted = is_accepted,
                          .schedule = rank->engine.schedule,
                          .current_step = rank->engine.current_step };

  rank->options.ops->reply (&reply, rank->options.data);
}

static void
rank_send_to_engine (group_rank_t *rank, group_engine_command_kind_t kind,
                     const group_schedule_t *schedule)
{
  group_engine_command_t order = { .kind = kind, .fence = rank->promised };

  INVARIANT (!rank->is_order_open, "one-engine-order-at-a-time");
  if (schedule != NULL)
    order.schedule = *schedule;
  rank->is_order_open = true;
  rank->options.ops->send_to_engine (&order, rank->options.data);
}

/* Return the engine order that carries out ORDER, or GROUP_ENGINE_READ when
   the engine need not change, with *IS_ACCEPTED set.  */
static group_engine_command_kind_t
rank_engine_order (const group_rank_t *rank, const group_command_t *order,
                   bool *is_accepted)
{
  const group_schedule_t *have = &rank->engine.schedule;
  const group_schedule_t *want = &order->schedule;
  bool is_next = have->next == want->next;

  *is_accepted = true;
  switch (order->kind)
    {
    case GROUP_PREPARE:
      if (want->next <= rank->closed_version)
        break;
      if (have->phase == GROUP_PREPARED && is_next)
        return GROUP_ENGINE_READ;
      if (have->phase == GROUP_STEADY || have->phase == GROUP_PREPARED)
        return GROUP_ENGINE_PREPARE;
      break;
    case GROUP_ARM:
      if (have->phase == GROUP_ARMED && is_next && have->step == want->step)
        return GROUP_ENGINE_READ;
      if (have->phase == GROUP_PREPARED && is_next
          && want->next > rank->closed_version)
        return GROUP_ENGINE_ARM;
      break;
    case GROUP_COMMIT:
      if (have->base == want->next
          || (have->phase == GROUP_COMMITTED && is_next))
        return GROUP_ENGINE_READ;
      if (have->phase == GROUP_ARMED && is_next)
        return GROUP_ENGINE_COMMIT;
      break;
    case GROUP_ABORT:
      INVARIANT (have->base != want->next
                     && (have->phase != GROUP_COMMITTED || !is_next),
                 "no-abort-after-commit");
      if (is_next ? have->phase == GROUP_PREPARED || have->phase == GROUP_ARMED
                  : rank->engine.loading == want->next)
        return GROUP_ENGINE_ABORT;
      return GROUP_ENGINE_READ;
    case GROUP_JOIN:
      if (have->phase == GROUP_NO_MAP)
        return GROUP_ENGINE_JOIN;
      return GROUP_ENGINE_READ;
    case GROUP_RAISE_FENCE:
    case GROUP_CONFIRM:
    case GROUP_COMMAND_KIND_COUNT:
      return GROUP_ENGINE_READ;
    }
  *is_accepted = false;
  return GROUP_ENGINE_READ;
}

/* Deal with an order whose fence and incarnation are right.  */
static void
rank_carry_out (group_rank_t *rank, const group_command_t *order)
{
  bool is_accepted;
  group_engine_command_kind_t kind
      = rank_engine_order (rank, order, &is_accepted);

  if ((order->kind == GROUP_COMMIT || order->kind == GROUP_ABORT)
      && order->schedule.next > rank->closed_version)
    rank->closed_version = order->schedule.next;
  if (kind == GROUP_ENGINE_READ)
    {
      rank_reply (rank, order, is_accepted);
      return;
    }
  rank->has_current = true;
  rank->current = *order;
  rank_send_to_engine (rank, kind, &order->schedule);
}

/* Take an order from a coordinator.  A lower fence than promised is refused;
   an order that comes while the engine's state is open waits, and the newest
   one replaces it.  */
void
group_rank_receive (group_rank_t *rank, const group_command_t *order,
                    struct timespec now)
{
  bool is_promise = order->kind == GROUP_RAISE_FENCE;
  int order_is = group_fence_compare (order->fence, rank->promised);

  (void)now;
  if (order->rank != rank->options.rank)
    return;
  if (order_is < 0 || (!is_promise && order_is != 0)
      || (!is_promise && order->incarnation != rank->incarnation))
    {
      if (group_rank_is_idle (rank))
        rank_reply (rank, order, false);
      return;
    }
  rank->promised = order->fence;
  if (!group_rank_is_idle (rank))
    {
      rank->has_waiting = true;
      rank->waiting = *order;
      return;
    }
  rank_carry_out (rank, order);
}

/* Note that the engine restarted, which makes the rank a new one.  */
static void
rank_note_engine (group_rank_t *rank, const group_engine_state_t *state)
{
  bool is_restart = rank->engine.incarnation != 0
                    && rank->engine.incarnation != state->incarnation;

  INVARIANT (is_restart || rank->engine.schedule.phase == GROUP_NO_MAP
                 || state->schedule.phase != GROUP_NO_MAP,
             "map-kept-until-restart");
  INVARIANT (is_restart || state->schedule.base >= rank->engine.schedule.base,
             "map-version-never-falls");
  if (is_restart)
    {
      rank->incarnation++;
      rank->has_current = false;
      rank->has_waiting = false;
    }
  rank->engine = *state;
}

static void
rank_take_waiting (group_rank_t *rank)
{
  group_command_t order = rank->waiting;

  if (!rank->has_waiting)
    return;
  rank->has_waiting = false;
  if (group_fence_compare (order.fence, rank->promised) == 0)
    rank_carry_out (rank, &order);
}

/* The engine answered the open order; STATE is its state after it.  */
void
group_rank_engine_responded (group_rank_t *rank,
                             const group_engine_state_t *state,
                             struct timespec now)
{
  group_command_t done = rank->current;
  bool had_current = rank->has_current;
  bool is_accepted;

  rank->is_order_open = false;
  rank->is_engine_known = true;
  rank->read_at = timespec_add (now, rank->options.read_interval);
  rank_note_engine (rank, state);
  had_current = had_current && rank->has_current;
  rank->has_current = false;
  if (had_current)
    {
      bool is_done
          = rank_engine_order (rank, &done, &is_accepted) == GROUP_ENGINE_READ;
      bool is_loading = done.kind == GROUP_PREPARE
                        && rank->engine.loading == done.schedule.next;

      rank_reply (rank, &done, is_accepted && (is_done || is_loading));
    }
  rank_take_waiting (rank);
}

/* The open order got no answer.  It may have been carried out, so the rank
   says nothing of its state until it has been read back.  */
void
group_rank_engine_failed (group_rank_t *rank, struct timespec now)
{
  rank->is_order_open = false;
  rank->is_engine_known = false;
  rank->has_current = false;
  rank->read_at = timespec_add (now, rank->options.read_interval);
}

/* Read the engine's state back when it is time.  */
void
group_rank_tick (group_rank_t *rank, struct timespec now)
{
  if (!rank->is_order_open && timespec_compare (now, rank->read_at) >= 0)
    rank_send_to_engine (rank, GROUP_ENGINE_READ, NULL);
}
