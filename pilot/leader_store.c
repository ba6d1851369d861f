#include "pilot/leader_state.h"

#include "common/roster.h"
#include "kernel/log.h"

#include <string.h>

enum
{
  MIRROR_PACE_MS = 2000 /* of polls */
};

static void
leader_take_rules (leader_t *leader, const store_entry_t *entry)
{
  const service_rule_t *service;
  rules_t *rules;

  if (entry->value == NULL
      || leader->pilot->catalog_ops->read_rules (entry->value,
                                                 entry->value_size, &rules)
             != STATUS_OK)
    {
      log_event (LOG_LEVEL_WARN, "rules-rejected", "revision=%lld action=keep",
                 (long long)entry->mod_revision);
      return;
    }
  service
      = rules_service (rules, daemon_config (leader->pilot->daemon)->service);
  if (leader->planner == NULL && service != NULL && service->has_engine)
    leader->planner
        = planner_create (leader, &service->engine, leader->rank_count);
  rules_release (rules);
}

/* Note where an engine of the own service is, in case its pilot is away.  */
static void
leader_take_upstream (leader_t *leader, const char *id,
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
    crew_note_upstream (leader->crew, listing.address);
  talloc_free (scratch);
}

/* The key of a group's leader has changed: another pilot may have seized
   it.  */
static void
leader_take_leader (leader_t *leader, const char *group,
                    const store_entry_t *entry)
{
  if (strcmp (group, leader->group) == 0 && entry->value != NULL
      && (uint64_t)entry->mod_revision > leader->fence)
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
      leader_take_rules (leader, entry);
      break;
    case CATALOG_UPSTREAM:
      leader_take_upstream (leader, name, entry);
      break;
    case CATALOG_OWN:
      if (roster_name_from_key (name, ROSTER_PILOTS) != NULL)
        crew_note_pilot (leader->crew,
                         roster_name_from_key (name, ROSTER_PILOTS),
                         entry->value);
      else if (roster_name_from_key (name, ROSTER_LEADERS) != NULL)
        leader_take_leader (
            leader, roster_name_from_key (name, ROSTER_LEADERS), entry);
      break;
    default:
      break;
    }
}

static const store_mirror_ops_t leader_mirror_ops = {
  .on_change = leader_on_change,
};

/* Read in the store, while leading, what the group's leader has to know.  */
void
leader_follow_store (leader_t *leader)
{
  pilot_t *pilot = leader->pilot;
  store_mirror_options_t options = {
    .store_ops = pilot->store_ops,
    .store = pilot->store,
    .prefix = "",
    .pace = timespec_from_ms (MIRROR_PACE_MS),
  };

  leader->mirror = store_mirror_create (leader, pilot->worker, &options,
                                        &leader_mirror_ops, leader);
}
