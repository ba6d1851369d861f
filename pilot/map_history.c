#include "pilot/map_history.h"

#include <string.h>
#include <sys/queue.h>

enum
{
  /* The map in use, one that was given up, and the newest one.  */
  MAX_MAPS = 3
};

typedef struct known_map
{
  TAILQ_ENTRY (known_map) link;
  placement_map_t *map;
  uint64_t digest;
} known_map_t;

struct map_history
{
  TAILQ_HEAD (known_maps, known_map) maps; /* newest first */
  unsigned count;
};

/* Creates an empty history.  Returns NULL when memory is exhausted.  */
map_history_t *
map_history_create (TALLOC_CTX *parent)
{
  map_history_t *history = talloc_zero (parent, map_history_t);

  if (history != NULL)
    TAILQ_INIT (&history->maps);
  return history;
}

/* Frees HISTORY and its maps.  */
void
map_history_destroy (map_history_t *history)
{
  talloc_free (history);
}

static known_map_t *
history_find (const map_history_t *history, const placement_shape_t *shape,
              uint64_t digest)
{
  known_map_t *known;

  TAILQ_FOREACH (known, &history->maps, link)
    {
      if (known->digest == digest
          && memcmp (&known->map->shape, shape, sizeof *shape) == 0)
        return known;
    }
  return NULL;
}

/* Adds KNOWN as the newest map and frees the oldest one beyond MAX_MAPS.  */
static void
history_insert (map_history_t *history, known_map_t *known)
{
  TAILQ_INSERT_HEAD (&history->maps, known, link);
  if (history->count < MAX_MAPS)
    {
      history->count++;
      return;
    }
  known = TAILQ_LAST (&history->maps, known_maps);
  TAILQ_REMOVE (&history->maps, known, link);
  talloc_free (known);
}

/* Adds MAP.  A map that is known becomes the newest one.  Does nothing when
   memory is exhausted: the leader then sends the whole map.  */
void
map_history_add (map_history_t *history, const placement_map_t *map)
{
  uint64_t digest = placement_map_digest (map);
  known_map_t *known = history_find (history, &map->shape, digest);

  if (known != NULL)
    {
      TAILQ_REMOVE (&history->maps, known, link);
      TAILQ_INSERT_HEAD (&history->maps, known, link);
      return;
    }
  known = talloc_zero (history, known_map_t);
  if (known == NULL)
    return;
  known->digest = digest;
  known->map = placement_map_copy (known, map);
  if (known->map == NULL)
    talloc_free (known);
  else
    history_insert (history, known);
}

/* Returns the map with SHAPE and DIGEST, or NULL.  */
const placement_map_t *
map_history_find (map_history_t *history, const placement_shape_t *shape,
                  uint64_t digest)
{
  const known_map_t *known = history_find (history, shape, digest);
  placement_map_t *initial;

  if (known != NULL)
    return known->map;
  initial = placement_map_create_rotation (history, shape);
  if (initial == NULL)
    return NULL;
  if (placement_map_digest (initial) == digest)
    map_history_add (history, initial);
  talloc_free (initial);
  known = history_find (history, shape, digest);
  return known == NULL ? NULL : known->map;
}

/* Returns the digest of MAP without what RANK holds, or 0 when memory is
   exhausted.  */
static uint64_t
digest_except (const placement_map_t *map, unsigned rank)
{
  placement_map_t *copy = placement_map_copy (NULL, map);
  uint64_t digest;

  if (copy == NULL)
    return 0;
  for (unsigned layer = 0; layer < map->shape.layers; layer++)
    {
      for (unsigned slot = 0; slot < map->shape.slots; slot++)
        *placement_map_slot (copy, layer, rank, slot)
            = (placement_slot_t){ .expert = PLACEMENT_SLOT_FREE };
    }
  digest = placement_map_digest (copy);
  talloc_free (copy);
  return digest;
}

/* Returns the map that holds the same as PARTIAL on all ranks but EXCEPT, or
   NULL.  */
const placement_map_t *
map_history_find_except (map_history_t *history,
                         const placement_map_t *partial, unsigned except)
{
  uint64_t digest = digest_except (partial, except);
  placement_map_t *initial;
  const placement_map_t *found = NULL;
  const known_map_t *known;

  TAILQ_FOREACH (known, &history->maps, link)
    {
      if (memcmp (&known->map->shape, &partial->shape, sizeof partial->shape)
              == 0
          && digest_except (known->map, except) == digest)
        return known->map;
    }
  initial = placement_map_create_rotation (history, &partial->shape);
  if (initial != NULL && digest_except (initial, except) == digest)
    found = map_history_find (history, &partial->shape,
                              placement_map_digest (initial));
  talloc_free (initial);
  return found;
}
