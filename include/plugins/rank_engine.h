#ifndef SISKIN_PLUGINS_RANK_ENGINE_H
#define SISKIN_PLUGINS_RANK_ENGINE_H

#include "kernel/pool.h"
#include "kernel/status.h"
#include "plugins/placement.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* Client of the model engine of one rank, on one worker.  The ranks of a group
   take each step together, so an engine that holds before a step stops the
   whole group there.  Engines check the fencing tokens of commands themselves
   and switch their expert maps at the start of a step.  */
typedef struct rank_engine rank_engine_t;

/* The state of an engine and its group, as the engine reports it.  */
typedef struct rank_report
{
  const char *group; /* "" when the engine is in no group */
  uint64_t epoch;    /* increases each time the group is formed again */
  uint64_t rank;
  uint64_t rank_count;
  bool is_open;       /* the group runs steps */
  int64_t started_ms; /* Unix time of the engine's start; 0 if not reported */
  uint64_t step;      /* last step begun */
  uint64_t map_version; /* version of the expert map in use */
  bool has_prepared;
  uint64_t prepared_version; /* map version whose weights are loaded */
  bool is_armed;             /* a switch of the map is scheduled */
  uint64_t armed_version;    /* map version that the engine will switch to */
  uint64_t armed_step;       /* step at whose start it will switch */
  bool is_held;              /* this engine holds the group */
  uint64_t hold_step;        /* step before which it holds the group */
  uint64_t running;          /* requests */
  uint64_t waiting;          /* requests */
  uint64_t used_tokens;      /* in use in the KV cache */
  uint64_t total_tokens;     /* capacity of the KV cache */
  double slowdown;           /* over 1: slower than its baseline */
} rank_report_t;

typedef enum rank_command_kind
{
  RANK_COMMAND_PREPARE, /* load the weights that MAP requires, as VERSION */
  RANK_COMMAND_ARM,     /* switch to VERSION at the start of STEP */
  RANK_COMMAND_DISARM,  /* cancel the switch to VERSION */
  RANK_COMMAND_HOLD,    /* keep the group from beginning STEP; this engine's
                           part is enough, as all ranks step together */
  RANK_COMMAND_RELEASE, /* let the group begin STEP */
  RANK_COMMAND_KIND_COUNT
} rank_command_kind_t;

typedef struct rank_command
{
  rank_command_kind_t kind;
  uint64_t fence;   /* fencing token of the sender */
  uint64_t epoch;   /* the engine rejects commands for another epoch */
  uint64_t version; /* map version */
  uint64_t step;
  const placement_map_t *map; /* RANK_COMMAND_PREPARE only */
} rank_command_t;

/* The outcome of a command.  */
typedef enum rank_verdict
{
  RANK_DONE, /* done, in progress, or already in that state */
  /* Not possible in the engine's current state, or for another epoch than the
     engine's.  */
  RANK_CONFLICT,
  RANK_FENCED,      /* the engine has seen a higher fencing token */
  RANK_MALFORMED,   /* the engine does not understand the command */
  RANK_UNREACHABLE, /* no byte of the command was sent */
  /* No verdict was received: the command may have been carried out or may
     still be.  */
  RANK_OUTCOME_UNKNOWN,
  /* The pilot lacks the map that the new one is based on, and has not passed
     the command on to its engine.  Only between pilots.  */
  RANK_BASE_UNKNOWN,
  RANK_VERDICT_COUNT
} rank_verdict_t;

typedef enum rank_query
{
  /* The tokens that this engine has counted since its start, by layer and
     expert.  The sum over all ranks is the group's count.  */
  RANK_QUERY_EXPERT_COUNTS,
  RANK_QUERY_HELD_EXPERTS, /* experts by layer, of the map in use */
  /* Requests a permit for the leader to arm its own rank with a map version.
     Goes to the pilot of the rank that holds the group, which grants or denies
     it, and never to an engine.  If the
     leader fails meanwhile, that pilot takes over at once.  It knows the last
     version that it permitted, so that the former leader's rank cannot be
     armed with any other.  If this rank is unreachable, the new leader can
     therefore release the group without it, unless a reachable rank is armed
     with the permitted version.  */
  RANK_QUERY_ARM_PERMISSION,
  /* The leader stops and asks the pilot of the rank to lead the group.  No
     reply follows.  */
  RANK_QUERY_LEAD,
  RANK_QUERY_COUNT
} rank_query_t;

/* A reply to a query.  For RANK_QUERY_EXPERT_COUNTS, NUMBERS contains the
   counts by layer and expert: an engine replies with the counts since its
   start, and its pilot passes on those since the last reply.  For
   RANK_QUERY_HELD_EXPERTS, for each layer the number of experts and then the
   experts.  The reply to RANK_QUERY_ARM_PERMISSION has no rank_reply_t: it is
   a frame from the pilot with success and the version, see
   members_ops_t.on_permit.  */
typedef struct rank_reply
{
  uint64_t epoch;
  uint64_t version; /* map version; RANK_QUERY_HELD_EXPERTS only */
  const uint64_t *numbers;
  size_t number_count;
} rank_reply_t;

/* REPORT and REPLY are NULL unless STATUS is STATUS_OK; they are valid during
   the callback only.  */
typedef void (*rank_report_done_t) (status_t status,
                                    const rank_report_t *report, void *data);
typedef void (*rank_reply_done_t) (status_t status, const rank_reply_t *reply,
                                   void *data);
typedef void (*rank_command_done_t) (rank_verdict_t verdict, void *data);

/* Each callback runs once, from the event loop, unless the engine is destroyed
   before or the function returned an error.  */
typedef struct rank_engine_ops
{
  rank_engine_t *(*create) (TALLOC_CTX *parent, worker_t *worker,
                            const char *address);
  void (*destroy) (rank_engine_t *engine);
  status_t (*report) (rank_engine_t *engine, rank_report_done_t done,
                      void *data);
  status_t (*query) (rank_engine_t *engine, rank_query_t query,
                     rank_reply_done_t done, void *data);
  status_t (*command) (rank_engine_t *engine, const rank_command_t *command,
                       rank_command_done_t done, void *data);
} rank_engine_ops_t;

const char *rank_command_name (rank_command_kind_t kind);
/* Whether RIGHT repeats LEFT: an engine carries out only one of them.  The
   version stands for the map.  */
bool rank_command_is_same (const rank_command_t *left,
                           const rank_command_t *right);
const char *rank_verdict_name (rank_verdict_t verdict);

#endif
