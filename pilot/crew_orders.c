#include "pilot/crew_state.h"

#include "kernel/log.h"
#include "pilot/rank_codec.h"

enum
{
  VERDICT_TIMEOUT_MS = 80 /* an order with no answer by then is lost */
};

/* The order TICKET to RANK is over with VERDICT.  */
void
crew_rank_end_order (crew_rank_t *rank, uint64_t ticket,
                     rank_verdict_t verdict)
{
  if (!rank->is_pending || rank->ticket != ticket || rank->crew->is_retired)
    return;
  rank->is_pending = false;
  TALLOC_FREE (rank->timer);
  if (verdict != RANK_LOST && verdict != RANK_UNREACHABLE)
    rank->over_ticket = ticket;
  if (verdict != RANK_DONE)
    log_event (LOG_LEVEL_NOTICE, "order-failed",
               "rank=%u ticket=%llu verdict=%s", rank->rank,
               (unsigned long long)ticket, rank_verdict_name (verdict));
  rank->crew->ops->on_verdict (rank->rank, ticket, verdict, rank->crew->data);
}

static void
rank_handle_timeout (worker_t *worker, void *data)
{
  crew_rank_t *rank = data;

  (void)worker;
  rank->timer = NULL;
  /* A pilot that has reported meanwhile is there; its engine let it down.  */
  rank->is_doubtful = timespec_compare (rank->reported_at, rank->sent_at) < 0;
  crew_rank_end_order (rank, rank->ticket, RANK_LOST);
}

/* An order to the engine itself; the rank outlives it.  One to the own engine
   keeps the crew: that engine does not go with it.  */
typedef struct direct_order
{
  crew_rank_t *rank;
  uint64_t ticket;
  bool is_own;
} direct_order_t;

static void
rank_on_verdict (rank_verdict_t verdict, void *data)
{
  direct_order_t *direct = data;
  crew_rank_t *rank = direct->rank;
  uint64_t ticket = direct->ticket;
  bool is_own = direct->is_own;

  talloc_free (direct);
  crew_rank_end_order (rank, ticket, verdict);
  if (is_own)
    crew_drop_user (rank->crew);
}

/* Return the way to the engine of RANK itself, or NULL.  */
rank_engine_t *
crew_rank_engine (crew_rank_t *rank)
{
  pilot_t *pilot = rank->crew->pilot;

  if (rank->rank == rank->crew->own_rank)
    return pilot->engine;
  if (rank->engine == NULL && rank->upstream != NULL)
    rank->engine = pilot->engine_ops->create (rank->crew, pilot->worker,
                                              rank->upstream);
  return rank->engine;
}

static bool
rank_order_directly (crew_rank_t *rank, uint64_t ticket,
                     const rank_command_t *order)
{
  rank_engine_t *engine = crew_rank_engine (rank);
  direct_order_t *direct = talloc_zero (rank->crew, direct_order_t);

  if (engine == NULL || direct == NULL)
    {
      talloc_free (direct);
      return false;
    }
  direct->rank = rank;
  direct->ticket = ticket;
  direct->is_own = rank->rank == rank->crew->own_rank;
  rank->crew->users += direct->is_own ? 1 : 0;
  if (rank->crew->pilot->engine_ops->order (engine, order, rank_on_verdict,
                                            direct)
      == STATUS_OK)
    return true;
  rank->crew->users -= direct->is_own ? 1 : 0;
  talloc_free (direct);
  return false;
}

static bool
rank_order_through_pilot (crew_rank_t *rank, uint64_t ticket,
                          const rank_command_t *order)
{
  TALLOC_CTX *scratch = talloc_new (rank->crew);
  frame_t frame;
  status_t status;

  rank_order_to_frame (scratch, ticket, order, &frame);
  status = link_send (rank->pilot->link, &frame);
  talloc_free (scratch);
  return status == STATUS_OK;
}

/* Whether RANK can be reached through its pilot.  */
bool
crew_rank_has_pilot (const crew_rank_t *rank)
{
  return rank->pilot != NULL && rank->pilot->link != NULL
         && link_is_open (rank->pilot->link) && !rank->is_doubtful;
}

static void
rank_handle_unsent (worker_t *worker, void *data)
{
  crew_rank_t *rank = data;

  (void)worker;
  rank->timer = NULL;
  crew_rank_end_order (rank, rank->ticket, RANK_UNREACHABLE);
}

/* Send ORDER to RANK.  on_verdict follows once, never within the call.  */
void
crew_order (crew_t *crew, unsigned number, uint64_t ticket,
            const rank_command_t *order)
{
  crew_rank_t *rank = &crew->ranks[number];
  bool is_own = number == crew->own_rank;
  /* Holding and letting go does not depend on the machine beside the engine:
     should this one freeze now, that one takes over.  */
  bool is_direct = order->step > 0
                   && (order->kind == RANK_COMMAND_HOLD
                       || order->kind == RANK_COMMAND_RELEASE)
                   && rank->upstream != NULL;
  bool is_sent;

  rank->is_pending = true;
  rank->ticket = ticket;
  rank->sent_at = pilot_now (crew->pilot);
  log_event (
      LOG_LEVEL_DEBUG, "order",
      "rank=%u kind=%s fence=%llu epoch=%llu version=%llu step=%llu "
      "way=%s",
      number, rank_command_name (order->kind),
      (unsigned long long)order->fence, (unsigned long long)order->epoch,
      (unsigned long long)order->version, (unsigned long long)order->step,
      is_own                                     ? "own"
      : !is_direct && crew_rank_has_pilot (rank) ? "pilot"
                                                 : "direct");
  if (!is_own && !is_direct && crew_rank_has_pilot (rank))
    is_sent = rank_order_through_pilot (rank, ticket, order);
  else
    is_sent = rank_order_directly (rank, ticket, order);
  if (!rank->is_pending)
    return;
  TALLOC_FREE (rank->timer);
  rank->timer = worker_timer_start (
      crew->pilot->worker, crew,
      timespec_from_ms (is_sent ? VERDICT_TIMEOUT_MS : 0),
      is_sent ? rank_handle_timeout : rank_handle_unsent, rank);
}
