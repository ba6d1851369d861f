#include "relay/feed.h"

#include "common/link.h"
#include "common/roster.h"
#include "kernel/counter.h"
#include "kernel/log.h"

#include <string.h>

enum
{
  RECONNECT_MIN_MS = 700,
  RECONNECT_MAX_MS = 5000
};

GAUGE_DEFINE (pilots_connected, "siskin_feed_pilots", "Connections to pilots");

/* A pilot, known by its key in the store.  */
typedef struct feed_pilot
{
  LIST_ENTRY (feed_pilot) entry;
  feed_t *feed;
  char *name;
  net_address_t address;
  char *value;  /* value of its key */
  link_t *link; /* NULL while not connected */
  /* The key is gone or has changed; freed once the link closes.  */
  bool is_removed;
  int64_t reconnect_ms;
  worker_timer_t *timer;
} feed_pilot_t;

struct feed
{
  relay_t *relay;
  worker_t *worker;
  LIST_HEAD (, feed_pilot) pilots;
};

static void pilot_connect (feed_pilot_t *pilot);

static void
pilot_handle_timer (worker_t *worker, void *data)
{
  feed_pilot_t *pilot = data;

  (void)worker;
  pilot->timer = NULL;
  pilot_connect (pilot);
}

/* Reconnect after a delay that doubles until a connection opens.  */
static void
pilot_schedule_reconnect (feed_pilot_t *pilot)
{
  pilot->timer = worker_timer_start (pilot->feed->worker, pilot,
                                     timespec_from_ms (pilot->reconnect_ms),
                                     pilot_handle_timer, pilot);
  pilot->reconnect_ms *= 2;
  if (pilot->reconnect_ms > RECONNECT_MAX_MS)
    pilot->reconnect_ms = RECONNECT_MAX_MS;
}

static void
pilot_free (feed_pilot_t *pilot)
{
  LIST_REMOVE (pilot, entry);
  talloc_free (pilot);
}

static void
pilot_on_open (link_t *link, const frame_hello_t *peer, void *data)
{
  feed_pilot_t *pilot = data;

  (void)link;
  (void)peer;
  pilot->reconnect_ms = RECONNECT_MIN_MS;
  counter_add (&pilots_connected, 1);
}

/* Pass the pilot's report of a rank to the fleet.  */
static void
pilot_on_frame (link_t *link, const frame_t *frame, void *data)
{
  const feed_pilot_t *pilot = data;
  const frame_rank_report_t *body = &frame->body.rank_report;
  fleet_report_t report;

  (void)link;
  if (frame->header.type != FRAME_RANK_REPORT)
    return;
  report = (fleet_report_t){
    .group = body->group,
    .epoch = body->epoch,
    .is_open = body->is_open,
    .step = body->step,
    .running = body->running,
    .waiting = body->waiting,
    .used_tokens = body->used_tokens,
    .total_tokens = body->total_tokens,
    .slowdown = (double)body->slowdown_permille / FRAME_PERMILLE,
  };
  if (fleet_record_report (pilot->feed->relay->fleet, body->upstream, &report))
    relay_notify_workers (pilot->feed->relay);
}

static void
pilot_on_closed (link_t *link, const char *reason, void *data)
{
  feed_pilot_t *pilot = data;

  if (link_peer_incarnation (link) != 0)
    {
      counter_add (&pilots_connected, -1);
      log_event (LOG_LEVEL_NOTICE, "pilot-lost", "pilot=%s reason=%s",
                 pilot->name, reason);
    }
  pilot->link = NULL;
  if (pilot->is_removed)
    pilot_free (pilot);
  else
    pilot_schedule_reconnect (pilot);
}

static const link_ops_t pilot_link_ops = {
  .on_open = pilot_on_open,
  .on_frame = pilot_on_frame,
  .on_closed = pilot_on_closed,
};

static void
pilot_connect (feed_pilot_t *pilot)
{
  const feed_t *feed = pilot->feed;

  pilot->link = link_connect (feed->worker, daemon_node (feed->relay->daemon),
                              &pilot->address, &pilot_link_ops, pilot);
  if (pilot->link == NULL)
    pilot_schedule_reconnect (pilot);
}

/* The key of PILOT is gone or has changed.  An open connection is kept until
   it closes, because the key's lease may only have expired.  */
static void
pilot_remove (feed_pilot_t *pilot)
{
  pilot->is_removed = true;
  if (pilot->link == NULL)
    pilot_free (pilot);
}

static void
feed_add (feed_t *feed, const char *name, const char *value)
{
  feed_pilot_t *pilot = talloc_zero (feed, feed_pilot_t);
  roster_pilot_t entry;

  if (pilot == NULL)
    return;
  if (!roster_parse_pilot (pilot, value, &entry)
      || net_address_parse (pilot, entry.address, &pilot->address)
             != STATUS_OK)
    {
      log_event (LOG_LEVEL_WARN, "pilot-rejected", "pilot=%s value=\"%s\"",
                 name, value);
      talloc_free (pilot);
      return;
    }
  pilot->feed = feed;
  pilot->name = talloc_strdup (pilot, name);
  pilot->value = talloc_strdup (pilot, value);
  pilot->reconnect_ms = RECONNECT_MIN_MS;
  LIST_INSERT_HEAD (&feed->pilots, pilot, entry);
  pilot_connect (pilot);
}

/* Handle a change of the key of the pilot NAME.  VALUE is NULL if the key is
   gone.  */
void
feed_update_pilot (feed_t *feed, const char *name, const char *value)
{
  feed_pilot_t *pilot;

  LIST_FOREACH (pilot, &feed->pilots, entry)
    {
      if (strcmp (pilot->name, name) != 0)
        continue;
      if (value != NULL && strcmp (pilot->value, value) == 0)
        {
          pilot->is_removed = false;
          return;
        }
      if (!pilot->is_removed)
        {
          pilot_remove (pilot);
          break;
        }
    }
  if (value != NULL)
    feed_add (feed, name, value);
}

/* Create a feed without pilots.  Returns NULL when memory is exhausted.  */
feed_t *
feed_create (TALLOC_CTX *parent, relay_t *relay)
{
  feed_t *feed = talloc_zero (parent, feed_t);

  if (feed == NULL)
    return NULL;
  feed->relay = relay;
  feed->worker = pool_worker (daemon_pool (relay->daemon), 0);
  LIST_INIT (&feed->pilots);
  return feed;
}
