#include "pilot/servant.h"

#include "common/numbers.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "pilot/rank_codec.h"
#include "pilot/reporter.h"

enum
{
  RELAY_REPORT_MS = 100, /* between reports to a relay, at least */
  QUIET_REPORT_MS = 1000 /* between reports that say nothing new */
};

COUNTER_DEFINE (orders_served, "siskin_pilot_orders_total",
                "Orders of a leader carried out");

/* A connection to this pilot.  */
typedef struct master
{
  LIST_ENTRY (master) link_entry;
  servant_t *servant;
  link_t *link;
  bool has_led;          /* it has asked or ordered something */
  uint64_t over_ticket;  /* the last order that is over */
  bool is_asked;         /* the engine was asked for a report since it came */
  uint64_t asked_ticket; /* over when that was */
  rank_report_t told;    /* without its text */
  struct timespec told_at;
} master_t;

struct servant
{
  pilot_t *pilot;
  listener_t *listener;
  char *address;
  LIST_HEAD (, master) masters;
  struct timespec led_at; /* a leader was heard, or this process started */
  uint64_t led_term;      /* the highest term of a leader heard */
  uint64_t permitted;     /* version that a leader may arm its own rank with */
  uint64_t permit_from;   /* permits are for leaders with at least this term */
};

/* An order or question that the engine has, for a master that may be gone
   before the answer.  */
typedef struct errand
{
  servant_t *servant;
  uint64_t incarnation; /* of the master */
  uint64_t ticket;
} errand_t;

static master_t *
errand_master (const errand_t *errand)
{
  master_t *master;

  LIST_FOREACH (master, &errand->servant->masters, link_entry)
    {
      if (link_is_open (master->link)
          && link_peer_incarnation (master->link) == errand->incarnation)
        return master;
    }
  return NULL;
}

static errand_t *
errand_create (master_t *master, uint64_t ticket)
{
  errand_t *errand
      = talloc_zero (worker_events (master->servant->pilot->worker), errand_t);

  if (errand == NULL)
    return NULL;
  errand->servant = master->servant;
  errand->incarnation = link_peer_incarnation (master->link);
  errand->ticket = ticket;
  return errand;
}

static void
send_verdict (const master_t *master, uint64_t ticket, rank_verdict_t verdict)
{
  frame_t frame
      = { .header.type = FRAME_RANK_VERDICT,
          .body.rank_verdict = { .ticket = ticket, .verdict = verdict } };

  link_send (master->link, &frame);
}

static void
servant_on_verdict (rank_verdict_t verdict, void *data)
{
  errand_t *errand = data;
  master_t *master = errand_master (errand);

  counter_add (&orders_served, 1);
  if (master != NULL)
    {
      if (verdict != RANK_LOST && verdict != RANK_UNREACHABLE
          && errand->ticket > master->over_ticket)
        master->over_ticket = errand->ticket;
      send_verdict (master, errand->ticket, verdict);
      reporter_hurry (errand->servant->pilot->reporter);
    }
  talloc_free (errand);
}

static void
servant_take_order (master_t *master, const frame_rank_command_t *body)
{
  pilot_t *pilot = master->servant->pilot;
  TALLOC_CTX *scratch = talloc_new (master);
  errand_t *errand = errand_create (master, body->ticket);
  rank_command_t order;

  if (errand == NULL
      || rank_order_from_frame (scratch, body, &order) != STATUS_OK
      || pilot->engine_ops->command (pilot->engine, &order, servant_on_verdict,
                                     errand)
             != STATUS_OK)
    {
      talloc_free (errand);
      send_verdict (master, body->ticket, RANK_UNREACHABLE);
    }
  talloc_free (scratch);
}

static void
servant_on_told (status_t status, const rank_reply_t *told, void *data)
{
  errand_t *errand = data;
  const master_t *master = errand_master (errand);
  frame_t frame = { .header.type = FRAME_RANK_QUERY_REPLY,
                    .body.rank_told = { .ticket = errand->ticket,
                                        .is_known = status == STATUS_OK } };

  if (master != NULL && status == STATUS_OK)
    {
      frame.body.rank_told.epoch = told->epoch;
      frame.body.rank_told.version = told->version;
      frame.body.rank_told.numbers
          = numbers_encode (errand, told->numbers, told->number_count);
    }
  if (master != NULL)
    link_send (master->link, &frame);
  talloc_free (errand);
}

/* Let the leader arm its own rank, unless this pilot has taken over since or
   is about to.  */
static void
servant_give_permit (master_t *master, const frame_rank_query_t *body)
{
  servant_t *servant = master->servant;
  frame_t frame = { .header.type = FRAME_RANK_QUERY_REPLY,
                    .body.rank_told
                    = { .ticket = body->ticket, .version = body->version } };

  if (body->term >= servant->permit_from)
    {
      frame.body.rank_told.is_known = true;
      servant->permitted = body->version;
    }
  link_send (master->link, &frame);
}

static void
servant_take_question (master_t *master, const frame_rank_query_t *body)
{
  const pilot_t *pilot = master->servant->pilot;
  rank_query_t question = body->question == RANK_QUERY_HELD_EXPERTS
                              ? RANK_QUERY_HELD_EXPERTS
                              : RANK_QUERY_EXPERT_COUNTS;
  errand_t *errand;

  if (body->question == RANK_QUERY_ARM_PERMISSION)
    {
      servant_give_permit (master, body);
      return;
    }
  errand = errand_create (master, body->ticket);
  if (errand != NULL
      && pilot->engine_ops->query (pilot->engine, question, servant_on_told,
                                   errand)
             != STATUS_OK)
    talloc_free (errand);
}

static void
master_on_open (link_t *link, const frame_hello_t *peer, void *data)
{
  (void)link;
  (void)data;
  log_event (LOG_LEVEL_DEBUG, "peer-open", "peer=%s", peer->name);
}

static void
master_on_frame (link_t *link, const frame_t *frame, void *data)
{
  master_t *master = data;

  (void)link;
  switch (frame->header.type)
    {
    case FRAME_RANK_COMMAND:
      servant_take_order (master, &frame->body.rank_order);
      break;
    case FRAME_RANK_QUERY:
      servant_take_question (master, &frame->body.rank_query);
      break;
    case FRAME_RANK_HEARTBEAT:
      if (frame->body.rank_heartbeat.over_ticket > master->over_ticket)
        master->over_ticket = frame->body.rank_heartbeat.over_ticket;
      if (frame->body.rank_heartbeat.term > master->servant->led_term)
        master->servant->led_term = frame->body.rank_heartbeat.term;
      break;
    default:
      return;
    }
  master->has_led = true;
  master->servant->led_at = pilot_now (master->servant->pilot);
}

static void
master_on_closed (link_t *link, const char *reason, void *data)
{
  master_t *master = data;

  log_event (LOG_LEVEL_NOTICE, "peer-closed", "peer=%s leader=%d reason=%s",
             link_peer_name (link), master->has_led, reason);
  LIST_REMOVE (master, link_entry);
  talloc_free (master);
}

static const link_ops_t master_ops = {
  .on_open = master_on_open,
  .on_frame = master_on_frame,
  .on_closed = master_on_closed,
};

static void
servant_accept (stream_t *stream, void *data)
{
  servant_t *servant = data;
  pilot_t *pilot = servant->pilot;
  master_t *master = talloc_zero (servant, master_t);

  if (master == NULL)
    {
      stream_close (stream);
      return;
    }
  master->servant = servant;
  master->link
      = link_accept (pilot->worker, pilot->node, stream, &master_ops, master);
  if (master->link == NULL)
    {
      talloc_free (master);
      return;
    }
  LIST_INSERT_HEAD (&servant->masters, master, link_entry);
}

/* Listen at ADDRESS.  Returns NULL with the status message set.  */
servant_t *
servant_create (pilot_t *pilot, const char *address_text)
{
  servant_t *servant = talloc_zero (worker_events (pilot->worker), servant_t);
  net_address_t address;
  uint16_t port = 0;

  if (servant == NULL
      || net_address_parse (servant, address_text, &address) != STATUS_OK)
    {
      talloc_free (servant);
      return NULL;
    }
  servant->pilot = pilot;
  servant->led_at = pilot_now (pilot);
  LIST_INIT (&servant->masters);
  servant->listener
      = transport_listen (node_transport (pilot->node), pilot->worker,
                          &address, &port, servant_accept, servant);
  if (servant->listener == NULL)
    {
      talloc_free (servant);
      return NULL;
    }
  servant->address = talloc_asprintf (servant, "%s:%u", address.host, port);
  log_event (LOG_LEVEL_NOTICE, "frames-listening", "port=%u", port);
  return servant;
}

/* Stop to listen.  */
void
servant_destroy (servant_t *servant)
{
  transport_stop_listening (node_transport (servant->pilot->node),
                            servant->listener);
  servant->listener = NULL;
}

/* The engine is being asked for a report: remember which orders are over by
   now.  */
void
servant_note_asking (servant_t *servant)
{
  master_t *master;

  LIST_FOREACH (master, &servant->masters, link_entry)
    {
      master->is_asked = true;
      master->asked_ticket = master->over_ticket;
    }
}

static bool
report_is_news (const rank_report_t *told, const rank_report_t *report)
{
  return told->running != report->running || told->waiting != report->waiting
         || told->is_open != report->is_open || told->epoch != report->epoch;
}

/* A leader wants each report, a relay those that change what it chooses by. */
static bool
master_wants (const master_t *master, const rank_report_t *report,
              struct timespec now)
{
  int64_t since_ms = timespec_to_ms (timespec_subtract (now, master->told_at));

  if (!link_is_open (master->link) || !master->is_asked)
    return false;
  if (master->has_led || master->told.is_open != report->is_open)
    return true;
  if (report_is_news (&master->told, report))
    return since_ms >= RELAY_REPORT_MS;
  return since_ms >= QUIET_REPORT_MS;
}

/* Tell of the engine's newest report.  */
void
servant_push_report (servant_t *servant, const rank_report_t *report)
{
  struct timespec now = pilot_now (servant->pilot);
  master_t *master;
  frame_t frame;

  LIST_FOREACH (master, &servant->masters, link_entry)
    {
      if (!master_wants (master, report, now))
        continue;
      rank_report_to_frame (report, pilot_upstream (servant->pilot),
                            master->asked_ticket, &frame);
      master->told = *report;
      master->told_at = now;
      link_send (master->link, &frame);
    }
}

/* Return the last version that a leader was let arm its own rank with, 0 for
   none.  */
uint64_t
servant_permitted (const servant_t *servant)
{
  return servant->permitted;
}

/* Give permits only to leaders with TERM or a later one from now on.  */
void
servant_permit_from (servant_t *servant, uint64_t term)
{
  servant->permit_from = term;
}

/* Return the highest term of a leader that was heard, 0 for none.  */
uint64_t
servant_led_term (const servant_t *servant)
{
  return servant->led_term;
}

/* Wait for a leader as long as if one had just been heard.  */
void
servant_wait_anew (servant_t *servant)
{
  servant->led_at = pilot_now (servant->pilot);
}

/* Return for how many milliseconds no leader has been heard.  */
int64_t
servant_unled_ms (const servant_t *servant)
{
  return timespec_to_ms (
      timespec_subtract (pilot_now (servant->pilot), servant->led_at));
}

/* Return the address that the pilot listens on.  */
const char *
servant_address (const servant_t *servant)
{
  return servant->address;
}
