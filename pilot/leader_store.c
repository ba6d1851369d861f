#include "pilot/leader_state.h"

#include "common/roster.h"
#include "kernel/log.h"

#include <string.h>

enum
{
  /* Minimum time from the start of one store poll to that of the next.  */
  MIRROR_POLL_INTERVAL_MS = 2000
};

static void
leader_read_rules (leader_t *leader, const store_entry_t *entry)
{
  const service_rule_t *service;
  rules_t *rules;

  if (entry->value == NULL
      || catalog_read_rules (leader->pilot->catalog_ops, entry->value,
                             entry->value_size, &rules)
             != STATUS_OK)
    {
      log_event (LOG_LEVEL_WARN, "rules-rejected", "revision=%lld action=keep",
                 (long long)entry->mod_revision);
      return;
    }
  service
      = rules_service (rules, daemon_config (leader->pilot->daemon)->service);
  if (leader->planning == NULL && service != NULL && service->has_engine)
    {
      leader_start_planning (leader, &service->engine);
      members_set_report_lag (leader->members, service->engine.report_lag);
    }
  rules_release (rules);
}

/* Records the address of an engine of this pilot's service, for direct calls
   when its pilot does not respond.  */
static void
leader_read_upstream (leader_t *leader, const char *id,
                      const store_entry_t *entry)
{
  const pilot_t *pilot = leader->pilot;
  TALLOC_CTX *scratch = talloc_new (leader);
  upstream_listing_t listing;

  if (entry->value != NULL
      && pilot->catalog_ops->read_upstream (scratch, id, entry->value,
                                            entry->value_size, &listing)
             == STATUS_OK
      && strcmp (listing.service, daemon_config (pilot->daemon)->service) == 0)
    members_add_engine (leader->members, listing.address);
  talloc_free (scratch);
}

/* Stops the switcher when another pilot has seized the leader key of the
   group, whose fencing token is then above this pilot's.  */
static void
leader_read_leader_key (leader_t *leader, const char *group,
                        const store_entry_t *entry)
{
  const pilot_t *pilot = leader->pilot;

  if (strcmp (group, leader->group) == 0 && entry->value != NULL
      && store_fence (pilot->store_ops, pilot->store, entry->mod_revision)
             > leader->fence)
    switcher_stop (leader->switcher);
}

static void
leader_on_change (const store_entry_t *entry, void *data)
{
  leader_t *leader = data;
  const char *name;

  switch (leader->pilot->catalog_ops->classify (entry->key, &name))
    {
    case CATALOG_RULES:
      leader_read_rules (leader, entry);
      break;
    case CATALOG_UPSTREAM:
      leader_read_upstream (leader, name, entry);
      break;
    case CATALOG_OWN:
      if (roster_name_from_key (name, ROSTER_PILOTS) != NULL)
        members_update_pilot (leader->members,
                              roster_name_from_key (name, ROSTER_PILOTS),
                              entry->value);
      else if (roster_name_from_key (name, ROSTER_LEADERS) != NULL)
        leader_read_leader_key (
            leader, roster_name_from_key (name, ROSTER_LEADERS), entry);
      break;
    default:
      break;
    }
}

static const store_mirror_ops_t leader_mirror_ops = {
  .on_change = leader_on_change,
};

static store_mirror_t *
leader_create_mirror (leader_t *leader, const char *prefix)
{
  pilot_t *pilot = leader->pilot;
  store_mirror_options_t options = {
    .store_ops = pilot->store_ops,
    .store = pilot->store,
    .prefix = prefix,
    .poll_interval = timespec_from_ms (MIRROR_POLL_INTERVAL_MS),
  };

  return store_mirror_create (leader, pilot->worker, &options,
                              &leader_mirror_ops, leader);
}

/* Mirrors the parts of the store that a leader uses: the pilots and the leader
   key, the upstreams, and the rules until they are known.  */
void
leader_start_mirrors (leader_t *leader)
{
  const catalog_ops_t *catalog = leader->pilot->catalog_ops;

  leader->own_mirror = leader_create_mirror (leader, catalog->own_prefix);
  leader->upstream_mirror
      = leader_create_mirror (leader, catalog->upstream_prefix);
  leader->rules_mirror = leader_create_mirror (leader, catalog->rules_key);
}

static void
leader_stop_mirror (store_mirror_t **mirror)
{
  if (*mirror != NULL)
    store_mirror_destroy (*mirror);
  *mirror = NULL;
}

/* Stops mirroring the rules once planning has started.  The profile of the
   engines does not change in a term, and a large document would take the link
   of this VM from the commands to the ranks.  */
void
leader_stop_reading_rules (leader_t *leader)
{
  if (leader->planning != NULL)
    leader_stop_mirror (&leader->rules_mirror);
}

/* Stops mirroring the store.  */
void
leader_stop_mirrors (leader_t *leader)
{
  leader_stop_mirror (&leader->own_mirror);
  leader_stop_mirror (&leader->upstream_mirror);
  leader_stop_mirror (&leader->rules_mirror);
}
