#ifndef SISKIN_PLUGINS_RANK_ENGINE_H
#define SISKIN_PLUGINS_RANK_ENGINE_H

#include "kernel/pool.h"
#include "kernel/status.h"
#include "plugins/placement.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* The model engine of one rank, on one worker: an engine that checks fencing
   numbers itself, holds the whole group before a step when it is told to, and
   switches its map as a step begins.  */
typedef struct rank_engine rank_engine_t;

/* What an engine tells of itself and its group.  */
typedef struct rank_report
{
  const char *group; /* "" when the engine is in none */
  uint64_t epoch;    /* rises each time that the group forms anew */
  uint64_t rank;
  uint64_t rank_count;
  bool is_open;       /* the group takes steps */
  int64_t started_ms; /* Unix time of the engine's start; 0: not told */
  uint64_t step;      /* the last one that was begun */
  uint64_t map;       /* version in use */
  bool has_prepared;
  uint64_t prepared; /* version whose weights are loaded */
  bool is_armed;
  uint64_t armed;      /* version that the engine will switch to */
  uint64_t armed_step; /* as it begins this step */
  bool is_held;
  uint64_t held; /* step that the group does not begin */
  uint64_t running;
  uint64_t waiting;
  uint64_t used_tokens; /* of its memory */
  uint64_t total_tokens;
  double pace; /* over 1: slower than usual */
} rank_report_t;

typedef enum rank_order_kind
{
  RANK_COMMAND_PREPARE, /* load the weights of MAP as VERSION */
  RANK_COMMAND_ARM,     /* switch to VERSION as STEP begins */
  RANK_COMMAND_DISARM,  /* do not switch to VERSION */
  RANK_COMMAND_HOLD,    /* the group does not begin STEP */
  RANK_COMMAND_RELEASE, /* it may begin STEP */
  RANK_COMMAND_KIND_COUNT
} rank_command_kind_t;

typedef struct rank_order
{
  rank_command_kind_t kind;
  uint64_t fence;
  uint64_t epoch;
  uint64_t version;
  uint64_t step;
  const placement_map_t *map; /* of RANK_COMMAND_PREPARE */
} rank_command_t;

/* What became of an order.  */
typedef enum rank_verdict
{
  RANK_DONE,        /* done, begun, or the state was there already */
  RANK_CONFLICT,    /* it does not fit the engine's state */
  RANK_FENCED,      /* the engine has seen a higher fence */
  RANK_MALFORMED,   /* the engine knows no such order */
  RANK_UNREACHABLE, /* not one byte was sent */
  RANK_LOST,        /* it may have been carried out, or may be later on */
  RANK_VERDICT_COUNT
} rank_verdict_t;

typedef enum rank_question
{
  RANK_QUERY_EXPERT_COUNTS,  /* tokens by layer and expert, since the engine's
                                start */
  RANK_QUERY_HELD_EXPERTS,   /* experts by layer, of the map in use */
  RANK_QUERY_ARM_PERMISSION, /* not for engines: may the leader arm its own
                                rank now */
  RANK_QUERY_COUNT
} rank_query_t;

/* The answer to a question.  NUMBERS are counts by layer and expert, or, layer
   by layer, how many experts follow and then these.  */
typedef struct rank_told
{
  uint64_t epoch;
  uint64_t version; /* of the map; RANK_QUERY_HELD_EXPERTS only */
  const uint64_t *numbers;
  size_t number_count;
} rank_reply_t;

/* Unless STATUS is STATUS_OK the second argument is NULL; it is valid during
   the call.  */
typedef void (*rank_report_done_t) (status_t status,
                                    const rank_report_t *report, void *data);
typedef void (*rank_reply_done_t) (status_t status, const rank_reply_t *told,
                                   void *data);
typedef void (*rank_command_done_t) (rank_verdict_t verdict, void *data);

/* The callbacks run from the loop, once, unless the engine is destroyed
   before.  */
typedef struct rank_engine_ops
{
  rank_engine_t *(*create) (TALLOC_CTX *parent, worker_t *worker,
                            const char *address);
  void (*destroy) (rank_engine_t *engine);
  status_t (*report) (rank_engine_t *engine, rank_report_done_t done,
                      void *data);
  status_t (*ask) (rank_engine_t *engine, rank_query_t question,
                   rank_reply_done_t done, void *data);
  status_t (*order) (rank_engine_t *engine, const rank_command_t *order,
                     rank_command_done_t done, void *data);
} rank_engine_ops_t;

const char *rank_command_name (rank_command_kind_t kind);
const char *rank_verdict_name (rank_verdict_t verdict);

#endif
