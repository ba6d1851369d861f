#include "pilot/rank_codec.h"

#include "common/numbers.h"

enum
{
  MAP_HEADER_NUMBERS = 4
};

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
};

/* Returns the name of KIND for the log.  */
const char *
rank_command_name (rank_command_kind_t kind)
{
  return command_names[kind];
}

/* Returns the name of VERDICT for the log.  */
const char *
rank_verdict_name (rank_verdict_t verdict)
{
  return verdict_names[verdict];
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
      .slowdown_permille = (uint64_t)(report->slowdown * FRAME_PERMILLE),
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

static blob_t
map_encode (TALLOC_CTX *parent, const placement_map_t *map)
{
  size_t slots = map_slot_count (&map->shape);
  uint64_t *numbers
      = talloc_array (parent, uint64_t, MAP_HEADER_NUMBERS + slots);
  blob_t blob;

  numbers[0] = map->shape.layers;
  numbers[1] = map->shape.ranks;
  numbers[2] = map->shape.experts;
  numbers[3] = map->shape.slots;
  for (size_t i = 0; i < slots; i++)
    numbers[MAP_HEADER_NUMBERS + i] = map->slots[i].expert;
  blob = numbers_encode (parent, numbers, MAP_HEADER_NUMBERS + slots);
  talloc_free (numbers);
  return blob;
}

static placement_map_t *
map_decode (TALLOC_CTX *parent, blob_t encoded)
{
  size_t count = 0;
  uint64_t *numbers = numbers_decode (parent, encoded, &count);
  placement_map_t *map = NULL;

  if (numbers != NULL && count >= MAP_HEADER_NUMBERS
      && numbers[0] <= PLACEMENT_MAX_LAYERS
      && numbers[1] <= PLACEMENT_MAX_RANKS
      && numbers[2] <= PLACEMENT_MAX_EXPERTS
      && numbers[3] <= PLACEMENT_MAX_SLOTS)
    {
      placement_shape_t shape = { .layers = (unsigned)numbers[0],
                                  .ranks = (unsigned)numbers[1],
                                  .experts = (unsigned)numbers[2],
                                  .slots = (unsigned)numbers[3] };

      if (count == MAP_HEADER_NUMBERS + map_slot_count (&shape))
        map = placement_map_create (parent, &shape);
    }
  for (size_t i = 0; map != NULL && i < count - MAP_HEADER_NUMBERS; i++)
    map->slots[i].expert = (uint16_t)numbers[MAP_HEADER_NUMBERS + i];
  talloc_free (numbers);
  return map;
}

/* Encodes the command COMMAND with TICKET in FRAME; data that FRAME points
   to belongs to PARENT.  */
void
rank_command_to_frame (TALLOC_CTX *parent, uint64_t ticket,
                       const rank_command_t *command, frame_t *frame)
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
    frame->body.rank_command.map = map_encode (parent, command->map);
}

/* Decodes a command; its map belongs to PARENT.  Returns STATUS_PROTOCOL
   when it is malformed.  */
status_t
rank_command_from_frame (TALLOC_CTX *parent, const frame_rank_command_t *body,
                         rank_command_t *command)
{
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
  command->map = map_decode (parent, body->map);
  return command->map != NULL
             ? STATUS_OK
             : status_set (STATUS_PROTOCOL,
                           "the map in a command is malformed");
}
