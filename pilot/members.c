#include "pilot/members_state.h"

#include "kernel/log.h"
#include "pilot/rank_codec.h"

#include <string.h>

enum
{
  /* Poll interval of an engine whose pilot does not report.  */
  DIRECT_POLL_INTERVAL_MS = 400,
  /* The same for engines that no pilot of the group has registered, while
     there are others that one has.  */
  UNLIKELY_POLL_INTERVAL_MS = 1600,
  /* A rank without a report for this long is polled directly.  */
  REPORT_TIMEOUT_MS = 300,
  BYTES_PER_MBPS_MS = 125 /* a Mbit/s transfers this many in a millisecond */
};

/* Drops a reference that a connection or a pending call held.  After
   members_destroy, dropping the last reference frees MEMBERS.  */
void
members_unref (members_t *members)
{
  members->references--;
  if (members->is_closing && members->references == 0)
    talloc_free (members);
}

static bool
has_elapsed (const members_t *members, struct timespec since, int64_t ms)
{
  return timespec_to_ms (timespec_subtract (pilot_now (members->pilot), since))
         >= ms;
}

/* Passes a report of RANK_NUMBER to the owner, unless MEMBERS is
   being destroyed.  */
void
members_handle_report (members_t *members, unsigned rank_number,
                       const rank_report_t *report, uint64_t after_ticket)
{
  if (members->is_closing)
    return;
  members->ranks[rank_number].reported_at = pilot_now (members->pilot);
  members->ops->on_report (rank_number, report, after_ticket, members->data);
}

/* The engine at ADDRESS did not answer a direct poll.  */
static void
log_direct_failure (const char *address)
{
  log_event (LOG_LEVEL_INFO, "direct-report-failed",
             "upstream=%s error=\"%s\"", address, status_message ());
}

static void
rank_on_direct_report (status_t status, const rank_report_t *report,
                       void *data)
{
  member_rank_t *rank = data;

  rank->is_polling = false;
  if (status != STATUS_OK)
    log_direct_failure (rank->engine_address);
  if (status != STATUS_OK || report->rank != rank->rank
      || strcmp (report->group, rank->members->group) != 0)
    return;
  members_handle_report (rank->members, rank->rank, report,
                         rank->poll_after_ticket);
}

/* Returns the last command to RANK whose effect a report shows that this
   process requests now.  The engine is on another machine.  */
static uint64_t
rank_shown_command (const member_rank_t *rank)
{
  const members_t *members = rank->members;

  return finished_command_shown (&rank->finished, pilot_now (members->pilot),
                                 members->report_lag);
}

/* Returns whether to poll the engine directly: no report has come through its
   pilot, or none can come, and a direct one shows a later command than the
   last did.  */
static bool
rank_needs_direct_poll (const member_rank_t *rank)
{
  const members_t *members = rank->members;

  if (rank->rank == members->own_rank || rank->is_polling)
    return false;
  if (!member_rank_has_pilot (rank)
      && rank_shown_command (rank) > rank->poll_after_ticket)
    return true;
  return has_elapsed (members, rank->reported_at, REPORT_TIMEOUT_MS)
         && has_elapsed (members, rank->polled_at, DIRECT_POLL_INTERVAL_MS);
}

/* Polls the engine directly if needed.  */
static void
rank_poll_directly (member_rank_t *rank)
{
  members_t *members = rank->members;
  rank_engine_t *engine;

  if (!rank_needs_direct_poll (rank))
    return;
  engine = member_rank_engine (rank);
  if (engine == NULL)
    return;
  rank->polled_at = pilot_now (members->pilot);
  rank->poll_after_ticket = rank_shown_command (rank);
  rank->is_polling = members->pilot->engine_ops->report (
                         engine, rank_on_direct_report, rank)
                     == STATUS_OK;
}

/* Returns whether ADDRESS is the engine of a rank that is known already.  */
static bool
address_is_located (const members_t *members, const char *address)
{
  for (unsigned i = 0; i < members->rank_count; i++)
    {
      const char *known = i == members->own_rank
                              ? pilot_upstream (members->pilot)
                              : members->ranks[i].engine_address;

      if (known != NULL && strcmp (known, address) == 0)
        return true;
    }
  return false;
}

static void
listed_on_report (status_t status, const rank_report_t *report, void *data)
{
  listed_engine_t *listed = data;
  members_t *members = listed->members;
  member_rank_t *rank;

  listed->is_polling = false;
  if (status != STATUS_OK)
    log_direct_failure (listed->address);
  if (status != STATUS_OK || strcmp (report->group, members->group) != 0
      || report->rank >= members->rank_count)
    return;
  rank = &members->ranks[report->rank];
  if (rank->engine_address != NULL)
    return;
  member_rank_set_engine_address (rank, listed->address);
  log_event (LOG_LEVEL_NOTICE, "rank-found", "rank=%u upstream=%s", rank->rank,
             rank->engine_address);
}

/* Returns the pilot of the group that has registered the engine at ADDRESS but
   has not reported to this process, or NULL.  ADDRESS may be NULL for any
   engine.  */
static const member_pilot_t *
members_find_silent_pilot (const members_t *members, const char *address)
{
  const member_pilot_t *pilot;

  LIST_FOREACH (pilot, &members->pilots, entry)
    {
      if (!pilot->has_rank
          && !address_is_located (members, pilot->engine_address)
          && (address == NULL || strcmp (pilot->engine_address, address) == 0))
        return pilot;
    }
  return NULL;
}

/* Returns the poll interval of LISTED, whose rank is unknown.  Most engines
   that are listed belong to other groups.  */
static int64_t
listed_interval_ms (const listed_engine_t *listed)
{
  const members_t *members = listed->members;

  return members_find_silent_pilot (members, NULL) == NULL
                 || members_find_silent_pilot (members, listed->address)
                        != NULL
             ? DIRECT_POLL_INTERVAL_MS
             : UNLIKELY_POLL_INTERVAL_MS;
}

/* Polls the listed engines whose rank is unknown, to find out which rank
   they are.  */
static void
members_identify_engines (members_t *members)
{
  const rank_engine_ops_t *ops = members->pilot->engine_ops;
  listed_engine_t *listed;

  LIST_FOREACH (listed, &members->listed_engines, entry)
    {
      if (listed->is_polling || address_is_located (members, listed->address)
          || !has_elapsed (members, listed->polled_at,
                           listed_interval_ms (listed)))
        continue;
      if (listed->engine == NULL)
        listed->engine
            = ops->create (listed, members->pilot->worker, listed->address);
      listed->polled_at = pilot_now (members->pilot);
      listed->is_polling
          = listed->engine != NULL
            && ops->report (listed->engine, listed_on_report, listed)
                   == STATUS_OK;
    }
}

/* Records that an engine of the service is listed at ADDRESS.  */
void
members_add_engine (members_t *members, const char *address)
{
  listed_engine_t *listed;

  LIST_FOREACH (listed, &members->listed_engines, entry)
    {
      if (strcmp (listed->address, address) == 0)
        return;
    }
  listed = talloc_zero (members, listed_engine_t);
  if (listed == NULL)
    return;
  listed->members = members;
  listed->address = talloc_strdup (listed, address);
  LIST_INSERT_HEAD (&members->listed_engines, listed, entry);
}

/* Returns whether the pilot of RANK_NUMBER is another one, connected, and has
   reported recently.  */
bool
members_has_active_pilot (const members_t *members, unsigned rank_number)
{
  const member_rank_t *rank = &members->ranks[rank_number];

  return rank_number != members->own_rank && member_rank_has_pilot (rank)
         && !has_elapsed (members, rank->reported_at, REPORT_TIMEOUT_MS);
}

static bool
members_lacks_rank_address (const members_t *members)
{
  for (unsigned i = 0; i < members->rank_count; i++)
    {
      if (i != members->own_rank && members->ranks[i].engine_address == NULL
          && has_elapsed (members, members->started_at, REPORT_TIMEOUT_MS))
        return true;
    }
  return false;
}

/* Reconnects to pilots and polls ranks that do not report.  To be called
   several times a second.  */
void
members_tick (members_t *members)
{
  member_pilot_t *pilot;

  LIST_FOREACH (pilot, &members->pilots, entry)
    {
      if (pilot->link == NULL
          && timespec_compare (pilot->connect_at, pilot_now (members->pilot))
                 <= 0)
        member_pilot_connect (pilot);
    }
  for (unsigned i = 0; i < members->rank_count; i++)
    rank_poll_directly (&members->ranks[i]);
  if (members_lacks_rank_address (members))
    members_identify_engines (members);
}

/* Handles a report of this pilot's engine.  */
void
members_handle_own_report (members_t *members, const rank_report_t *report)
{
  members_handle_report (members, members->own_rank, report,
                         members->ranks[members->own_rank].poll_after_ticket);
}

/* A poll of this pilot's engine starts: its report will show the effect of the
   commands that have finished by now.  */
void
members_handle_own_poll_started (members_t *members)
{
  member_rank_t *own = &members->ranks[members->own_rank];

  own->poll_after_ticket = own->finished.ticket;
}

/* A pending query to this pilot's engine; it holds a reference to MEMBERS.  */
typedef struct own_query
{
  members_t *members;
  rank_query_t query;
} own_query_t;

static void
members_on_own_reply (status_t status, const rank_reply_t *reply, void *data)
{
  own_query_t *own = data;
  members_t *members = own->members;
  rank_query_t query = own->query;

  rank_reply_t increments = { 0 };

  if (status == STATUS_OK)
    increments = *reply;
  if (status == STATUS_OK && query == RANK_QUERY_EXPERT_COUNTS)
    increments.numbers
        = expert_counts_take (members->pilot->counts, own, reply);
  if (!members->is_closing)
    members->ops->on_reply (members->own_rank, query,
                            increments.numbers == NULL ? NULL : &increments,
                            members->data);
  talloc_free (own);
  members_unref (members);
}

/* Returns a new ticket that contains QUERY, because a reply has only the
   ticket of the query.  */
static uint64_t
members_query_ticket (members_t *members, rank_query_t query)
{
  return RANK_QUERY_COUNT * members->next_query++ + query;
}

/* Sends QUERY, which is for the pilot itself and not for its engine, to the
   pilot of RANK_NUMBER.  */
static void
members_query_pilot (members_t *members, unsigned rank_number,
                     rank_query_t query, uint64_t term, uint64_t version)
{
  const member_rank_t *rank = &members->ranks[rank_number];
  frame_t frame
      = { .header.type = FRAME_RANK_QUERY,
          .body.rank_query = { .ticket = members_query_ticket (members, query),
                               .query = query,
                               .term = term,
                               .version = version } };

  if (rank->pilot != NULL && rank->pilot->link != NULL)
    link_send (rank->pilot->link, &frame);
}

/* Requests permission from the pilot of RANK_NUMBER, which holds the group, to
   arm this pilot's rank with VERSION in the leader's term TERM.  */
void
members_request_permit (members_t *members, unsigned rank_number,
                        uint64_t term, uint64_t version)
{
  members_query_pilot (members, rank_number, RANK_QUERY_ARM_PERMISSION, term,
                       version);
}

/* Asks the pilot of RANK_NUMBER to lead, as the leader of TERM stops.  */
void
members_ask_to_lead (members_t *members, unsigned rank_number, uint64_t term)
{
  members_query_pilot (members, rank_number, RANK_QUERY_LEAD, term, 0);
}

static bool
members_query_own (members_t *members, rank_query_t query)
{
  own_query_t *own = talloc_zero (members, own_query_t);

  if (own == NULL)
    return false;
  own->members = members;
  own->query = query;
  members->references++;
  if (members->pilot->engine_ops->query (members->pilot->engine, query,
                                         members_on_own_reply, own)
      == STATUS_OK)
    return true;
  members->references--;
  talloc_free (own);
  return false;
}

/* A reply of an engine on another machine to RANK_QUERY_HELD_EXPERTS.  */
static void
rank_on_direct_reply (status_t status, const rank_reply_t *reply, void *data)
{
  const member_rank_t *rank = data;
  members_t *members = rank->members;

  if (status != STATUS_OK)
    log_direct_failure (rank->engine_address);
  if (!members->is_closing)
    members->ops->on_reply (rank->rank, RANK_QUERY_HELD_EXPERTS,
                            status == STATUS_OK ? reply : NULL, members->data);
}

/* Queries the engine of RANK directly.  That stops the group for a moment that
   grows with the reply, which is short only for the experts that a rank
   holds.  */
static bool
rank_query_directly (member_rank_t *rank, rank_query_t query)
{
  rank_engine_t *engine = member_rank_engine (rank);

  return query == RANK_QUERY_HELD_EXPERTS && engine != NULL
         && rank->members->pilot->engine_ops->query (
                engine, query, rank_on_direct_reply, rank)
                == STATUS_OK;
}

/* Queries this pilot's engine, or RANK_NUMBER through its pilot: these queries
   cost nothing, unlike direct calls to a remote engine, which are made only
   while that pilot can't be reached.  Returns whether a query was sent;
   on_reply follows if the rank replies.  */
bool
members_query (members_t *members, unsigned rank_number, rank_query_t query)
{
  member_rank_t *rank = &members->ranks[rank_number];
  frame_t frame
      = { .header.type = FRAME_RANK_QUERY,
          .body.rank_query = { .ticket = members_query_ticket (members, query),
                               .query = query } };

  if (rank_number == members->own_rank)
    return members_query_own (members, query);
  if (!member_rank_has_pilot (rank))
    return rank_query_directly (rank, query);
  return link_send (rank->pilot->link, &frame) == STATUS_OK;
}

/* Sets the age of reports that this process requests from engines on other
   machines, as the rules name it.  */
void
members_set_report_lag (members_t *members, struct timespec lag)
{
  members->report_lag = report_lag_limit (lag);
}

/* Returns the bytes that the link of this VM transfers in MS milliseconds.  */
size_t
members_link_bytes (const members_t *members, int64_t ms)
{
  double mbps = daemon_config (members->pilot->daemon)->link_mbps;

  return (size_t)(mbps * (double)ms * BYTES_PER_MBPS_MS);
}

/* Creates the members of the group GROUP of RANK_COUNT ranks, in which
   this pilot's engine is OWN_RANK.  OPS and DATA must stay valid until
   members_destroy.  Returns NULL when memory is exhausted.  */
members_t *
members_create (pilot_t *pilot, const char *group, unsigned rank_count,
                unsigned own_rank, const members_ops_t *ops, void *data)
{
  members_t *members = talloc_zero (worker_events (pilot->worker), members_t);

  if (members == NULL)
    return NULL;
  members->pilot = pilot;
  members->group = talloc_strdup (members, group);
  members->rank_count = rank_count;
  members->own_rank = own_rank;
  members->ops = ops;
  members->data = data;
  members->ranks = talloc_zero_array (members, member_rank_t, rank_count);
  members->started_at = pilot_now (pilot);
  members->report_lag = report_lag_limit ((struct timespec){ 0, 0 });
  LIST_INIT (&members->pilots);
  LIST_INIT (&members->listed_engines);
  TAILQ_INIT (&members->waiting);
  for (unsigned i = 0; i < rank_count; i++)
    {
      members->ranks[i].members = members;
      members->ranks[i].rank = i;
    }
  return members;
}

/* Stops all callbacks and closes the connections.  MEMBERS is freed once
   the last connection and pending call has ended.  */
void
members_destroy (members_t *members)
{
  member_pilot_t *pilot;

  members->is_closing = true;
  LIST_FOREACH (pilot, &members->pilots, entry)
    {
      if (pilot->link != NULL)
        link_close (pilot->link, "no-longer-leading");
    }
  members->references++;
  members_unref (members);
}
