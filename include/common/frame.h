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
  FRAME_PREFIX_BYTES = 4, /* payload length, in network byte order */
  FRAME_MAX_BYTES = 4 * 1024 * 1024, /* of a payload */
  FRAME_CHUNK_BYTES = 64 * 1024,     /* maximum data of a FRAME_CHUNK */
  FRAME_PERMILLE = 1000              /* represents 1.0 in *_permille fields */
};

/* A reference to bytes that the struct does not own.  */
typedef struct blob
{
  const char *data;
  size_t size;
} blob_t;

typedef enum frame_type
{
  /* Any process to its peer.  */
  FRAME_HELLO = 1, /* first frame in each direction */
  FRAME_PING,      /* keepalive */
  /* Entry to agent and back, about one request.  */
  FRAME_SUBMIT, /* entry: the request */
  FRAME_HEAD,   /* agent: status and content type of the response */
  FRAME_CHUNK,  /* agent: part of the response body */
  FRAME_ACK,    /* entry: progress of delivery to the client */
  FRAME_END,    /* agent: end of the response */
  FRAME_REFUSE, /* agent: the request was refused or failed */
  FRAME_CANCEL, /* entry */
  FRAME_RESUME, /* entry: continue the response on this connection */
  FRAME_LOAD,   /* agent: load of its upstream */
  /* Any process to its peer.  */
  FRAME_SETTINGS_REQUEST,
  FRAME_SETTINGS,
  /* Expert-map switch between the agents of a group.  */
  FRAME_MAP_COMMAND, /* coordinator */
  FRAME_MAP_REPLY,   /* rank */
  FRAME_MAP_COUNTS,  /* rank */
  /* Between pilots, and FRAME_RANK_REPORT from a pilot to a relay too.  */
  FRAME_RANK_REPORT,      /* rank: state of its engine */
  FRAME_RANK_COMMAND,     /* leader: command to the rank's engine */
  FRAME_RANK_VERDICT,     /* rank: result of a command */
  FRAME_RANK_QUERY,       /* leader */
  FRAME_RANK_HEARTBEAT,   /* leader */
  FRAME_RANK_QUERY_REPLY, /* rank */
  FRAME_TYPE_COUNT
} frame_type_t;

/* Part of every frame.  It identifies the sender and its newest settings, and
   carries timestamps from which the receiver computes how old the information
   is at most.  */
typedef struct frame_header
{
  frame_type_t type;
  uint64_t incarnation;
  uint64_t settings_revision;
  uint64_t confirmed_age_ms; /* since the store was last known to hold no newer
                                revision */
  uint64_t sent_ms;     /* on the sender's clock, whose origin is arbitrary */
  uint64_t echo_ms;     /* newest sent_ms that the sender received from the
                           receiver of this frame, or 0 */
  uint64_t is_settled;  /* 0 or 1: the sender has run without a pause for long
                           enough to have received its peers' state */
  request_id_t request; /* zero when the frame is not about a request */
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
  uint64_t deadline_ms; /* remaining time when the frame is received */
  uint64_t prompt_tokens;
  uint64_t output_tokens;
  bool is_repeatable; /* may be sent to the upstream more than once */
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

/* ACK: bytes of the response body that the entry has delivered or, with
   is_final, received.  RESUME: where the agent continues the body.  */
typedef struct frame_offset
{
  uint64_t offset;
  bool is_final;   /* ACK: the FRAME_END was received too */
  uint64_t age_ms; /* RESUME: since the entry sent the FRAME_SUBMIT */
} frame_offset_t;

typedef struct frame_end
{
  uint64_t outcome; /* outcome_t */
  uint64_t length;  /* of the complete response body, in bytes */
  bool is_complete; /* false: the response was interrupted */
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
  uint64_t limit_requests; /* admission limit of the agent */
  uint64_t limit_tokens;
  uint64_t queued_requests;
  bool is_cold;    /* the upstream is in cold start */
  bool is_leaving; /* the upstream or its agent is shutting down */
} frame_load_t;

typedef struct frame_settings
{
  uint64_t revision;
  blob_t document;
} frame_settings_t;

/* A command of the expert-map switch; see docs/MAP-SWITCH.md.  The fence
   consists of epoch and round; phase, base, next and step form a
   group_schedule_t.  */
typedef struct frame_map_command
{
  uint64_t kind; /* group_command_kind_t */
  const char *group;
  uint64_t rank;
  uint64_t incarnation; /* of the rank */
  uint64_t epoch;
  uint64_t round;
  uint64_t phase; /* group_phase_t */
  uint64_t base;
  uint64_t next;
  uint64_t step;
  bool wants_counts; /* reply with FRAME_MAP_COUNTS too */
  blob_t maps;
} frame_map_command_t;

typedef struct frame_map_reply
{
  uint64_t kind; /* of the command, as are epoch and round */
  const char *group;
  uint64_t rank;
  uint64_t incarnation;
  uint64_t epoch;
  uint64_t round;
  uint64_t highest_fence_epoch; /* lower fences are rejected */
  uint64_t highest_fence_round;
  bool is_accepted;
  uint64_t phase;
  uint64_t base;
  uint64_t next;
  uint64_t step;
  uint64_t current_step;
  blob_t maps;
} frame_map_reply_t;

/* Work done by a rank since its engine switched to the map VERSION.  */
typedef struct frame_map_counts
{
  const char *group;
  uint64_t rank;
  uint64_t incarnation;
  uint64_t version;
  uint64_t work;    /* tokens */
  uint64_t busy_us; /* without the time spent waiting for other ranks */
  blob_t tokens;    /* by layer and slot; see numbers_encode */
} frame_map_counts_t;

/* State of a rank's engine, sent by its pilot; see rank_report_t.  The report
   was requested from the engine after all commands of the frame's receiver up
   to AFTER_TICKET had completed.  */
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
  uint64_t map_version;
  bool has_prepared;
  uint64_t prepared_version;
  bool is_armed;
  uint64_t armed_version;
  uint64_t armed_step;
  bool is_held;
  uint64_t hold_step;
  uint64_t running;
  uint64_t waiting;
  uint64_t used_tokens;
  uint64_t total_tokens;
  uint64_t slowdown_permille;
  uint64_t after_ticket;
} frame_rank_report_t;

/* A command to a rank's engine, sent through its pilot; see rank_command_t. */
typedef struct frame_rank_command
{
  uint64_t ticket;
  uint64_t kind; /* rank_command_kind_t */
  uint64_t fence;
  uint64_t epoch;
  uint64_t version;
  uint64_t step;
  blob_t map; /* by numbers_encode: the shape and the expert of each slot */
} frame_rank_command_t;

typedef struct frame_rank_verdict
{
  uint64_t ticket;
  uint64_t verdict; /* rank_verdict_t */
} frame_rank_verdict_t;

/* Sent regularly by the leader of a group to the pilot of each rank.  */
typedef struct frame_rank_heartbeat
{
  uint64_t completed_ticket; /* the rank's commands up to it have completed */
  uint64_t term;             /* of the leader */
} frame_rank_heartbeat_t;

typedef struct frame_rank_query
{
  uint64_t ticket;
  uint64_t query;   /* rank_query_t */
  uint64_t term;    /* of the leader; RANK_QUERY_ARM_PERMISSION only */
  uint64_t version; /* RANK_QUERY_ARM_PERMISSION only */
} frame_rank_query_t;

typedef struct frame_rank_query_reply
{
  uint64_t ticket;
  bool is_successful; /* false: no response from the engine, or
                         RANK_QUERY_ARM_PERMISSION was denied */
  uint64_t epoch;
  uint64_t version;
  blob_t numbers; /* see numbers_encode */
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
    frame_rank_command_t rank_command;
    frame_rank_verdict_t rank_verdict;
    frame_rank_heartbeat_t rank_heartbeat;
    frame_rank_query_t rank_query;
    frame_rank_query_reply_t rank_query_reply;
  } body;
} frame_t;

char *frame_encode (TALLOC_CTX *parent, const frame_t *frame,
                    size_t *encoded_size);
status_t frame_decode (TALLOC_CTX *parent, const char *payload, size_t size,
                       frame_t *frame);

#endif
