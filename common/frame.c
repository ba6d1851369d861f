#include "common/frame.h"

#include "common/flat_array.h"

#include <arpa/inet.h>
#include <msgpack.h>
#include <string.h>

enum
{
  HEADER_FIELD_COUNT = 10, /* array items before those of the body */
  MAX_BODY_FIELDS = 24,
  MAX_STRING_BYTES = 4096,
  MAX_HTTP_STATUS = 999
};

/* A frame is a MessagePack array of integers, booleans, strings and binary
   data: first the members of frame_header_t, then those of the body in the
   order given by frame_layouts.  */

typedef enum field_kind
{
  FIELD_NONE,
  FIELD_UNSIGNED,
  FIELD_BOOLEAN,
  FIELD_STRING,
  FIELD_BLOB
} field_kind_t;

/* Describes a member of a frame's body.  MAXIMUM limits the value of an
   integer, or the size of a string or blob.  0 means that an integer has no
   limit.  */
typedef struct field
{
  field_kind_t kind;
  size_t offset;
  uint64_t maximum;
} field_t;

typedef struct frame_layout
{
  const char *name; /* name of the frame type, for error messages */
  field_t fields[MAX_BODY_FIELDS];
} frame_layout_t;

#define UNSIGNED(member, maximum)                                             \
  {                                                                           \
    FIELD_UNSIGNED, offsetof (frame_t, body.member), (maximum)                \
  }
#define BOOLEAN(member)                                                       \
  {                                                                           \
    FIELD_BOOLEAN, offsetof (frame_t, body.member), 0                         \
  }
#define STRING(member)                                                        \
  {                                                                           \
    FIELD_STRING, offsetof (frame_t, body.member), MAX_STRING_BYTES           \
  }
#define BLOB(member)                                                          \
  {                                                                           \
    FIELD_BLOB, offsetof (frame_t, body.member), FRAME_MAX_BYTES              \
  }

static const frame_layout_t frame_layouts[FRAME_TYPE_COUNT] = {
  [FRAME_HELLO] = { "hello",
                    { UNSIGNED (hello.version, 0), UNSIGNED (hello.role, 0),
                      STRING (hello.name), STRING (hello.zone) } },
  [FRAME_PING] = { "ping", { { FIELD_NONE, 0, 0 } } },
  [FRAME_SUBMIT]
  = { "submit",
      { STRING (submit.account), STRING (submit.service),
        STRING (submit.method), STRING (submit.path),
        STRING (submit.content_type), STRING (submit.key),
        UNSIGNED (submit.deadline_ms, 0), UNSIGNED (submit.prompt_tokens, 0),
        UNSIGNED (submit.output_tokens, 0), BOOLEAN (submit.is_repeatable),
        BLOB (submit.body) } },
  [FRAME_HEAD] = { "head",
                   { UNSIGNED (head.http_status, MAX_HTTP_STATUS),
                     STRING (head.content_type) } },
  [FRAME_CHUNK]
  = { "chunk", { UNSIGNED (chunk.offset, 0), BLOB (chunk.data) } },
  [FRAME_ACK]
  = { "ack", { UNSIGNED (offset.offset, 0), BOOLEAN (offset.is_final) } },
  [FRAME_END]
  = { "end",
      { UNSIGNED (end.outcome, OUTCOME_COUNT - 1), UNSIGNED (end.length, 0),
        BOOLEAN (end.is_complete), STRING (end.detail) } },
  [FRAME_REFUSE]
  = { "refuse",
      { UNSIGNED (refuse.refusal, REFUSAL_COUNT - 1),
        UNSIGNED (refuse.outcome, OUTCOME_COUNT - 1),
        UNSIGNED (refuse.retry_after_ms, 0), STRING (refuse.detail) } },
  [FRAME_CANCEL] = { "cancel", { { FIELD_NONE, 0, 0 } } },
  [FRAME_RESUME]
  = { "resume", { UNSIGNED (offset.offset, 0), UNSIGNED (offset.age_ms, 0) } },
  [FRAME_LOAD]
  = { "load",
      { UNSIGNED (load.outstanding_requests, 0),
        UNSIGNED (load.outstanding_tokens, 0),
        UNSIGNED (load.limit_requests, 0), UNSIGNED (load.limit_tokens, 0),
        UNSIGNED (load.queued_requests, 0), BOOLEAN (load.is_cold),
        BOOLEAN (load.is_leaving) } },
  [FRAME_SETTINGS_REQUEST] = { "settings-want", { { FIELD_NONE, 0, 0 } } },
  [FRAME_SETTINGS]
  = { "settings",
      { UNSIGNED (settings.revision, 0), BLOB (settings.document) } },
  [FRAME_MAP_COMMAND]
  = { "map-order",
      { UNSIGNED (map_command.kind, 0), STRING (map_command.group),
        UNSIGNED (map_command.rank, 0), UNSIGNED (map_command.incarnation, 0),
        UNSIGNED (map_command.fence_epoch, 0),
        UNSIGNED (map_command.fence_round, 0), UNSIGNED (map_command.phase, 0),
        UNSIGNED (map_command.base_version, 0),
        UNSIGNED (map_command.next_version, 0),
        UNSIGNED (map_command.switch_step, 0),
        BOOLEAN (map_command.wants_counts), BLOB (map_command.maps) } },
  [FRAME_MAP_REPLY]
  = { "map-reply",
      { UNSIGNED (map_reply.kind, 0), STRING (map_reply.group),
        UNSIGNED (map_reply.rank, 0), UNSIGNED (map_reply.incarnation, 0),
        UNSIGNED (map_reply.command_fence_epoch, 0),
        UNSIGNED (map_reply.command_fence_round, 0),
        UNSIGNED (map_reply.highest_fence_epoch, 0),
        UNSIGNED (map_reply.highest_fence_round, 0),
        BOOLEAN (map_reply.is_accepted), UNSIGNED (map_reply.phase, 0),
        UNSIGNED (map_reply.base_version, 0),
        UNSIGNED (map_reply.next_version, 0),
        UNSIGNED (map_reply.switch_step, 0),
        UNSIGNED (map_reply.current_step, 0), BLOB (map_reply.maps) } },
  [FRAME_MAP_COUNTS]
  = { "map-counts",
      { STRING (map_counts.group), UNSIGNED (map_counts.rank, 0),
        UNSIGNED (map_counts.incarnation, 0), UNSIGNED (map_counts.version, 0),
        UNSIGNED (map_counts.work, 0), UNSIGNED (map_counts.busy_us, 0),
        BLOB (map_counts.tokens) } },
  [FRAME_RANK_REPORT] = { "rank-report",
                          { STRING (rank_report.upstream),
                            STRING (rank_report.group),
                            UNSIGNED (rank_report.group_epoch, 0),
                            UNSIGNED (rank_report.rank, 0),
                            UNSIGNED (rank_report.rank_count, 0),
                            BOOLEAN (rank_report.is_open),
                            UNSIGNED (rank_report.started_ms, 0),
                            UNSIGNED (rank_report.step, 0),
                            UNSIGNED (rank_report.map_version, 0),
                            BOOLEAN (rank_report.has_prepared),
                            UNSIGNED (rank_report.prepared_version, 0),
                            BOOLEAN (rank_report.is_armed),
                            UNSIGNED (rank_report.armed_version, 0),
                            UNSIGNED (rank_report.armed_step, 0),
                            BOOLEAN (rank_report.is_held),
                            UNSIGNED (rank_report.hold_step, 0),
                            UNSIGNED (rank_report.running, 0),
                            UNSIGNED (rank_report.waiting, 0),
                            UNSIGNED (rank_report.used_tokens, 0),
                            UNSIGNED (rank_report.total_tokens, 0),
                            UNSIGNED (rank_report.slowdown_permille, 0),
                            UNSIGNED (rank_report.after_ticket, 0) } },
  [FRAME_RANK_COMMAND]
  = { "rank-order",
      { UNSIGNED (rank_command.ticket, 0), UNSIGNED (rank_command.kind, 0),
        UNSIGNED (rank_command.fence, 0),
        UNSIGNED (rank_command.group_epoch, 0),
        UNSIGNED (rank_command.version, 0), UNSIGNED (rank_command.step, 0),
        BLOB (rank_command.map) } },
  [FRAME_RANK_VERDICT] = { "rank-verdict",
                           { UNSIGNED (rank_verdict.ticket, 0),
                             UNSIGNED (rank_verdict.verdict, 0) } },
  [FRAME_RANK_QUERY]
  = { "rank-ask",
      { UNSIGNED (rank_query.ticket, 0), UNSIGNED (rank_query.query, 0),
        UNSIGNED (rank_query.term, 0), UNSIGNED (rank_query.version, 0) } },
  [FRAME_RANK_HEARTBEAT] = { "rank-led",
                             { UNSIGNED (rank_heartbeat.completed_ticket, 0),
                               UNSIGNED (rank_heartbeat.term, 0) } },
  [FRAME_RANK_QUERY_REPLY] = { "rank-told",
                               { UNSIGNED (rank_query_reply.ticket, 0),
                                 BOOLEAN (rank_query_reply.is_successful),
                                 UNSIGNED (rank_query_reply.group_epoch, 0),
                                 UNSIGNED (rank_query_reply.version, 0),
                                 BLOB (rank_query_reply.numbers) } },
  [FRAME_ENGINE_LOST] = { "engine-lost", { STRING (engine_lost.upstream) } },
  [FRAME_SUSPECT]
  = { "suspect",
      { BOOLEAN (suspect.is_update), UNSIGNED (suspect.segment, 0),
        UNSIGNED (suspect.answered_age_ms, 0),
        UNSIGNED (suspect.probe_age_ms, 0), BLOB (suspect.crashes) } },
  [FRAME_RATE_LIMIT]
  = { "rate-limit",
      { BOOLEAN (rate_limit.is_update), UNSIGNED (rate_limit.upstream, 0),
        BOOLEAN (rate_limit.is_limited),
        UNSIGNED (rate_limit.limit_permille, INT64_MAX),
        UNSIGNED (rate_limit.seen_age_ms, INT32_MAX),
        UNSIGNED (rate_limit.since_age_ms, INT32_MAX) } },
};

static unsigned
layout_field_count (const frame_layout_t *layout)
{
  unsigned count = 0;

  while (count < MAX_BODY_FIELDS && layout->fields[count].kind != FIELD_NONE)
    count++;
  return count;
}

static void
pack_string (msgpack_packer *packer, const char *text)
{
  size_t size = text == NULL ? 0 : strlen (text);

  msgpack_pack_str (packer, size);
  msgpack_pack_str_body (packer, text == NULL ? "" : text, size);
}

static void
pack_field (msgpack_packer *packer, const field_t *field, const frame_t *frame)
{
  const char *member_address = (const char *)frame + field->offset;
  const blob_t *blob = (const blob_t *)(const void *)member_address;

  switch (field->kind)
    {
    case FIELD_UNSIGNED:
      msgpack_pack_uint64 (packer,
                           *(const uint64_t *)(const void *)member_address);
      break;
    case FIELD_BOOLEAN:
      if (*(const bool *)member_address)
        msgpack_pack_true (packer);
      else
        msgpack_pack_false (packer);
      break;
    case FIELD_STRING:
      pack_string (packer, *(const char *const *)(const void *)member_address);
      break;
    case FIELD_BLOB:
      msgpack_pack_bin (packer, blob->size);
      msgpack_pack_bin_body (packer, blob->data, blob->size);
      break;
    case FIELD_NONE:
      break;
    }
}

/* Return whether no string of FRAME exceeds the maximum that peers accept.  */
static bool
frame_strings_fit (const frame_t *frame, const frame_layout_t *layout)
{
  for (unsigned i = 0; i < layout_field_count (layout); i++)
    {
      const field_t *field = &layout->fields[i];
      const char *member_address = (const char *)frame + field->offset;
      const char *text;

      if (field->kind != FIELD_STRING)
        continue;
      text = *(const char *const *)(const void *)member_address;
      if (text != NULL && strlen (text) > field->maximum)
        return false;
    }
  return true;
}

/* Encode FRAME with its length prefix and set *ENCODED_SIZE.  Returns a buffer
   owned by PARENT, or NULL when the frame or a string in it is too large or
   memory is exhausted.  */
char *
frame_encode (TALLOC_CTX *parent, const frame_t *frame, size_t *encoded_size)
{
  const frame_layout_t *layout = &frame_layouts[frame->header.type];
  unsigned field_count = layout_field_count (layout);
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  char *encoded = NULL;
  uint32_t prefix;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, HEADER_FIELD_COUNT + field_count);
  msgpack_pack_uint64 (&packer, FRAME_PROTOCOL_VERSION);
  msgpack_pack_uint64 (&packer, frame->header.type);
  msgpack_pack_uint64 (&packer, frame->header.incarnation);
  msgpack_pack_uint64 (&packer, frame->header.settings_revision);
  msgpack_pack_uint64 (&packer, frame->header.confirmed_age_ms);
  msgpack_pack_uint64 (&packer, frame->header.sent_ms);
  msgpack_pack_uint64 (&packer, frame->header.echo_ms);
  msgpack_pack_uint64 (&packer, frame->header.is_settled);
  msgpack_pack_uint64 (&packer, frame->header.request.incarnation);
  msgpack_pack_uint64 (&packer, frame->header.request.sequence);
  for (unsigned i = 0; i < field_count; i++)
    pack_field (&packer, &layout->fields[i], frame);
  if (buffer.size <= FRAME_MAX_BYTES && frame_strings_fit (frame, layout))
    encoded = talloc_array (parent, char, FRAME_PREFIX_BYTES + buffer.size);
  if (encoded != NULL)
    {
      prefix = htonl ((uint32_t)buffer.size);
      memcpy (encoded, &prefix, FRAME_PREFIX_BYTES);
      memcpy (encoded + FRAME_PREFIX_BYTES, buffer.data, buffer.size);
      *encoded_size = FRAME_PREFIX_BYTES + buffer.size;
    }
  msgpack_sbuffer_destroy (&buffer);
  return encoded;
}

/* Store OBJECT in the member of FRAME described by FIELD.  Returns false when
   it has the wrong type, exceeds the maximum or memory is exhausted.  */
static bool
unpack_field (TALLOC_CTX *parent, const field_t *field,
              const msgpack_object *object, frame_t *frame)
{
  char *member_address = (char *)frame + field->offset;
  blob_t *blob = (blob_t *)(void *)member_address;
  const char *bytes;
  char *text;

  switch (field->kind)
    {
    case FIELD_UNSIGNED:
      if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER
          || (field->maximum != 0 && object->via.u64 > field->maximum))
        return false;
      *(uint64_t *)(void *)member_address = object->via.u64;
      return true;
    case FIELD_BOOLEAN:
      if (object->type != MSGPACK_OBJECT_BOOLEAN)
        return false;
      *(bool *)member_address = object->via.boolean;
      return true;
    case FIELD_STRING:
      if (object->type != MSGPACK_OBJECT_STR
          || object->via.str.size > field->maximum)
        return false;
      /* msgpack sets no address if an empty string ends its bytes.  */
      bytes = object->via.str.size == 0 ? "" : object->via.str.ptr;
      if (memchr (bytes, '\0', object->via.str.size) != NULL)
        return false;
      text = talloc_strndup (parent, bytes, object->via.str.size);
      *(const char **)(void *)member_address = text;
      return text != NULL;
    case FIELD_BLOB:
      if (object->type != MSGPACK_OBJECT_BIN)
        return false;
      blob->size = object->via.bin.size;
      blob->data = talloc_memdup (parent, object->via.bin.ptr, blob->size);
      return blob->data != NULL || blob->size == 0;
    case FIELD_NONE:
      break;
    }
  return false;
}

static bool
unpack_header (const msgpack_object *items, frame_header_t *header)
{
  for (unsigned i = 0; i < HEADER_FIELD_COUNT; i++)
    {
      if (items[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
        return false;
    }
  if (items[0].via.u64 != FRAME_PROTOCOL_VERSION
      || items[1].via.u64 < FRAME_HELLO || items[1].via.u64 >= FRAME_TYPE_COUNT
      || items[7].via.u64 > 1)
    return false;
  header->type = (frame_type_t)items[1].via.u64;
  header->incarnation = items[2].via.u64;
  header->settings_revision = items[3].via.u64;
  header->confirmed_age_ms = items[4].via.u64;
  header->sent_ms = items[5].via.u64;
  header->echo_ms = items[6].via.u64;
  header->is_settled = items[7].via.u64;
  header->request.incarnation = items[8].via.u64;
  header->request.sequence = items[9].via.u64;
  return true;
}

static status_t
unpack_frame (TALLOC_CTX *parent, const msgpack_object *root, frame_t *frame)
{
  const frame_layout_t *layout;
  const msgpack_object *items;

  if (root->type != MSGPACK_OBJECT_ARRAY
      || root->via.array.size < HEADER_FIELD_COUNT)
    return status_set (STATUS_PROTOCOL,
                       "frame is not an array of at least %d items",
                       HEADER_FIELD_COUNT);
  items = root->via.array.ptr;
  if (!unpack_header (items, &frame->header))
    return status_set (STATUS_PROTOCOL, "frame header is malformed");
  layout = &frame_layouts[frame->header.type];
  if (root->via.array.size != HEADER_FIELD_COUNT + layout_field_count (layout))
    return status_set (STATUS_PROTOCOL, "%s frame has %u items", layout->name,
                       root->via.array.size);
  for (unsigned i = 0; i < layout_field_count (layout); i++)
    {
      if (!unpack_field (parent, &layout->fields[i],
                         &items[HEADER_FIELD_COUNT + i], frame))
        return status_set (STATUS_PROTOCOL, "%s frame: field %u is malformed",
                           layout->name, i);
    }
  return STATUS_OK;
}

/* Decode PAYLOAD, a frame without its length prefix, into FRAME.  Strings and
   blobs of the frame are owned by PARENT.  Returns STATUS_PROTOCOL when an
   item is missing, surplus, of the wrong type or out of range.  */
status_t
frame_decode (TALLOC_CTX *parent, const char *payload, size_t size,
              frame_t *frame)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  status_t status;

  memset (frame, 0, sizeof *frame);
  if (!flat_array_is_valid (payload, size,
                            HEADER_FIELD_COUNT + MAX_BODY_FIELDS))
    return status_set (STATUS_PROTOCOL, "frame is not a flat array");
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, payload, size, &offset)
          != MSGPACK_UNPACK_SUCCESS
      || offset != size)
    status = status_set (STATUS_PROTOCOL, "frame is not valid msgpack");
  else
    status = unpack_frame (parent, &unpacked.data, frame);
  msgpack_unpacked_destroy (&unpacked);
  return status;
}
