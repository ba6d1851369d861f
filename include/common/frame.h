#ifndef SISKIN_COMMON_FRAME_H
#define SISKIN_COMMON_FRAME_H

#include "common/outcome.h"
#include "kernel/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

enum
{
  FRAME_PROTOCOL_VERSION = 1,
  FRAME_PREFIX_BYTES = 4,
  FRAME_MAX_BYTES = 4 * 1024 * 1024,
  FRAME_CHUNK_BYTES = 64 * 1024,
  FRAME_PERMILLE = 1000 /* units of a whole, in numbers of frames */
};

/* Bytes that belong to someone else.  */
typedef struct blob
{
  const char *data;
  size_t size;
} blob_t;

typedef enum frame_type
{
  FRAME_HELLO = 1,
  FRAME_PING,
  FRAME_SUBMIT,
  FRAME_HEAD,
  FRAME_CHUNK,
  FRAME_ACK,
  FRAME_END,
  FRAME_REFUSE,
  FRAME_CANCEL,
  FRAME_RESUME,
  FRAME_LOAD,
  FRAME_SETTINGS_REQUEST,
  FRAME_SETTINGS,
  FRAME_MAP_COMMAND,
  FRAME_MAP_REPLY,
  FRAME_MAP_COUNTS,
  FRAME_RANK_REPORT,
  FRAME_RANK_COMMAND,
  FRAME_RANK_VERDICT,
  FRAME_RANK_QUERY,
  FRAME_RANK_HEARTBEAT,
  FRAME_RANK_QUERY_REPLY,
  FRAME_TYPE_COUNT
} frame_type_t;

/* On every frame: who sent it, and the newest settings the sender knows.  */
typedef struct frame_header
{
  frame_type_t type;
  uint64_t incarnation;
  uint64_t settings_revision;
  uint64_t confirmed_age_ms; /* since the revision was seen in the store */
  uint64_t sent_ms;          /* by the sender's clock, from any start */
  uint64_t echo_ms;          /* newest SENT_MS seen of the receiver, or 0 */
  uint64_t is_settled;       /* 0 or 1: in touch for some time; node.h */
  request_id_t request;      /* zero when the frame concerns none */
} frame_header_t;

typedef struct frame_hello
{
  uint64_t version;
  uint64_t role; /* node_role_t */
  const char *name;
  const char *zone;
} frame_hello_t;

typedef struct frame_submit
{
  const char *account;
  const char *service;
  const char *method;
  const char *path;
  const char *content_type;
  const char *key;      /* idempotency key, or "" */
  uint64_t deadline_ms; /* from receipt */
  uint64_t prompt_tokens;
  uint64_t output_tokens;
  bool is_repeatable;
  blob_t body;
} frame_submit_t;

typedef struct frame_head
{
  uint64_t http_status;
  const char *content_type;
} frame_head_t;

typedef struct frame_chunk
{
  uint64_t offset;
  blob_t data;
} frame_chunk_t;

/* Offset up to which the receiver has passed the answer on (ACK), or from
   which it wants it again (RESUME).  */
typedef struct frame_offset
{
  uint64_t offset;
  bool is_final;   /* ACK: the end was received too */
  uint64_t age_ms; /* RESUME: since the entry sent the SUBMIT */
} frame_offset_t;

typedef struct frame_end
{
  uint64_t outcome; /* outcome_t */
  uint64_t length;  /* of the whole answer, in bytes */
  bool is_complete; /* false: the answer broke off */
  const char *detail;
} frame_end_t;

typedef struct frame_refuse
{
  uint64_t refusal; /* refusal_t */
  uint64_t outcome; /* outcome_t */
  uint64_t retry_after_ms;
  const char *detail;
} frame_refuse_t;

typedef struct frame_load
{
  uint64_t outstanding_requests;
  uint64_t outstanding_tokens;
  uint64_t limit_requests;
  uint64_t limit_tokens;
  uint64_t queued_requests;
  bool is_cold;
  bool is_leaving;
} frame_load_t;

typedef struct frame_settings
{
  uint64_t revision;
  blob_t document;
} frame_settings_t;

/* An order of the expert-map switch; see docs/MAP-SWITCH.md.  */
typedef struct frame_map_command
{
  uint64_t kind; /* group_command_kind_t */
  const char *group;
  uint64_t rank;
  uint64_t incarnation; /* of the rank */
  uint64_t epoch;
  uint64_t round;
  uint64_t phase; /* group_phase_t; the rest of the schedule follows */
  uint64_t base;
  uint64_t next;
  uint64_t step;
  bool wants_counts;
  blob_t maps;
} frame_map_command_t;

typedef struct frame_map_reply
{
  uint64_t kind; /* of the order, whose fence follows the incarnation */
  const char *group;
  uint64_t rank;
  uint64_t incarnation;
  uint64_t epoch;
  uint64_t round;
  uint64_t highest_fence_epoch;
  uint64_t highest_fence_round;
  bool is_accepted;
  uint64_t phase;
  uint64_t base;
  uint64_t next;
  uint64_t step;
  uint64_t current_step;
  blob_t maps;
} frame_map_reply_t;

/* What a rank computed, summed up since its engine took the map VERSION.  */
typedef struct frame_map_counts
{
  const char *group;
  uint64_t rank;
  uint64_t incarnation;
  uint64_t version;
  uint64_t work;    /* tokens */
  uint64_t busy_us; /* without the wait for other ranks */
  blob_t tokens;    /* by layer and slot */
} frame_map_counts_t;

/* What a rank's engine reports, from its pilot; see rank_report_t.  */
typedef struct frame_rank_report
{
  const char *upstream; /* address of the engine */
  const char *group;
  uint64_t epoch;
  uint64_t rank;
  uint64_t rank_count;
  bool is_open;
  uint64_t started_ms;
  uint64_t step;
  uint64_t map;
  bool has_prepared;
  uint64_t prepared;
  bool is_armed;
  uint64_t armed;
  uint64_t armed_step;
  bool is_held;
  uint64_t held;
  uint64_t running;
  uint64_t waiting;
  uint64_t used_tokens;
  uint64_t total_tokens;
  uint64_t slowdown_permille;
  uint64_t after_ticket; /* the receiver's orders up to it were over before */
} frame_rank_report_t;

/* An order to a rank's engine, through its pilot; see rank_command_t.  */
typedef struct frame_rank_command
{
  uint64_t ticket;
  uint64_t kind; /* rank_command_kind_t */
  uint64_t fence;
  uint64_t epoch;
  uint64_t version;
  uint64_t step;
  blob_t map; /* numbers: the shape and the expert of each slot */
} frame_rank_command_t;

typedef struct frame_rank_verdict
{
  uint64_t ticket;
  uint64_t verdict; /* rank_verdict_t */
} frame_rank_verdict_t;

/* Sign of life of a group's leader.  */
typedef struct frame_rank_heartbeat
{
  uint64_t over_ticket; /* the rank's orders up to it are over */
  uint64_t term;        /* of the leader */
} frame_rank_heartbeat_t;

typedef struct frame_rank_query
{
  uint64_t ticket;
  uint64_t question; /* rank_query_t */
  uint64_t
      term; /* of the leader; RANK_QUERY_ARM_PERMISSION only, like the next */
  uint64_t version;
} frame_rank_query_t;

typedef struct frame_rank_query_reply
{
  uint64_t ticket;
  bool is_known; /* false: the engine did not answer */
  uint64_t epoch;
  uint64_t version;
  blob_t numbers;
} frame_rank_query_reply_t;

typedef struct frame
{
  frame_header_t header;
  union
  {
    frame_hello_t hello;
    frame_submit_t submit;
    frame_head_t head;
    frame_chunk_t chunk;
    frame_offset_t offset;
    frame_end_t end;
    frame_refuse_t refuse;
    frame_load_t load;
    frame_settings_t settings;
    frame_map_command_t map_command;
    frame_map_reply_t map_reply;
    frame_map_counts_t map_counts;
    frame_rank_report_t rank_report;
    frame_rank_command_t rank_order;
    frame_rank_verdict_t rank_verdict;
    frame_rank_heartbeat_t rank_heartbeat;
    frame_rank_query_t rank_query;
    frame_rank_query_reply_t rank_told;
  } body;
} frame_t;

char *frame_encode (TALLOC_CTX *parent, const frame_t *frame,
                    size_t *encoded_size);
status_t frame_decode (TALLOC_CTX *parent, const char *payload, size_t size,
                       frame_t *frame);

#endif
