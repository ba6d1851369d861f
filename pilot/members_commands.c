#include "pilot/members_state.h"

#include "kernel/log.h"
#include "pilot/rank_codec.h"

enum
{
  /* The outcome of a command without a verdict after this time, and the time
     to transfer what is on its way, counts as unknown.  */
  COMMAND_TIMEOUT_MS = 80,
  /* Commands with a map are sent as long as the link transfers the unanswered
     ones in this time, so that they don't delay heartbeats.  */
  SEND_WINDOW_MS = 50,
  /* Bytes of an expert's number in the text of a direct command.  */
  TEXT_BYTES_PER_SLOT = 4,
  MS_PER_S = 1000
};

static void members_send_waiting (members_t *members);

/* Takes the command of RANK out of the queue or the bytes on their way.  */
static void
rank_stop_sending (member_rank_t *rank)
{
  members_t *members = rank->members;

  if (rank->is_waiting)
    TAILQ_REMOVE (&members->waiting, rank, waiting_link);
  rank->is_waiting = false;
  members->unanswered_bytes -= rank->unanswered_bytes;
  rank->unanswered_bytes = 0;
  TALLOC_FREE (rank->timer);
}

static void
rank_set_finished (member_rank_t *rank, uint64_t ticket)
{
  if (ticket > rank->finished.ticket)
    rank->finished
        = (finished_command_t){ .ticket = ticket,
                                .at = pilot_now (rank->members->pilot) };
}

/* The command TICKET to RANK is answered after its timeout, when another one
   may be in progress.  */
static void
rank_finish_late (member_rank_t *rank, uint64_t ticket, rank_verdict_t verdict)
{
  if (ticket >= rank->ticket || verdict != RANK_DONE)
    return;
  log_event (LOG_LEVEL_NOTICE, "order-answered-late",
             "rank=%u ticket=%llu last_ticket=%llu", rank->rank,
             (unsigned long long)ticket, (unsigned long long)rank->ticket);
  rank_set_finished (rank, ticket);
  rank->members->ops->on_verdict (rank->rank, ticket, verdict,
                                  rank->members->data);
}

/* Finishes the command TICKET to RANK with VERDICT and reports it to the
   owner.  */
void
member_rank_finish_command (member_rank_t *rank, uint64_t ticket,
                            rank_verdict_t verdict)
{
  if (rank->members->is_closing)
    return;
  if (!rank->is_pending || rank->ticket != ticket)
    {
      rank_finish_late (rank, ticket, verdict);
      return;
    }
  rank->is_pending = false;
  rank_stop_sending (rank);
  if (verdict != RANK_OUTCOME_UNKNOWN && verdict != RANK_UNREACHABLE)
    rank_set_finished (rank, ticket);
  if (verdict != RANK_DONE)
    log_event (LOG_LEVEL_NOTICE, "order-failed",
               "rank=%u ticket=%llu verdict=%s kind=%s via=%s ms=%lld",
               rank->rank, (unsigned long long)ticket,
               rank_verdict_name (verdict),
               rank_command_name (rank->command.kind),
               rank->is_direct ? "engine" : "pilot",
               (long long)timespec_to_ms (timespec_subtract (
                   pilot_now (rank->members->pilot), rank->sent_at)));
  rank->members->ops->on_verdict (rank->rank, ticket, verdict,
                                  rank->members->data);
  if (!rank->members->is_closing)
    members_send_waiting (rank->members);
}

static void
rank_on_timeout (worker_t *worker, void *data)
{
  member_rank_t *rank = data;

  (void)worker;
  rank->timer = NULL;
  /* If the pilot has reported since the command was sent, it works and only
     its engine is slow.  Otherwise commands go to the engine directly.  */
  rank->is_pilot_suspect
      = timespec_compare (rank->reported_at, rank->sent_at) < 0;
  member_rank_finish_command (rank, rank->ticket, RANK_OUTCOME_UNKNOWN);
}

/* A pending direct command to an engine.  RANK outlives it.  A command to
   this pilot's engine (IS_OWN) holds a reference to MEMBERS, because that
   engine's client is not freed with MEMBERS.  */
typedef struct direct_command
{
  member_rank_t *rank;
  uint64_t ticket;
  bool is_own;
} direct_command_t;

static void
rank_on_direct_verdict (rank_verdict_t verdict, void *data)
{
  direct_command_t *direct = data;
  member_rank_t *rank = direct->rank;
  uint64_t ticket = direct->ticket;
  bool is_own = direct->is_own;

  talloc_free (direct);
  member_rank_finish_command (rank, ticket, verdict);
  if (is_own)
    members_unref (rank->members);
}

/* Returns the client for direct calls to the engine of RANK, creating it
   if needed, or NULL while its address is unknown.  */
rank_engine_t *
member_rank_engine (member_rank_t *rank)
{
  pilot_t *pilot = rank->members->pilot;

  if (rank->rank == rank->members->own_rank)
    return pilot->engine;
  if (rank->engine == NULL && rank->engine_address != NULL)
    rank->engine = pilot->engine_ops->create (rank->members, pilot->worker,
                                              rank->engine_address);
  return rank->engine;
}

/* Returns the commands to the engine of RANK, or NULL while its address is
   unknown.  */
static engine_commands_t *
rank_commands (member_rank_t *rank)
{
  pilot_t *pilot = rank->members->pilot;
  rank_engine_t *engine;

  if (rank->rank == rank->members->own_rank)
    return pilot->commands;
  engine = member_rank_engine (rank);
  if (engine != NULL && rank->commands == NULL)
    rank->commands = engine_commands_create (
        engine, pilot->worker, pilot->engine_ops, engine, NULL, NULL);
  return rank->commands;
}

static bool
rank_send_directly (member_rank_t *rank, uint64_t ticket,
                    const rank_command_t *command)
{
  engine_commands_t *commands = rank_commands (rank);
  direct_command_t *direct = talloc_zero (rank->members, direct_command_t);

  if (commands == NULL || direct == NULL)
    {
      talloc_free (direct);
      return false;
    }
  direct->rank = rank;
  direct->ticket = ticket;
  direct->is_own = rank->rank == rank->members->own_rank;
  rank->members->references += direct->is_own ? 1 : 0;
  if (engine_commands_send (commands, command, rank_on_direct_verdict, direct)
      == STATUS_OK)
    return true;
  rank->members->references -= direct->is_own ? 1 : 0;
  talloc_free (direct);
  return false;
}

/* Returns whether RANK can be reached through its pilot.  */
bool
member_rank_has_pilot (const member_rank_t *rank)
{
  return rank->pilot != NULL && rank->pilot->link != NULL
         && link_is_open (rank->pilot->link) && !rank->is_pilot_suspect;
}

static void
rank_on_unsent (worker_t *worker, void *data)
{
  member_rank_t *rank = data;

  (void)worker;
  rank->timer = NULL;
  member_rank_finish_command (rank, rank->ticket, RANK_UNREACHABLE);
}

/* Starts the timeout of the command to RANK, of which BYTES are on their way.
   They share the link with those to other ranks.  */
static void
rank_start_timeout (member_rank_t *rank, size_t bytes)
{
  members_t *members = rank->members;
  size_t bytes_per_s = members_link_bytes (members, MS_PER_S);
  int64_t transfer_ms;

  members->unanswered_bytes += bytes;
  rank->unanswered_bytes = bytes;
  transfer_ms = (int64_t)(members->unanswered_bytes * MS_PER_S / bytes_per_s);
  rank->sent_at = pilot_now (members->pilot);
  rank->timer = worker_timer_start (
      members->pilot->worker, members,
      timespec_from_ms (COMMAND_TIMEOUT_MS + 2 * transfer_ms), rank_on_timeout,
      rank);
}

/* The command to RANK could not be sent.  The verdict follows from the event
   loop.  */
static void
rank_fail_unsent (member_rank_t *rank)
{
  rank->timer
      = worker_timer_start (rank->members->pilot->worker, rank->members,
                            timespec_from_ms (0), rank_on_unsent, rank);
}

/* Returns the encoded map of the command to RANK, without bytes if it has
   none.  */
static blob_t
rank_command_map (const member_rank_t *rank)
{
  const members_t *members = rank->members;

  if (rank->command.kind != RANK_COMMAND_PREPARE)
    return (blob_t){ 0 };
  return rank->needs_whole_map || members->map_changes.data == NULL
             ? members->map_whole
             : members->map_changes;
}

static void
rank_send_through_pilot (member_rank_t *rank)
{
  blob_t map = rank_command_map (rank);
  frame_t frame;

  rank_command_to_frame (rank->ticket, &rank->command, map, &frame);
  if (member_rank_has_pilot (rank)
      && link_send (rank->pilot->link, &frame) == STATUS_OK)
    rank_start_timeout (rank, map.size);
  else
    rank_fail_unsent (rank);
}

/* Returns whether the link can take a command with MAP_BYTES now.  */
static bool
members_can_send (const members_t *members, size_t map_bytes)
{
  return map_bytes == 0 || members->unanswered_bytes == 0
         || members->unanswered_bytes + map_bytes
                <= members_link_bytes (members, SEND_WINDOW_MS);
}

/* Sends the waiting commands that the link can take.  */
static void
members_send_waiting (members_t *members)
{
  member_rank_t *rank;

  while ((rank = TAILQ_FIRST (&members->waiting)) != NULL
         && members_can_send (members, rank_command_map (rank).size))
    {
      TAILQ_REMOVE (&members->waiting, rank, waiting_link);
      rank->is_waiting = false;
      rank_send_through_pilot (rank);
    }
}

static void
rank_send_or_wait (member_rank_t *rank)
{
  members_t *members = rank->members;

  if (TAILQ_EMPTY (&members->waiting)
      && members_can_send (members, rank_command_map (rank).size))
    {
      rank_send_through_pilot (rank);
      return;
    }
  rank->is_waiting = true;
  TAILQ_INSERT_TAIL (&members->waiting, rank, waiting_link);
}

/* Sends the command TICKET again, with the whole map.  */
void
member_rank_send_whole_map (member_rank_t *rank, uint64_t ticket)
{
  if (!rank->is_pending || rank->ticket != ticket || rank->needs_whole_map
      || rank->members->is_closing)
    return;
  log_event (LOG_LEVEL_NOTICE, "map-sent-whole", "rank=%u ticket=%llu",
             rank->rank, (unsigned long long)ticket);
  rank_stop_sending (rank);
  rank->needs_whole_map = true;
  rank_send_or_wait (rank);
}

/* Sets the map of the RANK_COMMAND_PREPARE commands that follow.  */
void
members_set_map (members_t *members, const placement_map_t *base,
                 const placement_map_t *map)
{
  talloc_free (members->map_data);
  members->map_data = talloc_new (members);
  members->map_whole = rank_map_encode (members->map_data, map);
  members->map_changes
      = rank_map_encode_changes (members->map_data, base, map);
  if (members->map_changes.size >= members->map_whole.size)
    members->map_changes = (blob_t){ 0 };
  for (unsigned i = 0; i < members->rank_count; i++)
    members->ranks[i].needs_whole_map = false;
}

/* Ends the commands that wait to be sent.  */
void
members_cancel_waiting (members_t *members)
{
  member_rank_t *rank;

  while ((rank = TAILQ_FIRST (&members->waiting)) != NULL)
    {
      rank_stop_sending (rank);
      rank_fail_unsent (rank);
    }
}

/* Returns whether COMMAND goes to the engine of RANK directly.  Hold and
   release do, so that they do not depend on the machine of its pilot: if that
   freezes now, that pilot takes over.  */
static bool
rank_is_sent_directly (const member_rank_t *rank,
                       const rank_command_t *command)
{
  bool stops_group = command->step > 0
                     && (command->kind == RANK_COMMAND_HOLD
                         || command->kind == RANK_COMMAND_RELEASE);

  return rank->rank == rank->members->own_rank
         || (stops_group && rank->engine_address != NULL)
         || !member_rank_has_pilot (rank);
}

/* Returns the bytes that COMMAND to the engine of RANK takes on the link.  */
static size_t
direct_command_bytes (const member_rank_t *rank, const rank_command_t *command)
{
  const placement_shape_t *shape;

  if (command->kind != RANK_COMMAND_PREPARE
      || rank->rank == rank->members->own_rank)
    return 0;
  shape = &command->map->shape;
  return (size_t)shape->layers * shape->ranks * shape->slots
         * TEXT_BYTES_PER_SLOT;
}

/* Sends COMMAND with TICKET to RANK_NUMBER.  on_verdict is called once, never
   within this call.  */
void
members_send_command (members_t *members, unsigned rank_number,
                      uint64_t ticket, const rank_command_t *command)
{
  member_rank_t *rank = &members->ranks[rank_number];
  bool is_direct = rank_is_sent_directly (rank, command);

  rank_stop_sending (rank);
  rank->is_pending = true;
  rank->ticket = ticket;
  rank->command = *command;
  rank->command.map = NULL;
  rank->sent_at = pilot_now (members->pilot);
  rank->is_direct = is_direct;
  log_event (
      LOG_LEVEL_DEBUG, "order",
      "rank=%u kind=%s fence=%llu epoch=%llu version=%llu step=%llu "
      "via=%s",
      rank_number, rank_command_name (command->kind),
      (unsigned long long)command->fence, (unsigned long long)command->epoch,
      (unsigned long long)command->version, (unsigned long long)command->step,
      is_direct ? "engine" : "pilot");
  if (!is_direct)
    rank_send_or_wait (rank);
  else if (!rank_send_directly (rank, ticket, command))
    rank_fail_unsent (rank);
  else if (rank->is_pending)
    rank_start_timeout (rank, direct_command_bytes (rank, command));
}
