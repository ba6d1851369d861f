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
  FRAME_MAX_BYTES = 4 * 1024 * 1024, /* maximum size of a payload */
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
  FRAME_CANCEL, /* entry: stop the request */
  FRAME_RESUME, /* entry: continue the response on this connection */
  FRAME_LOAD,   /* agent: load of its upstream */
  /* Any process to its peer.  */
  FRAME_SETTINGS_REQUEST, /* request for the peer's settings */
  FRAME_SETTINGS,         /* the response */
  /* The FRAME_MAP_* and FRAME_RANK_* frames are alternative protocols to
     switch the expert map of a lock-step group, which says which ranks hold
     the weights of which experts (see plugins/placement.h).  FRAME_MAP_* is
     for groups whose upstreams have agents, FRAME_RANK_* for groups whose
     upstreams have pilots.

     FRAME_MAP_*: between the agents of a group.  One of them is the
     coordinator; each is the agent of a rank.  */
  FRAME_MAP_COMMAND, /* from the coordinator to a rank */
  FRAME_MAP_REPLY,   /* from a rank: its state after a command */
  FRAME_MAP_COUNTS,  /* from a rank: work done with the current map */
  /* FRAME_RANK_*: between the pilots of a group.  One of them is the leader;
     each is the pilot of a rank.  FRAME_RANK_REPORT is also sent to relays. */
  FRAME_RANK_REPORT,  /* from a rank: state of its engine */
  FRAME_RANK_COMMAND, /* from the leader: command to the rank's engine */
  FRAME_RANK_VERDICT, /* from a rank: result of a command */
  FRAME_RANK_QUERY, /* from the leader: query to the rank's engine or pilot */
  FRAME_RANK_HEARTBEAT,   /* from the leader */
  FRAME_RANK_QUERY_REPLY, /* from a rank */
  /* Between relays and pilots.  Pilots pass on to all relays what one of them
     has learned.  */
  FRAME_ENGINE_LOST, /* from a pilot: its engine has ended */
  FRAME_SUSPECT,     /* a prompt segment suspected of crashes */
  FRAME_RATE_LIMIT,  /* the rate limit that an upstream has named */
  FRAME_TYPE_COUNT
} frame_type_t;

/* Part of every frame.  It identifies the sender and its newest settings, and
   carries timestamps from which the receiver computes the maximum age of the
   information.  */
typedef struct frame_header
{
  frame_type_t type;
  uint64_t incarnation;       /* random number of this run of the sender */
  uint64_t settings_revision; /* of the sender's current settings; 0: none */
  /* Time since the store was last seen to hold no newer revision than
     settings_revision, by the sender or a peer that it heard from; INT32_MAX
     if that was never seen.  */
  uint64_t confirmed_age_ms;
  uint64_t sent_ms; /* time of sending, by the sender's clock, whose origin
                       is arbitrary */
  uint64_t echo_ms; /* newest sent_ms that the sender received from the
                       receiver of this frame, or 0 */
  /* 0: the sender started less than 3 s ago, or was suspended for over 1 s and
     continued less than 3 s ago, so it may not have received its peers'
     current settings revisions.  1 otherwise.  */
  uint64_t is_settled;
  request_id_t request; /* zero when the frame is not about a request */
} frame_header_t;

typedef struct frame_hello
{
  uint64_t version; /* FRAME_PROTOCOL_VERSION */
  uint64_t role;    /* node_role_t */
  const char *name; /* name of the process, see node_name */
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
  uint64_t deadline_ms; /* time left for the request; the agent counts it from
                           the receipt of the frame */
  uint64_t prompt_tokens; /* estimated by the entry */
  uint64_t output_tokens; /* the limit in the request, or a default */
  bool is_repeatable;     /* may be sent to the upstream more than once */
  blob_t body;
} frame_submit_t;

typedef struct frame_head
{
  uint64_t http_status;
  const char *content_type;
} frame_head_t;

typedef struct frame_chunk
{
  uint64_t offset; /* position of DATA in the response body, in bytes */
  blob_t data;
} frame_chunk_t;

/* Body of FRAME_ACK and FRAME_RESUME.  */
typedef struct frame_offset
{
  /* A position in the response body, in bytes.  FRAME_ACK: the entry has
     delivered the body up to here to the client.  FRAME_ACK with is_final: the
     entry has received the body up to here.  FRAME_RESUME: the agent sends the
     body from here on.  */
  uint64_t offset;
  bool is_final;   /* FRAME_ACK: the FRAME_END was received too */
  uint64_t age_ms; /* FRAME_RESUME: time since the entry sent FRAME_SUBMIT */
} frame_offset_t;

typedef struct frame_end
{
  uint64_t outcome; /* outcome_t */
  uint64_t length;  /* size of the complete response body, in bytes */
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

/* A command of the expert-map switch; see docs/MAP-SWITCH.md.  The fence is a
   fencing token: a rank rejects commands with a lower one than it has seen.
   phase to switch_step are the schedule, which says which version of the
   expert map the rank uses for which steps.  */
typedef struct frame_map_command
{
  uint64_t kind; /* group_command_kind_t */
  const char *group;
  uint64_t rank;
  uint64_t incarnation;  /* run of the rank's agent that the command is for; 0
                            in GROUP_RAISE_FENCE */
  uint64_t fence_epoch;  /* number in the store, raised by each process that
                            becomes the coordinator */
  uint64_t fence_round;  /* counted by the coordinator within its epoch */
  uint64_t phase;        /* group_phase_t */
  uint64_t base_version; /* of the map in use, or in use before switch_step */
  uint64_t next_version; /* of the map in use from switch_step on once the
                            switch is committed; 0 if there is no switch */
  uint64_t switch_step;  /* 0 in phases that do not use it */
  bool wants_counts;     /* reply with FRAME_MAP_COUNTS too */
  blob_t maps; /* GROUP_PREPARE and GROUP_JOIN: the base and next maps */
} frame_map_command_t;

/* The state of a rank after a FRAME_MAP_COMMAND.  */
typedef struct frame_map_reply
{
  uint64_t kind; /* of the command */
  const char *group;
  uint64_t rank;
  uint64_t incarnation; /* of the rank's agent */
  uint64_t command_fence_epoch;
  uint64_t command_fence_round;
  uint64_t highest_fence_epoch; /* the rank rejects lower fences */
  uint64_t highest_fence_round;
  bool is_accepted;
  uint64_t phase; /* phase to switch_step: the rank's schedule */
  uint64_t base_version;
  uint64_t next_version;
  uint64_t switch_step;
  uint64_t current_step; /* newest step that the rank has begun */
  blob_t maps;           /* the base and next maps */
} frame_map_reply_t;

/* Work done by a rank since its engine switched to version VERSION of the
   expert map.  */
typedef struct frame_map_counts
{
  const char *group;
  uint64_t rank;
  uint64_t incarnation;
  uint64_t version;
  uint64_t work;    /* computed tokens */
  uint64_t busy_us; /* compute time, without waiting for other ranks */
  blob_t tokens; /* processed tokens by layer and slot; see numbers_encode */
} frame_map_counts_t;

/* Numbers in the FRAME_RANK_* frames:

   The term identifies a period of leadership.  It is the fencing token that
   the leader got from its election and that election.h calls the fence.

   The fence of a command is a different number: term *
   SWITCHER_FENCES_PER_TERM + round, where the leader counts the round within
   its term.  Every fence of a later term is therefore higher.  An engine
   rejects lower fences than it has seen.

   The group epoch is counted by the engines.  It rises each time their group
   is formed again.

   The ticket of a command identifies it among the commands that the leader has
   sent to that rank in its term; it rises with each command.  The ticket of a
   query identifies it among the leader's queries, which are numbered
   separately.  */

/* State of a rank's engine, sent by its pilot; see rank_report_t.  */
typedef struct frame_rank_report
{
  const char *upstream; /* address of the engine */
  const char *group;    /* "" when the engine is in no group */
  uint64_t group_epoch;
  uint64_t rank;
  uint64_t rank_count;
  bool is_open;         /* the group is formed and executes steps */
  uint64_t started_ms;  /* Unix time of the engine's start; 0: unknown */
  uint64_t step;        /* newest step that the rank has begun */
  uint64_t map_version; /* of the expert map in use */
  bool has_prepared;
  uint64_t prepared_version; /* if has_prepared: of the map whose weights are
                                loaded for a switch */
  bool is_armed;
  uint64_t armed_version; /* if is_armed: of the map that the engine switches
                             to at the start of armed_step */
  uint64_t armed_step;
  /* The engine has been commanded not to begin hold_step.  As all ranks take
     each step together, this stops the whole group before hold_step.  The
     leader holds a group while it arms the ranks, so that all of them switch
     to the new map at that step.  */
  bool is_held;
  uint64_t hold_step;    /* if is_held */
  uint64_t running;      /* requests */
  uint64_t waiting;      /* requests */
  uint64_t used_tokens;  /* tokens in the KV cache */
  uint64_t total_tokens; /* tokens that fit into the KV cache */
  /* Factor by which the rank is slower than its baseline, as reported by the
     engine.  FRAME_PERMILLE: as fast as the baseline; above: slower.  */
  uint64_t slowdown_permille;
  /* Ticket of the last command from the receiver of this frame, the leader,
     that was known to have completed when the pilot requested the report from
     the engine: the report shows the effect of the commands up to it.  0 in
     frames to relays, which send no commands.  */
  uint64_t after_ticket;
} frame_rank_report_t;

/* A command to a rank's engine, sent through its pilot; see rank_command_t. */
typedef struct frame_rank_command
{
  uint64_t ticket;
  uint64_t kind; /* rank_command_kind_t */
  uint64_t fence;
  uint64_t group_epoch;
  /* Version of the expert map, in RANK_COMMAND_PREPARE, _ARM and _DISARM.  */
  uint64_t version;
  /* The step concerned, in RANK_COMMAND_ARM, _HOLD and _RELEASE.  */
  uint64_t step;
  /* The map, in RANK_COMMAND_PREPARE: its shape and the expert in each slot,
     encoded by numbers_encode.  */
  blob_t map;
} frame_rank_command_t;

/* The result of a command.  */
typedef struct frame_rank_verdict
{
  uint64_t ticket;  /* of the command */
  uint64_t verdict; /* rank_verdict_t */
} frame_rank_verdict_t;

/* Sent regularly by the leader of a group to the pilot of each rank.  */
typedef struct frame_rank_heartbeat
{
  /* Ticket of the last command to the rank with an outcome known to the
     leader.  The pilot may not have seen that command: the leader sends
     commands directly to the engine while the pilot cannot be reached or does
     not respond.  */
  uint64_t completed_ticket;
  uint64_t term; /* of the leader */
} frame_rank_heartbeat_t;

/* RANK_QUERY_ARM_PERMISSION: the leader asks the pilot of the rank that holds
   the group for permission to arm the leader's own engine, the last one to be
   armed.  That pilot denies it once it has become the leader itself or is
   about to.  It then knows that the former leader's engine cannot be armed
   with a version that it did not permit, and can go on without that engine if
   it is unreachable.  */
typedef struct frame_rank_query
{
  uint64_t ticket;
  uint64_t query;   /* rank_query_t */
  uint64_t term;    /* of the leader; RANK_QUERY_ARM_PERMISSION only */
  uint64_t version; /* of the map to arm; RANK_QUERY_ARM_PERMISSION only */
} frame_rank_query_t;

typedef struct frame_rank_query_reply
{
  uint64_t ticket;    /* of the query */
  bool is_successful; /* false: no response from the engine, or
                         RANK_QUERY_ARM_PERMISSION was denied */
  uint64_t group_epoch;
  uint64_t version; /* of the map in use (RANK_QUERY_HELD_EXPERTS) or of the
                       map that may be armed (RANK_QUERY_ARM_PERMISSION); the
                       unit of the counts (RANK_QUERY_EXPERT_COUNTS) */
  /* As in rank_reply_t, encoded by numbers_encode or, if they are counts with
     a unit above 0, by rank_counts_encode.  */
  blob_t numbers;
} frame_rank_query_reply_t;

/* The engine beside the sender no longer accepts connections, or has started
   again.  */
typedef struct frame_engine_lost
{
  const char *upstream; /* address of the engine */
} frame_engine_lost_t;

/* See suspect_record_t.  Ages are in milliseconds; UINT64_MAX: never.  */
typedef struct frame_suspect
{
  bool is_update; /* it has just changed at the sender; pilots pass it on */
  uint64_t segment;
  uint64_t answered_age_ms;
  uint64_t probe_age_ms;
  blob_t crashes; /* of each its id, age, progress and flags; see
                     numbers_encode */
} frame_suspect_t;

/* See rate_limit_record_t.  */
typedef struct frame_rate_limit
{
  bool is_update; /* as in frame_suspect_t */
  uint64_t upstream;
  bool is_limited;
  uint64_t limit_permille; /* thousandths of a request a second */
  uint64_t seen_age_ms;
  uint64_t since_age_ms;
} frame_rate_limit_t;

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
    frame_engine_lost_t engine_lost;
    frame_suspect_t suspect;
    frame_rate_limit_t rate_limit;
  } body;
} frame_t;

char *frame_encode (TALLOC_CTX *parent, const frame_t *frame,
                    size_t *encoded_size);
status_t frame_decode (TALLOC_CTX *parent, const char *payload, size_t size,
                       frame_t *frame);

#endif
