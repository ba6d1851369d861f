#ifndef SISKIN_AGENT_GROUP_MESSAGE_H
#define SISKIN_AGENT_GROUP_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

/* Messages between the coordinator of a lock-step group and its ranks, for
   changing the expert map; see docs/MAP-SWITCH.md.  */

/* Fencing token of a command, ordered by epoch and then round.  The epoch is
   allocated in the store and identifies a coordinator's term.  The coordinator
   increments the round when its term starts, before each switch and after the
   restart of a rank; raising the fence invalidates all commands of earlier
   rounds.  */
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
  /* Executes steps below STEP with BASE, and does not begin STEP until the
     switch is committed or aborted.  */
  GROUP_ARMED,
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
  GROUP_PREPARE, /* load the weights of NEXT */
  GROUP_ARM,     /* hold before STEP until the switch is decided */
  GROUP_COMMIT,  /* switch to NEXT at STEP */
  GROUP_ABORT,   /* discard NEXT and continue with BASE */
  GROUP_JOIN,    /* a restarted rank adopts this schedule */
  GROUP_COMMAND_KIND_COUNT
} group_command_kind_t;

typedef struct group_command
{
  group_command_kind_t kind;
  unsigned rank;
  /* Incarnation of the rank addressed (see group_rank_options_t); 0 in
     GROUP_RAISE_FENCE.  */
  uint64_t incarnation;
  group_fence_t fence;
  group_schedule_t schedule;
} group_command_t;

/* The rank's state after it processed a command of kind KIND with
   COMMAND_FENCE.  IS_ACCEPTED is set if the command is executed, in progress,
   or was not necessary.  */
typedef struct group_reply
{
  group_command_kind_t kind;
  unsigned rank;
  uint64_t incarnation;
  group_fence_t command_fence;
  group_fence_t highest_fence;
  bool is_accepted;
  group_schedule_t schedule;
  uint64_t current_step; /* newest step that the rank has begun */
} group_reply_t;

/* Return a map version above VERSION that is unique to EPOCH: the upper bits
   are those of VERSION plus one, the lower 24 bits are those of EPOCH.  */
uint64_t group_version_after (uint64_t version, uint64_t epoch);
int group_fence_compare (group_fence_t left, group_fence_t right);
const char *group_phase_name (group_phase_t phase);

#endif
