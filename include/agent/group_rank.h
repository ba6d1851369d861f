#ifndef SISKIN_AGENT_GROUP_RANK_H
#define SISKIN_AGENT_GROUP_RANK_H

#include "agent/group_message.h"

#include <talloc.h>
#include <time.h>

/* The rank's side of the map switch protocol.  It runs in the agent beside the
   rank's engine, checks the fence of each command on the engine's behalf and
   sends it one command at a time.  It does no input or output itself: input is
   passed to its functions, output goes through its operations table.  */
typedef struct group_rank group_rank_t;

typedef enum group_engine_command_kind
{
  GROUP_ENGINE_READ, /* change nothing, only report the state */
  /* Start to load the weights of NEXT; once they are loaded, enter
     GROUP_PREPARED.  Sent repeatedly until the engine reports that phase.  */
  GROUP_ENGINE_PREPARE,
  /* For an engine without a map: start to load the weights of the schedule;
     once they are loaded, adopt it.  Sent repeatedly until the engine reports
     that it has a map.  */
  GROUP_ENGINE_JOIN,
  GROUP_ENGINE_ARM,    /* hold before STEP until the switch is decided */
  GROUP_ENGINE_COMMIT, /* switch to NEXT at STEP */
  GROUP_ENGINE_ABORT   /* discard NEXT and continue with BASE */
} group_engine_command_kind_t;

typedef struct group_engine_command
{
  group_engine_command_kind_t kind;
  /* Highest fence that the agent has accepted.  The agent checks the fences of
     commands; this is for engines that check them as well.  */
  group_fence_t fence;
  group_schedule_t schedule;
} group_engine_command_t;

typedef struct group_engine_state
{
  uint64_t incarnation; /* of the engine; changes when it restarts */
  group_schedule_t schedule;
  uint64_t loading;      /* map version whose weights are being loaded, or 0 */
  uint64_t current_step; /* newest step that the engine has begun */
} group_engine_state_t;

typedef struct group_rank_ops
{
  /* Send COMMAND to the engine.  Each command must be completed later, exactly
     once, by group_rank_engine_responded or group_rank_engine_failed.  The
     engine processes commands in the order in which they were sent.  */
  void (*send_to_engine) (const group_engine_command_t *command, void *data);
  void (*reply) (const group_reply_t *reply, void *data);
} group_rank_ops_t;

typedef struct group_rank_options
{
  unsigned rank;
  /* First incarnation of the rank: unique to this start of the agent; not 0.
     Each restart of the engine increments the rank's incarnation, so a change
     of it means that the agent or the engine has restarted.  */
  uint64_t incarnation;
  struct timespec read_interval; /* between reads of the engine's state */
  const group_rank_ops_t *ops;
  void *data;
} group_rank_options_t;

group_rank_t *group_rank_create (TALLOC_CTX *parent,
                                 const group_rank_options_t *options,
                                 struct timespec now);
void group_rank_destroy (group_rank_t *rank);
void group_rank_receive (group_rank_t *rank, const group_command_t *command,
                         struct timespec now);
void group_rank_engine_responded (group_rank_t *rank,
                                  const group_engine_state_t *state,
                                  struct timespec now);
void group_rank_engine_failed (group_rank_t *rank, struct timespec now);
void group_rank_tick (group_rank_t *rank, struct timespec now);
bool group_rank_is_idle (const group_rank_t *rank);
uint64_t group_rank_incarnation (const group_rank_t *rank);
group_fence_t group_rank_highest_fence (const group_rank_t *rank);
const group_engine_state_t *group_rank_engine (const group_rank_t *rank);

#endif
