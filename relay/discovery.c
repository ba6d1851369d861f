#include "relay/discovery.h"

#include "common/roster.h"
#include "common/store_mirror.h"
#include "kernel/counter.h"
#include "kernel/log.h"
#include "kernel/table.h"
#include "relay/feed.h"
#include "relay/held_changes.h"
#include "relay/rules_loader.h"

#include <string.h>

enum
{
  /* Number of store polls within the shortest time in which the platform
     requires a change to take effect.  */
  POLLS_PER_APPLY_LIMIT = 2,
  /* The lease of a listing expires when its upstream cannot renew it for some
     seconds.  After a store outage of this length, or a restore, what is
     missing is written again within two seconds; until then an upstream whose
     listing is gone is kept.  */
  EXPIRY_OUTAGE_MIN_MS = 1800,
  REWRITE_GRACE_MS = 2300,
  /* A relay whose key is gone still counts for this long.  */
  GONE_RELAY_RETENTION_MS = 10000
};

COUNTER_DEFINE (rules_rejected, "siskin_rules_rejected_total",
                "Documents of rules that could not be read");
COUNTER_DEFINE (listings_rejected, "siskin_listings_rejected_total",
                "Listings that name no upstream that can be used");
GAUGE_DEFINE (store_in_touch, "siskin_store_in_touch",
              "Whether the platform's store answers");

/* A relay of this system, known by its key in the store.  */
typedef struct relay_key
{
  LIST_ENTRY (relay_key) link;
  char *name;
  bool is_gone;
  struct timespec gone_at;
} relay_key_t;

struct discovery
{
  relay_t *relay;
  worker_t *worker;
  store_mirror_t *mirror;
  struct timespec grace_until; /* monotonic; see EXPIRY_OUTAGE_MIN_MS */
  /* The store was restored, and not all of it has been read since.  */
  bool is_reading_restored;
  held_changes_t *held;
  rules_loader_t *loader;
  store_listener_t listener;
  LIST_HEAD (, relay_key) relays;
  worker_timer_t *recount_timer;
  task_t refresh_task;
  atomic_bool is_refresh_posted;
};

static struct timespec
discovery_now (const discovery_t *discovery)
{
  return clock_monotonic (discovery->relay->clock);
}

/* Apply new rules.  */
static void
discovery_on_rules (rules_t *rules, const rules_document_t *document,
                    void *data)
{
  discovery_t *discovery = data;
  uint64_t version = rules->version;

  if (relay_adopt_rules (discovery->relay, rules))
    log_event (LOG_LEVEL_NOTICE, "rules-adopted",
               "version=%llu revision=%lld bytes=%zu ms=%lld",
               (unsigned long long)version, (long long)document->revision,
               document->size,
               (long long)timespec_to_ms (timespec_subtract (
                   discovery_now (discovery), document->began_at)));
  else
    log_event (LOG_LEVEL_NOTICE, "rules-not-newer",
               "version=%llu revision=%lld action=keep",
               (unsigned long long)version, (long long)document->revision);
  relay_notify_workers (discovery->relay);
}

static void
discovery_on_rules_rejected (const rules_document_t *document, void *data)
{
  (void)data;
  counter_add (&rules_rejected, 1);
  log_event (LOG_LEVEL_ERROR, "rules-rejected",
             "revision=%lld action=keep error=\"%s\"",
             (long long)document->revision, status_message ());
}

static const rules_loader_ops_t discovery_rules_ops = {
  .on_loaded = discovery_on_rules,
  .on_rejected = discovery_on_rules_rejected,
};

/* Read new rules; the first ones at once, as nothing can be served without.
   The last valid rules are kept when the new ones cannot be parsed or the
   rules are removed.  */
static void
discovery_apply_rules (discovery_t *discovery, const store_entry_t *entry)
{
  rules_t *rules = relay_rules (discovery->relay);

  if (entry->value == NULL)
    log_event (LOG_LEVEL_WARN, "rules-removed", "revision=%lld action=keep",
               (long long)entry->mod_revision);
  else
    rules_loader_add (discovery->loader, entry, rules == NULL);
  rules_release (rules);
}

static void
discovery_drop_upstream (discovery_t *discovery, const char *id,
                         const char *why)
{
  if (crashes_confirm_gone (discovery->relay->crashes, id))
    feed_send_updates (discovery->relay->feed);
  if (fleet_remove_upstream (discovery->relay->fleet, id))
    log_event (LOG_LEVEL_NOTICE, "upstream-gone", "upstream=%s why=%s", id,
               why);
}

/* Pass LISTING to the fleet and to the record of crashes, unless it is
   outdated.  */
static void
discovery_use_listing (discovery_t *discovery,
                       const upstream_listing_t *listing, int64_t revision)
{
  const relay_t *relay = discovery->relay;
  fleet_update_t update = fleet_update_upstream (relay->fleet, listing);

  if (update == FLEET_LISTING_OUTDATED)
    {
      log_event (LOG_LEVEL_NOTICE, "listing-outdated",
                 "upstream=%s heartbeat=%lld draining=%d revision=%lld",
                 listing->id, (long long)listing->heartbeat,
                 listing->is_draining, (long long)revision);
      return;
    }
  if (crashes_confirm_start (
          relay->crashes, listing->address,
          fleet_incarnation (listing->id, listing->started_ms)))
    feed_send_updates (relay->feed);
  if (update == FLEET_CHANGED)
    log_event (LOG_LEVEL_NOTICE, "upstream-listed",
               "upstream=%s service=%s zone=%s draining=%d "
               "cold_left_ms=%lld revision=%lld",
               listing->id, listing->service, listing->zone,
               listing->is_draining,
               (long long)timespec_to_ms (listing->cold_start_remaining),
               (long long)revision);
}

static void
discovery_apply_listing (discovery_t *discovery, const char *id,
                         const store_entry_t *entry)
{
  TALLOC_CTX *scratch = talloc_new (discovery);
  upstream_listing_t listing;

  if (entry->value == NULL)
    discovery_drop_upstream (discovery, id, "listing-gone");
  else if (discovery->relay->catalog_ops->read_upstream (
               scratch, id, entry->value, entry->value_size, &listing)
           != STATUS_OK)
    {
      counter_add (&listings_rejected, 1);
      log_event (LOG_LEVEL_WARN, "listing-rejected",
                 "upstream=%s revision=%lld error=\"%s\"", id,
                 (long long)entry->mod_revision, status_message ());
      discovery_drop_upstream (discovery, id, "listing-rejected");
    }
  else
    discovery_use_listing (discovery, &listing, entry->mod_revision);
  talloc_free (scratch);
}

static void
discovery_apply_zone (discovery_t *discovery, const char *zone,
                      const store_entry_t *entry)
{
  bool is_out = entry->value != NULL;

  fleet_set_zone_out (discovery->relay->fleet, zone, is_out);
  log_event (LOG_LEVEL_NOTICE, is_out ? "zone-out" : "zone-back",
             "zone=%s revision=%lld", zone, (long long)entry->mod_revision);
}

static void discovery_count_relays (discovery_t *discovery);

static void
discovery_handle_recount (worker_t *worker, void *data)
{
  discovery_t *discovery = data;

  (void)worker;
  discovery->recount_timer = NULL;
  discovery_count_relays (discovery);
}

/* Count the relays that share the system's limits.  A relay whose key has
   disappeared recently still counts: it may only have lost its connection to
   the store, and all relays together must stay within the limits.  This one
   counts whether its key is known or not.  */
static void
discovery_count_relays (discovery_t *discovery)
{
  struct timespec now = discovery_now (discovery);
  struct timespec retention = timespec_from_ms (GONE_RELAY_RETENTION_MS);
  const char *own_name = daemon_config (discovery->relay->daemon)->name;
  relay_key_t *key = LIST_FIRST (&discovery->relays);
  rate_share_t share = { .relays = 1 };
  bool has_gone = false;

  while (key != NULL)
    {
      relay_key_t *next = LIST_NEXT (key, link);

      if (key->is_gone
          && timespec_compare (timespec_add (key->gone_at, retention), now)
                 <= 0)
        {
          LIST_REMOVE (key, link);
          talloc_free (key);
        }
      else
        {
          has_gone = has_gone || key->is_gone;
          if (strcmp (key->name, own_name) != 0)
            share.relays++;
          if (strcmp (key->name, own_name) < 0)
            share.position++;
        }
      key = next;
    }
  fleet_set_share (discovery->relay->fleet, &share);
  retry_budget_set_relays (discovery->relay->budget, share.relays);
  if (has_gone && discovery->recount_timer == NULL)
    discovery->recount_timer
        = worker_timer_start (discovery->worker, discovery, retention,
                              discovery_handle_recount, discovery);
}

static void
discovery_apply_relay (discovery_t *discovery, const char *name, bool is_gone)
{
  relay_key_t *key;

  LIST_FOREACH (key, &discovery->relays, link)
    {
      if (strcmp (key->name, name) == 0)
        break;
    }
  if (key == NULL)
    {
      key = talloc_zero (discovery, relay_key_t);
      if (key == NULL)
        return;
      key->name = talloc_strdup (key, name);
      LIST_INSERT_HEAD (&discovery->relays, key, link);
    }
  key->is_gone = is_gone;
  key->gone_at = discovery_now (discovery);
  discovery_count_relays (discovery);
}

/* Handle the store entry of a relay or pilot of this system.  */
static void
discovery_apply_roster_entry (discovery_t *discovery, const char *key,
                              const store_entry_t *entry)
{
  const char *relay = roster_name_from_key (key, ROSTER_RELAYS);
  const char *pilot = roster_name_from_key (key, ROSTER_PILOTS);

  if (relay != NULL)
    discovery_apply_relay (discovery, relay, entry->value == NULL);
  if (pilot != NULL)
    feed_update_pilot (discovery->relay->feed, pilot, entry->value);
}

/* Apply ENTRY, which was not held or has been held for its time.  */
static void
discovery_apply_entry (const store_entry_t *entry, void *data)
{
  discovery_t *discovery = data;
  const char *name;

  switch (discovery->relay->catalog_ops->classify (entry->key, &name))
    {
    case CATALOG_RULES:
      discovery_apply_rules (discovery, entry);
      break;
    case CATALOG_UPSTREAM:
      discovery_apply_listing (discovery, name, entry);
      break;
    case CATALOG_ZONE_OUT:
      discovery_apply_zone (discovery, name, entry);
      break;
    case CATALOG_OWN:
      discovery_apply_roster_entry (discovery, name, entry);
      break;
    case CATALOG_OTHER:
      break;
    }
  relay_notify_workers (discovery->relay);
}

/* Return whether ENTRY may be undone within the grace time: a listing that is
   gone, which its upstream writes again if it lives; or, in the first read of
   a restored store, a zone whose state was another one before, which the
   operators write again.  */
static bool
discovery_may_be_undone (const discovery_t *discovery,
                         const store_entry_t *entry)
{
  const char *name;

  switch (discovery->relay->catalog_ops->classify (entry->key, &name))
    {
    case CATALOG_UPSTREAM:
      return entry->value == NULL;
    case CATALOG_ZONE_OUT:
      return discovery->is_reading_restored;
    default:
      return false;
    }
}

static void
discovery_on_change (const store_entry_t *entry, void *data)
{
  discovery_t *discovery = data;
  struct timespec remaining
      = timespec_subtract (discovery->grace_until, discovery_now (discovery));

  held_changes_drop (discovery->held, entry->key);
  if (timespec_to_us (remaining) > 0
      && discovery_may_be_undone (discovery, entry))
    {
      log_event (LOG_LEVEL_NOTICE, "change-held",
                 "key=%s is_gone=%d revision=%lld ms=%lld", entry->key,
                 entry->value == NULL, (long long)entry->mod_revision,
                 (long long)timespec_to_ms (remaining));
      held_changes_add (discovery->held, entry, remaining);
    }
  else
    discovery_apply_entry (entry, discovery);
}

static void
discovery_on_synced (void *data)
{
  discovery_t *discovery = data;

  discovery->is_reading_restored = false;
  log_event (LOG_LEVEL_NOTICE, "store-read", "upstreams=%u",
             fleet_upstream_count (discovery->relay->fleet));
}

static void
discovery_start_grace (discovery_t *discovery)
{
  discovery->grace_until = timespec_add (discovery_now (discovery),
                                         timespec_from_ms (REWRITE_GRACE_MS));
}

static void
discovery_on_regained (struct timespec silence, void *data)
{
  discovery_t *discovery = data;

  counter_set (&store_in_touch, 1);
  log_event (LOG_LEVEL_NOTICE, "store-regained", "silence_ms=%lld",
             (long long)timespec_to_ms (silence));
  if (timespec_to_ms (silence) >= EXPIRY_OUTAGE_MIN_MS)
    discovery_start_grace (discovery);
}

static void
discovery_on_restored (void *data)
{
  discovery_t *discovery = data;

  discovery->is_reading_restored = true;
  discovery_start_grace (discovery);
}

static void
discovery_on_lost (const char *reason, void *data)
{
  (void)data;
  counter_set (&store_in_touch, 0);
  log_event (LOG_LEVEL_WARN, "store-lost", "reason=\"%s\"", reason);
}

static const store_mirror_ops_t discovery_mirror_ops = {
  .on_change = discovery_on_change,
  .on_synced = discovery_on_synced,
  .on_regained = discovery_on_regained,
  .on_lost = discovery_on_lost,
};

static void
discovery_run_refresh (task_t *task, worker_t *worker)
{
  discovery_t *discovery = CONTAINER_OF (task, discovery_t, refresh_task);

  (void)worker;
  atomic_store (&discovery->is_refresh_posted, false);
  store_mirror_poll_now (discovery->mirror);
}

/* Return the interval between polls of the store, short enough that a change
   takes effect within the platform's bounds.  */
static struct timespec
discovery_poll_interval (const relay_t *relay)
{
  const platform_bounds_t *bounds = &daemon_config (relay->daemon)->bounds;
  struct timespec shortest = bounds->act_within;

  if (timespec_compare (bounds->leave_within, shortest) < 0)
    shortest = bounds->leave_within;
  return timespec_from_ms (timespec_to_ms (shortest) / POLLS_PER_APPLY_LIMIT);
}

/* Create a discovery that follows the store of RELAY.  Returns NULL when
   memory is exhausted.  */
discovery_t *
discovery_create (TALLOC_CTX *parent, relay_t *relay)
{
  discovery_t *discovery = talloc_zero (parent, discovery_t);
  store_mirror_options_t options
      = { .store_ops = relay->store_ops,
          .store = relay->store,
          .prefix = "",
          .poll_interval = discovery_poll_interval (relay) };

  if (discovery == NULL)
    return NULL;
  discovery->relay = relay;
  discovery->worker = pool_worker (daemon_pool (relay->daemon), 0);
  discovery->refresh_task.run = discovery_run_refresh;
  discovery->held = held_changes_create (discovery, discovery->worker,
                                         discovery_apply_entry, discovery);
  discovery->loader
      = rules_loader_create (discovery, discovery->worker, relay->catalog_ops,
                             &discovery_rules_ops, discovery);
  LIST_INIT (&discovery->relays);
  discovery->listener = (store_listener_t){
    .on_restored = discovery_on_restored,
    .data = discovery,
  };
  store_listen (relay->store_ops, relay->store, &discovery->listener);
  discovery->mirror
      = store_mirror_create (discovery, discovery->worker, &options,
                             &discovery_mirror_ops, discovery);
  if (discovery->held == NULL || discovery->loader == NULL
      || discovery->mirror == NULL)
    return NULL;
  return discovery;
}

/* Poll the store now, because an upstream was not the one that its listing
   names.  Callable from every worker.  */
void
discovery_refresh (discovery_t *discovery)
{
  if (!atomic_exchange (&discovery->is_refresh_posted, true))
    worker_post (discovery->worker, &discovery->refresh_task);
}

/* Return whether all of the store has been read at least once.  */
bool
discovery_is_synced (const discovery_t *discovery)
{
  return store_mirror_is_synced (discovery->mirror);
}
