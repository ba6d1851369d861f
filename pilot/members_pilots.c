#include "pilot/members_state.h"

#include "common/numbers.h"
#include "common/roster.h"
#include "kernel/log.h"
#include "pilot/rank_codec.h"

#include <string.h>

enum
{
  RECONNECT_DELAY_MS = 500
};

/* Sets the address of the engine of RANK.  Pending calls to a previous
   address are dropped without a callback; the command's own timeout
   finishes it.  */
void
member_rank_set_engine_address (member_rank_t *rank,
                                const char *engine_address)
{
  if (rank->engine_address != NULL
      && strcmp (rank->engine_address, engine_address) == 0)
    return;
  talloc_free (rank->engine_address);
  rank->engine_address = talloc_strdup (rank->members, engine_address);
  TALLOC_FREE (rank->engine);
  rank->commands = NULL;
  rank->is_polling = false;
}

static void
pilot_handle_report (member_pilot_t *pilot, const frame_rank_report_t *body)
{
  members_t *members = pilot->members;
  member_rank_t *rank;
  rank_report_t report;

  rank_report_from_frame (body, &report);
  if (strcmp (report.group, members->group) != 0
      || report.rank >= members->rank_count
      || report.rank_count != members->rank_count)
    return;
  rank = &members->ranks[report.rank];
  pilot->has_rank = true;
  pilot->rank = (unsigned)report.rank;
  if (rank->pilot != pilot)
    {
      rank->pilot = pilot;
      member_rank_set_engine_address (rank, pilot->engine_address);
    }
  rank->is_pilot_suspect = false;
  members_handle_report (members, rank->rank, &report, body->after_ticket);
}

/* Returns the numbers of BODY, the reply to QUERY, owned by PARENT, or NULL if
   they are malformed.  Pilots of an earlier version send counts in full.  */
static uint64_t *
reply_decode_numbers (TALLOC_CTX *parent, rank_query_t query,
                      const frame_rank_query_reply_t *body, size_t *count)
{
  if (query == RANK_QUERY_EXPERT_COUNTS && body->version > 0)
    return rank_counts_decode (parent, body->numbers, body->version, count);
  return numbers_decode (parent, body->numbers, count);
}

static void
pilot_handle_reply (member_pilot_t *pilot,
                    const frame_rank_query_reply_t *body)
{
  members_t *members = pilot->members;
  TALLOC_CTX *scratch = talloc_new (members);
  rank_reply_t reply
      = { .epoch = body->group_epoch, .version = body->version };
  rank_query_t query = (rank_query_t)(body->ticket % RANK_QUERY_COUNT);

  if (query == RANK_QUERY_ARM_PERMISSION)
    {
      talloc_free (scratch);
      if (body->is_successful && !members->is_closing)
        members->ops->on_permit (body->version, members->data);
      return;
    }
  if (pilot->has_rank && body->is_successful)
    reply.numbers
        = reply_decode_numbers (scratch, query, body, &reply.number_count);
  if (pilot->has_rank && !members->is_closing)
    members->ops->on_reply (pilot->rank, query,
                            reply.numbers == NULL ? NULL : &reply,
                            members->data);
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
pilot_handle_verdict (member_rank_t *rank, const frame_rank_verdict_t *body)
{
  if (body->verdict == RANK_BASE_UNKNOWN)
    member_rank_send_whole_map (rank, body->ticket);
  else
    member_rank_finish_command (rank, body->ticket,
                                (rank_verdict_t)body->verdict);
}

static void
pilot_on_frame (link_t *link, const frame_t *frame, void *data)
{
  member_pilot_t *pilot = data;
  members_t *members = pilot->members;

  (void)link;
  if (frame->header.type == FRAME_RANK_REPORT)
    pilot_handle_report (pilot, &frame->body.rank_report);
  else if (frame->header.type == FRAME_RANK_QUERY_REPLY)
    pilot_handle_reply (pilot, &frame->body.rank_query_reply);
  else if (frame->header.type == FRAME_RANK_VERDICT && pilot->has_rank
           && frame->body.rank_verdict.verdict < RANK_VERDICT_COUNT)
    pilot_handle_verdict (&members->ranks[pilot->rank],
                          &frame->body.rank_verdict);
}

/* Detaches PILOT from its rank.  A command sent through it may have been
   executed, so its outcome is unknown.  */
static void
pilot_detach_rank (member_pilot_t *pilot)
{
  members_t *members = pilot->members;

  for (unsigned i = 0; i < members->rank_count; i++)
    {
      member_rank_t *rank = &members->ranks[i];

      if (rank->pilot != pilot)
        continue;
      rank->pilot = NULL;
      member_rank_finish_command (rank, rank->ticket, RANK_OUTCOME_UNKNOWN);
    }
  pilot->has_rank = false;
}

static void
pilot_on_closed (link_t *link, const char *reason, void *data)
{
  member_pilot_t *pilot = data;
  members_t *members = pilot->members;

  (void)link;
  log_event (LOG_LEVEL_NOTICE, "pilot-lost", "pilot=%s reason=%s", pilot->name,
             reason);
  pilot->link = NULL;
  pilot->connect_at = timespec_add (pilot_now (members->pilot),
                                    timespec_from_ms (RECONNECT_DELAY_MS));
  pilot_detach_rank (pilot);
  if (pilot->is_unlisted)
    {
      LIST_REMOVE (pilot, entry);
      talloc_free (pilot);
    }
  members_unref (members);
}

static const link_ops_t pilot_link_ops = {
  .on_open = pilot_on_open,
  .on_frame = pilot_on_frame,
  .on_closed = pilot_on_closed,
};

/* Opens a connection to PILOT.  If that fails, members_tick retries.  */
void
member_pilot_connect (member_pilot_t *pilot)
{
  pilot_t *own = pilot->members->pilot;

  pilot->link = link_connect (own->worker, own->node, &pilot->address,
                              &pilot_link_ops, pilot);
  if (pilot->link != NULL)
    pilot->members->references++;
  else
    pilot->connect_at = timespec_add (pilot_now (own),
                                      timespec_from_ms (RECONNECT_DELAY_MS));
}

/* Sends a heartbeat with TERM to the other pilots, so that they do not
   start an election.  */
void
members_send_heartbeat (members_t *members, uint64_t term)
{
  const member_pilot_t *pilot;

  LIST_FOREACH (pilot, &members->pilots, entry)
    {
      frame_t frame = { .header.type = FRAME_RANK_HEARTBEAT,
                        .body.rank_heartbeat.term = term };

      if (pilot->link == NULL || !link_is_open (pilot->link))
        continue;
      if (pilot->has_rank)
        frame.body.rank_heartbeat.completed_ticket
            = members->ranks[pilot->rank].finished.ticket;
      link_send (pilot->link, &frame);
    }
}

static member_pilot_t *
members_find_pilot (members_t *members, const char *name)
{
  member_pilot_t *pilot;

  LIST_FOREACH (pilot, &members->pilots, entry)
    {
      if (!pilot->is_unlisted && strcmp (pilot->name, name) == 0)
        return pilot;
    }
  return NULL;
}

/* Handles a deleted or changed key of PILOT.  A connected pilot is kept
   until its connection closes, as its lease may just have expired.  */
static void
pilot_unlist (member_pilot_t *pilot)
{
  pilot->is_unlisted = true;
  if (pilot->link != NULL)
    return;
  LIST_REMOVE (pilot, entry);
  talloc_free (pilot);
}

static bool
pilot_has_address (const member_pilot_t *pilot, const net_address_t *address,
                   const char *engine_address)
{
  return strcmp (pilot->address.host, address->host) == 0
         && pilot->address.port == address->port
         && strcmp (pilot->engine_address, engine_address) == 0;
}

/* Connects to a pilot unless it is known already.  */
static void
members_add_pilot (members_t *members, const char *name,
                   const char *address_text, const char *engine_address)
{
  member_pilot_t *pilot = talloc_zero (members, member_pilot_t);
  member_pilot_t *known;

  if (pilot == NULL
      || net_address_parse (pilot, address_text, &pilot->address) != STATUS_OK)
    {
      talloc_free (pilot);
      return;
    }
  LIST_FOREACH (known, &members->pilots, entry)
    {
      if (!pilot_has_address (known, &pilot->address, engine_address))
        continue;
      known->is_unlisted = false;
      talloc_free (pilot);
      return;
    }
  pilot->members = members;
  pilot->name = talloc_strdup (pilot, name);
  pilot->engine_address = talloc_strdup (pilot, engine_address);
  LIST_INSERT_HEAD (&members->pilots, pilot, entry);
  members_add_engine (members, engine_address);
  member_pilot_connect (pilot);
}

/* Handles a change of the store key of the pilot NAME; VALUE is NULL when
   the key was deleted.  */
void
members_update_pilot (members_t *members, const char *name, const char *value)
{
  TALLOC_CTX *scratch = talloc_new (members);
  member_pilot_t *known = members_find_pilot (members, name);
  roster_pilot_t entry;

  if (known != NULL)
    pilot_unlist (known);
  if (value != NULL && roster_parse_pilot (scratch, value, &entry)
      && strcmp (entry.group, members->group) == 0
      && strcmp (entry.upstream, pilot_upstream (members->pilot)) != 0)
    members_add_pilot (members, name, entry.address, entry.upstream);
  talloc_free (scratch);
}
