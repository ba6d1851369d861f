#include "agent/group_maps.h"

#include <msgpack.h>
#include <sys/queue.h>

enum
{
  MAX_MAPS = 8,
  MAP_FIELDS = 6 /* version, four dimensions of the shape, slots */
};

typedef struct group_map
{
  TAILQ_ENTRY (group_map) link;
  uint64_t version;
  placement_map_t *map;
} group_map_t;

struct group_maps
{
  /* Most recently used first.  */
  TAILQ_HEAD (group_map_list, group_map)
  list;
  unsigned count;
};

/* Create an empty set of maps.  Returns NULL when out of memory.  */
group_maps_t *
group_maps_create (TALLOC_CTX *parent)
{
  group_maps_t *maps = talloc_zero (parent, group_maps_t);

  if (maps != NULL)
    TAILQ_INIT (&maps->list);
  return maps;
}

/* Free MAPS.  */
void
group_maps_destroy (group_maps_t *maps)
{
  talloc_free (maps);
}

static void
maps_drop_least_recent (group_maps_t *maps)
{
  group_map_t *oldest = TAILQ_LAST (&maps->list, group_map_list);

  TAILQ_REMOVE (&maps->list, oldest, link);
  maps->count--;
  talloc_free (oldest);
}

/* Add MAP as VERSION; takes ownership of its memory.  A version that is
   already known is not replaced.  */
void
group_maps_add (group_maps_t *maps, uint64_t version, placement_map_t *map)
{
  group_map_t *entry;

  if (group_maps_find (maps, version) != NULL)
    {
      talloc_free (map);
      return;
    }
  entry = talloc_zero (maps, group_map_t);
  entry->version = version;
  entry->map = talloc_steal (entry, map);
  TAILQ_INSERT_HEAD (&maps->list, entry, link);
  if (++maps->count > MAX_MAPS)
    maps_drop_least_recent (maps);
}

/* Return the map VERSION, or NULL if unknown.  It is valid until another map
   is added.  */
const placement_map_t *
group_maps_find (group_maps_t *maps, uint64_t version)
{
  group_map_t *entry;

  TAILQ_FOREACH (entry, &maps->list, link)
    {
      if (entry->version != version)
        continue;
      TAILQ_REMOVE (&maps->list, entry, link);
      TAILQ_INSERT_HEAD (&maps->list, entry, link);
      return entry->map;
    }
  return NULL;
}

static blob_t
take_buffer (TALLOC_CTX *parent, msgpack_sbuffer *buffer)
{
  blob_t blob = { .data = talloc_memdup (parent, buffer->data, buffer->size),
                  .size = buffer->size };

  msgpack_sbuffer_destroy (buffer);
  return blob;
}

static size_t
map_slot_count (const placement_map_t *map)
{
  return (size_t)map->shape.layers * map->shape.ranks * map->shape.slots;
}

/* Append MAP to the encoding; unpack_map reads it.  */
static void
pack_map (msgpack_packer *packer, uint64_t version, const placement_map_t *map)
{
  size_t count = map_slot_count (map);

  msgpack_pack_array (packer, MAP_FIELDS);
  msgpack_pack_uint64 (packer, version);
  msgpack_pack_unsigned_int (packer, map->shape.layers);
  msgpack_pack_unsigned_int (packer, map->shape.ranks);
  msgpack_pack_unsigned_int (packer, map->shape.experts);
  msgpack_pack_unsigned_int (packer, map->shape.slots);
  msgpack_pack_array (packer, count * 2);
  for (size_t i = 0; i < count; i++)
    {
      msgpack_pack_uint16 (packer, map->slots[i].expert);
      msgpack_pack_uint16 (packer, map->slots[i].share);
    }
}

/* Encode those of the maps FIRST and SECOND that are known; 0 stands for none.
   The result is allocated on PARENT.  */
blob_t
group_maps_encode (TALLOC_CTX *parent, group_maps_t *maps, uint64_t first,
                   uint64_t second)
{
  const uint64_t versions[] = { first, second };
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  unsigned known = 0;

  for (unsigned i = 0; i < 2; i++)
    known += group_maps_find (maps, versions[i]) != NULL ? 1 : 0;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, known);
  for (unsigned i = 0; i < 2; i++)
    {
      const placement_map_t *map = group_maps_find (maps, versions[i]);

      if (map != NULL)
        pack_map (&packer, versions[i], map);
    }
  return take_buffer (parent, &buffer);
}

static bool
unpack_number (const msgpack_object *object, uint64_t maximum, uint64_t *value)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || object->via.u64 > maximum)
    return false;
  *value = object->via.u64;
  return true;
}

static bool
unpack_shape (const msgpack_object *items, placement_shape_t *shape)
{
  uint64_t layers;
  uint64_t ranks;
  uint64_t experts;
  uint64_t slots;

  if (!unpack_number (&items[0], PLACEMENT_MAX_LAYERS, &layers)
      || !unpack_number (&items[1], PLACEMENT_MAX_RANKS, &ranks)
      || !unpack_number (&items[2], PLACEMENT_MAX_EXPERTS, &experts)
      || !unpack_number (&items[3], PLACEMENT_MAX_SLOTS, &slots))
    return false;
  *shape = (placement_shape_t){ .layers = (unsigned)layers,
                                .ranks = (unsigned)ranks,
                                .experts = (unsigned)experts,
                                .slots = (unsigned)slots };
  return true;
}

static bool
unpack_slots (const msgpack_object *object, placement_map_t *map)
{
  size_t count = map_slot_count (map);

  if (object->type != MSGPACK_OBJECT_ARRAY
      || object->via.array.size != count * 2)
    return false;
  for (size_t i = 0; i < count; i++)
    {
      uint64_t expert;
      uint64_t share;

      if (!unpack_number (&object->via.array.ptr[2 * i], UINT16_MAX, &expert)
          || !unpack_number (&object->via.array.ptr[2 * i + 1], UINT16_MAX,
                             &share))
        return false;
      map->slots[i].expert = (uint16_t)expert;
      map->slots[i].share = (uint16_t)share;
    }
  return placement_map_is_valid (map);
}

static bool
unpack_map (group_maps_t *maps, const msgpack_object *object)
{
  const msgpack_object *items = object->via.array.ptr;
  placement_shape_t shape;
  placement_map_t *map;
  uint64_t version;

  if (object->type != MSGPACK_OBJECT_ARRAY
      || object->via.array.size != MAP_FIELDS
      || !unpack_number (&items[0], UINT64_MAX, &version)
      || !unpack_shape (&items[1], &shape))
    return false;
  map = placement_map_create (maps, &shape);
  if (map == NULL)
    return false;
  if (!unpack_slots (&items[MAP_FIELDS - 1], map))
    {
      talloc_free (map);
      return false;
    }
  group_maps_add (maps, version, map);
  return true;
}

/* Add the maps in ENCODED, which may be empty.  Returns STATUS_PROTOCOL when a
   map is malformed or leaves an expert without a replica.  */
status_t
group_maps_decode (group_maps_t *maps, blob_t encoded)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  bool is_valid;

  if (encoded.size == 0)
    return STATUS_OK;
  msgpack_unpacked_init (&unpacked);
  is_valid
      = msgpack_unpack_next (&unpacked, encoded.data, encoded.size, &offset)
            == MSGPACK_UNPACK_SUCCESS
        && unpacked.data.type == MSGPACK_OBJECT_ARRAY;
  for (uint32_t i = 0; is_valid && i < unpacked.data.via.array.size; i++)
    is_valid = unpack_map (maps, &unpacked.data.via.array.ptr[i]);
  msgpack_unpacked_destroy (&unpacked);
  return is_valid ? STATUS_OK
                  : status_set (STATUS_PROTOCOL, "expert map is malformed");
}
