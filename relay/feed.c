#include "relay/feed.h"

#include "common/link.h"
#include "common/roster.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "kernel/table.h"

#include <string.h>

enum
{
  RECONNECT_MIN_MS = 700,
  RECONNECT_MAX_MS = 5000,
  /* Pilots that get an update; some may be cut off from other relays.  */
  UPDATE_COPIES = 3,
  /* A pilot's report shows its engine as it was less than this ago.  */
  REPORT_MAX_AGE_MS = 500
};

GAUGE_DEFINE (pilots_connected, "siskin_feed_pilots", "Connections to pilots");

/* A pilot, known by its key in the store.  */
typedef struct feed_pilot
{
  TAILQ_ENTRY (feed_pilot) entry;
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
  TAILQ_HEAD (, feed_pilot) pilots; /* next to get an update first */
  task_t update_task;
  atomic_bool is_update_posted;
  unsigned repeats; /* number so far */
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
  TAILQ_REMOVE (&pilot->feed->pilots, pilot, entry);
  talloc_free (pilot);
}

static void
pilot_on_open (link_t *link, const frame_hello_t *peer, void *data)
{
  feed_pilot_t *pilot = data;

  (void)peer;
  pilot->reconnect_ms = RECONNECT_MIN_MS;
  counter_add (&pilots_connected, 1);
  gossip_send_all (pilot->feed->relay->gossip, link);
}

/* Pass the pilot's report of a rank to the fleet.  */
static void
pilot_handle_report (const feed_pilot_t *pilot,
                     const frame_rank_report_t *body)
{
  fleet_report_t report = {
    .group = body->group,
    .epoch = body->group_epoch,
    .is_open = body->is_open,
    .step = body->step,
    .running = body->running,
    .waiting = body->waiting,
    .used_tokens = body->used_tokens,
    .total_tokens = body->total_tokens,
    .slowdown = (double)body->slowdown_permille / FRAME_PERMILLE,
  };

  crashes_refute (
      pilot->feed->relay->crashes, body->upstream,
      timespec_subtract (clock_monotonic (pilot->feed->relay->clock),
                         timespec_from_ms (REPORT_MAX_AGE_MS)));
  if (fleet_record_report (pilot->feed->relay->fleet, body->upstream, &report))
    relay_notify_workers (pilot->feed->relay);
}

static void
pilot_handle_engine_lost (const feed_pilot_t *pilot,
                          const frame_engine_lost_t *body)
{
  relay_t *relay = pilot->feed->relay;

  log_event (LOG_LEVEL_NOTICE, "engine-lost", "pilot=%s address=%s",
             pilot->name, body->upstream);
  if (crashes_confirm_address (relay->crashes, body->upstream))
    feed_send_updates (pilot->feed);
}

/* Merge what another relay has learned.  */
static void
pilot_handle_gossip (const feed_pilot_t *pilot, const frame_t *frame)
{
  TALLOC_CTX *scratch = talloc_new (pilot);
  frame_t sum = *frame;

  if (gossip_merge (pilot->feed->relay->gossip, scratch, &sum))
    log_event (LOG_LEVEL_INFO, "told", "pilot=%s", pilot->name);
  feed_send_updates (pilot->feed);
  talloc_free (scratch);
}

static void
pilot_on_frame (link_t *link, const frame_t *frame, void *data)
{
  const feed_pilot_t *pilot = data;

  (void)link;
  switch (frame->header.type)
    {
    case FRAME_RANK_REPORT:
      pilot_handle_report (pilot, &frame->body.rank_report);
      break;
    case FRAME_ENGINE_LOST:
      pilot_handle_engine_lost (pilot, &frame->body.engine_lost);
      break;
    default:
      pilot_handle_gossip (pilot, frame);
      break;
    }
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
  TAILQ_INSERT_TAIL (&feed->pilots, pilot, entry);
  pilot_connect (pilot);
}

/* Handle a change of the key of the pilot NAME.  VALUE is NULL if the key is
   gone.  */
void
feed_update_pilot (feed_t *feed, const char *name, const char *value)
{
  feed_pilot_t *pilot;

  TAILQ_FOREACH (pilot, &feed->pilots, entry)
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

static bool
pilot_is_connected (const feed_pilot_t *pilot)
{
  return pilot->link != NULL && link_is_open (pilot->link);
}

/* Return the connected pilot that has been waiting longest for its turn, or
   NULL.  It becomes the last.  */
static feed_pilot_t *
feed_next_pilot (feed_t *feed)
{
  feed_pilot_t *pilot;

  TAILQ_FOREACH (pilot, &feed->pilots, entry)
    {
      if (!pilot_is_connected (pilot))
        continue;
      TAILQ_REMOVE (&feed->pilots, pilot, entry);
      TAILQ_INSERT_TAIL (&feed->pilots, pilot, entry);
      return pilot;
    }
  return NULL;
}

/* Send what this relay has learned to some of the pilots.  */
static void
feed_run_updates (task_t *task, worker_t *worker)
{
  feed_t *feed = CONTAINER_OF (task, feed_t, update_task);
  TALLOC_CTX *scratch = talloc_new (feed);
  frame_t frame;

  (void)worker;
  atomic_store (&feed->is_update_posted, false);
  while (gossip_take_update (feed->relay->gossip, scratch, &frame))
    {
      for (unsigned i = 0; i < UPDATE_COPIES; i++)
        {
          const feed_pilot_t *pilot = feed_next_pilot (feed);

          if (pilot != NULL)
            link_send (pilot->link, &frame);
        }
    }
  talloc_free (scratch);
}

/* Send what this relay has learned to other relays, through the pilots.
   Callable from every worker.  */
void
feed_send_updates (feed_t *feed)
{
  if (!atomic_exchange (&feed->is_update_posted, true))
    worker_post (feed->worker, &feed->update_task);
}

static void
feed_handle_repeat (worker_t *worker, void *data)
{
  feed_t *feed = data;
  const feed_pilot_t *pilot = feed_next_pilot (feed);

  if (pilot != NULL)
    gossip_send_some (feed->relay->gossip, pilot->link, feed->repeats++,
                      GOSSIP_REPEAT_RECORDS);
  worker_timer_start (worker, feed,
                      timespec_from_ms (GOSSIP_REPEAT_INTERVAL_MS),
                      feed_handle_repeat, feed);
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
  TAILQ_INIT (&feed->pilots);
  feed->update_task.run = feed_run_updates;
  worker_timer_start (feed->worker, feed,
                      timespec_from_ms (GOSSIP_REPEAT_INTERVAL_MS),
                      feed_handle_repeat, feed);
  return feed;
}
