#include "common/settings_watchers.h"

#include <string.h>
#include <xxhash.h>

enum
{
  ALL_WATCH_MAX_PROCESSES = 32, /* in a larger fleet only some are watchers */
  WATCHERS_PER_ZONE = 3
};

/* Counts the candidates in the zone of the process NAME that rank higher.  */
typedef struct ranking
{
  const char *name;
  const char *zone;
  uint64_t weight;       /* of NAME, see watcher_weight */
  unsigned higher_count; /* candidates in the zone with a higher weight */
} ranking_t;

static uint64_t
watcher_weight (const char *name)
{
  return XXH3_64bits (name, strlen (name));
}

static void
ranking_add_candidate (ranking_t *ranking, const char *name, const char *zone)
{
  uint64_t weight = watcher_weight (name);

  if (strcmp (zone, ranking->zone) != 0)
    return;
  if (weight > ranking->weight
      || (weight == ranking->weight && strcmp (name, ranking->name) > 0))
    ranking->higher_count++;
}

static bool
entry_is_watcher (const settings_t *settings, const char *name)
{
  const entry_vm_t *entry_vm;
  ranking_t ranking = { .name = name, .weight = watcher_weight (name) };

  STAILQ_FOREACH (entry_vm, &settings->entry_vms, link)
    {
      if (strcmp (entry_vm->name, name) == 0)
        ranking.zone = entry_vm->zone;
    }
  if (ranking.zone == NULL)
    return false;
  STAILQ_FOREACH (entry_vm, &settings->entry_vms, link)
    ranking_add_candidate (&ranking, entry_vm->name, entry_vm->zone);
  return ranking.higher_count < WATCHERS_PER_ZONE;
}

static bool
upstream_is_watcher (const settings_t *settings, const char *name)
{
  const upstream_t *self = settings_upstream (settings, name);
  ranking_t ranking = { .name = name, .weight = watcher_weight (name) };
  const upstream_t *upstream;

  if (self == NULL)
    return false;
  ranking.zone = self->zone;
  STAILQ_FOREACH (upstream, &settings->upstreams, link)
    ranking_add_candidate (&ranking, upstream->name, upstream->zone);
  return ranking.higher_count < WATCHERS_PER_ZONE;
}

/* Return whether the process PROCESS_NAME reads new settings from the store on
   behalf of the processes that are not store watchers.  Every process computes
   the same result from the inventory.  In a small fleet
   all processes watch.  Otherwise it is WATCHERS_PER_ZONE entries in each
   availability zone, or agents if there are no entries: those with the highest
   hashes of their names, so that an added or removed process changes the role
   of at most one other.  */
bool
settings_is_store_watcher (const settings_t *settings,
                           const char *process_name)
{
  const entry_vm_t *entry_vm;
  size_t count = settings->upstream_index.count;

  STAILQ_FOREACH (entry_vm, &settings->entry_vms, link)
    count++;
  if (count <= ALL_WATCH_MAX_PROCESSES)
    return true;
  if (STAILQ_EMPTY (&settings->entry_vms))
    return upstream_is_watcher (settings, process_name);
  return entry_is_watcher (settings, process_name);
}
