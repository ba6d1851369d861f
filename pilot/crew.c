#include "pilot/crew.h"

#include "common/numbers.h"
#include "common/roster.h"
#include "kernel/log.h"
#include "pilot/rank_codec.h"

#include <string.h>

enum
{
  VERDICT_TIMEOUT_MS = 80, /* an order with no answer by then is lost */
  CONNECT_AGAIN_MS = 500,
  DIRECT_POLL_MS = 400, /* of engines whose pilot cannot be reached */
  DIRECT_AFTER_MS = 300 /* without a report of a rank */
};

/* A pilot of the group, by its key in the store.  */
typedef struct crew_pilot
{
  LIST_ENTRY (crew_pilot) entry;
  crew_t *crew;
  char *name;
  net_address_t address;
  char *upstream;
  link_t *link; /* NULL while there is none */
  struct timespec connect_at;
  bool is_unlisted; /* its key is gone; it goes with its connection */
  bool has_rank;    /* it has reported */
  unsigned rank;
} crew_pilot_t;

/* An engine that is listed; which rank it is, if any of the group, has to be
   asked while a rank has no way to it.  */
typedef struct crew_stranger
{
  LIST_ENTRY (crew_stranger) entry;
  crew_t *crew;
  char *address;
  rank_engine_t *engine; /* NULL unless it was asked */
  bool is_asked;
  struct timespec asked_at;
} crew_stranger_t;

/* A rank and the order under way there.  */
typedef struct crew_rank
{
  crew_t *crew;
  unsigned rank;
  crew_pilot_t *pilot;   /* NULL when it cannot be reached */
  char *upstream;        /* address of the engine; NULL until it is known */
  rank_engine_t *engine; /* to reach it directly; NULL until it is needed */
  bool is_doubtful;      /* its pilot left an order unanswered */
  bool is_pending;
  uint64_t ticket;
  worker_timer_t *timer; /* of the order */
  struct timespec sent_at;
  uint64_t over_ticket;  /* the last order with a clear verdict */
  uint64_t asked_ticket; /* over when the engine was asked directly */
  bool is_polling;
  struct timespec reported_at;
  struct timespec polled_at;
} crew_rank_t;

struct crew
{
  pilot_t *pilot;
  char *group;
  unsigned rank_count;
  unsigned own_rank;
  crew_rank_t *ranks;
  const crew_ops_t *ops;
  void *data;
  uint64_t next_question;
  struct timespec started_at;
  unsigned users; /* connections, and calls to the own engine */
  bool is_retired;
  LIST_HEAD (, crew_pilot) pilots;
  LIST_HEAD (, crew_stranger) strangers;
};

/* A connection or a call has ended; the last one after the crew was destroyed
   frees it.  */
static void
crew_drop_user (crew_t *crew)
{
  crew->users--;
  if (crew->is_retired && crew->users == 0)
    talloc_free (crew);
}

static bool
time_is_over (const crew_t *crew, struct timespec since, int64_t ms)
{
  return timespec_to_ms (timespec_subtract (pilot_now (crew->pilot), since))
         >= ms;
}

static void
rank_end_order (crew_rank_t *rank, uint64_t ticket, rank_verdict_t verdict)
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
  rank_end_order (rank, rank->ticket, RANK_LOST);
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
  rank_end_order (rank, ticket, verdict);
  if (is_own)
    crew_drop_user (rank->crew);
}

static rank_engine_t *
rank_engine_of (crew_rank_t *rank)
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
                     const rank_order_t *order)
{
  rank_engine_t *engine = rank_engine_of (rank);
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
                          const rank_order_t *order)
{
  TALLOC_CTX *scratch = talloc_new (rank->crew);
  frame_t frame;
  status_t status;

  rank_order_to_frame (scratch, ticket, order, &frame);
  status = link_send (rank->pilot->link, &frame);
  talloc_free (scratch);
  return status == STATUS_OK;
}

static bool
rank_has_pilot (const crew_rank_t *rank)
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
  rank_end_order (rank, rank->ticket, RANK_UNREACHABLE);
}

/* Send ORDER to RANK.  on_verdict follows once, never within the call.  */
void
crew_order (crew_t *crew, unsigned number, uint64_t ticket,
            const rank_order_t *order)
{
  crew_rank_t *rank = &crew->ranks[number];
  bool is_own = number == crew->own_rank;
  /* Holding and letting go does not depend on the machine beside the engine:
     should this one freeze now, that one takes over.  */
  bool is_direct = order->step > 0
                   && (order->kind == RANK_HOLD || order->kind == RANK_GO)
                   && rank->upstream != NULL;
  bool is_sent;

  rank->is_pending = true;
  rank->ticket = ticket;
  rank->sent_at = pilot_now (crew->pilot);
  log_event (
      LOG_LEVEL_DEBUG, "order",
      "rank=%u kind=%s fence=%llu epoch=%llu version=%llu step=%llu "
      "way=%s",
      number, rank_order_name (order->kind), (unsigned long long)order->fence,
      (unsigned long long)order->epoch, (unsigned long long)order->version,
      (unsigned long long)order->step,
      is_own                                ? "own"
      : !is_direct && rank_has_pilot (rank) ? "pilot"
                                            : "direct");
  if (!is_own && !is_direct && rank_has_pilot (rank))
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

static void
crew_take_report (crew_t *crew, unsigned number, const rank_report_t *report,
                  uint64_t after_ticket)
{
  if (crew->is_retired)
    return;
  crew->ranks[number].reported_at = pilot_now (crew->pilot);
  crew->ops->on_report (number, report, after_ticket, crew->data);
}

/* Note where the engine of RANK is.  Calls to another address, if any are
   under way, end unheard; the order's own timer ends it.  */
static void
rank_set_upstream (crew_rank_t *rank, const char *upstream)
{
  if (rank->upstream != NULL && strcmp (rank->upstream, upstream) == 0)
    return;
  talloc_free (rank->upstream);
  rank->upstream = talloc_strdup (rank->crew, upstream);
  TALLOC_FREE (rank->engine);
  rank->is_polling = false;
}

static void
pilot_take_report (crew_pilot_t *pilot, const frame_rank_report_t *body)
{
  crew_t *crew = pilot->crew;
  crew_rank_t *rank;
  rank_report_t report;

  rank_report_from_frame (body, &report);
  if (strcmp (report.group, crew->group) != 0
      || report.rank >= crew->rank_count
      || report.rank_count != crew->rank_count)
    return;
  rank = &crew->ranks[report.rank];
  pilot->has_rank = true;
  pilot->rank = (unsigned)report.rank;
  if (rank->pilot != pilot)
    {
      rank->pilot = pilot;
      rank_set_upstream (rank, pilot->upstream);
    }
  rank->is_doubtful = false;
  crew_take_report (crew, rank->rank, &report, body->after_ticket);
}

static void
pilot_take_told (crew_pilot_t *pilot, const frame_rank_told_t *body)
{
  crew_t *crew = pilot->crew;
  TALLOC_CTX *scratch = talloc_new (crew);
  rank_told_t told = { .epoch = body->epoch, .version = body->version };
  rank_question_t question
      = (rank_question_t)(body->ticket % RANK_QUESTION_COUNT);

  if (question == RANK_PERMIT)
    {
      talloc_free (scratch);
      if (body->is_known && !crew->is_retired)
        crew->ops->on_permit (body->version, crew->data);
      return;
    }
  if (pilot->has_rank && body->is_known)
    told.numbers = numbers_decode (scratch, body->numbers, &told.number_count);
  if (pilot->has_rank && !crew->is_retired)
    crew->ops->on_told (pilot->rank, question,
                        told.numbers == NULL ? NULL : &told, crew->data);
  talloc_free (scratch);
}

static void
pilot_on_open (link_t *link, const frame_hello_t *peer, void *data)
{
  (void)link;
  (void)peer;
  (void)data;
}

static void
pilot_on_frame (link_t *link, const frame_t *frame, void *data)
{
  crew_pilot_t *pilot = data;
  crew_t *crew = pilot->crew;

  (void)link;
  if (frame->header.type == FRAME_RANK_REPORT)
    pilot_take_report (pilot, &frame->body.rank_report);
  else if (frame->header.type == FRAME_RANK_TOLD)
    pilot_take_told (pilot, &frame->body.rank_told);
  else if (frame->header.type == FRAME_RANK_VERDICT && pilot->has_rank
           && frame->body.rank_verdict.verdict < RANK_VERDICT_COUNT)
    rank_end_order (&crew->ranks[pilot->rank], frame->body.rank_verdict.ticket,
                    (rank_verdict_t)frame->body.rank_verdict.verdict);
}

/* The rank has no pilot for now; what was ordered through it may have been
   carried out.  */
static void
pilot_release_rank (crew_pilot_t *pilot)
{
  crew_t *crew = pilot->crew;

  for (unsigned i = 0; i < crew->rank_count; i++)
    {
      crew_rank_t *rank = &crew->ranks[i];

      if (rank->pilot != pilot)
        continue;
      rank->pilot = NULL;
      rank_end_order (rank, rank->ticket, RANK_LOST);
    }
  pilot->has_rank = false;
}

static void
pilot_on_closed (link_t *link, const char *reason, void *data)
{
  crew_pilot_t *pilot = data;
  crew_t *crew = pilot->crew;

  (void)link;
  log_event (LOG_LEVEL_NOTICE, "pilot-lost", "pilot=%s reason=%s", pilot->name,
             reason);
  pilot->link = NULL;
  pilot->connect_at = timespec_add (pilot_now (crew->pilot),
                                    timespec_from_ms (CONNECT_AGAIN_MS));
  pilot_release_rank (pilot);
  if (pilot->is_unlisted)
    {
      LIST_REMOVE (pilot, entry);
      talloc_free (pilot);
    }
  crew_drop_user (crew);
}

static const link_ops_t pilot_link_ops = {
  .on_open = pilot_on_open,
  .on_frame = pilot_on_frame,
  .on_closed = pilot_on_closed,
};

static void
pilot_connect (crew_pilot_t *pilot)
{
  pilot_t *own = pilot->crew->pilot;

  pilot->link = link_connect (own->worker, own->node, &pilot->address,
                              &pilot_link_ops, pilot);
  if (pilot->link != NULL)
    pilot->crew->users++;
  else
    pilot->connect_at
        = timespec_add (pilot_now (own), timespec_from_ms (CONNECT_AGAIN_MS));
}

static void
rank_on_report (status_t status, const rank_report_t *report, void *data)
{
  crew_rank_t *rank = data;

  rank->is_polling = false;
  if (status != STATUS_OK || report->rank != rank->rank
      || strcmp (report->group, rank->crew->group) != 0)
    return;
  crew_take_report (rank->crew, rank->rank, report, rank->asked_ticket);
}

/* Ask an engine itself whose pilot does not report.  */
static void
rank_poll_directly (crew_rank_t *rank)
{
  crew_t *crew = rank->crew;
  rank_engine_t *engine;

  if (rank->rank == crew->own_rank || rank->is_polling
      || !time_is_over (crew, rank->reported_at, DIRECT_AFTER_MS)
      || !time_is_over (crew, rank->polled_at, DIRECT_POLL_MS))
    return;
  engine = rank_engine_of (rank);
  if (engine == NULL)
    return;
  rank->polled_at = pilot_now (crew->pilot);
  rank->asked_ticket = rank->over_ticket;
  rank->is_polling
      = crew->pilot->engine_ops->report (engine, rank_on_report, rank)
        == STATUS_OK;
}

static bool
address_is_ranked (const crew_t *crew, const char *address)
{
  for (unsigned i = 0; i < crew->rank_count; i++)
    {
      const char *known = i == crew->own_rank ? pilot_upstream (crew->pilot)
                                              : crew->ranks[i].upstream;

      if (known != NULL && strcmp (known, address) == 0)
        return true;
    }
  return false;
}

static void
stranger_on_report (status_t status, const rank_report_t *report, void *data)
{
  crew_stranger_t *stranger = data;
  crew_t *crew = stranger->crew;
  crew_rank_t *rank;

  stranger->is_asked = false;
  if (status != STATUS_OK || strcmp (report->group, crew->group) != 0
      || report->rank >= crew->rank_count)
    return;
  rank = &crew->ranks[report->rank];
  if (rank->upstream != NULL)
    return;
  rank_set_upstream (rank, stranger->address);
  log_event (LOG_LEVEL_NOTICE, "rank-found", "rank=%u upstream=%s", rank->rank,
             rank->upstream);
}

/* Ask the engines of which it is not known what rank they are, while there is
   a rank that cannot be reached.  */
static void
crew_ask_strangers (crew_t *crew)
{
  const rank_engine_ops_t *ops = crew->pilot->engine_ops;
  crew_stranger_t *stranger;

  LIST_FOREACH (stranger, &crew->strangers, entry)
    {
      if (stranger->is_asked || address_is_ranked (crew, stranger->address)
          || !time_is_over (crew, stranger->asked_at, DIRECT_POLL_MS))
        continue;
      if (stranger->engine == NULL)
        stranger->engine
            = ops->create (stranger, crew->pilot->worker, stranger->address);
      stranger->asked_at = pilot_now (crew->pilot);
      stranger->is_asked
          = stranger->engine != NULL
            && ops->report (stranger->engine, stranger_on_report, stranger)
                   == STATUS_OK;
    }
}

/* Take in that an engine of the service is listed at ADDRESS.  */
void
crew_note_upstream (crew_t *crew, const char *address)
{
  crew_stranger_t *stranger;

  LIST_FOREACH (stranger, &crew->strangers, entry)
    {
      if (strcmp (stranger->address, address) == 0)
        return;
    }
  stranger = talloc_zero (crew, crew_stranger_t);
  if (stranger == NULL)
    return;
  stranger->crew = crew;
  stranger->address = talloc_strdup (stranger, address);
  LIST_INSERT_HEAD (&crew->strangers, stranger, entry);
}

/* Return the rank that should hold the group in a switch: one on another
   machine, whose pilot sees at once when this one is gone meanwhile.  */
unsigned
crew_choose_holder (const crew_t *crew)
{
  for (unsigned i = 1; i < crew->rank_count; i++)
    {
      unsigned rank = (crew->own_rank + i) % crew->rank_count;

      if (rank_has_pilot (&crew->ranks[rank])
          && !time_is_over (crew, crew->ranks[rank].reported_at,
                            DIRECT_AFTER_MS))
        return rank;
    }
  return crew->own_rank;
}

/* Let the other pilots know that there is a leader, with TERM.  */
void
crew_show_leading (crew_t *crew, uint64_t term)
{
  const crew_pilot_t *pilot;

  LIST_FOREACH (pilot, &crew->pilots, entry)
    {
      frame_t frame
          = { .header.type = FRAME_RANK_LED, .body.rank_led.term = term };

      if (pilot->link == NULL || !link_is_open (pilot->link))
        continue;
      if (pilot->has_rank)
        frame.body.rank_led.over_ticket = crew->ranks[pilot->rank].over_ticket;
      link_send (pilot->link, &frame);
    }
}

static bool
crew_lacks_rank (const crew_t *crew)
{
  for (unsigned i = 0; i < crew->rank_count; i++)
    {
      if (i != crew->own_rank && crew->ranks[i].upstream == NULL
          && time_is_over (crew, crew->started_at, DIRECT_AFTER_MS))
        return true;
    }
  return false;
}

/* Keep up the connections.  To be called a few times a second.  */
void
crew_tick (crew_t *crew)
{
  crew_pilot_t *pilot;

  LIST_FOREACH (pilot, &crew->pilots, entry)
    {
      if (pilot->link == NULL
          && timespec_compare (pilot->connect_at, pilot_now (crew->pilot))
                 <= 0)
        pilot_connect (pilot);
    }
  for (unsigned i = 0; i < crew->rank_count; i++)
    rank_poll_directly (&crew->ranks[i]);
  if (crew_lacks_rank (crew))
    crew_ask_strangers (crew);
}

static crew_pilot_t *
crew_find_pilot (crew_t *crew, const char *name)
{
  crew_pilot_t *pilot;

  LIST_FOREACH (pilot, &crew->pilots, entry)
    {
      if (!pilot->is_unlisted && strcmp (pilot->name, name) == 0)
        return pilot;
    }
  return NULL;
}

/* The key of PILOT is gone, or names another address.  One that is connected
   stays until its connection ends: its key may only have lapsed.  */
static void
pilot_unlist (crew_pilot_t *pilot)
{
  pilot->is_unlisted = true;
  if (pilot->link != NULL)
    return;
  LIST_REMOVE (pilot, entry);
  talloc_free (pilot);
}

static bool
pilot_is_at (const crew_pilot_t *pilot, const net_address_t *address,
             const char *upstream)
{
  return strcmp (pilot->address.host, address->host) == 0
         && pilot->address.port == address->port
         && strcmp (pilot->upstream, upstream) == 0;
}

/* Connect to a pilot unless there is a connection already.  */
static void
crew_add_pilot (crew_t *crew, const char *name, const char *address_text,
                const char *upstream)
{
  crew_pilot_t *pilot = talloc_zero (crew, crew_pilot_t);
  crew_pilot_t *known;

  if (pilot == NULL
      || net_address_parse (pilot, address_text, &pilot->address) != STATUS_OK)
    {
      talloc_free (pilot);
      return;
    }
  LIST_FOREACH (known, &crew->pilots, entry)
    {
      if (!pilot_is_at (known, &pilot->address, upstream))
        continue;
      known->is_unlisted = false;
      talloc_free (pilot);
      return;
    }
  pilot->crew = crew;
  pilot->name = talloc_strdup (pilot, name);
  pilot->upstream = talloc_strdup (pilot, upstream);
  LIST_INSERT_HEAD (&crew->pilots, pilot, entry);
  pilot_connect (pilot);
}

/* Take in the key of the pilot NAME in the store; a NULL value: it is
   gone.  */
void
crew_note_pilot (crew_t *crew, const char *name, const char *value)
{
  TALLOC_CTX *scratch = talloc_new (crew);
  crew_pilot_t *known = crew_find_pilot (crew, name);
  roster_pilot_t entry;

  if (known != NULL)
    pilot_unlist (known);
  if (value != NULL && roster_read_pilot (scratch, value, &entry)
      && strcmp (entry.group, crew->group) == 0
      && strcmp (entry.upstream, pilot_upstream (crew->pilot)) != 0)
    crew_add_pilot (crew, name, entry.address, entry.upstream);
  talloc_free (scratch);
}

/* Take in what the own engine reports.  */
void
crew_note_own_report (crew_t *crew, const rank_report_t *report)
{
  crew_take_report (crew, crew->own_rank, report,
                    crew->ranks[crew->own_rank].asked_ticket);
}

/* The own engine is being asked for a report.  */
void
crew_note_asking (crew_t *crew)
{
  crew_rank_t *own = &crew->ranks[crew->own_rank];

  own->asked_ticket = own->over_ticket;
}

/* A question to the own engine; the crew outlives it.  */
typedef struct own_question
{
  crew_t *crew;
  rank_question_t question;
} own_question_t;

static void
crew_on_own_told (status_t status, const rank_told_t *told, void *data)
{
  own_question_t *own = data;
  crew_t *crew = own->crew;
  rank_question_t question = own->question;

  talloc_free (own);
  if (!crew->is_retired)
    crew->ops->on_told (crew->own_rank, question,
                        status == STATUS_OK ? told : NULL, crew->data);
  crew_drop_user (crew);
}

/* Questions are numbered so that the answer tells which one it is to.  */
static uint64_t
crew_question_ticket (crew_t *crew, rank_question_t question)
{
  return RANK_QUESTION_COUNT * crew->next_question++ + question;
}

/* Ask the pilot of RANK, which holds the group, to let the own rank be
   armed.  */
void
crew_ask_permit (crew_t *crew, unsigned number, uint64_t term,
                 uint64_t version)
{
  const crew_rank_t *rank = &crew->ranks[number];
  frame_t frame = { .header.type = FRAME_RANK_ASK,
                    .body.rank_ask
                    = { .ticket = crew_question_ticket (crew, RANK_PERMIT),
                        .question = RANK_PERMIT,
                        .term = term,
                        .version = version } };

  if (rank->pilot != NULL && rank->pilot->link != NULL)
    link_send (rank->pilot->link, &frame);
}

/* Ask the ranks that can be asked for nothing: the own one, and those with a
   pilot.  Returns how many will be told of by on_told, if they answer.  */
unsigned
crew_ask_all (crew_t *crew, rank_question_t question)
{
  own_question_t *own = talloc_zero (crew, own_question_t);
  frame_t frame
      = { .header.type = FRAME_RANK_ASK, .body.rank_ask.question = question };
  unsigned count = 0;

  frame.body.rank_ask.ticket = crew_question_ticket (crew, question);
  for (unsigned i = 0; i < crew->rank_count; i++)
    {
      const crew_rank_t *rank = &crew->ranks[i];

      if (rank_has_pilot (rank)
          && link_send (rank->pilot->link, &frame) == STATUS_OK)
        count++;
    }
  if (own == NULL)
    return count;
  own->crew = crew;
  own->question = question;
  crew->users++;
  if (crew->pilot->engine_ops->ask (crew->pilot->engine, question,
                                    crew_on_own_told, own)
      == STATUS_OK)
    return count + 1;
  crew->users--;
  talloc_free (own);
  return count;
}

/* Create a crew for the group GROUP of RANK_COUNT ranks, of which the own
   engine has OWN_RANK.  */
crew_t *
crew_create (pilot_t *pilot, const char *group, unsigned rank_count,
             unsigned own_rank, const crew_ops_t *ops, void *data)
{
  crew_t *crew = talloc_zero (worker_events (pilot->worker), crew_t);

  if (crew == NULL)
    return NULL;
  crew->pilot = pilot;
  crew->group = talloc_strdup (crew, group);
  crew->rank_count = rank_count;
  crew->own_rank = own_rank;
  crew->ops = ops;
  crew->data = data;
  crew->ranks = talloc_zero_array (crew, crew_rank_t, rank_count);
  crew->started_at = pilot_now (pilot);
  LIST_INIT (&crew->pilots);
  LIST_INIT (&crew->strangers);
  for (unsigned i = 0; i < rank_count; i++)
    {
      crew->ranks[i].crew = crew;
      crew->ranks[i].rank = i;
    }
  return crew;
}

/* Tell nothing more, close the connections, and free CREW once they are.  */
void
crew_destroy (crew_t *crew)
{
  crew_pilot_t *pilot;

  crew->is_retired = true;
  LIST_FOREACH (pilot, &crew->pilots, entry)
    {
      if (pilot->link != NULL)
        link_close (pilot->link, "no-longer-leading");
    }
  crew->users++;
  crew_drop_user (crew);
}
