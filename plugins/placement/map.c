#include "plugins/placement.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static size_t
shape_slot_count (const placement_shape_t *shape)
{
  return (size_t)shape->layers * shape->ranks * shape->slots;
}

/* Creates a map with all slots zero.  Returns NULL when SHAPE is out of
   range or cannot hold every expert, or memory is exhausted.  */
placement_map_t *
placement_map_create (TALLOC_CTX *parent, const placement_shape_t *shape)
{
  placement_map_t *map;

  if (shape->layers < 1 || shape->layers > PLACEMENT_MAX_LAYERS
      || shape->ranks < 1 || shape->ranks > PLACEMENT_MAX_RANKS
      || shape->experts < 1 || shape->experts > PLACEMENT_MAX_EXPERTS
      || shape->slots < 1 || shape->slots > PLACEMENT_MAX_SLOTS
      || shape->ranks * shape->slots < shape->experts)
    return NULL;
  map = talloc_zero (parent, placement_map_t);
  if (map == NULL)
    return NULL;
  map->shape = *shape;
  map->slots
      = talloc_zero_array (map, placement_slot_t, shape_slot_count (shape));
  if (map->slots == NULL)
    TALLOC_FREE (map);
  return map;
}

/* Returns the slot number SLOT of RANK in LAYER.  */
placement_slot_t *
placement_map_slot (const placement_map_t *map, unsigned layer, unsigned rank,
                    unsigned slot)
{
  const placement_shape_t *shape = &map->shape;

  return &map->slots[((size_t)layer * shape->ranks + rank) * shape->slots
                     + slot];
}

/* Creates the map that a group starts with: the slots are filled with the
   experts in rotation, and tokens are split evenly.  Returns NULL like
   placement_map_create.  */
placement_map_t *
placement_map_create_initial (TALLOC_CTX *parent,
                              const placement_shape_t *shape)
{
  placement_map_t *map = placement_map_create (parent, shape);

  if (map == NULL)
    return NULL;
  for (unsigned layer = 0; layer < shape->layers; layer++)
    {
      for (unsigned i = 0; i < shape->ranks * shape->slots; i++)
        {
          placement_slot_t *slot = placement_map_slot (
              map, layer, i % shape->ranks, i / shape->ranks);
          unsigned expert = i % shape->experts;
          unsigned replicas
              = (shape->ranks * shape->slots - expert - 1) / shape->experts
                + 1;

          slot->expert = (uint16_t)expert;
          slot->share = (uint16_t)(PLACEMENT_SHARE_FULL / replicas);
        }
    }
  return map;
}

/* Creates a map with one replica of each expert, in rotation over the ranks.
   Returns NULL like placement_map_create.  */
placement_map_t *
placement_map_create_rotation (TALLOC_CTX *parent,
                               const placement_shape_t *shape)
{
  placement_map_t *map = placement_map_create_initial (parent, shape);

  if (map == NULL)
    return NULL;
  for (unsigned layer = 0; layer < shape->layers; layer++)
    {
      for (unsigned i = 0; i < shape->ranks * shape->slots; i++)
        *placement_map_slot (map, layer, i % shape->ranks, i / shape->ranks)
            = i < shape->experts
                  ? (placement_slot_t){ .expert = (uint16_t)i,
                                        .share = PLACEMENT_SHARE_FULL }
                  : (placement_slot_t){ .expert = PLACEMENT_SLOT_FREE };
    }
  return map;
}

static int
slot_compare (const void *left, const void *right)
{
  const placement_slot_t *a = left;
  const placement_slot_t *b = right;

  return (int)a->expert - (int)b->expert;
}

/* Sorts the experts of each rank and layer, free slots last.  */
void
placement_map_sort (placement_map_t *map)
{
  const placement_shape_t *shape = &map->shape;
  size_t cells = (size_t)shape->layers * shape->ranks;

  for (size_t cell = 0; cell < cells; cell++)
    qsort (&map->slots[cell * shape->slots], shape->slots, sizeof *map->slots,
           slot_compare);
}

/* Returns a copy of MAP, or NULL when memory is exhausted.  */
placement_map_t *
placement_map_copy (TALLOC_CTX *parent, const placement_map_t *map)
{
  placement_map_t *copy = placement_map_create (parent, &map->shape);

  if (copy != NULL)
    memcpy (copy->slots, map->slots,
            shape_slot_count (&map->shape) * sizeof *map->slots);
  return copy;
}

/* Returns the sum of a hash of each replica, which does not depend on the
   order of a rank's slots.  */
uint64_t
placement_map_digest (const placement_map_t *map)
{
  const placement_shape_t *shape = &map->shape;
  size_t cells = (size_t)shape->layers * shape->ranks;
  uint64_t digest = 0;

  for (size_t i = 0; i < cells * shape->slots; i++)
    {
      uint64_t replica[2] = { i / shape->slots, map->slots[i].expert };

      if (map->slots[i].expert != PLACEMENT_SLOT_FREE)
        digest += XXH3_64bits (replica, sizeof replica);
    }
  return digest;
}

static bool
slot_is_valid (const placement_slot_t *slot, const placement_shape_t *shape)
{
  if (slot->expert == PLACEMENT_SLOT_FREE)
    return slot->share == 0;
  return slot->expert < shape->experts;
}

/* Returns whether every slot of MAP is unused or holds an existing expert,
   and every expert has a slot that gets tokens.  */
bool
placement_map_is_valid (const placement_map_t *map)
{
  const placement_shape_t *shape = &map->shape;
  size_t slots = (size_t)shape->ranks * shape->slots;
  bool *is_held = talloc_zero_array (NULL, bool, shape->experts);
  bool is_valid = is_held != NULL;

  for (unsigned layer = 0; is_valid && layer < shape->layers; layer++)
    {
      for (unsigned i = 0; i < shape->experts; i++)
        is_held[i] = false;
      for (size_t i = 0; i < slots; i++)
        {
          const placement_slot_t *slot = &map->slots[layer * slots + i];

          is_valid = is_valid && slot_is_valid (slot, shape);
          if (is_valid && slot->share > 0)
            is_held[slot->expert] = true;
        }
      for (unsigned i = 0; i < shape->experts; i++)
        is_valid = is_valid && is_held[i];
    }
  talloc_free (is_held);
  return is_valid;
}

/* Returns whether RANK holds EXPERT in LAYER.  */
bool
placement_map_holds (const placement_map_t *map, unsigned layer, unsigned rank,
                     unsigned expert)
{
  for (unsigned i = 0; i < map->shape.slots; i++)
    {
      if (placement_map_slot (map, layer, rank, i)->expert == expert)
        return true;
    }
  return false;
}

/* Returns how many experts ranks have to load to go from one map to
   another of the same shape.  */
unsigned
placement_map_moves (const placement_map_t *from, const placement_map_t *to)
{
  const placement_shape_t *shape = &to->shape;
  unsigned moves = 0;

  for (unsigned layer = 0; layer < shape->layers; layer++)
    {
      for (unsigned rank = 0; rank < shape->ranks; rank++)
        {
          for (unsigned i = 0; i < shape->slots; i++)
            {
              unsigned expert
                  = placement_map_slot (to, layer, rank, i)->expert;

              if (expert != PLACEMENT_SLOT_FREE
                  && !placement_map_holds (from, layer, rank, expert))
                moves++;
            }
        }
    }
  return moves;
}
