#include "pilot/crew_state.h"

#include "common/numbers.h"
#include "common/roster.h"
#include "kernel/log.h"
#include "pilot/rank_codec.h"

#include <string.h>

enum
{
  CONNECT_AGAIN_MS = 500
};

/* Note where the engine of RANK is.  Calls to another address, if any are
   under way, end unheard; the order's own timer ends it.  */
void
crew_rank_set_upstream (crew_rank_t *rank, const char *upstream)
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
      crew_rank_set_upstream (rank, pilot->upstream);
    }
  rank->is_doubtful = false;
  crew_take_report (crew, rank->rank, &report, body->after_ticket);
}

static void
pilot_take_told (crew_pilot_t *pilot, const frame_rank_query_reply_t *body)
{
  crew_t *crew = pilot->crew;
  TALLOC_CTX *scratch = talloc_new (crew);
  rank_reply_t told = { .epoch = body->epoch, .version = body->version };
  rank_query_t question = (rank_query_t)(body->ticket % RANK_QUERY_COUNT);

  if (question == RANK_QUERY_ARM_PERMISSION)
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
  else if (frame->header.type == FRAME_RANK_QUERY_REPLY)
    pilot_take_told (pilot, &frame->body.rank_told);
  else if (frame->header.type == FRAME_RANK_VERDICT && pilot->has_rank
           && frame->body.rank_verdict.verdict < RANK_VERDICT_COUNT)
    crew_rank_end_order (&crew->ranks[pilot->rank],
                         frame->body.rank_verdict.ticket,
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
      crew_rank_end_order (rank, rank->ticket, RANK_LOST);
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

/* Open a connection to PILOT.  */
void
crew_pilot_connect (crew_pilot_t *pilot)
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

/* Let the other pilots know that there is a leader, with TERM.  */
void
crew_show_leading (crew_t *crew, uint64_t term)
{
  const crew_pilot_t *pilot;

  LIST_FOREACH (pilot, &crew->pilots, entry)
    {
      frame_t frame = { .header.type = FRAME_RANK_HEARTBEAT,
                        .body.rank_heartbeat.term = term };

      if (pilot->link == NULL || !link_is_open (pilot->link))
        continue;
      if (pilot->has_rank)
        frame.body.rank_heartbeat.over_ticket
            = crew->ranks[pilot->rank].over_ticket;
      link_send (pilot->link, &frame);
    }
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
  crew_pilot_connect (pilot);
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
  if (value != NULL && roster_parse_pilot (scratch, value, &entry)
      && strcmp (entry.group, crew->group) == 0
      && strcmp (entry.upstream, pilot_upstream (crew->pilot)) != 0)
    crew_add_pilot (crew, name, entry.address, entry.upstream);
  talloc_free (scratch);
}
