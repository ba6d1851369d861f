#ifndef SISKIN_AGENT_GROUP_RANK_H
#define SISKIN_AGENT_GROUP_RANK_H

#include "agent/group_message.h"

#include <talloc.h>
#include <time.h>

/* The rank's side of the map switch: the agent beside one rank, which is the
   fence for its engine.  It does no input or output of its own: what comes in
   is passed to its functions, what goes out to its operations table.  */
typedef struct group_rank group_rank_t;

typedef enum group_engine_command_kind
{
  GROUP_ENGINE_READ, /* change nothing, tell the state */
  /* Start to load weights, or take effect once they are loaded; repeated
     until then.  */
  GROUP_ENGINE_PREPARE,
  GROUP_ENGINE_JOIN,
  GROUP_ENGINE_ARM,
  GROUP_ENGINE_COMMIT,
  GROUP_ENGINE_ABORT
} group_engine_command_kind_t;

typedef struct group_engine_command
{
  group_engine_command_kind_t kind;
  group_fence_t fence; /* for engines that check it */
  group_schedule_t schedule;
} group_engine_command_t;

typedef struct group_engine_state
{
  uint64_t incarnation; /* changes when the engine restarts */
  group_schedule_t schedule;
  uint64_t loading; /* version whose weights are being loaded, or 0 */
  uint64_t current_step;
} group_engine_state_t;

typedef struct group_rank_ops
{
  /* Send ORDER to the engine; answer later, and for each order once, with
     group_rank_engine_responded or group_rank_engine_failed.  The engine takes
     orders in the sequence in which they were sent.  */
  void (*send_to_engine) (const group_engine_command_t *order, void *data);
  void (*reply) (const group_reply_t *reply, void *data);
} group_rank_ops_t;

typedef struct group_rank_options
{
  unsigned rank;
  uint64_t incarnation; /* unique to this start of the agent; not 0 */
  struct timespec read_interval;
  const group_rank_ops_t *ops;
  void *data;
} group_rank_options_t;

group_rank_t *group_rank_create (TALLOC_CTX *parent,
                                 const group_rank_options_t *options,
                                 struct timespec now);
void group_rank_destroy (group_rank_t *rank);
void group_rank_receive (group_rank_t *rank, const group_command_t *order,
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
