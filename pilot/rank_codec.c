#include "pilot/rank_codec.h"

#include "common/numbers.h"
#include "pilot/count_levels.h"

#include <math.h>

/* A map is encoded as numbers: its shape and, if HAS_BASE, the digest of the
   base and the changes, three numbers each: the cell, counted from that of the
   change before, and the expert that leaves and the one that joins it.  A cell
   is a rank in a layer.  Without a base, the experts of all slots follow.  */
enum
{
  MAP_HEADER_NUMBERS = 5, /* the shape, and whether there is a base */
  MAP_CHANGE_NUMBERS = 3
};

/* Counts are encoded as a byte that says whether their number is odd, and then
   two of them in a byte.  */
enum
{
  COUNT_BITS = 4,
  COUNT_MASK = (1 << COUNT_BITS) - 1
};

/* An engine that is slower than this is as good as stopped.  */
static const double max_slowdown = 1e6;

static const char *const command_names[RANK_COMMAND_KIND_COUNT] = {
  [RANK_COMMAND_PREPARE] = "prepare", [RANK_COMMAND_ARM] = "arm",
  [RANK_COMMAND_DISARM] = "disarm",   [RANK_COMMAND_HOLD] = "hold",
  [RANK_COMMAND_RELEASE] = "go",
};

static const char *const verdict_names[RANK_VERDICT_COUNT] = {
  [RANK_DONE] = "done",
  [RANK_CONFLICT] = "conflict",
  [RANK_FENCED] = "fenced",
  [RANK_MALFORMED] = "malformed",
  [RANK_UNREACHABLE] = "unreachable",
  [RANK_OUTCOME_UNKNOWN] = "lost",
  [RANK_BASE_UNKNOWN] = "base-unknown",
};

/* Returns the name of KIND for the log.  */
const char *
rank_command_name (rank_command_kind_t kind)
{
  return command_names[kind];
}

/* Returns whether LEFT and RIGHT are the same command.  */
bool
rank_command_is_same (const rank_command_t *left, const rank_command_t *right)
{
  return left->kind == right->kind && left->fence == right->fence
         && left->epoch == right->epoch && left->version == right->version
         && left->step == right->step;
}

/* Returns the name of VERDICT for the log.  */
const char *
rank_verdict_name (rank_verdict_t verdict)
{
  return verdict_names[verdict];
}

/* Returns the slowdown of a report in permille, within the bounds that a frame
   can have: the value is the engine's.  */
static uint64_t
slowdown_permille (double slowdown)
{
  if (!(slowdown > 0))
    return 0;
  return (uint64_t)(fmin (slowdown, max_slowdown) * FRAME_PERMILLE);
}

/* Encodes the report of the engine at UPSTREAM in FRAME, which points to
   the texts of REPORT.  Commands up to AFTER_TICKET had finished before
   the report was taken.  */
void
rank_report_to_frame (const rank_report_t *report, const char *upstream,
                      uint64_t after_ticket, frame_t *frame)
{
  *frame = (frame_t){
    .header.type = FRAME_RANK_REPORT,
    .body.rank_report = {
      .upstream = upstream,
      .group = report->group,
      .group_epoch = report->epoch,
      .rank = report->rank,
      .rank_count = report->rank_count,
      .is_open = report->is_open,
      .started_ms = (uint64_t)report->started_ms,
      .step = report->step,
      .map_version = report->map_version,
      .has_prepared = report->has_prepared,
      .prepared_version = report->prepared_version,
      .is_armed = report->is_armed,
      .armed_version = report->armed_version,
          .armed_step = report->armed_step,
      .is_held = report->is_held,
      .hold_step = report->hold_step,
      .running = report->running,
      .waiting = report->waiting,
      .used_tokens = report->used_tokens,
      .total_tokens = report->total_tokens,
      .slowdown_permille = slowdown_permille (report->slowdown),
      .after_ticket = after_ticket,
    },
  };
}

/* Decodes a report; its text belongs to the frame.  */
void
rank_report_from_frame (const frame_rank_report_t *body, rank_report_t *report)
{
  *report = (rank_report_t){
    .group = body->group,
    .epoch = body->group_epoch,
    .rank = body->rank,
    .rank_count = body->rank_count,
    .is_open = body->is_open,
    .started_ms = (int64_t)body->started_ms,
    .step = body->step,
    .map_version = body->map_version,
    .has_prepared = body->has_prepared,
    .prepared_version = body->prepared_version,
    .is_armed = body->is_armed,
    .armed_version = body->armed_version,
    .armed_step = body->armed_step,
    .is_held = body->is_held,
    .hold_step = body->hold_step,
    .running = body->running,
    .waiting = body->waiting,
    .used_tokens = body->used_tokens,
    .total_tokens = body->total_tokens,
    .slowdown = (double)body->slowdown_permille / FRAME_PERMILLE,
  };
}

static size_t
map_slot_count (const placement_shape_t *shape)
{
  return (size_t)shape->layers * shape->ranks * shape->slots;
}

static size_t
map_write_header (uint64_t *numbers, const placement_shape_t *shape,
                  bool has_base)
{
  numbers[0] = shape->layers;
  numbers[1] = shape->ranks;
  numbers[2] = shape->experts;
  numbers[3] = shape->slots;
  numbers[4] = has_base;
  return MAP_HEADER_NUMBERS;
}

/* Encodes the whole of MAP.  The bytes belong to PARENT; there are none when
   memory is exhausted.  */
blob_t
rank_map_encode (TALLOC_CTX *parent, const placement_map_t *map)
{
  size_t slots = map_slot_count (&map->shape);
  uint64_t *numbers
      = talloc_array (parent, uint64_t, MAP_HEADER_NUMBERS + slots);
  blob_t blob = { 0 };
  size_t count;

  if (numbers == NULL)
    return blob;
  count = map_write_header (numbers, &map->shape, false);
  for (size_t i = 0; i < slots; i++)
    numbers[count++] = map->slots[i].expert;
  blob = numbers_encode (parent, numbers, count);
  talloc_free (numbers);
  return blob;
}

/* Returns the slot of the cell at SLOTS that holds EXPERT, or NULL.  */
static placement_slot_t *
cell_find (placement_slot_t *slots, unsigned slot_count, uint64_t expert)
{
  for (unsigned i = 0; i < slot_count; i++)
    {
      if (slots[i].expert == expert)
        return &slots[i];
    }
  return NULL;
}

/* Returns the next expert from SLOT *AT of the cell LEFT on that the cell
   RIGHT does not hold, or PLACEMENT_SLOT_FREE.  */
static uint64_t
cell_next_missing (placement_slot_t *left, placement_slot_t *right,
                   unsigned slot_count, unsigned *at)
{
  while (*at < slot_count)
    {
      uint64_t expert = left[(*at)++].expert;

      if (expert != PLACEMENT_SLOT_FREE
          && cell_find (right, slot_count, expert) == NULL)
        return expert;
    }
  return PLACEMENT_SLOT_FREE;
}

/* Encodes MAP as the changes to BASE, which has the same shape.  The bytes
   belong to PARENT; there are none when memory is exhausted.  */
blob_t
rank_map_encode_changes (TALLOC_CTX *parent, const placement_map_t *base,
                         const placement_map_t *map)
{
  unsigned slots = map->shape.slots;
  size_t cells = (size_t)map->shape.layers * map->shape.ranks;
  uint64_t *numbers
      = talloc_array (parent, uint64_t,
                      MAP_HEADER_NUMBERS + 1
                          + MAP_CHANGE_NUMBERS * map_slot_count (&map->shape));
  blob_t blob = { 0 };
  size_t last_cell = 0;
  size_t count;

  if (numbers == NULL)
    return blob;
  count = map_write_header (numbers, &map->shape, true);
  numbers[count++] = placement_map_digest (base);
  for (size_t cell = 0; cell < cells; cell++)
    {
      placement_slot_t *before = &base->slots[cell * slots];
      placement_slot_t *after = &map->slots[cell * slots];
      unsigned before_at = 0;
      unsigned after_at = 0;

      while (true)
        {
          uint64_t leaves
              = cell_next_missing (before, after, slots, &before_at);
          uint64_t joins = cell_next_missing (after, before, slots, &after_at);

          if (leaves == PLACEMENT_SLOT_FREE && joins == PLACEMENT_SLOT_FREE)
            break;
          numbers[count++] = cell - last_cell;
          numbers[count++] = leaves;
          numbers[count++] = joins;
          last_cell = cell;
        }
    }
  blob = numbers_encode (parent, numbers, count);
  talloc_free (numbers);
  return blob;
}

/* Applies the COUNT numbers of changes at NUMBERS to MAP.  Returns false if
   they do not fit.  */
static bool
map_apply_changes (placement_map_t *map, const uint64_t *numbers, size_t count)
{
  unsigned slots = map->shape.slots;
  size_t cells = (size_t)map->shape.layers * map->shape.ranks;
  size_t cell = 0;

  if (count % MAP_CHANGE_NUMBERS != 0)
    return false;
  for (size_t i = 0; i < count; i += MAP_CHANGE_NUMBERS)
    {
      placement_slot_t *slot;

      if (numbers[i] >= cells - cell)
        return false;
      cell += numbers[i];
      slot = cell_find (&map->slots[cell * slots], slots, numbers[i + 1]);
      if (slot == NULL
          || (numbers[i + 2] >= map->shape.experts
              && numbers[i + 2] != PLACEMENT_SLOT_FREE))
        return false;
      slot->expert = (uint16_t)numbers[i + 2];
    }
  return true;
}

static bool
map_read_shape (const uint64_t *numbers, size_t count,
                placement_shape_t *shape)
{
  if (count < MAP_HEADER_NUMBERS || numbers[MAP_HEADER_NUMBERS - 1] > 1
      || numbers[0] > PLACEMENT_MAX_LAYERS || numbers[1] > PLACEMENT_MAX_RANKS
      || numbers[2] > PLACEMENT_MAX_EXPERTS
      || numbers[3] > PLACEMENT_MAX_SLOTS)
    return false;
  *shape = (placement_shape_t){ .layers = (unsigned)numbers[0],
                                .ranks = (unsigned)numbers[1],
                                .experts = (unsigned)numbers[2],
                                .slots = (unsigned)numbers[3] };
  return true;
}

static placement_map_t *
map_decode_whole (TALLOC_CTX *parent, const placement_shape_t *shape,
                  const uint64_t *numbers, size_t count)
{
  placement_map_t *map = placement_map_create (parent, shape);

  if (map == NULL || count != map_slot_count (shape))
    {
      talloc_free (map);
      return NULL;
    }
  for (size_t i = 0; i < count; i++)
    {
      if (numbers[i] >= shape->experts && numbers[i] != PLACEMENT_SLOT_FREE)
        {
          talloc_free (map);
          return NULL;
        }
      map->slots[i].expert = (uint16_t)numbers[i];
    }
  return map;
}

/* Decodes ENCODED into *MAP, which belongs to PARENT.  Returns
   STATUS_NOT_FOUND when HISTORY lacks the base.  */
static status_t
map_decode (TALLOC_CTX *parent, blob_t encoded, map_history_t *history,
            placement_map_t **map)
{
  size_t count = 0;
  uint64_t *numbers = numbers_decode (parent, encoded, &count);
  const placement_map_t *base = NULL;
  placement_shape_t shape;
  bool has_base;

  *map = NULL;
  if (numbers == NULL || !map_read_shape (numbers, count, &shape))
    {
      talloc_free (numbers);
      return status_set (STATUS_PROTOCOL, "the map in a command is malformed");
    }
  has_base
      = numbers[MAP_HEADER_NUMBERS - 1] != 0 && count > MAP_HEADER_NUMBERS;
  if (has_base)
    base = map_history_find (history, &shape, numbers[MAP_HEADER_NUMBERS]);
  if (base != NULL)
    *map = placement_map_copy (parent, base);
  if (*map != NULL
      && !map_apply_changes (*map, numbers + MAP_HEADER_NUMBERS + 1,
                             count - MAP_HEADER_NUMBERS - 1))
    TALLOC_FREE (*map);
  if (!has_base)
    *map = map_decode_whole (parent, &shape, numbers + MAP_HEADER_NUMBERS,
                             count - MAP_HEADER_NUMBERS);
  talloc_free (numbers);
  if (*map != NULL)
    {
      placement_map_sort (*map);
      return STATUS_OK;
    }
  return has_base && base == NULL
             ? status_set (STATUS_NOT_FOUND, "the base of a map is unknown")
             : status_set (STATUS_PROTOCOL,
                           "the map in a command is malformed");
}

/* Encodes the command COMMAND with TICKET in FRAME.  MAP is the encoded map of
   RANK_COMMAND_PREPARE; FRAME points to it.  */
void
rank_command_to_frame (uint64_t ticket, const rank_command_t *command,
                       blob_t map, frame_t *frame)
{
  *frame = (frame_t){
    .header.type = FRAME_RANK_COMMAND,
    .body.rank_command = {
      .ticket = ticket,
      .kind = command->kind,
      .fence = command->fence,
      .group_epoch = command->epoch,
      .version = command->version,
      .step = command->step,
    },
  };
  if (command->kind == RANK_COMMAND_PREPARE)
    frame->body.rank_command.map = map;
}

/* Decodes a command; its map belongs to PARENT.  Returns STATUS_PROTOCOL
   when it is malformed, and STATUS_NOT_FOUND when its map is based on one that
   HISTORY lacks.  */
status_t
rank_command_from_frame (TALLOC_CTX *parent, const frame_rank_command_t *body,
                         map_history_t *history, rank_command_t *command)
{
  placement_map_t *map;
  status_t status;

  if (body->kind >= RANK_COMMAND_KIND_COUNT)
    return status_set (STATUS_PROTOCOL, "unknown command to a rank");
  *command = (rank_command_t){
    .kind = (rank_command_kind_t)body->kind,
    .fence = body->fence,
    .epoch = body->group_epoch,
    .version = body->version,
    .step = body->step,
  };
  if (command->kind != RANK_COMMAND_PREPARE)
    return STATUS_OK;
  status = map_decode (parent, body->map, history, &map);
  command->map = map;
  return status;
}

/* Encodes COUNT levels.  */
blob_t
rank_counts_encode (TALLOC_CTX *parent, const uint8_t *levels, size_t count)
{
  size_t size = 1 + (count + 1) / 2;
  unsigned char *bytes = talloc_zero_array (parent, unsigned char, size);

  if (bytes == NULL)
    return (blob_t){ 0 };
  bytes[0] = count % 2;
  for (size_t i = 0; i < count; i++)
    bytes[1 + i / 2] |= levels[i] << (i % 2 * COUNT_BITS);
  return (blob_t){ .data = (const char *)bytes, .size = size };
}

/* Decodes the result of rank_counts_encode.  */
uint64_t *
rank_counts_decode (TALLOC_CTX *parent, blob_t encoded, uint64_t unit,
                    size_t *count)
{
  const unsigned char *bytes = (const unsigned char *)encoded.data;
  uint64_t *numbers;

  if (encoded.size < 2 || bytes[0] > 1 || unit < 1 || unit > UINT32_MAX)
    return NULL;
  *count = 2 * (encoded.size - 1) - bytes[0];
  numbers = talloc_array (parent, uint64_t, *count);
  for (size_t i = 0; numbers != NULL && i < *count; i++)
    {
      unsigned level = bytes[1 + i / 2] >> (i % 2 * COUNT_BITS) & COUNT_MASK;

      numbers[i] = unit * count_level_value (level);
    }
  return numbers;
}
