#ifndef SISKIN_AGENT_GROUP_MESSAGE_H
#define SISKIN_AGENT_GROUP_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

/* Messages between the coordinator of a lock-step group and its ranks, for
   changing the expert map; see docs/MAP-SWITCH.md.  */

/* Fencing token of the commands.  The epoch is allocated in the store; the
   coordinator that owns it numbers its rounds.  */
typedef struct group_fence
{
  uint64_t epoch;
  uint64_t round;
} group_fence_t;

typedef enum group_phase
{
  GROUP_NO_MAP,   /* restarted: has no map and cannot execute steps */
  GROUP_STEADY,   /* executes steps with BASE */
  GROUP_PREPARED, /* executes steps with BASE; weights of NEXT are loaded */
  GROUP_ARMED,    /* executes steps with BASE and holds before STEP */
  GROUP_COMMITTED /* uses BASE for steps below STEP, NEXT from STEP on */
} group_phase_t;

/* The map versions that a rank uses for its steps.  NEXT and STEP are 0 in
   phases that don't use them.  */
typedef struct group_schedule
{
  group_phase_t phase;
  uint64_t base;
  uint64_t next;
  uint64_t step;
} group_schedule_t;

typedef enum group_command_kind
{
  /* Reject lower fences from now on, and report the schedule: the promise of
     Paxos, as in spec/map_switch.pml.  */
  GROUP_RAISE_FENCE = 1,
  GROUP_CONFIRM, /* report whether the fence is still held */
  GROUP_PREPARE,
  GROUP_ARM,
  GROUP_COMMIT,
  GROUP_ABORT,
  GROUP_JOIN, /* a restarted rank adopts this schedule */
  GROUP_COMMAND_KIND_COUNT
} group_command_kind_t;

typedef struct group_command
{
  group_command_kind_t kind;
  unsigned rank;
  uint64_t incarnation; /* of the rank; 0 in GROUP_RAISE_FENCE */
  group_fence_t fence;
  group_schedule_t schedule;
} group_command_t;

/* The rank's state after it processed a command of kind KIND with
   COMMAND_FENCE.  */
typedef struct group_reply
{
  group_command_kind_t kind;
  unsigned rank;
  uint64_t incarnation;
  group_fence_t command_fence;
  group_fence_t highest_fence;
  bool is_accepted;
  group_schedule_t schedule;
  uint64_t current_step; /* newest step that the rank has entered */
} group_reply_t;

uint64_t group_version_after (uint64_t version, uint64_t epoch);
int group_fence_compare (group_fence_t left, group_fence_t right);
const char *group_phase_name (group_phase_t phase);

#endif
