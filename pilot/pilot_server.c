#include "pilot/pilot_server.h"

#include "common/numbers.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "pilot/leader.h"
#include "pilot/rank_codec.h"
#include "pilot/reporter.h"

enum
{
  /* Minimum interval of changed reports to a relay.  */
  RELAY_CHANGED_INTERVAL_MS = 100,
  /* Interval of unchanged reports to a relay.  */
  RELAY_UNCHANGED_INTERVAL_MS = 1000,
  /* Interval of unchanged reports to a leader while the engine is polled more
     often, as it changes its map.  */
  LEADER_UNCHANGED_INTERVAL_MS = 75
};

COUNTER_DEFINE (commands_served, "siskin_pilot_orders_total",
                "Orders of a leader carried out");

/* A connection from a relay or a leader.  */
typedef struct client
{
  TAILQ_ENTRY (client) entry;
  pilot_server_t *server;
  link_t *link;
  bool is_leader;           /* it has sent a leader's frame */
  uint64_t finished_ticket; /* last of its commands that has finished */
  bool is_polled;           /* the engine has been polled since it connected */
  /* FINISHED_TICKET at the start of the last poll.  */
  uint64_t poll_after_ticket;
  /* Shallow copy of the last report sent to it; its strings may have been
     freed.  */
  rank_report_t last_report;
  struct timespec last_report_at;
  uint64_t last_after_ticket; /* of the last report */
} client_t;

struct pilot_server
{
  pilot_t *pilot;
  listener_t *listener;
  char *address;
  TAILQ_HEAD (, client) clients;  /* next to get gossip first */
  struct timespec leader_seen_at; /* last frame of a leader, or the start of
                                     this process */
  uint64_t leader_term;           /* highest term of a leader seen */
  /* Last map version with which a leader was permitted to arm its own rank; 0
     for none.  */
  uint64_t granted_version;
  /* Permits are granted only to leaders of this term or a later one.  */
  uint64_t min_permit_term;
  unsigned repeats; /* of gossip, so far */
};

/* A command or query forwarded to the engine for a client, which may
   disconnect before the reply.  */
typedef struct client_request
{
  pilot_server_t *server;
  /* Incarnation of the client's process, which may have reconnected.  */
  uint64_t incarnation;
  uint64_t ticket;
  rank_query_t query;       /* if it is one */
  rank_command_kind_t kind; /* if it is a command */
  uint64_t version;         /* the command's */
  struct timespec sent_at;
} client_request_t;

static client_t *
client_request_find_client (const client_request_t *request)
{
  client_t *client;

  TAILQ_FOREACH (client, &request->server->clients, entry)
    {
      if (link_is_open (client->link)
          && link_peer_incarnation (client->link) == request->incarnation)
        return client;
    }
  return NULL;
}

static client_request_t *
client_request_create (client_t *client, uint64_t ticket)
{
  client_request_t *request = talloc_zero (
      worker_events (client->server->pilot->worker), client_request_t);

  if (request == NULL)
    return NULL;
  request->server = client->server;
  request->incarnation = link_peer_incarnation (client->link);
  request->ticket = ticket;
  request->sent_at = pilot_now (client->server->pilot);
  return request;
}

static void
send_verdict (const client_t *client, uint64_t ticket, rank_verdict_t verdict)
{
  frame_t frame
      = { .header.type = FRAME_RANK_VERDICT,
          .body.rank_verdict = { .ticket = ticket, .verdict = verdict } };

  link_send (client->link, &frame);
}

static void
server_on_verdict (rank_verdict_t verdict, void *data)
{
  client_request_t *request = data;
  client_t *client = client_request_find_client (request);

  counter_add (&commands_served, 1);
  if (verdict == RANK_OUTCOME_UNKNOWN)
    log_event (
        LOG_LEVEL_INFO, "order-unanswered", "kind=%s ticket=%llu ms=%lld",
        rank_command_name (request->kind), (unsigned long long)request->ticket,
        (long long)timespec_to_ms (timespec_subtract (
            pilot_now (request->server->pilot), request->sent_at)));
  if (verdict == RANK_DONE && request->kind == RANK_COMMAND_PREPARE)
    reporter_expect_prepared (request->server->pilot->reporter,
                              request->version);
  if (client != NULL)
    {
      if (verdict != RANK_OUTCOME_UNKNOWN && verdict != RANK_UNREACHABLE
          && request->ticket > client->finished_ticket)
        client->finished_ticket = request->ticket;
      send_verdict (client, request->ticket, verdict);
      reporter_poll_now (request->server->pilot->reporter);
    }
  talloc_free (request);
}

/* Passes COMMAND on to the engine.  */
static void
server_run_command (client_t *client, uint64_t ticket,
                    const rank_command_t *command)
{
  pilot_t *pilot = client->server->pilot;
  client_request_t *request = client_request_create (client, ticket);

  if (request != NULL)
    {
      request->kind = command->kind;
      request->version = command->version;
    }
  if (request != NULL
      && engine_commands_send (pilot->commands, command, server_on_verdict,
                               request)
             == STATUS_OK)
    return;
  talloc_free (request);
  send_verdict (client, ticket, RANK_UNREACHABLE);
}

static void
server_handle_command (client_t *client, const frame_rank_command_t *body)
{
  map_history_t *maps = client->server->pilot->maps;
  TALLOC_CTX *scratch = talloc_new (client);
  rank_command_t command;

  switch (rank_command_from_frame (scratch, body, maps, &command))
    {
    case STATUS_OK:
      if (command.map != NULL)
        map_history_add (maps, command.map);
      server_run_command (client, body->ticket, &command);
      break;
    case STATUS_NOT_FOUND:
      send_verdict (client, body->ticket, RANK_BASE_UNKNOWN);
      break;
    default:
      log_event (LOG_LEVEL_WARN, "order-rejected", "peer=%s error=\"%s\"",
                 link_peer_name (client->link), status_message ());
      send_verdict (client, body->ticket, RANK_MALFORMED);
      break;
    }
  talloc_free (scratch);
}

/* Fills BODY with the counts in REPLY that no leader has been told yet.  */
static void
reply_encode_counts (client_request_t *request, const rank_reply_t *reply,
                     frame_rank_query_reply_t *body)
{
  const uint8_t *levels = expert_counts_take_levels (
      request->server->pilot->counts, request, reply, &body->version);

  body->is_successful = levels != NULL;
  if (levels != NULL)
    body->numbers = rank_counts_encode (request, levels, reply->number_count);
}

static void
server_on_reply (status_t status, const rank_reply_t *reply, void *data)
{
  client_request_t *request = data;
  const client_t *client = client_request_find_client (request);
  frame_t frame
      = { .header.type = FRAME_RANK_QUERY_REPLY,
          .body.rank_query_reply = { .ticket = request->ticket,
                                     .is_successful = status == STATUS_OK } };
  frame_rank_query_reply_t *body = &frame.body.rank_query_reply;

  if (client == NULL)
    {
      talloc_free (request);
      return;
    }
  if (status == STATUS_OK)
    {
      body->group_epoch = reply->epoch;
      body->version = reply->version;
      if (request->query == RANK_QUERY_EXPERT_COUNTS)
        reply_encode_counts (request, reply, body);
      else
        body->numbers
            = numbers_encode (request, reply->numbers, reply->number_count);
    }
  link_send (client->link, &frame);
  talloc_free (request);
}

/* Grants the leader the permit to arm its own rank, unless this pilot has
   taken over since or is about to.  */
static void
server_handle_permit_request (client_t *client, const frame_rank_query_t *body)
{
  pilot_server_t *server = client->server;
  frame_t frame = { .header.type = FRAME_RANK_QUERY_REPLY,
                    .body.rank_query_reply
                    = { .ticket = body->ticket, .version = body->version } };

  if (body->term >= server->min_permit_term)
    {
      frame.body.rank_query_reply.is_successful = true;
      server->granted_version = body->version;
    }
  link_send (client->link, &frame);
}

static void
server_handle_query (client_t *client, const frame_rank_query_t *body)
{
  const pilot_t *pilot = client->server->pilot;
  rank_query_t query = body->query == RANK_QUERY_HELD_EXPERTS
                           ? RANK_QUERY_HELD_EXPERTS
                           : RANK_QUERY_EXPERT_COUNTS;
  client_request_t *request;

  if (body->query == RANK_QUERY_ARM_PERMISSION)
    {
      server_handle_permit_request (client, body);
      return;
    }
  if (body->query == RANK_QUERY_LEAD)
    {
      leader_handle_request_to_lead (pilot->leader, body->term);
      return;
    }
  request = client_request_create (client, body->ticket);
  if (request != NULL)
    request->query = query;
  if (request != NULL
      && pilot->engine_ops->query (pilot->engine, query, server_on_reply,
                                   request)
             != STATUS_OK)
    talloc_free (request);
}

static bool
client_is_relay (const client_t *client)
{
  return link_is_open (client->link)
         && link_peer_role (client->link) == NODE_ENTRY;
}

/* Send FRAME to all relays, except NOT_TO.  */
static void
server_broadcast (const pilot_server_t *server, const frame_t *frame,
                  const client_t *not_to)
{
  const client_t *client;

  TAILQ_FOREACH (client, &server->clients, entry)
    {
      if (client != not_to && client_is_relay (client))
        link_send (client->link, frame);
    }
}

/* Pass on to the other relays what one of them has learned.  */
static void
server_handle_gossip (const client_t *client, const frame_t *frame)
{
  const pilot_server_t *server = client->server;
  TALLOC_CTX *scratch = talloc_new (client);
  frame_t sum = *frame;

  if (gossip_merge (server->pilot->gossip, scratch, &sum))
    server_broadcast (server, &sum, client);
  while (gossip_take_update (server->pilot->gossip, scratch, &sum))
    server_broadcast (server, &sum, NULL);
  talloc_free (scratch);
}

/* Return the relay that has been waiting longest for its turn, or NULL.  It
   becomes the last.  */
static client_t *
server_next_relay (pilot_server_t *server)
{
  client_t *client;

  TAILQ_FOREACH (client, &server->clients, entry)
    {
      if (!client_is_relay (client))
        continue;
      TAILQ_REMOVE (&server->clients, client, entry);
      TAILQ_INSERT_TAIL (&server->clients, client, entry);
      return client;
    }
  return NULL;
}

static void
server_handle_repeat (worker_t *worker, void *data)
{
  pilot_server_t *server = data;
  const client_t *client = server_next_relay (server);

  if (client != NULL)
    gossip_send_some (server->pilot->gossip, client->link, server->repeats++,
                      GOSSIP_REPEAT_RECORDS);
  worker_timer_start (worker, server,
                      timespec_from_ms (GOSSIP_REPEAT_INTERVAL_MS),
                      server_handle_repeat, server);
}

/* Tell the relays that the engine has ended.  */
void
pilot_server_push_engine_lost (pilot_server_t *server)
{
  frame_t frame
      = { .header.type = FRAME_ENGINE_LOST,
          .body.engine_lost.upstream = pilot_upstream (server->pilot) };

  server_broadcast (server, &frame, NULL);
}

static void
client_on_open (link_t *link, const frame_hello_t *peer, void *data)
{
  const client_t *client = data;

  log_event (LOG_LEVEL_DEBUG, "peer-open", "peer=%s", peer->name);
  gossip_send_all (client->server->pilot->gossip, link);
}

static void
client_on_frame (link_t *link, const frame_t *frame, void *data)
{
  client_t *client = data;

  (void)link;
  switch (frame->header.type)
    {
    case FRAME_RANK_COMMAND:
      server_handle_command (client, &frame->body.rank_command);
      break;
    case FRAME_RANK_QUERY:
      server_handle_query (client, &frame->body.rank_query);
      break;
    case FRAME_RANK_HEARTBEAT:
      if (frame->body.rank_heartbeat.completed_ticket
          > client->finished_ticket)
        client->finished_ticket = frame->body.rank_heartbeat.completed_ticket;
      if (frame->body.rank_heartbeat.term > client->server->leader_term)
        client->server->leader_term = frame->body.rank_heartbeat.term;
      break;
    default:
      server_handle_gossip (client, frame);
      return;
    }
  client->is_leader = true;
  client->server->leader_seen_at = pilot_now (client->server->pilot);
}

static void
client_on_closed (link_t *link, const char *reason, void *data)
{
  client_t *client = data;

  log_event (LOG_LEVEL_NOTICE, "peer-closed", "peer=%s leader=%d reason=%s",
             link_peer_name (link), client->is_leader, reason);
  TAILQ_REMOVE (&client->server->clients, client, entry);
  talloc_free (client);
}

static const link_ops_t client_link_ops = {
  .on_open = client_on_open,
  .on_frame = client_on_frame,
  .on_closed = client_on_closed,
};

static void
server_on_accept (stream_t *stream, void *data)
{
  pilot_server_t *server = data;
  pilot_t *pilot = server->pilot;
  client_t *client = talloc_zero (server, client_t);

  if (client == NULL)
    {
      stream_close (stream);
      return;
    }
  client->server = server;
  client->link = link_accept (pilot->worker, pilot->node, stream,
                              &client_link_ops, client);
  if (client->link == NULL)
    {
      talloc_free (client);
      return;
    }
  TAILQ_INSERT_TAIL (&server->clients, client, entry);
}

/* Listens on ADDRESS_TEXT.  Returns NULL with the status message set on
   failure.  */
pilot_server_t *
pilot_server_create (pilot_t *pilot, const char *address_text)
{
  pilot_server_t *server
      = talloc_zero (worker_events (pilot->worker), pilot_server_t);
  net_address_t address;
  uint16_t port = 0;

  if (server == NULL
      || net_address_parse (server, address_text, &address) != STATUS_OK)
    {
      talloc_free (server);
      return NULL;
    }
  server->pilot = pilot;
  server->leader_seen_at = pilot_now (pilot);
  TAILQ_INIT (&server->clients);
  server->listener
      = transport_listen (node_transport (pilot->node), pilot->worker,
                          &address, &port, server_on_accept, server);
  if (server->listener == NULL)
    {
      talloc_free (server);
      return NULL;
    }
  server->address = talloc_asprintf (server, "%s:%u", address.host, port);
  worker_timer_start (pilot->worker, server,
                      timespec_from_ms (GOSSIP_REPEAT_INTERVAL_MS),
                      server_handle_repeat, server);
  log_event (LOG_LEVEL_NOTICE, "frames-listening", "port=%u", port);
  return server;
}

/* Stops accepting connections.  */
void
pilot_server_destroy (pilot_server_t *server)
{
  transport_stop_listening (node_transport (server->pilot->node),
                            server->listener);
  server->listener = NULL;
}

/* A poll of the engine starts: its report will show the effect of the commands
   that have finished by now.  */
void
pilot_server_handle_poll_started (pilot_server_t *server)
{
  client_t *client;

  TAILQ_FOREACH (client, &server->clients, entry)
    {
      client->is_polled = true;
      client->poll_after_ticket = client->finished_ticket;
    }
}

static bool
report_affects_choice (const rank_report_t *last, const rank_report_t *report)
{
  return last->running != report->running || last->waiting != report->waiting
         || last->is_open != report->is_open || last->epoch != report->epoch;
}

/* Returns whether REPORT shows a leader more than the LAST one did, besides
   the step.  */
static bool
report_affects_switch (const rank_report_t *last, const rank_report_t *report)
{
  return last->is_open != report->is_open || last->epoch != report->epoch
         || last->map_version != report->map_version
         || last->has_prepared != report->has_prepared
         || last->prepared_version != report->prepared_version
         || last->is_armed != report->is_armed
         || last->is_held != report->is_held;
}

/* Returns whether CLIENT gets REPORT: a leader gets every report unless the
   engine IS_CHANGING, a relay those that affect its choice of an upstream and
   otherwise one every RELAY_UNCHANGED_INTERVAL_MS.  */
static bool
client_needs_report (const client_t *client, const rank_report_t *report,
                     bool is_changing, struct timespec now)
{
  int64_t since_ms
      = timespec_to_ms (timespec_subtract (now, client->last_report_at));

  if (!link_is_open (client->link) || !client->is_polled)
    return false;
  if (client->is_leader)
    return !is_changing || since_ms >= LEADER_UNCHANGED_INTERVAL_MS
           || client->poll_after_ticket > client->last_after_ticket
           || report_affects_switch (&client->last_report, report);
  if (client->last_report.is_open != report->is_open)
    return true;
  if (report_affects_choice (&client->last_report, report))
    return since_ms >= RELAY_CHANGED_INTERVAL_MS;
  return since_ms >= RELAY_UNCHANGED_INTERVAL_MS;
}

/* Sends the engine's newest report to the clients.  IS_CHANGING: the engine
   was polled early, as it changes its map.  */
void
pilot_server_push_report (pilot_server_t *server, const rank_report_t *report,
                          bool is_changing)
{
  struct timespec now = pilot_now (server->pilot);
  client_t *client;
  frame_t frame;

  TAILQ_FOREACH (client, &server->clients, entry)
    {
      if (!client_needs_report (client, report, is_changing, now))
        continue;
      rank_report_to_frame (report, pilot_upstream (server->pilot),
                            client->poll_after_ticket, &frame);
      client->last_report = *report;
      client->last_report_at = now;
      client->last_after_ticket = client->poll_after_ticket;
      link_send (client->link, &frame);
    }
}

/* Returns the last map version with which a leader was permitted to arm its
   own rank, 0 for none.  */
uint64_t
pilot_server_granted_version (const pilot_server_t *server)
{
  return server->granted_version;
}

/* Grants permits only to leaders of TERM or a later one from now on.  */
void
pilot_server_set_min_permit_term (pilot_server_t *server, uint64_t term)
{
  server->min_permit_term = term;
}

/* Returns the highest term of a leader seen, 0 for none.  */
uint64_t
pilot_server_leader_term (const pilot_server_t *server)
{
  return server->leader_term;
}

/* Restarts the timeout for the leader's frames.  */
void
pilot_server_reset_leader_timeout (pilot_server_t *server)
{
  server->leader_seen_at = pilot_now (server->pilot);
}

/* Returns the time since a leader's last frame, in milliseconds.  */
int64_t
pilot_server_leaderless_ms (const pilot_server_t *server)
{
  return timespec_to_ms (
      timespec_subtract (pilot_now (server->pilot), server->leader_seen_at));
}

/* Returns the address that this pilot listens on.  */
const char *
pilot_server_address (const pilot_server_t *server)
{
  return server->address;
}
