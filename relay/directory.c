#include "relay/directory.h"

#include "common/roster.h"
#include "common/store_mirror.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "kernel/table.h"
#include "relay/feed.h"

#include <string.h>

enum
{
  PACE_DIVISOR = 2, /* polls in the time in which a change must act */
  /* Listings lapse when their upstreams could not write for some seconds.
     After an outage that long they come back within two s; an upstream whose
     listing is gone is kept until then.  */
  LAPSE_OUTAGE_MS = 1800,
  LAPSE_GRACE_MS = 2300,
  RELAY_MEMORY_MS = 10000 /* relays that were there so lately still count */
};

COUNTER_DEFINE (rules_rejected, "siskin_rules_rejected_total",
                "Documents of rules that could not be read");
COUNTER_DEFINE (listings_rejected, "siskin_listings_rejected_total",
                "Listings that name no upstream that can be used");
GAUGE_DEFINE (store_in_touch, "siskin_store_in_touch",
              "Whether the platform's store answers");

/* A relay of the system, by its key in the store.  */
typedef struct relay_key
{
  LIST_ENTRY (relay_key) link;
  char *name;
  bool is_gone;
  struct timespec gone_at;
} relay_key_t;

/* An upstream whose listing went during an outage.  */
typedef struct lapsed_upstream
{
  LIST_ENTRY (lapsed_upstream) link;
  char *id;
  worker_timer_t *timer;
  discovery_t *directory;
} lapsed_upstream_t;

struct directory
{
  relay_t *relay;
  worker_t *worker;
  store_mirror_t *mirror;
  struct timespec lapse_until; /* monotonic */
  LIST_HEAD (, lapsed_upstream) lapsed;
  LIST_HEAD (, relay_key) relays;
  worker_timer_t *recount_timer;
  task_t hurry_task;
  atomic_bool is_hurry_posted;
};

static struct timespec
directory_now (const discovery_t *directory)
{
  return clock_monotonic (directory->relay->clock);
}

static void
directory_take_rules (discovery_t *directory, const store_entry_t *entry)
{
  rules_t *rules;
  uint64_t version;

  if (entry->value == NULL)
    {
      log_event (LOG_LEVEL_WARN, "rules-removed", "revision=%lld action=keep",
                 (long long)entry->mod_revision);
      return;
    }
  if (directory->relay->catalog_ops->read_rules (entry->value,
                                                 entry->value_size, &rules)
      != STATUS_OK)
    {
      counter_add (&rules_rejected, 1);
      log_event (LOG_LEVEL_ERROR, "rules-rejected",
                 "revision=%lld action=keep error=\"%s\"",
                 (long long)entry->mod_revision, status_message ());
      return;
    }
  version = rules->version;
  if (relay_adopt_rules (directory->relay, rules))
    log_event (LOG_LEVEL_NOTICE, "rules-adopted", "version=%llu revision=%lld",
               (unsigned long long)version, (long long)entry->mod_revision);
}

static void
lapsed_forget (lapsed_upstream_t *lapsed)
{
  LIST_REMOVE (lapsed, link);
  talloc_free (lapsed);
}

static lapsed_upstream_t *
lapsed_find (discovery_t *directory, const char *id)
{
  lapsed_upstream_t *lapsed;

  LIST_FOREACH (lapsed, &directory->lapsed, link)
    {
      if (strcmp (lapsed->id, id) == 0)
        return lapsed;
    }
  return NULL;
}

static void
directory_drop_upstream (discovery_t *directory, const char *id,
                         const char *why)
{
  if (fleet_remove_upstream (directory->relay->fleet, id))
    log_event (LOG_LEVEL_NOTICE, "upstream-gone", "upstream=%s why=%s", id,
               why);
}

static void
lapsed_handle_timer (worker_t *worker, void *data)
{
  lapsed_upstream_t *lapsed = data;

  (void)worker;
  directory_drop_upstream (lapsed->directory, lapsed->id,
                           "not-back-after-outage");
  lapsed_forget (lapsed);
}

/* Keep an upstream for now whose listing may only have lapsed.  */
static void
directory_note_lapse (discovery_t *directory, const char *id,
                      struct timespec left)
{
  lapsed_upstream_t *lapsed = talloc_zero (directory, lapsed_upstream_t);

  if (lapsed == NULL)
    return;
  lapsed->directory = directory;
  lapsed->id = talloc_strdup (lapsed, id);
  lapsed->timer = worker_timer_start (directory->worker, lapsed, left,
                                      lapsed_handle_timer, lapsed);
  LIST_INSERT_HEAD (&directory->lapsed, lapsed, link);
}

static void
directory_remove_upstream (discovery_t *directory, const char *id)
{
  struct timespec left
      = timespec_subtract (directory->lapse_until, directory_now (directory));

  if (timespec_to_us (left) <= 0)
    directory_drop_upstream (directory, id, "listing-gone");
  else if (lapsed_find (directory, id) == NULL)
    directory_note_lapse (directory, id, left);
}

static void
directory_take_upstream (discovery_t *directory, const char *id,
                         const store_entry_t *entry)
{
  TALLOC_CTX *scratch = talloc_new (directory);
  lapsed_upstream_t *lapsed = lapsed_find (directory, id);
  upstream_listing_t listing;

  if (entry->value == NULL)
    directory_remove_upstream (directory, id);
  else if (directory->relay->catalog_ops->read_upstream (
               scratch, id, entry->value, entry->value_size, &listing)
           != STATUS_OK)
    {
      counter_add (&listings_rejected, 1);
      log_event (LOG_LEVEL_WARN, "listing-rejected",
                 "upstream=%s revision=%lld error=\"%s\"", id,
                 (long long)entry->mod_revision, status_message ());
      directory_drop_upstream (directory, id, "listing-rejected");
    }
  else
    {
      if (lapsed != NULL)
        lapsed_forget (lapsed);
      if (fleet_update_upstream (directory->relay->fleet, &listing))
        log_event (LOG_LEVEL_NOTICE, "upstream-listed",
                   "upstream=%s service=%s zone=%s draining=%d "
                   "cold_left_ms=%lld revision=%lld",
                   id, listing.service, listing.zone, listing.is_draining,
                   (long long)timespec_to_ms (listing.cold_left),
                   (long long)entry->mod_revision);
    }
  talloc_free (scratch);
}

static void
directory_take_zone (discovery_t *directory, const char *zone,
                     const store_entry_t *entry)
{
  bool is_out = entry->value != NULL;

  fleet_set_zone_out (directory->relay->fleet, zone, is_out);
  log_event (LOG_LEVEL_NOTICE, is_out ? "zone-out" : "zone-back",
             "zone=%s revision=%lld", zone, (long long)entry->mod_revision);
}

static void directory_recount (discovery_t *directory);

static void
directory_handle_recount (worker_t *worker, void *data)
{
  discovery_t *directory = data;

  (void)worker;
  directory->recount_timer = NULL;
  directory_recount (directory);
}

/* Count the relays.  One that has gone lately counts: it may only be cut off
   from the store, and what all send together must stay within its limits.  */
static void
directory_recount (discovery_t *directory)
{
  struct timespec now = directory_now (directory);
  struct timespec memory = timespec_from_ms (RELAY_MEMORY_MS);
  relay_key_t *key = LIST_FIRST (&directory->relays);
  unsigned count = 0;
  bool has_gone = false;

  while (key != NULL)
    {
      relay_key_t *next = LIST_NEXT (key, link);

      if (key->is_gone
          && timespec_compare (timespec_add (key->gone_at, memory), now) <= 0)
        {
          LIST_REMOVE (key, link);
          talloc_free (key);
        }
      else
        {
          has_gone = has_gone || key->is_gone;
          count++;
        }
      key = next;
    }
  fleet_set_relays (directory->relay->fleet, count);
  retry_budget_set_relays (directory->relay->budget, count);
  if (has_gone && directory->recount_timer == NULL)
    directory->recount_timer
        = worker_timer_start (directory->worker, directory, memory,
                              directory_handle_recount, directory);
}

static void
directory_take_relay (discovery_t *directory, const char *name, bool is_gone)
{
  relay_key_t *key;

  LIST_FOREACH (key, &directory->relays, link)
    {
      if (strcmp (key->name, name) == 0)
        break;
    }
  if (key == NULL)
    {
      key = talloc_zero (directory, relay_key_t);
      if (key == NULL)
        return;
      key->name = talloc_strdup (key, name);
      LIST_INSERT_HEAD (&directory->relays, key, link);
    }
  key->is_gone = is_gone;
  key->gone_at = directory_now (directory);
  directory_recount (directory);
}

/* An entry of a process of this system.  */
static void
directory_take_own (discovery_t *directory, const char *key,
                    const store_entry_t *entry)
{
  const char *relay = roster_name (key, ROSTER_RELAYS);
  const char *pilot = roster_name (key, ROSTER_PILOTS);

  if (relay != NULL)
    directory_take_relay (directory, relay, entry->value == NULL);
  if (pilot != NULL)
    feed_update_pilot (directory->relay->feed, pilot, entry->value);
}

static void
directory_on_change (const store_entry_t *entry, void *data)
{
  discovery_t *directory = data;
  const char *name;

  switch (directory->relay->catalog_ops->classify (entry->key, &name))
    {
    case CATALOG_RULES:
      directory_take_rules (directory, entry);
      break;
    case CATALOG_UPSTREAM:
      directory_take_upstream (directory, name, entry);
      break;
    case CATALOG_ZONE_OUT:
      directory_take_zone (directory, name, entry);
      break;
    case CATALOG_OWN:
      directory_take_own (directory, name, entry);
      break;
    case CATALOG_OTHER:
      break;
    }
  relay_notify_workers (directory->relay);
}

static void
directory_on_synced (void *data)
{
  const discovery_t *directory = data;

  log_event (LOG_LEVEL_NOTICE, "store-read", "upstreams=%u",
             fleet_upstream_count (directory->relay->fleet));
}

static void
directory_on_regained (struct timespec silence, void *data)
{
  discovery_t *directory = data;

  counter_set (&store_in_touch, 1);
  log_event (LOG_LEVEL_NOTICE, "store-regained", "silence_ms=%lld",
             (long long)timespec_to_ms (silence));
  if (timespec_to_ms (silence) >= LAPSE_OUTAGE_MS)
    directory->lapse_until = timespec_add (directory_now (directory),
                                           timespec_from_ms (LAPSE_GRACE_MS));
}

static void
directory_on_lost (const char *reason, void *data)
{
  (void)data;
  counter_set (&store_in_touch, 0);
  log_event (LOG_LEVEL_WARN, "store-lost", "reason=\"%s\"", reason);
}

static const store_mirror_ops_t directory_mirror_ops = {
  .on_change = directory_on_change,
  .on_synced = directory_on_synced,
  .on_regained = directory_on_regained,
  .on_lost = directory_on_lost,
};

static void
directory_run_hurry (task_t *task, worker_t *worker)
{
  discovery_t *directory = CONTAINER_OF (task, discovery_t, hurry_task);

  (void)worker;
  atomic_store (&directory->is_hurry_posted, false);
  store_mirror_poll_now (directory->mirror);
}

/* Return how often to read the store, so that what is read acts in time.  */
static struct timespec
directory_pace (const relay_t *relay)
{
  const platform_bounds_t *bounds = &daemon_config (relay->daemon)->bounds;
  struct timespec least = bounds->act_within;

  if (timespec_compare (bounds->leave_within, least) < 0)
    least = bounds->leave_within;
  return timespec_from_ms (timespec_to_ms (least) / PACE_DIVISOR);
}

/* Start to follow the store of RELAY.  */
discovery_t *
discovery_create (TALLOC_CTX *parent, relay_t *relay)
{
  discovery_t *directory = talloc_zero (parent, discovery_t);
  store_mirror_options_t options = { .store_ops = relay->store_ops,
                                     .store = relay->store,
                                     .prefix = "",
                                     .pace = directory_pace (relay) };

  if (directory == NULL)
    return NULL;
  directory->relay = relay;
  directory->worker = pool_worker (daemon_pool (relay->daemon), 0);
  directory->hurry_task.run = directory_run_hurry;
  LIST_INIT (&directory->lapsed);
  LIST_INIT (&directory->relays);
  directory->mirror
      = store_mirror_create (directory, directory->worker, &options,
                             &directory_mirror_ops, directory);
  if (directory->mirror == NULL)
    TALLOC_FREE (directory);
  return directory;
}

/* An upstream was not what its listing says: look for newer ones.  Callable
   from every worker.  */
void
discovery_refresh (discovery_t *directory)
{
  if (!atomic_exchange (&directory->is_hurry_posted, true))
    worker_post (directory->worker, &directory->hurry_task);
}

/* Return whether the whole store has been read once.  */
bool
discovery_is_synced (const discovery_t *directory)
{
  return store_mirror_is_synced (directory->mirror);
}
