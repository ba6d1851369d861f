#include "relay/fleet_state.h"

#include "kernel/counter.h"
#include "kernel/log.h"
#include "kernel/plugin.h"

#include <string.h>
#include <xxhash.h>

enum
{
  US_PER_MS = 1000
};

GAUGE_DEFINE (upstreams_gauge, "siskin_fleet_upstreams",
              "Upstreams known to the relay");

static const char *const shortage_names[FLEET_SHORTAGE_COUNT] = {
  [FLEET_NO_SHORTAGE] = "none",
  [FLEET_NO_UPSTREAM] = "no-upstream",
  [FLEET_NO_ALLOWED_UPSTREAM] = "none-allowed",
  [FLEET_NO_GROUP] = "no-group",
  [FLEET_ALL_PAUSED] = "all-paused",
  [FLEET_ALL_COLD] = "all-cold",
  [FLEET_ALL_LIMITED] = "all-limited",
  [FLEET_ALL_FULL] = "all-full",
  [FLEET_ALL_STALLED] = "all-stalled",
};

static const char *const result_names[] = {
  [FLEET_SERVED] = "served",           [FLEET_FAILED] = "failed",
  [FLEET_DECLINED] = "declined",       [FLEET_MISDIRECTED] = "misdirected",
  [FLEET_UNREACHABLE] = "unreachable", [FLEET_INTERRUPTED] = "broke-off",
  [FLEET_TIMED_OUT] = "silent",        [FLEET_CLIENT_LEFT] = "client-left",
};

/* Return the name of SHORTAGE for the log.  */
const char *
fleet_shortage_name (fleet_shortage_t shortage)
{
  return shortage_names[shortage];
}

/* Return whether an upstream that is known now may end SHORTAGE by itself.  */
bool
fleet_shortage_is_temporary (fleet_shortage_t shortage)
{
  return shortage != FLEET_NO_UPSTREAM && shortage != FLEET_NO_ALLOWED_UPSTREAM
         && shortage != FLEET_NO_GROUP;
}

/* Return the name of RESULT for the log.  */
const char *
fleet_result_name (fleet_result_t result)
{
  return result_names[result];
}

/* Return a hash that identifies one run of the upstream ID.  */
uint64_t
fleet_incarnation (const char *id, int64_t started_ms)
{
  return XXH3_64bits_withSeed (id, strlen (id), (XXH64_hash_t)started_ms);
}

/* Create an empty fleet for a relay in ZONE; the string is not copied.  SEED
   differs between relays so that they do not all make the same choices.  */
fleet_t *
fleet_create (TALLOC_CTX *parent, const char *zone,
              const clock_source_t *clock, uint64_t seed)
{
  fleet_t *fleet = talloc_zero (parent, fleet_t);

  if (fleet == NULL)
    return NULL;
  fleet->zone = zone;
  fleet->clock = clock;
  fleet->seed = fleet->random_state = seed;
  fleet->share.relays = 1;
  fleet->work = work_model_create (fleet);
  fleet->table = table_create (fleet, LOCK_UPSTREAMS, "fleet");
  fleet->by_address = table_create (fleet, LOCK_UPSTREAMS, "fleet-addresses");
  STAILQ_INIT (&fleet->services);
  SLIST_INIT (&fleet->zones);
  LIST_INIT (&fleet->groups);
  TAILQ_INIT (&fleet->departed);
  return fleet;
}

/* Free FLEET.  */
void
fleet_destroy (fleet_t *fleet)
{
  talloc_free (fleet);
}

/* Return the upstream ID, or NULL.  The table must be locked.  */
fleet_upstream_t *
fleet_find (const fleet_t *fleet, const char *id)
{
  table_node_t *node = table_find (fleet->table, id, strlen (id));

  return node == NULL ? NULL : CONTAINER_OF (node, fleet_upstream_t, node);
}

/* Return the upstream at ADDRESS, or NULL.  The table must be locked.  */
fleet_upstream_t *
fleet_find_by_address (const fleet_t *fleet, const char *address)
{
  table_node_t *node
      = table_find (fleet->by_address, address, strlen (address));

  return node == NULL ? NULL
                      : CONTAINER_OF (node, fleet_upstream_t, address_node);
}

/* Return the service NAME, or NULL.  The table must be locked.  */
fleet_service_t *
fleet_find_service (const fleet_t *fleet, const char *name)
{
  fleet_service_t *service;

  STAILQ_FOREACH (service, &fleet->services, link)
    {
      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

static fleet_service_t *
fleet_find_or_add_service (fleet_t *fleet, const char *name)
{
  fleet_service_t *service = fleet_find_service (fleet, name);

  if (service != NULL)
    return service;
  service = talloc_zero (fleet, fleet_service_t);
  if (service == NULL)
    return NULL;
  service->name = talloc_strdup (service, name);
  service->ops = plugin_ops (PLUGIN_PICK, "least-tokens");
  service->pick = service->ops->create (service, fleet->seed);
  STAILQ_INIT (&service->upstreams);
  STAILQ_INSERT_TAIL (&fleet->services, service, link);
  return service;
}

/* Return the zone NAME, which is added if it is unknown, or NULL when memory
   is exhausted.  The table must be locked.  */
static fleet_zone_t *
fleet_find_or_add_zone (fleet_t *fleet, const char *name)
{
  fleet_zone_t *zone;

  SLIST_FOREACH (zone, &fleet->zones, link)
    {
      if (strcmp (zone->name, name) == 0)
        return zone;
    }
  zone = talloc_zero (fleet, fleet_zone_t);
  if (zone == NULL)
    return NULL;
  zone->name = talloc_strdup (zone, name);
  zone->region = talloc_strdup (zone, "");
  SLIST_INSERT_HEAD (&fleet->zones, zone, link);
  return zone;
}

/* Record that ZONE is in REGION.  */
void
fleet_add_zone (fleet_t *fleet, const char *zone, const char *region)
{
  fleet_zone_t *known;

  table_lock (fleet->table);
  known = fleet_find_or_add_zone (fleet, zone);
  if (known != NULL && strcmp (known->region, region) != 0)
    known->region = talloc_strdup (known, region);
  table_unlock (fleet->table);
}

/* Apply the settings of each service in RULES.  */
void
fleet_configure (fleet_t *fleet, const rules_t *rules)
{
  const service_rule_t *rule;
  fleet_service_t *known;

  table_lock (fleet->table);
  STAILQ_FOREACH (known, &fleet->services, link)
    known->is_in_rules = false;
  STAILQ_FOREACH (rule, &rules->services, link)
    {
      fleet_service_t *service = fleet_find_or_add_service (fleet, rule->name);

      if (service == NULL)
        continue;
      service->is_in_rules = true;
      service->cold_time = rule->cold_time;
      service->cold_rate = rule->cold_rate;
      service->step_limit_ms
          = (double)timespec_to_us (rule->gap_limit) / US_PER_MS;
      service_set_engine (fleet, service, rule);
      if (!rule->has_engine)
        continue;
      service->tokens_per_slot = rule->engine.typical_prompt_tokens
                                 + rule->engine.typical_response_tokens;
      service->idle_step_ms
          = rule->engine.step_ms * rule->engine.token_steps_per_pass;
    }
  table_unlock (fleet->table);
}

/* Choose the upstreams of SERVICE by the policy OPS from now on.  What the
   former policy has learned is lost.  Returns false, and changes nothing, when
   memory is exhausted.  */
bool
service_set_policy (const fleet_t *fleet, fleet_service_t *service,
                    const pick_ops_t *ops)
{
  pick_t *pick = ops->create (service, fleet->seed);

  if (pick == NULL)
    return false;
  service->ops->destroy (service->pick);
  service->ops = ops;
  service->pick = pick;
  return true;
}

/* Choose the upstreams of the service NAME with the policy POLICY from now on.
   Returns false if there is no such service or policy, or when memory is
   exhausted; then nothing changes.  */
bool
fleet_set_policy (fleet_t *fleet, const char *name, const char *policy)
{
  const pick_ops_t *ops = plugin_ops (PLUGIN_PICK, policy);
  fleet_service_t *service;
  bool is_set;

  table_lock (fleet->table);
  service = fleet_find_service (fleet, name);
  is_set = service != NULL && ops != NULL
           && service_set_policy (fleet, service, ops);
  table_unlock (fleet->table);
  return is_set;
}

/* Set this relay's share of the system-wide limits.  */
void
fleet_set_share (fleet_t *fleet, const rate_share_t *share)
{
  table_lock (fleet->table);
  fleet->share = *share;
  if (fleet->share.relays == 0)
    fleet->share.relays = 1;
  table_unlock (fleet->table);
}

/* Choose upstreams within LIMITS from now on.  */
void
fleet_set_rate_limits (fleet_t *fleet, rate_limits_t *limits)
{
  table_lock (fleet->table);
  fleet->limits = limits;
  table_unlock (fleet->table);
}

static void
fleet_reserve_candidates (fleet_t *fleet)
{
  size_t count = table_count (fleet->table);

  fleet->candidates = talloc_realloc (fleet, fleet->candidates,
                                      const pick_candidate_t *, count);
  fleet->candidate_upstreams = talloc_realloc (
      fleet, fleet->candidate_upstreams, fleet_upstream_t *, count);
}

static void
upstream_free (fleet_t *fleet, fleet_upstream_t *upstream)
{
  if (upstream->service != NULL)
    STAILQ_REMOVE (&upstream->service->upstreams, upstream, fleet_upstream,
                   link);
  departed_add (fleet, upstream);
  work_drop_upstream (upstream);
  fleet_upstream_set_group (upstream, NULL);
  table_remove (fleet->table, &upstream->node);
  table_remove (fleet->by_address, &upstream->address_node);
  talloc_free (upstream);
}

static fleet_upstream_t *
upstream_create (fleet_t *fleet, const upstream_listing_t *listing)
{
  fleet_upstream_t *upstream = talloc_zero (fleet, fleet_upstream_t);
  fleet_service_t *service
      = fleet_find_or_add_service (fleet, listing->service);
  fleet_zone_t *zone = fleet_find_or_add_zone (fleet, listing->zone);

  if (upstream == NULL || service == NULL || zone == NULL)
    {
      talloc_free (upstream);
      return NULL;
    }
  upstream->id = talloc_strdup (upstream, listing->id);
  upstream->address = talloc_strdup (upstream, listing->address);
  upstream->zone = zone;
  upstream->candidate.name = upstream->id;
  upstream->candidate.name_hash
      = XXH3_64bits (upstream->id, strlen (upstream->id));
  upstream->candidate.zone = zone->name;
  upstream->service = service;
  upstream->instance = ++fleet->last_instance;
  STAILQ_INSERT_TAIL (&service->upstreams, upstream, link);
  table_insert (fleet->table, &upstream->node, upstream->id,
                strlen (upstream->id));
  table_insert (fleet->by_address, &upstream->address_node, upstream->address,
                strlen (upstream->address));
  fleet_reserve_candidates (fleet);
  return upstream;
}

/* Return whether LISTING describes a different instance than the one known
   under the same id.  */
static bool
upstream_is_different_instance (const fleet_upstream_t *upstream,
                                const upstream_listing_t *listing)
{
  return strcmp (upstream->address, listing->address) != 0
         || strcmp (upstream->service->name, listing->service) != 0
         || strcmp (upstream->zone->name, listing->zone) != 0
         || upstream->started_ms != listing->started_ms;
}

static void
upstream_set_limits (fleet_upstream_t *upstream,
                     const upstream_listing_t *listing)
{
  pick_report_t *report = &upstream->candidate.report;

  report->is_known = true;
  report->limit_requests = listing->slots > 0 ? listing->slots : 1;
  if (upstream->service->tokens_per_slot > 0)
    report->limit_tokens
        = (uint64_t)(upstream->service->tokens_per_slot * listing->slots);
  else
    report->limit_tokens = report->limit_requests;
}

/* Return whether the listing of OTHER is more credible than LISTING, which
   names the same address: that of a service in the rules, since listings may
   have other writers than upstreams, and then that of the last start.  */
static bool
fleet_keeps_address (const fleet_t *fleet, const fleet_upstream_t *other,
                     const upstream_listing_t *listing)
{
  const fleet_service_t *service
      = fleet_find_service (fleet, listing->service);
  bool is_in_rules = service != NULL && service->is_in_rules;

  if (other->service->is_in_rules != is_in_rules)
    return other->service->is_in_rules;
  return other->started_ms > listing->started_ms;
}

/* An address belongs to the upstream that started last; the listing of its
   predecessor disappears only some seconds later.  Returns whether LISTING is
   that of the last upstream started at its address; if so, removes the
   other.  */
static bool
fleet_claim_address (fleet_t *fleet, const upstream_listing_t *listing)
{
  fleet_upstream_t *other = fleet_find_by_address (fleet, listing->address);

  if (other == NULL)
    return true;
  if (fleet_keeps_address (fleet, other, listing))
    return false;
  log_event (LOG_LEVEL_NOTICE, "upstream-replaced",
             "upstream=%s by=%s address=%s", other->id, listing->id,
             listing->address);
  upstream_free (fleet, other);
  return true;
}

/* Return whether LISTING is older than what is known of its upstream, as when
   the store was restored from a copy.  UPSTREAM is the one known under its id,
   or NULL.  Revisions of the store can't tell, heartbeats can.  */
static bool
fleet_listing_is_outdated (fleet_t *fleet, const fleet_upstream_t *upstream,
                           const upstream_listing_t *listing)
{
  if (listing->started_ms == 0 || listing->heartbeat == 0)
    return false;
  if (upstream != NULL && upstream->started_ms == listing->started_ms)
    return listing->heartbeat < upstream->heartbeat;
  return departed_covers (fleet, listing);
}

/* Apply LISTING to UPSTREAM, the one that it describes.  Returns whether that
   affects the choice.  A run that drains is never ready again.  */
static bool
upstream_apply_listing (fleet_t *fleet, fleet_upstream_t *upstream,
                        const upstream_listing_t *listing)
{
  bool was_draining = upstream->is_draining;

  upstream->started_ms = listing->started_ms;
  upstream->heartbeat = listing->heartbeat;
  upstream->incarnation
      = fleet_incarnation (upstream->id, listing->started_ms);
  upstream->is_draining = was_draining || listing->is_draining;
  upstream->slots = listing->slots > 0 ? listing->slots : 1;
  upstream_set_limits (upstream, listing);
  cold_start_set_remaining (fleet, upstream, clock_monotonic (fleet->clock),
                            listing->cold_start_remaining);
  return upstream->is_draining != was_draining;
}

/* Add or update the upstream in LISTING.  The table must be locked.  */
static fleet_update_t
fleet_apply_listing (fleet_t *fleet, const upstream_listing_t *listing)
{
  fleet_upstream_t *upstream = fleet_find (fleet, listing->id);
  bool is_new = false;
  bool is_changed;

  if (fleet_listing_is_outdated (fleet, upstream, listing))
    return FLEET_LISTING_OUTDATED;
  if (upstream != NULL && upstream_is_different_instance (upstream, listing))
    {
      upstream_free (fleet, upstream);
      upstream = NULL;
    }
  if (upstream == NULL && fleet_claim_address (fleet, listing))
    {
      upstream = upstream_create (fleet, listing);
      is_new = true;
    }
  if (upstream == NULL)
    return FLEET_UNCHANGED;
  is_changed = upstream_apply_listing (fleet, upstream, listing) || is_new;
  if (is_new)
    departed_restore (fleet, upstream);
  return is_changed ? FLEET_CHANGED : FLEET_UNCHANGED;
}

/* Add or update the upstream in LISTING.  Returns whether it is new or has
   changed in a way that affects the choice.  */
fleet_update_t
fleet_update_upstream (fleet_t *fleet, const upstream_listing_t *listing)
{
  fleet_update_t update;

  table_lock (fleet->table);
  update = fleet_apply_listing (fleet, listing);
  counter_set (&upstreams_gauge, (int64_t)table_count (fleet->table));
  table_unlock (fleet->table);
  return update;
}

/* Remove the upstream ID.  Returns whether it was known.  */
bool
fleet_remove_upstream (fleet_t *fleet, const char *id)
{
  fleet_upstream_t *upstream;

  table_lock (fleet->table);
  upstream = fleet_find (fleet, id);
  if (upstream != NULL)
    upstream_free (fleet, upstream);
  counter_set (&upstreams_gauge, (int64_t)table_count (fleet->table));
  table_unlock (fleet->table);
  return upstream != NULL;
}

/* Set whether ZONE gets no new requests.  The upstreams of a zone that is
   back in service may be cold: they are treated as cold until their listings
   say otherwise.  */
void
fleet_set_zone_out (fleet_t *fleet, const char *zone, bool is_out)
{
  struct timespec now = clock_monotonic (fleet->clock);
  fleet_zone_t *known;
  table_node_t *node;

  table_lock (fleet->table);
  known = fleet_find_or_add_zone (fleet, zone);
  if (known != NULL && known->is_out && !is_out)
    TABLE_FOREACH (node, fleet->table)
      {
        fleet_upstream_t *upstream
            = CONTAINER_OF (node, fleet_upstream_t, node);

        if (upstream->zone == known)
          cold_start_set_remaining (fleet, upstream, now,
                                    upstream->service->cold_time);
      }
  if (known != NULL)
    known->is_out = is_out;
  table_unlock (fleet->table);
}

/* Return the number of known upstreams.  */
unsigned
fleet_upstream_count (fleet_t *fleet)
{
  unsigned count;

  table_lock (fleet->table);
  count = (unsigned)table_count (fleet->table);
  table_unlock (fleet->table);
  return count;
}
