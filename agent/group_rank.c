#include "agent/group_rank.h"

#include "kernel/clock.h"
#include "kernel/invariant.h"

struct group_rank
{
  group_rank_options_t options;
  uint64_t incarnation;
  group_fence_t highest_fence;
  uint64_t decided_version; /* newest version that was committed or aborted */
  group_engine_state_t engine;
  bool is_engine_known; /* ENGINE is the state after the last command */
  bool is_command_open; /* a command to the engine has no response yet */
  struct timespec read_at;
  bool has_pending_command;
  /* Newest command received while the engine's state was unknown.  */
  group_command_t pending_command;
  bool has_current_command;
  /* The command that the engine is executing.  */
  group_command_t current_command;
};

/* Create the state of a rank.  The engine's state is unknown until the first
   tick has read it.  Returns NULL when out of memory.  */
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

/* Return whether the engine's state is known and no command is in progress
   that could change it.  */
bool
group_rank_is_idle (const group_rank_t *rank)
{
  return rank->is_engine_known && !rank->is_command_open;
}

/* Return the incarnation that commands must be addressed to.  */
uint64_t
group_rank_incarnation (const group_rank_t *rank)
{
  return rank->incarnation;
}

/* Return the highest fence that RANK has accepted.  */
group_fence_t
group_rank_highest_fence (const group_rank_t *rank)
{
  return rank->highest_fence;
}

/* Return the engine's last known state.  */
const group_engine_state_t *
group_rank_engine (const group_rank_t *rank)
{
  return &rank->engine;
}

static void
rank_reply (group_rank_t *rank, const group_command_t *command,
            bool is_accepted)
{
  group_reply_t reply = { .kind = command->kind,
                          .rank = rank->options.rank,
                          .incarnation = rank->incarnation,
                          .command_fence = command->fence,
                          .highest_fence = rank->highest_fence,
                          .is_accepted = is_accepted,
                          .schedule = rank->engine.schedule,
                          .current_step = rank->engine.current_step };

  rank->options.ops->reply (&reply, rank->options.data);
}

static void
rank_send_to_engine (group_rank_t *rank, group_engine_command_kind_t kind,
                     const group_schedule_t *schedule)
{
  group_engine_command_t command
      = { .kind = kind, .fence = rank->highest_fence };

  INVARIANT (!rank->is_command_open, "one-engine-order-at-a-time");
  if (schedule != NULL)
    command.schedule = *schedule;
  rank->is_command_open = true;
  rank->options.ops->send_to_engine (&command, rank->options.data);
}

/* Return the engine command that executes COMMAND, or GROUP_ENGINE_READ if the
   engine need not change.  Sets *IS_ACCEPTED.  */
static group_engine_command_kind_t
rank_engine_command (const group_rank_t *rank, const group_command_t *command,
                     bool *is_accepted)
{
  const group_schedule_t *actual = &rank->engine.schedule;
  const group_schedule_t *requested = &command->schedule;
  bool is_next = actual->next == requested->next;

  *is_accepted = true;
  switch (command->kind)
    {
    case GROUP_PREPARE:
      if (requested->next <= rank->decided_version)
        break;
      if (actual->phase == GROUP_PREPARED && is_next)
        return GROUP_ENGINE_READ;
      if (actual->phase == GROUP_STEADY || actual->phase == GROUP_PREPARED)
        return GROUP_ENGINE_PREPARE;
      break;
    case GROUP_ARM:
      if (actual->phase == GROUP_ARMED && is_next
          && actual->step == requested->step)
        return GROUP_ENGINE_READ;
      if (actual->phase == GROUP_PREPARED && is_next
          && requested->next > rank->decided_version)
        return GROUP_ENGINE_ARM;
      break;
    case GROUP_COMMIT:
      if (actual->base == requested->next
          || (actual->phase == GROUP_COMMITTED && is_next))
        return GROUP_ENGINE_READ;
      if (actual->phase == GROUP_ARMED && is_next)
        return GROUP_ENGINE_COMMIT;
      break;
    case GROUP_ABORT:
      INVARIANT (actual->base != requested->next
                     && (actual->phase != GROUP_COMMITTED || !is_next),
                 "no-abort-after-commit");
      if (is_next
              ? actual->phase == GROUP_PREPARED || actual->phase == GROUP_ARMED
              : rank->engine.loading == requested->next)
        return GROUP_ENGINE_ABORT;
      return GROUP_ENGINE_READ;
    case GROUP_JOIN:
      if (actual->phase == GROUP_NO_MAP)
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

/* Execute a command whose fence and incarnation have been checked.  */
static void
rank_execute (group_rank_t *rank, const group_command_t *command)
{
  bool is_accepted;
  group_engine_command_kind_t kind
      = rank_engine_command (rank, command, &is_accepted);

  if ((command->kind == GROUP_COMMIT || command->kind == GROUP_ABORT)
      && command->schedule.next > rank->decided_version)
    rank->decided_version = command->schedule.next;
  if (kind == GROUP_ENGINE_READ)
    {
      rank_reply (rank, command, is_accepted);
      return;
    }
  rank->has_current_command = true;
  rank->current_command = *command;
  rank_send_to_engine (rank, kind, &command->schedule);
}

/* Process a command from a coordinator.  A lower fence than the highest
   accepted one is rejected.  A command that arrives while the engine's state
   is unknown is deferred; a newer one replaces it.  */
void
group_rank_receive (group_rank_t *rank, const group_command_t *command,
                    struct timespec now)
{
  bool is_raise_fence = command->kind == GROUP_RAISE_FENCE;
  int fence_comparison
      = group_fence_compare (command->fence, rank->highest_fence);

  (void)now;
  if (command->rank != rank->options.rank)
    return;
  if (fence_comparison < 0 || (!is_raise_fence && fence_comparison != 0)
      || (!is_raise_fence && command->incarnation != rank->incarnation))
    {
      if (group_rank_is_idle (rank))
        rank_reply (rank, command, false);
      return;
    }
  rank->highest_fence = command->fence;
  if (!group_rank_is_idle (rank))
    {
      rank->has_pending_command = true;
      rank->pending_command = *command;
      return;
    }
  rank_execute (rank, command);
}

/* Store the engine's new state.  After a restart of the engine the rank gets a
   new incarnation.  */
static void
rank_update_engine (group_rank_t *rank, const group_engine_state_t *state)
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
      rank->has_current_command = false;
      rank->has_pending_command = false;
    }
  rank->engine = *state;
}

/* Execute the deferred command, unless the fence has been raised since.  */
static void
rank_execute_pending (group_rank_t *rank)
{
  group_command_t command = rank->pending_command;

  if (!rank->has_pending_command)
    return;
  rank->has_pending_command = false;
  if (group_fence_compare (command.fence, rank->highest_fence) == 0)
    rank_execute (rank, &command);
}

/* Process the engine's response to the command in progress; STATE is its state
   after the command.  */
void
group_rank_engine_responded (group_rank_t *rank,
                             const group_engine_state_t *state,
                             struct timespec now)
{
  group_command_t executed = rank->current_command;
  bool had_current_command = rank->has_current_command;
  bool is_accepted;

  rank->is_command_open = false;
  rank->is_engine_known = true;
  rank->read_at = timespec_add (now, rank->options.read_interval);
  rank_update_engine (rank, state);
  had_current_command = had_current_command && rank->has_current_command;
  rank->has_current_command = false;
  if (had_current_command)
    {
      bool is_done = rank_engine_command (rank, &executed, &is_accepted)
                     == GROUP_ENGINE_READ;
      bool is_loading = executed.kind == GROUP_PREPARE
                        && rank->engine.loading == executed.schedule.next;

      rank_reply (rank, &executed, is_accepted && (is_done || is_loading));
    }
  rank_execute_pending (rank);
}

/* The command in progress failed or got no response.  The engine may have
   executed it, so the rank does not reply until it has read the engine's state
   back.  */
void
group_rank_engine_failed (group_rank_t *rank, struct timespec now)
{
  rank->is_command_open = false;
  rank->is_engine_known = false;
  rank->has_current_command = false;
  rank->read_at = timespec_add (now, rank->options.read_interval);
}

/* Read the engine's state when that is due.  */
void
group_rank_tick (group_rank_t *rank, struct timespec now)
{
  if (!rank->is_command_open && timespec_compare (now, rank->read_at) >= 0)
    rank_send_to_engine (rank, GROUP_ENGINE_READ, NULL);
}
