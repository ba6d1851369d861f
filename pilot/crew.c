#include "pilot/crew_state.h"

#include "kernel/log.h"
#include "pilot/rank_codec.h"

#include <string.h>

enum
{
  DIRECT_POLL_MS = 400, /* of engines whose pilot cannot be reached */
  DIRECT_AFTER_MS = 300 /* without a report of a rank */
};

/* A connection or a call has ended; the last one after the crew was destroyed
   frees it.  */
void
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

/* Hand on what the rank NUMBER reports.  */
void
crew_take_report (crew_t *crew, unsigned number, const rank_report_t *report,
                  uint64_t after_ticket)
{
  if (crew->is_retired)
    return;
  crew->ranks[number].reported_at = pilot_now (crew->pilot);
  crew->ops->on_report (number, report, after_ticket, crew->data);
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
  engine = crew_rank_engine (rank);
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
  crew_rank_set_upstream (rank, stranger->address);
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

      if (crew_rank_has_pilot (&crew->ranks[rank])
          && !time_is_over (crew, crew->ranks[rank].reported_at,
                            DIRECT_AFTER_MS))
        return rank;
    }
  return crew->own_rank;
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
        crew_pilot_connect (pilot);
    }
  for (unsigned i = 0; i < crew->rank_count; i++)
    rank_poll_directly (&crew->ranks[i]);
  if (crew_lacks_rank (crew))
    crew_ask_strangers (crew);
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
  rank_query_t question;
} own_question_t;

static void
crew_on_own_told (status_t status, const rank_reply_t *told, void *data)
{
  own_question_t *own = data;
  crew_t *crew = own->crew;
  rank_query_t question = own->question;

  talloc_free (own);
  if (!crew->is_retired)
    crew->ops->on_told (crew->own_rank, question,
                        status == STATUS_OK ? told : NULL, crew->data);
  crew_drop_user (crew);
}

/* Questions are numbered so that the answer tells which one it is to.  */
static uint64_t
crew_question_ticket (crew_t *crew, rank_query_t question)
{
  return RANK_QUERY_COUNT * crew->next_question++ + question;
}

/* Ask the pilot of RANK, which holds the group, to let the own rank be
   armed.  */
void
crew_ask_permit (crew_t *crew, unsigned number, uint64_t term,
                 uint64_t version)
{
  const crew_rank_t *rank = &crew->ranks[number];
  frame_t frame
      = { .header.type = FRAME_RANK_QUERY,
          .body.rank_query
          = { .ticket = crew_question_ticket (crew, RANK_QUERY_ARM_PERMISSION),
              .question = RANK_QUERY_ARM_PERMISSION,
              .term = term,
              .version = version } };

  if (rank->pilot != NULL && rank->pilot->link != NULL)
    link_send (rank->pilot->link, &frame);
}

/* Ask the ranks that can be asked for nothing: the own one, and those with a
   pilot.  Returns how many will be told of by on_told, if they answer.  */
unsigned
crew_ask_all (crew_t *crew, rank_query_t question)
{
  own_question_t *own = talloc_zero (crew, own_question_t);
  frame_t frame = { .header.type = FRAME_RANK_QUERY,
                    .body.rank_query.question = question };
  unsigned count = 0;

  frame.body.rank_query.ticket = crew_question_ticket (crew, question);
  for (unsigned i = 0; i < crew->rank_count; i++)
    {
      const crew_rank_t *rank = &crew->ranks[i];

      if (crew_rank_has_pilot (rank)
          && link_send (rank->pilot->link, &frame) == STATUS_OK)
        count++;
    }
  if (own == NULL)
    return count;
  own->crew = crew;
  own->question = question;
  crew->users++;
  if (crew->pilot->engine_ops->query (crew->pilot->engine, question,
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
