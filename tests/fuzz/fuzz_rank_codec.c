/* Commands with maps, and counts, in the frames of other pilots: any bytes
   must be refused or give a map whose slots hold experts of its shape.  The
   first byte of the input chooses what the others are.  */

#include "pilot/rank_codec.h"
#include "tests/fuzz/fuzz.h"

static const placement_shape_t base_shape
    = { .layers = 2, .ranks = 3, .experts = 4, .slots = 2 };

static void
check_map (const placement_map_t *map)
{
  const placement_shape_t *shape = &map->shape;
  size_t slots = (size_t)shape->layers * shape->ranks * shape->slots;

  for (size_t i = 0; i < slots; i++)
    FUZZ_CHECK (map->slots[i].expert < shape->experts
                || map->slots[i].expert == PLACEMENT_SLOT_FREE);
}

static void
decode_command (TALLOC_CTX *memory, blob_t encoded)
{
  map_history_t *history = map_history_create (memory);
  frame_rank_command_t body = { .kind = RANK_COMMAND_PREPARE, .map = encoded };
  rank_command_t command;

  map_history_add (history,
                   placement_map_create_initial (memory, &base_shape));
  if (rank_command_from_frame (memory, &body, history, &command) == STATUS_OK)
    check_map (command.map);
}

int
LLVMFuzzerTestOneInput (const uint8_t *bytes, size_t size)
{
  TALLOC_CTX *memory = talloc_new (NULL);
  blob_t encoded = { .data = (const char *)bytes + 1, .size = size - 1 };
  size_t count;

  if (size > 0 && bytes[0] % 2 == 0)
    decode_command (memory, encoded);
  else if (size > 0)
    rank_counts_decode (memory, encoded, bytes[0], &count);
  talloc_free (memory);
  return 0;
}
