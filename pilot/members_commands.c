#include "pilot/members_state.h"

#include "kernel/log.h"
#include "pilot/rank_codec.h"

enum
{
  /* The outcome of a command without a verdict after this time counts as
     unknown.  */
  COMMAND_TIMEOUT_MS = 80
};

/* Finishes the command TICKET to RANK with VERDICT and reports it to the
   owner.  Ignored unless that command is in progress.  */
void
member_rank_finish_command (member_rank_t *rank, uint64_t ticket,
                            rank_verdict_t verdict)
{
  if (!rank->is_pending || rank->ticket != ticket || rank->members->is_closing)
    return;
  rank->is_pending = false;
  TALLOC_FREE (rank->timer);
  if (verdict != RANK_OUTCOME_UNKNOWN && verdict != RANK_UNREACHABLE)
    rank->finished_ticket = ticket;
  if (verdict != RANK_DONE)
    log_event (LOG_LEVEL_NOTICE, "order-failed",
               "rank=%u ticket=%llu verdict=%s", rank->rank,
               (unsigned long long)ticket, rank_verdict_name (verdict));
  rank->members->ops->on_verdict (rank->rank, ticket, verdict,
                                  rank->members->data);
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

static bool
rank_send_directly (member_rank_t *rank, uint64_t ticket,
                    const rank_command_t *command)
{
  rank_engine_t *engine = member_rank_engine (rank);
  direct_command_t *direct = talloc_zero (rank->members, direct_command_t);

  if (engine == NULL || direct == NULL)
    {
      talloc_free (direct);
      return false;
    }
  direct->rank = rank;
  direct->ticket = ticket;
  direct->is_own = rank->rank == rank->members->own_rank;
  rank->members->references += direct->is_own ? 1 : 0;
  if (rank->members->pilot->engine_ops->command (
          engine, command, rank_on_direct_verdict, direct)
      == STATUS_OK)
    return true;
  rank->members->references -= direct->is_own ? 1 : 0;
  talloc_free (direct);
  return false;
}

static bool
rank_send_through_pilot (member_rank_t *rank, uint64_t ticket,
                         const rank_command_t *command)
{
  TALLOC_CTX *scratch = talloc_new (rank->members);
  frame_t frame;
  status_t status;

  rank_command_to_frame (scratch, ticket, command, &frame);
  status = link_send (rank->pilot->link, &frame);
  talloc_free (scratch);
  return status == STATUS_OK;
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

/* Sends COMMAND with TICKET to RANK_NUMBER.  on_verdict is called once, never
   within this call.  */
void
members_send_command (members_t *members, unsigned rank_number,
                      uint64_t ticket, const rank_command_t *command)
{
  member_rank_t *rank = &members->ranks[rank_number];
  bool is_own = rank_number == members->own_rank;
  /* Hold and release go to the engine directly, so that they do not depend
     on its pilot's machine: if this machine freezes now, that pilot takes
     over.  */
  bool is_direct = command->step > 0
                   && (command->kind == RANK_COMMAND_HOLD
                       || command->kind == RANK_COMMAND_RELEASE)
                   && rank->engine_address != NULL;
  bool is_sent;

  rank->is_pending = true;
  rank->ticket = ticket;
  rank->sent_at = pilot_now (members->pilot);
  log_event (
      LOG_LEVEL_DEBUG, "order",
      "rank=%u kind=%s fence=%llu epoch=%llu version=%llu step=%llu "
      "via=%s",
      rank_number, rank_command_name (command->kind),
      (unsigned long long)command->fence, (unsigned long long)command->epoch,
      (unsigned long long)command->version, (unsigned long long)command->step,
      is_own                                       ? "own"
      : !is_direct && member_rank_has_pilot (rank) ? "pilot"
                                                   : "direct");
  if (!is_own && !is_direct && member_rank_has_pilot (rank))
    is_sent = rank_send_through_pilot (rank, ticket, command);
  else
    is_sent = rank_send_directly (rank, ticket, command);
  if (!rank->is_pending)
    return;
  TALLOC_FREE (rank->timer);
  rank->timer = worker_timer_start (
      members->pilot->worker, members,
      timespec_from_ms (is_sent ? COMMAND_TIMEOUT_MS : 0),
      is_sent ? rank_on_timeout : rank_on_unsent, rank);
}
