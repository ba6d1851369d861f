#include "common/settings_watchers.h"

#include <string.h>
#include <xxhash.h>

enum
{
  MAX_ALL_WATCH = 32, /* up to this size every process watches */
  WATCHERS_PER_ZONE = 3
};

/* Finds the place of one name among the candidates of its zone.  */
typedef struct ranking
{
  const char *name;
  const char *zone;
  uint64_t weight;
  unsigned above; /* candidates in the zone that come first */
} ranking_t;

static uint64_t
watcher_weight (const char *name)
{
  return XXH3_64bits (name, strlen (name));
}

static void
ranking_count (ranking_t *ranking, const char *name, const char *zone)
{
  uint64_t weight = watcher_weight (name);

  if (strcmp (zone, ranking->zone) != 0)
    return;
  if (weight > ranking->weight
      || (weight == ranking->weight && strcmp (name, ranking->name) > 0))
    ranking->above++;
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
    ranking_count (&ranking, entry_vm->name, entry_vm->zone);
  return ranking.above < WATCHERS_PER_ZONE;
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
    ranking_count (&ranking, upstream->name, upstream->zone);
  return ranking.above < WATCHERS_PER_ZONE;
}

/* Return whether the process NAME watches the store for all others.  Every
   process finds the same answer from the inventory: all of them while they are
   few; else those entries of each availability zone that come first by a hash
   of their name, so that one that comes or goes moves at most one duty; agents
   where there are no entries.  */
bool
settings_is_store_watcher (const settings_t *settings, const char *name)
{
  const entry_vm_t *entry_vm;
  size_t count = settings->upstream_index.count;

  STAILQ_FOREACH (entry_vm, &settings->entry_vms, link)
    count++;
  if (count <= MAX_ALL_WATCH)
    return true;
  if (STAILQ_EMPTY (&settings->entry_vms))
    return upstream_is_watcher (settings, name);
  return entry_is_watcher (settings, name);
}
