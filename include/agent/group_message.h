#ifndef SISKIN_AGENT_GROUP_MESSAGE_H
#define SISKIN_AGENT_GROUP_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

/* What the coordinator of a lock-step group and its ranks say to each other
   in order to change the expert map; see docs/MAP-SWITCH.md.  */

/* Fencing token of the orders.  The epoch comes from the store; the
   coordinator that holds it counts the rounds.  */
typedef struct group_fence
{
  uint64_t epoch;
  uint64_t round;
} group_fence_t;

typedef enum group_phase
{
  GROUP_NO_MAP,   /* restarted: has no map and cannot step */
  GROUP_STEADY,   /* steps with BASE */
  GROUP_PREPARED, /* steps with BASE; the weights of NEXT are loaded */
  GROUP_ARMED,    /* steps with BASE and holds before STEP */
  GROUP_COMMITTED /* steps with BASE below STEP, with NEXT from it on */
} group_phase_t;

/* The map versions a rank steps with.  NEXT and STEP are 0 where the phase
   has none.  */
typedef struct group_schedule
{
  group_phase_t phase;
  uint64_t base;
  uint64_t next;
  uint64_t step;
} group_schedule_t;

typedef enum group_command_kind
{
  GROUP_RAISE_FENCE = 1, /* refuse lower fences, and tell the schedule */
  GROUP_CONFIRM,         /* tell whether the promise still stands */
  GROUP_PREPARE,
  GROUP_ARM,
  GROUP_COMMIT,
  GROUP_ABORT,
  GROUP_JOIN, /* a restarted rank takes this schedule */
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

/* The rank's state after it dealt with an order of kind KIND and fence
   COMMAND_FENCE.  */
typedef struct group_reply
{
  group_command_kind_t kind;
  unsigned rank;
  uint64_t incarnation;
  group_fence_t command_fence;
  group_fence_t promised;
  bool is_accepted;
  group_schedule_t schedule;
  uint64_t current_step; /* the newest step that the rank entered */
} group_reply_t;

uint64_t group_version_after (uint64_t version, uint64_t epoch);
int group_fence_compare (group_fence_t left, group_fence_t right);
const char *group_phase_name (group_phase_t phase);

#endif
